"""A client that closes or cancels has gone: whatever its request waits for, nothing more is sent for it.

Each wait is held open until the system has told us of the client's end, so that no test depends on who is faster.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest

from bramblestile import sockets
from bramblestile.wire import common
from tests.scenario import BOUND, WIRES, Stage
from vanegw import interface as api

BOTH = pytest.mark.parametrize("wire", WIRES)
ENDS = pytest.mark.parametrize("end", ["close", "reset", "half"])


def leave(stage: Stage, client: str, end: str) -> None:
    """The client's end, and the balancer's system has it."""
    assert not stage.front.lobby._held, "the request was not read yet"
    if end == "half":
        stage.peers[client].sock.shutdown(socket.SHUT_WR)
    else:
        stage.step(f"{client} {end}")


class Gate:
    """Something that the program does, held until it may go on."""

    def __init__(self) -> None:
        self.reached, self.open = threading.Event(), threading.Event()

    def wait(self) -> None:
        self.reached.set()
        assert self.open.wait(BOUND)

    def around(self, inner: Callable[..., Any], after: bool = False) -> Callable[..., Any]:
        def held(*args: Any, **more: Any) -> Any:
            if not after:
                self.wait()
            got = inner(*args, **more)
            if after:
                self.wait()
            return got

        return held


def told_of_its_end(sock: socket.socket) -> None:
    until = time.monotonic() + BOUND
    while not sockets.has_left(sock):
        assert time.monotonic() < until
        time.sleep(0.001)


@BOTH
@ENDS
def test_a_client_that_leaves_while_we_dial_is_noticed_before_the_first_byte(
        wire: str, end: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen by reading: after a dial of up to 0.25 s the request was sent, whoever waited for it."""
    stage, gate = Stage(wire), Gate()
    stage.front.context.dial = gate.around(stage.front.context.dial, after=True)
    downs: list[socket.socket] = []
    asks = common.SocketDownstream.upstream_request

    def noted(self: common.SocketDownstream, *more: Any) -> Any:
        downs.append(self._sock)
        return asks(self, *more)

    monkeypatch.setattr(common.SocketDownstream, "upstream_request", noted)
    stage.step("c1 ask")
    if stage.wire == "lines":
        stage.step("b0 connect")  # with TLS: its handshake
    else:
        stage.step("b0 hello")
    assert gate.reached.wait(BOUND)
    leave(stage, "c1", end)
    told_of_its_end(downs[0])
    gate.open.set()
    stage.play("b0 ends\nwait downstream_left 1")
    assert stage.counters.get("answered_refused") == 0


def unreachable() -> tuple[socket.socket, list[socket.socket]]:
    """A host whose system takes no more connections: a dial hangs there until there is room again."""
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(0)
    fillers = []
    for _ in range(4):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(server.getsockname())
        fillers.append(sock)
    return server, fillers


@ENDS
def test_a_dial_that_hangs_ends_with_its_client(end: str) -> None:
    stage = Stage(connect_timeout_us=1_400_000)
    stage.listening["b0"].close()
    stage.listening["b0"], fillers = unreachable()
    address = stage.listening["b0"].getsockname()
    host = stage.front.cluster.find("b0")
    assert host is not None
    stage.front.decisions.list(api.ListMode.COMPLETE, (type(host)("b0", address),))
    stage.play("c1 ask\nwait upstream_requests 1")
    left = time.monotonic()
    leave(stage, "c1", end)
    stage.step("wait downstream_left 1")
    assert time.monotonic() - left < 0.7  # the dial itself takes 1.4 s; 0.1 s is the rule, the rest a full machine
    for sock in fillers:
        sock.close()


@pytest.mark.parametrize("wire", ["lines", "nats"])
@ENDS
def test_a_client_that_leaves_between_two_attempts_gets_no_second_one(wire: str, end: str) -> None:
    stage, gate = Stage(wire, hosts=2, try_limit=2), Gate()
    tell = stage.front.decisions.tell

    def told(event: api.Event) -> None:
        if isinstance(event, api.Outcome):
            gate.wait()
        tell(event)

    stage.front.decisions.tell = told  # type: ignore[method-assign]
    stage.play("list b1 draining\nc1 ask\nb0 taken\nlist b1 running\nb0 full")
    assert gate.reached.wait(BOUND)
    leave(stage, "c1", end)
    gate.open.set()
    stage.play("wait downstream_left 1\nb1 idle")


@ENDS
def test_a_client_that_leaves_while_its_request_waits_for_a_probe_is_not_sent_on(end: str) -> None:
    stage = Stage(probes=True)
    stage.play("c1 send OPEN 7 8 c=feed,d=1500\nb0 expect STATS")
    leave(stage, "c1", end)
    stage.play("b0 send PONG x0=0.3\nwait probes_served 1\nwait downstream_left 1\nb0 idle")


@pytest.mark.parametrize("wire", ["lines", "nats"])
@ENDS
def test_a_client_that_leaves_while_its_host_is_silent_ends_the_attempt_at_once(wire: str, end: str) -> None:
    stage = Stage(wire)
    stage.play("c1 ask\nb0 taken")
    left = time.monotonic()
    leave(stage, "c1", end)
    stage.play("b0 ends\nwait downstream_left 1")
    assert time.monotonic() - left < 0.5 and stage.counters.get("answered_refused") == 0


def test_a_request_whose_client_left_before_it_was_read_is_not_sent_on() -> None:
    stage, gate = Stage(), Gate()
    assert stage.front.listener is not None
    stage.front.listener._serve = gate.around(stage.front.listener._serve)
    stage.play("c1 send OPEN 7 8 c=feed,d=1500")
    assert gate.reached.wait(BOUND)  # it is accepted, and nothing of it is read yet
    stage.step("c1 close")
    gate.open.set()
    stage.play("wait downstream_left 1\nb0 idle")
    assert stage.counters.get("upstream_requests") == 0


def test_dial_tells_the_end_of_whoever_waits_from_the_hosts() -> None:
    server, fillers = unreachable()
    ours, theirs = socket.socketpair()
    theirs.close()
    with pytest.raises(InterruptedError):
        sockets.dial(server.getsockname(), timedelta(seconds=2), ours)
    with pytest.raises(TimeoutError):
        sockets.dial(server.getsockname(), timedelta(milliseconds=20))
    for sock in (server, ours, *fillers):
        sock.close()
