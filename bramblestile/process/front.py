"""Fronts: one listener with its cluster, decisions, connections, probes, health checks and discovery.

``Front`` holds what all protocols have in common. ``LineFront`` and ``NatsFront`` read a downstream's request and then
serve it (life.py).
"""

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
from bramblestile.memory.cluster import Cluster, HostSetting, UpstreamHost
from bramblestile.memory.connections import Connections, DelayMonitor, ProxiedConnection
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import Decisions
from bramblestile.memory.pending import PendingDownstreams
from bramblestile.memory.request_ids import RequestIds
from bramblestile.process.config import ConfigError, FrontConfig, NatsConfig, TlsConfig
from bramblestile.process.listeners import Listener
from bramblestile.protocol import AttemptLimits
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

FIRST_LINE_TIMEOUT = timedelta(seconds=2)  # from the accept to the request's whole line, PINGs before it included
DRAIN_RECHECK_INTERVAL = timedelta(seconds=1)  # between two INFOs read from a draining NATS host
DEFAULT_MESSAGE_AIM_US = 300_000.0  # where no class has an aim
MILLISECOND = timedelta(milliseconds=1)


def delay_report_threshold(settings: api.Settings) -> timedelta:
    """Return the message delay from which on delays are reported to the decisions: a third of the smallest aim."""
    aims = [c.message_aim_us for c in settings.classes if c.message_aim_us > 0]
    return timedelta(microseconds=min(aims, default=DEFAULT_MESSAGE_AIM_US) / 3)


def load_tls(config: TlsConfig, before: tls.TrustStore | None = None) -> tuple[tls.DialerConfig, tls.TrustStore]:
    """Read the files that a TLS configuration names; ``before`` is returned again if they have not changed.

    Raises ConfigError, which names the key. The TLS libraries are imported only here, as the installation on the
    platform has none of them.
    """
    try:
        from bramblestile import tls
    except ImportError as error:
        raise ConfigError(f"tls: needs the extra 'tls' of this package ({error.name} is not installed)") from None
    dialer_config = tls.DialerConfig(
        tls.TlsFiles(config.ca, config.cert, config.key, config.crl, config.min_version, config.skip_verification),
        config.name,
        config.handshake_timeout,
        tls.HandshakeRates(config.full_handshakes_per_s, config.handshake_burst, config.resumed_cost),
        config.tickets_per_host,
        config.ticket_lifetime,
        config.expiry_warning,
    )
    try:
        return dialer_config, tls.load_trust_store(dialer_config.files, before)
    except tls.TlsFilesError as error:
        raise ConfigError(f"{config.path}.{error}") from None


@contextmanager
def naming_key(key: str, address: Address) -> Iterator[None]:
    """Turn an OSError about an address into a ConfigError that names the address's key."""
    try:
        yield
    except OSError as error:
        raise ConfigError(f"{key}: {address[0]}:{address[1]}: {error.strerror or error}") from None


