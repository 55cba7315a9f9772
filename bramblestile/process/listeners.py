"""Listening sockets.

One thread per listener accepts connections, and each downstream is served in a thread of its own.
"""

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
ACCEPT_STOP_TIMEOUT = timedelta(milliseconds=200)  # for the accepting thread to notice a stop
ACCEPT_RETRY_DELAY_S = 0.01  # after a failed accept
Serve = Callable[[socket.socket], None]


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """Return the listening socket that this process inherited.

    Raises ValueError, whose text says why, if the descriptor is not a listening TCP socket.
    """
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ValueError(f"descriptor {descriptor}: {error.strerror}") from None
    if (sock.family, sock.type) == (socket.AF_INET, socket.SOCK_STREAM) and sock.getsockopt(
        socket.SOL_SOCKET, socket.SO_ACCEPTCONN
    ):
        return sock
    sock.detach()  # this process does not own the descriptor, so it must not close it
    raise ValueError(f"descriptor {descriptor} is not a listening TCP socket")


class Listener:
    """Accepts downstreams on one address and serves each in its own thread.

    ``inherited`` is a listening socket that other processes accept from too. A shutdown would apply to all of them, so
    the socket is never shut down; instead the accepting thread also polls a pipe that wakes it. The socket is set to
    non-blocking, for all processes: another one may accept the connection between this one's poll and accept.

    Attributes:
        address: The address that the socket is bound to.
        active_count: Number of downstreams that have been accepted or adopted and have not ended.
    """

    def __init__(
        self,
        address: Address,
        serve: Serve,
        counters: Counters,
        name: str,
        pending_downstreams: PendingDownstreams | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        self._pending_downstreams = pending_downstreams  # None: other limits apply
        self._serve = serve
        self._counters = counters
        self._name = name
        self._log = Log(listener=name)
        self._wake_pipe: tuple[int, int] | None = None
        if inherited is None:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
        else:
            self._sock, self._wake_pipe = inherited, os.pipe()
            self._sock.setblocking(False)
        self._thread = threading.Thread(target=self._accept_loop, name="accept " + name, daemon=True)
        self.address: Address = self._sock.getsockname()[:2]
        self._stopped = False
        self._active_lock = threading.Lock()
        self.active_count = 0

    def start(self) -> None:
        """Start accepting. Does nothing if already started."""
        if self._thread.ident is None:
            self._thread.start()

    def _accept_one(self) -> socket.socket | None:
        """Wait for the next downstream. Returns None if another process accepted it, or if the listener was stopped."""
        if self._wake_pipe is None:
            return self._sock.accept()[0]
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        poll.register(self._wake_pipe[0], select.POLLIN)
        poll.poll()
        if self._stopped:
            return None
        try:
            return self._sock.accept()[0]
        except BlockingIOError:
            return None

    def _accept_loop(self) -> None:
        while not self._stopped:
            if self._pending_downstreams is not None:
                self._pending_downstreams.wait_for_room()
            try:
                sock = self._accept_one()
                if sock is None:
                    continue
            except OSError as error:
                if self._stopped:
                    return
                # Out of descriptors, or the client reset the connection first: neither may end the listener.
                self._counters.add("accept_failed")
                self._log.warning_rate_limited("accept failed", error=repr(error))
                if self._pending_downstreams is not None and error.errno in (errno.EMFILE, errno.ENFILE):
                    self._pending_downstreams.evict_oldest()
                time.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self._counters.add(f"{self._name}_accepted")
            if self._pending_downstreams is not None:
                self._pending_downstreams.track(sock)
            try:
                self.run_in_thread(partial(self._serve_downstream, sock))
            except RuntimeError:
                self._counters.add("no_thread")
                self._release(sock)

    def run_in_thread(self, work: Callable[[], None]) -> None:
        """Run work for one downstream in a new thread and count it as active. Raises RuntimeError if none can start."""
        self._adjust_active_count(1)
        try:
            threading.Thread(target=self._run, args=(work,), name=self._name, daemon=True).start()
        except RuntimeError:
            self._adjust_active_count(-1)
            raise

    def _run(self, work: Callable[[], None]) -> None:
        try:
            work()
        except Exception:
            self._counters.add("faults")
            self._log.exception("fault")
        finally:
            self._adjust_active_count(-1)

    def _adjust_active_count(self, change: int) -> None:
        with self._active_lock:
            self.active_count += change

    def _serve_downstream(self, sock: socket.socket) -> None:
        try:
            sockets.set_options(sock)
            self._serve(sock)
        except OSError:
            self._counters.add("downstream_broke")
        finally:
            self._release(sock)

    def _release(self, sock: socket.socket) -> None:
        sock.close()
        if self._pending_downstreams is not None:
            self._pending_downstreams.remove(sock)

    def stop(self) -> None:
        """Stop accepting; downstreams already accepted continue.

        An inherited socket stays open for the other processes.
        """
        self._stopped = True
        if self._wake_pipe is None:  # the socket is not inherited
            sockets.shut_down(self._sock)
            self._sock.close()
            return
        os.write(self._wake_pipe[1], b"x")
        # Until the thread has ended, its last accepted downstream may be missing from ``active_count``.
        if self._thread.ident is not None:
            self._thread.join(ACCEPT_STOP_TIMEOUT.total_seconds())
