"""The daemon: builds all parts, handles signals, and stops without losing a request.

On SIGTERM new downstreams are still served for a while, or left to a successor process; then established connections
are moved, spread over the time until the exit. SIGHUP reads the configuration again, SIGUSR1 logs the counters.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta
from queue import Empty, SimpleQueue
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from bramblestile import __version__, log, sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.life import adopt_connection
from bramblestile.log import Log
from bramblestile.memory.cluster import HostSetting
from bramblestile.memory.counters import Counters
from bramblestile.memory.pending import PendingDownstreams
from bramblestile.memory.request_ids import RETENTION, RequestIds
from bramblestile.operations.connection_codec import decode_connection
from bramblestile.operations.handoff import ProcessHandoff
from bramblestile.operations.management_api import ManagementApi
from bramblestile.operations.move_schedule import MoveSchedule
from bramblestile.operations.orders import Orders, OrderStore, state_file_name
from bramblestile.operations.server import ManagementServer, forward_call
from bramblestile.process.config import (
    Config,
    ConfigError,
    FleetConfig,
    StoreConfig,
    TraceConfig,
    WorkConfig,
    first_missing_key,
    load_config,
)
from bramblestile.process.front import Front, LineFront, NatsFront, naming_key
from bramblestile.process.listeners import Listener, Serve, adopt_listening_socket
from bramblestile.process.mover import MOVE_TICK, ConnectionMover
from bramblestile.process.shutdown import Shutdown
from bramblestile.sockets import Address
from bramblestile.tracing import Tracer, TracerHandle
from bramblestile.wire import agent
from vanegw.interface import State

if TYPE_CHECKING:
    from bramblestile.fleet.gossip import Gossip
    from bramblestile.process.store_peer import StorePeer
    from bramblestile.trace.recorder import Recorder
    from bramblestile.work.planner import MachineView
    from bramblestile.work.service import MaintenanceService, RoutingConstraints

THREAD_STACK_BYTES = 192 * 1024  # two threads for each established connection must fit the memory limit
HANDLED_SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
STATE_TRANSFER_TIMEOUT = timedelta(milliseconds=500)  # for the predecessor to send what its decisions have learned
# At the signal to stop, for the ready message of a successor that is connected.
SUCCESSOR_READY_TIMEOUT = timedelta(milliseconds=300)
FIRST_LIST_TIMEOUT = timedelta(milliseconds=2500)  # without a list from discovery, the configured one is then used
# A drain: the front sends PING every 0.1 s and requests for 0.2 s after the first refusal; after 4 s no connection may
# remain.
DRAIN_MOVES_START, DRAIN_MOVES_END = timedelta(milliseconds=350), timedelta(milliseconds=3300)
# A suspended host is stopped 2.25 s after the call, and then cuts its remaining connections. They are moved evenly over
# the time until then, because each is of use until it is moved.
SUSPEND_MOVES_START, SUSPEND_MOVES_END = timedelta(milliseconds=200), timedelta(milliseconds=2000)
SUSPEND_MOVES_MEAN = (SUSPEND_MOVES_START + SUSPEND_MOVES_END) / 2  # a client reconnects only after it is moved
ACTIVE_IDS_INTERVAL = RETENTION / 4  # between two notes that the ids of open requests are in use
ORDERS_POLL_INTERVAL = timedelta(milliseconds=100)  # for orders that another process of this balancer has received
MAX_AUXILIARY_CONNECTIONS = 32  # to a port of the store or of health checks; one to the store may hold 256 KiB
TRACE_RESTART_TIMEOUT = timedelta(seconds=2)  # for the old recorder to write what it holds


def make_recorder(config: TraceConfig, counters: Counters) -> Recorder:
    """Create the recorder of the trace. Raises ConfigError if its libraries are not installed.

    They are imported only here, as the installation on the platform has none of them.
    """
    try:
        from bramblestile.trace import recorder
        from bramblestile.trace.retention import RetentionLimits
    except ImportError as error:
        raise ConfigError(f"trace: needs the extra 'trace' of this package ({error.name} is not installed)") from None
    return recorder.Recorder(
        recorder.RecorderConfig(
            config.directory,
            config.instance,
            config.hall,
            config.flush_interval,
            config.buffer_size,
            RetentionLimits(config.file_bytes, config.file_age, config.total_bytes),
            config.keep_shares,
        ),
        counters,
    )


def make_maintenance(work_config: WorkConfig, daemon: Daemon, gossip: Gossip, config: Config) -> MaintenanceService:
    """Create the maintenance service. Raises ConfigError if its journal cannot be used."""
    from bramblestile.store.journal import JournalError
    from bramblestile.work import service

    assert config.fleet is not None and config.management is not None
    try:
        return service.MaintenanceService(
            config.fleet.name,
            work_config.voters,
            work_config.directory,
            config.state_directory,
            gossip,
            daemon,
            daemon.counters,
            "{}:{}".format(*config.management),
        )
    except (JournalError, OSError) as error:
        raise ConfigError(f"work.directory: {error}") from None


def make_gossip(config: FleetConfig, counters: Counters, retry_bind: bool) -> Gossip:
    """Create the membership of the fleet. Raises ConfigError if its library is not installed or the address is in use.

    With ``retry_bind`` an address in use is tried again, because the predecessor has it until it ends. The library is
    imported only here, as the installation on the platform lacks it: balancers there exchange no messages.
    """
    try:
        from bramblestile.fleet import gossip, membership, messages
    except ImportError as error:
        raise ConfigError(f"fleet: needs the extra 'fleet' of this package ({error.name} is not installed)") from None
    protocol = membership.ProtocolConfig(
        probe_interval=config.probe_interval,
        ack_timeout=config.probe_interval * 0.4,
        min_suspicion=config.min_suspicion,
        max_suspicion=config.max_suspicion,
    )
    host, port = config.advertised
    with naming_key("fleet.listen", config.listen):
        return gossip.Gossip(
            config.listen,
            messages.MemberRecord(config.name, host, port, 0, hall=config.hall, version=__version__),
            config.seeds,
            config.keys,
            counters,
            protocol,
            retry_bind,
        )


class Daemon:
    """All parts of the process: the fronts, each with its own cluster, and what they share.

    Implements what the management API (``ManagedBalancer``) and the maintenance service (``Balancer``) need. Raises
    ConfigError, also from ``start``, if the configuration cannot be applied.

    Attributes:
        is_shutting_down: Set at the signal to stop; the process reports itself as draining from then on.
        auxiliary_listeners: Listeners of health checks and of the store's peers, by name.
        ready: Set once the process can serve requests.
        order_store: The orders of operators.
        handoff: Exchange with the process that this one replaces, or that replaces it; None without one.
    """

    def __init__(self, config: Config) -> None:
        self.counters = Counters()
        self.log = Log()
        self.tracing = TracerHandle()
        self.recorder: Recorder | None = None
        self.is_shutting_down = False
        self.stopping = threading.Event()
        self.store_peer = None if config.store is None else self._make_store_peer(config.store, config.seed)
        self.config = config
        self.health = config.health
        self.auxiliary_listeners: dict[str, Listener] = {}
        self.lines = None if config.lines is None else LineFront(config.lines, self.counters, self.tracing)
        self.nats = None if config.nats is None else NatsFront(config.nats, self.counters, self.tracing)
        self.fronts: list[Front] = [front for front in (self.lines, self.nats) if front is not None]
        self._mover = ConnectionMover(self.fronts, self.tracing)
        self.ready = threading.Event()
        self._import_lock = threading.Lock()
        self._early_state: list[dict[str, Any]] | None = []  # from the predecessor, until it can be imported
        self._traffic_sample = 0, now()  # accepted requests at the last sample, and its time
        self.order_store = OrderStore(
            config.state_directory if config.management is not None else None,
            "nats" if config.lines is None else config.lines.name,
        )
        self._orders_lock = threading.Lock()  # held while orders or constraints are changed and applied
        self._changed_hosts: SimpleQueue[list[tuple[Front, list[str]]]] = SimpleQueue()
        self._drained_since: timedelta | None = None
        # The connections that orders move: those of one host, or all (None), and the time of the order.
        self._move_schedules: dict[tuple[str | None, timedelta], MoveSchedule] = {}
        self._schedules_changed = threading.Event()
        self.management: ManagementServer | None = None
        self.handoff: ProcessHandoff | None = None
        self.gossip = (
            None
            if config.fleet is None
            else make_gossip(config.fleet, self.counters, retry_bind=config.inherited_descriptor is not None)
        )
        self.maintenance: MaintenanceService | None = None
        self._constraints: RoutingConstraints | None = None
        if self.gossip is not None:
            self.gossip.metric_source = self._metrics
            if config.work is not None:
                self.maintenance = make_maintenance(config.work, self, self.gossip, config)
                for front in self.fronts:
                    front.cluster.send_allowed = self.maintenance.allows
        if self.lines is not None and config.inherited_descriptor is not None:
            try:
                self.lines.inherited_socket = adopt_listening_socket(config.inherited_descriptor)
            except ValueError as error:
                raise ConfigError(f"EDGE_SOCKET_FD: {error}") from None
            if config.state_directory is not None:
                ids_path = config.state_directory / state_file_name(self.lines.config.name, "ids")
                self.lines.decisions.request_ids = RequestIds(ids_path)
                self.handoff = ProcessHandoff(config.state_directory, self.counters)
                self.handoff.adopt = self._adopt_connection
                self.handoff.export_state, self.handoff.import_state = (
                    self.lines.decisions.export_state,
                    self._import_state,
                )
                self.lines.context.successor = self.handoff

    def start(self) -> None:
        """Start all parts. Returns before the process is ready."""
        self._restart_trace(self.config.trace)  # first: the trace must contain the list that the fronts start with
        if self.config.management is not None:
            # Before the fronts use descriptors. The predecessor may still have the address for a while.
            management_api = ManagementApi(self, self.counters)
            with naming_key("management", self.config.management):
                self.management = ManagementServer(
                    self.config.management,
                    management_api,
                    self.counters,
                    retry_bind=self.config.inherited_descriptor is not None,
                )
            self.management.start()
            for run in (self._run_orders, self._run_plans):
                threading.Thread(target=run, name=run.__name__, daemon=True).start()
        self._apply_orders(self.order_store.orders)
        if self.handoff is not None:
            self.handoff.start()
            threading.Thread(target=self._keep_active_ids, name="request ids", daemon=True).start()
        for front in self.fronts:
            front.start()
        if self.gossip is not None:
            self.gossip.start()
        if self.maintenance is not None:
            self.maintenance.start()
        threading.Thread(target=self._wait_until_ready, name="ready", daemon=True).start()
        if self.store_peer is not None:
            self.auxiliary_listeners["store"] = self.store_peer.start(self._auxiliary_listener)
        health_services = (
            ("agent", self.health.agent, "agent_check", lambda sock: agent.serve_agent_check(sock, self.health_report)),
            (
                "http",
                self.health.http,
                "health",
                lambda sock: agent.serve_http_check(sock, self.health_report, self.health.path),
            ),
        )
        for key, address, name, serve in health_services:
            if address is not None:
                with naming_key(f"health.{key}", address):
                    self.auxiliary_listeners[name] = self._auxiliary_listener(address, serve, name)
                self.auxiliary_listeners[name].start()

    def _auxiliary_listener(self, address: Address, serve: Serve, name: str) -> Listener:
        """Create a listener whose oldest connection gives way to a new one when there are many."""
        return Listener(address, serve, self.counters, name, PendingDownstreams(MAX_AUXILIARY_CONNECTIONS))

    def _wait_until_ready(self) -> None:
        """Wait until this process can serve, and announce that.

        It is ready when the list of hosts has been received or has failed to come in time. While the predecessor still
        serves, nothing is accepted from the shared socket before that.
        """
        until = now() + FIRST_LIST_TIMEOUT
        if self.handoff is not None and not self.handoff.has_predecessor:
            self._accept_from_inherited()
        for front in self.fronts:
            front.list_received.wait(max(ZERO_DURATION, until - now()).total_seconds())
        if self.maintenance is not None:  # or it might send to a host that the others leave out
            self.maintenance.first_reply.wait(max(ZERO_DURATION, until - now()).total_seconds())
        if self.handoff is not None:
            self.handoff.wait_for_state(STATE_TRANSFER_TIMEOUT)
        with self._import_lock:  # only now, as the state applies to listed hosts only
            received, self._early_state = self._early_state, None
        for part in received or ():
            self._import_state(part)
        self._accept_from_inherited()
        if self.handoff is not None:
            self.handoff.announce_ready()  # before ``ready``: who sees that may stop the predecessor at once
        self.ready.set()

    def _keep_active_ids(self) -> None:
        """Keep the ids of open requests in the table that the other process of an upgrade reads."""
        assert self.lines is not None
        while not self.stopping.wait(ACTIVE_IDS_INTERVAL.total_seconds()):
            self.lines.decisions.keep_active_ids()

    def _import_state(self, part: dict[str, Any]) -> None:
        """Import a part of the state that the predecessor's decisions have learned, or store it until this is ready."""
        with self._import_lock:
            if self._early_state is not None:
                self._early_state.append(part)
                return
        assert self.lines is not None
        self.lines.decisions.import_state(part)

    def _adopt_connection(self, message: dict[str, Any], downstream: socket.socket, upstream: socket.socket) -> bool:
        """Continue a connection of the predecessor. Returns whether it was adopted."""
        assert self.lines is not None and self.lines.listener is not None
        connection, request = decode_connection(message, downstream, upstream)
        for sock in (downstream, upstream):
            sockets.set_options(sock)
        return adopt_connection(self.lines.context, connection, request, self.lines.listener.run_in_thread)

    def _accept_from_inherited(self) -> None:
        if self.lines is not None and self.lines.inherited_socket is not None and self.lines.listener is not None:
            self.lines.listener.start()

    def unready_reason(self) -> str | None:
        """Return why this process cannot serve; None if it can."""
        if self.is_shutting_down:
            return "this process is leaving"
        return None if self.ready.is_set() else "the list of image servers has not been heard yet"

    # ManagedBalancer: what the management API needs.

    def is_known(self, host: str) -> bool:
        """Return whether a host is listed or suspended."""
        return any(front.cluster.is_known(host) for front in self.fronts)

    def started_at(self, host: str) -> timedelta | None:
        """Return a host's last start as listed; None if it is not known."""
        return next(
            (started_at for front in self.fronts if (started_at := front.cluster.started_at(host)) is not None), None
        )

    def has_no_sends_in_progress(self, host: str) -> bool:
        """Return whether no request to this host is being written."""
        return all(front.cluster.has_no_sends_in_progress(host) for front in self.fronts)

    def change_orders(self, change: Callable[[Orders], Orders]) -> None:
        """Save and apply changed orders; no send that they forbid begins after the return.

        Raises OrderNotSavedError; nothing has changed then.
        """
        with self._orders_lock:
            self._apply_orders(self.order_store.change(change))

    def _apply_orders(self, orders: Orders) -> None:
        """Apply orders together with the constraints of the maintenance service.

        The clusters come first, because every send checks them. The decisions are informed by the thread of orders.
        """
        constraints = self._constraints
        closed_hosts, resumed_hosts, weight_factors, draining_since = (
            (orders.suspended, orders.resumed, None, {})
            if constraints is None
            else (
                constraints.closed_hosts | orders.suspended.keys(),
                {**orders.resumed, **constraints.returned_at},
                constraints.weight_factors,
                constraints.draining_since,
            )
        )
        changed = [
            (front, front.cluster.apply_orders(closed_hosts, resumed_hosts, weight_factors)) for front in self.fronts
        ]
        drained = orders.drained or (constraints is not None and constraints.drain_self)
        if drained != (self._drained_since is not None):
            self._drained_since = now() if drained else None
            for front in self.fronts:
                front.is_drained = drained
        schedules: dict[tuple[str | None, timedelta], MoveSchedule] = {
            (host, since): MoveSchedule(since + SUSPEND_MOVES_START, since + SUSPEND_MOVES_END)
            for host, since in {**draining_since, **orders.suspended}.items()
        }
        if self._drained_since is not None:
            start = self._drained_since
            schedules[None, start] = MoveSchedule(start + DRAIN_MOVES_START, start + DRAIN_MOVES_END)
        self._move_schedules = {key: self._move_schedules.get(key, schedule) for key, schedule in schedules.items()}
        self._schedules_changed.set()
        self._changed_hosts.put(changed)

    def _run_orders(self) -> None:
        """Inform the decisions of changed hosts, and apply orders that another process of this balancer has saved."""
        while True:
            try:
                for front, hosts in self._changed_hosts.get(timeout=ORDERS_POLL_INTERVAL.total_seconds()):
                    front.decisions.refresh_hosts(hosts)
            except Empty:
                with self._orders_lock:
                    if self.order_store.reload():
                        self._apply_orders(self.order_store.orders)

    def _run_plans(self) -> None:
        """Move connections by the schedules of orders, also those that are established or adopted later.

        One thread runs all schedules, because many hosts may be suspended at once, and for days.
        """
        while not self.is_shutting_down:
            if not self._move_schedules:
                self._schedules_changed.wait()
                self._schedules_changed.clear()
            for (host, _), schedule in self._move_schedules.items():
                self._mover.move_due(schedule, "drain" if host is None else "out", host)
            time.sleep(MOVE_TICK.total_seconds())

    def reconfigure(self, config: Config) -> None:
        """Apply what can change in a running process; log what needs a restart.

        Raises ConfigError if a file that the configuration names is faulty; nothing has changed then.
        """
        fronts = (("lines", self.lines, config.lines), ("nats", self.nats, config.nats))
        apply_tls = {
            name: front.prepare_tls(new) for name, front, new in fronts if front is not None and new is not None
        }
        for name, front, new in fronts:
            if front is not None and new is not None:
                front.reconfigure(new, apply_tls[name])
            elif front is not None or new is not None:
                self.log.warning("reload", key=name, text="adding or removing a front needs a restart")
        for name in ("health", "store"):
            if getattr(config, name) != getattr(self.config, name):
                self.log.warning("reload", key=name, text="a change needs a restart")
        self._reload_fleet_keys(config.fleet)
        log.configure(config.log.level, config.log.format)
        old, self.config = self.config, config
        if config.trace != old.trace:
            self._restart_trace(config.trace)

    def _reload_fleet_keys(self, fleet_config: FleetConfig | None) -> None:
        """Apply new keys; any other change of the membership needs a restart."""
        old = self.config.fleet
        if fleet_config is not None and old is not None:
            if self.gossip is not None:
                self.gossip.rekey(fleet_config.keys)
            old = replace(old, keys=fleet_config.keys)
        if fleet_config != old:
            self.log.warning("reload", key="fleet", text="a change needs a restart")

    def _restart_trace(self, config: TraceConfig | None) -> None:
        """Stop the recorder, and start one with this configuration unless it is None."""
        if self.recorder is not None:
            self.tracing.current = Tracer()
            self.recorder.stop(timeout=TRACE_RESTART_TIMEOUT)
            self.recorder = None
        if config is not None:
            self.recorder = recorder = make_recorder(config, self.counters)
            recorder.start()
            self.tracing.current = recorder
            recorder.process_started(now(), config.hall, [front.name for front in self.fronts])

    def stop_trace(self) -> None:
        """End the trace; called last, so that the trace contains what the stop did."""
        if self.recorder is not None:
            self.recorder.process_stopped(now(), len(self._mover.connections()))
            self.recorder.stop()

    def _make_store_peer(self, config: StoreConfig, seed: int) -> StorePeer:
        """Create the store's peer; its modules are imported only here, as the platform uses none."""
        from bramblestile.process.store_peer import StorePeer

        return StorePeer(config, seed, self.counters, self._apply_stored_setting)

    def _apply_stored_setting(self, host: str, setting: HostSetting) -> None:
        for front in self.fronts:
            front.on_stored_setting(host, setting)

    def stop_store(self) -> None:
        """Stop the store and its listener, if there are any."""
        if self.store_peer is not None:
            self.store_peer.stop()

    # Balancer: what the maintenance service needs.

    def hosts(self) -> list[str]:
        """Return the names of the hosts that this balancer may send to."""
        return [host.id for front in self.fronts for host in front.cluster.hosts()]

    def connection_count(self) -> int:
        """Return the number of all established connections."""
        return len(self._mover.connections())

    def connections(self, hosts: Iterable[str]) -> dict[str, int]:
        """Return the number of established connections to each of these hosts, without those that have none."""
        wanted, counts = set(hosts), dict[str, int]()
        for connection in self._mover.connections():
            if connection.host in wanted:
                counts[connection.host] = counts.get(connection.host, 0) + 1
        return counts

    def machine_views(self) -> dict[str, MachineView]:
        """Return all listed hosts as this balancer sees them."""
        from bramblestile.work.planner import MachineView

        views = {}
        for front in self.fronts:
            load_figures = front.decisions.load_figures()
            for host in front.cluster.listed_hosts():
                load, masked = load_figures.get(host.id, (None, False))
                running = host.state is State.RUNNING and not masked
                views[host.id] = MachineView(
                    host.zone,
                    host.weight,
                    front.warmth(host),
                    running,
                    load=(load or 0.0) * host.weight * front.warmth(host),
                    expected_warmth=front.warmth(host, SUSPEND_MOVES_MEAN),
                )
        return views

    def probe_loads(self, hosts: Iterable[str]) -> None:
        """Request the loads of these hosts, each at most once at a time, without waiting for the answers."""
        wanted = set(hosts)
        for front in self.fronts:
            if front.config.settings.may_probe and front.config.settings.reports_load:
                for host in front.cluster.hosts():
                    if host.id in wanted and host.state is State.RUNNING:
                        front.probes.request(host.id, even_if_queued=False)

    def suspended_hosts(self) -> list[str]:
        """Return the hosts that an operator has suspended at this balancer."""
        return sorted(self.order_store.orders.suspended)

    def apply_constraints(self, constraints: RoutingConstraints) -> None:
        """Route by these constraints from now on."""
        with self._orders_lock:
            self._constraints = constraints
            self._apply_orders(self.order_store.orders)

    def call_maintenance(self, verb: str, text: str) -> Callable[[], tuple[int, str] | None] | None:
        """Begin a call of the maintenance service at its leader; None if the service is off.

        The returned function doesn't block. It returns None until the HTTP status and the text are known.
        """
        maintenance = self.maintenance
        if maintenance is None:
            return None
        address = maintenance.leader_address()
        if address is None:
            call = maintenance.submit(verb, text)
            return lambda: call.answer
        answer: list[tuple[int, str]] = []

        def forward() -> None:
            path = {"show": "", "history": "/history"}.get(
                verb, f"/{verb}/{quote(text, safe='')}" if verb in ("done", "drop", "forget") else f"/{verb}"
            )
            answer.append(
                forward_call(address, "GET" if verb in ("show", "history") else "PUT", "/v1/work" + path, text)
            )

        try:
            threading.Thread(target=forward, name="work call", daemon=True).start()
        except RuntimeError:
            return lambda: (503, "no thread is to be had")
        return lambda: answer[0] if answer else None

    def _metrics(self) -> dict[str, float]:
        """Return the metrics that are published to the fleet: requests per second since the last call."""
        accepted, at = sum(self.counters.get(f"{front.name}_accepted") for front in self.fronts), now()
        (before, since), self._traffic_sample = self._traffic_sample, (accepted, at)
        return {"traffic": (accepted - before) / max((at - since).total_seconds(), 0.001)}

    def fleet_view(self) -> str | None:
        """Return the fleet as this member sees it, as JSON; None without a fleet."""
        return None if self.gossip is None else json.dumps(self.gossip.operator_view())

    def health_report(self) -> agent.Health:
        """Return what health checks report of this balancer."""
        share = max((front.running_share() for front in self.fronts), default=0.0)
        return agent.Health(share > 0, self.is_shutting_down or self._drained_since is not None, share)

    def stop(self) -> None:
        """Serve or hand over what still arrives, move all established connections, and return before SIGKILL."""
        began = now()
        self.stop_store()
        if self.maintenance is not None:
            self.maintenance.stop()
        if self.gossip is not None:
            self.gossip.stop()
        self.is_shutting_down = True  # reported at once; downstreams are still accepted
        has_successor = self.handoff is not None and self.handoff.wait_for_ready(SUCCESSOR_READY_TIMEOUT)
        shutdown = Shutdown(self.fronts, self._mover, self.counters, began, has_successor)
        shutdown.start()
        if has_successor and self.handoff is not None:
            self.handoff.hand_over_all()
        shutdown.run()


