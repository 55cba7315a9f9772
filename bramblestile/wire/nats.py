"""The NATS client protocol on both sides: INFO and CONNECT, upstream requests, and how messages pass.

Written from the protocol's public description. A request is a client's CONNECT; it is up once an upstream
host has answered PONG to the PING that follows our CONNECT. From then on bytes pass unchanged.
"""

from __future__ import annotations

import json
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
from bramblestile.memory.connections import Message, MessageKind, ProtocolViolationError, ProxiedConnection
from bramblestile.protocol import ClientRequest, DialHost, Established, NotEstablished, SendGuard, UpstreamAnswer
from bramblestile.sockets import Address, LineReader, Transport, decode_line
from bramblestile.wire.common import MAX_PINGS, SocketDownstream, dial_plain
from vanegw.interface import Report, Status

MAX_LINE_BYTES = 4096  # bytes of one control line with its ending
PAYLOADS = (b"PUB", b"HPUB", b"MSG", b"HMSG")  # their last word is the size of what follows
CONNECT_TIMEOUT = timedelta(seconds=2)  # for the client's CONNECT, as common servers have it
PING, PONG, OK = b"PING\r\n", b"PONG\r\n", b"+OK\r\n"


def error(words: str) -> bytes:
    return f"-ERR '{words}'\r\n".encode()


CONNECTIONS_EXCEEDED = "maximum connections exceeded"
STALE_CONNECTION = error("Stale Connection")  # client libraries answer it by connecting again
NO_CONNECT = error("Authentication Timeout")
UNKNOWN = error("Unknown Protocol Operation")
PARSER = error("Parser Error")
LINE_LIMIT = error("Maximum Control Line Exceeded")
PAYLOAD_LIMIT = error("Maximum Payload Violation")


class RejectedError(Exception):
    """What the client said before it was taken is answered with this reply."""

    def __init__(self, reply: bytes) -> None:
        super().__init__(decode_line(memoryview(reply)))
        self.reply = reply


@dataclass(slots=True, frozen=True)
class User:
    """What a CONNECT's ``user`` stands for in the module's terms."""

    cls: str
    tenant: str | None = None


