"""From the signal to stop to the exit: what is still accepted, and how clients are moved and answered before it.

The exit comes before SIGKILL does. Until then downstreams are accepted for a while, established connections are moved
or handed over, and every request gets its answer, however long its client would wait.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from datetime import timedelta

from bramblestile.clock import ZERO_DURATION, now, to_milliseconds
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.operations.move_schedule import MoveSchedule
from bramblestile.process.front import Front
from bramblestile.process.mover import MOVE_TICK, ConnectionMover

# After SIGTERM the platform's front goes on sending requests for up to 0.4 s. SIGKILL follows no sooner than the
# longest deadline, of which at most 3 s count, plus 0.7 s.
ACCEPT_AFTER_SIGTERM = timedelta(milliseconds=600)
MAX_DEADLINE = timedelta(seconds=3)
EXIT_AFTER_DEADLINE = timedelta(milliseconds=600)  # the exit comes this long after the longest deadline
ANSWERS_END_BEFORE_EXIT = timedelta(milliseconds=200)  # then every request is answered, however long it might wait
MOVES_START = timedelta(milliseconds=450)  # earlier, the front might send a moved client here again
MOVES_END_BEFORE_EXIT = timedelta(milliseconds=350)  # by then all clients have been told to move
# With a successor, only those connections are moved that it could not adopt. All others have reached it by then.
MOVES_START_WITH_SUCCESSOR = timedelta(milliseconds=700)
LAST_ANSWERS_TIMEOUT = timedelta(milliseconds=80)  # after the exit was due; SIGKILL comes 0.1 s after that
ANSWER_CHECK_INTERVAL = timedelta(milliseconds=5)
MAX_LOGGED_IDS = 5


class Shutdown:
    """The end of the process, which began with the signal at ``began``.

    With a successor nothing more is accepted, because it accepts from the same socket.
    """

    def __init__(
        self,
        fronts: Sequence[Front],
        mover: ConnectionMover,
        counters: Counters,
        began: timedelta,
        has_successor: bool,
    ) -> None:
        self._fronts = fronts
        self._mover = mover
        self._counters = counters
        self._log = Log()
        self._began = began
        self._listeners = [front.listener for front in fronts if front.listener is not None]
        self._accept_until = now() + (ZERO_DURATION if has_successor else ACCEPT_AFTER_SIGTERM)
        self._exit_at = began + _longest_deadline(fronts) + EXIT_AFTER_DEADLINE
        self._answer_at = self._exit_at - ANSWERS_END_BEFORE_EXIT
        # Moved clients reconnect at once: the moves are spread over all the time there is, to avoid a burst.
        self._moves = MoveSchedule(
            began + (MOVES_START_WITH_SUCCESSOR if has_successor else MOVES_START),
            self._exit_at - MOVES_END_BEFORE_EXIT,
        )

    def start(self) -> None:
        """Start the thread that ends the accepting and has the requests answered."""
        threading.Thread(target=self._end_requests, name="closing", daemon=True).start()

    def run(self) -> None:
        """Move all connections and return when the exit is due, with all requests answered."""
        while True:
            # Before the test of the time: a process that was held up until after its exit still tells all clients.
            self._mover.move_due(self._moves, "stop")
            if self._is_exit_due():
                break
            time.sleep(MOVE_TICK.total_seconds())
        self._wait_for_answers()
        self._report_unanswered()
        self._report_times()

    def _is_exit_due(self) -> bool:
        """Return whether the time is over, or nothing is open any more."""
        at = now()
        is_idle = at >= self._moves.starts_at and not any(listener.active_count for listener in self._listeners)
        return is_idle or at >= self._exit_at

    def _end_requests(self) -> None:
        time.sleep(max(self._accept_until - now(), ZERO_DURATION).total_seconds())
        for listener in self._listeners:
            listener.stop()
        time.sleep(max(self._answer_at - now(), ZERO_DURATION).total_seconds())
        self._answer_all()

    def _answer_all(self) -> None:
        for front in self._fronts:
            front.answer_all()

    def _wait_for_answers(self) -> None:
        """Wait until all requests are answered, also in a process that was held up until after its exit was due."""
        until = now() + LAST_ANSWERS_TIMEOUT
        while self._unanswered() and now() < until:
            self._answer_all()
            time.sleep(ANSWER_CHECK_INTERVAL.total_seconds())

    def _unanswered(self) -> list[str]:
        return [request_id for front in self._fronts for request_id in front.decisions.waiting_ids()]

    def _report_unanswered(self) -> None:
        """Count and log the requests that the process ends without an answer to."""
        unanswered = self._unanswered()
        if unanswered:
            self._counters.add("unanswered_at_exit", len(unanswered))
            self._log.error("unanswered", count=len(unanswered), ids=unanswered[:MAX_LOGGED_IDS])

    def _report_times(self) -> None:
        """Log how long the stop has taken since the signal, and by how much the exit is late."""
        at = now()
        late = max(at - self._exit_at, ZERO_DURATION)
        self._log.info("stopped", after_ms=to_milliseconds(at - self._began), late_ms=to_milliseconds(late))


def _longest_deadline(fronts: Sequence[Front]) -> timedelta:
    """Return the longest deadline of all request classes, at most ``MAX_DEADLINE``."""
    longest_us = max(c.deadline_us for front in fronts for c in front.config.settings.classes)
    return min(timedelta(microseconds=longest_us), MAX_DEADLINE)
