"""What the balancers live among, on one event loop in a thread: image servers, the list of them, and clients.

Stand-ins by the platform's published protocol. A server has room for so many connections, less while it is cold; it
says BUSY when it is full, answers later the fuller it is, and falls over when it is asked too much for too long. The
list serves a call at a time at a stated pace and answers 503 beyond. Clients stay; sent away or cut they come again
after a pause of their own.
"""

from __future__ import annotations

import asyncio
import json
import threading
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from bramblestile.lab.faults import Between, Links
from bramblestile.lab.record import Record
from bramblestile.lab.streams import FaultyStream
from bramblestile.sockets import Address

LONGEST_WAIT = 0.5  # seconds in the list's queue, then 503
SAYS_EVERY = 2.0  # a client's line
PAUSES = 0.06, 1.5  # seconds until a client that was sent away or cut comes again
GIVES_UP = 1.8
LIST, CLIENTS = "list", "clients"  # as faults on links name them
DOOR_PORT = 10_000
Reader = asyncio.StreamReader | FaultyStream
Writer = asyncio.StreamWriter | FaultyStream
LOOKS_EVERY = 0.1
ASKS_EVERY = 0.1  # the front's PING, as the platform's page has it


@dataclass(eq=False)
class Host:
    """``slots``: connections that fill it when warm. ``cold_from``: the part of them that it bears at its start."""

    name: str
    address: Address
    hall: str
    slots: int = 12
    cold_from: float = 0.2
    cold_s: float = 10.0
    fall_multiple: float = 4.0
    fall_s: float = 3.0
    service_s: float = 0.005
    born: float = 0.0  # seconds since the epoch; 0: long ago
    up: bool = False
    fallen: bool = False
    health: str = "in_service"
    taken: int = 0
    turned_away: int = 0
    open: set[Writer] = field(default_factory=set)
    server: asyncio.Server | None = None
    doors: list[asyncio.Server] = field(default_factory=list)  # one for each balancer, where streams have faults
    over_since: float | None = None
    first_lines: list[float] = field(default_factory=list)  # when each OPEN came

    def room(self) -> float:
        part = (
            1.0
            if not self.born
            else min(1.0, self.cold_from + (1 - self.cold_from) * (time.time() - self.born) / self.cold_s)
        )
        return self.slots * part

    def load(self) -> float:
        return len(self.open) / self.room()


@dataclass(eq=False)
class Client:
    number: int
    hall: str
    moves: int = 0
    refused: int = 0
    failed: int = 0
    cuts: int = 0
    down: float = 0.0  # seconds without a connection, since the first one
    paused: float = 0.0  # of them: its own pauses after a move or a cut
    since: float | None = None  # without one since then
    up: bool = False
    host: str = ""


