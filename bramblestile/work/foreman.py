"""The leader's side of the order of work: who has left which machine, and the next step for each. No I/O.

It acts only while its peer leads the store and has applied all that any leader before it has committed; it proposes a
step at a time and looks again when that holds. What it holds of balancers is its own and is gathered anew by each
leader: the polls tell it within a lease.

That a machine is left is proved for each balancer of the roster by one of these, and nothing else:

- it says so itself, acting by a version in which the machine leaves, and with nothing being sent there;
- it has left the fleet, or an operator says that it has ended;
- it was not heard for longer than a lease, and knew that this machine's turn may come (``Hand``, 'cut off'): it has
  told us so, or the agreed floor says that all have;
- it was not heard for longer than a lease and ``SILENT``, has taken up this plan, and the machine is no refuge.

The clocks' assumption: none runs more than ``DRIFT`` fast or slow against another; offsets do not matter. A lease ends
at most LEASE x (1 + DRIFT) after it was asked for; what a leader before gave was asked for before that one's leadership
ended, which is before ours began.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from bramblestile.clock import MICROSECOND
from bramblestile.store.replica import DRIFT
from bramblestile.work import order as keys
from bramblestile.work.hand import LEASE, MILLISECOND, POLL_EVERY, SILENT
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.order import LEFT_ALONE, ON_THE_WAY, OVER, PAGE, Machine, Order, Stage, Status
from bramblestile.work.plan import BALANCER
from bramblestile.work.planner import WARM, Fleet, choose, is_full, out_now, to_claim, why_not

UNHEARD = LEASE * (1 + 2 * DRIFT)  # from the last answer on: then the lease has run out
LONG_UNHEARD = (LEASE + SILENT) * (1 + 2 * DRIFT)
LEAVE_WITHIN = timedelta(seconds=10)  # for what stands to be gone: after that the machine goes with what is left
BACK_WITHIN = timedelta(seconds=120)  # from the end of its work until it serves
POLLS = 400  # a second, of all balancers together: some 40 ms of the leader's processor time
LEAST_POLL = timedelta(milliseconds=200)
AWAY_FOR = timedelta(seconds=4)  # a client that was sent away is back by then, or never: beyond its longest pause
LOADS_EVERY = AWAY_FOR / 20
LOOK_FIRST = timedelta(seconds=1)  # at all machines, before the first one leaves; a new leader waits AWAY_FOR
Proposal = tuple[str, str]


@dataclass(slots=True)
class Heard:
    """Of one balancer, in this leadership."""

    at: timedelta  # when it was last answered
    life: int
    seen: int = 0
    plan: str = ""
    ahead: int = 0
    quiet: frozenset[str] = frozenset()
    standing: dict[str, int] = field(default_factory=dict)
    ready: bool = True


@dataclass(slots=True)
class Foreman:
    name: str
    term: int = 0
    began: timedelta = timedelta(0)
    heard: dict[str, Heard] = field(default_factory=dict)
    told: dict[str, tuple[Stage, int, timedelta]] = field(default_factory=dict)  # stage, version, since when we know
    left: set[str] = field(default_factory=set)  # balancers that have left the fleet
    outside: set[str] = field(default_factory=set)  # living members that are not in the roster: nobody can bind them
    finished: set[str] = field(default_factory=set)  # machines whose work is done, by the command or an operator
    entering: dict[str, str] = field(default_factory=dict)  # balancers, and what the roster is to say of them
    failed: dict[str, str] = field(default_factory=dict)  # machines whose work has failed, and why
    why: str = ""  # no machine leaves now
    full: bool = False  # no room where clients may stay
    hands_over: bool = False  # it is our own turn
    watched: tuple[str, timedelta] = ("", timedelta(0))  # the plan, and from when on we know how its machines are
    loads: deque[tuple[timedelta, float]] = field(default_factory=deque)  # of the whole fleet, for ``AWAY_FOR``
    announced: tuple[int, timedelta] = (-1, timedelta(0))  # how far turns are, and since when we know

    def lead(self, term: int, at: timedelta) -> None:
        """A new leadership. What the one before has heard from balancers it has heard for itself."""
        if term != self.term:
            self.term, self.began = term, at
            self.heard, self.told, self.finished, self.failed = {}, {}, set(), {}
            self.announced, self.entering = (-1, at), {}
            self.loads.clear()
            self.watched = "", at

    def apply(self, order: Order, version: int, at: timedelta) -> None:
        """What is committed by now, and from which version on we know it."""
        for machine in order.machines.values():
            known = self.told.get(machine.name)
            if known is None or known[0] is not machine.stage:
                self.told[machine.name] = machine.stage, version, at
        if order.id != self.watched[0]:
            begun = any(m.stage not in (Stage.WAITING, Stage.CLAIMED) for m in order.machines.values())
            self.watched = order.id, at + (AWAY_FOR if begun else LOOK_FIRST)
        if order.ahead != self.announced[0]:
            self.announced = order.ahead, at
        for name in [n for n in self.told if n not in order.machines]:
            del self.told[name]

    # Balancers.

    def hear(self, got: Poll, order: Order, version: int, at: timedelta) -> tuple[Reply, Proposal | None]:
        """The answer, and where the roster lacks it what is to be agreed on first: before that it gets no lease, as a
        leader after us would not know of it."""
        self.left.discard(got.name)
        entered = got.name in order.roster
        if entered:
            # Versions are places in the agreed log: it does not matter which leader told of them.
            self.heard[got.name] = Heard(
                at,
                got.life,
                got.seen,
                got.plan,
                got.ahead if got.plan == order.id else 0,
                frozenset(got.quiet),
                dict(got.standing),
                got.ready,
            )
        told = order.is_on
        have = got.have if got.plan == order.id else 0
        reply = Reply(
            self.name,
            got.life,
            self.term,
            version,
            got.stamp,
            LEASE // MILLISECOND if entered else 0,
            order.id if told else "",
            order.status,
            order.ahead,
            len(order.names) if told else 0,
            {n: str(s) for n, s in order.left_alone().items()},
            tuple(order.window()),
            tuple(m.name for m in order.machines.values() if m.stage in OVER)[-PAGE:] if told else (),
            order.refuge() if told else (),
            have,
            order.names[have : have + PAGE] if told else (),
            tuple(m.name for m in order.machines.values() if m.stage in (Stage.BACK, Stage.COLD))[: 2 * PAGE],
            self._poll_every(order) // MILLISECOND,
            self.full,
        )
        wanted = order.id if told else ""
        if not entered or (got.plan == wanted and order.roster[got.name] != wanted):
            self.entering[got.name] = got.plan if got.plan == wanted else ""
            return reply, keys.roster_key(got.name, self.entering[got.name])
        return reply, None

    def _poll_every(self, order: Order) -> timedelta:
        """While a plan is on a step waits for the slowest poll, and all of them are ours to answer."""
        if not order.is_on:
            return POLL_EVERY
        return min(POLL_EVERY, max(LEAST_POLL, timedelta(seconds=1) * len(order.roster) / POLLS))

    def to_enter(self, order: Order) -> list[Proposal]:
        """What the roster still lacks of what balancers have said; it goes before any step. Seen: proposed only where a
        poll met no other proposal on its way, a leader's own taking up was not agreed on when it was cut off, and the
        next one waited for it for ever."""
        self.entering = {
            n: plan for n, plan in self.entering.items() if order.roster.get(n) != plan and plan in ("", order.id)
        }
        return [keys.roster_key(name, plan) for name, plan in self.entering.items()]

    def lacks(self, machine: Machine, order: Order, at: timedelta) -> dict[str, str]:
        """The balancers that may still send there, each with the reason; of a balancer's own turn, itself, while it has
        not said that it sends its clients away: nobody else can, and not hearing it proves nothing."""
        found = {}
        if machine.name.startswith(BALANCER):
            name, known = machine.name.removeprefix(BALANCER), self._has_taken(machine, order)
            if name in order.roster and name not in self.left and (known is None or machine.name not in known.quiet):
                found[name] = "has not confirmed"
            return found
        found.update(dict.fromkeys(self.outside.difference(order.bystanders), "takes no part in the order of work"))
        for name, plan in order.roster.items():
            why = self._lacks(name, plan, machine, order, at)
            if why:
                found[name] = why
        return found

    def _lacks(self, name: str, plan: str, machine: Machine, order: Order, at: timedelta) -> str:
        if name in self.left:
            return ""
        known, (_, version, _) = self.heard.get(name), self.told[machine.name]
        if known is not None and known.plan == order.id and known.seen >= version:
            if machine.name in known.quiet:
                return ""
            if at - known.at <= UNHEARD:
                return "is still sending there"
            return ""  # it leaves it alone since; and what was being sent has ended with its deadline, within a lease
        silent = at - max(self.began, known.at if known is not None else self.began)
        if silent <= UNHEARD:
            return "has not confirmed"
        if machine.name in order.refuge():  # first: cut off it leaves this one alone, but silent it goes back to it
            return f"not heard for {silent.total_seconds():.0f} s, and this machine is its refuge"
        knew = known.ahead if known is not None and known.plan == order.id else 0
        if machine.rank < max(knew, order.floor if plan == order.id else 0):
            return ""
        if plan != order.id:
            return f"not heard for {silent.total_seconds():.0f} s, and does not know of this plan"
        return "" if silent > LONG_UNHEARD else f"not heard for {silent.total_seconds():.0f} s"

    def _has_taken(self, machine: Machine, order: Order) -> Heard | None:
        """What a balancer that is a machine has said since it knows of its stage."""
        known = self.heard.get(machine.name.removeprefix(BALANCER))
        taken = known is not None and known.plan == order.id and known.seen >= self.told[machine.name][1]
        return known if taken else None

    def serves(self, balancer: str, at: timedelta) -> bool:
        """Heard lately, and ready."""
        known = self.heard.get(balancer)
        return known is not None and at - known.at <= UNHEARD and known.ready

    def standing(self, machine: str) -> int:
        return sum(known.standing.get(machine, 0) for known in self.heard.values())

    # Steps.

    def step(self, order: Order, fleet: Fleet, at: timedelta) -> Proposal | None:
        """The next thing to agree on, if any. To be asked again when it is applied."""
        self.hands_over = False
        if not order.is_on:
            return None
        away = self._away(fleet, at)
        for machine in sorted(order.machines.values(), key=lambda m: m.rank):
            found = self._onward(machine, order, fleet, at)
            if found is not None:
                stage, why = found
                assert stage in keys.NEXT[machine.stage], f"{machine.name}: {machine.stage} to {stage}"
                return keys.machine_key(order.id, machine.name, stage, why, at // MICROSECOND)
        if all(m.stage in OVER for m in order.machines.values()):
            return keys.status_key(order.id, Status.ENDED)
        floor = self._floor(order)
        if floor > order.floor:
            return keys.floor_key(order.id, floor)
        ahead, claimed = to_claim(order)
        if ahead != order.ahead:
            return keys.ahead_key(order.id, ahead)  # first: whoever is claimed has been announced
        if claimed:
            return keys.machine_key(order.id, claimed[0], Stage.CLAIMED, "", at // MICROSECOND)
        self.full = is_full(order, fleet, away)
        chosen = choose(order, fleet, away)
        self.why = chosen.why
        if chosen.name is None:
            return None
        outside = sorted(self.outside.difference(order.bystanders))
        if outside and not order.of_balancers:
            self.why = f"{', '.join(outside[:3])} of the fleet take no part in the order of work"
            return None
        if at < self.watched[1]:
            self.why = "the machines are being looked at"
            return None
        unsaid = any(plan != order.id for name, plan in order.roster.items() if name not in self.left)
        if (unsaid or order.machines[chosen.name].rank >= order.floor) and at - self.announced[1] <= UNHEARD:
            self.why = f"the turn of {chosen.name} is being announced"  # else a leader after us would wait for long
            return None
        if chosen.name == BALANCER + self.name:
            self.hands_over = True  # who leads next takes us out
            return None
        return keys.machine_key(order.id, chosen.name, Stage.LEAVING, "", at // MICROSECOND)

    def _away(self, fleet: Fleet, at: timedelta) -> float:
        """The load of clients that are on no machine now and will come back: what the fleet held lately, and does not
        any more. Not counting them, the next machine's clients were promised the room that they need."""
        load = sum(seen.load for seen in fleet.values())
        while self.loads and at - self.loads[0][0] > AWAY_FOR:
            self.loads.popleft()
        if not self.loads or at - self.loads[-1][0] >= LOADS_EVERY:
            self.loads.append((at, load))
        return max(0.0, max(held for _, held in self.loads) - load)

    def _floor(self, order: Order) -> int:
        """Up to which all of the roster have taken up what was announced. Whoever takes up this plan later takes up no
        less, as what is announced only grows."""
        told = []
        for name in order.roster:
            known = self.heard.get(name)
            if name not in self.left:
                told.append(known.ahead if known is not None and known.plan == order.id else 0)
        return min(told, default=0)

    def _onward(self, machine: Machine, order: Order, fleet: Fleet, at: timedelta) -> tuple[Stage, str] | None:
        since, seen = self.told[machine.name][2], fleet.get(machine.name)
        ends = order.status is Status.ABORTED
        match machine.stage:
            case Stage.WAITING | Stage.CLAIMED if ends:
                return Stage.DROPPED, "aborted"
            case Stage.LEAVING if ends:
                return Stage.DROPPED, "aborted"
            case Stage.LEAVING:
                return self._leave(machine, order, fleet, at - since, at)
            case Stage.EMPTY:
                return (Stage.DROPPED, "aborted") if ends else (Stage.OUT, "")
            case Stage.OUT:
                if machine.name in self.failed:
                    return Stage.HELD, self.failed.pop(machine.name)
                if machine.name in self.finished:
                    return Stage.BACK, ""
                late = at - since > order.limits.span
                return (Stage.HELD, f"its work took over {order.limits.span}") if late else None
            case Stage.BACK:
                if seen is not None and seen.up and (not order.of_balancers or self._has_taken(machine, order)):
                    return Stage.COLD, ""
                return (Stage.HELD, "not back in service") if at - since > BACK_WITHIN else None
            case Stage.COLD if seen is not None and seen.up and seen.warmth >= WARM:
                return Stage.DONE, ""
            case Stage.HELD if machine.name in self.finished:
                return Stage.BACK, ""
        return None

    def _leave(
        self, machine: Machine, order: Order, fleet: Fleet, span: timedelta, at: timedelta
    ) -> tuple[Stage, str] | None:
        if not self.lacks(machine, order, at) and (not self.standing(machine.name) or span > LEAVE_WITHIN):
            # What has failed meanwhile counts: then one more may not go, and this one serves until it may.
            others = {n: part for n, part in out_now(order, fleet).items() if n != machine.name}
            return (Stage.CLAIMED, "") if why_not(machine.name, order, fleet, others) else (Stage.EMPTY, "")
        return (Stage.HELD, "not left by all") if span > order.limits.span else None

    # For operators.

    def shown(self, order: Order, at: timedelta) -> dict[str, object]:
        lacking = {m.name: self.lacks(m, order, at) for m in order.machines.values() if m.stage is Stage.LEAVING}
        return {
            "plan": order.id,
            "status": str(order.status),
            "reason": order.reason,
            "why_none": self.why,
            "machines": [
                {
                    "name": m.name,
                    "stage": str(m.stage),
                    "why": m.why,
                    "standing": self.standing(m.name) if m.stage in LEFT_ALONE else 0,
                    "waits_for": lacking.get(m.name, {}),
                }
                for m in sorted(order.machines.values(), key=lambda m: m.rank)
            ],
            "on_the_way": sum(m.stage in ON_THE_WAY for m in order.machines.values()),
        }
