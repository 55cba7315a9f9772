"""Hundreds of clients that misbehave at once: the process stays within its memory limit and goes on serving others."""

from __future__ import annotations

import contextlib
import socket
import time
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import NamedTuple

import pytest

from bramblestile.wire.peers import send_command
from tests.load import free_address
from tests.pressure import ANSWER_TIMEOUT_S, Pressure, many_short_fields, pressure

MEMORY_LIMIT_MB = 192  # of a balancer on the platform
DESCRIPTOR_LIMIT = 1024
CLIENT_COUNT = 500  # two descriptors each, as many as fit
DURATION_S = 8.0
WRITE_INTERVAL_S = 0.05
LARGE_MESSAGE_BYTES = 1_000_000
SHORT_MESSAGES_BYTES = 200_000  # of each client


def start_client(under_test: Pressure, kind: str, random: Random) -> tuple[socket.socket, bytes, int]:
    """Connect one client. Returns its socket, what it goes on to send, and how many bytes of that at a time."""
    wire = under_test.wire
    first_line = many_short_fields(wire, under_test.new_id())
    if kind == "writes slowly":
        return under_test.connect(), first_line, 1
    if kind == "stops in its request":
        sock = under_test.connect()
        sock.sendall(first_line[: random.randrange(len(first_line) // 2, len(first_line) - 10)])
        return sock, b"", 1
    if kind == "many short fields":
        sock = under_test.connect()
        sock.sendall(first_line)
        return sock, b"", 1
    sock = under_test.establish()
    if kind == "stops in a large message":
        start = b"PUB a %d\r\n" % LARGE_MESSAGE_BYTES if wire == "nats" else b""
        return sock, start + random.randbytes(LARGE_MESSAGE_BYTES // 2).replace(b"\n", b"\0"), 1 << 16
    assert kind == "many short messages"
    return sock, b"\n" * SHORT_MESSAGES_BYTES, 1 << 16


def write_on(clients: list[tuple[socket.socket, bytes, int]]) -> None:
    """Let the clients send what they have, for DURATION_S; none of them reads anything."""
    unsent = {sock: (memoryview(data), step) for sock, data, step in clients if data}
    end = time.monotonic() + DURATION_S
    while time.monotonic() < end:
        for sock, (data, step) in list(unsent.items()):
            try:
                sent = sock.send(data[:step])
            except BlockingIOError:
                continue
            except OSError:  # the balancer has sent it away
                sent = len(data)
            unsent[sock] = data[sent:], step
            if sent == len(data):
                del unsent[sock]
        time.sleep(WRITE_INTERVAL_S)


class Aftermath(NamedTuple):
    """What hundreds of clients led to: the largest memory, and how a client was served a second after they left."""

    used_mb: float
    answer_s: float
    failure: str


@pytest.fixture(
    scope="module",
    params=[
        (kind, wire)
        for kind in (
            "writes slowly",
            "stops in its request",
            "many short fields",
            "stops in a large message",
            "many short messages",
        )
        for wire in ("lines", "nats")
    ],
    ids=lambda param: "-".join(param),
)
def aftermath(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Aftermath:
    """Run one kind of clients on one front."""
    kind, wire = request.param
    random = Random(46)
    limits = {"memory_mb": MEMORY_LIMIT_MB, "sockets": DESCRIPTOR_LIMIT}
    folder = tmp_path_factory.mktemp("balancer")
    with pressure(folder, wire, limits=limits) as under_test, contextlib.ExitStack() as stack:
        clients = []
        for _ in range(CLIENT_COUNT):
            client = start_client(under_test, kind, random)
            stack.enter_context(client[0]).setblocking(False)
            clients.append(client)
        write_on(clients)
        used_mb = under_test.memory_mb()
        print(f"{wire}, {kind}: {used_mb:.0f} MB")
        for sock, *_ in clients:
            sock.close()
        time.sleep(ANSWER_TIMEOUT_S / 5)
        try:
            return Aftermath(used_mb, under_test.measure().answer_s, "")
        except (AssertionError, OSError) as error:
            return Aftermath(used_mb, ANSWER_TIMEOUT_S, repr(error))


def test_hundreds_of_misbehaving_clients_do_not_exhaust_the_memory(aftermath: Aftermath) -> None:
    """Guards against: the process is killed for its memory, and all of its connections are lost."""
    assert aftermath.used_mb < MEMORY_LIMIT_MB


def test_a_client_is_served_soon_after_hundreds_of_misbehaving_ones_have_left(aftermath: Aftermath) -> None:
    """Guards against: the process goes on working for clients that have left, and others get no answer."""
    assert not aftermath.failure and aftermath.answer_s < ANSWER_TIMEOUT_S, aftermath.failure


def test_connections_to_the_store_do_not_exhaust_the_memory(tmp_path: Path) -> None:
    """Guards against: each connection to the store's port holds 256 KiB for as long as its caller likes."""
    store_address = free_address()
    store = {"name": "s1", "directory": str(tmp_path), "peers": {"s1": "{}:{}".format(*store_address)}}
    limits = {"memory_mb": MEMORY_LIMIT_MB, "sockets": DESCRIPTOR_LIMIT}
    with pressure(tmp_path, "lines", limits=limits, store=store) as under_test, contextlib.ExitStack() as stack:
        before_mb = under_test.memory_mb()
        for _ in range(CLIENT_COUNT):
            sock = stack.enter_context(socket.create_connection(store_address, timeout=ANSWER_TIMEOUT_S))
            with contextlib.suppress(OSError):  # already sent away
                sock.sendall(b'{"do":"set","key":"a","value":"' + b"x" * 200_000)
        time.sleep(1)
        used_mb = under_test.memory_mb()
        print(f"store: {before_mb:.0f} MB, then {used_mb:.0f} MB")
        # As for clients without a request: an eighth of the limit at most.
        assert used_mb - before_mb < MEMORY_LIMIT_MB / 8
        answer = send_command(store_address, {"do": "get", "key": "a"}, timedelta(seconds=ANSWER_TIMEOUT_S))
        assert answer["ok"] and under_test.measure().answer_s < ANSWER_TIMEOUT_S
