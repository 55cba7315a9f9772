"""Listening sockets: one thread accepts, and one thread lives each downstream's life."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from bramblestile import sockets, threads
from bramblestile.clock import milliseconds, now
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.memory.descriptors import Descriptors
from bramblestile.memory.lobby import Lobby
from bramblestile.sockets import Address

BACKLOG = 1024
STOP_BOUND = timedelta(milliseconds=200)  # for the thread that accepts to see that it is to end
EACH = 2  # descriptors of a downstream: its own, and that of its upstream host
MOST_LEAVING = 16  # turned away and still to read our words; descriptors are kept back for them
AGAIN = timedelta(milliseconds=10)  # after an accept that failed
Serve = Callable[[socket.socket], None]


def take_over(descriptor: int) -> socket.socket:
    """The listening socket that whoever started us holds. ValueError says what else the descriptor is."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ValueError(f"descriptor {descriptor}: {error.strerror}") from None
    if (sock.family, sock.type) == (socket.AF_INET, socket.SOCK_STREAM) \
            and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        return sock
    sock.detach()  # not ours to close
    raise ValueError(f"descriptor {descriptor} is no listening TCP socket")


class Listener:
    """The thread that accepts waits on the socket beside a pipe of its own, and never on a downstream: whom it cannot
    serve, for want of a thread or of descriptors, it tells to come again (``full``) and lets go of.

    ``inherited``: a socket that other processes accept from too. What is said of it binds them as well, so it is never
    shut down. A listening socket is made not to block, for all of them: between the wait and the accept another may
    have taken the downstream."""

    def __init__(self, address: Address, serve: Serve, counters: Counters, name: str,
                 lobby: Lobby | None = None, inherited: socket.socket | None = None,
                 descriptors: Descriptors | None = None, full: bytes = b"") -> None:
        self._lobby = lobby  # None: what comes here is bounded elsewhere
        self._descriptors = descriptors
        self._full = full
        self._serve = serve
        self._counters = counters
        self._name = name
        self._log = Log(listener=name)
        self._owned = inherited is None
        if inherited is None:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
        else:
            self._sock = inherited
        self._sock.setblocking(False)
        self._wake = os.pipe()
        self._leaving: deque[tuple[socket.socket, timedelta]] = deque()  # and by when they are closed
        self._thread = threading.Thread(target=self._accept, name="accept " + name, daemon=True)
        self.address: Address = self._sock.getsockname()[:2]
        self._stopped = False
        self._busy = threading.Lock()
        self.busy = 0  # downstreams taken and not yet over

    def start(self) -> None:
        if self._thread.ident is None:
            self._thread.start()

    def _accept(self) -> None:
        threads.forever(self._turn, self._counters, self._log)
        if self._owned:
            self._take_the_rest()
        self._end()

    def _end(self) -> None:
        if self._owned:
            self._sock.close()
        for sock, _ in self._leaving:
            sockets.close(sock)
        for descriptor in self._wake:
            os.close(descriptor)

    def _turn(self) -> bool:
        if self._lobby is not None:
            self._lobby.make_room()
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        poll.register(self._wake[0], select.POLLIN)
        for sock, _ in self._leaving:
            poll.register(sock, select.POLLIN)
        poll.poll(max(0, milliseconds(self._leaving[0][1] - now()) + 1) if self._leaving else None)
        self._let_go()
        if not self._stopped:
            self._take_next()
        return not self._stopped

    def _take_next(self) -> bool:
        """False: nobody is there."""
        try:
            sock = self._sock.accept()[0]
        except BlockingIOError:
            return False
        except OSError as error:
            # Out of descriptors, or the downstream left before we came: neither may end the listener.
            self._counters.add("accept_failed")
            self._log.seldom("accept failed", error=repr(error))
            if self._lobby is not None and error.errno in (errno.EMFILE, errno.ENFILE):
                self._lobby.send_oldest_away()
            time.sleep(AGAIN.total_seconds())
            return True
        self._counters.add(f"{self._name}_accepted")
        if self._descriptors is not None and not self._descriptors.take(EACH):
            self._counters.add("no_descriptors")
            self._turn_away(sock)
            return True
        if self._lobby is not None:
            self._lobby.enter(sock)
        try:
            self._start(partial(self._live, sock))
        except RuntimeError:
            self._counters.add("no_thread")
            if self._lobby is not None:
                self._lobby.leave(sock)
            self._give_back()
            self._turn_away(sock)
        return True

    def _turn_away(self, sock: socket.socket) -> None:
        """Its words and its end, at once; its descriptor stays until it has read them, or for a moment: closing over
        what it sends would reset it, and our words with it."""
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.send(self._full)
            sock.shutdown(socket.SHUT_WR)
        self._leaving.append((sock, now() + sockets.LINGER))
        if len(self._leaving) > MOST_LEAVING:
            sockets.close(self._leaving.popleft()[0])

    def _let_go(self) -> None:
        """Closes those who have gone, or have had their time."""
        for _ in range(len(self._leaving)):
            sock, until = self._leaving.popleft()
            if now() < until and not sockets.has_left(sock):
                sockets.drop_unread(sock)
                self._leaving.append((sock, until))
            else:
                sockets.close(sock)

    def _take_the_rest(self) -> None:
        """Those whom the system has accepted for us count as taken: closing the socket over them would reset them."""
        for _ in range(BACKLOG):
            if not self._take_next():
                break

    def run(self, work: Callable[[], None]) -> None:
        """In a thread of a downstream's, which counts as busy meanwhile. RuntimeError: there is none to be had, or no
        descriptors for it."""
        if self._descriptors is not None and not self._descriptors.take(EACH):
            raise RuntimeError("no descriptors are to be had")
        try:
            self._start(partial(self._give_back_after, work))
        except RuntimeError:
            self._give_back()
            raise

    def _give_back(self) -> None:
        if self._descriptors is not None:
            self._descriptors.give_back(EACH)

    def _give_back_after(self, work: Callable[[], None]) -> None:
        try:
            work()
        finally:
            self._give_back()

    def _start(self, work: Callable[[], None]) -> None:
        self._count(1)
        try:
            threading.Thread(target=self._run, args=(work,), name=self._name, daemon=True).start()
        except RuntimeError:
            self._count(-1)
            raise

    def _run(self, work: Callable[[], None]) -> None:
        try:
            work()
        except Exception:
            threads.note_fault(self._counters, self._log)
        finally:
            self._count(-1)

    def _count(self, change: int) -> None:
        with self._busy:
            self.busy += change

    def _live(self, sock: socket.socket) -> None:
        try:
            sockets.tune(sock)
            self._serve(sock)
        except OSError:
            self._counters.add("downstream_broke")
        finally:
            sock.close()
            if self._lobby is not None:
                self._lobby.leave(sock)
            self._give_back()

    def stop(self) -> None:
        """Nothing more is taken, but for those who are there already; what was taken goes on. An inherited socket
        listens on for whoever else has it."""
        with self._busy:
            if self._stopped:
                return
            os.write(self._wake[1], b"x")
            self._stopped = True
        if self._thread.ident is None:
            self._end()
            return
        # What it took in its last moment is counted in ``busy`` only then.
        self._thread.join(STOP_BOUND.total_seconds())
