"""Discovery over HTTP/1.1: the whole list of upstream hosts, and a long-poll watch on its changes."""

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
MAX_RESPONSE_BYTES = 4 << 20
LONG_POLL_WAIT = timedelta(seconds=8)  # a dead discovery is noticed after this plus RESPONSE_MARGIN
RESPONSE_MARGIN = timedelta(seconds=2)  # how much longer than the wait a response may take


class BadResponseError(Exception):
    """Discovery's response is not what its protocol describes."""


def address(value: str) -> Address:
    """Parse ``HOST:PORT``. Raises ValueError."""
    host, colon, port = value.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"{value!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def hosts(entries: Any) -> list[UpstreamHost]:
    """Parse the entries of a list. Raises ValueError, which names the faulty entry."""
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
    """Parse a response's body into version, mode and hosts. Raises BadResponseError."""
    try:
        response = json.loads(body)
        mode = ListMode.COMPLETE if response["whole"] else ListMode.CHANGES
        return int(response["seq"]), mode, hosts(response["hosts"])
    except (ValueError, KeyError, TypeError) as error:
        raise BadResponseError(str(error)) from None


class HttpClient:
    """Makes one HTTP request at a time, over a connection that is kept while the server keeps it."""

    def __init__(self, server: Address) -> None:
        self._server = server
        self._sock: socket.socket | None = None
        self._reader: LineReader | None = None
        self._aborted = False

    def get(self, path: str, timeout: timedelta) -> tuple[int, bytes]:
        """Return a response's status and body. Raises OSError or BadResponseError, and then closes the connection."""
        until = now() + timeout
        reused = self._sock is not None
        try:
            return self._get(path, until)
        except (ConnectionResetError, BrokenPipeError, EOFError):
            self.close()
            if not reused:
                raise ConnectionResetError("discovery ended the connection") from None
        except (OSError, BadResponseError, sockets.LineTooLongError):
            self.close()
            raise
        try:  # the server had closed the idle connection: try once more on a new one
            return self._get(path, until)
        except EOFError:
            self.close()
            raise ConnectionResetError("discovery ended the connection") from None
        except (OSError, BadResponseError, sockets.LineTooLongError):
            self.close()
            raise

    def _get(self, path: str, until: timedelta) -> tuple[int, bytes]:
        """Send one GET request, connecting if necessary, and read the whole response; return its status and body."""
        if self._aborted:
            raise ConnectionAbortedError("stopped")
        if self._sock is None:
            self._sock = sockets.dial(self._server, min(until - now(), RESPONSE_MARGIN))
            self._reader = LineReader(self._sock, 16384)
        reader = self._reader
        assert reader is not None
        host = f"{self._server[0]}:{self._server[1]}".encode()
        sockets.write(self._sock, [b"GET ", path.encode(), b" HTTP/1.1\r\nHost: ", host, b"\r\n\r\n"])
        status, length, keep_alive, chunked = _read_head(reader, until)
        if chunked:
            chunks = []
            remaining = MAX_RESPONSE_BYTES  # for all chunks together
            while size := _chunk_size(decode_line(_line(reader, until))):
                remaining -= size
                if remaining < 0:
                    raise BadResponseError(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
                chunks.append(_read_exactly(self._sock, reader, size, until))
                _line(reader, until)
            while decode_line(_line(reader, until)):
                pass
            body = b"".join(chunks)
        else:
            body = _read_exactly(self._sock, reader, length, until)
        if not keep_alive:
            self.close()
        return status, body

    def shut_down(self) -> None:
        """End a request that is waiting in another thread, and allow no further one, not even its retry."""
        self._aborted = True
        sock = self._sock
        if sock is not None:
            sockets.shut_down(sock)

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._sock is not None:
            sockets.close(self._sock)
        self._sock = self._reader = None


def _line(reader: LineReader, until: timedelta) -> memoryview:
    line = reader.line(max(until - now(), ZERO_DURATION))
    if line is None:
        raise EOFError
    return line


def _read_head(reader: LineReader, until: timedelta) -> tuple[int, int, bool, bool]:
    """Return status, content length, whether the connection is kept, and whether the body is chunked."""
    words = decode_line(_line(reader, until)).split(" ")
    if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
        raise BadResponseError(f"not HTTP/1.1: {words[:2]}")
    length, keep_alive, chunked = 0, words[0] == "HTTP/1.1", False
    while line := decode_line(_line(reader, until)):
        name, _, value = line.partition(":")
        name, value = name.strip().lower(), value.strip().lower()
        if name == "content-length":
            if not value.isdigit() or int(value) > MAX_RESPONSE_BYTES:
                raise BadResponseError(f"content-length {value!r}")
            length = int(value)
        elif name == "connection" and value == "close":
            keep_alive = False
        elif name == "transfer-encoding" and "chunked" in value:
            chunked = True
    return int(words[1]), length, keep_alive, chunked


def _chunk_size(line: str) -> int:
    digits = line.partition(";")[0].strip()
    if not digits or len(digits) > 8 or not all(c in hexdigits for c in digits):
        raise BadResponseError(f"chunk size {digits[:20]!r}")
    return int(digits, 16)


def _read_exactly(sock: socket.socket, reader: LineReader, size: int, until: timedelta) -> bytes:
    if size > MAX_RESPONSE_BYTES:
        raise BadResponseError(f"a body of {size} bytes")
    body = bytearray(size)
    received = reader.read_buffered(memoryview(body))
    while received < size:
        if sockets.wait((sock, sockets.READABLE), timeout=max(until - now(), ZERO_DURATION)) is None:
            raise TimeoutError("discovery is silent")
        count = sock.recv_into(memoryview(body)[received:])
        if count == 0:
            raise EOFError
        received += count
    return bytes(body)


class DiscoveryWatch:
    """Watches the list of upstream hosts, from the first ``trigger`` on.

    After a failed request the next ``trigger`` resumes the watch: when to retry is the decision module's choice. There
    is no pause between two requests of one watch, because discovery starts a new watch for a request that comes more
    than 200 ms after the last one.
    """

    def __init__(
        self,
        discovery: Address,
        version: int | None,
        on_list: Callable[[ListMode, Sequence[UpstreamHost]], None],
        log: Callable[[str], None],
    ) -> None:
        self._client = self._version_source = HttpClient(discovery)
        self.version = version  # of the list that is held; None: the whole list is requested
        self._on_list = on_list
        self._log = log
        self._triggered = threading.Event()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the watching thread."""
        threading.Thread(target=self._run, name="watch", daemon=True).start()

    def trigger(self) -> None:
        """Begin the watch, or resume it after a failure."""
        self._triggered.set()

    def switch_to(self, discovery: Address) -> None:
        """Watch the list of another discovery service from now on.

        A request that is waiting at the old service is aborted and not repeated. The whole list is requested from the
        new service at once, without a ``trigger``: a change that it has already published must take effect without
        delay.
        """
        old, self._client = self._client, HttpClient(discovery)
        self._triggered.set()
        old.shut_down()

    def _run(self) -> None:
        """Poll the current service from each ``trigger`` on; a failed request ends that and is reported as no list."""
        while True:
            self._triggered.wait()
            self._triggered.clear()
            if self._stopped.is_set():
                return
            client = self._client
            if client is not self._version_source:  # a version is only valid at the service that issued it
                self._version_source.close()
                self._version_source, self.version = client, None
            try:
                while client is self._client:
                    self.poll_once(client)
            except (OSError, BadResponseError, sockets.LineTooLongError) as error:
                if client is self._client:
                    self._log(f"discovery: {error!r}")
                    self._on_list(ListMode.UNAVAILABLE, ())

    def stop(self) -> None:
        """Make no further request, and end one that is waiting."""
        self._stopped.set()
        self._triggered.set()
        self._client.shut_down()

    def poll_once(self, client: HttpClient) -> None:
        """Make one request and pass on what it brings. Raises OSError or BadResponseError."""
        path = "/v1/servers"
        if self.version is not None:
            path += f"?since={self.version}&timeout_ms={LONG_POLL_WAIT // timedelta(milliseconds=1)}"
        status, body = client.get(path, LONG_POLL_WAIT + RESPONSE_MARGIN)
        if status != 200:
            raise BadResponseError(f"status {status}")
        version, mode, changed = parse_list(body)
        if client is not self._client:
            return  # the answer of the old discovery, which arrived during the switch to another one
        self.version = version
        self._on_list(mode, changed)
