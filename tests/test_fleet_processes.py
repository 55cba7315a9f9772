"""The membership between processes of the program, with faults on the links between them."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest

from bramblestile.lab.faults import Fault, anywhere, into, out_of, split
from bramblestile.lab.stage import GOSSIPED, MANAGED, Stage

S = timedelta(seconds=1)


@pytest.fixture
def stage(tmp_path: Path) -> Iterator[Stage]:
    with Stage(tmp_path / "stage", 7, fleet={}) as made:
        made.start()
        made.agree()
        yield made


def dead(stage: Stage, but: str = "") -> list[tuple[str, str]]:
    return [(e["who"], e["member"]) for e in stage.told("dead") if e["member"] != but]


def told_dead(stage: Stage, member: str, since: float) -> None:
    others = set(stage.running()) - {member}
    stage.wait(lambda: {e["who"] for e in stage.told("dead", since, member)} >= others, 15 * S)


def test_a_killed_one_is_known_to_all_and_its_restart_too(stage: Stage) -> None:
    began = stage.record.now()
    stage.programs["b004"].kill()
    told_dead(stage, "b004", began)
    stage.programs["b004"].start()
    stage.agree()
    assert not dead(stage, but="b004")
    stage.programs["b005"].restart()  # within the time of suspicion: never dead to anybody
    stage.agree()
    assert not dead(stage, but="b004")


@pytest.mark.parametrize(("span", "dies"), [(0.4, False), (2.5, True), (10, True)])
def test_one_that_is_paused_and_woken_takes_nobody_for_dead(stage: Stage, span: float, dies: bool) -> None:
    began = stage.record.now()
    stage.programs["b003"].pause()
    if dies:
        told_dead(stage, "b003", began)
    stage.wait(lambda: stage.record.now() - began >= span, 20 * S)
    stage.programs["b003"].wake()
    woken = stage.record.now()
    stage.agree()
    assert bool(stage.told("dead", began, "b003")) is dies
    assert not [e for e in stage.told("dead", woken) if e["who"] == "b003"] and not dead(stage, but="b003")


def test_a_split_is_seen_by_both_sides_and_heals(stage: Stage) -> None:
    few, many = stage.names[:3], stage.names[3:]
    stage.put("split", Fault(split(few), loss=1))
    for side in (few, many):
        stage.agree(side)
    stage.lift("split")
    stage.agree()


@pytest.mark.parametrize("between", [out_of, into])
def test_a_link_that_works_one_way(stage: Stage, between: type) -> None:
    """Cut off one way it is as good as dead to the others, and its word harms none of them."""
    began = stage.record.now()
    stage.put("one way", Fault(between(["b002"]), loss=1))
    told_dead(stage, "b002", began)
    stage.lift("one way")
    stage.agree()
    assert not [d for d in dead(stage, but="b002") if d[0] != "b002"]


def test_one_pair_that_cannot_hear_each_other(stage: Stage) -> None:
    began = stage.record.now()
    stage.put("pair", Fault(lambda a, b: {a, b} == {"b001", "b002"}, loss=1))
    stage.wait(lambda: stage.record.now() - began > 5, 10 * S)
    stage.agree()
    assert not dead(stage)


def test_loss_reordering_doubles_and_a_starved_member_kill_nobody(stage: Stage) -> None:
    began = stage.record.now()
    stage.put("loss", Fault(anywhere, loss=0.3, doubled=0.1, jitter=S / 50, late=0.05, by=S / 10))
    stage.programs["b006"].starve(0.1)
    stage.wait(lambda: stage.record.now() - began > 8, 15 * S)
    stage.programs["b006"].feed()
    stage.lift("loss")
    stage.agree()
    assert not dead(stage)


def test_most_of_the_fleet_is_killed_at_once(stage: Stage) -> None:
    for name in stage.names[:5]:
        stage.programs[name].signal(signal.SIGKILL)
    stage.agree(stage.names[5:])


def test_a_leaver_is_gone_without_a_doubt(stage: Stage) -> None:
    began = stage.record.now()
    assert stage.programs["b006"].stop() == 0
    stage.wait(lambda: len(stage.told("left", began, "b006")) == 6, 5 * S)
    stage.agree()
    assert not dead(stage)


def test_the_later_of_two_with_one_name_keeps_it(tmp_path: Path) -> None:
    with Stage(tmp_path / "stage", 6, fleet={}) as stage:
        namesake = stage.programs["b005"]
        namesake.config["fleet"]["name"] = "b004"
        stage.start(stage.names[:5])
        stage.agree(stage.names[:5])
        namesake.start()
        at = "{}:{}".format(*stage.address("b005", 64, GOSSIPED))
        stage.wait(lambda: stage.fleet("b004").get("muted_by") == at, 10 * S)
        stage.wait(
            lambda: all(
                row["at"] == at
                for name in stage.names[:4]
                for row in stage.fleet(name)["members"]
                if row["name"] == "b004"
            ),
            10 * S,
        )
        namesake.kill()
        stage.agree(stage.names[:5])


def test_a_flood_of_garbage_kills_nobody(stage: Stage) -> None:
    at = stage.address("b001", 0, GOSSIPED)
    began = stage.record.now()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        while stage.record.now() - began < 3:  # bounded in time
            for _ in range(50):
                sock.sendto(os.urandom(700), at)
                sock.sendto(b"bf1" + os.urandom(700), at)
    stage.agree()
    assert not dead(stage)


def test_keys_change_in_service_and_a_stranger_is_not_heard(tmp_path: Path) -> None:
    old, new = "6f" * 16, "6e" * 16
    key = tmp_path / "fleet.key"
    key.write_text(old)
    with Stage(tmp_path / "stage", 4, fleet={"key_file": str(key)}) as stage:
        stage.start(stage.names[:3])
        stage.agree(stage.names[:3])
        for lines in (f"{old}\n{new}", f"{new}\n{old}", new):
            key.write_text(lines)
            since = stage.record.now()
            for name in stage.names[:3]:
                stage.programs[name].signal(signal.SIGHUP)
            stage.wait(
                lambda since=since: len(stage.record.of("said", since, event="reload")) == 3,  # type: ignore[misc]
                5 * S,
            )
        stranger = tmp_path / "other.key"
        stranger.write_text(old)
        stage.programs["b003"].config["fleet"]["key_file"] = str(stranger)
        began = stage.record.now()
        stage.start(["b003"])
        stage.wait(lambda: stage.record.now() - began > 3, 10 * S)
        stage.agree(stage.names[:3])
        assert not dead(stage)


def test_the_command_shows_the_fleet(stage: Stage) -> None:
    at = "{}:{}".format(*stage.address("b002", 0, MANAGED))

    def shown(*more: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "bramblestile", "fleet", "--at", at, "show", *more],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )

    got = shown()
    assert got.returncode == 0 and all(name in got.stdout for name in stage.names) and "7 alive" in got.stdout
    stage.programs["b002"].kill()
    got = shown()
    assert got.returncode == 1 and at in got.stderr and len(got.stderr.splitlines()) == 1
