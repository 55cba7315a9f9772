"""Operators' calls and upgrades, measured on real processes: ``python -m benchmarks.operations [SECONDS]``.

Answer times of ``readyz`` at rest, beside slow callers, and beside those under data load; then what clients see of an
upgrade. One run on one machine; the load is a few hundred connections on loopback.
"""

from __future__ import annotations

import contextlib
import re
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path

from bramblestile.operations import server
from tests.upgrade import Balancer, Client, serving

STANDING = 50
UPGRADES = 5


def answers(balancer: Balancer, seconds: float) -> str:
    """Milliseconds: median, 99th percentile, most."""
    took: list[float] = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        began = time.monotonic()
        if balancer.call("GET /v1/readyz") != 200:
            return "a call was answered with no"
        took.append((time.monotonic() - began) * 1e3)
    took.sort()
    half, most = took[len(took) // 2], took[len(took) * 99 // 100]
    return f"{len(took)} calls, p50 {half:.1f} ms, p99 {most:.1f}, max {took[-1]:.1f}"


class Load:
    """Clients that come, say a line and leave; ``failed`` are those that were not served."""

    def __init__(self, balancer: Balancer, streams: int) -> None:
        self.balancer, self.over = balancer, threading.Event()
        self.came, self.refused, self.failed = 0, 0, 0
        self.threads = [threading.Thread(target=self._run, args=((n + 1) * 10**7,)) for n in range(streams)]
        for thread in self.threads:
            thread.start()

    def _run(self, number: int) -> None:
        while not self.over.is_set():
            number += 1
            self.came += 1
            try:
                client = Client(self.balancer, number)
                if client.up and client.echoes():
                    pass
                elif client.said.startswith(b"BUSY"):
                    self.refused += 1
                else:
                    self.failed += 1
                client.close()
            except OSError:
                self.failed += 1

    def stop(self) -> None:
        self.over.set()
        for thread in self.threads:
            thread.join()


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    with tempfile.TemporaryDirectory() as folder, serving(Path(folder), "h0", "h1", "h2") as (balancer, _):
        balancer.start()
        print("at rest:", answers(balancer, seconds))
        slow = [socket.create_connection(balancer.managed[-1]) for _ in range(server.MOST)]
        for sock in slow:
            with contextlib.suppress(OSError):
                sock.sendall(b"PUT /v1/bal")
        print(f"beside {len(slow)} callers without a whole call:", answers(balancer, min(seconds, 2.0)))
        load = Load(balancer, 8)
        print("and under data load:", answers(balancer, seconds))
        standing = [Client(balancer, n) for n in range(1, STANDING + 1)]
        up, times, moved = sum(client.up for client in standing), [], 0
        came, refused, failed = load.came, load.refused, load.failed
        for _ in range(UPGRADES):
            began = time.monotonic()
            said = balancer.replace()
            times.append(time.monotonic() - began)
            moved += sum(int(n) for n in re.findall(r'"moved":(\d+)', said[-1]))
        load.stop()
        stand = sum(client.up and client.echoes() for client in standing)
        print(
            f"{UPGRADES} upgrades of {min(times):.2f} to {max(times):.2f} s: {load.came - came} came, "
            f"{load.refused - refused} refused, {load.failed - failed} neither served nor refused; "
            f"of {up} that stood {stand} stand, {moved} moved"
        )


if __name__ == "__main__":
    main()
