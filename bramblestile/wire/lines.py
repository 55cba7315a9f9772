"""The platform's line protocol: its first line, its answers, its probes, and how its lines pass."""

from __future__ import annotations

import math
import socket
from dataclasses import dataclass
from datetime import timedelta
from string import hexdigits

from bramblestile import sockets
from bramblestile.clock import MICROSECOND, ZERO_DURATION, now, to_milliseconds
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.connections import Message, MessageKind, ProxiedConnection
from bramblestile.protocol import ClientRequest, DialHost, Established, NotEstablished, SendGuard, UpstreamAnswer
from bramblestile.sockets import LineReader, Transport, decode_line
from bramblestile.wire.common import SocketDownstream, dial_plain
from vanegw.interface import Report, Status

MAX_LINE_BYTES = 4096  # bytes of one line with its ending
MOVE = b"MOVE\r\n"
PONG = b"PONG\r\n"
ERR = b"ERR\r\n"
BUSY = b"BUSY\r\n"
# The answer's way back to the downstream takes time too: it must come before the downstream gives up.
WAY_BACK = timedelta(milliseconds=15)
LONGEST_WAIT = timedelta(seconds=60)  # no class waits nearly so long for its UP
LARGEST_HINT = 1e12
OUTCOMES = {"BYE": Status.SERVED, "MOVE": Status.CANCELLED, "ERR": Status.ERROR, "BUSY": Status.NO_ROOM}
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


class MalformedError(Exception):
    """A first line that the protocol does not know."""


@dataclass(slots=True, frozen=True)
class OpenLine:
    """A first line, kept as it came, and where in it the value of ``d`` stands."""

    line: bytes
    d_start: int
    d_end: int

    def parts(self, wait: timedelta) -> list[bytes | memoryview]:
        """The line for the upstream host: unchanged but for how long the balancer will wait."""
        if self.d_start == self.d_end:
            return [self.line]
        view = memoryview(self.line)
        return [view[: self.d_start], b"%d" % max(1, to_milliseconds(wait)), view[self.d_end :]]


def parse_open(line: memoryview) -> tuple[ClientRequest, OpenLine]:
    """``OPEN ID KEY NAME=VALUE,...``; names that are not known are passed on and ignored."""
    raw = bytes(line)
    words = raw.rstrip(b"\r\n").split(b" ")
    if len(words) != 4 or words[0] != b"OPEN" or not words[1]:
        raise MalformedError("not OPEN ID KEY LIST")
    values: dict[str, str] = {}
    at = len(raw.rstrip(b"\r\n")) - len(words[3])
    d_start = d_end = 0
    for pair in words[3].split(b","):
        name, _, value = pair.partition(b"=")
        if name == b"d":
            d_start, d_end = at + 2, at + len(pair)
        values[str(name, "ascii", "replace")] = str(value, "ascii", "replace")
        at += len(pair) + 1
    bound_to = values.get("at")
    wait = _milliseconds(values.get("d", ""))
    if bound_to is not None:
        wait = min(wait, LONGEST_WAIT)  # such a client waits on and on; the run has long begun without it
    elif not ZERO_DURATION < wait <= LONGEST_WAIT:
        raise MalformedError(f"d: {values['d'][:20]!r}")
    hint = _number(values["h"].encode()) if values.get("h") else None
    if hint is not None and not 0 <= hint < LARGEST_HINT:
        raise MalformedError(f"h: {values['h'][:20]!r}")
    asked = ClientRequest(
        str(words[1], "ascii", "replace"),
        values.get("c", ""),
        wait - WAY_BACK,
        values.get("t"),
        _tag(str(words[2], "ascii", "replace")),
        _tag(values.get("g", "")),
        hint,
        values.get("r") == "1",
        values.get("again") == "1",
        bound_to,
    )
    return asked, OpenLine(raw, d_start, d_end)


def _milliseconds(value: str) -> timedelta:
    """Digits and nothing else: int() would also take '-5', '1_0' and numbers that no span can hold."""
    if not (value.isascii() and value.isdigit() and len(value) <= 10):
        raise MalformedError(f"d: {value[:20]!r}")
    return timedelta(milliseconds=int(value))


def _tag(value: str) -> int | None:
    """A key or a group: up to 64 bits in hexadecimal."""
    if not value:
        return None
    if len(value) > 16 or not all(c in hexdigits for c in value):
        raise MalformedError(f"key or group: {value[:20]!r}")
    return int(value, 16)


def parse_report(words: str) -> Report | None:
    """``x0=0.61,queue=2``: the fields that are known; None when there is none."""
    got: dict[str, float] = {}
    for pair in words.split(","):
        name, _, value = pair.partition("=")
        if name in REPORT_FIELDS:
            try:
                number = float(value)
            except ValueError:
                continue
            if math.isfinite(number) and number >= 0:  # a broken reading is no reading
                got[REPORT_FIELDS[name]] = number
    return Report(**got) if got else None


