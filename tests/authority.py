"""Authorities and certificates for the tests, made at run time; none is kept in the repository."""

from __future__ import annotations

import ipaddress
import ssl
import tempfile
from datetime import UTC, datetime, timedelta
from functools import cache
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID

from bramblestile.tls.making import Key, common, key_pem, pem

DAY = timedelta(days=1)


def alternative(text: str) -> x509.GeneralName:
    if "://" in text:
        return x509.UniformResourceIdentifier(text)
    try:
        return x509.IPAddress(ipaddress.ip_address(text))
    except ValueError:
        return x509.DNSName(text)


class Authority:
    """A root, or with ``above`` an intermediate. ``files``: where what is issued lies."""

    def __init__(
        self,
        subject: str = "test authority",
        above: Authority | None = None,
        since: timedelta = -DAY,
        until: timedelta = 30 * DAY,
    ) -> None:
        self.above = above
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.cert: x509.Certificate
        now = datetime.now(UTC)
        signer = above.key if above else self.key
        self.cert = (
            self._builder(subject, above.cert.subject if above else common(subject), now + since, now + until, self.key)
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True)
            .sign(signer, hashes.SHA256())
        )
        self.folder = Path(tempfile.mkdtemp(prefix="authority-"))
        self.file = self.write("ca.pem", pem(self.cert))

    def _builder(
        self, subject: str, issuer: x509.Name, since: datetime, until: datetime, key: Key
    ) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(common(subject))
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(since)
            .not_valid_after(until)
        )

    def write(self, file: str, raw: bytes) -> Path:
        path = self.folder / file
        path.write_bytes(raw)
        path.chmod(0o600)
        return path

    def issue(
        self,
        *names: str,
        since: timedelta = -DAY,
        until: timedelta = 7 * DAY,
        with_chain: bool = True,
        server: bool = True,
        key: Key | None = None,
    ) -> Issued:
        """A certificate for these names; the first is its subject too."""
        key = key or ec.generate_private_key(ec.SECP256R1())
        now = datetime.now(UTC)
        use = ExtendedKeyUsageOID.SERVER_AUTH if server else ExtendedKeyUsageOID.CLIENT_AUTH
        cert = (
            self._builder(names[0], self.cert.subject, now + since, now + until, key)
            .add_extension(x509.SubjectAlternativeName([alternative(n) for n in names]), critical=False)
            .add_extension(x509.ExtendedKeyUsage([use]), critical=False)
            .sign(self.key, hashes.SHA256())
        )
        chain = [cert] + ([self.cert] if with_chain and self.above else [])
        return Issued(self, cert, key, chain)

    def revoke(self, *issued: Issued) -> Path:
        """A list of these as revoked."""
        now = datetime.now(UTC)
        made = (
            x509.CertificateRevocationListBuilder()
            .issuer_name(self.cert.subject)
            .last_update(now - DAY)
            .next_update(now + DAY)
        )
        for one in issued:
            made = made.add_revoked_certificate(
                x509.RevokedCertificateBuilder()
                .serial_number(one.cert.serial_number)
                .revocation_date(now - DAY)
                .build()
            )
        return self.write("revoked.pem", made.sign(self.key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM))


class Issued:
    def __init__(self, by: Authority, cert: x509.Certificate, key: Key, chain: list[x509.Certificate]) -> None:
        self.cert, self.key, self.chain = cert, key, chain
        serial = f"{cert.serial_number:x}"[:12]
        self.cert_file = by.write(f"{serial}.pem", b"".join(map(pem, chain)))
        self.key_file = by.write(f"{serial}.key", key_pem(key))

    def server(self, clients: Authority | None = None, most: ssl.TLSVersion | None = None) -> ssl.SSLContext:
        """A host's side; ``clients``: only those that this authority has signed."""
        made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        made.load_cert_chain(self.cert_file, self.key_file)
        if clients is not None:
            made.verify_mode = ssl.CERT_REQUIRED
            made.load_verify_locations(clients.file)
        if most is not None:
            made.maximum_version = most
        return made


@cache
def shared() -> Authority:
    """One for all scenarios that only need TLS to be there."""
    return Authority()


@cache
def server_of(host: str) -> ssl.SSLContext:
    return shared().issue(host).server()
