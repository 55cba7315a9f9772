"""The NATS client protocol on both sides: INFO and CONNECT, upstream requests, and message framing.

Written from the protocol's public description. A request is a client's CONNECT. It is up once an upstream host has
answered PONG to the PING that follows our CONNECT; from then on bytes pass unchanged.
"""

from __future__ import annotations

import json
import re
import socket
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import blake2b
from typing import Any

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now, to_milliseconds
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.connections import MessageKind, MessageRun, ProtocolViolationError, ProxiedConnection
from bramblestile.protocol import (
    AttemptLimits,
    ClientRequest,
    DialHost,
    Established,
    NotEstablished,
    SendGuard,
    UpstreamAnswer,
)
from bramblestile.sockets import Address, LineReader, Transport, decode_line
from bramblestile.wire.common import MAX_PINGS, SocketDownstream, dial_plain
from vanegw.interface import Report, Status

MAX_LINE_BYTES = 4096  # one control line with its ending; a host's INFO may have four times as many
PAYLOAD_VERBS = (b"PUB", b"HPUB", b"MSG", b"HMSG")  # their last word is the size of the payload that follows
OVERLONG_LINE = re.compile(rb"^[^\n]{%d}" % (MAX_LINE_BYTES + 1), re.MULTILINE)
NEWLINE = ord("\n")
SHORT_READ_BYTES = 512  # up to which a search for words costs more than a look at the lines
MAX_SIZE_DIGITS = 12  # of the size of a payload; int() raises ValueError for very long ones
CONNECT_TIMEOUT = timedelta(seconds=2)  # for the client's CONNECT; NATS servers use the same
PING, PONG, OK = b"PING\r\n", b"PONG\r\n", b"+OK\r\n"


def error(words: str) -> bytes:
    """Return a ``-ERR`` line."""
    return f"-ERR '{words}'\r\n".encode()


CONNECTIONS_EXCEEDED = "maximum connections exceeded"
STALE_CONNECTION = error("Stale Connection")  # client libraries reconnect when they get it
AUTHENTICATION_TIMEOUT = error("Authentication Timeout")
UNKNOWN_OPERATION = error("Unknown Protocol Operation")
PARSER_ERROR = error("Parser Error")
LINE_TOO_LONG = error("Maximum Control Line Exceeded")
PAYLOAD_TOO_LARGE = error("Maximum Payload Violation")


class RejectedError(Exception):
    """What a client sent in place of a valid CONNECT. ``reply`` is the answer to it."""

    def __init__(self, reply: bytes) -> None:
        super().__init__(decode_line(memoryview(reply)))
        self.reply = reply


@dataclass(slots=True, frozen=True)
class User:
    """The request class and tenant of the clients whose CONNECT names one ``user``."""

    cls: str
    tenant: str | None = None


@dataclass(slots=True, frozen=True)
class ServerInfo:
    """What the front announces in its INFO, and the users that it knows.

    ``default`` stands for clients without a known user. ``max_payload`` is in bytes.
    """

    name: str
    address: Address
    default: User
    users: Mapping[str, User] = field(default_factory=dict)
    max_payload: int = 1 << 20

    def info_line(self, ldm: bool = False) -> bytes:
        """Return the INFO line; ``ldm`` (lame duck mode) tells clients to connect elsewhere."""
        info: dict[str, Any] = {
            "server_id": self.name,
            "server_name": self.name,
            "version": "2.10.0",
            "proto": 1,
            "headers": True,
            "host": self.address[0],
            "port": self.address[1],
            "max_payload": self.max_payload,
        }
        if ldm:
            info["ldm"] = True
        return b"INFO " + json.dumps(info, separators=(",", ":")).encode() + b"\r\n"


