"""Start and stop: builds the parts, waits for signals, and leaves without losing anyone."""

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
from random import Random
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from bramblestile import __version__, log, sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.life import adopt_connection
from bramblestile.log import Log
from bramblestile.memory.connections import ProxiedConnection
from bramblestile.memory.counters import Counters
from bramblestile.operations.connection_codec import decode_connection
from bramblestile.operations.handoff import ProcessHandoff
from bramblestile.operations.management_api import ManagementApi
from bramblestile.operations.move_schedule import MoveSchedule
from bramblestile.operations.orders import Orders, OrderStore
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
from bramblestile.process.listeners import Listener, adopt_listening_socket
from bramblestile.tracing import Tracer, TracerHandle
from bramblestile.wire import agent
from vanegw.interface import State

if TYPE_CHECKING:
    from bramblestile.fleet.gossip import Gossip
    from bramblestile.store.service import Store
    from bramblestile.trace.recorder import Recorder
    from bramblestile.wire.peers import PeerSender
    from bramblestile.work.planner import MachineView
    from bramblestile.work.service import MaintenanceService, RoutingConstraints

STACK = 192 * 1024  # bytes; two threads for each standing connection must fit the memory limit
STILL_COMING = timedelta(milliseconds=600)  # after SIGTERM the front goes on sending for up to 0.4 s
WAITED = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
# SIGKILL follows SIGTERM no sooner than the longest deadline, which counts as 3 s at most, plus 0.7 s.
LONGEST_DEADLINE = timedelta(seconds=3)
LEAVING_BEYOND = timedelta(milliseconds=600)  # from SIGTERM to the exit, beyond the longest deadline
MOVES_FROM = timedelta(milliseconds=450)  # sooner, the front might send the moved here again
LAST_MOVES = timedelta(milliseconds=350)  # before the exit: by then all that stands has been told
# With a successor only those are moved that it could not take over. By then all others have gone to it.
MOVES_TO_SUCCESSOR = timedelta(milliseconds=700)
RECALL_WITHIN = timedelta(milliseconds=500)  # for the process before to tell what it knows
READY_WITHIN = timedelta(milliseconds=300)  # for the word of a successor that has been heard, at the signal to leave
HEARD_WITHIN = timedelta(milliseconds=2500)  # without a list for so long a process goes by the one it was given
# A drain: the front asks PING every 0.1 s and sends for 0.2 s after the first no; at 4 s nobody may be left.
DRAINED_FROM, DRAINED_BY = timedelta(milliseconds=350), timedelta(milliseconds=3300)
# A host taken out is stopped 2.25 s after the call (seen in every play, of four days), and then cuts what still stands.
# What stands goes evenly until then, as each earns until it goes.
LEFT_FROM, LEFT_BY = timedelta(milliseconds=200), timedelta(milliseconds=2000)
LEFT_MEAN = (LEFT_FROM + LEFT_BY) / 2  # a client comes back no sooner than it is sent away
LOOK_EVERY = timedelta(milliseconds=100)  # between two looks at what another process of this balancer was ordered
TICK = timedelta(milliseconds=20)  # between two looks at what still stands


def make_recorder(plan: TraceConfig, counters: Counters) -> Recorder:
    """Its libraries are loaded here and nowhere else on the way of ``run``: the platform's program has none."""
    try:
        from bramblestile.trace import recorder
        from bramblestile.trace.retention import RetentionLimits
    except ImportError as error:
        raise ConfigError(f"trace: needs the extra 'trace' of this package ({error.name} is not installed)") from None
    return recorder.Recorder(
        recorder.RecorderConfig(
            plan.directory,
            plan.instance,
            plan.hall,
            plan.flush_interval,
            plan.buffer_size,
            RetentionLimits(plan.file_bytes, plan.file_age, plan.total_bytes),
            plan.keep_shares,
        ),
        counters,
    )


def make_maintenance(plan: WorkConfig, daemon: Daemon, gossip: Gossip, config: Config) -> MaintenanceService:
    from bramblestile.store.journal import JournalError
    from bramblestile.work import service

    assert config.fleet is not None and config.management is not None
    try:
        return service.MaintenanceService(
            config.fleet.name,
            plan.voters,
            plan.directory,
            config.state_directory,
            gossip,
            daemon,
            daemon.counters,
            "{}:{}".format(*config.management),
        )
    except (JournalError, OSError) as error:
        raise ConfigError(f"work.directory: {error}") from None


