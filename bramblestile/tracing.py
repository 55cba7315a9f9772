"""Interface between the request path and a trace recorder. The default ``Tracer`` records nothing.

The recording implementation is ``trace/recorder.py``. This module imports nothing of it, so that a process without
tracing loads none of its libraries. No method may block, wait or raise: they are called while a request is served.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from vanegw import interface as api
from vanegw.recording import CandidateSnapshot, DecisionSnapshot


class Tracer:
    """Receives the events of a balancer and ignores them: tracing is off.

    ``time`` is always the time of the event since the Unix epoch, ``id`` the id of a request, ``front_name`` the name
    of the front, that is, of the configured service, and ``attempt_index`` counts the attempts of a request from 0.
    """

    recording = False  # whether decisions come with a snapshot of each candidate host
    make_candidate: Callable[..., Any] = CandidateSnapshot  # builds the snapshot of one candidate host

    def request(self, time: timedelta, front_name: str, request: api.Request, bound_to: str | None) -> None:
        """Record that a request arrived; ``bound_to`` is the host that already holds its connection, if any."""

    def decision(self, time: timedelta, snapshot: DecisionSnapshot) -> None:
        """Record a decision on a request."""

    def probe_sent(self, time: timedelta, front_name: str, host: str) -> None:
        """Record that a probe was sent."""

    def probed(self, time: timedelta, front_name: str, result: api.ProbeResult) -> None:
        """Record the result of a probe."""

    def attempt(
        self, time: timedelta, id: str, attempt_index: int, host: str, status: str, took_us: int, detail: str = ""
    ) -> None:
        """Record how an upstream request ended, or that it is up."""

    def answer(
        self,
        time: timedelta,
        request: api.Request,
        outcome: str,
        attempts: int,
        took: timedelta,
        host: str | None = None,
        wait_us: int | None = None,
    ) -> None:
        """Record the one answer to a request; ``wait_us`` is the retry time of a refusal."""

    def connection_established(self, time: timedelta, id: str, host: str, resumed: bool) -> None:
        """Record that a connection is up; ``resumed`` where its host held it before."""

    def note(self, time: timedelta, note: api.Note) -> None:
        """Record a note on a connection that was passed to the decision module."""

    def connection_moved(self, time: timedelta, id: str, host: str, reason: str) -> None:
        """Record that a connection's client was told to move."""

    def connection_ended(self, time: timedelta, id: str, host: str, status: str, took: timedelta, moved: bool) -> None:
        """Record the end of a connection."""

    def host_list_received(self, time: timedelta, front_name: str, event: api.BackendList) -> None:
        """Record that a front received the list of hosts, or changes of it."""

    def process_started(self, time: timedelta, hall: str, fronts: Sequence[str]) -> None:
        """Record the start of the recording process."""

    def process_stopped(self, time: timedelta, open_connections: int) -> None:
        """Record the stop of the process, with the number of connections that are still open."""

    def configuration_reloaded(self, time: timedelta, applied: bool, error: str) -> None:
        """Record a configuration reload: whether it was applied, and otherwise the error."""


class TracerHandle:
    """Shared reference to the tracer in use; a reload may replace the tracer while requests are served."""

    __slots__ = ("current",)

    def __init__(self, current: Tracer | None = None) -> None:
        self.current = current or Tracer()
