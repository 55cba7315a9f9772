"""One client that sends as fast as it can: other clients are answered in time, and the memory does not grow."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import pytest

from bramblestile.wire.peers import send_command
from tests.load import free_address
from tests.pressure import ANSWER_TIMEOUT_S, Pressure, Waits, flooding, pressure, read_line

MEMORY_LIMIT_MB = 192  # of a balancer on the platform
MAX_GROWTH_MB = MEMORY_LIMIT_MB / 8  # one client's part of it at most
MAX_ANSWER_S = 1.5  # the deadline of the clients' class
MAX_ECHO_S = 1.0  # a line that is held back for longer counts as a lost connection
START_S = 1.0  # for the flood to begin
DURATION_S = 3.0
SEED = 46


def measure_beside(under_test: Pressure, work: Callable[[], None] = lambda: time.sleep(0.01)) -> Waits:
    """Return the longest waits of well-behaved clients that come one after another for DURATION_S."""
    waits, end = [], time.monotonic() + DURATION_S
    while time.monotonic() < end:
        waits.append(under_test.measure())
        work()
    return Waits(max(wait.answer_s for wait in waits), max(wait.echo_s for wait in waits))


def check(under_test: Pressure, name: str, longest: Waits, memory_before_mb: float) -> None:
    growth_mb = under_test.memory_mb() - memory_before_mb
    print(f"{name}: answer {longest.answer_s:.3f} s, echo {longest.echo_s:.3f} s, {growth_mb:.1f} MB more")
    assert longest.answer_s < MAX_ANSWER_S and longest.echo_s < MAX_ECHO_S and growth_mb < MAX_GROWTH_MB


@pytest.mark.parametrize("wire", ["lines", "nats"])
@pytest.mark.parametrize("kind", ["empty", "small", "unsound", "new names"])
def test_others_are_answered_beside_a_client_that_floods_its_connection(tmp_path: Path, wire: str, kind: str) -> None:
    """Guards against: one client's small messages hold up all others. The balancer has one core, as on the platform."""
    with pressure(tmp_path, wire, one_core=True) as under_test:
        assert len(os.sched_getaffinity(under_test.daemon.process.pid)) == 1
        before_mb = under_test.memory_mb()
        with flooding(under_test, kind, SEED, START_S + DURATION_S + ANSWER_TIMEOUT_S):
            time.sleep(START_S)
            check(under_test, f"{wire}, {kind}", measure_beside(under_test), before_mb)


@pytest.mark.parametrize("wire", ["lines", "nats"])
def test_requests_under_ever_new_names_do_not_fill_the_memory(tmp_path: Path, wire: str) -> None:
    """Guards against: names that one client makes up, sound or not, are kept after its requests have ended."""
    with pressure(tmp_path, wire) as under_test:
        before_mb = under_test.memory_mb()
        sent_bytes = 0

        def send_new_names() -> None:
            nonlocal sent_bytes
            for _ in range(40):
                name = f"{under_test.new_id()}{'n' * 3000}"
                for request in (
                    under_test.request(more=f",t={name}"),
                    under_test.request(more=f",c={name}"),
                    under_test.request(request_id=name),
                    f"OPEN {name}\r\n".encode(),
                ):
                    if wire == "nats":
                        request = b'CONNECT {"verbose":false,"name":"%b","user":"%b"}\r\nPING\r\n' % (
                            name.encode(),
                            request[:20].hex().encode(),
                        )
                    with under_test.connect() as sock:
                        sock.sendall(request)
                        read_line(sock)
                        sent_bytes += len(request)

        longest = measure_beside(under_test, send_new_names)
        check(under_test, f"{wire}, {sent_bytes / 1e6:.0f} MB of names", longest, before_mb)


def test_others_are_answered_beside_a_flood_of_commands_to_the_store(tmp_path: Path) -> None:
    """Guards against: one caller's ever new keys hold up the fronts, or fill the memory."""
    address = free_address()
    store = {"name": "s1", "directory": str(tmp_path), "peers": {"s1": "{}:{}".format(*address)}}
    with pressure(tmp_path, "lines", store=store) as under_test:
        before_mb = under_test.memory_mb()
        wait_for_leader(address)
        with socket.create_connection(address, timeout=ANSWER_TIMEOUT_S) as sock:

            def send_commands() -> None:
                for number in range(200):
                    key = f"{number}{time.monotonic_ns()}"
                    sock.sendall(b'{"do":"set","key":"%b","value":"%b"}\n' % (key.encode(), b"v" * 900))
                for _ in range(200):
                    read_line(sock)

            longest = measure_beside(under_test, send_commands)
        check(under_test, "store", longest, before_mb)


def wait_for_leader(address: tuple[str, int]) -> None:
    end = time.monotonic() + ANSWER_TIMEOUT_S
    command = {"do": "set", "key": "a", "value": "b"}
    while not send_command(address, command, timedelta(seconds=ANSWER_TIMEOUT_S))["ok"]:
        assert time.monotonic() < end
        time.sleep(0.05)
