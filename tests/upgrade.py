"""A balancer whose process is replaced while it serves: real processes on one inherited socket."""

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
BOUND = 10.0


class Host:
    """Takes every connection, says UP and echoes its lines. ``asked`` holds the first lines."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.asked: list[str] = []
        self.ended = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock = self.sock.accept()[0]
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as lines:
            self.asked.append(lines.readline().decode())
            sock.sendall(b"UP r\r\n")
            for line in lines:
                sock.sendall(line)
            sock.sendall(b"BYE\r\n")
        self.ended += 1


class Balancer:
    """One balancer and whatever processes it has; the clients' socket is held here."""

    def __init__(self, folder: Path, hosts: dict[str, Host], **values: Any) -> None:
        self.clients = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.folder, self.config = folder, folder / "config.json"
        (folder / "tmp").mkdir()
        self.values: dict[str, Any] = {
            "name": "n1",
            "settings": SETTINGS,
            "listen": "{}:{}".format(*self.clients.getsockname()),
            "known": {
                "seq": 1,
                "hosts": [
                    {"host": name, "dial": "{}:{}".format(*host.sock.getsockname()), "health": "in_service"}
                    for name, host in hosts.items()
                ],
            },
        } | values
        self.processes: list[subprocess.Popen[str]] = []
        self.managed: list[tuple[str, int]] = []

    def start(self) -> subprocess.Popen[str]:
        """One more process beside those that run; returns when it is ready."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.managed.append(free.getsockname())
        self.config.write_text(json.dumps(self.values | {"management": "{}:{}".format(*self.managed[-1])}))
        number = self.clients.fileno()
        process = subprocess.Popen(
            [sys.executable, "-m", "bramblestile"],
            pass_fds=[number],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ
            | {"EDGE_CONFIG": str(self.config), "EDGE_SOCKET_FD": str(number), "TMPDIR": str(self.folder / "tmp")},
        )
        self.processes.append(process)
        until = time.monotonic() + BOUND
        while self.call("GET /v1/readyz") != 200:
            assert time.monotonic() < until and process.poll() is None, "not ready"
            time.sleep(0.02)
        return process

    def call(self, words: str, process: int = -1) -> int:
        """The status of an operator's call; 0 where nobody answers."""
        try:
            with socket.create_connection(self.managed[process], timeout=5) as sock:
                sock.sendall(f"{words} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                return int(sock.makefile().readline().split()[1])
        except (OSError, IndexError):
            return 0

    def replace(self) -> list[str]:
        """An upgrade: the next process, ready, then the end of the one before. Returns that one's last log lines."""
        old = self.processes[-1]
        self.start()
        old.send_signal(signal.SIGTERM)
        assert old.stderr is not None
        said = old.stderr.readlines()
        assert old.wait(BOUND) == 0
        return said

    def stop(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
            assert process.stderr is not None
            process.stderr.close()
        self.clients.close()


@contextlib.contextmanager
def serving(folder: Path, *names: str) -> Iterator[tuple[Balancer, dict[str, Host]]]:
    """One balancer and its hosts, which end with the block. No process runs yet."""
    hosts = {name: Host() for name in names}
    balancer = Balancer(folder, hosts)
    try:
        yield balancer, hosts
    finally:
        balancer.stop()
        for host in hosts.values():
            host.sock.close()


class Client:
    """One connection: up, and a line that came back."""

    def __init__(self, balancer: Balancer, number: int) -> None:
        self.sock = socket.create_connection(balancer.clients.getsockname(), timeout=5)
        self.read = self.sock.makefile("rb")
        self.sock.sendall(f"OPEN {number} 2 c=feed,d=1500\r\n".encode())
        self.said = self.read.readline()
        self.up = self.said == b"UP r\r\n"

    def echoes(self) -> bool:
        self.sock.sendall(b"still here\r\n")
        return self.read.readline() == b"still here\r\n"

    def close(self) -> None:
        self.read.close()
        self.sock.close()