class Front:
    """What the fronts of all protocols have in common. Nothing listens before ``start``.

    Attributes:
        name: Name in logs, counters and traces.
        address_key: Path of the listening address in the configuration.
        listener: The listener; None before ``start``.
        inherited_socket: Listening socket shared with other processes; None to bind one.
        stopped: Set by ``stop``.
        is_drained: Operators have drained this balancer, so new clients are sent away.
        list_received: Set when discovery has sent the list of hosts, or if there is no discovery.
    """

    name = ""
    address_key = ""

    def __init__(self, config: FrontConfig, counters: Counters, tracing: TracerHandle | None = None) -> None:
        self.config = config
        self.counters = counters
        self.tracing = tracing or TracerHandle()
        self.log = Log(front=self.name)
        self.cluster = Cluster()
        self.decisions = Decisions(config.settings, config.seed, self.cluster, counters, self.tracing, self.name)
        self.connections = Connections(self.on_silent_connection, self.on_silent_host)
        self.delays = DelayMonitor(delay_report_threshold(config.settings), self._report_delay)
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
            self.cluster, self.make_prober, config.probe_timeout, self.decisions.handle_event, counters
        )
        self.discovery_watch = (
            None if config.discovery is None else self._make_watch(config.discovery, config.known_hosts_version)
        )
        self.checks = HealthChecker(config.checks, config.check_interval, self.on_check_result, counters)
        self.pending_downstreams = PendingDownstreams(config.pending_downstreams)
        self.listener: Listener | None = None
        self.inherited_socket: socket.socket | None = None
        self.stopped = threading.Event()
        self.is_drained = False
        self.list_received = threading.Event()
        if config.discovery is None:
            self.list_received.set()

    def _make_tls(self, config: TlsConfig) -> tls.Dialer:
        dialer_config, trust_store = load_tls(config)
        from bramblestile import tls

        return tls.Dialer(
            dialer_config,
            self.counters,
            self.config.settings.balancers,
            self.warmth,
            self.cluster.find,
            self.decisions.set_closed,
            None if config.handshake_first else self.read_before_tls,
            trust_store=trust_store,
        )

    # Reads what an upstream host sends before the TLS handshake; None for a protocol that begins with the handshake.
    read_before_tls: Callable[[Transport, AttemptLimits], bytes] | None = None

    def _dial(self, host: UpstreamHost, limits: AttemptLimits) -> Transport:
        """Connect as the current configuration says: a reload may turn TLS on or off."""
        return dial_plain(host, limits) if self.tls is None else self.tls.dial(host, limits)

    def warmth(self, host: UpstreamHost, after: timedelta = ZERO_DURATION) -> float:
        """Return the part of its capacity that a host has in slow start, now or after a while.

        Same formula as ``_warmth`` in vanegw/rules.py.
        """
        settings = self.config.settings
        if host.started_at is None or settings.cold_us <= 0:
            return 1.0
        part = min(1.0, max(0.0, (now() + after - host.started_at) / timedelta(microseconds=settings.cold_us)))
        return settings.cold_from + (1 - settings.cold_from) * part

    def prepare_tls(self, config: FrontConfig) -> Callable[[], None]:
        """Read the TLS files of a new configuration and return a function that applies its TLS settings.

        Raises ConfigError; nothing has changed then.
        """
        if config.tls is None:
            return self._end_tls
        if self.tls is None:
            new_dialer = self._make_tls(config.tls)
            return lambda: self._begin_tls(new_dialer)
        dialer = self.tls
        dialer_config, trust_store = load_tls(config.tls, dialer.trust_store)
        return lambda: dialer.reconfigure(dialer_config, trust_store)

    def _begin_tls(self, dialer: tls.Dialer) -> None:
        self.tls = dialer
        dialer.start()

    def _end_tls(self) -> None:
        old, self.tls = self.tls, None
        if old is not None:
            old.stop()
            for host in self.cluster.hosts():  # hosts refused for their certificates are no longer rechecked
                self.decisions.set_closed(host.id, False)

    def start(self) -> None:
        """Start all parts and create the listener; the listener accepts at once if it binds a socket of its own.

        On an inherited socket the daemon starts the listener: at once if no predecessor process serves, and else when
        the predecessor's state has been imported, as the predecessor accepts from that socket until then. Raises
        ConfigError if the address cannot be bound.
        """
        if self.tls is not None:
            self.tls.start()
        self.decisions.on_probe = self.probes.request
        self.decisions.on_move = self.connections.move
        if self.discovery_watch is not None:
            self._start_watch(self.discovery_watch)
        self.decisions.start()
        self.connections.start()
        # RESTORED: the list known at the start, which holds until discovery delivers one.
        self.decisions.update_list(api.ListMode.RESTORED, self.config.known_hosts)
        self.checks.start()
        with naming_key(self.address_key, self.config.listen):
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
        return DiscoveryWatch(discovery, version, self._on_list, lambda text: self.log.warning("discovery", text=text))

    def _on_list(self, mode: api.ListMode, hosts: Sequence[UpstreamHost]) -> None:
        self.decisions.update_list(mode, hosts)
        if mode is not api.ListMode.UNAVAILABLE:
            self.list_received.set()

    def _start_watch(self, watch: DiscoveryWatch) -> None:
        self.decisions.on_subscribe = watch.trigger
        watch.start()

    def reconfigure(self, config: FrontConfig, apply_tls: Callable[[], None] | None = None) -> None:
        """Apply a new configuration; established connections stay as they are.

        ``apply_tls`` is the result of ``prepare_tls``. Raises ConfigError only if it is None.
        """
        apply_tls = apply_tls or self.prepare_tls(config)
        old, self.config = self.config, replace(config, listen=self.config.listen)
        if config.listen != old.listen:
            self.log.warning(
                "reload", key="listen", text=f"a new address needs a restart; still listening on {old.listen}"
            )
        apply_tls()
        self.decisions.reconfigure(config.settings)
        self.delays.threshold = delay_report_threshold(config.settings)
        self.context.connect_timeout, self.probes.answer_timeout = config.connect_timeout, config.probe_timeout
        self.pending_downstreams.limit = config.pending_downstreams
        self._follow_discovery(old.discovery, config)
        if (config.checks, config.check_interval) != (old.checks, old.check_interval):
            self.checks.stop()
            for name in old.checks:  # the last result of a removed check must not stay in force
                self.on_check_result(name, CheckResult(takes_work=True, weight_share=1.0))
            self.checks = HealthChecker(config.checks, config.check_interval, self.on_check_result, self.counters)
            self.checks.start()

    def _follow_discovery(self, old: Address | None, config: FrontConfig) -> None:
        if config.discovery is None:
            if self.discovery_watch is not None:
                self.discovery_watch.stop()
                self.discovery_watch = None
            # Without discovery, the list in the file is the cluster.
            self.decisions.update_list(api.ListMode.COMPLETE, config.known_hosts)
        elif self.discovery_watch is None:
            self.discovery_watch = self._make_watch(config.discovery, version=None)  # requests the whole list
            self._start_watch(self.discovery_watch)
            self.discovery_watch.trigger()
        elif config.discovery != old:
            self.discovery_watch.switch_to(config.discovery)

    def stop(self) -> None:
        """Stop accepting downstreams, and end all threads of the front; established connections continue."""
        self.stopped.set()
        self.checks.stop()
        self.decisions.stop()
        self.connections.stop()
        if self.tls is not None:
            self.tls.stop()
        if self.discovery_watch is not None:
            self.discovery_watch.stop()
        if self.listener is not None:
            self.listener.stop()

    def answer_all(self) -> None:
        """Have every request answered that still waits, and every later one; the process is about to end.

        Established connections continue.
        """
        self.pending_downstreams.evict_all()
        self.decisions.shut_down()
        self.context.interrupt.set()

    def make_prober(self) -> tuple[ProbeHost, Callable[[], None]]:
        """Return a function that probes a host over a connection that it keeps, and one that closes the connection."""
        raise NotImplementedError

    def serve(self, sock: socket.socket) -> None:
        """Serve one downstream until it ends."""
        raise NotImplementedError

    def _reject_malformed(self, sock: socket.socket, reply: bytes, error: Exception) -> None:
        """Answer a malformed request with an error and count it."""
        self.counters.add("bad_first_lines")
        self.log.warning_rate_limited("not taken", error=repr(error))
        sockets.reply_and_close(sock, reply)

    def _reject_pending(self, sock: socket.socket, reply: bytes) -> None:
        """Send a downstream away that was evicted before its request was complete, or that is too slow or unwanted."""
        self.counters.add("silent_downstreams")
        sockets.reply_and_close(sock, reply)

    def _admit(self, sock: socket.socket) -> bool:
        """Mark that the request is complete. Returns False if the downstream has been evicted meanwhile."""
        return self.pending_downstreams.remove(sock)

    # ConnectionObserver, and the callbacks of Connections.

    def _send_note(self, connection: ProxiedConnection, kind: api.NoteKind, value: float) -> None:
        self.decisions.handle_event(api.Note(connection.id, 0, connection.host, kind, value))

    def on_load(self, connection: ProxiedConnection, value: float) -> None:
        """Pass a load that the upstream host reported to the decisions."""
        self._send_note(connection, api.NoteKind.LOAD, value)

    def on_delay(self, connection: ProxiedConnection, delay: timedelta) -> None:
        """Record the time that a response took."""
        self.delays.record(connection, delay)

    def on_host_draining(self, connection: ProxiedConnection) -> None:
        """Mark the connection's upstream host as draining."""
        self.mark_host_draining(connection.host)

    def on_silent_connection(self, connection: ProxiedConnection, delay: timedelta) -> None:
        """Report to the decisions that one connection's upstream host does not answer."""
        self._send_note(connection, api.NoteKind.SILENCE, delay / MILLISECOND)

    def on_silent_host(self, connection: ProxiedConnection, silence: timedelta) -> None:
        """Report to the decisions that an upstream host answers on none of its connections."""
        self.delays.record(connection, silence, answered=False)
        self._send_note(connection, api.NoteKind.HUSH, silence / MILLISECOND)

    def _report_delay(self, connection: ProxiedConnection, delay: timedelta) -> None:
        self._send_note(connection, api.NoteKind.DELAY, delay / MILLISECOND)

    def mark_host_draining(self, name: str) -> None:
        """Mark an upstream host as draining because it said so itself; that counts like a report by discovery."""
        if self.decisions.mark_draining(name):
            self.counters.add("told_draining_by_host")

    def on_check_result(self, name: str, result: CheckResult) -> None:
        """Apply the result of a health check to an upstream host."""
        if self.decisions.apply_check(name, result.takes_work, result.weight_share):
            self.counters.add("checks_changed_a_host")
            self.log.info("check", host=name, takes_work=result.takes_work, share=result.weight_share)

    def on_stored_setting(self, name: str, setting: HostSetting) -> None:
        """Apply what the replicated store holds of an upstream host."""
        if self.decisions.apply_stored_setting(name, setting):
            self.counters.add("store_changed_a_host")
            self.log.info("store", host=name, takes_work=setting.takes_work, share=setting.weight_share)

    def running_share(self) -> float:
        """Return the share of the listed upstream hosts that accept requests; 0 if none is listed."""
        hosts = self.cluster.hosts()
        return sum(h.state is api.State.RUNNING for h in hosts) / len(hosts) if hosts else 0.0


