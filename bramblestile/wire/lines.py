"""The platform's line protocol: first lines, local replies, probes and message framing."""

from __future__ import annotations

import math
import re
import socket
from dataclasses import dataclass
from datetime import timedelta
from string import hexdigits

from bramblestile import sockets
from bramblestile.clock import MICROSECOND, ZERO_DURATION, now, to_milliseconds
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.connections import MessageKind, MessageRun, ProxiedConnection
from bramblestile.protocol import (
    AttemptLimits,
    ClientRequest,
    DialHost,
    Established,
    NotEstablished,
    SendGuard,
    UpstreamAnswer,
)
from bramblestile.sockets import LineReader, Transport, decode_line
from bramblestile.wire.common import SocketDownstream, dial_plain
from vanegw.interface import Report, Status

MAX_LINE_BYTES = 4096  # with the line ending
MOVE = b"MOVE\r\n"
PONG = b"PONG\r\n"
ERR = b"ERR\r\n"
BUSY = b"BUSY\r\n"
# Subtracted from the client's timeout: the answer has to reach the client before it gives up.
REPLY_MARGIN = timedelta(milliseconds=15)
MAX_TIMEOUT = timedelta(seconds=60)  # far longer than any class waits for its UP
MAX_LOAD_HINT = 1e12
STATUS_BY_REPLY = {"BYE": Status.SERVED, "MOVE": Status.CANCELLED, "ERR": Status.ERROR, "BUSY": Status.NO_ROOM}
REPORT_FIELDS = {
    "x0": "load",
    "util": "utilisation",
    "busy": "utilisation",
    "queue": "queue",
    "q": "queue",
    "inflight": "inflight",
    "rif": "inflight",
    "x1": "backlog_s",
    "latency_ms": "latency_ms",
    "lat_ms": "latency_ms",
    "qps": "rate",
    "rate": "rate",
    "eps": "error_rate",
    "fail_rate": "error_rate",
}


class MalformedRequestError(Exception):
    """A first line that the protocol does not allow."""


@dataclass(slots=True, frozen=True)
class OpenLine:
    """An OPEN line as it was received, with the position of the value of ``d``, the client's timeout."""

    line: bytes
    d_start: int
    d_end: int

    def for_upstream(self, timeout: timedelta) -> list[bytes | memoryview]:
        """Return the line for the upstream host: unchanged except for ``d``, which becomes this timeout."""
        if self.d_start == self.d_end:
            return [self.line]
        view = memoryview(self.line)
        return [view[: self.d_start], b"%d" % max(1, to_milliseconds(timeout)), view[self.d_end :]]


def parse_open(line: memoryview) -> tuple[ClientRequest, OpenLine]:
    """Parse ``OPEN ID KEY NAME=VALUE,...``. Unknown names are forwarded and otherwise ignored.

    Raises MalformedRequestError.
    """
    raw = bytes(line)
    words = raw.rstrip(b"\r\n").split(b" ")
    if len(words) != 4 or words[0] != b"OPEN" or not words[1]:
        raise MalformedRequestError("not OPEN ID KEY LIST")
    values: dict[str, str] = {}
    position = len(raw.rstrip(b"\r\n")) - len(words[3])
    d_start = d_end = 0
    for pair in words[3].split(b","):
        name, _, value = pair.partition(b"=")
        if name == b"d":
            d_start, d_end = position + 2, position + len(pair)
        values[str(name, "ascii", "replace")] = str(value, "ascii", "replace")
        position += len(pair) + 1
    bound_to = values.get("at")
    timeout = _parse_timeout(values.get("d", ""))
    if bound_to is not None:
        timeout = min(
            timeout, MAX_TIMEOUT
        )  # clients of bound connections may wait without limit: their run has long begun
    elif not ZERO_DURATION < timeout <= MAX_TIMEOUT:
        raise MalformedRequestError(f"d: {values['d'][:20]!r}")
    hint = _parse_float(values["h"].encode()) if values.get("h") else None
    if hint is not None and not 0 <= hint < MAX_LOAD_HINT:
        raise MalformedRequestError(f"h: {values['h'][:20]!r}")
    request = ClientRequest(
        str(words[1], "ascii", "replace"),
        values.get("c", ""),
        timeout - REPLY_MARGIN,
        values.get("t"),
        _parse_hex(str(words[2], "ascii", "replace")),
        _parse_hex(values.get("g", "")),
        hint,
        values.get("r") == "1",
        values.get("again") == "1",
        bound_to,
    )
    return request, OpenLine(raw, d_start, d_end)


