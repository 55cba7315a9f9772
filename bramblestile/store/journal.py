"""What must outlive a restart: term, vote, log and snapshot; a line for each change, synced before any answer.

A line cut off at the end was never answered and is forgotten. Anything else that cannot be read is not ours to repair:
a voter that lost what it has promised could vote twice. When the log is folded into a snapshot the file is written anew
beside and renamed, so that one of the two is whole at any time.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import IO, Any

Entry = tuple[int, str, str]  # term, key, value; an empty key is a leader's first, empty entry


class JournalError(Exception):
    """The file cannot be used; the text says why. Serving goes on without a vote."""


class Journal:
    """Entries are counted from 1; ``base`` of them are in the snapshot, ``values``, whose last had ``base_term``."""

    def __init__(self, path: Path | None) -> None:
        self.term, self.vote = 0, ""
        self.base = self.base_term = 0
        self.values: dict[str, str] = {}
        self.entries: list[Entry] = []  # those after ``base``
        self.failed = False  # a write has failed: nothing may be promised any more
        self._path = path
        self._file: IO[bytes] | None = None
        if path is None:
            return
        self._file = path.open("ab")
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._file.close()
            raise JournalError(f"{path.name}: another process holds it") from None
        self._file.truncate(self._load(path))

    def _load(self, path: Path) -> int:
        """Bytes that are sound."""
        sound = 0
        lines = path.read_bytes().splitlines(keepends=True)
        for number, line in enumerate(lines, 1):
            try:
                if not line.endswith(b"\n"):
                    raise ValueError("cut off")
                self._take(json.loads(line))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                if number == len(lines):
                    break  # the last write was cut off: it was never answered
                raise JournalError(f"{path.name}: line {number}: {error}") from None
            sound += len(line)
        return sound

    def _take(self, record: dict[str, Any]) -> None:
        if "vote" in record:
            self.term, self.vote = int(record["term"]), str(record["vote"])
        elif "base" in record:
            self.base, self.base_term = int(record["base"]), int(record["base_term"])
            self.values = {str(k): str(v) for k, v in record["values"].items()}
            self.entries = []
        else:
            at = int(record["at"]) - self.base
            if at < 0:
                raise ValueError("an entry that the snapshot holds")
            self.entries[at:] = [(int(t), str(k), str(v)) for t, k, v in record["entries"]]

    def _write(self, record: dict[str, Any]) -> None:
        """OSError: it is not kept, and ``failed`` from then on."""
        if self._file is not None:
            try:
                self._file.write(_line(record))
                self._file.flush()
                os.fsync(self._file.fileno())
            except (OSError, ValueError) as error:
                self.failed = True  # what the disk has now nobody knows: after a failed sync it may say yes to the next
                raise OSError(f"journal: {error}") from None
        self._take(record)

    def promise(self, term: int, vote: str) -> None:
        self._write({"term": term, "vote": vote})

    def put(self, at: int, entries: Sequence[Entry]) -> None:
        """Writes entries from this place on; what stood there and after is gone."""
        self._write({"at": at, "entries": list(entries)})

    def fold(self, base: int, base_term: int, values: Mapping[str, str]) -> None:
        """The state after ``base`` entries takes their place; later ones stay where they follow on it."""
        keep = self.entries[base - self.base :] if base >= self.base and self.term_at(base) == base_term else []
        records: list[dict[str, Any]] = [
            {"base": base, "base_term": base_term, "values": dict(values)},
            {"term": self.term, "vote": self.vote},
            {"at": base, "entries": keep},
        ]
        if self._file is not None and self._path is not None:
            self._anew(self._path, records)
        for record in records:
            self._take(record)

    def _anew(self, path: Path, records: list[dict[str, Any]]) -> None:
        beside = path.with_name(path.name + ".new")
        try:
            made = beside.open("wb")
            fcntl.flock(made, fcntl.LOCK_EX | fcntl.LOCK_NB)
            made.write(b"".join(_line(record) for record in records))
            made.flush()
            os.fsync(made.fileno())
            os.rename(beside, path)
            folder = os.open(path.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            self.failed = True
            raise OSError(f"journal: {error}") from None
        if self._file is not None:
            self._file.close()
        self._file = made

    def last(self) -> tuple[int, int]:
        """Number and term of the last entry."""
        return self.base + len(self.entries), self.entries[-1][0] if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """None where no such entry is known, or no longer."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1][0] if self.base < index <= self.base + len(self.entries) else None

    def since(self, index: int) -> list[Entry]:
        """All after the entry of this number."""
        return self.entries[index - self.base :]

    def close(self) -> None:
        if self._file is not None:
            self._file.close()


def _line(record: dict[str, Any]) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode() + b"\n"
