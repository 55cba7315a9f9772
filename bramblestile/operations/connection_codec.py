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

    The keys are those that existing processes exchange:

    - ``stand``: the connection's id; ``host``: the id of the upstream host; ``request``: the request's fields.
    - ``up``, ``down``: bytes read and not yet sent on to the upstream host or to the downstream, in hexadecimal.
    - ``asked``: times of the queries without a response; ``answered``: time of the last response; in microseconds.
    - ``started``, ``last``: the attributes ``started`` and ``last_kind`` of the connection.
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
    """Rebuild a connection of the line protocol and its request from a message and the two sockets.

    ``encode_connection`` describes the keys of the message.
    Raises KeyError, TypeError or ValueError if the message is incomplete or malformed.
    """
    request = api.Request(**message["request"])
    connection = lines.connection(
        connection_id=str(message["stand"]),
        host=str(message["host"]),
        downstream=downstream,
        upstream=upstream,
        unsent_to_upstream=bytes.fromhex(message["up"]),
        unsent_to_downstream=bytes.fromhex(message["down"]),
    )
    connection.pending_queries.extend(timedelta(microseconds=int(at)) for at in message["asked"])
    connection.last_response = timedelta(microseconds=int(message["answered"]))
    connection.started, connection.last_kind = bool(message["started"]), MessageKind(message["last"])
    return connection, request
