"""Parsing of a lab script: a TOML file with the sizes of a run, what happens when, and what must hold. No I/O.

ScriptError names the key. Everything random in a run comes from the script's seed.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from bramblestile.work.plan_state import Stage

ACTIONS = (
    "pause",
    "kill",
    "restart",
    "starve",
    "cut",
    "deaf",
    "mute",
    "loss",
    "delay",
    "reset",
    "kill-server",
    "list-down",
    "abort",
    "resume-plan",
    "pause-plan",
)
EXPECTATION_KEYS = (
    "done",
    "dropped",
    "cuts",
    "refused",
    "failed",
    "moves_per_client",
    "gap_p99_s",
    "told_dead",
    "fallen",
)
MAX_PROCESSES, MAX_SERVERS, MAX_CLIENTS, MAX_STEPS = 300, 200, 5000, 200


class ScriptError(Exception):
    """The script is invalid; the text names the key."""


@dataclass(slots=True, frozen=True)
class Step:
    """An action in the run.

    Attributes:
        do: The action, one of ``ACTIONS``.
        targets: Names, or words such as ``leader`` that are resolved when the step runs.
        at_s: Seconds after the start of the play; None: the step waits for ``when``.
        when: The step runs when a machine first reaches this stage.
        duration_s: Seconds until the action is undone; None: never.
        value: The action's parameter.
    """

    do: str
    targets: tuple[str, ...] = ()
    at_s: float | None = None
    when: str = ""
    duration_s: float | None = None
    value: float = 0.0


@dataclass(slots=True, frozen=True)
class Script:
    """A run of the lab.

    Attributes:
        name: Title of the run.
        seed: Seed of everything random.
        timeout_s: Seconds from the start of the play in which it must end.
        min_duration_s: Seconds that the play lasts at least.
        balancers: Number of balancer processes.
        halls: Number of halls.
        voters: How many balancers vote.
        streams: Whether faults affect connections too.
        servers: Number of image servers.
        server_options: Options of each image server.
        clients: Number of clients.
        arrival_s: Seconds over which the clients arrive.
        plan: The maintenance plan to run, if any.
        steps: Actions during the run.
        expectations: Bounds on the figures of the run.
    """

    name: str
    seed: int = 1
    timeout_s: float = 120.0
    min_duration_s: float = 0.0
    balancers: int = 7
    halls: int = 2
    voters: int = 0
    streams: bool = True
    servers: int = 6
    server_options: Mapping[str, Any] = field(default_factory=dict)
    clients: int = 0
    arrival_s: float = 1.0
    plan: Mapping[str, Any] | None = None
    steps: tuple[Step, ...] = ()
    expectations: Mapping[str, float] = field(default_factory=dict)


def parse(text: str) -> Script:
    """Parse a script; raises ScriptError."""
    try:
        values = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ScriptError(f"not TOML: {error}") from None
    _check_keys(
        "", values, "name", "seed", "within_s", "lasts_s", "fleet", "servers", "clients", "plan", "step", "must"
    )
    fleet, servers, clients = (_table(values, key) for key in ("fleet", "servers", "clients"))
    _check_keys("fleet.", fleet, "balancers", "halls", "voters", "streams")
    _check_keys("servers.", servers, "count", "slots", "cold_s", "service_ms")
    _check_keys("clients.", clients, "count", "over_s")
    server_options: dict[str, Any] = {}
    if "slots" in servers:
        server_options["slots"] = int(_number(servers, "servers.", "slots", 0, 1, 10_000))
    if "cold_s" in servers:
        server_options["cold_s"] = _number(servers, "servers.", "cold_s", 0, 0.1, 600)
    if "service_ms" in servers:
        server_options["service_s"] = _number(servers, "servers.", "service_ms", 0, 0, 10_000) / 1000
    steps = values.get("step", [])
    if not isinstance(steps, list) or len(steps) > MAX_STEPS:
        raise ScriptError(f"step: not a list of at most {MAX_STEPS} tables")
    name, streams = values.get("name"), fleet.get("streams", True)
    if not isinstance(name, str) or not name:
        raise ScriptError("name: not a text")
    if not isinstance(streams, bool):
        raise ScriptError(f"fleet.streams: {streams!r} is neither true nor false")
    balancers = int(_number(fleet, "fleet.", "balancers", 7, 1, MAX_PROCESSES))
    voters = int(_number(fleet, "fleet.", "voters", 0, 0, 5))
    if voters not in (0, 1, 3, 5) or voters > balancers:
        raise ScriptError(f"fleet.voters: {voters} is not 0, 1, 3 or 5, or more than there are balancers")
    plan = values.get("plan")
    if plan is not None and (not isinstance(plan, dict) or not voters):
        raise ScriptError("plan: not a table" if voters else "plan: needs voters to run, and fleet.voters is 0")
    expectations = _table(values, "must")
    _check_keys("must.", expectations, *EXPECTATION_KEYS)
    return Script(
        name,
        int(_number(values, "", "seed", 1, 0, 1 << 62)),
        _number(values, "", "within_s", 120, 1, 7200),
        _number(values, "", "lasts_s", 0, 0, 7200),
        balancers,
        int(_number(fleet, "fleet.", "halls", 2, 1, 16)),
        voters,
        streams,
        int(_number(servers, "servers.", "count", 6, 1, MAX_SERVERS)),
        server_options,
        int(_number(clients, "clients.", "count", 0, 0, MAX_CLIENTS)),
        _number(clients, "clients.", "over_s", 1, 0, 600),
        plan,
        tuple(_step(n, step) for n, step in enumerate(steps, 1)),
        {key: _number(expectations, "must.", key, 0, 0, 1e9) for key in expectations},
    )


def _step(step_number: int, step: Any) -> Step:
    prefix = f"step {step_number}."
    if not isinstance(step, dict):
        raise ScriptError(f"{prefix}: not a table")
    _check_keys(prefix, step, "at_s", "when", "do", "who", "for_s", "value")
    action, targets, when = step.get("do"), step.get("who", []), step.get("when", "")
    if action not in ACTIONS:
        raise ScriptError(f"{prefix}do: {action!r} is none of {', '.join(ACTIONS)}")
    if not isinstance(targets, list) or not all(isinstance(name, str) and name for name in targets):
        raise ScriptError(f"{prefix}who: not a list of names")
    if ("at_s" in step) == ("when" in step):
        raise ScriptError(f"{prefix}at_s: either this or when")
    if "when" in step and when not in list(Stage):
        raise ScriptError(f"{prefix}when: {when!r} is none of {', '.join(Stage)}")
    return Step(
        action,
        tuple(targets),
        _number(step, prefix, "at_s", 0, 0, 7200) if "at_s" in step else None,
        when,
        _number(step, prefix, "for_s", 0, 0.01, 7200) if "for_s" in step else None,
        _number(step, prefix, "value", 0, 0, 1000),
    )


def _check_keys(prefix: str, table: Mapping[str, Any], *keys: str) -> None:
    for key in table:
        if key not in keys:
            raise ScriptError(f"{prefix}{key}: no such key")


def _table(values: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    table = values.get(key, {})
    if not isinstance(table, dict):
        raise ScriptError(f"{key}: not a table")
    return table


def _number(values: Mapping[str, Any], prefix: str, key: str, default: float, low: float, high: float) -> float:
    value = values.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        if key not in values:
            return default
        raise ScriptError(f"{prefix}{key}: {value!r} is not a number from {low:g} to {high:g}")
    return value
