"""A small replicated store: a log with terms that a majority of a few peers agrees on; keys and values.

The algorithm is Raft's (leader election, log replication, commit by majority in the leader's own term),
without snapshots or changes of membership. ``Replica`` knows neither sockets nor clocks; ``Store`` gives it
both.
"""

from __future__ import annotations

import json
import os
import threading
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

from bramblestile.clock import NOTHING, now

HEARTBEAT = timedelta(milliseconds=100)
ELECTION = timedelta(milliseconds=400)  # to twice this without a leader, a peer stands for election
MOST_ENTRIES = 64  # in one message
LONGEST_KEY, LONGEST_VALUE = 200, 2000  # bytes, so that a message of entries stays small

Entry = tuple[int, str, str]  # term, key, value; an empty key is a leader's first, empty entry


@dataclass(slots=True, frozen=True)
class Message:
    """One message between peers. Which fields count depends on the kind."""

    kind: str  # ask, vote, append, appended
    term: int
    sender: str
    index: int = 0  # of the last entry (ask), the entry before these (append), the last to agree (appended)
    index_term: int = 0
    granted: bool = False
    entries: tuple[Entry, ...] = ()
    commit: int = 0

    def to_json(self) -> dict[str, Any]:
        return asdict(self)

    @classmethod
    def from_json(cls, got: dict[str, Any]) -> Message:
        """ValueError when it is no message."""
        try:
            entries = tuple((int(t), str(k), str(v)) for t, k, v in got.get("entries", ()))
            return cls(str(got["kind"]), int(got["term"]), str(got["sender"]), int(got.get("index", 0)),
                       int(got.get("index_term", 0)), got.get("granted") is True, entries,
                       int(got.get("commit", 0)))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a message: {error!r}") from None


class Journal:
    """What must outlive a restart: term, vote and log, a line for each change, synced before any answer."""

    def __init__(self, path: Path | None) -> None:
        self.term, self.vote = 0, ""
        self.entries: list[Entry] = []
        self._file = None
        if path is None:
            return
        sound = 0
        if path.exists():
            for line in path.read_bytes().splitlines(keepends=True):
                try:
                    if not line.endswith(b"\n"):
                        break
                    self._take(json.loads(line))
                except (ValueError, KeyError, TypeError):
                    break  # the last write was cut off: it was never answered
                sound += len(line)
        self._file = path.open("ab")
        self._file.truncate(sound)

    def _take(self, record: dict[str, Any]) -> None:
        if "vote" in record:
            self.term, self.vote = int(record["term"]), str(record["vote"])
        else:
            at = int(record["at"])
            self.entries[at:] = [(int(t), str(k), str(v)) for t, k, v in record["entries"]]

    def _write(self, record: dict[str, Any]) -> None:
        self._take(record)
        if self._file is not None:
            self._file.write(json.dumps(record, separators=(",", ":")).encode() + b"\n")
            self._file.flush()
            os.fsync(self._file.fileno())

    def promise(self, term: int, vote: str) -> None:
        self._write({"term": term, "vote": vote})

    def put(self, at: int, entries: Sequence[Entry]) -> None:
        """Writes entries from this place on; what stood there and after is gone."""
        self._write({"at": at, "entries": list(entries)})

    def close(self) -> None:
        if self._file is not None:
            self._file.close()


