"""The membership protocol without sockets and without a clock: messages in, messages out.

SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey 2018) and these of this
project:

- Confirmation probes: a member that receives a new suspicion probes the suspect itself, with a probability at which
  three such probes are expected in the whole fleet. A dead member is detected sooner, and a live one learns of the
  suspicion and refutes it.
- No member is declared dead on one member's claim. Each member decides for itself and, with fewer than two accusers,
  first sends its own probe; a received "dead" counts as one more accusation. So the claims of a member that is short of
  CPU do not remove others.
- A step that comes late shows that this process did not run: timers that expired meanwhile prove nothing about others,
  and every suspicion is extended by that time.
- Suspicion timeouts grow with the round-trip time, and a member whose steps run late gossips less often. With 120
  processes on 8 cores a burst of updates from all members had delayed all of them; the delayed ones were suspected, the
  suspicions were further updates, and the overload sustained itself.

Guaranteed: what a member sends per second does not depend on the number of members; no table grows beyond
``MAX_MEMBERS``; a live member that can be reached within the minimum suspicion timeout is never declared dead.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from zlib import crc32

import msgspec

from bramblestile.clock import ZERO_DURATION
from bramblestile.fleet.broadcast_queue import BroadcastQueue
from bramblestile.fleet.entry_table import EntryTable
from bramblestile.fleet.messages import (
    DIGEST_BUCKETS,
    MAX_MESSAGE_BYTES,
    MAX_RECORDS_PER_MESSAGE,
    Entry,
    Kind,
    MemberRecord,
    Message,
    State,
    bucket_of,
    to_msgpack,
)
from bramblestile.fleet.round_trips import RoundTripEstimator
from bramblestile.fleet.suspicion import LocalHealth, Suspicion

MAX_MEMBERS = 4096  # known at once, dead ones included
LATE_ACK_WINDOW = timedelta(seconds=3)  # after a probe's start; an ack within it still is a round-trip sample
MIN_RESYNC_INTERVAL = timedelta(milliseconds=300)  # between two digests that are sent because of a pause
LATENESS_STEPS = 10  # steps over which the lateness is averaged
CONFIRMATION_PROBES = 3  # expected in the whole fleet for each suspicion
Address = tuple[str, int]


_MS = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class ProtocolConfig:
    """Timing and fan-out of the protocol; the defaults are discussed in docs/design/membership.md."""

    probe_interval: timedelta = 200 * _MS  # SWIM's protocol period
    ack_timeout: timedelta = 80 * _MS  # halls are 10 to 20 ms apart: four one-way trips and a little CPU time
    indirect_probes: int = 3  # members that are asked to probe the target after a missing ack
    expected_confirmations: int = 3  # accusers beyond the first that shorten a suspicion to its minimum
    # More than a pause of half a second, and twice the time that an update takes to reach 1,000 members.
    min_suspicion: timedelta = 700 * _MS
    max_suspicion: timedelta = 4000 * _MS
    gossip_interval: timedelta = 50 * _MS
    gossip_fanout: int = 2
    digest_interval: timedelta = 2000 * _MS
    catch_up_interval: timedelta = 25 * _MS  # between digests as long as they bring updates
    reconnect_interval: timedelta = 1000 * _MS  # between probes of a dead member or a seed; they end a healed partition
    forget_after: timedelta = timedelta(minutes=10)  # how long a member that is dead or has left stays known
    pause_threshold: timedelta = 150 * _MS  # a step that is this late shows that the process was paused
    gossip_backoff: float = 4.0  # times the average lateness is the minimum interval between two rounds of gossip


@dataclass(slots=True)
class Peer:
    """Another member as this one sees it; ``since`` is when its state began here."""

    record: MemberRecord
    since: timedelta
    suspicion: Suspicion | None = None

    @property
    def state(self) -> State:
        """The state in the record."""
        return State(self.record.state)

    @property
    def is_live(self) -> bool:
        """Whether it counts as a live member: alive, or suspected only."""
        return self.record.state <= State.SUSPECT


@dataclass(slots=True, frozen=True)
class Change:
    """A change of a member's state. ``accusers`` is set if it died."""

    name: str
    before: State | None
    after: State | None  # None: forgotten
    accusers: tuple[str, ...] = ()