def read_connect(
    sock: socket.socket, reader: LineReader, server_info: ServerInfo, timeouts: Mapping[str, timedelta]
) -> tuple[ClientRequest, bytes, bool] | None:
    """Read the client's CONNECT, answering PINGs that precede it.

    ``timeouts`` holds how long the clients of each request class wait for their answer. Returns the request, the line
    as it was received, and whether the client is verbose; None where the client left. Raises RejectedError.
    """
    until = now() + CONNECT_TIMEOUT
    for _ in range(MAX_PINGS):
        try:
            line = reader.line(max(until - now(), ZERO_DURATION))
        except TimeoutError:
            raise RejectedError(AUTHENTICATION_TIMEOUT) from None
        except sockets.LineTooLongError:
            raise RejectedError(LINE_TOO_LONG) from None
        if line is None:
            return None
        word, _, rest = bytes(line).strip().partition(b" ")
        if word.upper() == b"PING":
            sockets.write(sock, [PONG])
        elif word.upper() == b"CONNECT":
            break
        else:
            raise RejectedError(UNKNOWN_OPERATION)
    else:
        raise RejectedError(UNKNOWN_OPERATION)
    try:
        options = json.loads(rest)
        user = server_info.users.get(str(options.get("user")), server_info.default)
        name = options.get("name")
        verbose = bool(options.get("verbose"))
    except (ValueError, AttributeError):
        raise RejectedError(PARSER_ERROR) from None
    # Clients with the same name work on the same collection, so the module treats them as a group.
    tag = blake2b(name.encode(), digest_size=6).digest() if isinstance(name, str) else None
    group = int.from_bytes(tag, "big") if tag else None
    request = ClientRequest(uuid.uuid4().hex, user.cls, timeouts[user.cls], user.tenant, group=group)
    return request, bytes(line), verbose


def announces_lame_duck(info: bytes) -> bool:
    """Return whether an INFO line announces lame duck mode, which means that the host drains."""
    try:
        options = json.loads(info.partition(b" ")[2])
        return isinstance(options, dict) and options.get("ldm") is True
    except ValueError:
        return False


def error_status(line: bytes) -> Status:
    """Return the status for a host's ``-ERR``. A full host has not processed the CONNECT; otherwise it may have run."""
    lowered = line.lower()
    return Status.NO_ROOM if b"maximum" in lowered and b"connections exceeded" in lowered else Status.ERROR


def has_stopped_draining(dial: DialHost, host: UpstreamHost, timeout: timedelta) -> bool:
    """Connect to a host, read its INFO and return whether it no longer announces lame duck mode. Sends nothing."""
    try:
        transport = dial(host, AttemptLimits(now() + timeout, timeout))
        try:
            line = LineReader(transport, MAX_LINE_BYTES * 4).line(timeout)
            return line is not None and bytes(line[:4]).upper() == b"INFO" and not announces_lame_duck(bytes(line))
        finally:
            sockets.close(transport)
    except (OSError, sockets.LineTooLongError):
        return False


def read_info(transport: Transport, limits: AttemptLimits) -> bytes:
    """Read the INFO that a host sends in plain text before TLS begins. Raises DialError."""
    reader = LineReader(transport, MAX_LINE_BYTES * 4)
    try:
        line = reader.line(max(limits.first_byte_until - now(), ZERO_DURATION), interrupt=limits.interrupt)
    except TimeoutError:
        raise sockets.DialError("nats: no INFO in time") from None
    except sockets.LineTooLongError:
        raise sockets.DialError("nats: the INFO line is too long") from None
    if line is None or bytes(line[:4]).upper() != b"INFO":
        raise sockets.DialError("nats: the host did not begin with INFO")
    info = bytes(line)
    if reader.take_buffered():
        # An attacker on the path could inject plain text that would appear to have come over TLS.
        raise sockets.DialError("nats: the host sends more than INFO before TLS")
    return info


