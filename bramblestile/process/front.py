"""One front with a cluster of its own: its decisions, connections, probes and watch, wired together."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.life import ServingContext, serve_request
from bramblestile.log import Log
from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.memory.connections import Connections, DelayMonitor, ProxiedConnection
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import Decisions
from bramblestile.memory.pending import PendingDownstreams
from bramblestile.process.config import ConfigError, FrontConfig, NatsConfig, TlsConfig
from bramblestile.process.listeners import Listener
from bramblestile.sockets import Address, Transport
from bramblestile.tracing import TracerHandle
from bramblestile.wire import lines, nats
from bramblestile.wire.agent import CheckResult
from bramblestile.wire.checks import HealthChecker
from bramblestile.wire.common import MAX_PINGS, dial_plain
from bramblestile.wire.discovery import DiscoveryWatch
from bramblestile.wire.probes import ProbeHost, ProbeRunner
from vanegw import interface as api

if TYPE_CHECKING:
    from bramblestile import tls

FIRST_LINE_TIMEOUT = timedelta(seconds=2)  # from the accept to the whole first line, however many PINGs come before
DRAIN_RECHECK_INTERVAL = timedelta(seconds=1)  # between two looks at a NATS host that has said that it drains
MILLISECOND = timedelta(milliseconds=1)


def noted_from(settings: api.Settings) -> timedelta:
    """The delay of a message from which the decisions hear of it."""
    aims = [c.message_aim_us for c in settings.classes if c.message_aim_us > 0]
    return timedelta(microseconds=min(aims, default=300_000.0) / 3)


def load_tls(config: TlsConfig, before: tls.TrustStore | None = None) -> tuple[tls.DialerConfig, tls.TrustStore]:
    """What a table says, and its files, read; ConfigError names the key. The libraries are loaded here and nowhere else
    on the way of ``run``: the platform's program has none."""
    try:
        from bramblestile import tls
    except ImportError as error:
        raise ConfigError(f"tls: needs the extra 'tls' of this package ({error.name} is not installed)") from None
    plan = tls.DialerConfig(
        tls.TlsFiles(config.ca, config.cert, config.key, config.crl, config.min_version, config.skip_verification),
        config.name,
        config.handshake_timeout,
        tls.HandshakeRates(config.full_handshakes_per_s, config.handshake_burst, config.resumed_cost),
        config.tickets_per_host,
        config.ticket_lifetime,
        config.expiry_warning,
    )
    try:
        return plan, tls.load_trust_store(plan.files, before)
    except tls.TlsFilesError as error:
        raise ConfigError(f"{config.path}.{error}") from None


@contextmanager
def naming_key(key: str, address: Address) -> Iterator[None]:
    """An address that cannot be had is the configuration's fault, and is named by its key."""
    try:
        yield
    except OSError as error:
        raise ConfigError(f"{key}: {address[0]}:{address[1]}: {error.strerror or error}") from None


