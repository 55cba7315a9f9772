"""The simulator's wire format: parses lines of JSON into events, formats actions as lines of JSON. No decisions."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from vanegw import interface as api


class WireError(Exception):
    """A line that violates the wire format; the text says how."""


# From the words of the wire to the types of the interface.
STATUS_WORDS = {
    "pass": api.Status.SERVED,
    "fault": api.Status.ERROR,
    "no_room": api.Status.NO_ROOM,
    "too_slow": api.Status.TIMED_OUT,
    "no_route": api.Status.NO_ROUTE,
    "cut": api.Status.CUT,
    "undone": api.Status.CANCELLED,
    "stale_send": api.Status.NOT_SENT,
}
STATE_WORDS = {"Running": api.State.RUNNING, "Stopping": api.State.DRAINING, "Deleted": api.State.GONE}
LIST_MODE_WORDS = {
    "update": api.ListMode.CHANGES,
    "replace": api.ListMode.COMPLETE,
    "restored": api.ListMode.RESTORED,
    "unavailable": api.ListMode.UNAVAILABLE,
}
REPORT_FIELDS = {
    "x0": "load",
    "busy": "utilisation",
    "q": "queue",
    "rif": "inflight",
    "x1": "backlog_s",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "fail_rate": "error_rate",
}
# Bits of a request's "attrs".
HINT_VALID, CLIENT_RETRY, MID_FLOW, CLIENT_RETURN = 1, 2, 8, 16

# Checks a value, given its name for the error message, and returns it in its own type; raises WireError.
Parser = Callable[[Any, str], Any]


def parse_integer(value: Any, name: str) -> int:
    """Return an integer unchanged; a boolean is not one."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise WireError(f"{name}: {value!r} is not an integer")
    return value


def parse_number(value: Any, name: str) -> float:
    """Return an integer or a float unchanged; a boolean is neither."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireError(f"{name}: {value!r} is not a number")
    return value


def parse_text(value: Any, name: str) -> str:
    """Return a string unchanged."""
    if not isinstance(value, str):
        raise WireError(f"{name}: {value!r} is not text")
    return value


def parse_flag(value: Any, name: str) -> bool:
    """Return a boolean unchanged."""
    if not isinstance(value, bool):
        raise WireError(f"{name}: {value!r} is not true or false")
    return value


def parse_object(value: Any, name: str) -> dict[str, Any]:
    """Return a JSON object unchanged."""
    if not isinstance(value, dict):
        raise WireError(f"{name}: {value!r} is not an object")
    return value


def parse_array(value: Any, name: str) -> list[Any]:
    """Return a JSON array unchanged."""
    if not isinstance(value, list):
        raise WireError(f"{name}: {value!r} is not an array")
    return value


def parse_tenant(value: Any, name: str) -> str | None:
    """Return a tenant's name; the number 0 stands for no tenant."""
    return None if value == 0 and not isinstance(value, bool) else parse_text(value, name)


def optional(parser: Parser) -> tuple[Parser, bool]:
    """Describe a field that may be absent or null."""
    return (parser, True)


def required(parser: Parser) -> tuple[Parser, bool]:
    """Describe a field that must be present."""
    return (parser, False)


# Wire names that differ from the fields of Request: req: id, profile: cls, billing: tenant, entity: key, room: group,
# predicted_us: load_hint. The bits of attrs are the flags above.
_REQUEST_FIELDS = {
    "i": required(parse_integer),
    "req": required(parse_text),
    "profile": required(parse_text),
    "billing": optional(parse_tenant),
    "entity": optional(parse_integer),
    "remaining_us": required(parse_integer),
    "predicted_us": optional(parse_number),
    "room": optional(parse_integer),
    "attrs": optional(parse_integer),
}

