"""Channels to upstream hosts: the handshake budget, the dial, session resumption, the handshake and verification.

Every failure in this module concerns a request that never ran, because no byte of it has been sent.
``DialError.skipped`` distinguishes a host that was not contacted from one that failed.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from bramblestile import sockets
from bramblestile.clock import MICROSECOND, ZERO_DURATION, now
from bramblestile.log import Log
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.counters import Counters
from bramblestile.protocol import AttemptLimits
from bramblestile.sockets import DialError, Transport
from bramblestile.tls import verification
from bramblestile.tls.budget import HandshakeBudget, HandshakeRates
from bramblestile.tls.channel import CertificateVerificationError, HandshakeError, TlsChannel
from bramblestile.tls.refused_hosts import MAX_HOSTS, RefusedHosts
from bramblestile.tls.session_cache import CachedSession, SessionCache, SessionKey
from bramblestile.tls.trust import TlsFiles, TlsFilesError, TrustStore, load_trust_store
from bramblestile.tls.verification import CertificateInfo, ExpectedName, NameKind, VerificationFailure

MAX_WAIT_DIVISOR = 4  # a request spends at most a quarter of its time waiting: another host may have budget left
RECHECK_TIMEOUT = timedelta(seconds=1)  # for the handshake with a refused host
FILE_CHECK_INTERVAL = timedelta(seconds=1)  # between two checks whether our files have changed
EXPIRY_WARNING_INTERVAL = timedelta(hours=6)  # between two warnings about one host
MIN_SESSION_LIFETIME = timedelta(seconds=5)  # a session that expires sooner is not worth storing


class CertificateRefusedError(DialError):
    """The host's certificate is refused."""

    def __init__(self, host: str, failure: VerificationFailure) -> None:
        super().__init__(f"tls: {host}: {failure.text}")
        self.failure = failure


@dataclass(slots=True, frozen=True)
class DialerConfig:
    """The configuration of a dialer.

    ``name_template`` gives the name that a host's certificate must contain and may refer to ``{host}`` and
    ``{address}``. The ``tls_name`` of an upstream host takes precedence.
    """

    files: TlsFiles
    name_template: str = "{host}"
    handshake_timeout: timedelta = timedelta(milliseconds=500)
    rates: HandshakeRates = field(default_factory=HandshakeRates)
    sessions_per_host: int = 32
    max_session_age: timedelta = timedelta(hours=1)
    expiry_warning_period: timedelta = timedelta(days=14)


@dataclass(slots=True)
class HandshakeResult:
    """The outcome of one handshake, as ``tls check`` prints it."""

    chain: Sequence[CertificateInfo]
    version: str
    cipher: str
    resumed: bool
    duration: timedelta


