"""Start, stop and reload of the daemon as a process, and the errors of its configuration."""

from __future__ import annotations

import contextlib
import copy
import json
import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bramblestile.process import config
from tests.planned_restart import planned_restart
from tests.scenario import Peer

SETTINGS = {"classes": [{"name": "feed", "objective_us": 600_000, "deadline_us": 1_500_000}]}
VALID: dict[str, Any] = {
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


def test_example_file_for_nats_is_valid() -> None:
    loaded = config.load_config([str(Path(__file__).parent.parent / "deploy" / "nats.toml")], {})
    assert loaded.lines is None and loaded.nats is not None
    assert [h.id for h in loaded.nats.known_hosts] == ["catalogue-a", "catalogue-b"]
    assert loaded.nats.server_info.users["curators"].tenant == "vestland-museum"


def test_example_file_for_traces_extends_the_platforms_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(VALID))
    file = Path(__file__).parent.parent / "deploy" / "trace.toml"
    loaded = config.load_config([str(file)], {"EDGE_CONFIG": str(path)})
    assert loaded.trace is not None and loaded.trace.file_bytes == 64 << 20 and loaded.log.level == "info"
    path.write_text(json.dumps({k: v for k, v in VALID.items() if k != "trace"}))
    assert config.load_config([], {"EDGE_CONFIG": str(path)}).trace is None


def test_environment_variables_fill_in_missing_keys(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({key: VALID[key] for key in ("settings", "known")}))
    loaded = config.load_config([], {"EDGE_CONFIG": str(path), "EDGE_LISTEN": "127.0.0.9:81", "EDGE_NAME": "n3"})
    assert loaded.nats is None and loaded.lines is not None
    assert (loaded.lines.name, loaded.lines.listen, loaded.lines.known_hosts_version) == ("n3", ("127.0.0.9", 81), 4)


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
def test_error_names_the_faulty_key(path: str, value: object) -> None:
    values = copy.deepcopy(VALID)
    table: Any = values
    *parents, last = path.partition("[")[0].split(".")
    for name in parents:
        table = table.setdefault(name, {})
    table[last] = value
    with pytest.raises(config.ConfigError, match="^" + re.escape(path)):
        config.parse_config(values)


@contextlib.contextmanager
def daemon_process(config_path: Path) -> Iterator[subprocess.Popen[str]]:
    """Run a daemon with this configuration file, and kill it in the end."""
    with subprocess.Popen(
        [sys.executable, "-m", "bramblestile"],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"EDGE_CONFIG": str(config_path)},
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def test_daemon_serves_logs_its_counters_and_moves_all_clients_at_the_stop(tmp_path: Path) -> None:
    """A planned restart: established connections are told to move, and the exit comes before SIGKILL would."""
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
        with daemon_process(path) as process:
            client = connect(address, process)
            client.sock.sendall(b"PING\r\n")
            assert client.line() == "PONG"
            client.sock.sendall(b"OPEN 1 2 c=feed,d=1500\r\n")
            upstream = Peer(host.accept()[0])
            assert upstream.line().startswith("OPEN 1 2 c=feed,d=")
            upstream.sock.sendall(b"UP r\r\n")
            assert client.line() == "UP r"
            assert process.stderr is not None
            process.send_signal(signal.SIGUSR1)
            assert json.loads(process.stderr.readline())["answered_served"] == 1
            with planned_restart(process, longest_deadline_s=1.5):
                # The platform's front sends requests for a moment after SIGTERM.
                late_client = Peer(socket.create_connection(address))
                late_client.sock.sendall(b"OPEN 2 2 c=feed,d=1500\r\n")
                late_upstream = Peer(host.accept()[0])
                late_upstream.sock.sendall(b"UP s\r\n")
                slow_client = Peer(socket.create_connection(address))
                slow_client.sock.sendall(b"OPEN 3 2 c=feed,d=9000\r\n")  # longer than any deadline that delays SIGKILL
                assert [late_client.line(), late_client.line(), client.line()] == ["UP s", "MOVE", "MOVE"]
                assert slow_client.line().startswith("BUSY")
                exit_status = process.wait(5)
            log = [json.loads(line) for line in process.stderr]
            assert exit_status == 0, log
            assert [entry["event"] for entry in log] == ["stopped", "counters"]
            assert log[-1]["moved"] == 2


