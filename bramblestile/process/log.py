"""Lines for the operator on standard error; those that a client can cause at will come seldom."""

from __future__ import annotations

import sys
import threading
from datetime import timedelta

from bramblestile.clock import now

SELDOM = timedelta(seconds=1)  # between two lines of one kind
_lock = threading.Lock()
_said: dict[str, tuple[timedelta, int]] = {}  # kind: when it was last logged, how many were passed over since


def log(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def log_seldom(kind: str, text: str) -> None:
    """Whoever can make us log must not make us log at his speed: the rest of a kind is only counted."""
    with _lock:
        last, passed_over = _said.get(kind, (-SELDOM, 0))
        due = now() - last >= SELDOM
        _said[kind] = (now(), 0) if due else (last, passed_over + 1)
    if due:
        log(f"{kind}: {text}" + (f" (and {passed_over} more before)" if passed_over else ""))
