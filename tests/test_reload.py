"""Reload of the configuration: a file is applied as a whole, or not at all."""

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

FEED_CLASS = {"name": "feed", "objective_us": 600_000, "deadline_us": 1_500_000, "effect": "safe"}
VALID: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "seed": "1f",
    "limits": {"sockets": 512, "memory_mb": 80},
    "known": {"seq": 1, "whole": True, "hosts": [{"host": "a", "dial": "127.0.0.1:1", "health": "in_service"}]},
    "settings": {
        "balancers": 2,
        "classes": [FEED_CLASS, {**FEED_CLASS, "name": "edit"}],
        "limits": {"try_limit": 6, "probes": True},
        "rules": {"cold_from": 0.13, "cold_us": 21_000_000},
        "report": {"how": "probe", "names": ["x0"]},
    },
}


class ReloadHarness:
    """A daemon and its configuration file. It is not started, because the tests look at its settings only."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(VALID))
        monkeypatch.setenv("EDGE_CONFIG", str(self.path))
        self.daemon = Daemon(load_config([], os.environ))

    def reload_with(self, raw: bytes) -> bool:
        """Write the file and reload it; return whether it was applied."""
        self.path.write_bytes(raw)
        before = self.daemon.counters.get("reloads")
        daemon.reload(self.daemon, [])
        return self.daemon.counters.get("reloads") > before

    def settings(self) -> Any:
        """Return all that a reload may change."""
        front = self.daemon.lines
        assert front is not None
        return front.config, front.decisions._balancer.settings, front.pending_downstreams.limit, self.daemon.config


@pytest.fixture
def harness(memory_path: Path, monkeypatch: pytest.MonkeyPatch) -> ReloadHarness:
    return ReloadHarness(memory_path, monkeypatch)


def test_truncated_files_leave_the_settings_unchanged(harness: ReloadHarness) -> None:
    random, before = Random(7), harness.settings()
    for index in range(2000):
        changed = copy.deepcopy(VALID)
        changed["settings"]["limits"]["try_limit"] = index % 5 + 1
        raw = json.dumps(changed).encode()
        assert not harness.reload_with(raw[: random.randrange(len(raw))])
    assert harness.settings() == before and harness.daemon.counters.get("reloads_refused") == 2000


def key_paths(value: Any, prefix: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of a value and of all keys and items below it."""
    below = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [prefix, *(path for key, item in below for path in key_paths(item, (*prefix, key)))]


def test_file_that_lacks_a_key_is_refused(harness: ReloadHarness) -> None:
    """A missing key must not fall back to its default: without try_limit, requests would get a single attempt."""
    before, refused = harness.settings(), 0
    for path in key_paths(VALID["settings"], ("settings",)) + [(key,) for key in VALID]:
        if isinstance(path[-1], int):
            continue
        changed: Any = copy.deepcopy(VALID)
        table = changed
        for key in path[:-1]:
            table = table[key]
        del table[path[-1]]
        assert not harness.reload_with(json.dumps(changed).encode()), path
        refused += 1
    assert refused > 20 and harness.settings() == before


@pytest.mark.parametrize(
    ("path", "values"),
    [
        ("settings.classes.0.deadline_us", (0, -1, 1.5, "1", None, True, 1e400)),
        ("settings.classes.0.objective_us", (0, -5, None, [])),
        ("settings.limits.try_limit", (0, -1, 2.5, "6", None, False)),
        ("settings.classes", ([], None, {}, [1], [FEED_CLASS, FEED_CLASS])),
        ("settings.classes.0.name", ("", None, 7)),
        ("settings", (None, [], 3)),
        ("settings.balancers", (0, "2")),
        ("settings.rules.cold_from", (0, 2, float("nan"))),
        ("limits.sockets", (0, "many")),
        ("known.hosts", ([{}],)),
    ],
)
def test_invalid_value_leaves_the_settings_unchanged(
    harness: ReloadHarness, path: str, values: tuple[Any, ...]
) -> None:
    before = harness.settings()
    for value in values:
        changed: Any = copy.deepcopy(VALID)
        table = changed
        *parents, last = [int(p) if p.isdigit() else p for p in path.split(".")]
        for key in parents:
            table = table[key]
        table[last] = value
        assert not harness.reload_with(json.dumps(changed).encode()), value
    for raw in (b"", b"null", b"[]", b"{}", b"\xff\xfe", b"[" * 100_000):
        assert not harness.reload_with(raw)
    assert harness.settings() == before


def test_reload_changes_classes_and_lowers_the_try_limit(harness: ReloadHarness) -> None:
    changed = copy.deepcopy(VALID)
    changed["settings"]["classes"] = [{**FEED_CLASS, "name": "zoom", "effect": "unsafe"}]
    changed["settings"]["limits"]["try_limit"] = 2
    assert harness.reload_with(json.dumps(changed).encode())
    front = harness.daemon.lines
    assert front is not None
    balancer = front.decisions._balancer
    assert (list(balancer.classes), balancer.settings.try_limit) == (["zoom"], 2)
    assert harness.reload_with(json.dumps(VALID).encode()) and list(balancer.classes) == ["feed", "edit"]
