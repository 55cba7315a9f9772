"""Moves established connections of all fronts as a schedule says."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from bramblestile.clock import now
from bramblestile.memory.connections import ProxiedConnection
from bramblestile.operations.move_schedule import MoveSchedule
from bramblestile.process.front import Front
from bramblestile.tracing import TracerHandle

MOVE_TICK = timedelta(milliseconds=20)  # between two checks of which connections are due to move


class ConnectionMover:
    """Tells clients to move, in place of the decision module: for orders of operators, and at a stop."""

    def __init__(self, fronts: Sequence[Front], tracing: TracerHandle) -> None:
        self._fronts = fronts
        self._tracing = tracing

    def connections(self) -> list[ProxiedConnection]:
        """Return the established connections of all fronts."""
        return [connection for front in self._fronts for connection in front.connections.all()]

    def move_due(self, schedule: MoveSchedule, reason: str, host: str | None = None) -> None:
        """Move the connections that are due by now, of one host or of all (None)."""
        at = now()
        remaining = [
            connection
            for connection in self.connections()
            if host in (None, connection.host)
            and not (connection.moved or connection.paused or (connection.move_requested and at < schedule.ends_at))
        ]
        for connection in schedule.due(at, remaining):
            self._move(connection, reason)

    def _move(self, connection: ProxiedConnection, reason: str) -> None:
        already_moved = connection.moved or connection.move_requested
        if connection.move(MOVE_TICK) and not already_moved:
            self._tracing.current.connection_moved(now(), connection.id, connection.host, reason)
