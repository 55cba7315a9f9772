"""Clients that leave: what they asked for, or sent, is not passed on after they have left."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Sequence
from random import Random

import pytest

from bramblestile import sockets
from bramblestile.memory import connections
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.protocol import AttemptLimits
from bramblestile.sockets import Transport
from tests.pressure import CONNECT_LINE, open_line
from tests.scenario import TIMEOUT_S, Peer, Scenario

SEED = 46
UNREAD_BYTES = 32 << 20  # more than all sockets on the way hold
SETTLE_S = 0.2  # for the system to deliver an end
# No message waits for an answer, so the silence of the host moves nobody.
ESTABLISHED = {
    "lines": "c1 send OPEN 1 2 c=feed,d=1500\nb0 expect OPEN *\nb0 send UP r1\nc1 served\n",
    "nats": "c1 ask\nb0 taken\nb0 up\nc1 served\n",
}


class HeldDial:
    """Delays a front's dials until ``release``, as a host that is slow to accept does."""

    def __init__(self, scenario: Scenario) -> None:
        self.begun = threading.Event()
        self._released = threading.Event()
        self._dial = scenario.front.context.dial
        scenario.front.context.dial = self._held

    def _held(self, host: UpstreamHost, limits: AttemptLimits) -> Transport:
        self.begun.set()
        self._released.wait(TIMEOUT_S)
        return self._dial(host, limits)

    def release(self) -> None:
        """Let all dials go on."""
        self._released.set()


def begin_held_request(wire: str) -> tuple[Scenario, HeldDial, socket.socket]:
    """Send a client's request to a front whose dial is held; return both, and the client's socket."""
    scenario = Scenario(wire, connect_timeout_us=1_000_000)
    held = HeldDial(scenario)
    scenario.run("c1 greeted")
    client = scenario.peer("c1").sock
    client.sendall(open_line("1") if wire == "lines" else CONNECT_LINE + b"PING\r\n")
    assert held.begun.wait(TIMEOUT_S)
    return scenario, held, client


def leave(sock: socket.socket, reset: bool) -> None:
    """Close a client's connection, in order or with a reset."""
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def fill(sock: socket.socket, data: bytes) -> int:
    """Send as much of the data as the sockets on the way hold, and return how much that was."""
    sock.setblocking(False)
    view, idle_until = memoryview(data), time.monotonic() + SETTLE_S
    while view and time.monotonic() < idle_until:
        with contextlib.suppress(BlockingIOError):
            view = view[sock.send(view) :]
            idle_until = time.monotonic() + SETTLE_S
    return len(data) - len(view)


def read_all(peer: Peer) -> bytes:
    """Return what a host still receives until the end of its connection."""
    with contextlib.suppress(ConnectionResetError):
        while peer.receive():
            pass
    return peer.buffer


@pytest.mark.parametrize("wire", ["lines", "nats"])
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("unread_bytes", [0, 2000, UNREAD_BYTES])
def test_request_of_a_client_that_left_during_the_dial_is_not_sent(wire: str, reset: bool, unread_bytes: int) -> None:
    """Guards against: the end of a client stands behind unread bytes, or comes during a dial, and its request runs."""
    scenario, held, client = begin_held_request(wire)
    fill(client, Random(SEED).randbytes(unread_bytes).replace(b"\n", b"\0"))
    leave(client, reset)
    time.sleep(SETTLE_S)
    held.release()
    host = scenario.peer("b0")
    if wire == "nats":
        scenario.run("b0 hello")
    assert read_all(host) == b""


@pytest.mark.parametrize("wire", ["lines", "nats"])
def test_client_that_sends_much_before_its_answer_is_told_so(wire: str) -> None:
    """Its end could stand behind what it has sent, so its request is not sent; but it is owed its answer."""
    scenario, held, client = begin_held_request(wire)
    fill(client, bytes(UNREAD_BYTES))
    held.release()
    host = scenario.peer("b0")
    if wire == "nats":
        scenario.run("b0 hello")
    client.setblocking(True)
    client.settimeout(TIMEOUT_S)
    assert client.recv(1000) == (b"ERR\r\n" if wire == "lines" else b"-ERR 'Stale Connection'\r\n")
    assert read_all(host) == b""


class WriteRecorder:
    """Records how many bytes are written to each socket, and to which a write is under way."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._write = sockets.write
        self.written: Counter[int] = Counter()
        self.under_way: set[int] = set()
        monkeypatch.setattr(sockets, "write", self._record)

    def _record(self, transport: Transport, parts: Sequence[bytes | memoryview]) -> None:
        key = id(transport)
        self.under_way.add(key)
        try:
            self._write(transport, parts)
        finally:
            self.under_way.discard(key)
        self.written[key] += sum(map(len, parts))

    def fill_until_blocked(self, client: socket.socket, message: bytes, transport: Transport) -> int:
        """Send messages until the write that passes them on makes no progress; return the bytes written before it."""
        key, end = id(transport), time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            fill(client, message * (UNREAD_BYTES // len(message)))
            before = self.written[key]
            time.sleep(SETTLE_S)
            if key in self.under_way and self.written[key] == before:
                return before
        raise AssertionError("the writes go on")


@pytest.mark.parametrize("wire", ["lines", "nats"])
def test_messages_of_a_client_that_broke_its_connection_are_not_sent_afterwards(
    wire: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a client resets its connection with much still unread here, and the host gets it all later."""
    recorder = WriteRecorder(monkeypatch)
    scenario = Scenario(wire)
    scenario.run(ESTABLISHED[wire])
    (connection,) = scenario.front.connections.all()
    client = scenario.peer("c1").sock
    message = b"x" * 8 if wire == "lines" else b"a line\r\n"
    before = recorder.fill_until_blocked(client, message, connection.upstream)
    leave(client, reset=True)
    read_all(scenario.peer("b0"))
    sent_after = recorder.written[id(connection.upstream)] - before
    print(f"{wire}: {before} bytes written to the host before the reset, {sent_after} after it")
    # The write that the reset meets goes on, and the read before it may have returned.
    assert sent_after <= 2 * connections.FORWARD_BUFFER_BYTES
