"""The order of work between processes of the program, with a fault in each of its steps. Seven balancers, three voters,
six image servers, twenty clients; a worksite restarts the machines and looks whether the fleet keeps its word."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest

from bramblestile.lab.faults import Fault, split
from bramblestile.lab.stage import MANAGED, SETTINGS, Stage
from bramblestile.lab.worksite import Worksite, town_of

S = timedelta(seconds=1)
QUICK = {"rules": SETTINGS["rules"] | {"cold_us": 800_000}}
CLIENTS = 20
Site = tuple[Stage, Worksite]


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with Stage(tmp_path / "stage", 7, fleet={}, voters=3, servers=6, settings=QUICK, cold_s=0.8) as stage:
        stage.start()
        stage.agree()
        work = Worksite(stage)
        try:
            work.ready()
            town_of(stage).come(CLIENTS, 0.5)
            stage.wait(lambda: town_of(stage).figures()["up"] == CLIENTS, 10 * S)
            yield stage, work
        finally:
            work.stop()


def leader(work: Worksite) -> str:
    return str(work.shown["leader"])


def test_all_machines_go_and_come_back_and_no_client_is_cut(site: Site) -> None:
    stage, work = site
    work.begin()
    assert work.ended(60) == {"done": 6}
    figures = town_of(stage).figures()
    assert (figures["cuts"], figures["refused"], figures["failed"], work.cut_by_work) == (0, 0, 0, 0)
    assert figures["moves"] <= 1.6 * CLIENTS
    status, said = work.ask("GET", "/history")
    assert status == 200 and json.loads(said)[0]["done"] == 6


@pytest.mark.parametrize("step", ["claimed", "leaving", "out", "cold"])
def test_the_leader_is_killed(site: Site, step: str) -> None:
    stage, work = site
    work.begin(list(town_of(stage).hosts)[:3])
    work.until(step)
    killed = leader(work)
    stage.programs[killed].kill()
    work.wait(lambda: leader(work) != killed, 20)
    stage.programs[killed].start()
    assert work.ended() == {"done": 3}


@pytest.mark.parametrize("step", ["leaving", "out"])
def test_the_leader_is_paused_and_wakes_and_leads_no_more(site: Site, step: str) -> None:
    stage, work = site
    work.begin(list(town_of(stage).hosts)[:2])
    work.until(step)
    paused = leader(work)
    stage.programs[paused].pause()
    work.wait(lambda: leader(work) != paused, 20)
    stage.programs[paused].wake()
    assert work.ended() == {"done": 2}


def test_a_minority_with_the_leader_is_cut_off_while_a_machine_leaves(site: Site) -> None:
    stage, work = site
    work.begin(list(town_of(stage).hosts)[:2])
    work.until("leaving")
    cut = leader(work)
    stage.put("split", Fault(split([cut]), loss=1))
    work.wait(lambda: leader(work) != cut, 20)
    work.until("done")
    stage.lift("split")
    assert work.ended() == {"done": 2}


def test_without_a_majority_nothing_new_leaves_and_all_serve(site: Site) -> None:
    stage, work = site
    work.begin()
    work.until("leaving")
    for name in stage.voters[:2]:
        stage.programs[name].pause()
    began, stages = stage.record.now(), dict(work.stages)
    stage.wait(lambda: stage.record.now() - began > 5, 10 * S)
    was = {m for m, s in stages.items() if s in ("out", "leaving")}
    assert {m for m, s in work.stages.items() if s == "out"} <= was
    assert work.ask("GET", "")[0] == 503
    for name in stage.voters[:2]:
        stage.programs[name].wake()
    assert work.ended(90) == {"done": 6}
    assert town_of(stage).figures()["refused"] == 0


@pytest.mark.parametrize("fault", ["killed", "paused", "cut off"])
def test_a_balancer_that_never_confirms(site: Site, fault: str) -> None:
    """Its lease runs out, and by its own clock it leaves the machine alone: when it wakes too, or serves on cut off."""
    stage, work = site
    work.begin(list(town_of(stage).hosts)[:2])
    work.until("claimed")
    work.until("leaving")
    silent = stage.programs["b006"]
    if fault == "killed":
        silent.kill()
    elif fault == "paused":
        silent.pause()
    else:
        stage.put("split", Fault(split(["b006"]), loss=1))
    work.until("out", within=20)
    work.until("cold", within=20)
    if fault == "paused":
        silent.wake()
    stage.lift("split")
    assert work.ended() == {"done": 2}


def test_a_machine_that_dies_by_itself_counts(site: Site) -> None:
    stage, work = site
    town = town_of(stage)
    names = list(town.hosts)
    work.begin(names[:3], limit_s=60)
    work.until("out")
    town.hosts[names[5]].health = "terminating"
    town.tell()
    town.do(town.kill(names[5]))
    work.until("done")
    work.wait(lambda: names[5] in work.shown["why_none"], 10)
    town.hosts[names[5]].health = "in_service"
    town.do(town.restart(names[5]))
    assert work.ended() == {"done": 3}


def test_a_machine_that_is_out_by_hand_is_passed_over_and_counts(site: Site) -> None:
    stage, work = site
    names = list(town_of(stage).hosts)
    assert stage.call("b005", "PUT", f"/v1/image-servers/{names[0]}/suspend")[0] == 200
    began = stage.record.now()
    work.begin(names[:2])
    stage.wait(lambda: stage.record.now() - began > 3, 10 * S)
    assert not [s for s in work.stages.values() if s not in ("waiting", "claimed")]
    assert names[0] in work.shown["why_none"]
    assert stage.call("b005", "PUT", f"/v1/image-servers/{names[0]}/resume")[0] == 200
    assert work.ended() == {"done": 2}


@pytest.mark.parametrize("step", ["claimed", "leaving", "out", "cold"])
def test_an_order_is_aborted_and_never_wakes_up_again(site: Site, step: str) -> None:
    stage, work = site
    work.begin()
    work.until(step)
    work.say("/abort")
    ended = work.ended()
    assert set(ended) <= {"done", "dropped"} and ended["dropped"] >= 4
    seen = len(work.seen)
    for name in stage.voters:
        stage.programs[name].restart()
    began = stage.record.now()
    stage.wait(lambda: stage.record.now() - began > 4 and work.ask("GET", "")[0] == 200, 15 * S)
    assert len(work.seen) == seen


def test_plans_that_are_refused_by_name(site: Site) -> None:
    stage, work = site
    names = list(town_of(stage).hosts)
    for body, why in (
        (work.plan(names, least_capacity=0.9), f"{names[0]} there is 83% left, and 90% must stay"),
        (work.plan(["stranger"]), "machines: stranger: no image server of this name is listed"),
        (b"machines = 3", "machines: not a list of names"),
        (b"[", "not TOML"),
    ):
        status, said = work.ask("PUT", "/start", body)
        assert (status, why in said) == (409, True), said
    work.begin(names[:2])
    status, said = work.ask("PUT", "/start", work.plan(names[1:]))
    assert status == 409 and "one at a time" in said
    work.say("/pause")
    began = stage.record.now()
    stage.wait(lambda: stage.record.now() - began > 4, 10 * S)
    assert sum(s == "leaving" for _, _, s in work.seen) <= 1
    work.say("/resume")
    assert work.ended() == {"done": 2}
    assert work.ask("PUT", "/done/stranger")[0] == 409 and work.ask("GET", "/plan")[0] == 405


def test_all_voters_are_restarted_and_the_list_is_gone_meanwhile(site: Site) -> None:
    stage, work = site
    work.begin(list(town_of(stage).hosts)[:3])
    work.until("out")
    town_of(stage).list_down = True
    for name in stage.voters:
        stage.programs[name].restart()
    work.wait(lambda: any(s == "done" for _, _, s in work.seen), 40)
    town_of(stage).list_down = False
    assert work.ended() == {"done": 3}


@pytest.mark.parametrize(
    ("command", "why"),
    [(["false"], "its command ended with 1"), (["sleep", "60"], "took over"), (["/no/such/file"], "its command")],
)
def test_a_work_command_that_fails_or_hangs_holds_its_machine(site: Site, command: list[str], why: str) -> None:
    stage, work = site
    names = list(town_of(stage).hosts)
    work.lazy = set(names)
    work.begin(names[:2], command=command, limit_s=5)
    held = work.until("held", within=40)
    assert why in next(m["why"] for m in work.shown["machines"] if m["name"] == held)
    assert work.ask("PUT", f"/drop/{names[1] if held == names[0] else names[0]}")[0] == 409
    work.say("/abort")
    work.say(f"/drop/{held}")
    assert work.ended() == {"dropped": 2}


def without_work(stage: Stage, name: str) -> None:
    """As one of an older version, or one that is set up wrongly: it is of the fleet, and sends where it likes."""
    program = stage.programs[name]
    program.kill()
    del program.config["work"]


def test_nothing_leaves_while_a_member_takes_no_part(site: Site) -> None:
    stage, work = site
    two = list(town_of(stage).hosts)[:2]
    without_work(stage, "b006")
    work.say("/forget/b006")
    stage.programs["b006"].start()
    work.wait(lambda: "b006" not in work.shown["roster"], 10)
    stage.agree()
    status, said = work.ask("PUT", "/start", work.plan(two))
    assert status == 409 and "bystanders: b006" in said
    work.begin(two, bystanders=["b006"], limit_s=60)
    assert work.ended() == {"done": 2}


def test_a_member_that_takes_no_part_comes_while_machines_leave(site: Site) -> None:
    stage, work = site
    without_work(stage, "b006")
    work.say("/forget/b006")
    stage.agree()
    work.begin(list(town_of(stage).hosts)[:3], limit_s=60)
    work.until("out")
    stage.programs["b006"].start()
    work.wait(lambda: "b006 of the fleet take no part" in work.shown["why_none"], 20)
    began = len(work.seen)
    at = stage.record.now()
    stage.wait(lambda: stage.record.now() - at > 3, 10 * S)
    assert not any(seen in ("leaving", "out") for _, _, seen in work.seen[began:])
    stage.programs["b006"].kill()
    assert work.ended() == {"done": 3}


def rolling(stage: Stage, work: Worksite) -> dict[str, int]:
    """All balancers are machines of a plan; their processes before."""
    town_of(stage).ask_fronts()
    work.begin(balancers=stage.names)
    return pids(stage)


def pids(stage: Stage) -> dict[str, int]:
    return {name: program.process.pid for name, program in stage.programs.items() if program.process is not None}


def all_anew(stage: Stage, before: dict[str, int]) -> bool:
    return all(pid != before[name] for name, pid in pids(stage).items())


def test_balancers_are_restarted_one_after_the_other_and_the_lead_is_handed_over(site: Site) -> None:
    stage, work = site
    first = leader(work)
    before = rolling(stage, work)
    assert work.ended(120) == {"done": 7} and all_anew(stage, before)
    order = [name for _, name, seen in work.seen if seen == "out"]
    assert set(order[-3:]) == {"@" + name for name in stage.voters} and order[-1] == "@" + first
    figures = town_of(stage).figures()
    assert (figures["cuts"], figures["failed"], figures["refused"]) == (0, 0, 0)


@pytest.mark.parametrize("step", ["leaving", "out"])
def test_the_leader_is_killed_while_a_balancer_is_restarted(site: Site, step: str) -> None:
    stage, work = site
    before = rolling(stage, work)
    work.until(step)
    killed = leader(work)
    stage.programs[killed].kill()
    work.wait(lambda: leader(work) != killed, 20)
    stage.programs[killed].start()
    assert work.ended(120) == {"done": 7} and all_anew(stage, before)


def test_a_balancer_that_is_paused_in_its_turn_is_not_out_before_it_says_so(site: Site) -> None:
    stage, work = site
    rolling(stage, work)
    paused = work.until("claimed").removeprefix("@")
    stage.programs[paused].pause()
    began = stage.record.now()
    stage.wait(lambda: stage.record.now() - began > 6, 15 * S)
    assert work.stages["@" + paused] in ("claimed", "leaving")
    stage.programs[paused].wake()
    assert work.ended(120) == {"done": 7}


def test_the_commands(site: Site, tmp_path: Path) -> None:
    stage, work = site
    at = "{}:{}".format(*stage.address("b006", 0, MANAGED))
    file = tmp_path / "plan.toml"
    file.write_bytes(work.plan(list(town_of(stage).hosts)[:2]))

    def said(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "bramblestile", "work", "--at", at, *words],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )

    assert said("plan", str(file)).stdout.count("hall-") == 2 and "no plan" in said("show").stdout
    assert said("start", str(file)).returncode == 0
    assert "one at a time" in said("start", str(file)).stderr
    assert "running; new disks" in said("show").stdout
    assert work.ended() == {"done": 2}
    assert "2 of 2 done" in said("history").stdout
    got = said("pause")
    assert got.returncode == 1 and len(got.stderr.splitlines()) == 1
