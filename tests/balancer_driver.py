"""Drives a balancer by hand in tests: passes it events and collects its actions. It simulates no backends."""

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


def make_backends(count: int, **fields: object) -> tuple[api.Backend, ...]:
    """Return the backends b0, b1, ... with these fields."""
    return tuple(replace(api.Backend(f"b{n}", zone="z0"), **fields) for n in range(count))  # type: ignore[arg-type]


@dataclass
class BalancerDriver:
    """Answers the balancer's probes with the loads that a test sets, and keeps every action."""

    settings: api.Settings = SETTINGS
    seed: int = 1
    now_us: int = 0
    loads: dict[str, float] = field(default_factory=dict)  # reported by each backend; 0.5 where none is set
    all_actions: list[api.Action] = field(default_factory=list)
    silent_backends: set[str] = field(default_factory=set)  # those that do not answer probes
    request_count: int = 0

    def __post_init__(self) -> None:
        self.balancer = Balancer(self.settings, self.seed)

    def handle(self, event: api.Event) -> list[api.Action]:
        """Pass one event to the balancer and return its actions."""
        actions = self.balancer.handle(self.now_us, event)
        self.all_actions += actions
        return actions

    def set_list(self, *backends: api.Backend, mode: api.ListMode = api.ListMode.COMPLETE) -> None:
        """Pass a backend list, or changes to it, to the balancer."""
        self.handle(api.BackendList(mode, tuple(backends)))

    def answer_probes(self, actions: list[api.Action]) -> list[api.Action]:
        """Answer the probes among these actions; return them together with the actions that follow.

        With silent backends, time passes until the wait for the probes is over.
        """
        all_actions = list(actions)
        for action in all_actions:
            if isinstance(action, api.Probe) and action.backend not in self.silent_backends:
                report = api.Report(load=self.loads.get(action.backend, 0.5))
                all_actions += self.handle(api.ProbeResult(action.backend, api.Status.SERVED, 1_000, report))
        for action in list(all_actions):
            if isinstance(action, api.SetTimer) and action.token.startswith("hold") and self.silent_backends:
                self.now_us += action.after_us
                all_actions += self.handle(api.TimerFired(action.token))
        return all_actions

    def request(self, **fields: object) -> list[api.Action]:
        """Pass a new request with these fields, answer the probes, and return all actions."""
        self.request_count += 1
        request = api.Request(f"r{self.request_count}", "feed", remaining_us=3_200_000)
        actions = self.handle(replace(request, **fields))  # type: ignore[arg-type]
        return self.answer_probes(actions)

    def end_attempt(
        self, attempt: api.Attempt, status: api.Status, number: int = 0, finished: bool = False
    ) -> list[api.Action]:
        """End an attempt, answer the probes, and return all actions."""
        outcome = api.Outcome(attempt.id, number, attempt.backend, status, 1_000, finished)
        return self.answer_probes(self.handle(outcome))

    def place_request(self, **fields: object) -> api.Attempt:
        """Pass a new request, which must lead to exactly one attempt, and return the attempt."""
        (attempt,) = actions_of(self.request(**fields), api.Attempt)
        return attempt

    def choose_backend(self, **fields: object) -> str:
        """Return the backend that a new request is sent to, and end that request."""
        attempt = self.place_request(**fields)
        self.end_attempt(attempt, api.Status.SERVED, finished=True)
        return attempt.backend

    def open_connection(self, attempt: api.Attempt, number: int = 0) -> None:
        """Report that an attempt has opened its connection."""
        self.handle(api.Opened(attempt.id, number, attempt.backend, 5_000))


def actions_of(actions: list[api.Action], kind: type[A]) -> list[A]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]
