"""Which machine next, or none and why. No I/O, no time: the fleet as it is seen goes in, a choice comes out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bramblestile.work.order import ON_THE_WAY, OVER, Machine, Order, Stage, Status
from bramblestile.work.plan import BALANCER, Asked, PlanError
from vanegw.rules import FULL_LOAD

AHEAD = 2  # times ``most_out`` machines are announced beyond those that have begun
SHARE_OF_TAIL = 0.05  # of the machines of a plan that covers the whole fleet: the refuge of those that are cut off
WARM = 0.9  # of its capacity: from there on a machine is no longer cold
ROOM_FOR_NAMES = 700  # bytes, in one answer to a balancer
# The part of the clients that may be moved a second time: those of the first machines, which have nowhere to go but to
# machines whose turn is still to come.
FIRST = 0.08
# Of the capacity that stays: the clients must go into it. At FULL_LOAD the balancers place nothing and refuse. Seen
# with 0.85: 28 to 99 of 360 clients refused.
ROOM = FULL_LOAD - 0.02


@dataclass(slots=True, frozen=True)
class Seen:
    """A machine as the leader sees it. ``up``: in service by the list, and not failing by itself; ``by_hand``: an
    operator has taken it out; ``load``: what its connections ask, in the measure of ``capacity``. ``soon``: its warmth
    when the clients of a machine that leaves now come; None: as it is now. A balancer is a machine of capacity 1."""

    hall: str = ""
    capacity: float = 1.0
    warmth: float = 1.0
    up: bool = True
    by_hand: bool = False
    load: float = 0.0
    soon: float | None = None
    votes: bool = False  # a balancer: it keeps the agreement
    leads: bool = False

    def room(self, now: bool = False) -> float:
        """For clients now, or by the time that those of a machine that leaves now come."""
        warmth = self.warmth if now or self.soon is None else self.soon
        return max(0.0, ROOM * self.capacity * warmth - self.load)


Fleet = Mapping[str, Seen]


@dataclass(slots=True, frozen=True)
class Choice:
    """``name`` None: none now, and ``why``."""

    name: str | None
    why: str = ""


def settle(asked: Asked, fleet: Fleet) -> tuple[tuple[str, ...], int]:
    """The order, and how many of its end are the refuge. PlanError where the plan cannot keep its own limits.

    One hall after the other, the hall with the least load first, and in it the machines with the least load first: the
    clients of the first ones have nowhere to go but to machines whose turn is still to come, so these should be few.
    Balancers that keep the agreement go last, and the one that leads last of all."""
    total = sum(seen.capacity for seen in fleet.values())
    voters = sum(seen.votes for seen in fleet.values())
    for name in asked.machines:
        if name not in fleet and asked.of_balancers:
            raise PlanError(f"balancers: {name.removeprefix(BALANCER)}: no balancer of this name takes part")
        if name not in fleet:
            raise PlanError(f"machines: {name}: no image server of this name is listed")
        if fleet[name].votes and voters < 3:
            raise PlanError(
                f"balancers: {name.removeprefix(BALANCER)} keeps the agreement, and without it no majority does"
            )
        stays = total - fleet[name].capacity
        if stays < asked.limits.least * total - 1e-9:
            raise PlanError(
                f"least_capacity: without {name} there is {stays / total:.0%} left, and "
                f"{asked.limits.least:.0%} must stay"
            )
    of_hall: dict[str, float] = {}
    for name in asked.machines:
        of_hall[fleet[name].hall] = of_hall.get(fleet[name].hall, 0.0) + fleet[name].load
    names = tuple(
        sorted(
            asked.machines,
            key=lambda n: (
                fleet[n].leads,
                fleet[n].votes,
                of_hall[fleet[n].hall],
                fleet[n].hall,
                fleet[n].load,
                fleet[n].capacity,
                n,
            ),
        )
    )
    outside = len(fleet) - len(names)
    tail = 0 if asked.of_balancers else min(len(names), max(0, max(1, round(SHARE_OF_TAIL * len(fleet))) - outside))
    longest = sorted((len(name.encode()) for name in names), reverse=True)
    told = (AHEAD + 1) * asked.limits.most_out + tail
    if sum(longest[:told]) + 3 * told > ROOM_FOR_NAMES:
        raise PlanError(f"most_out: the names of {told} machines do not go into one datagram")
    return names, tail


def out_now(order: Order, fleet: Fleet) -> dict[str, float]:
    """Machines that are not all there, each with the part that is missing: on their way, cold, failed by themselves,
    or taken out by hand."""
    found = {}
    for name, seen in fleet.items():
        machine = order.machines.get(name)
        on_way = machine is not None and order.is_on and machine.stage in ON_THE_WAY
        if on_way or not seen.up or seen.by_hand:
            found[name] = 1.0
        elif seen.warmth < WARM:
            found[name] = 1 - seen.warmth
    for machine in order.machines.values():
        if order.is_on and machine.name not in fleet and machine.stage not in OVER:
            found[machine.name] = 1.0  # no longer listed
    return found


def choose(order: Order, fleet: Fleet, away: float = 0.0) -> Choice:
    """Of those whose turn has been announced. ``away``: the load of clients that have been sent away or cut and are not
    back yet: it is on no machine now, and will be."""
    if order.status is not Status.RUNNING:
        return Choice(None, f"the plan is {order.status}")
    waiting = [m for m in _by_rank(order) if m.stage is Stage.CLAIMED]
    if not waiting:
        return Choice(None, "none is left whose turn has been announced")
    missing = out_now(order, fleet)
    on_way = [m.name for m in order.machines.values() if m.stage in ON_THE_WAY]
    if len(on_way) >= order.limits.most_out:
        return Choice(None, f"{', '.join(sorted(on_way))} on their way, {order.limits.most_out} at once")
    why = ""
    for machine in waiting:
        name = machine.name
        reason = (
            not_yet(name, order, fleet)
            or why_not(name, order, fleet, missing)
            or too_full(name, fleet, missing, away)
            or no_room(name, order, fleet, away)
        )
        if not reason:
            return Choice(name)
        why = why or reason
    return Choice(None, why)


def not_yet(name: str, order: Order, fleet: Fleet) -> str:
    """Empty where the agreement goes on without this balancer, if it keeps it."""
    seen = fleet.get(name)
    if seen is None or not seen.votes:
        return ""
    voters = [n for n, other in fleet.items() if other.votes]
    others = [
        n
        for n in voters
        if n != name and fleet[n].up and (n not in order.machines or order.machines[n].stage not in ON_THE_WAY)
    ]
    if 2 * len(others) <= len(voters):
        return f"without {name} no majority would keep the agreement"
    if seen.leads and any(m.stage in (Stage.WAITING, Stage.CLAIMED) for n, m in order.machines.items() if n != name):
        return f"{name} leads, and goes last"
    return ""


def why_not(name: str, order: Order, fleet: Fleet, missing: Mapping[str, float]) -> str:
    """Empty where the plan's own limits let it leave now."""
    limits, seen = order.limits, fleet.get(name)
    if seen is None:
        return f"{name} is not listed"
    if name in missing and (not seen.up or seen.by_hand):
        return f"{name} is {'out by hand' if seen.by_hand else 'failing by itself'}"
    others = {n: part for n, part in missing.items() if n != name}
    if sum(others.values()) > limits.most_out - 1 + 1e-9:
        return f"{_few(others)} missing already, {limits.most_out} at once"
    if limits.apart:
        elsewhere = sorted(
            n for n, part in others.items() if part >= 1 - WARM and n in fleet and fleet[n].hall != seen.hall
        )
        if elsewhere:
            return f"{_few(elsewhere)} of another hall missing already"
    total, stays = sum(s.capacity for s in fleet.values()), _stays(name, fleet, missing)
    if stays < limits.least * total - 1e-9:
        return f"without {name} {stays / total:.0%} of the capacity would be left, {limits.least:.0%} must stay"
    return ""


