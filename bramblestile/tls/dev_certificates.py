"""Throw-away certificate authorities for development and trials.

The authority's private key is discarded, so it can issue no further certificates.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime, timedelta

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from bramblestile.tls.verification import NameKind, parse_name

BACKDATING = timedelta(hours=1)  # certificates are valid this long before now, since the machines' clocks may differ
PrivateKey = ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey


def _generate_key(use_rsa: bool) -> PrivateKey:
    return rsa.generate_private_key(65537, 2048) if use_rsa else ec.generate_private_key(ec.SECP256R1())


def _general_name(text: str) -> x509.GeneralName:
    name = parse_name(text)
    if name.kind is NameKind.IP:
        return x509.IPAddress(ipaddress.ip_address(name.value))
    return (x509.UniformResourceIdentifier if name.kind is NameKind.URI else x509.DNSName)(name.value)


def common_name(text: str) -> x509.Name:
    """Return a subject with this common name, cut to the 64 characters that X.509 allows."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text[:64])])


def certificate_pem(certificate: x509.Certificate) -> bytes:
    """Return the certificate in PEM form."""
    return certificate.public_bytes(serialization.Encoding.PEM)


def private_key_pem(key: PrivateKey) -> bytes:
    """Return the key in unencrypted PEM form."""
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def issue_dev_certificates(
    hosts: Mapping[str, Sequence[str]], validity: timedelta, use_rsa: bool = False
) -> dict[str, bytes]:
    """Create an authority with a client certificate and a certificate for each host, and return all files by name.

    ``hosts`` maps the base names of the hosts' files to the subject alternative names of their certificates. The files
    are ``ca.pem``, ``client.pem``, ``client.key``, and ``.pem`` and ``.key`` for each host. Raises ValueError for a
    name that a certificate cannot contain.
    """
    now = datetime.now(UTC)
    root_key, root_name = _generate_key(use_rsa), common_name("bramblestile test authority")

    def builder(subject: x509.Name, key: PrivateKey) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(root_name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - BACKDATING)
            .not_valid_after(now + validity)
        )

    root = (
        builder(root_name, root_key)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(root_key.public_key()), critical=False)
        .sign(root_key, hashes.SHA256())
    )
    files = {"ca.pem": certificate_pem(root)}
    for name, alternative_names in {"client": ("client",), **hosts}.items():
        key = _generate_key(use_rsa)
        usage = ExtendedKeyUsageOID.CLIENT_AUTH if name == "client" else ExtendedKeyUsageOID.SERVER_AUTH
        certificate = (
            builder(common_name(name), key)
            .add_extension(x509.SubjectAlternativeName([_general_name(n) for n in alternative_names]), critical=False)
            .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
            .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(root_key.public_key()), critical=False)
            .sign(root_key, hashes.SHA256())
        )
        files[f"{name}.pem"], files[f"{name}.key"] = certificate_pem(certificate), private_key_pem(key)
    return files
