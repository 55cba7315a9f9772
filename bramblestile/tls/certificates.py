"""Certificates, keys and lists of revoked ones, read with ``cryptography``; nothing here touches a file or a socket."""

from __future__ import annotations

import hashlib
import warnings
from collections.abc import Sequence
from functools import lru_cache

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives import serialization

from bramblestile.tls.verification import CertificateInfo, RevocationList

MAX_CHAIN_LENGTH = 10  # certificates that a host may show; OpenSSL's own bound is ten deep, in 100 KiB
MAX_PEM_BYTES = 4 << 20  # bytes of one file of ours


class CertificateParseError(ValueError):
    """Bytes that are not what they should be; the text says what they are not."""


def _facts(cert: x509.Certificate, der: bytes) -> CertificateInfo:
    try:
        names = cert.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except (x509.ExtensionNotFound, ValueError):
        names = None
    return CertificateInfo(
        cert.subject.rfc4514_string(),
        cert.issuer.rfc4514_string(),
        cert.serial_number,
        cert.not_valid_before_utc,
        cert.not_valid_after_utc,
        tuple(names.get_values_for_type(x509.DNSName)) if names else (),
        tuple(map(str, names.get_values_for_type(x509.IPAddress))) if names else (),
        tuple(names.get_values_for_type(x509.UniformResourceIdentifier)) if names else (),
        hashlib.sha256(der).hexdigest(),
    )


@lru_cache(maxsize=1024)  # a fleet's certificates come again with each full handshake, and parsing one takes 100 us
def parse_der(der: bytes) -> CertificateInfo:
    """UnreadableError where a host has sent something else."""
    try:
        return _facts(x509.load_der_x509_certificate(der), der)
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        raise CertificateParseError(f"not a certificate: {error}") from None


def parse_chain(ders: Sequence[bytes]) -> tuple[CertificateInfo, ...]:
    if len(ders) > MAX_CHAIN_LENGTH:
        raise CertificateParseError(f"a chain of {len(ders)} certificates, over {MAX_CHAIN_LENGTH}")
    return tuple(map(parse_der, ders))


def parse_pem(pem: bytes) -> tuple[x509.Certificate, ...]:
    """The certificates of a PEM file, at least one. A half-written last one is an error, not one less."""
    if pem.count(b"-----BEGIN CERTIFICATE-----") != pem.count(b"-----END CERTIFICATE-----"):
        raise CertificateParseError("a certificate is cut off")
    try:
        with warnings.catch_warnings():
            warnings.simplefilter("ignore")  # odd serials and the like in others' authorities
            found = x509.load_pem_x509_certificates(pem)
    except (ValueError, UnsupportedAlgorithm) as error:
        raise CertificateParseError(f"not PEM certificates: {error}") from None
    return tuple(found)


def certificate_infos(certs: Sequence[x509.Certificate]) -> tuple[CertificateInfo, ...]:
    return tuple(_facts(c, c.public_bytes(serialization.Encoding.DER)) for c in certs)


def check_key_matches(cert: x509.Certificate, key_pem: bytes) -> None:
    """UnreadableError where the key is none, is locked, or belongs to another certificate."""
    try:
        key = serialization.load_pem_private_key(key_pem, password=None)
    except TypeError:
        raise CertificateParseError("the key is locked by a password") from None
    except (ValueError, UnsupportedAlgorithm) as error:
        raise CertificateParseError(
            f"not a PEM key: {str(error).splitlines()[0] if str(error) else 'unreadable'}"
        ) from None

    def public(of: object) -> bytes:
        return of.public_bytes(  # type: ignore[attr-defined,no-any-return]
            serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
        )

    if public(key.public_key()) != public(cert.public_key()):
        raise CertificateParseError(f"the key belongs to another certificate than {cert.subject.rfc4514_string()}")


def parse_revocation_lists(pem: bytes, authorities: Sequence[x509.Certificate]) -> RevocationList:
    """All lists of a PEM file. One that no authority of ours has signed is refused: anyone could have written it."""
    mark = b"-----BEGIN X509 CRL-----"
    parts = [mark + part for part in pem.split(mark)[1:]]
    if not parts:
        raise CertificateParseError("holds no list of revoked certificates (PEM, X509 CRL)")
    by_issuer: dict[str, frozenset[int]] = {}
    for part in parts:
        try:
            crl = x509.load_pem_x509_crl(part)
            issuer = crl.issuer.rfc4514_string()
            signed = any(
                a.subject == crl.issuer and crl.is_signature_valid(a.public_key())  # type: ignore[arg-type]
                for a in authorities
            )
        except (ValueError, TypeError, UnsupportedAlgorithm) as error:
            raise CertificateParseError(f"not a list of revoked certificates: {error}") from None
        if not signed:
            raise CertificateParseError(f"the list of {issuer} is not signed by an authority of ours")
        by_issuer[issuer] = by_issuer.get(issuer, frozenset()) | {r.serial_number for r in crl}
    return RevocationList(by_issuer)
