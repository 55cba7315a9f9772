"""Maintenance between processes of the program, with a fault at each of its stages.

Seven balancers, three of which vote, six image servers and twenty clients; a maintenance driver restarts the machines
and checks the fleet's guarantees.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest

from bramblestile.lab.faults import Fault, partition
from bramblestile.lab.harness import DEFAULT_SETTINGS, MANAGEMENT_PORT, FleetHarness
from bramblestile.lab.maintenance_driver import MaintenanceDriver, stand_ins_of

S = timedelta(seconds=1)
FAST_WARM_UP = {"rules": DEFAULT_SETTINGS["rules"] | {"cold_us": 800_000}}
CLIENTS = 20
RunningFleet = tuple[FleetHarness, MaintenanceDriver]


@pytest.fixture
def running_fleet(tmp_path: Path) -> Iterator[RunningFleet]:
    """The processes with all clients connected, and the driver once every balancer takes part."""
    with FleetHarness(
        tmp_path / "stage", 7, fleet={}, voters=3, servers=6, settings=FAST_WARM_UP, cold_s=0.8
    ) as harness:
        harness.start()
        harness.wait_for_agreement()
        driver = MaintenanceDriver(harness)
        try:
            driver.wait_for_roster()
            stand_ins_of(harness).add_clients(CLIENTS, 0.5)
            harness.wait(lambda: stand_ins_of(harness).client_totals()["up"] == CLIENTS, 10 * S)
            yield harness, driver
        finally:
            driver.stop()


def leader(driver: MaintenanceDriver) -> str:
    return str(driver.progress["leader"])


def test_all_machines_leave_and_return_and_no_client_is_cut_off(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    driver.start_plan()
    assert driver.final_counts(60) == {"done": 6}
    client_totals = stand_ins_of(harness).client_totals()
    assert (client_totals["cuts"], client_totals["refused"], client_totals["failed"], driver.connections_cut) == (
        0,
        0,
        0,
        0,
    )
    assert client_totals["moves"] <= 1.6 * CLIENTS
    status, answer = driver.call_once("GET", "/history")
    assert status == 200 and json.loads(answer)[0]["done"] == 6


@pytest.mark.parametrize("machine_stage", ["claimed", "leaving", "out", "cold"])
def test_the_leader_is_killed(running_fleet: RunningFleet, machine_stage: str) -> None:
    harness, driver = running_fleet
    driver.start_plan(list(stand_ins_of(harness).servers)[:3])
    driver.wait_for_stage(machine_stage)
    killed = leader(driver)
    harness.processes[killed].kill()
    driver.wait(lambda: leader(driver) != killed, 20)
    harness.processes[killed].start()
    assert driver.final_counts() == {"done": 3}


@pytest.mark.parametrize("machine_stage", ["leaving", "out"])
def test_a_leader_that_was_paused_does_not_lead_when_it_wakes(running_fleet: RunningFleet, machine_stage: str) -> None:
    harness, driver = running_fleet
    driver.start_plan(list(stand_ins_of(harness).servers)[:2])
    driver.wait_for_stage(machine_stage)
    paused = leader(driver)
    harness.processes[paused].pause()
    driver.wait(lambda: leader(driver) != paused, 20)
    harness.processes[paused].resume()
    assert driver.final_counts() == {"done": 2}


def test_a_minority_with_the_leader_is_cut_off_while_a_machine_leaves(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    driver.start_plan(list(stand_ins_of(harness).servers)[:2])
    driver.wait_for_stage("leaving")
    cut = leader(driver)
    harness.inject_fault("split", Fault(partition([cut]), loss=1))
    driver.wait(lambda: leader(driver) != cut, 20)
    driver.wait_for_stage("done")
    harness.remove_fault("split")
    assert driver.final_counts() == {"done": 2}


def test_without_a_majority_no_machine_leaves_and_clients_are_served(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    driver.start_plan()
    driver.wait_for_stage("leaving")
    for name in harness.voters[:2]:
        harness.processes[name].pause()
    began, stages = harness.event_log.now(), dict(driver.stages)
    harness.wait(lambda: harness.event_log.now() - began > 5, 10 * S)
    may_be_out = {m for m, s in stages.items() if s in ("out", "leaving")}
    assert {m for m, s in driver.stages.items() if s == "out"} <= may_be_out
    assert driver.call_once("GET", "")[0] == 503
    for name in harness.voters[:2]:
        harness.processes[name].resume()
    assert driver.final_counts(90) == {"done": 6}
    assert stand_ins_of(harness).client_totals()["refused"] == 0


@pytest.mark.parametrize("fault", ["killed", "paused", "cut off"])
def test_a_balancer_that_never_confirms(running_fleet: RunningFleet, fault: str) -> None:
    """Its lease expires, and by its own clock it sends nothing to the machine, also when it wakes or serves cut off."""
    harness, driver = running_fleet
    driver.start_plan(list(stand_ins_of(harness).servers)[:2])
    driver.wait_for_stage("claimed")
    driver.wait_for_stage("leaving")
    silent = harness.processes["b006"]
    if fault == "killed":
        silent.kill()
    elif fault == "paused":
        silent.pause()
    else:
        harness.inject_fault("split", Fault(partition(["b006"]), loss=1))
    driver.wait_for_stage("out", timeout_s=20)
    driver.wait_for_stage("cold", timeout_s=20)
    if fault == "paused":
        silent.resume()
    harness.remove_fault("split")
    assert driver.final_counts() == {"done": 2}


def test_a_machine_that_fails_counts_as_missing(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    stand_ins = stand_ins_of(harness)
    names = list(stand_ins.servers)
    driver.start_plan(names[:3], limit_s=60)
    driver.wait_for_stage("out")
    stand_ins.servers[names[5]].health = "terminating"
    stand_ins.publish_list()
    stand_ins.run(stand_ins.kill_server(names[5]))
    driver.wait_for_stage("done")
    driver.wait(lambda: names[5] in driver.progress["why_none"], 10)
    stand_ins.servers[names[5]].health = "in_service"
    stand_ins.run(stand_ins.restart_server(names[5]))
    assert driver.final_counts() == {"done": 3}


def test_a_suspended_machine_is_skipped_and_counts_as_missing(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    names = list(stand_ins_of(harness).servers)
    assert harness.call("b005", "PUT", f"/v1/image-servers/{names[0]}/suspend")[0] == 200
    began = harness.event_log.now()
    driver.start_plan(names[:2])
    harness.wait(lambda: harness.event_log.now() - began > 3, 10 * S)
    assert not [s for s in driver.stages.values() if s not in ("waiting", "claimed")]
    assert names[0] in driver.progress["why_none"]
    assert harness.call("b005", "PUT", f"/v1/image-servers/{names[0]}/resume")[0] == 200
    assert driver.final_counts() == {"done": 2}


@pytest.mark.parametrize("machine_stage", ["claimed", "leaving", "out", "cold"])
def test_an_aborted_plan_never_becomes_active_again(running_fleet: RunningFleet, machine_stage: str) -> None:
    harness, driver = running_fleet
    driver.start_plan()
    driver.wait_for_stage(machine_stage)
    driver.call_until_accepted("/abort")
    final_counts = driver.final_counts()
    assert set(final_counts) <= {"done", "dropped"} and final_counts["dropped"] >= 4
    reached = len(driver.reached)
    for name in harness.voters:
        harness.processes[name].restart()
    began = harness.event_log.now()
    harness.wait(lambda: harness.event_log.now() - began > 4 and driver.call_once("GET", "")[0] == 200, 15 * S)
    assert len(driver.reached) == reached


def test_refused_plans_and_calls_name_the_reason(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    names = list(stand_ins_of(harness).servers)
    for body, reason in (
        (driver.plan_file(names, least_capacity=0.9), f"{names[0]} there is 83% left, and 90% must stay"),
        (driver.plan_file(["stranger"]), "machines: stranger: no image server of this name is listed"),
        (b"machines = 3", "machines: not a list of names"),
        (b"[", "not TOML"),
    ):
        status, answer = driver.call_once("PUT", "/start", body)
        assert (status, reason in answer) == (409, True), answer
    driver.start_plan(names[:2])
    status, answer = driver.call_once("PUT", "/start", driver.plan_file(names[1:]))
    assert status == 409 and "one at a time" in answer
    driver.call_until_accepted("/pause")
    began = harness.event_log.now()
    harness.wait(lambda: harness.event_log.now() - began > 4, 10 * S)
    assert sum(s == "leaving" for _, _, s in driver.reached) <= 1
    driver.call_until_accepted("/resume")
    assert driver.final_counts() == {"done": 2}
    assert driver.call_once("PUT", "/done/stranger")[0] == 409 and driver.call_once("GET", "/plan")[0] == 405


def test_all_voters_are_restarted_while_the_server_list_is_unavailable(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    driver.start_plan(list(stand_ins_of(harness).servers)[:3])
    driver.wait_for_stage("out")
    stand_ins_of(harness).list_down = True
    for name in harness.voters:
        harness.processes[name].restart()
    driver.wait(lambda: any(s == "done" for _, _, s in driver.reached), 40)
    stand_ins_of(harness).list_down = False
    assert driver.final_counts() == {"done": 3}


@pytest.mark.parametrize(
    ("command", "reason"),
    [(["false"], "its command ended with 1"), (["sleep", "60"], "took over"), (["/no/such/file"], "its command")],
)
def test_a_work_command_that_fails_or_hangs_holds_its_machine(
    running_fleet: RunningFleet, command: list[str], reason: str
) -> None:
    harness, driver = running_fleet
    names = list(stand_ins_of(harness).servers)
    driver.never_done = set(names)
    driver.start_plan(names[:2], command=command, limit_s=5)
    held = driver.wait_for_stage("held", timeout_s=40)
    assert reason in next(m["why"] for m in driver.progress["machines"] if m["name"] == held)
    assert driver.call_once("PUT", f"/drop/{names[1] if held == names[0] else names[0]}")[0] == 409
    driver.call_until_accepted("/abort")
    driver.call_until_accepted(f"/drop/{held}")
    assert driver.final_counts() == {"dropped": 2}


def remove_from_maintenance(harness: FleetHarness, name: str) -> None:
    """Kill a balancer and remove its maintenance settings, as in an older version or a wrong configuration.

    Once started again it is a member of the fleet that no lease keeps from sending to any machine.
    """
    program = harness.processes[name]
    program.kill()
    del program.config["work"]


def test_no_plan_starts_while_a_member_does_not_take_part(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    machines = list(stand_ins_of(harness).servers)[:2]
    remove_from_maintenance(harness, "b006")
    driver.call_until_accepted("/forget/b006")
    harness.processes["b006"].start()
    driver.wait(lambda: "b006" not in driver.progress["roster"], 10)
    harness.wait_for_agreement()
    status, answer = driver.call_once("PUT", "/start", driver.plan_file(machines))
    assert status == 409 and "bystanders: b006" in answer
    driver.start_plan(machines, bystanders=["b006"], limit_s=60)
    assert driver.final_counts() == {"done": 2}


def test_no_machine_leaves_after_a_member_that_does_not_take_part_joins(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    remove_from_maintenance(harness, "b006")
    driver.call_until_accepted("/forget/b006")
    harness.wait_for_agreement()
    driver.start_plan(list(stand_ins_of(harness).servers)[:3], limit_s=60)
    driver.wait_for_stage("out")
    harness.processes["b006"].start()
    driver.wait(lambda: "b006 of the fleet take no part" in driver.progress["why_none"], 20)
    first = len(driver.reached)
    began = harness.event_log.now()
    harness.wait(lambda: harness.event_log.now() - began > 3, 10 * S)
    assert not any(reached in ("leaving", "out") for _, _, reached in driver.reached[first:])
    harness.processes["b006"].kill()
    assert driver.final_counts() == {"done": 3}


def start_rolling_restart(harness: FleetHarness, driver: MaintenanceDriver) -> dict[str, int]:
    """Start a plan that restarts all balancers; return the process ids from before."""
    stand_ins_of(harness).start_health_checks()
    driver.start_plan(balancers=harness.names)
    return pids(harness)


def pids(harness: FleetHarness) -> dict[str, int]:
    return {name: program.process.pid for name, program in harness.processes.items() if program.process is not None}


def all_restarted(harness: FleetHarness, before: dict[str, int]) -> bool:
    return all(pid != before[name] for name, pid in pids(harness).items())


def test_balancers_are_restarted_one_by_one_and_leadership_is_transferred(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    first = leader(driver)
    before = start_rolling_restart(harness, driver)
    assert driver.final_counts(120) == {"done": 7} and all_restarted(harness, before)
    order = [name for _, name, reached in driver.reached if reached == "out"]
    assert set(order[-3:]) == {"@" + name for name in harness.voters} and order[-1] == "@" + first
    client_totals = stand_ins_of(harness).client_totals()
    assert (client_totals["cuts"], client_totals["failed"], client_totals["refused"]) == (0, 0, 0)


@pytest.mark.parametrize("machine_stage", ["leaving", "out"])
def test_the_leader_is_killed_while_a_balancer_is_restarted(running_fleet: RunningFleet, machine_stage: str) -> None:
    harness, driver = running_fleet
    before = start_rolling_restart(harness, driver)
    driver.wait_for_stage(machine_stage)
    killed = leader(driver)
    harness.processes[killed].kill()
    driver.wait(lambda: leader(driver) != killed, 20)
    harness.processes[killed].start()
    assert driver.final_counts(120) == {"done": 7} and all_restarted(harness, before)


def test_a_balancer_that_is_paused_in_its_turn_is_not_out_before_it_confirms(running_fleet: RunningFleet) -> None:
    harness, driver = running_fleet
    start_rolling_restart(harness, driver)
    paused = driver.wait_for_stage("claimed").removeprefix("@")
    harness.processes[paused].pause()
    began = harness.event_log.now()
    harness.wait(lambda: harness.event_log.now() - began > 6, 15 * S)
    assert driver.stages["@" + paused] in ("claimed", "leaving")
    harness.processes[paused].resume()
    assert driver.final_counts(120) == {"done": 7}


def test_the_command_line(running_fleet: RunningFleet, tmp_path: Path) -> None:
    harness, driver = running_fleet
    endpoint = "{}:{}".format(*harness.address("b006", 0, MANAGEMENT_PORT))
    path = tmp_path / "plan.toml"
    path.write_bytes(driver.plan_file(list(stand_ins_of(harness).servers)[:2]))

    def run_command(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "bramblestile", "work", "--at", endpoint, *words],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )

    assert run_command("plan", str(path)).stdout.count("hall-") == 2 and "no plan" in run_command("show").stdout
    assert run_command("start", str(path)).returncode == 0
    assert "one at a time" in run_command("start", str(path)).stderr
    assert "running; new disks" in run_command("show").stdout
    assert driver.final_counts() == {"done": 2}
    assert "2 of 2 done" in run_command("history").stdout
    result = run_command("pause")
    assert result.returncode == 1 and len(result.stderr.splitlines()) == 1