# The fields of each received message, in their order on the wire. Their names in all messages: i: number of the
# instance, req: id of the request, copy: index of the attempt, usage: load report, prng: random seed, setup: settings,
# sheet: number of a backend table, rows_in: its rows, rev: version of the list, ctx: token of the timer.
MESSAGES: dict[str, dict[str, tuple[Parser, bool]]] = {
    "TURN": {"t_us": required(parse_integer)},
    "GO": {},
    "BEGIN": {"i": required(parse_integer), "prng": required(parse_integer), "setup": required(parse_object)},
    "DETACH": {"i": required(parse_integer)},
    "TABLE": {"sheet": required(parse_integer), "rows_in": required(parse_array)},
    "PEERS_KNOWN": {
        "i": required(parse_integer),
        "mode": required(parse_text),
        "rev": optional(parse_integer),
        "sheet": optional(parse_integer),
    },
    "INBOUND": _REQUEST_FIELDS,
    "INHERITED": _REQUEST_FIELDS | {"backend": required(parse_text)},
    "OPENED": {
        "i": required(parse_integer),
        "req": required(parse_text),
        "copy": required(parse_integer),
        "backend": required(parse_text),
        "rtt_us": required(parse_integer),
    },
    "NOTE": {
        "i": required(parse_integer),
        "req": required(parse_text),
        "copy": required(parse_integer),
        "backend": required(parse_text),
        "kind": required(parse_integer),
        "x": required(parse_number),
    },
    "ATTEMPT_END": {
        "i": required(parse_integer),
        "req": required(parse_text),
        "copy": required(parse_integer),
        "backend": required(parse_text),
        "status": required(parse_text),
        "rtt_us": required(parse_integer),
        "finished": required(parse_flag),
        "usage": optional(parse_array),
    },
    "TIMED_OUT_CLIENT": {"i": required(parse_integer), "req": required(parse_text)},
    "WAKEUP": {"i": required(parse_integer), "ctx": required(parse_text)},
    "PONG": {
        "i": required(parse_integer),
        "backend": required(parse_text),
        "status": required(parse_text),
        "rtt_us": required(parse_integer),
        "usage": optional(parse_array),
    },
    "DATAGRAM": {"i": required(parse_integer), "neighbour": required(parse_integer), "data": required(parse_text)},
}
_BACKEND_FIELDS: dict[str, tuple[Parser, bool]] = {
    "az": required(parse_text),
    "block": optional(parse_integer),
    "weight": optional(parse_number),
    "backend": required(parse_text),
    "up_since_us": optional(parse_integer),
    "model": optional(parse_text),
    "status": required(parse_text),
}


def _parse_fields(name: str, values: list[Any], fields: dict[str, tuple[Parser, bool]]) -> dict[str, Any]:
    """Match values to fields by position; an absent optional field is None."""
    if len(values) > len(fields):
        raise WireError(f"{name}: {len(values)} values, at most {len(fields)} wanted")
    parsed: dict[str, Any] = {}
    for position, (key, (parser, may_be_absent)) in enumerate(fields.items()):
        value = values[position] if position < len(values) else None
        if value is None:
            if not may_be_absent:
                raise WireError(f"{name}: {key} is absent")
            parsed[key] = None
        else:
            parsed[key] = parser(value, f"{name}: {key}")
    return parsed


def _parse_word(words: dict[str, Any], value: str, name: str) -> Any:
    if value not in words:
        raise WireError(f"{name}: {value!r} is unknown")
    return words[value]


def parse_line(line: str) -> tuple[str, dict[str, Any]]:
    """Return the name of the message on a line, and its values by field name. Raises WireError."""
    try:
        value = json.loads(line)
    except ValueError:
        raise WireError("not JSON") from None
    if not isinstance(value, list) or not value or not isinstance(value[0], str):
        raise WireError("not an array that starts with a name")
    name = value[0]
    if name not in MESSAGES:
        raise WireError(f"unknown message {name!r}")
    return name, _parse_fields(name, value[1:], MESSAGES[name])


def parse_backends(rows: list[Any]) -> tuple[api.Backend, ...]:
    """Return the backends of a TABLE."""
    backends = []
    for row in rows:
        fields = _parse_fields("TABLE entry", parse_array(row, "TABLE entry"), _BACKEND_FIELDS)
        backends.append(
            api.Backend(
                name=fields["backend"],
                zone=fields["az"],
                cell=fields["block"] or 0,
                weight=1.0 if fields["weight"] is None else float(fields["weight"]),
                started_us=fields["up_since_us"] or None,
                kind=fields["model"] or "",
                state=_parse_word(STATE_WORDS, fields["status"], "TABLE entry: status"),
            )
        )
    return tuple(backends)


