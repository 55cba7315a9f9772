"""A balancer process under clients that misbehave, with hosts that echo, and well-behaved clients beside them.

Used on both fronts: ``wire`` is ``lines`` or ``nats``. The clients that load the balancer with data run in a process of
their own (``python -m tests.pressure``), so that they do not slow down what the test measures.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import select
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from tests.load import DaemonProcess, free_address

ANSWER_TIMEOUT_S = 5.0  # of a well-behaved client; more than any bound of the tests
CONNECT_LINE = b'CONNECT {"verbose":false}\r\n'
READ_BYTES = 1 << 16
REFUSED = re.compile(rb"(?:BUSY|-ERR 'maximum connections exceeded, come back in) (\d+)")


def open_line(request_id: str, more: str = "") -> bytes:
    """Return the first line of a client of the platform; ``more`` holds further values, each after a comma."""
    return f"OPEN {request_id} 2 c=feed,d=1500{more}\r\n".encode()


class EchoHosts:
    """Hosts on one event loop that accept every client and return what it sends.

    NATS hosts answer PING alone.
    """

    def __init__(self, wire: str, count: int = 3) -> None:
        self.wire = wire
        self.addresses: dict[str, tuple[str, int]] = {}
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(count,), daemon=True)
        self._thread.start()
        assert self._ready.wait(10)

    def _run(self, count: int) -> None:
        self._loop.run_until_complete(self._listen(count))
        self._ready.set()
        self._loop.run_forever()

    async def _listen(self, count: int) -> None:
        for number in range(count):
            server = await self._loop.create_server(lambda: _EchoProtocol(self), "127.0.0.1", 0, backlog=1024)
            self.addresses[f"h{number}"] = server.sockets[0].getsockname()[:2]

    def entries(self) -> list[dict[str, Any]]:
        """Return the hosts' entries of the list."""
        return [
            {"host": name, "dial": "{}:{}".format(*address), "health": "in_service"}
            for name, address in self.addresses.items()
        ]

    def stop(self) -> None:
        """Stop the event loop; the connections end with the test process."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


class _EchoProtocol(asyncio.Protocol):
    """One connection of a host."""

    def __init__(self, hosts: EchoHosts) -> None:
        self._hosts = hosts
        self._is_up = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._hosts.wire == "nats":
            transport.write(b'INFO {"server_id":"h"}\r\n')

    def data_received(self, data: bytes) -> None:
        if self._hosts.wire == "nats":
            self._is_up = True
            self._transport.write(b"PONG\r\n" * data.count(b"PING\r\n"))
        elif data.startswith(b"STATS") and not self._is_up:
            self._transport.write(b"PONG x0=0.05\r\n")
        elif not self._is_up:
            self._is_up = True
            self._transport.write(b"UP r\r\n" + data.partition(b"\r\n")[2])
        else:
            self._transport.write(data)

    def pause_writing(self) -> None:
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._transport.resume_reading()

    def eof_received(self) -> None:
        if self._hosts.wire == "lines":
            self._transport.write(b"BYE\r\n")


class Waits(NamedTuple):
    """How long a well-behaved client waited, in seconds: for its answer, and for the echo of one message."""

    answer_s: float
    echo_s: float


class Pressure:
    """A balancer process and its hosts."""

    def __init__(self, folder: Path, wire: str, one_core: bool, **values: Any) -> None:
        self.wire = wire
        self.hosts = EchoHosts(wire)
        known = {"seq": 1, "hosts": self.hosts.entries()}
        nats_address = free_address()
        nats = {"listen": "{}:{}".format(*nats_address), "known": known}
        cores = os.sched_getaffinity(0)
        try:
            if one_core:  # inherited by the process, and by all threads that it starts
                os.sched_setaffinity(0, {min(cores)})
            self.daemon = DaemonProcess(folder, self.hosts, nats=nats if wire == "nats" else None, **values)
        finally:
            os.sched_setaffinity(0, cores)
        self.address = nats_address if wire == "nats" else self.daemon.address
        self._request_count = 0

    def memory_mb(self) -> float:
        """Return the largest resident memory of the process so far."""
        status = Path(f"/proc/{self.daemon.process.pid}/status").read_text()
        return next(int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmHWM:"))

    def new_id(self) -> str:
        """Return a request id that no other client of this balancer has."""
        self._request_count += 1
        return f"{os.getpid():x}-{self._request_count}"

    def connect(self) -> socket.socket:
        """Connect; on NATS read the INFO."""
        sock = socket.create_connection(self.address, timeout=ANSWER_TIMEOUT_S)
        if self.wire == "nats":
            read_line(sock)
        return sock

    def request(self, request_id: str = "", more: str = "") -> bytes:
        """Return the bytes with which a client asks for its connection."""
        return open_line(request_id or self.new_id(), more) if self.wire == "lines" else CONNECT_LINE + b"PING\r\n"

    def establish(self) -> socket.socket:
        """Connect and have the request answered, again after each refusal. Raises AssertionError if it fails."""
        end = time.monotonic() + ANSWER_TIMEOUT_S
        while True:
            sock = self.connect()
            sock.sendall(self.request())
            answer = read_line(sock)
            if answer.startswith(b"UP" if self.wire == "lines" else b"PONG"):
                return sock
            sock.close()
            retry_after = REFUSED.match(answer)
            assert retry_after is not None and time.monotonic() < end, answer
            time.sleep(int(retry_after[1]) / 1000)

    def measure(self) -> Waits:
        """Serve one well-behaved client, and return how long it waited. Raises AssertionError if it is not served."""
        began = time.monotonic()
        with self.establish() as sock:
            answered = time.monotonic()
            message = b"one\r\n" if self.wire == "lines" else b"PING\r\n"
            sock.sendall(message)
            assert read_line(sock) == message.replace(b"PING", b"PONG")
            return Waits(answered - began, time.monotonic() - answered)

    def stop(self) -> None:
        """Kill the process and stop the hosts."""
        self.daemon.kill()
        self.hosts.stop()


@contextlib.contextmanager
def pressure(folder: Path, wire: str, one_core: bool = False, **values: Any) -> Iterator[Pressure]:
    """Run a balancer that is up, and stop it at the end. ``values`` are further keys of its configuration."""
    under_test = Pressure(folder, wire, one_core, **values)
    try:
        under_test.daemon.wait_until_up(under_test.address)
        under_test.measure()
        yield under_test
    finally:
        under_test.stop()


def read_line(sock: socket.socket) -> bytes:
    """Read one line byte by byte, so that nothing after it is taken."""
    line = b""
    while not line.endswith(b"\n"):
        received = sock.recv(1)
        if not received:
            return line
        line += received
    return line


def many_short_fields(wire: str, request_id: str, limit: int = 4000) -> bytes:
    """Return a valid first line that is nearly as long as allowed, and consists of very many short fields."""
    names = (f"{number:x}" for number in range(limit))
    fields, size = [], 0
    for name in names:
        field = f",{name}=" if wire == "lines" else f',"{name}":0'
        size += len(field)
        if size > limit - 100:
            break
        fields.append(field)
    if wire == "lines":
        return open_line(request_id, "".join(fields))
    return b'CONNECT {"verbose":false' + "".join(fields).encode() + b"}\r\nPING\r\n"


def flood_payload(wire: str, kind: str, random: Random) -> bytes:
    """Return about 64 KiB of small messages: ``empty``, ``small``, ``unsound`` or under ever ``new names``."""
    messages = []
    size = 0
    while size < READ_BYTES:
        name = f"{random.getrandbits(64):x}"
        message = {
            ("lines", "empty"): "\r\n",
            ("lines", "small"): "a\r\n",
            ("lines", "unsound"): f"OPEN {name} x=\x01\r\n",
            ("lines", "new names"): f"OPEN {name} {name} c={name},t={name},d=1\r\n",
            ("nats", "empty"): "\r\n",
            ("nats", "small"): "PING\r\n",
            ("nats", "unsound"): f"FROB {name}\r\nINFO {{{name}\r\n",
            ("nats", "new names"): f"SUB {name} {name}\r\nPUB {name} 1\r\na\r\n",
        }[wire, kind]
        messages.append(message)
        size += len(message)
    return "".join(messages).encode()


def flood(wire: str, address: tuple[str, int], kind: str, seed: int, duration_s: float) -> int:
    """Send small messages on one established connection as fast as it takes them; return the number of bytes."""
    sock = socket.create_connection(address, timeout=ANSWER_TIMEOUT_S)
    if wire == "nats":
        read_line(sock)
        sock.sendall(CONNECT_LINE + b"PING\r\n")
    else:
        sock.sendall(open_line(f"flood-{seed}"))
    read_line(sock)
    random, sent, end = Random(seed), 0, time.monotonic() + duration_s
    payloads = [memoryview(flood_payload(wire, kind, random)) for _ in range(8)]
    sock.setblocking(False)
    rest = payloads[0]
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLOUT)
    while time.monotonic() < end:
        for _, events in poll.poll(100):
            if events & select.POLLIN and not sock.recv(READ_BYTES):
                return sent
            if events & select.POLLOUT:
                written = sock.send(rest)
                sent += written
                rest = rest[written:] or random.choice(payloads)
    return sent


@contextlib.contextmanager
def flooding(under_test: Pressure, kind: str, seed: int, duration_s: float) -> Iterator[subprocess.Popen[str]]:
    """Flood the balancer from another process, from the start of the block until ``duration_s`` have passed."""
    host, port = under_test.address
    arguments = [under_test.wire, host, str(port), kind, str(seed), str(duration_s)]
    process = subprocess.Popen([sys.executable, "-m", "tests.pressure", *arguments], stdout=subprocess.PIPE, text=True)
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


if __name__ == "__main__":
    wire, host, port, kind, seed, duration_s = sys.argv[1:]
    print(flood(wire, (host, int(port)), kind, int(seed), float(duration_s)))
