"""Fleet membership between real processes, with faults on the links between them."""

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
    with FleetHarness(tmp_path / "stage", 7, fleet={}) as running:
        running.start()
        running.wait_for_agreement()
        yield running


def deaths(harness: FleetHarness, exclude: str = "") -> list[tuple[str, str]]:
    """Return the pairs of a viewer and a member that it has declared dead, other than ``exclude``."""
    return [(e["who"], e["member"]) for e in harness.membership_events("dead") if e["member"] != exclude]


def wait_until_dead(harness: FleetHarness, member: str, since: float) -> None:
    """Wait until all other running processes have declared a member dead."""
    others = set(harness.running()) - {member}
    harness.wait(lambda: {e["who"] for e in harness.membership_events("dead", since, member)} >= others, 15 * S)


def test_a_killed_process_and_its_restart_are_detected_by_all(harness: FleetHarness) -> None:
    started_at = harness.event_log.now()
    harness.processes["b004"].kill()
    wait_until_dead(harness, "b004", started_at)
    harness.processes["b004"].start()
    harness.wait_for_agreement()
    assert not deaths(harness, exclude="b004")
    harness.processes["b005"].restart()  # within the suspicion timeout: nobody declares it dead
    harness.wait_for_agreement()
    assert not deaths(harness, exclude="b004")


@pytest.mark.parametrize(("pause_s", "dies"), [(0.4, False), (2.5, True), (10, True)])
def test_a_process_that_resumes_after_a_pause_declares_nobody_dead(
    harness: FleetHarness, pause_s: float, dies: bool
) -> None:
    started_at = harness.event_log.now()
    harness.processes["b003"].pause()
    if dies:
        wait_until_dead(harness, "b003", started_at)
    harness.wait(lambda: harness.event_log.now() - started_at >= pause_s, 20 * S)
    harness.processes["b003"].resume()
    resumed_at = harness.event_log.now()
    harness.wait_for_agreement()
    assert bool(harness.membership_events("dead", started_at, "b003")) is dies
    assert not [e for e in harness.membership_events("dead", resumed_at) if e["who"] == "b003"] and not deaths(
        harness, exclude="b003"
    )


def test_both_sides_detect_a_partition_and_merge_again(harness: FleetHarness) -> None:
    minority, majority = harness.names[:3], harness.names[3:]
    harness.inject_fault("split", Fault(partition(minority), loss=1))
    for side in (minority, majority):
        harness.wait_for_agreement(side)
    harness.remove_fault("split")
    harness.wait_for_agreement()


@pytest.mark.parametrize("between", [outbound, inbound])
def test_a_link_that_works_one_way(harness: FleetHarness, between: type) -> None:
    """A member that is cut off in one direction is declared dead, and its own accusations have no effect."""
    started_at = harness.event_log.now()
    harness.inject_fault("one way", Fault(between(["b002"]), loss=1))
    wait_until_dead(harness, "b002", started_at)
    harness.remove_fault("one way")
    harness.wait_for_agreement()
    assert not [d for d in deaths(harness, exclude="b002") if d[0] != "b002"]


def test_a_cut_between_one_pair_causes_no_deaths(harness: FleetHarness) -> None:
    started_at = harness.event_log.now()
    harness.inject_fault("pair", Fault(lambda a, b: {a, b} == {"b001", "b002"}, loss=1))
    harness.wait(lambda: harness.event_log.now() - started_at > 5, 10 * S)
    harness.wait_for_agreement()
    assert not deaths(harness)


def test_loss_reordering_duplicates_and_a_member_short_of_cpu_cause_no_deaths(harness: FleetHarness) -> None:
    started_at = harness.event_log.now()
    harness.inject_fault(
        "loss", Fault(every_link, loss=0.3, duplication=0.1, jitter=S / 50, reordering=0.05, reordering_delay=S / 10)
    )
    harness.processes["b006"].throttle(0.1)
    harness.wait(lambda: harness.event_log.now() - started_at > 8, 15 * S)
    harness.processes["b006"].unthrottle()
    harness.remove_fault("loss")
    harness.wait_for_agreement()
    assert not deaths(harness)


def test_most_of_the_fleet_is_killed_at_once(harness: FleetHarness) -> None:
    for name in harness.names[:5]:
        harness.processes[name].signal(signal.SIGKILL)
    harness.wait_for_agreement(harness.names[5:])


def test_a_member_that_leaves_is_removed_without_suspicion(harness: FleetHarness) -> None:
    started_at = harness.event_log.now()
    assert harness.processes["b006"].stop() == 0
    harness.wait(lambda: len(harness.membership_events("left", started_at, "b006")) == 6, 5 * S)
    harness.wait_for_agreement()
    assert not deaths(harness)


def test_of_two_processes_with_one_name_the_later_keeps_it(tmp_path: Path) -> None:
    with FleetHarness(tmp_path / "stage", 6, fleet={}) as harness:
        namesake = harness.processes["b005"]
        namesake.config["fleet"]["name"] = "b004"
        harness.start(harness.names[:5])
        harness.wait_for_agreement(harness.names[:5])
        namesake.start()
        endpoint = "{}:{}".format(*harness.address("b005", 64, GOSSIP_PORT))
        harness.wait(lambda: harness.fleet_view("b004").get("muted_by") == endpoint, 10 * S)
        harness.wait(
            lambda: all(
                row["at"] == endpoint
                for name in harness.names[:4]
                for row in harness.fleet_view(name)["members"]
                if row["name"] == "b004"
            ),
            10 * S,
        )
        namesake.kill()
        harness.wait_for_agreement(harness.names[:5])


def test_a_flood_of_garbage_causes_no_deaths(harness: FleetHarness) -> None:
    endpoint = harness.address("b001", 0, GOSSIP_PORT)
    started_at = harness.event_log.now()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        while harness.event_log.now() - started_at < 3:  # bounded in time
            for _ in range(50):
                sock.sendto(os.urandom(700), endpoint)
                sock.sendto(b"bf1" + os.urandom(700), endpoint)
    harness.wait_for_agreement()
    assert not deaths(harness)


def test_keys_are_rotated_in_service_and_a_member_without_the_key_is_ignored(tmp_path: Path) -> None:
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
        started_at = harness.event_log.now()
        harness.start(["b003"])
        harness.wait(lambda: harness.event_log.now() - started_at > 3, 10 * S)
        harness.wait_for_agreement(harness.names[:3])
        assert not deaths(harness)


def test_the_command_shows_the_fleet(harness: FleetHarness) -> None:
    endpoint = "{}:{}".format(*harness.address("b002", 0, MANAGEMENT_PORT))

    def run_show(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "bramblestile", "fleet", "--at", endpoint, "show", *arguments],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )

    result = run_show()
    assert (
        result.returncode == 0 and all(name in result.stdout for name in harness.names) and "7 alive" in result.stdout
    )
    harness.processes["b002"].kill()
    result = run_show()
    assert result.returncode == 1 and endpoint in result.stderr and len(result.stderr.splitlines()) == 1
