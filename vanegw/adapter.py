"""Hosts balancers on the simulator's wire: reads batches, dispatches events, writes replies. No decisions."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from vanegw import interface as api
from vanegw import wire
from vanegw.rules import Balancer


@dataclass(slots=True)
class Instance:
    """One balancer's balancer and the order of its load reports. Nothing of it is shared."""

    balancer: Balancer
    report_names: list[str]


@dataclass(slots=True)
class Host:
    """The instances of this process and the backend tables of the stream."""

    write: Callable[[str], None]
    instances: dict[int, Instance] = field(default_factory=dict)
    tables: dict[int, tuple[api.Backend, ...]] = field(default_factory=dict)
    now_us: int | None = None

    def line(self, line: str) -> bool:
        """Takes one line; True when it ends a batch, whose reply has then been written."""
        name, got = wire.read(line)
        if name == "TURN":
            if self.now_us is not None:
                raise wire.WireError("TURN inside a batch: GO is missing")
            self.now_us = got["t_us"]
        elif self.now_us is None:
            raise wire.WireError(f"{name} outside a batch: TURN is missing")
        elif name == "GO":
            self.now_us = None
            self.write('["END"]\n')
            return True
        elif name == "TABLE":
            self.tables[got["sheet"]] = wire.entries(got["rows_in"])
        elif name == "BEGIN":
            self._begin(got)
        elif name == "DETACH":
            if self.instances.pop(got["i"], None) is None:
                raise wire.WireError(f"DETACH: unknown instance {got['i']}")
        else:
            self._event(name, got)
        return False

    def _begin(self, got: dict[str, Any]) -> None:
        settings, names = wire.settings(got["setup"])
        self.instances[got["i"]] = Instance(Balancer(settings, got["prng"]), names)

    def _list(self, got: dict[str, Any]) -> api.BackendList:
        mode = wire.list_mode(got["mode"])
        if mode is api.ListMode.UNAVAILABLE:
            return api.BackendList(mode)
        if got["sheet"] not in self.tables:
            raise wire.WireError(f"PEERS_KNOWN: no TABLE {got['sheet']}")
        return api.BackendList(mode, self.tables[got["sheet"]])

    def _event(self, name: str, got: dict[str, Any]) -> None:
        instance = self.instances.get(got["i"])
        if instance is None:
            raise wire.WireError(f"{name}: unknown instance {got['i']}")
        event = self._list(got) if name == "PEERS_KNOWN" else wire.event(name, got, instance.report_names)
        if event is None or self.now_us is None:
            return
        try:
            actions = instance.balancer.handle(self.now_us, event)
        except Exception as error:
            self.write(wire.fault(got["i"], f"{name}: {type(error).__name__}: {error}") + "\n")
            return
        for action in actions:
            self.write(wire.write(got["i"], action) + "\n")


def run(lines: Iterable[str], write: Callable[[str], None], flush: Callable[[], None]) -> None:
    """Plays a whole stream. Raises WireError with the line's number when the wire is not kept."""
    host = Host(write)
    number = 0
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            if host.line(line):
                flush()
        except (wire.WireError, ValueError) as error:
            raise wire.WireError(f"line {number}: {error}") from None
    if host.now_us is not None:
        raise wire.WireError(f"line {number}: the input ends inside a batch: GO is missing")


def main() -> int:
    reply: list[str] = []

    def flush() -> None:
        sys.stdout.write("".join(reply))
        sys.stdout.flush()
        reply.clear()

    try:
        run(iter(sys.stdin.readline, ""), reply.append, flush)
    except wire.WireError as error:
        print(f"vanegw: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
