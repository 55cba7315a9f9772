"""The protocol of the store's peers among themselves and with operators: one line of JSON for each message."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Mapping
from datetime import timedelta
from queue import Empty, Full, Queue
from typing import Any

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.memory.counters import Counters
from bramblestile.sockets import Address, LineReader
from bramblestile.store.replica import Message
from bramblestile.store.service import Store, StoreFullError

MAX_LINE_BYTES = 1 << 18  # a message full of entries of the maximum size fits
DIAL_TIMEOUT = timedelta(milliseconds=200)
MAX_QUEUED_MESSAGES = 64  # for a peer that cannot be reached; older messages would be of no use to it
COMMAND_TIMEOUT = timedelta(seconds=3)


def encode_line(value: Mapping[str, Any]) -> bytes:
    """Return a message as a line of JSON."""
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


class PeerSender:
    """Sends messages to the other peers, with one thread for each. Messages to an unreachable peer are dropped."""

    def __init__(self, peers: Mapping[str, Address], name: str, counters: Counters) -> None:
        self._addresses = peers
        self._counters = counters
        self._stopped = threading.Event()
        self._queues: dict[str, Queue[Message]] = {n: Queue(MAX_QUEUED_MESSAGES) for n in peers if n != name}

    def start(self) -> None:
        """Start a thread for each other peer."""
        for name in self._queues:
            threading.Thread(target=self._run, args=(name,), name="peer " + name, daemon=True).start()

    def stop(self) -> None:
        """Let the threads end."""
        self._stopped.set()

    def send(self, to: str, message: Message) -> None:
        """Queue a message for a peer; it is dropped if the queue is full."""
        try:
            self._queues[to].put_nowait(message)
        except Full:
            self._counters.add("store_messages_dropped")

    def _run(self, name: str) -> None:
        """Send the messages queued for one peer over one connection, which is opened again after a failure."""
        sock: socket.socket | None = None
        while not self._stopped.is_set():
            try:
                message = self._queues[name].get(timeout=0.5)
            except Empty:
                continue
            try:
                if sock is not None and sockets.has_disconnected(sock):
                    sock.close()
                    sock = None
                sock = sock or sockets.dial(self._addresses[name], DIAL_TIMEOUT)
                sockets.write(sock, [encode_line(message.to_json())])
            except OSError:
                self._counters.add("store_messages_dropped")
                if sock is not None:
                    sock.close()
                sock = None
        if sock is not None:
            sock.close()


def serve(sock: socket.socket, store: Store, peers: Mapping[str, Address], counters: Counters) -> None:
    """Serve a connection from a peer or an operator. A malformed line is answered and ends the connection."""
    reader = LineReader(sock, MAX_LINE_BYTES)
    while (line := reader.line()) is not None and not store.is_stopped():
        try:
            request = json.loads(bytes(line))
            if "do" not in request:
                store.receive(Message.from_json(request))
                continue
            answer = run_command(store, peers, request)
        except (ValueError, TypeError, KeyError) as error:
            counters.add("store_bad_lines")
            sockets.write(sock, [encode_line({"ok": False, "why": str(error)})])
            return
        sockets.write(sock, [encode_line(answer)])


def run_command(store: Store, peers: Mapping[str, Address], request: Mapping[str, Any]) -> dict[str, Any]:
    """Run an operator's command and return the answer.

    ``get`` returns this peer's value. ``set`` goes to the leader, forwarded by this peer if it is not the leader.
    """
    if request["do"] == "get":
        return {"ok": True, "value": store.get(str(request["key"])), "leader": store.leader()}
    if request["do"] != "set":
        raise ValueError(f"{request['do']!r}: set or get")
    if not isinstance(request["key"], str) or not isinstance(request["value"], str):
        raise ValueError("key and value are text")
    leader = store.leader()
    if leader == store.replica.name:
        try:
            return {"ok": store.set(request["key"], request["value"], COMMAND_TIMEOUT), "leader": leader}
        except StoreFullError as error:
            return {"ok": False, "why": str(error), "leader": leader}
    if not leader or request.get("passed_on"):
        return {"ok": False, "why": "no leader", "leader": leader}
    try:
        return send_command(peers[leader], {**request, "passed_on": True}, COMMAND_TIMEOUT + DIAL_TIMEOUT)
    except OSError:
        return {"ok": False, "why": "the leader is out of reach", "leader": leader}


def send_command(to: Address, request: Mapping[str, Any], timeout: timedelta) -> dict[str, Any]:
    """Send one command over a new connection and return the answer. Raises OSError when none comes in time."""
    until = now() + timeout
    with sockets.dial(to, DIAL_TIMEOUT) as sock:
        sockets.write(sock, [encode_line(request)])
        line = LineReader(sock, MAX_LINE_BYTES).line(max(until - now(), ZERO_DURATION))
        if line is None:
            raise ConnectionResetError("ended without an answer")
        answer = json.loads(bytes(line))
        if not isinstance(answer, dict):
            raise ConnectionError(f"not an answer: {answer!r}")
        return answer