@pytest.mark.parametrize(
    "key", ["listen", "nats.listen", "health.agent", "store.peers.p1", "management", "fleet.listen"]
)
def test_address_in_use_is_reported_with_its_key(key: str, tmp_path: Path) -> None:
    """An address in use ended the start with a traceback."""
    socket_type = socket.SOCK_DGRAM if key == "fleet.listen" else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, socket_type) as occupied:
        occupied.bind(("127.0.0.1", 0))
        if socket_type is socket.SOCK_STREAM:
            occupied.listen()
        values = {key: VALID[key] for key in ("listen", "settings", "known", "nats")}
        values["store"] = {"name": "p1", "directory": str(tmp_path), "peers": {"p1": "127.0.0.1:0"}}
        table: Any = values
        *parents, last = key.split(".")
        for name in parents:
            table = table.setdefault(name, {})
        table[last] = "{}:{}".format(*occupied.getsockname())
        path = tmp_path / "config.json"
        path.write_text(json.dumps(values))
        completed = subprocess.run(
            [sys.executable, "-m", "bramblestile"],
            capture_output=True,
            text=True,
            timeout=20,
            env=os.environ | {"EDGE_CONFIG": str(path)},
            check=False,
        )
    assert completed.returncode == 2
    assert completed.stderr.splitlines()[-1] == f"bramblestile: {key}: {table[last]}: Address already in use"
    assert "Traceback" not in completed.stderr


def connect(address: tuple[str, int], process: subprocess.Popen[str]) -> Peer:
    """Connect to a daemon, as soon as it listens."""
    while True:
        try:
            return Peer(socket.create_connection(address))
        except ConnectionRefusedError:
            assert process.poll() is None


def test_sighup_switches_discovery_and_keeps_connections(tmp_path: Path) -> None:
    """SIGHUP must not end the process, and a faulty file must change nothing.

    The error names the faulty key. An established connection survives the reload, and requests follow the new list.
    """
    host, old, new, free = (socket.create_server(("127.0.0.1", 0)) for _ in range(4))
    address = free.getsockname()
    free.close()
    endpoint = {sock: "{}:{}".format(*sock.getsockname()) for sock in (host, old, new)}
    entry = {"host": "a", "dial": endpoint[host], "health": "in_service"}
    values = {
        "listen": "{}:{}".format(*address),
        "discovery": endpoint[old],
        "settings": SETTINGS | {"membership_mode": "on_request"},
        "known": {"seq": 4, "hosts": [entry]},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(values))
    with host, old, new, daemon_process(path) as process:
        assert process.stderr is not None
        client = connect(address, process)
        client.sock.sendall(b"OPEN 1 2 c=feed,d=1500\r\n")
        upstream = Peer(host.accept()[0])
        upstream.line()
        upstream.sock.sendall(b"UP r\r\n")
        assert client.line() == "UP r"
        old_watch = Peer(old.accept()[0])
        assert old_watch.line().startswith("GET /v1/servers?since=4&")

        def reload(changed: dict[str, Any], expected: str) -> None:
            path.write_text(json.dumps(values | changed))
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            while (line := json.loads(process.stderr.readline()))["event"] != "reload":
                pass
            assert re.match(expected, line["text"]), line

        reload({"discovery": "nowhere"}, "kept as it was: discovery: ")
        reload({"settings": {"classes": [7]}}, r"kept as it was: settings\.")
        reload({"discovery": endpoint[new]}, "done")
        new_watch = Peer(new.accept()[0])
        assert new_watch.line() == "GET /v1/servers HTTP/1.1"  # without the version of the old discovery
        while old_watch.receive():
            pass  # the rest of the waiting request, then the end of the connection
        empty_list = json.dumps({"seq": 1, "whole": True, "hosts": []})
        new_watch.sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(empty_list)}\r\n\r\n{empty_list}".encode())
        while not new_watch.line().startswith("GET /v1/servers?since=1&"):
            pass
        late_client = connect(address, process)
        late_client.sock.sendall(b"OPEN 2 2 c=feed,d=1500\r\n")
        assert late_client.line().startswith("BUSY")
        client.sock.sendall(b"still here\r\n")
        assert upstream.line() == "still here"
        assert process.poll() is None