def _stays(name: str, fleet: Fleet, missing: Mapping[str, float]) -> float:
    return sum(s.capacity * (1 - missing.get(n, 0.0)) for n, s in fleet.items() if n != name)


def too_full(name: str, fleet: Fleet, missing: Mapping[str, float], away: float = 0.0) -> str:
    """Empty where all clients go into what stays without it. Asked before it leaves, not when its clients have left:
    then it would come back for a figure that is a little higher, and they would have gone for nothing."""
    load, stays = away + sum(s.load for s in fleet.values()), _stays(name, fleet, missing)
    if load <= ROOM * stays:
        return ""
    return f"without {name} the clients would fill {load / max(stays, 1e-9):.0%} of what is left"


def no_room(name: str, order: Order, fleet: Fleet, away: float = 0.0) -> str:
    """Empty where its clients find room with those that are left for good: machines whose turn is over, or never comes.
    Else they are moved twice. The first few have to go all the same, and one where waiting changes nothing. Seen: six
    of 40 at once from the beginning moved 1.15 times a client, as the clients of the first six had nowhere else to
    go."""
    stages = [m.stage for m in order.machines.values()]
    begun = sum(stage not in (Stage.WAITING, Stage.CLAIMED, Stage.DROPPED) for stage in stages)
    none_back = begun == sum(stage in ON_THE_WAY for stage in stages)
    nothing_moves = not any(stage in ON_THE_WAY - {Stage.HELD} | {Stage.COLD} for stage in stages)
    if nothing_moves or (none_back and begun < FIRST * len(order.names)):
        return ""
    leaving = [n for n, m in order.machines.items() if m.stage is Stage.LEAVING and n in fleet]
    if away + sum(fleet[n].load for n in {*leaving, name}) <= room_to_stay(order, fleet):
        return ""
    return f"no room yet for the clients of {name} where they may stay"


