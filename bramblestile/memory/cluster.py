"""The cluster: the upstream hosts that discovery lists, their addresses and their effective state."""

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
    """One entry of the cluster. ``started_at`` is the host's last start, None where that was long ago."""

    id: str
    address: Address
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    state: State = State.RUNNING
    started_at: timedelta | None = None
    tls_name: str = ""  # the name its certificate must prove; empty: by the configuration's template


@dataclass(slots=True, frozen=True)
class HostSetting:
    """What one source says of a host: whether it takes work, and the part of its listed weight that it is to have."""

    takes_work: bool = True
    weight_share: float = 1.0


NO_SETTING = HostSetting()


@dataclass(slots=True)
class _HostChange:
    """The host whose effective state a change has altered, if it has."""

    changed_host: UpstreamHost | None = None


class Cluster:
    """The listed upstream hosts. Nothing is ever sent to a host that is not in here.

    A host's effective state is the most restrictive of these sources:

    - The state that discovery lists.
    - The setting that the replicated store holds, until the store holds another. It ends neither with a check's result
      nor with a restart of the host, and it need not be listed: the store reports each value once, in any order with
      the lists.
    - The result of a health check, until a later check replaces it, or the host restarts. A host is checked whether it
      is listed or not, so it need not be listed here either.
    - The host's own announcement that it drains. It ends when the host restarts, when a check finds that the host
      takes work, or when discovery lists the host as in service after it had listed it as draining.
    - A refused certificate, until it is accepted again, or the host restarts or is no longer listed.
    - An operator's order that suspends the host. Nothing that discovery lists ends it, not even that the host
      disappears and comes back.

    A check's result and a refused certificate survive a listing as in service, because neither is reported a second
    time. A host that operators resume counts as started at that moment at the earliest: it is restarted while it is
    suspended, and discovery may list that restart late.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listed: dict[str, UpstreamHost] = {}
        self._stored_settings: dict[str, HostSetting] = {}  # from the replicated store, listed or not
        self._check_results: dict[str, HostSetting] = {}  # of health checks, listed or not
        # Hosts whose certificate is refused: no new connections, existing ones stay.
        self._refused_certificates: set[str] = set()
        self._draining: set[str] = set()  # hosts that announced themselves that they drain
        self._suspended: Collection[str] = ()  # by operators, listed or not
        self._weight_factors: Mapping[str, float] = {}  # factors of the weights; 1 where a host has none
        self.send_allowed: Callable[[str], bool] | None = None  # a further condition, checked at each send
        self._resumed_at: Mapping[str, timedelta] = {}  # hosts that operators resumed: their earliest start time
        self._sending: Counter[str] = Counter()  # requests that are being written to a host

    def update(self, mode: ListMode, hosts: Sequence[UpstreamHost]) -> list[UpstreamHost]:
        """Apply news from discovery and return the hosts it names with their effective state."""
        with self._lock:
            if mode is not ListMode.CHANGES:
                current = {host.id: host for host in hosts}
                self._listed = {n: h for n, h in self._listed.items() if n in current}
                self._refused_certificates.intersection_update(current)
                self._draining.intersection_update(current)
            for host in hosts:
                old = self._listed.get(host.id)
                back_in_service = old is not None and old.state is State.DRAINING and host.state is State.RUNNING
                restarted = old is not None and old.started_at != host.started_at
                gone = host.state is State.GONE
                if restarted:
                    self._check_results.pop(host.id, None)
                if restarted or gone:
                    self._refused_certificates.discard(host.id)
                if restarted or gone or back_in_service:
                    self._draining.discard(host.id)
                if gone:
                    self._listed.pop(host.id, None)
                else:
                    self._listed[host.id] = host
            return [self._with_effective_state(host) for host in hosts]

    def apply_check(self, name: str, takes_work: bool | None, weight_share: float | None = None) -> UpstreamHost | None:
        """Apply a health check's result and return the host if its effective state changes, else None.

        ``weight_share`` is the part of its listed weight that the host is to have; None leaves a value as it was.
        """
        with self._lock, self._change_of(name) as change:
            old = self._check_results.get(name, NO_SETTING)
            if takes_work:
                self._draining.discard(name)
            self._check_results[name] = HostSetting(
                old.takes_work if takes_work is None else takes_work,
                old.weight_share if weight_share is None else weight_share,
            )
        return change.changed_host

    def apply_stored_setting(self, name: str, setting: HostSetting) -> UpstreamHost | None:
        """Apply what the replicated store holds of a host. Returns the host if its effective state changes."""
        with self._lock, self._change_of(name) as change:
            if setting == NO_SETTING:
                self._stored_settings.pop(name, None)
            else:
                self._stored_settings[name] = setting
        return change.changed_host

    def set_closed(self, name: str, closed: bool) -> UpstreamHost | None:
        """Stop or allow new connections to a host; it is closed while its certificate is refused.

        Existing connections stay. Returns the host if its effective state changes, else None.
        """
        return self._set_mark(self._refused_certificates, name, closed)

    def mark_draining(self, name: str) -> UpstreamHost | None:
        """Record a host's own announcement that it drains. Returns the host if its effective state changes."""
        return self._set_mark(self._draining, name, True)

    def end_draining(self, name: str) -> UpstreamHost | None:
        """Record that a host no longer announces that it drains. Returns the host if its effective state changes."""
        return self._set_mark(self._draining, name, False)

    def _set_mark(self, marked: set[str], name: str, on: bool) -> UpstreamHost | None:
        with self._lock, self._change_of(name) as change:
            if name in self._listed:
                (marked.add if on else marked.discard)(name)
        return change.changed_host

    @contextmanager
    def _change_of(self, name: str) -> Iterator[_HostChange]:
        """Find out whether the body changes a listed host's effective state. Called with the lock held."""
        change = _HostChange()
        host = self._listed.get(name)
        before = None if host is None else self._with_effective_state(host)
        yield change
        after = None if host is None else self._with_effective_state(host)
        change.changed_host = after if after != before else None

    def _with_effective_state(self, host: UpstreamHost) -> UpstreamHost:
        """Return the host in its effective state, by all sources that the class lists. Called with the lock held.

        Suspended hosts, and those with a refused certificate, keep their connections, unlike draining ones. A host that
        operators have resumed counts as started then, so that it gets its load back slowly.
        """
        stored = self._stored_settings.get(host.id, NO_SETTING)
        checked = self._check_results.get(host.id, NO_SETTING)
        takes_work = stored.takes_work and checked.takes_work
        state = host.state
        if state is State.RUNNING and (not takes_work or host.id in self._draining):
            state = State.DRAINING
        if state is State.RUNNING and (host.id in self._refused_certificates or host.id in self._suspended):
            state = State.CLOSED
        started_at, resumed_at = host.started_at, self._resumed_at.get(host.id)
        if resumed_at is not None and (started_at is None or started_at < resumed_at):
            started_at = resumed_at
        return replace(
            host,
            state=state,
            weight=host.weight
            * min(stored.weight_share, checked.weight_share)
            * self._weight_factors.get(host.id, 1.0),
            started_at=started_at,
        )

    def apply_orders(
        self,
        suspended: Collection[str],
        resumed: Mapping[str, timedelta],
        weight_factors: Mapping[str, float] | None = None,
    ) -> list[str]:
        """Replace all operators' orders and return the listed hosts whose effective state changes.

        ``resumed`` holds the time from which each resumed host counts as started.
        """
        with self._lock:
            before = {name: self._with_effective_state(host) for name, host in self._listed.items()}
            self._suspended, self._resumed_at, self._weight_factors = suspended, resumed, weight_factors or {}
            return [name for name, host in self._listed.items() if self._with_effective_state(host) != before[name]]

    def started_at(self, name: str) -> timedelta | None:
        """Return a host's last start as discovery lists it, whatever operators ordered."""
        with self._lock:
            host = self._listed.get(name)
            return None if host is None else host.started_at

    def is_known(self, name: str) -> bool:
        """Return whether a host is listed or suspended."""
        with self._lock:
            return name in self._listed or name in self._suspended

    @contextmanager
    def guard_send(self, host: UpstreamHost) -> Iterator[bool]:
        """Hold a send in progress while the first bytes of a request are written; yield whether it is allowed."""
        with self._lock:
            allowed = self._accepts_requests(host)
            self._sending[host.id] += allowed
        try:
            yield allowed
        finally:
            with self._lock:
                self._sending[host.id] -= allowed
                if not self._sending[host.id]:
                    del self._sending[host.id]

    def has_no_sends_in_progress(self, name: str) -> bool:
        """Return whether no request is being written to this host."""
        with self._lock:
            return name not in self._sending

    def find(self, name: str) -> UpstreamHost | None:
        """Return a listed host with its effective state, or None."""
        with self._lock:
            host = self._listed.get(name)
            return None if host is None else self._with_effective_state(host)

    def hosts(self) -> list[UpstreamHost]:
        """Return all listed hosts with their effective state."""
        with self._lock:
            return [self._with_effective_state(host) for host in self._listed.values()]

    def listed_hosts(self) -> list[UpstreamHost]:
        """Return all hosts as discovery lists them; only the start times include operators' resume orders."""
        with self._lock:
            return [
                replace(host, started_at=self._with_effective_state(host).started_at) for host in self._listed.values()
            ]

    def accepts_requests(self, host: UpstreamHost) -> bool:
        """Return whether this is still the same start of the same host, in service and allowed to get requests."""
        with self._lock:
            return self._accepts_requests(host)

    def _accepts_requests(self, host: UpstreamHost) -> bool:
        listed_host = self._listed.get(host.id)
        effective = None if listed_host is None else self._with_effective_state(listed_host)
        return (
            effective is not None
            and effective.state is State.RUNNING
            and effective.started_at == host.started_at
            and (self.send_allowed is None or self.send_allowed(host.id))
        )
