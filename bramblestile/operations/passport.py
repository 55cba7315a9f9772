"""A standing connection of the line front as one message, and back. No I/O: the descriptors travel beside it."""

from __future__ import annotations

import socket
from dataclasses import asdict
from datetime import timedelta
from typing import Any

from bramblestile.clock import MICROSECOND
from bramblestile.memory.connections import Kind, Standing
from bramblestile.wire import lines
from vanegw import interface as api


def packed(standing: Standing, request: api.Request) -> dict[str, Any]:
    """What it goes on by: what was read and not passed on, the questions that are out, the request as it was."""
    return {
        "stand": standing.id,
        "host": standing.host,
        "request": asdict(request),
        "up": standing.first_up.hex(),
        "down": standing.first_down.hex(),
        "asked": [at // MICROSECOND for at in standing.asked],
        "answered": standing.answered // MICROSECOND,
        "started": standing.started,
        "last": standing.last.value,
    }


def unpacked(
    message: dict[str, Any], downstream: socket.socket, upstream: socket.socket
) -> tuple[Standing, api.Request]:
    """KeyError, TypeError or ValueError where the message is not whole."""
    request = api.Request(**message["request"])
    standing = lines.standing(
        str(message["stand"]),
        str(message["host"]),
        downstream,
        upstream,
        bytes.fromhex(message["up"]),
        bytes.fromhex(message["down"]),
    )
    standing.asked.extend(timedelta(microseconds=int(at)) for at in message["asked"])
    standing.answered = timedelta(microseconds=int(message["answered"]))
    standing.started, standing.last = bool(message["started"]), Kind(message["last"])
    return standing, request
