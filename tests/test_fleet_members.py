"""The membership protocol in simulated time: the faults that it must tolerate, and random faults drawn from seeds."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramblestile.clock import ZERO_DURATION
from bramblestile.fleet.broadcast_queue import BroadcastQueue
from bramblestile.fleet.membership import Membership, ProtocolConfig
from bramblestile.fleet.messages import (
    MAX_MESSAGE_BYTES,
    Kind,
    MemberRecord,
    Message,
    MessageError,
    State,
    from_msgpack,
    to_msgpack,
)
from bramblestile.fleet.publish_schedule import PublishSchedule
from bramblestile.fleet.round_trips import RoundTripEstimator
from bramblestile.fleet.sealing import OVERHEAD_BYTES, REPLAY_WINDOW, Sealer, SealError
from bramblestile.fleet.suspicion import Suspicion
from bramblestile.lab.membership_simulation import MembershipSimulation
from bramblestile.lab.random_faults import InvariantError, RandomFaultRun

S = timedelta(seconds=1)
MS = timedelta(milliseconds=1)


def start_fleet(count: int, seed: int = 1) -> tuple[MembershipSimulation, list[str]]:
    """Return a simulation whose members know each other, and their names."""
    sim = MembershipSimulation(seed)
    names = sim.start_members(count)
    assert sim.has_converged()
    sim.run(5 * S)
    sim.changes.clear()
    return sim, names


def deaths(sim: MembershipSimulation, exclude: str = "") -> list[tuple[str, str]]:
    """Return the pairs of a viewer and a member that it has declared dead, other than ``exclude``."""
    return [(viewer, c.name) for _, viewer, c in sim.changes if c.after is State.DEAD and c.name != exclude]


@pytest.mark.parametrize("count", [5, 60])
def test_a_killed_member_is_detected_by_all_and_no_other_is_declared_dead(count: int) -> None:
    sim, names = start_fleet(count)
    sim.kill(names[3])
    assert sim.run_until(sim.has_converged, 5 * S) < 2.5 * S
    assert not deaths(sim, names[3])


@pytest.mark.parametrize(("span", "dies"), [(0.5, False), (2, True), (10, True)])
def test_a_paused_member_rejoins_soon_after_resuming_and_declares_nobody_dead(span: float, dies: bool) -> None:
    sim, names = start_fleet(30)
    sim.pause(names[5], span * S)
    sim.run(span * S)
    assert bool(deaths(sim)) is dies
    assert sim.run_until(sim.has_converged, 10 * S) < S
    assert not deaths(sim, names[5])


def test_members_short_of_cpu_and_packet_loss_cause_no_deaths() -> None:
    sim, names = start_fleet(30)
    sim.network.loss_rate = 0.05
    for name in names[4:8]:
        sim.by_name[name].cpu_share = 0.1
    sim.run(60 * S)
    assert not deaths(sim)


def test_a_member_that_receives_nothing_accuses_all_others_without_effect() -> None:
    sim, names = start_fleet(30)
    sim.network.drop_rules["in"] = lambda a, b: b == names[5]
    sim.run(20 * S)
    assert not [d for d in deaths(sim, names[5]) if d[0] != names[5]]
    sim.network.drop_rules.clear()
    assert sim.run_until(sim.has_converged, 20 * S) < 5 * S


def test_a_one_way_link_is_bypassed_by_indirect_probes() -> None:
    sim, names = start_fleet(12)
    sim.network.drop_rules["one way"] = lambda a, b: (a, b) == (names[2], names[3])
    sim.run(30 * S)
    assert not deaths(sim)


def test_thirty_percent_loss_causes_no_deaths_and_hides_none() -> None:
    sim, names = start_fleet(20)
    sim.network.loss_rate = 0.3
    sim.run(30 * S)
    assert not deaths(sim)
    sim.kill(names[7])
    assert sim.run_until(sim.has_converged, 10 * S) < 5 * S


def test_each_side_of_a_partition_agrees_on_itself_and_both_merge_again() -> None:
    sim, names = start_fleet(24)
    half = set(names[:12])
    sim.network.drop_rules["split"] = lambda a, b: (a in half) != (b in half)
    sim.run(8 * S)
    assert all(
        {r.name for r in p.membership.live_members()} == (half if p.name in half else set(names) - half)
        for p in sim.live_processes()
    )
    sim.network.drop_rules.clear()
    assert sim.run_until(sim.has_converged, 20 * S) < 5 * S


def test_seventy_percent_of_the_fleet_killed_at_once() -> None:
    """Each missing nack must not lower the requester's own health.

    It did, and where most of the fleet was dead the live members waited nine times as long: 35 s.
    """
    sim, names = start_fleet(30)
    for name in names[3:24]:
        sim.kill(name)
    assert sim.run_until(sim.has_converged, 30 * S) < 8 * S


def test_a_restart_during_the_suspicion_replaces_the_previous_process() -> None:
    sim, names = start_fleet(12)
    sim.kill(names[4])
    sim.run(0.5 * S)
    before = sim.by_name[names[4]].membership.local.epoch
    sim.start(names[4], seeds=names[:3])
    assert sim.run_until(sim.has_converged, 5 * S) < S
    sim.run(8 * S)
    assert sim.has_converged() and not deaths(sim)
    assert all(
        r.epoch > before for p in sim.live_processes() for r in p.membership.live_members() if r.name == names[4]
    )


def test_a_restart_with_a_clock_that_was_set_back() -> None:
    sim, names = start_fleet(12)
    sim.kill(names[4])
    sim.run(0.5 * S)
    sim.start(names[4], seeds=names[:3], epoch=5)
    sim.run(5 * S)
    assert sim.has_converged()


def test_of_two_processes_with_one_name_the_later_start_keeps_it() -> None:
    sim, names = start_fleet(8)
    first = sim.by_name[names[4]]
    second = sim.start(names[4], seeds=names[:3], address=("127.9.9.9", 7))
    sim.run(10 * S)
    assert first.membership.same_name_process is not None and second.membership.same_name_process is None
    hosts = {
        r.host for n in names if n != names[4] for r in sim.by_name[n].membership.live_members() if r.name == names[4]
    }
    assert hosts == {"127.9.9.9"}
    second.running = False  # the first process learns that its name is free again, and takes it
    sim.run(20 * S)
    assert first.membership.same_name_process is None and len(first.membership.live_members()) == 8


def test_a_member_that_leaves_is_removed_at_once() -> None:
    sim, names = start_fleet(20)
    process = sim.by_name[names[5]]
    sim._send(process, process.membership.leave(sim.now))
    process.running = False
    assert sim.run_until(sim.has_converged, 5 * S) < 0.6 * S
    assert not deaths(sim)


def test_two_hundred_members_join_at_once() -> None:
    sim, names = start_fleet(5)
    for n in range(200):
        sim.start(f"x{n}", seeds=names[:3])
    assert sim.run_until(sim.has_converged, 20 * S) < 3 * S


def test_traffic_per_member_does_not_grow_with_the_fleet() -> None:
    bytes_per_member = []
    for count in (10, 80):
        sim, _ = start_fleet(count)
        sim.run(25 * S)
        before = sum(p.sent_bytes for p in sim.live_processes())
        sim.run(10 * S)
        bytes_per_member.append((sum(p.sent_bytes for p in sim.live_processes()) - before) / count)
    assert bytes_per_member[1] < 1.2 * bytes_per_member[0]


def test_entries_reach_all_members_and_end_by_expiry_or_with_their_owner() -> None:
    sim, names = start_fleet(20)
    owner = sim.by_name[names[2]].membership
    owner.publish("traffic", b"old", 60 * S, sim.now)
    owner.publish("traffic", b"7", 4 * S, sim.now)
    sim.run(2 * S)
    assert {p.membership.entry_table.get(names[2], "traffic", sim.now) for p in sim.live_processes()} == {b"7"}
    late = sim.start("late", seeds=names[:3])
    sim.run(S)
    assert late.membership.entry_table.get(names[2], "traffic", sim.now) == b"7"
    sim.run(2 * S)
    assert {p.membership.entry_table.get(names[2], "traffic", sim.now) for p in sim.live_processes()} == {None}
    owner.publish("traffic", b"9", 60 * S, sim.now)
    sim.run(S)
    sim.kill(names[2])
    sim.start(names[2], seeds=names[:3])
    sim.run(3 * S)
    assert {p.membership.entry_table.get(names[2], "traffic", sim.now) for p in sim.live_processes()} == {None}


@pytest.mark.parametrize("seed", range(25))
def test_random_faults(seed: int) -> None:
    RandomFaultRun(seed, max_size=14).run_scenario()


def never_refutes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_apply_own_record", lambda self, record: False)


def trusts_a_single_accuser(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Membership._apply_record

    def apply_record(self: Membership, record: MemberRecord, now: timedelta) -> bool:
        peer = self.peers.get(record.name)
        if peer is not None and record.state == State.DEAD and record.recency == peer.record.recency and peer.is_live:
            self._set_state(peer, peer.record, State.DEAD, now, record.accuser, (record.accuser,))
            self.broadcasts.add(peer.record)
            return True
        return original(self, record, now)

    monkeypatch.setattr(Membership, "_apply_record", apply_record)


def accepts_outdated_records(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Membership._apply_record

    def apply_record(self: Membership, record: MemberRecord, now: timedelta) -> bool:
        peer = self.peers.get(record.name)
        if peer is not None and record.recency < peer.record.recency and record.state == State.ALIVE:
            self._replace_record(peer, record)
            return True
        return original(self, record, now)

    monkeypatch.setattr(Membership, "_apply_record", apply_record)


def never_probes_unreachable_members(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_probe_unreachable", lambda self, now: [])


@pytest.mark.parametrize(
    "bug", [never_refutes, trusts_a_single_accuser, accepts_outdated_records, never_probes_unreachable_members]
)
def test_an_injected_bug_is_detected(
    bug: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    with pytest.raises(InvariantError):
        for seed in range(100):
            RandomFaultRun(seed, max_size=20).run_scenario()


def test_a_member_that_was_paused_expires_no_suspicion() -> None:
    local, other = MemberRecord("a", "127.0.0.1", 1, 9), MemberRecord("b", "127.0.0.1", 2, 9)
    membership = Membership(local, [], Random(1), S)
    membership.receive(
        Message(Kind.GOSSIP, other, records=(MemberRecord("b", "127.0.0.1", 2, 9, state=1, accuser="c"),)), ("", 2), S
    )
    for accuser in ("d", "e", "f"):
        membership.receive(
            Message(Kind.GOSSIP, None, records=(MemberRecord("b", "127.0.0.1", 2, 9, state=1, accuser=accuser),)),
            ("", 2),
            S,
        )
    membership.next_step_at()
    membership.step(10 * S)
    assert membership.peers["b"].state is State.SUSPECT and membership.counts["late"] == 1


def test_each_accuser_shortens_a_suspicion() -> None:
    config = ProtocolConfig()
    suspicion = Suspicion(S, config.min_suspicion, config.max_suspicion, 3)
    deadlines = [suspicion.deadline for accuser in "abcd" if suspicion.add_accuser(accuser)]
    assert (
        deadlines == sorted(deadlines, reverse=True)
        and deadlines[0] == S + config.max_suspicion
        and deadlines[-1] == S + config.min_suspicion
    )
    assert not suspicion.add_accuser("a") and not suspicion.add_accuser("e")


def test_updates_are_sent_a_bounded_number_of_times_the_newest_first() -> None:
    queue = BroadcastQueue()
    for n in range(5):
        queue.add(MemberRecord(f"m{n}", "127.0.0.1", 1, n))
    transmits = 0
    while len(queue):
        transmits += len(queue.next_batch(MAX_MESSAGE_BYTES, 7))
    assert transmits == 5 * 3 * 3
    queue.add(MemberRecord("old", "127.0.0.1", 1, 1))
    queue.next_batch(MAX_MESSAGE_BYTES, 7)
    queue.add(MemberRecord("new", "127.0.0.1", 1, 1))
    free_bytes = len(to_msgpack(MemberRecord("new", "127.0.0.1", 1, 1))) + 1
    assert [u.name for u in queue.next_batch(free_bytes, 7) if isinstance(u, MemberRecord)] == ["new"]


def test_metrics_are_published_on_change_and_less_often_in_a_larger_fleet() -> None:
    def publications(member_count: int) -> int:
        schedule, random = PublishSchedule(Random(2)), Random(1)
        return sum(
            schedule.ttl_if_due(random.uniform(1, 100), member_count, n * S / 10) is not None for n in range(6000)
        )

    assert publications(10) > 400 and publications(1000) <= 6
    unchanged = PublishSchedule(Random(1))
    ttls = [ttl for n in range(600) if (ttl := unchanged.ttl_if_due(50, 10, n * S)) is not None]
    assert 600 / (ttls[0] / S / 3) <= len(ttls) <= 2 * 600 / (ttls[0] / S / 3)


def test_members_that_start_together_do_not_publish_together() -> None:
    schedules = [PublishSchedule(Random(n)) for n in range(120)]
    publications = [
        sum(schedule.ttl_if_due(5, 1 if n < 2 else 120, n * S) is not None for schedule in schedules)
        for n in range(120)
    ]
    assert publications[0] == 120 and max(publications[2:]) <= 40


def gossip_rounds(late: timedelta) -> int:
    """Return the rounds of gossip in 5 s of a member that always has updates and whose steps run this late."""
    membership = Membership(MemberRecord("me", "127.0.0.1", 1, 1), [], Random(1), ZERO_DURATION)
    for n in range(30):
        membership.receive(
            Message(Kind.GOSSIP, MemberRecord(f"b{n}", "127.0.0.1", 2 + n, 1)), ("127.0.0.1", 2 + n), ZERO_DURATION
        )
    at, count = ZERO_DURATION, 0
    while at < 5 * S:
        membership.publish("figure", b"1", 60 * S, at)
        at = max(at + MS, membership.next_step_at() + late)
        out = membership.step(at)
        count += any(message.kind == Kind.GOSSIP for _, message in out)
        for to, message in out:
            if message.kind == Kind.PING and message.subject is None:
                membership.receive(Message(Kind.ACK, MemberRecord(f"b{to[1] - 2}", *to, 1), message.sequence), to, at)
    return count


def test_a_member_that_runs_late_gossips_less_often() -> None:
    assert gossip_rounds(ZERO_DURATION) > 2 * gossip_rounds(40 * MS) > 10


def test_the_round_trip_bound_follows_the_samples() -> None:
    round_trips = RoundTripEstimator()
    assert round_trips.upper_bound == ZERO_DURATION
    for n in range(50):
        round_trips.add_sample(10 * MS, n * S / 5)
    assert 10 * MS <= round_trips.upper_bound < 20 * MS
    for n in range(20):
        round_trips.add_sample(200 * MS, 10 * S + n * S / 5)
    assert 200 * MS < round_trips.upper_bound <= 320 * MS
    round_trips.add_sample(5 * S, 15 * S)
    assert round_trips.upper_bound == 320 * MS
    for n in range(6):  # at the longer probe interval that the slow samples cause
        round_trips.add_sample(10 * MS, 16 * S + n * S)
    assert round_trips.upper_bound < 160 * MS


def test_members_that_are_all_slow_declare_nobody_dead() -> None:
    """Each of 40 members has a tenth of a core, all at the same time: late answers must not count as missing ones."""
    sim, _ = start_fleet(40)
    for process in sim.live_processes():
        process.cpu_share = 0.1
    sim.run(10 * S)  # until the round-trip estimates have adapted
    sim.changes.clear()
    sim.run(30 * S)
    assert not deaths(sim)
    assert sum(c.after is State.SUSPECT for _, _, c in sim.changes) < 40 * 40


# Sealing and message encoding.


def pair(keys: tuple[bytes, ...] = (b"k" * 16,)) -> tuple[Sealer, Sealer]:
    return Sealer(11, keys), Sealer(22, keys)


def open_error(sealer: Sealer, datagram: bytes) -> str:
    with pytest.raises(SealError) as error:
        sealer.open(datagram)
    return str(error.value)


def test_a_datagram_is_accepted_once_by_its_receiver_in_any_order() -> None:
    a, b = pair()
    sent = [a.seal(b"%d" % n, 22) for n in range(REPLAY_WINDOW + 2)]
    assert b.open(sent[5]) == (11, b"5") and b.open(sent[3]) == (11, b"3")
    assert open_error(b, sent[5]) == open_error(b, sent[3]) == "again"
    b.open(sent[-1])
    assert open_error(b, sent[0]) == "again"  # outside the replay window, so it cannot be told from a replay
    assert open_error(Sealer(33, b.keys), sent[6]) == "elsewhere"
    assert open_error(b, sent[6][:-1] + b"x") == open_error(b, sent[6][:20] + b"x" + sent[6][21:]) == "unproven"
    assert open_error(b, b"") == open_error(b, b"x" * 200) == "foreign"
    assert open_error(Sealer(22, (b"z" * 16,)), sent[6]) == "unproven"


def test_a_restarted_process_announces_its_epoch_and_rejects_recorded_datagrams() -> None:
    a, _ = pair()
    recorded = a.seal(b"old", 22)
    restarted = Sealer(23, a.keys)
    with pytest.raises(SealError) as error:
        restarted.open(recorded)
    assert error.value.reply is not None and len(error.value.reply) == OVERHEAD_BYTES <= len(recorded)
    assert a.open(error.value.reply) == (23, b"")
    assert restarted.open(a.seal(b"new", 23)) == (11, b"new")
    with pytest.raises(SealError) as error:
        a.open(restarted.seal(b"", 7))
    assert error.value.reply is None  # or two members would announce their epochs to each other for ever


def test_a_key_is_rotated_one_member_after_the_other() -> None:
    old, new = b"o" * 16, b"n" * 16
    a, b = pair((old,))
    for step in ((old, new), (new, old), (new,)):
        for changed, other in ((a, b), (b, a)):
            changed.keys = step
            assert other.open(changed.seal(b"x", other.epoch))[1] == changed.open(other.seal(b"x", changed.epoch))[1]
    assert open_error(Sealer(22, (old,)), a.seal(b"x", 22)) == "unproven"


def test_fields_of_a_newer_version_are_ignored_and_missing_ones_filled_in() -> None:
    import msgspec

    record = MemberRecord("n", "127.0.0.1", 7, 5, hall="h", version="9")
    longer: Any = [*msgspec.msgpack.decode(to_msgpack(Message("p", record))), "more", [1]]
    longer[1] = [*longer[1], {"and": "more"}]
    assert from_msgpack(msgspec.msgpack.encode(longer)) == Message("p", record)
    shorter = msgspec.msgpack.encode(["p", ["n", "127.0.0.1", 7, 5]])
    assert from_msgpack(shorter) == Message("p", MemberRecord("n", "127.0.0.1", 7, 5))
    sim, names = start_fleet(3)
    assert sim.by_name[names[0]].membership.receive(Message("unheard-of", record), ("127.0.0.1", 7), sim.now) == []


@given(st.binary(max_size=300))
def test_garbage_raises_message_error(raw: bytes) -> None:
    try:
        from_msgpack(raw)
    except MessageError:
        return


@pytest.mark.parametrize(
    "record",
    [
        MemberRecord("", "h", 1, 1),
        MemberRecord("n" * 65, "h", 1, 1),
        MemberRecord("n", "h", 0, 1),
        MemberRecord("n", "h", 1, -1),
        MemberRecord("n", "", 1, 1),
        MemberRecord("n", "h", 1, 1, state=4),
        MemberRecord("n", "h", 1, 1, incarnation=-1),
        MemberRecord("n", "h", 1, 1, hall="x" * 65),
    ],
)
def test_a_record_out_of_bounds_is_rejected(record: MemberRecord) -> None:
    with pytest.raises(MessageError):
        from_msgpack(to_msgpack(Message("g", record)))
