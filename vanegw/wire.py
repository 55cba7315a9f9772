"""The simulator's wire: lines of JSON into events, actions into lines of JSON. No decisions here."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from vanegw import interface as api


class WireError(Exception):
    """A line that the wire does not allow; the text says why."""


STATUS = {
    "pass": api.Status.SERVED,
    "fault": api.Status.ERROR,
    "no_room": api.Status.NO_ROOM,
    "too_slow": api.Status.TIMED_OUT,
    "no_route": api.Status.NO_ROUTE,
    "cut": api.Status.CUT,
    "undone": api.Status.CANCELLED,
    "stale_send": api.Status.NOT_SENT,
}
STATE = {"Running": api.State.RUNNING, "Stopping": api.State.DRAINING, "Deleted": api.State.GONE}
MODE = {
    "update": api.ListMode.CHANGES,
    "replace": api.ListMode.COMPLETE,
    "restored": api.ListMode.RESTORED,
    "unavailable": api.ListMode.UNAVAILABLE,
}
REPORT_FIELD = {
    "x0": "load",
    "busy": "utilisation",
    "q": "queue",
    "rif": "inflight",
    "x1": "backlog_s",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "fail_rate": "error_rate",
}
HINT_VALID, CLIENT_RETRY, MID_FLOW, CLIENT_RETURN = 1, 2, 8, 16

Take = Callable[[Any, str], Any]


def integer(value: Any, name: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise WireError(f"{name}: {value!r} is not an integer")
    return value


def number(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireError(f"{name}: {value!r} is not a number")
    return value


def text(value: Any, name: str) -> str:
    if not isinstance(value, str):
        raise WireError(f"{name}: {value!r} is not text")
    return value


def flag(value: Any, name: str) -> bool:
    if not isinstance(value, bool):
        raise WireError(f"{name}: {value!r} is not true or false")
    return value


def table(value: Any, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise WireError(f"{name}: {value!r} is not an object")
    return value


def row(value: Any, name: str) -> list[Any]:
    if not isinstance(value, list):
        raise WireError(f"{name}: {value!r} is not an array")
    return value


def tenant(value: Any, name: str) -> str | None:
    return None if value == 0 and not isinstance(value, bool) else text(value, name)


def optional(take: Take) -> tuple[Take, bool]:
    return (take, True)


def needed(take: Take) -> tuple[Take, bool]:
    return (take, False)


_REQUEST = {
    "i": needed(integer),
    "req": needed(text),
    "profile": needed(text),
    "billing": optional(tenant),
    "entity": optional(integer),
    "remaining_us": needed(integer),
    "predicted_us": optional(number),
    "room": optional(integer),
    "attrs": optional(integer),
}

# What each received message holds, in the order of the wire page.
MESSAGES: dict[str, dict[str, tuple[Take, bool]]] = {
    "TURN": {"t_us": needed(integer)},
    "GO": {},
    "BEGIN": {"i": needed(integer), "prng": needed(integer), "setup": needed(table)},
    "DETACH": {"i": needed(integer)},
    "TABLE": {"sheet": needed(integer), "rows_in": needed(row)},
    "PEERS_KNOWN": {
        "i": needed(integer),
        "mode": needed(text),
        "rev": optional(integer),
        "sheet": optional(integer),
    },
    "INBOUND": _REQUEST,
    "INHERITED": _REQUEST | {"backend": needed(text)},
    "OPENED": {
        "i": needed(integer),
        "req": needed(text),
        "copy": needed(integer),
        "backend": needed(text),
        "rtt_us": needed(integer),
    },
    "NOTE": {
        "i": needed(integer),
        "req": needed(text),
        "copy": needed(integer),
        "backend": needed(text),
        "kind": needed(integer),
        "x": needed(number),
    },
    "ATTEMPT_END": {
        "i": needed(integer),
        "req": needed(text),
        "copy": needed(integer),
        "backend": needed(text),
        "status": needed(text),
        "rtt_us": needed(integer),
        "finished": needed(flag),
        "usage": optional(row),
    },
    "TIMED_OUT_CLIENT": {"i": needed(integer), "req": needed(text)},
    "WAKEUP": {"i": needed(integer), "ctx": needed(text)},
    "PONG": {
        "i": needed(integer),
        "backend": needed(text),
        "status": needed(text),
        "rtt_us": needed(integer),
        "usage": optional(row),
    },
    "DATAGRAM": {"i": needed(integer), "neighbour": needed(integer), "data": needed(text)},
}
_ENTRY: dict[str, tuple[Take, bool]] = {
    "az": needed(text),
    "block": optional(integer),
    "weight": optional(number),
    "backend": needed(text),
    "up_since_us": optional(integer),
    "model": optional(text),
    "status": needed(text),
}


def _fields(name: str, values: list[Any], form: dict[str, tuple[Take, bool]]) -> dict[str, Any]:
    if len(values) > len(form):
        raise WireError(f"{name}: {len(values)} values, at most {len(form)} wanted")
    got: dict[str, Any] = {}
    for position, (key, (take, may_be_absent)) in enumerate(form.items()):
        value = values[position] if position < len(values) else None
        if value is None:
            if not may_be_absent:
                raise WireError(f"{name}: {key} is absent")
            got[key] = None
        else:
            got[key] = take(value, f"{name}: {key}")
    return got


def _word(words: dict[str, Any], value: str, name: str) -> Any:
    if value not in words:
        raise WireError(f"{name}: {value!r} is unknown")
    return words[value]


def read(line: str) -> tuple[str, dict[str, Any]]:
    """One line of the wire: the message's name and its values by name."""
    try:
        value = json.loads(line)
    except ValueError:
        raise WireError("not JSON") from None
    if not isinstance(value, list) or not value or not isinstance(value[0], str):
        raise WireError("not an array that starts with a name")
    name = value[0]
    if name not in MESSAGES:
        raise WireError(f"unknown message {name!r}")
    return name, _fields(name, value[1:], MESSAGES[name])


