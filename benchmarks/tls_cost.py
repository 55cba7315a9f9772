"""What TLS to hosts costs: handshakes by key and version, CPU for bytes and lines, memory of what stands.

All on loopback in one process and one run; plain stands beside it as the baseline. CPU of each side is its thread's.
"""

from __future__ import annotations

import gc
import logging
import multiprocessing
import os
import socket
import ssl
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from datetime import timedelta
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median, quantiles

import click
from cryptography.hazmat.primitives.asymmetric import ec, rsa

from bramblestile import sockets
from bramblestile.clock import now
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.counters import Counters
from bramblestile.tls import Dialer
from bramblestile.tls.budget import Rates
from bramblestile.tls.dialer import Plan
from bramblestile.tls.trust import Files
from tests.authority import Authority

FREE = Rates(full_per_s=1e6, burst=1e6)  # what is measured is the handshake, not its budget
WITHIN = timedelta(seconds=5)
KEYS: dict[str, Callable[[], ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey]] = {
    "ECDSA P-256": lambda: ec.generate_private_key(ec.SECP256R1()),
    "RSA 2048": lambda: rsa.generate_private_key(65537, 2048),
}
VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


class Side:
    """A host in a thread of its own: takes a connection, says a line, and then what ``serve`` does. ``cpu``: its
    thread's seconds."""

    def __init__(self, context: ssl.SSLContext | None, serve: Callable[[socket.socket], None] | None = None) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.host = UpstreamHost("h0", self.listener.getsockname(), tls_name="h0.test")
        self.context, self.serve = context, serve
        self.cpu = 0.0
        self.held: list[socket.socket] = []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        with suppress(OSError):
            while True:
                sock = self.listener.accept()[0]
                with suppress(OSError):
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    if self.context is not None:
                        sock = self.context.wrap_socket(sock, server_side=True)
                    sock.sendall(b"UP\n")
                    if self.serve is None:
                        self.held.append(sock)
                    else:
                        self.serve(sock)
                        sock.close()
                self.cpu = time.thread_time()

    def close(self) -> None:
        sockets.shut_down(self.listener)
        self.listener.close()
        for sock in self.held:
            sock.close()


def one(dialer: Dialer | None, to: Side | UpstreamHost) -> sockets.Transport:
    """A connection up to the host's first line."""
    host = to.host if isinstance(to, Side) else to
    sock = sockets.dial(host.address, WITHIN) if dialer is None else dialer.dial(host, WITHIN, now() + WITHIN)
    assert sockets.LineReader(sock, 64).line(WITHIN) is not None
    if isinstance(sock, sockets.Channel):
        sock.setblocking(True)
    return sock


def _hear(sock: socket.socket) -> None:
    sock.recv(1)


def handshakes(ca: Authority, count: int) -> None:
    click.echo("handshakes, one after the other: a second, and microseconds of CPU on our side and on the host's")
    for kind, make in KEYS.items():
        for version, most in VERSIONS.items():
            for resume in (False, True):
                side = Side(ca.issue("h0.test", key=make()).server(most=most), _hear)
                counters = Counters()
                dialer = Dialer(Plan(Files(ca.file), rates=FREE, tickets=32 if resume else 0), counters)
                sockets.close(one(dialer, side))
                began, ours, theirs = time.perf_counter(), time.thread_time(), side.cpu
                for _ in range(count):
                    sockets.close(one(dialer, side))
                took, spent = time.perf_counter() - began, time.thread_time() - ours
                time.sleep(0.05)
                resumed = counters.get("tls_resumed") / count
                click.echo(
                    f"  {kind:12} TLS {version} {'resumed' if resume else 'full':8} {count / took:6.0f}/s  "
                    f"ours {spent / count * 1e6:5.0f} us, host's {(side.cpu - theirs) / count * 1e6:5.0f} us"
                    f"  ({resumed:.0%} resumed)"
                )
                side.close()


