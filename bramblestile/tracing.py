"""The seam between what happens and who records it. On the platform nobody does: ``Tracer`` does nothing.

``trace/recorder.py`` is the other one. This module imports nothing of it, so that a program that does not trace
carries none of its libraries. No method blocks, waits, or raises: they are called on the way of a request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from vanegw import interface as api
from vanegw.recording import CandidateSnapshot, DecisionSnapshot


class Tracer:
    """Hears what happens. This one does nothing: tracing is off. Times are spans since the epoch."""

    recording = False  # whether decisions are to come with what the module believed
    make_candidate: Callable[..., Any] = CandidateSnapshot  # what they hold of each host is made by this

    def request(self, at: timedelta, front: str, request: api.Request, bound_to: str | None) -> None: ...

    def decision(self, at: timedelta, view: DecisionSnapshot) -> None: ...

    def probe_sent(self, at: timedelta, front: str, host: str) -> None: ...

    def probed(self, at: timedelta, front: str, result: api.ProbeResult) -> None: ...

    def attempt(
        self, at: timedelta, id: str, number: int, host: str, status: str, took_us: int, detail: str = ""
    ) -> None: ...

    def answer(
        self,
        at: timedelta,
        request: api.Request,
        outcome: str,
        attempts: int,
        took: timedelta,
        host: str | None = None,
        wait_us: int | None = None,
    ) -> None: ...

    def established(self, at: timedelta, id: str, host: str, resumed: bool) -> None: ...

    def note(self, at: timedelta, note: api.Note) -> None: ...

    def moved(self, at: timedelta, id: str, host: str, reason: str) -> None: ...

    def ended(self, at: timedelta, id: str, host: str, status: str, took: timedelta, moved: bool) -> None: ...

    def listed(self, at: timedelta, front: str, event: api.BackendList) -> None: ...

    def started(self, at: timedelta, hall: str, fronts: Sequence[str]) -> None: ...

    def stopped(self, at: timedelta, standing: int) -> None: ...

    def reloaded(self, at: timedelta, taken: bool, text: str) -> None: ...


class TracerHandle:
    """Where the parts find the tracer of the moment: a reload may put another in its place while they run."""

    __slots__ = ("current",)

    def __init__(self, current: Tracer | None = None) -> None:
        self.current = current or Tracer()
