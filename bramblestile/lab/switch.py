"""The links of datagrams: each process is known to the others by an address of the switch, which passes on to its own.

So every datagram from A to B arrives at the switch's socket for B from A's own address, and leaves by the switch's
socket for A: the processes need not know that there is a switch. One thread carries all of them.
"""

from __future__ import annotations

import heapq
import os
import select
import socket
import threading
import time

from bramblestile.lab.faults import Links
from bramblestile.sockets import Address

LARGEST = 2048
AT_ONCE = 64  # of one socket, before the others have their turn


class Switch:
    def __init__(self, links: Links) -> None:
        self.links = links
        self.passed = self.lost = self.bytes = 0
        self._names: dict[Address, str] = {}
        self._own: dict[str, Address] = {}
        self._socks: dict[int, tuple[str, socket.socket]] = {}
        self._by_name: dict[str, socket.socket] = {}
        self._held: list[tuple[float, int, str, str, bytes]] = []
        self._count = 0
        self._poll = select.epoll()
        self._wake = os.pipe()
        self._poll.register(self._wake[0], select.EPOLLIN)
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="switch", daemon=True)
        self._thread.start()

    def plug(self, name: str, own: Address, shown: Address) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.bind(shown)
        sock.setblocking(False)
        self._names[own], self._own[name], self._by_name[name] = name, own, sock
        self._socks[sock.fileno()] = name, sock
        self._poll.register(sock, select.EPOLLIN)

    def stop(self) -> None:
        self._stopped = True
        os.write(self._wake[1], b"x")
        self._thread.join(2)
        for _, sock in self._socks.values():
            sock.close()
        self._poll.close()
        for end in self._wake:
            os.close(end)

    def _run(self) -> None:
        while not self._stopped:
            wait = max(0.0, self._held[0][0] - time.monotonic()) if self._held else 0.2
            for fd, _ in self._poll.poll(wait):
                if fd in self._socks:
                    self._take(*self._socks[fd])
            while self._held and self._held[0][0] <= time.monotonic():
                _, _, source, target, datagram = heapq.heappop(self._held)
                self._pass(source, target, datagram)

    def _take(self, target: str, sock: socket.socket) -> None:
        for _ in range(AT_ONCE):
            try:
                datagram, address = sock.recvfrom(LARGEST)
            except OSError:
                return
            source = self._names.get(address, "?")
            copies = self.links.copies(source, target)
            self.lost += not copies
            for after in copies:
                if not after:
                    self._pass(source, target, datagram)
                    continue
                self._count += 1
                heapq.heappush(
                    self._held, (time.monotonic() + after.total_seconds(), self._count, source, target, datagram)
                )

    def _pass(self, source: str, target: str, datagram: bytes) -> None:
        sock = self._by_name.get(source) or self._by_name[target]
        try:
            sock.sendto(datagram, self._own[target])
            self.passed += 1
            self.bytes += len(datagram)
        except OSError:
            self.lost += 1  # its buffer is full, or nobody is there