def _echo(sock: socket.socket) -> None:
    while got := sock.recv(65536):
        sock.sendall(got)


def _pour(size: int) -> Callable[[socket.socket], None]:
    def serve(sock: socket.socket) -> None:
        block = os.urandom(1 << 16)
        for _ in range(size // len(block)):
            sock.sendall(block)

    return serve


@contextmanager
def joined(ca: Authority, secured: bool, serve: Callable[[socket.socket], None]) -> Iterator[sockets.Transport]:
    side = Side(ca.issue("h0.test").server() if secured else None, serve)
    sock = one(Dialer(Plan(Files(ca.file), rates=FREE), Counters()) if secured else None, side)
    yield sock
    sockets.close(sock)
    side.close()


def carrying(ca: Authority, megabytes: int, lines: int) -> None:
    click.echo(f"carrying, our side: {megabytes} MB read in buffers of 8 KiB, and the way of a line there and back")
    for secured in (False, True, False, True):
        with joined(ca, secured, _pour(megabytes << 20)) as sock:
            buffer, got = bytearray(8192), 0
            began, wall = time.thread_time(), time.perf_counter()
            while got < megabytes << 20:
                got += sock.recv_into(buffer)
            spent, wall = time.thread_time() - began, time.perf_counter() - wall
        with joined(ca, secured, _echo) as sock:
            ways = []
            line = b"x" * 127 + b"\n"
            for _ in range(lines):
                began = time.perf_counter()
                sockets.write(sock, [line])
                have = 0
                while have < len(line):
                    have += sock.recv_into(buffer)
                ways.append((time.perf_counter() - began) * 1e6)
        name = "TLS" if secured else "plain"
        click.echo(
            f"  {name:5} {spent / megabytes * 1000:5.2f} ms of CPU a MB, {megabytes / wall:4.0f} MB/s; a line "
            f"{median(ways):4.0f} us, p99 {quantiles(ways, n=100)[98]:4.0f} us"
        )


def _resident() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1024


def _hosts_process(context: ssl.SSLContext | None, pipe: Connection) -> None:
    side = Side(context)
    pipe.send(side.host.address)
    pipe.recv()  # until the measurement is over
    side.close()


def memory(ca: Authority, counts: tuple[int, ...]) -> None:
    """The hosts' ends are in a process of their own."""
    click.echo("memory of a standing connection, our side")
    for secured in (False, True):
        for count in counts:
            ours, theirs = multiprocessing.Pipe()
            child = multiprocessing.get_context("fork").Process(
                target=_hosts_process, args=(ca.issue("h0.test").server() if secured else None, theirs), daemon=True
            )
            child.start()
            side = UpstreamHost("h0", ours.recv(), tls_name="h0.test")
            dialer = Dialer(Plan(Files(ca.file), rates=FREE), Counters()) if secured else None
            held = [one(dialer, side) for _ in range(50)]
            gc.collect()
            before = _resident()
            held += [one(dialer, side) for _ in range(count)]
            gc.collect()
            each = (_resident() - before) / count
            for sock in held:
                sockets.close(sock, reset=True)
            held.clear()
            ours.send("over")
            child.join(5)
            click.echo(f"  {'TLS' if secured else 'plain':5} {count:5}: {each:5.1f} KB resident, without its threads")
            gc.collect()


@click.command()
@click.option("--count", default=400, show_default=True, help="Handshakes of each kind.")
@click.option("--megabytes", default=64, show_default=True)
@click.option("--lines", default=3000, show_default=True)
@click.option("--standing", default=(500, 2000), multiple=True, show_default=True)
def main(count: int, megabytes: int, lines: int, standing: tuple[int, ...]) -> None:
    """Measure what TLS to hosts costs."""
    logging.disable()  # the certificates here expire within days, and say so
    ca = Authority()
    memory(ca, standing)  # first: before the process has grown otherwise
    handshakes(ca, count)
    carrying(ca, megabytes, lines)


if __name__ == "__main__":
    main()
