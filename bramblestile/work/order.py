"""The order of work as it is agreed on: keys and values of the store, and back.

One key for each thing that changes by itself, each small enough for one datagram. A plan has an id that no other ever
had; whatever bears another plan's id is of the past and counts for nothing, so that an order once ended never wakes up.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Any

from bramblestile.work.plan import BALANCER, Asked, Limits

PREFIX = "work/"
PAGE = 12  # names in one page of the order: with the longest names still one datagram
MOST_HISTORY = 20


class Stage(StrEnum):
    """A machine's way."""

    WAITING = "waiting"
    CLAIMED = "claimed"  # its turn is near: balancers lean away from it
    LEAVING = "leaving"  # nothing new starts there, and what stands is moved
    EMPTY = "empty"  # every balancer has left it
    OUT = "out"  # the operators'
    BACK = "back"  # the work is done; balancers may send there as soon as it is listed
    COLD = "cold"
    DONE = "done"
    HELD = "held"  # does not go on by itself; ``why`` says what for. It stays out
    DROPPED = "dropped"  # its turn never came


LEFT_ALONE = frozenset((Stage.LEAVING, Stage.EMPTY, Stage.OUT, Stage.HELD))
ON_THE_WAY = LEFT_ALONE | {Stage.BACK}
OVER = frozenset((Stage.DONE, Stage.DROPPED))
NEXT: dict[Stage, frozenset[Stage]] = {
    Stage.WAITING: frozenset((Stage.CLAIMED, Stage.DROPPED)),
    Stage.CLAIMED: frozenset((Stage.LEAVING, Stage.DROPPED)),
    Stage.LEAVING: frozenset((Stage.EMPTY, Stage.CLAIMED, Stage.HELD, Stage.DROPPED)),
    Stage.EMPTY: frozenset((Stage.OUT, Stage.DROPPED)),
    Stage.OUT: frozenset((Stage.BACK, Stage.HELD)),
    Stage.BACK: frozenset((Stage.COLD, Stage.HELD)),
    Stage.COLD: frozenset((Stage.DONE, Stage.HELD)),
    Stage.HELD: frozenset((Stage.BACK, Stage.DROPPED)),
    Stage.DONE: frozenset(),
    Stage.DROPPED: frozenset(),
}


class Status(StrEnum):
    NONE = "none"
    RUNNING = "running"
    PAUSED = "paused"  # nothing new leaves; what is on its way goes on
    ABORTED = "aborted"  # nothing new leaves, ever; what is out comes back
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Machine:
    """``rank``: its place in the order; ``why``: where it is held. ``since``: what the leader of then took for the
    time, for people only."""

    name: str
    rank: int
    stage: Stage = Stage.WAITING
    why: str = ""
    since: int = 0


@dataclass(slots=True, frozen=True)
class Order:
    """What is agreed on, whole. ``ahead``: machines of a lower rank may come next; a balancer that hears nothing any
    more leaves them alone. ``floor``: up to which every balancer that has taken up this plan is known to have heard
    that, so that a new leader knows it too. ``tail``: the last so many go only while every balancer is heard,
    so that one that is cut off for good has something to send to."""

    id: str = ""
    status: Status = Status.NONE
    reason: str = ""
    limits: Limits = field(default_factory=Limits)
    command: tuple[str, ...] = ()
    names: tuple[str, ...] = ()
    ahead: int = 0
    floor: int = 0
    tail: int = 0
    machines: Mapping[str, Machine] = field(default_factory=dict)
    roster: Mapping[str, str] = field(default_factory=dict)  # balancers, and the plan that each has taken up
    bystanders: tuple[str, ...] = ()

    @property
    def is_on(self) -> bool:
        """There are machines on a way that has not ended."""
        return self.status not in (Status.NONE, Status.ENDED)

    @property
    def of_balancers(self) -> bool:
        return self.names[:1] != () and self.names[0].startswith(BALANCER)

    def left_alone(self) -> dict[str, Stage]:
        return {m.name: m.stage for m in self.machines.values() if m.stage in LEFT_ALONE} if self.is_on else {}

    def window(self) -> list[str]:
        """Whose turn may come before a balancer that is cut off hears of it."""
        if not self.is_on:
            return []
        return [m.name for m in self.machines.values() if m.rank < self.ahead and m.stage not in OVER]

    def refuge(self) -> tuple[str, ...]:
        return self.names[len(self.names) - self.tail :]


