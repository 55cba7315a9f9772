"""Maintenance without I/O: plans, the planner, and whole fleets in simulated time under faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import msgspec
import pytest
from msgspec import structs

from bramblestile.lab.maintenance_simulation import InvariantError, MaintenanceSimulation, Process
from bramblestile.store.replica import Replica
from bramblestile.work import messages, plan_state, planner
from bramblestile.work import scheduler as scheduler_module
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.participant import LEASE_DURATION, POLL_INTERVAL, SILENCE_TIMEOUT, Participant
from bramblestile.work.plan import Limits, PlanError, PlanRequest, parse
from bramblestile.work.plan_state import Machine, PlanState, Stage, Status
from bramblestile.work.planner import MachineView, choose_next, next_announcement, order_machines
from bramblestile.work.scheduler import LastPoll, Proposal, Scheduler

S = timedelta(seconds=1)
FLEET = {f"m{n}": MachineView(f"hall-{n % 2}") for n in range(8)}
PLAN_FILE = 'machines = ["m0", "m1"]\nreason = "new disks"\n'


def make_plan(limits: Limits | None = None, **stages: Stage) -> PlanState:
    """A running plan of all machines; those without a stage of their own are claimed."""
    names = tuple(FLEET)
    machines = {n: Machine(n, rank, stages.get(n, Stage.CLAIMED)) for rank, n in enumerate(names)}
    return PlanState("p1", Status.RUNNING, "test", limits or Limits(2, 0.5, False), (), names, 8, 0, 1, machines, {})


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("machines = ", "not TOML"),
        ('reason = "x"', "machines"),
        (PLAN_FILE.replace("m1", "m0"), "m0: named twice"),
        (PLAN_FILE + "most_out = 0", "most_out"),
        (PLAN_FILE + "most_out = 1.5", "most_out"),
        (PLAN_FILE + "least_capacity = 2", "least_"),
        (PLAN_FILE + "halls_apart = 1", "halls_apart"),
        (PLAN_FILE + "limit_s = 0", "limit_s"),
        (PLAN_FILE + "colour = 1", "colour"),
        (PLAN_FILE + "command = 'reboot'", "command"),
        ('machines = ["m0"]\nreason = ""', "reason"),
        (PLAN_FILE.replace("m1", "m" * 65), "machines"),
        (PLAN_FILE.replace("m1", "@b1"), "machines"),
        (PLAN_FILE + "bystanders = 1", "bystanders"),
        (PLAN_FILE + 'balancers = ["b1"]', "balancers: not in one plan"),
        ('balancers = ["a", "a"]', "balancers: a: named"),
    ],
)
def test_an_invalid_plan_file_is_refused_and_its_key_named(text: str, message: str) -> None:
    with pytest.raises(PlanError, match=message):
        parse(text)


def test_a_plan_that_cannot_keep_its_limits_is_refused_and_the_machine_named() -> None:
    request = PlanRequest(("m0", "m1"), "x", Limits(1, 0.9))
    with pytest.raises(PlanError, match=r"without m0 there is 88% left, and 90% must stay"):
        order_machines(request, FLEET)
    with pytest.raises(PlanError, match="m9: no image server"):
        order_machines(replace(request, machines=("m9",)), FLEET)
    long_names = {f"{n:064}": MachineView() for n in range(30)}
    with pytest.raises(PlanError, match="most_out"):
        order_machines(PlanRequest(tuple(long_names), "x", Limits(8, 0)), long_names)


def test_halls_follow_one_another_and_a_plan_of_the_whole_fleet_has_a_fallback() -> None:
    names, fallback_count = order_machines(
        PlanRequest(tuple(FLEET), "x", Limits(2, 0.5)), FLEET | {"m1": MachineView("hall-1", load=3.0)}
    )
    assert [FLEET[n].hall for n in names] == ["hall-0"] * 4 + ["hall-1"] * 4 and fallback_count == 1
    assert order_machines(PlanRequest(("m0", "m1"), "x", Limits()), FLEET)[1] == 0


@pytest.mark.parametrize(
    ("limits", "fleet", "stages", "block_reason"),
    [
        (Limits(2, 0.5, False), {}, {"m0": Stage.LEAVING, "m1": Stage.COLD}, None),
        (Limits(2, 0.5, False), {}, {"m0": Stage.LEAVING, "m1": Stage.OUT}, "m0, m1 in progress"),
        (Limits(2, 0.5, False), {"m6": MachineView("hall-0", up=False)}, {"m0": Stage.OUT}, "m0, m6 missing already"),
        (
            Limits(2, 0.5, False),
            {"m6": MachineView("hall-0", suspended=True)},
            {"m0": Stage.OUT},
            "m0, m6 missing already",
        ),
        (Limits(2, 0.5, False), {"z": MachineView("hall-0", warmth=0.3)}, {"m0": Stage.OUT}, "m0, z missing already"),
        (Limits(2, 0.5, False), {"z": MachineView("hall-0", warmth=0.95)}, {"m0": Stage.OUT}, None),
        (Limits(3, 0.5, True), {"m3": MachineView("hall-1", up=False)}, {"m0": Stage.OUT}, "m0 of another hall"),
        (Limits(3, 0.8, False), {}, {"m0": Stage.OUT}, "75% of the capacity would be left, 80% must stay"),
        (Limits(3, 0.5, False), {n: MachineView(load=0.85) for n in FLEET}, {}, "would fill 97%"),
        (Limits(3, 0.5, False), {"m0": MachineView("hall-0", up=False)}, {}, None),
    ],
)
def test_whether_one_more_machine_may_leave(
    limits: Limits, fleet: dict[str, MachineView], stages: dict[str, Stage], block_reason: str | None
) -> None:
    choice = choose_next(make_plan(limits, **stages), FLEET | fleet)
    assert (choice.name is not None) == (block_reason is None) and (block_reason or "") in choice.block_reason


def test_after_the_first_few_machines_clients_need_room_where_they_can_stay() -> None:
    loaded = {n: MachineView("hall-0", load=0.5) for n in FLEET}
    plan = make_plan(Limits(4, 0.2, False), m0=Stage.LEAVING)
    assert "no room yet for the clients of m1" in choose_next(plan, loaded).block_reason
    plan = make_plan(Limits(4, 0.2, False), m0=Stage.LEAVING, m1=Stage.DONE)
    assert "no room yet for the clients of m2" in choose_next(plan, loaded).block_reason
    assert choose_next(plan, loaded | {"m1": MachineView("hall-0")}).name is None
    assert choose_next(plan, loaded | {"m1": MachineView("hall-0"), "z": MachineView("hall-0", load=0.4)}).name == "m2"
    assert choose_next(make_plan(Limits(4, 0.2, False)), loaded).name == "m0"


def test_turns_are_announced_in_advance_and_lower_the_weights_of_the_machines() -> None:
    fresh = make_plan(Limits(1), **dict.fromkeys(FLEET, Stage.WAITING))
    assert next_announcement(replace(fresh, announced_count=0)) == (2, ["m0", "m1"])
    begun = make_plan(Limits(1), m0=Stage.OUT, m1=Stage.CLAIMED, **{f"m{n}": Stage.WAITING for n in range(2, 8)})
    assert next_announcement(replace(begun, announced_count=2)) == (3, ["m2"])
    assert next_announcement(replace(begun, status=Status.PAUSED, announced_count=2)) == (2, [])
    participant = Participant("b1", 7)
    participant.handle_reply(make_reply(participant, 5, S, completed=("m0",)), S)
    assert list(participant.weight_factors()) == ["m1", "m2", "m3"] and sorted(
        participant.weight_factors().values()
    ) == list(participant.weight_factors().values())
    participant.handle_reply(make_reply(participant, 6, S, status="aborted"), S)
    assert not participant.weight_factors()


def test_the_replicated_state_reads_back_and_keys_of_another_plan_are_ignored() -> None:
    request = PlanRequest(tuple(FLEET), "disks", Limits(2, 0.5, False, 60 * S), ("renew", "{}"))
    values: dict[str, str] = {}
    for number, (key, value) in enumerate(plan_state.plan_entries("p1", request, tuple(FLEET), 1, values)):
        assert not plan_state.load_state(values).is_active, number
        values[key] = value
    values.update(
        [
            plan_state.announced_entry("p1", 3),
            plan_state.acknowledged_entry("p1", 2),
            plan_state.machine_entry("p1", "m2", Stage.HELD, "why"),
            plan_state.machine_entry("p0", "m3", Stage.OUT),
            plan_state.roster_entry("b1", "p1"),
        ]
    )
    plan = plan_state.load_state(values)
    assert (plan.status, plan.names, plan.announced_count, plan.fallback_count) == (
        Status.RUNNING,
        tuple(FLEET),
        3,
        1,
    ) and plan.acknowledged_count == 2
    assert plan.limits == request.limits and plan.command == request.command and plan.roster == {"b1": "p1"}
    assert plan.machines["m2"].block_reason == "why" and plan.machines["m3"].stage is Stage.WAITING
    assert plan_state.load_state(values | dict([plan_state.status_entry("p0", Status.RUNNING)])).status is Status.NONE


def make_reply(participant: Participant, version: int, sent_at: timedelta, **changes: object) -> Reply:
    """A reply to a poll that was sent at ``sent_at``, about a plan of four machines, with a lease of 3 s."""
    base = Reply(
        "b0",
        participant.epoch,
        1,
        version,
        sent_at // timedelta(microseconds=1),
        3000,
        "p1",
        "running",
        2,
        4,
        {},
        ("m0", "m1"),
        (),
        ("m3",),
        0,
        ("m0", "m1", "m2", "m3"),
    )
    return structs.replace(base, **changes)


def allowed(participant: Participant, now: timedelta) -> str:
    return " ".join(name for name in ("m0", "m1", "m2", "m3", "x") if participant.allows(name, now))


def test_which_machines_a_balancer_sends_to_by_its_own_clock() -> None:
    participant = Participant("b1", 7)
    assert allowed(participant, S) == "m0 m1 m2 m3 x"
    participant.handle_reply(make_reply(participant, 5, S, excluded={"m0": "leaving"}), 2 * S)
    assert allowed(participant, S + LEASE_DURATION - S / 10) == "m1 m2 m3 x"
    assert allowed(participant, S + LEASE_DURATION) == "m2 m3 x"  # counted from the poll, not from the reply
    assert allowed(participant, S + LEASE_DURATION + SILENCE_TIMEOUT) == "m3 x"
    participant.handle_reply(make_reply(participant, 4, 40 * S), 40 * S)  # an older version that arrives late
    participant.handle_reply(make_reply(participant, 9, 40 * S, epoch=6, excluded={}), 40 * S)  # to an earlier process
    assert allowed(participant, 40 * S) == "m3 x"
    participant.handle_reply(make_reply(participant, 6, 40 * S, excluded={"m0": "back"}, completed=("m2",)), 40 * S)
    assert allowed(participant, 41 * S) == "m0 m1 m2 m3 x"
    assert allowed(participant, 100 * S) == "m2 m3 x"
    restarted = Participant(
        "b1",
        8,
        plan_id="p1",
        status="running",
        announced=participant.announced,
        fallback=participant.fallback,
        names=participant.names,
        machine_count=4,
    )
    assert allowed(restarted, S) == "m3 x"  # with the saved state, and silent until it is answered
    participant.handle_reply(make_reply(participant, 7, 101 * S, plan_id="", status="ended"), 101 * S)
    assert allowed(participant, 200 * S) == "m0 m1 m2 m3 x"


def test_a_balancer_that_is_not_answered_polls_no_more_often_than_without_a_plan() -> None:
    participant = Participant("b1", 7)
    participant.handle_reply(make_reply(participant, 5, S, poll_interval_ms=200), S)
    for now, interval in (
        (S, S / 5),
        (S + LEASE_DURATION * 0.9, S / 5),
        (S + LEASE_DURATION, POLL_INTERVAL),
        (60 * S, POLL_INTERVAL),
    ):
        participant.poll(now, (), {})
        assert participant.next_poll_at == now + interval
    participant.handle_reply(make_reply(participant, 6, 60 * S, poll_interval_ms=200), 60 * S)
    participant.poll(60 * S, (), {})
    assert participant.next_poll_at == 60 * S + S / 5


def test_which_balancers_the_leader_waits_for() -> None:
    scheduler = Scheduler("b0")
    scheduler.begin_term(1, 100 * S)
    plan = replace(
        make_plan(m0=Stage.LEAVING), announced_count=3, roster={f"b{n}": "p1" for n in range(4)} | {"b9": ""}
    )
    scheduler.apply(plan, 10, 100 * S)
    machine = plan.machines["m0"]
    assert set(scheduler.unconfirmed(machine, plan, 101 * S)) == {"b0", "b1", "b2", "b3", "b9"}
    for name, version, quiesced in (("b0", 10, "m0"), ("b1", 10, ""), ("b2", 9, "m0")):
        scheduler.last_polls[name] = LastPoll(101 * S, 1, version, "p1", 3, frozenset([quiesced]))
    assert scheduler.unconfirmed(machine, plan, 102 * S) == {
        "b1": "is still sending there",
        "b2": "has not confirmed",
        "b3": "has not confirmed",
        "b9": "has not confirmed",
    }
    after_lease = scheduler.unconfirmed(machine, plan, 101 * S + LEASE_DURATION * 1.2)
    assert set(after_lease) == {"b3", "b9"} and "does not know of this plan" in after_lease["b9"]
    acknowledged = replace(plan, acknowledged_count=1)
    assert set(scheduler.unconfirmed(machine, acknowledged, 101 * S + LEASE_DURATION * 1.2)) == {"b9"}
    assert set(scheduler.unconfirmed(machine, plan, 140 * S)) == {"b9"}
    fallback = replace(plan.machines["m7"], stage=Stage.LEAVING)
    scheduler.stage_changes["m7"] = Stage.LEAVING, 10, 100 * S
    assert "fallback" in scheduler.unconfirmed(fallback, plan, 140 * S)["b3"]
    scheduler.departed = {"b3", "b9"}
    assert not scheduler.unconfirmed(machine, plan, 140 * S)


def test_a_balancer_gets_no_lease_before_it_is_in_the_roster() -> None:
    scheduler, plan = Scheduler("b0"), make_plan()
    reply, proposal = scheduler.handle_poll(Poll("b5", 1, 77), plan, 3, S)
    assert (reply.lease_ms, reply.sent_at_us) == (0, 77) and proposal == plan_state.roster_entry("b5", "")
    reply, proposal = scheduler.handle_poll(Poll("b5", 1, 78, plan_id="p1"), replace(plan, roster={"b5": ""}), 4, S)
    assert reply.lease_ms == 3000 and proposal == plan_state.roster_entry("b5", "p1")


def test_messages_of_an_older_and_of_a_later_version_are_understood() -> None:
    older = msgspec.msgpack.encode(["b1", 7, 99])
    later = msgspec.msgpack.encode(["b1", 7, 99, 0, 0, "", 0, [], {}, 0, 0, [], True, "of a later version", 3])
    assert messages.decode_message(b"q" + older) == Poll("b1", 7, 99) == messages.decode_message(b"q" + later)
    older_reply = msgspec.msgpack.encode(["b0", 7, 1, 5, 99, 3000, "p1", "running"])
    participant = Participant("b1", 7)
    reply = messages.decode_message(b"a" + older_reply)
    assert (
        isinstance(reply, Reply)
        and participant.handle_reply(reply, S)
        and participant.poll_interval == POLL_INTERVAL
        and not participant.spill
    )


def test_no_machine_leaves_while_a_member_of_the_fleet_does_not_take_part() -> None:
    scheduler, plan = Scheduler("b0"), replace(make_plan(m0=Stage.LEAVING), roster={"b0": "p1"})
    scheduler.begin_term(1, S)
    scheduler.apply(plan, 10, S)
    scheduler.last_polls["b0"] = LastPoll(S, 1, 10, "p1", 8, frozenset(["m0"]))
    assert not scheduler.unconfirmed(plan.machines["m0"], plan, S)
    scheduler.nonparticipants = {"old"}
    assert scheduler.unconfirmed(plan.machines["m0"], plan, S) == {"old": "takes no part in maintenance"}
    assert (
        scheduler.next_step(replace(plan, announced_count=8, acknowledged_count=8), FLEET, 9 * S) is None
        and "old of the fleet" in scheduler.block_reason
    )
    assert not scheduler.unconfirmed(plan.machines["m0"], replace(plan, bystanders=("old",)), S)


@pytest.mark.parametrize("raw", [b"", b"x", b"q\x90", b"a\xc1", b"q" + b"\x91" * 2000])
def test_a_payload_that_is_neither_poll_nor_reply_is_refused(raw: bytes) -> None:
    with pytest.raises(ValueError):
        messages.decode_message(raw)


@pytest.mark.parametrize("seed", range(40))
def test_random_faults(seed: int) -> None:
    MaintenanceSimulation(seed, 5 + seed % 9).run_scenario()


# Bugs that the simulation must detect.


def counts_confirmations_twice(patch: pytest.MonkeyPatch) -> None:
    """The leader counts confirmations instead of the balancers that confirmed."""
    counted: dict[tuple[int, str, int], int] = {}
    handle_poll = Scheduler.handle_poll

    def counting(
        self: Scheduler, poll: Poll, plan: PlanState, version: int, now: timedelta
    ) -> tuple[Reply, Proposal | None]:
        for name in poll.quiesced:
            if name in self.stage_changes and poll.applied_version >= self.stage_changes[name][1]:
                key = id(self), name, self.stage_changes[name][1]
                counted[key] = counted.get(key, 0) + 1
        return handle_poll(self, poll, plan, version, now)

    def unconfirmed(self: Scheduler, machine: Machine, plan: PlanState, now: timedelta) -> dict[str, str]:
        enough = counted.get((id(self), machine.name, self.stage_changes[machine.name][1]), 0) >= len(plan.roster)
        return {} if enough else {"somebody": "has not confirmed"}

    patch.setattr(Scheduler, "handle_poll", counting)
    patch.setattr(Scheduler, "unconfirmed", unconfirmed)


def uses_the_wall_clock(patch: pytest.MonkeyPatch) -> None:
    """A balancer's leases go by its wall clock."""
    patch.setattr(
        MaintenanceSimulation, "lease_clock", lambda self, process: self.clock(process) + process.wall_clock_error
    )


