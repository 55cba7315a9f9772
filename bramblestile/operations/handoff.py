"""Two processes of one balancer while one replaces the other: who is there, and who is ready.

The running process listens on a Unix socket in the folder that both share. The next one connects, and that is how each
knows of the other: what lies in a file would outlast a process that was killed. When the running one has ended, the
next one listens there.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import threading
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from queue import Empty, SimpleQueue
from typing import Any

from bramblestile.log import Log
from bramblestile.memory.connections import PauseSignal, ProxiedConnection
from bramblestile.memory.counters import Counters
from bramblestile.operations.connection_codec import encode_connection
from vanegw import interface as api

SOCKET_NAME = "bramblestile.next"
MAX_MESSAGE_BYTES = 131072  # bytes of one message: a connection holds at most 16 KiB, twice as many in hexadecimal
BACKLOG = 4
AdoptConnection = Callable[[dict[str, Any], socket.socket, socket.socket], bool]  # goes on with a connection, if it can
ADOPTION_TIMEOUT = timedelta(milliseconds=2500)  # for a successor that still lives to say that it has a connection


@contextlib.contextmanager
def _short(folder: Path) -> Any:
    """The folder under a path that surely fits a Unix socket's address, which has 108 bytes."""
    opened = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{opened}/{SOCKET_NAME}"
    finally:
        os.close(opened)


class ProcessHandoff:
    """One process's part in it. ``predecessor`` holds from ``start`` on until that process has ended."""

    def __init__(self, folder: Path, counters: Counters) -> None:
        self._folder = folder
        self._counters = counters
        self._log = Log(part="succession")
        self.pause_signal = PauseSignal()  # what stands here is to be handed on
        self.adopt: AdoptConnection = lambda message, downstream, upstream: False
        self.export_state: Callable[[], list[dict[str, Any]]] = list  # what a successor is to know
        self.import_state: Callable[[dict[str, Any]], None] = lambda message: None
        self._recalled = threading.Event()
        self._waits: dict[str, SimpleQueue[bool]] = {}  # for the successor's word on a connection
        self._link: socket.socket | None = None  # to the predecessor
        self._lock = threading.Lock()
        self._successor: socket.socket | None = None
        self._ready = threading.Event()  # that successor has said that it takes clients

    @property
    def has_predecessor(self) -> bool:
        return self._link is not None

    def wait_for_ready(self, timeout: timedelta) -> bool:
        """Whether the successor takes clients. It says so before it tells anybody else, but its word may not have been
        read when the signal to leave comes: where there is a successor, it is waited for."""
        with self._lock:
            if self._successor is None:
                return False
        return self._ready.wait(timeout.total_seconds())

    def start(self) -> None:
        """Finds the predecessor, if there is one. Whatever fails is logged, and the process serves on as if alone."""
        link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with _short(self._folder) as path:
                link.connect(path)
            link.send(_said({"hello": 1}))
        except OSError:
            link.close()
            self._listen()
            return
        self._link = link
        threading.Thread(target=self._hear_predecessor, args=(link,), name="predecessor", daemon=True).start()

    def wait_for_state(self, timeout: timedelta) -> None:
        """Returns when the predecessor has told what it knows, or there is none."""
        if self.has_predecessor:
            self._recalled.wait(timeout.total_seconds())

    def hand_over_all(self) -> None:
        """All that stands halts, and goes to the successor; what comes up from now on too."""
        with self._lock:
            link = self._successor
        if link is not None:
            self._tell_learned(link)  # what was sent to cold hosts since it was told first
        self.pause_signal.set()

    def hand_over(self, standing: ProxiedConnection, request: api.Request) -> bool:
        """The successor's word on a frozen connection. Where it has ended, nobody else carries it; where it lives and
        says nothing, it may."""
        with self._lock:
            link = self._successor if self._ready.is_set() else None
            if link is None or standing.id in self._waits:
                return False
            word = self._waits[standing.id] = SimpleQueue()
        try:
            raw = _said(encode_connection(standing, request))
            if len(raw) > MAX_MESSAGE_BYTES or not isinstance(standing.upstream, socket.socket):
                return False
            socket.send_fds(link, [raw], [standing.downstream.fileno(), standing.upstream.fileno()])
            return word.get(timeout=ADOPTION_TIMEOUT.total_seconds())
        except OSError:
            return False  # not sent: it has ended
        except Empty:
            self._counters.add("handed_on_unsaid")
            return True
        finally:
            with self._lock:
                self._waits.pop(standing.id, None)

    def _tell_learned(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError):
            for part in self.export_state():
                link.send(_said({"learned": part}))
            link.send(_said({"learned": None}))

    def announce_ready(self) -> None:
        """This process takes clients from now on; the predecessor may leave."""
        link = self._link
        if link is not None:
            with contextlib.suppress(OSError):
                link.send(_said({"ready": True}))

    def _hear_predecessor(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                raw, descriptors, _, _ = socket.recv_fds(link, MAX_MESSAGE_BYTES, 2)
                if not raw:
                    break
                self._hear(link, raw, descriptors)
        link.close()
        self._link = None
        self._recalled.set()
        self._log.info("succession", text="the predecessor has ended")
        self._listen()

    def _hear(self, link: socket.socket, raw: bytes, descriptors: list[int]) -> None:
        """One message of the predecessor's: what it has learned, or a connection to go on with."""
        sides = [socket.socket(fileno=fd) for fd in descriptors]
        name, taken = "", False
        try:
            message = json.loads(raw)
            if "learned" in message:
                if message["learned"] is None:
                    self._recalled.set()
                else:
                    self.import_state(message["learned"])
                return
            name = str(message["stand"])
            if len(sides) == 2:  # else there were no descriptors to be had here
                taken = self.adopt(message, *sides)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self._log.warning("succession", text=f"not understood: {error!r}")
        finally:
            if not taken:
                for side in sides:
                    side.close()
        link.send(_said({"taken": name} if taken else {"refused": name}))

    def _listen(self) -> None:
        """The name is the predecessor's no more; what it may have left there is removed."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with _short(self._folder) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                sock.bind(path)
            sock.listen(BACKLOG)
        except OSError as error:
            sock.close()
            self._log.warning("succession", text=f"no successor will be heard: {error!r}")
            return
        threading.Thread(target=self._accept, args=(sock,), name="successors", daemon=True).start()

    def _accept(self, sock: socket.socket) -> None:
        while True:
            try:
                came = sock.accept()[0]
            except OSError:
                return
            with self._lock:
                old, self._successor = self._successor, came
                self._ready.clear()
            if old is not None:
                old.close()  # of two the later one is meant
            threading.Thread(target=self._hear_successor, args=(came,), name="successor", daemon=True).start()

    def _hear_successor(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError, AttributeError):
            while said := link.recv(MAX_MESSAGE_BYTES):
                message = json.loads(said)
                if "hello" in message:
                    self._tell_learned(link)
                elif message.get("ready"):
                    with self._lock:
                        if self._successor is link:
                            self._ready.set()
                    self._log.info("succession", text="a successor is ready")
                else:
                    taken = "taken" in message
                    with self._lock:
                        word = self._waits.get(str(message.get("taken" if taken else "refused")))
                    if word is not None:
                        word.put(taken)
        with self._lock:
            if self._successor is link:  # it has ended: we are not to leave for it
                self._successor = None
                self._ready.clear()
                for word in self._waits.values():
                    word.put(False)
        link.close()


def _said(message: dict[str, Any]) -> bytes:
    return json.dumps(message).encode()