class Town:
    """``fronts``: the balancers that a front would send to now, by address. ``doors``: for each balancer an address of
    its own at which it finds the list and all servers, so that the links between them can have faults of ``links``."""

    def __init__(
        self,
        record: Record,
        hosts: list[Host],
        listed: Address | None = None,
        seed: int = 1,
        pace: float = 0.002,
        links: Links | None = None,
        doors: dict[str, str] | None = None,
    ) -> None:
        self.record = record
        self.hosts = {host.name: host for host in hosts}
        self.clients: list[Client] = []
        self.fronts: Callable[[], list[Address]] = list
        self.refusing: set[Address] = set()  # balancers that said no to the front's PING when it last asked
        self.version = 1
        self.list_down = False
        self.calls = self.calls_refused = 0
        self._pace, self._listed = pace, listed
        self._links, self._doors = links or Links(Random(0)), doors or {}
        self._streams: set[FaultyStream] = set()
        self.names: dict[Address, str] = {}  # of the balancers, by where clients find them
        self.waits: list[float] = []  # seconds from a client's first line to its UP
        self.gaps: list[float] = []  # seconds without a connection, after a move or a cut
        self._random = Random(f"town {seed}")
        self._loop = asyncio.new_event_loop()
        self._news = asyncio.Event()
        self._waiting = 0
        self._list_server: asyncio.Server | None = None
        self._list_doors: list[asyncio.Server] = []
        self._serving = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread = threading.Thread(target=self._loop.run_forever, name="town", daemon=True)
        self._thread.start()
        self.do(self._open())

    def do(self, made: Coroutine[Any, Any, Any], within: float = 20) -> Any:
        """Carries out, in the town's own thread."""
        return asyncio.run_coroutine_threadsafe(made, self._loop).result(within)

    def stop(self) -> None:
        async def end() -> None:
            for server in (self._list_server, *self._list_doors):
                if server is not None:
                    server.close()
            for host in self.hosts.values():
                await self._down(host)
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=2)

        self._loop.set_exception_handler(lambda *_: None)  # what is ended here ends as it likes
        with suppress(Exception):
            self.do(end(), 5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        if not self._thread.is_alive():
            self._loop.close()

    def _task(self, made: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(made)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        for host in self.hosts.values():
            await self._up(host)
        if self._listed is not None:
            self._list_server = await asyncio.start_server(self._list, *self._listed, backlog=1024)
        for name, address in self._doors.items():
            self._list_doors.append(
                await asyncio.start_server(
                    self._door(name, LIST, self._list), address, self._listed[1] if self._listed else 0, backlog=64
                )
            )
        self._task(self._look())

    def ask_fronts(self) -> None:
        """From now on clients come only to balancers that answer the front's PING."""

        async def begin() -> None:
            self._task(self._ask_fronts())

        self.do(begin())

    async def _ask_fronts(self) -> None:
        async def ask(front: Address) -> None:
            said = b""
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*front), ASKS_EVERY * 2)
                writer.write(b"PING\r\n")
                said = await asyncio.wait_for(reader.readline(), ASKS_EVERY * 2)
                writer.close()
            (self.refusing.discard if said.startswith(b"PONG") else self.refusing.add)(front)

        while True:
            await asyncio.gather(*map(ask, self.fronts()), asyncio.sleep(ASKS_EVERY))

    # Image servers.

    async def _up(self, host: Host) -> None:
        def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
            return self._serve(host, reader, writer)

        def serve_from(name: str) -> Any:
            async def serve(reader: Reader, writer: Writer, _: str) -> None:
                await self._serve(host, reader, writer)

            return self._door(name, host.name, serve)

        host.server = await asyncio.start_server(serve, *host.address, backlog=512)
        host.doors = [
            await asyncio.start_server(serve_from(name), address, self._door_port(host), backlog=64)
            for name, address in self._doors.items()
        ]
        host.up, host.fallen, host.over_since = True, False, None

    async def _down(self, host: Host) -> None:
        host.up = False
        for server in (host.server, *host.doors):
            if server is not None:
                server.close()
        for writer in list(host.open):
            writer.transport.abort()
        host.open.clear()

    async def restart(self, name: str, away: float = 0.0) -> None:
        """All that stands there is cut; after ``away`` it is back, cold, and the list tells so."""
        host = self.hosts[name]
        self.record.add("host down", who=name, held=len(host.open))
        await self._down(host)
        await asyncio.sleep(away)
        host.born = time.time()
        await self._up(host)
        self.tell()
        self.record.add("host up", who=name)

    async def kill(self, name: str) -> None:
        host = self.hosts[name]
        self.record.add("host died", who=name, held=len(host.open))
        await self._down(host)

    def tell(self) -> None:
        """The list has news."""
        self.version += 1
        self._news.set()
        self._news = asyncio.Event()

    def _door_port(self, host: Host) -> int:
        return DOOR_PORT + list(self.hosts).index(host.name)

    def _door(self, far: str, near: str, serve: Callable[[Reader, Writer, str], Coroutine[Any, Any, None]]) -> Any:
        """What serves a connection of one balancer over a link that may have faults."""

        async def opened(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            stream = FaultyStream(self._links, near, far, reader, writer)
            self._streams.add(stream)
            try:
                await serve(stream, stream, far)
            finally:
                self._streams.discard(stream)

        return opened

    async def reset(self, between: Between) -> int:
        """Ends all connections over these links with a reset; how many."""
        ended = [s for s in self._streams if between(s.stand_in, s.process) or between(s.process, s.stand_in)]
        for stream in ended:
            stream.reset()
        return len(ended)

    async def _serve(self, host: Host, reader: Reader, writer: Writer) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while line := await reader.readline():
                word = line.split(b" ", 1)[0].strip()
                if word == b"PING":
                    writer.write(b"PONG\r\n")
                elif word == b"STATS":
                    load = host.load()
                    writer.write(f"PONG x0={load:.3f},latency_ms={2 + 30 * load**4:.1f},queue=0\r\n".encode())
                elif word == b"OPEN" and writer not in host.open:
                    host.first_lines.append(time.time())
                    if host.load() >= 1.2:
                        host.turned_away += 1
                        writer.write(b"BUSY\r\n")
                        break
                    host.open.add(writer)
                    host.taken += 1
                    await asyncio.sleep(host.service_s * (1 + host.load() ** 2))
                    writer.write(b"UP %s-%d\r\n" % (host.name.encode(), host.taken))
                else:
                    writer.write(line)
                await writer.drain()
        host.open.discard(writer)
        with suppress(Exception):
            writer.close()

    async def _look(self) -> None:
        """Who is asked too much for too long falls over, and stays down."""
        while True:
            await asyncio.sleep(LOOKS_EVERY)
            for host in self.hosts.values():
                if not host.up or host.load() <= host.fall_multiple:
                    host.over_since = None
                    continue
                host.over_since = host.over_since or time.time()
                if time.time() - host.over_since >= host.fall_s:
                    host.fallen = True
                    self.record.add("host fell over", who=host.name, load=round(host.load(), 2))
                    await self._down(host)

    # The list.

    def rows(self, asker: str = "") -> list[dict[str, Any]]:
        """As this balancer is told them."""
        door = self._doors.get(asker)
        return [
            {
                "host": h.name,
                "dial": "{}:{}".format(*(h.address if door is None else (door, self._door_port(h)))),
                "site": h.hall,
                "class": "m",
                "block": 1,
                "health": h.health,
                "share": 1.0,
                "born_ms": int(h.born * 1000),
            }
            for h in self.hosts.values()
        ]

    async def _list(self, reader: Reader, writer: Writer, asker: str = "") -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
            call = await reader.readuntil(b"\r\n\r\n")
            asked = parse_qs(urlsplit(call.split(b" ")[1].decode()).query)
            until = time.time() + int(asked.get("timeout_ms", ["0"])[0]) / 1000
            while "since" in asked and self.version <= int(asked["since"][0]) and not self.list_down:
                try:
                    await asyncio.wait_for(self._news.wait(), max(0.0, min(0.2, until - time.time())))
                except TimeoutError:
                    if time.time() >= until:
                        break
            served = await self._served()
            told = {"seq": self.version, "whole": True, "hosts": self.rows(asker)}
            body = json.dumps(told).encode() if served else b""
            status = "200 OK" if served else "503 Service Unavailable"
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
        with suppress(Exception):
            writer.close()

    async def _served(self) -> bool:
        """In turn, a call at a time."""
        self.calls += 1
        if self.list_down or self._waiting * self._pace > LONGEST_WAIT:
            self.calls_refused += 1
            return False
        self._waiting += 1
        async with self._serving:
            await asyncio.sleep(self._pace)
        self._waiting -= 1
        return True

    # Clients.

    def come(self, count: int, over: float) -> None:
        """So many more, spread over so many seconds; they stay until the town ends."""
        first = len(self.clients)
        self.clients += [Client(first + n, f"hall-{n % 2}") for n in range(count)]

        async def begin() -> None:
            for n, client in enumerate(self.clients[first:]):
                self._task(self._live(client, over * n / count))

        self.do(begin())

    async def _live(self, client: Client, after: float) -> None:
        await asyncio.sleep(after)
        again = False
        while True:
            fronts = [front for front in self.fronts() if front not in self.refusing]
            wait = self._random.uniform(*PAUSES)
            if fronts:
                ended, hint = await self._visit(client, self._random.choice(fronts), again)
                if ended in ("moved", "cut"):
                    again = True
                    client.paused += wait
                elif hint is not None:
                    wait = hint
            await asyncio.sleep(wait)

    async def _visit(self, client: Client, front: Address, again: bool) -> tuple[str, float | None]:
        """One connection from its first line to its end: how it ended, and after how long the balancer asks it back."""
        writer = None
        try:
            began = time.time()
            while self._links.silent(CLIENTS, self.names.get(front, "")):
                if time.time() - began >= GIVES_UP:
                    raise TimeoutError
                await asyncio.sleep(LOOKS_EVERY)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*front), GIVES_UP)
            name = f"{self._random.getrandbits(64):016x}"
            writer.write(
                f"OPEN {name} {client.number:x} c=preview,t=vestland,d={GIVES_UP * 1000:.0f},"
                f"g={client.number % 40:x}{',again=1' if again else ''}\r\n".encode()
            )
            line = (await asyncio.wait_for(reader.readline(), GIVES_UP + 0.5)).split()
            if line[:1] != [b"UP"]:
                return self._not_up(client, line)
            self.waits.append(time.time() - began)
            self._is_up(client, line[1].decode().rpartition("-")[0])
            return await self._stay(client, reader, writer), None
        except (OSError, TimeoutError):
            if client.up:
                return self._ended(client, "cut"), None
            client.failed += 1
            return "failed", None
        finally:
            if writer is not None:
                writer.close()

    def _not_up(self, client: Client, line: list[bytes]) -> tuple[str, float | None]:
        if line[:1] == [b"BUSY"]:
            client.refused += 1
            self.record.add("refused", client=client.number, hint=line[1].decode() if len(line) > 1 else "")
            return "refused", int(line[1]) / 1000 if len(line) > 1 else None
        client.failed += 1
        self.record.add("not served", client=client.number, line=b" ".join(line).decode("utf-8", "replace"))
        return "failed", None

    def _is_up(self, client: Client, host: str) -> None:
        client.up, client.host = True, host
        if client.since is not None:
            client.down += time.time() - client.since
            self.gaps.append(time.time() - client.since)
            client.since = None

    async def _stay(self, client: Client, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        while True:
            try:
                line = await asyncio.wait_for(reader.readline(), SAYS_EVERY)
            except TimeoutError:
                writer.write(b"hello %d\r\n" % client.number)
                continue
            if not line or line.startswith(b"MOVE"):
                return self._ended(client, "moved" if line else "cut")

    def _ended(self, client: Client, how: str) -> str:
        client.up, client.since = False, time.time()
        client.moves += how == "moved"
        client.cuts += how == "cut"
        self.record.add(how, client=client.number, host=client.host)
        return how

    def figures(self) -> dict[str, float]:
        """Sums over all clients so far."""
        at = time.time()
        down = sum(c.down + (at - c.since if c.since is not None else 0.0) for c in self.clients)
        return {
            "clients": len(self.clients),
            "up": sum(c.up for c in self.clients),
            "moves": sum(c.moves for c in self.clients),
            "refused": sum(c.refused for c in self.clients),
            "failed": sum(c.failed for c in self.clients),
            "cuts": sum(c.cuts for c in self.clients),
            "down_s": down,
            "paused_s": sum(c.paused for c in self.clients),
        }
