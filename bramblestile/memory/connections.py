"""Standing connections: one thread per direction, moves between two messages, and who has gone mute."""

from __future__ import annotations

import os
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

MOST = 8192  # bytes passed on at once
MOST_ASKED = 64  # unanswered messages of one connection whose times are kept
LAST_WORD = timedelta(seconds=1)  # after the downstream's end, for the upstream host to end too
MOVE_BOUND = timedelta(milliseconds=500)  # a move waits so long for a message in passing to be whole
WATCH_EVERY = timedelta(milliseconds=100)
NOTED_FROM = timedelta(milliseconds=250)  # a shorter silence is no news
NOTE_EVERY = timedelta(seconds=1)  # between two notes of one upstream host's delay
ASK_EVERY = timedelta(seconds=2)  # the platform's clients send a line so often
HALT_BOUND = timedelta(milliseconds=400)  # for the other direction to halt too: no line is held for over a second


class Kind(Enum):
    """What a message passing through means to the balancer."""

    ANSWER = "answer"  # something came back
    ASK = "ask"  # something is to come back
    LOAD = "load"
    LAST = "last"  # served to its end
    AWAY = "away"  # the upstream host sends its client away
    DRAINS = "drains"  # the upstream host says that it drains
    OTHER = "other"


@dataclass(slots=True, frozen=True)
class Message:
    kind: Kind
    value: float = 0.0


class ViolationError(Exception):
    """A message that may not pass; ``reply`` tells the downstream why before its connection ends."""

    def __init__(self, reply: bytes) -> None:
        super().__init__(reply)
        self.reply = reply


class Framer(Protocol):
    """Follows one direction. It never changes a byte; it knows where messages end and what they mean."""

    def feed(self, data: memoryview) -> tuple[int, list[Message]]:
        """How much of the data may go on now, and what messages ended in it."""

    def between(self) -> bool:
        """All that has gone on so far ends with a whole message."""


class Observer(Protocol):
    """Who hears of a standing connection's news."""

    def load(self, standing: Standing, value: float) -> None: ...

    def delay(self, standing: Standing, delay: timedelta) -> None: ...

    def drains(self, standing: Standing) -> None: ...


class Halt:
    """Once set, every standing connection that has it stops between two reads, so that another process may go on with
    it: what lies unread in its sockets is that one's. The pipe wakes all threads at once; ending their reads by a
    shutdown would end the connection for both."""

    def __init__(self) -> None:
        self._read, self._write = os.pipe()
        self._set = False

    def set(self) -> None:
        if not self._set:
            self._set = True
            os.close(self._write)

    def beside(self, side: sockets.Transport) -> select.poll:
        poll = select.poll()
        poll.register(side, select.POLLIN)
        poll.register(self._read, select.POLLIN)
        return poll

    def woke(self, ready: list[tuple[int, int]]) -> bool:
        return any(fd == self._read for fd, _ in ready)


