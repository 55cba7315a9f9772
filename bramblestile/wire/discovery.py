"""Discovery over HTTP/1.1: the whole list, the watch on its changes, and the parser of its answers."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable, Sequence
from datetime import timedelta
from string import hexdigits
from typing import Any

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.sockets import Address, LineReader, decode_line
from vanegw.interface import ListMode, State

STATES = {"in_service": State.RUNNING, "terminating": State.DRAINING, "terminated": State.GONE}
LARGEST = 4 << 20  # bytes of one answer
WATCH_WAIT = timedelta(seconds=8)  # a dead discovery is noticed this much and SLACK later
SLACK = timedelta(seconds=2)  # discovery may take so long over its answer beyond the wait


class BadResponseError(Exception):
    """Discovery's answer is not what its page describes."""


def address(value: str) -> Address:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"{value!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def hosts(entries: Any) -> list[UpstreamHost]:
    """The entries of a list. ValueError names what is wrong with one."""
    if not isinstance(entries, list):
        raise ValueError("hosts is not a list")
    found = []
    for entry in entries:
        try:
            started_at = int(entry.get("born_ms") or 0)
            found.append(
                UpstreamHost(
                    id=str(entry["host"]),
                    address=address(str(entry["dial"])),
                    zone=str(entry.get("site", "")),
                    kind=str(entry.get("class", "")),
                    cell=int(entry.get("block") or 0),
                    weight=float(entry.get("share", 1.0)),
                    state=STATES[entry["health"]],
                    started_at=timedelta(milliseconds=started_at) if started_at else None,
                    tls_name=str(entry.get("tls_name") or ""),
                )
            )
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise ValueError(f"entry {entry!r}: {error!r}") from None
    return found


def parse_list(body: bytes) -> tuple[int, ListMode, list[UpstreamHost]]:
    try:
        got = json.loads(body)
        mode = ListMode.COMPLETE if got["whole"] else ListMode.CHANGES
        return int(got["seq"]), mode, hosts(got["hosts"])
    except (ValueError, KeyError, TypeError) as error:
        raise BadResponseError(str(error)) from None


class HttpClient:
    """Calls one after the other over a connection that is kept while the other side keeps it."""

    def __init__(self, to: Address) -> None:
        self._to = to
        self._sock: socket.socket | None = None
        self._reader: LineReader | None = None
        self._ended = False

    def get(self, path: str, within: timedelta) -> tuple[int, bytes]:
        """Status and body. OSError when nothing usable comes in time; the connection is then given up."""
        until = now() + within
        kept = self._sock is not None
        try:
            return self._get(path, until)
        except (ConnectionResetError, BrokenPipeError, EOFError):
            self.close()
            if not kept:
                raise ConnectionResetError("discovery ended the connection") from None
        except (OSError, BadResponseError, sockets.LineTooLongError):
            self.close()
            raise
        try:  # the kept connection had gone stale: once more on a new one
            return self._get(path, until)
        except EOFError:
            self.close()
            raise ConnectionResetError("discovery ended the connection") from None
        except (OSError, BadResponseError, sockets.LineTooLongError):
            self.close()
            raise

    def _get(self, path: str, until: timedelta) -> tuple[int, bytes]:
        if self._ended:
            raise ConnectionAbortedError("stopped")
        if self._sock is None:
            self._sock = sockets.dial(self._to, min(until - now(), SLACK))
            self._reader = LineReader(self._sock, 16384)
        reader = self._reader
        assert reader is not None
        host = f"{self._to[0]}:{self._to[1]}".encode()
        sockets.write(self._sock, [b"GET ", path.encode(), b" HTTP/1.1\r\nHost: ", host, b"\r\n\r\n"])
        status, length, keep, chunked = _read_head(reader, until)
        if chunked:
            parts = []
            left = LARGEST  # for all chunks together
            while size := _chunk_size(decode_line(_line(reader, until))):
                left -= size
                if left < 0:
                    raise BadResponseError(f"more than {LARGEST} bytes in one answer")
                parts.append(_exactly(self._sock, reader, size, until))
                _line(reader, until)
            while decode_line(_line(reader, until)):
                pass
            body = b"".join(parts)
        else:
            body = _exactly(self._sock, reader, length, until)
        if not keep:
            self.close()
        return status, body

    def shut_down(self) -> None:
        """Ends the call that waits; none follows, not even the second try on a new connection."""
        self._ended = True
        sock = self._sock
        if sock is not None:
            sockets.shut_down(sock)

    def close(self) -> None:
        if self._sock is not None:
            sockets.close(self._sock)
        self._sock = self._reader = None


