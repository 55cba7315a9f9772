"""The watch on the list against a broken, silent or spoilt discovery: on real sockets, each step forced."""

from __future__ import annotations

import json
import socket
import struct
import threading
from collections.abc import Iterator, Sequence
from datetime import timedelta
from queue import SimpleQueue

import pytest

from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.counters import Counters
from bramblestile.process import front
from bramblestile.wire.discovery import Watch
from tests.scenario import BOUND, Peer, Stage
from vanegw import asking
from vanegw.interface import ListMode

PACE = asking.Pace(hold=100_000, answer=1_000_000, first_again=0, again=0)
ENTRY = '{"host":"a","dial":"127.0.0.1:1","health":"in_service"}'


class Asked:
    """A watch that is asked again as soon as it has failed, and what it has told."""

    def __init__(self, pace: asking.Pace) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(BOUND)
        self.told: SimpleQueue[tuple[ListMode, list[str]]] = SimpleQueue()
        self.watch = Watch(self.server.getsockname(), 1, self.tell, lambda text: None, pace, Counters())
        self.watch.start()
        self.watch.ask()

    def tell(self, mode: ListMode, hosts: Sequence[UpstreamHost]) -> None:
        self.told.put((mode, [host.id for host in hosts]))
        if mode is ListMode.UNAVAILABLE:
            self.watch.ask()

    def call(self) -> Peer:
        """The next call that comes on a new connection."""
        peer = Peer(self.server.accept()[0])
        self.hold = int(peer.line().removeprefix("GET /v1/servers?since=1&timeout_ms=").split()[0])
        while peer.line():
            pass
        return peer

    def hears(self) -> tuple[ListMode, list[str]]:
        return self.told.get(timeout=BOUND)


@pytest.fixture
def asked() -> Iterator[Asked]:
    made = Asked(PACE)
    yield made
    made.watch.stop()
    made.server.close()


def answer(body: str, head: str = "") -> bytes:
    return f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def listed(seq: str = "5", entry: str = ENTRY) -> str:
    return f'{{"seq":{seq},"whole":true,"hosts":[{entry}]}}'


SPOILT = {
    "nested too deeply": answer("[" * 200_000 + "]" * 200_000),
    "a version that no integer holds": answer(listed("1e999")),
    "a version that is no number": answer(listed("NaN")),
    "a start that no integer holds": answer(listed(entry=ENTRY[:-1] + ',"born_ms":1e999}')),
    "a start that no span holds": answer(listed(entry=ENTRY[:-1] + ',"born_ms":' + "9" * 30 + "}")),
    "a block that no integer holds": answer(listed(entry=ENTRY[:-1] + ',"block":-1e999}')),
    "a share that no float holds": answer(listed(entry=ENTRY[:-1] + ',"share":' + "9" * 400 + "}")),
    "a number with thousands of digits": answer(listed("9" * 5000)),
    "a length with thousands of digits": b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
    "a status with thousands of digits": b"HTTP/1.1 " + b"2" * 5000 + b" OK\r\nContent-Length: 0\r\n\r\n",
    "a host by a name that no resolver takes": answer(listed(entry=ENTRY.replace("127.0.0.1", "a..b"))),
    "a host by a name of thousands of letters": answer(listed(entry=ENTRY.replace("127.0.0.1", "a" * 5000))),
    "a list of lists": answer('[[],{"a":1}]'),
    "a list that is null": answer("null"),
    "not the text that it should be": answer("\xff\xfe\x00"),
    "many thousands of headers": b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 50_000,
    "a header that never ends": b"HTTP/1.1 200 OK\r\nx: " + b"y" * 100_000,
    "a body larger than any list": b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
    "chunks that are none": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "chunks without end": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"100000\r\n" + b"[" * (1 << 20)
    + b"\r\n",
    "an end half way": answer(listed())[:-10],
}


@pytest.mark.parametrize("spoilt", SPOILT)
def test_a_spoilt_answer_costs_that_answer_and_never_the_watch(asked: Asked, spoilt: str) -> None:
    """Seen: a version of 1e999 ended the watch's thread, silently: no drain was ever heard of again."""
    peer = asked.call()

    def send() -> None:
        try:
            peer.sock.sendall(SPOILT[spoilt])
            peer.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # it was given up half way

    sender = threading.Thread(target=send, daemon=True)
    sender.start()
    assert asked.hears() == (ListMode.UNAVAILABLE, [])
    second = asked.call()
    second.sock.sendall(answer(listed()))
    assert asked.hears() == (ListMode.COMPLETE, ["a"])
    assert second.line().startswith("GET /v1/servers?since=5&")
    sender.join(BOUND)


