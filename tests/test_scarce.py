"""Neither a thread nor a descriptor to be had: whoever was let in gets an answer, and discovery is reached."""

from __future__ import annotations

import errno
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import pytest

from bramblestile import sockets, threads
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.memory.descriptors import Descriptors
from tests.load import SETTINGS
from tests.scenario import WIRES, Peer, Stage
from vanegw import interface as api

BOTH = pytest.mark.parametrize("wire", WIRES)
Scarce = Callable[[str], threading.Event]


@pytest.fixture
def scarce(monkeypatch: pytest.MonkeyPatch) -> Scarce:
    """From now on no thread of such a name starts, until the event is set."""
    start = threading.Thread.start

    def without(name: str) -> threading.Event:
        again = threading.Event()

        def limited(self: threading.Thread) -> None:
            if self.name.startswith(name) and not again.is_set():
                raise RuntimeError("can't start new thread")
            start(self)

        monkeypatch.setattr(threading.Thread, "start", limited)
        return again

    return without


@BOTH
def test_where_no_thread_is_to_be_had_a_client_is_told_to_come_again(wire: str, scarce: Scarce) -> None:
    """Seen by reading: it was closed unanswered."""
    stage = Stage(wire)
    again = scarce(stage.wire)
    word = "BUSY" if stage.wire == "lines" else "-ERR 'maximum connections exceeded'"
    stage.play(f"c1 connect\nc1 expect {word}\nc1 ends\nwait no_thread 1")
    assert not stage.front.lobby._held and stage.front.descriptors._held == 0
    again.set()
    stage.play("c2 ask\nb0 taken\nb0 up\nc2 served")


def test_who_is_turned_away_gets_its_answer_whatever_it_has_sent(scarce: Scarce) -> None:
    """A close over what lies unread would be a reset, and our word might go with it."""
    stage = Stage()
    scarce("lines")
    stage.play("".join(f"c{n} raw OPEN {n} 8 c=feed,d=1500\\r\\n{'x' * 2000}\n" for n in range(30)))
    stage.play("".join(f"c{n} expect BUSY\n" for n in range(30)))


@BOTH
@pytest.mark.parametrize(("ask", "answer"), [("ask", "refused"), ("ask-once", "failed")])
def test_a_connection_that_cannot_be_carried_has_not_come_up(wire: str, ask: str, answer: str, scarce: Scarce) -> None:
    """Seen by reading: its host had taken it, and both sides were closed without a word."""
    stage = Stage(wire)
    scarce("up ")
    up = "UP r1" if stage.wire == "lines" else "PONG"
    stage.play(f"c1 {ask}\nb0 taken\nb0 send {up}\nc1 {answer}\nwait no_thread 1\nwait upstream_cut 1")
    assert stage.counters.get("answered_served") == 0 and not stage.front.connections.all()


def test_where_no_thread_looks_again_at_a_host_that_drains_its_client_is_answered(scarce: Scarce) -> None:
    """Seen by reading: the error ended the request's thread, and the host was never looked at again."""
    stage = Stage("nats")
    again = scarce("ldm ")
    stage.play('c1 ask\nb0 send INFO {"ldm":true}\nc1 refused\nwait no_thread 1')
    again.set()
    stage.front.host_drains("b0")
    stage.play("b0 accept\nb0 send INFO {}")
    host = stage.front.cluster.find
    stage.until(lambda: (seen := host("b0")) is not None and seen.state is api.State.RUNNING, "it is back")
    stage.play("c2 ask\nb0 accept\nb0 taken\nb0 up\nc2 served")


def test_where_no_thread_asks_for_the_load_requests_are_placed_without_it(scarce: Scarce) -> None:
    """Seen by reading: the error ended the timers' thread, and no host was ever asked again."""
    stage = Stage(probes=True)
    again = scarce("b0")
    stage.play("c1 ask\nb0 taken\nb0 up\nc1 served\nwait no_thread 1")
    again.set()
    stage.play("c2 ask\nb0 accept\nb0 expect STATS\nb0 send PONG x0=0.2\nb0 accept\nb0 taken\nb0 up\nc2 served")
    assert stage.front.decisions.figures()["b0"] == (0.2, False)  # and it was not masked for what we lacked


