"""An operator's files, read whole or refused whole, as what handshakes need of them."""

from __future__ import annotations

import itertools
import os
import ssl
import stat
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path

from cryptography import x509

from bramblestile.tls import certificates
from bramblestile.tls.certificates import UnreadableError
from bramblestile.tls.judging import Facts, Revoked

VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
_numbers = itertools.count(1)


class TrustError(Exception):
    """The text names the key of the configuration and the file, in one line."""


@dataclass(slots=True, frozen=True)
class Files:
    """Where an operator keeps them. ``unverified`` takes any certificate, or none that is sound."""

    ca: Path | None
    cert: Path | None = None
    key: Path | None = None
    crl: Path | None = None
    least: str = "1.2"
    unverified: bool = False

    def paths(self) -> tuple[Path, ...]:
        return tuple(p for p in (self.ca, self.cert, self.key, self.crl) if p is not None)


@dataclass(slots=True, frozen=True)
class Trust:
    """One state of the files. A session belongs to the context that it was made with, so to one ``Trust``."""

    number: int
    named: ssl.SSLContext  # OpenSSL checks the name: DNS and IP
    nameless: ssl.SSLContext  # we check it: URI
    revoked: Revoked
    own: tuple[Facts, ...]  # the client's chain
    authorities: tuple[Facts, ...]
    raw: tuple[bytes, ...] = field(repr=False)  # by which a file that was only touched is told from a new one
    unverified: bool = False

    def expiring(self, now: datetime, within: timedelta) -> list[str]:
        """A line for each of our own certificates that has expired, or will within the span."""
        said = []
        for what, facts in (
            *(("client certificate", f) for f in self.own[:1]),
            *(("authority", f) for f in self.authorities),
        ):
            left = facts.not_after - now
            if left <= within:
                when = (
                    f"expired {facts.not_after:%Y-%m-%d %H:%M}Z"
                    if left < timedelta(0)
                    else (f"expires {facts.not_after:%Y-%m-%d %H:%M}Z, in {left.days} d")
                )
                said.append(f"{what} {facts.subject}: {when}")
        return said


def _read(key: str, path: Path) -> bytes:
    try:
        with open(path, "rb") as file:
            raw = file.read(certificates.MOST_PEM + 1)
    except OSError as error:
        raise TrustError(f"{key}: {path}: {error.strerror}") from None
    if len(raw) > certificates.MOST_PEM:
        raise TrustError(f"{key}: {path}: over {certificates.MOST_PEM} bytes")
    return raw


def _check_mode(path: Path) -> None:
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
    except OSError as error:
        raise TrustError(f"key: {path}: {error.strerror}") from None
    if mode & 0o077:
        raise TrustError(f"key: {path}: others may read it (mode {mode:04o}); it must be 0600")


def _context(files: Files, ca: bytes | None, named: bool) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = VERSIONS[files.least]
    # A renegotiation could ask for anything in mid-stream; a compressed stream tells of its content by its size.
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    context.check_hostname = named and not files.unverified
    if files.unverified:
        context.verify_mode = ssl.CERT_NONE
    elif ca is not None:
        context.load_verify_locations(cadata=ca.decode("ascii", "replace"))
    if files.cert is not None and files.key is not None:
        context.load_cert_chain(files.cert, files.key, password=lambda: b"")
    return context


def load(files: Files, before: Trust | None = None) -> Trust:
    """All files, or TrustError and nothing. ``before`` itself where no byte has changed: its sessions stay good."""
    if files.key is not None:
        _check_mode(files.key)
    raws = {
        name: _read(name, path) for name in ("ca", "cert", "key", "crl") if (path := getattr(files, name)) is not None
    }
    raw = (repr(files).encode(), *raws.values())
    if before is not None and before.raw == raw:
        return before
    authorities: Sequence[x509.Certificate] = ()
    own: Sequence[x509.Certificate] = ()
    revoked = Revoked()
    name = ""
    try:
        if "ca" in raws:
            name = "ca"
            authorities = certificates.read_all(raws["ca"])
        if "cert" in raws:
            name = "cert"
            own = certificates.read_all(raws["cert"])
        if "key" in raws:
            name = "key"
            certificates.check_pair(own[0], raws["key"])
        if "crl" in raws:
            name = "crl"
            revoked = certificates.revoked(raws["crl"], authorities)
    except UnreadableError as error:
        raise TrustError(f"{name}: {getattr(files, name)}: {error}") from None
    try:
        contexts = [_context(files, raws.get("ca"), named) for named in (True, False)]
    except (ssl.SSLError, OSError) as error:
        raise TrustError(f"cert: {files.cert or files.ca}: {error}") from None
    # OpenSSL has read the pair from the files by itself: what it read must be what was checked.
    if any(_read(n, getattr(files, n)) != raws[n] for n in ("cert", "key") if n in raws):
        raise TrustError(f"cert: {files.cert}: changed while it was read")
    return Trust(
        next(_numbers),
        contexts[0],
        contexts[1],
        revoked,
        certificates.facts(own),
        certificates.facts(authorities),
        raw,
        files.unverified,
    )
