"""Parsing and validation of a plan as an operator submits it: machines, reason and limits."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

MAX_MACHINES = 1000
MAX_CONCURRENT = 12  # with twice as many announced, their names still fit in one datagram
MAX_NAME_BYTES = 64
BALANCER_PREFIX = "@"  # marks the name of a balancer that is itself a machine of a plan
MAX_TEXT_BYTES = 200  # of a reason, and of all words of a command together


class PlanError(Exception):
    """A plan or a call is refused; the text names the key or the machine."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits that hold while a plan runs.

    Attributes:
        max_out: How many machines may be out of service at once.
        min_capacity: Share of the fleet's capacity that must stay in service, from 0 to 1.
        single_hall: Whether machines of only one hall may be out at a time.
        time_limit: Time for one machine, from the start of its drain until it is back.
    """

    max_out: int = 1
    min_capacity: float = 0.75
    single_hall: bool = True
    time_limit: timedelta = timedelta(minutes=10)


@dataclass(slots=True, frozen=True)
class PlanRequest:
    """A plan as an operator submits it.

    Attributes:
        machines: Names of image servers, or names of balancers with ``BALANCER_PREFIX``.
        reason: Free text for operators.
        limits: Limits that hold while the plan runs.
        command: Command that runs once for each machine that is out, with ``{}`` replaced by the machine's name. Empty:
            an operator reports when the work on a machine is done.
        bystanders: Members of the fleet that do not take part in maintenance; the operator vouches that they send
            nothing to these machines.
    """

    machines: tuple[str, ...]
    reason: str
    limits: Limits
    command: tuple[str, ...] = ()
    bystanders: tuple[str, ...] = ()

    @property
    def targets_balancers(self) -> bool:
        """Whether the machines of the plan are balancers."""
        return self.machines[0].startswith(BALANCER_PREFIX)


def parse(text: str) -> PlanRequest:
    """Parse a plan file in TOML; raises PlanError."""
    try:
        return validate(tomllib.loads(text))
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise PlanError(f"not TOML: {error}") from None


def validate(values: Mapping[str, Any]) -> PlanRequest:
    """Check the values of a plan file and return the request; raises PlanError."""
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
    if not isinstance(reason, str) or not 0 < len(reason.encode()) <= MAX_TEXT_BYTES:
        raise PlanError(f"reason: not a text of 1 to {MAX_TEXT_BYTES} bytes")
    command = _string_list(values, "command") if "command" in values else ()
    if len("".join(command).encode()) > MAX_TEXT_BYTES:
        raise PlanError(f"command: more than {MAX_TEXT_BYTES} bytes")
    bystanders = _string_list(values, "bystanders") if "bystanders" in values else ()
    if len("".join(bystanders).encode()) > MAX_TEXT_BYTES:
        raise PlanError(f"bystanders: more than {MAX_TEXT_BYTES} bytes")
    single_hall = values.get("halls_apart", True)
    if not isinstance(single_hall, bool):
        raise PlanError(f"halls_apart: {single_hall!r} is neither true nor false")
    max_out = _number(values, "most_out", 1, 1, MAX_CONCURRENT)
    if max_out != int(max_out):
        raise PlanError(f"most_out: {max_out!r} is not a whole number")
    limits = Limits(
        int(max_out),
        _number(values, "least_capacity", 0.75, 0, 1),
        single_hall,
        timedelta(seconds=_number(values, "limit_s", 600, 1, 86_400)),
    )
    return PlanRequest(machines, reason, limits, command, bystanders)


def _machines(values: Mapping[str, Any]) -> tuple[str, ...]:
    if "machines" in values and "balancers" in values:
        raise PlanError("balancers: not in one plan with machines")
    key = "balancers" if "balancers" in values else "machines"
    machines = _string_list(values, key)
    if not 0 < len(machines) <= MAX_MACHINES:
        raise PlanError(f"{key}: not 1 to {MAX_MACHINES} names")
    for name in machines:
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES or name.startswith(BALANCER_PREFIX):
            raise PlanError(
                f"{key}: {name[:MAX_NAME_BYTES]!r}: "
                f"not a name of 1 to {MAX_NAME_BYTES} bytes that does not begin with {BALANCER_PREFIX}"
            )
    if len(set(machines)) < len(machines):
        duplicate = next(name for name in machines if machines.count(name) > 1)
        raise PlanError(f"{key}: {duplicate}: named twice")
    return tuple(BALANCER_PREFIX + name for name in machines) if key == "balancers" else machines


def _string_list(values: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = values.get(key)
    if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
        raise PlanError(f"{key}: not a list of names")
    return tuple(value)


def _number(values: Mapping[str, Any], key: str, default: float, low: float, high: float) -> float:
    value = values.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        raise PlanError(f"{key}: {value!r} is not a number from {low:g} to {high:g}")
    return value
