"""Measure the cost of TLS to upstream hosts: handshakes by key and version, CPU and time of transfers, and memory.

Everything runs on loopback in one process, except the hosts of the memory measurement; plain TCP is the baseline. The
CPU time of each host_thread is that of its thread.
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
from bramblestile.protocol import AttemptLimits
from bramblestile.tls import Dialer
from bramblestile.tls.budget import HandshakeRates
from bramblestile.tls.dialer import DialerConfig
from bramblestile.tls.trust import TlsFiles
from tests.authority import Authority

UNLIMITED_RATES = HandshakeRates(full_per_s=1e6, burst=1e6)  # the budget must not limit what is measured
TIMEOUT = timedelta(seconds=5)
KEY_MAKERS: dict[str, Callable[[], ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey]] = {
    "ECDSA P-256": lambda: ec.generate_private_key(ec.SECP256R1()),
    "RSA 2048": lambda: rsa.generate_private_key(65537, 2048),
}
MAX_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


class HostThread:
    """An upstream host in a thread of its own, which serves one connection at a time.

    It sends a first line, and then calls ``serve``; without it, it keeps the connection open. ``cpu_s`` is the CPU time
    of the thread, in seconds, at the end of the last connection.
    """

    def __init__(self, context: ssl.SSLContext | None, serve: Callable[[socket.socket], None] | None = None) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.host = UpstreamHost("h0", self.listener.getsockname(), tls_name="h0.test")
        self.context, self.serve = context, serve
        self.cpu_s = 0.0
        self.open_connections: list[socket.socket] = []
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
                        self.open_connections.append(sock)
                    else:
                        self.serve(sock)
                        sock.close()
                self.cpu_s = time.thread_time()

    def close(self) -> None:
        """Stop listening and close the connections that are kept open."""
        sockets.shut_down(self.listener)
        self.listener.close()
        for sock in self.open_connections:
            sock.close()


def connect(dialer: Dialer | None, target: HostThread | UpstreamHost) -> sockets.Transport:
    """Open a connection and read the host's first line; plain TCP without a dialer."""
    host = target.host if isinstance(target, HostThread) else target
    sock = (
        sockets.dial(host.address, TIMEOUT)
        if dialer is None
        else dialer.dial(host, AttemptLimits(now() + TIMEOUT, TIMEOUT))
    )
    assert sockets.LineReader(sock, 64).line(TIMEOUT) is not None
    if isinstance(sock, sockets.Channel):
        sock.setblocking(True)
    return sock


def _wait_for_close(sock: socket.socket) -> None:
    sock.recv(1)


def measure_handshakes(ca: Authority, count: int) -> None:
    """Print the rate and the CPU time of consecutive handshakes, full and resumed."""
    click.echo("consecutive handshakes: rate, and microseconds of CPU on our side and on the host's")
    for key_type, make_key in KEY_MAKERS.items():
        for version, max_version in MAX_VERSIONS.items():
            for resume in (False, True):
                host_thread = HostThread(
                    ca.issue("h0.test", key=make_key()).server_context(max_version=max_version), _wait_for_close
                )
                counters = Counters()
                dialer = Dialer(
                    DialerConfig(TlsFiles(ca.ca_file), rates=UNLIMITED_RATES, sessions_per_host=32 if resume else 0),
                    counters,
                )
                sockets.close(connect(dialer, host_thread))
                began, own_cpu_s, host_cpu_s = time.perf_counter(), time.thread_time(), host_thread.cpu_s
                for _ in range(count):
                    sockets.close(connect(dialer, host_thread))
                duration_s, spent_s = time.perf_counter() - began, time.thread_time() - own_cpu_s
                time.sleep(0.05)
                resumed = counters.get("tls_resumed") / count
                click.echo(
                    f"  {key_type:12} TLS {version} {'resumed' if resume else 'full':8} {count / duration_s:6.0f}/s  "
                    f"ours {spent_s / count * 1e6:5.0f} us, "
                    f"host's {(host_thread.cpu_s - host_cpu_s) / count * 1e6:5.0f} us"
                    f"  ({resumed:.0%} resumed)"
                )
                host_thread.close()


def _echo(sock: socket.socket) -> None:
    while data := sock.recv(65536):
        sock.sendall(data)


