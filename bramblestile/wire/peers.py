"""What the store's peers say to each other, and an operator to them: a line of JSON for each message."""

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
from bramblestile.store.service import Store

MAX_LINE_BYTES = 1 << 18  # bytes of one line: a full message of the longest entries fits
DIAL = timedelta(milliseconds=200)
WAITING = 64  # messages to a peer that cannot be reached; older ones are of no use to it
COMMAND = timedelta(seconds=3)


def encode_line(value: Mapping[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


class PeerSender:
    """One thread for each other peer sends to it; messages to one that is out of reach are dropped."""

    def __init__(self, peers: Mapping[str, Address], name: str, counters: Counters) -> None:
        self._addresses = peers
        self._counters = counters
        self._stopped = threading.Event()
        self._queues: dict[str, Queue[Message]] = {n: Queue(WAITING) for n in peers if n != name}

    def start(self) -> None:
        for name in self._queues:
            threading.Thread(target=self._run, args=(name,), name="peer " + name, daemon=True).start()

    def stop(self) -> None:
        self._stopped.set()

    def send(self, to: str, message: Message) -> None:
        try:
            self._queues[to].put_nowait(message)
        except Full:
            self._counters.add("store_messages_dropped")

    def _run(self, name: str) -> None:
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
                sock = sock or sockets.dial(self._addresses[name], DIAL)
                sockets.write(sock, [encode_line(message.to_json())])
            except OSError:
                self._counters.add("store_messages_dropped")
                if sock is not None:
                    sock.close()
                sock = None
        if sock is not None:
            sock.close()


def serve(sock: socket.socket, store: Store, peers: Mapping[str, Address], counters: Counters) -> None:
    """A connection from a peer, or from an operator. What is neither is answered and ends it."""
    reader = LineReader(sock, MAX_LINE_BYTES)
    while (got := reader.line()) is not None and not store.is_stopped():
        try:
            said = json.loads(bytes(got))
            if "do" not in said:
                store.receive(Message.from_json(said))
                continue
            answer = run_command(store, peers, said)
        except (ValueError, TypeError, KeyError) as error:
            counters.add("store_bad_lines")
            sockets.write(sock, [encode_line({"ok": False, "why": str(error)})])
            return
        sockets.write(sock, [encode_line(answer)])


def run_command(store: Store, peers: Mapping[str, Address], said: Mapping[str, Any]) -> dict[str, Any]:
    """``get`` tells what this peer has; ``set`` goes to the leader, by way of this peer if need be."""
    if said["do"] == "get":
        return {"ok": True, "value": store.get(str(said["key"])), "leader": store.leader()}
    if said["do"] != "set":
        raise ValueError(f"{said['do']!r}: set or get")
    if not isinstance(said["key"], str) or not isinstance(said["value"], str):
        raise ValueError("key and value are text")
    leader = store.leader()
    if leader == store.replica.name:
        return {"ok": store.set(said["key"], said["value"], COMMAND), "leader": leader}
    if not leader or said.get("passed_on"):
        return {"ok": False, "why": "no leader", "leader": leader}
    try:
        return send_command(peers[leader], {**said, "passed_on": True}, COMMAND + DIAL)
    except OSError:
        return {"ok": False, "why": "the leader is out of reach", "leader": leader}


def send_command(to: Address, said: Mapping[str, Any], within: timedelta) -> dict[str, Any]:
    """One command over a connection of its own. OSError when no answer comes."""
    until = now() + within
    with sockets.dial(to, DIAL) as sock:
        sockets.write(sock, [encode_line(said)])
        got = LineReader(sock, MAX_LINE_BYTES).line(max(until - now(), ZERO_DURATION))
        if got is None:
            raise ConnectionResetError("ended without an answer")
        answer = json.loads(bytes(got))
        if not isinstance(answer, dict):
            raise ConnectionError(f"not an answer: {answer!r}")
        return answer
