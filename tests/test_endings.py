"""What is owed when something ends, with the crossing forced: docs/design/endings.md has a row for each path."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import pytest

from bramblestile import sockets
from bramblestile.clock import now
from bramblestile.memory import connections
from bramblestile.wire import lines, nats
from tests.scenario import BOUND, WIRES, Peer, Stage
from tests.test_leaving import Gate, unreachable
from vanegw import interface as api
from vanegw import rules

BOTH = pytest.mark.parametrize("wire", WIRES)
STANDS = "c1 ask\nb0 taken\nb0 up\nc1 served\n"


def stop_listening(stage: Stage) -> threading.Thread:
    assert stage.front.listener is not None
    stopping = threading.Thread(target=stage.front.listener.stop, daemon=True)
    stopping.start()
    return stopping


@pytest.mark.parametrize("wire", ["lines", "nats"])
def test_who_has_connected_when_the_listener_stops_is_served(wire: str) -> None:
    """Guards against a close over the backlog, which resets connections that the machine has accepted."""
    stage, gate = Stage(wire), Gate()
    make_room = stage.front.lobby.make_room
    stage.front.lobby.make_room = gate.around(make_room)  # type: ignore[method-assign]
    stage.step("c0 connect")  # the thread that accepts takes it, and is held before it takes another
    assert gate.reached.wait(BOUND)
    peers = [stage.peer(f"c{n}") for n in (1, 2)]
    if stage.wire == "lines":
        for peer in peers:
            peer.sock.sendall(b"OPEN %d 7f3a c=feed,t=acme,d=1500,g=5c\r\n" % peers.index(peer))
    stopping = stop_listening(stage)
    stage.until(lambda: stage.front.listener is not None and stage.front.listener._stopped, "stopped")
    gate.open.set()
    stopping.join(BOUND)
    up = "send UP r1"
    if stage.wire == "nats":
        stage.play("c1 ask\nc2 ask")
        up = "up"
    # two threads carry them: which of the two dials comes first is open
    stage.play(f"b0 accept\nb0 taken\nb0 {up}\nb0 accept\nb0 taken\nb0 {up}\nc1 served\nc2 served")
    with pytest.raises(ConnectionRefusedError):
        stage.step("c3 connect")


@BOTH
def test_who_is_evicted_while_its_request_comes_gets_an_answer_and_reaches_no_host(wire: str) -> None:
    """It is sent away between the last byte's arrival and the admission."""
    stage, gate = Stage(wire), Gate()
    admits = stage.front._admits
    stage.front._admits = gate.around(admits)  # type: ignore[method-assign]
    stage.step("c1 ask-once" if stage.wire == "nats" else "c1 send OPEN 7 8 c=feed,d=1500")
    assert gate.reached.wait(BOUND)
    stage.front.lobby.send_oldest_away()
    gate.open.set()
    stage.play("c1 refused\nb0 idle")


