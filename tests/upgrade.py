"""A balancer whose process is replaced while it serves: real processes that inherit one listening socket."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

SETTINGS = {"classes": [{"name": "feed", "objective_us": 600_000, "deadline_us": 1_500_000}]}
TIMEOUT_S = 10.0


class EchoHost:
    """An image server that accepts every request and echoes its lines.

    ``first_lines`` holds the first line of each connection, ``ended_count`` the number of those that ended.
    """

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.first_lines: list[str] = []
        self.ended_count = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock = self.sock.accept()[0]
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as lines:
            self.first_lines.append(lines.readline().decode())
            sock.sendall(b"UP r\r\n")
            for line in lines:
                sock.sendall(line)
            sock.sendall(b"BYE\r\n")
        self.ended_count += 1


class UpgradableBalancer:
    """One balancer and its processes, which inherit the listening socket that is held here."""

    def __init__(self, folder: Path, hosts: dict[str, EchoHost], **values: Any) -> None:
        self.client_socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.folder, self.config_path = folder, folder / "config.json"
        (folder / "tmp").mkdir()
        self.values: dict[str, Any] = {
            "name": "n1",
            "settings": SETTINGS,
            "listen": "{}:{}".format(*self.client_socket.getsockname()),
            "known": {
                "seq": 1,
                "hosts": [
                    {"host": name, "dial": "{}:{}".format(*host.sock.getsockname()), "health": "in_service"}
                    for name, host in hosts.items()
                ],
            },
        } | values
        self.processes: list[subprocess.Popen[str]] = []
        self.management_addresses: list[tuple[str, int]] = []

    def start(self) -> subprocess.Popen[str]:
        """Start another process beside the running ones, wait until it is ready and return it."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.management_addresses.append(free.getsockname())
        self.config_path.write_text(
            json.dumps(self.values | {"management": "{}:{}".format(*self.management_addresses[-1])})
        )
        descriptor = self.client_socket.fileno()
        process = subprocess.Popen(
            [sys.executable, "-m", "bramblestile"],
            pass_fds=[descriptor],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ
            | {
                "EDGE_CONFIG": str(self.config_path),
                "EDGE_SOCKET_FD": str(descriptor),
                "TMPDIR": str(self.folder / "tmp"),
            },
        )
        self.processes.append(process)
        deadline = time.monotonic() + TIMEOUT_S
        while self.call("GET /v1/readyz") != 200:
            assert time.monotonic() < deadline and process.poll() is None, "not ready"
            time.sleep(0.02)
        return process

    def call(self, request_line: str, process: int = -1) -> int:
        """Make a management call such as ``GET /v1/readyz``; return its status, or 0 if nothing answers."""
        try:
            with socket.create_connection(self.management_addresses[process], timeout=5) as sock:
                sock.sendall(f"{request_line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                return int(sock.makefile().readline().split()[1])
        except (OSError, IndexError):
            return 0

    def upgrade(self) -> list[str]:
        """Start the next process, stop the previous one and return what that logged until its end."""
        old = self.processes[-1]
        self.start()
        old.send_signal(signal.SIGTERM)
        assert old.stderr is not None
        log_lines = old.stderr.readlines()
        assert old.wait(TIMEOUT_S) == 0
        return log_lines

    def stop(self) -> None:
        """Kill all processes and close the listening socket."""
        for process in self.processes:
            process.kill()
            process.wait()
            assert process.stderr is not None
            process.stderr.close()
        self.client_socket.close()


@contextlib.contextmanager
def upgradable_balancer(folder: Path, *names: str) -> Iterator[tuple[UpgradableBalancer, dict[str, EchoHost]]]:
    """Yield a balancer without a process, and its hosts by name; all are stopped at the end of the block."""
    hosts = {name: EchoHost() for name in names}
    balancer = UpgradableBalancer(folder, hosts)
    try:
        yield balancer, hosts
    finally:
        balancer.stop()
        for host in hosts.values():
            host.sock.close()


class Client:
    """One client connection; the constructor sends the request and reads its response."""

    def __init__(self, balancer: UpgradableBalancer, number: int) -> None:
        self.sock = socket.create_connection(balancer.client_socket.getsockname(), timeout=5)
        self.reader = self.sock.makefile("rb")
        self.sock.sendall(f"OPEN {number} 2 c=feed,d=1500\r\n".encode())
        self.first_response = self.reader.readline()
        self.is_established = self.first_response == b"UP r\r\n"

    def echoes(self) -> bool:
        """Return whether a line that is sent comes back."""
        self.sock.sendall(b"still here\r\n")
        return self.reader.readline() == b"still here\r\n"

    def close(self) -> None:
        """Close the connection."""
        self.reader.close()
        self.sock.close()