class NatsFramer:
    """Frames one direction of NATS messages, across reads of any size; payloads may hold any bytes.

    Lines that mean nothing here, and repeated ones, are not looked at one by one: a client may send thousands in one
    read, and all connections share one interpreter.
    """

    def __init__(self, kinds: Mapping[bytes, MessageKind], max_payload: int | None = None) -> None:
        self._kinds = kinds
        self._max_payload = max_payload  # bytes; None: sizes are not checked, as for upstream hosts
        self._payload_remaining = 0  # bytes of the current payload, with its line ending, still to come
        words = (*PAYLOAD_VERBS, b"INFO", *kinds)
        self._lower_words = [word.lower() for word in words]
        self._first_word = re.compile(rb"^[ \t\r\v\f]*(?:%b)(?=\s)" % b"|".join(words), re.MULTILINE | re.IGNORECASE)
        # By a word alone on its line, as it is usually written: its kind, and such lines one after another.
        self._word_lines = {word + b"\r\n": (kind, re.compile(rb"(?:%b\r\n)+" % word)) for word, kind in kinds.items()}

    def feed(self, data: memoryview) -> tuple[int, list[MessageRun]]:
        """Return how much may be forwarded and the control lines that end in it. Raises ProtocolViolationError."""
        raw, position = bytes(data), 0
        has_words = len(raw) <= SHORT_READ_BYTES or self._contains_words(raw)
        runs: list[MessageRun] = []
        run_kind, run_count = MessageKind.OTHER, 0
        while position < len(raw):
            if self._payload_remaining:
                step = min(self._payload_remaining, len(raw) - position)
                self._payload_remaining -= step
                position += step
                continue
            position, kind, count = self._next_lines(raw, position, has_words)
            if not count:
                break
            if kind is not run_kind and run_count:
                runs.append(MessageRun(run_kind, run_count))
                run_count = 0
            run_kind = kind
            run_count += count
        if run_count:
            runs.append(MessageRun(run_kind, run_count))
        return position, runs

    def _contains_words(self, raw: bytes) -> bool:
        lowered = raw.lower()
        return any(word in lowered for word in self._lower_words)

    def _next_lines(self, raw: bytes, start: int, has_words: bool) -> tuple[int, MessageKind, int]:
        """Return the end, the kind and the number of the lines of one kind at ``start``; 0 if none is complete."""
        for word_line, (kind, pattern) in self._word_lines.items():
            if raw.startswith(word_line, start):
                match = pattern.match(raw, start)
                end = start + len(word_line) if match is None else match.end()
                return end, kind, (end - start) // len(word_line)
        # The end of a payload of the wrong size is no line's end, which the pattern of a line's first word relies on.
        if not start or raw[start - 1] == NEWLINE:
            end = self._skip_other_lines(raw, start, has_words)
            if end > start:
                return end, MessageKind.OTHER, raw.count(b"\n", start, end)
        end = raw.find(b"\n", start) + 1
        if (end or len(raw) + 1) - 1 - start > MAX_LINE_BYTES and self._max_payload is not None:
            raise ProtocolViolationError(LINE_TOO_LONG)
        if not end:
            return start, MessageKind.OTHER, 0
        return end, self._parse_line(raw[start:end]), 1

    def _skip_other_lines(self, raw: bytes, start: int, has_words: bool) -> int:
        """Return where the first line from ``start`` on begins that may mean something here, or that is incomplete."""
        match = self._first_word.search(raw, start) if has_words else None
        if match is not None and match.start() == start:
            return start
        end = raw.rfind(b"\n", start, len(raw) if match is None else match.start()) + 1
        if end <= start:
            return start
        if self._max_payload is not None and OVERLONG_LINE.search(raw, start, end):
            raise ProtocolViolationError(LINE_TOO_LONG)
        return end

    def _parse_line(self, line: bytes) -> MessageKind:
        """Return what a control line means, and expect the payload that it announces."""
        words = line.split()
        word = words[0].upper() if words else b""
        if word in PAYLOAD_VERBS:
            if not words[-1].isdigit() or len(words[-1]) > MAX_SIZE_DIGITS:
                if self._max_payload is not None:
                    raise ProtocolViolationError(PARSER_ERROR)
                return MessageKind.OTHER
            size = int(words[-1])
            if self._max_payload is not None and size > self._max_payload:
                raise ProtocolViolationError(PAYLOAD_TOO_LARGE)
            self._payload_remaining = size + 2
        if word == b"INFO" and announces_lame_duck(line):
            return MessageKind.DRAINING
        return self._kinds.get(word, MessageKind.OTHER)

    def at_boundary(self) -> bool:
        """Return whether no part of a payload is still to come."""
        return self._payload_remaining == 0