@dataclass(slots=True, eq=False)
class Standing:
    """A connection that is up: its two sockets, and what is known of its end."""

    id: str
    host: str
    downstream: socket.socket
    upstream: sockets.Transport
    farewell: bytes  # what tells the downstream to move
    from_upstream: Framer
    from_downstream: Framer
    first_up: bytes = b""  # read too early, to go on first
    first_down: bytes = b""
    asked: deque[timedelta] = field(default_factory=deque)  # when each unanswered message went up
    answered: timedelta = ZERO_DURATION  # when something last came back
    lock: threading.Lock = field(default_factory=threading.Lock)  # writes to the downstream
    moved: bool = False
    started: bool = False  # the downstream has its first answer: only then can it be told to move
    move_wanted: bool = False
    refused: bool = False  # the downstream broke its protocol and was told so
    last: Kind = Kind.OTHER
    reset_down: bool = False  # the downstream's side broke
    reset_up: bool = False
    left: bool = False  # the downstream ended first, in order
    says_last: bool = True  # a host answers its client's end with a last word, while it is well
    over: threading.Event = field(default_factory=threading.Event)
    halt: Halt | None = None  # None: it is carried to its end here
    halted_down: bool = False
    halted_up: bool = False
    frozen: bool = False  # nothing is read or written here any more, unless it is thawed
    turn: threading.Lock = field(default_factory=threading.Lock)  # whether a direction still may halt

    def carry(self, observer: Observer) -> Status | None:
        """Passes all bytes on, both ways, until either side ends; ends the other in the same way. None: it was halted
        and is frozen, both sockets being as they were; whoever goes on with it finds what was read in ``first_up`` and
        ``first_down``."""
        back = threading.Thread(target=self._pass_up, name="up " + self.id, daemon=True)
        back.start()
        try:
            self._pass_down(observer)
            if self.halted_down:
                back.join(HALT_BOUND.total_seconds())
                if self._freeze():
                    return None
                if self.halted_up:
                    back = threading.Thread(target=self._pass_up, name="up " + self.id, daemon=True)
                    back.start()
                self._pass_down(observer)
        finally:
            if not self.frozen:
                self._end(back)
        return self._status()

    def _halts(self, poll: select.poll, held: memoryview, up: bool) -> bool:
        """Waits until there is something to read. True: this direction halts instead, with the bytes that it holds."""
        halt = self.halt
        if halt is None or not halt.woke(poll.poll()):
            return False
        with self.turn:
            if self.halt is None:  # too late: the other direction goes on
                return False
            if up:
                self.first_up, self.halted_up = bytes(held), True
            else:
                self.first_down, self.halted_down = bytes(held), True
            return True

    def _freeze(self) -> bool:
        """Both directions have halted, and nobody is on the way out. Otherwise none halts any more."""
        with self.lock, self.turn:
            ending = (
                self.moved
                or self.move_wanted
                or self.refused
                or self.left
                or self.reset_down
                or self.last in (Kind.LAST, Kind.AWAY)
            )
            self.frozen = self.halted_down and self.halted_up and not ending
            if not self.frozen:
                self.halt = None
            return self.frozen

    def thaw(self) -> None:
        """Nobody else has taken it: it is carried on here, to its end."""
        with self.lock, self.turn:
            self.frozen = self.halted_down = self.halted_up = False
            self.halt = None

    def let_go(self) -> None:
        """Another process has it. Only our descriptors are closed: the sockets themselves are that one's."""
        self.over.set()
        for side in (self.downstream, self.upstream):
            if isinstance(side, socket.socket):
                side.close()

    def _end(self, back: threading.Thread) -> None:
        """The connection is over: the other side ends as this one did."""
        self.over.set()
        # The host's end is passed on at once; shutting both wakes the other thread.
        if not self.reset_up:
            sockets.shut_down(self.downstream)
        else:
            sockets.shut_down(self.downstream, socket.SHUT_RD)
        sockets.shut_down(self.upstream, socket.SHUT_RD if self.reset_down else socket.SHUT_RDWR)
        back.join()
        sockets.close(self.downstream, reset=self.reset_up and not (self.moved or self.refused))
        sockets.close(self.upstream, reset=self.reset_down)

    def _status(self) -> Status:
        if self.moved or self.refused or self.reset_down or self.last is Kind.AWAY:
            return Status.CANCELLED
        if self.last is Kind.LAST:
            return Status.SERVED
        # Who ended first decides where the host has no last word to say (NATS), or cannot say one after its client's
        # end (a TLS stack without half-closed connections). Elsewhere its silence then is a sign: taking it for none
        # cost 0.02 of goodput on days with rude clients, in two runs.
        excused = self.left and (not self.says_last or isinstance(self.upstream, sockets.Channel))
        return Status.CANCELLED if excused else Status.CUT

    def _pass_down(self, observer: Observer) -> None:
        buffer = bytearray(max(MOST, 2 * len(self.first_down)))
        view = memoryview(buffer)
        have = len(self.first_down)
        buffer[:have] = self.first_down
        fresh = have > 0
        poll = None if self.halt is None else self.halt.beside(self.upstream)
        while True:
            if not fresh:
                if poll is not None and self._halts(poll, view[:have], up=False):
                    return
                try:
                    got = self.upstream.recv_into(view[have:])
                except sockets.TruncatedError:
                    # After its last word nothing can be missing; before, a cut must not look like an end.
                    self.reset_up = self.last is not Kind.LAST
                    got = 0
                except OSError:
                    self.reset_up = True
                    got = 0
                if got == 0:
                    self._write_down(view[:have])  # the last, broken message goes on as it came
                    return
                have += got
            fresh = False
            passed, messages = self.from_upstream.feed(view[:have])
            if passed == 0 and have == len(buffer):
                passed = have  # longer than any message may be: not ours to judge
            goes_on = self._write_down(view[:passed])
            self._hear(messages, observer)  # afterwards: what it leads to, a move say, must not overtake it
            if not goes_on:
                return
            buffer[: have - passed] = buffer[passed:have]
            have -= passed

    def _hear(self, messages: list[Message], observer: Observer) -> None:
        for message in messages:
            self.last = message.kind
            if message.kind is Kind.ANSWER:
                self.answered = now()
            if message.kind is Kind.ANSWER and self.asked:
                observer.delay(self, now() - self.asked.popleft())
            elif message.kind is Kind.LOAD:
                observer.load(self, message.value)
            elif message.kind in (Kind.DRAINS, Kind.AWAY) and not self._we_end():
                # It sends its clients away because it drains, and discovery's word may come seconds later: until
                # then many balancers would send it the very clients that it has just sent away.
                observer.drains(self)

    def _we_end(self) -> bool:
        """Its client's side has ended, by us or by itself. A host answers that with a last word, and where we have
        moved the client it says MOVE, which then tells nothing of the host."""
        return self.moved or self.refused or self.left or self.over.is_set()

    def _write_down(self, data: memoryview) -> bool:
        """Passes data on, then says the farewell if a move waits for this message's end."""
        with self.lock:
            if self.moved or self.refused:
                return False
            try:
                sockets.write(self.downstream, [data])
            except OSError:
                self.reset_down = True
                return False
            self.started = True
            if self.move_wanted and self.from_upstream.between():
                self._farewell()
            return not self.moved

    def _pass_up(self) -> None:
        buffer = bytearray(max(MOST, 2 * len(self.first_up)))
        view = memoryview(buffer)
        have = len(self.first_up)
        buffer[:have] = self.first_up
        poll = None if self.halt is None else self.halt.beside(self.downstream)
        while True:
            if have:
                try:
                    passed, messages = self.from_downstream.feed(view[:have])
                except ViolationError as violation:
                    self._end_with(violation.reply)
                    return
                at = now()
                asks = sum(message.kind is Kind.ASK for message in messages)
                # The oldest tell who is mute: a client that floods us with lines must not fill our memory.
                self.asked.extend([at] * min(asks, MOST_ASKED - len(self.asked)))
                passed = passed if have < len(buffer) else passed or have
                try:
                    sockets.write(self.upstream, [view[:passed]])
                except OSError:
                    return  # the other thread sees how the upstream host ended
                buffer[: have - passed] = buffer[passed:have]
                have -= passed
            if poll is not None and self._halts(poll, view[:have], up=True):
                return
            try:
                got = self.downstream.recv_into(view[have:])
            except OSError:
                self.reset_down = True
                break
            if got == 0:
                break
            have += got
        if self.over.is_set() or self.moved:
            return
        if self.reset_down:
            sockets.shut_down(self.upstream, socket.SHUT_RD)
            return
        self.left = True
        sockets.shut_down(self.upstream, socket.SHUT_WR)
        if not self.over.wait(LAST_WORD.total_seconds()):
            sockets.shut_down(self.upstream)

    def move(self, within: timedelta = MOVE_BOUND) -> bool:
        """Tells the downstream to move, between two messages, and ends both sides. False if it is over. A message that
        takes longer than ``within`` to pass is followed by the farewell: whoever has many to move waits on none."""
        if not self.lock.acquire(timeout=within.total_seconds()):
            self.move_wanted = True  # the writer has the lock and says the farewell itself
            return True
        with self.lock_held():
            if self.moved or self.refused or self.frozen or self.over.is_set() or self.last is Kind.AWAY:
                return False  # its host has told it itself: a second farewell would be a line of nobody's
            if not (self.started and self.from_upstream.between()):
                self.move_wanted = True
                return True
            self._farewell()
            return True

    def lock_held(self) -> _Held:
        return _Held(self.lock)

    def _farewell(self) -> None:
        self.moved = True
        self._last_words(self.farewell)

    def _end_with(self, reply: bytes) -> None:
        with self.lock:
            if not self.moved:
                self.refused = True
                self._last_words(reply)

    def _last_words(self, words: bytes) -> None:
        """With the lock held: nothing follows these words on the downstream."""
        try:
            sockets.write(self.downstream, [words])
        except OSError:
            self.reset_down = True
        sockets.shut_down(self.upstream)
        sockets.shut_down(self.downstream)

    def mute_for(self) -> timedelta:
        """For how long a message has gone unanswered."""
        try:
            return now() - self.asked[0]
        except IndexError:
            return ZERO_DURATION