def commits_without_a_majority(patch: pytest.MonkeyPatch) -> None:
    """A leader commits what it has written itself."""
    patch.setattr(
        Replica, "_advance_commit_index", lambda self: self._commit_through(self.journal.last_index_and_term()[0])
    )


def grants_a_lease_before_the_roster_entry(patch: pytest.MonkeyPatch) -> None:
    """A balancer gets a lease that the next leader does not know of."""
    handle_poll = Scheduler.handle_poll

    def granting(
        self: Scheduler, poll: Poll, plan: PlanState, version: int, now: timedelta
    ) -> tuple[Reply, Proposal | None]:
        return structs.replace(handle_poll(self, poll, plan, version, now)[0], lease_ms=3000), None

    patch.setattr(Scheduler, "handle_poll", granting)
    patch.setattr(Scheduler, "roster_updates", lambda self, plan: [])


def expires_leases_too_early(patch: pytest.MonkeyPatch) -> None:
    """The leader takes leases for expired that are not."""
    patch.setattr(scheduler_module, "LEASE_EXPIRED_AFTER", LEASE_DURATION * 0.4)


def ignores_missing_confirmations(patch: pytest.MonkeyPatch) -> None:
    """A machine is taken out without any confirmation."""
    patch.setattr(Scheduler, "unconfirmed", lambda self, machine, plan, now: {})


