"""Agent-check and HTTP health, both ways: what we tell of ourselves, and what upstream hosts tell.

The agent-check is a line of ASCII words on a TCP connection that is then closed, as common balancers have it:
a state (up, down, ready, drain, maint, stopped, fail), a weight (75%), both, or neither.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.sockets import Address, LineReader, decode_line

MAX_LINE_BYTES = 4096
WITHIN = timedelta(seconds=2)  # for the other side's request
TAKES_WORK = {
    "up": True,
    "ready": True,
    "down": False,
    "fail": False,
    "failed": False,
    "stopped": False,
    "drain": False,
    "maint": False,
}


@dataclass(slots=True, frozen=True)
class CheckResult:
    """What a check says. None: nothing, what was known stands. ``share`` is of the listed weight."""

    takes_work: bool | None = None
    share: float | None = None


def parse_agent_line(line: str) -> CheckResult:
    """Words that are not known, such as a maxconn, are passed over; the last state and weight count."""
    takes_work, share = None, None
    for word in line.partition("#")[0].replace(",", " ").lower().split():
        if word.endswith("%") and word.isascii() and word[:-1].isdigit():
            share = min(1.0, int(word[:-1]) / 100)
        elif word in TAKES_WORK and takes_work is not False:
            takes_work = TAKES_WORK[word]  # of 'ready down' the worse counts
    if share == 0:
        return CheckResult(False, None)  # a weight of nothing is a drain
    return CheckResult(takes_work, share)


@dataclass(slots=True, frozen=True)
class CheckTarget:
    """Where one upstream host answers: its agent, or its health path over HTTP."""

    address: Address
    path: str | None = None  # None: agent-check


def run_check(check: CheckTarget, within: timedelta) -> CheckResult:
    """One check. OSError when no sound answer comes in time."""
    until = now() + within
    with contextlib.closing(sockets.dial(check.address, within)) as sock:
        reader = LineReader(sock, MAX_LINE_BYTES)
        try:
            if check.path is not None:
                sockets.write(
                    sock, [b"GET ", check.path.encode(), b" HTTP/1.1\r\nHost: upstream\r\nConnection: close\r\n\r\n"]
                )
            line = reader.line(max(until - now(), ZERO_DURATION))
        except sockets.LineTooLongError:
            raise ConnectionError("an over-long answer") from None
        said = decode_line(line) if line is not None else reader.take_buffered().decode("ascii", "replace")
        if check.path is None:
            return parse_agent_line(said)
        words = said.split()
        if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
            raise ConnectionError(f"not HTTP: {said[:40]!r}")
        return CheckResult(takes_work=200 <= int(words[1]) < 400)


@dataclass(slots=True, frozen=True)
class Health:
    """What is said of this balancer: whether it takes work, and the share of its hosts that do."""

    takes_work: bool
    draining: bool = False
    share: float = 1.0

    def agent_line(self) -> bytes:
        if self.draining:
            return b"drain\n"
        if not self.takes_work:
            return b"down\n"
        return b"up ready %d%%\n" % max(1, round(self.share * 100))


def serve_agent_check(sock: socket.socket, health: Callable[[], Health]) -> None:
    """The answer does not wait for the other side to speak: an agent-send string is optional."""
    sockets.write(sock, [health().agent_line()])
    sockets.close(sock)


def serve_http_check(sock: socket.socket, health: Callable[[], Health], path: str) -> None:
    """One GET or HEAD a connection: 200 while we take work, 503 when not, 404 for any other path."""
    reader = LineReader(sock, MAX_LINE_BYTES)
    until = now() + WITHIN
    try:
        words = decode_line(reader.line(WITHIN) or memoryview(b"")).split(" ")
        while (line := reader.line(max(until - now(), ZERO_DURATION))) is not None and decode_line(line):
            pass
    except (TimeoutError, sockets.LineTooLongError):
        words = []
    state = health()
    if len(words) != 3 or not words[2].startswith("HTTP/1."):
        status, body = b"400 Bad Request", b"bad request\n"
    elif words[0] not in ("GET", "HEAD"):
        status, body = b"405 Method Not Allowed", b"GET or HEAD\n"
    elif words[1].partition("?")[0] != path:
        status, body = b"404 Not Found", b"not found\n"
    elif state.takes_work and not state.draining:
        status, body = b"200 OK", b"ok\n"
    else:
        status, body = b"503 Service Unavailable", b"leaving\n" if state.draining else b"no upstream host\n"
    head = b"HTTP/1.1 %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
    sockets.write(sock, [head % (status, len(body)), b"" if words[:1] == ["HEAD"] else body])
    sockets.close(sock)
