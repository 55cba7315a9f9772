"""The ids of requests that may have run, remembered for a while, in a table that two processes may share.

An id is new for each connection. One that comes again, after its client has left or at the other process during an
upgrade, must not run a second time. The table has a fixed size and holds hashes: clients choose the ids and their
number. Each id has one bucket; a new id takes the place there that is free, or that would be free first.
"""

from __future__ import annotations

import contextlib
import fcntl
import mmap
import os
import struct
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from datetime import timedelta
from hashlib import blake2b
from pathlib import Path

from bramblestile.clock import MICROSECOND, now
from bramblestile.log import Log

RETENTION = timedelta(seconds=120)  # twice the longest time for which a client may wait for its answer
BUCKET_COUNT = 4096
BUCKET_ENTRIES = 8
_BUCKET = struct.Struct(f"<{2 * BUCKET_ENTRIES}Q")  # for each entry the id's hash, and until when it is remembered
TABLE_BYTES = BUCKET_COUNT * _BUCKET.size
MAX_LOCKED_IDS = 256  # written at once while others wait for the table
LOCK_ATTEMPTS = 50  # a process that was stopped while it held the lock must not hold up the other one
LOCK_RETRY_INTERVAL_S = 0.001


class RequestIds:
    """The table of ids. Thread-safe, and safe between the processes that open the same ``path``.

    Without a path, or where the file cannot be used, the table belongs to this process alone. ``clock`` returns the
    time since the Unix epoch.
    """

    def __init__(self, path: Path | None = None, clock: Callable[[], timedelta] = now) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._descriptor: int | None = None
        if path is not None:
            try:
                self._descriptor = _open_table(path)
            except OSError as error:
                Log().warning("request ids", text=f"{path.name}: not shared: {error.strerror}")
        self._table = mmap.mmap(-1 if self._descriptor is None else self._descriptor, TABLE_BYTES)

    def claim(self, request_id: str) -> bool:
        """Remember an id; return False if it is remembered already, by this process or the other one."""
        with self._locked():
            return self._store(_hash(request_id), only_new=True)

    def keep(self, request_ids: Sequence[str]) -> None:
        """Remember ids from now on for ``RETENTION``, whether they were remembered or not."""
        for start in range(0, len(request_ids), MAX_LOCKED_IDS):
            with self._locked():
                for request_id in request_ids[start : start + MAX_LOCKED_IDS]:
                    self._store(_hash(request_id), only_new=False)

    def release(self, request_id: str) -> None:
        """Forget an id: its request cannot have run, or may be repeated."""
        id_hash = _hash(request_id)
        with self._locked():
            values = self._bucket(id_hash)
            if id_hash in values[::2]:
                values[values[::2].index(id_hash) * 2 + 1] = 0
                self._write_bucket(id_hash, values)

    def _store(self, id_hash: int, only_new: bool) -> bool:
        """Write an id into its bucket. Returns False, with nothing written, if it is to be new and is not."""
        current_us = self._clock() // MICROSECOND
        values = self._bucket(id_hash)
        hashes, expiries = values[::2], values[1::2]
        if id_hash in hashes:
            entry = hashes.index(id_hash)
            if only_new and expiries[entry] > current_us:
                return False
        else:
            entry = expiries.index(min(expiries))
        values[2 * entry : 2 * entry + 2] = id_hash, current_us + RETENTION // MICROSECOND
        self._write_bucket(id_hash, values)
        return True

    def _bucket(self, id_hash: int) -> list[int]:
        return list(_BUCKET.unpack_from(self._table, id_hash % BUCKET_COUNT * _BUCKET.size))

    def _write_bucket(self, id_hash: int, values: list[int]) -> None:
        _BUCKET.pack_into(self._table, id_hash % BUCKET_COUNT * _BUCKET.size, *values)

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        with self._lock:
            held = self._descriptor is not None and self._lock_file(self._descriptor)
            try:
                yield
            finally:
                if held and self._descriptor is not None:
                    fcntl.flock(self._descriptor, fcntl.LOCK_UN)

    def _lock_file(self, descriptor: int) -> bool:
        """Lock the table against the other process. Returns False if that has not released it in time."""
        for _ in range(LOCK_ATTEMPTS):
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                time.sleep(LOCK_RETRY_INTERVAL_S)
            else:
                return True
        return False


def _hash(request_id: str) -> int:
    """Return a hash of an id that is the same in every process, and is not 0, which marks a free entry."""
    return int.from_bytes(blake2b(request_id.encode(), digest_size=8).digest(), "little") or 1


def _open_table(path: Path) -> int:
    """Open or create the file with its full size. Raises OSError, also where the folder has no room for it."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        os.posix_fallocate(descriptor, 0, TABLE_BYTES)  # a write to a page without room would end the process
    except OSError:
        os.close(descriptor)
        raise
    return descriptor
