"""A hand-driven relay for the tests: feeds a balancer and keeps what it does. It is not a simulator."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TypeVar

from vanegw import Balancer
from vanegw import interface as api

A = TypeVar("A")

CLASS = api.RequestClass("feed", objective_us=800_000, deadline_us=3_200_000, message_aim_us=100_000)
SETTINGS = api.Settings(
    classes=(CLASS,),
    zone="z0",
    cold_from=0.3,
    cold_us=8_000_000,
    fall_multiple=2.5,
    fall_us=3_000_000,
    drain_grace_us=250_000,
)


def fleet(size: int, **more: object) -> tuple[api.Backend, ...]:
    return tuple(replace(api.Backend(f"b{n}", zone="z0"), **more) for n in range(size))  # type: ignore[arg-type]


@dataclass
class Relay:
    """Answers probes with the load that the test set, and keeps every action for the asserts."""

    settings: api.Settings = SETTINGS
    seed: int = 1
    now: int = 0
    loads: dict[str, float] = field(default_factory=dict)
    seen: list[api.Action] = field(default_factory=list)
    mute: set[str] = field(default_factory=set)
    made: int = 0

    def __post_init__(self) -> None:
        self.balancer = Balancer(self.settings, self.seed)

    def tell(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        self.seen += actions
        return actions

    def show(self, *backends: api.Backend, mode: api.ListMode = api.ListMode.COMPLETE) -> None:
        self.tell(api.BackendList(mode, tuple(backends)))

    def answer(self, actions: list[api.Action]) -> list[api.Action]:
        """Answers the probes among these actions; returns all that came, with what the answers called for."""
        out = list(actions)
        for action in out:
            if isinstance(action, api.Probe) and action.backend not in self.mute:
                report = api.Report(load=self.loads.get(action.backend, 0.5))
                out += self.tell(api.ProbeResult(action.backend, api.Status.SERVED, 1_000, report))
        for action in list(out):
            if isinstance(action, api.SetTimer) and action.token.startswith("hold") and self.mute:
                self.now += action.after_us
                out += self.tell(api.TimerFired(action.token))
        return out

    def request(self, **more: object) -> list[api.Action]:
        self.made += 1
        base = api.Request(f"r{self.made}", "feed", remaining_us=3_200_000)
        actions = self.tell(replace(base, **more))  # type: ignore[arg-type]
        return self.answer(actions)

    def end(
        self, attempt: api.Attempt, status: api.Status, number: int = 0, finished: bool = False
    ) -> list[api.Action]:
        outcome = api.Outcome(attempt.id, number, attempt.backend, status, 1_000, finished)
        return self.answer(self.tell(outcome))

    def place(self, **more: object) -> api.Attempt:
        (attempt,) = only(self.request(**more), api.Attempt)
        return attempt

    def pick(self, **more: object) -> str:
        """Where a request would go; it is over at once."""
        attempt = self.place(**more)
        self.end(attempt, api.Status.SERVED, finished=True)
        return attempt.backend

    def open(self, attempt: api.Attempt, number: int = 0) -> None:
        self.tell(api.Opened(attempt.id, number, attempt.backend, 5_000))


def only(actions: list[api.Action], kind: type[A]) -> list[A]:
    return [a for a in actions if isinstance(a, kind)]