class Front:
    """What every front has, whatever it speaks. Nothing in it listens before ``start``."""

    name = ""
    key = ""  # of its address, in the configuration

    def __init__(self, config: FrontConfig, counters: Counters, tracing: TracerHandle | None = None) -> None:
        self.config = config
        self.counters = counters
        self.tracing = tracing or TracerHandle()
        self.log = Log(front=self.name)
        self.cluster = Cluster()
        self.decisions = Decisions(config.settings, config.seed, self.cluster, counters, self.tracing, self.name)
        self.connections = Connections(self.on_silent_connection, self.on_silent_host)
        self.delays = DelayMonitor(noted_from(config.settings), self._note_delay)
        self.context = ServingContext(
            self.decisions,
            self.cluster,
            self.connections,
            counters,
            self,
            config.connect_timeout,
            self.mark_host_draining,
            self._dial,
            self.tracing,
            self.name,
        )
        self.tls = None if config.tls is None else self._make_tls(config.tls)
        self.probes = ProbeRunner(
            self.cluster, self.prober, config.probe_timeout, self.decisions.handle_event, counters
        )
        self.discovery_watch = (
            None if config.discovery is None else self._make_watch(config.discovery, config.known_hosts_version)
        )
        self.checks = HealthChecker(config.checks, config.check_interval, self.on_check_result, counters)
        self.pending_downstreams = PendingDownstreams(config.pending_downstreams)
        self.listener: Listener | None = None
        self.inherited_socket: socket.socket | None = (
            None  # a listening socket that others hold too; None: one of our own
        )
        self.stopped = threading.Event()
        self.is_drained = False  # operators have clients sent away
        self.list_received = threading.Event()  # discovery has told the list, or there is none to tell it
        if config.discovery is None:
            self.list_received.set()

    def _make_tls(self, config: TlsConfig) -> tls.Dialer:
        plan, trust = load_tls(config)
        from bramblestile import tls

        return tls.Dialer(
            plan,
            self.counters,
            self.config.settings.balancers,
            self.warmth,
            self.cluster.find,
            self.decisions.set_closed,
            None if config.handshake_first else self.before_tls,
            trust=trust,
        )

    before_tls: Callable[[Transport, timedelta], bytes] | None = None  # what the protocol says before TLS begins

    def _dial(self, host: UpstreamHost, connect_timeout: timedelta, until: timedelta) -> Transport:
        """Whatever the configuration of the moment says: a reload may begin or end TLS."""
        if self.tls is None:
            return dial_plain(host, connect_timeout, until)
        return self.tls.dial(host, connect_timeout, until)

    def warmth(self, host: UpstreamHost, later: timedelta = ZERO_DURATION) -> float:
        """The part of its capacity that a host has by now, or so much later, as the module reckons it (``rules.py``,
        ``_warmth``)."""
        settings = self.config.settings
        if host.started_at is None or settings.cold_us <= 0:
            return 1.0
        part = min(1.0, max(0.0, (now() + later - host.started_at) / timedelta(microseconds=settings.cold_us)))
        return settings.cold_from + (1 - settings.cold_from) * part

    def prepare_tls(self, config: FrontConfig) -> Callable[[], None]:
        """Reads what a new configuration names. ConfigError, and nothing has changed; else what takes it into use."""
        if config.tls is None:
            return self._end_tls
        if self.tls is None:
            made = self._make_tls(config.tls)
            return lambda: self._begin_tls(made)
        held = self.tls
        plan, trust = load_tls(config.tls, held.trust_store)
        return lambda: held.reconfigure(plan, trust)

    def _begin_tls(self, made: tls.Dialer) -> None:
        self.tls = made
        made.start()

    def _end_tls(self) -> None:
        old, self.tls = self.tls, None
        if old is not None:
            old.stop()
            for host in self.cluster.hosts():  # nobody looks at the refused any more
                self.decisions.set_closed(host.id, False)

    def start(self) -> None:
        if self.tls is not None:
            self.tls.start()
        self.decisions.on_probe = self.probes.request
        self.decisions.on_move = self.connections.move
        if self.discovery_watch is not None:
            self._start_watch(self.discovery_watch)
        self.decisions.start()
        self.connections.start()
        self.decisions.update_list(api.ListMode.RESTORED, self.config.known_hosts)
        self.checks.start()
        with naming_key(self.key, self.config.listen):
            self.listener = Listener(
                self.config.listen,
                self.serve,
                self.counters,
                self.name,
                self.pending_downstreams,
                self.inherited_socket,
            )
        if self.inherited_socket is None:
            self.listener.start()

    def _make_watch(self, discovery: Address, version: int | None) -> DiscoveryWatch:
        return DiscoveryWatch(discovery, version, self._told, lambda text: self.log.warning("discovery", text=text))

    def _told(self, mode: api.ListMode, hosts: Sequence[UpstreamHost]) -> None:
        self.decisions.update_list(mode, hosts)
        if mode is not api.ListMode.UNAVAILABLE:
            self.list_received.set()

    def _start_watch(self, watch: DiscoveryWatch) -> None:
        self.decisions.on_subscribe = watch.trigger
        watch.start()

    def reconfigure(self, config: FrontConfig, take_tls: Callable[[], None] | None = None) -> None:
        """Takes the new configuration while all that stands stays as it is. ``take_tls``: what ``prepare`` gave."""
        take_tls = take_tls or self.prepare_tls(config)
        old, self.config = self.config, replace(config, listen=self.config.listen)
        if config.listen != old.listen:
            self.log.warning("reload", key="listen", text=f"a new address needs a restart, {old.listen} is kept")
        take_tls()
        self.decisions.reconfigure(config.settings)
        self.delays.threshold = noted_from(config.settings)
        self.context.connect_timeout, self.probes.answer_timeout = config.connect_timeout, config.probe_timeout
        self.pending_downstreams.limit = config.pending_downstreams
        self._follow(old.discovery, config)
        if (config.checks, config.check_interval) != (old.checks, old.check_interval):
            self.checks.stop()
            for name in old.checks:  # what an ended check has said last must not hold for ever
                self.on_check_result(name, CheckResult(takes_work=True, share=1.0))
            self.checks = HealthChecker(config.checks, config.check_interval, self.on_check_result, self.counters)
            self.checks.start()

    def _follow(self, old: Address | None, config: FrontConfig) -> None:
        if config.discovery is None:
            if self.discovery_watch is not None:
                self.discovery_watch.stop()
                self.discovery_watch = None
            # Nobody else tells of changes: the file's list is the cluster.
            self.decisions.update_list(api.ListMode.COMPLETE, config.known_hosts)
        elif self.discovery_watch is None:
            self.discovery_watch = self._make_watch(config.discovery, None)
            self._start_watch(self.discovery_watch)
            self.discovery_watch.trigger()
        elif config.discovery != old:
            self.discovery_watch.switch_to(config.discovery)

    def stop(self) -> None:
        """Asks nobody anything more and accepts nothing more; what stands is not touched."""
        self.stopped.set()
        self.checks.stop()
        if self.tls is not None:
            self.tls.stop()
        if self.discovery_watch is not None:
            self.discovery_watch.stop()
        if self.listener is not None:
            self.listener.stop()

    def prober(self) -> tuple[ProbeHost, Callable[[], None]]:
        raise NotImplementedError

    def serve(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def _reject(self, sock: socket.socket, reply: bytes, why: Exception) -> None:
        """What is no request gets a failed answer and a counter: it must not end in a traceback."""
        self.counters.add("bad_first_lines")
        self.log.warning_rate_limited("not taken", error=repr(why))
        sockets.reply_and_close(sock, reply)

    def _turn_away(self, sock: socket.socket, reply: bytes) -> None:
        """It has not said what it wants and others need its place, or it takes too long over it."""
        self.counters.add("silent_downstreams")
        sockets.reply_and_close(sock, reply)

    def _admits(self, sock: socket.socket) -> bool:
        """The first words are whole: it is a request from now on, unless its place was just given away."""
        return self.pending_downstreams.remove(sock)

    # The observer of standing connections.

    def _note(self, standing: ProxiedConnection, kind: api.NoteKind, value: float) -> None:
        self.decisions.handle_event(api.Note(standing.id, 0, standing.host, kind, value))

    def on_load(self, standing: ProxiedConnection, value: float) -> None:
        self._note(standing, api.NoteKind.LOAD, value)

    def on_delay(self, standing: ProxiedConnection, delay: timedelta) -> None:
        self.delays.record(standing, delay)

    def on_host_draining(self, standing: ProxiedConnection) -> None:
        self.mark_host_draining(standing.host)

    def on_silent_connection(self, standing: ProxiedConnection, delay: timedelta) -> None:
        self._note(standing, api.NoteKind.SILENCE, delay / MILLISECOND)

    def on_silent_host(self, standing: ProxiedConnection, silent: timedelta) -> None:
        self.delays.record(standing, silent, answered=False)
        self._note(standing, api.NoteKind.HUSH, silent / MILLISECOND)

    def _note_delay(self, standing: ProxiedConnection, delay: timedelta) -> None:
        self._note(standing, api.NoteKind.DELAY, delay / MILLISECOND)

    def mark_host_draining(self, name: str) -> None:
        """An upstream host's own word that it drains counts like discovery's."""
        if self.decisions.mark_draining(name):
            self.counters.add("told_draining_by_host")

    def on_check_result(self, name: str, opinion: CheckResult) -> None:
        if self.decisions.apply_check(name, opinion.takes_work, opinion.share):
            self.counters.add("checks_changed_a_host")
            self.log.info("check", host=name, takes_work=opinion.takes_work, share=opinion.share)

    def share_of_hosts(self) -> float:
        """The part of the listed upstream hosts that takes work."""
        hosts = self.cluster.hosts()
        return sum(h.state is api.State.RUNNING for h in hosts) / len(hosts) if hosts else 0.0


class LineFront(Front):
    """The platform's line protocol."""

    name = "lines"
    key = "listen"

    def prober(self) -> tuple[ProbeHost, Callable[[], None]]:
        prober = lines.Prober(self._dial)
        return prober.probe, prober.close

    def serve(self, sock: socket.socket) -> None:
        """The first line of a downstream: a health check, or a request whose life begins."""
        reader = sockets.LineReader(sock, lines.MAX_LINE_BYTES)
        until = now() + FIRST_LINE_TIMEOUT
        try:
            for _ in range(MAX_PINGS):
                line = reader.line(until - now())
                if line is None:
                    if self.pending_downstreams.was_evicted(sock):
                        self._turn_away(sock, lines.BUSY)
                    return
                if sockets.decode_line(line) != "PING":
                    break
                sockets.write(sock, [lines.BUSY if self.is_drained else lines.PONG])
            else:
                raise lines.MalformedRequestError("PING and nothing else")
            asked, head = lines.parse_open(line)
        except TimeoutError:
            self._turn_away(sock, lines.ERR)
            return
        except (sockets.LineTooLongError, lines.MalformedRequestError) as error:
            self._reject(sock, lines.ERR, error)
            return
        if not self._admits(sock):
            self._turn_away(sock, lines.BUSY)
            return
        serve_request(self.context, lines.LineDownstream(sock, reader, asked, head), asked)


class _Names:
    """A set that tells, in one step, whether a name is new to it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._names: set[str] = set()

    def add_new(self, name: str) -> bool:
        with self._lock:
            if name in self._names:
                return False
            self._names.add(name)
            return True

    def discard(self, name: str) -> None:
        with self._lock:
            self._names.discard(name)


class NatsFront(Front):
    """The NATS client protocol."""

    name = "nats"
    key = "nats.listen"
    before_tls = staticmethod(nats.read_info)

    def mark_host_draining(self, name: str) -> None:
        """A host that has no check is asked for its INFO until it drains no more: no list may ever tell."""
        super().mark_host_draining(name)
        if name not in self.config.checks and self._watched.add_new(name):
            threading.Thread(target=self._look_again, args=(name,), name="ldm " + name, daemon=True).start()

    def _look_again(self, name: str) -> None:
        while (host := self.cluster.find(name)) is not None and host.state is not api.State.RUNNING:
            if self.stopped.wait(DRAIN_RECHECK_INTERVAL.total_seconds()):
                return
            if nats.has_stopped_draining(self._dial, host, self.config.probe_timeout):
                self.decisions.apply_check(name, takes_work=True)
                break
        self._watched.discard(name)

    def __init__(self, config: NatsConfig, counters: Counters, tracing: TracerHandle | None = None) -> None:
        self._watched = _Names()
        super().__init__(config, counters, tracing)
        self._greet(config)

    def _greet(self, config: NatsConfig) -> None:
        self.server_info = config.server_info
        self.waits = {c.name: timedelta(microseconds=c.deadline_us) for c in config.settings.classes}

    def reconfigure(self, config: FrontConfig, take_tls: Callable[[], None] | None = None) -> None:
        assert isinstance(config, NatsConfig)
        take_tls = take_tls or self.prepare_tls(config)  # before anything changes: it may refuse
        self._greet(config)
        super().reconfigure(config, take_tls)

    def prober(self) -> tuple[ProbeHost, Callable[[], None]]:
        prober = nats.Prober(self._dial)
        return prober.probe, prober.close

    def serve(self, sock: socket.socket) -> None:
        if self.is_drained:
            self._turn_away(sock, nats.error(nats.CONNECTIONS_EXCEEDED))
            return
        reader = sockets.LineReader(sock, nats.MAX_LINE_BYTES)
        sockets.write(sock, [self.server_info.info_line()])
        try:
            got = nats.read_connect(sock, reader, self.server_info, self.waits)
        except nats.RejectedError as error:
            self._reject(sock, error.reply, error)
            return
        if (got is None and self.pending_downstreams.was_evicted(sock)) or (got is not None and not self._admits(sock)):
            self._turn_away(sock, nats.error(nats.CONNECTIONS_EXCEEDED))
        elif got is not None:
            asked, connect, verbose = got
            serve_request(
                self.context, nats.NatsDownstream(sock, reader, self.server_info, asked, connect, verbose), asked
            )