def entries(rows: list[Any]) -> tuple[api.Backend, ...]:
    """The backends of a TABLE."""
    found = []
    for one in rows:
        got = _fields("TABLE entry", row(one, "TABLE entry"), _ENTRY)
        found.append(
            api.Backend(
                name=got["backend"],
                zone=got["az"],
                cell=got["block"] or 0,
                weight=1.0 if got["weight"] is None else float(got["weight"]),
                started_us=got["up_since_us"] or None,
                kind=got["model"] or "",
                state=_word(STATE, got["status"], "TABLE entry: status"),
            )
        )
    return tuple(found)


def report(names: list[str], values: list[Any] | None) -> api.Report | None:
    """A load report; fields that are not known are skipped."""
    if values is None:
        return None
    known = {
        REPORT_FIELD[name]: float(value)
        for name, value in zip(names, values, strict=False)
        if name in REPORT_FIELD and isinstance(value, (int, float)) and not isinstance(value, bool)
    }
    return api.Report(**known)


def request(got: dict[str, Any]) -> api.Request:
    attrs = got["attrs"] or 0
    hint = got["predicted_us"]
    return api.Request(
        id=got["req"],
        cls=got["profile"],
        remaining_us=got["remaining_us"],
        tenant=got["billing"],
        key=got["entity"],
        group=got["room"],
        load_hint=float(hint) if hint is not None and attrs & HINT_VALID else None,
        is_retry=bool(attrs & CLIENT_RETRY),
        is_return=bool(attrs & CLIENT_RETURN),
        mid_flow=bool(attrs & MID_FLOW),
    )


def event(name: str, got: dict[str, Any], report_names: list[str]) -> api.Event | None:
    """The event that a message for one instance stands for; None for news that no decision uses."""
    if name == "INBOUND":
        return request(got)
    if name == "INHERITED":
        return api.Inherited(request(got), got["backend"])
    if name == "OPENED":
        return api.Opened(got["req"], got["copy"], got["backend"], got["rtt_us"])
    if name == "NOTE":
        if got["kind"] not in (1, 2):
            return None
        return api.Note(got["req"], got["copy"], got["backend"], api.NoteKind(got["kind"]), float(got["x"]))
    if name == "ATTEMPT_END":
        return api.Outcome(
            got["req"],
            got["copy"],
            got["backend"],
            _word(STATUS, got["status"], "ATTEMPT_END: status"),
            got["rtt_us"],
            got["finished"],
            report(report_names, got["usage"]),
        )
    if name == "TIMED_OUT_CLIENT":
        return api.ClientGone(got["req"])
    if name == "WAKEUP":
        return api.TimerFired(got["ctx"])
    if name == "PONG":
        status = _word(STATUS, got["status"], "PONG: status")
        return api.ProbeResult(got["backend"], status, got["rtt_us"], report(report_names, got["usage"]))
    return None


def _enum(kind: Any, value: Any, name: str) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"setup: {name}: {value!r} is unknown") from None


def _at(values: list[Any], place: int) -> Any:
    return (values[place] if place < len(values) else None) or 0.0


