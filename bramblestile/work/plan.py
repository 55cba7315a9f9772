"""What operators ask for: which machines, why, and within which limits. PlanError names the key or the machine."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

MOST_MACHINES = 1000
MOST_OUT = 12  # at once: with twice as many ahead their names go into one datagram
LONGEST = 64  # letters of a name
BALANCER = "@"  # before the name of a balancer that is itself a machine of a plan
LONGEST_WORD = 200  # bytes of a reason, and of a command in all


class PlanError(Exception):
    """The plan is refused; the text names what is wrong."""


@dataclass(slots=True, frozen=True)
class Limits:
    """``most_out``: machines on their way at once; ``least``: the part of the fleet's capacity that must stay;
    ``apart``: never machines of two halls at once; ``span``: for one machine, from its leaving to its being back."""

    most_out: int = 1
    least: float = 0.75
    apart: bool = True
    span: timedelta = timedelta(minutes=10)


@dataclass(slots=True, frozen=True)
class Asked:
    """As an operator writes it; the names of balancers begin with ``BALANCER``. ``command``: run once for each machine
    when it is out, its name put in for ``{}``; none: an operator says when it is done. ``bystanders``: members of the
    fleet that take no part, and on the operator's word send nothing to these machines."""

    machines: tuple[str, ...]
    reason: str
    limits: Limits
    command: tuple[str, ...] = ()
    bystanders: tuple[str, ...] = ()

    @property
    def of_balancers(self) -> bool:
        return self.machines[0].startswith(BALANCER)


def parse(text: str) -> Asked:
    try:
        return read(tomllib.loads(text))
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise PlanError(f"not TOML: {error}") from None


def read(values: Mapping[str, Any]) -> Asked:
    known = {
        "machines",
        "balancers",
        "reason",
        "most_out",
        "least_capacity",
        "halls_apart",
        "limit_s",
        "command",
        "bystanders",
    }
    for key in values:
        if key not in known:
            raise PlanError(f"{key}: no such key")
    machines = _machines(values)
    reason = values.get("reason")
    if not isinstance(reason, str) or not 0 < len(reason.encode()) <= LONGEST_WORD:
        raise PlanError(f"reason: not a text of 1 to {LONGEST_WORD} bytes")
    command = _texts(values, "command") if "command" in values else ()
    if len("".join(command).encode()) > LONGEST_WORD:
        raise PlanError(f"command: more than {LONGEST_WORD} bytes")
    bystanders = _texts(values, "bystanders") if "bystanders" in values else ()
    if len("".join(bystanders).encode()) > LONGEST_WORD:
        raise PlanError(f"bystanders: more than {LONGEST_WORD} bytes")
    apart = values.get("halls_apart", True)
    if not isinstance(apart, bool):
        raise PlanError(f"halls_apart: {apart!r} is neither true nor false")
    most = _number(values, "most_out", 1, 1, MOST_OUT)
    if most != int(most):
        raise PlanError(f"most_out: {most!r} is not a whole number")
    limits = Limits(
        int(most),
        _number(values, "least_capacity", 0.75, 0, 1),
        apart,
        timedelta(seconds=_number(values, "limit_s", 600, 1, 86_400)),
    )
    return Asked(machines, reason, limits, command, bystanders)


def _machines(values: Mapping[str, Any]) -> tuple[str, ...]:
    if "machines" in values and "balancers" in values:
        raise PlanError("balancers: not in one plan with machines")
    key = "balancers" if "balancers" in values else "machines"
    machines = _texts(values, key)
    if not 0 < len(machines) <= MOST_MACHINES:
        raise PlanError(f"{key}: not 1 to {MOST_MACHINES} names")
    for name in machines:
        if not 0 < len(name.encode()) <= LONGEST or name.startswith(BALANCER):
            raise PlanError(f"{key}: {name[:LONGEST]!r}: not a name of 1 to {LONGEST} bytes, without {BALANCER}")
    if len(set(machines)) < len(machines):
        twice = next(name for name in machines if machines.count(name) > 1)
        raise PlanError(f"{key}: {twice}: named twice")
    return tuple(BALANCER + name for name in machines) if key == "balancers" else machines


def _texts(values: Mapping[str, Any], key: str) -> tuple[str, ...]:
    got = values.get(key)
    if not isinstance(got, list) or not all(isinstance(one, str) and one for one in got):
        raise PlanError(f"{key}: not a list of names")
    return tuple(got)


def _number(values: Mapping[str, Any], key: str, default: float, low: float, high: float) -> float:
    got = values.get(key, default)
    if isinstance(got, bool) or not isinstance(got, (int, float)) or not low <= got <= high:
        raise PlanError(f"{key}: {got!r} is not a number from {low:g} to {high:g}")
    return got
