"""Throw-away authorities, for trying things out; the keys of what they issue live as long as the files."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime, timedelta

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from bramblestile.tls.verification import NameKind, parse_name

EARLIER = timedelta(hours=1)  # valid since: clocks of machines that try things out differ
PrivateKey = ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey


def _key(is_rsa: bool) -> PrivateKey:
    return rsa.generate_private_key(65537, 2048) if is_rsa else ec.generate_private_key(ec.SECP256R1())


def _general(text: str) -> x509.GeneralName:
    name = parse_name(text)
    if name.kind is NameKind.IP:
        return x509.IPAddress(ipaddress.ip_address(name.value))
    return (x509.UniformResourceIdentifier if name.kind is NameKind.URI else x509.DNSName)(name.value)


def common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text[:64])])


def certificate_pem(cert: x509.Certificate) -> bytes:
    return cert.public_bytes(serialization.Encoding.PEM)


def private_key_pem(key: PrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def issue_dev_certificates(
    hosts: Mapping[str, Sequence[str]], life: timedelta, is_rsa: bool = False
) -> dict[str, bytes]:
    """Files by name: ``ca.pem``, ``client.pem`` and ``.key``, and the same for each host with the names that it is to
    prove. ValueError where a name can be proved by none."""
    now = datetime.now(UTC)
    root_key, root_name = _key(is_rsa), common_name("bramblestile test authority")

    def builder(subject: x509.Name, key: PrivateKey) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(root_name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - EARLIER)
            .not_valid_after(now + life)
        )

    root = (
        builder(root_name, root_key)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(root_key.public_key()), critical=False)
        .sign(root_key, hashes.SHA256())
    )
    made = {"ca.pem": certificate_pem(root)}
    for name, names in {"client": ("client",), **hosts}.items():
        key = _key(is_rsa)
        use = ExtendedKeyUsageOID.CLIENT_AUTH if name == "client" else ExtendedKeyUsageOID.SERVER_AUTH
        cert = (
            builder(common_name(name), key)
            .add_extension(x509.SubjectAlternativeName([_general(n) for n in names]), critical=False)
            .add_extension(x509.ExtendedKeyUsage([use]), critical=False)
            .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(root_key.public_key()), critical=False)
            .sign(root_key, hashes.SHA256())
        )
        made[f"{name}.pem"], made[f"{name}.key"] = certificate_pem(cert), private_key_pem(key)
    return made