class Replica:
    """One peer. Every call returns the messages to send; entries are counted from 1."""

    def __init__(self, name: str, peers: Sequence[str], journal: Journal, random: Random,
                 at: timedelta) -> None:
        self.name = name
        self.others = [peer for peer in peers if peer != name]
        self.journal = journal
        self.random = random
        self.role = "follower"
        self.leader = ""
        self.commit = 0
        self.votes: set[str] = set()
        self.next: dict[str, int] = {}
        self.match: dict[str, int] = {}
        self.due = at + self._patience()

    def _patience(self) -> timedelta:
        return ELECTION * (1 + self.random.random())

    def _majority(self, count: int) -> bool:
        return 2 * count > len(self.others) + 1

    @property
    def term(self) -> int:
        return self.journal.term

    def _last(self) -> tuple[int, int]:
        entries = self.journal.entries
        return len(entries), entries[-1][0] if entries else 0

    def tick(self, at: timedelta) -> list[tuple[str, Message]]:
        if at < self.due:
            return []
        if self.role == "leader":
            self.due = at + HEARTBEAT
            return [(peer, self._append(peer)) for peer in self.others]
        self.role, self.leader, self.due = "candidate", "", at + self._patience()
        self.journal.promise(self.term + 1, self.name)
        self.votes = {self.name}
        if self._majority(1):
            return self._lead(at)
        index, index_term = self._last()
        return [(peer, Message("ask", self.term, self.name, index, index_term)) for peer in self.others]

    def _lead(self, at: timedelta) -> list[tuple[str, Message]]:
        self.role, self.leader, self.due = "leader", self.name, at
        end = len(self.journal.entries)
        self.next = dict.fromkeys(self.others, end + 1)
        self.match = dict.fromkeys(self.others, 0)
        # Entries of earlier terms are committed only with one of this term behind them.
        self.journal.put(end, [(self.term, "", "")])
        self._count()
        return self.tick(at)

    def _append(self, peer: str) -> Message:
        before = self.next[peer] - 1
        entries = self.journal.entries
        return Message("append", self.term, self.name, before, entries[before - 1][0] if before else 0,
                       entries=tuple(entries[before:before + MOST_ENTRIES]), commit=self.commit)

    def propose(self, key: str, value: str, at: timedelta) -> tuple[int, list[tuple[str, Message]]]:
        """The entry's place, or 0 from one that does not lead, and the messages that spread it."""
        if self.role != "leader":
            return 0, []
        self.journal.put(len(self.journal.entries), [(self.term, key, value)])
        self._count()
        self.due = at
        return len(self.journal.entries), self.tick(at)

    def receive(self, got: Message, at: timedelta) -> list[tuple[str, Message]]:
        if got.sender not in self.others:
            return []
        if got.term > self.term:
            self.journal.promise(got.term, "")
            if self.role == "leader":
                self.due = at + self._patience()
            self.role, self.leader = "follower", ""
        handlers = {"ask": self._on_ask, "vote": self._on_vote, "append": self._on_append,
                    "appended": self._on_appended}
        handler = handlers.get(got.kind)
        return handler(got, at) if handler is not None else []

    def _on_ask(self, got: Message, at: timedelta) -> list[tuple[str, Message]]:
        index, index_term = self._last()
        complete = (got.index_term, got.index) >= (index_term, index)
        granted = got.term == self.term and complete and self.journal.vote in ("", got.sender)
        if granted:
            self.journal.promise(self.term, got.sender)
            self.due = at + self._patience()
        return [(got.sender, Message("vote", self.term, self.name, granted=granted))]

    def _on_vote(self, got: Message, at: timedelta) -> list[tuple[str, Message]]:
        if self.role != "candidate" or got.term != self.term or not got.granted:
            return []
        self.votes.add(got.sender)
        return self._lead(at) if self._majority(len(self.votes)) else []

    def _on_append(self, got: Message, at: timedelta) -> list[tuple[str, Message]]:
        entries = self.journal.entries
        agrees = False
        if got.term == self.term:
            self.role, self.leader, self.due = "follower", got.sender, at + self._patience()
            agrees = got.index == 0 or (
                got.index <= len(entries) and entries[got.index - 1][0] == got.index_term)
        if not agrees:
            # The shortest log that can still agree, so that the leader steps back at once.
            index = min(len(entries), max(0, got.index - 1))
            return [(got.sender, Message("appended", self.term, self.name, index))]
        for offset, entry in enumerate(got.entries):
            place = got.index + offset
            if place >= len(entries) or entries[place][0] != entry[0]:
                self.journal.put(place, got.entries[offset:])
                break
        index = got.index + len(got.entries)
        self.commit = max(self.commit, min(got.commit, index))
        return [(got.sender, Message("appended", self.term, self.name, index, granted=True))]

    def _on_appended(self, got: Message, at: timedelta) -> list[tuple[str, Message]]:
        if self.role != "leader" or got.term != self.term:
            return []
        peer, end = got.sender, len(self.journal.entries)
        if got.granted:
            self.match[peer] = max(self.match[peer], got.index)
            self.next[peer] = self.match[peer] + 1
            self._count()
        else:
            self.next[peer] = max(self.match[peer] + 1, min(self.next[peer] - 1, got.index + 1))
        return [(peer, self._append(peer))] if self.next[peer] <= end or not got.granted else []

    def _count(self) -> None:
        """An entry of this term that a majority holds is committed, and all before it."""
        for place in range(len(self.journal.entries), self.commit, -1):
            held = 1 + sum(match >= place for match in self.match.values())
            if self._majority(held) and self.journal.entries[place - 1][0] == self.term:
                self.commit = place
                return


@dataclass(slots=True)
class Store:
    """A replica behind a lock, its clock, and the keys and values of what is committed."""

    replica: Replica
    send: Callable[[str, Message], None]
    applied: Callable[[str, str], None]  # each committed key and value, in order, outside the lock
    values: dict[str, str] = field(default_factory=dict)
    _done: int = 0
    _news: threading.Condition = field(default_factory=threading.Condition)
    _applying: threading.Lock = field(default_factory=threading.Lock)
    _stopped: threading.Event = field(default_factory=threading.Event)

    def start(self) -> None:
        threading.Thread(target=self._run, name="store", daemon=True).start()

    def stop(self) -> None:
        self._stopped.set()
        with self._news:
            self.replica.journal.close()

    def _run(self) -> None:
        while not self._stopped.wait((HEARTBEAT / 4).total_seconds()):
            with self._news:
                out = [] if self._stopped.is_set() else self.replica.tick(now())
            self._after(out)

    def receive(self, got: Message) -> None:
        with self._news:
            out = [] if self._stopped.is_set() else self.replica.receive(got, now())
        self._after(out)

    def _after(self, out: list[tuple[str, Message]]) -> None:
        for to, message in out:
            self.send(to, message)
        with self._applying:  # one thread at a time, so that the order holds
            with self._news:
                fresh = self.replica.journal.entries[self._done:self.replica.commit]
                self._done += len(fresh)
                self.values.update({key: value for _, key, value in fresh if key})
                self._news.notify_all()
            for _, key, value in fresh:
                if key:
                    self.applied(key, value)

    def set(self, key: str, value: str, within: timedelta) -> bool:
        """True once a majority holds it; False where this peer does not lead or none can be had in time.
        False does not prove that it will not come to hold."""
        if not 0 < len(key.encode()) <= LONGEST_KEY or len(value.encode()) > LONGEST_VALUE:
            raise ValueError("key or value too long, or no key")
        until = now() + within
        with self._news:
            place, out = (0, []) if self._stopped.is_set() else self.replica.propose(key, value, now())
            term = self.replica.term
        self._after(out)
        with self._news:
            while place and self.replica.commit < place and now() < until:
                self._news.wait(max(until - now(), NOTHING).total_seconds())
            entries = self.replica.journal.entries
            return 0 < place <= self.replica.commit and entries[place - 1][0] == term

    def is_stopped(self) -> bool:
        return self._stopped.is_set()

    def get(self, key: str) -> str | None:
        with self._news:
            return self.values.get(key)

    def leader(self) -> str:
        with self._news:
            return self.replica.leader