def make_gossip(plan: FleetConfig, counters: Counters, patient: bool) -> Gossip:
    """Its library is loaded here and nowhere else on the way of ``run``: on the platform balancers never talk."""
    try:
        from bramblestile.fleet import gossip, membership, messages
    except ImportError as error:
        raise ConfigError(f"fleet: needs the extra 'fleet' of this package ({error.name} is not installed)") from None
    protocol = membership.ProtocolConfig(
        probe_interval=plan.probe_interval,
        ack_timeout=plan.probe_interval * 0.4,
        min_suspicion=plan.min_suspicion,
        max_suspicion=plan.max_suspicion,
    )
    host, port = plan.advertised
    with naming_key("fleet.listen", plan.listen):
        return gossip.Gossip(
            plan.listen,
            messages.MemberRecord(plan.name, host, port, 0, hall=plan.hall, version=__version__),
            plan.seeds,
            plan.keys,
            counters,
            protocol,
            patient,
        )


class Daemon:
    """The whole program: its fronts, each with a cluster of its own, and one set of counters."""

    def __init__(self, config: Config) -> None:
        self.counters = Counters()
        self.log = Log()
        self.tracing = TracerHandle()
        self.recorder: Recorder | None = None
        self.is_shutting_down = False
        self.stopping = threading.Event()
        self.peers: PeerSender | None = None
        self.store: Store | None = None
        if config.store is not None:
            self._make_store(config.store, config.seed)
        self.config = config
        self.health = config.health
        self.auxiliary_listeners: dict[str, Listener] = {}  # where the health protocols are answered
        self.lines = None if config.lines is None else LineFront(config.lines, self.counters, self.tracing)
        self.nats = None if config.nats is None else NatsFront(config.nats, self.counters, self.tracing)
        self.fronts: list[Front] = [front for front in (self.lines, self.nats) if front is not None]
        self.ready = threading.Event()
        self._recalling = threading.Lock()
        self._recalled: list[dict[str, Any]] | None = []  # what the process before knew, until it can be taken
        self._asked = 0, now()  # requests that had come when the fleet was last told
        self.order_store = OrderStore(
            config.state_directory if config.management is not None else None,
            "nats" if config.lines is None else config.lines.name,
        )
        self._ordering = threading.Lock()  # one order at a time
        self._ordered: SimpleQueue[list[tuple[Front, list[str]]]] = SimpleQueue()
        self._drained_since: timedelta | None = None
        # Who is to be moved, and by which plan: all clients (None) or those of a host, and since when.
        self._plans: dict[tuple[str | None, timedelta], MoveSchedule] = {}
        self._planned = threading.Event()
        self.management: ManagementServer | None = None
        self.handoff: ProcessHandoff | None = None
        self.gossip = (
            None
            if config.fleet is None
            else make_gossip(config.fleet, self.counters, patient=config.inherited_descriptor is not None)
        )
        self.maintenance: MaintenanceService | None = None
        self._constraints: RoutingConstraints | None = None
        if self.gossip is not None:
            self.gossip.metric_source = self._figures
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
                self.handoff = ProcessHandoff(config.state_directory, self.counters)
                self.handoff.adopt = self._adopt
                self.handoff.export_state, self.handoff.import_state = (
                    self.lines.decisions.export_state,
                    self._recall,
                )
                self.lines.context.successor = self.handoff

    def start(self) -> None:
        self._trace(self.config.trace)  # first: the trace begins with the list that the fronts start from
        if self.config.management is not None:
            # Before the fronts take descriptors. Another process of this balancer may have the address a while longer.
            operators = ManagementApi(self, self.counters)
            with naming_key("management", self.config.management):
                self.management = ManagementServer(
                    self.config.management,
                    operators,
                    self.counters,
                    retry_bind=self.config.inherited_descriptor is not None,
                )
            self.management.start()
            for run in (self._run_orders, self._run_plans):
                threading.Thread(target=run, name=run.__name__, daemon=True).start()
        self._obey(self.order_store.orders)
        if self.handoff is not None:
            self.handoff.start()
        for front in self.fronts:
            front.start()
        if self.gossip is not None:
            self.gossip.start()
        if self.maintenance is not None:
            self.maintenance.start()
        threading.Thread(target=self._become_ready, name="ready", daemon=True).start()
        if self.config.store is not None and self.store is not None and self.peers is not None:
            self._start_store(self.config.store, self.store, self.peers)
        asked = (
            ("agent", self.health.agent, "agent_check", lambda sock: agent.serve_agent_check(sock, self.health_report)),
            (
                "http",
                self.health.http,
                "health",
                lambda sock: agent.serve_http_check(sock, self.health_report, self.health.path),
            ),
        )
        for key, address, name, answer in asked:
            if address is not None:
                with naming_key(f"health.{key}", address):
                    self.auxiliary_listeners[name] = Listener(address, answer, self.counters, name)
                self.auxiliary_listeners[name].start()

    def _become_ready(self) -> None:
        """Ready is who could serve at once: the list is heard, or will not be for a while. Beside a process that still
        serves, nothing is taken from the socket of both before that."""
        until = now() + HEARD_WITHIN
        if self.handoff is not None and not self.handoff.has_predecessor:
            self._take_from_inherited()
        for front in self.fronts:
            front.list_received.wait(max(ZERO_DURATION, until - now()).total_seconds())
        if self.maintenance is not None:  # or it might send where nobody else does
            self.maintenance.first_reply.wait(max(ZERO_DURATION, until - now()).total_seconds())
        if self.handoff is not None:
            self.handoff.wait_for_state(RECALL_WITHIN)
        with self._recalling:  # only now: what it tells of hosts holds for those that are listed
            early, self._recalled = self._recalled, None
        for part in early or ():
            self._recall(part)
        self._take_from_inherited()
        if self.handoff is not None:
            self.handoff.announce_ready()  # first: whoever hears of it from us may end the process before at once
        self.ready.set()

    def _recall(self, part: dict[str, Any]) -> None:
        with self._recalling:
            if self._recalled is not None:
                self._recalled.append(part)
                return
        assert self.lines is not None
        self.lines.decisions.import_state(part)

    def _adopt(self, message: dict[str, Any], downstream: socket.socket, upstream: socket.socket) -> bool:
        """Goes on with a connection of the process before."""
        assert self.lines is not None and self.lines.listener is not None
        standing, request = decode_connection(message, downstream, upstream)
        for side in (downstream, upstream):
            sockets.set_options(side)
        return adopt_connection(self.lines.context, standing, request, self.lines.listener.run_in_thread)

    def _take_from_inherited(self) -> None:
        if self.lines is not None and self.lines.inherited_socket is not None and self.lines.listener is not None:
            self.lines.listener.start()

    def unready_reason(self) -> str | None:
        if self.is_shutting_down:
            return "this process is leaving"
        return None if self.ready.is_set() else "the list of image servers has not been heard yet"

    # What operators order.

    def is_known(self, host: str) -> bool:
        return any(front.cluster.is_known(host) for front in self.fronts)

    def started_at(self, host: str) -> timedelta | None:
        return next(
            (started_at for front in self.fronts if (started_at := front.cluster.started_at(host)) is not None), None
        )

    def has_no_sends_in_progress(self, host: str) -> bool:
        return all(front.cluster.has_no_sends_in_progress(host) for front in self.fronts)

    def change_orders(self, change: Callable[[Orders], Orders]) -> None:
        with self._ordering:
            self._obey(self.order_store.change(change))

    def _obey(self, orders: Orders) -> None:
        """The clusters first: they are asked at every send. The module hears of it in the orders' own thread."""
        constraints = self._constraints
        closed_hosts, back, weight_factors, draining_since = (
            (orders.suspended, orders.resumed, None, {})
            if constraints is None
            else (
                constraints.closed_hosts | orders.suspended.keys(),
                {**orders.resumed, **constraints.returned_at},
                constraints.weight_factors,
                constraints.draining_since,
            )
        )
        changed = [(front, front.cluster.apply_orders(closed_hosts, back, weight_factors)) for front in self.fronts]
        drained = orders.drained or (constraints is not None and constraints.drain_self)
        if drained != (self._drained_since is not None):
            self._drained_since = now() if drained else None
            for front in self.fronts:
                front.is_drained = drained
        plans: dict[tuple[str | None, timedelta], MoveSchedule] = {
            (host, since): MoveSchedule(since + LEFT_FROM, since + LEFT_BY)
            for host, since in {**draining_since, **orders.suspended}.items()
        }
        if self._drained_since is not None:
            began = self._drained_since
            plans[None, began] = MoveSchedule(began + DRAINED_FROM, began + DRAINED_BY)
        self._plans = {key: self._plans.get(key, plan) for key, plan in plans.items()}
        self._planned.set()
        self._ordered.put(changed)

    def _run_orders(self) -> None:
        while True:
            try:
                for front, hosts in self._ordered.get(timeout=LOOK_EVERY.total_seconds()):
                    front.decisions.refresh_hosts(hosts)
            except Empty:
                with self._ordering:
                    if self.order_store.reload():
                        self._obey(self.order_store.orders)

    def _run_plans(self) -> None:
        """Moves by the plans that orders make, also what comes up late or is handed on, until they are called back. One
        thread for all of them: a host may be out for days, and many at once."""
        while not self.is_shutting_down:
            if not self._plans:
                self._planned.wait()
                self._planned.clear()
            for (host, _), plan in self._plans.items():
                self._evacuate(plan, "drain" if host is None else "out", host)
            time.sleep(TICK.total_seconds())

    def reconfigure(self, config: Config) -> None:
        """Takes what can change while all that stands stays; names what needs a restart. ConfigError: nothing is taken,
        as one of the files that the configuration names is faulty."""
        fronts = (("lines", self.lines, config.lines), ("nats", self.nats, config.nats))
        tls = {name: front.prepare_tls(made) for name, front, made in fronts if front is not None and made is not None}
        for name, front, made in fronts:
            if front is not None and made is not None:
                front.reconfigure(made, tls[name])
            elif front is not None or made is not None:
                self.log.warning("reload", key=name, text="to add or remove a front needs a restart")
        for name in ("health", "store"):
            if getattr(config, name) != getattr(self.config, name):
                self.log.warning("reload", key=name, text="a change needs a restart")
        self._rekey(config.fleet)
        log.configure(config.log.level, config.log.format)
        old, self.config = self.config, config
        if config.trace != old.trace:
            self._trace(config.trace)

    def _rekey(self, plan: FleetConfig | None) -> None:
        """A member's keys change in service; all else of it needs a restart."""
        old = self.config.fleet
        if plan is not None and old is not None:
            if self.gossip is not None:
                self.gossip.rekey(plan.keys)
            old = replace(old, keys=plan.keys)
        if plan != old:
            self.log.warning("reload", key="fleet", text="a change needs a restart")

    def _trace(self, plan: TraceConfig | None) -> None:
        """Records by this plan from now on; None: not at all."""
        if self.recorder is not None:
            self.tracing.current = Tracer()
            self.recorder.stop(timeout=timedelta(seconds=2))
            self.recorder = None
        if plan is not None:
            self.recorder = recorder = make_recorder(plan, self.counters)
            recorder.start()
            self.tracing.current = recorder
            recorder.started(now(), plan.hall, [front.name for front in self.fronts])

    def stop_trace(self) -> None:
        """The last thing that happens: what the stop did is in it."""
        if self.recorder is not None:
            self.recorder.stopped(now(), len(self._standing()))
            self.recorder.stop()

    def _make_store(self, made: StoreConfig, seed: int) -> None:
        """Loaded here only: on the platform there is none."""
        from bramblestile.store.journal import Journal, JournalError
        from bramblestile.store.replica import Replica
        from bramblestile.store.service import Store
        from bramblestile.wire.peers import PeerSender

        self.peers = PeerSender(made.peers, made.name, self.counters)
        try:
            journal = Journal(made.directory / f"{made.name}.journal")
        except (JournalError, OSError) as error:
            raise ConfigError(f"store.directory: {error}") from None
        replica = Replica(made.name, list(made.peers), journal, Random(f"{seed} {made.name}"), now())
        self.store = Store(replica, self.peers.send, self.apply_store_entry)

    def _start_store(self, made: StoreConfig, store: Store, ways: PeerSender) -> None:
        from bramblestile.wire import peers

        def serve(sock: socket.socket) -> None:
            peers.serve(sock, store, made.peers, self.counters)

        with naming_key(f"store.peers.{made.name}", made.peers[made.name]):
            listener = Listener(made.peers[made.name], serve, self.counters, "store")
        self.auxiliary_listeners["store"] = listener
        listener.start()
        ways.start()
        store.start()

    def apply_store_entry(self, key: str, value: str) -> None:
        """What the peers agree on. ``hosts/NAME`` holds an agent-check's words for that upstream host."""
        kind, _, name = key.partition("/")
        if kind == "hosts":
            for front in self.fronts:
                front.on_check_result(name, agent.parse_agent_line(value))

    def stop_store(self) -> None:
        if self.store is not None and self.peers is not None:
            self.auxiliary_listeners["store"].stop()
            self.peers.stop()
            self.store.stop()

    # What the order of work asks and does.

    def hosts(self) -> list[str]:
        return [host.id for front in self.fronts for host in front.cluster.hosts()]

    def connection_count(self) -> int:
        return len(self._standing())

    def connections(self, hosts: Iterable[str]) -> dict[str, int]:
        wanted, found = set(hosts), dict[str, int]()
        for one in self._standing():
            if one.host in wanted:
                found[one.host] = found.get(one.host, 0) + 1
        return found

    def machine_views(self) -> dict[str, MachineView]:
        from bramblestile.work.planner import MachineView

        found = {}
        for front in self.fronts:
            load_figures = front.decisions.load_figures()
            for host in front.cluster.listed_hosts():
                load_config, masked = load_figures.get(host.id, (None, False))
                running = host.state is State.RUNNING and not masked
                found[host.id] = MachineView(
                    host.zone,
                    host.weight,
                    front.warmth(host),
                    running,
                    load=(load_config or 0.0) * host.weight * front.warmth(host),
                    expected_warmth=front.warmth(host, LEFT_MEAN),
                )
        return found

    def probe_loads(self, hosts: Iterable[str]) -> None:
        wanted = set(hosts)
        for front in self.fronts:
            if front.config.settings.may_probe and front.config.settings.reports_load:
                for host in front.cluster.hosts():
                    if host.id in wanted and host.state is State.RUNNING:
                        front.probes.request(host.id, even_if_queued=False)

    def suspended_hosts(self) -> list[str]:
        return sorted(self.order_store.orders.suspended)

    def apply_constraints(self, constraints: RoutingConstraints) -> None:
        with self._ordering:
            self._constraints = constraints
            self._obey(self.order_store.orders)

    def call_maintenance(self, verb: str, text: str) -> Callable[[], tuple[int, str] | None] | None:
        """Asked of the leader, wherever it is. What is returned is asked over and over and waits for nothing."""
        maintenance = self.maintenance
        if maintenance is None:
            return None
        at = maintenance.leader_address()
        if at is None:
            asked = maintenance.submit(verb, text)
            return lambda: asked.answer
        answer: list[tuple[int, str]] = []

        def pass_on() -> None:
            path = {"show": "", "history": "/history"}.get(
                verb, f"/{verb}/{quote(text, safe='')}" if verb in ("done", "drop", "forget") else f"/{verb}"
            )
            answer.append(forward_call(at, "GET" if verb in ("show", "history") else "PUT", "/v1/work" + path, text))

        try:
            threading.Thread(target=pass_on, name="work call", daemon=True).start()
        except RuntimeError:
            return lambda: (503, "no thread is to be had")
        return lambda: answer[0] if answer else None

    def _figures(self) -> dict[str, float]:
        """What the other members are told of this one: requests a second since it was last asked."""
        asked, at = sum(self.counters.get(f"{front.name}_accepted") for front in self.fronts), now()
        (before, since), self._asked = self._asked, (asked, at)
        return {"traffic": (asked - before) / max((at - since).total_seconds(), 0.001)}

    def fleet_view(self) -> str | None:
        """The fleet as this member sees it, as JSON; None where there is none."""
        return None if self.gossip is None else json.dumps(self.gossip.describe())

    def health_report(self) -> agent.Health:
        """What other balancers are told of this one."""
        share = max((front.running_share() for front in self.fronts), default=0.0)
        return agent.Health(share > 0, self.is_shutting_down or self._drained_since is not None, share)

    def stop(self) -> None:
        """Takes what the front still sends, or leaves that to a ready successor, answers it, moves all that stands, and
        returns in time."""
        began = now()
        self.stop_store()
        if self.maintenance is not None:
            self.maintenance.stop()
        if self.gossip is not None:
            self.gossip.stop()
        self.is_shutting_down = True  # said at once; what still comes is taken
        succeeded = self.handoff is not None and self.handoff.wait_for_ready(READY_WITHIN)
        listeners = [front.listener for front in self.fronts if front.listener is not None]
        threading.Thread(
            target=self._stop_listening,
            args=(listeners, ZERO_DURATION if succeeded else STILL_COMING),
            name="closing",
            daemon=True,
        ).start()
        leaving = self.longest_deadline() + LEAVING_BEYOND
        if succeeded and self.handoff is not None:
            self.handoff.hand_over_all()
        # The moved come back at once, all of them: spread as widely as the time allows, they are no storm.
        plan = MoveSchedule(began + (MOVES_TO_SUCCESSOR if succeeded else MOVES_FROM), began + leaving - LAST_MOVES)
        while now() < began + leaving and (
            now() < plan.starts_at or any(listener.active_count for listener in listeners)
        ):
            self._evacuate(plan, "stop")
            time.sleep(TICK.total_seconds())

    def _evacuate(self, plan: MoveSchedule, reason: str, host: str | None = None) -> None:
        """Moves those who are due by now, on this host or at all."""
        at = now()
        standing = [
            one
            for one in self._standing()
            if host in (None, one.host) and not (one.moved or one.paused or (one.move_requested and at < plan.ends_at))
        ]
        for one in plan.due(at, standing):
            self._move(one, reason)

    def _move(self, standing: ProxiedConnection, reason: str) -> None:
        told = standing.moved or standing.move_requested
        if standing.move(TICK) and not told:
            self.tracing.current.moved(now(), standing.id, standing.host, reason)

    def _stop_listening(self, listeners: list[Listener], after: timedelta) -> None:
        time.sleep(after.total_seconds())
        for listener in listeners:
            listener.stop()

    def longest_deadline(self) -> timedelta:
        longest = max(c.deadline_us for front in self.fronts for c in front.config.settings.classes)
        return min(timedelta(microseconds=longest), LONGEST_DEADLINE)

    def _standing(self) -> list[ProxiedConnection]:
        return [one for front in self.fronts for one in front.connections.all()]


