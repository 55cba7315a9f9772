"""Decides which machine leaves next, or why none may. Pure functions of the plan and of the fleet as it is seen."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bramblestile.work.plan import BALANCER_PREFIX, PlanError, PlanRequest
from bramblestile.work.plan_state import FINAL_STAGES, IN_PROGRESS_STAGES, Machine, PlanState, Stage, Status
from vanegw.rules import FULL_LOAD

ANNOUNCE_FACTOR = 2  # machines announced beyond those that have begun, as a multiple of ``max_out``
FALLBACK_SHARE = 0.05  # of the fleet's machines, if the plan covers all of them
WARM_THRESHOLD = 0.9  # share of its capacity from which on a machine is no longer cold
MAX_NAMES_BYTES = 700  # all machine names in one reply to a balancer
# Share of the machines that may leave although their clients find no lasting place: the clients of the first machines
# can only go to machines whose turn is still to come, and are moved a second time.
EARLY_SHARE = 0.08
# Highest load of the remaining capacity after a machine has left. At FULL_LOAD the balancers place nothing and refuse
# clients; with 0.85 they refused 28 to 99 of 360 clients.
MAX_UTILISATION = FULL_LOAD - 0.02


@dataclass(slots=True, frozen=True)
class MachineView:
    """A machine as the leader sees it. A balancer counts as a machine of capacity 1.

    Attributes:
        hall: The hall that it stands in.
        capacity: Its capacity when warm.
        warmth: The share of its capacity that it has now.
        up: Whether it is listed as in service and is not failing.
        suspended: Whether an operator has suspended it.
        load: Demand of its connections, in the unit of ``capacity``.
        expected_warmth: Its warmth by the time that the clients of a machine that leaves now arrive; None: unchanged.
        is_voter: Whether it is a balancer that votes on the replicated state.
        is_leader: Whether it is the balancer that leads.
    """

    hall: str = ""
    capacity: float = 1.0
    warmth: float = 1.0
    up: bool = True
    suspended: bool = False
    load: float = 0.0
    expected_warmth: float | None = None
    is_voter: bool = False
    is_leader: bool = False

    def headroom(self, immediate: bool = False) -> float:
        """Return the capacity left for clients by the time that those of a machine that leaves now arrive.

        With ``immediate``, return what is left now.
        """
        warmth = self.warmth if immediate or self.expected_warmth is None else self.expected_warmth
        return max(0.0, MAX_UTILISATION * self.capacity * warmth - self.load)


Fleet = Mapping[str, MachineView]


@dataclass(slots=True, frozen=True)
class Choice:
    """The machine that may leave now; ``name`` is None if none may, and ``block_reason`` says why."""

    name: str | None
    block_reason: str = ""


def order_machines(request: PlanRequest, fleet: Fleet) -> tuple[tuple[str, ...], int]:
    """Return the order in which the machines leave, and how many of the last ones are the fallback.

    The fallback (``refuge`` in the API) is defined at ``PlanState.fallback``.

    Halls follow one another, the one with the least load first, and so do the machines of a hall: the clients of the
    first machines can only go to machines whose turn is still to come, so there should be few of them. Balancers that
    vote go last, and the leader last of all.

    Raises:
        PlanError: The plan names an unknown machine or cannot keep its own limits.
    """
    total = sum(view.capacity for view in fleet.values())
    voters = sum(view.is_voter for view in fleet.values())
    for name in request.machines:
        if name not in fleet and request.targets_balancers:
            raise PlanError(f"balancers: {name.removeprefix(BALANCER_PREFIX)}: no balancer of this name takes part")
        if name not in fleet:
            raise PlanError(f"machines: {name}: no image server of this name is listed")
        if fleet[name].is_voter and voters < 3:
            raise PlanError(
                f"balancers: {name.removeprefix(BALANCER_PREFIX)} is a voter, and without it there is no majority"
            )
        remaining = total - fleet[name].capacity
        if remaining < request.limits.min_capacity * total - 1e-9:
            raise PlanError(
                f"least_capacity: without {name} there is {remaining / total:.0%} left, and "
                f"{request.limits.min_capacity:.0%} must stay"
            )
    hall_load: dict[str, float] = {}
    for name in request.machines:
        hall_load[fleet[name].hall] = hall_load.get(fleet[name].hall, 0.0) + fleet[name].load
    names = tuple(
        sorted(
            request.machines,
            key=lambda n: (
                fleet[n].is_leader,
                fleet[n].is_voter,
                hall_load[fleet[n].hall],
                fleet[n].hall,
                fleet[n].load,
                fleet[n].capacity,
                n,
            ),
        )
    )
    unaffected = len(fleet) - len(names)
    fallback_count = (
        0
        if request.targets_balancers
        else min(len(names), max(0, max(1, round(FALLBACK_SHARE * len(fleet))) - unaffected))
    )
    name_sizes = sorted((len(name.encode()) for name in names), reverse=True)
    sent_count = (ANNOUNCE_FACTOR + 1) * request.limits.max_out + fallback_count
    if sum(name_sizes[:sent_count]) + 3 * sent_count > MAX_NAMES_BYTES:
        raise PlanError(f"most_out: the names of {sent_count} machines do not fit in one datagram")
    return names, fallback_count


def missing_capacity(plan: PlanState, fleet: Fleet) -> dict[str, float]:
    """Return the machines that are not fully available, each with the share of its capacity that is missing.

    These are machines in progress, cold, failing, suspended by an operator, or no longer listed.
    """
    missing = {}
    for name, view in fleet.items():
        machine = plan.machines.get(name)
        in_progress = machine is not None and plan.is_active and machine.stage in IN_PROGRESS_STAGES
        if in_progress or not view.up or view.suspended:
            missing[name] = 1.0
        elif view.warmth < WARM_THRESHOLD:
            missing[name] = 1 - view.warmth
    for machine in plan.machines.values():
        if plan.is_active and machine.name not in fleet and machine.stage not in FINAL_STAGES:
            missing[machine.name] = 1.0  # no longer listed
    return missing


def choose_next(plan: PlanState, fleet: Fleet, displaced_load: float = 0.0) -> Choice:
    """Choose the next machine to leave from those whose turn has been announced.

    ``displaced_load`` is the load of clients that were sent away or cut off and have not reconnected yet: no machine
    carries it now, but some machine will.
    """
    if plan.status is not Status.RUNNING:
        return Choice(None, f"the plan is {plan.status}")
    candidates = [m for m in _by_rank(plan) if m.stage is Stage.CLAIMED]
    if not candidates:
        return Choice(None, "no machine is left whose turn has been announced")
    missing = missing_capacity(plan, fleet)
    in_progress = [m.name for m in plan.machines.values() if m.stage in IN_PROGRESS_STAGES]
    if len(in_progress) >= plan.limits.max_out:
        return Choice(None, f"{', '.join(sorted(in_progress))} in progress, at most {plan.limits.max_out} at once")
    first_reason = ""
    for machine in candidates:
        name = machine.name
        block_reason = (
            quorum_block(name, plan, fleet)
            or limit_block(name, plan, fleet, missing)
            or capacity_block(name, fleet, missing, displaced_load)
            or headroom_block(name, plan, fleet, displaced_load)
        )
        if not block_reason:
            return Choice(name)
        first_reason = first_reason or block_reason
    return Choice(None, first_reason)


def quorum_block(name: str, plan: PlanState, fleet: Fleet) -> str:
    """Return why this balancer must stay for the voters to keep a majority and a leader; empty if it may leave."""
    view = fleet.get(name)
    if view is None or not view.is_voter:
        return ""
    voters = [n for n, other in fleet.items() if other.is_voter]
    others = [
        n
        for n in voters
        if n != name and fleet[n].up and (n not in plan.machines or plan.machines[n].stage not in IN_PROGRESS_STAGES)
    ]
    if 2 * len(others) <= len(voters):
        return f"without {name} no majority of the voters would be left"
    if view.is_leader and any(m.stage in (Stage.WAITING, Stage.CLAIMED) for n, m in plan.machines.items() if n != name):
        return f"{name} leads, and goes last"
    return ""


def limit_block(name: str, plan: PlanState, fleet: Fleet, missing: Mapping[str, float]) -> str:
    """Return which of the plan's limits keeps this machine from leaving now; empty if none does."""
    limits, view = plan.limits, fleet.get(name)
    if view is None:
        return f"{name} is not listed"
    if name in missing and (not view.up or view.suspended):
        return f"{name} is {'suspended by an operator' if view.suspended else 'not in service'}"
    others = {n: share for n, share in missing.items() if n != name}
    if sum(others.values()) > limits.max_out - 1 + 1e-9:
        return f"{_abbreviated(others)} missing already, at most {limits.max_out} at once"
    if limits.single_hall:
        elsewhere = sorted(
            n
            for n, share in others.items()
            if share >= 1 - WARM_THRESHOLD and n in fleet and fleet[n].hall != view.hall
        )
        if elsewhere:
            return f"{_abbreviated(elsewhere)} of another hall missing already"
    total, remaining = sum(v.capacity for v in fleet.values()), _remaining_capacity(name, fleet, missing)
    if remaining < limits.min_capacity * total - 1e-9:
        return (
            f"without {name} {remaining / total:.0%} of the capacity would be left, {limits.min_capacity:.0%} must stay"
        )
    return ""


