"""The cluster: the upstream hosts that discovery has named, their addresses and their state."""

from __future__ import annotations

import threading
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from bramblestile.wire.sockets import Address
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
    born: timedelta | None = None


class Cluster:
    """Nothing is ever sent to an upstream host that is not in here."""

    def __init__(self, version: int = 0) -> None:
        self._lock = threading.Lock()
        self._hosts: dict[str, UpstreamHost] = {}
        self.version = version

    def apply(self, mode: ListMode, hosts: Sequence[UpstreamHost]) -> None:
        with self._lock:
            if mode is not ListMode.CHANGES:
                self._hosts = {}
            for host in hosts:
                if host.state is State.GONE:
                    self._hosts.pop(host.id, None)
                else:
                    self._hosts[host.id] = host

    def find(self, name: str) -> UpstreamHost | None:
        with self._lock:
            return self._hosts.get(name)

    def hosts(self) -> list[UpstreamHost]:
        with self._lock:
            return list(self._hosts.values())

    def takes_work(self, host: UpstreamHost) -> bool:
        """Still the same start of the same host, and neither draining nor gone."""
        held = self.find(host.id)
        return held is not None and held.state is State.RUNNING and held.born == host.born

    def draining(self, name: str) -> UpstreamHost | None:
        """The entry with its state changed, for a host that says itself that it drains."""
        host = self.find(name)
        if host is None or host.state is not State.RUNNING:
            return None
        return replace(host, state=State.DRAINING)