def parse_report(names: list[str], values: list[Any] | None) -> api.Report | None:
    """Return a load report from its values and their names; values of unknown names are skipped."""
    if values is None:
        return None
    figures = {
        REPORT_FIELDS[name]: float(value)
        for name, value in zip(names, values, strict=False)
        if name in REPORT_FIELDS and isinstance(value, (int, float)) and not isinstance(value, bool)
    }
    return api.Report(**figures)


def parse_request(fields: dict[str, Any]) -> api.Request:
    """Return the request that the fields of an INBOUND or INHERITED message describe."""
    attrs = fields["attrs"] or 0
    hint = fields["predicted_us"]
    return api.Request(
        id=fields["req"],
        cls=fields["profile"],
        remaining_us=fields["remaining_us"],
        tenant=fields["billing"],
        key=fields["entity"],
        group=fields["room"],
        load_hint=float(hint) if hint is not None and attrs & HINT_VALID else None,
        is_retry=bool(attrs & CLIENT_RETRY),
        is_return=bool(attrs & CLIENT_RETURN),
        mid_flow=bool(attrs & MID_FLOW),
    )


def parse_event(name: str, fields: dict[str, Any], report_names: list[str]) -> api.Event | None:
    """Return the event that a message to one instance describes; None for one that no decision uses."""
    if name == "INBOUND":
        return parse_request(fields)
    if name == "INHERITED":
        return api.Inherited(parse_request(fields), fields["backend"])
    if name == "OPENED":
        return api.Opened(fields["req"], fields["copy"], fields["backend"], fields["rtt_us"])
    if name == "NOTE":
        if fields["kind"] not in (1, 2):
            return None
        return api.Note(
            fields["req"],
            fields["copy"],
            fields["backend"],
            api.NoteKind(fields["kind"]),
            float(fields["x"]),
        )
    if name == "ATTEMPT_END":
        return api.Outcome(
            fields["req"],
            fields["copy"],
            fields["backend"],
            _parse_word(STATUS_WORDS, fields["status"], "ATTEMPT_END: status"),
            fields["rtt_us"],
            fields["finished"],
            parse_report(report_names, fields["usage"]),
        )
    if name == "TIMED_OUT_CLIENT":
        return api.ClientGone(fields["req"])
    if name == "WAKEUP":
        return api.TimerFired(fields["ctx"])
    if name == "PONG":
        status = _parse_word(STATUS_WORDS, fields["status"], "PONG: status")
        return api.ProbeResult(fields["backend"], status, fields["rtt_us"], parse_report(report_names, fields["usage"]))
    return None


def _parse_enum(enum: Any, value: Any, name: str) -> Any:
    try:
        return enum(value)
    except ValueError:
        raise WireError(f"setup: {name}: {value!r} is unknown") from None


def _value_or_zero(values: list[Any], index: int) -> Any:
    return (values[index] if index < len(values) else None) or 0.0


