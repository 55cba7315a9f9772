"""Stand-ins for what the balancers depend on: image servers, the discovery service that lists them, and clients.

They follow the platform's published protocol, on one event loop in a thread. A server has a limited number of slots for
connections, fewer while it is cold. It answers BUSY when it is full, responds more slowly the fuller it is, and crashes
after too much overload for too long. The discovery service handles one request at a time, at a given pace, and answers
503 to what would have to wait too long. Clients stay connected; after a move or a cut they reconnect with a backoff.
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

from bramblestile.lab.event_log import EventLog
from bramblestile.lab.faults import LinkFaults, LinkPredicate
from bramblestile.lab.streams import FaultyStream
from bramblestile.sockets import Address

MAX_LIST_QUEUE_S = 0.5  # the discovery service answers 503 when a request would wait longer
CLIENT_SEND_INTERVAL_S = 2.0
BACKOFF_RANGE_S = 0.06, 1.5  # until a client that was moved or cut reconnects
CLIENT_TIMEOUT_S = 1.8
RESPONSE_GRACE_S = 0.5  # how long a client waits for the answer beyond the deadline of its request
CLIENT_GROUPS = 40
LIST, CLIENTS = "list", "clients"  # names of the discovery service and the clients in faults on links
FIRST_LINK_PORT = 10_000  # of the servers' addresses for single balancers
POLL_INTERVAL_S = 0.1
HEALTH_CHECK_INTERVAL_S = 0.1  # of the platform's front-end load balancer
REJECTION_LOAD = 1.2  # a server answers BUSY from this load on
Reader = asyncio.StreamReader | FaultyStream
Writer = asyncio.StreamWriter | FaultyStream


@dataclass(eq=False)
class ImageServer:
    """A stand-in image server.

    Attributes:
        name: Name of the server in the list.
        address: Where it listens.
        hall: Hall in which it stands.
        slots: Number of connections that fill it when it is warm.
        initial_capacity_share: Share of the slots that it has right after its start.
        cold_s: Seconds from its start until it is warm; the slots grow linearly.
        fall_multiple: Load above which it is overloaded.
        fall_s: Seconds of continuous overload after which it crashes.
        service_s: Seconds to serve a first line without load.
        started_at: Seconds since the epoch; 0: long ago, so that it is warm.
        is_up: Whether it accepts connections.
        crashed: Whether it went down because of overload.
        health: Its health in the list.
        accepted: Number of connections that it accepted.
        rejected: Number of connections that it answered with BUSY.
        connections: The open connections, by their writers.
        server: The listener at ``address``.
        link_listeners: The listeners for single balancers, where streams have faults.
        overloaded_since: Start of the present overload, in seconds since the epoch.
        request_times: Time of each first line, in seconds since the epoch.
    """

    name: str
    address: Address
    hall: str
    slots: int = 12
    initial_capacity_share: float = 0.2
    cold_s: float = 10.0
    fall_multiple: float = 4.0
    fall_s: float = 3.0
    service_s: float = 0.005
    started_at: float = 0.0
    is_up: bool = False
    crashed: bool = False
    health: str = "in_service"
    accepted: int = 0
    rejected: int = 0
    connections: set[Writer] = field(default_factory=set)
    server: asyncio.Server | None = None
    link_listeners: list[asyncio.Server] = field(default_factory=list)
    overloaded_since: float | None = None
    request_times: list[float] = field(default_factory=list)

    def capacity(self) -> float:
        """Return the number of slots that it has now: they grow linearly to ``slots`` in ``cold_s`` from its start."""
        warm_share = (
            1.0
            if not self.started_at
            else min(
                1.0,
                self.initial_capacity_share
                + (1 - self.initial_capacity_share) * (time.time() - self.started_at) / self.cold_s,
            )
        )
        return self.slots * warm_share

    def load(self) -> float:
        """Return the number of connections relative to the present capacity."""
        return len(self.connections) / self.capacity()


@dataclass(eq=False)
class Client:
    """A stand-in client and what happened to it.

    Attributes:
        index: Its index, from 0; also its key in requests.
        hall: Hall in which it is.
        moves: How often it was sent to another server.
        refused: How often a balancer answered BUSY.
        failed: How often a connection attempt failed otherwise.
        cuts: How often an established connection ended without a MOVE.
        down_s: Seconds without a connection, after the first one.
        backoff_s: Seconds of its own backoff after moves and cuts, a part of ``down_s``.
        down_since: When it lost its connection, in seconds since the epoch.
        connected: Whether it has a connection.
        host: Name of the last server to which it was connected.
    """

    index: int
    hall: str
    moves: int = 0
    refused: int = 0
    failed: int = 0
    cuts: int = 0
    down_s: float = 0.0
    backoff_s: float = 0.0
    down_since: float | None = None
    connected: bool = False
    host: str = ""


class StandIns:
    """The image servers, the discovery service and the clients of a run; started by the constructor.

    Args:
        event_log: Log of the run.
        servers: The image servers.
        list_address: Address of the discovery service; None: there is none.
        seed: Seed of the clients' choices.
        list_service_s: Seconds that the discovery service takes for a request.
        links: Faults on the links to the balancers.
        link_addresses: An address for each balancer at which it alone reaches the list and all servers, so that its
            links can have faults of their own.

    Attributes:
        servers: The image servers by name.
        clients: The clients.
        active_balancers: Returns the balancers that the platform's front-end load balancer would send to now.
        unhealthy_balancers: Those whose last health check failed.
        list_version: Version of the list of servers.
        list_down: Set to make the discovery service answer 503.
        list_requests: Number of requests to the discovery service; ``list_requests_refused``: of 503 answers.
        balancer_names: Names of the balancers by the address that the clients use.
        connect_times_s: Seconds from each client's first line to its UP.
        outage_durations_s: Seconds that clients were without a connection after each move or cut.
    """

    def __init__(
        self,
        event_log: EventLog,
        servers: list[ImageServer],
        list_address: Address | None = None,
        seed: int = 1,
        list_service_s: float = 0.002,
        links: LinkFaults | None = None,
        link_addresses: dict[str, str] | None = None,
    ) -> None:
        self.event_log = event_log
        self.servers = {server.name: server for server in servers}
        self.clients: list[Client] = []
        self.active_balancers: Callable[[], list[Address]] = list
        self.unhealthy_balancers: set[Address] = set()
        self.list_version = 1
        self.list_down = False
        self.list_requests = self.list_requests_refused = 0
        self._list_service_s, self._list_address = list_service_s, list_address
        self._links, self._link_addresses = links or LinkFaults(Random(0)), link_addresses or {}
        self._streams: set[FaultyStream] = set()
        self.balancer_names: dict[Address, str] = {}
        self.connect_times_s: list[float] = []
        self.outage_durations_s: list[float] = []
        self._random = Random(f"town {seed}")
        self._loop = asyncio.new_event_loop()
        self._list_changed = asyncio.Event()
        self._list_queue_length = 0
        self._list_listener: asyncio.Server | None = None
        self._list_link_listeners: list[asyncio.Server] = []
        self._list_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread = threading.Thread(target=self._loop.run_forever, name="town", daemon=True)
        self._thread.start()
        self.run(self._open())

    def run(self, coroutine: Coroutine[Any, Any, Any], timeout_s: float = 20) -> Any:
        """Run a coroutine on the event loop of the stand-ins, from another thread, and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout_s)

    def stop(self) -> None:
        """Close all connections and listeners, and end the event loop."""

        async def end() -> None:
            for listener in (self._list_listener, *self._list_link_listeners):
                if listener is not None:
                    listener.close()
            for server in self.servers.values():
                await self._take_down(server)
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=2)

        self._loop.set_exception_handler(lambda *_: None)  # cancelled tasks may end with any error
        with suppress(Exception):
            self.run(end(), 5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        if not self._thread.is_alive():
            self._loop.close()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        for server in self.servers.values():
            await self._bring_up(server)
        if self._list_address is not None:
            self._list_listener = await asyncio.start_server(self._serve_list, *self._list_address, backlog=1024)
        for balancer, address in self._link_addresses.items():
            self._list_link_listeners.append(
                await asyncio.start_server(
                    self._link_handler(balancer, LIST, self._serve_list),
                    address,
                    self._list_address[1] if self._list_address else 0,
                    backlog=64,
                )
            )
        self._start_task(self._crash_overloaded())

    def start_health_checks(self) -> None:
        """From now on, let clients choose only balancers that answer the PING of the front-end load balancer."""

        async def begin() -> None:
            self._start_task(self._check_balancers())

        self.run(begin())

    async def _check_balancers(self) -> None:
        async def check(balancer: Address) -> None:
            response = b""
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*balancer), HEALTH_CHECK_INTERVAL_S * 2)
                writer.write(b"PING\r\n")
                response = await asyncio.wait_for(reader.readline(), HEALTH_CHECK_INTERVAL_S * 2)
                writer.close()
            (self.unhealthy_balancers.discard if response.startswith(b"PONG") else self.unhealthy_balancers.add)(
                balancer
            )

        while True:
            await asyncio.gather(*map(check, self.active_balancers()), asyncio.sleep(HEALTH_CHECK_INTERVAL_S))

    # Image servers.

    async def _bring_up(self, server: ImageServer) -> None:
        def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
            return self._serve(server, reader, writer)

        def serve_balancer(balancer: str) -> Any:
            async def serve(reader: Reader, writer: Writer, _: str) -> None:
                await self._serve(server, reader, writer)

            return self._link_handler(balancer, server.name, serve)

        server.server = await asyncio.start_server(serve, *server.address, backlog=512)
        server.link_listeners = [
            await asyncio.start_server(serve_balancer(balancer), address, self._link_port(server), backlog=64)
            for balancer, address in self._link_addresses.items()
        ]
        server.is_up, server.crashed, server.overloaded_since = True, False, None

    async def _take_down(self, server: ImageServer) -> None:
        server.is_up = False
        for listener in (server.server, *server.link_listeners):
            if listener is not None:
                listener.close()
        for writer in list(server.connections):
            writer.transport.abort()
        server.connections.clear()

    async def restart_server(self, name: str, downtime_s: float = 0.0) -> None:
        """Cut all connections of a server; after ``downtime_s`` it is up again, cold, and the list says so."""
        server = self.servers[name]
        self.event_log.add("host down", who=name, held=len(server.connections))
        await self._take_down(server)
        await asyncio.sleep(downtime_s)
        server.started_at = time.time()
        await self._bring_up(server)
        self.publish_list()
        self.event_log.add("host up", who=name)

    async def kill_server(self, name: str) -> None:
        """Cut all connections of a server and leave it down."""
        server = self.servers[name]
        self.event_log.add("host died", who=name, held=len(server.connections))
        await self._take_down(server)

    def publish_list(self) -> None:
        """Advance the version of the list and answer the balancers that wait for a change."""
        self.list_version += 1
        self._list_changed.set()
        self._list_changed = asyncio.Event()

    def _link_port(self, server: ImageServer) -> int:
        return FIRST_LINK_PORT + list(self.servers).index(server.name)

    def _link_handler(
        self, balancer: str, stand_in: str, serve: Callable[[Reader, Writer, str], Coroutine[Any, Any, None]]
    ) -> Any:
        """Return a connection handler that calls ``serve`` with streams subject to the faults of one link."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            stream = FaultyStream(self._links, stand_in, balancer, reader, writer)
            self._streams.add(stream)
            try:
                await serve(stream, stream, balancer)
            finally:
                self._streams.discard(stream)

        return handle

    async def reset_connections(self, matches: LinkPredicate) -> int:
        """Reset all connections over the matching links, in either direction; return their number."""
        matching = [
            stream
            for stream in self._streams
            if matches(stream.stand_in, stream.process) or matches(stream.process, stream.stand_in)
        ]
        for stream in matching:
            stream.reset()
        return len(matching)

    async def _serve(self, server: ImageServer, reader: Reader, writer: Writer) -> None:
        """Serve a connection by the line protocol: PING, STATS, OPEN, and an echo of everything else."""
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while line := await reader.readline():
                word = line.split(b" ", 1)[0].strip()
                if word == b"PING":
                    writer.write(b"PONG\r\n")
                elif word == b"STATS":
                    load = server.load()
                    writer.write(f"PONG x0={load:.3f},latency_ms={2 + 30 * load**4:.1f},queue=0\r\n".encode())
                elif word == b"OPEN" and writer not in server.connections:
                    server.request_times.append(time.time())
                    if server.load() >= REJECTION_LOAD:
                        server.rejected += 1
                        writer.write(b"BUSY\r\n")
                        break
                    server.connections.add(writer)
                    server.accepted += 1
                    await asyncio.sleep(server.service_s * (1 + server.load() ** 2))
                    writer.write(b"UP %s-%d\r\n" % (server.name.encode(), server.accepted))
                else:
                    writer.write(line)
                await writer.drain()
        server.connections.discard(writer)
        with suppress(Exception):
            writer.close()

    async def _crash_overloaded(self) -> None:
        """Take down servers that were overloaded for too long; they stay down."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for server in self.servers.values():
                if not server.is_up or server.load() <= server.fall_multiple:
                    server.overloaded_since = None
                    continue
                server.overloaded_since = server.overloaded_since or time.time()
                if time.time() - server.overloaded_since >= server.fall_s:
                    server.crashed = True
                    self.event_log.add("host fell over", who=server.name, load=round(server.load(), 2))
                    await self._take_down(server)

    # The discovery service.

    def list_entries(self, balancer: str = "") -> list[dict[str, Any]]:
        """Return the list of servers, with the addresses by which this balancer reaches them."""
        link_address = self._link_addresses.get(balancer)
        return [
            {
                "host": server.name,
                "dial": "{}:{}".format(
                    *(server.address if link_address is None else (link_address, self._link_port(server)))
                ),
                "site": server.hall,
                "class": "m",
                "block": 1,
                "health": server.health,
                "share": 1.0,
                "born_ms": int(server.started_at * 1000),
            }
            for server in self.servers.values()
        ]

    async def _serve_list(self, reader: Reader, writer: Writer, balancer: str = "") -> None:
        """Answer a request for the list; with ``since``, once there is a later version or at its timeout."""
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
            request = await reader.readuntil(b"\r\n\r\n")
            query = parse_qs(urlsplit(request.split(b" ")[1].decode()).query)
            deadline = time.time() + int(query.get("timeout_ms", ["0"])[0]) / 1000
            while "since" in query and self.list_version <= int(query["since"][0]) and not self.list_down:
                try:
                    await asyncio.wait_for(self._list_changed.wait(), max(0.0, min(0.2, deadline - time.time())))
                except TimeoutError:
                    if time.time() >= deadline:
                        break
            accepted = await self._accept_list_request()
            response = {"seq": self.list_version, "whole": True, "hosts": self.list_entries(balancer)}
            body = json.dumps(response).encode() if accepted else b""
            status = "200 OK" if accepted else "503 Service Unavailable"
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
        with suppress(Exception):
            writer.close()

    async def _accept_list_request(self) -> bool:
        """Wait for the request's turn; return False if the service is down or its queue too long."""
        self.list_requests += 1
        if self.list_down or self._list_queue_length * self._list_service_s > MAX_LIST_QUEUE_S:
            self.list_requests_refused += 1
            return False
        self._list_queue_length += 1
        async with self._list_lock:
            await asyncio.sleep(self._list_service_s)
        self._list_queue_length -= 1
        return True

    # Clients.

    def add_clients(self, count: int, arrival_s: float) -> None:
        """Add clients that arrive evenly over ``arrival_s`` seconds and stay until the end."""
        first = len(self.clients)
        self.clients += [Client(first + n, f"hall-{n % 2}") for n in range(count)]

        async def begin() -> None:
            for n, client in enumerate(self.clients[first:]):
                self._start_task(self._run_client(client, arrival_s * n / count))

        self.run(begin())

    async def _run_client(self, client: Client, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        is_reconnect = False
        while True:
            balancers = [balancer for balancer in self.active_balancers() if balancer not in self.unhealthy_balancers]
            backoff_s = self._random.uniform(*BACKOFF_RANGE_S)
            if balancers:
                outcome, retry_after_s = await self._connect(client, self._random.choice(balancers), is_reconnect)
                if outcome in ("moved", "cut"):
                    is_reconnect = True
                    client.backoff_s += backoff_s
                elif retry_after_s is not None:
                    backoff_s = retry_after_s
            await asyncio.sleep(backoff_s)

    async def _connect(self, client: Client, balancer: Address, is_reconnect: bool) -> tuple[str, float | None]:
        """Open a connection and keep it until it ends.

        Returns how it ended, and the seconds after which the balancer wants to be asked again, if it said so.
        """
        writer = None
        try:
            began = time.time()
            while self._links.blocks(CLIENTS, self.balancer_names.get(balancer, "")):
                if time.time() - began >= CLIENT_TIMEOUT_S:
                    raise TimeoutError
                await asyncio.sleep(POLL_INTERVAL_S)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*balancer), CLIENT_TIMEOUT_S)
            request_id = f"{self._random.getrandbits(64):016x}"
            writer.write(
                f"OPEN {request_id} {client.index:x} c=preview,t=vestland,d={CLIENT_TIMEOUT_S * 1000:.0f},"
                f"g={client.index % CLIENT_GROUPS:x}{',again=1' if is_reconnect else ''}\r\n".encode()
            )
            line = (await asyncio.wait_for(reader.readline(), CLIENT_TIMEOUT_S + RESPONSE_GRACE_S)).split()
            if line[:1] != [b"UP"]:
                return self._handle_rejection(client, line)
            self.connect_times_s.append(time.time() - began)
            self._mark_connected(client, line[1].decode().rpartition("-")[0])
            return await self._stay_connected(client, reader, writer), None
        except (OSError, TimeoutError):
            if client.connected:
                return self._mark_disconnected(client, "cut"), None
            client.failed += 1
            return "failed", None
        finally:
            if writer is not None:
                writer.close()

    def _handle_rejection(self, client: Client, line: list[bytes]) -> tuple[str, float | None]:
        if line[:1] == [b"BUSY"]:
            client.refused += 1
            self.event_log.add("refused", client=client.index, hint=line[1].decode() if len(line) > 1 else "")
            return "refused", int(line[1]) / 1000 if len(line) > 1 else None
        client.failed += 1
        self.event_log.add("not served", client=client.index, line=b" ".join(line).decode("utf-8", "replace"))
        return "failed", None

    def _mark_connected(self, client: Client, server: str) -> None:
        client.connected, client.host = True, server
        if client.down_since is not None:
            client.down_s += time.time() - client.down_since
            self.outage_durations_s.append(time.time() - client.down_since)
            client.down_since = None

    async def _stay_connected(self, client: Client, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        while True:
            try:
                line = await asyncio.wait_for(reader.readline(), CLIENT_SEND_INTERVAL_S)
            except TimeoutError:
                writer.write(b"hello %d\r\n" % client.index)
                continue
            if not line or line.startswith(b"MOVE"):
                return self._mark_disconnected(client, "moved" if line else "cut")

    def _mark_disconnected(self, client: Client, outcome: str) -> str:
        client.connected, client.down_since = False, time.time()
        client.moves += outcome == "moved"
        client.cuts += outcome == "cut"
        self.event_log.add(outcome, client=client.index, host=client.host)
        return outcome

    def client_totals(self) -> dict[str, float]:
        """Return the sums over all clients so far."""
        now = time.time()
        down_s = sum(c.down_s + (now - c.down_since if c.down_since is not None else 0.0) for c in self.clients)
        return {
            "clients": len(self.clients),
            "up": sum(c.connected for c in self.clients),
            "moves": sum(c.moves for c in self.clients),
            "refused": sum(c.refused for c in self.clients),
            "failed": sum(c.failed for c in self.clients),
            "cuts": sum(c.cuts for c in self.clients),
            "down_s": down_s,
            "paused_s": sum(c.backoff_s for c in self.clients),
        }
