"""Probes of upstream hosts for their load: one thread for each host, so that a silent host delays no other."""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta
from queue import Empty, SimpleQueue

from bramblestile.clock import MICROSECOND, now
from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.memory.counters import Counters
from vanegw.interface import ProbeResult, Report, Status

IDLE_TIMEOUT = timedelta(seconds=30)  # a host's thread and connection are closed after this time without a probe
ProbeHost = Callable[[UpstreamHost, timedelta], tuple[Status, Report | None]]


class ProbeRunner:
    """Runs the requested probes and passes the results to ``on_result``.

    ``make_prober`` returns the functions that probe one host and that close its connection. ``answer_timeout`` limits
    a probe.
    """

    def __init__(
        self,
        cluster: Cluster,
        make_prober: Callable[[], tuple[ProbeHost, Callable[[], None]]],
        answer_timeout: timedelta,
        on_result: Callable[[ProbeResult], None],
        counters: Counters,
    ) -> None:
        self._cluster = cluster
        self._make_prober = make_prober
        self.answer_timeout = answer_timeout
        self._on_result = on_result
        self._counters = counters
        self._lock = threading.Lock()
        self._queues: dict[str, SimpleQueue[None]] = {}

    def request(self, host: str, even_if_queued: bool = True) -> None:
        """Queue a probe of a host; with ``even_if_queued=False`` only if none is queued for it already."""
        with self._lock:
            queue = self._queues.get(host)
            if queue is None:
                queue = self._queues[host] = SimpleQueue()
                threading.Thread(target=self._run, args=(host, queue), name=host, daemon=True).start()
            if even_if_queued or queue.empty():
                queue.put(None)

    def _run(self, name: str, queue: SimpleQueue[None]) -> None:
        """Run the probes of one host, one after the other; end when none is requested for ``IDLE_TIMEOUT``."""
        probe, close = self._make_prober()
        probed_start = None
        while True:
            try:
                queue.get(timeout=IDLE_TIMEOUT.total_seconds())
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
                self._on_result(ProbeResult(name, Status.NOT_SENT, 0))
                continue
            if probed_start not in (None, (host.address, host.started_at)):  # after a restart it may be another host
                close()
            probed_start = host.address, host.started_at
            status, report = probe(host, self.answer_timeout)
            self._counters.add(f"probes_{status.name.lower()}")
            self._on_result(ProbeResult(name, status, (now() - sent) // MICROSECOND, report))
