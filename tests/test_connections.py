"""Established connections, their delays and silence, without a front."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from datetime import timedelta

import pytest

from bramblestile.memory import connections
from bramblestile.memory.connections import Connections, DelayMonitor, MessageKind, MessageRun, ProxiedConnection
from bramblestile.wire import lines


class RecordingObserver:
    """Records the hosts that were reported as draining."""

    def __init__(self) -> None:
        self.drained: list[str] = []

    def on_load(self, connection: ProxiedConnection, value: float) -> None: ...

    def on_delay(self, connection: ProxiedConnection, delay: timedelta) -> None: ...

    def on_host_draining(self, connection: ProxiedConnection) -> None:
        self.drained.append(connection.host)


@pytest.mark.parametrize(("ended", "drains"), [("", ["a"]), ("moved", []), ("rejected", []), ("downstream_ended", [])])
def test_move_from_a_host_means_that_it_drains_unless_its_client_side_had_ended(ended: str, drains: list[str]) -> None:
    """A host answers the end of a moved connection with MOVE.

    When that was read before the connection's end here, the host was taken out of service for good: after a balancer
    was drained, two of five hosts, the large ones, got no new connections.
    """
    with socket.socket() as down, socket.socket() as up:
        connection = lines.connection("1", "a", down, up, b"", b"")
        if ended:
            setattr(connection, ended, True)
        observer = RecordingObserver()
        connection._handle_messages([MessageRun(MessageKind.SENT_AWAY)], observer)
        assert observer.drained == drains


def test_move_does_not_wait_for_a_blocked_writer_which_sends_the_move_message_itself() -> None:
    """A few slow readers must not delay the moves of a stop or a drain by half a second each."""
    down, client = socket.socketpair()
    up, host = socket.socketpair()
    with down, client, up, host:
        connection = lines.connection("1", "a", down, up, b"", b"UP r\r\n")
        with connection.write_lock:  # held by a writer that waits for the reader
            began = time.monotonic()
            assert connection.move(timedelta(milliseconds=10)) and time.monotonic() - began < 0.4
            assert connection.move_requested and not connection.moved
        host.sendall(b"a line\r\n")
        connection.forward(RecordingObserver())
        assert client.recv(100) == b"UP r\r\nMOVE\r\n" and connection.moved


MS = timedelta(milliseconds=1)


class Clock:
    """The clock of the connections, advanced by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.at = timedelta(hours=1)
        monkeypatch.setattr(connections, "now", lambda: self.at)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


@pytest.fixture
def three() -> Iterator[list[ProxiedConnection]]:
    """Three connections to the host "a"."""
    with socket.socket() as down, socket.socket() as up:
        yield [lines.connection(str(number), "a", down, up, b"", b"") for number in range(3)]


class RecordedDelays:
    """A delay monitor with a threshold of 20 ms, and the delays that it reports, in ms."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.values: list[float] = []
        self.monitor = DelayMonitor(20 * MS, lambda connection, delay: self.values.append(delay / MS))

    def respond(self, connection: ProxiedConnection, after: float, took: float) -> None:
        """Record a response ``after`` ms from now that took ``took`` ms."""
        self.clock.at += after * MS
        self.monitor.record(connection, took * MS)


def test_single_late_response_is_no_delay_of_its_host(clock: Clock, three: list[ProxiedConnection]) -> None:
    """A silent connection once resumed and responded 6 s late, and its host, at 8 ms, lost all its connections."""
    delays = RecordedDelays(clock)
    silent, healthy, _ = three
    delays.respond(healthy, 0, 1)
    for _ in range(3):
        delays.respond(healthy, 2000, 2)
    delays.respond(silent, 100, 6000)  # its query was sent before the other three
    assert delays.values == []
    delays.respond(silent, 2000, 500)  # no response has come since this query was sent
    assert delays.values == [499]
    delays.respond(healthy, 1500, 1)
    assert delays.values == [499, 0]  # reported once more when it is back under the threshold


def test_host_whose_responses_are_all_late_is_slow(clock: Clock, three: list[ProxiedConnection]) -> None:
    delays = RecordedDelays(clock)
    for turn in range(6):
        delays.respond(three[turn % 3], 700, 1 if turn == 0 else 300)
    assert delays.values == [299, 299, 299]  # once a second


class RecordedSilence:
    """What the watch reports of one host's connections: the ids of the silent ones, and the host's silence in ms."""

    def __init__(self) -> None:
        self.silent: list[str] = []
        self.host_silence: list[float] = []
        self.connections = Connections(
            lambda connection, _: self.silent.append(connection.id),
            lambda _, silence: self.host_silence.append(silence / MS),
        )

    def check(self, held: list[ProxiedConnection]) -> tuple[list[str], list[float]]:
        """Check one host's connections and return what was reported."""
        self.silent.clear()
        self.host_silence.clear()
        self.connections._check_host(held)
        return self.silent, self.host_silence


def test_one_silent_connection_of_several_does_not_make_its_host_silent(
    clock: Clock, three: list[ProxiedConnection]
) -> None:
    """A host at a third of its load once lost all its connections.

    One of three had fallen silent, and the other two had sent no query for a second.
    """
    recorded = RecordedSilence()
    three[0].pending_queries.append(clock.at)
    three[1].last_response = three[2].last_response = clock.at
    clock.at += 2200 * MS
    assert recorded.check(three) == (["0"], [])
    clock.at += 800 * MS
    assert recorded.check(three) == (["0"], [1000])  # by now the others would have sent a query and got a response
    clock.at -= 1800 * MS
    three[1].pending_queries.append(clock.at)  # the host is dead: the next connection with a query is silent too
    clock.at += 300 * MS
    assert recorded.check(three) == (["0", "1"], [1500])
    three[2].last_response = clock.at  # the host is alive: another connection has got a response
    clock.at += 100 * MS
    assert recorded.check(three) == (["0", "1"], [])


def test_only_connection_of_a_host_stands_for_the_host(clock: Clock, three: list[ProxiedConnection]) -> None:
    recorded = RecordedSilence()
    three[0].pending_queries.append(clock.at)
    clock.at += 1200 * MS
    assert recorded.check(three[:1]) == (["0"], [1200])