@dataclass(slots=True)
class _Held:
    """Releases a lock that was acquired with a time-out."""

    lock: threading.Lock

    def __enter__(self) -> None: ...

    def __exit__(self, *_: object) -> None:
        self.lock.release()


@dataclass(slots=True)
class _Seen:
    """What is known of one upstream host's delay."""

    least: timedelta
    prompt: timedelta = ZERO_DURATION  # when an answer last came in good time, on whichever connection
    noted: timedelta = ZERO_DURATION
    high: bool = False


class Delays:
    """Turns the time that answers take into notes: once a second and host while it is over the threshold,
    and once more when it is back under. The way there and back, the least time seen, is no delay. A message that is
    late while others, asked after it, are answered in good time tells of its own connection and nothing of the host:
    seen, one connection that had fallen silent emptied a host at half its load."""

    def __init__(self, threshold: timedelta, note: Callable[[Standing, timedelta], None]) -> None:
        self.threshold = threshold
        self._note = note
        self._lock = threading.Lock()
        self._hosts: dict[str, _Seen] = {}

    def seen(self, standing: Standing, took: timedelta, answered: bool = True) -> None:
        with self._lock:
            host = self._hosts.setdefault(standing.host, _Seen(took))
            if answered:
                host.least = min(host.least, took)
            delay, at = took - host.least, now()
            high = delay > self.threshold
            if high and host.prompt > at - took:
                return
            if answered and not high:
                host.prompt = at
            # An answer that is still out proves a delay, never its end.
            if not (high or (host.high and answered)) or at - host.noted < NOTE_EVERY:
                return
            host.high, host.noted = high, at
        self._note(standing, delay)


