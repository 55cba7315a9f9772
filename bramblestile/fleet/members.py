"""Who lives: the membership without sockets and without a clock. Messages in, messages out.

SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey 2018), and these of our
own:

- A second opinion: whoever first hears of a suspicion asks the suspected one himself, by chance three in the whole
  fleet. A dead member is known sooner, and one that lives hears of the suspicion and contradicts.
- Nobody is dead on one member's word. Each decides for himself, and with fewer than two accusers he asks himself first;
  another's "dead" is an accusation like any other. So the word of one who is starved of CPU harms nobody.
- A step that comes late shows that we ourselves did not run: what fell due meanwhile is no verdict, and every
  suspicion waits that much longer.
- A suspicion lasts the longer, the longer answers take, and who runs late passes news on less often.
  Seen with 120 processes on 8 cores: news of all at once made all late, the late were suspected, suspicions are news,
  and what had begun with a burst went on by itself for good.

Guaranteed: what a member sends in a second does not depend on how many others there are; nothing grows beyond
``MOST``; a member that lives and is reached within a suspicion's least wait is never declared dead.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from zlib import crc32

import msgspec

from bramblestile.clock import ZERO_DURATION
from bramblestile.fleet.board import Board
from bramblestile.fleet.messages import (
    BUCKETS,
    LARGEST,
    MOST_FACTS,
    Entry,
    Fact,
    Kind,
    Message,
    State,
    bucket_of,
    encoded,
)
from bramblestile.fleet.rumours import Rumours
from bramblestile.fleet.suspicion import Health, Suspicion
from bramblestile.fleet.trips import Trips

MOST = 4096  # members that are known at once, dead ones among them
LATEST = timedelta(seconds=3)  # an answer tells of its trip
AWAY_AGAIN = timedelta(milliseconds=300)  # between two comparisons of notes for having been away
LATE_OVER = 10  # steps over which lateness is remembered
SECOND_OPINIONS = 3  # expected, in the whole fleet, for each suspicion
Address = tuple[str, int]


_MS = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class Pace:
    """``answer`` and ``period`` as in SWIM; figures weighed in docs/design/membership.md."""

    period: timedelta = 200 * _MS  # between two probes
    answer: timedelta = 80 * _MS  # halls are 10 to 20 ms apart: four ways, and a little CPU
    helpers: int = 3  # asked to probe for us
    accusers: int = 3  # beyond the first, that make a suspicion short
    least: timedelta = 700 * _MS  # of a suspicion: beyond a pause of half a second, and twice a rumour's way at 1,000
    most: timedelta = 4000 * _MS
    gossip: timedelta = 50 * _MS
    fanout: int = 2
    sync: timedelta = 2000 * _MS
    catch_up: timedelta = 25 * _MS  # between two digests while they bring news
    retry: timedelta = 1000 * _MS  # one dead member or seed is asked again: a split heals by it
    forget: timedelta = timedelta(minutes=10)
    lag: timedelta = 150 * _MS  # a step that comes so late was not ours to take in time
    strain: float = 4.0  # times its usual lateness is the least between two rounds of a member's gossip


@dataclass(slots=True)
class Known:
    """What we hold of another member. ``since``: when its state began, as we heard."""

    fact: Fact
    since: timedelta
    suspicion: Suspicion | None = None

    @property
    def state(self) -> State:
        return State(self.fact.state)

    @property
    def lives(self) -> bool:
        return self.fact.state <= State.SUSPECT


@dataclass(slots=True, frozen=True)
class Change:
    """For the log and for who waits. ``by``: the accusers, where it died."""

    name: str
    before: State | None
    after: State | None  # None: forgotten
    by: tuple[str, ...] = ()


class _Roster:
    """Names of which one can be drawn, added and taken out at a cost that does not grow with them."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._place: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        if name not in self._place:
            self._place[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        place = self._place.pop(name, None)
        if place is not None:
            last = self._names.pop()
            if last != name:
                self._names[place] = last
                self._place[last] = place

    def draw(self, random: Random) -> str:
        return random.choice(self._names)

    def all(self) -> list[str]:
        return list(self._names)


@dataclass(slots=True)
class _Probe:
    name: str
    began: timedelta
    asked: bool = False  # others, to probe for us
    nacks: int = 0


@dataclass(slots=True)
class _Relay:
    """We probe for another: its number and address, and until when."""

    number: int
    to: Address
    nack_at: timedelta
    until: timedelta
    nacked: bool = False


Out = tuple[Address, Message]


class Members:
    """``seeds``: addresses asked while nobody is known, and now and then afterwards."""

    def __init__(
        self, me: Fact, seeds: Iterable[Address], random: Random, at: timedelta, pace: Pace | None = None
    ) -> None:
        self.me, self.pace, self.random = me, pace or Pace(), random
        self.seeds = [s for s in seeds if s != (me.host, me.port)]
        self.known: dict[str, Known] = {}
        self.board = Board()
        self.health = Health()
        self.changes: list[Change] = []
        self.holder: Fact | None = None  # who else holds our name; while there is one we only listen
        self.counts = {"probes": 0, "failed": 0, "accused": 0, "refuted": 0, "late": 0, "refused": 0}
        self.rumours = Rumours()
        self._living = _Roster()  # of others
        self._suspects: dict[str, Known] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.lives: dict[Address, int] = {}  # which start is at an address, for the seal
        self._words = [0] * BUCKETS  # a digest of the living, kept up to date
        self._order: list[str] = []  # whom to probe next, from the end
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._number = random.getrandbits(24)
        self._last = at
        self._wanted = at
        self._away_at = ZERO_DURATION  # when we last compared notes for having been away
        self.late = ZERO_DURATION  # how late our steps usually are
        self.trips = Trips()
        self._ended: dict[int, _Probe] = {}  # those that failed: a late answer tells of its trip
        self._probe_at = at + self.pace.period * random.random()
        self._gossip_at = at
        self._sync_at = at
        self._retry_at = at
        self._tidy_at = at + self.pace.sync
        self._mark(me)
        self.rumours.add(me)

    # What others see.

    def living(self) -> list[Fact]:
        """All that live as far as we know, ourselves among them."""
        return [*([self.me] if self.holder is None else []), *(self.known[n].fact for n in self._living.all())]

    @property
    def size(self) -> int:
        return 1 + len(self._living)

    def tell(self, key: str, value: bytes, for_: timedelta, at: timedelta) -> None:
        """Spreads an entry of our own; a later one with this key takes its place."""
        version = max(at // timedelta(microseconds=1), self._version + 1)
        self._version = version
        entry = Entry(self.me.name, key, version, value, for_ // _MS)
        if self.board.hear(entry, at):
            self.rumours.add(entry)

    _version = 0

    # Time.

    def due(self) -> timedelta:
        """When the next step is wanted."""
        times = [self._sync_at, self._retry_at, self._tidy_at]
        if self.holder is None:
            times += self._due_to_others()
        # What became due by what was just heard could not have been done before.
        self._wanted = max(min(times), self._last)
        return self._wanted

    def _due_to_others(self) -> list[timedelta]:
        """What only one who may speak does."""
        times = [self._probe_at]
        if len(self.rumours):
            times.append(self._gossip_at)
        for probe in self._probes.values():
            times.append(self._answer_by(probe) if not probe.asked else self._failed_at(probe))
        times += [r.nack_at for r in self._relays.values() if not r.nacked]
        times += [k.suspicion.until for k in self._suspects.values() if k.suspicion is not None]
        return times

    def step(self, at: timedelta) -> list[Out]:
        """To be called after all that has arrived was heard."""
        late = at - self._wanted if at > self._wanted else ZERO_DURATION
        self.late += (late - self.late) / LATE_OVER
        if late >= self.pace.lag:
            self._was_away(at - self._last if self._last > self._wanted else late, at)
        self._last = at
        self._wanted = at + timedelta(days=1)  # until ``due`` is asked
        out: list[Out] = []
        if self.holder is None:
            out += self._probe(at)
            self._judge(at, out)
        if at >= self._gossip_at and len(self.rumours) and self.holder is None:
            self._gossip_at = at + max(self.pace.gossip, self.late * self.pace.strain)
            out += [
                (self._address(f), self._message(Kind.GOSSIP, at=at))
                for f in self._some(self.pace.fanout)
                if len(self.rumours)
            ]
        if at >= self._sync_at:
            self._sync_at = at + self.pace.sync * (0.75 + self.random.random() / 2)
            out += self._digest(at)
        if at >= self._retry_at:
            self._retry_at = at + self.pace.retry * (0.75 + self.random.random() / 2)
            out += self._try_the_lost(at)
        if at >= self._tidy_at:
            self._tidy_at = at + self.pace.sync
            self._tidy(at)
        return out

    def _was_away(self, gap: timedelta, at: timedelta) -> None:
        self.counts["late"] += 1
        self.health.change(1)
        self._probes.clear()
        self._relays.clear()
        for known in self._suspects.values():
            if known.suspicion is not None:
                known.suspicion.postponed += gap
        # We cannot have answered meanwhile: others may suspect us, and a word from us ends that soonest.
        self._gossip_at = at
        if at >= self._away_at + AWAY_AGAIN:  # not at each of many late steps: that would make the next one late
            self._away_at = self._sync_at = at

    def leave(self, at: timedelta) -> list[Out]:
        """The last word: told to several at once, they pass it on."""
        if self.holder is not None:
            return []
        self._become(msgspec.structs.replace(self.me, state=int(State.LEFT)))
        return [(self._address(f), Message(Kind.GOSSIP, self.me, facts=(self.me,))) for f in self._some(8)]

    # Probes.

    def _answer_by(self, probe: _Probe) -> timedelta:
        return probe.began + self.health.stretched(self.pace.answer * self._strained())

    def _failed_at(self, probe: _Probe) -> timedelta:
        return probe.began + self._period()

    def _period(self) -> timedelta:
        return self.health.stretched(self.pace.period * self._strained())

    def _strained(self) -> float:
        """Of probes: where answers are slow as a rule. A few starved ones must not slow the probes that clear them."""
        return max(1.0, 2 * self.trips.usual / self.pace.answer)

    def _slow(self) -> float:
        """How many times longer answers take than the pace allows for."""
        return max(1.0, self.trips.bound / self.pace.answer)

    def _probe(self, at: timedelta) -> list[Out]:
        out: list[Out] = []
        for number, probe in list(self._probes.items()):
            if not probe.asked and at >= self._answer_by(probe):
                probe.asked = True
                known = self.known.get(probe.name)
                if known is not None:
                    helpers = self._some(self.pace.helpers, but=probe.name)
                    out += [
                        (self._address(f), self._message(Kind.ASK, number, about=known.fact, at=at)) for f in helpers
                    ]
            if at >= self._failed_at(probe):
                del self._probes[number]
                self._ended[number] = probe
                self._failed(probe, at)
        for number, relay in list(self._relays.items()):
            if not relay.nacked and at >= relay.nack_at:
                relay.nacked = True
                out.append((relay.to, self._message(Kind.NACK, relay.number, at=at)))
            if at >= relay.until:
                del self._relays[number]
        if at >= self._probe_at:
            self._probe_at = at + self._period()
            self._ended = {n: probe for n, probe in self._ended.items() if at - probe.began < LATEST}
            name = self._next()
            if name is not None:
                out += self._ask(name, at)
        return out

    def _next(self) -> str | None:
        """Round robin in an order drawn anew each time, so that each is asked within two rounds (SWIM, 4.3)."""
        for _ in range(2):
            while self._order:
                name = self._order.pop()
                known = self.known.get(name)
                if known is not None and known.lives:
                    return name
            self._order = self._living.all()
            self.random.shuffle(self._order)
        return None

    def _ask(self, name: str, at: timedelta) -> list[Out]:
        if any(probe.name == name for probe in self._probes.values()):
            return []
        number = self._new_number()
        self._probes[number] = _Probe(name, at)
        self.counts["probes"] += 1
        fact = self.known[name].fact
        return [(self._address(fact), self._message(Kind.PING, number, about=self._doubt(name), at=at))]

    def _doubt(self, name: str) -> Fact | None:
        """What is said against it, so that it can contradict at once."""
        known = self.known.get(name)
        if known is None or known.fact.state == State.ALIVE:
            return None
        return known.fact

    def _failed(self, probe: _Probe, at: timedelta) -> None:
        known = self.known.get(probe.name)
        self.counts["failed"] += 1
        # Whom we asked for help, and none so much as said that he tries: it may be we who are not heard. In the paper
        # each missing word counts; where most of a fleet dies at once that made the living wait nine times as long.
        if not probe.nacks:
            self.health.change(1)
        if known is None or not known.lives:
            return
        self._accuse(known, self.me.name, at, own=True)

    def _accuse(self, known: Known, by: str, at: timedelta, own: bool = False) -> bool:
        """True where it is news: ``by`` could not reach it."""
        if known.suspicion is None:
            others = self.size - 2  # who could confirm
            slow = self._slow()
            known.suspicion = Suspicion(
                at, self.pace.least * slow, self.pace.most * slow, min(self.pace.accusers, max(0, others))
            )
            self._set(known, known.fact, State.SUSPECT, at, by)
        if not known.suspicion.accuse(by):
            return False
        self.counts["accused"] += 1
        known.fact = msgspec.structs.replace(known.fact, by=by)
        self.rumours.add(known.fact)
        return True

    def _judge(self, at: timedelta, out: list[Out]) -> None:
        for known in list(self._suspects.values()):
            suspicion = known.suspicion
            if suspicion is None or at < suspicion.until:
                continue
            if len(suspicion.accusers) < 2 and self.size > 3 and self.me.name not in suspicion.accusers:
                suspicion.postponed += self.pace.least  # one word alone: our own look decides
                out += self._ask(known.fact.name, at)
                continue
            by = tuple(sorted(suspicion.accusers))
            self._set(known, known.fact, State.DEAD, at, by[0], by)
            self.rumours.add(known.fact)

    def _try_the_lost(self, at: timedelta) -> list[Out]:
        """A dead one or a seed that is not among the living: where a split has healed, this finds it."""
        names = {self._address(f) for f in self.living()} | {(self.me.host, self.me.port)}
        lost = [k.fact for k in self.known.values() if k.state is State.DEAD]
        out: list[Out] = []
        if lost and self.holder is None:
            fact = self.random.choice(lost)
            out.append((self._address(fact), self._message(Kind.PING, self._new_number(), about=fact, at=at)))
        seeds = [s for s in self.seeds if s not in names]
        if seeds and self.holder is None:
            out.append((self.random.choice(seeds), self._message(Kind.PING, self._new_number(), at=at)))
        return out

    # What is heard.

    def hear(self, got: Message, source: Address, at: timedelta) -> list[Out]:
        """From a datagram that was opened; it came from ``source``."""
        self._last = max(self._last, at)
        news = 0
        for fact in (got.me, got.about if got.kind in (Kind.PING, Kind.ACK) else None, *got.facts):
            if fact is not None:
                news += self._hear(fact, at)
        for entry in got.entries:
            if entry.owner == self.me.name:
                self._version = max(self._version, entry.version)  # of a life before this one: ours must be newer
            elif self.board.hear(entry, at):
                news += 1
                self.rumours.add(entry)
        if self.holder is not None and got.kind != Kind.PAGE:
            return []
        match got.kind:
            case Kind.PING:
                sender = got.me.name if got.me is not None else ""
                return [(source, self._message(Kind.ACK, got.number, about=self._doubt(sender), at=at))]
            case Kind.ACK:
                return self._on_ack(got, at)
            case Kind.NACK:
                probe = self._probes.get(got.number)
                if probe is not None:
                    probe.nacks += 1
            case Kind.ASK:
                return self._on_ask(got, source, at)
            case Kind.DIGEST:
                return self._on_digest(got, source, at)
            case Kind.PAGE:
                return self._on_page(got, source, news, at)
        return []

    def _on_ack(self, got: Message, at: timedelta) -> list[Out]:
        relay = self._relays.pop(got.number, None)
        if relay is not None:
            return [(relay.to, self._message(Kind.ACK, relay.number, facts=() if got.me is None else (got.me,), at=at))]
        probe = self._probes.pop(got.number, None)
        asked = probe or self._ended.pop(got.number, None)
        if asked is not None and got.me is not None and got.me.name == asked.name:
            self.trips.seen(at - asked.began, at)  # by way of a helper it would be our own wait, and feed upon itself
        if probe is None:
            return []
        self.health.change(-1)
        known = self.known.get(probe.name)
        if (
            known is not None
            and known.suspicion is not None
            and self.me.name not in known.suspicion.accusers
            and len(known.suspicion.accusers) < 2
        ):
            # We have just reached it, and but one other could not. It contradicts by itself; we need not wait for that.
            known.suspicion = None
            self._set(known, msgspec.structs.replace(known.fact, by=""), State.ALIVE, at)
        return []

    def _on_ask(self, got: Message, source: Address, at: timedelta) -> list[Out]:
        if got.about is None or len(self._relays) >= MOST_FACTS:
            return []
        number = self._new_number()
        self._relays[number] = _Relay(got.number, source, at + self.pace.answer * 0.8, at + 2 * self.pace.period)
        return [(self._address(got.about), self._message(Kind.PING, number, about=self._doubt(got.about.name), at=at))]

    def _hear(self, fact: Fact, at: timedelta) -> bool:
        """Takes a fact; True where it is news."""
        if fact.name == self.me.name:
            return self._hear_of_me(fact)
        known = self.known.get(fact.name)
        if known is None:
            if len(self.known) >= MOST:
                self.counts["refused"] += 1
                return False
            base = fact if fact.state in (State.DEAD, State.LEFT) else _as(fact, State.ALIVE)
            known = self.known[fact.name] = Known(_as(base, State.DEAD), at)
            self._buckets[bucket_of(fact.name)].add(fact.name)
            self._store(known, base)
            self.changes.append(Change(fact.name, None, known.state))
            if fact.state == State.ALIVE:
                self.rumours.add(base)
        elif fact.age > known.fact.age:
            self._take_newer(known, fact, at)
            if fact.state == State.ALIVE:
                return True
        elif fact.age < known.fact.age or fact.state == State.ALIVE:
            return False
        if fact.state == State.LEFT:
            if known.state is not State.LEFT:
                known.suspicion = None
                self._set(known, known.fact, State.LEFT, at)
            self.rumours.add(known.fact) if known.since == at else None
            return known.since == at
        if fact.state == State.ALIVE or not known.lives:
            return known.since == at
        first = known.suspicion is None
        news = self._accuse(known, fact.by or "?", at)
        if first and self.random.random() * self.size < SECOND_OPINIONS:
            self._probe_at = min(self._probe_at, at)
            self._order.append(fact.name)
        return news

    def _take_newer(self, known: Known, fact: Fact, at: timedelta) -> None:
        """A later start, or a contradiction. Who says that this one is dead already says so of what we take to live,
        and has to be confirmed like any accusation."""
        known.suspicion = None
        stays_dead = not known.lives and fact.state in (State.SUSPECT, State.DEAD)
        if fact.life > known.fact.life:
            self.board.forget(fact.name)  # figures of the process before
        if stays_dead:
            known.fact = _as(fact, State.DEAD, fact.by)
            return
        self._set(known, fact, State.ALIVE, at)
        if fact.state == State.ALIVE:
            self.rumours.add(known.fact)

    def _hear_of_me(self, fact: Fact) -> bool:
        if fact.life != self.me.life:
            return self._hear_of_namesake(fact)
        if fact.state == State.ALIVE or fact.turn < self.me.turn or self.me.state == State.LEFT:
            return False
        self.counts["refuted"] += 1
        self.health.change(1)
        self._become(msgspec.structs.replace(self.me, turn=fact.turn + 1))
        self._gossip_at = self._last  # however late we run, this must not wait
        return True

    def _hear_of_namesake(self, fact: Fact) -> bool:
        """Another start under our name. At our address it is one before this, as an address has one owner: we are
        newer. Elsewhere the later start keeps the name while it lives, and the other one falls silent."""
        if fact.life < self.me.life:
            if self.holder is not None and fact.life == self.holder.life:
                self.holder = None
            return False
        if (fact.host, fact.port) == (self.me.host, self.me.port) or fact.state in (State.DEAD, State.LEFT):
            self.holder = None
            self._become(msgspec.structs.replace(self.me, life=fact.life + 1, turn=0))
            return True
        if self.holder is None or self.holder.life < fact.life:
            self.holder = fact
            self._probes.clear()
            self._relays.clear()
            return True
        return False

    # Digests: whatever gossip has missed.

    def _digest(self, at: timedelta) -> list[Out]:
        living = self._some(1)
        to = self._address(living[0]) if living else self.random.choice(self.seeds) if self.seeds else None
        return [] if to is None else [(to, self._message(Kind.DIGEST, digest=self._summary(), news=False, at=at))]

    def _summary(self) -> bytes:
        """A word for each bucket of names. The dead are left out: they come and go at other moments with each member,
        and would keep two of one mind comparing for ever."""
        return b"".join(
            (mine ^ board).to_bytes(4, "big") for mine, board in zip(self._words, self.board.words, strict=True)
        )

    def _mark(self, fact: Fact) -> None:
        """Into the digest, or out of it again."""
        if fact.state <= State.SUSPECT:
            self._words[bucket_of(fact.name)] ^= crc32(f"{fact.name} {fact.life} {fact.turn}".encode())

    def _become(self, me: Fact) -> None:
        self._mark(self.me)
        self.me = me
        self._mark(me)
        self.rumours.add(me)

    def _on_digest(self, got: Message, source: Address, at: timedelta) -> list[Out]:
        mine, theirs = self._summary(), got.digest
        if len(theirs) != len(mine):
            return []
        differ = [b for b in range(BUCKETS) if mine[b * 4 : b * 4 + 4] != theirs[b * 4 : b * 4 + 4]]
        if not differ:
            return []
        self.random.shuffle(differ)
        return [(source, self._page(differ, ask=True, at=at))]

    def _page(self, buckets: list[int], ask: bool, at: timedelta) -> Message:
        """What goes into one message of these buckets, whole buckets first come; and which of them it has told."""
        room = LARGEST - self._frame() - BUCKETS // 2
        facts: list[Fact] = []
        entries: list[Entry] = []
        told = bytearray()
        for bucket in buckets:
            told.append(bucket)
            for fact in self._in_bucket(bucket):
                parts: list[Fact | Entry] = [fact, *self.board.to_send(fact.name, at)]
                for part in parts:
                    size = len(encoded(part)) + 1
                    if size > room:
                        continue
                    room -= size
                    if isinstance(part, Fact):
                        facts.append(part)
                    else:
                        entries.append(part)
            if room < 100 or len(told) >= BUCKETS // 2 or len(facts) + 8 > MOST_FACTS:
                break
        return Message(
            Kind.PAGE,
            self.me if self.holder is None else None,
            facts=tuple(facts[:MOST_FACTS]),
            entries=tuple(entries[:MOST_FACTS]),
            want=bytes(told) if ask else b"",
        )

    def _in_bucket(self, bucket: int) -> list[Fact]:
        names = sorted(self._buckets[bucket])
        self.random.shuffle(names)  # where a bucket's facts do not all go into one message, others come next time
        mine = [self.me] if self.holder is None and bucket_of(self.me.name) == bucket else []
        return [*mine, *(self.known[name].fact for name in names)]

    def _on_page(self, got: Message, source: Address, news: int, at: timedelta) -> list[Out]:
        out: list[Out] = []
        if got.want and self.holder is None:
            out.append((source, self._page([b for b in dict.fromkeys(got.want) if b < BUCKETS], ask=False, at=at)))
        if news:
            self._sync_at = min(self._sync_at, at + self.pace.catch_up)
        return out

    # Helpers.

    def _message(
        self,
        kind: Kind,
        number: int = 0,
        *,
        about: Fact | None = None,
        facts: tuple[Fact, ...] = (),
        digest: bytes = b"",
        news: bool = True,
        at: timedelta,
    ) -> Message:
        """With as much news as there is room for."""
        me = self.me if self.holder is None else None
        if not news or me is None or not len(self.rumours):
            return Message(kind, me, number, about, facts, (), digest)
        used = self._frame() + sum(len(encoded(f)) for f in (*facts, *([about] if about else [])))
        picked = self.rumours.pick(LARGEST - used, self.size)[: MOST_FACTS - 1]
        told = tuple(i for i in picked if isinstance(i, Fact))
        entries = tuple(e for i in picked if isinstance(i, Entry) and (e := self.board.left(i, at)) is not None)
        return Message(kind, me, number, about, facts + told, entries, digest)

    def _frame(self) -> int:
        return 40 + len(encoded(self.me))

    def _new_number(self) -> int:
        self._number = (self._number + 1) % (1 << 31)
        return self._number

    def _address(self, fact: Fact) -> Address:
        return fact.host, fact.port

    def _some(self, count: int, but: str = "") -> list[Fact]:
        """Living ones, drawn without looking at all of them where there are many."""
        found: dict[str, Fact] = {}
        for _ in range(4 * count):
            if not len(self._living) or len(found) == count:
                break
            name = self._living.draw(self.random)
            if name != but:
                found[name] = self.known[name].fact
        return list(found.values())

    def _set(
        self, known: Known, fact: Fact, state: State, at: timedelta, by: str = "", accusers: tuple[str, ...] = ()
    ) -> None:
        before = known.state
        known.since = at
        self._store(known, _as(fact, state, by))
        if before is not state:
            self.changes.append(Change(fact.name, before, state, accusers))

    def _store(self, known: Known, fact: Fact) -> None:
        """Every change of a fact comes by here, so that what is kept beside it stays true."""
        name, lived = fact.name, known.lives
        self._mark(known.fact)
        known.fact = fact
        self._mark(fact)
        if fact.state == State.SUSPECT:
            self._suspects[name] = known
        else:
            known.suspicion = None
            self._suspects.pop(name, None)
        if known.lives:
            self.lives[fact.host, fact.port] = fact.life
        if known.lives and not lived:
            self._living.add(name)
            self._order.insert(self.random.randrange(len(self._order) + 1), name)
        elif lived and not known.lives:
            self._living.discard(name)

    def _tidy(self, at: timedelta) -> None:
        self.board.expire(at)
        for name, known in list(self.known.items()):
            if not known.lives and at - known.since >= self.pace.forget:
                del self.known[name]
                self.lives.pop(self._address(known.fact), None)
                self._buckets[bucket_of(name)].discard(name)
                self.changes.append(Change(name, known.state, None))


def _as(fact: Fact, state: State, by: str = "") -> Fact:
    return msgspec.structs.replace(fact, state=int(state), by=by)
