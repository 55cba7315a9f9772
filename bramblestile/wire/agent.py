"""Agent checks and HTTP health checks: answering them for this balancer, and running them on upstream hosts.

An agent check answers a TCP connection with one line of ASCII words and closes it, as common load balancers expect: a
state (up, down, ready, drain, maint, stopped, fail), a weight (75%), both, or neither.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.memory.cluster import HostSetting
from bramblestile.sockets import Address, LineReader, decode_line

MAX_LINE_BYTES = 4096
REQUEST_TIMEOUT = timedelta(seconds=2)  # for a whole HTTP request
TAKES_WORK = {  # by an agent's state word
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
    """The result of a check. None leaves the earlier value in force.

    ``weight_share`` is the part of its listed weight that the host is to have.
    """

    takes_work: bool | None = None
    weight_share: float | None = None


def parse_agent_line(line: str) -> CheckResult:
    """Parse an agent's line. The last weight counts; unknown words such as ``maxconn:30`` are ignored."""
    takes_work, weight_share = None, None
    for word in line.partition("#")[0].replace(",", " ").lower().split():
        if word.endswith("%") and word.isascii() and word[:-1].isdigit():
            weight_share = min(1.0, int(word[:-1]) / 100)
        elif word in TAKES_WORK and takes_work is not False:
            takes_work = TAKES_WORK[word]  # of 'ready down' the worse state counts
    if weight_share == 0:
        return CheckResult(False, None)  # a weight of 0 means drain
    return CheckResult(takes_work, weight_share)


def parse_host_setting(line: str) -> HostSetting:
    """Parse an agent's line that stands for itself: what it does not name is as for a host without a setting."""
    result = parse_agent_line(line)
    return HostSetting(
        True if result.takes_work is None else result.takes_work,
        1.0 if result.weight_share is None else result.weight_share,
    )


@dataclass(slots=True, frozen=True)
class CheckTarget:
    """Where one upstream host answers checks: its agent, or its health path over HTTP."""

    address: Address
    path: str | None = None  # None: agent check


def run_check(target: CheckTarget, timeout: timedelta) -> CheckResult:
    """Run one check. Raises OSError when no valid answer comes in time."""
    until = now() + timeout
    with contextlib.closing(sockets.dial(target.address, timeout)) as sock:
        reader = LineReader(sock, MAX_LINE_BYTES)
        try:
            if target.path is not None:
                sockets.write(
                    sock, [b"GET ", target.path.encode(), b" HTTP/1.1\r\nHost: upstream\r\nConnection: close\r\n\r\n"]
                )
            line = reader.line(max(until - now(), ZERO_DURATION))
        except sockets.LineTooLongError:
            raise ConnectionError("the answer's first line is too long") from None
        answer = decode_line(line) if line is not None else reader.take_buffered().decode("ascii", "replace")
        if target.path is None:
            return parse_agent_line(answer)
        words = answer.split()
        if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
            raise ConnectionError(f"not HTTP: {answer[:40]!r}")
        return CheckResult(takes_work=200 <= int(words[1]) < 400)


@dataclass(slots=True, frozen=True)
class Health:
    """The health of this balancer: whether it takes work, and the share of its upstream hosts that do."""

    takes_work: bool
    draining: bool = False
    share: float = 1.0

    def agent_line(self) -> bytes:
        """Return the answer to an agent check."""
        if self.draining:
            return b"drain\n"
        if not self.takes_work:
            return b"down\n"
        return b"up ready %d%%\n" % max(1, round(self.share * 100))


def serve_agent_check(sock: socket.socket, health: Callable[[], Health]) -> None:
    """Answer an agent check without reading: the text that a checker may send first is optional."""
    sockets.write(sock, [health().agent_line()])
    sockets.close(sock)


def serve_http_check(sock: socket.socket, health: Callable[[], Health], path: str) -> None:
    """Answer one GET or HEAD: 200 while this balancer takes work, 503 while not, 404 for any other path."""
    reader = LineReader(sock, MAX_LINE_BYTES)
    until = now() + REQUEST_TIMEOUT
    try:
        words = decode_line(reader.line(REQUEST_TIMEOUT) or memoryview(b"")).split(" ")
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
