"""Checks the upstream hosts that have an agent or a health path, one thread a host."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from datetime import timedelta

from bramblestile.memory.counters import Counters
from bramblestile.wire import agent
from bramblestile.wire.agent import CheckResult, CheckTarget

FALL = 3  # failed checks in a row after which a host is taken for down
RISE = 2  # sound ones in a row after which it is believed again
WITHIN = timedelta(seconds=1)


class HealthChecker:
    def __init__(
        self,
        checks: Mapping[str, CheckTarget],
        every: timedelta,
        tell: Callable[[str, CheckResult], None],
        counters: Counters,
    ) -> None:
        self._checks = checks
        self._every = every
        self._tell = tell
        self._counters = counters
        self._stopped = threading.Event()

    def start(self) -> None:
        for name, check in self._checks.items():
            threading.Thread(target=self._run, args=(name, check), name="check " + name, daemon=True).start()

    def _run(self, name: str, check: CheckTarget) -> None:
        failed, sound, down = 0, 0, False
        while not self._stopped.is_set():
            try:
                opinion = agent.run_check(check, min(WITHIN, self._every))
                failed, sound = 0, sound + 1
                self._counters.add("checks_sound")
                # An agent that answers says what it says at once; a host that was down must prove itself.
                if not down or sound >= RISE:
                    if down and opinion.takes_work is None:
                        opinion = CheckResult(True, opinion.share)
                    down = False
                    self._tell(name, opinion)
            except OSError:
                failed, sound = failed + 1, 0
                self._counters.add("checks_failed")
                if failed >= FALL and not down:
                    down = True
                    self._tell(name, CheckResult(takes_work=False))
            self._stopped.wait(self._every.total_seconds())

    def stop(self) -> None:
        self._stopped.set()