class Connections:
    """All standing connections, and the two threads that look after them."""

    def __init__(
        self, on_mute: Callable[[Standing, timedelta], None], on_hush: Callable[[Standing, timedelta], None]
    ) -> None:
        self._lock = threading.Lock()
        self._all: dict[str, Standing] = {}
        self._moves: SimpleQueue[str] = SimpleQueue()
        self._on_mute = on_mute
        self._on_hush = on_hush
        self._stop = threading.Event()

    def start(self) -> None:
        for run in (self._run_moves, self._run_watch):
            threading.Thread(target=run, name=run.__name__, daemon=True).start()

    def add(self, standing: Standing) -> None:
        with self._lock:
            self._all[standing.id] = standing

    def remove(self, standing: Standing) -> None:
        with self._lock:
            self._all.pop(standing.id, None)

    def all(self) -> list[Standing]:
        with self._lock:
            return list(self._all.values())

    def move(self, name: str) -> None:
        self._moves.put(name)  # a slow downstream must not hold up the thread that brought the news

    def _run_moves(self) -> None:
        while True:
            name = self._moves.get()
            with self._lock:
                standing = self._all.get(name)
            if standing is not None:
                standing.move()

    def _run_watch(self) -> None:
        while not self._stop.wait(WATCH_EVERY.total_seconds()):
            hosts: dict[str, list[Standing]] = {}
            for standing in self.all():
                hosts.setdefault(standing.host, []).append(standing)
            for held in hosts.values():
                self._look_at(held)

    def _look_at(self, held: list[Standing]) -> None:
        """One upstream host's connections: which return nothing, and whether none of them does."""
        mute = {standing: silent for standing in held if (silent := standing.mute_for()) > NOTED_FROM}
        if not mute:
            return
        first = max(mute, key=lambda standing: mute[standing])
        answered = max(standing.answered for standing in held)
        hush = min(mute[first], now() - answered)
        if len(mute) == 1 < len(held):
            # One of several may tell of itself alone, until the others too must have asked. Seen: a host at a third of
            # its load lost all that it held, as one had fallen silent and the other two had asked nothing for a second.
            hush -= ASK_EVERY
        if hush > NOTED_FROM:
            self._on_hush(first, hush)
        for standing, silent in mute.items():
            self._on_mute(standing, silent)