def settings(setup: dict[str, Any]) -> tuple[api.Settings, list[str]]:
    """The typed settings of a BEGIN, and the names of the load report's values. Unknown keys are skipped."""

    def part(key: str) -> dict[str, Any]:
        return table(setup.get(key) or {}, f"setup: {key}")

    limits, rules, charges, domain = part("limits"), part("rules"), part("charges"), part("domain")
    aims = row(domain.get("message_aim_us") or [], "setup: domain.message_aim_us")
    quotas = row(domain.get("tenant_quota_connections") or [], "setup: domain.tenant_quota_connections")
    classes = []
    for place, one in enumerate(row(setup.get("classes") or [], "setup: classes")):
        got = table(one, "setup: classes")
        classes.append(
            api.RequestClass(
                name=text(got.get("name"), "setup: classes.name"),
                objective_us=integer(got.get("objective_us"), "setup: classes.objective_us"),
                deadline_us=integer(got.get("deadline_us"), "setup: classes.deadline_us"),
                effect=_enum(api.Effect, got.get("effect", "safe"), "classes.effect"),
                dedup_scope=_enum(api.Scope, got.get("dedup_scope", "all"), "classes.dedup_scope"),
                memory_span_us=integer(got.get("memory_span_us") or 0, "setup: classes.memory_span_us"),
                worth=number(got.get("worth", 1.0), "setup: classes.worth"),
                message_aim_us=number(_at(aims, place), "setup: domain.message_aim_us"),
            )
        )
    tenants = [
        api.Tenant(
            text(table(one, "setup: parties").get("name"), "setup: parties.name"),
            number(one.get("portion") or 0.0, "setup: parties.portion"),
            number(_at(quotas, n), "setup: domain.tenant_quota_connections"),
        )
        for n, one in enumerate(row(setup.get("parties") or [], "setup: parties"))
    ]
    names = [str(n) for n in part("report").get("names") or []]
    made = api.Settings(
        classes=tuple(classes),
        tenants=tuple(tenants),
        balancers=integer(setup.get("balancers", 1), "setup: balancers"),
        self_index=None if setup.get("self_index") is None else integer(setup["self_index"], "setup: self_index"),
        zone=text(setup.get("zone") or "", "setup: zone"),
        list_on_request=setup.get("membership_mode") == "on_request",
        list_weights=setup.get("weights", "none") != "none",
        reports_load=part("report").get("how", "none") != "none",
        may_probe=bool(limits.get("probes", False)),
        may_cancel=bool(limits.get("may_cancel", False)),
        groups=bool(domain.get("groups", False)),
        pass_through=domain.get("mode") == "pass",
        try_limit=integer(limits.get("try_limit", 1), "setup: limits.try_limit"),
        max_retry_after_us=integer(limits.get("max_retry_after_us") or 0, "setup: limits.max_retry_after_us")
        if limits.get("retry_after")
        else 0,
        over_share_worth=number(setup.get("over_share_worth", 1.0), "setup: over_share_worth"),
        counted_by_work=setup.get("counted_by") == "work",
        cross_zone_price=number(charges.get("cross_zone", 0.0), "setup: charges.cross_zone"),
        move_price=number(charges.get("moves", 0.0), "setup: charges.moves"),
        probe_price=number(charges.get("probe", 0.0), "setup: charges.probe"),
        cold_from=number(rules.get("cold_from", 1.0), "setup: rules.cold_from"),
        cold_us=integer(rules.get("cold_us", 0), "setup: rules.cold_us"),
        fall_multiple=number(rules.get("fall_multiple", 1.0), "setup: rules.fall_multiple"),
        fall_us=integer(rules.get("fall_us", 0), "setup: rules.fall_us"),
        drain_grace_us=integer(rules.get("drain_grace_us", 0), "setup: rules.drain_grace_us"),
        must_ask_in_us=integer(rules.get("must_ask_in_us", 10_000_000), "setup: rules.must_ask_in_us"),
    )
    return made, names


_SENT: dict[type, Callable[[int, Any], list[Any]]] = {
    api.Attempt: lambda i, a: ["ATTEMPT", i, a.id, a.until_us, a.backend],
    api.Cancel: lambda i, a: ["CALL_OFF", i, a.id, a.attempt],
    api.Refuse: lambda i, a: ["BOUNCE", i, a.id, a.retry_after_us],
    api.Fail: lambda i, a: ["ERROR", i, a.id],
    api.Move: lambda i, a: ["MOVE", i, a.id],
    api.Probe: lambda i, a: ["PING", i, a.backend],
    api.Subscribe: lambda i, a: ["SUBSCRIBE", i, True],
    api.SetTimer: lambda i, a: ["SET_TIMER", i, a.after_us, a.token],
}


def write(instance: int, action: api.Action) -> str:
    """The line that stands for an action."""
    return json.dumps(_SENT[type(action)](instance, action), separators=(",", ":"), ensure_ascii=False)


def fault(instance: int, reason: str) -> str:
    """The line that says that the decision code failed."""
    return json.dumps(["DIE", instance, reason], separators=(",", ":"), ensure_ascii=False)


def list_mode(value: str) -> api.ListMode:
    mode: api.ListMode = _word(MODE, value, "PEERS_KNOWN: mode")
    return mode
