"""The replicated store as other threads use it: a replica with a lock, a clock and a timer thread."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from bramblestile.clock import ZERO_DURATION, now
from bramblestile.store.replica import HEARTBEAT_INTERVAL, MAX_KEY_BYTES, MAX_KEYS, MAX_VALUE_BYTES, Message, Replica


class StoreFullError(Exception):
    """The store holds as many keys as it may."""


@dataclass(slots=True)
class Store:
    """A thread-safe replica with the committed keys and values.

    ``on_applied`` is called with each committed key and value, in order and without the lock; an empty value means
    that the key was removed.
    """

    replica: Replica
    send: Callable[[str, Message], None]
    on_applied: Callable[[str, str], None]
    values: dict[str, str] = field(default_factory=dict)
    _changed: threading.Condition = field(default_factory=threading.Condition)
    _apply_lock: threading.Lock = field(default_factory=threading.Lock)
    _stopped: threading.Event = field(default_factory=threading.Event)

    def start(self) -> None:
        """Start the timer thread."""
        threading.Thread(target=self._run, name="store", daemon=True).start()

    def stop(self) -> None:
        """Stop sending and answering, and close the journal."""
        self._stopped.set()
        with self._changed:
            self.replica.journal.close()

    def _run(self) -> None:
        while not self._stopped.wait((HEARTBEAT_INTERVAL / 4).total_seconds()):
            with self._changed:
                outbox = [] if self._stopped.is_set() else self.replica.tick(now())
            self._dispatch(outbox)

    def receive(self, message: Message) -> None:
        """Handle a message from a peer."""
        with self._changed:
            outbox = [] if self._stopped.is_set() else self.replica.receive(message, now())
        self._dispatch(outbox)

    def _dispatch(self, outbox: list[tuple[str, Message]]) -> None:
        """Send messages and report the changes that have been applied meanwhile."""
        for to, message in outbox:
            self.send(to, message)
        with self._apply_lock:  # one thread at a time, to keep the order of changes
            with self._changed:
                new_changes, self.replica.changes = self.replica.changes, []
                self.values = dict(self.replica.values) if new_changes else self.values
                self._changed.notify_all()
            for key, value in new_changes:
                self.on_applied(key, value)

    def set(self, key: str, value: str, timeout: timedelta) -> bool:
        """Return True once the value is committed, False if this peer does not lead or the time is over.

        After False the value may still be committed later.

        Raises:
            ValueError: if the key is empty, or the key or the value is too long.
            StoreFullError: if the key is new and the store holds ``MAX_KEYS`` others.
        """
        if not 0 < len(key.encode()) <= MAX_KEY_BYTES or len(value.encode()) > MAX_VALUE_BYTES:
            raise ValueError("the key is empty, or the key or the value is too long")
        deadline = now() + timeout
        with self._changed:
            if value and key not in self.replica.values and len(self.replica.values) >= MAX_KEYS:
                raise StoreFullError(f"the store is full: it holds {MAX_KEYS} keys")
            index, outbox = (0, []) if self._stopped.is_set() else self.replica.propose(key, value, now())
            term = self.replica.term
        self._dispatch(outbox)
        with self._changed:
            while index and self.replica.commit_index < index and now() < deadline:
                self._changed.wait(max(deadline - now(), ZERO_DURATION).total_seconds())
            # In a snapshot the entry's term is unknown; it is the proposed entry if this peer's term is unchanged.
            entry_term = self.replica.journal.term_at(index)
            return 0 < index <= self.replica.commit_index and term in (
                entry_term,
                self.replica.term if entry_term is None else None,
            )

    def is_stopped(self) -> bool:
        """Return whether ``stop`` was called."""
        return self._stopped.is_set()

    def get(self, key: str) -> str | None:
        """Return the value that this peer has applied, which may be older than the leader's."""
        with self._changed:
            return self.values.get(key)

    def leader(self) -> str:
        """Return the name of the current leader as this peer knows it, or an empty string."""
        with self._changed:
            return self.replica.leader