def parse_settings(setup: dict[str, Any]) -> tuple[api.Settings, list[str]]:
    """Return the settings of a BEGIN, and the names of a load report's values. Unknown keys are skipped.

    Raises WireError for a key with a value of the wrong type, ValueError for a value out of range.
    """

    def section(key: str) -> dict[str, Any]:
        return parse_object(setup.get(key) or {}, f"setup: {key}")

    limits, rules, charges, domain = section("limits"), section("rules"), section("charges"), section("domain")
    aims = parse_array(domain.get("message_aim_us") or [], "setup: domain.message_aim_us")
    quotas = parse_array(domain.get("tenant_quota_connections") or [], "setup: domain.tenant_quota_connections")
    classes = []
    for index, entry in enumerate(parse_array(setup.get("classes") or [], "setup: classes")):
        fields = parse_object(entry, "setup: classes")
        classes.append(
            api.RequestClass(
                name=parse_text(fields.get("name"), "setup: classes.name"),
                objective_us=parse_integer(fields.get("objective_us"), "setup: classes.objective_us"),
                deadline_us=parse_integer(fields.get("deadline_us"), "setup: classes.deadline_us"),
                effect=_parse_enum(api.Effect, fields.get("effect", "safe"), "classes.effect"),
                dedup_scope=_parse_enum(api.Scope, fields.get("dedup_scope", "all"), "classes.dedup_scope"),
                memory_span_us=parse_integer(fields.get("memory_span_us") or 0, "setup: classes.memory_span_us"),
                worth=parse_number(fields.get("worth", 1.0), "setup: classes.worth"),
                message_aim_us=parse_number(_value_or_zero(aims, index), "setup: domain.message_aim_us"),
            )
        )
    tenants = [
        api.Tenant(
            parse_text(parse_object(entry, "setup: parties").get("name"), "setup: parties.name"),
            parse_number(entry.get("portion") or 0.0, "setup: parties.portion"),
            parse_number(_value_or_zero(quotas, index), "setup: domain.tenant_quota_connections"),
        )
        for index, entry in enumerate(parse_array(setup.get("parties") or [], "setup: parties"))
    ]
    report_names = [str(name) for name in section("report").get("names") or []]
    settings = api.Settings(
        classes=tuple(classes),
        tenants=tuple(tenants),
        balancers=parse_integer(setup.get("balancers", 1), "setup: balancers"),
        zone=parse_text(setup.get("zone") or "", "setup: zone"),
        list_on_request=setup.get("membership_mode") == "on_request",
        list_weights=setup.get("weights", "none") != "none",
        reports_load=section("report").get("how", "none") != "none",
        may_probe=bool(limits.get("probes", False)),
        may_cancel=bool(limits.get("may_cancel", False)),
        groups=bool(domain.get("groups", False)),
        pass_through=domain.get("mode") == "pass",
        try_limit=parse_integer(limits.get("try_limit", 1), "setup: limits.try_limit"),
        max_retry_after_us=parse_integer(limits.get("max_retry_after_us") or 0, "setup: limits.max_retry_after_us")
        if limits.get("retry_after")
        else 0,
        over_share_worth=parse_number(setup.get("over_share_worth", 1.0), "setup: over_share_worth"),
        counted_by_work=setup.get("counted_by") == "work",
        cross_zone_price=parse_number(charges.get("cross_zone", 0.0), "setup: charges.cross_zone"),
        move_price=parse_number(charges.get("moves", 0.0), "setup: charges.moves"),
        probe_price=parse_number(charges.get("probe", 0.0), "setup: charges.probe"),
        cold_from=parse_number(rules.get("cold_from", 1.0), "setup: rules.cold_from"),
        cold_us=parse_integer(rules.get("cold_us", 0), "setup: rules.cold_us"),
        fall_multiple=parse_number(rules.get("fall_multiple", 1.0), "setup: rules.fall_multiple"),
        fall_us=parse_integer(rules.get("fall_us", 0), "setup: rules.fall_us"),
        drain_grace_us=parse_integer(rules.get("drain_grace_us", 0), "setup: rules.drain_grace_us"),
        must_ask_in_us=parse_integer(rules.get("must_ask_in_us", 10_000_000), "setup: rules.must_ask_in_us"),
    )
    return settings, report_names


# The message that stands for each type of action, from the instance and the action.
_ACTION_MESSAGES: dict[type, Callable[[int, Any], list[Any]]] = {
    api.Attempt: lambda instance, action: ["ATTEMPT", instance, action.id, action.until_us, action.backend],
    api.Cancel: lambda instance, action: ["CALL_OFF", instance, action.id, action.attempt],
    api.Refuse: lambda instance, action: ["BOUNCE", instance, action.id, action.retry_after_us],
    api.Fail: lambda instance, action: ["ERROR", instance, action.id],
    api.Move: lambda instance, action: ["MOVE", instance, action.id],
    api.Probe: lambda instance, action: ["PING", instance, action.backend],
    api.Subscribe: lambda instance, action: ["SUBSCRIBE", instance, True],
    api.SetTimer: lambda instance, action: ["SET_TIMER", instance, action.after_us, action.token],
}


def format_action(instance: int, action: api.Action) -> str:
    """Return the line for an action, without its newline."""
    return json.dumps(_ACTION_MESSAGES[type(action)](instance, action), separators=(",", ":"), ensure_ascii=False)


def format_fault(instance: int, reason: str) -> str:
    """Return the line that reports an exception in the decisions, without its newline."""
    return json.dumps(["DIE", instance, reason], separators=(",", ":"), ensure_ascii=False)


def parse_list_mode(value: str) -> api.ListMode:
    """Return the mode of a PEERS_KNOWN message. Raises WireError for an unknown word."""
    mode: api.ListMode = _parse_word(LIST_MODE_WORDS, value, "PEERS_KNOWN: mode")
    return mode
