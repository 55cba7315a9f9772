"""Established connections: one thread per direction, moves between two messages, and detection of silent hosts."""

from __future__ import annotations

import select
import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from queue import SimpleQueue
from typing import Protocol

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now
from vanegw.interface import Status

FORWARD_BUFFER_BYTES = 8192
MAX_PENDING_QUERIES = 64  # unanswered messages of one connection whose times are kept
HALF_CLOSE_TIMEOUT = timedelta(seconds=1)  # after the downstream's end, for the upstream host to end too
MOVE_TIMEOUT = timedelta(milliseconds=500)  # how long a move waits for a message in transit to be complete
WATCH_INTERVAL = timedelta(milliseconds=100)
MIN_REPORTED_SILENCE = timedelta(milliseconds=250)
DELAY_REPORT_INTERVAL = timedelta(seconds=1)  # minimum time between two reports of one host's delay
QUERY_INTERVAL = timedelta(seconds=2)  # the platform's clients send a line at about this interval
PAUSE_TIMEOUT = timedelta(milliseconds=400)  # for the other direction to pause; a line may be held up for 1 s at most


class MessageKind(Enum):
    """What a forwarded message means to the balancer. The values are part of the handover between two processes."""

    RESPONSE = "answer"
    QUERY = "ask"  # a response is to follow
    LOAD = "load"
    COMPLETION = "last"  # the connection was served to its end
    SENT_AWAY = "away"  # the upstream host tells its client to move
    DRAINING = "drains"  # the upstream host announces that it drains
    OTHER = "other"


@dataclass(slots=True, frozen=True)
class MessageRun:
    """Messages of one kind that were forwarded one after another. ``value`` is the load that a LOAD message reports.

    Runs, because one read may hold thousands of messages, and hundreds of connections may be read at once.
    """

    kind: MessageKind
    count: int = 1
    value: float = 0.0


class ProtocolViolationError(Exception):
    """A message that may not be forwarded. The downstream gets ``reply`` before its connection ends."""

    def __init__(self, reply: bytes) -> None:
        super().__init__(reply)
        self.reply = reply


class Framer(Protocol):
    """Finds the message boundaries in one direction of a connection, and what the messages mean.

    It never changes a byte.
    """

    def feed(self, data: memoryview) -> tuple[int, list[MessageRun]]:
        """Return how many bytes of the data may be forwarded now, and the messages that end within them."""

    def at_boundary(self) -> bool:
        """Return whether everything forwarded so far ends with a complete message."""


class ConnectionObserver(Protocol):
    """Receives news of established connections."""

    def on_load(self, connection: ProxiedConnection, value: float) -> None:
        """Handle a load that the upstream host reported."""

    def on_delay(self, connection: ProxiedConnection, delay: timedelta) -> None:
        """Handle the time that a response took."""

    def on_host_draining(self, connection: ProxiedConnection) -> None:
        """Handle the upstream host's announcement that it drains."""


class PauseSignal(sockets.Signal):
    """Tells connections to pause between two reads, so that another process can take them over.

    Unread input stays in the sockets for that process. A signal wakes all threads at once, because shutting the sockets
    down to end the reads would end the connection for both processes.
    """

    def poll_with(self, transport: sockets.Transport) -> select.poll:
        """Return a poll object that waits for input on the transport or for the signal."""
        poll = select.poll()
        poll.register(transport, select.POLLIN)
        poll.register(self, select.POLLIN)
        return poll

    def is_in(self, ready: list[tuple[int, int]]) -> bool:
        """Return whether the signal is among the events that such a poll object returned."""
        return any(fd == self.fileno() for fd, _ in ready)


