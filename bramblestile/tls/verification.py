"""Verification of a host's certificate chain. No I/O; the current time is an argument.

OpenSSL verifies the signatures of the chain during the handshake. This module checks what OpenSSL does not: names in
URI form, revocation lists, and validity by the caller's clock. It also checks resumed sessions, where the host presents
no certificate and OpenSSL verifies nothing again: without it, session tickets would extend the life of a certificate
that expired after its session began.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

MAX_LISTED_NAMES = 4  # names of a certificate that an error message lists
# Verification results of OpenSSL, X509_V_ERR_... in x509_vfy.h. Their numbers have been stable since OpenSSL 1.1.
_CERT_SIGNATURE_FAILURE = 7
_CERT_NOT_YET_VALID = 9
_CERT_HAS_EXPIRED = 10
_SELF_SIGNED_CERT = 18
_SELF_SIGNED_CERT_IN_CHAIN = 19
_ISSUER_NOT_FOUND = 20
_LEAF_ISSUER_NOT_FOUND = 21
_INVALID_PURPOSE = 26
_HOSTNAME_MISMATCH = 62
_IP_ADDRESS_MISMATCH = 64


class FailureReason(Enum):
    """Why a host's certificate is refused. The value is the suffix of the counter ``tls_refused_...``."""

    EXPIRED = "expired"
    NOT_YET_VALID = "not_yet_valid"
    WRONG_NAME = "wrong_name"
    REVOKED = "revoked"
    SELF_SIGNED = "self_signed"
    UNKNOWN_ISSUER = "unknown_issuer"
    BAD_SIGNATURE = "bad_signature"
    WRONG_PURPOSE = "wrong_purpose"
    NO_CERTIFICATE = "none_shown"
    OTHER = "other"


@dataclass(slots=True, frozen=True)
class CertificateInfo:
    """The parsed fields of a certificate.

    Times are timezone-aware, in UTC. ``dns_names``, ``ip_addresses`` and ``uris`` are its subject alternative names;
    ``sha256`` is the fingerprint of the whole certificate.
    """

    subject: str
    issuer: str
    serial: int
    not_before: datetime
    not_after: datetime
    dns_names: tuple[str, ...] = ()
    ip_addresses: tuple[str, ...] = ()
    uris: tuple[str, ...] = ()
    sha256: str = ""


class NameKind(Enum):
    """The kinds of subject alternative names that are supported."""

    DNS = "dns"
    IP = "ip"
    URI = "uri"


@dataclass(slots=True, frozen=True)
class ExpectedName:
    """The name that a host's certificate must contain."""

    kind: NameKind
    value: str

    def __str__(self) -> str:
        return self.value


def parse_name(text: str) -> ExpectedName:
    """Parse a name: a URI if it has a scheme (``spiffe://...``), an IP address, or else a DNS name.

    Raises ValueError if it is none of these.
    """
    if "://" in text:
        return ExpectedName(NameKind.URI, text)
    try:
        return ExpectedName(NameKind.IP, str(ipaddress.ip_address(text)))
    except ValueError:
        pass
    labels = text.split(".")
    if (
        len(text) > 253
        or any(not 0 < len(label) <= 63 for label in labels)
        or not all(c.isascii() and (c.isalnum() or c in "-_") for label in labels for c in label)
    ):
        raise ValueError(f"{text!r} is no name that a certificate can prove")
    return ExpectedName(NameKind.DNS, text.lower())


def matches_name(name: ExpectedName, certificate: CertificateInfo) -> bool:
    """Return whether the certificate contains the name.

    A wildcard matches the whole leftmost label and no other (RFC 6125). URIs are compared without normalisation.
    """
    if name.kind is NameKind.URI:
        return name.value in certificate.uris
    if name.kind is NameKind.IP:
        return name.value in certificate.ip_addresses
    return any(_matches_dns_name(name.value, pattern.lower()) for pattern in certificate.dns_names)


def _matches_dns_name(name: str, pattern: str) -> bool:
    if not pattern.startswith("*."):
        return name == pattern
    first_label, _, parent = name.partition(".")
    return bool(first_label) and parent == pattern[2:] and "." in parent


@dataclass(slots=True, frozen=True)
class VerificationFailure:
    """Why a chain was refused. ``text`` is one line with the certificate's subject, the reason and any dates."""

    reason: FailureReason
    text: str


@dataclass(slots=True, frozen=True)
class RevocationList:
    """The serial numbers of revoked certificates, by issuer."""

    serials: Mapping[str, frozenset[int]] = field(default_factory=dict)

    def contains(self, certificate: CertificateInfo) -> bool:
        """Return whether the certificate is revoked."""
        return certificate.serial in self.serials.get(certificate.issuer, ())


def verify_chain(
    chain: Sequence[CertificateInfo], name: ExpectedName, now: datetime, revoked: RevocationList
) -> VerificationFailure | None:
    """Return the first failure of a chain, whose leaf comes first, or None if the chain is acceptable."""
    if not chain:
        return VerificationFailure(FailureReason.NO_CERTIFICATE, "no certificate was shown")
    for depth, certificate in enumerate(chain):
        failure = _check_validity(certificate, depth, now)
        if failure is not None:
            return failure
        if revoked.contains(certificate):
            return VerificationFailure(
                FailureReason.REVOKED, f"{_describe(certificate, depth)}: revoked, serial {certificate.serial:x}"
            )
    if not matches_name(name, chain[0]):
        return _name_mismatch(chain[0], name)
    return None


