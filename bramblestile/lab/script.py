"""A run of the lab as a TOML file says it: sizes, what happens when, and what must hold. No I/O.

ScriptError names the key. All that is drawn comes from the seed.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from bramblestile.work.plan_state import Stage

KINDS = (
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
MUST = ("done", "dropped", "cuts", "refused", "failed", "moves_per_client", "gap_p99_s", "told_dead", "fallen")
MOST_PROCESSES, MOST_SERVERS, MOST_CLIENTS, MOST_STEPS = 300, 200, 5000, 200


class ScriptError(Exception):
    """The file makes no sense; the text names the key."""


@dataclass(slots=True, frozen=True)
class Step:
    """``at``: seconds after the start of the play, or None and ``when`` a machine first comes to this stage. ``span``:
    seconds until it is lifted, None: never. ``who``: names, or words that are understood when it happens."""

    do: str
    who: tuple[str, ...] = ()
    at: float | None = None
    when: str = ""
    span: float | None = None
    value: float = 0.0


@dataclass(slots=True, frozen=True)
class Script:
    name: str
    seed: int = 1
    within: float = 120.0  # seconds, from the start of the play
    lasts: float = 0.0  # seconds at least
    balancers: int = 7
    halls: int = 2
    voters: int = 0
    streams: bool = True
    servers: int = 6
    server: Mapping[str, Any] = field(default_factory=dict)  # Host's figures
    clients: int = 0
    over: float = 1.0  # seconds in which they come
    plan: Mapping[str, Any] | None = None
    steps: tuple[Step, ...] = ()
    must: Mapping[str, float] = field(default_factory=dict)


def parse(text: str) -> Script:
    try:
        values = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ScriptError(f"not TOML: {error}") from None
    _known("", values, "name", "seed", "within_s", "lasts_s", "fleet", "servers", "clients", "plan", "step", "must")
    fleet, servers, clients = (_table(values, key) for key in ("fleet", "servers", "clients"))
    _known("fleet.", fleet, "balancers", "halls", "voters", "streams")
    _known("servers.", servers, "count", "slots", "cold_s", "service_ms")
    _known("clients.", clients, "count", "over_s")
    server: dict[str, Any] = {}
    if "slots" in servers:
        server["slots"] = int(_number(servers, "servers.", "slots", 0, 1, 10_000))
    if "cold_s" in servers:
        server["cold_s"] = _number(servers, "servers.", "cold_s", 0, 0.1, 600)
    if "service_ms" in servers:
        server["service_s"] = _number(servers, "servers.", "service_ms", 0, 0, 10_000) / 1000
    steps = values.get("step", [])
    if not isinstance(steps, list) or len(steps) > MOST_STEPS:
        raise ScriptError(f"step: not a list of at most {MOST_STEPS} tables")
    name, streams = values.get("name"), fleet.get("streams", True)
    if not isinstance(name, str) or not name:
        raise ScriptError("name: not a text")
    if not isinstance(streams, bool):
        raise ScriptError(f"fleet.streams: {streams!r} is neither true nor false")
    balancers = int(_number(fleet, "fleet.", "balancers", 7, 1, MOST_PROCESSES))
    voters = int(_number(fleet, "fleet.", "voters", 0, 0, 5))
    if voters not in (0, 1, 3, 5) or voters > balancers:
        raise ScriptError(f"fleet.voters: {voters} is not 0, 1, 3 or 5, or more than there are balancers")
    plan = values.get("plan")
    if plan is not None and (not isinstance(plan, dict) or not voters):
        raise ScriptError("plan: not a table" if voters else "plan: nobody would carry it out, as fleet.voters is 0")
    must = _table(values, "must")
    _known("must.", must, *MUST)
    return Script(
        name,
        int(_number(values, "", "seed", 1, 0, 1 << 62)),
        _number(values, "", "within_s", 120, 1, 7200),
        _number(values, "", "lasts_s", 0, 0, 7200),
        balancers,
        int(_number(fleet, "fleet.", "halls", 2, 1, 16)),
        voters,
        streams,
        int(_number(servers, "servers.", "count", 6, 1, MOST_SERVERS)),
        server,
        int(_number(clients, "clients.", "count", 0, 0, MOST_CLIENTS)),
        _number(clients, "clients.", "over_s", 1, 0, 600),
        plan,
        tuple(_step(n, step) for n, step in enumerate(steps, 1)),
        {key: _number(must, "must.", key, 0, 0, 1e9) for key in must},
    )


def _step(number: int, step: Any) -> Step:
    at = f"step {number}."
    if not isinstance(step, dict):
        raise ScriptError(f"{at}: not a table")
    _known(at, step, "at_s", "when", "do", "who", "for_s", "value")
    do, who, when = step.get("do"), step.get("who", []), step.get("when", "")
    if do not in KINDS:
        raise ScriptError(f"{at}do: {do!r} is none of {', '.join(KINDS)}")
    if not isinstance(who, list) or not all(isinstance(one, str) and one for one in who):
        raise ScriptError(f"{at}who: not a list of names")
    if ("at_s" in step) == ("when" in step):
        raise ScriptError(f"{at}at_s: either this or when")
    if "when" in step and when not in list(Stage):
        raise ScriptError(f"{at}when: {when!r} is none of {', '.join(Stage)}")
    return Step(
        do,
        tuple(who),
        _number(step, at, "at_s", 0, 0, 7200) if "at_s" in step else None,
        when,
        _number(step, at, "for_s", 0, 0.01, 7200) if "for_s" in step else None,
        _number(step, at, "value", 0, 0, 1000),
    )


def _known(where: str, table: Mapping[str, Any], *keys: str) -> None:
    for key in table:
        if key not in keys:
            raise ScriptError(f"{where}{key}: no such key")


def _table(values: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    got = values.get(key, {})
    if not isinstance(got, dict):
        raise ScriptError(f"{key}: not a table")
    return got


def _number(values: Mapping[str, Any], where: str, key: str, default: float, low: float, high: float) -> float:
    got = values.get(key, default)
    if isinstance(got, bool) or not isinstance(got, (int, float)) or not low <= got <= high:
        if key not in values:
            return default
        raise ScriptError(f"{where}{key}: {got!r} is not a number from {low:g} to {high:g}")
    return got
