"""Channels to upstream hosts: budget, dial, ticket, handshake, judgement, in this order, with all that is counted.

Every failure in here is one of a request that never ran: no byte of it has been sent. ``DialError.skipped`` tells
a host that was not even asked from one that has failed.
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
from bramblestile.sockets import DialError, Transport
from bramblestile.tls import verification
from bramblestile.tls.budget import HandshakeBudget, HandshakeRates
from bramblestile.tls.channel import CertificateVerificationError, HandshakeError, TlsChannel
from bramblestile.tls.refused_hosts import MAX_HOSTS, RefusedHosts
from bramblestile.tls.session_cache import CachedSession, SessionCache, SessionKey
from bramblestile.tls.trust import TlsFiles, TlsFilesError, TrustStore, load_trust_store
from bramblestile.tls.verification import CertificateInfo, ExpectedName, NameKind, VerificationFailure

WAIT_SHARE = 4  # a request waits for a host's budget for a quarter of its time at most: another host may have room
LOOK_WITHIN = timedelta(seconds=1)  # for a look at a refused host
FILES_EVERY = timedelta(seconds=1)  # between two looks at our own files
WARN_EVERY = timedelta(hours=6)
RESUME_LEAST = timedelta(seconds=5)  # a ticket with less to live is not worth its place


class CertificateRefusedError(DialError):
    """The host's certificate is refused."""

    def __init__(self, host: str, problem: VerificationFailure) -> None:
        super().__init__(f"tls: {host}: {problem.text}")
        self.failure = problem


@dataclass(slots=True, frozen=True)
class DialerConfig:
    """What an operator's file says. ``name``: a template with ``{host}`` and ``{address}``; an entry of the list that
    names its host itself goes before it."""

    files: TlsFiles
    name_template: str = "{host}"
    handshake_timeout: timedelta = timedelta(milliseconds=500)
    rates: HandshakeRates = field(default_factory=HandshakeRates)
    sessions_per_host: int = 32
    max_session_age: timedelta = timedelta(hours=1)
    expiry_warning_period: timedelta = timedelta(days=14)


@dataclass(slots=True)
class HandshakeResult:
    """One handshake, as ``tls check`` tells it."""

    chain: Sequence[CertificateInfo]
    version: str
    cipher: str
    resumed: bool
    took: timedelta


