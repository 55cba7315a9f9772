"""A process replaced by the next one: nobody's connection ends at the door."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from bramblestile.operations import handoff
from tests.upgrade import SETTINGS, Balancer, Client, Host, serving


@pytest.fixture
def served(tmp_path: Path) -> Iterator[tuple[Balancer, dict[str, Host]]]:
    with serving(tmp_path, "a") as made:
        yield made


@pytest.fixture
def host(served: tuple[Balancer, dict[str, Host]]) -> Host:
    return served[1]["a"]


@pytest.fixture
def balancer(served: tuple[Balancer, dict[str, Host]]) -> Balancer:
    return served[0]


def test_ten_upgrades_under_a_steady_stream_end_nobody_at_the_door(balancer: Balancer) -> None:
    """Guards against the old process ending the socket that both have, or what it has taken from it."""
    balancer.start()
    over, failed, came = threading.Event(), [], 0

    def stream(first: int) -> None:
        nonlocal came
        for number in range(first, first + 100_000):
            if over.is_set():
                return
            try:
                client = Client(balancer, number)
                if not client.up:
                    failed.append(repr(client.said))
                client.close()
            except OSError as error:
                failed.append(repr(error))
            came += 1

    streams = [threading.Thread(target=stream, args=(n * 100_000,)) for n in range(1, 4)]
    for thread in streams:
        thread.start()
    try:
        for _ in range(10):
            before = came
            balancer.replace()
            assert came > before
    finally:
        over.set()
        for thread in streams:
            thread.join()
    assert not failed, failed[:5]


def test_without_a_ready_successor_a_stop_takes_what_still_comes(balancer: Balancer) -> None:
    """The front goes on sending for up to 0.4 s after SIGTERM; nobody else would take it."""
    process = balancer.start()
    process.send_signal(signal.SIGTERM)
    client = Client(balancer, 1)
    assert client.up and client.read.readline() == b"MOVE\r\n"
    client.close()
    assert process.wait(10) == 0


def test_a_successor_that_was_killed_is_not_left_for(balancer: Balancer) -> None:
    process = balancer.start()
    later = balancer.start()
    later.kill()
    later.wait()
    balancer.processes.remove(later)
    process.send_signal(signal.SIGTERM)
    client = Client(balancer, 1)
    assert client.up
    client.close()


@pytest.mark.parametrize(
    ("value", "said"),
    [
        ("seven", "EDGE_SOCKET_FD: 'seven' is not"),
        ("2", "EDGE_SOCKET_FD: '2' is not"),
        ("999", "EDGE_SOCKET_FD: descriptor 999"),
        ("PIPE", "EDGE_SOCKET_FD: descriptor"),
        ("UDP", "EDGE_SOCKET_FD: descriptor"),
        ("IDLE", "EDGE_SOCKET_FD: descriptor"),
    ],
)
def test_a_descriptor_that_is_no_listening_socket_ends_the_start(tmp_path: Path, value: str, said: str) -> None:
    pipe = os.pipe()
    with socket.socket(type=socket.SOCK_DGRAM) as udp, socket.socket() as idle:
        number = {"PIPE": pipe[0], "UDP": udp.fileno(), "IDLE": idle.fileno()}.get(value)
        config = tmp_path / "config.json"
        config.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}))
        ended = subprocess.run(
            [sys.executable, "-m", "bramblestile"],
            pass_fds=[number] if number else [],
            capture_output=True,
            text=True,
            timeout=20,
            env=os.environ | {"EDGE_CONFIG": str(config), "EDGE_SOCKET_FD": str(number or value)},
        )
    for end in pipe:
        os.close(end)
    assert ended.returncode == 2 and said in ended.stderr and ended.stderr.count("\n") == 1


def test_what_stands_goes_on_through_ten_upgrades_with_every_byte(balancer: Balancer, host: Host) -> None:
    """Nobody is moved: half a line is kept, both ways, and a set-up that is under way goes on as what came up."""
    balancer.start()
    standing = [Client(balancer, n) for n in range(1, 21)]
    assert all(client.up for client in standing)
    for turn in range(10):
        for client in standing:
            client.sock.sendall(b"half a ")  # goes up at once; its echo comes when the line is whole
        said = balancer.replace()
        assert "handed_on" in said[-1] and '"moved"' not in said[-1], said[-1]
        for client in standing:
            client.sock.sendall(b"line %d\r\n" % turn)
        assert {client.read.readline() for client in standing} == {b"half a line %d\r\n" % turn}
    assert len(host.asked) == len(standing) and not host.ended
    for client in standing:
        client.close()


def test_a_host_that_dies_after_an_upgrade_ends_its_clients_as_before(balancer: Balancer, host: Host) -> None:
    """The old process must keep no descriptor by which the connection would live on."""
    balancer.start()
    client = Client(balancer, 1)
    balancer.replace()
    client.sock.shutdown(socket.SHUT_WR)
    assert client.read.readline() == b"BYE\r\n" and client.read.read() == b""
    client.close()


def test_an_operator_can_send_away_what_was_handed_on(balancer: Balancer) -> None:
    balancer.start()
    client = Client(balancer, 1)
    balancer.replace()
    assert balancer.call("PUT /v1/balancer/drain") == 200
    assert client.read.readline() == b"MOVE\r\n" and client.read.read() == b""
    client.close()


def test_a_successor_that_takes_nothing_leaves_what_stands_to_be_moved(balancer: Balancer) -> None:
    """One that answers but refuses, as an older version would: the old process carries on and moves it itself."""
    process = balancer.start()
    client = Client(balancer, 1)
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
        link.connect(str(balancer.folder / "tmp" / handoff.SOCKET_NAME))
        link.send(b'{"hello": 1}')
        while b"null" not in (said := link.recv(handoff.MAX_MESSAGE_BYTES)):
            assert said, "it hung up"
        # Seen: under load the signal was heard before the word; nothing was handed on, and all that stood was moved.
        process.send_signal(signal.SIGTERM)
        while balancer.call("GET /v1/readyz") == 200:
            pass
        link.send(b'{"ready": true}')
        while b"stand" not in (said := link.recv(handoff.MAX_MESSAGE_BYTES)):
            assert said, "it left without a word"
        assert client.echoes() if link.send(json.dumps({"refused": json.loads(said)["stand"]}).encode()) else False
        assert client.read.readline() == b"MOVE\r\n"
    client.close()
    assert process.wait(10) == 0


@pytest.mark.parametrize(
    "part",
    [
        b'{"hosts": {"a": [null, 0.5]}}',
        b'{"hosts": {"a": {"started_us": null, "load": "high", "load_at": 1}}}',
        b'{"hosts": 7}',
        b'{"own": {"average": 0.5}}',
        b'{"own": {"warmed": [1], "arrivals": [[1]]}}',
        b"[]",
    ],
)
def test_what_another_version_tells_of_itself_keeps_nobody_from_becoming_ready(balancer: Balancer, part: bytes) -> None:
    """An upgrade is a change of versions: what is told in another form is served on without."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as older:
        older.bind(str(balancer.folder / "tmp" / handoff.SOCKET_NAME))
        older.listen(1)

        def tell() -> None:
            link = older.accept()[0]
            link.recv(handoff.MAX_MESSAGE_BYTES)
            link.send(b'{"learned": ' + part + b"}")
            link.send(b'{"learned": null}')
            link.recv(handoff.MAX_MESSAGE_BYTES)

        threading.Thread(target=tell, daemon=True).start()
        balancer.start()
        client = Client(balancer, 1)
        assert client.up
        client.close()