@dataclass(slots=True, frozen=True)
class ServerInfo:
    """What the front says of itself, and whom it knows."""

    name: str
    address: Address
    default: User
    users: Mapping[str, User] = field(default_factory=dict)
    max_payload: int = 1 << 20

    def info_line(self, ldm: bool = False) -> bytes:
        said: dict[str, Any] = {
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
            said["ldm"] = True
        return b"INFO " + json.dumps(said, separators=(",", ":")).encode() + b"\r\n"


def read_connect(
    sock: socket.socket, reader: LineReader, server_info: ServerInfo, waits: Mapping[str, timedelta]
) -> tuple[ClientRequest, bytes, bool] | None:
    """The client's CONNECT: what it asks for, the line as it came, whether it is verbose. None: it left."""
    until = now() + CONNECT_TIMEOUT
    for _ in range(MAX_PINGS):
        try:
            line = reader.line(max(until - now(), ZERO_DURATION))
        except TimeoutError:
            raise RejectedError(NO_CONNECT) from None
        except sockets.LineTooLongError:
            raise RejectedError(LINE_LIMIT) from None
        if line is None:
            return None
        word, _, rest = bytes(line).strip().partition(b" ")
        if word.upper() == b"PING":
            sockets.write(sock, [PONG])
        elif word.upper() == b"CONNECT":
            break
        else:
            raise RejectedError(UNKNOWN)
    else:
        raise RejectedError(UNKNOWN)
    try:
        options = json.loads(rest)
        user = server_info.users.get(str(options.get("user")), server_info.default)
        name = options.get("name")
        verbose = bool(options.get("verbose"))
    except (ValueError, AttributeError):
        raise RejectedError(PARSER) from None
    # Clients of one name work on the same collection: they are a group to the module.
    tag = blake2b(name.encode(), digest_size=6).digest() if isinstance(name, str) else None
    group = int.from_bytes(tag, "big") if tag else None
    asked = ClientRequest(uuid.uuid4().hex, user.cls, waits[user.cls], user.tenant, group=group)
    return asked, bytes(line), verbose


def is_ldm(info: bytes) -> bool:
    try:
        said = json.loads(info.partition(b" ")[2])
        return isinstance(said, dict) and said.get("ldm") is True
    except ValueError:
        return False


def error_status(line: bytes) -> Status:
    """A host that is full has not looked at the CONNECT; after any other error it may have run."""
    said = line.lower()
    return Status.NO_ROOM if b"maximum" in said and b"connections exceeded" in said else Status.ERROR


def has_stopped_draining(dial: DialHost, host: UpstreamHost, within: timedelta) -> bool:
    """Reads a host's INFO, sends nothing, and leaves."""
    try:
        sock = dial(host, within, now() + within)
        try:
            line = LineReader(sock, MAX_LINE_BYTES * 4).line(within)
            return line is not None and bytes(line[:4]).upper() == b"INFO" and not is_ldm(bytes(line))
        finally:
            sockets.close(sock)
    except (OSError, sockets.LineTooLongError):
        return False


def read_info(sock: Transport, until: timedelta) -> bytes:
    """What a host says before TLS begins: its INFO, and not a byte more. DialError."""
    reader = LineReader(sock, MAX_LINE_BYTES * 4)
    try:
        line = reader.line(max(until - now(), ZERO_DURATION))
    except TimeoutError:
        raise sockets.DialError("nats: no INFO in time") from None
    except sockets.LineTooLongError:
        raise sockets.DialError("nats: an over-long INFO") from None
    if line is None or bytes(line[:4]).upper() != b"INFO":
        raise sockets.DialError("nats: the host did not begin with INFO")
    said = bytes(line)
    if reader.take_buffered():
        # Whoever stands between could put words in the host's mouth that seem to have come over TLS.
        raise sockets.DialError("nats: the host says more than INFO before TLS")
    return said


class NatsFramer:
    """Follows one direction, over split and joined reads, through payloads that may hold any bytes."""

    def __init__(self, kinds: Mapping[bytes, MessageKind], max_payload: int | None = None) -> None:
        self._kinds = kinds
        self._max_payload = max_payload  # None: the upstream host's own affair
        self._owed = 0  # bytes of a payload, with its ending, that are still to come

    def feed(self, data: memoryview) -> tuple[int, list[Message]]:
        raw, at, messages = bytes(data), 0, []
        while at < len(raw):
            if self._owed:
                step = min(self._owed, len(raw) - at)
                self._owed -= step
                at += step
                continue
            end = raw.find(b"\n", at)
            if (end if end >= 0 else len(raw)) - at > MAX_LINE_BYTES and self._max_payload is not None:
                raise ProtocolViolationError(LINE_LIMIT)
            if end < 0:
                break
            messages.append(self._line(raw[at : end + 1]))
            at = end + 1
        return at, messages

    def _line(self, line: bytes) -> Message:
        words = line.split()
        word = words[0].upper() if words else b""
        if word in PAYLOADS:
            if not words[-1].isdigit():
                if self._max_payload is not None:
                    raise ProtocolViolationError(PARSER)
                return Message(MessageKind.OTHER)
            size = int(words[-1])
            if self._max_payload is not None and size > self._max_payload:
                raise ProtocolViolationError(PAYLOAD_LIMIT)
            self._owed = size + 2
        if word == b"INFO" and is_ldm(line):
            return Message(MessageKind.DRAINING)
        return Message(self._kinds.get(word, MessageKind.OTHER))

    def at_boundary(self) -> bool:
        return self._owed == 0


class NatsDownstream(SocketDownstream):
    """One NATS client, whose CONNECT has been read."""

    def __init__(
        self,
        sock: socket.socket,
        reader: LineReader,
        server_info: ServerInfo,
        asked: ClientRequest,
        connect: bytes,
        verbose: bool,
    ) -> None:
        super().__init__(sock, reader, asked)
        self._greeting = server_info
        self._connect = connect
        self._verbose = verbose

    def refuse(self, retry_after: timedelta) -> None:
        ms = to_milliseconds(retry_after)
        self._reply(error(f"{CONNECTIONS_EXCEEDED}, come back in {ms} ms" if ms > 0 else CONNECTIONS_EXCEEDED))

    def fail(self) -> None:
        self._reply(STALE_CONNECTION)

    def _ask(self, upstream: Transport, until: timedelta, send_guard: SendGuard) -> UpstreamAnswer:
        reader = LineReader(upstream, MAX_LINE_BYTES * 4)  # an INFO may be longer than a client's lines
        sent = False
        while True:
            try:
                line = reader.line(max(until - now(), ZERO_DURATION), abort_on=self._sock)
            except TimeoutError:
                return NotEstablished(Status.TIMED_OUT if sent else Status.NO_ROUTE)
            except InterruptedError:
                return NotEstablished(Status.CANCELLED, downstream_left=True)
            except (OSError, sockets.LineTooLongError):
                line = None
            if line is None:
                return NotEstablished(Status.CUT if sent else Status.NO_ROUTE)
            said = bytes(line).strip()
            word = said.partition(b" ")[0].upper()
            if word == b"INFO":
                if is_ldm(said):  # it drains: before CONNECT nothing ran, after it the client is sent away
                    return NotEstablished(Status.CANCELLED if sent else Status.NO_ROOM, host_drains=True)
                if not sent:
                    try:
                        with send_guard() as allowed:
                            if not allowed:
                                return NotEstablished(Status.NO_ROUTE)
                            sockets.write(upstream, [self._connect, PING])
                    except OSError:
                        return NotEstablished(Status.NO_ROUTE)
                    sent = True
            elif word == b"-ERR":
                return NotEstablished(error_status(said))
            elif word == b"PING":
                sockets.write(upstream, [PONG])  # the host measures its way; the client is not there yet
            elif word == b"PONG" and sent:
                return Established(self._standing(upstream, reader))
            elif word != b"+OK":
                return NotEstablished(Status.ERROR)

    def _standing(self, upstream: Transport, reader: LineReader) -> ProxiedConnection:
        server_info = self._greeting
        return ProxiedConnection(
            self._asked.id,
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
    """NATS hosts report no load: a probe tells whether one answers PING."""

    def __init__(self, dial: DialHost = dial_plain) -> None:
        self._dial = dial

    def probe(self, host: UpstreamHost, within: timedelta) -> tuple[Status, Report | None]:
        until = now() + within
        try:
            sock = self._dial(host, within, until)
            try:
                reader = LineReader(sock, MAX_LINE_BYTES * 4)
                sockets.write(sock, [b'CONNECT {"verbose":false}\r\n', PING])
                while line := reader.line(max(until - now(), ZERO_DURATION)):
                    word = bytes(line).partition(b" ")[0].strip().upper()
                    if word in (b"PONG", b"-ERR"):
                        return (Status.SERVED, None) if word == b"PONG" else (error_status(bytes(line)), None)
                return Status.CUT, None
            finally:
                sockets.close(sock)
        except sockets.DialError as error:
            return (Status.NOT_SENT if error.skipped else Status.NO_ROUTE), None
        except TimeoutError:
            return Status.TIMED_OUT, None
        except (OSError, sockets.LineTooLongError):
            return Status.NO_ROUTE, None

    def close(self) -> None:
        """Nothing is kept."""