@BOTH
@pytest.mark.parametrize("error", [errno.EMFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS])
def test_what_we_lack_for_a_dial_says_nothing_of_the_host(
        wire: str, error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen by reading: a process out of descriptors masked hosts that were well."""
    stage, connect = Stage(wire, try_limit=2), sockets._connect

    def lacks(*_: object) -> None:
        raise OSError(error, "nothing left")

    monkeypatch.setattr(sockets, "_connect", lacks)
    stage.play("c1 ask-once\nc1 refused\nwait upstream_not_sent 2")
    monkeypatch.setattr(sockets, "_connect", connect)
    assert stage.front.decisions.figures()["b0"][1] is False
    stage.play("c2 ask\nb0 taken\nb0 up\nc2 served")


def test_a_fault_in_an_action_does_not_end_the_timers_thread() -> None:
    stage = Stage(hosts=1)
    decisions, told = stage.front.decisions, threading.Event()
    faults = [True]

    def fails() -> None:
        if faults:
            faults.pop()
            raise RuntimeError("a fault of ours")
        told.set()

    decisions.on_subscribe = fails
    for _ in range(2):
        decisions.tell(api.BackendList(api.ListMode.UNAVAILABLE))
    assert told.wait(5) and stage.counters.get("faults") == 1


def test_a_turn_that_fails_costs_no_more_than_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    counters, turns = Counters(), [0]

    def turn() -> bool:
        turns[0] += 1
        if turns[0] in (1, 3):
            raise ValueError("broken")
        return turns[0] < 5

    monkeypatch.setattr(threads, "PAUSE", timedelta(0))
    threads.forever(turn, counters, Log())
    assert turns == [5] and counters.get("faults") == 2


def test_descriptors_are_counted_and_some_are_kept_back() -> None:
    few, many = Descriptors(64), Descriptors(1000)
    assert few.take(48) and not few.take(1)
    few.give_back(2)
    assert few.take(2) and many.take(960) and not many.take(1)
    many.limit(1100)
    assert many.take(100) and not many.take(1)


@BOTH
def test_clients_that_stand_leave_descriptors_for_who_is_let_in_and_for_discovery(wire: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        stage = Stage(wire, sockets=64, discovery=discovery)  # 48, two for each
        for n in range(24):  # a host that leaves a client's words unanswered for a second loses all, as it may
            stage.play(f"c{n} ask\nb0 accept\nb0 taken\nb0 up\nc{n} served\nb0 says\nc{n} hears")
        word = "BUSY" if stage.wire == "lines" else "-ERR 'maximum connections exceeded'"
        stage.play(f"c24 connect\nc24 expect {word}\nc24 ends\nwait no_descriptors 1")
        stage.play("d connect\nd reset\nd expect GET *\nc23 close\nb0 ends")
        stage.until(lambda: stage.front.descriptors._held == 46, "one has gone and has given back what it held")
        stage.play("c25 ask\nb0 accept\nb0 taken\nb0 up\nc25 served")


def test_idle_clients_fill_the_descriptors_of_a_process_while_discovery_is_down(tmp_path: Path) -> None:
    """The whole program with 64 descriptors. Silent ones, half lines and connections that stand come until nobody more
    is let in; then discovery is back, is asked, and its news hold: nothing goes to the host that has gone."""
    host = socket.create_server(("127.0.0.1", 0))
    free = socket.create_server(("127.0.0.1", 0))
    listen, discovery = free.getsockname(), ("127.0.0.1", 0)
    free.close()
    down = socket.create_server(discovery)
    discovery = down.getsockname()
    down.close()
    path = tmp_path / "config.json"
    entry = {"host": "a", "dial": "{}:{}".format(*host.getsockname()), "health": "in_service"}
    path.write_text(json.dumps({
        "listen": "{}:{}".format(*listen), "discovery": "{}:{}".format(*discovery),
        "settings": SETTINGS | {"limits": SETTINGS["limits"] | {"probes": False}},
        "known": {"seq": 1, "hosts": [entry]}}))
    peers: list[Peer] = []

    def connect() -> Peer:
        while True:
            try:
                peers.append(Peer(socket.create_connection(listen)))
                return peers[-1]
            except ConnectionRefusedError:
                assert program.poll() is None

    def limited() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    with subprocess.Popen([sys.executable, "-m", "bramblestile"], stderr=subprocess.PIPE, text=True,
                          preexec_fn=limited, env=os.environ | {"EDGE_CONFIG": str(path)}) as program:
        try:
            answers = []
            for n in range(40):
                idle = connect()
                if n % 4 == 0:
                    idle.sock.sendall(b"OPEN half a li")
                one = connect()
                one.sock.sendall(f"OPEN {n} 8 c=feed,d=1500\r\n".encode())
                host.settimeout(0.3)
                try:
                    upstream = Peer(host.accept()[0])
                    peers.append(upstream)
                    upstream.sock.sendall(b"UP r\r\n")
                except TimeoutError:
                    pass
                answers.append(one.line().split()[0])
            assert set(answers) == {"UP", "BUSY"}, answers
            back = socket.create_server(discovery)
            back.settimeout(5)
            call = Peer(back.accept()[0])
            while call.line():
                pass
            body = json.dumps({"seq": 2, "whole": True, "hosts": [entry | {"health": "terminating"}]})
            call.sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            assert call.line().startswith("GET /v1/servers?since=2&")  # it has been taken
            last = connect()
            last.sock.sendall(b"OPEN last 8 c=feed,d=1500\r\n")
            assert last.line().startswith("BUSY")
            program.send_signal(signal.SIGTERM)
            assert program.stderr is not None
            counted = json.loads(program.stderr.readlines()[-1])
            assert counted.get("faults", 0) == 0 and counted.get("accept_failed", 0) == 0
            assert counted["answered_served"] == answers.count("UP")
        finally:
            program.kill()
            for peer in peers:
                peer.sock.close()
            host.close()
            back.close()
