"""Periodic checks of the upstream hosts that have an agent or a health path, one thread for each host."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from datetime import timedelta

from bramblestile.memory.counters import Counters
from bramblestile.wire import agent
from bramblestile.wire.agent import CheckResult, CheckTarget

FAILURES_UNTIL_DOWN = 3  # consecutive failed checks after which a host counts as down
SUCCESSES_UNTIL_UP = 2  # consecutive successful checks after which it counts as up again
CHECK_TIMEOUT = timedelta(seconds=1)


class HealthChecker:
    """Runs each host's check at an interval and passes the results to ``on_result``."""

    def __init__(
        self,
        targets: Mapping[str, CheckTarget],
        interval: timedelta,
        on_result: Callable[[str, CheckResult], None],
        counters: Counters,
    ) -> None:
        self._targets = targets
        self._interval = interval
        self._on_result = on_result
        self._counters = counters
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start a thread for each host."""
        for name, check in self._targets.items():
            threading.Thread(target=self._run, args=(name, check), name="check " + name, daemon=True).start()

    def _run(self, name: str, check: CheckTarget) -> None:
        """Check one host at each interval and pass on each result that counts."""
        failures, successes, down = 0, 0, False
        while not self._stopped.is_set():
            try:
                result = agent.run_check(check, min(CHECK_TIMEOUT, self._interval))
                failures, successes = 0, successes + 1
                self._counters.add("checks_sound")
                # A result takes effect at once, unless the host was down: then it has to succeed several times.
                if not down or successes >= SUCCESSES_UNTIL_UP:
                    if down and result.takes_work is None:
                        result = CheckResult(True, result.weight_share)
                    down = False
                    self._on_result(name, result)
            except OSError:
                failures, successes = failures + 1, 0
                self._counters.add("checks_failed")
                if down or failures >= FAILURES_UNTIL_DOWN:
                    down = True
                    # At each failure: the host may have restarted meanwhile, which ends what was known of it.
                    self._on_result(name, CheckResult(takes_work=False))
            self._stopped.wait(self._interval.total_seconds())

    def stop(self) -> None:
        """Run no further checks. A check in progress may still pass on its result."""
        self._stopped.set()
