"""Faults on links: loss, duplication, delay, jitter, reordering and partitions. No I/O.

A fault is a rule on the names of both ends of a link.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from bramblestile.clock import ZERO_DURATION

LinkPredicate = Callable[[str, str], bool]  # whether a fault affects the link from the first name to the second


@dataclass(slots=True, frozen=True)
class Fault:
    """The effect of a fault on the links that it affects.

    Attributes:
        matches: Selects the links.
        loss: Probability that a datagram is lost; from 1 on, streams stall as well.
        duplication: Probability that a datagram is delivered twice.
        delay: Added to the delivery time.
        jitter: Upper bound of a uniformly distributed further delay.
        reordering: Probability that a datagram is held back by ``reordering_delay``, so that later ones overtake it.
        reordering_delay: How long a reordered datagram is held back.
    """

    matches: LinkPredicate
    loss: float = 0.0
    duplication: float = 0.0
    delay: timedelta = ZERO_DURATION
    jitter: timedelta = ZERO_DURATION
    reordering: float = 0.0
    reordering_delay: timedelta = ZERO_DURATION


def partition(group: Collection[str]) -> LinkPredicate:
    """Match links between the group and all others, in both directions."""
    names = frozenset(group)
    return lambda source, target: (source in names) != (target in names)


def outbound(group: Collection[str]) -> LinkPredicate:
    """Match links from the group to all others."""
    names = frozenset(group)
    return lambda source, target: source in names and target not in names


def inbound(group: Collection[str]) -> LinkPredicate:
    """Match links from all others to the group."""
    names = frozenset(group)
    return lambda source, target: target in names and source not in names


def every_link(_source: str, _target: str) -> bool:
    """Match every link."""
    return True


@dataclass(slots=True)
class LinkFaults:
    """The faults in effect, by name.

    Several threads read them without a lock: each change replaces the whole table.
    """

    random: Random
    faults: dict[str, Fault] = field(default_factory=dict)

    def add(self, name: str, fault: Fault) -> None:
        """Put a fault into effect; replaces the one of the same name."""
        self.faults = self.faults | {name: fault}

    def remove(self, name: str) -> None:
        """End a fault; does nothing for an unknown name."""
        self.faults = {other: fault for other, fault in self.faults.items() if other != name}

    def delivery_delays(self, source: str, target: str) -> list[timedelta]:
        """Return the delay of each copy of a datagram sent now; empty if it is lost."""
        draw = self.random.random
        delay, count = ZERO_DURATION, 1
        for fault in self.faults.values():
            if not fault.matches(source, target):
                continue
            if fault.loss and draw() < fault.loss:
                return []
            count += draw() < fault.duplication
            delay += fault.delay + fault.jitter * draw()
            if fault.reordering and draw() < fault.reordering:
                delay += fault.reordering_delay
        return [delay] * count

    def blocks(self, source: str, target: str) -> bool:
        """Whether everything on the link is lost; a stream stalls then, as TCP retransmits until the fault ends."""
        return any(fault.loss >= 1 and fault.matches(source, target) for fault in self.faults.values())