def _remaining_capacity(name: str, fleet: Fleet, missing: Mapping[str, float]) -> float:
    return sum(v.capacity * (1 - missing.get(n, 0.0)) for n, v in fleet.items() if n != name)


def capacity_block(name: str, fleet: Fleet, missing: Mapping[str, float], displaced_load: float = 0.0) -> str:
    """Return why the remaining machines cannot take all clients; empty if they can.

    This is checked before the machine leaves and not after its clients have been moved: a load that rose slightly in
    between would bring the machine back, and its clients would have been moved for nothing.
    """
    load, remaining = displaced_load + sum(v.load for v in fleet.values()), _remaining_capacity(name, fleet, missing)
    if load <= MAX_UTILISATION * remaining:
        return ""
    return f"without {name} the clients would fill {load / max(remaining, 1e-9):.0%} of what is left"


def headroom_block(name: str, plan: PlanState, fleet: Fleet, displaced_load: float = 0.0) -> str:
    """Return why this machine's clients find no lasting place; empty if they do, or if the machine leaves regardless.

    A lasting place is a machine whose turn is over or never comes; clients moved elsewhere are moved twice. Without
    this wait, six of 40 machines left at once from the start, and each client was moved 1.15 times on average.

    The first few machines (``EARLY_SHARE``) leave regardless, as there may be no lasting place yet. So does any machine
    while no other is leaving, out, coming back or cold, as waiting would then free no capacity.
    """
    stages = [m.stage for m in plan.machines.values()]
    begun = sum(stage not in (Stage.WAITING, Stage.CLAIMED, Stage.DROPPED) for stage in stages)
    none_back = begun == sum(stage in IN_PROGRESS_STAGES for stage in stages)
    # A held machine waits for an operator, so it may free no capacity; a cold one gains capacity as it warms.
    nothing_moves = not any(stage in IN_PROGRESS_STAGES - {Stage.HELD} | {Stage.COLD} for stage in stages)
    if nothing_moves or (none_back and begun < EARLY_SHARE * len(plan.names)):
        return ""
    leaving = [n for n, m in plan.machines.items() if m.stage is Stage.LEAVING and n in fleet]
    if displaced_load + sum(fleet[n].load for n in {*leaving, name}) <= lasting_headroom(plan, fleet):
        return ""
    return f"no room yet for the clients of {name} where they may stay"


