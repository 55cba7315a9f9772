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
from bramblestile.tls.certificates import CertificateParseError
from bramblestile.tls.verification import CertificateInfo, RevocationList

VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
_numbers = itertools.count(1)


class TlsFilesError(Exception):
    """The text names the key of the configuration and the file, in one line."""


@dataclass(slots=True, frozen=True)
class TlsFiles:
    """Where an operator keeps them. ``skip_verification`` takes any certificate, or none that is sound."""

    ca: Path | None
    cert: Path | None = None
    key: Path | None = None
    crl: Path | None = None
    min_version: str = "1.2"
    skip_verification: bool = False

    def paths(self) -> tuple[Path, ...]:
        return tuple(p for p in (self.ca, self.cert, self.key, self.crl) if p is not None)


@dataclass(slots=True, frozen=True)
class TrustStore:
    """One state of the files. A session belongs to the context that it was made with, so to one ``Trust``."""

    number: int
    named: ssl.SSLContext  # OpenSSL checks the name: DNS and IP
    nameless: ssl.SSLContext  # we check it: URI
    revoked: RevocationList
    own: tuple[CertificateInfo, ...]  # the client's chain
    authorities: tuple[CertificateInfo, ...]
    raw: tuple[bytes, ...] = field(repr=False)  # by which a file that was only touched is told from a new one
    skip_verification: bool = False

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
            raw = file.read(certificates.MAX_PEM_BYTES + 1)
    except OSError as error:
        raise TlsFilesError(f"{key}: {path}: {error.strerror}") from None
    if len(raw) > certificates.MAX_PEM_BYTES:
        raise TlsFilesError(f"{key}: {path}: over {certificates.MAX_PEM_BYTES} bytes")
    return raw


def _check_mode(path: Path) -> None:
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
    except OSError as error:
        raise TlsFilesError(f"key: {path}: {error.strerror}") from None
    if mode & 0o077:
        raise TlsFilesError(f"key: {path}: others may read it (mode {mode:04o}); it must be 0600")


def _context(files: TlsFiles, ca: bytes | None, named: bool) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = VERSIONS[files.min_version]
    # A renegotiation could ask for anything in mid-stream; a compressed stream tells of its content by its size.
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    context.check_hostname = named and not files.skip_verification
    if files.skip_verification:
        context.verify_mode = ssl.CERT_NONE
    elif ca is not None:
        context.load_verify_locations(cadata=ca.decode("ascii", "replace"))
    if files.cert is not None and files.key is not None:
        context.load_cert_chain(files.cert, files.key, password=lambda: b"")
    return context


def load_trust_store(files: TlsFiles, before: TrustStore | None = None) -> TrustStore:
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
    revoked = RevocationList()
    name = ""
    try:
        if "ca" in raws:
            name = "ca"
            authorities = certificates.parse_pem(raws["ca"])
        if "cert" in raws:
            name = "cert"
            own = certificates.parse_pem(raws["cert"])
        if "key" in raws:
            name = "key"
            certificates.check_key_matches(own[0], raws["key"])
        if "crl" in raws:
            name = "crl"
            revoked = certificates.parse_revocation_lists(raws["crl"], authorities)
    except CertificateParseError as error:
        raise TlsFilesError(f"{name}: {getattr(files, name)}: {error}") from None
    try:
        contexts = [_context(files, raws.get("ca"), named) for named in (True, False)]
    except (ssl.SSLError, OSError) as error:
        raise TlsFilesError(f"cert: {files.cert or files.ca}: {error}") from None
    # OpenSSL has read the pair from the files by itself: what it read must be what was checked.
    if any(_read(n, getattr(files, n)) != raws[n] for n in ("cert", "key") if n in raws):
        raise TlsFilesError(f"cert: {files.cert}: changed while it was read")
    return TrustStore(
        next(_numbers),
        contexts[0],
        contexts[1],
        revoked,
        certificates.certificate_infos(own),
        certificates.certificate_infos(authorities),
        raw,
        files.skip_verification,
    )
