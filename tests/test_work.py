"""The order of work without I/O: plans, the planner, and whole fleets in simulated time under faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import msgspec
import pytest
from msgspec import structs

from bramblestile.lab.working import BrokenError, Process, Works
from bramblestile.store.replica import Replica
from bramblestile.work import foreman as foreman_module
from bramblestile.work import messages, planner
from bramblestile.work import order as keys
from bramblestile.work.foreman import Foreman, Heard, Proposal
from bramblestile.work.hand import LEASE, POLL_EVERY, SILENT, Hand
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.order import Machine, Order, Stage, Status
from bramblestile.work.plan import Asked, Limits, PlanError, parse
from bramblestile.work.planner import Seen, choose, settle, to_claim

S = timedelta(seconds=1)
FLEET = {f"m{n}": Seen(f"hall-{n % 2}") for n in range(8)}
PLAN = 'machines = ["m0", "m1"]\nreason = "new disks"\n'


def order(limits: Limits | None = None, **stages: Stage) -> Order:
    names = tuple(FLEET)
    machines = {n: Machine(n, rank, stages.get(n, Stage.CLAIMED)) for rank, n in enumerate(names)}
    return Order("p1", Status.RUNNING, "test", limits or Limits(2, 0.5, False), (), names, 8, 0, 1, machines, {})


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("machines = ", "not TOML"),
        ('reason = "x"', "machines"),
        (PLAN.replace("m1", "m0"), "m0: named twice"),
        (PLAN + "most_out = 0", "most_out"),
        (PLAN + "most_out = 1.5", "most_out"),
        (PLAN + "least_capacity = 2", "least_"),
        (PLAN + "halls_apart = 1", "halls_apart"),
        (PLAN + "limit_s = 0", "limit_s"),
        (PLAN + "colour = 1", "colour"),
        (PLAN + "command = 'reboot'", "command"),
        ('machines = ["m0"]\nreason = ""', "reason"),
        (PLAN.replace("m1", "m" * 65), "machines"),
        (PLAN.replace("m1", "@b1"), "machines"),
        (PLAN + "bystanders = 1", "bystanders"),
        (PLAN + 'balancers = ["b1"]', "balancers: not in one plan"),
        ('balancers = ["a", "a"]', "balancers: a: named"),
    ],
)
def test_a_plan_that_makes_no_sense_is_refused_by_its_key(text: str, names: str) -> None:
    with pytest.raises(PlanError, match=names):
        parse(text)


def test_a_plan_that_cannot_keep_its_limits_is_refused_by_the_machine() -> None:
    asked = Asked(("m0", "m1"), "x", Limits(1, 0.9))
    with pytest.raises(PlanError, match=r"without m0 there is 88% left, and 90% must stay"):
        settle(asked, FLEET)
    with pytest.raises(PlanError, match="m9: no image server"):
        settle(replace(asked, machines=("m9",)), FLEET)
    long = {f"{n:064}": Seen() for n in range(30)}
    with pytest.raises(PlanError, match="most_out"):
        settle(Asked(tuple(long), "x", Limits(8, 0)), long)


def test_the_order_is_one_hall_after_the_other_and_a_whole_fleet_has_a_refuge() -> None:
    names, tail = settle(Asked(tuple(FLEET), "x", Limits(2, 0.5)), FLEET | {"m1": Seen("hall-1", load=3.0)})
    assert [FLEET[n].hall for n in names] == ["hall-0"] * 4 + ["hall-1"] * 4 and tail == 1
    assert settle(Asked(("m0", "m1"), "x", Limits()), FLEET)[1] == 0


@pytest.mark.parametrize(
    ("limits", "fleet", "stages", "why"),
    [
        (Limits(2, 0.5, False), {}, {"m0": Stage.LEAVING, "m1": Stage.COLD}, None),
        (Limits(2, 0.5, False), {}, {"m0": Stage.LEAVING, "m1": Stage.OUT}, "m0, m1 on their way"),
        (Limits(2, 0.5, False), {"m6": Seen("hall-0", up=False)}, {"m0": Stage.OUT}, "m0, m6 missing already"),
        (Limits(2, 0.5, False), {"m6": Seen("hall-0", by_hand=True)}, {"m0": Stage.OUT}, "m0, m6 missing already"),
        (Limits(2, 0.5, False), {"z": Seen("hall-0", warmth=0.3)}, {"m0": Stage.OUT}, "m0, z missing already"),
        (Limits(2, 0.5, False), {"z": Seen("hall-0", warmth=0.95)}, {"m0": Stage.OUT}, None),
        (Limits(3, 0.5, True), {"m3": Seen("hall-1", up=False)}, {"m0": Stage.OUT}, "m0 of another hall"),
        (Limits(3, 0.8, False), {}, {"m0": Stage.OUT}, "75% of the capacity would be left, 80% must stay"),
        (Limits(3, 0.5, False), {n: Seen(load=0.85) for n in FLEET}, {}, "would fill 97%"),
        (Limits(3, 0.5, False), {"m0": Seen("hall-0", up=False)}, {}, None),
    ],
)
def test_whether_one_more_may_leave(
    limits: Limits, fleet: dict[str, Seen], stages: dict[str, Stage], why: str | None
) -> None:
    choice = choose(order(limits, **stages), FLEET | fleet)
    assert (choice.name is not None) == (why is None) and (why or "") in choice.why


def test_beyond_the_first_few_clients_need_room_where_they_may_stay() -> None:
    full = {n: Seen("hall-0", load=0.5) for n in FLEET}
    now = order(Limits(4, 0.2, False), m0=Stage.LEAVING)
    assert "no room yet for the clients of m1" in choose(now, full).why
    now = order(Limits(4, 0.2, False), m0=Stage.LEAVING, m1=Stage.DONE)
    assert "no room yet for the clients of m2" in choose(now, full).why
    assert choose(now, full | {"m1": Seen("hall-0")}).name is None
    assert choose(now, full | {"m1": Seen("hall-0"), "z": Seen("hall-0", load=0.4)}).name == "m2"
    assert choose(order(Limits(4, 0.2, False)), full).name == "m0"


def test_turns_are_announced_before_they_come_and_clients_lean_away_from_them() -> None:
    fresh = order(Limits(1), **dict.fromkeys(FLEET, Stage.WAITING))
    assert to_claim(replace(fresh, ahead=0)) == (2, ["m0", "m1"])
    went = order(Limits(1), m0=Stage.OUT, m1=Stage.CLAIMED, **{f"m{n}": Stage.WAITING for n in range(2, 8)})
    assert to_claim(replace(went, ahead=2)) == (3, ["m2"])
    assert to_claim(replace(went, status=Status.PAUSED, ahead=2)) == (2, [])
    hand = Hand("b1", 7)
    hand.hear(reply(hand, 5, S, over=("m0",)), S)
    assert list(hand.lean()) == ["m1", "m2", "m3"] and sorted(hand.lean().values()) == list(hand.lean().values())
    hand.hear(reply(hand, 6, S, status="aborted"), S)
    assert not hand.lean()


def test_what_is_agreed_on_reads_back_and_another_plans_keys_count_for_nothing() -> None:
    asked = Asked(tuple(FLEET), "disks", Limits(2, 0.5, False, 60 * S), ("renew", "{}"))
    values: dict[str, str] = {}
    for number, (key, value) in enumerate(keys.begin("p1", asked, tuple(FLEET), 1, values)):
        assert not keys.load(values).is_on, number
        values[key] = value
    values.update(
        [
            keys.ahead_key("p1", 3),
            keys.floor_key("p1", 2),
            keys.machine_key("p1", "m2", Stage.HELD, "why"),
            keys.machine_key("p0", "m3", Stage.OUT),
            keys.roster_key("b1", "p1"),
        ]
    )
    got = keys.load(values)
    assert (got.status, got.names, got.ahead, got.tail) == (Status.RUNNING, tuple(FLEET), 3, 1) and got.floor == 2
    assert got.limits == asked.limits and got.command == asked.command and got.roster == {"b1": "p1"}
    assert got.machines["m2"].why == "why" and got.machines["m3"].stage is Stage.WAITING
    assert keys.load(values | dict([keys.status_key("p0", Status.RUNNING)])).status is Status.NONE


def reply(hand: Hand, version: int, at: timedelta, **more: object) -> Reply:
    base = Reply(
        "b0",
        hand.life,
        1,
        version,
        at // timedelta(microseconds=1),
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
    return structs.replace(base, **more)


def allowed(hand: Hand, at: timedelta) -> str:
    return " ".join(name for name in ("m0", "m1", "m2", "m3", "x") if hand.allows(name, at))


def test_what_a_balancer_leaves_alone_by_its_own_clock() -> None:
    hand = Hand("b1", 7)
    assert allowed(hand, S) == "m0 m1 m2 m3 x"
    hand.hear(reply(hand, 5, S, alone={"m0": "leaving"}), 2 * S)
    assert allowed(hand, S + LEASE - S / 10) == "m1 m2 m3 x"
    assert allowed(hand, S + LEASE) == "m2 m3 x"  # from its own asking on, not from the answer
    assert allowed(hand, S + LEASE + SILENT) == "m3 x"
    hand.hear(reply(hand, 4, 40 * S), 40 * S)  # an old word, come late
    hand.hear(reply(hand, 9, 40 * S, life=6, alone={}), 40 * S)  # to the process before
    assert allowed(hand, 40 * S) == "m3 x"
    hand.hear(reply(hand, 6, 40 * S, alone={"m0": "back"}, over=("m2",)), 40 * S)
    assert allowed(hand, 41 * S) == "m0 m1 m2 m3 x"
    assert allowed(hand, 100 * S) == "m2 m3 x"
    again = Hand(
        "b1", 8, plan="p1", status="running", window=hand.window, refuge=hand.refuge, names=hand.names, count=4
    )
    assert allowed(again, S) == "m3 x"  # restarted, with what was kept: silent until it is heard
    hand.hear(reply(hand, 7, 101 * S, plan="", status="ended"), 101 * S)
    assert allowed(hand, 200 * S) == "m0 m1 m2 m3 x"


def test_who_is_not_answered_asks_no_more_often_than_without_a_plan() -> None:
    hand = Hand("b1", 7)
    hand.hear(reply(hand, 5, S, poll_ms=200), S)
    for at, every in ((S, S / 5), (S + LEASE * 0.9, S / 5), (S + LEASE, POLL_EVERY), (60 * S, POLL_EVERY)):
        hand.poll(at, (), {})
        assert hand.due == at + every
    hand.hear(reply(hand, 6, 60 * S, poll_ms=200), 60 * S)
    hand.poll(60 * S, (), {})
    assert hand.due == 60 * S + S / 5


def test_whom_the_leader_waits_for() -> None:
    foreman = Foreman("b0")
    foreman.lead(1, 100 * S)
    now = replace(order(m0=Stage.LEAVING), ahead=3, roster={f"b{n}": "p1" for n in range(4)} | {"b9": ""})
    foreman.apply(now, 10, 100 * S)
    machine = now.machines["m0"]
    assert set(foreman.lacks(machine, now, 101 * S)) == {"b0", "b1", "b2", "b3", "b9"}
    for name, seen, quiet in (("b0", 10, "m0"), ("b1", 10, ""), ("b2", 9, "m0")):
        foreman.heard[name] = Heard(101 * S, 1, seen, "p1", 3, frozenset([quiet]))
    assert foreman.lacks(machine, now, 102 * S) == {
        "b1": "is still sending there",
        "b2": "has not confirmed",
        "b3": "has not confirmed",
        "b9": "has not confirmed",
    }
    late = foreman.lacks(machine, now, 101 * S + LEASE * 1.2)
    assert set(late) == {"b3", "b9"} and "does not know of this plan" in late["b9"]
    floored = replace(now, floor=1)
    assert set(foreman.lacks(machine, floored, 101 * S + LEASE * 1.2)) == {"b9"}
    assert set(foreman.lacks(machine, now, 140 * S)) == {"b9"}
    refuge = replace(now.machines["m7"], stage=Stage.LEAVING)
    foreman.told["m7"] = Stage.LEAVING, 10, 100 * S
    assert "refuge" in foreman.lacks(refuge, now, 140 * S)["b3"]
    foreman.left = {"b3", "b9"}
    assert not foreman.lacks(machine, now, 140 * S)


def test_no_lease_before_the_roster_has_it() -> None:
    foreman, now = Foreman("b0"), order()
    got, proposal = foreman.hear(Poll("b5", 1, 77), now, 3, S)
    assert (got.lease_ms, got.stamp) == (0, 77) and proposal == keys.roster_key("b5", "")
    got, proposal = foreman.hear(Poll("b5", 1, 78, plan="p1"), replace(now, roster={"b5": ""}), 4, S)
    assert got.lease_ms == 3000 and proposal == keys.roster_key("b5", "p1")


def test_words_of_an_older_and_of_a_later_version_are_understood() -> None:
    older = msgspec.msgpack.encode(["b1", 7, 99])
    later = msgspec.msgpack.encode(["b1", 7, 99, 0, 0, "", 0, [], {}, 0, 0, [], True, "of a later version", 3])
    assert messages.decoded(b"q" + older) == Poll("b1", 7, 99) == messages.decoded(b"q" + later)
    told = msgspec.msgpack.encode(["b0", 7, 1, 5, 99, 3000, "p1", "running"])
    hand = Hand("b1", 7)
    got = messages.decoded(b"a" + told)
    assert isinstance(got, Reply) and hand.hear(got, S) and hand.every == POLL_EVERY and not hand.full


def test_nothing_leaves_while_one_of_the_fleet_takes_no_part() -> None:
    foreman, now = Foreman("b0"), replace(order(m0=Stage.LEAVING), roster={"b0": "p1"})
    foreman.lead(1, S)
    foreman.apply(now, 10, S)
    foreman.heard["b0"] = Heard(S, 1, 10, "p1", 8, frozenset(["m0"]))
    assert not foreman.lacks(now.machines["m0"], now, S)
    foreman.outside = {"old"}
    assert foreman.lacks(now.machines["m0"], now, S) == {"old": "takes no part in the order of work"}
    assert foreman.step(replace(now, ahead=8, floor=8), FLEET, 9 * S) is None and "old of the fleet" in foreman.why
    assert not foreman.lacks(now.machines["m0"], replace(now, bystanders=("old",)), S)


@pytest.mark.parametrize("raw", [b"", b"x", b"q\x90", b"a\xc1", b"q" + b"\x91" * 2000])
def test_what_is_neither_poll_nor_answer(raw: bytes) -> None:
    with pytest.raises(ValueError):
        messages.decoded(raw)


@pytest.mark.parametrize("seed", range(40))
def test_drawn_faults(seed: int) -> None:
    Works(seed, 5 + seed % 9).play()


def counts_a_confirm_twice(patch: pytest.MonkeyPatch) -> None:
    counted: dict[tuple[int, str, int], int] = {}
    hear = Foreman.hear

    def heard(self: Foreman, got: Poll, now: Order, version: int, at: timedelta) -> tuple[Reply, Proposal | None]:
        for name in got.quiet:
            if name in self.told and got.seen >= self.told[name][1]:
                key = id(self), name, self.told[name][1]
                counted[key] = counted.get(key, 0) + 1
        return hear(self, got, now, version, at)

    def lacks(self: Foreman, machine: Machine, now: Order, at: timedelta) -> dict[str, str]:
        enough = counted.get((id(self), machine.name, self.told[machine.name][1]), 0) >= len(now.roster)
        return {} if enough else {"somebody": "has not confirmed"}

    patch.setattr(Foreman, "hear", heard)
    patch.setattr(Foreman, "lacks", lacks)


def goes_by_the_wall_clock(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Works, "hand_clock", lambda self, process: self.clock(process) + process.wall)


def steps_without_the_majority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Replica, "_count", lambda self: self._commit(self.journal.last()[0]))


def gives_a_lease_to_one_it_may_forget(patch: pytest.MonkeyPatch) -> None:
    hear = Foreman.hear

    def heard(self: Foreman, got: Poll, now: Order, version: int, at: timedelta) -> tuple[Reply, Proposal | None]:
        return structs.replace(hear(self, got, now, version, at)[0], lease_ms=3000), None

    patch.setattr(Foreman, "hear", heard)
    patch.setattr(Foreman, "to_enter", lambda self, now: [])


def thinks_leases_shorter_than_they_are(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(foreman_module, "UNHEARD", LEASE * 0.4)


def takes_a_balancer_out_unasked(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Foreman, "lacks", lambda self, machine, now, at: {})


def forgets_who_keeps_the_agreement(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(planner, "not_yet", lambda name, now, fleet: "")


@pytest.mark.parametrize(
    "bug",
    [
        counts_a_confirm_twice,
        goes_by_the_wall_clock,
        steps_without_the_majority,
        gives_a_lease_to_one_it_may_forget,
        thinks_leases_shorter_than_they_are,
        takes_a_balancer_out_unasked,
        forgets_who_keeps_the_agreement,
    ],
)
def test_a_bug_put_in_on_purpose_is_found(
    bug: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    with pytest.raises(BrokenError, match=r"is out, and|on their way|was aborted|no majority"):
        for seed in range(160):
            Works(seed, 5 + seed % 16).play()


def test_balancers_that_keep_the_agreement_go_last_and_one_at_a_time() -> None:
    fleet = {f"@b{n}": Seen("hall", votes=n < 3, leads=n == 0) for n in range(6)}
    names, tail = settle(Asked(tuple(fleet), "new version", Limits(3, 0.2, False)), fleet)
    assert names == ("@b3", "@b4", "@b5", "@b1", "@b2", "@b0") and tail == 0
    machines = {n: Machine(n, rank, Stage.CLAIMED if n < "@b3" else Stage.DONE) for rank, n in enumerate(names)}
    now = replace(order(Limits(3, 0.2, False)), names=names, machines=machines)
    assert choose(now, fleet).name == "@b1"
    out = replace(now, machines=machines | {"@b1": Machine("@b1", 3, Stage.OUT)})
    assert "without @b2 no majority" in choose(out, fleet).why
    assert "no majority" in choose(now, fleet | {"@b2": Seen("hall", votes=True, up=False)}).why
    last = replace(now, machines=machines | {n: Machine(n, 3, Stage.DONE) for n in ("@b1", "@b2")})
    assert choose(last, fleet).name == "@b0"
    with pytest.raises(PlanError, match="b9: no balancer"):
        settle(Asked(("@b9",), "x", Limits()), fleet)
    with pytest.raises(PlanError, match="b0 keeps the agreement"):
        settle(Asked(("@b0",), "x", Limits()), {"@b0": Seen(votes=True), "@b5": Seen()})


def test_a_plan_of_balancers_closes_no_image_server() -> None:
    hand = Hand("b1", 7)
    more = {"alone": {"@b1": "leaving"}, "window": ("@b1", "@b2"), "refuge": (), "names": (), "count": 9}
    hand.hear(reply(hand, 5, S, **more), S)
    assert hand.is_out
    assert [allowed(hand, at) for at in (S, S + LEASE, 100 * S)] == ["m0 m1 m2 m3 x"] * 3
    hand.hear(reply(hand, 6, S, **more | {"alone": {}}), S)
    assert not hand.is_out


def test_nothing_is_told_out_while_one_voter_alone_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    works = Works(3, 6)
    assert works.run(5 * S, until=lambda: works.leader() is not None)
    works.run(2 * S)
    works.begin("p1", Limits(2, 0.5, False))
    works.run(3 * S)
    alone: Process | None = works.leader()
    assert alone is not None
    for name in works.voters:
        if name != alone.name:
            works.kill(name)
    works.run(S)
    before = dict(works.stages)
    works.run(60 * S)
    assert works.stages == before  # what is out stays out, and nothing new leaves
    for name in works.voters:
        if name != alone.name:
            works.restart(name)
    assert works.run(300 * S, until=works.finished)