def _send_bytes(size: int) -> Callable[[socket.socket], None]:
    def serve(sock: socket.socket) -> None:
        block = os.urandom(1 << 16)
        for _ in range(size // len(block)):
            sock.sendall(block)

    return serve


@contextmanager
def connected(ca: Authority, use_tls: bool, serve: Callable[[socket.socket], None]) -> Iterator[sockets.Transport]:
    """Yield a connection to a new host that serves it in this way; closes both at the end."""
    host_thread = HostThread(ca.issue("h0.test").server_context() if use_tls else None, serve)
    sock = connect(
        Dialer(DialerConfig(TlsFiles(ca.ca_file), rates=UNLIMITED_RATES), Counters()) if use_tls else None, host_thread
    )
    yield sock
    sockets.close(sock)
    host_thread.close()


def measure_transfer(ca: Authority, megabytes: int, lines: int) -> None:
    """Print the CPU time of reading a large transfer, and the round trip times of single lines."""
    click.echo(f"transfer, our side: {megabytes} MB read in buffers of 8 KiB, and the round trip of a line")
    for use_tls in (False, True, False, True):
        with connected(ca, use_tls, _send_bytes(megabytes << 20)) as sock:
            buffer, received = bytearray(8192), 0
            cpu_began, began = time.thread_time(), time.perf_counter()
            while received < megabytes << 20:
                received += sock.recv_into(buffer)
            spent_s, duration_s = time.thread_time() - cpu_began, time.perf_counter() - began
        with connected(ca, use_tls, _echo) as sock:
            round_trips_us = []
            line = b"x" * 127 + b"\n"
            for _ in range(lines):
                began = time.perf_counter()
                sockets.write(sock, [line])
                echoed = 0
                while echoed < len(line):
                    echoed += sock.recv_into(buffer)
                round_trips_us.append((time.perf_counter() - began) * 1e6)
        name = "TLS" if use_tls else "plain"
        click.echo(
            f"  {name:5} {spent_s / megabytes * 1000:5.2f} ms of CPU a MB, {megabytes / duration_s:4.0f} MB/s; a line "
            f"{median(round_trips_us):4.0f} us, p99 {quantiles(round_trips_us, n=100)[98]:4.0f} us"
        )


def _resident_kb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1024


def _run_host_process(context: ssl.SSLContext | None, pipe: Connection) -> None:
    host_thread = HostThread(context)
    pipe.send(host_thread.host.address)
    pipe.recv()  # until the measurement is over
    host_thread.close()


def measure_memory(ca: Authority, counts: tuple[int, ...]) -> None:
    """Print the resident memory for each open connection on our side; the host is in a process of its own."""
    click.echo("memory of an open connection, our side")
    for use_tls in (False, True):
        for count in counts:
            own_end, host_end = multiprocessing.Pipe()
            child = multiprocessing.get_context("fork").Process(
                target=_run_host_process,
                args=(ca.issue("h0.test").server_context() if use_tls else None, host_end),
                daemon=True,
            )
            child.start()
            host = UpstreamHost("h0", own_end.recv(), tls_name="h0.test")
            dialer = Dialer(DialerConfig(TlsFiles(ca.ca_file), rates=UNLIMITED_RATES), Counters()) if use_tls else None
            open_connections = [connect(dialer, host) for _ in range(50)]
            gc.collect()
            before = _resident_kb()
            open_connections += [connect(dialer, host) for _ in range(count)]
            gc.collect()
            kb_per_connection = (_resident_kb() - before) / count
            for sock in open_connections:
                sockets.close(sock, reset=True)
            open_connections.clear()
            own_end.send("over")
            child.join(5)
            click.echo(
                f"  {'TLS' if use_tls else 'plain':5} {count:5}: {kb_per_connection:5.1f} KB resident, "
                "without its threads"
            )
            gc.collect()


@click.command()
@click.option("--count", default=400, show_default=True, help="Handshakes of each kind.")
@click.option("--megabytes", default=64, show_default=True)
@click.option("--lines", default=3000, show_default=True)
@click.option("--standing", default=(500, 2000), multiple=True, show_default=True)
def main(count: int, megabytes: int, lines: int, standing: tuple[int, ...]) -> None:
    """Measure the cost of TLS to upstream hosts."""
    logging.disable()  # the certificates expire within days, which would be logged as warnings
    ca = Authority()
    measure_memory(ca, standing)  # first, before other measurements grow the process
    measure_handshakes(ca, count)
    measure_transfer(ca, megabytes, lines)


if __name__ == "__main__":
    main()
