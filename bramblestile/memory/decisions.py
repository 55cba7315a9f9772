"""The decision module behind one lock, its timers, and its actions handed to the threads they concern.

This is the only place that converts between durations and the module's microseconds. No socket is used while the lock
is held.
"""

from __future__ import annotations

import heapq
import threading
from collections.abc import Callable, Sequence
from datetime import timedelta
from queue import Empty, SimpleQueue
from typing import Any

from bramblestile.clock import MICROSECOND, now
from bramblestile.log import Log
from bramblestile.memory.cluster import Cluster, HostSetting, UpstreamHost
from bramblestile.memory.counters import Counters
from bramblestile.memory.request_ids import RequestIds
from bramblestile.tracing import Tracer, TracerHandle
from vanegw import handover
from vanegw import interface as api
from vanegw.recording import DecisionSnapshot, RecordingBalancer

Choice = api.Attempt | api.Refuse | api.Fail
MIN_CHOICE_TIMEOUT = timedelta(milliseconds=100)  # how long a request past its deadline still waits for the module


def to_microseconds(duration: timedelta) -> int:
    """Return the whole microseconds of a duration."""
    return duration // MICROSECOND


def from_microseconds(value_us: int) -> timedelta:
    """Return a duration of so many microseconds."""
    return timedelta(microseconds=value_us)


def to_backend(host: UpstreamHost) -> api.Backend:
    """Return an upstream host in the decision module's terms."""
    return api.Backend(
        host.id,
        host.zone,
        host.cell,
        host.weight,
        None if host.started_at is None else to_microseconds(host.started_at),
        host.kind,
        host.state,
    )


def move_reason(event: api.Event) -> str:
    """Return the trace's word for why the module moves connections, by the event that it has just handled."""
    if isinstance(event, api.TimerFired):
        return "drain"
    if isinstance(event, api.Note) and event.kind in (api.NoteKind.SILENCE, api.NoteKind.HUSH):
        return "mute" if event.kind is api.NoteKind.SILENCE else "hush"
    return "overload"


class ActiveRequest:
    """A request between its registration and its end. The module's choices for it are queued here in order."""

    def __init__(self, request_id: str, deadline: timedelta) -> None:
        self.id = request_id
        self.deadline = deadline
        self.choices: SimpleQueue[Choice | None] = SimpleQueue()  # None: the deadline has changed
        self.host = ""  # the host that its connection is open to
        self.is_over = False  # its final answer has been given, here or by the process that placed it
        self.may_have_run = False  # an upstream host may have acted on it, so its id must not run again

    def next_choice(self) -> Choice:
        """Wait for the module's next choice; ``Fail`` if none comes in time, because the client is owed an answer."""
        while True:
            try:
                choice = self.choices.get(timeout=max(self.deadline - now(), MIN_CHOICE_TIMEOUT).total_seconds())
            except Empty:
                return api.Fail(self.id)
            if choice is not None:
                return choice

    def expire(self) -> None:
        """Bring the deadline forward to now, also for a thread that waits for a choice already."""
        self.deadline = min(self.deadline, now())
        self.choices.put(None)


