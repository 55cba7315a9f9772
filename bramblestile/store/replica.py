"""Consensus of a few peers on a log of keys and values, without sockets and without a clock.

Raft (Ongaro 2014): election, replication, and commit by a majority in the leader's own term; with pre-vote (9.6), check
quorum and leader leases (6.4.1), leadership transfer (3.10), and snapshots that are sent in chunks (7). The peers are
fixed; all other processes are clients.

Guaranteed: a committed entry is never lost; each term has at most one leader; ``holds_lease`` is true for at most one
peer at a time, as long as no clock runs faster than another by more than ``MAX_CLOCK_DRIFT``. For that reason a peer
that has heard from a leader, or has just started, does not vote for another one within the election timeout.
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

# The kinds of messages: the values are sent, the names are those of Raft.
PRE_VOTE_REQUEST, VOTE_REQUEST, VOTE_RESPONSE = "would", "ask", "vote"
APPEND_REQUEST, APPEND_RESPONSE = "append", "appended"
INSTALL_REQUEST, INSTALL_RESPONSE = "install", "installed"
TIMEOUT_NOW = "now"  # makes the receiver start an election at once
HEARTBEAT_INTERVAL = timedelta(milliseconds=100)
ELECTION_TIMEOUT = timedelta(milliseconds=400)  # minimum; each timeout is drawn from one to two times this
MAX_CLOCK_DRIFT = 0.05  # relative, over an election timeout; a quartz clock drifts by a thousandth of it
MAX_ENTRIES_PER_MESSAGE = 64
MAX_KEY_BYTES, MAX_VALUE_BYTES = 200, 2000  # keep messages with entries small
MAX_KEYS = 2048  # each peer holds all keys and values in memory
COMPACTION_THRESHOLD = 512  # committed entries in the log before they are replaced by a snapshot
MAX_BATCH_BYTES = 1 << 17  # of entries or of a snapshot chunk in one message


@dataclass(slots=True, frozen=True)
class Message:
    """One message between peers; which fields are used depends on ``kind``.

    Field names and kinds are sent as they are. A vote response answers both kinds of vote requests. An install request
    carries one chunk of a snapshot.
    """

    kind: str
    term: int
    sender: str
    # In a vote request the candidate's last entry; in an append request the entry before these; in its response the
    # last one that agrees; in an install request and its response the last one in the snapshot.
    index: int = 0
    index_term: int = 0
    # In a response: success. In an install request: this is the last chunk. In a vote request: the leader has
    # transferred leadership to the candidate and has no lease any more.
    granted: bool = False
    entries: tuple[Entry, ...] = ()
    # The commit index in an append request, an offset in the snapshot's text in an install request and its response, or
    # 1 in the response to a pre-vote request.
    commit: int = 0
    stamp: int = 0  # the leader's time of sending in microseconds, returned in the response
    chunk: str = ""  # of a snapshot's text

    def to_json(self) -> dict[str, Any]:
        """Return the fields as a JSON object."""
        return asdict(self)

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> Message:
        """Read a message from a JSON object.

        Raises:
            ValueError: if it is no valid message.
        """
        try:
            entries = tuple((int(t), str(k), str(v)) for t, k, v in fields.get("entries", ()))
            return cls(
                str(fields["kind"]),
                int(fields["term"]),
                str(fields["sender"]),
                int(fields.get("index", 0)),
                int(fields.get("index_term", 0)),
                fields.get("granted") is True,
                entries,
                int(fields.get("commit", 0)),
                int(fields.get("stamp", 0)),
                str(fields.get("chunk", "")),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a message: {error!r}") from None


Outbox = list[tuple[str, Message]]


class Replica:
    """One peer of the group. Each call returns the messages to send, as pairs of receiver and message.

    Log indexes count from 1. ``values`` is the state after ``last_applied`` entries; an empty value removes its key.
    ``changes`` holds the applied keys and values in order, until the caller takes them. ``max_batch_bytes`` limits the
    entries in one message. A peer that hears from no leader for one to two times ``election_timeout`` starts an
    election. ``role`` is ``follower``, ``asking`` (a pre-candidate), ``candidate`` or ``leader``.
    """

    def __init__(
        self,
        name: str,
        peers: Sequence[str],
        journal: Journal,
        random: Random,
        now: timedelta,
        max_batch_bytes: int = MAX_BATCH_BYTES,
        election_timeout: timedelta = ELECTION_TIMEOUT,
    ) -> None:
        self.name = name
        self.election_timeout, self.lease_duration = election_timeout, election_timeout * (1 - MAX_CLOCK_DRIFT)
        self.other_peers = [peer for peer in peers if peer != name]
        self.journal = journal
        self.random = random
        self.max_batch_bytes = max_batch_bytes
        self.role = "follower"
        self.leader = ""
        self.commit_index = self.last_applied = journal.snapshot_index
        self.values = dict(journal.values)
        self.changes: list[tuple[str, str]] = [(k, v) for k, v in self.values.items()]
        self.votes: set[str] = set()
        self.next_index: dict[str, int] = {}
        self.match_index: dict[str, int] = {}
        self.last_acked: dict[str, timedelta] = {}  # as leader: when the last message that a peer has acked was sent
        self.timer_at = now + self._random_election_timeout()  # of the next heartbeat or election
        self._leader_contact_at = now  # a leader may have been heard from just before the start
        self._leader_since = now
        self._outgoing_snapshots: dict[str, tuple[int, int]] = {}  # by peer: its index, and the length that is acked
        self._incoming_snapshot: tuple[int, int, str] = (0, 0, "")  # index, term, and the text received so far

    def _random_election_timeout(self) -> timedelta:
        return self.election_timeout * (1 + self.random.random())

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.other_peers) + 1

    @property
    def term(self) -> int:
        """The current term."""
        return self.journal.term

    def _last_index_and_term(self) -> tuple[int, int]:
        return self.journal.last_index_and_term()

    # Leadership.

    def _quorum_contact_at(self, now: timedelta) -> timedelta:
        """Return the latest time of sending that a majority has acked since.

        For the election timeout from then on, no peer of that majority votes for another leader.
        """
        times = sorted([now, *self.last_acked.values()], reverse=True)
        majority = (len(self.other_peers) + 1) // 2 + 1
        return times[majority - 1] if len(times) >= majority else self._leader_since - self.election_timeout

    def holds_lease(self, now: timedelta) -> bool:
        """Return whether this peer leads and no other one can at this moment."""
        return self.role == "leader" and (
            not self.other_peers or now < self._quorum_contact_at(now) + self.lease_duration
        )

    def is_active_leader(self, now: timedelta) -> bool:
        """Return whether this peer holds the lease and has applied all entries that earlier leaders committed."""
        return (
            self.holds_lease(now)
            and self.last_applied == self.commit_index
            and self.journal.term_at(self.commit_index) == self.term
        )

    def tick(self, now: timedelta) -> Outbox:
        """Do what is due: send heartbeats, start an election, or step down."""
        if (
            self.role == "leader"
            and self.other_peers
            and now >= max(self._quorum_contact_at(now), self._leader_since) + 2 * self.election_timeout
        ):
            self._become_follower("", now)  # check quorum: no majority hears it, so clients must go elsewhere
        if now < self.timer_at or self.journal.failed:
            return []
        if self.role == "leader":
            self.timer_at = now + HEARTBEAT_INTERVAL
            return [(peer, self._append_message(peer, now)) for peer in self.other_peers]
        return self._start_pre_vote(now)

    def _start_pre_vote(self, now: timedelta) -> Outbox:
        """Ask first whether others would vote: a peer that was paused or cut off must not depose a working leader."""
        self.role, self.leader, self.timer_at = "asking", "", now + self._random_election_timeout()
        self.votes = {self.name}
        if self._is_majority(1):
            return self._start_election(now)
        index, index_term = self._last_index_and_term()
        return [
            (peer, Message(PRE_VOTE_REQUEST, self.term + 1, self.name, index, index_term)) for peer in self.other_peers
        ]

    def transfer_leadership(self, now: timedelta) -> Outbox:
        """Step down and make a peer with the complete log start an election at once.

        Returns nothing and keeps leading if there is no such peer or not all entries are committed. Otherwise this peer
        has given up its lease on return, before any other can be elected.
        """
        last_index = self._last_index_and_term()[0]
        ready = [
            peer
            for peer in self.other_peers
            if self.match_index.get(peer) == last_index
            and now - self.last_acked.get(peer, self._leader_since - self.election_timeout) < self.election_timeout
        ]
        if self.role != "leader" or self.commit_index != last_index or not ready:
            return []
        peer = max(ready, key=lambda name: self.last_acked[name])
        self._become_follower("", now)
        return [(peer, Message(TIMEOUT_NOW, self.term, self.name))]

    def _start_election(self, now: timedelta, transferred: bool = False) -> Outbox:
        """Vote for itself in a new term and request the others' votes.

        ``transferred`` tells them that the leader has handed its leadership over: they need not wait for its lease.
        """
        if not self._save_vote(self.term + 1, self.name):
            return []
        self.role, self.timer_at = "candidate", now + self._random_election_timeout()
        self.votes = {self.name}
        if self._is_majority(1):
            return self._become_leader(now)
        index, index_term = self._last_index_and_term()
        return [
            (peer, Message(VOTE_REQUEST, self.term, self.name, index, index_term, granted=transferred))
            for peer in self.other_peers
        ]

    def _become_leader(self, now: timedelta) -> Outbox:
        self.role, self.leader, self.timer_at, self._leader_since = "leader", self.name, now, now
        last_index = self._last_index_and_term()[0]
        self.next_index = dict.fromkeys(self.other_peers, last_index + 1)
        self.match_index = dict.fromkeys(self.other_peers, 0)
        self.last_acked, self._outgoing_snapshots = {}, {}
        # Entries of earlier terms are only committed together with a later one of this term.
        if not self._write_entries(last_index, [(self.term, "", "")]):
            return []
        self._advance_commit_index()
        return self.tick(now)

    def _become_follower(self, leader: str, now: timedelta) -> None:
        self.role, self.leader, self.timer_at = "follower", leader, now + self._random_election_timeout()

    def _append_message(self, peer: str, now: timedelta) -> Message:
        """Return the next entries for a peer, or a snapshot chunk if the log no longer holds what it needs."""
        stamp = now // MICROSECOND
        prev_index = self.next_index[peer] - 1
        if prev_index < self.journal.snapshot_index:
            return self._install_message(peer, stamp)
        entries: list[Entry] = []
        free_bytes = self.max_batch_bytes
        for entry in self.journal.entries_after(prev_index)[:MAX_ENTRIES_PER_MESSAGE]:
            free_bytes -= len(entry[1].encode()) + len(entry[2].encode()) + 24
            if entries and free_bytes < 0:
                break
            entries.append(entry)
        return Message(
            APPEND_REQUEST,
            self.term,
            self.name,
            prev_index,
            self.journal.term_at(prev_index) or 0,
            entries=tuple(entries),
            commit=self.commit_index,
            stamp=stamp,
        )

    def _install_message(self, peer: str, stamp: int) -> Message:
        """Return the next chunk of the snapshot; if there is a newer snapshot, its first chunk."""
        index, offset = self._outgoing_snapshots.get(peer, (0, 0))
        if index != self.journal.snapshot_index:
            index, offset = self.journal.snapshot_index, 0
            self._outgoing_snapshots[peer] = index, offset
        text = json.dumps(self.journal.values, sort_keys=True)
        chunk = text[offset : offset + self.max_batch_bytes // 2]  # a non-ASCII character is escaped to six
        return Message(
            INSTALL_REQUEST,
            self.term,
            self.name,
            index,
            self.journal.snapshot_term,
            granted=offset + len(chunk) >= len(text),
            commit=offset,
            stamp=stamp,
            chunk=chunk,
        )

    def propose(self, key: str, value: str, now: timedelta) -> tuple[int, Outbox]:
        """Append an entry as leader; return its index, or 0 if this peer does not lead, and the messages to send."""
        if self.role != "leader" or not self._write_entries(self._last_index_and_term()[0], [(self.term, key, value)]):
            return 0, []
        self._advance_commit_index()
        self.timer_at = now
        return self._last_index_and_term()[0], self.tick(now)

    # Writes to the journal. After a failed one this peer follows, and neither votes nor acknowledges anything.

    def _save_vote(self, term: int, voted_for: str) -> bool:
        try:
            self.journal.save_vote(term, voted_for)
        except OSError:
            self.role, self.leader = "follower", ""
            return False
        return True

    def _write_entries(self, prev_index: int, entries: Sequence[Entry]) -> bool:
        try:
            self.journal.write_entries(prev_index, entries)
        except OSError:
            self.role, self.leader = "follower", ""
            return False
        return True

    # Received messages.

    def receive(self, message: Message, now: timedelta) -> Outbox:
        """Handle a message from a peer; messages from others are ignored."""
        if message.sender not in self.other_peers or self.journal.failed:
            return []
        # In a vote request, granted means that the leader has transferred its leadership to the candidate.
        transferred = message.kind == VOTE_REQUEST and message.granted
        if (
            message.kind in (PRE_VOTE_REQUEST, VOTE_REQUEST)
            and not transferred
            and now < self._leader_contact_at + self.election_timeout
        ):
            # No vote within the election timeout of a leader's message: the leader's lease relies on that, and a
            # candidate that cannot reach the leader must not depose it.
            return []
        if message.kind == PRE_VOTE_REQUEST:
            return self._on_pre_vote_request(message)
        if message.term > self.term and message.kind != VOTE_RESPONSE:
            if not self._save_vote(message.term, ""):
                return []
            self._become_follower("", now)
        handlers = {
            VOTE_REQUEST: self._on_vote_request,
            VOTE_RESPONSE: self._on_vote_response,
            APPEND_REQUEST: self._on_append,
            APPEND_RESPONSE: self._on_append_response,
            INSTALL_REQUEST: self._on_install,
            INSTALL_RESPONSE: self._on_install_response,
            TIMEOUT_NOW: self._on_timeout_now,
        }
        handler = handlers.get(message.kind)
        return handler(message, now) if handler is not None else []

    def _is_log_up_to_date(self, message: Message) -> bool:
        """Return whether the candidate's log is at least as complete as this peer's."""
        index, index_term = self._last_index_and_term()
        return (message.index_term, message.index) >= (index_term, index)

    def _on_pre_vote_request(self, message: Message) -> Outbox:
        """Answer whether this peer would vote for the sender; ``commit`` is 1 to tell it from a real vote."""
        granted = message.term > self.term and self._is_log_up_to_date(message) and self.role != "leader"
        return [(message.sender, Message(VOTE_RESPONSE, message.term, self.name, granted=granted, commit=1))]

    def _on_vote_request(self, message: Message, now: timedelta) -> Outbox:
        granted = (
            message.term == self.term
            and self._is_log_up_to_date(message)
            and self.journal.voted_for in ("", message.sender)
        )
        if granted:
            if not self._save_vote(self.term, message.sender):
                return []
            self.timer_at = now + self._random_election_timeout()
        return [(message.sender, Message(VOTE_RESPONSE, self.term, self.name, granted=granted))]

    def _on_timeout_now(self, message: Message, now: timedelta) -> Outbox:
        """Start an election; ignored if the term is over, as its sender may lead again by then."""
        return (
            self._start_election(now, transferred=True) if message.term == self.term and self.role != "leader" else []
        )

    def _on_vote_response(self, message: Message, now: timedelta) -> Outbox:
        """Count a vote; ``commit`` is 1 in the response to a pre-vote request."""
        if not message.granted:
            if message.term > self.term and not message.commit and self._save_vote(message.term, ""):
                self._become_follower("", now)
            return []
        if self.role != ("asking" if message.commit else "candidate") or message.term != self.term + message.commit:
            return []
        self.votes.add(message.sender)
        if not self._is_majority(len(self.votes)):
            return []
        return self._start_election(now) if message.commit else self._become_leader(now)

    def _on_append(self, message: Message, now: timedelta) -> Outbox:
        """Append the leader's entries if this log agrees up to the entry before them, and commit what the leader has.

        The response's index is the last entry that agrees if it is granted, else the last one that may agree.
        """
        journal = self.journal
        agrees = False
        if message.term == self.term:
            self._become_follower(message.sender, now)
            self._leader_contact_at = now
            agrees = message.index < journal.snapshot_index or journal.term_at(message.index) == message.index_term
        if not agrees:
            # The last index that may agree, so that the leader goes back in one step.
            index = min(self._last_index_and_term()[0], max(0, message.index - 1))
            # The stamp of an earlier term is not returned. In simulation, a restarted leader took a stamp of its
            # previous process, from another clock, for a recent one and held its lease beside another leader.
            stamp = message.stamp if message.term == self.term else 0
            return [(message.sender, Message(APPEND_RESPONSE, self.term, self.name, index, stamp=stamp))]
        for offset, entry in enumerate(message.entries):
            entry_index = message.index + offset + 1
            if entry_index > journal.snapshot_index and journal.term_at(entry_index) != entry[0]:
                if not self._write_entries(entry_index - 1, message.entries[offset:]):
                    return []
                break
        index = message.index + len(message.entries)
        self._commit_through(min(message.commit, index))
        return [
            (message.sender, Message(APPEND_RESPONSE, self.term, self.name, index, granted=True, stamp=message.stamp))
        ]

    def _on_append_response(self, message: Message, now: timedelta) -> Outbox:
        """Record how far the peer's log agrees, and send what it lacks.

        ``stamp`` is this leader's own time of sending: its lease counts from there.
        """
        if self.role != "leader" or message.term != self.term:
            return []
        peer, last_index = message.sender, self._last_index_and_term()[0]
        self.last_acked[peer] = max(
            message.stamp * MICROSECOND, self.last_acked.get(peer, self._leader_since - self.election_timeout)
        )
        if message.granted:
            self.match_index[peer] = max(self.match_index[peer], message.index)
            self.next_index[peer] = self.match_index[peer] + 1
            self._advance_commit_index()
        else:
            self.next_index[peer] = max(self.match_index[peer] + 1, min(self.next_index[peer] - 1, message.index + 1))
        return (
            [(peer, self._append_message(peer, now))]
            if self.next_index[peer] <= last_index or not message.granted
            else []
        )

    def _on_install(self, message: Message, now: timedelta) -> Outbox:
        """Receive a chunk of a snapshot, and restore the snapshot when it is complete.

        Here ``commit`` is the chunk's offset in the snapshot's text, and ``granted`` marks the last chunk. In the
        response, ``granted`` means that the snapshot is installed, else ``commit`` is the offset wanted next. The
        leader measures its lease by its ``stamp``, which is returned unchanged.
        """
        if message.term != self.term:
            return [(message.sender, Message(APPEND_RESPONSE, self.term, self.name))]
        self._become_follower(message.sender, now)
        self._leader_contact_at = now
        snapshot_index, term, text = self._incoming_snapshot
        if (snapshot_index, term) != (message.index, message.index_term) or message.commit < len(text):
            text = text[: message.commit] if (snapshot_index, term) == (message.index, message.index_term) else ""
        if message.commit == len(text):
            text += message.chunk
        self._incoming_snapshot = message.index, message.index_term, text
        if message.granted and message.commit + len(message.chunk) == len(text):
            self._incoming_snapshot = 0, 0, ""
            if message.index > self.commit_index and not self._restore_snapshot(
                message.index, message.index_term, text
            ):
                return []
            return [
                (
                    message.sender,
                    Message(INSTALL_RESPONSE, self.term, self.name, message.index, granted=True, stamp=message.stamp),
                )
            ]
        return [
            (
                message.sender,
                Message(INSTALL_RESPONSE, self.term, self.name, message.index, commit=len(text), stamp=message.stamp),
            )
        ]

    def _restore_snapshot(self, index: int, term: int, text: str) -> bool:
        try:
            values = json.loads(text)
            self.journal.save_snapshot(index, term, values)
        except (ValueError, OSError):
            return False
        removed = [(key, "") for key in self.values if key not in values]
        self.values = dict(values)
        self.changes += [*removed, *values.items()]
        self.commit_index = self.last_applied = index
        return True

    def _on_install_response(self, message: Message, now: timedelta) -> Outbox:
        """Go on after the snapshot (``granted``), or send the chunk at the offset wanted next (``commit``)."""
        if self.role != "leader" or message.term != self.term:
            return []
        peer = message.sender
        self.last_acked[peer] = max(
            message.stamp * MICROSECOND, self.last_acked.get(peer, self._leader_since - self.election_timeout)
        )
        if message.granted:
            self.match_index[peer] = max(self.match_index[peer], message.index)
            self.next_index[peer] = self.match_index[peer] + 1
            self._outgoing_snapshots.pop(peer, None)
            self._advance_commit_index()
        elif self._outgoing_snapshots.get(peer, (0, 0))[0] == message.index:
            self._outgoing_snapshots[peer] = message.index, message.commit
        return [(peer, self._append_message(peer, now))]

    def _advance_commit_index(self) -> None:
        """Commit the last entry of this term that a majority holds, and all before it."""
        for index in range(self._last_index_and_term()[0], self.commit_index, -1):
            holders = 1 + sum(match_index >= index for match_index in self.match_index.values())
            if self._is_majority(holders) and self.journal.term_at(index) == self.term:
                self._commit_through(index)
                return

    def _commit_through(self, index: int) -> None:
        """Commit and apply all entries up to this index, and compact the log if it has grown long."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        for _, key, value in self.journal.entries_after(self.last_applied)[: index - self.last_applied]:
            if key:
                self.values[key] = value
                if not value:
                    del self.values[key]
                self.changes.append((key, value))
        self.last_applied = index
        if index - self.journal.snapshot_index >= COMPACTION_THRESHOLD:
            try:
                self.journal.save_snapshot(index, self.journal.term_at(index) or 0, self.values)
            except OSError:
                self.role, self.leader = "follower", ""
