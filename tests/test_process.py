"""Start and stop, and the configuration's messages."""

from __future__ import annotations

import copy
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from bramblestile.process import config
from tests.scenario import Peer

SETTINGS = {"classes": [{"name": "feed", "objective_us": 600_000, "deadline_us": 1_500_000}]}
GOOD: dict[str, Any] = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:8500",
    "settings": SETTINGS,
    "known": {"seq": 4, "hosts": [{"host": "a", "dial": "127.0.0.1:1", "health": "in_service"}]},
    "nats": {"listen": "127.0.0.1:0"},
    "trace": {"directory": "traces"},
    "store": {"name": "p1", "directory": ".", "peers": {"p1": "127.0.0.1:4"}},
    "fleet": {"listen": "127.0.0.1:5", "seeds": ["127.0.0.2:5"]},
    "management": "127.0.0.1:6",
    "work": {"voters": ["bramblestile", "b", "c"], "directory": "."},
}


def test_the_operators_file_is_read_as_it_stands() -> None:
    got = config.load_config([str(Path(__file__).parent.parent / "deploy" / "nats.toml")], {})
    assert got.lines is None and got.nats is not None
    assert [h.id for h in got.nats.known_hosts] == ["catalogue-a", "catalogue-b"]
    assert got.nats.server_info.users["curators"].tenant == "vestland-museum"


def test_the_operators_file_of_traces_is_laid_over_the_platforms(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    file = Path(__file__).parent.parent / "deploy" / "trace.toml"
    got = config.load_config([str(file)], {"EDGE_CONFIG": str(path)})
    assert got.trace is not None and got.trace.file_bytes == 64 << 20 and got.log.level == "info"
    path.write_text(json.dumps({k: v for k, v in GOOD.items() if k != "trace"}))
    assert config.load_config([], {"EDGE_CONFIG": str(path)}).trace is None


def test_the_platforms_file_and_variables(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({key: GOOD[key] for key in ("settings", "known")}))
    got = config.load_config([], {"EDGE_CONFIG": str(path), "EDGE_LISTEN": "127.0.0.9:81", "EDGE_NAME": "n3"})
    assert got.nats is None and got.lines is not None
    assert (got.lines.name, got.lines.listen, got.lines.known_hosts_version) == ("n3", ("127.0.0.9", 81), 4)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("listen", "nowhere"),
        ("discovery", "1.2.3.4:99999"),
        ("seed", "xyz"),
        ("settings", None),
        ("settings.classes", []),
        ("known.seq", -1),
        ("known.seq", 1.5),
        ("known.hosts", [{"host": "a"}]),
        ("settings.limits.connect_timeout_us", "soon"),
        ("spans.probe_us", 0),
        ("nats.listen", None),
        ("nats.max_payload", 0),
        ("nats.users.x", 5),
        ("nats.default.class", "unheard-of"),
        ("checks.b", {"agent": "127.0.0.1:1"}),
        ("checks.a", {}),
        ("health.path", "no slash"),
        ("health.agent", 7),
        ("trace.directory", 5),
        ("trace.flush_ms", 1),
        ("trace.buffer", "x"),
        ("trace.total_mb", 100),
        ("trace.keep.feed", 2),
        ("trace.keep.nobody", 0.5),
        ("log.level", "loud"),
        ("log.form", "xml"),
        ("store.directory", "nowhere"),
        ("store.name", "stranger"),
        ("store.peers.p9", "10.0.0.1:1"),
        ("fleet.listen", "10.0.0.1:5"),
        ("fleet.seeds", "127.0.0.1:5"),
        ("fleet.seeds[0]", ["nowhere"]),
        ("fleet.seeds", ["10.0.0.1:5"]),
        ("fleet.key_file", "no such file"),
        ("fleet.name", "n" * 65),
        ("work.voters", ["a", "b"]),
        ("work.voters", ["a", "a", "b"]),
        ("work.voters", "a"),
        ("work.directory", "nowhere"),
        ("work", {}),
        ("fleet.probe_ms", 1),
        ("fleet.suspect_most_ms", 200),
        ("fleet.advertise", "somewhere"),
    ],
)
def test_a_message_names_the_faulty_key(path: str, value: object) -> None:
    values = copy.deepcopy(GOOD)
    at: Any = values
    *parents, last = path.partition("[")[0].split(".")
    for name in parents:
        at = at.setdefault(name, {})
    at[last] = value
    with pytest.raises(config.ConfigError, match="^" + re.escape(path)):
        config.parse_config(values)