class LineFront(Front):
    """A front for the platform's line protocol."""

    name = "lines"
    address_key = "listen"

    def __init__(self, config: FrontConfig, counters: Counters, tracing: TracerHandle | None = None) -> None:
        super().__init__(config, counters, tracing)
        self.decisions.request_ids = RequestIds()

    def make_prober(self) -> tuple[ProbeHost, Callable[[], None]]:
        """Return the functions described at ``Front.make_prober``, with a connection for the line protocol."""
        prober = lines.Prober(self._dial)
        return prober.probe, prober.close

    def serve(self, sock: socket.socket) -> None:
        """Answer PINGs until the line of a request has come, and serve the request."""
        reader = sockets.LineReader(sock, lines.MAX_LINE_BYTES)
        until = now() + FIRST_LINE_TIMEOUT
        try:
            for _ in range(MAX_PINGS):
                line = reader.line(until - now())
                if line is None:
                    if self.pending_downstreams.was_evicted(sock):
                        self._reject_pending(sock, lines.BUSY)
                    return
                if sockets.decode_line(line) != "PING":
                    break
                sockets.write(sock, [lines.BUSY if self.is_drained else lines.PONG])
            else:
                raise lines.MalformedRequestError("PINGs without a request")
            request, head = lines.parse_open(line)
        except TimeoutError:
            self._reject_pending(sock, lines.ERR)
            return
        except (sockets.LineTooLongError, lines.MalformedRequestError) as error:
            self._reject_malformed(sock, lines.ERR, error)
            return
        if not self._admit(sock):
            self._reject_pending(sock, lines.BUSY)
            return
        serve_request(self.context, lines.LineDownstream(sock, reader, request, head), request)


