"""The four rules over random legal orders of events."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.relay import SETTINGS
from vanegw import Balancer
from vanegw import interface as api

CLASSES = (
    api.RequestClass("safe", 800_000, 3_200_000, message_aim_us=100_000),
    api.RequestClass("unsafe", 800_000, 3_200_000, api.Effect.UNSAFE),
    api.RequestClass("all", 500_000, 2_000_000, api.Effect.KEYED, api.Scope.ALL, 900_000),
    api.RequestClass("zone", 500_000, 2_000_000, api.Effect.KEYED, api.Scope.ZONE, 900_000),
    api.RequestClass("cell", 500_000, 2_000_000, api.Effect.KEYED, api.Scope.CELL, 900_000),
)
RULES = replace(SETTINGS, classes=CLASSES, groups=True, list_on_request=True)
BEFORE_OPEN = [s for s in api.Status if s not in (api.Status.SERVED, api.Status.CANCELLED)]
PROBED = (api.Status.SERVED, api.Status.TIMED_OUT, api.Status.NO_ROOM)


@dataclass
class Sent:
    backend: str
    at: int
    until: int
    status: api.Status | None = None


class Judge:
    """Plays the part of relay, clients and backends, and checks each action against the rules."""

    def __init__(self, draw: st.DataObject) -> None:
        self.draw = draw
        self.now = draw.draw(st.integers(0, 2**50))
        self.balancer = Balancer(RULES, draw.draw(st.integers(0, 2**32)))
        self.fleet: dict[str, api.Backend] = {}
        self.requests: dict[str, api.Request] = {}
        self.deadline: dict[str, int] = {}
        self.sent: dict[str, list[Sent]] = {}
        self.over: set[str] = set()
        self.stands: set[str] = set()
        self.timers: list[tuple[int, str]] = []
        self.probes: list[str] = []

    def tell(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check(action)

    def check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            assert 0 < action.after_us <= 71 * 60 * 1_000_000 and len(action.token) <= 64
            self.timers.append((self.now + action.after_us, action.token))
        elif isinstance(action, api.Probe):
            assert action.backend in self.fleet
            assert action.backend not in self.probes
            self.probes.append(action.backend)
        elif isinstance(action, api.Attempt):
            self.check_attempt(action)
        elif isinstance(action, (api.Refuse, api.Fail)):
            assert action.id not in self.over and action.id not in self.stands
            assert not self.sent[action.id] or self.sent[action.id][-1].status is not None
            if isinstance(action, api.Refuse):
                ran = [s for s in self.sent[action.id] if s.status and s.status.may_have_run]
                cls = self.cls(action.id)
                assert (
                    not ran
                    or cls.effect is api.Effect.SAFE
                    or (cls.effect is api.Effect.KEYED and cls.dedup_scope is api.Scope.ALL)
                )
            self.over.add(action.id)
        elif isinstance(action, api.Move):
            assert action.id in self.stands and action.id not in self.over
            self.over.add(action.id)

    def check_attempt(self, action: api.Attempt) -> None:
        tries, cls = self.sent[action.id], self.cls(action.id)
        target = self.fleet[action.backend]
        assert action.id not in self.over and action.id not in self.stands
        assert len(tries) < RULES.try_limit
        assert not tries or tries[-1].status is not None  # never two out at once
        assert target.state is api.State.RUNNING  # rule 3, stricter than the grace
        assert self.now < action.until_us <= self.deadline[action.id]
        for earlier in tries:
            if earlier.status and earlier.status.may_have_run and cls.effect is not api.Effect.SAFE:
                assert cls.effect is api.Effect.KEYED
                assert self.now - earlier.at < cls.memory_span_us
                first = self.seen[earlier.backend]
                if cls.dedup_scope is api.Scope.ZONE:
                    assert first.zone == target.zone
                if cls.dedup_scope is api.Scope.CELL:
                    assert first.cell == target.cell
        tries.append(Sent(action.backend, self.now, action.until_us))

    def cls(self, request: str) -> api.RequestClass:
        return next(c for c in CLASSES if c.name == self.requests[request].cls)

    @property
    def seen(self) -> dict[str, api.Backend]:
        return self.fleet

    def out(self) -> list[str]:
        return [r for r, t in self.sent.items() if t and t[-1].status is None and r not in self.stands]

    # The moves of the world.

    def advance(self) -> None:
        """Time passes, but never past a timer or an attempt's end."""
        step = self.draw.draw(st.integers(0, 400_000))
        ends = [self.sent[r][-1].until for r in self.out()]
        self.now = max(self.now, min([self.now + step, *(t for t, _ in self.timers), *ends]))
        for due in [t for t in self.timers if t[0] <= self.now]:
            self.timers.remove(due)
            self.tell(api.TimerFired(due[1]))
        for request in self.out():
            if self.sent[request][-1].until <= self.now:
                self.end(request, api.Status.TIMED_OUT)

    def change(self) -> None:
        name = f"b{self.draw.draw(st.integers(0, 7))}"
        state = self.draw.draw(st.sampled_from(api.State))
        started = self.draw.draw(st.sampled_from([None, self.now]))
        number = int(name[1:])
        info = api.Backend(name, f"z{number % 2}", number % 4, started_us=started, state=state)
        self.fleet[name] = info
        mode = self.draw.draw(st.sampled_from([api.ListMode.CHANGES, api.ListMode.COMPLETE]))
        if mode is api.ListMode.COMPLETE:
            left = tuple(b for b in self.fleet.values() if b.state is not api.State.GONE)
            self.tell(api.BackendList(mode, left))
        else:
            self.tell(api.BackendList(mode, (info,)))

    def arrive(self) -> None:
        name = f"r{len(self.requests)}"
        cls = self.draw.draw(st.sampled_from(CLASSES))
        left = self.draw.draw(st.integers(1, cls.deadline_us))
        group = self.draw.draw(st.none() | st.integers(0, 5))
        self.requests[name] = api.Request(name, cls.name, left, group=group)
        self.deadline[name], self.sent[name] = self.now + left, []
        self.tell(self.requests[name])

    def answer_probe(self) -> None:
        if self.probes:
            name = self.probes.pop(self.draw.draw(st.integers(0, len(self.probes) - 1)))
            status = self.draw.draw(st.sampled_from(PROBED))
            load = self.draw.draw(st.none() | st.floats(allow_nan=True, allow_infinity=True))
            report = api.Report(load=load) if status is api.Status.SERVED else None
            self.tell(api.ProbeResult(name, status, 1000, report))

    def end(self, request: str, status: api.Status) -> None:
        tries = self.sent[request]
        tries[-1].status = status
        done = request in self.over or request in self.stands
        if request in self.stands:
            self.over.add(request)
        number = len(tries) - 1
        took = self.now - tries[-1].at
        self.tell(api.Outcome(request, number, tries[-1].backend, status, took, done))

    def fail(self) -> None:
        if self.out():
            request = self.draw.draw(st.sampled_from(self.out()))
            self.end(request, self.draw.draw(st.sampled_from(BEFORE_OPEN)))

    def open(self) -> None:
        waiting = [r for r in self.out() if r not in self.over]
        if waiting:
            request = self.draw.draw(st.sampled_from(waiting))
            self.stands.add(request)
            last = self.sent[request][-1]
            self.tell(api.Opened(request, len(self.sent[request]) - 1, last.backend, self.now - last.at))

    def note(self) -> None:
        standing = sorted(self.stands - self.over)
        if standing:
            request = self.draw.draw(st.sampled_from(standing))
            last = self.sent[request][-1]
            value = self.draw.draw(st.floats(0, 5000) | st.just(float("nan")))
            kind = self.draw.draw(st.sampled_from(api.NoteKind))
            self.tell(api.Note(request, len(self.sent[request]) - 1, last.backend, kind, value))

    def leave(self) -> None:
        owed = [r for r in self.requests if r not in self.over and r not in self.stands]
        if owed:
            request = self.draw.draw(st.sampled_from(owed))
            self.over.add(request)
            self.tell(api.ClientGone(request))

    def settle_all(self) -> None:
        """Nothing more happens but timers and time-outs: every request must get its answer in time."""
        for _ in range(2000):
            times = [t for t, _ in self.timers] + [self.sent[r][-1].until for r in self.out()]
            if not times:
                break
            self.now = max(self.now, min(times))
            for due in [t for t in self.timers if t[0] <= self.now]:
                self.timers.remove(due)
                if not due[1].startswith("ask"):
                    self.tell(api.TimerFired(due[1]))
            for request in self.out():
                if self.sent[request][-1].until <= self.now:
                    self.end(request, api.Status.TIMED_OUT)
        for request in self.requests:
            assert request in self.over or request in self.stands, request


STEPS = ("advance", "change", "arrive", "answer_probe", "fail", "open", "note", "leave")


@settings(max_examples=150, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck))
@given(st.data())
def test_the_four_rules_hold_whatever_happens(draw: st.DataObject) -> None:
    judge = Judge(draw)
    for _ in range(3):
        judge.change()
    for step in draw.draw(st.lists(st.sampled_from(STEPS), max_size=60)):
        getattr(judge, step)()
        assert all(judge.now <= judge.deadline[r] for r in judge.requests if r not in judge.over | judge.stands), (
            "an answer is overdue"
        )
    judge.settle_all()
    assert not [r for r in judge.balancer.flights if r in judge.over]  # finished requests are forgotten