def test_the_program_answers_prints_its_counters_and_leaves_nobody_behind(tmp_path: Path) -> None:
    """A planned restart: what stands is told to move, and the exit comes before SIGKILL would."""
    with socket.create_server(("127.0.0.1", 0)) as host, socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
        free.close()
        known = {
            "seq": 1,
            "hosts": [{"host": "a", "dial": "{}:{}".format(*host.getsockname()), "health": "in_service"}],
        }
        path = tmp_path / "config.json"
        listen = "{}:{}".format(*address)
        path.write_text(json.dumps({"listen": listen, "settings": SETTINGS, "known": known}))
        with subprocess.Popen(
            [sys.executable, "-m", "bramblestile"],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"EDGE_CONFIG": str(path)},
        ) as program:
            try:
                peer = connect(address, program)
                peer.sock.sendall(b"PING\r\n")
                assert peer.line() == "PONG"
                peer.sock.sendall(b"OPEN 1 2 c=feed,d=1500\r\n")
                upstream = Peer(host.accept()[0])
                assert upstream.line().startswith("OPEN 1 2 c=feed,d=")
                upstream.sock.sendall(b"UP r\r\n")
                assert peer.line() == "UP r"
                assert program.stderr is not None
                program.send_signal(signal.SIGUSR1)
                assert json.loads(program.stderr.readline())["answered_served"] == 1
                told = time.monotonic()
                program.send_signal(signal.SIGTERM)
                late = Peer(socket.create_connection(address))  # the front still sends for a moment
                late.sock.sendall(b"OPEN 2 2 c=feed,d=1500\r\n")
                second = Peer(host.accept()[0])
                second.sock.sendall(b"UP s\r\n")
                slow = Peer(socket.create_connection(address))
                slow.sock.sendall(b"OPEN 3 2 c=feed,d=9000\r\n")  # beyond any deadline that SIGKILL waits for
                assert [late.line(), late.line(), peer.line()] == ["UP s", "MOVE", "MOVE"]
                assert program.wait(5) == 0
                assert time.monotonic() - told < 1.5 + 0.7 + 0.4  # 0.4: a busy machine
                assert json.loads(program.stderr.readlines()[-1])["moved"] == 2
            finally:
                program.kill()


@pytest.mark.parametrize(
    "key", ["listen", "nats.listen", "health.agent", "store.peers.p1", "management", "fleet.listen"]
)
def test_an_address_that_is_taken_is_named_by_its_key(key: str, tmp_path: Path) -> None:
    """Seen: a traceback."""
    kind = socket.SOCK_DGRAM if key == "fleet.listen" else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind(("127.0.0.1", 0))
        if kind is socket.SOCK_STREAM:
            taken.listen()
        values = {key: GOOD[key] for key in ("listen", "settings", "known", "nats")}
        values["store"] = {"name": "p1", "directory": str(tmp_path), "peers": {"p1": "127.0.0.1:0"}}
        at: Any = values
        *parents, last = key.split(".")
        for name in parents:
            at = at.setdefault(name, {})
        at[last] = "{}:{}".format(*taken.getsockname())
        path = tmp_path / "config.json"
        path.write_text(json.dumps(values))
        got = subprocess.run(
            [sys.executable, "-m", "bramblestile"],
            capture_output=True,
            text=True,
            timeout=20,
            env=os.environ | {"EDGE_CONFIG": str(path)},
            check=False,
        )
    assert got.returncode == 2
    assert got.stderr.splitlines()[-1] == f"bramblestile: {key}: {at[last]}: Address already in use"
    assert "Traceback" not in got.stderr


def connect(address: tuple[str, int], program: subprocess.Popen[str]) -> Peer:
    while True:
        try:
            return Peer(socket.create_connection(address))
        except ConnectionRefusedError:
            assert program.poll() is None


def test_sighup_follows_the_new_discovery_and_keeps_what_stands_and_what_works(tmp_path: Path) -> None:
    """Seen: SIGHUP ended the program. A faulty file is named by its key and changes nothing."""
    host, old, new, free = (socket.create_server(("127.0.0.1", 0)) for _ in range(4))
    address = free.getsockname()
    free.close()
    name = {sock: "{}:{}".format(*sock.getsockname()) for sock in (host, old, new)}
    entry = {"host": "a", "dial": name[host], "health": "in_service"}
    values = {
        "listen": "{}:{}".format(*address),
        "discovery": name[old],
        "settings": SETTINGS | {"membership_mode": "on_request"},
        "known": {"seq": 4, "hosts": [entry]},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(values))
    with subprocess.Popen(
        [sys.executable, "-m", "bramblestile"],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"EDGE_CONFIG": str(path)},
    ) as program:
        try:
            assert program.stderr is not None
            standing = connect(address, program)
            standing.sock.sendall(b"OPEN 1 2 c=feed,d=1500\r\n")
            upstream = Peer(host.accept()[0])
            upstream.line()
            upstream.sock.sendall(b"UP r\r\n")
            assert standing.line() == "UP r"
            watched = Peer(old.accept()[0])
            assert watched.line().startswith("GET /v1/servers?since=4&")

            def replaced(changed: dict[str, Any], said: str) -> None:
                path.write_text(json.dumps(values | changed))
                program.send_signal(signal.SIGHUP)
                assert program.stderr is not None
                while (line := json.loads(program.stderr.readline()))["event"] != "reload":
                    pass
                assert re.match(said, line["text"]), line

            replaced({"discovery": "nowhere"}, "kept as it was: discovery: ")
            replaced({"settings": {"classes": [7]}}, r"kept as it was: settings\.")
            replaced({"discovery": name[new]}, "done")
            followed = Peer(new.accept()[0])
            assert followed.line() == "GET /v1/servers HTTP/1.1"  # the old one's versions mean nothing here
            while watched.receive():
                pass  # what was still to be read of the call that waited, then its end
            gone = json.dumps({"seq": 1, "whole": True, "hosts": []})
            followed.sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(gone)}\r\n\r\n{gone}".encode())
            while not followed.line().startswith("GET /v1/servers?since=1&"):
                pass
            late = connect(address, program)
            late.sock.sendall(b"OPEN 2 2 c=feed,d=1500\r\n")
            assert late.line().startswith("BUSY")
            standing.sock.sendall(b"still here\r\n")
            assert upstream.line() == "still here"
            assert program.poll() is None
        finally:
            program.kill()
            for sock in (host, old, new):
                sock.close()