def load(values: Mapping[str, str]) -> Order:
    """What these keys say. Only the leader writes them, so what makes no sense is a fault of ours: ValueError."""
    if PREFIX + "plan" not in values:
        return Order(roster=_roster(values))
    plan = json.loads(values[PREFIX + "plan"])
    own = plan["id"]
    status = json.loads(values.get(PREFIX + "status", "{}"))
    if status.get("plan") != own:  # its pages are still being written
        return Order(roster=_roster(values))
    names: list[str] = []
    for page in range(plan["pages"]):
        names += json.loads(values[f"{PREFIX}order/{page}"])
    machines = {name: Machine(name, rank) for rank, name in enumerate(names)}
    for name in names:
        told = json.loads(values.get(f"{PREFIX}m/{name}", "{}"))
        if told.get("plan") == own:
            machines[name] = Machine(name, machines[name].rank, Stage(told["stage"]), told["why"], told["since"])
    ahead, floor = (json.loads(values.get(PREFIX + key, "{}")) for key in ("ahead", "floor"))
    limits = Limits(plan["most_out"], plan["least"], plan["apart"], timedelta(seconds=plan["limit_s"]))
    return Order(
        own,
        Status(status["status"]),
        plan["reason"],
        limits,
        tuple(plan["command"]),
        tuple(names),
        ahead["rank"] if ahead.get("plan") == own else 0,
        floor["rank"] if floor.get("plan") == own else 0,
        plan["tail"],
        machines,
        _roster(values),
        tuple(plan.get("bystanders", ())),
    )


def _roster(values: Mapping[str, str]) -> dict[str, str]:
    start = PREFIX + "b/"
    return {key[len(start) :]: value.removeprefix("plan ") for key, value in values.items() if key.startswith(start)}


def _said(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def begin(
    id_: str, asked: Asked, names: tuple[str, ...], tail: int, before: Mapping[str, str]
) -> Iterator[tuple[str, str]]:
    """The keys of a new plan; it holds from the last one on. What the plan before left is taken away first."""
    for key in before:
        if key.startswith((PREFIX + "m/", PREFIX + "order/")):
            yield key, ""
    pages = [names[at : at + PAGE] for at in range(0, len(names), PAGE)]
    limits = asked.limits
    yield (
        PREFIX + "plan",
        _said(
            {
                "id": id_,
                "reason": asked.reason,
                "command": asked.command,
                "pages": len(pages),
                "tail": tail,
                "most_out": limits.most_out,
                "least": limits.least,
                "apart": limits.apart,
                "limit_s": limits.span.total_seconds(),
                "bystanders": asked.bystanders,
            }
        ),
    )
    for number, page in enumerate(pages):
        yield f"{PREFIX}order/{number}", _said(page)
    yield status_key(id_, Status.RUNNING)


def status_key(id_: str, status: Status) -> tuple[str, str]:
    return PREFIX + "status", _said({"plan": id_, "status": status})


def ahead_key(id_: str, rank: int) -> tuple[str, str]:
    return PREFIX + "ahead", _said({"plan": id_, "rank": rank})


def floor_key(id_: str, rank: int) -> tuple[str, str]:
    return PREFIX + "floor", _said({"plan": id_, "rank": rank})


def machine_key(id_: str, name: str, stage: Stage, why: str = "", since: int = 0) -> tuple[str, str]:
    return f"{PREFIX}m/{name}", _said({"plan": id_, "stage": stage, "why": why[:120], "since": since})


def roster_key(name: str, plan: str) -> tuple[str, str]:
    return f"{PREFIX}b/{name}", f"plan {plan}"


def history_keys(order: Order, values: Mapping[str, str], at: int) -> list[tuple[str, str]]:
    """How a plan went, for operators; the oldest beyond ``MOST_HISTORY`` go."""
    start = PREFIX + "history/"
    old = sorted(key for key in values if key.startswith(start))
    stages = [m.stage for m in order.machines.values()]
    told = {
        "id": order.id,
        "reason": order.reason,
        "ended_us": at,
        "aborted": order.status is Status.ABORTED,
        "done": stages.count(Stage.DONE),
        "dropped": stages.count(Stage.DROPPED),
        "machines": len(stages),
    }
    return [*((key, "") for key in old[: len(old) + 1 - MOST_HISTORY]), (start + order.id, _said(told))]


def history(values: Mapping[str, str]) -> list[Any]:
    return [json.loads(value) for key, value in sorted(values.items()) if key.startswith(PREFIX + "history/")]


def forgotten_key(name: str) -> tuple[str, str]:
    return f"{PREFIX}b/{name}", ""
