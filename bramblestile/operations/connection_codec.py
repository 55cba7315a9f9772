"""Converts a proxied connection of the line front to a handoff message and back.

No I/O: the connection's file descriptors are sent beside the message.
"""

from __future__ import annotations

import socket
from dataclasses import asdict
from datetime import timedelta
from typing import Any

from bramblestile.clock import MICROSECOND
from bramblestile.memory.connections import MessageKind, ProxiedConnection
from bramblestile.wire import lines
from vanegw import interface as api


def encode_connection(connection: ProxiedConnection, request: api.Request) -> dict[str, Any]:
    """Return what another process needs to go on with a connection.

    That is the data that was read and not yet sent on, the times of the queries without a response, and the request.
    """
    return {
        "stand": connection.id,
        "host": connection.host,
        "request": asdict(request),
        "up": connection.unsent_to_upstream.hex(),
        "down": connection.unsent_to_downstream.hex(),
        "asked": [at // MICROSECOND for at in connection.pending_queries],
        "answered": connection.last_response // MICROSECOND,
        "started": connection.started,
        "last": connection.last_kind.value,
    }


def decode_connection(
    message: dict[str, Any], downstream: socket.socket, upstream: socket.socket
) -> tuple[ProxiedConnection, api.Request]:
    """Rebuild a connection and its request from a message and the two sockets.

    Raises KeyError, TypeError or ValueError if the message is incomplete or malformed.
    """
    request = api.Request(**message["request"])
    connection = lines.connection(
        str(message["stand"]),
        str(message["host"]),
        downstream,
        upstream,
        bytes.fromhex(message["up"]),
        bytes.fromhex(message["down"]),
    )
    connection.pending_queries.extend(timedelta(microseconds=int(at)) for at in message["asked"])
    connection.last_response = timedelta(microseconds=int(message["answered"]))
    connection.started, connection.last_kind = bool(message["started"]), MessageKind(message["last"])
    return connection, request
