"""A page of plots from a run's record: clients, machines, balancers and faults over the same time, and its times."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from bramblestile.lab.play import Played

matplotlib.use("Agg")
COLOURS = {
    "waiting": "#e8e8e8",
    "claimed": "#c9d7e8",
    "leaving": "#f2b134",
    "empty": "#e07b39",
    "out": "#b33951",
    "back": "#8e7cc3",
    "cold": "#6fa8dc",
    "done": "#93c47d",
    "held": "#000000",
    "dropped": "#999999",
}
PERCENTS = (50, 75, 90, 95, 99, 99.9, 100)


def draw(played: Played, target: Path) -> None:
    """Reads the record in the run's folder and writes a PNG."""
    events = [json.loads(line) for line in (played.folder / "record.jsonl").read_text().splitlines()]
    began = next((e["at"] for e in events if e["what"] == "play begins"), 0.0)
    events = [{**e, "at": e["at"] - began} for e in events if e["at"] >= began]
    figure = Figure(figsize=(12, 13), layout="constrained")
    axes = figure.subplots(4, 1, height_ratios=(2, 3, 3, 2))
    figure.suptitle(f"{played.script.name}\n" + ("all held" if not played.wrong else "; ".join(played.wrong)[:160]))
    _clients(axes[0], events)
    _machines(axes[1], events)
    _balancers(axes[2], events)
    _times(axes[3], played)
    for ax in axes[1:3]:
        ax.sharex(axes[0])
    figure.savefig(target, dpi=90)


def _clients(ax: Axes, events: list[dict[str, Any]]) -> None:
    looks = [e for e in events if e["what"] == "look"]
    at = [e["at"] for e in looks]
    ax.plot(at, [e["up"] for e in looks], label="clients with a connection")
    for key in ("moves", "refused", "cuts", "failed"):
        first = looks[0][key] if looks else 0
        ax.plot(at, [e[key] - first for e in looks], label=f"{key} so far")
    loads = [[v for v in e["loads"].values() if v >= 0] for e in looks]
    beside = ax.twinx()
    beside.plot(at, [max(row, default=0) for row in loads], color="#bbbbbb", lw=0.8)
    beside.set_ylabel("fullest server (grey)")
    ax.legend(loc="upper left", fontsize=8)


def _machines(ax: Axes, events: list[dict[str, Any]]) -> None:
    stages = [e for e in events if e["what"] == "stage"]
    names = list(dict.fromkeys(e["machine"] for e in stages))
    end = events[-1]["at"] if events else 1.0
    for row, name in enumerate(names):
        own = [e for e in stages if e["machine"] == name]
        for one, after in zip(own, [*own[1:], {"at": end}], strict=True):
            ax.barh(row, after["at"] - one["at"], left=one["at"], color=COLOURS[one["stage"]], height=0.9)
    ax.set_yticks(range(len(names)), names, fontsize=6)
    for stage, colour in COLOURS.items():
        ax.barh(0, 0, color=colour, label=stage)
    if names:
        ax.legend(loc="upper right", fontsize=6, ncols=5)


def _balancers(ax: Axes, events: list[dict[str, Any]]) -> None:
    begin, stop = {"paused": "woken", "killed": "started", "starved": "fed", "fault": "lifted"}, 0.0
    open_: dict[tuple[str, str], float] = {}
    rows: dict[str, int] = {}
    colours = {"paused": "#6fa8dc", "killed": "#b33951", "starved": "#f2b134", "fault": "#8e7cc3"}
    for e in events:
        stop = e["at"]
        who = str(e.get("who") or e.get("name"))[:40]
        if e["what"] in begin:
            open_[e["what"], who] = e["at"]
            rows.setdefault(who, len(rows))
        for what, until in begin.items():
            if e["what"] == until and (what, who) in open_:
                since = open_.pop((what, who))
                ax.barh(rows[who], e["at"] - since, left=since, color=colours[what], height=0.8)
    for (what, who), since in open_.items():
        ax.barh(rows[who], stop - since, left=since, color=colours[what], height=0.8)
    ax.set_yticks(list(rows.values()), list(rows), fontsize=6)
    for what, colour in colours.items():
        ax.barh(0, 0, color=colour, label=what)
    ax.legend(loc="upper right", fontsize=6)
    ax.set_xlabel("seconds since the play began")


def _times(ax: Axes, played: Played) -> None:
    for made, label in ((played.waits, "from a client's first line to its UP"), (played.gaps, "without a connection")):
        if made is not None and made.get_total_count():
            ax.plot([str(p) for p in PERCENTS], [made.get_value_at_percentile(p) for p in PERCENTS], "o-", label=label)
    ax.set_yscale("log")
    ax.set_ylabel("ms")
    ax.set_xlabel("percentile")
    ax.legend(fontsize=8)
