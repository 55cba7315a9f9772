"""The agreement of a few peers on a log of keys and values, without sockets and without a clock.

Raft (Ongaro 2014): election, replication, commit by majority in the leader's own term; with pre-vote (9.6),
check-quorum and leases by the leader's clock (6.4.1), the lead handed over (3.10), and snapshots that are sent in
chunks (7). Peers are fixed; all others ask.

Guaranteed: what is committed stays; at most one leader a term; ``leads(at)`` is true at one peer at a time, as long as
no clock runs more than ``DRIFT`` fast against another. For that a peer that has heard a leader, or has just started,
helps nobody else to lead for ``ELECTION``.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from datetime import timedelta
from random import Random
from typing import Any

from bramblestile.clock import MICROSECOND
from bramblestile.store.journal import Entry, Journal

HEARTBEAT = timedelta(milliseconds=100)
ELECTION = timedelta(milliseconds=400)  # to twice this without a leader, a peer stands for election
DRIFT = 0.05  # a clock's fault over such a span; quartz has a thousandth of it
MOST_ENTRIES = 64  # in one message
LONGEST_KEY, LONGEST_VALUE = 200, 2000  # bytes, so that a message of entries stays small
FOLD_AT = 512  # entries in the log before they become a snapshot
ROOM = 1 << 17  # bytes of entries, or of a snapshot's chunk, in one message


@dataclass(slots=True, frozen=True)
class Message:
    """One message between peers. Which fields count depends on the kind."""

    kind: str  # would, ask, vote, append, appended, install, installed, now
    term: int
    sender: str
    index: int = 0  # of the last entry (ask), the entry before these (append), the last to agree (appended)
    index_term: int = 0
    granted: bool = False  # ask: the leader itself has handed over, nobody needs to wait until its lease has run out
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    stamp: int = 0  # the leader's time of sending, in microseconds, given back by the answer
    chunk: str = ""  # of a snapshot (install), from place ``commit`` of it on; ``granted``: the last one

    def to_json(self) -> dict[str, Any]:
        return asdict(self)

    @classmethod
    def from_json(cls, got: dict[str, Any]) -> Message:
        """ValueError when it is no message."""
        try:
            entries = tuple((int(t), str(k), str(v)) for t, k, v in got.get("entries", ()))
            return cls(
                str(got["kind"]),
                int(got["term"]),
                str(got["sender"]),
                int(got.get("index", 0)),
                int(got.get("index_term", 0)),
                got.get("granted") is True,
                entries,
                int(got.get("commit", 0)),
                int(got.get("stamp", 0)),
                str(got.get("chunk", "")),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a message: {error!r}") from None


Mail = list[tuple[str, Message]]


class Replica:
    """One peer. Every call returns the messages to send; entries are counted from 1. ``values`` is the state after
    ``applied`` of them; ``news`` what was applied and not yet taken, in order. An empty value takes its key away.
    ``room``: bytes that one message may carry of entries; ``election``: without a leader for one to two of these a
    peer stands."""

    def __init__(
        self,
        name: str,
        peers: Sequence[str],
        journal: Journal,
        random: Random,
        at: timedelta,
        room: int = ROOM,
        election: timedelta = ELECTION,
    ) -> None:
        self.name = name
        self.election, self.lease = election, election * (1 - DRIFT)
        self.others = [peer for peer in peers if peer != name]
        self.journal = journal
        self.random = random
        self.room = room
        self.role = "follower"
        self.leader = ""
        self.commit = self.applied = journal.base
        self.values = dict(journal.values)
        self.news: list[tuple[str, str]] = [(k, v) for k, v in self.values.items()]
        self.votes: set[str] = set()
        self.next: dict[str, int] = {}
        self.match: dict[str, int] = {}
        self.heard: dict[str, timedelta] = {}  # as leader: the sending that each peer has answered last
        self.due = at + self._patience()
        self._followed = at  # a leader was heard, or may have been just before the start
        self._since = at  # as leader: from when on
        self._sending: dict[str, tuple[int, int]] = {}  # snapshot that a peer is sent: its number, and how much it has
        self._taking: tuple[int, int, str] = (0, 0, "")  # snapshot that we are sent: number, term, text so far

    def _patience(self) -> timedelta:
        return self.election * (1 + self.random.random())

    def _majority(self, count: int) -> bool:
        return 2 * count > len(self.others) + 1

    @property
    def term(self) -> int:
        return self.journal.term

    def _last(self) -> tuple[int, int]:
        return self.journal.last()

    # Leading.

    def _answered(self, at: timedelta) -> timedelta:
        """The latest time at which a majority was sent what it has answered since: for ``election`` from then on none
        of it helps another to lead."""
        times = sorted([at, *self.heard.values()], reverse=True)
        most = (len(self.others) + 1) // 2 + 1
        return times[most - 1] if len(times) >= most else self._since - self.election

    def leads(self, at: timedelta) -> bool:
        """Nobody else does, at this moment."""
        return self.role == "leader" and (not self.others or at < self._answered(at) + self.lease)

    def leads_and_knows(self, at: timedelta) -> bool:
        """And all that any leader before has committed is applied here."""
        return self.leads(at) and self.applied == self.commit and self.journal.term_at(self.commit) == self.term

    def tick(self, at: timedelta) -> Mail:
        if self.role == "leader" and self.others and at >= max(self._answered(at), self._since) + 2 * self.election:
            self._follow("", at)  # no majority hears us: who asks us must go elsewhere
        if at < self.due or self.journal.failed:
            return []
        if self.role == "leader":
            self.due = at + HEARTBEAT
            return [(peer, self._append(peer, at)) for peer in self.others]
        return self._stand(at)

    def _stand(self, at: timedelta) -> Mail:
        """First whether others would: one that comes back from a pause or a cut must not end a leader who serves."""
        self.role, self.leader, self.due = "asking", "", at + self._patience()
        self.votes = {self.name}
        if self._majority(1):
            return self._campaign(at)
        index, index_term = self._last()
        return [(peer, Message("would", self.term + 1, self.name, index, index_term)) for peer in self.others]

    def hand_over(self, at: timedelta) -> Mail:
        """Leads no more from the return on, and asks a peer that lacks nothing to stand at once; [] where there is none
        or something is not agreed on yet, and it leads on. Its lease has ended before any other may be asked for."""
        end = self._last()[0]
        ready = [
            peer
            for peer in self.others
            if self.match.get(peer) == end and at - self.heard.get(peer, self._since - self.election) < self.election
        ]
        if self.role != "leader" or self.commit != end or not ready:
            return []
        peer = max(ready, key=lambda name: self.heard[name])
        self._follow("", at)
        return [(peer, Message("now", self.term, self.name))]

    def _campaign(self, at: timedelta, handed: bool = False) -> Mail:
        if not self._promise(self.term + 1, self.name):
            return []
        self.role, self.due = "candidate", at + self._patience()
        self.votes = {self.name}
        if self._majority(1):
            return self._lead(at)
        index, index_term = self._last()
        return [(peer, Message("ask", self.term, self.name, index, index_term, handed)) for peer in self.others]

    def _lead(self, at: timedelta) -> Mail:
        self.role, self.leader, self.due, self._since = "leader", self.name, at, at
        end = self._last()[0]
        self.next = dict.fromkeys(self.others, end + 1)
        self.match = dict.fromkeys(self.others, 0)
        self.heard, self._sending = {}, {}
        # Entries of earlier terms are committed only with one of this term behind them.
        if not self._put(end, [(self.term, "", "")]):
            return []
        self._count()
        return self.tick(at)

    def _follow(self, leader: str, at: timedelta) -> None:
        self.role, self.leader, self.due = "follower", leader, at + self._patience()

    def _append(self, peer: str, at: timedelta) -> Message:
        stamp = at // MICROSECOND
        before = self.next[peer] - 1
        if before < self.journal.base:
            return self._install(peer, stamp)
        entries: list[Entry] = []
        room = self.room
        for entry in self.journal.since(before)[:MOST_ENTRIES]:
            room -= len(entry[1].encode()) + len(entry[2].encode()) + 24
            if entries and room < 0:
                break
            entries.append(entry)
        return Message(
            "append",
            self.term,
            self.name,
            before,
            self.journal.term_at(before) or 0,
            entries=tuple(entries),
            commit=self.commit,
            stamp=stamp,
        )

    def _install(self, peer: str, stamp: int) -> Message:
        """The next chunk of our snapshot; a newer one begins anew."""
        number, done = self._sending.get(peer, (0, 0))
        if number != self.journal.base:
            number, done = self.journal.base, 0
            self._sending[peer] = number, done
        text = json.dumps(self.journal.values, sort_keys=True)
        chunk = text[done : done + self.room // 2]  # a letter beyond ASCII is told as six
        return Message(
            "install",
            self.term,
            self.name,
            number,
            self.journal.base_term,
            granted=done + len(chunk) >= len(text),
            commit=done,
            stamp=stamp,
            chunk=chunk,
        )

    def propose(self, key: str, value: str, at: timedelta) -> tuple[int, Mail]:
        """The entry's place, or 0 from one that does not lead, and the messages that spread it."""
        if self.role != "leader" or not self._put(self._last()[0], [(self.term, key, value)]):
            return 0, []
        self._count()
        self.due = at
        return self._last()[0], self.tick(at)

    # The disk: what it does not take is not promised.

    def _promise(self, term: int, vote: str) -> bool:
        try:
            self.journal.promise(term, vote)
        except OSError:
            self.role, self.leader = "follower", ""
            return False
        return True

    def _put(self, at: int, entries: Sequence[Entry]) -> bool:
        try:
            self.journal.put(at, entries)
        except OSError:
            self.role, self.leader = "follower", ""
            return False
        return True

    # What is heard.

    def receive(self, got: Message, at: timedelta) -> Mail:
        if got.sender not in self.others or self.journal.failed:
            return []
        handed = got.kind == "ask" and got.granted
        if got.kind in ("would", "ask") and not handed and at < self._followed + self.election:
            return []  # a leader counts on it. And whoever did not hear it must not make us forget it
        if got.kind == "would":
            return self._on_would(got)
        if got.term > self.term and got.kind != "vote":
            if not self._promise(got.term, ""):
                return []
            self._follow("", at)
        handlers = {
            "ask": self._on_ask,
            "vote": self._on_vote,
            "append": self._on_append,
            "appended": self._on_appended,
            "install": self._on_install,
            "installed": self._on_installed,
            "now": self._on_now,
        }
        handler = handlers.get(got.kind)
        return handler(got, at) if handler is not None else []

    def _is_complete(self, got: Message) -> bool:
        index, index_term = self._last()
        return (got.index_term, got.index) >= (index_term, index)

    def _on_would(self, got: Message) -> Mail:
        granted = got.term > self.term and self._is_complete(got) and self.role != "leader"
        return [(got.sender, Message("vote", got.term, self.name, granted=granted, commit=1))]

    def _on_ask(self, got: Message, at: timedelta) -> Mail:
        granted = got.term == self.term and self._is_complete(got) and self.journal.vote in ("", got.sender)
        if granted:
            if not self._promise(self.term, got.sender):
                return []
            self.due = at + self._patience()
        return [(got.sender, Message("vote", self.term, self.name, granted=granted))]

    def _on_now(self, got: Message, at: timedelta) -> Mail:
        """Of a term that is over it is old mail, and who sent it may lead again."""
        return self._campaign(at, handed=True) if got.term == self.term and self.role != "leader" else []

    def _on_vote(self, got: Message, at: timedelta) -> Mail:
        """``commit`` 1: to what we would do only."""
        if not got.granted:
            if got.term > self.term and not got.commit and self._promise(got.term, ""):
                self._follow("", at)
            return []
        if self.role != ("asking" if got.commit else "candidate") or got.term != self.term + got.commit:
            return []
        self.votes.add(got.sender)
        if not self._majority(len(self.votes)):
            return []
        return self._campaign(at) if got.commit else self._lead(at)

    def _on_append(self, got: Message, at: timedelta) -> Mail:
        journal = self.journal
        agrees = False
        if got.term == self.term:
            self._follow(got.sender, at)
            self._followed = at
            agrees = got.index < journal.base or journal.term_at(got.index) == got.index_term
        if not agrees:
            # The shortest log that can still agree, so that the leader steps back at once.
            index = min(self._last()[0], max(0, got.index - 1))
            # A sending of an earlier term tells nothing of now: found in simulation, where a leader that had started
            # anew took a stamp of the process before, by another clock, for the latest and led beside another.
            stamp = got.stamp if got.term == self.term else 0
            return [(got.sender, Message("appended", self.term, self.name, index, stamp=stamp))]
        for offset, entry in enumerate(got.entries):
            place = got.index + offset + 1
            if place > journal.base and journal.term_at(place) != entry[0]:
                if not self._put(place - 1, got.entries[offset:]):
                    return []
                break
        index = got.index + len(got.entries)
        self._commit(min(got.commit, index))
        return [(got.sender, Message("appended", self.term, self.name, index, granted=True, stamp=got.stamp))]

    def _on_appended(self, got: Message, at: timedelta) -> Mail:
        if self.role != "leader" or got.term != self.term:
            return []
        peer, end = got.sender, self._last()[0]
        self.heard[peer] = max(got.stamp * MICROSECOND, self.heard.get(peer, self._since - self.election))
        if got.granted:
            self.match[peer] = max(self.match[peer], got.index)
            self.next[peer] = self.match[peer] + 1
            self._count()
        else:
            self.next[peer] = max(self.match[peer] + 1, min(self.next[peer] - 1, got.index + 1))
        return [(peer, self._append(peer, at))] if self.next[peer] <= end or not got.granted else []

    def _on_install(self, got: Message, at: timedelta) -> Mail:
        if got.term != self.term:
            return [(got.sender, Message("appended", self.term, self.name))]
        self._follow(got.sender, at)
        self._followed = at
        number, term, text = self._taking
        if (number, term) != (got.index, got.index_term) or got.commit < len(text):
            text = text[: got.commit] if (number, term) == (got.index, got.index_term) else ""
        if got.commit == len(text):
            text += got.chunk
        self._taking = got.index, got.index_term, text
        if got.granted and got.commit + len(got.chunk) == len(text):
            self._taking = 0, 0, ""
            if got.index > self.commit and not self._take_snapshot(got.index, got.index_term, text):
                return []
            return [(got.sender, Message("installed", self.term, self.name, got.index, granted=True, stamp=got.stamp))]
        return [(got.sender, Message("installed", self.term, self.name, got.index, commit=len(text), stamp=got.stamp))]

    def _take_snapshot(self, index: int, term: int, text: str) -> bool:
        try:
            values = json.loads(text)
            self.journal.fold(index, term, values)
        except (ValueError, OSError):
            return False
        gone = [(key, "") for key in self.values if key not in values]
        self.values = dict(values)
        self.news += [*gone, *values.items()]
        self.commit = self.applied = index
        return True

    def _on_installed(self, got: Message, at: timedelta) -> Mail:
        if self.role != "leader" or got.term != self.term:
            return []
        peer = got.sender
        self.heard[peer] = max(got.stamp * MICROSECOND, self.heard.get(peer, self._since - self.election))
        if got.granted:
            self.match[peer] = max(self.match[peer], got.index)
            self.next[peer] = self.match[peer] + 1
            self._sending.pop(peer, None)
            self._count()
        elif self._sending.get(peer, (0, 0))[0] == got.index:
            self._sending[peer] = got.index, got.commit
        return [(peer, self._append(peer, at))]

    def _count(self) -> None:
        """An entry of this term that a majority holds is committed, and all before it."""
        for place in range(self._last()[0], self.commit, -1):
            held = 1 + sum(match >= place for match in self.match.values())
            if self._majority(held) and self.journal.term_at(place) == self.term:
                self._commit(place)
                return

    def _commit(self, index: int) -> None:
        if index <= self.commit:
            return
        self.commit = index
        for _, key, value in self.journal.since(self.applied)[: index - self.applied]:
            if key:
                self.values[key] = value
                if not value:
                    del self.values[key]
                self.news.append((key, value))
        self.applied = index
        if index - self.journal.base >= FOLD_AT:
            try:
                self.journal.fold(index, self.journal.term_at(index) or 0, self.values)
            except OSError:
                self.role, self.leader = "follower", ""
