"""Which machine next, or none and why. No I/O, no time: the fleet as it is seen goes in, a choice comes out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bramblestile.work.order import ON_THE_WAY, OVER, Machine, Order, Stage, Status
from bramblestile.work.plan import Asked, PlanError

AHEAD = 2  # times ``most_out`` machines are announced beyond those that have begun
SHARE_OF_TAIL = 0.05  # of the machines of a plan that covers the whole fleet: the refuge of those that are cut off
WARM = 0.9  # of its capacity: from there on a machine is no longer cold
ROOM_FOR_NAMES = 700  # bytes, in one answer to a balancer
FIRST = 0.05  # of a plan's machines go before there is any room with those whose turn is over
ROOM = 0.85  # of the capacity that stays: the clients' present load must go into it


@dataclass(slots=True, frozen=True)
class Seen:
    """A machine as the leader sees it. ``up``: in service by the list, and not failing by itself; ``by_hand``: an
    operator has taken it out; ``load``: what its connections ask, in the measure of ``capacity``."""

    hall: str = ""
    capacity: float = 1.0
    warmth: float = 1.0
    up: bool = True
    by_hand: bool = False
    load: float = 0.0


Fleet = Mapping[str, Seen]


@dataclass(slots=True, frozen=True)
class Choice:
    """``name`` None: none now, and ``why``."""

    name: str | None
    why: str = ""


def settle(asked: Asked, fleet: Fleet) -> tuple[tuple[str, ...], int]:
    """The order, and how many of its end are the refuge. PlanError where the plan cannot keep its own limits.

    One hall after the other, the hall with the least load first, and in it the smallest machines first: the clients of
    the first ones have nowhere to go but to machines whose turn is still to come, so these should be few."""
    total = sum(seen.capacity for seen in fleet.values())
    for name in asked.machines:
        if name not in fleet:
            raise PlanError(f"machines: {name}: no image server of this name is listed")
        stays = total - fleet[name].capacity
        if stays < asked.limits.least * total - 1e-9:
            raise PlanError(f"least_capacity: without {name} there is {stays / total:.0%} left, and "
                            f"{asked.limits.least:.0%} must stay")
    of_hall: dict[str, float] = {}
    for name in asked.machines:
        of_hall[fleet[name].hall] = of_hall.get(fleet[name].hall, 0.0) + fleet[name].load
    names = tuple(sorted(asked.machines, key=lambda n: (of_hall[fleet[n].hall], fleet[n].hall, fleet[n].capacity, n)))
    outside = len(fleet) - len(names)
    tail = min(len(names), max(0, max(1, round(SHARE_OF_TAIL * len(fleet))) - outside))
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


def choose(order: Order, fleet: Fleet) -> Choice:
    """Of those whose turn has been announced."""
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
        reason = why_not(machine.name, order, fleet, missing) or no_room(machine.name, order, fleet)
        if not reason:
            return Choice(machine.name)
        why = why or reason
    return Choice(None, why)


def why_not(name: str, order: Order, fleet: Fleet, missing: Mapping[str, float]) -> str:
    """Empty where it may leave now."""
    limits, seen = order.limits, fleet.get(name)
    if seen is None:
        return f"{name} is not listed"
    if name in missing and (not seen.up or seen.by_hand):
        return f"{name} is {'out by hand' if seen.by_hand else 'failing by itself'}"
    others = {n: part for n, part in missing.items() if n != name}
    if sum(others.values()) > limits.most_out - 1 + 1e-9:
        return f"{_few(others)} missing already, {limits.most_out} at once"
    if limits.apart:
        elsewhere = sorted(n for n, part in others.items() if part >= 1 - WARM and n in fleet
                           and fleet[n].hall != seen.hall)
        if elsewhere:
            return f"{_few(elsewhere)} of another hall missing already"
    total = sum(s.capacity for s in fleet.values())
    stays = sum(s.capacity * (1 - others.get(n, 0.0)) for n, s in fleet.items() if n != name)
    if stays < limits.least * total - 1e-9:
        return f"without {name} {stays / total:.0%} of the capacity would be left, {limits.least:.0%} must stay"
    load = sum(s.load for s in fleet.values())
    if load > ROOM * stays:
        return f"without {name} the clients would fill {load / max(stays, 1e-9):.0%} of what is left"
    return ""


def no_room(name: str, order: Order, fleet: Fleet) -> str:
    """Empty where its clients find room with those that are left for good: machines whose turn is over, or never comes.
    Else they are moved twice. The first few have to go all the same. Seen: six of 40 at once from the beginning moved
    1.15 times a client, as the clients of the first six had nowhere else to go."""
    on_way = sum(m.stage in ON_THE_WAY for m in order.machines.values())
    if on_way < max(1, round(FIRST * len(order.names))):
        return ""
    still_to_go = ON_THE_WAY - {Stage.BACK} | {Stage.WAITING, Stage.CLAIMED}
    stay = [seen for n, seen in fleet.items()
            if seen.up and not seen.by_hand and (n not in order.machines or order.machines[n].stage not in still_to_go)]
    room = sum(max(0.0, ROOM * seen.capacity * seen.warmth - seen.load) for seen in stay)
    leaving = [n for n, m in order.machines.items() if m.stage is Stage.LEAVING and n in fleet]
    asked = sum(fleet[n].load for n in {*leaving, name})
    return "" if asked <= room else f"no room yet for the clients of {name} where they may stay"


def to_claim(order: Order) -> tuple[int, list[str]]:
    """How far ahead turns are to be announced by now, and who is thereby claimed."""
    if order.status is not Status.RUNNING:
        return order.ahead, []
    begun = [m.rank for m in order.machines.values() if m.stage not in (Stage.WAITING, Stage.CLAIMED)]
    waiting = [m for m in _by_rank(order) if m.stage in (Stage.WAITING, Stage.CLAIMED)]
    reach = waiting[:AHEAD * order.limits.most_out]
    ahead = max([order.ahead, *(rank + 1 for rank in begun), *(m.rank + 1 for m in reach)])
    return ahead, [m.name for m in _by_rank(order) if m.stage is Stage.WAITING and m.rank < ahead]


def _by_rank(order: Order) -> Iterable[Machine]:
    return sorted(order.machines.values(), key=lambda m: m.rank)


def _few(names: Iterable[str]) -> str:
    told = sorted(names)
    return ", ".join(told[:3]) + (f" and {len(told) - 3} more" if len(told) > 3 else "")