def ignores_the_quorum(patch: pytest.MonkeyPatch) -> None:
    """Voters are taken out without regard to the majority."""
    patch.setattr(planner, "quorum_block", lambda name, plan, fleet: "")


@pytest.mark.parametrize(
    "bug",
    [
        counts_confirmations_twice,
        uses_the_wall_clock,
        commits_without_a_majority,
        grants_a_lease_before_the_roster_entry,
        expires_leases_too_early,
        ignores_missing_confirmations,
        ignores_the_quorum,
    ],
)
def test_a_deliberate_bug_is_detected(
    bug: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    with pytest.raises(InvariantError, match=r"is out, and|in progress|was aborted|no majority"):
        for seed in range(160):
            MaintenanceSimulation(seed, 5 + seed % 16).run_scenario()


def test_balancers_that_vote_go_last_and_one_at_a_time() -> None:
    fleet = {f"@b{n}": MachineView("hall", is_voter=n < 3, is_leader=n == 0) for n in range(6)}
    names, fallback_count = order_machines(PlanRequest(tuple(fleet), "new version", Limits(3, 0.2, False)), fleet)
    assert names == ("@b3", "@b4", "@b5", "@b1", "@b2", "@b0") and fallback_count == 0
    machines = {n: Machine(n, rank, Stage.CLAIMED if n < "@b3" else Stage.DONE) for rank, n in enumerate(names)}
    plan = replace(make_plan(Limits(3, 0.2, False)), names=names, machines=machines)
    assert choose_next(plan, fleet).name == "@b1"
    one_out = replace(plan, machines=machines | {"@b1": Machine("@b1", 3, Stage.OUT)})
    assert "without @b2 no majority" in choose_next(one_out, fleet).block_reason
    assert (
        "no majority" in choose_next(plan, fleet | {"@b2": MachineView("hall", is_voter=True, up=False)}).block_reason
    )
    only_leader = replace(plan, machines=machines | {n: Machine(n, 3, Stage.DONE) for n in ("@b1", "@b2")})
    assert choose_next(only_leader, fleet).name == "@b0"
    with pytest.raises(PlanError, match="b9: no balancer"):
        order_machines(PlanRequest(("@b9",), "x", Limits()), fleet)
    with pytest.raises(PlanError, match="b0 is a voter"):
        order_machines(PlanRequest(("@b0",), "x", Limits()), {"@b0": MachineView(is_voter=True), "@b5": MachineView()})


def test_a_plan_of_balancers_excludes_no_image_server() -> None:
    participant = Participant("b1", 7)
    changes = {
        "excluded": {"@b1": "leaving"},
        "announced": ("@b1", "@b2"),
        "fallback": (),
        "names": (),
        "machine_count": 9,
    }
    participant.handle_reply(make_reply(participant, 5, S, **changes), S)
    assert participant.is_excluded
    assert [allowed(participant, now) for now in (S, S + LEASE_DURATION, 100 * S)] == ["m0 m1 m2 m3 x"] * 3
    participant.handle_reply(make_reply(participant, 6, S, **changes | {"excluded": {}}), S)
    assert not participant.is_excluded


def test_no_stage_changes_while_only_one_voter_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    simulation = MaintenanceSimulation(3, 6)
    assert simulation.run(5 * S, until=lambda: simulation.leader() is not None)
    simulation.run(2 * S)
    simulation.start_plan("p1", Limits(2, 0.5, False))
    simulation.run(3 * S)
    survivor: Process | None = simulation.leader()
    assert survivor is not None
    for name in simulation.voters:
        if name != survivor.name:
            simulation.kill(name)
    simulation.run(S)
    before = dict(simulation.stages)
    simulation.run(60 * S)
    assert simulation.stages == before  # what is out stays out, and nothing new leaves
    for name in simulation.voters:
        if name != survivor.name:
            simulation.restart(name)
    assert simulation.run(300 * S, until=simulation.is_finished)
