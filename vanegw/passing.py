"""What a balancer has learned, as plain values, for the process that takes its place. Records only, no decision.

The two may be of different versions: figures go by their names, and what the other does not tell, or tells beyond what
is known here, is passed over. Figures of a host are taken for the same start of it, and only where they are younger
than what is held. Times are those of ``Balancer.handle``: both processes must read one clock.
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from vanegw.rules import Balancer
from vanegw.state import Known, Lately

PART = 100  # hosts told at once
RECENT = 500  # times of requests told at most
# All of a host's record but what is the list's, or this process's own connections and probes.
FIGURES = tuple(f.name for f in fields(Known) if f.name not in ("info", "probed_at", "open", "tag"))
OWN = ("average", "reports", "full", "lateness", "chance", "chance_at", "size")


def learned(balancer: Balancer) -> list[dict[str, Any]]:
    hosts = list(balancer.backends.items())
    parts: list[dict[str, Any]] = [
        {
            "hosts": {
                name: {"started_us": known.info.started_us} | {f: getattr(known, f) for f in FIGURES}
                for name, known in hosts[at : at + PART]
            }
        }
        for at in range(0, len(hosts), PART)
    ]
    # Own sends and the clients that came: those of the next process come on top.
    own = {f: getattr(balancer, f) for f in OWN} | {
        "warmed": balancer.warmed[-RECENT:],
        "arrivals": list(balancer.arrivals.items())[-RECENT:],
    }
    return [*parts, {"own": own}]


def recall(balancer: Balancer, part: dict[str, Any]) -> None:
    """Takes a part of another's ``learned``. Hosts that are not known here, or have started anew, are passed over.
    ValueError, TypeError, KeyError or AttributeError where it is none; that host, and the rest, are not taken."""
    for name, told in part.get("hosts", {}).items():
        known = balancer.backends.get(name)
        if known is None or told["started_us"] != known.info.started_us or told["load_at"] < known.load_at:
            continue
        figures = {f: _like(getattr(known, f), told[f], f) for f in FIGURES if f in told}
        figures["placed"] = sorted({*figures.get("placed", ()), *known.placed})
        for figure, value in figures.items():
            setattr(known, figure, value)
    if "own" in part:
        told = part["own"]
        own = {f: _like(getattr(balancer, f), told[f], f) for f in OWN if f in told and not balancer.reports}
        warmed = _like(balancer.warmed, told["warmed"], "warmed")
        arrivals = {who: _like(0, at, "arrivals") for who, at in told["arrivals"]}
        for figure, value in own.items():
            setattr(balancer, figure, value)
        balancer.warmed = sorted({*warmed, *balancer.warmed})
        balancer.arrivals = Lately(sorted((arrivals | balancer.arrivals).items(), key=lambda one: one[1]))
        balancer.table_at = None  # the next draw goes by what is known now


def _like(held: Any, told: Any, name: str) -> Any:
    """``told``, if it is of the kind that is held: a wrong one would fail in a decision, long after."""
    if isinstance(held, list):
        sound = isinstance(told, list) and all(type(one) is int for one in told)
    elif isinstance(held, bool):
        sound = isinstance(told, bool)
    else:
        sound = (type(told) in (int, float) and told == told) or (told is None and name == "load")
    if not sound:
        raise ValueError(f"{name}: {told!r:.40} makes no sense")
    return told
