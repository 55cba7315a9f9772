"""The cluster: the upstream hosts that discovery has named, their addresses and their state."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace
from datetime import timedelta

from bramblestile.sockets import Address
from vanegw.interface import ListMode, State


@dataclass(slots=True, frozen=True)
class UpstreamHost:
    """One entry of the cluster. ``born``: its last start, None if long ago."""

    id: str
    address: Address
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    state: State = State.RUNNING
    started_at: timedelta | None = None
    tls_name: str = ""  # who it must prove to be; empty: what the configuration's template says


class Cluster:
    """Nothing is ever sent to an upstream host that is not in here. An opinion, which a check or the host
    itself gives, is laid over what discovery lists until it is taken back or the host starts anew. A host's own word
    that it drains ends too where discovery, which had it draining, lists it as in service again; a check's word and a
    refused certificate outlast that, since nobody says them a second time.

    An operator's order that takes a host out is a source of its own: nothing that is listed ends it, not even that the
    host vanishes and comes again. Called back, a host counts as born then at the earliest, since it is restarted while
    it is out and the list may tell of that late. The most restrictive source wins."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listed: dict[str, UpstreamHost] = {}
        self._opinions: dict[str, tuple[bool, float]] = {}  # takes work, share of the listed weight
        self._closed: set[str] = set()  # take nothing new, and keep what they hold
        self._leaving: set[str] = set()  # have said themselves that they drain
        self._suspended: Collection[str] = ()  # taken out by operators, listed or not
        self._lean: Mapping[str, float] = {}  # the part of its weight by which a host draws clients
        self.send_allowed: Callable[[str], bool] | None = None  # asked at every send beside all else; None: nobody is
        self._back: Mapping[str, timedelta] = {}  # called back by operators, and from when they count as born
        self._sending: Counter[str] = Counter()  # requests that are being written to a host

    def update(self, mode: ListMode, hosts: Sequence[UpstreamHost]) -> list[UpstreamHost]:
        """Takes discovery's news; returns them as the decisions are to hear them."""
        with self._lock:
            if mode is not ListMode.CHANGES:
                kept = {host.id: host for host in hosts}
                self._opinions = {n: o for n, o in self._opinions.items() if n in kept}
                self._listed = {n: h for n, h in self._listed.items() if n in kept}
                self._closed.intersection_update(kept)
                self._leaving.intersection_update(kept)
            for host in hosts:
                old = self._listed.get(host.id)
                again = old is not None and old.state is State.DRAINING and host.state is State.RUNNING
                anew = host.state is State.GONE or (old is not None and old.started_at != host.started_at)
                if anew:
                    self._opinions.pop(host.id, None)
                    self._closed.discard(host.id)
                if anew or again:
                    self._leaving.discard(host.id)
                if host.state is State.GONE:
                    self._listed.pop(host.id, None)
                else:
                    self._listed[host.id] = host
            return [self._seen(host) for host in hosts]

    def apply_check(self, name: str, takes_work: bool | None, share: float | None = None) -> UpstreamHost | None:
        """Takes an opinion; returns the host where it changes how it is seen."""
        with self._lock:
            host = self._listed.get(name)
            if host is None:
                return None
            before, (works, part) = self._seen(host), self._opinions.get(name, (True, 1.0))
            works = works if takes_work is None else takes_work
            if takes_work:
                self._leaving.discard(name)
            self._opinions[name] = (works, part if share is None else share)
            after = self._seen(host)
            return after if after != before else None

    def set_closed(self, name: str, closed: bool) -> UpstreamHost | None:
        """Nothing new to a host that cannot prove who it is; what stands there stays. The host where this is news."""
        return self._mark(self._closed, name, closed)

    def mark_draining(self, name: str) -> UpstreamHost | None:
        """The host has said itself that it drains. The host where this is news."""
        return self._mark(self._leaving, name, True)

    def _mark(self, marked: set[str], name: str, on: bool) -> UpstreamHost | None:
        with self._lock:
            host = self._listed.get(name)
            if host is None:
                return None
            before = self._seen(host)
            (marked.add if on else marked.discard)(name)
            after = self._seen(host)
            return after if after != before else None

    def _seen(self, host: UpstreamHost) -> UpstreamHost:
        takes_work, share = self._opinions.get(host.id, (True, 1.0))
        state = host.state
        if state is State.RUNNING and (not takes_work or host.id in self._leaving):
            state = State.DRAINING
        if state is State.RUNNING and (host.id in self._closed or host.id in self._suspended):
            state = State.CLOSED
        started_at, back = host.started_at, self._back.get(host.id)
        if back is not None and (started_at is None or started_at < back):
            started_at = back
        return replace(
            host, state=state, weight=host.weight * share * self._lean.get(host.id, 1.0), started_at=started_at
        )

    def apply_orders(
        self, suspended: Collection[str], back: Mapping[str, timedelta], lean: Mapping[str, float] | None = None
    ) -> list[str]:
        """Operators' orders, all that hold. Returns the listed hosts that are seen in another way since."""
        with self._lock:
            before = {name: self._seen(host) for name, host in self._listed.items()}
            self._suspended, self._back, self._lean = suspended, back, lean or {}
            return [name for name, host in self._listed.items() if self._seen(host) != before[name]]

    def started_at(self, name: str) -> timedelta | None:
        """As it is listed, whatever operators say."""
        with self._lock:
            host = self._listed.get(name)
            return None if host is None else host.started_at

    def knows(self, name: str) -> bool:
        with self._lock:
            return name in self._listed or name in self._suspended

    @contextmanager
    def guard_send(self, host: UpstreamHost) -> Iterator[bool]:
        """Around the first bytes of a request: whether they may still go. While it lasts the host is not quiet."""
        with self._lock:
            allowed = self._takes_work(host)
            self._sending[host.id] += allowed
        try:
            yield allowed
        finally:
            with self._lock:
                self._sending[host.id] -= allowed
                if not self._sending[host.id]:
                    del self._sending[host.id]

    def has_no_sends_in_progress(self, name: str) -> bool:
        """No request is being written to this host."""
        with self._lock:
            return name not in self._sending

    def find(self, name: str) -> UpstreamHost | None:
        with self._lock:
            host = self._listed.get(name)
            return None if host is None else self._seen(host)

    def hosts(self) -> list[UpstreamHost]:
        with self._lock:
            return [self._seen(host) for host in self._listed.values()]

    def listed_hosts(self) -> list[UpstreamHost]:
        """As discovery tells them, with the checks' opinions and operators' call backs, whatever is taken out or leaned
        away from."""
        with self._lock:
            return [replace(host, started_at=self._seen(host).started_at) for host in self._listed.values()]

    def accepts_requests(self, host: UpstreamHost) -> bool:
        """Still the same start of the same host, and neither draining nor gone."""
        with self._lock:
            return self._takes_work(host)

    def _takes_work(self, host: UpstreamHost) -> bool:
        held = self._listed.get(host.id)
        seen = None if held is None else self._seen(held)
        return (
            seen is not None
            and seen.state is State.RUNNING
            and seen.started_at == host.started_at
            and (self.send_allowed is None or self.send_allowed(host.id))
        )
