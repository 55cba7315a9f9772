"""The laboratory: scripts that are refused by their key, links of streams, and a short play with a verdict."""

from __future__ import annotations

import json
import socket
import time
from datetime import timedelta
from pathlib import Path

import pytest

from bramblestile import cli
from bramblestile.lab.faults import Fault, split
from bramblestile.lab.maintenance_driver import town_of
from bramblestile.lab.script import ScriptError, parse
from bramblestile.lab.stage import PORT, Stage

S = timedelta(seconds=1)
SCRIPT = 'name = "x"\n'
STEP = SCRIPT + '[[step]]\ndo = "kill"\n'


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("x", "not TOML"),
        ("", "name"),
        (SCRIPT + "colour = 1", "colour: no such key"),
        (SCRIPT + "fleet = 1", "fleet"),
        (SCRIPT + "within_s = true", "within_s"),
        (SCRIPT + "[fleet]\nbalancers = 1000", "fleet.balancers"),
        (SCRIPT + "[fleet]\nvoters = 2", "fleet.voters"),
        (SCRIPT + "[fleet]\nstreams = 1", "fleet.streams"),
        (SCRIPT + "[servers]\nslots = 0", "servers.slots"),
        (SCRIPT + "[plan]\nmost_out = 1", "plan"),
        (SCRIPT + "[must]\nluck = 1", "must.luck"),
        (STEP, "step 1.at_s"),
        (STEP + "at_s = 1\nwhen = 'out'", "step 1.at_s"),
        (STEP + "when = 'away'", "step 1.when"),
        (STEP.replace("kill", "hurt") + "at_s = 1", "step 1.do"),
        (STEP + "at_s = 1\nwho = 'b001'", "step 1.who"),
        (STEP + "at_s = 1\nfor_s = 0", "step 1.for_s"),
    ],
)
def test_a_script_that_makes_no_sense_is_refused_by_its_key(text: str, names: str) -> None:
    with pytest.raises(ScriptError, match=names):
        parse(text)


def test_the_scripts_of_the_repository_are_sound() -> None:
    for file in Path("benchmarks/scripts").glob("*.toml"):
        assert parse(file.read_text()).steps


def asked(stage: Stage, name: str, within: float) -> bytes:
    """A client's first line at this balancer, and its answer; empty where none comes in time."""
    with socket.create_connection(stage.address(name, 0, PORT), 2) as sock:
        sock.settimeout(within)
        sock.sendall(b"OPEN %016x 1 c=preview,t=vestland,d=1500\r\n" % time.monotonic_ns())
        try:
            return sock.recv(200)
        except TimeoutError:
            return b""


def test_faults_on_streams_reach_one_balancer_and_no_other(tmp_path: Path) -> None:
    with Stage(tmp_path / "stage", 2, servers=3, streams=True) as stage:
        stage.start()
        stage.wait(lambda: all(stage.call(n, "GET", "/v1/readyz")[0] == 200 for n in stage.names), 10 * S)
        assert asked(stage, "b000", 3).startswith(b"UP s-") and asked(stage, "b001", 3).startswith(b"UP s-")
        stage.put("cut", Fault(split(["b000"]), loss=1))
        assert not asked(stage, "b000", 3).startswith(b"UP") and asked(stage, "b001", 3).startswith(b"UP")
        town = town_of(stage)
        town.hosts["s-00"].health = "terminating"
        town.tell()  # told to b001, and to b000 when the link is back
        stage.lift("cut")
        stage.wait(lambda: asked(stage, "b000", 3).startswith(b"UP"), 15 * S)
        stage.put("slow", Fault(split(["b001"]), delay=0.2 * S))
        began = time.monotonic()
        assert asked(stage, "b001", 3).startswith(b"UP") and time.monotonic() - began >= 0.4
        stage.wait(lambda: asked(stage, "b000", 0.39).startswith(b"UP"), 10 * S)
        assert town.do(town.reset(split(["b001"]))) > 0


def test_a_play_and_its_verdict(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "play.toml"
    text = """name = "one is killed"
lasts_s = 3
fleet = { balancers = 3 }
servers = { count = 2 }
clients = { count = 6, over_s = 0.2 }
[[step]]
at_s = 0.2
do = "kill"
who = ["b002"]
for_s = 1
[must]
failed = 0
"""
    file.write_text(text + "told_dead = 0\n")
    folder = tmp_path / "run"
    assert cli.main(["lab", "run", str(file), "--folder", str(folder), "--page"]) == 0
    out = capsys.readouterr().out
    assert "one is killed: all held" in out and "first line to UP" in out
    assert (folder / "page.png").read_bytes().startswith(b"\x89PNG")
    whats = [json.loads(line)["what"] for line in (folder / "record.jsonl").read_text().splitlines()]
    assert whats.index("step") < whats.index("killed") and "look" in whats
    file.write_text(text + "done = 1\n")
    assert cli.main(["lab", "run", str(file), "--folder", str(tmp_path / "again")]) == 1
    assert "done is 0, and at least 1 was to be" in capsys.readouterr().err
    file.write_text("name = 3")
    assert cli.main(["lab", "run", str(file)]) == 1 and "name: not a text" in capsys.readouterr().err
