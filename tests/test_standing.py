"""A standing connection's own parts, without a front."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from datetime import timedelta

import pytest

from bramblestile.memory import connections
from bramblestile.memory.connections import Connections, Delays, Kind, Message, Standing
from bramblestile.wire import lines


class Hears:
    def __init__(self) -> None:
        self.drained: list[str] = []

    def load(self, standing: Standing, value: float) -> None: ...

    def delay(self, standing: Standing, delay: timedelta) -> None: ...

    def drains(self, standing: Standing) -> None:
        self.drained.append(standing.host)


@pytest.mark.parametrize(("ended", "drains"), [("", ["a"]), ("moved", []), ("refused", []), ("left", [])])
def test_a_hosts_move_is_its_drain_but_not_where_we_have_moved_the_client(ended: str, drains: list[str]) -> None:
    """Seen: a host answers the end of a moved connection with MOVE. Read before our end was, it took the host out for
    good: after a balancer was drained, two of five hosts, the large ones, got nothing more."""
    with socket.socket() as down, socket.socket() as up:
        standing = lines.standing("1", "a", down, up, b"", b"")
        if ended:
            setattr(standing, ended, True)
        heard = Hears()
        standing._hear([Message(Kind.AWAY)], heard)
        assert heard.drained == drains


def test_a_message_that_does_not_pass_holds_up_no_evacuation_and_the_farewell_follows_it() -> None:
    """Guards against a few slow readers that hold up all the others of a stop or a drain, half a second each."""
    down, client = socket.socketpair()
    up, host = socket.socketpair()
    with down, client, up, host:
        standing = lines.standing("1", "a", down, up, b"", b"UP r\r\n")
        with standing.lock:  # its writer waits for the reader
            began = time.monotonic()
            assert standing.move(timedelta(milliseconds=10)) and time.monotonic() - began < 0.4
            assert standing.move_wanted and not standing.moved
        host.sendall(b"a line\r\n")
        standing.carry(Hears())
        assert client.recv(100) == b"UP r\r\nMOVE\r\n" and standing.moved


MS = timedelta(milliseconds=1)


class Clock:
    """The time by which connections go, told by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.at = timedelta(hours=1)
        monkeypatch.setattr(connections, "now", lambda: self.at)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


@pytest.fixture
def three() -> Iterator[list[Standing]]:
    with socket.socket() as down, socket.socket() as up:
        yield [lines.standing(str(number), "a", down, up, b"", b"") for number in range(3)]


class Noted:
    """Delays with a threshold of 20 ms over a way of 1 ms, and what they note, in ms."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.values: list[float] = []
        self.delays = Delays(20 * MS, lambda standing, delay: self.values.append(delay / MS))

    def answer(self, standing: Standing, after: float, took: float) -> None:
        self.clock.at += after * MS
        self.delays.seen(standing, took * MS)


def test_an_answer_that_comes_late_alone_is_no_delay_of_its_host(clock: Clock, three: list[Standing]) -> None:
    """Seen: a connection that had fallen silent and went on answered 6 s late, and its host, at 8 ms, was emptied."""
    noted = Noted(clock)
    silent, well, _ = three
    noted.answer(well, 0, 1)
    for _ in range(3):
        noted.answer(well, 2000, 2)
    noted.answer(silent, 100, 6000)  # asked before all three
    assert noted.values == []
    noted.answer(silent, 2000, 500)  # nothing has been answered since this one was asked
    assert noted.values == [499]
    noted.answer(well, 1500, 1)
    assert noted.values == [499, 0]  # once more when it is back under


def test_where_all_answers_come_late_the_host_is_slow(clock: Clock, three: list[Standing]) -> None:
    noted = Noted(clock)
    for turn in range(6):
        noted.answer(three[turn % 3], 700, 1 if turn == 0 else 300)
    assert noted.values == [299, 299, 299]  # once a second


class Looks:
    """What the watch tells of one host's connections that have asked and wait for an answer."""

    def __init__(self) -> None:
        self.silent: list[str] = []
        self.hushed: list[float] = []
        self.all = Connections(lambda one, _: self.silent.append(one.id), lambda _, hush: self.hushed.append(hush / MS))

    def look(self, held: list[Standing]) -> tuple[list[str], list[float]]:
        self.silent.clear()
        self.hushed.clear()
        self.all._look_at(held)
        return self.silent, self.hushed


def test_one_silent_connection_of_several_says_nothing_of_its_host(clock: Clock, three: list[Standing]) -> None:
    """Seen: a host at a third of its load lost all it held, as one of three connections had fallen silent and the other
    two had nothing to ask for a second."""
    looks = Looks()
    three[0].asked.append(clock.at)
    three[1].answered = three[2].answered = clock.at
    clock.at += 2200 * MS
    assert looks.look(three) == (["0"], [])
    clock.at += 800 * MS
    assert looks.look(three) == (["0"], [1000])  # by now the others too would have asked and been answered
    clock.at -= 1800 * MS
    three[1].asked.append(clock.at)  # the host is dead: the next that asks is silent too
    clock.at += 300 * MS
    assert looks.look(three) == (["0", "1"], [1500])
    three[2].answered = clock.at  # or it was not: another has heard of it
    clock.at += 100 * MS
    assert looks.look(three) == (["0", "1"], [])


def test_the_only_connection_of_a_host_stands_for_it(clock: Clock, three: list[Standing]) -> None:
    looks = Looks()
    three[0].asked.append(clock.at)
    clock.at += 1200 * MS
    assert looks.look(three[:1]) == (["0"], [1200])