def _parse_timeout(value: str) -> timedelta:
    """Parse digits only: int() would also accept '-5', '1_0' and numbers that no timedelta can hold."""
    if not (value.isascii() and value.isdigit() and len(value) <= 10):
        raise MalformedRequestError(f"d: {value[:20]!r}")
    return timedelta(milliseconds=int(value))


def _parse_hex(value: str) -> int | None:
    """Parse a key or a group: up to 64 bits in hexadecimal, or nothing."""
    if not value:
        return None
    if len(value) > 16 or not all(c in hexdigits for c in value):
        raise MalformedRequestError(f"key or group: {value[:20]!r}")
    return int(value, 16)


def parse_report(words: str) -> Report | None:
    """Parse a load report such as ``x0=0.61,queue=2``. None where it has no known field."""
    fields: dict[str, float] = {}
    for pair in words.split(","):
        name, _, value = pair.partition("=")
        if name in REPORT_FIELDS:
            try:
                number = float(value)
            except ValueError:
                continue
            if math.isfinite(number) and number >= 0:  # any other value is a broken reading
                fields[REPORT_FIELDS[name]] = number
    return Report(**fields) if fields else None


class LineFramer:
    """Forwards complete lines only. ``kinds`` maps a line's first word to its meaning; all others mean ``other``."""

    def __init__(self, kinds: dict[bytes, MessageKind], other: MessageKind) -> None:
        self._kinds = kinds
        self._other = other
        self._first_word = re.compile(rb"^(%b)(?=[ \r\n])" % b"|".join(kinds), re.MULTILINE)

    def feed(self, data: memoryview) -> tuple[int, list[MessageRun]]:
        """Return the size of the complete lines and their meanings."""
        raw = bytes(data)
        passed = raw.rfind(b"\n") + 1
        runs: list[MessageRun] = []
        position = 0
        for match in self._first_word.finditer(raw, 0, passed):
            self._add_others(runs, raw, position, match.start())
            position = raw.index(b"\n", match.end()) + 1
            kind = self._kinds[match[1]]
            value = _parse_float(raw[match.end() : position]) if kind is MessageKind.LOAD else 0.0
            runs.append(MessageRun(kind, value=value))
        self._add_others(runs, raw, position, passed)
        return passed, runs

    def _add_others(self, runs: list[MessageRun], raw: bytes, start: int, end: int) -> None:
        count = raw.count(b"\n", start, end)
        if count:
            runs.append(MessageRun(self._other, count))

    def at_boundary(self) -> bool:
        """Return True: only complete lines are forwarded."""
        return True


class PassthroughFramer:
    """Forwards everything at once and counts the lines that end."""

    def feed(self, data: memoryview) -> tuple[int, list[MessageRun]]:
        """Return the size of the data and a query for each line that ends in it."""
        return len(data), [MessageRun(MessageKind.QUERY, bytes(data).count(b"\n"))]

    def at_boundary(self) -> bool:
        """Return True: this direction is never interrupted."""
        return True


UPSTREAM_KINDS = {b"LOAD": MessageKind.LOAD, b"BYE": MessageKind.COMPLETION, b"MOVE": MessageKind.SENT_AWAY}


def _parse_float(value: bytes) -> float:
    try:
        return float(value)
    except ValueError:
        return float("nan")


