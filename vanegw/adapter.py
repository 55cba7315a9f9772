"""Runs balancers for the simulator: reads batches of messages, dispatches events, writes replies. No decisions."""

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
    """One simulated balancer, and the names of the values in its load reports. Instances share nothing."""

    balancer: Balancer
    report_names: list[str]


@dataclass(slots=True)
class AdapterSession:
    """The state of one stream: its instances, its backend tables, and the time of the batch that is being read."""

    write: Callable[[str], None]
    instances: dict[int, Instance] = field(default_factory=dict)
    tables: dict[int, tuple[api.Backend, ...]] = field(default_factory=dict)
    now_us: int | None = None

    def process_line(self, line: str) -> bool:
        """Process one line; return whether it ended a batch, whose reply has then been written."""
        name, fields = wire.parse_line(line)
        if name == "TURN":
            if self.now_us is not None:
                raise wire.WireError("TURN inside a batch: GO is missing")
            self.now_us = fields["t_us"]
        elif self.now_us is None:
            raise wire.WireError(f"{name} outside a batch: TURN is missing")
        elif name == "GO":
            self.now_us = None
            self.write('["END"]\n')
            return True
        elif name == "TABLE":
            # "sheet" is the number of the table, "rows_in" its rows, each of which describes a backend.
            self.tables[fields["sheet"]] = wire.parse_backends(fields["rows_in"])
        elif name == "BEGIN":
            self._begin_instance(fields)
        elif name == "DETACH":
            if self.instances.pop(fields["i"], None) is None:
                raise wire.WireError(f"DETACH: unknown instance {fields['i']}")
        else:
            self._handle_event(name, fields)
        return False

    def _begin_instance(self, fields: dict[str, Any]) -> None:
        settings, report_names = wire.parse_settings(fields["setup"])
        self.instances[fields["i"]] = Instance(Balancer(settings, fields["prng"]), report_names)

    def _backend_list(self, fields: dict[str, Any]) -> api.BackendList:
        mode = wire.parse_list_mode(fields["mode"])
        if mode is api.ListMode.UNAVAILABLE:
            return api.BackendList(mode)
        if fields["sheet"] not in self.tables:
            raise wire.WireError(f"PEERS_KNOWN: no TABLE {fields['sheet']}")
        return api.BackendList(mode, self.tables[fields["sheet"]])

    def _handle_event(self, name: str, fields: dict[str, Any]) -> None:
        instance = self.instances.get(fields["i"])
        if instance is None:
            raise wire.WireError(f"{name}: unknown instance {fields['i']}")
        event = (
            self._backend_list(fields)
            if name == "PEERS_KNOWN"
            else wire.parse_event(name, fields, instance.report_names)
        )
        if event is None or self.now_us is None:
            return
        try:
            actions = instance.balancer.handle(self.now_us, event)
        except Exception as error:
            self.write(wire.format_fault(fields["i"], f"{name}: {type(error).__name__}: {error}") + "\n")
            return
        for action in actions:
            self.write(wire.format_action(fields["i"], action) + "\n")


def run(lines: Iterable[str], write: Callable[[str], None], flush: Callable[[], None]) -> None:
    """Process a whole stream, and flush after each batch. Raises WireError with the number of the line at fault."""
    session = AdapterSession(write)
    line_number = 0
    for line_number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            if session.process_line(line):
                flush()
        except (wire.WireError, ValueError) as error:
            raise wire.WireError(f"line {line_number}: {error}") from None
    if session.now_us is not None:
        raise wire.WireError(f"line {line_number}: the input ends inside a batch: GO is missing")


def main() -> int:
    """Serve standard input and output; return the exit status."""
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