def _describe(certificate: CertificateInfo, depth: int) -> str:
    return certificate.subject or "(no subject)" if depth == 0 else f"issuer {certificate.subject}"


def _check_validity(certificate: CertificateInfo, depth: int, now: datetime) -> VerificationFailure | None:
    if now > certificate.not_after:
        return VerificationFailure(
            FailureReason.EXPIRED,
            f"{_describe(certificate, depth)}: expired {_format_time(certificate.not_after)}, "
            f"{_format_duration(now - certificate.not_after)} ago",
        )
    if now < certificate.not_before:
        return VerificationFailure(
            FailureReason.NOT_YET_VALID,
            f"{_describe(certificate, depth)}: valid from {_format_time(certificate.not_before)}, "
            f"in {_format_duration(certificate.not_before - now)}",
        )
    return None


def _name_mismatch(certificate: CertificateInfo, name: ExpectedName) -> VerificationFailure:
    present = [*certificate.dns_names, *certificate.ip_addresses, *certificate.uris]
    more = f" and {len(present) - MAX_LISTED_NAMES} more" if len(present) > MAX_LISTED_NAMES else ""
    names = ", ".join(present[:MAX_LISTED_NAMES]) + more if present else "no name"
    return VerificationFailure(FailureReason.WRONG_NAME, f"{_describe(certificate, 0)}: is for {names}, not for {name}")


def from_openssl_error(
    code: int, message: str, chain: Sequence[CertificateInfo], name: ExpectedName, now: datetime
) -> VerificationFailure:
    """Translate OpenSSL's verification error, and name the certificate that caused it where that can be determined."""
    leaf = _describe(chain[0], 0) if chain else "(not shown)"
    if code in (_CERT_HAS_EXPIRED, _CERT_NOT_YET_VALID):
        for depth, certificate in enumerate(chain):
            failure = _check_validity(certificate, depth, now)
            if failure is not None:
                return failure
        # Either OpenSSL uses another clock than ours, or the certificate is one of our own authorities.
        reason = FailureReason.EXPIRED if code == _CERT_HAS_EXPIRED else FailureReason.NOT_YET_VALID
        return VerificationFailure(reason, f"{leaf}: {message}, of an authority of ours or by the system's clock")
    if code in (_HOSTNAME_MISMATCH, _IP_ADDRESS_MISMATCH) and chain:
        return _name_mismatch(chain[0], name)
    if code == _SELF_SIGNED_CERT:
        return VerificationFailure(FailureReason.SELF_SIGNED, f"{leaf}: self-signed, and not one of ours")
    if code == _SELF_SIGNED_CERT_IN_CHAIN:
        return VerificationFailure(
            FailureReason.UNKNOWN_ISSUER,
            f"{leaf}: its chain ends in {chain[-1].subject if chain else '?'}, which is no authority of ours",
        )
    if code in (_ISSUER_NOT_FOUND, _LEAF_ISSUER_NOT_FOUND):
        last_issuer = chain[-1].issuer if chain else "?"
        return VerificationFailure(
            FailureReason.UNKNOWN_ISSUER,
            f"{leaf}: its issuer {last_issuer} was not sent and is no authority of ours "
            "(an intermediate is missing, or the authority is another)",
        )
    if code == _CERT_SIGNATURE_FAILURE:
        return VerificationFailure(
            FailureReason.BAD_SIGNATURE, f"{leaf}: its signature is not that of {chain[0].issuer if chain else '?'}"
        )
    if code == _INVALID_PURPOSE:
        return VerificationFailure(FailureReason.WRONG_PURPOSE, f"{leaf}: not issued for a server")
    return VerificationFailure(FailureReason.OTHER, f"{leaf}: {message}")


def next_expiry(
    chain: Sequence[CertificateInfo], now: datetime, warning_period: timedelta
) -> tuple[CertificateInfo, timedelta] | None:
    """Return the certificate that expires first and its remaining time, or None if that exceeds ``warning_period``.

    Returns None for an expired certificate too: ``verify_chain`` reports that one.
    """
    first = min(chain, key=lambda certificate: certificate.not_after, default=None)
    if first is None or not timedelta(0) <= first.not_after - now <= warning_period:
        return None
    return first, first.not_after - now


def _format_time(when: datetime) -> str:
    return f"{when:%Y-%m-%d %H:%M:%S}Z"


def _format_duration(duration: timedelta) -> str:
    """Format a duration with its two largest units."""
    seconds = int(duration.total_seconds())
    days, hours, minutes = seconds // 86400, seconds // 3600 % 24, seconds // 60 % 60
    if days:
        return f"{days} d {hours} h"
    if hours:
        return f"{hours} h {minutes} min"
    return f"{minutes} min {seconds % 60} s" if minutes else f"{seconds} s"
