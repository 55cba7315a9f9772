"""Hot upgrade: hands the state and the connections of a running process over to the process that replaces it.

The running process listens on a Unix socket in a folder that both processes share, and the new one connects to it. A
file would outlast a process that was killed; a connection ends with its process. Once the running process has ended,
the new one listens on the socket.

Messages are JSON objects. The successor sends ``hello``, then ``ready`` when it accepts clients, and ``taken`` or
``refused`` with the id of each connection it was sent. The predecessor sends its state as ``learned`` messages, the
last of which is null, and each connection as a ``stand`` message with two file descriptors.
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
MAX_MESSAGE_BYTES = 131072  # a connection holds at most 16 KiB of data, which takes twice as many characters in hex
BACKLOG = 4
AdoptConnection = Callable[[dict[str, Any], socket.socket, socket.socket], bool]  # returns whether it was adopted
ADOPTION_TIMEOUT = timedelta(milliseconds=2500)  # for the successor's reply to a connection it was sent


@contextlib.contextmanager
def _socket_path(folder: Path) -> Any:
    """Yield a path of the socket that fits into a Unix socket address, which has 108 bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
    finally:
        os.close(descriptor)


class ProcessHandoff:
    """One process's side of a hot upgrade, as the successor first and as the predecessor later.

    ``pause_signal`` pauses the connections that are to be handed over. ``adopt`` is called with each connection that
    the predecessor hands over, ``export_state`` returns the state for a successor, and ``import_state`` is called with
    each part of the predecessor's state. Failures are logged, and the process serves as if it were alone.
    """

    def __init__(self, folder: Path, counters: Counters) -> None:
        self._folder = folder
        self._counters = counters
        self._log = Log(part="succession")
        self.pause_signal = PauseSignal()
        self.adopt: AdoptConnection = lambda message, downstream, upstream: False
        self.export_state: Callable[[], list[dict[str, Any]]] = list
        self.import_state: Callable[[dict[str, Any]], None] = lambda message: None
        self._state_received = threading.Event()  # or the predecessor has ended
        self._replies: dict[str, SimpleQueue[bool]] = {}  # by id of the connection: whether the successor took it
        self._predecessor: socket.socket | None = None
        self._lock = threading.Lock()
        self._successor: socket.socket | None = None
        self._successor_ready = threading.Event()

    @property
    def has_predecessor(self) -> bool:
        """Whether a predecessor is connected: from ``start`` on until it has ended."""
        return self._predecessor is not None

    def wait_for_ready(self, timeout: timedelta) -> bool:
        """Return whether the successor accepts clients; without a successor return False at once.

        The successor announces this here before it shows it anywhere else, but the message may not have been read yet
        when the signal to stop arrives. That is why it is waited for.
        """
        with self._lock:
            if self._successor is None:
                return False
        return self._successor_ready.wait(timeout.total_seconds())

    def start(self) -> None:
        """Connect to the predecessor; without one, listen for a successor."""
        link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with _socket_path(self._folder) as path:
                link.connect(path)
            link.send(_encode({"hello": 1}))
        except OSError:
            link.close()
            self._listen()
            return
        self._predecessor = link
        threading.Thread(target=self._serve_predecessor, args=(link,), name="predecessor", daemon=True).start()

    def wait_for_state(self, timeout: timedelta) -> None:
        """Wait until the predecessor has sent its state; return at once if there is none."""
        if self.has_predecessor:
            self._state_received.wait(timeout.total_seconds())

    def hand_over_all(self) -> None:
        """Pause all connections, and those that are established later, and hand them over to the successor."""
        with self._lock:
            link = self._successor
        if link is not None:
            self._send_state(link)  # again, for what was sent to cold hosts in the meantime
        self.pause_signal.set()

    def hand_over(self, connection: ProxiedConnection, request: api.Request) -> bool:
        """Send a paused connection to the successor and return whether the successor took it.

        If it refused the connection or has ended, this process goes on with it. A successor that is alive but does not
        reply in time may have adopted the connection, so this counts as taken.
        """
        with self._lock:
            link = self._successor if self._successor_ready.is_set() else None
            if link is None or connection.id in self._replies:
                return False
            reply = self._replies[connection.id] = SimpleQueue()
        try:
            raw = _encode(encode_connection(connection, request))
            if len(raw) > MAX_MESSAGE_BYTES or not isinstance(connection.upstream, socket.socket):
                return False
            socket.send_fds(link, [raw], [connection.downstream.fileno(), connection.upstream.fileno()])
            return reply.get(timeout=ADOPTION_TIMEOUT.total_seconds())
        except OSError:
            return False  # the message was not sent: the successor has ended
        except Empty:
            self._counters.add("handed_on_unsaid")
            return True
        finally:
            with self._lock:
                self._replies.pop(connection.id, None)

    def _send_state(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError):
            for part in self.export_state():
                link.send(_encode({"learned": part}))
            link.send(_encode({"learned": None}))

    def announce_ready(self) -> None:
        """Tell the predecessor that this process accepts clients, so that it may stop."""
        link = self._predecessor
        if link is not None:
            with contextlib.suppress(OSError):
                link.send(_encode({"ready": True}))

    def _serve_predecessor(self, link: socket.socket) -> None:
        """Handle the predecessor's messages until it closes the link, then listen for a successor."""
        with contextlib.suppress(OSError):
            while True:
                raw, descriptors, _, _ = socket.recv_fds(link, MAX_MESSAGE_BYTES, 2)
                if not raw:
                    break
                self._handle_message(link, raw, descriptors)
        link.close()
        self._predecessor = None
        self._state_received.set()
        self._log.info("succession", text="the predecessor has ended")
        self._listen()

    def _handle_message(self, link: socket.socket, raw: bytes, descriptors: list[int]) -> None:
        """Handle a message from the predecessor: a part of its state, or a connection to adopt.

        The key ``learned`` holds the part of the state, and ``stand`` the connection's id.
        """
        transports = [socket.socket(fileno=fd) for fd in descriptors]
        connection_id, adopted = "", False
        try:
            message = json.loads(raw)
            if "learned" in message:
                if message["learned"] is None:
                    self._state_received.set()
                else:
                    self.import_state(message["learned"])
                return
            connection_id = str(message["stand"])
            if len(transports) == 2:  # fewer if this process is out of descriptors
                adopted = self.adopt(message, *transports)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self._log.warning("succession", text=f"malformed message: {error!r}")
        finally:
            if not adopted:
                for transport in transports:
                    transport.close()
        link.send(_encode({"taken": connection_id} if adopted else {"refused": connection_id}))

    def _listen(self) -> None:
        """Listen for a successor. The predecessor has ended; a socket file that it left behind is removed."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with _socket_path(self._folder) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                sock.bind(path)
            sock.listen(BACKLOG)
        except OSError as error:
            sock.close()
            self._log.warning("succession", text=f"cannot listen for a successor: {error!r}")
            return
        threading.Thread(target=self._accept, args=(sock,), name="successors", daemon=True).start()

    def _accept(self, sock: socket.socket) -> None:
        while True:
            try:
                link = sock.accept()[0]
            except OSError:
                return
            with self._lock:
                previous, self._successor = self._successor, link
                self._successor_ready.clear()
            if previous is not None:
                previous.close()  # the later of two successors counts
            threading.Thread(target=self._serve_successor, args=(link,), name="successor", daemon=True).start()

    def _serve_successor(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError, AttributeError):
            while raw := link.recv(MAX_MESSAGE_BYTES):
                message = json.loads(raw)
                if "hello" in message:
                    self._send_state(link)
                elif message.get("ready"):
                    with self._lock:
                        if self._successor is link:
                            self._successor_ready.set()
                    self._log.info("succession", text="a successor is ready")
                else:
                    adopted = "taken" in message
                    with self._lock:
                        reply = self._replies.get(str(message.get("taken" if adopted else "refused")))
                    if reply is not None:
                        reply.put(adopted)
        with self._lock:
            if self._successor is link:  # it has ended, so this process must not stop in favour of it
                self._successor = None
                self._successor_ready.clear()
                for reply in self._replies.values():
                    reply.put(False)
        link.close()


def _encode(message: dict[str, Any]) -> bytes:
    return json.dumps(message).encode()
