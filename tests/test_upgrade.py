"""Hot upgrades: a process is replaced by the next one without losing a connection."""

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
from tests.upgrade import SETTINGS, Client, EchoHost, UpgradableBalancer, upgradable_balancer


@pytest.fixture
def served(tmp_path: Path) -> Iterator[tuple[UpgradableBalancer, dict[str, EchoHost]]]:
    with upgradable_balancer(tmp_path, "a") as balancer_and_hosts:
        yield balancer_and_hosts


@pytest.fixture
def host(served: tuple[UpgradableBalancer, dict[str, EchoHost]]) -> EchoHost:
    return served[1]["a"]


@pytest.fixture
def balancer(served: tuple[UpgradableBalancer, dict[str, EchoHost]]) -> UpgradableBalancer:
    return served[0]


def test_ten_upgrades_under_steady_load_refuse_no_client(balancer: UpgradableBalancer) -> None:
    """Guards against the old process shutting down the shared listening socket or connections accepted from it."""
    balancer.start()
    stopped, failures, client_count = threading.Event(), [], 0

    def connect_repeatedly(first: int) -> None:
        nonlocal client_count
        for number in range(first, first + 100_000):
            if stopped.is_set():
                return
            try:
                client = Client(balancer, number)
                if not client.is_established:
                    failures.append(repr(client.first_response))
                client.close()
            except OSError as error:
                failures.append(repr(error))
            client_count += 1

    threads = [threading.Thread(target=connect_repeatedly, args=(n * 100_000,)) for n in range(1, 4)]
    for thread in threads:
        thread.start()
    try:
        for _ in range(10):
            before = client_count
            balancer.upgrade()
            assert client_count > before
    finally:
        stopped.set()
        for thread in threads:
            thread.join()
    assert not failures, failures[:5]


def test_without_a_ready_successor_a_stopping_process_still_accepts_clients(balancer: UpgradableBalancer) -> None:
    """The front end sends requests for up to 0.4 s after SIGTERM, and no other process would accept them."""
    process = balancer.start()
    process.send_signal(signal.SIGTERM)
    client = Client(balancer, 1)
    assert client.is_established and client.reader.readline() == b"MOVE\r\n"
    client.close()
    assert process.wait(10) == 0


def test_a_process_does_not_stop_in_favour_of_a_killed_successor(balancer: UpgradableBalancer) -> None:
    process = balancer.start()
    successor = balancer.start()
    successor.kill()
    successor.wait()
    balancer.processes.remove(successor)
    process.send_signal(signal.SIGTERM)
    client = Client(balancer, 1)
    assert client.is_established
    client.close()


@pytest.mark.parametrize(
    ("value", "message"),
    [
        ("seven", "EDGE_SOCKET_FD: 'seven' is not"),
        ("2", "EDGE_SOCKET_FD: '2' is not"),
        ("999", "EDGE_SOCKET_FD: descriptor 999"),
        ("PIPE", "EDGE_SOCKET_FD: descriptor"),
        ("UDP", "EDGE_SOCKET_FD: descriptor"),
        ("IDLE", "EDGE_SOCKET_FD: descriptor"),
    ],
)
def test_a_descriptor_that_is_no_listening_socket_is_a_startup_error(tmp_path: Path, value: str, message: str) -> None:
    pipe = os.pipe()
    with socket.socket(type=socket.SOCK_DGRAM) as udp, socket.socket() as idle:
        descriptor = {"PIPE": pipe[0], "UDP": udp.fileno(), "IDLE": idle.fileno()}.get(value)
        config_path = tmp_path / "config.json"
        config_path.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}))
        result = subprocess.run(
            [sys.executable, "-m", "bramblestile"],
            pass_fds=[descriptor] if descriptor else [],
            capture_output=True,
            text=True,
            timeout=20,
            env=os.environ | {"EDGE_CONFIG": str(config_path), "EDGE_SOCKET_FD": str(descriptor or value)},
        )
    for end in pipe:
        os.close(end)
    assert result.returncode == 2 and message in result.stderr and result.stderr.count("\n") == 1


