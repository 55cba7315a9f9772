"""A simulated fleet that yields the trace records of one balancer.

The decisions are those of the real balancing module, and the records are built by the daemon's own ``RecordBuilder``.
It does not simulate performance: hosts have slots, a load that follows from their connections, and a response time;
some die, some drain.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

from bramblestile.clock import MICROSECOND
from bramblestile.memory.decisions import move_reason
from bramblestile.trace.recorder import RecordBuilder
from bramblestile.trace.records import Record
from vanegw import interface as api
from vanegw.recording import RecordingBalancer

CLASSES = (
    api.RequestClass("preview-stream", objective_us=400_000, deadline_us=1_600_000, message_aim_us=60_000),
    api.RequestClass(
        "catalogue-edit", objective_us=500_000, deadline_us=2_000_000, effect=api.Effect.UNSAFE, message_aim_us=150_000
    ),
    api.RequestClass("deep-zoom", objective_us=800_000, deadline_us=3_200_000, message_aim_us=100_000),
)
TENANTS = ("vestland-museum", "fjord-kunstsamling", "trondheim-arkiv", "bergen-galleri")
START = 1_796_000_000_000_000  # microseconds since the epoch


@dataclass(slots=True)
class Host:
    """An image server."""

    name: str
    slots: int
    zone: str
    connections: int = 0
    dead: bool = False
    draining: bool = False

    def load(self) -> float:
        """Return the load that a probe reports."""
        return self.connections / self.slots


@dataclass(slots=True)
class Client:
    """An open request and its connection."""

    request: api.Request
    arrived_us: int
    host: Host | None = None
    number: int = 0
    started_us: int = 0


@dataclass
class Fleet:
    """An endless simulation."""

    hosts: int = 24
    rate: float = 20.0  # requests a second at this balancer
    seed: int = 1
    instance: str = "n1"
    skew_us: int = 0  # offset and drift of this instance's clock
    drift: float = 0.0
    script: tuple[tuple[float, str, str], ...] = ()  # (seconds from the start, drain, die or back, index of the host)
    new_records: list[Record] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.hosts_by_name = {
            f"s-{index * 2654435761 % 2**32:08x}": Host(
                f"s-{index * 2654435761 % 2**32:08x}",
                12 + index % 5 * 6,
                "bergen-hall" if index % 2 else "trondheim-hall",
            )
            for index in range(self.hosts)
        }
        settings = api.Settings(
            classes=CLASSES,
            zone="bergen-hall",
            groups=True,
            try_limit=6,
            cold_from=0.13,
            cold_us=21_000_000,
            drain_grace_us=250_000,
            max_retry_after_us=1_000_000,
        )
        self.balancer = RecordingBalancer(settings, self.seed)
        self.builder = RecordBuilder(self.new_records.append)
        self.balancer.recording, self.balancer.make_candidate = True, self.builder.make_candidate
        self.now = START
        self.queue: list[tuple[int, int, str, Any]] = []
        self.sequence = itertools.count()
        self.clients: dict[str, Client] = {}
        self.schedule(0, "list", None)
        self.schedule(1000, "arrive", None)
        for seconds, event, host in self.script:
            self.schedule(round(seconds * 1e6), event, list(self.hosts_by_name.values())[int(host)])

    def schedule(self, us: float, event: str, subject: Any) -> None:
        """Call the method ``on_<event>`` with ``subject`` after ``us`` microseconds."""
        heapq.heappush(self.queue, (self.now + round(us), next(self.sequence), event, subject))

    def clock(self) -> timedelta:
        """Return the time by this instance's own clock.

        Each call advances the time a little, so that no two records have the same one.
        """
        self.now += self.random.randrange(15, 90)
        return (self.now + self.skew_us + round((self.now - START) * self.drift)) * MICROSECOND

    def records(self) -> Iterator[Record]:
        """Yield the records that a recorder in this balancer would write."""
        while True:
            self.now, _, event, subject = heapq.heappop(self.queue)
            getattr(self, "on_" + event)(subject)
            for record in self.new_records:
                record.src = self.instance
            yield from self.new_records
            self.new_records.clear()

    def handle(self, event: api.Event) -> None:
        """Pass an event to the balancing module, record it, and execute the resulting actions."""
        now = self.clock()
        actions = self.balancer.handle(now // MICROSECOND, event)
        if isinstance(event, api.ProbeResult):
            self.builder.probed(now, "lines", event)
        elif isinstance(event, api.Note):
            self.builder.note(now, event)
        elif isinstance(event, api.BackendList):
            self.builder.host_list_received(now, "lines", event)
        for decision in self.balancer.decisions:
            self.builder.decision(now, decision)
        for action in actions:
            self.execute(action, event)

    def execute(self, action: api.Action, event: api.Event) -> None:
        """Simulate one action."""
        client = self.clients.get(getattr(action, "id", ""))
        if isinstance(action, api.Probe):
            self.builder.probe_sent(self.clock(), "lines", action.backend)
            self.schedule(self.random.lognormvariate(7, 0.5), "probed", (action.backend, self.now))
        elif isinstance(action, api.SetTimer):
            self.schedule(action.after_us, "timer", action.token)
        elif client is None:
            return
        elif isinstance(action, api.Attempt):
            host, took_us = self.hosts_by_name[action.backend], self.random.lognormvariate(8.6, 0.6)
            full = host.connections >= host.slots or host.draining
            status = "timed_out" if host.dead else "no_room" if full else "up"
            remaining_us = action.until_us - self.clock() // MICROSECOND
            self.schedule(remaining_us if host.dead else took_us, "attempt_end", (client, host, status, self.now))
        elif isinstance(action, api.Refuse):
            self.record_answer(client, "refused", wait_us=action.retry_after_us)
        elif isinstance(action, api.Fail):
            self.record_answer(client, "failed")
        elif isinstance(action, api.Move) and client.host is not None:
            self.builder.connection_moved(self.clock(), action.id, client.host.name, move_reason(event))
            self.schedule(2_000, "ended", (client, "cancelled", True))

    def record_answer(self, client: Client, outcome: str, host: str | None = None, wait_us: int | None = None) -> None:
        """Record the final answer to a request."""
        took = (self.now - client.arrived_us) * MICROSECOND
        self.builder.answer(
            self.clock(), client.request, outcome, client.number + (outcome == "served"), took, host, wait_us
        )
        if outcome != "served":
            del self.clients[client.request.id]

    def send_request(self, key: int, is_return: bool) -> None:
        """Let the client with this key send a request."""
        rng = self.random
        request_class = CLASSES[key % len(CLASSES)]
        group = (key % 800 + 1) * 0x9E3779B97F4A7C15 % 2**64  # clients of one collection
        request = api.Request(
            f"{rng.getrandbits(64):016x}",
            request_class.name,
            request_class.deadline_us - 15_000,
            TENANTS[key % 7 % len(TENANTS)],
            key,
            group,
            is_return=is_return,
        )
        self.clients[request.id] = Client(request, self.now)
        self.builder.request(self.clock(), "lines", request, None)
        self.handle(request)

    # Events.

    def on_list(self, _: object) -> None:
        """Send the initial host list."""
        self.handle(
            api.BackendList(
                api.ListMode.COMPLETE, tuple(api.Backend(h.name, h.zone) for h in self.hosts_by_name.values())
            )
        )

    def on_arrive(self, _: object) -> None:
        """Send a request and schedule the next one."""
        self.schedule(self.random.expovariate(self.rate) * 1e6, "arrive", None)
        # Nine of ten requests come from a fixed set of clients, the rest from new ones.
        known_key = self.random.randrange(20_000) * 0xD6E8FEB86659FD93 % 2**64
        self.send_request(known_key if self.random.random() < 0.9 else self.random.getrandbits(64), False)

    def on_return(self, key: object) -> None:
        """Let a client come back after a move or a cut."""
        assert isinstance(key, int)
        self.send_request(key, True)

    def on_probed(self, subject: Any) -> None:
        """Send the result of a probe."""
        name, sent_us = subject
        host = self.hosts_by_name[name]
        if host.dead:
            self.handle(api.ProbeResult(name, api.Status.TIMED_OUT, 500_000))
            return
        load = round(host.load(), 3)
        report = api.Report(
            load=load,
            queue=float(max(0, host.connections - host.slots + 3)),
            latency_ms=round(2 + 30 * load**4 + self.random.random(), 1),
        )
        self.handle(api.ProbeResult(name, api.Status.SERVED, self.now - sent_us, report))

    def on_timer(self, token: object) -> None:
        """Fire a timer."""
        self.handle(api.TimerFired(str(token)))

    def on_attempt_end(self, subject: Any) -> None:
        """End an attempt."""
        client, host, status, sent_us = subject
        request_id, took_us = client.request.id, self.now - sent_us
        if request_id not in self.clients:
            return
        self.builder.attempt(self.clock(), request_id, client.number, host.name, status, took_us)
        if status == "up":
            host.connections += 1
            client.host, client.started_us = host, self.now
            self.record_answer(client, "served", host.name)
            self.builder.connection_established(self.clock(), request_id, host.name, False)
            self.handle(api.Opened(request_id, client.number, host.name, took_us))
            self.schedule(self.random.uniform(2, 20) * 1e6, "ended", (client, "served", False))
            return
        number, client.number = client.number, client.number + 1
        self.handle(api.Outcome(request_id, number, host.name, api.Status[status.upper()], took_us, finished=False))

    def on_ended(self, subject: Any) -> None:
        """End a connection."""
        client, status, moved = subject
        request_id = client.request.id
        if self.clients.pop(request_id, None) is None:
            return
        client.host.connections -= 1
        took = (self.now - client.started_us) * MICROSECOND
        self.builder.connection_ended(self.clock(), request_id, client.host.name, status, took, moved)
        self.handle(
            api.Outcome(request_id, client.number, client.host.name, api.Status[status.upper()], 0, finished=True)
        )
        if moved or status == "cut":
            self.schedule(self.random.uniform(0.02, 0.4) * 1e6, "return", client.request.key)

    def on_drain(self, host: object) -> None:
        """Drain a host; the list with its new state arrives some milliseconds later."""
        assert isinstance(host, Host)
        host.draining = True
        self.schedule(self.random.uniform(0, 4_000), "announce", host)

    def on_announce(self, host: object) -> None:
        """Send a list with the new state of a host."""
        assert isinstance(host, Host)
        state = api.State.DRAINING if host.draining else api.State.RUNNING
        self.handle(api.BackendList(api.ListMode.CHANGES, (api.Backend(host.name, host.zone, state=state),)))

    def on_back(self, host: object) -> None:
        """Bring a host back into service."""
        assert isinstance(host, Host)
        host.draining = host.dead = False
        self.schedule(self.random.uniform(0, 4_000), "announce", host)

    def on_die(self, host: object) -> None:
        """Let a host die, cutting all its connections."""
        assert isinstance(host, Host)
        host.dead = True
        for client in [c for c in self.clients.values() if c.host is host]:
            self.schedule(self.random.uniform(0, 2_000), "ended", (client, "cut", False))
