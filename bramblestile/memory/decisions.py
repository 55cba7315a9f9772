"""The decision module behind one lock, its timers, and its actions handed to the thread they concern.

This is the one seam between spans and the module's microseconds. No socket is touched under the lock.
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
from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.memory.counters import Counters
from bramblestile.tracing import Tracer, TracerHandle
from vanegw import handover
from vanegw import interface as api
from vanegw.recording import DecisionSnapshot, RecordingBalancer

Choice = api.Attempt | api.Refuse | api.Fail
LAST_WAIT = timedelta(milliseconds=100)  # past its deadline a request waits hardly longer for the module


def to_microseconds(duration: timedelta) -> int:
    return duration // MICROSECOND


def from_microseconds(micros_: int) -> timedelta:
    return timedelta(microseconds=micros_)


def to_backend(host: UpstreamHost) -> api.Backend:
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
    """Why the module moves connections, told by what it has just heard."""
    if isinstance(event, api.TimerFired):
        return "drain"
    if isinstance(event, api.Note) and event.kind in (api.NoteKind.SILENCE, api.NoteKind.HUSH):
        return "mute" if event.kind is api.NoteKind.SILENCE else "hush"
    return "overload"


class ActiveRequest:
    """One request's place in the decisions: the module's choices for it come in here, in order."""

    def __init__(self, name: str, deadline: timedelta) -> None:
        self.id = name
        self.deadline = deadline
        self.choices: SimpleQueue[Choice] = SimpleQueue()
        self.host = ""  # where its connection stands

    def next_choice(self) -> Choice:
        """What the module chooses next. Were it silent, the answer would still be owed: failed."""
        try:
            return self.choices.get(timeout=max(self.deadline - now(), LAST_WAIT).total_seconds())
        except Empty:
            return api.Fail(self.id)


class Decisions:
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
        self._due = threading.Condition(threading.Lock())
        self._timers: list[tuple[timedelta, int, str]] = []
        self._set = 0
        self._visits: dict[str, ActiveRequest] = {}
        # Set by the start: what to do, outside the lock, with the actions that concern no request.
        self.on_probe: Callable[[str], None] = lambda host: None
        self.on_move: Callable[[str], None] = lambda connection: None
        self.on_subscribe: Callable[[], None] = lambda: None

    def start(self) -> None:
        threading.Thread(target=self._run_timers, name="timers", daemon=True).start()

    def reconfigure(self, settings: api.Settings) -> None:
        with self._lock:
            self._balancer.reconfigure(settings)

    def export_state(self) -> list[dict[str, Any]]:
        """What the module knows, for the process that takes this one's place."""
        with self._lock:
            return handover.export_state(self._balancer)

    def import_state(self, part: dict[str, Any]) -> None:
        """A part of what the process before this one knew. It may be of another version, and what is not understood is
        served on without: it must not end the thread that brought it."""
        try:
            with self._lock:
                handover.import_state(self._balancer, part)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            self._counters.add("recall_refused")
            self._log.warning("recall", text=f"served on without: {error!r}")

    def register(self, name: str, deadline: timedelta) -> ActiveRequest | None:
        """A request's place under its id, until it is released; None while another holds that id. Whoever
        sends the id of another's open request must not get at what is answered, moved or ended under it."""
        visit = ActiveRequest(name, deadline)
        with self._lock:
            return visit if self._visits.setdefault(name, visit) is visit else None

    def unregister(self, visit: ActiveRequest) -> None:
        with self._lock:
            del self._visits[visit.id]

    def update_list(self, mode: api.ListMode, hosts: Sequence[UpstreamHost]) -> None:
        """News of the cluster. The addresses come first: the module may choose a new host at once."""
        seen = [] if mode is api.ListMode.UNAVAILABLE else self._cluster.update(mode, hosts)
        if mode is api.ListMode.UNAVAILABLE:
            self._counters.add("list_unavailable")
        self.handle_event(api.BackendList(mode, tuple(to_backend(h) for h in seen)))

    def apply_check(self, name: str, takes_work: bool | None, share: float | None = None) -> bool:
        """What a check says of a host. True where it is news."""
        return self._changed(self._cluster.apply_check(name, takes_work, share))

    def mark_draining(self, name: str) -> bool:
        """The host has said itself that it drains. True where it is news."""
        return self._changed(self._cluster.mark_draining(name))

    def set_closed(self, name: str, closed: bool) -> None:
        """Nothing new to this host from now on, or again; what stands there stays."""
        self._changed(self._cluster.set_closed(name, closed))

    def load_figures(self) -> dict[str, tuple[float | None, bool]]:
        """For each host its load as last reported, and whether it is masked for its failures."""
        at = to_microseconds(now())
        with self._lock:
            return {name: (known.load, known.masked_until_us > at) for name, known in self._balancer.backends.items()}

    def refresh_hosts(self, names: Sequence[str]) -> None:
        """Tells the module how these hosts are seen now."""
        seen = [host for name in names if (host := self._cluster.find(name)) is not None]
        if seen:
            self.handle_event(api.BackendList(api.ListMode.CHANGES, tuple(to_backend(h) for h in seen)))

    def _changed(self, host: UpstreamHost | None) -> bool:
        if host is not None:
            self.handle_event(api.BackendList(api.ListMode.CHANGES, (to_backend(host),)))
        return host is not None

    def handle_event(self, event: api.Event) -> None:
        later: list[api.Action] = []
        tracer = self._tracing.current
        with self._lock:
            at = now()
            self._balancer.recording, self._balancer.make_candidate = tracer.recording, tracer.make_candidate
            try:
                actions = self._balancer.handle(to_microseconds(at), event)
            except Exception:
                # A fault in a decision must not end the thread that brought the event: it may hold a client.
                self._counters.add("decision_faults")
                self._log.exception("decision fault", told=type(event).__name__)
                return
            views: Sequence[DecisionSnapshot] = self._balancer.decisions
            counted = self._balancer.counter_names
            for action in actions:
                if isinstance(action, (api.Attempt, api.Refuse, api.Fail)):
                    visit = self._visits.get(action.id)
                    if visit is not None:
                        visit.choices.put(action)
                else:
                    later.append(action)
        for name in counted:
            self._counters.add(name)
        if tracer.recording:
            self._trace(tracer, at, event, views, later)
        for action in later:
            self._carry_out(action)

    def _trace(
        self,
        tracer: Tracer,
        at: timedelta,
        event: api.Event,
        views: Sequence[DecisionSnapshot],
        actions: Sequence[api.Action],
    ) -> None:
        """Tells the tracer what the module heard and what it made of it, outside the lock."""
        if isinstance(event, api.ProbeResult):
            tracer.probed(at, self._name, event)
        elif isinstance(event, api.Note):
            tracer.note(at, event)
        elif isinstance(event, api.BackendList):
            tracer.listed(at, self._name, event)
        for view in views:
            tracer.decision(at, view)
        for action in actions:
            if isinstance(action, api.Probe):
                tracer.probe_sent(at, self._name, action.backend)
            elif isinstance(action, api.Move):
                visit = self._visits.get(action.id)
                tracer.moved(at, action.id, visit.host if visit else "", move_reason(event))

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            with self._due:
                self._set += 1
                heapq.heappush(self._timers, (now() + from_microseconds(action.after_us), self._set, action.token))
                self._due.notify()
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
            with self._due:
                while not self._timers or self._timers[0][0] > now():
                    left = self._timers[0][0] - now() if self._timers else None
                    self._due.wait(None if left is None else max(0.0, left.total_seconds()))
                token = heapq.heappop(self._timers)[2]
            self.handle_event(api.TimerFired(token))
