"""Clients that send nothing, too much or malformed data get an error or are disconnected, on all wires.

Other clients are not affected.
"""

from __future__ import annotations

import socket
from datetime import timedelta

import pytest

from bramblestile.memory.pending import PendingDownstreams
from bramblestile.process import front
from bramblestile.wire import nats
from tests.scenario import WIRES, Scenario

ALL_WIRES = pytest.mark.parametrize("wire", WIRES)
ESTABLISHED = "c1 ask\nb0 taken\nb0 up\nc1 served\n"
OPEN = "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\n"


@ALL_WIRES
@pytest.mark.parametrize("word", ["connect", "raw PI"])
def test_silent_clients_are_evicted_oldest_first(wire: str, word: str) -> None:
    """Hundreds of silent clients once held all descriptors for 30 s, and no other client was accepted."""
    scenario = Scenario(wire, sockets=64)  # room for 16
    scenario.run("".join(f"s{n} greeted\ns{n} {word}\n" for n in range(17)))
    scenario.run("s0 refused\n" + ESTABLISHED + "s1 refused\nc1 says\nb0 hears")


@ALL_WIRES
def test_silent_client_is_disconnected_soon_after_the_accept(wire: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "FIRST_LINE_TIMEOUT", timedelta(milliseconds=100))
    monkeypatch.setattr(nats, "CONNECT_TIMEOUT", timedelta(milliseconds=100))
    Scenario(wire).run("c1 greeted\nc1 send PING\nc1 expect PONG\nc1 raw OP\nc1 late")


@ALL_WIRES
@pytest.mark.parametrize(
    "script",
    [
        "c1 greeted\n" + "c1 send PING\n" * 17 + "c1 expect PONG\n" * 16 + "c1 unread",
        "c1 greeted\nc1 raw " + "x" * 5000 + "\nc1 unread",
        # Further input is read for a moment: closing with unread input sends RST, which may destroy the answer.
        "c1 greeted\nc1 send frob 1\nc1 word\n" + "c1 raw yyy\n" * 500 + "c1 ends",
        "c1 greeted\nc1 raw half\nc1 close\n" + ESTABLISHED.replace("c1", "c2"),
    ],
)
def test_input_that_is_no_request_gets_an_error_and_reaches_no_host(wire: str, script: str) -> None:
    Scenario(wire).run(script + "\nb0 idle")


@pytest.mark.parametrize(
    "line",
    [
        "OPEN 7 8 c=feeds,d=900",
        "OPEN 7 8 d=900",
        "OPEN  8 c=feed,d=900",
        "OPEN 7 8 c=feed",
        "OPEN 7 8 c=feed,d=",
        "OPEN 7 8 c=feed,d=-5",
        "OPEN 7 8 c=feed,d=0",
        "OPEN 7 8 c=feed,d=1_0",
        "OPEN 7 8 c=feed,d=4294967",
        "OPEN 7 8 c=feed,d=inf",
        "OPEN 7 8 c=feed,d=900,h=nan",
        "OPEN 7 8 c=feed,d=900,h=-1",
        "OPEN 7 8 c=feed,d=900,h=1e999",
        "OPEN 7 8 c=feed,d=900,g=-5",
        "OPEN 7 " + "f" * 17 + " c=feed,d=900",
    ],
)
def test_first_line_with_an_invalid_value_fails(line: str) -> None:
    """An unknown class was once served as the first one, and d=-5 was sent to a host."""
    Scenario().run(f"c1 send {line}\nc1 expect ERR\nc1 ends\nb0 idle")


@pytest.mark.parametrize("foreign", ["OPEN 7 9 c=once,d=50", "OPEN 7 9 c=feed,d=900,at=b0"])
def test_id_of_another_open_request_is_refused_and_does_not_affect_it(foreign: str) -> None:
    again = f"c2 send {foreign}\nc2 expect ERR\nc2 ends\n"
    scenario = Scenario()
    scenario.run(OPEN + again * 2 + "b0 send UP r\nc1 expect UP r\n" + again * 2 + "wait ids_in_use 4\n")
    scenario.run("c1 send one\nb0 expect one\nb0 send two\nc1 expect two\nlist b0 draining\nc1 moved\nb0 ends")


def test_malformed_lines_are_counted_and_their_log_is_rate_limited(capsys: pytest.CaptureFixture[str]) -> None:
    Scenario().run("".join(f"c{n} send frob\nc{n} expect ERR\n" for n in range(40)) + "wait bad_first_lines 40")
    assert capsys.readouterr().err.count("not taken") <= 2


def test_out_of_descriptors_the_oldest_is_evicted_whatever_its_age() -> None:
    ours, theirs = zip(*(socket.socketpair() for _ in range(2)), strict=True)
    pending = PendingDownstreams(2)
    for sock in ours:
        pending.track(sock)
    pending.evict_oldest()
    assert ours[0].recv(1) == b"" and not pending.remove(ours[0]) and pending.remove(ours[1])
    for sock in ours + theirs:
        sock.close()


@ALL_WIRES
def test_flood_of_unanswered_messages_is_forwarded_and_not_kept(wire: str) -> None:
    scenario = Scenario(wire)
    scenario.run(ESTABLISHED + "c1 raw " + "PING\\r\\n" * 500 + "\n" + "b0 expect PING\n" * 500)
    (connection,) = scenario.front.connections.all()
    assert 0 < len(connection.pending_queries) <= 64