@pytest.mark.parametrize("sends", ["", "OPEN 7 8 c=feed", "OPEN 7 8 c=feed,d=1500\r\n"])
def test_bytes_that_come_as_we_end_a_resting_connection_reach_no_host(
        sends: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that is read after our last word and sent on would be lost."""
    stage, gate = Stage(), Gate()
    monkeypatch.setattr(sockets, "close", gate.around(sockets.close))
    stage.play("c1 send frob\nc1 expect ERR")
    assert gate.reached.wait(BOUND)
    if sends:
        stage.peers["c1"].sock.sendall(sends.encode())
    gate.open.set()
    stage.play("c1 ends\nb0 idle")
    assert stage.counters.get("requests") == 0


@BOTH
def test_a_move_and_the_hosts_own_end_meet_and_the_client_hears_one_farewell(wire: str) -> None:
    """Its end is read while the move waits for the lock, which the writer of its last line still has."""
    stage = Stage(wire)
    stage.play(STANDS)
    (connection,) = stage.front.connections.all()
    with connection.lock:
        mover = threading.Thread(target=connection.move, daemon=True)
        mover.start()
        stage.play("b0 says\nb0 close")
    mover.join(BOUND)
    stage.until(lambda: not stage.front.connections.all(), "it is over")
    while stage.peers["c1"].more():
        pass
    rest = stage.peers["c1"].read
    assert rest.count(connection.farewell) == connection.moved <= 1


@pytest.mark.parametrize("wire", ["nats", "nats+tls"])
def test_a_move_meets_a_messages_end_that_is_read_and_not_yet_passed_on(wire: str) -> None:
    """Guards against a farewell inside a payload, where the client takes it for the payload's bytes."""
    stage, gate = Stage(wire), Gate()
    stage.play(STANDS + "b0 raw MSG a 1 4\\r\\n12\nc1 expectraw MSG a 1 4\\r\\n12")
    (connection,) = stage.front.connections.all()
    connection.from_upstream.feed = gate.around(  # type: ignore[method-assign]
        connection.from_upstream.feed, after=True)
    stage.step("b0 raw 34\\r\\n")
    assert gate.reached.wait(BOUND)
    assert connection.move()
    gate.open.set()
    stage.play("c1 expectraw 34\\r\\n\nc1 moved\nb0 ends")


@pytest.mark.parametrize("wire", ["nats", "nats+tls"])
@pytest.mark.parametrize("why", ["it drains", "it is mute"])
def test_a_move_meets_a_message_that_never_ends(wire: str, why: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a client that waits for good on a host which fell silent inside a payload: there no farewell can
    be read, so both sides end without one."""
    monkeypatch.setattr(rules, "MUTE_MS", 300.0)
    monkeypatch.setattr(connections, "STALLED", timedelta(milliseconds=300))
    stage = Stage(wire)
    stage.play(STANDS + "b0 raw MSG a 1 4\\r\\n12\nc1 expectraw MSG a 1 4\\r\\n12")
    stage.play("list b0 draining" if why == "it drains" else "c1 send PING\nb0 expect PING")
    stage.play("c1 ends\nb0 ends\nwait moved 1")


@BOTH
def test_a_move_and_the_clients_own_end_meet_and_nobody_is_held(wire: str) -> None:
    stage = Stage(wire)
    stage.play(STANDS)
    (connection,) = stage.front.connections.all()
    with connection.lock:
        stage.step("c1 close")
        stage.until(lambda: connection.left or connection.reset_down, "its end was read")
    connection.move()
    stage.play("b0 ends")
    stage.until(lambda: not stage.front.connections.all(), "it is over")


@pytest.mark.parametrize("wire", ["lines", "nats"])
@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_drain_told_while_we_dial_sends_the_request_elsewhere(wire: str, state: str) -> None:
    stage, gate = Stage(wire, hosts=2, try_limit=2), Gate()
    dial = stage.front.context.dial
    stage.front.context.dial = gate.around(dial, after=True)
    stage.play("list b1 draining\nc1 ask\nb0 connect")
    assert gate.reached.wait(BOUND)
    stage.play(f"list b0 {state}\nlist b1 running")
    gate.open.set()
    if stage.wire == "nats":
        stage.step("b0 hello")
    stage.play("b0 ends\nb1 taken\nb1 up\nc1 served")


@pytest.mark.parametrize("wire", ["lines", "nats"])
@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_drain_told_between_choice_and_dial_sends_nothing_there(wire: str, state: str) -> None:
    stage, gate = Stage(wire, hosts=2, try_limit=2), Gate()
    find = stage.front.cluster.find
    stage.front.cluster.find = gate.around(find)  # type: ignore[method-assign]
    b1 = stage.front.config.known[1]
    stage.front.decisions.list(api.ListMode.CHANGES, (replace(b1, state=api.State.DRAINING),))
    stage.step("c1 ask")
    assert gate.reached.wait(BOUND)
    b0 = replace(stage.front.config.known[0], state=api.State(state))
    stage.front.decisions.list(api.ListMode.CHANGES, (b0, b1))
    gate.open.set()
    stage.play("b1 taken\nb1 up\nc1 served\nb0 idle")


@BOTH
@pytest.mark.parametrize("answer", ["half", "reset", "hang"])
def test_a_host_that_dies_or_hangs_mid_answer_costs_its_attempt(wire: str, answer: str) -> None:
    stage = Stage(wire, hosts=2, try_limit=2)
    half = "UP r" if stage.wire == "lines" else "PO"
    stage.play(f"list b1 draining\nc1 ask\nb0 taken\nlist b1 running\nb0 raw {half}")
    if answer != "hang":
        stage.step("b0 close" if answer == "half" else "b0 reset")
    stage.play("b1 taken\nb1 up\nc1 served")
    if answer == "hang":
        stage.play("b0 ends\nwait upstream_timed_out 1")


@pytest.mark.parametrize("more", ["UP r2\\r\\n", "ERR\\r\\n", "BUSY\\r\\n", "x" * 20_000])
def test_a_second_or_never_ending_answer_is_no_second_answer_of_ours(more: str) -> None:
    """What follows the first line belongs to the connection; what is no line never ends the request by itself."""
    stage = Stage()
    stage.play(f"c1 ask\nb0 taken\nb0 raw UP r1\\r\\n{more}\\r\\n\nc1 served\nb0 expect early")
    stage.play(f"c1 expectraw {more}\\r\\n\nc1 says\nb0 hears")
    assert stage.counters.get("answered_served") == 1 and stage.counters.get("requests") == 1


@pytest.mark.parametrize("wire", ["nats", "nats+tls"])
def test_a_host_that_breaks_as_we_answer_its_ping_costs_its_attempt(wire: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a thread that ends with its client unanswered: the write fails, not the read after it."""
    stage, gate, write = Stage(wire), Gate(), sockets.write

    def held(sock: sockets.Side, parts: list[bytes]) -> None:
        if parts == [nats.PONG]:
            gate.wait()
        write(sock, parts)

    monkeypatch.setattr(sockets, "write", held)
    stage.play("c1 ask\nb0 taken\nb0 send PING")
    assert gate.reached.wait(BOUND)
    stage.step("b0 reset")
    gate.open.set()
    stage.play("c1 refused\nwait upstream_cut 1")
    assert stage.counters.get("faults") == 0


@pytest.mark.parametrize("ask", ["lines", "nats", "bound"])
@pytest.mark.parametrize("fault", [UnicodeError("a fault of ours"), OSError("one that nobody caught")])
def test_a_fault_of_ours_in_an_attempt_costs_the_attempt_and_never_the_answer(
        ask: str, fault: Exception, monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen: a name that no resolver takes was no OSError, and the client's connection closed unanswered."""
    stage, asks = Stage("nats" if ask == "nats" else "lines"), []

    def breaks(*more: object) -> api.Status:
        asks.append(more)
        raise fault

    for downstream in (nats.NatsDownstream, lines.LineDownstream):
        monkeypatch.setattr(downstream, "_ask", breaks)
    stage.play("c1 send OPEN 7 8 c=feed,d=1500,at=b0\nc1 failed" if ask == "bound" else "c1 ask\nc1 refused")
    assert len(asks) == 1 and stage.counters.get("faults") == isinstance(fault, ValueError)
    stage.until(lambda: not stage.front.decisions._balancer.flights, "the module has forgotten it")


@BOTH
@pytest.mark.parametrize("of", ["from_upstream", "from_downstream"])
def test_a_fault_of_ours_in_what_passes_ends_the_connection_and_the_module_hears_of_it(wire: str, of: str) -> None:
    """Guards against a connection that the module holds for good: its tenant's share and its host's room with it."""
    stage = Stage(wire)
    stage.play(STANDS)
    (connection,) = stage.front.connections.all()

    def breaks(data: memoryview) -> tuple[int, list[object]]:
        raise UnicodeError("a fault of ours")

    getattr(connection, of).feed = breaks
    stage.play("b0 send a line" if of == "from_upstream" else "c1 send a line")
    stage.play("c1 moved\nb0 ends\nwait faults 1")
    stage.until(lambda: not stage.front.decisions._balancer.flights, "the module has forgotten it")


def test_an_answer_that_never_ends_costs_its_attempt() -> None:
    Stage().play("c1 ask\nb0 taken\nb0 raw " + "U" * 5000 + "\nc1 refused\nwait upstream_cut 1")


@pytest.mark.parametrize("stage_of", ["the host's answer", "a dial", "a probe"])
@pytest.mark.parametrize(("ask", "cls"), [("refused", "feed"), ("maybe", "once")])
def test_a_request_that_waits_when_the_process_ends_is_answered(stage_of: str, ask: str, cls: str) -> None:
    """Its client may wait longer than SIGKILL does. What has run is failed, all else refused."""
    stage = Stage(probes=stage_of == "a probe", connect_timeout_us=600_000)
    for known in stage.values["settings"]["classes"]:
        known["deadline_us"], known["objective_us"] = 20_000_000, 20_000_000
    stage.reload()
    fillers: list[socket.socket] = []
    if stage_of == "a dial":
        stage.listening["b0"].close()
        stage.listening["b0"], fillers = unreachable()
        found = stage.front.cluster.find("b0")
        assert found is not None
        stage.front.decisions.list(api.ListMode.COMPLETE, (type(found)("b0", stage.listening["b0"].getsockname()),))
    stage.step(f"c1 send OPEN 7 8 c={cls},d=20000")
    if stage_of == "a dial":
        stage.step("wait upstream_requests 1")
    else:
        stage.step("b0 expect STATS" if stage_of == "a probe" else "b0 expect OPEN*")
    began = time.monotonic()
    stage.front.decisions.close_by(now())
    stage.front.end_waits()
    stage.play("c1 failed" if cls == "once" and stage_of == "the host's answer" else "c1 refused")
    assert time.monotonic() - began < 2
    for sock in fillers:
        sock.close()


@pytest.mark.parametrize("wire", ["lines", "nats"])
@pytest.mark.parametrize("at", ["half a line", "a dial", "the host's answer", "a stand"])
def test_a_new_configuration_that_meets_a_request_changes_nothing_for_it(wire: str, at: str) -> None:
    """SIGHUP, with another discovery, which has not said anything yet, and other deadlines."""
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        stage, gate = Stage(wire, discovery=discovery), Gate()
        if at == "a dial":
            stage.front.context.dial = gate.around(stage.front.context.dial, after=True)
        first = "c1 raw OPEN 9 7f3a c=feed,t=acme," if stage.wire == "lines" else "c1 expect INFO *\nc1 raw CONN"
        rest = "c1 raw d=1500,g=5c\\r\\n" if stage.wire == "lines" else 'c1 raw ECT {"name":"coll"}\\r\\nPING\\r\\n'
        stage.play(first)
        if at != "half a line":
            stage.play(rest + "\nb0 connect")
        if at == "a dial":
            assert gate.reached.wait(BOUND)
        if at in ("the host's answer", "a stand"):
            stage.step("b0 taken")
        up = "b0 send UP r1" if stage.wire == "lines" else "b0 up"
        if at == "a stand":
            stage.play(f"{up}\nc1 served")
        for known in stage.values["settings"]["classes"]:
            known["deadline_us"] = 1_400_000
        stage.step("reload d2")
        stage.play("d2 expect GET /v1/servers HTTP/1.1")
        gate.open.set()
        if at == "half a line":
            stage.play(rest)
        if at in ("half a line", "a dial"):
            stage.step("b0 taken")
        if at != "a stand":
            stage.play(f"{up}\nc1 served")
        stage.play("c1 says\nb0 hears")


@BOTH
@pytest.mark.parametrize("word", ["connect", "raw PI"])
def test_who_is_no_request_yet_when_the_process_ends_is_told_to_come_again(wire: str, word: str) -> None:
    stage = Stage(wire)
    stage.play(f"c1 greeted\nc1 {word}")
    stage.until(lambda: len(stage.front.lobby._held) == 1, "it was taken")
    stage.front.end_waits()
    stage.play("c1 refused\nb0 idle")


def test_at_sigterm_nobody_is_left_without_an_answer(tmp_path: Path) -> None:
    """A customer whose clients wait for 5 s: SIGKILL comes 3.7 s after SIGTERM. Seen by reading: the request that its
    host had not answered was cut off by the exit, as were half lines."""
    with socket.create_server(("127.0.0.1", 0)) as host, socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
        free.close()
        known = {"seq": 1, "hosts": [{"host": "a", "dial": "{}:{}".format(*host.getsockname()),
                                      "health": "in_service"}]}
        settings = {"classes": [{"name": "feed", "objective_us": 5_000_000, "deadline_us": 5_000_000}]}
        path = tmp_path / "config.json"
        path.write_text(json.dumps({"listen": "{}:{}".format(*address), "settings": settings, "known": known}))
        with subprocess.Popen([sys.executable, "-m", "bramblestile"], stderr=subprocess.PIPE, text=True,
                              env=os.environ | {"EDGE_CONFIG": str(path)}) as program:
            try:
                def connect(words: bytes) -> Peer:
                    while True:
                        try:
                            peer = Peer(socket.create_connection(address))
                        except ConnectionRefusedError:
                            assert program.poll() is None
                            continue
                        peer.sock.sendall(words)
                        return peer

                standing = connect(b"OPEN 1 2 c=feed,d=5000\r\n")
                upstream = Peer(host.accept()[0])
                upstream.sock.sendall(b"UP r\r\n")
                assert standing.line() == "UP r"
                unanswered = connect(b"OPEN 2 2 c=feed,d=5000\r\n")
                silent = Peer(host.accept()[0])
                assert silent.line().startswith("OPEN 2 2")
                told = time.monotonic()
                program.send_signal(signal.SIGTERM)
                half = connect(b"OPEN 3 2 c=fe")
                assert standing.line() == "MOVE" and unanswered.line().startswith("BUSY")
                assert half.line() in ("BUSY", "ERR")
                assert program.wait(5) == 0 and time.monotonic() - told < 3 + 0.7 + 0.4  # 0.4: a busy machine
            finally:
                program.kill()