class LineFramer:
    """Passes whole lines on. ``meanings`` tells what the first word of a line stands for."""

    def __init__(self, meanings: dict[bytes, MessageKind], other: MessageKind) -> None:
        self._meanings = meanings
        self._other = other

    def feed(self, data: memoryview) -> tuple[int, list[Message]]:
        raw = bytes(data)
        passed = raw.rfind(b"\n") + 1
        messages = []
        for line in raw[:passed].splitlines():
            word, _, rest = line.partition(b" ")
            kind = self._meanings.get(word, self._other)
            messages.append(Message(kind, _number(rest) if kind is MessageKind.LOAD else 0.0))
        return passed, messages

    def at_boundary(self) -> bool:
        return True  # only whole lines go on


class PlainFramer:
    """Passes everything on at once; counts the lines that end."""

    def feed(self, data: memoryview) -> tuple[int, list[Message]]:
        return len(data), [Message(MessageKind.QUERY)] * bytes(data).count(b"\n")

    def at_boundary(self) -> bool:
        return True


FROM_UPSTREAM = {b"LOAD": MessageKind.LOAD, b"BYE": MessageKind.COMPLETION, b"MOVE": MessageKind.SENT_AWAY}


def _number(value: bytes) -> float:
    try:
        return float(value)
    except ValueError:
        return float("nan")


class LineDownstream(SocketDownstream):
    """One client of the platform, whose first line has been read."""

    def __init__(self, sock: socket.socket, reader: LineReader, asked: ClientRequest, head: OpenLine) -> None:
        super().__init__(sock, reader, asked)
        self._head = head

    def refuse(self, retry_after: timedelta) -> None:
        ms = to_milliseconds(retry_after)
        self._reply(b"BUSY %d\r\n" % ms if ms > 0 else b"BUSY\r\n")

    def fail(self) -> None:
        self._reply(ERR)

    def _ask(self, upstream: Transport, until: timedelta, send_guard: SendGuard) -> UpstreamAnswer:
        # A bound connection's line goes as it came: the host knows it by what it was.
        bound = self._asked.bound_to is not None
        try:
            with send_guard() as allowed:
                if not allowed:  # a host that began to drain while we dialled must not get the request
                    return NotEstablished(Status.NO_ROUTE)
                sockets.write(upstream, [self._head.line] if bound else self._head.parts(until - now()))
        except OSError:
            return NotEstablished(Status.NO_ROUTE)  # broke before the last byte was written: it never ran
        reader = LineReader(upstream, MAX_LINE_BYTES)
        try:
            line = reader.line(max(until - now(), ZERO_DURATION), abort_on=self._sock)
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
            return NotEstablished(OUTCOMES.get(word, Status.ERROR), host_drains=word == "MOVE")
        return Established(
            connection(
                self._asked.id,
                "",
                self._sock,
                upstream,
                self._reader.take_buffered(),
                bytes(line) + reader.take_buffered(),
            )
        )


def connection(
    name: str,
    host: str,
    downstream: socket.socket,
    upstream: Transport,
    unsent_to_upstream: bytes,
    unsent_to_downstream: bytes,
) -> ProxiedConnection:
    """A connection of this protocol that is up. The framers keep nothing between two reads."""
    return ProxiedConnection(
        name,
        host,
        downstream,
        upstream,
        MOVE,
        LineFramer(FROM_UPSTREAM, MessageKind.RESPONSE),
        PlainFramer(),
        unsent_to_upstream=unsent_to_upstream,
        unsent_to_downstream=unsent_to_downstream,
    )


class Prober:
    """The load of one upstream host, asked over a connection that is kept while it lasts."""

    def __init__(self, dial: DialHost = dial_plain) -> None:
        self._dial = dial
        self._sock: Transport | None = None
        self._reader: LineReader | None = None

    def probe(self, host: UpstreamHost, within: timedelta) -> tuple[Status, Report | None]:
        until = now() + within
        kept = self._sock is not None
        status, report = self._once(host, until)
        if kept and status in (Status.CUT, Status.NO_ROUTE):
            # An idle connection that the host had closed says nothing of the host's health.
            status, report = self._once(host, until)
        return status, report

    def _once(self, host: UpstreamHost, until: timedelta) -> tuple[Status, Report | None]:
        try:
            if self._sock is None:
                self._sock = self._dial(host, until - now(), until)
                self._reader = LineReader(self._sock, MAX_LINE_BYTES)
            sockets.write(self._sock, [b"STATS\r\n"])
        except OSError as error:
            self.close()
            if isinstance(error, sockets.DialError) and error.skipped:
                return Status.NOT_SENT, None
            return Status.NO_ROUTE, None
        assert self._reader is not None
        try:
            line = self._reader.line(max(until - now(), MICROSECOND))
        except TimeoutError:
            self.close()  # a late answer must not be taken for the next one's
            return Status.TIMED_OUT, None
        except (OSError, sockets.LineTooLongError):
            line = None
        if line is None:
            self.close()
            return Status.CUT, None
        word, _, rest = decode_line(line).partition(" ")
        return (Status.SERVED, parse_report(rest)) if word == "PONG" else (Status.ERROR, None)

    def close(self) -> None:
        if self._sock is not None:
            sockets.close(self._sock)
        self._sock = self._reader = None