class _NameSet:
    """A set of names that threads may share; a test and an addition are one step."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._names: set[str] = set()

    def add_new(self, name: str) -> bool:
        """Add a name; return False if it was there already."""
        with self._lock:
            if name in self._names:
                return False
            self._names.add(name)
            return True

    def discard(self, name: str) -> None:
        with self._lock:
            self._names.discard(name)


class NatsFront(Front):
    """A front for the NATS client protocol."""

    name = "nats"
    address_key = "nats.listen"
    read_before_tls = staticmethod(nats.read_info)

    def mark_host_draining(self, name: str) -> None:
        """Mark an upstream host as draining because it said so itself.

        The INFO of a host without a health check is read again until the host no longer drains, as discovery may never
        report that.
        """
        super().mark_host_draining(name)
        if name not in self.config.checks and self._rechecked_hosts.add_new(name):
            threading.Thread(target=self._recheck_draining, args=(name,), name="ldm " + name, daemon=True).start()

    def _recheck_draining(self, name: str) -> None:
        while (host := self.cluster.find(name)) is not None and host.state is not api.State.RUNNING:
            if self.stopped.wait(DRAIN_RECHECK_INTERVAL.total_seconds()):
                return
            if nats.has_stopped_draining(self._dial, host, self.config.probe_timeout):
                self.decisions.end_draining(name)
                break
        self._rechecked_hosts.discard(name)

    def __init__(self, config: NatsConfig, counters: Counters, tracing: TracerHandle | None = None) -> None:
        self._rechecked_hosts = _NameSet()
        super().__init__(config, counters, tracing)
        self._apply_nats_config(config)

    def _apply_nats_config(self, config: NatsConfig) -> None:
        self.server_info = config.server_info
        self.request_timeouts = {c.name: timedelta(microseconds=c.deadline_us) for c in config.settings.classes}

    def reconfigure(self, config: FrontConfig, apply_tls: Callable[[], None] | None = None) -> None:
        """Apply a new configuration; see ``Front.reconfigure``."""
        assert isinstance(config, NatsConfig)
        apply_tls = apply_tls or self.prepare_tls(config)  # before anything changes: it may raise ConfigError
        self._apply_nats_config(config)
        super().reconfigure(config, apply_tls)

    def make_prober(self) -> tuple[ProbeHost, Callable[[], None]]:
        """Return the functions described at ``Front.make_prober``, with a connection for NATS."""
        prober = nats.Prober(self._dial)
        return prober.probe, prober.close

    def serve(self, sock: socket.socket) -> None:
        """Send INFO, read CONNECT and serve the request."""
        if self.is_drained:
            self._reject_pending(sock, nats.error(nats.CONNECTIONS_EXCEEDED))
            return
        reader = sockets.LineReader(sock, nats.MAX_LINE_BYTES)
        sockets.write(sock, [self.server_info.info_line()])
        try:
            connected = nats.read_connect(sock, reader, self.server_info, self.request_timeouts)
        except nats.RejectedError as error:
            self._reject_malformed(sock, error.reply, error)
            return
        if (connected is None and self.pending_downstreams.was_evicted(sock)) or (
            connected is not None and not self._admit(sock)
        ):
            self._reject_pending(sock, nats.error(nats.CONNECTIONS_EXCEEDED))
        elif connected is not None:
            request, connect, verbose = connected
            serve_request(
                self.context, nats.NatsDownstream(sock, reader, self.server_info, request, connect, verbose), request
            )