def test_a_body_that_drips_for_ever_is_given_up_in_time(asked: Asked) -> None:
    peer = asked.call()
    peer.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
    gone = threading.Event()

    def drip() -> None:
        try:
            while not gone.wait(0.02):
                peer.sock.sendall(b" ")
        except OSError:
            gone.set()

    dripper = threading.Thread(target=drip, daemon=True)
    dripper.start()
    assert asked.hears() == (ListMode.UNAVAILABLE, [])
    asked.call()
    gone.set()
    dripper.join(BOUND)


@pytest.mark.parametrize("how", ["silent", "reset", "ended", "refused", "503"])
def test_whatever_ends_a_call_the_next_one_tells_what_was_missed(asked: Asked, how: str) -> None:
    peer = asked.call()
    if how == "reset":
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "503":
        peer.sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    elif how == "refused":
        address = asked.server.getsockname()
        asked.server.close()
        peer.sock.close()
        assert asked.hears() == (ListMode.UNAVAILABLE, [])
        asked.server = socket.create_server(address)
        asked.server.settimeout(BOUND)
    elif how != "silent":
        peer.sock.close()
    second = asked.call()
    assert asked.hold == (1 if how == "silent" else 100)  # opened anew at once: such a call is not held
    second.sock.sendall(answer(listed()))
    while (heard := asked.hears())[0] is ListMode.UNAVAILABLE:
        pass
    assert heard == (ListMode.COMPLETE, ["a"])


def test_a_fault_in_what_is_told_costs_no_thread_and_the_news_are_asked_for_again() -> None:
    made = Asked(PACE)
    told, fails = made.watch._tell, [True]

    def tell(mode: ListMode, hosts: Sequence[UpstreamHost]) -> None:
        if mode is ListMode.COMPLETE and fails.pop():
            raise ValueError("a fault of ours")
        told(mode, hosts)

    made.watch._tell = tell
    first = made.call()
    first.sock.sendall(answer(listed()))
    assert made.hears() == (ListMode.UNAVAILABLE, [])
    fails.append(False)
    assert first.line().startswith("GET /v1/servers?since=1&")  # what was not taken is not passed over
    first.sock.sendall(answer(listed()))
    assert made.hears() == (ListMode.COMPLETE, ["a"])
    made.watch.stop()
    made.server.close()


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_a_new_process_opens_its_watch_however_lists_come(mode: str) -> None:
    """Seen: where lists are pushed nobody asked for them, and requests went to hosts that had drained for seconds."""
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        stage = Stage(discovery=discovery, membership=mode)
        stage.play("d expect GET /v1/servers?since=1&timeout_ms=*\nd expect Host: *\nd expect ")
        gone = json.dumps({"seq": 2, "whole": True, "hosts": []})
        stage.play(f"d raw HTTP/1.1 200 OK\\r\\nContent-Length: {len(gone)}\\r\\n\\r\\n{gone}\n"
                   "d expect GET /v1/servers?since=2&*\nc1 ask\nc1 refused\nb0 idle")


def test_a_process_that_knows_no_host_says_yes_when_it_has_heard_or_may_never_hear(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """Neither a blind yes nor a wait for something that may not come."""
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        stage = Stage(discovery=discovery, hosts=0)
        ping = "c{0} send PING\nc{0} expect {1}\n"
        stage.play(ping.format(1, "BUSY"))
        body = listed("2")
        stage.play("d expect GET *\nd expect Host: *\nd expect \n"
                   f"d raw HTTP/1.1 200 OK\\r\\nContent-Length: {len(body)}\\r\\n\\r\\n{body}\nd expect GET *since=2&*")
        stage.play(ping.format(2, "PONG"))
        never = Stage(discovery=discovery, hosts=0)
        never.play(ping.format(1, "BUSY"))
        monkeypatch.setattr(front, "YES_BY", timedelta(0))
        never.play(ping.format(2, "PONG"))
    Stage().play(ping.format(1, "PONG"))  # no discovery, or hosts that are known: at once


def test_the_settings_of_a_reload_are_the_watchs_too() -> None:
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        stage = Stage(discovery=discovery)
        before = stage.front.watch
        assert before is not None
        stage.values["settings"]["rules"]["drain_grace_us"] = 500_000
        stage.reload()
        assert stage.front.watch is before
        assert before.pace == asking.pace(stage.front.config.settings)
        assert timedelta(microseconds=before.pace.hold) < timedelta(seconds=4)