def reload(daemon: Daemon, arguments: list[str]) -> None:
    """SIGHUP: the same files are read again. A faulty one changes nothing."""
    try:
        config = load_config(arguments, os.environ)
        lost = first_missing_key(daemon.config.file_values, config.file_values)
        if lost is not None:
            raise ConfigError(f"{lost}: missing, though the settings in force have it")
        daemon.reconfigure(config)
    except ConfigError as error:
        daemon.counters.add("reloads_refused")
        daemon.log.error("reload", text=f"kept as it was: {error}")
        daemon.tracing.current.reloaded(now(), False, str(error))
        return
    daemon.counters.add("reloads")
    daemon.tracing.current.reloaded(now(), True, "")
    daemon.log.info("reload", text="done")


def main(arguments: list[str]) -> int:
    # Signals are waited for, not handled: blocked before the first thread starts, so that all inherit it, and
    # before the first file is read: a SIGHUP that came sooner would end the program.
    signal.pthread_sigmask(signal.SIG_BLOCK, WAITED)
    try:
        config = load_config(arguments, os.environ)
    except ConfigError as error:
        print(f"bramblestile: {error}", file=sys.stderr, flush=True)
        return 2
    log.configure(config.log.level, config.log.format)
    threading.stack_size(STACK)
    try:
        daemon = Daemon(config)
        daemon.start()
    except ConfigError as error:
        print(f"bramblestile: {error}", file=sys.stderr, flush=True)
        return 2
    while (caught := signal.sigwait(WAITED)) not in (signal.SIGTERM, signal.SIGINT):
        if caught is signal.SIGHUP:
            reload(daemon, arguments)
        else:
            daemon.counters.log()
    daemon.stop()
    daemon.stop_trace()
    daemon.counters.log()
    sys.stderr.flush()
    os._exit(0)  # threads that still wait on a socket must not hold up the exit
