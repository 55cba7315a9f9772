"""Clients that say nothing, too much or what cannot be read get their answer or their end, on both wires, and
the usual ones do not notice them."""

from __future__ import annotations

import socket
from datetime import timedelta

import pytest

from bramblestile.memory.pending import PendingDownstreams
from bramblestile.process import front
from bramblestile.wire import nats
from tests.scenario import WIRES, Scenario

BOTH = pytest.mark.parametrize("wire", WIRES)
SERVED = "c1 ask\nb0 taken\nb0 up\nc1 served\n"
OPEN = "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\n"


@BOTH
@pytest.mark.parametrize("word", ["connect", "raw PI"])
def test_the_silent_make_room_oldest_first(wire: str, word: str) -> None:
    """Seen: hundreds that said nothing kept all descriptors for 30 s, and usual clients were not accepted."""
    stage = Scenario(wire, sockets=64)  # room for 16
    stage.run("".join(f"s{n} greeted\ns{n} {word}\n" for n in range(17)))
    stage.run("s0 refused\n" + SERVED + "s1 refused\nc1 says\nb0 hears")


@BOTH
def test_silence_ends_soon_after_the_accept(wire: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "FIRST_LINE", timedelta(milliseconds=100))
    monkeypatch.setattr(nats, "CONNECT_TIMEOUT", timedelta(milliseconds=100))
    Scenario(wire).run("c1 greeted\nc1 send PING\nc1 expect PONG\nc1 raw OP\nc1 late")


@BOTH
@pytest.mark.parametrize(
    "script",
    [
        "c1 greeted\n" + "c1 send PING\n" * 17 + "c1 expect PONG\n" * 16 + "c1 unread",
        "c1 greeted\nc1 raw " + "x" * 5000 + "\nc1 unread",
        # What still comes is read for a moment: closing over it would send RST, which may eat the answer.
        "c1 greeted\nc1 send frob 1\nc1 word\n" + "c1 raw yyy\n" * 500 + "c1 ends",
        "c1 greeted\nc1 raw half\nc1 close\n" + SERVED.replace("c1", "c2"),
    ],
)
def test_what_is_no_request_gets_an_error_and_reaches_no_host(wire: str, script: str) -> None:
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
def test_a_line_with_a_value_that_makes_no_sense_is_failed(line: str) -> None:
    """Seen: a class that does not exist was served as the first, and d=-5 was sent to a host."""
    Scenario().run(f"c1 send {line}\nc1 expect ERR\nc1 ends\nb0 idle")


@pytest.mark.parametrize("theirs", ["OPEN 7 9 c=once,d=50", "OPEN 7 9 c=feed,d=900,at=b0"])
def test_the_id_of_anothers_open_request_is_refused_and_changes_nothing_for_it(theirs: str) -> None:
    again = f"c2 send {theirs}\nc2 expect ERR\nc2 ends\n"
    stage = Scenario()
    stage.run(OPEN + again * 2 + "b0 send UP r\nc1 expect UP r\n" + again * 2 + "wait ids_in_use 4\n")
    stage.run("c1 send one\nb0 expect one\nb0 send two\nc1 expect two\nlist b0 draining\nc1 moved\nb0 ends")


def test_bad_lines_are_counted_but_hardly_logged(capsys: pytest.CaptureFixture[str]) -> None:
    Scenario().run("".join(f"c{n} send frob\nc{n} expect ERR\n" for n in range(40)) + "wait bad_first_lines 40")
    assert capsys.readouterr().err.count("not taken") <= 2


def test_out_of_descriptors_the_oldest_goes_however_young() -> None:
    ours, theirs = zip(*(socket.socketpair() for _ in range(2)), strict=True)
    lobby = PendingDownstreams(2)
    for sock in ours:
        lobby.track(sock)
    lobby.evict_oldest()
    assert ours[0].recv(1) == b"" and not lobby.remove(ours[0]) and lobby.remove(ours[1])
    for sock in ours + theirs:
        sock.close()


@BOTH
def test_a_flood_of_messages_that_nobody_answers_is_passed_on_and_not_kept(wire: str) -> None:
    stage = Scenario(wire)
    stage.run(SERVED + "c1 raw " + "PING\\r\\n" * 500 + "\n" + "b0 expect PING\n" * 500)
    (standing,) = stage.front.connections.all()
    assert 0 < len(standing.pending_queries) <= 64
