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

from bramblestile.lab.faults import Fault, every_link, inbound, outbound, partition
from bramblestile.lab.harness import GOSSIP_PORT, MANAGEMENT_PORT, FleetHarness

S = timedelta(seconds=1)


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[FleetHarness]:
    with FleetHarness(tmp_path / "stage", 7, fleet={}) as made:
        made.start()
        made.wait_for_agreement()
        yield made


def dead(harness: FleetHarness, but: str = "") -> list[tuple[str, str]]:
    return [(e["who"], e["member"]) for e in harness.membership_events("dead") if e["member"] != but]


def told_dead(harness: FleetHarness, member: str, since: float) -> None:
    others = set(harness.running()) - {member}
    harness.wait(lambda: {e["who"] for e in harness.membership_events("dead", since, member)} >= others, 15 * S)


def test_a_killed_one_is_known_to_all_and_its_restart_too(harness: FleetHarness) -> None:
    began = harness.event_log.now()
    harness.processes["b004"].kill()
    told_dead(harness, "b004", began)
    harness.processes["b004"].start()
    harness.wait_for_agreement()
    assert not dead(harness, but="b004")
    harness.processes["b005"].restart()  # within the time of suspicion: never dead to anybody
    harness.wait_for_agreement()
    assert not dead(harness, but="b004")


@pytest.mark.parametrize(("span", "dies"), [(0.4, False), (2.5, True), (10, True)])
def test_one_that_is_paused_and_woken_takes_nobody_for_dead(harness: FleetHarness, span: float, dies: bool) -> None:
    began = harness.event_log.now()
    harness.processes["b003"].pause()
    if dies:
        told_dead(harness, "b003", began)
    harness.wait(lambda: harness.event_log.now() - began >= span, 20 * S)
    harness.processes["b003"].resume()
    woken = harness.event_log.now()
    harness.wait_for_agreement()
    assert bool(harness.membership_events("dead", began, "b003")) is dies
    assert not [e for e in harness.membership_events("dead", woken) if e["who"] == "b003"] and not dead(
        harness, but="b003"
    )


def test_a_split_is_seen_by_both_sides_and_heals(harness: FleetHarness) -> None:
    few, many = harness.names[:3], harness.names[3:]
    harness.inject_fault("split", Fault(partition(few), loss=1))
    for side in (few, many):
        harness.wait_for_agreement(side)
    harness.remove_fault("split")
    harness.wait_for_agreement()


@pytest.mark.parametrize("between", [outbound, inbound])
def test_a_link_that_works_one_way(harness: FleetHarness, between: type) -> None:
    """Cut off one way it is as good as dead to the others, and its word harms none of them."""
    began = harness.event_log.now()
    harness.inject_fault("one way", Fault(between(["b002"]), loss=1))
    told_dead(harness, "b002", began)
    harness.remove_fault("one way")
    harness.wait_for_agreement()
    assert not [d for d in dead(harness, but="b002") if d[0] != "b002"]


def test_one_pair_that_cannot_hear_each_other(harness: FleetHarness) -> None:
    began = harness.event_log.now()
    harness.inject_fault("pair", Fault(lambda a, b: {a, b} == {"b001", "b002"}, loss=1))
    harness.wait(lambda: harness.event_log.now() - began > 5, 10 * S)
    harness.wait_for_agreement()
    assert not dead(harness)


def test_loss_reordering_doubles_and_a_starved_member_kill_nobody(harness: FleetHarness) -> None:
    began = harness.event_log.now()
    harness.inject_fault(
        "loss", Fault(every_link, loss=0.3, duplication=0.1, jitter=S / 50, reordering=0.05, reordering_delay=S / 10)
    )
    harness.processes["b006"].throttle(0.1)
    harness.wait(lambda: harness.event_log.now() - began > 8, 15 * S)
    harness.processes["b006"].unthrottle()
    harness.remove_fault("loss")
    harness.wait_for_agreement()
    assert not dead(harness)


def test_most_of_the_fleet_is_killed_at_once(harness: FleetHarness) -> None:
    for name in harness.names[:5]:
        harness.processes[name].signal(signal.SIGKILL)
    harness.wait_for_agreement(harness.names[5:])


def test_a_leaver_is_gone_without_a_doubt(harness: FleetHarness) -> None:
    began = harness.event_log.now()
    assert harness.processes["b006"].stop() == 0
    harness.wait(lambda: len(harness.membership_events("left", began, "b006")) == 6, 5 * S)
    harness.wait_for_agreement()
    assert not dead(harness)


def test_the_later_of_two_with_one_name_keeps_it(tmp_path: Path) -> None:
    with FleetHarness(tmp_path / "stage", 6, fleet={}) as harness:
        namesake = harness.processes["b005"]
        namesake.config["fleet"]["name"] = "b004"
        harness.start(harness.names[:5])
        harness.wait_for_agreement(harness.names[:5])
        namesake.start()
        at = "{}:{}".format(*harness.address("b005", 64, GOSSIP_PORT))
        harness.wait(lambda: harness.fleet_view("b004").get("muted_by") == at, 10 * S)
        harness.wait(
            lambda: all(
                row["at"] == at
                for name in harness.names[:4]
                for row in harness.fleet_view(name)["members"]
                if row["name"] == "b004"
            ),
            10 * S,
        )
        namesake.kill()
        harness.wait_for_agreement(harness.names[:5])


def test_a_flood_of_garbage_kills_nobody(harness: FleetHarness) -> None:
    at = harness.address("b001", 0, GOSSIP_PORT)
    began = harness.event_log.now()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        while harness.event_log.now() - began < 3:  # bounded in time
            for _ in range(50):
                sock.sendto(os.urandom(700), at)
                sock.sendto(b"bf1" + os.urandom(700), at)
    harness.wait_for_agreement()
    assert not dead(harness)


def test_keys_change_in_service_and_a_stranger_is_not_heard(tmp_path: Path) -> None:
    old, new = "6f" * 16, "6e" * 16
    key = tmp_path / "fleet.key"
    key.write_text(old)
    with FleetHarness(tmp_path / "stage", 4, fleet={"key_file": str(key)}) as harness:
        harness.start(harness.names[:3])
        harness.wait_for_agreement(harness.names[:3])
        for lines in (f"{old}\n{new}", f"{new}\n{old}", new):
            key.write_text(lines)
            since = harness.event_log.now()
            for name in harness.names[:3]:
                harness.processes[name].signal(signal.SIGHUP)
            harness.wait(
                lambda since=since: len(harness.event_log.select("said", since, event="reload")) == 3,  # type: ignore[misc]
                5 * S,
            )
        stranger = tmp_path / "other.key"
        stranger.write_text(old)
        harness.processes["b003"].config["fleet"]["key_file"] = str(stranger)
        began = harness.event_log.now()
        harness.start(["b003"])
        harness.wait(lambda: harness.event_log.now() - began > 3, 10 * S)
        harness.wait_for_agreement(harness.names[:3])
        assert not dead(harness)


def test_the_command_shows_the_fleet(harness: FleetHarness) -> None:
    at = "{}:{}".format(*harness.address("b002", 0, MANAGEMENT_PORT))

    def shown(*more: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "bramblestile", "fleet", "--at", at, "show", *more],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )

    got = shown()
    assert got.returncode == 0 and all(name in got.stdout for name in harness.names) and "7 alive" in got.stdout
    harness.processes["b002"].kill()
    got = shown()
    assert got.returncode == 1 and at in got.stderr and len(got.stderr.splitlines()) == 1
