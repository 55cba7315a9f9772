"""Whether a host's certificates prove who it is; no I/O, and the time is an argument.

OpenSSL verifies the chain's signatures in the handshake. What it cannot know is judged here: names in URI form, lists
of revoked ones, the clock that we are told, and a resumed session, in which no certificate is shown and OpenSSL checks
nothing again: a certificate that has expired since its session began must not live on through tickets.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

MAX_LISTED_NAMES = 4  # of a certificate's names that a message lists
# OpenSSL's X509_V_ERR numbers, from x509_vfy.h; kept by it since 1.1.
_NOT_YET, _EXPIRED, _SELF_SIGNED, _SELF_SIGNED_IN_CHAIN = 9, 10, 18, 19
_NO_ISSUER, _NO_LEAF_ISSUER, _BAD_SIGNATURE, _WRONG_HOST, _WRONG_IP = 20, 21, 7, 62, 64
_PURPOSE = 26


class FailureReason(Enum):
    """Why a host is refused; its value is the counter's name after ``tls_refused_``."""

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
    """What a certificate says. Times are aware, in UTC; ``sha256`` names the whole of it."""

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
    DNS = "dns"
    IP = "ip"
    URI = "uri"


@dataclass(slots=True, frozen=True)
class ExpectedName:
    """Who a host must prove to be."""

    kind: NameKind
    value: str

    def __str__(self) -> str:
        return self.value


def parse_name(text: str) -> ExpectedName:
    """``spiffe://...`` and other URIs by their scheme, addresses by their form, and DNS names. ValueError."""
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


def matches_name(name: ExpectedName, facts: CertificateInfo) -> bool:
    """RFC 6125: a wildcard stands for the whole leftmost label and no other. A URI is compared as it is."""
    if name.kind is NameKind.URI:
        return name.value in facts.uris
    if name.kind is NameKind.IP:
        return name.value in facts.ip_addresses
    return any(_dns_matches(name.value, pattern.lower()) for pattern in facts.dns_names)


def _dns_matches(name: str, pattern: str) -> bool:
    if not pattern.startswith("*."):
        return name == pattern
    first, _, rest = name.partition(".")
    return bool(first) and rest == pattern[2:] and "." in rest


@dataclass(slots=True, frozen=True)
class VerificationFailure:
    """Why a host is refused: ``text`` names subject, reason and dates in one line."""

    reason: FailureReason
    text: str


@dataclass(slots=True, frozen=True)
class RevocationList:
    """Lists of revoked certificates: serials by issuer."""

    serials: Mapping[str, frozenset[int]] = field(default_factory=dict)

    def contains(self, facts: CertificateInfo) -> bool:
        return facts.serial in self.serials.get(facts.issuer, ())


def verify_chain(
    chain: Sequence[CertificateInfo], name: ExpectedName, now: datetime, revoked: RevocationList
) -> VerificationFailure | None:
    """The first thing that is wrong with a chain, the leaf first; None: nothing."""
    if not chain:
        return VerificationFailure(FailureReason.NO_CERTIFICATE, "no certificate was shown")
    for place, facts in enumerate(chain):
        problem = _dates(facts, place, now)
        if problem is not None:
            return problem
        if revoked.contains(facts):
            return VerificationFailure(FailureReason.REVOKED, f"{_who(facts, place)}: revoked, serial {facts.serial:x}")
    if not matches_name(name, chain[0]):
        return _wrong_name(chain[0], name)
    return None


def _who(facts: CertificateInfo, place: int) -> str:
    return facts.subject or "(no subject)" if place == 0 else f"issuer {facts.subject}"


def _dates(facts: CertificateInfo, place: int, now: datetime) -> VerificationFailure | None:
    if now > facts.not_after:
        return VerificationFailure(
            FailureReason.EXPIRED,
            f"{_who(facts, place)}: expired {_at(facts.not_after)}, {_span(now - facts.not_after)} ago",
        )
    if now < facts.not_before:
        return VerificationFailure(
            FailureReason.NOT_YET_VALID,
            f"{_who(facts, place)}: valid from {_at(facts.not_before)}, in {_span(facts.not_before - now)}",
        )
    return None


def _wrong_name(facts: CertificateInfo, name: ExpectedName) -> VerificationFailure:
    shown = [*facts.dns_names, *facts.ip_addresses, *facts.uris]
    more = f" and {len(shown) - MAX_LISTED_NAMES} more" if len(shown) > MAX_LISTED_NAMES else ""
    names = ", ".join(shown[:MAX_LISTED_NAMES]) + more if shown else "no name"
    return VerificationFailure(FailureReason.WRONG_NAME, f"{_who(facts, 0)}: is for {names}, not for {name}")


def from_openssl_error(
    code: int, words: str, chain: Sequence[CertificateInfo], name: ExpectedName, now: datetime
) -> VerificationFailure:
    """What OpenSSL's verification found, told with the certificate that it was found in where that can be known."""
    leaf = _who(chain[0], 0) if chain else "(not shown)"
    if code in (_EXPIRED, _NOT_YET):
        for place, facts in enumerate(chain):
            problem = _dates(facts, place, now)
            if problem is not None:
                return problem
        # Its clock and ours disagree, or it is one of our own authorities.
        kind = FailureReason.EXPIRED if code == _EXPIRED else FailureReason.NOT_YET_VALID
        return VerificationFailure(kind, f"{leaf}: {words}, of an authority of ours or by the system's clock")
    if code in (_WRONG_HOST, _WRONG_IP) and chain:
        return _wrong_name(chain[0], name)
    if code == _SELF_SIGNED:
        return VerificationFailure(FailureReason.SELF_SIGNED, f"{leaf}: self-signed, and not one of ours")
    if code == _SELF_SIGNED_IN_CHAIN:
        return VerificationFailure(
            FailureReason.UNKNOWN_ISSUER,
            f"{leaf}: its chain ends in {chain[-1].subject if chain else '?'}, which is no authority of ours",
        )
    if code in (_NO_ISSUER, _NO_LEAF_ISSUER):
        last = chain[-1].issuer if chain else "?"
        return VerificationFailure(
            FailureReason.UNKNOWN_ISSUER,
            f"{leaf}: its issuer {last} was not sent and is no authority of ours "
            "(an intermediate is missing, or the authority is another)",
        )
    if code == _BAD_SIGNATURE:
        return VerificationFailure(
            FailureReason.BAD_SIGNATURE, f"{leaf}: its signature is not that of {chain[0].issuer if chain else '?'}"
        )
    if code == _PURPOSE:
        return VerificationFailure(FailureReason.WRONG_PURPOSE, f"{leaf}: not issued for a server")
    return VerificationFailure(FailureReason.OTHER, f"{leaf}: {words}")


def next_expiry(
    chain: Sequence[CertificateInfo], now: datetime, within: timedelta
) -> tuple[CertificateInfo, timedelta] | None:
    """The certificate that expires first, if that is within the span, and what is left of it."""
    first = min(chain, key=lambda facts: facts.not_after, default=None)
    if first is None or not timedelta(0) <= first.not_after - now <= within:
        return None
    return first, first.not_after - now


def _at(when: datetime) -> str:
    return f"{when:%Y-%m-%d %H:%M:%S}Z"


def _span(span: timedelta) -> str:
    """The two largest units that say something."""
    seconds = int(span.total_seconds())
    days, hours, minutes = seconds // 86400, seconds // 3600 % 24, seconds // 60 % 60
    if days:
        return f"{days} d {hours} h"
    if hours:
        return f"{hours} h {minutes} min"
    return f"{minutes} min {seconds % 60} s" if minutes else f"{seconds} s"