def is_full(order: Order, fleet: Fleet, away: float) -> bool:
    """Whether machines whose turn is still to come have to take some of the clients that come now."""
    if not any(m.stage in (Stage.WAITING, Stage.CLAIMED) for m in order.machines.values()):
        return False
    leaving = sum(fleet[n].load for n, m in order.machines.items() if m.stage is Stage.LEAVING and n in fleet)
    return room_to_stay(order, fleet, now=True) < away + leaving / 2


def room_to_stay(order: Order, fleet: Fleet, now: bool = False) -> float:
    """For clients, with machines whose turn is over or never comes."""
    still_to_go = ON_THE_WAY - {Stage.BACK} | {Stage.WAITING, Stage.CLAIMED}
    return sum(
        seen.room(now)
        for n, seen in fleet.items()
        if seen.up and not seen.by_hand and (n not in order.machines or order.machines[n].stage not in still_to_go)
    )


def to_claim(order: Order) -> tuple[int, list[str]]:
    """How far ahead turns are to be announced by now, and who is thereby claimed."""
    if order.status is not Status.RUNNING:
        return order.ahead, []
    begun = [m.rank for m in order.machines.values() if m.stage not in (Stage.WAITING, Stage.CLAIMED)]
    waiting = [m for m in _by_rank(order) if m.stage in (Stage.WAITING, Stage.CLAIMED)]
    reach = waiting[: AHEAD * order.limits.most_out]
    ahead = max([order.ahead, *(rank + 1 for rank in begun), *(m.rank + 1 for m in reach)])
    return ahead, [m.name for m in _by_rank(order) if m.stage is Stage.WAITING and m.rank < ahead]


def _by_rank(order: Order) -> Iterable[Machine]:
    return sorted(order.machines.values(), key=lambda m: m.rank)


def _few(names: Iterable[str]) -> str:
    told = sorted(names)
    return ", ".join(told[:3]) + (f" and {len(told) - 3} more" if len(told) > 3 else "")
