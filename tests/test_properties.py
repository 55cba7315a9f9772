"""The four rules of vanegw/rules.py hold for random sequences of legal events."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.balancer_driver import SETTINGS
from vanegw import Balancer
from vanegw import interface as api

CLASSES = (
    api.RequestClass("safe", 800_000, 3_200_000, message_aim_us=100_000),
    api.RequestClass("unsafe", 800_000, 3_200_000, api.Effect.UNSAFE),
    api.RequestClass("all", 500_000, 2_000_000, api.Effect.KEYED, api.Scope.ALL, 900_000),
    api.RequestClass("zone", 500_000, 2_000_000, api.Effect.KEYED, api.Scope.ZONE, 900_000),
    api.RequestClass("cell", 500_000, 2_000_000, api.Effect.KEYED, api.Scope.CELL, 900_000),
)
RULE_SETTINGS = replace(SETTINGS, classes=CLASSES, groups=True, list_on_request=True)
STATUSES_BEFORE_OPEN = [s for s in api.Status if s not in (api.Status.SERVED, api.Status.CANCELLED)]
PROBE_STATUSES = (api.Status.SERVED, api.Status.TIMED_OUT, api.Status.NO_ROOM)


@dataclass
class SentAttempt:
    """An attempt that the balancer has made. ``status`` is None while it is in flight."""

    backend: str
    sent_us: int
    until_us: int
    status: api.Status | None = None


class RuleChecker:
    """Simulates the caller, the clients and the backends, and checks each action against the rules."""

    def __init__(self, data: st.DataObject) -> None:
        self.data = data
        self.now_us = data.draw(st.integers(0, 2**50))
        self.balancer = Balancer(RULE_SETTINGS, data.draw(st.integers(0, 2**32)))
        self.fleet: dict[str, api.Backend] = {}
        self.requests: dict[str, api.Request] = {}
        self.deadlines_us: dict[str, int] = {}
        self.attempts: dict[str, list[SentAttempt]] = {}
        self.finished: set[str] = set()
        self.open_connections: set[str] = set()
        self.timers: list[tuple[int, str]] = []
        self.probes: list[str] = []

    def handle(self, event: api.Event) -> None:
        """Pass an event to the balancer and check its actions."""
        for action in self.balancer.handle(self.now_us, event):
            self.check_action(action)

    def check_action(self, action: api.Action) -> None:
        """Check one action against the rules and keep what it starts or ends."""
        if isinstance(action, api.SetTimer):
            assert 0 < action.after_us <= 71 * 60 * 1_000_000 and len(action.token) <= 64
            self.timers.append((self.now_us + action.after_us, action.token))
        elif isinstance(action, api.Probe):
            assert action.backend in self.fleet
            assert action.backend not in self.probes
            self.probes.append(action.backend)
        elif isinstance(action, api.Attempt):
            self.check_attempt(action)
        elif isinstance(action, (api.Refuse, api.Fail)):
            assert action.id not in self.finished and action.id not in self.open_connections
            assert not self.attempts[action.id] or self.attempts[action.id][-1].status is not None
            if isinstance(action, api.Refuse):
                may_have_run = [a for a in self.attempts[action.id] if a.status and a.status.request_may_have_run]
                request_class = self.class_of(action.id)
                assert (
                    not may_have_run
                    or request_class.effect is api.Effect.SAFE
                    or (request_class.effect is api.Effect.KEYED and request_class.dedup_scope is api.Scope.ALL)
                )
            self.finished.add(action.id)
        elif isinstance(action, api.Move):
            assert action.id in self.open_connections and action.id not in self.finished
            self.finished.add(action.id)

    def check_attempt(self, action: api.Attempt) -> None:
        """Check that an attempt is allowed where and when it is made."""
        attempts, request_class = self.attempts[action.id], self.class_of(action.id)
        target = self.fleet[action.backend]
        assert action.id not in self.finished and action.id not in self.open_connections
        assert len(attempts) < RULE_SETTINGS.try_limit
        assert not attempts or attempts[-1].status is not None  # never two in flight
        assert target.state is api.State.RUNNING  # rule 3, without any grace period
        assert self.now_us < action.until_us <= self.deadlines_us[action.id]
        for earlier in attempts:
            if earlier.status and earlier.status.request_may_have_run and request_class.effect is not api.Effect.SAFE:
                assert request_class.effect is api.Effect.KEYED
                assert self.now_us - earlier.sent_us < request_class.memory_span_us
                assert action.send_by_us is not None
                assert action.send_by_us <= earlier.sent_us + request_class.memory_span_us
                first = self.listed[earlier.backend]
                if request_class.dedup_scope is api.Scope.ZONE:
                    assert first.zone == target.zone
                if request_class.dedup_scope is api.Scope.CELL:
                    assert first.cell == target.cell
        attempts.append(SentAttempt(action.backend, self.now_us, action.until_us))

    def class_of(self, request_id: str) -> api.RequestClass:
        return next(c for c in CLASSES if c.name == self.requests[request_id].cls)

    @property
    def listed(self) -> dict[str, api.Backend]:
        return self.fleet

    def in_flight(self) -> list[str]:
        """Return the ids of the requests with an attempt in flight."""
        return [
            request_id
            for request_id, attempts in self.attempts.items()
            if attempts and attempts[-1].status is None and request_id not in self.open_connections
        ]

    # Steps of the simulation.

    def advance(self) -> None:
        """Let time pass, but not beyond a timer or the end of an attempt."""
        step = self.data.draw(st.integers(0, 400_000))
        ends_us = [self.attempts[r][-1].until_us for r in self.in_flight()]
        self.now_us = max(self.now_us, min([self.now_us + step, *(t for t, _ in self.timers), *ends_us]))
        for due in [t for t in self.timers if t[0] <= self.now_us]:
            self.timers.remove(due)
            self.handle(api.TimerFired(due[1]))
        for request_id in self.in_flight():
            if self.attempts[request_id][-1].until_us <= self.now_us:
                self.end_attempt(request_id, api.Status.TIMED_OUT)

    def change_list(self) -> None:
        name = f"b{self.data.draw(st.integers(0, 7))}"
        state = self.data.draw(st.sampled_from(api.State))
        started = self.data.draw(st.sampled_from([None, self.now_us]))
        number = int(name[1:])
        info = api.Backend(name, f"z{number % 2}", number % 4, started_us=started, state=state)
        self.fleet[name] = info
        mode = self.data.draw(st.sampled_from([api.ListMode.CHANGES, api.ListMode.COMPLETE]))
        if mode is api.ListMode.COMPLETE:
            remaining = tuple(b for b in self.fleet.values() if b.state is not api.State.GONE)
            self.handle(api.BackendList(mode, remaining))
        else:
            self.handle(api.BackendList(mode, (info,)))

    def send_request(self) -> None:
        name = f"r{len(self.requests)}"
        request_class = self.data.draw(st.sampled_from(CLASSES))
        remaining_us = self.data.draw(st.integers(1, request_class.deadline_us))
        group = self.data.draw(st.none() | st.integers(0, 5))
        self.requests[name] = api.Request(name, request_class.name, remaining_us, group=group)
        self.deadlines_us[name], self.attempts[name] = self.now_us + remaining_us, []
        self.handle(self.requests[name])

    def answer_probe(self) -> None:
        if self.probes:
            name = self.probes.pop(self.data.draw(st.integers(0, len(self.probes) - 1)))
            status = self.data.draw(st.sampled_from(PROBE_STATUSES))
            load = self.data.draw(st.none() | st.floats(allow_nan=True, allow_infinity=True))
            report = api.Report(load=load) if status is api.Status.SERVED else None
            self.handle(api.ProbeResult(name, status, 1000, report))

    def end_attempt(self, request_id: str, status: api.Status) -> None:
        attempts = self.attempts[request_id]
        attempts[-1].status = status
        is_finished = request_id in self.finished or request_id in self.open_connections
        if request_id in self.open_connections:
            self.finished.add(request_id)
        number = len(attempts) - 1
        took_us = self.now_us - attempts[-1].sent_us
        self.handle(api.Outcome(request_id, number, attempts[-1].backend, status, took_us, is_finished))

    def fail_attempt(self) -> None:
        if self.in_flight():
            request_id = self.data.draw(st.sampled_from(self.in_flight()))
            self.end_attempt(request_id, self.data.draw(st.sampled_from(STATUSES_BEFORE_OPEN)))

    def open_connection(self) -> None:
        waiting = [r for r in self.in_flight() if r not in self.finished]
        if waiting:
            request_id = self.data.draw(st.sampled_from(waiting))
            self.open_connections.add(request_id)
            last = self.attempts[request_id][-1]
            self.handle(
                api.Opened(request_id, len(self.attempts[request_id]) - 1, last.backend, self.now_us - last.sent_us)
            )

    def send_note(self) -> None:
        open_ids = sorted(self.open_connections - self.finished)
        if open_ids:
            request_id = self.data.draw(st.sampled_from(open_ids))
            last = self.attempts[request_id][-1]
            value = self.data.draw(st.floats(0, 5000) | st.just(float("nan")))
            kind = self.data.draw(st.sampled_from(api.NoteKind))
            self.handle(api.Note(request_id, len(self.attempts[request_id]) - 1, last.backend, kind, value))

    def disconnect_client(self) -> None:
        unanswered = [r for r in self.requests if r not in self.finished and r not in self.open_connections]
        if unanswered:
            request_id = self.data.draw(st.sampled_from(unanswered))
            self.finished.add(request_id)
            self.handle(api.ClientGone(request_id))

    def finish_all(self) -> None:
        """Let only timers and time-outs happen, and check that every request gets its answer in time."""
        for _ in range(2000):
            times_us = [t for t, _ in self.timers] + [self.attempts[r][-1].until_us for r in self.in_flight()]
            if not times_us:
                break
            self.now_us = max(self.now_us, min(times_us))
            for due in [t for t in self.timers if t[0] <= self.now_us]:
                self.timers.remove(due)
                if not due[1].startswith("ask"):
                    self.handle(api.TimerFired(due[1]))
            for request_id in self.in_flight():
                if self.attempts[request_id][-1].until_us <= self.now_us:
                    self.end_attempt(request_id, api.Status.TIMED_OUT)
        for request_id in self.requests:
            assert request_id in self.finished or request_id in self.open_connections, request_id


STEPS = (
    "advance",
    "change_list",
    "send_request",
    "answer_probe",
    "fail_attempt",
    "open_connection",
    "send_note",
    "disconnect_client",
)


@settings(max_examples=150, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck))
@given(st.data())
def test_the_four_rules_hold_for_all_event_sequences(data: st.DataObject) -> None:
    checker = RuleChecker(data)
    for _ in range(3):
        checker.change_list()
    for step in data.draw(st.lists(st.sampled_from(STEPS), max_size=60)):
        getattr(checker, step)()
        assert all(
            checker.now_us <= checker.deadlines_us[r]
            for r in checker.requests
            if r not in checker.finished | checker.open_connections
        ), "an answer is overdue"
    checker.finish_all()
    assert not [r for r in checker.balancer.requests if r in checker.finished]  # finished requests are forgotten
