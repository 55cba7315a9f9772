"""The test bed: rejected scripts, faults on streams, and a short run with its verdict."""

from __future__ import annotations

import json
import socket
import time
from datetime import timedelta
from pathlib import Path

import pytest

from bramblestile import cli
from bramblestile.lab.faults import Fault, partition
from bramblestile.lab.harness import SERVICE_PORT, FleetHarness
from bramblestile.lab.maintenance_driver import stand_ins_of
from bramblestile.lab.script import ScriptError, parse

S = timedelta(seconds=1)
SCRIPT = 'name = "x"\n'
STEP = SCRIPT + '[[step]]\ndo = "kill"\n'


@pytest.mark.parametrize(
    ("text", "key"),
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
def test_an_invalid_script_is_rejected_with_the_name_of_the_key(text: str, key: str) -> None:
    with pytest.raises(ScriptError, match=key):
        parse(text)


def test_the_scripts_of_the_repository_are_valid() -> None:
    for file in Path("benchmarks/scripts").glob("*.toml"):
        assert parse(file.read_text()).steps


def send_first_line(harness: FleetHarness, name: str, timeout_s: float) -> bytes:
    """Send a client's first line to a balancer and return the answer; empty if none comes in time."""
    with socket.create_connection(harness.address(name, 0, SERVICE_PORT), 2) as sock:
        sock.settimeout(timeout_s)
        sock.sendall(b"OPEN %016x 1 c=preview,t=vestland,d=1500\r\n" % time.monotonic_ns())
        try:
            return sock.recv(200)
        except TimeoutError:
            return b""


def test_stream_faults_affect_only_the_balancer_that_they_match(tmp_path: Path) -> None:
    with FleetHarness(tmp_path / "stage", 2, servers=3, stream_faults=True) as harness:
        harness.start()
        harness.wait(lambda: all(harness.call(n, "GET", "/v1/readyz")[0] == 200 for n in harness.names), 10 * S)
        assert send_first_line(harness, "b000", 3).startswith(b"UP s-")
        assert send_first_line(harness, "b001", 3).startswith(b"UP s-")
        harness.inject_fault("cut", Fault(partition(["b000"]), loss=1))
        assert not send_first_line(harness, "b000", 3).startswith(b"UP")
        assert send_first_line(harness, "b001", 3).startswith(b"UP")
        stand_ins = stand_ins_of(harness)
        stand_ins.servers["s-00"].health = "terminating"
        stand_ins.publish_list()  # reaches b001 now, and b000 when the link is back
        harness.remove_fault("cut")
        harness.wait(lambda: send_first_line(harness, "b000", 3).startswith(b"UP"), 15 * S)
        harness.inject_fault("slow", Fault(partition(["b001"]), delay=0.2 * S))
        began = time.monotonic()
        assert send_first_line(harness, "b001", 3).startswith(b"UP") and time.monotonic() - began >= 0.4
        harness.wait(lambda: send_first_line(harness, "b000", 0.39).startswith(b"UP"), 10 * S)
        assert stand_ins.run(stand_ins.reset_connections(partition(["b001"]))) > 0


def test_a_run_and_its_verdict(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
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
    assert "one is killed: all expectations met" in out and "first line to UP" in out
    assert (folder / "page.png").read_bytes().startswith(b"\x89PNG")
    event_types = [json.loads(line)["what"] for line in (folder / "record.jsonl").read_text().splitlines()]
    assert event_types.index("step") < event_types.index("killed") and "look" in event_types
    file.write_text(text + "done = 1\n")
    assert cli.main(["lab", "run", str(file), "--folder", str(tmp_path / "again")]) == 1
    assert "done is 0, expected at least 1" in capsys.readouterr().err
    file.write_text("name = 3")
    assert cli.main(["lab", "run", str(file)]) == 1 and "name: not a text" in capsys.readouterr().err