@dataclass(slots=True, eq=False)
class ProxiedConnection:
    """An established connection between a downstream and an upstream host, forwarded in both directions.

    Two threads forward, one per direction. ``write_lock`` guards writes to the downstream, ``pause_lock`` the decision
    whether a direction may still pause.
    """

    id: str
    host: str
    downstream: socket.socket
    upstream: sockets.Transport
    move_message: bytes  # tells the downstream to move
    from_upstream: Framer
    from_downstream: Framer
    unsent_to_upstream: bytes = b""  # already read, to be forwarded first
    unsent_to_downstream: bytes = b""
    pending_queries: deque[timedelta] = field(default_factory=deque)  # when each unanswered message was forwarded
    last_response: timedelta = ZERO_DURATION  # when the last response came
    write_lock: threading.Lock = field(default_factory=threading.Lock)
    moved: bool = False
    started: bool = False  # the downstream has its first answer; before that it cannot be moved
    move_requested: bool = False  # the writer sends the move message after the current message
    rejected: bool = False  # the downstream violated its protocol and got an error
    last_kind: MessageKind = MessageKind.OTHER  # the last message from upstream
    downstream_reset: bool = False  # the downstream's side broke
    upstream_reset: bool = False
    downstream_ended: bool = False  # the downstream ended first, in order
    sends_completion: bool = True  # a healthy host answers its client's end with a COMPLETION message
    closed: threading.Event = field(default_factory=threading.Event)
    pause_signal: PauseSignal | None = None  # None: the connection stays in this process to its end
    paused_to_downstream: bool = False  # that direction has paused
    paused_to_upstream: bool = False
    paused: bool = False  # nothing is read or written here until ``resume``
    pause_lock: threading.Lock = field(default_factory=threading.Lock)

    def forward(self, observer: ConnectionObserver) -> Status | None:
        """Forward all bytes in both directions until either side ends, then end the other side in the same way.

        Returns None where the connection is paused instead. Both sockets are then left open, and the bytes that were
        read but not forwarded are in ``unsent_to_upstream`` and ``unsent_to_downstream``.
        """
        upward = threading.Thread(target=self._forward_to_upstream, name="up " + self.id, daemon=True)
        upward.start()
        try:
            self._forward_to_downstream(observer)
            if self.paused_to_downstream:
                upward.join(PAUSE_TIMEOUT.total_seconds())
                if self._pause():
                    return None
                if self.paused_to_upstream:
                    upward = threading.Thread(target=self._forward_to_upstream, name="up " + self.id, daemon=True)
                    upward.start()
                self._forward_to_downstream(observer)
        finally:
            if not self.paused:
                self._close(upward)
        return self._status()

    def _wait_or_pause(self, poll: select.poll, unsent: memoryview, to_upstream: bool) -> bool:
        """Wait for input. Returns True where this direction pauses instead; the unsent bytes are then saved."""
        pause_signal = self.pause_signal
        if pause_signal is None or not pause_signal.is_in(poll.poll()):
            return False
        with self.pause_lock:
            if self.pause_signal is None:  # too late: the other direction goes on
                return False
            if to_upstream:
                self.unsent_to_upstream, self.paused_to_upstream = bytes(unsent), True
            else:
                self.unsent_to_downstream, self.paused_to_downstream = bytes(unsent), True
            return True

    def _pause(self) -> bool:
        """Pause the connection if both directions have paused and neither side is ending; else forbid any pause."""
        with self.write_lock, self.pause_lock:
            ending = (
                self.moved
                or self.move_requested
                or self.rejected
                or self.downstream_ended
                or self.downstream_reset
                or self.last_kind in (MessageKind.COMPLETION, MessageKind.SENT_AWAY)
            )
            self.paused = self.paused_to_downstream and self.paused_to_upstream and not ending
            if not self.paused:
                self.pause_signal = None
            return self.paused

    def resume(self) -> None:
        """Undo a pause: no other process has taken the connection, so it stays in this one to its end."""
        with self.write_lock, self.pause_lock:
            self.paused = self.paused_to_downstream = self.paused_to_upstream = False
            self.pause_signal = None

    def release(self) -> None:
        """Close this process's descriptors of a paused connection that another process has taken over."""
        self.closed.set()
        for transport in (self.downstream, self.upstream):
            if isinstance(transport, socket.socket):
                transport.close()

    def _close(self, upward: threading.Thread) -> None:
        """Close both sides, each with a reset if the opposite side was reset, else in order.

        A connection that was moved or rejected has sent the client a last message; a reset could discard it unread, so
        the client's side is then closed in order in any case.
        """
        self.closed.set()
        # The client learns at once that the host has closed. Shutting both sockets down wakes the other thread.
        if not self.upstream_reset:
            sockets.shut_down(self.downstream)
        else:
            sockets.shut_down(self.downstream, socket.SHUT_RD)
        sockets.shut_down(self.upstream, socket.SHUT_RD if self.downstream_reset else socket.SHUT_RDWR)
        upward.join()
        sockets.close(self.downstream, reset=self.upstream_reset and not (self.moved or self.rejected))
        sockets.close(self.upstream, reset=self.downstream_reset)

    def _status(self) -> Status:
        if self.moved or self.rejected or self.downstream_reset or self.last_kind is MessageKind.SENT_AWAY:
            return Status.CANCELLED
        if self.last_kind is MessageKind.COMPLETION:
            return Status.SERVED
        # A host that sends no completion message (NATS), or cannot send one after its client's end (a TLS stack
        # without half-closed connections), is not to blame if the client ended first. Any other host that stays silent
        # then has a fault: ignoring that cost 0.02 of goodput with many abrupt clients, in two runs.
        excused = self.downstream_ended and (not self.sends_completion or isinstance(self.upstream, sockets.Channel))
        return Status.CANCELLED if excused else Status.CUT

    def _forward_to_downstream(self, observer: ConnectionObserver) -> None:
        """Forward the upstream host's data until either side ends or the connection is paused for a handover.

        ``feed`` returns how many of the received bytes may be forwarded now; the others wait in the buffer for more.
        """
        buffer = bytearray(max(FORWARD_BUFFER_BYTES, 2 * len(self.unsent_to_downstream)))
        view = memoryview(buffer)
        size = len(self.unsent_to_downstream)
        buffer[:size] = self.unsent_to_downstream
        has_unfed_data = size > 0
        poll = None if self.pause_signal is None else self.pause_signal.poll_with(self.upstream)
        while True:
            if not has_unfed_data:
                if poll is not None and self._wait_or_pause(poll, view[:size], to_upstream=False):
                    return
                try:
                    received = self.upstream.recv_into(view[size:])
                except sockets.TruncatedError:
                    # After a completion message nothing can be missing; before it, a cut must not look like an end.
                    self.upstream_reset = self.last_kind is not MessageKind.COMPLETION
                    received = 0
                except OSError:
                    self.upstream_reset = True
                    received = 0
                if received == 0:
                    self._write_to_downstream(view[:size])  # an incomplete last message is forwarded as it is
                    return
                size += received
            has_unfed_data = False
            passed, runs = self.from_upstream.feed(view[:size])
            if passed == 0 and size == len(buffer):
                passed = size  # longer than any valid message: forwarded, not judged here
            goes_on = self._write_to_downstream(view[:passed])
            # Only after the write: what a message leads to, such as a move, must not overtake it.
            self._handle_messages(runs, observer)
            if not goes_on:
                return
            buffer[: size - passed] = buffer[passed:size]
            size -= passed

    def _handle_messages(self, runs: list[MessageRun], observer: ConnectionObserver) -> None:
        """Report what messages of the upstream host show: response delays, loads, and that the host drains."""
        for run in runs:
            self.last_kind = run.kind
            if run.kind is MessageKind.RESPONSE:
                self.last_response = now()
                for _ in range(min(run.count, len(self.pending_queries))):
                    observer.on_delay(self, self.last_response - self.pending_queries.popleft())
            elif run.kind is MessageKind.LOAD:
                observer.on_load(self, run.value)
            elif run.kind in (MessageKind.DRAINING, MessageKind.SENT_AWAY) and not self._client_side_ended():
                # A host sends its clients away because it drains. Discovery may report that seconds later; until then
                # many balancers would send it the very clients that it has just sent away.
                observer.on_host_draining(self)

    def _client_side_ended(self) -> bool:
        """Return whether the downstream's side was ended, by the client or by this process.

        A host answers that end with a last message. After a move that message is MOVE, and says nothing of the host.
        """
        return self.moved or self.rejected or self.downstream_ended or self.closed.is_set()

    def _write_to_downstream(self, data: memoryview) -> bool:
        """Write data, then the move message if a move waits for this message's end. Returns whether to go on."""
        with self.write_lock:
            if self.moved or self.rejected:
                return False
            try:
                sockets.write(self.downstream, [data])
            except OSError:
                self.downstream_reset = True
                return False
            self.started = True
            if self.move_requested and self.from_upstream.at_boundary():
                self._send_move_message()
            return not self.moved

    def _forward_to_upstream(self) -> None:
        """Forward the client's data until either side ends or the connection is paused for a handover.

        The times of queries are recorded, to measure the delay of their responses. After the client has closed its
        side, the upstream host may still send for ``HALF_CLOSE_TIMEOUT``.
        """
        buffer = bytearray(max(FORWARD_BUFFER_BYTES, 2 * len(self.unsent_to_upstream)))
        view = memoryview(buffer)
        size = len(self.unsent_to_upstream)
        buffer[:size] = self.unsent_to_upstream
        poll = None if self.pause_signal is None else self.pause_signal.poll_with(self.downstream)
        while True:
            if size:
                try:
                    passed, runs = self.from_downstream.feed(view[:size])
                except ProtocolViolationError as violation:
                    self._reject(violation.reply)
                    return
                at = now()
                queries = sum(run.count for run in runs if run.kind is MessageKind.QUERY)
                # Only the oldest times are kept. They suffice to detect silence, and a client that sends without end
                # must not fill the memory.
                self.pending_queries.extend([at] * min(queries, MAX_PENDING_QUERIES - len(self.pending_queries)))
                passed = passed if size < len(buffer) else passed or size
                try:
                    sockets.write(self.upstream, [view[:passed]])
                except OSError:
                    return  # the other thread sees how the upstream host ended
                buffer[: size - passed] = buffer[passed:size]
                size -= passed
            if poll is not None and self._wait_or_pause(poll, view[:size], to_upstream=True):
                return
            try:
                received = self.downstream.recv_into(view[size:])
            except OSError:
                self.downstream_reset = True
                break
            if received == 0:
                break
            size += received
            # A full buffer: more may wait that came before a reset, and the client wants nothing of it any more.
            if size == len(buffer) and sockets.was_reset(self.downstream):
                self.downstream_reset = True
                break
        if self.closed.is_set() or self.moved:
            return
        if self.downstream_reset:
            sockets.shut_down(self.upstream, socket.SHUT_RD)
            return
        self.downstream_ended = True
        sockets.shut_down(self.upstream, socket.SHUT_WR)
        if not self.closed.wait(HALF_CLOSE_TIMEOUT.total_seconds()):
            sockets.shut_down(self.upstream)

    def move(self, lock_timeout: timedelta = MOVE_TIMEOUT) -> bool:
        """Tell the downstream to move, between two messages, and end both sides. Returns False if it has ended.

        If a message takes longer than ``lock_timeout`` to write, the writing thread sends the move message after it.
        Thus a caller that moves many connections does not wait for slow readers.
        """
        if not self.write_lock.acquire(timeout=lock_timeout.total_seconds()):
            self.move_requested = True  # the thread that holds the lock sends the move message itself
            return True
        with self._held_write_lock():
            if (
                self.moved
                or self.rejected
                or self.paused
                or self.closed.is_set()
                or self.last_kind is MessageKind.SENT_AWAY
            ):
                return False  # after the host's own MOVE a second one would be an unexpected line
            if not (self.started and self.from_upstream.at_boundary()):
                self.move_requested = True
                return True
            self._send_move_message()
            return True

    def _held_write_lock(self) -> _HeldLock:
        return _HeldLock(self.write_lock)

    def _send_move_message(self) -> None:
        self.moved = True
        self._send_last(self.move_message)

    def _reject(self, reply: bytes) -> None:
        with self.write_lock:
            if not self.moved:
                self.rejected = True
                self._send_last(reply)

    def _send_last(self, data: bytes) -> None:
        """Write the last bytes to the downstream and shut both sides down. Called with ``write_lock`` held."""
        try:
            sockets.write(self.downstream, [data])
        except OSError:
            self.downstream_reset = True
        sockets.shut_down(self.upstream)
        sockets.shut_down(self.downstream)

    def silence(self) -> timedelta:
        """Return for how long the oldest pending query has gone unanswered."""
        try:
            return now() - self.pending_queries[0]
        except IndexError:
            return ZERO_DURATION


