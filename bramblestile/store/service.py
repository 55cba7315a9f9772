"""A replica behind a lock, with its clock: the keys and values of what is committed."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from bramblestile.clock import ZERO_DURATION, now
from bramblestile.store.replica import HEARTBEAT, LONGEST_KEY, LONGEST_VALUE, Message, Replica


@dataclass(slots=True)
class Store:
    """A replica behind a lock, its clock, and the keys and values of what is committed."""

    replica: Replica
    send: Callable[[str, Message], None]
    applied: Callable[[str, str], None]  # each committed key and value, in order, outside the lock
    values: dict[str, str] = field(default_factory=dict)
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
                fresh, self.replica.news = self.replica.news, []
                self.values = dict(self.replica.values) if fresh else self.values
                self._news.notify_all()
            for key, value in fresh:
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
                self._news.wait(max(until - now(), ZERO_DURATION).total_seconds())
            # Folded into a snapshot its term is no longer known, and we still lead in that term: it is ours.
            held = self.replica.journal.term_at(place)
            return 0 < place <= self.replica.commit and term in (held, self.replica.term if held is None else None)

    def is_stopped(self) -> bool:
        return self._stopped.is_set()

    def get(self, key: str) -> str | None:
        with self._news:
            return self.values.get(key)

    def leader(self) -> str:
        with self._news:
            return self.replica.leader
