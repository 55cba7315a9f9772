"""The leader's side of maintenance: which balancers still send to a machine, and each machine's next step. No I/O.

The scheduler acts only while its process leads the store and has applied everything that earlier leaders committed. It
proposes one step at a time and looks again once that step is committed. What it knows of the balancers is not
replicated: each leader collects it anew from the polls, within the length of a lease.

A machine counts as unused by a balancer of the roster on one of these conditions only:

- The balancer has confirmed it: it acts by a version in which the machine leaves, and no request to the machine is
  still being written.
- The balancer has left the fleet, or an operator has removed it from the roster.
- The balancer was not heard for longer than a lease and knew that the machine's turn may come: its own poll said so, or
  the replicated ``acknowledged_count`` says that all balancers know it. After its lease it sends nothing there
  (``Participant``, state ``cut off``).
- The balancer was not heard for longer than a lease and ``SILENCE_TIMEOUT``, has adopted this plan, and the machine is
  not in the fallback.

Two clocks may drift apart by ``MAX_CLOCK_DRIFT``; their offsets do not matter. A lease ends at most
``LEASE_DURATION * (1 + MAX_CLOCK_DRIFT)`` after it was requested. Leases of an earlier leader were requested before its
leadership ended, which is before this one began.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from bramblestile.clock import MICROSECOND
from bramblestile.store.replica import MAX_CLOCK_DRIFT
from bramblestile.work import plan_state
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.participant import LEASE_DURATION, MILLISECOND, POLL_INTERVAL, SILENCE_TIMEOUT
from bramblestile.work.plan import BALANCER_PREFIX
from bramblestile.work.plan_state import (
    EXCLUDED_STAGES,
    FINAL_STAGES,
    IN_PROGRESS_STAGES,
    NAMES_PER_PAGE,
    Machine,
    PlanState,
    Stage,
    Status,
)
from bramblestile.work.planner import (
    WARM_THRESHOLD,
    Fleet,
    choose_next,
    limit_block,
    missing_capacity,
    needs_spill,
    next_announcement,
)

LEASE_EXPIRED_AFTER = LEASE_DURATION * (1 + 2 * MAX_CLOCK_DRIFT)  # since the last reply to a balancer
SILENT_AFTER = (LEASE_DURATION + SILENCE_TIMEOUT) * (1 + 2 * MAX_CLOCK_DRIFT)  # since the last reply to a balancer
DRAIN_TIMEOUT = timedelta(seconds=10)  # after this a machine leaves with the connections that are still open
RETURN_TIMEOUT = timedelta(seconds=120)  # from the end of the work until the machine is in service
MAX_POLLS_PER_S = 400  # of all balancers together: some 40 ms of the leader's processor time
MIN_POLL_INTERVAL = timedelta(milliseconds=200)
RECONNECT_WINDOW = timedelta(seconds=4)  # longer than a client's longest pause before it reconnects
LOAD_SAMPLE_INTERVAL = RECONNECT_WINDOW / 20
# Of all machines before the first one leaves; a new leader of a plan that has begun waits RECONNECT_WINDOW instead.
INITIAL_OBSERVATION = timedelta(seconds=1)
Proposal = tuple[str, str]


@dataclass(slots=True)
class LastPoll:
    """The last poll of one balancer in this leadership. The fields are those of ``Poll``.

    ``answered_at`` is when the leader replied to it.
    """

    answered_at: timedelta
    epoch: int
    applied_version: int = 0
    plan_id: str = ""
    announced_count: int = 0
    quiesced: frozenset[str] = frozenset()
    connections: dict[str, int] = field(default_factory=dict)
    ready: bool = True


@dataclass(slots=True)
class Scheduler:
    """The leader's view of the plan's progress.

    Attributes:
        name: This balancer's name.
        term: The term in which it leads.
        leading_since: Start of this leadership.
        last_polls: The last poll of each balancer.
        stage_changes: The stage of each machine, the version in which this leader first saw it, and when.
        departed: Balancers that have left the fleet.
        nonparticipants: Live members that are not in the roster; no lease keeps them from sending to a machine.
        finished: Machines whose work is done, by the command or by an operator.
        pending_roster: Balancers whose roster entry is to change, with the plan id to record.
        failures: Machines whose work has failed, and why.
        block_reason: Why no machine may leave now.
        spill: Whether machines still to come must take new clients.
        should_step_down: Whether it is this balancer's own turn, so that another voter has to lead.
        observation: Id of the observed plan, and the time from which on the state of its machines is known.
        load_history: Load of the whole fleet during the last ``RECONNECT_WINDOW``.
        announcement: Number of announced machines, and since when this leader knows of it.
    """

    name: str
    term: int = 0
    leading_since: timedelta = timedelta(0)
    last_polls: dict[str, LastPoll] = field(default_factory=dict)
    stage_changes: dict[str, tuple[Stage, int, timedelta]] = field(default_factory=dict)
    departed: set[str] = field(default_factory=set)
    nonparticipants: set[str] = field(default_factory=set)
    finished: set[str] = field(default_factory=set)
    pending_roster: dict[str, str] = field(default_factory=dict)
    failures: dict[str, str] = field(default_factory=dict)
    block_reason: str = ""
    spill: bool = False
    should_step_down: bool = False
    observation: tuple[str, timedelta] = ("", timedelta(0))
    load_history: deque[tuple[timedelta, float]] = field(default_factory=deque)
    announcement: tuple[int, timedelta] = (-1, timedelta(0))

    def begin_term(self, term: int, now: timedelta) -> None:
        """Start over in a new term: what was heard in an earlier leadership does not count."""
        if term != self.term:
            self.term, self.leading_since = term, now
            self.last_polls, self.stage_changes, self.finished, self.failures = {}, {}, set(), {}
            self.announcement, self.pending_roster = (-1, now), {}
            self.load_history.clear()
            self.observation = "", now

    def apply(self, plan: PlanState, version: int, now: timedelta) -> None:
        """Record what is committed by now, and the version from which on this leader knows it."""
        for machine in plan.machines.values():
            recorded = self.stage_changes.get(machine.name)
            if recorded is None or recorded[0] is not machine.stage:
                self.stage_changes[machine.name] = machine.stage, version, now
        if plan.id != self.observation[0]:
            begun = any(m.stage not in (Stage.WAITING, Stage.CLAIMED) for m in plan.machines.values())
            self.observation = plan.id, now + (RECONNECT_WINDOW if begun else INITIAL_OBSERVATION)
        if plan.announced_count != self.announcement[0]:
            self.announcement = plan.announced_count, now
        for name in [n for n in self.stage_changes if n not in plan.machines]:
            del self.stage_changes[name]

    # Balancers.

    def handle_poll(self, poll: Poll, plan: PlanState, version: int, now: timedelta) -> tuple[Reply, Proposal | None]:
        """Return the reply, and the roster entry to commit if the roster does not have this balancer or its plan yet.

        A balancer that is not in the roster gets no lease, as the next leader would not know of it.
        """
        self.departed.discard(poll.name)
        in_roster = poll.name in plan.roster
        if in_roster:
            # Versions are indexes of the replicated log, so it does not matter which leader sent them.
            self.last_polls[poll.name] = LastPoll(
                now,
                poll.epoch,
                poll.applied_version,
                poll.plan_id,
                poll.announced_count if poll.plan_id == plan.id else 0,
                frozenset(poll.quiesced),
                dict(poll.connections),
                poll.ready,
            )
        active = plan.is_active
        names_held = poll.names_held if poll.plan_id == plan.id else 0
        reply = Reply(
            self.name,
            poll.epoch,
            self.term,
            version,
            poll.sent_at_us,
            LEASE_DURATION // MILLISECOND if in_roster else 0,
            plan.id if active else "",
            plan.status,
            plan.announced_count,
            len(plan.names) if active else 0,
            {n: str(s) for n, s in plan.excluded().items()},
            tuple(plan.announced()),
            tuple(m.name for m in plan.machines.values() if m.stage in FINAL_STAGES)[-NAMES_PER_PAGE:]
            if active
            else (),
            plan.fallback() if active else (),
            names_held,
            plan.names[names_held : names_held + NAMES_PER_PAGE] if active else (),
            tuple(m.name for m in plan.machines.values() if m.stage in (Stage.BACK, Stage.COLD))[: 2 * NAMES_PER_PAGE],
            self._poll_interval(plan) // MILLISECOND,
            self.spill,
        )
        current_id = plan.id if active else ""
        if not in_roster or (poll.plan_id == current_id and plan.roster[poll.name] != current_id):
            self.pending_roster[poll.name] = poll.plan_id if poll.plan_id == current_id else ""
            return reply, plan_state.roster_entry(poll.name, self.pending_roster[poll.name])
        return reply, None

    def _poll_interval(self, plan: PlanState) -> timedelta:
        """Return the time between two polls: while a plan is active each step waits for the slowest poll.

        The leader has to answer all of them, so their rate has a limit.
        """
        if not plan.is_active:
            return POLL_INTERVAL
        return min(POLL_INTERVAL, max(MIN_POLL_INTERVAL, timedelta(seconds=1) * len(plan.roster) / MAX_POLLS_PER_S))

    def roster_updates(self, plan: PlanState) -> list[Proposal]:
        """Return the roster entries that polls have asked for and that are not committed yet; they precede any step.

        They are proposed again until they are committed. When they were proposed only on a poll that met no other
        proposal in flight, a leader that was cut off before its own adoption of the plan was committed made its
        successor wait for it forever.
        """
        self.pending_roster = {
            n: plan_id
            for n, plan_id in self.pending_roster.items()
            if plan.roster.get(n) != plan_id and plan_id in ("", plan.id)
        }
        return [plan_state.roster_entry(name, plan_id) for name, plan_id in self.pending_roster.items()]

    def unconfirmed(self, machine: Machine, plan: PlanState, now: timedelta) -> dict[str, str]:
        """Return the balancers that may still send to a machine, each with the reason.

        For a balancer's own turn this is the balancer itself until it has confirmed that it sends its clients away: no
        other process can do that for it, and its silence proves nothing.
        """
        found = {}
        if machine.name.startswith(BALANCER_PREFIX):
            name, last_poll = machine.name.removeprefix(BALANCER_PREFIX), self._confirming_poll(machine, plan)
            if (
                name in plan.roster
                and name not in self.departed
                and (last_poll is None or machine.name not in last_poll.quiesced)
            ):
                found[name] = "has not confirmed"
            return found
        found.update(dict.fromkeys(self.nonparticipants.difference(plan.bystanders), "takes no part in maintenance"))
        for name, plan_id in plan.roster.items():
            reason = self._unconfirmed_reason(name, plan_id, machine, plan, now)
            if reason:
                found[name] = reason
        return found

    def _unconfirmed_reason(self, name: str, plan_id: str, machine: Machine, plan: PlanState, now: timedelta) -> str:
        """Return why a balancer may still send to a machine, or an empty string if it surely sends nothing there.

        It sends nothing there if its last poll confirmed that, if it has left the fleet, or if its lease expired so
        long ago that it refuses the machine by itself: see ``Participant.lease_state`` for the states ``cut off`` and
        ``silent``, and ``Participant.allows`` for the machines that each refuses. ``plan_id`` is the plan that the
        balancer has adopted according to the roster.
        """
        if name in self.departed:
            return ""
        last_poll, (_, version, _) = self.last_polls.get(name), self.stage_changes[machine.name]
        if last_poll is not None and last_poll.plan_id == plan.id and last_poll.applied_version >= version:
            if machine.name in last_poll.quiesced:
                return ""
            if now - last_poll.answered_at <= LEASE_EXPIRED_AFTER:
                return "is still sending there"
            return ""  # it sends nothing new there, and what it was sending has met its deadline within the lease
        silence = now - max(self.leading_since, last_poll.answered_at if last_poll is not None else self.leading_since)
        if silence <= LEASE_EXPIRED_AFTER:
            return "has not confirmed"
        # From here on the balancer's lease has expired: it is cut off, or silent.
        # A silent balancer may send to the fallback, even to a machine that it refused as announced while cut off. So
        # this check precedes the one of the announcement.
        if machine.name in plan.fallback():
            return f"not heard for {silence.total_seconds():.0f} s, and this machine is in its fallback"
        known_count = last_poll.announced_count if last_poll is not None and last_poll.plan_id == plan.id else 0
        # Ranks below the count are announced. A balancer that knows of the announcement refuses the machine while it is
        # cut off and while it is silent.
        if machine.rank < max(known_count, plan.acknowledged_count if plan_id == plan.id else 0):
            return ""
        if plan_id != plan.id:
            return f"not heard for {silence.total_seconds():.0f} s, and does not know of this plan"
        # It may not know the announcement: it refuses the machine only once it is silent.
        return "" if silence > SILENT_AFTER else f"not heard for {silence.total_seconds():.0f} s"

    def _confirming_poll(self, machine: Machine, plan: PlanState) -> LastPoll | None:
        """Return the last poll of a balancer that is a machine, if it was sent in knowledge of the machine's stage."""
        last_poll = self.last_polls.get(machine.name.removeprefix(BALANCER_PREFIX))
        confirmed = (
            last_poll is not None
            and last_poll.plan_id == plan.id
            and last_poll.applied_version >= self.stage_changes[machine.name][1]
        )
        return last_poll if confirmed else None

    def is_serving(self, balancer: str, now: timedelta) -> bool:
        """Return whether a balancer polled within the length of a lease and was ready."""
        last_poll = self.last_polls.get(balancer)
        return last_poll is not None and now - last_poll.answered_at <= LEASE_EXPIRED_AFTER and last_poll.ready

    def connections(self, machine: str) -> int:
        """Return the number of open connections of all balancers to a machine."""
        return sum(last_poll.connections.get(machine, 0) for last_poll in self.last_polls.values())

    # Steps.

    def next_step(self, plan: PlanState, fleet: Fleet, now: timedelta) -> Proposal | None:
        """Return the next entry to commit, or None; to be called again once that entry is applied."""
        self.should_step_down = False
        if not plan.is_active:
            return None
        displaced_load = self._displaced_load(fleet, now)
        for machine in sorted(plan.machines.values(), key=lambda m: m.rank):
            found = self._advance(machine, plan, fleet, now)
            if found is not None:
                stage, block_reason = found
                assert stage in plan_state.TRANSITIONS[machine.stage], f"{machine.name}: {machine.stage} to {stage}"
                return plan_state.machine_entry(plan.id, machine.name, stage, block_reason, now // MICROSECOND)
        if all(m.stage in FINAL_STAGES for m in plan.machines.values()):
            return plan_state.status_entry(plan.id, Status.ENDED)
        acknowledged_count = self._known_to_all(plan)
        if acknowledged_count > plan.acknowledged_count:
            return plan_state.acknowledged_entry(plan.id, acknowledged_count)
        announced_count, claimed = next_announcement(plan)
        if announced_count != plan.announced_count:
            # Precedes the claims: a claimed machine has always been announced.
            return plan_state.announced_entry(plan.id, announced_count)
        if claimed:
            return plan_state.machine_entry(plan.id, claimed[0], Stage.CLAIMED, "", now // MICROSECOND)
        self.spill = needs_spill(plan, fleet, displaced_load)
        choice = choose_next(plan, fleet, displaced_load)
        self.block_reason = choice.block_reason
        if choice.name is None:
            return None
        nonparticipants = sorted(self.nonparticipants.difference(plan.bystanders))
        if nonparticipants and not plan.targets_balancers:
            self.block_reason = f"{', '.join(nonparticipants[:3])} of the fleet take no part in maintenance"
            return None
        if now < self.observation[1]:
            self.block_reason = "the state of the machines is being observed"
            return None
        missing_adoption = any(plan_id != plan.id for name, plan_id in plan.roster.items() if name not in self.departed)
        if (missing_adoption or plan.machines[choice.name].rank >= plan.acknowledged_count) and now - self.announcement[
            1
        ] <= LEASE_EXPIRED_AFTER:
            # Without this delay the next leader might have to wait until the balancers count as silent.
            self.block_reason = f"the turn of {choice.name} is being announced"
            return None
        if choice.name == BALANCER_PREFIX + self.name:
            self.should_step_down = True  # the next leader takes this balancer out
            return None
        return plan_state.machine_entry(plan.id, choice.name, Stage.LEAVING, "", now // MICROSECOND)

    def _displaced_load(self, fleet: Fleet, now: timedelta) -> float:
        """Return the load of clients that no machine serves now and that will reconnect.

        This is the fleet's highest recent load above the present one. Without it, room that these clients need would
        be promised to the clients of the next machine.
        """
        load = sum(view.load for view in fleet.values())
        while self.load_history and now - self.load_history[0][0] > RECONNECT_WINDOW:
            self.load_history.popleft()
        if not self.load_history or now - self.load_history[-1][0] >= LOAD_SAMPLE_INTERVAL:
            self.load_history.append((now, load))
        return max(0.0, max(sample for _, sample in self.load_history) - load)

    def _known_to_all(self, plan: PlanState) -> int:
        """Return the number of announced machines that every balancer of the roster knows of.

        A balancer that adopts the plan later knows at least as many, as the announced number only grows.
        """
        counts = []
        for name in plan.roster:
            last_poll = self.last_polls.get(name)
            if name not in self.departed:
                counts.append(
                    last_poll.announced_count if last_poll is not None and last_poll.plan_id == plan.id else 0
                )
        return min(counts, default=0)

    def _advance(self, machine: Machine, plan: PlanState, fleet: Fleet, now: timedelta) -> tuple[Stage, str] | None:
        """Return the machine's next stage, and why it is held or dropped; None if the stage does not change."""
        since, view = self.stage_changes[machine.name][2], fleet.get(machine.name)
        aborted = plan.status is Status.ABORTED
        match machine.stage:
            case Stage.WAITING | Stage.CLAIMED if aborted:
                return Stage.DROPPED, "aborted"
            case Stage.LEAVING if aborted:
                return Stage.DROPPED, "aborted"
            case Stage.LEAVING:
                return self._advance_leaving(machine, plan, fleet, now - since, now)
            case Stage.EMPTY:
                return (Stage.DROPPED, "aborted") if aborted else (Stage.OUT, "")
            case Stage.OUT:
                if machine.name in self.failures:
                    return Stage.HELD, self.failures.pop(machine.name)
                if machine.name in self.finished:
                    return Stage.BACK, ""
                timed_out = now - since > plan.limits.time_limit
                return (Stage.HELD, f"its work took over {plan.limits.time_limit}") if timed_out else None
            case Stage.BACK:
                if (
                    view is not None
                    and view.up
                    and (not plan.targets_balancers or self._confirming_poll(machine, plan))
                ):
                    return Stage.COLD, ""
                return (Stage.HELD, "not back in service") if now - since > RETURN_TIMEOUT else None
            case Stage.COLD if view is not None and view.up and view.warmth >= WARM_THRESHOLD:
                return Stage.DONE, ""
            case Stage.HELD if machine.name in self.finished:
                return Stage.BACK, ""
        return None

    def _advance_leaving(
        self, machine: Machine, plan: PlanState, fleet: Fleet, duration: timedelta, now: timedelta
    ) -> tuple[Stage, str] | None:
        if not self.unconfirmed(machine, plan, now) and (
            not self.connections(machine.name) or duration > DRAIN_TIMEOUT
        ):
            # Machines that have failed meanwhile count too: if the limits no longer hold, this one serves again until
            # they do.
            others = {n: share for n, share in missing_capacity(plan, fleet).items() if n != machine.name}
            return (Stage.CLAIMED, "") if limit_block(machine.name, plan, fleet, others) else (Stage.EMPTY, "")
        return (Stage.HELD, "some balancers have not confirmed") if duration > plan.limits.time_limit else None

    # For operators.

    def progress(self, plan: PlanState, now: timedelta) -> dict[str, object]:
        """Return the progress of the plan for the management API."""
        waits_for = {m.name: self.unconfirmed(m, plan, now) for m in plan.machines.values() if m.stage is Stage.LEAVING}
        return {
            "plan": plan.id,
            "status": str(plan.status),
            "reason": plan.reason,
            "why_none": self.block_reason,
            "machines": [
                {
                    "name": m.name,
                    "stage": str(m.stage),
                    "why": m.block_reason,
                    "standing": self.connections(m.name) if m.stage in EXCLUDED_STAGES else 0,
                    "waits_for": waits_for.get(m.name, {}),
                }
                for m in sorted(plan.machines.values(), key=lambda m: m.rank)
            ],
            "on_the_way": sum(m.stage in IN_PROGRESS_STAGES for m in plan.machines.values()),
        }