@dataclass(slots=True)
class _HeldLock:
    """Releases a lock that was acquired with a timeout."""

    lock: threading.Lock

    def __enter__(self) -> None: ...

    def __exit__(self, *_: object) -> None:
        self.lock.release()


@dataclass(slots=True)
class _HostDelay:
    """Delay statistics of one upstream host."""

    min_took: timedelta
    last_prompt: timedelta = ZERO_DURATION  # when a response last came in good time, on any connection
    last_report: timedelta = ZERO_DURATION
    high: bool = False


class DelayMonitor:
    """Reports delays of upstream hosts that exceed a threshold, and once more when they are back under it.

    A host is reported at most once a second. Its delay is the response time less the shortest response time seen,
    which is the network's share. A late response counts only for its own connection while other messages, sent after
    it, were answered in good time: one silent connection once emptied a host at half its load.
    """

    def __init__(self, threshold: timedelta, report: Callable[[ProxiedConnection, timedelta], None]) -> None:
        self.threshold = threshold
        self._report = report
        self._lock = threading.Lock()
        self._hosts: dict[str, _HostDelay] = {}

    def record(self, connection: ProxiedConnection, took: timedelta, answered: bool = True) -> None:
        """Record a response time, or with ``answered=False`` how long a pending query has waited so far."""
        with self._lock:
            host = self._hosts.setdefault(connection.host, _HostDelay(took))
            if answered:
                host.min_took = min(host.min_took, took)
            delay, at = took - host.min_took, now()
            high = delay > self.threshold
            if high and host.last_prompt > at - took:
                return
            if answered and not high:
                host.last_prompt = at
            # A response that is still pending can prove a delay, but not its end.
            if not (high or (host.high and answered)) or at - host.last_report < DELAY_REPORT_INTERVAL:
                return
            host.high, host.last_report = high, at
        self._report(connection, delay)