class Dialer:
    """Opens TLS channels, from any thread. ``start`` begins to recheck refused hosts and to watch our files.

    ``warmth`` returns the share of its capacity that a host has reached since its start. ``find_host`` returns a listed
    host by its name. ``set_closed`` is called with a host and true when its certificate is refused, and with false when
    it is accepted again. ``read_preamble`` reads and returns what the protocol sends in plain text before TLS begins.
    """

    def __init__(
        self,
        config: DialerConfig,
        counters: Counters,
        balancers: int = 1,
        warmth: Callable[[UpstreamHost], float] = lambda host: 1.0,
        find_host: Callable[[str], UpstreamHost | None] = lambda name: None,
        set_closed: Callable[[str, bool], None] = lambda name, closed: None,
        read_preamble: Callable[[Transport, AttemptLimits], bytes] | None = None,
        wall_clock: Callable[[], datetime] = lambda: datetime.now(UTC),
        trust_store: TrustStore | None = None,
        clock: Callable[[], timedelta] = now,
    ) -> None:
        self._config = config
        self._trust_store = load_trust_store(config.files) if trust_store is None else trust_store
        self._counters = counters
        self._warmth, self._find_host, self._set_closed, self._read_preamble = (
            warmth,
            find_host,
            set_closed,
            read_preamble,
        )
        self._wall_clock, self._clock = wall_clock, clock
        self._log = Log(part="tls")
        self._lock = threading.Lock()  # guards the next four attributes, and is never held during socket calls
        self._budget = HandshakeBudget(config.rates, balancers)
        self._sessions = SessionCache(config.sessions_per_host, config.max_session_age)
        self._refused_hosts = RefusedHosts()
        self._start_times: dict[str, timedelta | None] = {}
        self._wakeup = threading.Event()
        self._stopped = False
        self._warned_at: dict[str, timedelta] = {}
        if self._trust_store.skip_verification:
            self._log.warning("tls not verified", text="insecure_no_verification is set: any certificate is accepted")

    # For requests.

    def dial(self, host: UpstreamHost, limits: AttemptLimits) -> Transport:
        """Return a channel to a verified host, or raise OSError."""
        trust_store, name, key = self._identity(host)
        with self._lock:
            self._detect_restart(host)
            failure = self._refused_hosts.failure(host.id)
        if failure is not None:  # the request was routed here before the host was closed to new requests
            raise CertificateRefusedError(host.id, failure)
        cached = self._reserve(host, key, limits)
        return self._connect(host, trust_store, name, key, cached, limits)[0]

    def _identity(self, host: UpstreamHost) -> tuple[TrustStore, ExpectedName, SessionKey]:
        """Return the current trust store, the name the host must have, and the key of its sessions."""
        trust_store, name = self._trust_store, self.expected_name(host)
        return trust_store, name, SessionKey(host.id, host.started_at, str(name), trust_store.number)

    def _detect_restart(self, host: UpstreamHost) -> None:
        """Discard all state of a host that has restarted; the caller holds the lock."""
        if self._start_times.get(host.id, host.started_at) != host.started_at:
            self._budget.reset(host.id)
            self._sessions.remove_host(host.id)
            self._refused_hosts.remove(host.id)
        self._start_times[host.id] = host.started_at
        if len(self._start_times) > 2 * MAX_HOSTS:
            self._start_times = {n: t for n, t in self._start_times.items() if self._find_host(n) is not None}

    def _reserve(self, host: UpstreamHost, key: SessionKey, limits: AttemptLimits) -> CachedSession | None:
        """Reserve a handshake and wait until it may begin. Return the session that it may resume.

        Raises DialError if the wait would take too long.
        """
        at, warmth = self._clock(), self._warmth(host)
        with self._lock:
            cached = self._sessions.acquire(key, at)
            wait = self._budget.reserve(
                host.id,
                cached is not None,
                warmth,
                at,
                max(limits.first_byte_until - at, ZERO_DURATION) / MAX_WAIT_DIVISOR,
            )
            if wait is None and cached is not None and cached.single_use:
                self._sessions.store(key, cached.session, cached.chain, at, cached.expires_at - at)
        if wait is None:
            self._counters.add("tls_spared")
            raise DialError(f"tls: {host.id}: handshake budget exhausted", skipped=True)
        if wait > ZERO_DURATION:
            self._counters.add("tls_waited")
            if limits.interrupt is None:
                time.sleep(wait.total_seconds())
            else:
                limits.interrupt.wait(wait)
        return cached

    def _connect(
        self,
        host: UpstreamHost,
        trust_store: TrustStore,
        name: ExpectedName,
        key: SessionKey,
        cached: CachedSession | None,
        limits: AttemptLimits,
    ) -> tuple[TlsChannel, HandshakeResult]:
        try:
            sock = sockets.dial(host.address, limits.connect_limit, limits.interrupt)
        except OSError:
            with self._lock:
                self._budget.refund(host.id, cached is not None, self._clock())
            raise
        try:
            preamble = b"" if self._read_preamble is None else self._read_preamble(sock, limits)
            is_uri = name.kind is NameKind.URI
            channel = TlsChannel(
                sock,
                trust_store.uri_context if is_uri else trust_store.hostname_context,
                None if is_uri else name.value,
                cached.session if cached else None,
            )
            if cached is not None:
                channel.chain = cached.chain
            began_at = self._clock()
            channel.handshake(
                min(limits.first_byte_until, now() + self._config.handshake_timeout),
                lambda chain: self._verify(trust_store, name, chain),
                limits.interrupt,
            )
            duration = self._clock() - began_at
        except (HandshakeError, CertificateVerificationError, _ChainRefusedError) as error:
            sockets.close(sock)
            raise self._handle_failure(host, name, error) from None
        except BaseException:
            sockets.close(sock)
            raise
        channel.push_back(preamble)
        self._handle_success(host, key, channel, cached, duration)
        return channel, HandshakeResult(
            channel.chain, channel.version, channel.cipher, channel.session_reused, duration
        )

    def _verify(self, trust_store: TrustStore, name: ExpectedName, chain: Sequence[CertificateInfo]) -> None:
        if trust_store.skip_verification:
            return
        failure = verification.verify_chain(chain, name, self._wall_clock(), trust_store.revoked)
        if failure is not None:
            raise _ChainRefusedError(failure)

    def _handle_failure(
        self,
        host: UpstreamHost,
        name: ExpectedName,
        error: HandshakeError | CertificateVerificationError | _ChainRefusedError,
    ) -> DialError:
        """Count and log a failed handshake, refuse the host if its certificate failed, and return what to raise."""
        if isinstance(error, HandshakeError):
            self._counters.add("tls_failed")
            self._log.warning_rate_limited("handshake failed", host=host.id, error=str(error))
            return DialError(f"{error} ({host.id})")
        if isinstance(error, CertificateVerificationError):
            failure = verification.from_openssl_error(error.code, error.message, error.chain, name, self._wall_clock())
        else:
            failure = error.failure
        self._counters.add(f"tls_refused_{failure.reason.value}")
        with self._lock:
            self._sessions.remove_host(host.id)
            is_new = self._refused_hosts.add(host.id, failure, self._clock())
        if is_new:
            self._log.error("certificate refused", host=host.id, reason=failure.reason.value, text=failure.text)
            self._set_closed(host.id, True)
            self._wakeup.set()
        return CertificateRefusedError(host.id, failure)

    def _handle_success(
        self,
        host: UpstreamHost,
        key: SessionKey,
        channel: TlsChannel,
        cached: CachedSession | None,
        duration: timedelta,
    ) -> None:
        """Count a handshake, adjust the budget, warn of expiry, and prepare to store the new session."""
        resumed, at = channel.session_reused, self._clock()
        self._counters.add("tls_resumed" if resumed else "tls_full")
        self._counters.add("tls_resumed_us" if resumed else "tls_full_us", duration // MICROSECOND)
        with self._lock:
            if not resumed:
                self._budget.record_duration(host.id, duration, at)
                if cached is not None:
                    self._budget.charge_full(host.id, at)
        if not resumed:
            self._warn_of_expiry(host.id, channel.chain)
        if self._config.sessions_per_host:
            channel.on_first_data = lambda opened: self._store_session(key, opened)

    def _store_session(self, key: SessionKey, channel: TlsChannel) -> None:
        """Store the session of a channel that has received data.

        TLS 1.3 sends the session tickets after the handshake, so they have arrived by then.
        """
        # Checked first, because reading the session copies it, which takes half a millisecond.
        if key.trust_number != self._trust_store.number:
            return
        session = channel.session()
        if session is None:
            return
        lifetime = timedelta(seconds=session.ticket_lifetime_hint or session.timeout)
        if lifetime >= MIN_SESSION_LIFETIME:
            with self._lock:
                self._sessions.store(key, session, channel.chain, self._clock(), lifetime, channel.version != "TLSv1.2")

    def _warn_of_expiry(self, host: str, chain: Sequence[CertificateInfo]) -> None:
        expiring = verification.next_expiry(chain, self._wall_clock(), self._config.expiry_warning_period)
        at = self._clock()
        if expiring is None or at - self._warned_at.get(host, at - EXPIRY_WARNING_INTERVAL) < EXPIRY_WARNING_INTERVAL:
            return
        if len(self._warned_at) >= MAX_HOSTS:
            self._warned_at.clear()
        self._warned_at[host] = at
        certificate, remaining = expiring
        self._counters.add("tls_expiring")
        self._log.warning(
            "certificate expires",
            host=host,
            subject=certificate.subject,
            days=remaining.days,
            hours=remaining.seconds // 3600,
            at=f"{certificate.not_after:%Y-%m-%dT%H:%M:%SZ}",
        )

    def expected_name(self, host: UpstreamHost) -> ExpectedName:
        """Return the name that the host's certificate must contain.

        Raises HandshakeError if the template yields no valid name for this host.
        """
        try:
            return verification.parse_name(
                host.tls_name or self._config.name_template.format(host=host.id, address=host.address[0])
            )
        except (ValueError, KeyError, IndexError) as error:
            raise HandshakeError(f"tls: {host.id}: {error}") from None

    def try_handshake(self, host: UpstreamHost, timeout: timedelta = RECHECK_TIMEOUT) -> HandshakeResult:
        """Carry out a handshake and close the connection, without regard to the budget. Raises OSError."""
        trust_store, name, key = self._identity(host)
        limits = AttemptLimits(now() + timeout, timeout)
        with self._lock:
            cached = self._sessions.acquire(key, self._clock())
        channel, result = self._connect(host, trust_store, name, key, cached, limits)
        sockets.close(channel)
        return result

    # In the background.

    def start(self) -> None:
        """Start the thread that rechecks refused hosts and watches our files."""
        threading.Thread(target=self._run, name="tls", daemon=True).start()

    def stop(self) -> None:
        """Have the thread end."""
        self._stopped = True
        self._wakeup.set()

    def _run(self) -> None:
        """Recheck refused hosts when they are due, and check our files at ``FILE_CHECK_INTERVAL``."""
        loaded = self._file_versions()
        previous = loaded
        self._warn_of_own_expiry()
        while True:
            with self._lock:
                wait = self._refused_hosts.time_to_recheck(self._clock())
            self._wakeup.wait(min(FILE_CHECK_INTERVAL, FILE_CHECK_INTERVAL if wait is None else wait).total_seconds())
            self._wakeup.clear()
            if self._stopped:
                return
            current = self._file_versions()
            if current != loaded and current == previous:  # unchanged since the last check, so no longer being written
                loaded = current
                self.reload_files()
            previous = current
            self.recheck_refused_hosts()

    def _file_versions(self) -> list[tuple[int, int, int] | None]:
        """Return modification time in ns, size and inode of each file, or None for a file that is missing."""
        versions: list[tuple[int, int, int] | None] = []
        for path in self._config.files.paths():
            try:
                status = path.stat()
                versions.append((status.st_mtime_ns, status.st_size, status.st_ino))
            except OSError:
                versions.append(None)
        return versions

    def recheck_refused_hosts(self) -> None:
        """Recheck the refused hosts that are due, and accept those whose certificate is good now.

        Public for tests, which run it without the thread.
        """
        at = self._clock()
        with self._lock:
            due = self._refused_hosts.due(at)
        for name in due:
            host = self._find_host(name)
            if host is None:
                with self._lock:
                    self._refused_hosts.remove(name)
                continue
            self._counters.add("tls_looks")
            try:
                self.try_handshake(host)
            except OSError:
                with self._lock:
                    self._refused_hosts.record_failed_recheck(name, self._clock())
                continue
            with self._lock:
                self._refused_hosts.remove(name)
            self._log.info("certificate accepted", host=name)
            self._set_closed(name, False)

    def reload_files(self) -> bool:
        """Load our files again and use them, or log why the previous ones are kept. Return whether they were loaded."""
        try:
            self.reconfigure(self._config, load_trust_store(self._config.files, self._trust_store))
        except TlsFilesError as error:
            self._counters.add("tls_files_refused")
            self._log.error("tls files", text=f"rejected, the previous ones stay in use: {error}")
            return False
        return True

    @property
    def trust_store(self) -> TrustStore:
        """The trust store in use."""
        return self._trust_store

    def reconfigure(self, config: DialerConfig, trust_store: TrustStore) -> None:
        """Use a new configuration for further dials; open channels stay as they are.

        With a new trust store, cached sessions are dropped and refused hosts are rechecked at once.
        """
        previous, self._config = self._trust_store, config
        with self._lock:
            self._budget.rates = config.rates
            self._sessions.sessions_per_host, self._sessions.max_age = config.sessions_per_host, config.max_session_age
            if trust_store is not previous:
                self._trust_store = trust_store
                self._sessions.clear()
                self._refused_hosts.recheck_all(self._clock())
        if trust_store is not previous:
            self._counters.add("tls_files_taken")
            self._log.info("tls files", text="new files are in use", authorities=len(trust_store.authorities))
            self._warn_of_own_expiry()
            self._wakeup.set()

    def _warn_of_own_expiry(self) -> None:
        for line in self._trust_store.expiry_warnings(self._wall_clock(), self._config.expiry_warning_period):
            self._log.warning("certificate expires", text=line)


class _ChainRefusedError(DialError):
    def __init__(self, failure: VerificationFailure) -> None:
        super().__init__(failure.text)
        self.failure = failure
