"""The balancer's side of the order of work: what it leaves alone, and for how long it may act by what it was told.

Guaranteed, by its own clock alone: from the moment it hears that a machine leaves, nothing new goes there until it
hears that it is back; when nobody has confirmed for ``LEASE`` what it was told, it leaves alone every machine whose
turn may have come meanwhile; after ``SILENT``, every machine of the plan but the refuge and those whose turn was over.
So whoever leads may count on both without hearing from it. It never ends with nothing to send to: a plan that covers
the whole fleet has a refuge. Who has heard of a plan and was never given a lease, as after a restart, is silent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from bramblestile.clock import MICROSECOND
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.order import LEFT_ALONE
from bramblestile.work.plan import BALANCER

LEASE = timedelta(seconds=3)
SILENT = timedelta(seconds=30)
POLL_EVERY = LEASE / 4
MILLISECOND = timedelta(milliseconds=1)
MOST_NAMES = 1000
# Of a machine whose turn is next, and of the last one. The module's weights end at a 256th: who is sent to a machine
# whose turn is still to come is moved twice. Seen with 0.02 to 0.3: one in six moved went there, 1.3 moves a client.
LEAST_LEAN, MOST_LEAN = 0.002, 0.04
# Where those that stay are full. With less a client sees none but full ones among those it is compared with, and is
# refused while machines still to come have room.
LEAN_WHEN_FULL = 0.5


@dataclass(slots=True)
class Hand:
    name: str
    life: int
    leader: str = ""
    term: int = 0
    seen: int = 0
    plan: str = ""
    status: str = "none"
    ahead: int = 0
    count: int = 0
    alone: dict[str, str] = field(default_factory=dict)
    window: frozenset[str] = frozenset()
    refuge: frozenset[str] = frozenset()
    over: set[str] = field(default_factory=set)
    names: list[str] = field(default_factory=list)  # of the plan, as far as they have been told
    back: frozenset[str] = frozenset()
    full: bool = False  # those where clients may stay
    until: timedelta | None = None  # of the lease; None: never had one
    every: timedelta = POLL_EVERY
    due: timedelta = timedelta(0)

    @property
    def me(self) -> str:
        """Ourselves, as a machine of a plan."""
        return BALANCER + self.name

    @property
    def is_out(self) -> bool:
        """Our own turn: clients are sent away, until we hear that we are back. Being cut off changes nothing here."""
        return self.me in self.alone

    def poll(self, at: timedelta, quiet: Iterable[str], standing: Mapping[str, int], ready: bool = True) -> Poll:
        """``quiet``: of those left alone, where no send of ours is still going on, ourselves once we send our clients
        away; ``standing``: our connections. ``ready``: we would serve."""
        if self.heard_of(at) != "bound":
            self.every = POLL_EVERY  # nobody answers, or no plan is on: hundreds must not press on who is left
        self.due = at + self.every
        return Poll(
            self.name,
            self.life,
            at // MICROSECOND,
            self.term,
            self.seen,
            self.plan,
            self.ahead,
            tuple(q for q in quiet if q in self.alone),
            {n: c for n, c in standing.items() if n in self.alone and c},
            len(self.names),
            ready=ready,
        )

    def hear(self, got: Reply, at: timedelta) -> bool:
        """True where it is news that the leader waits for: it is to be polled again at once."""
        if got.life != self.life or (got.term, got.version) < (self.term, self.seen):
            return False  # for the process before this one, or of a leader before the one that we act by
        news = (got.term, got.version) != (self.term, self.seen)
        if got.plan != self.plan:
            self.names, self.over = [], set()
        self.leader, self.term, self.seen = got.leader, got.term, got.version
        self.plan, self.status, self.ahead, self.count = got.plan, got.status, got.ahead, got.count
        self.alone = {name: stage for name, stage in got.alone.items() if stage in LEFT_ALONE}
        self.window, self.refuge = frozenset(got.window), frozenset(got.refuge)
        self.back, self.full = frozenset(got.back), got.full
        self.every = min(POLL_EVERY, got.poll_ms * MILLISECOND) if got.poll_ms > 0 else POLL_EVERY
        self.over.update(got.over)
        if got.at == len(self.names) < got.count <= MOST_NAMES:
            self.names += got.names[: got.count - got.at]
        if got.lease_ms:
            # From our own sending on: however late the answer is, the leader gave it after that.
            lease = got.stamp * MICROSECOND + min(got.lease_ms * MILLISECOND, LEASE)
            self.until = lease if self.until is None else max(self.until, lease)
        if news or len(self.names) < self.count:
            self.due = min(self.due, at)
        return news

    def is_on(self) -> bool:
        return self.status not in ("none", "ended")

    def heard_of(self, at: timedelta) -> str:
        """How it stands: ``bound`` (by a lease), ``cut off``, or ``silent`` for long."""
        if not self.is_on():
            return "free"
        if self.until is None:
            return "silent"
        if at < self.until:
            return "bound"
        return "cut off" if at < self.until + SILENT else "silent"

    def lean(self) -> dict[str, float]:
        """By what part of its weight each machine still to come draws new clients: the nearer its turn the less. They
        go to those whose turn is over, or never comes."""
        if self.status not in ("running", "paused"):
            return {}
        waiting = [n for n in self.names if not (n in self.over or n in self.alone or n in self.back)]
        if self.full:
            return dict.fromkeys(waiting, LEAN_WHEN_FULL)
        step = (MOST_LEAN - LEAST_LEAN) / max(1, len(waiting))
        return {name: LEAST_LEAN + step * place for place, name in enumerate(waiting)}

    def allows(self, host: str, at: timedelta) -> bool:
        """Whether something new may be sent there now."""
        if host in self.alone:
            return False
        match self.heard_of(at):
            case "cut off":
                return host not in self.window
            case "silent" if host not in self.refuge and host not in self.over:
                if any(name.startswith(BALANCER) for name in (*self.window, *self.alone, *self.names[:1])):
                    return True  # a plan of balancers: it closes no image server
                return host not in self.window and len(self.names) == self.count and host not in self.names
        return True
