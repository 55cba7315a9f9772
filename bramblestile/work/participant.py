"""The balancer's side of maintenance: which machines it sends nothing to, and how long it may act by the last reply.

Guarantees, by the balancer's own clock alone:

- From the moment it hears that a machine leaves, it sends nothing new there until it hears that the machine is back.
- When its lease of ``LEASE_DURATION`` has expired, it sends nothing to any machine whose turn may have come meanwhile.
- After a further ``SILENCE_TIMEOUT``, it sends nothing to any machine of the plan except the fallback and those whose
  turn was over.

The leader can therefore count on the last two without hearing from the balancer. A balancer always has a machine to
send to: a plan that covers the whole fleet has a fallback. A balancer that knows a plan but was never given a lease, as
after a restart, counts as silent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from bramblestile.clock import MICROSECOND
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.plan import BALANCER_PREFIX
from bramblestile.work.plan_state import EXCLUDED_STAGES

LEASE_DURATION = timedelta(seconds=3)
SILENCE_TIMEOUT = timedelta(seconds=30)
POLL_INTERVAL = LEASE_DURATION / 4
MILLISECOND = timedelta(milliseconds=1)
MAX_NAMES = 1000
# Weight factors of the machine whose turn is next and of the last one. The decision module resolves weights down to a
# 256th. A client that is sent to a machine whose turn is still to come is moved twice: with factors of 0.02 to 0.3 one
# in six moved clients went there, and each client was moved 1.3 times.
MIN_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR = 0.002, 0.04
# Weight factor of machines still to come while the others are full. With a lower one a client finds only full machines
# among those it is compared with, and is refused although machines still to come have room.
SPILL_WEIGHT_FACTOR = 0.5


@dataclass(slots=True)
class Participant:
    """What this balancer knows of the plan, and how long it may act by it.

    Attributes:
        name: The balancer's name.
        epoch: Identifies this start of the balancer's process.
        leader: The leader that sent the last reply.
        term: That leader's term.
        applied_version: Version of the replicated state in that reply.
        plan_id: Id of the plan; empty without one.
        status: Status of the plan.
        announced_count: Number of announced machines.
        machine_count: Number of machines in the plan.
        excluded: Machines that get no new requests, each with its stage.
        announced: Machines whose turn has been announced and is not over.
        fallback: Machines that a silent balancer may still send to.
        completed: Machines whose turn is over, as far as replies have named them.
        names: The machines in the order of the plan, as far as they have been received.
        returning: Machines whose work is done and that are not warm yet.
        spill: Whether machines still to come must take new clients, as the others are full.
        lease_expires_at: End of the lease; None: this process never had one.
        poll_interval: Time between two polls.
        next_poll_at: When the next poll is due.
    """

    name: str
    epoch: int
    leader: str = ""
    term: int = 0
    applied_version: int = 0
    plan_id: str = ""
    status: str = "none"
    announced_count: int = 0
    machine_count: int = 0
    excluded: dict[str, str] = field(default_factory=dict)
    announced: frozenset[str] = frozenset()
    fallback: frozenset[str] = frozenset()
    completed: set[str] = field(default_factory=set)
    names: list[str] = field(default_factory=list)
    returning: frozenset[str] = frozenset()
    spill: bool = False
    lease_expires_at: timedelta | None = None
    poll_interval: timedelta = POLL_INTERVAL
    next_poll_at: timedelta = timedelta(0)

    @property
    def machine_name(self) -> str:
        """The name of this balancer as a machine of a plan."""
        return BALANCER_PREFIX + self.name

    @property
    def is_excluded(self) -> bool:
        """Whether it is this balancer's own turn.

        It then sends its clients away until a reply says that it is back, also while it is cut off.
        """
        return self.machine_name in self.excluded

    def poll(self, now: timedelta, quiesced: Iterable[str], connections: Mapping[str, int], ready: bool = True) -> Poll:
        """Return the poll to send now, and schedule the next one.

        ``quiesced`` are the excluded machines to which no request is still being written, and this balancer itself once
        it sends its clients away; ``connections`` counts its open connections; ``ready`` is whether it could serve.
        """
        if self.lease_state(now) != "bound":
            self.poll_interval = POLL_INTERVAL  # hundreds of balancers must not overload the voters that are left
        self.next_poll_at = now + self.poll_interval
        return Poll(
            self.name,
            self.epoch,
            now // MICROSECOND,
            self.term,
            self.applied_version,
            self.plan_id,
            self.announced_count,
            tuple(q for q in quiesced if q in self.excluded),
            {n: c for n, c in connections.items() if n in self.excluded and c},
            len(self.names),
            ready=ready,
        )

    def handle_reply(self, reply: Reply, now: timedelta) -> bool:
        """Adopt a leader's reply unless it is outdated.

        Returns whether it changed the version that this balancer acts by. The leader waits until a poll confirms that
        version, so the next poll is then due at once.
        """
        if reply.epoch != self.epoch or (reply.term, reply.version) < (self.term, self.applied_version):
            return False  # to an earlier process of this balancer, or older than what this one acts by
        changed = (reply.term, reply.version) != (self.term, self.applied_version)
        if reply.plan_id != self.plan_id:
            self.names, self.completed = [], set()
        self.leader, self.term, self.applied_version = reply.leader, reply.term, reply.version
        self.plan_id, self.status, self.announced_count, self.machine_count = (
            reply.plan_id,
            reply.status,
            reply.announced_count,
            reply.machine_count,
        )
        self.excluded = {name: stage for name, stage in reply.excluded.items() if stage in EXCLUDED_STAGES}
        self.announced, self.fallback = frozenset(reply.announced), frozenset(reply.fallback)
        self.returning, self.spill = frozenset(reply.returning), reply.spill
        self.poll_interval = (
            min(POLL_INTERVAL, reply.poll_interval_ms * MILLISECOND) if reply.poll_interval_ms > 0 else POLL_INTERVAL
        )
        self.completed.update(reply.completed)
        if reply.names_offset == len(self.names) < reply.machine_count <= MAX_NAMES:
            self.names += reply.names[: reply.machine_count - reply.names_offset]
        if reply.lease_ms:
            # Counted from the sending of the poll: however late the reply arrives, the leader granted it after that.
            expires_at = reply.sent_at_us * MICROSECOND + min(reply.lease_ms * MILLISECOND, LEASE_DURATION)
            self.lease_expires_at = (
                expires_at if self.lease_expires_at is None else max(self.lease_expires_at, expires_at)
            )
        if changed or len(self.names) < self.machine_count:
            self.next_poll_at = min(self.next_poll_at, now)
        return changed

    def is_active(self) -> bool:
        """Return whether there is a plan that has not ended."""
        return self.status not in ("none", "ended")

    def lease_state(self, now: timedelta) -> str:
        """Return the state of this balancer's lease, by its own clock.

        - ``free``: no plan is active, so no lease is needed.
        - ``bound``: the lease is valid, so the last reply holds.
        - ``cut off``: the lease expired less than ``SILENCE_TIMEOUT`` ago. Any machine announced in the last reply may
          have left since.
        - ``silent``: the lease expired at least ``SILENCE_TIMEOUT`` ago, or there never was one. Machines announced
          later may have left as well, so any machine of the plan outside the fallback.
        """
        if not self.is_active():
            return "free"
        if self.lease_expires_at is None:
            return "silent"
        if now < self.lease_expires_at:
            return "bound"
        return "cut off" if now < self.lease_expires_at + SILENCE_TIMEOUT else "silent"

    def weight_factors(self) -> dict[str, float]:
        """Return the factor on the weight of each machine still to come: the nearer its turn, the lower the factor.

        New clients then prefer machines whose turn is over or never comes.
        """
        if self.status not in ("running", "paused"):
            return {}
        waiting = [n for n in self.names if not (n in self.completed or n in self.excluded or n in self.returning)]
        if self.spill:
            return dict.fromkeys(waiting, SPILL_WEIGHT_FACTOR)
        step = (MAX_WEIGHT_FACTOR - MIN_WEIGHT_FACTOR) / max(1, len(waiting))
        return {name: MIN_WEIGHT_FACTOR + step * place for place, name in enumerate(waiting)}

    def allows(self, host: str, now: timedelta) -> bool:
        """Return whether a new request may be sent to this machine now.

        Machines excluded in the last reply get none. After that it depends on ``lease_state``:

        - ``free`` and ``bound``: all others are allowed.
        - ``cut off``: announced machines are refused. The leader lets no other machine leave before this state is over.
        - ``silent``: fallback machines are allowed, as they leave only while every balancer is heard, and completed
          ones, as their turn is over. All other machines of the plan are refused. While the list of the plan's machines
          is incomplete, any other machine may be in the plan and is refused.
        """
        if host in self.excluded:
            return False
        match self.lease_state(now):
            case "cut off":
                return host not in self.announced
            case "silent" if host not in self.fallback and host not in self.completed:
                # A plan consists of balancers or of image servers, so one name of it tells which.
                known_machines = (*self.announced, *self.excluded, *self.names[:1])
                if any(name.startswith(BALANCER_PREFIX) for name in known_machines):
                    return True  # a plan of balancers excludes no image server
                has_all_names = len(self.names) == self.machine_count
                return host not in self.announced and has_all_names and host not in self.names
        return True
