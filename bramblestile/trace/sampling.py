"""Sampling: which requests a trace keeps; no I/O.

A request is kept or dropped as a whole, at its end. The share of a class applies only to requests that were served and
whose connection ended well. A request that was refused or failed or whose client left is always kept from its first
record, and so is a connection that was cut or that the balancer moved for a fault of its host (mute, hush, overload).
Until its end is known, a request that the share does not select is held in memory. The number of held records is
bounded; beyond the limit, the oldest request is evicted and counted.

The choice depends on a hash of the id, so all instances choose alike, and a restart changes nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from zlib import crc32

from bramblestile.trace.records import Answer, Ended, Moved, Record, Request, request_id_of

MAX_HELD_RECORDS = 8192  # about 2 MB, a quarter of the memory that a recorder may use
FAILED_STATUSES = frozenset(("cut", "error", "timed_out", "no_route", "no_room"))
HOST_FAULT_REASONS = frozenset(("mute", "hush", "overload"))


@dataclass(slots=True)
class Sampler:
    """Selects the records to write.

    ``keep_shares`` is the share to keep by class, from 0 to 1; a class without one is kept completely.
    """

    keep_shares: Mapping[str, float] = field(default_factory=dict)
    max_held: int = MAX_HELD_RECORDS
    held_count: int = 0
    dropped: int = 0  # records of requests that were not kept
    evicted: int = 0  # held records that were removed before the end of their request
    _pending: OrderedDict[str, list[Record]] = field(default_factory=OrderedDict)  # oldest first; no list is empty

    def offer(self, record: Record) -> Iterable[Record]:
        """Return the records to write now: this one, or all that were held for its request, or none."""
        request_id = request_id_of(record)
        if request_id is None:
            return (record,)
        records = self._pending.get(request_id)
        if records is None:
            # The records of a request that is not held are written: it is kept from the start or since it went wrong,
            # or its first records were evicted. No state is needed for such requests.
            if not isinstance(record, Request) or self._is_kept(record):
                return (record,)
            records = self._pending[request_id] = []
        records.append(record)
        self.held_count += 1
        if _went_wrong(record):
            return self._pop(request_id)
        if isinstance(record, Ended):
            self.dropped += len(self._pop(request_id))
        while self.held_count > self.max_held:
            # Evict the oldest request: it has had the longest time to go wrong.
            self.evicted += len(self._pop(next(iter(self._pending))))
        return ()

    def _pop(self, request_id: str) -> list[Record]:
        records = self._pending.pop(request_id)
        self.held_count -= len(records)
        return records

    def _is_kept(self, record: Request) -> bool:
        share = self.keep_shares.get(record.cls, 1.0)
        return share >= 1.0 or crc32(record.id.encode("utf-8", "replace")) < share * 2**32

    def flush(self) -> list[Record]:
        """Return all held records when the program stops; their requests have no end yet and are kept."""
        remaining = [record for records in self._pending.values() for record in records]
        self._pending.clear()
        self.held_count = 0
        return remaining


def _went_wrong(record: Record) -> bool:
    if isinstance(record, Answer):
        return record.outcome != "served"
    if isinstance(record, Ended):
        return record.status in FAILED_STATUSES
    return isinstance(record, Moved) and record.reason in HOST_FAULT_REASONS
