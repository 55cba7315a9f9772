"""Settings that change: all of a file or nothing of it."""

from __future__ import annotations

import copy
import json
import os
from pathlib import Path
from random import Random
from typing import Any

import pytest

from bramblestile.process import daemon
from bramblestile.process.config import load_config
from bramblestile.process.daemon import Daemon

ONE = {"name": "feed", "objective_us": 600_000, "deadline_us": 1_500_000, "effect": "safe"}
FILE: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "seed": "1f",
    "limits": {"sockets": 512, "memory_mb": 80},
    "known": {"seq": 1, "whole": True, "hosts": [{"host": "a", "dial": "127.0.0.1:1", "health": "in_service"}]},
    "settings": {
        "balancers": 2,
        "classes": [ONE, {**ONE, "name": "edit"}],
        "limits": {"try_limit": 6, "probes": True},
        "rules": {"cold_from": 0.13, "cold_us": 21_000_000},
        "report": {"how": "probe", "names": ["x0"]},
    },
}


class Reloaded:
    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(FILE))
        monkeypatch.setenv("EDGE_CONFIG", str(self.path))
        self.daemon = Daemon(
            load_config([], os.environ)
        )  # not started: what it would do by its settings is all in them

    def take(self, raw: bytes) -> bool:
        self.path.write_bytes(raw)
        before = self.daemon.counters.get("reloads")
        daemon.reload(self.daemon, [])
        return self.daemon.counters.get("reloads") > before

    def settings(self) -> Any:
        front = self.daemon.lines
        assert front is not None
        return front.config, front.decisions._balancer.settings, front.pending_downstreams.limit, self.daemon.config


@pytest.fixture
def reloaded(memory_path: Path, monkeypatch: pytest.MonkeyPatch) -> Reloaded:
    return Reloaded(memory_path, monkeypatch)


def test_two_thousand_files_cut_anywhere_leave_the_old_settings_whole(reloaded: Reloaded) -> None:
    random, before = Random(7), reloaded.settings()
    for turn in range(2000):
        changed = copy.deepcopy(FILE)
        changed["settings"]["limits"]["try_limit"] = turn % 5 + 1
        raw = json.dumps(changed).encode()
        assert not reloaded.take(raw[: random.randrange(len(raw))])
    assert reloaded.settings() == before and reloaded.daemon.counters.get("reloads_refused") == 2000


def paths(value: Any, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    below = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [at, *(p for key, one in below for p in paths(one, (*at, key)))]


def test_a_file_that_lacks_any_key_is_refused_by_its_name(reloaded: Reloaded) -> None:
    """Guards against defaults: without try_limit a request would have had one attempt."""
    before, lacking = reloaded.settings(), 0
    for path in paths(FILE["settings"], ("settings",)) + [(key,) for key in FILE]:
        if isinstance(path[-1], int):
            continue
        changed: Any = copy.deepcopy(FILE)
        at = changed
        for key in path[:-1]:
            at = at[key]
        del at[path[-1]]
        assert not reloaded.take(json.dumps(changed).encode()), path
        lacking += 1
    assert lacking > 20 and reloaded.settings() == before


@pytest.mark.parametrize(
    ("path", "values"),
    [
        ("settings.classes.0.deadline_us", (0, -1, 1.5, "1", None, True, 1e400)),
        ("settings.classes.0.objective_us", (0, -5, None, [])),
        ("settings.limits.try_limit", (0, -1, 2.5, "6", None, False)),
        ("settings.classes", ([], None, {}, [1], [ONE, ONE])),
        ("settings.classes.0.name", ("", None, 7)),
        ("settings", (None, [], 3)),
        ("settings.balancers", (0, "2")),
        ("settings.rules.cold_from", (0, 2, float("nan"))),
        ("limits.sockets", (0, "many")),
        ("known.hosts", ([{}],)),
    ],
)
def test_a_value_that_makes_no_sense_leaves_the_old_settings_whole(
    reloaded: Reloaded, path: str, values: tuple[Any, ...]
) -> None:
    before = reloaded.settings()
    for value in values:
        changed: Any = copy.deepcopy(FILE)
        at = changed
        *parents, last = [int(p) if p.isdigit() else p for p in path.split(".")]
        for key in parents:
            at = at[key]
        at[last] = value
        assert not reloaded.take(json.dumps(changed).encode()), value
    for raw in (b"", b"null", b"[]", b"{}", b"\xff\xfe", b"[" * 100_000):
        assert not reloaded.take(raw)
    assert reloaded.settings() == before


def test_classes_appear_and_vanish_and_attempts_may_be_fewer(reloaded: Reloaded) -> None:
    changed = copy.deepcopy(FILE)
    changed["settings"]["classes"] = [{**ONE, "name": "zoom", "effect": "unsafe"}]
    changed["settings"]["limits"]["try_limit"] = 2
    assert reloaded.take(json.dumps(changed).encode())
    front = reloaded.daemon.lines
    assert front is not None
    held = front.decisions._balancer
    assert (list(held.classes), held.settings.try_limit) == (["zoom"], 2)
    assert reloaded.take(json.dumps(FILE).encode()) and list(held.classes) == ["feed", "edit"]