class LineDownstream(SocketDownstream):
    """One client of the platform, whose first line has been read."""

    def __init__(self, sock: socket.socket, reader: LineReader, request: ClientRequest, open_line: OpenLine) -> None:
        super().__init__(sock, reader, request)
        self._open_line = open_line

    def refuse(self, retry_after: timedelta) -> None:
        """Send BUSY, with the retry time in milliseconds if there is one."""
        ms = to_milliseconds(retry_after)
        self._reply(b"BUSY %d\r\n" % ms if ms > 0 else b"BUSY\r\n")

    def fail(self) -> None:
        """Send ERR."""
        self._reply(ERR)

    def _exchange(self, upstream: Transport, limits: AttemptLimits, send_guard: SendGuard) -> UpstreamAnswer:
        """Send the request line and wait for the first line of the answer; ``UP`` establishes the connection."""
        # The line of a bound connection is sent unchanged: the host knows the connection by it.
        bound = self._request.bound_to is not None
        line_parts = [self._open_line.line] if bound else self._open_line.for_upstream(limits.until - now())
        unsent = self._send_request(upstream, send_guard, line_parts)
        if unsent is not None:
            return unsent
        reader = LineReader(upstream, MAX_LINE_BYTES)
        try:
            remaining = max(limits.until - now(), ZERO_DURATION)
            line = reader.line(remaining, abort_on=self._sock, interrupt=limits.interrupt)
        except TimeoutError:
            return NotEstablished(Status.TIMED_OUT)
        except InterruptedError:
            return NotEstablished(Status.CANCELLED, downstream_left=True)
        except (OSError, sockets.LineTooLongError):
            return NotEstablished(Status.CUT)
        if line is None:
            return NotEstablished(Status.CUT)
        word = decode_line(line).partition(" ")[0]
        if word != "UP":
            return NotEstablished(STATUS_BY_REPLY.get(word, Status.ERROR), host_drains=word == "MOVE")
        return Established(
            connection(
                self._request.id,
                "",
                self._sock,
                upstream,
                self._reader.take_buffered(),
                bytes(line) + reader.take_buffered(),
            )
        )


def connection(
    connection_id: str,
    host: str,
    downstream: socket.socket,
    upstream: Transport,
    unsent_to_upstream: bytes,
    unsent_to_downstream: bytes,
) -> ProxiedConnection:
    """Create an established connection of this protocol. Its framers keep no state between two reads."""
    return ProxiedConnection(
        connection_id,
        host,
        downstream,
        upstream,
        MOVE,
        LineFramer(UPSTREAM_KINDS, MessageKind.RESPONSE),
        PassthroughFramer(),
        unsent_to_upstream=unsent_to_upstream,
        unsent_to_downstream=unsent_to_downstream,
    )


class Prober:
    """Asks one upstream host for its load, over a connection that is kept open."""

    def __init__(self, dial: DialHost = dial_plain) -> None:
        self._dial = dial
        self._transport: Transport | None = None
        self._reader: LineReader | None = None

    def probe(self, host: UpstreamHost, timeout: timedelta) -> tuple[Status, Report | None]:
        """Send one probe and return how it ended, with the host's load report if there is one."""
        until = now() + timeout
        reused = self._transport is not None
        status, report = self._probe_once(host, until)
        if reused and status in (Status.CUT, Status.NO_ROUTE):
            # That the host closed an idle connection says nothing of its health.
            status, report = self._probe_once(host, until)
        return status, report

    def _probe_once(self, host: UpstreamHost, until: timedelta) -> tuple[Status, Report | None]:
        """Send one STATS probe, over the connection of the last one if it is still open; return its result."""
        try:
            if self._transport is None:
                self._transport = self._dial(host, AttemptLimits(until, until - now()))
                self._reader = LineReader(self._transport, MAX_LINE_BYTES)
            sockets.write(self._transport, [b"STATS\r\n"])
        except OSError as error:
            self.close()
            if isinstance(error, sockets.DialError) and error.skipped:
                return Status.NOT_SENT, None
            return Status.NO_ROUTE, None
        assert self._reader is not None
        try:
            line = self._reader.line(max(until - now(), MICROSECOND))
        except TimeoutError:
            self.close()  # a late answer must not be taken for that of the next probe
            return Status.TIMED_OUT, None
        except (OSError, sockets.LineTooLongError):
            line = None
        if line is None:
            self.close()
            return Status.CUT, None
        word, _, rest = decode_line(line).partition(" ")
        return (Status.SERVED, parse_report(rest)) if word == "PONG" else (Status.ERROR, None)

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._transport is not None:
            sockets.close(self._transport)
        self._transport = self._reader = None