class Dialer:
    """Any thread may dial; ``start`` begins the looks at refused hosts and at our own files.

    ``before`` speaks what a protocol says before TLS begins and returns it; ``warmth`` tells the part of a host's
    capacity that it has by now; ``on_close`` hears of hosts that take nothing new, or do again.
    """

    def __init__(
        self,
        plan: DialerConfig,
        counters: Counters,
        balancers: int = 1,
        warmth: Callable[[UpstreamHost], float] = lambda host: 1.0,
        find: Callable[[str], UpstreamHost | None] = lambda name: None,
        on_close: Callable[[str, bool], None] = lambda name, closed: None,
        before: Callable[[Transport, timedelta], bytes] | None = None,
        wall: Callable[[], datetime] = lambda: datetime.now(UTC),
        trust: TrustStore | None = None,
        clock: Callable[[], timedelta] = now,
    ) -> None:
        self._plan = plan
        self._trust = load_trust_store(plan.files) if trust is None else trust
        self._counters = counters
        self._warmth, self._find, self._on_close, self._before = warmth, find, on_close, before
        self._wall, self._clock = wall, clock
        self._log = Log(part="tls")
        self._lock = threading.Lock()  # over the four below, never over a socket
        self._budget = HandshakeBudget(plan.rates, balancers)
        self._sessions = SessionCache(plan.sessions_per_host, plan.max_session_age)
        self._refused_hosts = RefusedHosts()
        self._born: dict[str, timedelta | None] = {}
        self._changed = threading.Event()
        self._stopped = False
        self._warned: dict[str, timedelta] = {}
        if self._trust.skip_verification:
            self._log.warning("tls not verified", text="insecure_no_verification is set: any host is believed")

    # On the way of a request.

    def dial(self, host: UpstreamHost, connect_timeout: timedelta, until: timedelta) -> Transport:
        """A channel to a host that has proved itself. OSError."""
        trust, name, key = self._sought(host)
        with self._lock:
            self._meet(host)
            problem = self._refused_hosts.failure(host.id)
        if problem is not None:  # the list may have brought the request here before it heard
            raise CertificateRefusedError(host.id, problem)
        ticket = self._pay(host, key, until)
        return self._connect(host, trust, name, key, ticket, connect_timeout, until)[0]

    def _sought(self, host: UpstreamHost) -> tuple[TrustStore, ExpectedName, SessionKey]:
        """By which files, and as whom, this host is dialled."""
        trust, name = self._trust, self.expected_name(host)
        return trust, name, SessionKey(host.id, host.started_at, str(name), trust.number)

    def _meet(self, host: UpstreamHost) -> None:
        """With the lock held. Another start of the host is another host: nothing that was learned holds."""
        if self._born.get(host.id, host.started_at) != host.started_at:
            self._budget.reset(host.id)
            self._sessions.remove_host(host.id)
            self._refused_hosts.remove(host.id)
        self._born[host.id] = host.started_at
        if len(self._born) > 2 * MAX_HOSTS:
            self._born = {n: b for n, b in self._born.items() if self._find(n) is not None}

    def _pay(self, host: UpstreamHost, key: SessionKey, until: timedelta) -> CachedSession | None:
        """Waits for the host's budget, or spares it. The ticket that the handshake may resume."""
        at, warmth = self._clock(), self._warmth(host)
        with self._lock:
            ticket = self._sessions.acquire(key, at)
            wait = self._budget.reserve(
                host.id, ticket is not None, warmth, at, max(until - at, ZERO_DURATION) / WAIT_SHARE
            )
            if wait is None and ticket is not None and ticket.single_use:
                self._sessions.add(key, ticket.session, ticket.chain, at, ticket.expires_at - at)
        if wait is None:
            self._counters.add("tls_spared")
            raise DialError(f"tls: {host.id}: no room for another handshake", skipped=True)
        if wait > ZERO_DURATION:
            self._counters.add("tls_waited")
            time.sleep(wait.total_seconds())
        return ticket

    def _connect(
        self,
        host: UpstreamHost,
        trust: TrustStore,
        name: ExpectedName,
        key: SessionKey,
        ticket: CachedSession | None,
        connect_timeout: timedelta,
        until: timedelta,
    ) -> tuple[TlsChannel, HandshakeResult]:
        try:
            sock = sockets.dial(host.address, min(connect_timeout, until - now()))
        except OSError:
            with self._lock:
                self._budget.refund(host.id, ticket is not None, self._clock())
            raise
        try:
            ahead = b"" if self._before is None else self._before(sock, until)
            uri = name.kind is NameKind.URI
            channel = TlsChannel(
                sock,
                trust.uri_context if uri else trust.hostname_context,
                None if uri else name.value,
                ticket.session if ticket else None,
            )
            if ticket is not None:
                channel.chain = ticket.chain
            began = self._clock()
            channel.handshake(
                min(until, now() + self._plan.handshake_timeout), lambda chain: self._judge(trust, name, chain)
            )
            took = self._clock() - began
        except (HandshakeError, CertificateVerificationError, _JudgedError) as error:
            sockets.close(sock)
            raise self._failed(host, name, error) from None
        except BaseException:
            sockets.close(sock)
            raise
        channel.push_back(ahead)
        self._made(host, key, channel, ticket, took)
        return channel, HandshakeResult(channel.chain, channel.version, channel.cipher, channel.session_reused, took)

    def _judge(self, trust: TrustStore, name: ExpectedName, chain: Sequence[CertificateInfo]) -> None:
        if trust.skip_verification:
            return
        problem = verification.verify_chain(chain, name, self._wall(), trust.revoked)
        if problem is not None:
            raise _JudgedError(problem)

    def _failed(
        self,
        host: UpstreamHost,
        name: ExpectedName,
        error: HandshakeError | CertificateVerificationError | _JudgedError,
    ) -> DialError:
        if isinstance(error, HandshakeError):
            self._counters.add("tls_failed")
            self._log.warning_rate_limited("handshake failed", host=host.id, error=str(error))
            return DialError(f"{error} ({host.id})")
        if isinstance(error, CertificateVerificationError):
            problem = verification.from_openssl_error(error.code, error.message, error.chain, name, self._wall())
        else:
            problem = error.failure
        self._counters.add(f"tls_refused_{problem.reason.value}")
        with self._lock:
            self._sessions.remove_host(host.id)
            news = self._refused_hosts.add(host.id, problem, self._clock())
        if news:
            self._log.error("certificate refused", host=host.id, reason=problem.reason.value, text=problem.text)
            self._on_close(host.id, True)
            self._changed.set()
        return CertificateRefusedError(host.id, problem)

    def _made(
        self, host: UpstreamHost, key: SessionKey, channel: TlsChannel, ticket: CachedSession | None, took: timedelta
    ) -> None:
        resumed, at = channel.session_reused, self._clock()
        self._counters.add("tls_resumed" if resumed else "tls_full")
        self._counters.add("tls_resumed_us" if resumed else "tls_full_us", took // MICROSECOND)
        with self._lock:
            if not resumed:
                self._budget.record_duration(host.id, took, at)
                if ticket is not None:
                    self._budget.charge_full(host.id, at)
        if not resumed:
            self._warn(host.id, channel.chain)
        if self._plan.sessions_per_host:
            channel.on_first_data = lambda made: self._keep(key, made)

    def _keep(self, key: SessionKey, channel: TlsChannel) -> None:
        """With the first data: by then TLS 1.3's tickets have come, which follow the handshake."""
        if (
            key.trust_number != self._trust.number
        ):  # before the session: to read it copies it, which takes half a millisecond
            return
        session = channel.session()
        if session is None:
            return
        lifetime = timedelta(seconds=session.ticket_lifetime_hint or session.timeout)
        if lifetime >= RESUME_LEAST:
            with self._lock:
                self._sessions.add(key, session, channel.chain, self._clock(), lifetime, channel.version != "TLSv1.2")

    def _warn(self, host: str, chain: Sequence[CertificateInfo]) -> None:
        found = verification.next_expiry(chain, self._wall(), self._plan.expiry_warning_period)
        at = self._clock()
        if found is None or at - self._warned.get(host, at - WARN_EVERY) < WARN_EVERY:
            return
        if len(self._warned) >= MAX_HOSTS:
            self._warned.clear()
        self._warned[host] = at
        facts, left = found
        self._counters.add("tls_expiring")
        self._log.warning(
            "certificate expires",
            host=host,
            subject=facts.subject,
            days=left.days,
            hours=left.seconds // 3600,
            at=f"{facts.not_after:%Y-%m-%dT%H:%M:%SZ}",
        )

    def expected_name(self, host: UpstreamHost) -> ExpectedName:
        """Who this host must prove to be. HandshakeError where its entry makes no name of the template."""
        try:
            return verification.parse_name(
                host.tls_name or self._plan.name_template.format(host=host.id, address=host.address[0])
            )
        except (ValueError, KeyError, IndexError) as error:
            raise HandshakeError(f"tls: {host.id}: {error}") from None

    def try_handshake(self, host: UpstreamHost, within: timedelta = LOOK_WITHIN) -> HandshakeResult:
        """A handshake and nothing more, by no budget. DialError or OSError."""
        trust, name, key = self._sought(host)
        until = now() + within
        with self._lock:
            ticket = self._sessions.acquire(key, self._clock())
        channel, seen = self._connect(host, trust, name, key, ticket, within, until)
        sockets.close(channel)
        return seen

    # Beside the requests.

    def start(self) -> None:
        threading.Thread(target=self._run, name="tls", daemon=True).start()

    def stop(self) -> None:
        self._stopped = True
        self._changed.set()

    def _run(self) -> None:
        """Looks at refused hosts as they fall due and at our own files once a second."""
        stamps = self._stamps()
        unsettled = stamps
        self._warn_of_own()
        while True:
            with self._lock:
                wait = self._refused_hosts.time_to_recheck(self._clock())
            self._changed.wait(min(FILES_EVERY, FILES_EVERY if wait is None else wait).total_seconds())
            self._changed.clear()
            if self._stopped:
                return
            seen = self._stamps()
            if seen != stamps and seen == unsettled:  # the same twice: whoever writes them is done
                stamps = seen
                self.reload_files()
            unsettled = seen
            self.recheck_refused_hosts()

    def _stamps(self) -> list[tuple[int, int, int] | None]:
        found: list[tuple[int, int, int] | None] = []
        for path in self._plan.files.paths():
            try:
                told = path.stat()
                found.append((told.st_mtime_ns, told.st_size, told.st_ino))
            except OSError:
                found.append(None)
        return found

    def recheck_refused_hosts(self) -> None:
        """Public for tests, which need no thread."""
        at = self._clock()
        with self._lock:
            due = self._refused_hosts.due(at)
        for name in due:
            host = self._find(name)
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
            self._on_close(name, False)

    def reload_files(self) -> bool:
        """Our files again: taken whole, or refused whole with a line that names the key. True where they are taken."""
        try:
            self.reconfigure(self._plan, load_trust_store(self._plan.files, self._trust))
        except TlsFilesError as error:
            self._counters.add("tls_files_refused")
            self._log.error("tls files", text=f"kept as they were: {error}")
            return False
        return True

    @property
    def trust_store(self) -> TrustStore:
        return self._trust

    def reconfigure(self, plan: DialerConfig, trust: TrustStore) -> None:
        """From now on. What stands is not touched; sessions of another trust are forgotten."""
        old, self._plan = self._trust, plan
        with self._lock:
            self._budget.rates = plan.rates
            self._sessions.sessions_per_host, self._sessions.max_age = plan.sessions_per_host, plan.max_session_age
            if trust is not old:
                self._trust = trust
                self._sessions.clear()
                self._refused_hosts.recheck_all(self._clock())
        if trust is not old:
            self._counters.add("tls_files_taken")
            self._log.info("tls files", text="new ones are in use", authorities=len(trust.authorities))
            self._warn_of_own()
            self._changed.set()

    def _warn_of_own(self) -> None:
        for line in self._trust.expiry_warnings(self._wall(), self._plan.expiry_warning_period):
            self._log.warning("certificate expires", text=line)


class _JudgedError(DialError):
    def __init__(self, problem: VerificationFailure) -> None:
        super().__init__(problem.text)
        self.failure = problem
