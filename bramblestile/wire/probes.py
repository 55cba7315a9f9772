"""One thread for each upstream host that asks for its load when told to; a silent host delays no other."""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta
from queue import Empty, SimpleQueue

from bramblestile.clock import MICROSECOND, now
from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.memory.counters import Counters
from vanegw.interface import ProbeResult, Report, Status

IDLE = timedelta(seconds=30)  # a host that nobody asks about gives its thread and connection back
ProbeHost = Callable[[UpstreamHost, timedelta], tuple[Status, Report | None]]


class ProbeRunner:
    def __init__(
        self,
        cluster: Cluster,
        make: Callable[[], tuple[ProbeHost, Callable[[], None]]],
        answer_timeout: timedelta,
        tell: Callable[[ProbeResult], None],
        counters: Counters,
    ) -> None:
        self._cluster = cluster
        self._make = make
        self.answer_timeout = answer_timeout
        self._tell = tell
        self._counters = counters
        self._lock = threading.Lock()
        self._queues: dict[str, SimpleQueue[None]] = {}

    def request(self, host: str, even_if_queued: bool = True) -> None:
        """``beside``: also where one waits already."""
        with self._lock:
            queue = self._queues.get(host)
            if queue is None:
                queue = self._queues[host] = SimpleQueue()
                threading.Thread(target=self._run, args=(host, queue), name=host, daemon=True).start()
            if even_if_queued or queue.empty():
                queue.put(None)

    def _run(self, name: str, queue: SimpleQueue[None]) -> None:
        ask, close = self._make()
        place = None
        while True:
            try:
                queue.get(timeout=IDLE.total_seconds())
            except Empty:
                with self._lock:
                    if queue.empty():
                        del self._queues[name]
                        close()
                        return
                continue
            host = self._cluster.find(name)
            sent = now()
            if host is None:  # nothing is sent to a host that is no longer listed
                self._tell(ProbeResult(name, Status.NOT_SENT, 0))
                continue
            if place not in (None, (host.address, host.started_at)):  # another start may be another host
                close()
            place = host.address, host.started_at
            status, report = ask(host, self.answer_timeout)
            self._counters.add(f"probes_{status.name.lower()}")
            self._tell(ProbeResult(name, status, (now() - sent) // MICROSECOND, report))
