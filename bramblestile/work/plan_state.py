"""The replicated state of a maintenance plan: its keys and values in the store.

Each item that changes by itself has a key of its own, small enough for one datagram. Plan ids are never reused, and an
entry that carries another plan's id is stale and ignored, so a plan that has ended cannot become active again.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Any

from bramblestile.work.plan import BALANCER_PREFIX, Limits, PlanRequest

KEY_PREFIX = "work/"
NAMES_PER_PAGE = 12  # a page of the longest names still fits in one datagram
MAX_HISTORY = 20  # ended plans


class Stage(StrEnum):
    """The stage of one machine in a plan."""

    WAITING = "waiting"
    CLAIMED = "claimed"  # its turn is near: balancers send it fewer new clients
    LEAVING = "leaving"  # it gets nothing new, and open connections are moved away
    EMPTY = "empty"  # every balancer has confirmed that it sends nothing there
    OUT = "out"  # the operators or the command work on it
    BACK = "back"  # the work is done; balancers may send to it as soon as it is listed
    COLD = "cold"  # in service, not warm yet
    DONE = "done"
    HELD = "held"  # stays out until an operator acts; ``block_reason`` says why
    DROPPED = "dropped"  # it left the plan without its work being done


EXCLUDED_STAGES = frozenset((Stage.LEAVING, Stage.EMPTY, Stage.OUT, Stage.HELD))
IN_PROGRESS_STAGES = EXCLUDED_STAGES | {Stage.BACK}
FINAL_STAGES = frozenset((Stage.DONE, Stage.DROPPED))
TRANSITIONS: dict[Stage, frozenset[Stage]] = {
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
    """The status of a whole plan."""

    NONE = "none"
    RUNNING = "running"
    PAUSED = "paused"  # no further machine leaves; machines in progress go on
    ABORTED = "aborted"  # no further machine leaves, and the plan cannot resume; machines that are out come back
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Machine:
    """One machine of a plan.

    Attributes:
        name: Its name; that of a balancer begins with ``BALANCER_PREFIX``.
        rank: Its index in the order of the plan.
        stage: Its current stage.
        block_reason: Why it is held or was dropped.
        since: Start of the stage by the clock of the leader of that time, in microseconds; shown to people only.
    """

    name: str
    rank: int
    stage: Stage = Stage.WAITING
    block_reason: str = ""
    since: int = 0


@dataclass(slots=True, frozen=True)
class PlanState:
    """The agreed state of the current plan.

    Attributes:
        id: Id of the plan; empty without one.
        status: Status of the whole plan.
        reason: The operator's reason.
        limits: Limits that hold while the plan runs.
        command: Command to run for each machine that is out.
        names: The machines in the order in which they leave.
        announced_count: Machines with a lower rank have been announced: their turn may come next. A balancer whose
            lease has expired sends nothing to them.
        acknowledged_count: Every balancer that has adopted this plan is known to have received the announcement of the
            machines below this rank. It is replicated so that a new leader knows it too.
        fallback_count: Number of machines at the end of ``names`` that leave only while every balancer is heard, so
            that a balancer that is cut off for good still has machines to send to.
        machines: The machines by name.
        roster: The balancers that take part, with the id of the plan that each has adopted.
        bystanders: Members that the operator has excepted from taking part.
    """

    id: str = ""
    status: Status = Status.NONE
    reason: str = ""
    limits: Limits = field(default_factory=Limits)
    command: tuple[str, ...] = ()
    names: tuple[str, ...] = ()
    announced_count: int = 0
    acknowledged_count: int = 0
    fallback_count: int = 0
    machines: Mapping[str, Machine] = field(default_factory=dict)
    roster: Mapping[str, str] = field(default_factory=dict)
    bystanders: tuple[str, ...] = ()

    @property
    def is_active(self) -> bool:
        """Whether there is a plan that has not ended."""
        return self.status not in (Status.NONE, Status.ENDED)

    @property
    def targets_balancers(self) -> bool:
        """Whether the machines of the plan are balancers."""
        return self.names[:1] != () and self.names[0].startswith(BALANCER_PREFIX)

    def excluded(self) -> dict[str, Stage]:
        """Return the machines that must get no new requests, with their stages."""
        return {m.name: m.stage for m in self.machines.values() if m.stage in EXCLUDED_STAGES} if self.is_active else {}

    def announced(self) -> list[str]:
        """Return the machines that may leave before a balancer that is cut off hears of it."""
        if not self.is_active:
            return []
        return [m.name for m in self.machines.values() if m.rank < self.announced_count and m.stage not in FINAL_STAGES]

    def fallback(self) -> tuple[str, ...]:
        """Return the fallback, called ``refuge`` in the API: the last machines of the order.

        A balancer that is cut off from the leader may still send to them, as they leave service only while the leader
        hears from every balancer.
        """
        return self.names[len(self.names) - self.fallback_count :]


def load_state(values: Mapping[str, str]) -> PlanState:
    """Decode the plan from the store's values.

    Only the leader writes them, so values that make no sense are an internal error and raise ValueError.
    """
    if KEY_PREFIX + "plan" not in values:
        return PlanState(roster=_roster(values))
    header = json.loads(values[KEY_PREFIX + "plan"])
    plan_id = header["id"]
    status = json.loads(values.get(KEY_PREFIX + "status", "{}"))
    if status.get("plan") != plan_id:  # the pages of the plan are still being written
        return PlanState(roster=_roster(values))
    names: list[str] = []
    for page in range(header["pages"]):
        names += json.loads(values[f"{KEY_PREFIX}order/{page}"])
    machines = {name: Machine(name, rank) for rank, name in enumerate(names)}
    for name in names:
        entry = json.loads(values.get(f"{KEY_PREFIX}m/{name}", "{}"))
        if entry.get("plan") == plan_id:
            machines[name] = Machine(name, machines[name].rank, Stage(entry["stage"]), entry["why"], entry["since"])
    announced, acknowledged = (json.loads(values.get(KEY_PREFIX + key, "{}")) for key in ("ahead", "floor"))
    limits = Limits(
        max_out=header["most_out"],
        min_capacity=header["least"],
        single_hall=header["apart"],
        time_limit=timedelta(seconds=header["limit_s"]),
    )
    return PlanState(
        plan_id,
        Status(status["status"]),
        header["reason"],
        limits,
        tuple(header["command"]),
        tuple(names),
        announced["rank"] if announced.get("plan") == plan_id else 0,
        acknowledged["rank"] if acknowledged.get("plan") == plan_id else 0,
        header["tail"],
        machines,
        _roster(values),
        tuple(header.get("bystanders", ())),
    )


def _roster(values: Mapping[str, str]) -> dict[str, str]:
    prefix = KEY_PREFIX + "b/"
    return {key[len(prefix) :]: value.removeprefix("plan ") for key, value in values.items() if key.startswith(prefix)}


def _to_json(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def plan_entries(
    id_: str, request: PlanRequest, names: tuple[str, ...], fallback_count: int, old_values: Mapping[str, str]
) -> Iterator[tuple[str, str]]:
    """Yield the entries that start a new plan.

    Entries that the previous plan left are removed first. The plan becomes active with the last entry.
    """
    for key in old_values:
        if key.startswith((KEY_PREFIX + "m/", KEY_PREFIX + "order/")):
            yield key, ""
    pages = [names[first : first + NAMES_PER_PAGE] for first in range(0, len(names), NAMES_PER_PAGE)]
    limits = request.limits
    yield (
        KEY_PREFIX + "plan",
        _to_json(
            {
                "id": id_,
                "reason": request.reason,
                "command": request.command,
                "pages": len(pages),
                "tail": fallback_count,
                "most_out": limits.max_out,
                "least": limits.min_capacity,
                "apart": limits.single_hall,
                "limit_s": limits.time_limit.total_seconds(),
                "bystanders": request.bystanders,
            }
        ),
    )
    for number, page in enumerate(pages):
        yield f"{KEY_PREFIX}order/{number}", _to_json(page)
    yield status_entry(id_, Status.RUNNING)


def status_entry(id_: str, status: Status) -> tuple[str, str]:
    """Return the entry that sets the status of the plan."""
    return KEY_PREFIX + "status", _to_json({"plan": id_, "status": status})


def announced_entry(id_: str, rank: int) -> tuple[str, str]:
    """Return the entry that announces the machines below ``rank``."""
    return KEY_PREFIX + "ahead", _to_json({"plan": id_, "rank": rank})


def acknowledged_entry(id_: str, rank: int) -> tuple[str, str]:
    """Return the entry that records up to which rank the whole roster knows the announcement."""
    return KEY_PREFIX + "floor", _to_json({"plan": id_, "rank": rank})


def machine_entry(id_: str, name: str, stage: Stage, block_reason: str = "", since: int = 0) -> tuple[str, str]:
    """Return the entry that puts a machine into a stage."""
    return f"{KEY_PREFIX}m/{name}", _to_json({"plan": id_, "stage": stage, "why": block_reason[:120], "since": since})


def roster_entry(name: str, plan_id: str) -> tuple[str, str]:
    """Return the entry that adds a balancer to the roster, with the id of the plan that it has adopted."""
    return f"{KEY_PREFIX}b/{name}", f"plan {plan_id}"


def history_entries(plan: PlanState, values: Mapping[str, str], ended_us: int) -> list[tuple[str, str]]:
    """Return the entries that record how a plan ended, and that remove the oldest records beyond ``MAX_HISTORY``."""
    prefix = KEY_PREFIX + "history/"
    old = sorted(key for key in values if key.startswith(prefix))
    stages = [m.stage for m in plan.machines.values()]
    summary = {
        "id": plan.id,
        "reason": plan.reason,
        "ended_us": ended_us,
        "aborted": plan.status is Status.ABORTED,
        "done": stages.count(Stage.DONE),
        "dropped": stages.count(Stage.DROPPED),
        "machines": len(stages),
    }
    return [*((key, "") for key in old[: len(old) + 1 - MAX_HISTORY]), (prefix + plan.id, _to_json(summary))]


def read_history(values: Mapping[str, str]) -> list[Any]:
    """Return the records of ended plans, the oldest first."""
    return [json.loads(value) for key, value in sorted(values.items()) if key.startswith(KEY_PREFIX + "history/")]


def roster_removal(name: str) -> tuple[str, str]:
    """Return the entry that removes a balancer from the roster."""
    return f"{KEY_PREFIX}b/{name}", ""
