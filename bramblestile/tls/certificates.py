"""Parsing of certificates, keys and certificate revocation lists with ``cryptography``. No files and no sockets."""

from __future__ import annotations

import hashlib
import warnings
from collections.abc import Sequence
from functools import lru_cache

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives import serialization

from bramblestile.tls.verification import CertificateInfo, RevocationList

MAX_CHAIN_LENGTH = 10  # certificates that a host may present; OpenSSL's own limits are a depth of 10 and 100 KiB
MAX_PEM_BYTES = 4 << 20  # of one configured file


class CertificateParseError(ValueError):
    """A certificate, key or revocation list cannot be used. The text says why."""


def _info(certificate: x509.Certificate, der: bytes) -> CertificateInfo:
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except (x509.ExtensionNotFound, ValueError):
        names = None
    return CertificateInfo(
        certificate.subject.rfc4514_string(),
        certificate.issuer.rfc4514_string(),
        certificate.serial_number,
        certificate.not_valid_before_utc,
        certificate.not_valid_after_utc,
        tuple(names.get_values_for_type(x509.DNSName)) if names else (),
        tuple(map(str, names.get_values_for_type(x509.IPAddress))) if names else (),
        tuple(names.get_values_for_type(x509.UniformResourceIdentifier)) if names else (),
        hashlib.sha256(der).hexdigest(),
    )


@lru_cache(maxsize=1024)  # each full handshake presents the same certificates again, and parsing one takes 100 us
def parse_der(der: bytes) -> CertificateInfo:
    """Parse a certificate that a host presented, or raise CertificateParseError."""
    try:
        return _info(x509.load_der_x509_certificate(der), der)
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        raise CertificateParseError(f"not a certificate: {error}") from None


def parse_chain(ders: Sequence[bytes]) -> tuple[CertificateInfo, ...]:
    """Parse a chain that a host presented, or raise CertificateParseError."""
    if len(ders) > MAX_CHAIN_LENGTH:
        raise CertificateParseError(f"a chain of {len(ders)} certificates, over {MAX_CHAIN_LENGTH}")
    return tuple(map(parse_der, ders))


def parse_pem(pem: bytes) -> tuple[x509.Certificate, ...]:
    """Parse the certificates of a PEM file, at least one.

    Raises CertificateParseError, also where the last certificate is incomplete because the file is being written.
    """
    if pem.count(b"-----BEGIN CERTIFICATE-----") != pem.count(b"-----END CERTIFICATE-----"):
        raise CertificateParseError("a certificate is truncated")
    try:
        with warnings.catch_warnings():
            warnings.simplefilter("ignore")  # others' authorities have flaws such as unusual serial numbers
            parsed = x509.load_pem_x509_certificates(pem)
    except (ValueError, UnsupportedAlgorithm) as error:
        raise CertificateParseError(f"not PEM certificates: {error}") from None
    return tuple(parsed)


def certificate_infos(certificates: Sequence[x509.Certificate]) -> tuple[CertificateInfo, ...]:
    """Return the fields of parsed certificates."""
    return tuple(
        _info(certificate, certificate.public_bytes(serialization.Encoding.DER)) for certificate in certificates
    )


def check_key_matches(certificate: x509.Certificate, key_pem: bytes) -> None:
    """Raise CertificateParseError where the key is unreadable, encrypted, or belongs to another certificate."""
    try:
        key = serialization.load_pem_private_key(key_pem, password=None)
    except TypeError:
        raise CertificateParseError("the key is encrypted with a password") from None
    except (ValueError, UnsupportedAlgorithm) as error:
        raise CertificateParseError(
            f"not a PEM key: {str(error).splitlines()[0] if str(error) else 'unreadable'}"
        ) from None

    def public_der(key_object: object) -> bytes:
        return key_object.public_bytes(  # type: ignore[attr-defined,no-any-return]
            serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
        )

    if public_der(key.public_key()) != public_der(certificate.public_key()):
        raise CertificateParseError(
            f"the key belongs to another certificate than {certificate.subject.rfc4514_string()}"
        )


def parse_revocation_lists(pem: bytes, authorities: Sequence[x509.Certificate]) -> RevocationList:
    """Parse and merge all revocation lists of a PEM file.

    Raises CertificateParseError, also for a list that no trusted authority signed: anyone could have written it.
    """
    header = b"-----BEGIN X509 CRL-----"
    sections = [header + section for section in pem.split(header)[1:]]
    if not sections:
        raise CertificateParseError("contains no certificate revocation list (PEM, X509 CRL)")
    by_issuer: dict[str, frozenset[int]] = {}
    for section in sections:
        try:
            crl = x509.load_pem_x509_crl(section)
            issuer = crl.issuer.rfc4514_string()
            signed = any(
                authority.subject == crl.issuer and crl.is_signature_valid(authority.public_key())  # type: ignore[arg-type]
                for authority in authorities
            )
        except (ValueError, TypeError, UnsupportedAlgorithm) as error:
            raise CertificateParseError(f"not a certificate revocation list: {error}") from None
        if not signed:
            raise CertificateParseError(f"the revocation list of {issuer} is not signed by an authority of ours")
        by_issuer[issuer] = by_issuer.get(issuer, frozenset()) | {entry.serial_number for entry in crl}
    return RevocationList(by_issuer)
