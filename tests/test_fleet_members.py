"""The membership's decisions, in simulated time: each fault that it is made for, and faults drawn from seeds."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramblestile.clock import ZERO_DURATION
from bramblestile.fleet.members import Members, Pace
from bramblestile.fleet.messages import LARGEST, Fact, Kind, Message, MessageError, State, decoded, encoded
from bramblestile.fleet.rumours import Rumours
from bramblestile.fleet.sealing import OVERHEAD, WINDOW, Seal, SealError
from bramblestile.fleet.suspicion import Suspicion
from bramblestile.fleet.telling import Telling
from bramblestile.fleet.trips import Trips
from bramblestile.lab.membership_simulation import MembershipSimulation
from bramblestile.lab.random_faults import InvariantError, RandomFaultRun

S = timedelta(seconds=1)
MS = timedelta(milliseconds=1)


def made(count: int, seed: int = 1) -> tuple[MembershipSimulation, list[str]]:
    sim = MembershipSimulation(seed)
    names = sim.fleet(count)
    assert sim.agreed()
    sim.run(5 * S)
    sim.changes.clear()
    return sim, names


def deaths(sim: MembershipSimulation, but: str = "") -> list[tuple[str, str]]:
    return [(viewer, c.name) for _, viewer, c in sim.changes if c.after is State.DEAD and c.name != but]


@pytest.mark.parametrize("count", [5, 60])
def test_a_killed_member_is_known_to_all_and_nobody_else_is_doubted(count: int) -> None:
    sim, names = made(count)
    sim.kill(names[3])
    assert sim.until(sim.agreed, 5 * S) < 2.5 * S
    assert not deaths(sim, names[3])


@pytest.mark.parametrize(("span", "dies"), [(0.5, False), (2, True), (10, True)])
def test_a_paused_member_is_back_soon_after_it_wakes_and_takes_nobody_for_dead(span: float, dies: bool) -> None:
    sim, names = made(30)
    sim.pause(names[5], span * S)
    sim.run(span * S)
    assert bool(deaths(sim)) is dies
    assert sim.until(sim.agreed, 10 * S) < S
    assert not deaths(sim, names[5])


def test_starved_members_and_loss_kill_nobody() -> None:
    sim, names = made(30)
    sim.network.loss_rate = 0.05
    for name in names[4:8]:
        sim.by_name[name].cpu_share = 0.1
    sim.run(60 * S)
    assert not deaths(sim)


def test_one_who_hears_nothing_accuses_everybody_and_is_not_believed() -> None:
    sim, names = made(30)
    sim.network.drop_rules["in"] = lambda a, b: b == names[5]
    sim.run(20 * S)
    assert not [d for d in deaths(sim, names[5]) if d[0] != names[5]]
    sim.network.drop_rules.clear()
    assert sim.until(sim.agreed, 20 * S) < 5 * S


def test_a_link_that_works_one_way_is_walked_round() -> None:
    sim, names = made(12)
    sim.network.drop_rules["one way"] = lambda a, b: (a, b) == (names[2], names[3])
    sim.run(30 * S)
    assert not deaths(sim)


def test_loss_of_a_third_kills_nobody_and_hides_nobodys_death() -> None:
    sim, names = made(20)
    sim.network.loss_rate = 0.3
    sim.run(30 * S)
    assert not deaths(sim)
    sim.kill(names[7])
    assert sim.until(sim.agreed, 10 * S) < 5 * S


def test_two_halves_agree_each_on_itself_and_heal() -> None:
    sim, names = made(24)
    half = set(names[:12])
    sim.network.drop_rules["split"] = lambda a, b: (a in half) != (b in half)
    sim.run(8 * S)
    assert all(
        {f.name for f in p.members.living()} == (half if p.name in half else set(names) - half) for p in sim.living()
    )
    sim.network.drop_rules.clear()
    assert sim.until(sim.agreed, 20 * S) < 5 * S


def test_seven_in_ten_killed_at_once() -> None:
    """Seen: each silent helper counted against the one who asked, who then waited nine times as long: 35 s."""
    sim, names = made(30)
    for name in names[3:24]:
        sim.kill(name)
    assert sim.until(sim.agreed, 30 * S) < 8 * S


def test_a_restart_within_the_suspicion_takes_the_place_of_the_one_before() -> None:
    sim, names = made(12)
    sim.kill(names[4])
    sim.run(0.5 * S)
    before = sim.by_name[names[4]].members.me.life
    sim.start(names[4], seeds=names[:3])
    assert sim.until(sim.agreed, 5 * S) < S
    sim.run(8 * S)
    assert sim.agreed() and not deaths(sim)
    assert all(f.life > before for p in sim.living() for f in p.members.living() if f.name == names[4])


def test_a_restart_with_a_clock_that_went_back() -> None:
    sim, names = made(12)
    sim.kill(names[4])
    sim.run(0.5 * S)
    sim.start(names[4], seeds=names[:3], life=5)
    sim.run(5 * S)
    assert sim.agreed()


def test_of_two_with_one_name_the_later_start_keeps_it() -> None:
    sim, names = made(8)
    first = sim.by_name[names[4]]
    second = sim.start(names[4], seeds=names[:3], address=("127.9.9.9", 7))
    sim.run(10 * S)
    assert first.members.holder is not None and second.members.holder is None
    seen = {f.host for n in names if n != names[4] for f in sim.by_name[n].members.living() if f.name == names[4]}
    assert seen == {"127.9.9.9"}
    second.running = False  # the first hears that its name is free again, and takes it
    sim.run(20 * S)
    assert first.members.holder is None and len(first.members.living()) == 8


def test_a_leaver_is_gone_at_once() -> None:
    sim, names = made(20)
    process = sim.by_name[names[5]]
    sim._send(process, process.members.leave(sim.now))
    process.running = False
    assert sim.until(sim.agreed, 5 * S) < 0.6 * S
    assert not deaths(sim)


def test_two_hundred_join_at_once() -> None:
    sim, names = made(5)
    for n in range(200):
        sim.start(f"x{n}", seeds=names[:3])
    assert sim.until(sim.agreed, 20 * S) < 3 * S


def test_what_a_member_sends_does_not_grow_with_the_fleet() -> None:
    figures = []
    for count in (10, 80):
        sim, _ = made(count)
        sim.run(25 * S)
        before = sum(p.sent_bytes for p in sim.living())
        sim.run(10 * S)
        figures.append((sum(p.sent_bytes for p in sim.living()) - before) / count)
    assert figures[1] < 1.2 * figures[0]


def test_entries_reach_all_and_end_with_their_time_or_their_owner() -> None:
    sim, names = made(20)
    owner = sim.by_name[names[2]].members
    owner.tell("traffic", b"old", 60 * S, sim.now)
    owner.tell("traffic", b"7", 4 * S, sim.now)
    sim.run(2 * S)
    assert {p.members.board.get(names[2], "traffic", sim.now) for p in sim.living()} == {b"7"}
    late = sim.start("late", seeds=names[:3])
    sim.run(S)
    assert late.members.board.get(names[2], "traffic", sim.now) == b"7"
    sim.run(2 * S)
    assert {p.members.board.get(names[2], "traffic", sim.now) for p in sim.living()} == {None}
    owner.tell("traffic", b"9", 60 * S, sim.now)
    sim.run(S)
    sim.kill(names[2])
    sim.start(names[2], seeds=names[:3])
    sim.run(3 * S)
    assert {p.members.board.get(names[2], "traffic", sim.now) for p in sim.living()} == {None}


@pytest.mark.parametrize("seed", range(25))
def test_drawn_faults(seed: int) -> None:
    RandomFaultRun(seed, max_size=14).run_scenario()


def never_contradicts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Members, "_hear_of_me", lambda self, fact: False)


def believes_one_word(monkeypatch: pytest.MonkeyPatch) -> None:
    hear = Members._hear

    def heard(self: Members, fact: Fact, at: timedelta) -> bool:
        known = self.known.get(fact.name)
        if known is not None and fact.state == State.DEAD and fact.age == known.fact.age and known.lives:
            self._set(known, known.fact, State.DEAD, at, fact.by, (fact.by,))
            self.rumours.add(known.fact)
            return True
        return hear(self, fact, at)

    monkeypatch.setattr(Members, "_hear", heard)


def takes_old_news(monkeypatch: pytest.MonkeyPatch) -> None:
    hear = Members._hear

    def heard(self: Members, fact: Fact, at: timedelta) -> bool:
        known = self.known.get(fact.name)
        if known is not None and fact.age < known.fact.age and fact.state == State.ALIVE:
            self._store(known, fact)
            return True
        return hear(self, fact, at)

    monkeypatch.setattr(Members, "_hear", heard)


def forgets_the_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Members, "_try_the_lost", lambda self, at: [])


@pytest.mark.parametrize("bug", [never_contradicts, believes_one_word, takes_old_news, forgets_the_lost])
def test_a_bug_put_in_on_purpose_is_found(
    bug: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    with pytest.raises(InvariantError):
        for seed in range(100):
            RandomFaultRun(seed, max_size=20).run_scenario()


def test_who_did_not_run_judges_nobody() -> None:
    me, other = Fact("a", "127.0.0.1", 1, 9), Fact("b", "127.0.0.1", 2, 9)
    members = Members(me, [], Random(1), S)
    members.hear(Message(Kind.GOSSIP, other, facts=(Fact("b", "127.0.0.1", 2, 9, state=1, by="c"),)), ("", 2), S)
    for by in ("d", "e", "f"):
        members.hear(Message(Kind.GOSSIP, None, facts=(Fact("b", "127.0.0.1", 2, 9, state=1, by=by),)), ("", 2), S)
    members.due()
    members.step(10 * S)
    assert members.known["b"].state is State.SUSPECT and members.counts["late"] == 1


def test_a_suspicion_is_shorter_with_each_accuser() -> None:
    pace = Pace()
    suspicion = Suspicion(S, pace.least, pace.most, 3)
    waits = [suspicion.until for by in "abcd" if suspicion.accuse(by)]
    assert waits == sorted(waits, reverse=True) and waits[0] == S + pace.most and waits[-1] == S + pace.least
    assert not suspicion.accuse("a") and not suspicion.accuse("e")


def test_news_is_told_a_bounded_number_of_times_the_newest_first() -> None:
    rumours = Rumours()
    for n in range(5):
        rumours.add(Fact(f"m{n}", "127.0.0.1", 1, n))
    told = 0
    while len(rumours):
        told += len(rumours.pick(LARGEST, 7))
    assert told == 5 * 3 * 3
    rumours.add(Fact("old", "127.0.0.1", 1, 1))
    rumours.pick(LARGEST, 7)
    rumours.add(Fact("new", "127.0.0.1", 1, 1))
    room = len(encoded(Fact("new", "127.0.0.1", 1, 1))) + 1
    assert [f.name for f in rumours.pick(room, 7) if isinstance(f, Fact)] == ["new"]


def test_figures_are_told_when_they_change_and_the_more_seldom_the_larger_the_fleet() -> None:
    def told(members: int) -> int:
        telling, random = Telling(Random(2)), Random(1)
        return sum(telling.wants(random.uniform(1, 100), members, n * S / 10) is not None for n in range(6000))

    assert told(10) > 400 and told(1000) <= 6
    still = Telling(Random(1))
    holds = [h for n in range(600) if (h := still.wants(50, 10, n * S)) is not None]
    assert 600 / (holds[0] / S / 3) <= len(holds) <= 2 * 600 / (holds[0] / S / 3)


def test_those_that_start_together_do_not_tell_together() -> None:
    fleet = [Telling(Random(n)) for n in range(120)]
    told = [sum(one.wants(5, 1 if n < 2 else 120, n * S) is not None for one in fleet) for n in range(120)]
    assert told[0] == 120 and max(told[2:]) <= 40


def gossiped(late: timedelta) -> int:
    """Rounds of gossip in 5 s of one that always has news and runs so late at each step."""
    members = Members(Fact("me", "127.0.0.1", 1, 1), [], Random(1), ZERO_DURATION)
    for n in range(30):
        members.hear(Message(Kind.GOSSIP, Fact(f"b{n}", "127.0.0.1", 2 + n, 1)), ("127.0.0.1", 2 + n), ZERO_DURATION)
    at, count = ZERO_DURATION, 0
    while at < 5 * S:
        members.tell("figure", b"1", 60 * S, at)
        at = max(at + MS, members.due() + late)
        out = members.step(at)
        count += any(message.kind == Kind.GOSSIP for _, message in out)
        for to, message in out:
            if message.kind == Kind.PING and message.about is None:
                members.hear(Message(Kind.ACK, Fact(f"b{to[1] - 2}", *to, 1), message.number), to, at)
    return count


def test_who_runs_late_passes_news_on_less_often() -> None:
    assert gossiped(ZERO_DURATION) > 2 * gossiped(40 * MS) > 10


def test_waits_follow_the_trips_there_and_back() -> None:
    trips = Trips()
    assert trips.bound == ZERO_DURATION
    for n in range(50):
        trips.seen(10 * MS, n * S / 5)
    assert 10 * MS <= trips.bound < 20 * MS
    for n in range(20):
        trips.seen(200 * MS, 10 * S + n * S / 5)
    assert 200 * MS < trips.bound <= 320 * MS
    trips.seen(5 * S, 15 * S)
    assert trips.bound == 320 * MS
    for n in range(6):  # at the slow pace that this brought about
        trips.seen(10 * MS, 16 * S + n * S)
    assert trips.bound < 160 * MS


def test_members_that_are_all_slow_suspect_nobody() -> None:
    """Each of 40 has its core for a tenth of the time, all at once: late answers are no silence."""
    sim, _ = made(40)
    for process in sim.living():
        process.cpu_share = 0.1
    sim.run(10 * S)  # until they have seen how slow they are
    sim.changes.clear()
    sim.run(30 * S)
    assert not deaths(sim)
    assert sum(c.after is State.SUSPECT for _, _, c in sim.changes) < 40 * 40


# Seals and messages.


def pair(keys: tuple[bytes, ...] = (b"k" * 16,)) -> tuple[Seal, Seal]:
    return Seal(11, keys), Seal(22, keys)


def refused(seal: Seal, datagram: bytes) -> str:
    with pytest.raises(SealError) as error:
        seal.open(datagram)
    return str(error.value)


def test_a_seal_opens_once_for_whom_it_was_meant_in_any_order() -> None:
    a, b = pair()
    sent = [a.close(b"%d" % n, 22) for n in range(WINDOW + 2)]
    assert b.open(sent[5]) == (11, b"5") and b.open(sent[3]) == (11, b"3")
    assert refused(b, sent[5]) == refused(b, sent[3]) == "again"
    b.open(sent[-1])
    assert refused(b, sent[0]) == "again"  # too late to be told from one that comes again
    assert refused(Seal(33, b.keys), sent[6]) == "elsewhere"
    assert refused(b, sent[6][:-1] + b"x") == refused(b, sent[6][:20] + b"x" + sent[6][21:]) == "unproven"
    assert refused(b, b"") == refused(b, b"x" * 200) == "foreign"
    assert refused(Seal(22, (b"z" * 16,)), sent[6]) == "unproven"


def test_who_has_started_anew_tells_its_life_and_nothing_old_opens() -> None:
    a, _ = pair()
    recorded = a.close(b"old", 22)
    anew = Seal(23, a.keys)
    with pytest.raises(SealError) as error:
        anew.open(recorded)
    assert error.value.reply is not None and len(error.value.reply) == OVERHEAD <= len(recorded)
    assert a.open(error.value.reply) == (23, b"")
    assert anew.open(a.close(b"new", 23)) == (11, b"new")
    with pytest.raises(SealError) as error:
        a.open(anew.close(b"", 7))
    assert error.value.reply is None  # no two tell each other their lives for ever


def test_a_key_changes_one_member_after_the_other() -> None:
    old, new = b"o" * 16, b"n" * 16
    a, b = pair((old,))
    for step in ((old, new), (new, old), (new,)):
        for changed, other in ((a, b), (b, a)):
            changed.keys = step
            assert other.open(changed.close(b"x", other.life))[1] == changed.open(other.close(b"x", changed.life))[1]
    assert refused(Seal(22, (old,)), a.close(b"x", 22)) == "unproven"


def test_a_newer_members_fields_are_passed_over_and_an_older_ones_filled_in() -> None:
    import msgspec

    fact = Fact("n", "127.0.0.1", 7, 5, hall="h", version="9")
    longer: Any = [*msgspec.msgpack.decode(encoded(Message("p", fact))), "more", [1]]
    longer[1] = [*longer[1], {"and": "more"}]
    assert decoded(msgspec.msgpack.encode(longer)) == Message("p", fact)
    shorter = msgspec.msgpack.encode(["p", ["n", "127.0.0.1", 7, 5]])
    assert decoded(shorter) == Message("p", Fact("n", "127.0.0.1", 7, 5))
    sim, names = made(3)
    assert sim.by_name[names[0]].members.hear(Message("unheard-of", fact), ("127.0.0.1", 7), sim.now) == []


@given(st.binary(max_size=300))
def test_garbage_is_a_message_error(raw: bytes) -> None:
    try:
        decoded(raw)
    except MessageError:
        return


@pytest.mark.parametrize(
    "fact",
    [
        Fact("", "h", 1, 1),
        Fact("n" * 65, "h", 1, 1),
        Fact("n", "h", 0, 1),
        Fact("n", "h", 1, -1),
        Fact("n", "", 1, 1),
        Fact("n", "h", 1, 1, state=4),
        Fact("n", "h", 1, 1, turn=-1),
        Fact("n", "h", 1, 1, hall="x" * 65),
    ],
)
def test_a_fact_out_of_bounds_is_refused(fact: Fact) -> None:
    with pytest.raises(MessageError):
        decoded(encoded(Message("g", fact)))