class Decisions:
    """Thread-safe access to one front's decision module.

    ``on_probe``, ``on_move`` and ``on_subscribe`` carry out the actions that concern no request; the front sets them
    before ``start``. They are called without the lock.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        cluster: Cluster,
        counters: Counters,
        tracing: TracerHandle | None = None,
        name: str = "",
    ) -> None:
        self._balancer = RecordingBalancer(settings, seed)
        self._tracing = tracing or TracerHandle()
        self._name = name  # the front's, for the trace
        self._log = Log(front=name) if name else Log()
        self._cluster = cluster
        self._counters = counters
        self._lock = threading.Lock()
        # Held while a change is applied to the cluster and reported to the module, so that the module learns of all
        # changes in their order. It is taken before ``_lock``.
        self._hosts_lock = threading.Lock()
        self._timers_changed = threading.Condition(threading.Lock())
        self._timers: list[tuple[timedelta, int, str]] = []  # a heap: due time, sequence number, token
        self._timer_sequence = 0  # orders timers that are due at the same time
        self._stopped = False
        self._active_requests: dict[str, ActiveRequest] = {}
        self.request_ids: RequestIds | None = None  # None: the protocol's clients send no ids
        self.on_probe: Callable[[str], None] = lambda host: None
        self.on_move: Callable[[str], None] = lambda connection: None
        self.on_subscribe: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the thread that fires timers."""
        threading.Thread(target=self._run_timers, name="timers", daemon=True).start()

    def stop(self) -> None:
        """Fire no further timers."""
        with self._timers_changed:
            self._stopped = True
            self._timers_changed.notify()

    def reconfigure(self, settings: api.Settings) -> None:
        """Replace the module's settings."""
        with self._lock:
            self._balancer.reconfigure(settings)

    def export_state(self) -> list[dict[str, Any]]:
        """Return what the module has learned, in parts, for the process that replaces this one."""
        with self._lock:
            return handover.export_state(self._balancer)

    def import_state(self, part: dict[str, Any]) -> None:
        """Take over a part of what the previous process had learned.

        The part may come from another version of the program. A part that is not understood is counted, logged and
        ignored: it must not end the thread that received it.
        """
        try:
            with self._lock:
                handover.import_state(self._balancer, part)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            self._counters.add("recall_refused")
            self._log.warning("recall", text=f"ignored: {error!r}")

    def register(self, request_id: str, deadline: timedelta, is_known_to_host: bool = False) -> ActiveRequest | None:
        """Reserve a request id until it is unregistered; None while another request holds it, or if it may have run.

        A client that sends the id of another client's open request must not be able to answer, move or end that one.
        ``is_known_to_host`` marks a connection that an upstream host holds already: it does not run again.
        """
        active = ActiveRequest(request_id, deadline)
        with self._lock:
            if self._active_requests.setdefault(request_id, active) is not active:
                return None
        if is_known_to_host:
            active.may_have_run = True
        elif self.request_ids is not None and not self.request_ids.claim(request_id):
            with self._lock:
                del self._active_requests[request_id]
            return None
        return active

    def unregister(self, active: ActiveRequest) -> None:
        """Release the id of a request that has ended; it is remembered if the request may have run."""
        if self.request_ids is not None and active.may_have_run:
            self.request_ids.keep([active.id])
        elif self.request_ids is not None:
            self.request_ids.release(active.id)
        with self._lock:
            del self._active_requests[active.id]

    def keep_active_ids(self) -> None:
        """Remember the ids of all open requests from now on, for the other process of an upgrade."""
        with self._lock:
            ids = list(self._active_requests)
        if self.request_ids is not None:
            self.request_ids.keep(ids)

    def shut_down(self) -> None:
        """Have the module answer every request as soon as it can. One that it has lost track of fails."""
        self.handle_event(api.Shutdown())
        with self._lock:
            waiting = self._waiting_requests()
        for active in waiting:
            active.expire()

    def waiting_ids(self) -> list[str]:
        """Return the ids of the requests that are still owed their answer."""
        with self._lock:
            return [active.id for active in self._waiting_requests()]

    def _waiting_requests(self) -> list[ActiveRequest]:
        """Return the requests that are still owed their answer. Called with the lock held."""
        return [active for active in self._active_requests.values() if not active.is_over]

    def update_list(self, mode: api.ListMode, hosts: Sequence[UpstreamHost]) -> None:
        """Apply news of the list of hosts.

        The cluster is updated before the module, which may choose a new host at once.
        """
        if mode is api.ListMode.UNAVAILABLE:
            self._counters.add("list_unavailable")
        with self._hosts_lock:
            effective = [] if mode is api.ListMode.UNAVAILABLE else self._cluster.update(mode, hosts)
            self.handle_event(api.BackendList(mode, tuple(to_backend(h) for h in effective)))

    def apply_check(self, name: str, takes_work: bool | None, weight_share: float | None = None) -> bool:
        """Apply a health check's result (see ``Cluster.apply_check``). Returns whether it changes the host."""
        return self._change_host(lambda: self._cluster.apply_check(name, takes_work, weight_share))

    def apply_stored_setting(self, name: str, setting: HostSetting) -> bool:
        """Apply what the replicated store holds of a host. Returns whether it changes the host."""
        return self._change_host(lambda: self._cluster.apply_stored_setting(name, setting))

    def mark_draining(self, name: str) -> bool:
        """Record a host's own announcement that it drains. Returns whether it changes the host."""
        return self._change_host(lambda: self._cluster.mark_draining(name))

    def end_draining(self, name: str) -> None:
        """Record that a host no longer announces that it drains."""
        self._change_host(lambda: self._cluster.end_draining(name))

    def set_closed(self, name: str, closed: bool) -> None:
        """Stop or allow new connections to a host; existing ones stay."""
        self._change_host(lambda: self._cluster.set_closed(name, closed))

    def load_figures(self) -> dict[str, tuple[float | None, bool]]:
        """Return each host's load as last reported, and whether it is masked because of failures."""
        at = to_microseconds(now())
        with self._lock:
            return {name: (state.load, state.masked_until_us > at) for name, state in self._balancer.backends.items()}

    def refresh_hosts(self, names: Sequence[str]) -> None:
        """Report the effective state of these hosts to the module."""
        with self._hosts_lock:
            effective = [host for name in names if (host := self._cluster.find(name)) is not None]
            if effective:
                self.handle_event(api.BackendList(api.ListMode.CHANGES, tuple(to_backend(h) for h in effective)))

    def _change_host(self, change: Callable[[], UpstreamHost | None]) -> bool:
        """Apply a change to the cluster and report the host that it returns. Returns whether it returns one."""
        with self._hosts_lock:
            host = change()
            if host is not None:
                self.handle_event(api.BackendList(api.ListMode.CHANGES, (to_backend(host),)))
        return host is not None

    def handle_event(self, event: api.Event) -> None:
        """Pass an event to the module and carry out its actions."""
        other_actions: list[api.Action] = []
        tracer = self._tracing.current
        with self._lock:
            at = now()
            self._balancer.recording, self._balancer.make_candidate = tracer.recording, tracer.make_candidate
            try:
                actions = self._balancer.handle(to_microseconds(at), event)
            except Exception:
                # A fault in a decision must not end the thread that brought the event: it may serve a client.
                self._counters.add("decision_faults")
                self._log.exception("decision fault", told=type(event).__name__)
                return
            decisions: Sequence[DecisionSnapshot] = self._balancer.decisions
            counter_names = self._balancer.counter_names
            for action in actions:
                if isinstance(action, (api.Attempt, api.Refuse, api.Fail)):
                    active = self._active_requests.get(action.id)
                    if active is not None:
                        active.choices.put(action)
                else:
                    other_actions.append(action)
        for name in counter_names:
            self._counters.add(name)
        if tracer.recording:
            self._trace(tracer, at, event, decisions, other_actions)
        for action in other_actions:
            self._carry_out(action)

    def _trace(
        self,
        tracer: Tracer,
        at: timedelta,
        event: api.Event,
        decisions: Sequence[DecisionSnapshot],
        actions: Sequence[api.Action],
    ) -> None:
        """Record an event and the decisions that followed from it. Called without the lock."""
        if isinstance(event, api.ProbeResult):
            tracer.probed(at, self._name, event)
        elif isinstance(event, api.Note):
            tracer.note(at, event)
        elif isinstance(event, api.BackendList):
            tracer.host_list_received(at, self._name, event)
        for snapshot in decisions:
            tracer.decision(at, snapshot)
        for action in actions:
            if isinstance(action, api.Probe):
                tracer.probe_sent(at, self._name, action.backend)
            elif isinstance(action, api.Move):
                active = self._active_requests.get(action.id)
                tracer.connection_moved(at, action.id, active.host if active else "", move_reason(event))

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            with self._timers_changed:
                self._timer_sequence += 1
                heapq.heappush(
                    self._timers, (now() + from_microseconds(action.after_us), self._timer_sequence, action.token)
                )
                self._timers_changed.notify()
        elif isinstance(action, api.Probe):
            self.on_probe(action.backend)
        elif isinstance(action, api.Move):
            self.on_move(action.id)
        elif isinstance(action, api.Subscribe):
            self._counters.add("list_asked")
            self.on_subscribe()
        # A Cancel needs nothing: the request's own thread has seen the downstream leave and ends the attempt.

    def _run_timers(self) -> None:
        while True:
            with self._timers_changed:
                while not self._stopped and (not self._timers or self._timers[0][0] > now()):
                    remaining = self._timers[0][0] - now() if self._timers else None
                    self._timers_changed.wait(None if remaining is None else max(0.0, remaining.total_seconds()))
                if self._stopped:
                    return
                token = heapq.heappop(self._timers)[2]
            self.handle_event(api.TimerFired(token))