class Connections:
    """All established connections of a front, a thread that moves them, and a thread that detects silence."""

    def __init__(
        self,
        on_silent_connection: Callable[[ProxiedConnection, timedelta], None],
        on_silent_host: Callable[[ProxiedConnection, timedelta], None],
    ) -> None:
        self._lock = threading.Lock()
        self._all: dict[str, ProxiedConnection] = {}
        self._moves: SimpleQueue[str | None] = SimpleQueue()  # None: the end of all moves
        self._on_silent_connection = on_silent_connection
        self._on_silent_host = on_silent_host
        self._stop = threading.Event()

    def start(self) -> None:
        """Start both threads."""
        for run in (self._run_moves, self._run_watch):
            threading.Thread(target=run, name=run.__name__, daemon=True).start()

    def stop(self) -> None:
        """End both threads; the connections continue."""
        self._stop.set()
        self._moves.put(None)

    def add(self, connection: ProxiedConnection) -> None:
        """Add an established connection."""
        with self._lock:
            self._all[connection.id] = connection

    def remove(self, connection: ProxiedConnection) -> None:
        """Remove a connection that has ended or been handed over."""
        with self._lock:
            self._all.pop(connection.id, None)

    def all(self) -> list[ProxiedConnection]:
        """Return all established connections."""
        with self._lock:
            return list(self._all.values())

    def move(self, connection_id: str) -> None:
        """Queue a move of the connection with this id, so that a slow downstream does not block the caller."""
        self._moves.put(connection_id)

    def _run_moves(self) -> None:
        while (connection_id := self._moves.get()) is not None:
            with self._lock:
                connection = self._all.get(connection_id)
            if connection is not None:
                connection.move()

    def _run_watch(self) -> None:
        while not self._stop.wait(WATCH_INTERVAL.total_seconds()):
            hosts: dict[str, list[ProxiedConnection]] = {}
            for connection in self.all():
                hosts.setdefault(connection.host, []).append(connection)
            for connections in hosts.values():
                self._check_host(connections)

    def _check_host(self, connections: list[ProxiedConnection]) -> None:
        """Report the silent connections of one upstream host, and the host itself if all of them are silent."""
        silent = {
            connection: duration
            for connection in connections
            if (duration := connection.silence()) > MIN_REPORTED_SILENCE
        }
        if not silent:
            return
        longest = max(silent, key=lambda connection: silent[connection])
        last_response = max(connection.last_response for connection in connections)
        host_silence = min(silent[longest], now() - last_response)
        if len(silent) == 1 < len(connections):
            # One of several connections may be the only one that has sent a query. It counts for its host only once
            # the others too must have sent one. Before this rule a host at a third of its load lost all its
            # connections, as one had fallen silent and the other two had sent nothing for a second.
            host_silence -= QUERY_INTERVAL
        if host_silence > MIN_REPORTED_SILENCE:
            self._on_silent_host(longest, host_silence)
        for connection, duration in silent.items():
            self._on_silent_connection(connection, duration)
