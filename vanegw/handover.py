"""What a balancer has learned, as plain values, for the process that takes its place. Records only, no decision.

The two processes may be of different versions. Values go by the keys below; a key that one of them does not know is
skipped. The figures of a backend are taken over only for the same start of it, and only where they are newer than those
held. Times are those of ``Balancer.handle``: both processes must read the same clock.
"""

from __future__ import annotations

from typing import Any

from vanegw.rules import Balancer
from vanegw.state import LastSeenTimes

BACKENDS_PER_PART = 100
MAX_RECENT_TIMES = 500  # times of requests exported at most

# From the attribute to its key in the message. The keys must not change: older processes read and write them.
# BackendState is exported but for what the list says, and for this process's own connections and probes.
BACKEND_KEYS = {
    "load": "load",
    "load_at_us": "load_at",
    "backlog_s": "backlog_s",
    "unreported_placements_us": "placed",
    "masked_until_us": "suspect_until",
    "consecutive_failures": "strikes",
    "last_failure_was_timeout": "mute",
    "message_delay_s": "delay_s",
    "message_delay_at_us": "delay_at",
    "last_shed_at_us": "relieved_at",
}
BALANCER_KEYS = {
    "average_load": "average",
    "report_count": "reports",
    "full_load": "full",
    "timeout_rate": "lateness",
    "cold_rounding": "chance",
    "cold_rounding_at_us": "chance_at",
    "total_size": "size",
}


def export_state(balancer: Balancer) -> list[dict[str, Any]]:
    """Return what the balancer has learned, in parts small enough for one message each."""
    backends = list(balancer.backends.items())
    parts: list[dict[str, Any]] = [
        {
            "hosts": {
                name: {"started_us": backend.info.started_us}
                | {key: getattr(backend, attribute) for attribute, key in BACKEND_KEYS.items()}
                for name, backend in backends[start : start + BACKENDS_PER_PART]
            }
        }
        for start in range(0, len(backends), BACKENDS_PER_PART)
    ]
    # Attempts at cold backends (key "warmed") and arrivals: the next process adds its own.
    balancer_values = {key: getattr(balancer, attribute) for attribute, key in BALANCER_KEYS.items()} | {
        "warmed": balancer.cold_attempts_us[-MAX_RECENT_TIMES:],
        "arrivals": list(balancer.recent_arrivals.items())[-MAX_RECENT_TIMES:],
    }
    return [*parts, {"own": balancer_values}]


def import_state(balancer: Balancer, part: dict[str, Any]) -> None:
    """Take over one part of another process's ``export_state``.

    A part holds either figures of backends or the values of the balancer as a whole, with its recent arrivals.
    Backends that are not listed here, or have restarted since, are skipped. Raises ValueError, TypeError, KeyError or
    AttributeError for a malformed part; the backend at fault, and all that follows it in the part, are not taken over.
    """
    for name, received in part.get("hosts", {}).items():
        backend = balancer.backends.get(name)
        if (
            backend is None
            or received["started_us"] != backend.info.started_us
            or received["load_at"] < backend.load_at_us
        ):
            continue
        figures = {
            attribute: _checked(getattr(backend, attribute), received[key], key)
            for attribute, key in BACKEND_KEYS.items()
            if key in received
        }
        figures["unreported_placements_us"] = sorted(
            {*figures.get("unreported_placements_us", ()), *backend.unreported_placements_us}
        )
        for attribute, value in figures.items():
            setattr(backend, attribute, value)
    if "own" in part:  # values of the exporting balancer as a whole
        received = part["own"]
        # Once this balancer has had load reports of its own, its averages are newer than the received ones.
        balancer_values = {
            attribute: _checked(getattr(balancer, attribute), received[key], key)
            for attribute, key in BALANCER_KEYS.items()
            if key in received and not balancer.report_count
        }
        # The key "warmed" holds the times of attempts at backends that were still cold, that is, warming up.
        cold_attempts_us = _checked(balancer.cold_attempts_us, received["warmed"], "warmed")
        arrivals = {client: _checked(0, time_us, "arrivals") for client, time_us in received["arrivals"]}
        for attribute, value in balancer_values.items():
            setattr(balancer, attribute, value)
        balancer.cold_attempts_us = sorted({*cold_attempts_us, *balancer.cold_attempts_us})
        balancer.recent_arrivals = LastSeenTimes(
            sorted((arrivals | balancer.recent_arrivals).items(), key=lambda arrival: arrival[1])
        )
        balancer.weights_at_us = None  # the next sample is drawn by the figures taken over


def _checked(held: Any, received: Any, key: str) -> Any:
    """Return ``received`` if it is of the type that is held. A wrong type would fail in a decision, much later."""
    if isinstance(held, list):
        is_valid = isinstance(received, list) and all(type(item) is int for item in received)
    elif isinstance(held, bool):
        is_valid = isinstance(received, bool)
    else:
        is_number = type(received) in (int, float) and received == received  # not NaN
        is_valid = is_number or (received is None and key == "load")
    if not is_valid:
        raise ValueError(f"{key}: {received!r:.40} is not a valid value")
    return received
