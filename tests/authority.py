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

from bramblestile.tls.dev_certificates import PrivateKey, certificate_pem, common_name, private_key_pem

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
        issuer: Authority | None = None,
        not_before: timedelta = -DAY,
        not_after: timedelta = 30 * DAY,
    ) -> None:
        self.issuer = issuer
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.cert: x509.Certificate
        now = datetime.now(UTC)
        signer = issuer.key if issuer else self.key
        self.cert = (
            self._builder(
                subject,
                issuer.cert.subject if issuer else common_name(subject),
                now + not_before,
                now + not_after,
                self.key,
            )
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True)
            .sign(signer, hashes.SHA256())
        )
        self.folder = Path(tempfile.mkdtemp(prefix="authority-"))
        self.ca_file = self.write("ca.pem", certificate_pem(self.cert))

    def _builder(
        self, subject: str, issuer: x509.Name, not_before: datetime, not_after: datetime, key: PrivateKey
    ) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(common_name(subject))
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(not_before)
            .not_valid_after(not_after)
        )

    def write(self, file: str, raw: bytes) -> Path:
        path = self.folder / file
        path.write_bytes(raw)
        path.chmod(0o600)
        return path

    def issue(
        self,
        *names: str,
        not_before: timedelta = -DAY,
        not_after: timedelta = 7 * DAY,
        with_chain: bool = True,
        for_server: bool = True,
        key: PrivateKey | None = None,
    ) -> IssuedCertificate:
        """A certificate for these names; the first is its subject too."""
        key = key or ec.generate_private_key(ec.SECP256R1())
        now = datetime.now(UTC)
        use = ExtendedKeyUsageOID.SERVER_AUTH if for_server else ExtendedKeyUsageOID.CLIENT_AUTH
        cert = (
            self._builder(names[0], self.cert.subject, now + not_before, now + not_after, key)
            .add_extension(x509.SubjectAlternativeName([alternative(n) for n in names]), critical=False)
            .add_extension(x509.ExtendedKeyUsage([use]), critical=False)
            .sign(self.key, hashes.SHA256())
        )
        chain = [cert] + ([self.cert] if with_chain and self.issuer else [])
        return IssuedCertificate(self, cert, key, chain)

    def revoke(self, *issued: IssuedCertificate) -> Path:
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


class IssuedCertificate:
    def __init__(self, by: Authority, cert: x509.Certificate, key: PrivateKey, chain: list[x509.Certificate]) -> None:
        self.cert, self.key, self.chain = cert, key, chain
        serial = f"{cert.serial_number:x}"[:12]
        self.cert_file = by.write(f"{serial}.pem", b"".join(map(certificate_pem, chain)))
        self.key_file = by.write(f"{serial}.key", private_key_pem(key))

    def server_context(
        self, client_authority: Authority | None = None, max_version: ssl.TLSVersion | None = None
    ) -> ssl.SSLContext:
        """A host's side; ``clients``: only those that this authority has signed."""
        made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        made.load_cert_chain(self.cert_file, self.key_file)
        if client_authority is not None:
            made.verify_mode = ssl.CERT_REQUIRED
            made.load_verify_locations(client_authority.ca_file)
        if max_version is not None:
            made.maximum_version = max_version
        return made


@cache
def shared_authority() -> Authority:
    """One for all scenarios that only need TLS to be there."""
    return Authority()


@cache
def server_context(host: str) -> ssl.SSLContext:
    return shared_authority().issue(host).server_context()
