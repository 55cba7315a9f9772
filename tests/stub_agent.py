"""A stand-in for what answers the checks of one upstream host: its agent, or its health path over HTTP."""

from __future__ import annotations

import contextlib
import socket
import threading

POLL_INTERVAL_S = 0.05  # between two looks whether the stand-in was stopped
REQUEST_TIMEOUT_S = 5.0


class StubAgent:
    """Answers every check with the line that was set last, at once and in a thread of its own.

    A single answer would not do: the check that it reaches may have been given up while the test was held up.
    ``request_line`` is what a check has to begin with, if anything; other checks get no answer.
    """

    def __init__(self, listening: socket.socket, request_line: bytes, answer: str) -> None:
        self.answer = answer
        self._listening = listening
        self._request_line = request_line
        self._stopped = threading.Event()
        listening.settimeout(POLL_INTERVAL_S)
        self._thread = threading.Thread(target=self._run, name="stub agent", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopped.is_set():
            with contextlib.suppress(OSError):
                sock = self._listening.accept()[0]
                with sock:
                    self._answer(sock)

    def _answer(self, sock: socket.socket) -> None:
        sock.settimeout(REQUEST_TIMEOUT_S)
        if self._request_line:
            with sock.makefile("rb") as request:
                if request.readline() != self._request_line:
                    return
                while request.readline().strip():
                    pass
        sock.sendall(self.answer.encode() + b"\r\n")

    def stop(self) -> None:
        """Answer no further check."""
        self._stopped.set()
        self._thread.join()
