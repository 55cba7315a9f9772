"""One thread for each upstream host that asks for its load when told to; a silent host delays no other."""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from queue import Empty, SimpleQueue

from bramblestile import threads
from bramblestile.clock import MICROSECOND, now
from bramblestile.log import Log
from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.memory.counters import Counters
from bramblestile.memory.descriptors import Descriptors
from vanegw.interface import ProbeResult, Report, Status

# A host that nobody asks about gives its thread and connection back: after 10 s the platform's hosts have closed it.
# Seen: with 30 s the threads of six fleet days side by side took all 32,768 process ids of a machine.
IDLE = timedelta(seconds=10)
Ask = Callable[[UpstreamHost, timedelta], tuple[Status, Report | None]]


class Probes:
    def __init__(self, cluster: Cluster, make: Callable[[], tuple[Ask, Callable[[], None]]],
                 within: timedelta, tell: Callable[[ProbeResult], None], counters: Counters,
                 descriptors: Descriptors) -> None:
        self._cluster = cluster
        self._make = make
        self.within = within
        self._tell = tell
        self._counters = counters
        self._descriptors = descriptors
        self._log = Log(part="probes")
        self._lock = threading.Lock()
        self._queues: dict[str, SimpleQueue[None]] = {}

    def ask(self, host: str, beside: bool = True) -> bool:
        """``beside``: also where one waits already. False: there is no thread or descriptor to be had, and no result
        will come."""
        with self._lock:
            queue = self._queues.get(host)
            if queue is None:
                if not self._descriptors.take(1):
                    self._counters.add("no_descriptors")
                    return False
                queue = SimpleQueue()
                if not threads.start(host, partial(self._run, host, queue)):
                    self._counters.add("no_thread")
                    self._descriptors.give_back(1)
                    return False
                self._queues[host] = queue
            if beside or queue.empty():
                queue.put(None)
            return True

    def _run(self, name: str, queue: SimpleQueue[None]) -> None:
        ask, close = self._make()
        place: tuple[object, object] | None = None

        def turn() -> bool:
            nonlocal place
            try:
                queue.get(timeout=IDLE.total_seconds())
            except Empty:
                with self._lock:
                    if not queue.empty():
                        return True
                    del self._queues[name]
                close()
                self._descriptors.give_back(1)
                return False
            host, sent = self._cluster.find(name), now()
            status, report = Status.NOT_SENT, None  # nothing is sent to a host that is no longer listed
            try:
                if host is not None:
                    if place not in (None, (host.address, host.born)):  # another start may be another host
                        close()
                    place = host.address, host.born
                    status, report = Status.ERROR, None
                    status, report = ask(host, self.within)
                    self._counters.add(f"probes_{status.name.lower()}")
            finally:  # whatever a broken host has said: requests wait for this result
                self._tell(ProbeResult(name, status, (now() - sent) // MICROSECOND, report))
            return True

        threads.forever(turn, self._counters, self._log)
