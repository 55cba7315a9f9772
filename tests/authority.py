"""Certificate authorities and certificates for tests. They are issued at run time; the repository contains none."""

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


def subject_alternative_name(text: str) -> x509.GeneralName:
    """Return the text as a URI, an IP address or a DNS name, depending on its form. Nothing is validated."""
    if "://" in text:
        return x509.UniformResourceIdentifier(text)
    try:
        return x509.IPAddress(ipaddress.ip_address(text))
    except ValueError:
        return x509.DNSName(text)


class Authority:
    """A root authority, or an intermediate one if it has an issuer.

    ``not_before`` and ``not_after`` are relative to now, here and in ``issue``. All files are written to ``folder``.
    """

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

    def write(self, name: str, content: bytes) -> Path:
        """Write a file that only its owner can read, and return its path."""
        path = self.folder / name
        path.write_bytes(content)
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
        """Issue a certificate for these names; the first one is also its subject."""
        key = key or ec.generate_private_key(ec.SECP256R1())
        now = datetime.now(UTC)
        usage = ExtendedKeyUsageOID.SERVER_AUTH if for_server else ExtendedKeyUsageOID.CLIENT_AUTH
        cert = (
            self._builder(names[0], self.cert.subject, now + not_before, now + not_after, key)
            .add_extension(x509.SubjectAlternativeName([subject_alternative_name(n) for n in names]), critical=False)
            .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
            .sign(self.key, hashes.SHA256())
        )
        chain = [cert] + ([self.cert] if with_chain and self.issuer else [])
        return IssuedCertificate(self, cert, key, chain)

    def revoke(self, *issued: IssuedCertificate) -> Path:
        """Write a revocation list with these certificates, and return its path."""
        now = datetime.now(UTC)
        builder = (
            x509.CertificateRevocationListBuilder()
            .issuer_name(self.cert.subject)
            .last_update(now - DAY)
            .next_update(now + DAY)
        )
        for certificate in issued:
            builder = builder.add_revoked_certificate(
                x509.RevokedCertificateBuilder()
                .serial_number(certificate.cert.serial_number)
                .revocation_date(now - DAY)
                .build()
            )
        return self.write(
            "revoked.pem", builder.sign(self.key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
        )


class IssuedCertificate:
    """A certificate with its key and its chain, in memory and as files."""

    def __init__(
        self, issuer: Authority, cert: x509.Certificate, key: PrivateKey, chain: list[x509.Certificate]
    ) -> None:
        self.cert, self.key, self.chain = cert, key, chain
        serial = f"{cert.serial_number:x}"[:12]
        self.cert_file = issuer.write(f"{serial}.pem", b"".join(map(certificate_pem, chain)))
        self.key_file = issuer.write(f"{serial}.key", private_key_pem(key))

    def server_context(
        self, client_authority: Authority | None = None, max_version: ssl.TLSVersion | None = None
    ) -> ssl.SSLContext:
        """Return a host's TLS context. With a client authority it requires client certificates signed by that one."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(self.cert_file, self.key_file)
        if client_authority is not None:
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(client_authority.ca_file)
        if max_version is not None:
            context.maximum_version = max_version
        return context


@cache
def shared_authority() -> Authority:
    """Return the authority of all tests that need TLS but no authority of their own."""
    return Authority()


@cache
def server_context(host: str) -> ssl.SSLContext:
    """Return the TLS context of a host with a certificate of the shared authority."""
    return shared_authority().issue(host).server_context()
