"""A stand-in fleet in simulated time, for traces of a realistic mix: the balancer's own decisions, drawn loads.

Not a simulator of performance: hosts have slots, a load that follows what they hold, and a time that their answers
take; some die, some drain. What a trace holds of it is recorded by the daemon's own ``Recorder`` methods.
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
from bramblestile.memory.decisions import reason
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
    name: str
    slots: int
    zone: str
    held: int = 0
    dead: bool = False
    draining: bool = False

    def load(self) -> float:
        return self.held / self.slots


@dataclass(slots=True)
class Client:
    request: api.Request
    arrived: int
    host: Host | None = None
    number: int = 0
    began: int = 0


@dataclass
class Fleet:
    """Plays on and on; ``records`` yields what a balancer's recorder would have been told."""

    hosts: int = 24
    rate: float = 20.0  # requests a second at this balancer
    seed: int = 1
    instance: str = "n1"
    skew_us: int = 0  # how far this instance's clock is off, and how it drifts
    drift: float = 0.0
    script: tuple[tuple[float, str, str], ...] = ()  # seconds from the start, drain or die, a host's number
    out: list[Record] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.all = {
            f"s-{n * 2654435761 % 2**32:08x}": Host(
                f"s-{n * 2654435761 % 2**32:08x}", 12 + n % 5 * 6, "bergen-hall" if n % 2 else "trondheim-hall"
            )
            for n in range(self.hosts)
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
        self.shape = RecordBuilder(self.out.append)
        self.balancer.recording, self.balancer.make_candidate = True, self.shape.belief
        self.now = START
        self.queue: list[tuple[int, int, str, Any]] = []
        self.count = itertools.count()
        self.clients: dict[str, Client] = {}
        self.later(0, "list", None)
        self.later(1000, "arrive", None)
        for seconds, what, host in self.script:
            self.later(round(seconds * 1e6), what, list(self.all.values())[int(host)])

    def later(self, us: float, what: str, about: Any) -> None:
        heapq.heappush(self.queue, (self.now + round(us), next(self.count), what, about))

    def clock(self) -> timedelta:
        """By this instance's own clock. Each step of a program takes its time: no two records have the same."""
        self.now += self.random.randrange(15, 90)
        return (self.now + self.skew_us + round((self.now - START) * self.drift)) * MICROSECOND

    def records(self) -> Iterator[Record]:
        while True:
            self.now, _, what, about = heapq.heappop(self.queue)
            getattr(self, "on_" + what)(about)
            for record in self.out:
                record.src = self.instance
            yield from self.out
            self.out.clear()

    def tell(self, event: api.Event) -> None:
        at = self.clock()
        actions = self.balancer.handle(at // MICROSECOND, event)
        if isinstance(event, api.ProbeResult):
            self.shape.probed(at, "lines", event)
        elif isinstance(event, api.Note):
            self.shape.note(at, event)
        elif isinstance(event, api.BackendList):
            self.shape.listed(at, "lines", event)
        for view in self.balancer.decisions:
            self.shape.decision(at, view)
        for action in actions:
            self.carry_out(action, event)

    def carry_out(self, action: api.Action, event: api.Event) -> None:
        client = self.clients.get(getattr(action, "id", ""))
        if isinstance(action, api.Probe):
            self.shape.probe_sent(self.clock(), "lines", action.backend)
            self.later(self.random.lognormvariate(7, 0.5), "probed", (action.backend, self.now))
        elif isinstance(action, api.SetTimer):
            self.later(action.after_us, "timer", action.token)
        elif client is None:
            return
        elif isinstance(action, api.Attempt):
            host, took = self.all[action.backend], self.random.lognormvariate(8.6, 0.6)
            full = host.held >= host.slots or host.draining
            status = "timed_out" if host.dead else "no_room" if full else "up"
            left = action.until_us - self.clock() // MICROSECOND
            self.later(left if host.dead else took, "tried", (client, host, status, self.now))
        elif isinstance(action, api.Refuse):
            self.answered(client, "refused", wait_us=action.retry_after_us)
        elif isinstance(action, api.Fail):
            self.answered(client, "failed")
        elif isinstance(action, api.Move) and client.host is not None:
            self.shape.moved(self.clock(), action.id, client.host.name, reason(event))
            self.later(2_000, "ended", (client, "cancelled", True))

    def answered(self, client: Client, outcome: str, host: str | None = None, wait_us: int | None = None) -> None:
        took = (self.now - client.arrived) * MICROSECOND
        self.shape.answer(
            self.clock(), client.request, outcome, client.number + (outcome == "served"), took, host, wait_us
        )
        if outcome != "served":
            del self.clients[client.request.id]

    def ask(self, key: int, is_return: bool) -> None:
        r = self.random
        cls = CLASSES[key % len(CLASSES)]
        group = (key % 800 + 1) * 0x9E3779B97F4A7C15 % 2**64  # clients of one collection
        request = api.Request(
            f"{r.getrandbits(64):016x}",
            cls.name,
            cls.deadline_us - 15_000,
            TENANTS[key % 7 % len(TENANTS)],
            key,
            group,
            is_return=is_return,
        )
        self.clients[request.id] = Client(request, self.now)
        self.shape.request(self.clock(), "lines", request, None)
        self.tell(request)

    # Events.

    def on_list(self, _: object) -> None:
        self.tell(api.BackendList(api.ListMode.COMPLETE, tuple(api.Backend(h.name, h.zone) for h in self.all.values())))

    def on_arrive(self, _: object) -> None:
        self.later(self.random.expovariate(self.rate) * 1e6, "arrive", None)
        # Nine in ten are clients that have been here before; the rest are new.
        known = self.random.randrange(20_000) * 0xD6E8FEB86659FD93 % 2**64
        self.ask(known if self.random.random() < 0.9 else self.random.getrandbits(64), False)

    def on_again(self, key: object) -> None:
        assert isinstance(key, int)
        self.ask(key, True)

    def on_probed(self, about: Any) -> None:
        name, sent = about
        host = self.all[name]
        if host.dead:
            self.tell(api.ProbeResult(name, api.Status.TIMED_OUT, 500_000))
            return
        load = round(host.load(), 3)
        report = api.Report(
            load=load,
            queue=float(max(0, host.held - host.slots + 3)),
            latency_ms=round(2 + 30 * load**4 + self.random.random(), 1),
        )
        self.tell(api.ProbeResult(name, api.Status.SERVED, self.now - sent, report))

    def on_timer(self, token: object) -> None:
        self.tell(api.TimerFired(str(token)))

    def on_tried(self, about: Any) -> None:
        client, host, status, sent = about
        name, took = client.request.id, self.now - sent
        if name not in self.clients:
            return
        self.shape.attempt(self.clock(), name, client.number, host.name, status, took)
        if status == "up":
            host.held += 1
            client.host, client.began = host, self.now
            self.answered(client, "served", host.name)
            self.shape.stand(self.clock(), name, host.name, False)
            self.tell(api.Opened(name, client.number, host.name, took))
            self.later(self.random.uniform(2, 20) * 1e6, "ended", (client, "served", False))
            return
        number, client.number = client.number, client.number + 1
        self.tell(api.Outcome(name, number, host.name, api.Status[status.upper()], took, finished=False))

    def on_ended(self, about: Any) -> None:
        client, status, moved = about
        name = client.request.id
        if self.clients.pop(name, None) is None:
            return
        client.host.held -= 1
        took = (self.now - client.began) * MICROSECOND
        self.shape.ended(self.clock(), name, client.host.name, status, took, moved)
        self.tell(api.Outcome(name, client.number, client.host.name, api.Status[status.upper()], 0, finished=True))
        if moved or status == "cut":
            self.later(self.random.uniform(0.02, 0.4) * 1e6, "again", client.request.key)

    def on_drain(self, host: object) -> None:
        """Told some milliseconds late, as a watch does."""
        assert isinstance(host, Host)
        host.draining = True
        self.later(self.random.uniform(0, 4_000), "told", host)

    def on_told(self, host: object) -> None:
        assert isinstance(host, Host)
        state = api.State.DRAINING if host.draining else api.State.RUNNING
        self.tell(api.BackendList(api.ListMode.CHANGES, (api.Backend(host.name, host.zone, state=state),)))

    def on_back(self, host: object) -> None:
        assert isinstance(host, Host)
        host.draining = host.dead = False
        self.later(self.random.uniform(0, 4_000), "told", host)

    def on_die(self, host: object) -> None:
        """It cuts all that it held."""
        assert isinstance(host, Host)
        host.dead = True
        for client in [c for c in self.clients.values() if c.host is host]:
            self.later(self.random.uniform(0, 2_000), "ended", (client, "cut", False))
