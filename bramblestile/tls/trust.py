"""The trust store: an operator's certificate files, loaded as a whole or rejected as a whole."""

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
_store_numbers = itertools.count(1)


class TlsFilesError(Exception):
    """A file cannot be used. The text is one line with the configuration key, the file and the reason."""


@dataclass(slots=True, frozen=True)
class TlsFiles:
    """The configured files. ``skip_verification`` accepts hosts with any certificate, valid or not."""

    ca: Path | None
    cert: Path | None = None
    key: Path | None = None
    crl: Path | None = None
    min_version: str = "1.2"
    skip_verification: bool = False

    def paths(self) -> tuple[Path, ...]:
        """Return the paths of all configured files."""
        return tuple(p for p in (self.ca, self.cert, self.key, self.crl) if p is not None)


@dataclass(slots=True, frozen=True)
class TrustStore:
    """The files as they were at one moment. A TLS session belongs to the context, and so to the store, it began with.

    OpenSSL checks DNS names and IP addresses with ``hostname_context``. URIs are checked by ``verification``, with
    ``uri_context``. ``snapshot`` holds the configuration and the bytes of all files, so that a file that was only
    touched is not taken for a changed one.
    """

    number: int
    hostname_context: ssl.SSLContext
    uri_context: ssl.SSLContext
    revoked: RevocationList
    client_chain: tuple[CertificateInfo, ...]
    authorities: tuple[CertificateInfo, ...]
    snapshot: tuple[bytes, ...] = field(repr=False)
    skip_verification: bool = False

    def expiry_warnings(self, now: datetime, warning_period: timedelta) -> list[str]:
        """Return a line for each certificate of ours that has expired or expires within the warning period."""
        warnings = []
        for role, certificate in (
            *(("client certificate", c) for c in self.client_chain[:1]),
            *(("authority", c) for c in self.authorities),
        ):
            remaining = certificate.not_after - now
            if remaining <= warning_period:
                expiry = (
                    f"expired {certificate.not_after:%Y-%m-%d %H:%M}Z"
                    if remaining < timedelta(0)
                    else (f"expires {certificate.not_after:%Y-%m-%d %H:%M}Z, in {remaining.days} d")
                )
                warnings.append(f"{role} {certificate.subject}: {expiry}")
        return warnings


def _read(key: str, path: Path) -> bytes:
    try:
        with open(path, "rb") as file:
            content = file.read(certificates.MAX_PEM_BYTES + 1)
    except OSError as error:
        raise TlsFilesError(f"{key}: {path}: {error.strerror}") from None
    if len(content) > certificates.MAX_PEM_BYTES:
        raise TlsFilesError(f"{key}: {path}: over {certificates.MAX_PEM_BYTES} bytes")
    return content


def _check_mode(path: Path) -> None:
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
    except OSError as error:
        raise TlsFilesError(f"key: {path}: {error.strerror}") from None
    if mode & 0o077:
        raise TlsFilesError(f"key: {path}: others may read it (mode {mode:04o}); it must be 0600")


def _make_context(files: TlsFiles, ca: bytes | None, checks_hostname: bool) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = VERSIONS[files.min_version]
    # With renegotiation a host could make any demand in mid-stream, and the size of compressed records reveals their
    # content.
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    context.check_hostname = checks_hostname and not files.skip_verification
    if files.skip_verification:
        context.verify_mode = ssl.CERT_NONE
    elif ca is not None:
        context.load_verify_locations(cadata=ca.decode("ascii", "replace"))
    if files.cert is not None and files.key is not None:
        context.load_cert_chain(files.cert, files.key, password=lambda: b"")
    return context


def load_trust_store(files: TlsFiles, previous: TrustStore | None = None) -> TrustStore:
    """Load all files, or raise TlsFilesError.

    Returns ``previous`` itself if no byte has changed, so that its TLS sessions remain usable.
    """
    if files.key is not None:
        _check_mode(files.key)
    contents = {
        name: _read(name, path) for name in ("ca", "cert", "key", "crl") if (path := getattr(files, name)) is not None
    }
    snapshot = (repr(files).encode(), *contents.values())
    if previous is not None and previous.snapshot == snapshot:
        return previous
    authorities: Sequence[x509.Certificate] = ()
    client_chain: Sequence[x509.Certificate] = ()
    revoked = RevocationList()
    name = ""
    try:
        if "ca" in contents:
            name = "ca"
            authorities = certificates.parse_pem(contents["ca"])
        if "cert" in contents:
            name = "cert"
            client_chain = certificates.parse_pem(contents["cert"])
        if "key" in contents:
            name = "key"
            certificates.check_key_matches(client_chain[0], contents["key"])
        if "crl" in contents:
            name = "crl"
            revoked = certificates.parse_revocation_lists(contents["crl"], authorities)
    except CertificateParseError as error:
        raise TlsFilesError(f"{name}: {getattr(files, name)}: {error}") from None
    try:
        contexts = [_make_context(files, contents.get("ca"), checks_hostname) for checks_hostname in (True, False)]
    except (ssl.SSLError, OSError) as error:
        raise TlsFilesError(f"cert: {files.cert or files.ca}: {error}") from None
    # OpenSSL reads certificate and key from the files itself, so make sure that it read what was checked above.
    if any(_read(n, getattr(files, n)) != contents[n] for n in ("cert", "key") if n in contents):
        raise TlsFilesError(f"cert: {files.cert}: changed while it was read")
    return TrustStore(
        next(_store_numbers),
        contexts[0],
        contexts[1],
        revoked,
        certificates.certificate_infos(client_chain),
        certificates.certificate_infos(authorities),
        snapshot,
        files.skip_verification,
    )