class _RandomSet:
    """A set of names from which one can be drawn at random; each operation takes constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        if name not in self._index:
            self._index[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        index = self._index.pop(name, None)
        if index is not None:
            last = self._names.pop()
            if last != name:
                self._names[index] = last
                self._index[last] = index

    def draw(self, random: Random) -> str:
        return random.choice(self._names)

    def to_list(self) -> list[str]:
        return list(self._names)


@dataclass(slots=True)
class _Probe:
    target: str
    started_at: timedelta
    indirect_sent: bool = False  # other members were asked to probe the target
    nacks: int = 0


@dataclass(slots=True)
class _IndirectProbe:
    """A probe for another member: its sequence number and address, and when the probe expires."""

    sequence: int
    requester: Address
    nack_at: timedelta
    expires_at: timedelta
    nacked: bool = False


Outgoing = tuple[Address, Message]


class Membership:
    """The view that one member has of the fleet.

    ``seeds`` are addresses that are contacted as long as no other member is known, and now and then afterwards. The
    caller passes received messages to ``receive``, calls ``step`` when ``next_step_at`` is reached, and sends the
    messages that they return.
    """

    def __init__(
        self,
        local: MemberRecord,
        seeds: Iterable[Address],
        random: Random,
        now: timedelta,
        config: ProtocolConfig | None = None,
    ) -> None:
        self.local, self.config, self.random = local, config or ProtocolConfig(), random
        self.seeds = [s for s in seeds if s != (local.host, local.port)]
        self.peers: dict[str, Peer] = {}
        self.entry_table = EntryTable()
        self.health = LocalHealth()
        self.changes: list[Change] = []
        self.same_name_process: MemberRecord | None = None  # another process with this name; while set, only listen
        self.counts = {"probes": 0, "failed": 0, "accused": 0, "refuted": 0, "late": 0, "refused": 0}
        self.broadcasts = BroadcastQueue()
        self._live_names = _RandomSet()  # of peers
        self._suspects: dict[str, Peer] = {}
        self._names_by_bucket: list[set[str]] = [set() for _ in range(DIGEST_BUCKETS)]
        self.epochs: dict[Address, int] = {}  # of the process at an address; needed to seal datagrams for it
        self._digest_words = [0] * DIGEST_BUCKETS  # of the live members, updated with every change
        self._probe_order: list[str] = []  # the next target is the last one
        self._probes: dict[int, _Probe] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._sequence = random.getrandbits(24)
        self._last_active_at = now
        self._planned_step_at = now
        self._resynced_at = ZERO_DURATION  # when a pause last caused a digest
        self.lateness = ZERO_DURATION  # of steps, as a moving average
        self.round_trips = RoundTripEstimator()
        self._failed_probes: dict[int, _Probe] = {}  # kept because a late ack is a round-trip sample
        self._next_probe_at = now + self.config.probe_interval * random.random()
        self._next_gossip_at = now
        self._next_digest_at = now
        self._next_reconnect_at = now
        self._next_cleanup_at = now + self.config.digest_interval
        self._toggle_in_digest(local)
        self.broadcasts.add(local)

    # The view.

    def live_members(self) -> list[MemberRecord]:
        """Return the records of all live members, this one included."""
        return [
            *([self.local] if self.same_name_process is None else []),
            *(self.peers[n].record for n in self._live_names.to_list()),
        ]

    @property
    def size(self) -> int:
        """The number of live members, this one included."""
        return 1 + len(self._live_names)

    def publish(self, key: str, value: bytes, ttl: timedelta, now: timedelta) -> None:
        """Spread an entry of this member; it replaces an earlier one with this key."""
        version = max(now // timedelta(microseconds=1), self._entry_version + 1)
        self._entry_version = version
        entry = Entry(self.local.name, key, version, value, ttl // _MS)
        if self.entry_table.merge(entry, now):
            self.broadcasts.add(entry)

    _entry_version = 0

    # Timers.

    def next_step_at(self) -> timedelta:
        """Return the time at which ``step`` should be called."""
        times = [self._next_digest_at, self._next_reconnect_at, self._next_cleanup_at]
        if self.same_name_process is None:
            times += self._sending_times()
        # What a message has just made due could not have been done earlier, and does not make the step late.
        self._planned_step_at = max(min(times), self._last_active_at)
        return self._planned_step_at

    def _sending_times(self) -> list[timedelta]:
        """Return the timers of a member that may send; one whose name is taken has none of them."""
        times = [self._next_probe_at]
        if len(self.broadcasts):
            times.append(self._next_gossip_at)
        for probe in self._probes.values():
            times.append(self._ack_deadline(probe) if not probe.indirect_sent else self._probe_deadline(probe))
        times += [indirect.nack_at for indirect in self._indirect_probes.values() if not indirect.nacked]
        times += [peer.suspicion.deadline for peer in self._suspects.values() if peer.suspicion is not None]
        return times

    def step(self, now: timedelta) -> list[Outgoing]:
        """Do what is due. All messages that have arrived must have been passed to ``receive`` before."""
        lateness = now - self._planned_step_at if now > self._planned_step_at else ZERO_DURATION
        self.lateness += (lateness - self.lateness) / LATENESS_STEPS
        if lateness >= self.config.pause_threshold:
            self._on_pause(
                now - self._last_active_at if self._last_active_at > self._planned_step_at else lateness, now
            )
        self._last_active_at = now
        self._planned_step_at = now + timedelta(days=1)  # until ``next_step_at`` is called
        out: list[Outgoing] = []
        if self.same_name_process is None:
            out += self._run_probes(now)
            self._expire_suspicions(now, out)
        if now >= self._next_gossip_at and len(self.broadcasts) and self.same_name_process is None:
            self._next_gossip_at = now + max(self.config.gossip_interval, self.lateness * self.config.gossip_backoff)
            out += [
                (self._address_of(r), self._build_message(Kind.GOSSIP, now=now))
                for r in self._random_live(self.config.gossip_fanout)
                if len(self.broadcasts)
            ]
        if now >= self._next_digest_at:
            self._next_digest_at = now + self.config.digest_interval * (0.75 + self.random.random() / 2)
            out += self._send_digest(now)
        if now >= self._next_reconnect_at:
            self._next_reconnect_at = now + self.config.reconnect_interval * (0.75 + self.random.random() / 2)
            out += self._probe_unreachable(now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + self.config.digest_interval
            self._clean_up(now)
        return out

    def _on_pause(self, pause: timedelta, now: timedelta) -> None:
        """Discard what became due while this process did not run."""
        self.counts["late"] += 1
        self.health.adjust(1)
        self._probes.clear()
        self._indirect_probes.clear()
        for peer in self._suspects.values():
            if peer.suspicion is not None:
                peer.suspicion.extension += pause
        # This process cannot have answered meanwhile: others may suspect it, and a message from it ends that soonest.
        self._next_gossip_at = now
        if now >= self._resynced_at + MIN_RESYNC_INTERVAL:  # at each of many late steps it would delay the next one
            self._resynced_at = self._next_digest_at = now

    def leave(self, now: timedelta) -> list[Outgoing]:
        """Announce to several members that this one leaves; they pass it on."""
        if self.same_name_process is not None:
            return []
        self._set_local(msgspec.structs.replace(self.local, state=int(State.LEFT)))
        return [
            (self._address_of(r), Message(Kind.GOSSIP, self.local, records=(self.local,))) for r in self._random_live(8)
        ]

    # Probes.

    def _ack_deadline(self, probe: _Probe) -> timedelta:
        return probe.started_at + self.health.scale(self.config.ack_timeout * self._interval_factor())

    def _probe_deadline(self, probe: _Probe) -> timedelta:
        return probe.started_at + self._probe_interval()

    def _probe_interval(self) -> timedelta:
        return self.health.scale(self.config.probe_interval * self._interval_factor())

    def _interval_factor(self) -> float:
        """Return the factor of probe timers, above 1 where answers are slow on average.

        It ignores the deviation: a few slow members must not delay the probes that clear them of suspicion.
        """
        return max(1.0, 2 * self.round_trips.mean / self.config.ack_timeout)

    def _suspicion_factor(self) -> float:
        """Return how many times longer than the ack timeout an answer may take."""
        return max(1.0, self.round_trips.upper_bound / self.config.ack_timeout)

    def _run_probes(self, now: timedelta) -> list[Outgoing]:
        """Do what is due for all probes, and start the next one; return the messages to send.

        After the ack timeout other members are asked to probe the target; after the probe's deadline it has failed. For
        probes on behalf of others, a nack tells the requester that there is no answer yet.
        """
        out: list[Outgoing] = []
        for sequence, probe in list(self._probes.items()):
            if not probe.indirect_sent and now >= self._ack_deadline(probe):
                probe.indirect_sent = True
                peer = self.peers.get(probe.target)
                if peer is not None:
                    helpers = self._random_live(self.config.indirect_probes, exclude=probe.target)
                    out += [
                        (
                            self._address_of(r),
                            self._build_message(Kind.PING_REQUEST, sequence, subject=peer.record, now=now),
                        )
                        for r in helpers
                    ]
            if now >= self._probe_deadline(probe):
                del self._probes[sequence]
                self._failed_probes[sequence] = probe
                self._on_probe_failed(probe, now)
        for sequence, indirect in list(self._indirect_probes.items()):
            if not indirect.nacked and now >= indirect.nack_at:
                indirect.nacked = True
                out.append((indirect.requester, self._build_message(Kind.NACK, indirect.sequence, now=now)))
            if now >= indirect.expires_at:
                del self._indirect_probes[sequence]
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._probe_interval()
            self._failed_probes = {
                s: probe for s, probe in self._failed_probes.items() if now - probe.started_at < LATE_ACK_WINDOW
            }
            target = self._next_target()
            if target is not None:
                out += self._send_probe(target, now)
        return out

    def _next_target(self) -> str | None:
        """Return the next peer of a shuffled round robin, in which each comes within two rounds (SWIM, 4.3)."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                peer = self.peers.get(name)
                if peer is not None and peer.is_live:
                    return name
            self._probe_order = self._live_names.to_list()
            self.random.shuffle(self._probe_order)
        return None

    def _send_probe(self, target: str, now: timedelta) -> list[Outgoing]:
        """Start a probe of a peer, unless one is pending; return the ping to send."""
        if any(probe.target == target for probe in self._probes.values()):
            return []
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(target, now)
        self.counts["probes"] += 1
        record = self.peers[target].record
        return [
            (
                self._address_of(record),
                self._build_message(Kind.PING, sequence, subject=self._accusation(target), now=now),
            )
        ]

    def _accusation(self, name: str) -> MemberRecord | None:
        """Return the record that accuses a peer, to be sent to it so that it can refute it at once."""
        peer = self.peers.get(name)
        if peer is None or peer.record.state == State.ALIVE:
            return None
        return peer.record

    def _on_probe_failed(self, probe: _Probe, now: timedelta) -> None:
        peer = self.peers.get(probe.target)
        self.counts["failed"] += 1
        # None of the members that were asked to help has sent as much as a nack: the fault may be on this side. The
        # paper counts each missing nack; where most of a fleet died at once, that made the live members wait nine times
        # as long.
        if not probe.nacks:
            self.health.adjust(1)
        if peer is None or not peer.is_live:
            return
        self._accuse(peer, self.local.name, now, first_hand=True)

    def _accuse(self, peer: Peer, accuser: str, now: timedelta, first_hand: bool = False) -> bool:
        """Record that ``accuser`` could not reach the peer; return True if that is new."""
        if peer.suspicion is None:
            others = self.size - 2  # members that could confirm it
            factor = self._suspicion_factor()
            peer.suspicion = Suspicion(
                now,
                self.config.min_suspicion * factor,
                self.config.max_suspicion * factor,
                min(self.config.expected_confirmations, max(0, others)),
            )
            self._set_state(peer, peer.record, State.SUSPECT, now, accuser)
        if not peer.suspicion.add_accuser(accuser):
            return False
        self.counts["accused"] += 1
        peer.record = msgspec.structs.replace(peer.record, accuser=accuser)
        self.broadcasts.add(peer.record)
        return True

    def _expire_suspicions(self, now: timedelta, out: list[Outgoing]) -> None:
        """Declare peers dead whose suspicion has reached its deadline; a single other accuser is not enough."""
        for peer in list(self._suspects.values()):
            suspicion = peer.suspicion
            if suspicion is None or now < suspicion.deadline:
                continue
            if len(suspicion.accusers) < 2 and self.size > 3 and self.local.name not in suspicion.accusers:
                suspicion.extension += self.config.min_suspicion  # a single accuser: this member's own probe decides
                out += self._send_probe(peer.record.name, now)
                continue
            confirmed_by = tuple(sorted(suspicion.accusers))
            self._set_state(peer, peer.record, State.DEAD, now, confirmed_by[0], confirmed_by)
            self.broadcasts.add(peer.record)

    def _probe_unreachable(self, now: timedelta) -> list[Outgoing]:
        """Ping a dead member and a seed that is not a live member, which ends a partition after it has healed."""
        live = {self._address_of(r) for r in self.live_members()} | {(self.local.host, self.local.port)}
        dead = [p.record for p in self.peers.values() if p.state is State.DEAD]
        out: list[Outgoing] = []
        if dead and self.same_name_process is None:
            record = self.random.choice(dead)
            out.append(
                (
                    self._address_of(record),
                    self._build_message(Kind.PING, self._next_sequence(), subject=record, now=now),
                )
            )
        seeds = [s for s in self.seeds if s not in live]
        if seeds and self.same_name_process is None:
            out.append((self.random.choice(seeds), self._build_message(Kind.PING, self._next_sequence(), now=now)))
        return out

    # Received messages.

    def receive(self, message: Message, source: Address, now: timedelta) -> list[Outgoing]:
        """Handle a message from an opened datagram that came from ``source``."""
        self._last_active_at = max(self._last_active_at, now)
        new_items = 0
        for record in (
            message.sender,
            message.subject if message.kind in (Kind.PING, Kind.ACK) else None,
            *message.records,
        ):
            if record is not None:
                new_items += self._apply_record(record, now)
        for entry in message.entries:
            if entry.owner == self.local.name:
                # Of a process before this one: later entries need a larger version.
                self._entry_version = max(self._entry_version, entry.version)
            elif self.entry_table.merge(entry, now):
                new_items += 1
                self.broadcasts.add(entry)
        if self.same_name_process is not None and message.kind != Kind.BUCKETS:
            return []
        match message.kind:
            case Kind.PING:
                sender_name = message.sender.name if message.sender is not None else ""
                return [
                    (
                        source,
                        self._build_message(Kind.ACK, message.sequence, subject=self._accusation(sender_name), now=now),
                    )
                ]
            case Kind.ACK:
                return self._on_ack(message, now)
            case Kind.NACK:
                probe = self._probes.get(message.sequence)
                if probe is not None:
                    probe.nacks += 1
            case Kind.PING_REQUEST:
                return self._on_ping_request(message, source, now)
            case Kind.DIGEST:
                return self._on_digest(message, source, now)
            case Kind.BUCKETS:
                return self._on_bucket_contents(message, source, new_items, now)
        return []

    def _on_ack(self, message: Message, now: timedelta) -> list[Outgoing]:
        """Handle an ack: pass it on to the member for which the probe was sent, or end this member's own probe.

        An ack of its own probe improves this member's health score and may clear a suspicion of the target.
        """
        indirect = self._indirect_probes.pop(message.sequence, None)
        if indirect is not None:
            return [
                (
                    indirect.requester,
                    self._build_message(
                        Kind.ACK,
                        indirect.sequence,
                        records=() if message.sender is None else (message.sender,),
                        now=now,
                    ),
                )
            ]
        probe = self._probes.pop(message.sequence, None)
        answered = probe or self._failed_probes.pop(message.sequence, None)
        if answered is not None and message.sender is not None and message.sender.name == answered.target:
            # Only of a direct ack: the time of an indirect one includes the ack timeout, which would feed on itself.
            self.round_trips.add_sample(now - answered.started_at, now)
        if probe is None:
            return []
        self.health.adjust(-1)
        peer = self.peers.get(probe.target)
        if (
            peer is not None
            and peer.suspicion is not None
            and self.local.name not in peer.suspicion.accusers
            and len(peer.suspicion.accusers) < 2
        ):
            # It has just answered, and only one other member could not reach it. It will refute the suspicion itself,
            # but there is no need to wait for that.
            peer.suspicion = None
            self._set_state(peer, msgspec.structs.replace(peer.record, accuser=""), State.ALIVE, now)
        return []

    def _on_ping_request(self, message: Message, source: Address, now: timedelta) -> list[Outgoing]:
        """Probe the subject for the sender, unless too many such probes are pending."""
        if message.subject is None or len(self._indirect_probes) >= MAX_RECORDS_PER_MESSAGE:
            return []
        sequence = self._next_sequence()
        self._indirect_probes[sequence] = _IndirectProbe(
            message.sequence, source, now + self.config.ack_timeout * 0.8, now + 2 * self.config.probe_interval
        )
        return [
            (
                self._address_of(message.subject),
                self._build_message(Kind.PING, sequence, subject=self._accusation(message.subject.name), now=now),
            )
        ]

    def _apply_record(self, record: MemberRecord, now: timedelta) -> bool:
        """Merge a received record into the view; return True if it is new information."""
        if record.name == self.local.name:
            return self._apply_own_record(record)
        peer = self.peers.get(record.name)
        if peer is None:
            if len(self.peers) >= MAX_MEMBERS:
                self.counts["refused"] += 1
                return False
            initial = record if record.state in (State.DEAD, State.LEFT) else _with_state(record, State.ALIVE)
            peer = self.peers[record.name] = Peer(_with_state(initial, State.DEAD), now)
            self._names_by_bucket[bucket_of(record.name)].add(record.name)
            self._replace_record(peer, initial)
            self.changes.append(Change(record.name, None, peer.state))
            if record.state == State.ALIVE:
                self.broadcasts.add(initial)
        elif record.recency > peer.record.recency:
            self._apply_newer_record(peer, record, now)
            if record.state == State.ALIVE:
                return True
        elif record.recency < peer.record.recency or record.state == State.ALIVE:
            return False
        if record.state == State.LEFT:
            if peer.state is not State.LEFT:
                peer.suspicion = None
                self._set_state(peer, peer.record, State.LEFT, now)
            self.broadcasts.add(peer.record) if peer.since == now else None
            return peer.since == now
        if record.state == State.ALIVE or not peer.is_live:
            return peer.since == now
        first = peer.suspicion is None
        is_new = self._accuse(peer, record.accuser or "?", now)
        if first and self.random.random() * self.size < CONFIRMATION_PROBES:
            self._next_probe_at = min(self._next_probe_at, now)
            self._probe_order.append(record.name)
        return is_new

    def _apply_newer_record(self, peer: Peer, record: MemberRecord, now: timedelta) -> None:
        """Apply the record of a later start, or one that refutes a suspicion.

        A newer record that calls the member dead also shows that it was alive after the last known record. Unless it
        is dead here already, it counts as live, and the claim has to be confirmed like any accusation.
        """
        peer.suspicion = None
        stays_dead = not peer.is_live and record.state in (State.SUSPECT, State.DEAD)
        if record.epoch > peer.record.epoch:
            self.entry_table.remove_owner(record.name)  # published by the previous process
        if stays_dead:
            peer.record = _with_state(record, State.DEAD, record.accuser)
            return
        self._set_state(peer, record, State.ALIVE, now)
        if record.state == State.ALIVE:
            self.broadcasts.add(peer.record)

    def _apply_own_record(self, record: MemberRecord) -> bool:
        """Refute a record that calls this member suspect, dead or gone."""
        if record.epoch != self.local.epoch:
            return self._on_name_conflict(record)
        if record.state == State.ALIVE or record.incarnation < self.local.incarnation or self.local.state == State.LEFT:
            return False
        self.counts["refuted"] += 1
        self.health.adjust(1)
        self._set_local(msgspec.structs.replace(self.local, incarnation=record.incarnation + 1))
        self._next_gossip_at = self._last_active_at  # a refutation must not wait, even if steps run late
        return True

    def _on_name_conflict(self, record: MemberRecord) -> bool:
        """Handle the record of another process with this member's name.

        At this member's address it is a previous process, as an address has one owner, and this one takes a larger
        epoch. At another address the process that started later keeps the name as long as it lives, and the other one
        stops sending.
        """
        if record.epoch < self.local.epoch:
            if self.same_name_process is not None and record.epoch == self.same_name_process.epoch:
                self.same_name_process = None
            return False
        if (record.host, record.port) == (self.local.host, self.local.port) or record.state in (State.DEAD, State.LEFT):
            self.same_name_process = None
            self._set_local(msgspec.structs.replace(self.local, epoch=record.epoch + 1, incarnation=0))
            return True
        if self.same_name_process is None or self.same_name_process.epoch < record.epoch:
            self.same_name_process = record
            self._probes.clear()
            self._indirect_probes.clear()
            return True
        return False

    # Anti-entropy repairs what gossip has missed: members compare digests of their buckets, and send each other the
    # contents of those that differ (Kind.BUCKETS).

    def _send_digest(self, now: timedelta) -> list[Outgoing]:
        live = self._random_live(1)
        to = self._address_of(live[0]) if live else self.random.choice(self.seeds) if self.seeds else None
        return (
            []
            if to is None
            else [(to, self._build_message(Kind.DIGEST, digest=self._encode_digest(), with_updates=False, now=now))]
        )

    def _encode_digest(self) -> bytes:
        """Return one word for each bucket of names.

        Dead members are left out: each member forgets them at a different time, and two views that agree otherwise
        would be compared for ever.
        """
        return b"".join(
            (member_word ^ entry_word).to_bytes(4, "big")
            for member_word, entry_word in zip(self._digest_words, self.entry_table.digest_words, strict=True)
        )

    def _toggle_in_digest(self, record: MemberRecord) -> None:
        """Add a live member's record to the digest, or remove it again."""
        if record.state <= State.SUSPECT:
            self._digest_words[bucket_of(record.name)] ^= crc32(
                f"{record.name} {record.epoch} {record.incarnation}".encode()
            )

    def _set_local(self, local: MemberRecord) -> None:
        self._toggle_in_digest(self.local)
        self.local = local
        self._toggle_in_digest(local)
        self.broadcasts.add(local)

    def _on_digest(self, message: Message, source: Address, now: timedelta) -> list[Outgoing]:
        local_digest, received = self._encode_digest(), message.digest
        if len(received) != len(local_digest):
            return []
        differing = [b for b in range(DIGEST_BUCKETS) if local_digest[b * 4 : b * 4 + 4] != received[b * 4 : b * 4 + 4]]
        if not differing:
            return []
        self.random.shuffle(differing)
        return [(source, self._build_bucket_contents(differing, request=True, now=now))]

    def _build_bucket_contents(self, buckets: list[int], request: bool, now: timedelta) -> Message:
        """Return a message with the content of as many buckets as fit.

        With ``request`` it names these buckets, so that the receiver sends its own content of them.
        """
        free_bytes = MAX_MESSAGE_BYTES - self._header_bytes() - DIGEST_BUCKETS // 2
        records: list[MemberRecord] = []
        entries: list[Entry] = []
        included = bytearray()
        for bucket in buckets:
            included.append(bucket)
            for record in self._records_in_bucket(bucket):
                items: list[MemberRecord | Entry] = [record, *self.entry_table.live_entries(record.name, now)]
                for item in items:
                    size = len(to_msgpack(item)) + 1
                    if size > free_bytes:
                        continue
                    free_bytes -= size
                    if isinstance(item, MemberRecord):
                        records.append(item)
                    else:
                        entries.append(item)
            if free_bytes < 100 or len(included) >= DIGEST_BUCKETS // 2 or len(records) + 8 > MAX_RECORDS_PER_MESSAGE:
                break
        return Message(
            Kind.BUCKETS,
            self.local if self.same_name_process is None else None,
            records=tuple(records[:MAX_RECORDS_PER_MESSAGE]),
            entries=tuple(entries[:MAX_RECORDS_PER_MESSAGE]),
            requested_buckets=bytes(included) if request else b"",
        )

    def _records_in_bucket(self, bucket: int) -> list[MemberRecord]:
        names = sorted(self._names_by_bucket[bucket])
        self.random.shuffle(names)  # if they do not all fit into one message, the next one holds others
        local = [self.local] if self.same_name_process is None and bucket_of(self.local.name) == bucket else []
        return [*local, *(self.peers[name].record for name in names)]

    def _on_bucket_contents(self, message: Message, source: Address, new_items: int, now: timedelta) -> list[Outgoing]:
        """Handle the contents of buckets, already merged: send those that the message requests in return.

        Where they held something new, compare digests again soon. A member that only listens, because another process
        has its name, sends nothing.
        """
        out: list[Outgoing] = []
        if message.requested_buckets and self.same_name_process is None:
            out.append(
                (
                    source,
                    self._build_bucket_contents(
                        [b for b in dict.fromkeys(message.requested_buckets) if b < DIGEST_BUCKETS],
                        request=False,
                        now=now,
                    ),
                )
            )
        if new_items:
            self._next_digest_at = min(self._next_digest_at, now + self.config.catch_up_interval)
        return out

    # Helpers.

    def _build_message(
        self,
        kind: Kind,
        sequence: int = 0,
        *,
        subject: MemberRecord | None = None,
        records: tuple[MemberRecord, ...] = (),
        digest: bytes = b"",
        with_updates: bool = True,
        now: timedelta,
    ) -> Message:
        """Return a message with as many queued updates as fit."""
        local = self.local if self.same_name_process is None else None
        if not with_updates or local is None or not len(self.broadcasts):
            return Message(kind, local, sequence, subject, records, (), digest)
        used = self._header_bytes() + sum(len(to_msgpack(r)) for r in (*records, *([subject] if subject else [])))
        batch = self.broadcasts.next_batch(MAX_MESSAGE_BYTES - used, self.size)[: MAX_RECORDS_PER_MESSAGE - 1]
        updates = tuple(u for u in batch if isinstance(u, MemberRecord))
        entries = tuple(
            e for u in batch if isinstance(u, Entry) and (e := self.entry_table.with_remaining_ttl(u, now)) is not None
        )
        return Message(kind, local, sequence, subject, records + updates, entries, digest)

    def _header_bytes(self) -> int:
        return 40 + len(to_msgpack(self.local))

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % (1 << 31)
        return self._sequence

    def _address_of(self, record: MemberRecord) -> Address:
        return record.host, record.port

    def _random_live(self, count: int, exclude: str = "") -> list[MemberRecord]:
        """Return up to ``count`` live peers, drawn in a time that does not grow with the fleet."""
        found: dict[str, MemberRecord] = {}
        for _ in range(4 * count):
            if not len(self._live_names) or len(found) == count:
                break
            name = self._live_names.draw(self.random)
            if name != exclude:
                found[name] = self.peers[name].record
        return list(found.values())

    def _set_state(
        self,
        peer: Peer,
        record: MemberRecord,
        state: State,
        now: timedelta,
        accuser: str = "",
        accusers: tuple[str, ...] = (),
    ) -> None:
        """Set a peer's state from now on, and record the change if there is one."""
        before = peer.state
        peer.since = now
        self._replace_record(peer, _with_state(record, state, accuser))
        if before is not state:
            self.changes.append(Change(record.name, before, state, accusers))

    def _replace_record(self, peer: Peer, record: MemberRecord) -> None:
        """Replace a peer's record and update the digest, the suspects, the epochs and the live names accordingly.

        A change of state must go through this method, which keeps these in agreement with the record.
        """
        name, was_live = record.name, peer.is_live
        self._toggle_in_digest(peer.record)
        peer.record = record
        self._toggle_in_digest(record)
        if record.state == State.SUSPECT:
            self._suspects[name] = peer
        else:
            peer.suspicion = None
            self._suspects.pop(name, None)
        if peer.is_live:
            self.epochs[record.host, record.port] = record.epoch
        if peer.is_live and not was_live:
            self._live_names.add(name)
            self._probe_order.insert(self.random.randrange(len(self._probe_order) + 1), name)
        elif was_live and not peer.is_live:
            self._live_names.discard(name)

    def _clean_up(self, now: timedelta) -> None:
        self.entry_table.expire(now)
        for name, peer in list(self.peers.items()):
            if not peer.is_live and now - peer.since >= self.config.forget_after:
                del self.peers[name]
                self.epochs.pop(self._address_of(peer.record), None)
                self._names_by_bucket[bucket_of(name)].discard(name)
                self.changes.append(Change(name, peer.state, None))


def _with_state(record: MemberRecord, state: State, accuser: str = "") -> MemberRecord:
    return msgspec.structs.replace(record, state=int(state), accuser=accuser)
