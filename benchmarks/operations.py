"""Measure management calls and upgrades on real processes: ``python -m benchmarks.operations [SECONDS]``.

First the response times of ``readyz``: idle, beside slow callers, and beside those under client load. Then what clients
notice of upgrades. The load is a few hundred connections on loopback.
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
from tests.upgrade import Client, UpgradableBalancer, upgradable_balancer

ESTABLISHED_CLIENTS = 50
UPGRADES = 5
LOAD_THREADS = 8
FIRST_NUMBER_STEP = 10**7  # between the request numbers of two threads


def measure_response_times(balancer: UpgradableBalancer, duration_s: float) -> str:
    """Call ``readyz`` repeatedly; return the number of calls and the percentiles in milliseconds."""
    times_ms: list[float] = []
    deadline = time.monotonic() + duration_s
    while time.monotonic() < deadline:
        began = time.monotonic()
        if balancer.call("GET /v1/readyz") != 200:
            return "a call failed"
        times_ms.append((time.monotonic() - began) * 1e3)
    times_ms.sort()
    p50, p99 = times_ms[len(times_ms) // 2], times_ms[len(times_ms) * 99 // 100]
    return f"{len(times_ms)} calls, p50 {p50:.1f} ms, p99 {p99:.1f}, max {times_ms[-1]:.1f}"


class ClientLoad:
    """Threads of clients that connect, exchange a line and disconnect; started by the constructor.

    ``attempts`` counts the connections tried, ``refused`` those answered with BUSY, and ``failed`` those that were
    neither served nor refused.
    """

    def __init__(self, balancer: UpgradableBalancer, thread_count: int) -> None:
        self.balancer, self.stopped = balancer, threading.Event()
        self.attempts, self.refused, self.failed = 0, 0, 0
        self.threads = [
            threading.Thread(target=self._run, args=((n + 1) * FIRST_NUMBER_STEP,)) for n in range(thread_count)
        ]
        for thread in self.threads:
            thread.start()

    def _run(self, number: int) -> None:
        while not self.stopped.is_set():
            number += 1
            self.attempts += 1
            try:
                client = Client(self.balancer, number)
                if client.is_established and client.echoes():
                    pass
                elif client.first_response.startswith(b"BUSY"):
                    self.refused += 1
                else:
                    self.failed += 1
                client.close()
            except OSError:
                self.failed += 1

    def stop(self) -> None:
        """Stop the threads."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def main() -> None:
    """Run all measurements and print their results."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    with tempfile.TemporaryDirectory() as folder, upgradable_balancer(Path(folder), "h0", "h1", "h2") as (balancer, _):
        balancer.start()
        print("idle:", measure_response_times(balancer, duration_s))
        slow_callers = [socket.create_connection(balancer.management_addresses[-1]) for _ in range(server.MAX_CALLERS)]
        for sock in slow_callers:
            with contextlib.suppress(OSError):
                sock.sendall(b"PUT /v1/bal")
        print(
            f"beside {len(slow_callers)} callers that never complete a request:",
            measure_response_times(balancer, min(duration_s, 2.0)),
        )
        load = ClientLoad(balancer, LOAD_THREADS)
        print("and under client load:", measure_response_times(balancer, duration_s))
        established = [Client(balancer, n) for n in range(1, ESTABLISHED_CLIENTS + 1)]
        up, durations_s, moved = sum(client.is_established for client in established), [], 0
        attempts, refused, failed = load.attempts, load.refused, load.failed
        for _ in range(UPGRADES):
            began = time.monotonic()
            log_lines = balancer.upgrade()
            durations_s.append(time.monotonic() - began)
            moved += sum(int(n) for n in re.findall(r'"moved":(\d+)', log_lines[-1]))
        load.stop()
        remaining = sum(client.is_established and client.echoes() for client in established)
        print(
            f"{UPGRADES} upgrades of {min(durations_s):.2f} to {max(durations_s):.2f} s: "
            f"{load.attempts - attempts} requests, {load.refused - refused} refused, "
            f"{load.failed - failed} neither served nor refused; "
            f"of {up} established connections {remaining} remain, {moved} moved"
        )


if __name__ == "__main__":
    main()