def needs_spill(plan: PlanState, fleet: Fleet, displaced_load: float) -> bool:
    """Return whether machines whose turn is still to come must take some of the clients that arrive now."""
    if not any(m.stage in (Stage.WAITING, Stage.CLAIMED) for m in plan.machines.values()):
        return False
    leaving = sum(fleet[n].load for n, m in plan.machines.items() if m.stage is Stage.LEAVING and n in fleet)
    return lasting_headroom(plan, fleet, immediate=True) < displaced_load + leaving / 2


def lasting_headroom(plan: PlanState, fleet: Fleet, immediate: bool = False) -> float:
    """Return the capacity left for clients on machines whose turn is over or never comes."""
    still_to_go = IN_PROGRESS_STAGES - {Stage.BACK} | {Stage.WAITING, Stage.CLAIMED}
    return sum(
        view.headroom(immediate)
        for n, view in fleet.items()
        if view.up and not view.suspended and (n not in plan.machines or plan.machines[n].stage not in still_to_go)
    )


def next_announcement(plan: PlanState) -> tuple[int, list[str]]:
    """Return how many machines should be announced by now, and those among them that are still waiting."""
    if plan.status is not Status.RUNNING:
        return plan.announced_count, []
    begun = [m.rank for m in plan.machines.values() if m.stage not in (Stage.WAITING, Stage.CLAIMED)]
    waiting = [m for m in _by_rank(plan) if m.stage in (Stage.WAITING, Stage.CLAIMED)]
    upcoming = waiting[: ANNOUNCE_FACTOR * plan.limits.max_out]
    announced_count = max([plan.announced_count, *(rank + 1 for rank in begun), *(m.rank + 1 for m in upcoming)])
    return announced_count, [m.name for m in _by_rank(plan) if m.stage is Stage.WAITING and m.rank < announced_count]


def _by_rank(plan: PlanState) -> Iterable[Machine]:
    return sorted(plan.machines.values(), key=lambda m: m.rank)


def _abbreviated(names: Iterable[str]) -> str:
    ordered = sorted(names)
    return ", ".join(ordered[:3]) + (f" and {len(ordered) - 3} more" if len(ordered) > 3 else "")