class NatsDownstream(SocketDownstream):
    """One NATS client, whose CONNECT has been read."""

    def __init__(
        self,
        sock: socket.socket,
        reader: LineReader,
        server_info: ServerInfo,
        request: ClientRequest,
        connect: bytes,
        verbose: bool,
    ) -> None:
        super().__init__(sock, reader, request)
        self._server_info = server_info
        self._connect = connect
        self._verbose = verbose

    def refuse(self, retry_after: timedelta) -> None:
        """Send that the maximum of connections is exceeded, with the retry time if there is one."""
        ms = to_milliseconds(retry_after)
        self._reply(error(f"{CONNECTIONS_EXCEEDED}, come back in {ms} ms" if ms > 0 else CONNECTIONS_EXCEEDED))

    def fail(self) -> None:
        """Send that the connection is stale."""
        self._reply(STALE_CONNECTION)

    def _exchange(self, upstream: Transport, limits: AttemptLimits, send_guard: SendGuard) -> UpstreamAnswer:
        """Wait for the host's INFO, send the client's CONNECT and a PING, and wait for the PONG that accepts it."""
        reader = LineReader(upstream, MAX_LINE_BYTES * 4)  # an INFO may be longer than a client's lines
        sent = False
        while True:
            try:
                until = limits.until if sent else limits.first_byte_until
                remaining = max(until - now(), ZERO_DURATION)
                line = reader.line(remaining, abort_on=self._sock, interrupt=limits.interrupt)
            except TimeoutError:
                return NotEstablished(Status.TIMED_OUT if sent else limits.unsent_status)
            except InterruptedError:
                return NotEstablished(Status.CANCELLED, downstream_left=True)
            except (OSError, sockets.LineTooLongError):
                line = None
            if line is None:
                return NotEstablished(Status.CUT if sent else Status.NO_ROUTE)
            received = bytes(line).strip()
            word = received.partition(b" ")[0].upper()
            if word == b"INFO":
                if announces_lame_duck(received):
                    # It drains: before CONNECT nothing has run, after it the client is sent away.
                    return NotEstablished(Status.CANCELLED if sent else Status.NO_ROOM, host_drains=True)
                if not sent:
                    unsent = self._send_request(upstream, send_guard, [self._connect, PING])
                    if unsent is not None:
                        return unsent
                    sent = True
            elif word == b"-ERR":
                return NotEstablished(error_status(received))
            elif word == b"PING":
                sockets.write(upstream, [PONG])  # the host measures its round trip; the client is not connected yet
            elif word == b"PONG" and sent:
                return Established(self._connection(upstream, reader))
            elif word != b"+OK":
                return NotEstablished(Status.ERROR)

    def _connection(self, upstream: Transport, reader: LineReader) -> ProxiedConnection:
        server_info = self._server_info
        return ProxiedConnection(
            self._request.id,
            "",
            self._sock,
            upstream,
            server_info.info_line(ldm=True),
            NatsFramer({b"PONG": MessageKind.RESPONSE}),
            NatsFramer({b"PING": MessageKind.QUERY}, server_info.max_payload),
            unsent_to_upstream=self._reader.take_buffered(),
            unsent_to_downstream=(OK if self._verbose else b"") + reader.take_buffered(),
            started=True,
            sends_completion=False,
        )


class Prober:
    """Probes whether a host answers PING. NATS hosts report no load."""

    def __init__(self, dial: DialHost = dial_plain) -> None:
        self._dial = dial

    def probe(self, host: UpstreamHost, timeout: timedelta) -> tuple[Status, Report | None]:
        """Connect, send CONNECT and PING, and return how that ended; there is never a load report."""
        until = now() + timeout
        try:
            transport = self._dial(host, AttemptLimits(until, timeout))
            try:
                reader = LineReader(transport, MAX_LINE_BYTES * 4)
                sockets.write(transport, [b'CONNECT {"verbose":false}\r\n', PING])
                while line := reader.line(max(until - now(), ZERO_DURATION)):
                    word = bytes(line).partition(b" ")[0].strip().upper()
                    if word in (b"PONG", b"-ERR"):
                        return (Status.SERVED, None) if word == b"PONG" else (error_status(bytes(line)), None)
                return Status.CUT, None
            finally:
                sockets.close(transport)
        except sockets.DialError as error:
            return (Status.NOT_SENT if error.skipped else Status.NO_ROUTE), None
        except TimeoutError:
            return Status.TIMED_OUT, None
        except (OSError, sockets.LineTooLongError):
            return Status.NO_ROUTE, None

    def close(self) -> None:
        """Do nothing: no connection is kept."""
