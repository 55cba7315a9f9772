"""A UDP proxy that applies link faults to the datagrams between processes.

Processes know each other by public addresses, which are sockets of the proxy; it forwards to the real addresses of the
processes. A datagram from A to B arrives, from A's real address, at the proxy's socket for B, and leaves by the proxy's
socket for A, so that the proxy is transparent to the processes. One thread forwards all datagrams.
"""

from __future__ import annotations

import heapq
import os
import select
import socket
import threading
import time

from bramblestile.lab.faults import LinkFaults
from bramblestile.sockets import Address

MAX_DATAGRAM_BYTES = 2048
MAX_DATAGRAMS_PER_TURN = 64  # received from one socket before the others have their turn
IDLE_POLL_TIMEOUT_S = 0.2
RECEIVE_BUFFER_BYTES = 1 << 20


class DatagramProxy:
    """Forwards datagrams between the registered endpoints, and counts what it forwarded and dropped.

    ``forwarded``, ``dropped`` and ``forwarded_bytes`` are totals since the start.
    """

    def __init__(self, links: LinkFaults) -> None:
        self.links = links
        self.forwarded = self.dropped = self.forwarded_bytes = 0
        self._names: dict[Address, str] = {}
        self._real_addresses: dict[str, Address] = {}
        self._endpoints: dict[int, tuple[str, socket.socket]] = {}  # by file descriptor
        self._sockets: dict[str, socket.socket] = {}
        self._delayed: list[tuple[float, int, str, str, bytes]] = []  # a heap, by the time of delivery
        self._delayed_count = 0  # orders datagrams of the same time
        self._poll = select.epoll()
        self._wakeup_pipe = os.pipe()
        self._poll.register(self._wakeup_pipe[0], select.EPOLLIN)
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="switch", daemon=True)
        self._thread.start()

    def add_endpoint(self, name: str, real_address: Address, public_address: Address) -> None:
        """Forward what arrives at the public address, which the proxy binds, to the process's real address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(public_address)
        sock.setblocking(False)
        self._names[real_address], self._real_addresses[name], self._sockets[name] = name, real_address, sock
        self._endpoints[sock.fileno()] = name, sock
        self._poll.register(sock, select.EPOLLIN)

    def stop(self) -> None:
        """Stop the thread and close all sockets."""
        self._stopped = True
        os.write(self._wakeup_pipe[1], b"x")
        self._thread.join(2)
        for _, sock in self._endpoints.values():
            sock.close()
        self._poll.close()
        for end in self._wakeup_pipe:
            os.close(end)

    def _run(self) -> None:
        while not self._stopped:
            timeout_s = max(0.0, self._delayed[0][0] - time.monotonic()) if self._delayed else IDLE_POLL_TIMEOUT_S
            for fd, _ in self._poll.poll(timeout_s):
                if fd in self._endpoints:
                    self._receive(*self._endpoints[fd])
            while self._delayed and self._delayed[0][0] <= time.monotonic():
                _, _, source, target, datagram = heapq.heappop(self._delayed)
                self._forward(source, target, datagram)

    def _receive(self, target: str, sock: socket.socket) -> None:
        """Receive datagrams for ``target``, and forward, delay, copy or drop each one by the faults of its link."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                datagram, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            source = self._names.get(address, "?")
            delays = self.links.delivery_delays(source, target)
            self.dropped += not delays
            for delay in delays:
                if not delay:
                    self._forward(source, target, datagram)
                    continue
                self._delayed_count += 1
                heapq.heappush(
                    self._delayed,
                    (time.monotonic() + delay.total_seconds(), self._delayed_count, source, target, datagram),
                )

    def _forward(self, source: str, target: str, datagram: bytes) -> None:
        # Sent from the source's public socket, so that the target sees the address that it knows the source by. An
        # unknown source has none; any socket of the proxy does for it, so the target's is taken.
        sock = self._sockets.get(source) or self._sockets[target]
        try:
            sock.sendto(datagram, self._real_addresses[target])
            self.forwarded += 1
            self.forwarded_bytes += len(datagram)
        except OSError:
            self.dropped += 1  # the receive buffer is full, or no process listens