def reload(daemon: Daemon, arguments: list[str]) -> None:
    """Read the configuration files again and apply them (SIGHUP). If one is faulty, nothing changes."""
    try:
        config = load_config(arguments, os.environ)
        missing_key = first_missing_key(daemon.config.file_values, config.file_values)
        if missing_key is not None:
            raise ConfigError(f"{missing_key}: missing, though the settings in force have it")
        daemon.reconfigure(config)
    except ConfigError as error:
        daemon.counters.add("reloads_refused")
        daemon.log.error("reload", text=f"kept as it was: {error}")
        daemon.tracing.current.configuration_reloaded(now(), False, str(error))
        return
    daemon.counters.add("reloads")
    daemon.tracing.current.configuration_reloaded(now(), True, "")
    daemon.log.info("reload", text="done")


def main(arguments: list[str]) -> int:
    """Run the daemon until SIGTERM or SIGINT. Returns 2 if the configuration is faulty; otherwise ends the process."""
    # sigwait() takes the signals. They are blocked before the first thread starts, so that all threads inherit that,
    # and before the first file is read: an earlier SIGHUP would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        config = load_config(arguments, os.environ)
    except ConfigError as error:
        print(f"bramblestile: {error}", file=sys.stderr, flush=True)
        return 2
    log.configure(config.log.level, config.log.format)
    threading.stack_size(THREAD_STACK_BYTES)
    try:
        daemon = Daemon(config)
        daemon.start()
    except ConfigError as error:
        print(f"bramblestile: {error}", file=sys.stderr, flush=True)
        return 2
    while (signal_number := signal.sigwait(HANDLED_SIGNALS)) not in (signal.SIGTERM, signal.SIGINT):
        if signal_number is signal.SIGHUP:
            reload(daemon, arguments)
        else:
            daemon.counters.log()
    daemon.stop()
    daemon.stop_trace()
    daemon.counters.log()
    sys.stderr.flush()
    os._exit(0)  # a thread that still waits on a socket must not delay the exit
