"""What a link does to what goes over it. No I/O: a fault is a rule on (from, to)."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from bramblestile.clock import ZERO_DURATION

Between = Callable[[str, str], bool]


@dataclass(slots=True, frozen=True)
class Fault:
    """``late``: the part of pieces that is held back by ``by`` more, which reorders them."""

    between: Between
    loss: float = 0.0
    doubled: float = 0.0
    delay: timedelta = ZERO_DURATION
    jitter: timedelta = ZERO_DURATION
    late: float = 0.0
    by: timedelta = ZERO_DURATION


def split(group: Collection[str]) -> Between:
    """Neither side hears the other."""
    names = frozenset(group)
    return lambda a, b: (a in names) != (b in names)


def out_of(group: Collection[str]) -> Between:
    names = frozenset(group)
    return lambda a, b: a in names and b not in names


def into(group: Collection[str]) -> Between:
    names = frozenset(group)
    return lambda a, b: b in names and a not in names


def anywhere(_: str, __: str) -> bool:
    return True


@dataclass(slots=True)
class Links:
    """Faults by name, so that each can be lifted. Asked from several threads: a change puts a new table in place."""

    random: Random
    faults: dict[str, Fault] = field(default_factory=dict)

    def put(self, name: str, fault: Fault) -> None:
        self.faults = self.faults | {name: fault}

    def lift(self, name: str) -> None:
        self.faults = {n: f for n, f in self.faults.items() if n != name}

    def copies(self, source: str, target: str) -> list[timedelta]:
        """When each copy of a piece arrives, from now; none where it is lost."""
        draw = self.random.random
        after, count = ZERO_DURATION, 1
        for fault in self.faults.values():
            if not fault.between(source, target):
                continue
            if fault.loss and draw() < fault.loss:
                return []
            count += draw() < fault.doubled
            after += fault.delay + fault.jitter * draw()
            if fault.late and draw() < fault.late:
                after += fault.by
        return [after] * count

    def silent(self, source: str, target: str) -> bool:
        """Nothing passes: a stream stalls, as its bytes are sent again until it does."""
        return any(f.loss >= 1 and f.between(source, target) for f in self.faults.values())
