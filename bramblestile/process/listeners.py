"""Listening sockets: one thread accepts, and one thread lives each downstream's life."""

from __future__ import annotations

import errno
import os
import select
import socket
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from bramblestile import sockets
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.memory.pending import PendingDownstreams
from bramblestile.sockets import Address

BACKLOG = 1024
STOP_BOUND = timedelta(milliseconds=200)  # for the thread that accepts to see that it is to end
Serve = Callable[[socket.socket], None]


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """The listening socket that whoever started us holds. ValueError says what else the descriptor is."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ValueError(f"descriptor {descriptor}: {error.strerror}") from None
    if (sock.family, sock.type) == (socket.AF_INET, socket.SOCK_STREAM) and sock.getsockopt(
        socket.SOL_SOCKET, socket.SO_ACCEPTCONN
    ):
        return sock
    sock.detach()  # not ours to close
    raise ValueError(f"descriptor {descriptor} is no listening TCP socket")


class Listener:
    """``inherited``: a socket that other processes accept from too. What is said of it binds them as well, so it is
    never shut down, and the thread that accepts waits on it beside a pipe of its own. It is made not to block, for all
    of them: between the wait and the accept another may have taken the downstream."""

    def __init__(
        self,
        address: Address,
        serve: Serve,
        counters: Counters,
        name: str,
        pending_downstreams: PendingDownstreams | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        self._pending_downstreams = pending_downstreams  # None: what comes here is bounded elsewhere
        self._serve = serve
        self._counters = counters
        self._name = name
        self._log = Log(listener=name)
        self._wake: tuple[int, int] | None = None
        if inherited is None:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
        else:
            self._sock, self._wake = inherited, os.pipe()
            self._sock.setblocking(False)
        self._thread = threading.Thread(target=self._accept, name="accept " + name, daemon=True)
        self.address: Address = self._sock.getsockname()[:2]
        self._stopped = False
        self._busy = threading.Lock()
        self.active_count = 0  # downstreams taken and not yet over

    def start(self) -> None:
        if self._thread.ident is None:
            self._thread.start()

    def _next(self) -> socket.socket | None:
        """The next downstream; None where another process has taken it, or the listener was stopped."""
        if self._wake is None:
            return self._sock.accept()[0]
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        poll.register(self._wake[0], select.POLLIN)
        poll.poll()
        if self._stopped:
            return None
        try:
            return self._sock.accept()[0]
        except BlockingIOError:
            return None

    def _accept(self) -> None:
        while not self._stopped:
            if self._pending_downstreams is not None:
                self._pending_downstreams.wait_for_room()
            try:
                sock = self._next()
                if sock is None:
                    continue
            except OSError as error:
                if self._stopped:
                    return
                # Out of descriptors, or the downstream left before we came: neither may end the listener.
                self._counters.add("accept_failed")
                self._log.warning_rate_limited("accept failed", error=repr(error))
                if self._pending_downstreams is not None and error.errno in (errno.EMFILE, errno.ENFILE):
                    self._pending_downstreams.evict_oldest()
                time.sleep(0.01)
                continue
            self._counters.add(f"{self._name}_accepted")
            if self._pending_downstreams is not None:
                self._pending_downstreams.track(sock)
            try:
                self.run_in_thread(partial(self._live, sock))
            except RuntimeError:
                self._counters.add("no_thread")
                self._done(sock)

    def run_in_thread(self, work: Callable[[], None]) -> None:
        """In a thread of a downstream's, which counts as busy meanwhile. RuntimeError: there is none to be had."""
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
            self._counters.add("faults")
            self._log.exception("fault")
        finally:
            self._count(-1)

    def _count(self, change: int) -> None:
        with self._busy:
            self.active_count += change

    def _live(self, sock: socket.socket) -> None:
        try:
            sockets.set_options(sock)
            self._serve(sock)
        except OSError:
            self._counters.add("downstream_broke")
        finally:
            self._done(sock)

    def _done(self, sock: socket.socket) -> None:
        sock.close()
        if self._pending_downstreams is not None:
            self._pending_downstreams.remove(sock)

    def stop(self) -> None:
        """Nothing more is taken; what was taken goes on. An inherited socket listens on for whoever else has it."""
        self._stopped = True
        if self._wake is None:
            sockets.shut_down(self._sock)
            self._sock.close()
            return
        os.write(self._wake[1], b"x")
        # What it took in its last moment is counted in ``busy`` only then.
        if self._thread.ident is not None:
            self._thread.join(STOP_BOUND.total_seconds())
