"""Many processes of the program while discovery fails them: whatever it does, a change holds at all of them in time.

A change counts as told 6 s after discovery had it and could be reached, and the drain's grace later nothing may be sent
to a host that leaves. Here 20 processes, each asked to place connections all the time, and hosts that count what comes.
"""

from __future__ import annotations

import json
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from bramblestile.lab.stage import PORT, SETTINGS, Stage
from vanegw.asking import TOLD_US

PROCESSES = 20
GRACE = 1.0  # seconds; SETTINGS has it
READY = 10.0  # seconds in which nine in ten restarted processes are to be ready
BUSY_MACHINE = 0.3  # seconds beyond a bound that belong to the machine


class Server:
    """A thread for each connection; ended with the test."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = self.sock.getsockname()
        self.open: set[socket.socket] = set()
        self.lock = threading.Condition()
        self._begin()

    def _begin(self) -> None:
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()

    def _accept(self, listening: socket.socket) -> None:
        while True:
            try:
                sock = listening.accept()[0]
            except OSError:
                return
            with self.lock:
                self.open.add(sock)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with suppress(OSError, ValueError), sock, sock.makefile("rb") as lines:
            self.serve(sock, lines)
        with self.lock:
            self.open.discard(sock)

    def serve(self, sock: socket.socket, lines: Any) -> None:
        raise NotImplementedError

    def close(self) -> None:
        with self.lock:
            held = list(self.open)
        for sock in (self.sock, *held):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class ImageServer(Server):
    """Takes every connection and answers its lines."""

    def __init__(self) -> None:
        super().__init__()
        self.taken: list[float] = []

    def serve(self, sock: socket.socket, lines: Any) -> None:
        for line in lines:
            if line.startswith(b"OPEN"):
                self.taken.append(time.monotonic())
                sock.sendall(b"UP r\r\n")
            elif line.startswith(b"STATS"):
                sock.sendall(b"PONG x0=0.1,latency_ms=1,queue=0\r\n")
        sock.sendall(b"BYE\r\n")


class Discovery(Server):
    """The list of the platform, served in turn. ``fall_silent``: the connections that are open by then are never
    answered, new ones are. ``refuse``: 503 for all calls."""

    def __init__(self, rows: list[dict[str, Any]], per_s: float = 200.0) -> None:
        self.rows, self.version, self.refuse, self.per_s = rows, 1, False, per_s
        self.silent: set[socket.socket] = set()
        self.calls = 0
        self._turn = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket, lines: Any) -> None:
        while line := lines.readline():
            asked = parse_qs(urlsplit(line.split(b" ")[1].decode()).query)
            while lines.readline().strip():
                pass
            until = time.monotonic() + int(asked.get("timeout_ms", ["0"])[0]) / 1000
            with self.lock:
                self.calls += 1
                while ("since" in asked and self.version <= int(asked["since"][0]) and not self.refuse
                       and sock in self.open and (left := until - time.monotonic()) > 0):
                    self.lock.wait(left)
                if sock in self.silent:
                    self.lock.wait_for(lambda: sock not in self.open, 60)
                    return
                whole = {"seq": self.version, "whole": True, "hosts": self.rows}
            with self._turn:
                time.sleep(1 / self.per_s)
            body = b"" if self.refuse else json.dumps(whole).encode()
            status = b"503 Service Unavailable" if self.refuse else b"200 OK"
            sock.sendall(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def change(self, host: int, health: str) -> None:
        with self.lock:
            self.version += 1
            self.rows = [row | ({"health": health} if n == host else {}) for n, row in enumerate(self.rows)]
            self.lock.notify_all()

    def fall_silent(self) -> None:
        with self.lock:
            self.silent = set(self.open)

    def break_all(self) -> None:
        with self.lock:
            held = list(self.open)
            self.open.clear()
            self.lock.notify_all()
        for sock in held:
            sock.shutdown(socket.SHUT_RDWR)

    def go_down(self) -> None:
        self.close()

    def come_back(self) -> None:
        self.sock = socket.create_server(self.address, backlog=512)
        self._begin()


class Fleet:
    def __init__(self, folder: Path, processes: int, down: bool = False, per_s: float = 200.0) -> None:
        self.hosts = [ImageServer(), ImageServer()]
        rows = [{"host": f"s-{n}", "dial": "{}:{}".format(*host.address), "site": "hall-0", "class": "m", "block": 1,
                 "health": "in_service", "share": 1.0, "born_ms": 0} for n, host in enumerate(self.hosts)]
        self.discovery = Discovery(rows, per_s)
        if down:
            self.discovery.go_down()
        self.stage = Stage(folder, processes, halls=1, more={"discovery": "{}:{}".format(*self.discovery.address)},
                           hosts=rows, settings=SETTINGS | {
                               "balancers": processes, "domain": {"tenant_quota_connections": [100_000.0]}})
        self.asked = 0

    def close(self) -> None:
        self.stage.stop()
        for server in (self.discovery, *self.hosts):
            server.close()

    def ask(self, name: str) -> str:
        """One connection, placed and ended."""
        self.asked += 1
        with socket.create_connection(self.stage.address(name, 0, PORT), 3) as sock:
            sock.settimeout(3)
            sock.sendall(f"OPEN {self.asked:016x}{name} 7f c=preview,t=vestland,d=1500\r\n".encode())
            return sock.recv(100).decode().split()[0]

    def ask_all(self, times: int = 1) -> list[str]:
        with ThreadPoolExecutor(8) as pool:
            return list(pool.map(self.ask, self.stage.names * times))

    def ready_after(self, names: list[str], since: float, within: float) -> list[float]:
        """When each of these said PONG, in seconds; those that did not are not told."""
        def one(name: str) -> float | None:
            while time.monotonic() - since < within:
                try:
                    with socket.create_connection(self.stage.address(name, 0, PORT), 1) as sock:
                        sock.settimeout(1)
                        sock.sendall(b"PING\r\n")
                        if sock.recv(100) == b"PONG\r\n":
                            return time.monotonic() - since
                except OSError:
                    pass
                select.select([], [], [], 0.02)
            return None

        with ThreadPoolExecutor(len(names)) as pool:
            return [took for took in pool.map(one, names) if took is not None]


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Callable[..., Fleet]]:
    made: list[Fleet] = []

    def make(processes: int = PROCESSES, **more: Any) -> Fleet:
        made.append(Fleet(tmp_path / f"stage{len(made)}", processes, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.mark.parametrize("fault", ["silent", "reset", "refuses", "down"])
def test_a_drain_holds_at_every_process_in_time_whatever_discovery_does(
        fleet: Callable[..., Fleet], fault: str) -> None:
    """Seen: calls held for 8 s and given up 2 s later: for ten seconds and more a host that had been announced as
    leaving was sent requests."""
    many = fleet()
    many.stage.start()
    assert len(many.ready_after(many.stage.names, time.monotonic(), READY)) == PROCESSES
    deadline = time.monotonic() + READY
    while many.discovery.calls < PROCESSES:
        assert time.monotonic() < deadline, "they watch"
        time.sleep(0.01)
    assert set(many.ask_all(2)) == {"UP"} and all(host.taken for host in many.hosts)
    discovery = many.discovery
    if fault == "silent":
        discovery.fall_silent()
    elif fault == "reset":
        discovery.break_all()
    elif fault == "refuses":
        discovery.refuse = True
        discovery.break_all()
    else:
        discovery.go_down()
    discovery.change(0, "terminating")
    if fault in ("refuses", "down"):
        many.ask_all()
        time.sleep(2.0)  # so long it is away
    if fault == "refuses":
        discovery.refuse = False
    elif fault == "down":
        discovery.come_back()
    reached = time.monotonic()
    told = reached + TOLD_US / 1e6 + GRACE + BUSY_MACHINE
    while time.monotonic() < told:
        many.ask_all()
    before = len(many.hosts[0].taken)
    assert set(many.ask_all(5)) == {"UP"}  # the other host takes them
    late = [round(at - reached, 2) for at in many.hosts[0].taken[before:]]
    assert not late, f"sent so long after discovery could be reached: {late}"


def test_processes_that_start_together_are_ready_while_discovery_is_down(fleet: Callable[..., Fleet]) -> None:
    """They know the list of before: neither do they wait for one that may not come, nor are they lost when it does."""
    many = fleet(30, down=True)
    since = time.monotonic()
    many.stage.start()
    took = many.ready_after(many.stage.names, since, READY)
    assert len(took) >= 0.9 * 30
    assert set(many.ask_all()) == {"UP"}
    many.discovery.change(0, "terminating")
    many.discovery.come_back()
    back = time.monotonic()
    time.sleep(TOLD_US / 1e6 + GRACE + BUSY_MACHINE)
    before = len(many.hosts[0].taken)
    assert set(many.ask_all(5)) == {"UP"} and len(many.hosts[0].taken) == before
    assert time.monotonic() - back < 30


def test_seven_in_ten_are_killed_and_back_while_discovery_is_slow(fleet: Callable[..., Fleet]) -> None:
    many = fleet(per_s=10.0)
    many.stage.start()
    assert len(many.ready_after(many.stage.names, time.monotonic(), READY)) == PROCESSES
    killed = many.stage.names[: PROCESSES * 7 // 10]
    for name in killed:
        many.stage.programs[name].kill()
    since = time.monotonic()
    many.stage.start(killed)
    took = many.ready_after(killed, since, READY)
    assert len(took) >= 0.9 * len(killed)
    assert set(many.ask_all()) == {"UP"}