def test_established_connections_survive_ten_upgrades_without_losing_a_byte(
    balancer: UpgradableBalancer, host: EchoHost
) -> None:
    """No client is moved, and half a line is preserved in both directions."""
    balancer.start()
    clients = [Client(balancer, n) for n in range(1, 21)]
    assert all(client.is_established for client in clients)
    for round_number in range(10):
        for client in clients:
            client.sock.sendall(b"half a ")  # forwarded at once; the echo comes when the line is complete
        log_lines = balancer.upgrade()
        assert "handed_on" in log_lines[-1] and '"moved"' not in log_lines[-1], log_lines[-1]
        for client in clients:
            client.sock.sendall(b"line %d\r\n" % round_number)
        assert {client.reader.readline() for client in clients} == {b"half a line %d\r\n" % round_number}
    assert len(host.first_lines) == len(clients) and not host.ended_count
    for client in clients:
        client.close()


def test_a_host_that_ends_after_an_upgrade_ends_its_clients(balancer: UpgradableBalancer, host: EchoHost) -> None:
    """The old process must not keep a file descriptor that holds the connection open."""
    balancer.start()
    client = Client(balancer, 1)
    balancer.upgrade()
    client.sock.shutdown(socket.SHUT_WR)
    assert client.reader.readline() == b"BYE\r\n" and client.reader.read() == b""
    client.close()


def test_a_drain_moves_connections_that_were_handed_over(balancer: UpgradableBalancer) -> None:
    balancer.start()
    client = Client(balancer, 1)
    balancer.upgrade()
    assert balancer.call("PUT /v1/balancer/drain") == 200
    assert client.reader.readline() == b"MOVE\r\n" and client.reader.read() == b""
    client.close()


def test_connections_that_the_successor_refuses_are_moved(balancer: UpgradableBalancer) -> None:
    """A successor of another version may refuse a connection; the old process then serves and moves it itself.

    Under load SIGTERM was handled before the ready message, so that nothing was handed over and all were moved.
    """
    process = balancer.start()
    client = Client(balancer, 1)
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
        link.connect(str(balancer.folder / "tmp" / handoff.SOCKET_NAME))
        link.send(b'{"hello": 1}')
        while b"null" not in (message := link.recv(handoff.MAX_MESSAGE_BYTES)):
            assert message, "the balancer closed the link"
        # SIGTERM first: the process must wait for a ready message that it has not read yet.
        process.send_signal(signal.SIGTERM)
        while balancer.call("GET /v1/readyz") == 200:
            pass
        link.send(b'{"ready": true}')
        while b"stand" not in (message := link.recv(handoff.MAX_MESSAGE_BYTES)):
            assert message, "the balancer ended without handing over"
        assert client.echoes() if link.send(json.dumps({"refused": json.loads(message)["stand"]}).encode()) else False
        assert client.reader.readline() == b"MOVE\r\n"
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
def test_malformed_state_from_another_version_does_not_prevent_readiness(
    balancer: UpgradableBalancer, part: bytes
) -> None:
    """The predecessor may be of another version; state in a form that is not understood is ignored."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as predecessor:
        predecessor.bind(str(balancer.folder / "tmp" / handoff.SOCKET_NAME))
        predecessor.listen(1)

        def send_state() -> None:
            link = predecessor.accept()[0]
            link.recv(handoff.MAX_MESSAGE_BYTES)
            link.send(b'{"learned": ' + part + b"}")
            link.send(b'{"learned": null}')
            link.recv(handoff.MAX_MESSAGE_BYTES)

        threading.Thread(target=send_state, daemon=True).start()
        balancer.start()
        client = Client(balancer, 1)
        assert client.is_established
        client.close()
