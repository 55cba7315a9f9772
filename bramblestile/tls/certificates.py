"""Certificates, keys and lists of revoked ones, read with ``cryptography``; nothing here touches a file or a socket."""

from __future__ import annotations

import hashlib
import warnings
from collections.abc import Sequence
from functools import lru_cache

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives import serialization

from bramblestile.tls.judging import Facts, Revoked

MOST_CHAIN = 10  # certificates that a host may show; OpenSSL's own bound is ten deep, in 100 KiB
MOST_PEM = 4 << 20  # bytes of one file of ours


class UnreadableError(ValueError):
    """Bytes that are not what they should be; the text says what they are not."""


def _facts(cert: x509.Certificate, der: bytes) -> Facts:
    try:
        names = cert.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except (x509.ExtensionNotFound, ValueError):
        names = None
    return Facts(
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
def facts_of(der: bytes) -> Facts:
    """UnreadableError where a host has sent something else."""
    try:
        return _facts(x509.load_der_x509_certificate(der), der)
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        raise UnreadableError(f"not a certificate: {error}") from None


def chain_of(ders: Sequence[bytes]) -> tuple[Facts, ...]:
    if len(ders) > MOST_CHAIN:
        raise UnreadableError(f"a chain of {len(ders)} certificates, over {MOST_CHAIN}")
    return tuple(map(facts_of, ders))


def read_all(pem: bytes) -> tuple[x509.Certificate, ...]:
    """The certificates of a PEM file, at least one. A half-written last one is an error, not one less."""
    if pem.count(b"-----BEGIN CERTIFICATE-----") != pem.count(b"-----END CERTIFICATE-----"):
        raise UnreadableError("a certificate is cut off")
    try:
        with warnings.catch_warnings():
            warnings.simplefilter("ignore")  # odd serials and the like in others' authorities
            found = x509.load_pem_x509_certificates(pem)
    except (ValueError, UnsupportedAlgorithm) as error:
        raise UnreadableError(f"not PEM certificates: {error}") from None
    return tuple(found)


def facts(certs: Sequence[x509.Certificate]) -> tuple[Facts, ...]:
    return tuple(_facts(c, c.public_bytes(serialization.Encoding.DER)) for c in certs)


def check_pair(cert: x509.Certificate, key_pem: bytes) -> None:
    """UnreadableError where the key is none, is locked, or belongs to another certificate."""
    try:
        key = serialization.load_pem_private_key(key_pem, password=None)
    except TypeError:
        raise UnreadableError("the key is locked by a password") from None
    except (ValueError, UnsupportedAlgorithm) as error:
        raise UnreadableError(f"not a PEM key: {str(error).splitlines()[0] if str(error) else 'unreadable'}") from None

    def public(of: object) -> bytes:
        return of.public_bytes(  # type: ignore[attr-defined,no-any-return]
            serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
        )

    if public(key.public_key()) != public(cert.public_key()):
        raise UnreadableError(f"the key belongs to another certificate than {cert.subject.rfc4514_string()}")


def revoked(pem: bytes, authorities: Sequence[x509.Certificate]) -> Revoked:
    """All lists of a PEM file. One that no authority of ours has signed is refused: anyone could have written it."""
    mark = b"-----BEGIN X509 CRL-----"
    parts = [mark + part for part in pem.split(mark)[1:]]
    if not parts:
        raise UnreadableError("holds no list of revoked certificates (PEM, X509 CRL)")
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
            raise UnreadableError(f"not a list of revoked certificates: {error}") from None
        if not signed:
            raise UnreadableError(f"the list of {issuer} is not signed by an authority of ours")
        by_issuer[issuer] = by_issuer.get(issuer, frozenset()) | {r.serial_number for r in crl}
    return Revoked(by_issuer)
