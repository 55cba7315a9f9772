"""Threads that live as long as the process, and what happens where there is none to be had.

Seen: one answer of discovery with a number that no integer holds ended the thread that watched the list, silently and
for good. A fault costs the turn in which it happened, never the thread.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from datetime import timedelta

from bramblestile.log import Log
from bramblestile.memory.counters import Counters

PAUSE = timedelta(milliseconds=100)  # after a fault: one that comes again at once must not become a busy loop


def start(name: str, run: Callable[[], None]) -> bool:
    """False: there is no thread to be had."""
    try:
        threading.Thread(target=run, name=name, daemon=True).start()
    except RuntimeError:
        return False
    return True


def note_fault(counters: Counters, log: Log, fault: Exception | None = None, **fields: str) -> None:
    """A fault of ours, this one or the exception in hand, is counted and logged with its traceback."""
    counters.add("faults")
    log.exception("fault", fault, **fields)


def forever(turn: Callable[[], bool], counters: Counters, log: Log) -> None:
    """Takes one turn after the other until one returns False."""
    going = True
    while going:
        try:
            going = turn()
        except Exception:
            note_fault(counters, log)
            time.sleep(PAUSE.total_seconds())