def _line(reader: LineReader, until: timedelta) -> memoryview:
    line = reader.line(max(until - now(), ZERO_DURATION))
    if line is None:
        raise EOFError
    return line


def _read_head(reader: LineReader, until: timedelta) -> tuple[int, int, bool, bool]:
    """Status, length, whether the connection stays, whether the body comes in chunks."""
    words = decode_line(_line(reader, until)).split(" ")
    if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
        raise BadResponseError(f"not HTTP/1.1: {words[:2]}")
    length, keep, chunked = 0, words[0] == "HTTP/1.1", False
    while line := decode_line(_line(reader, until)):
        name, _, value = line.partition(":")
        name, value = name.strip().lower(), value.strip().lower()
        if name == "content-length":
            if not value.isdigit() or int(value) > LARGEST:
                raise BadResponseError(f"content-length {value!r}")
            length = int(value)
        elif name == "connection" and value == "close":
            keep = False
        elif name == "transfer-encoding" and "chunked" in value:
            chunked = True
    return int(words[1]), length, keep, chunked


def _chunk_size(line: str) -> int:
    digits = line.partition(";")[0].strip()
    if not digits or len(digits) > 8 or not all(c in hexdigits for c in digits):
        raise BadResponseError(f"chunk size {digits[:20]!r}")
    return int(digits, 16)


def _exactly(sock: socket.socket, reader: LineReader, size: int, until: timedelta) -> bytes:
    if size > LARGEST:
        raise BadResponseError(f"{size} bytes in one answer")
    body = bytearray(size)
    got = reader.read_buffered(memoryview(body))
    while got < size:
        if sockets.wait((sock, sockets.READABLE), timeout=max(until - now(), ZERO_DURATION)) is None:
            raise TimeoutError("discovery is silent")
        more = sock.recv_into(memoryview(body)[got:])
        if more == 0:
            raise EOFError
        got += more
    return bytes(body)


class DiscoveryWatch:
    """Watches the list from the first time it is asked to, and again each time it has failed and is asked.

    When to ask again is the module's choice; between two calls of one watch there is no pause, because a
    call that comes later than 200 ms starts a new watch.
    """

    def __init__(
        self,
        discovery: Address,
        version: int | None,
        tell: Callable[[ListMode, Sequence[UpstreamHost]], None],
        log: Callable[[str], None],
    ) -> None:
        self._caller = self._version_from = HttpClient(discovery)
        self.version = version  # None: nothing is held of this discovery's, so the whole list is asked for
        self._tell = tell
        self._log = log
        self._wanted = threading.Event()
        self._stopped = threading.Event()

    def start(self) -> None:
        threading.Thread(target=self._run, name="watch", daemon=True).start()

    def trigger(self) -> None:
        self._wanted.set()

    def switch_to(self, discovery: Address) -> None:
        """Another discovery from now on. The call that waits at the old one is ended, nothing new goes there,
        and the new one is asked at once: what it has to tell may count as told any moment."""
        old, self._caller = self._caller, HttpClient(discovery)
        self._wanted.set()
        old.shut_down()

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            self._wanted.clear()
            if self._stopped.is_set():
                return
            caller = self._caller
            if caller is not self._version_from:  # another's versions mean nothing to it
                self._version_from.close()
                self._version_from, self.version = caller, None
            try:
                while caller is self._caller:
                    self.poll_once(caller)
            except (OSError, BadResponseError, sockets.LineTooLongError) as error:
                if caller is self._caller:
                    self._log(f"discovery: {error!r}")
                    self._tell(ListMode.UNAVAILABLE, ())

    def stop(self) -> None:
        """No further call is made; one that waits is ended."""
        self._stopped.set()
        self._wanted.set()
        self._caller.shut_down()

    def poll_once(self, caller: HttpClient) -> None:
        path = "/v1/servers"
        if self.version is not None:
            path += f"?since={self.version}&timeout_ms={WATCH_WAIT // timedelta(milliseconds=1)}"
        status, body = caller.get(path, WATCH_WAIT + SLACK)
        if status != 200:
            raise BadResponseError(f"status {status}")
        version, mode, changed = parse_list(body)
        if caller is not self._caller:
            return  # an answer of the old one that came while we were told of the new one
        self.version = version
        self._tell(mode, changed)
