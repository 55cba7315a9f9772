"""Plots of a run, drawn from its event log: clients, machines, balancers and faults on one time axis, and latencies."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from bramblestile.lab.runner import RunResult

matplotlib.use("Agg")
STAGE_COLOURS = {
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
FAULT_COLOURS = {"paused": "#6fa8dc", "killed": "#b33951", "starved": "#f2b134", "fault": "#8e7cc3"}
FAULT_ENDS = {"paused": "woken", "killed": "started", "starved": "fed", "fault": "lifted"}
PERCENTILES = (50, 75, 90, 95, 99, 99.9, 100)


def draw(result: RunResult, target: Path) -> None:
    """Draw the plots of a run into a PNG file, from the event log in the run's folder."""
    events = [json.loads(line) for line in (result.folder / "record.jsonl").read_text().splitlines()]
    started_s = next((e["at"] for e in events if e["what"] == "play begins"), 0.0)
    events = [{**e, "at": e["at"] - started_s} for e in events if e["at"] >= started_s]
    figure = Figure(figsize=(12, 13), layout="constrained")
    axes = figure.subplots(4, 1, height_ratios=(2, 3, 3, 2))
    figure.suptitle(
        f"{result.script.name}\n"
        + ("all expectations met" if not result.violations else "; ".join(result.violations)[:160])
    )
    _plot_clients(axes[0], events)
    _plot_machines(axes[1], events)
    _plot_faults(axes[2], events)
    _plot_latencies(axes[3], result)
    for ax in axes[1:3]:
        ax.sharex(axes[0])
    figure.savefig(target, dpi=90)


def _plot_clients(ax: Axes, events: list[dict[str, Any]]) -> None:
    samples = [e for e in events if e["what"] == "look"]
    times = [e["at"] for e in samples]
    ax.plot(times, [e["up"] for e in samples], label="clients with a connection")
    for key in ("moves", "refused", "cuts", "failed"):
        first = samples[0][key] if samples else 0
        ax.plot(times, [e[key] - first for e in samples], label=f"{key} so far")
    loads = [[load for load in e["loads"].values() if load >= 0] for e in samples]
    load_axis = ax.twinx()
    load_axis.plot(times, [max(row, default=0) for row in loads], color="#bbbbbb", lw=0.8)
    load_axis.set_ylabel("highest server load (grey)")
    ax.legend(loc="upper left", fontsize=8)


def _plot_machines(ax: Axes, events: list[dict[str, Any]]) -> None:
    """Draw a row for each machine of the plan, coloured by its stage."""
    changes = [e for e in events if e["what"] == "stage"]
    names = list(dict.fromkeys(e["machine"] for e in changes))
    end = events[-1]["at"] if events else 1.0
    for row, name in enumerate(names):
        own_changes = [e for e in changes if e["machine"] == name]
        for change, following in zip(own_changes, [*own_changes[1:], {"at": end}], strict=True):
            ax.barh(
                row,
                following["at"] - change["at"],
                left=change["at"],
                color=STAGE_COLOURS[change["stage"]],
                height=0.9,
            )
    ax.set_yticks(range(len(names)), names, fontsize=6)
    for stage, colour in STAGE_COLOURS.items():
        ax.barh(0, 0, color=colour, label=stage)
    if names:
        ax.legend(loc="upper right", fontsize=6, ncols=5)


def _plot_faults(ax: Axes, events: list[dict[str, Any]]) -> None:
    """Draw a row for each balancer or fault, with a bar from the start of each fault to its end."""
    last_s = 0.0
    open_faults: dict[tuple[str, str], float] = {}
    rows: dict[str, int] = {}
    for e in events:
        last_s = e["at"]
        subject = str(e.get("who") or e.get("name"))[:40]
        if e["what"] in FAULT_ENDS:
            open_faults[e["what"], subject] = e["at"]
            rows.setdefault(subject, len(rows))
        for kind, end in FAULT_ENDS.items():
            if e["what"] == end and (kind, subject) in open_faults:
                since = open_faults.pop((kind, subject))
                ax.barh(rows[subject], e["at"] - since, left=since, color=FAULT_COLOURS[kind], height=0.8)
    for (kind, subject), since in open_faults.items():
        ax.barh(rows[subject], last_s - since, left=since, color=FAULT_COLOURS[kind], height=0.8)
    ax.set_yticks(list(rows.values()), list(rows), fontsize=6)
    for kind, colour in FAULT_COLOURS.items():
        ax.barh(0, 0, color=colour, label=kind)
    ax.legend(loc="upper right", fontsize=6)
    ax.set_xlabel("seconds since the start of the run")


def _plot_latencies(ax: Axes, result: RunResult) -> None:
    for histogram, label in (
        (result.connect_times, "from a client's first line to its UP"),
        (result.outages, "without a connection"),
    ):
        if histogram is not None and histogram.get_total_count():
            ax.plot(
                [str(p) for p in PERCENTILES],
                [histogram.get_value_at_percentile(p) for p in PERCENTILES],
                "o-",
                label=label,
            )
    ax.set_yscale("log")
    ax.set_ylabel("ms")
    ax.set_xlabel("percentile")
    ax.legend(fontsize=8)
