"""The durable state of a replica: term, vote, log and snapshot, one JSON line per change.

Each line is synced to disk before any message that depends on it is sent. An incomplete last line was never
acknowledged and is dropped. Any other unreadable line is an error that is not repaired: a voter that has lost its vote
could vote twice in one term. A snapshot is written to a new file that then replaces the old one by a rename, so that
one complete file exists at any time.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import IO, Any

Entry = tuple[int, str, str]  # term, key, value; an empty key marks the entry that a new leader starts its term with


class JournalError(Exception):
    """The file cannot be used, for the reason in the text; the process goes on without a vote."""


class Journal:
    """The durable state, kept in memory as well; a journal without a path is not durable.

    Log indexes count from 1. The first ``snapshot_index`` entries are contained in ``values``, and the last of them
    has the term ``snapshot_term``.

    Raises:
        JournalError: if the file is unreadable, or another process has locked it.
    """

    def __init__(self, path: Path | None) -> None:
        self.term, self.voted_for = 0, ""
        self.snapshot_index = self.snapshot_term = 0
        self.values: dict[str, str] = {}
        self.entries: list[Entry] = []  # those after ``snapshot_index``
        self.failed = False  # a write has failed: this replica must not vote or acknowledge anything any more
        self._path = path
        self._file: IO[bytes] | None = None
        if path is None:
            return
        self._file = path.open("ab")
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._file.close()
            raise JournalError(f"{path.name}: in use by another process") from None
        self._file.truncate(self._load(path))

    def _load(self, path: Path) -> int:
        """Apply all lines; return the number of bytes up to the end of the last complete one."""
        valid_bytes = 0
        lines = path.read_bytes().splitlines(keepends=True)
        for line_number, line in enumerate(lines, 1):
            try:
                if not line.endswith(b"\n"):
                    raise ValueError("incomplete line")
                self._apply(json.loads(line))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                if line_number == len(lines):
                    break  # an interrupted write, which was never acknowledged
                raise JournalError(f"{path.name}: line {line_number}: {error}") from None
            valid_bytes += len(line)
        return valid_bytes

    def _apply(self, record: dict[str, Any]) -> None:
        """Apply one record: a vote (``vote``), a snapshot (``base``), or the entries after index ``at``."""
        if "vote" in record:
            self.term, self.voted_for = int(record["term"]), str(record["vote"])
        elif "base" in record:
            self.snapshot_index, self.snapshot_term = int(record["base"]), int(record["base_term"])
            self.values = {str(k): str(v) for k, v in record["values"].items()}
            self.entries = []
        else:
            offset = int(record["at"]) - self.snapshot_index
            if offset < 0:
                raise ValueError("an entry that the snapshot already contains")
            self.entries[offset:] = [(int(t), str(k), str(v)) for t, k, v in record["entries"]]

    def _write(self, record: dict[str, Any]) -> None:
        """Write and apply a record.

        Raises:
            OSError: if it could not be synced to disk; ``failed`` is set from then on.
        """
        if self._file is not None:
            try:
                self._file.write(_to_line(record))
                self._file.flush()
                os.fsync(self._file.fileno())
            except (OSError, ValueError) as error:
                # What is on disk is unknown now: after a failed fsync the next one may succeed without writing.
                self.failed = True
                raise OSError(f"journal: {error}") from None
        self._apply(record)

    def save_vote(self, term: int, voted_for: str) -> None:
        """Enter a term, with the candidate that was voted for or an empty name.

        Raises:
            OSError: if it could not be written.
        """
        self._write({"term": term, "vote": voted_for})

    def write_entries(self, prev_index: int, entries: Sequence[Entry]) -> None:
        """Put entries after the index ``prev_index``, in place of all entries after it.

        Raises:
            OSError: if they could not be written.
        """
        self._write({"at": prev_index, "entries": list(entries)})

    def save_snapshot(self, snapshot_index: int, snapshot_term: int, values: Mapping[str, str]) -> None:
        """Replace the log up to ``snapshot_index`` by the values; keep later entries if they follow on it.

        Raises:
            OSError: if it could not be written.
        """
        later_entries = (
            self.entries[snapshot_index - self.snapshot_index :]
            if snapshot_index >= self.snapshot_index and self.term_at(snapshot_index) == snapshot_term
            else []
        )
        records: list[dict[str, Any]] = [
            {"base": snapshot_index, "base_term": snapshot_term, "values": dict(values)},
            {"term": self.term, "vote": self.voted_for},
            {"at": snapshot_index, "entries": later_entries},
        ]
        if self._file is not None and self._path is not None:
            self._replace_file(self._path, records)
        for record in records:
            self._apply(record)

    def _replace_file(self, path: Path, records: list[dict[str, Any]]) -> None:
        new_path = path.with_name(path.name + ".new")
        try:
            new_file = new_path.open("wb")
            fcntl.flock(new_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            new_file.write(b"".join(_to_line(record) for record in records))
            new_file.flush()
            os.fsync(new_file.fileno())
            os.rename(new_path, path)
            directory = os.open(path.parent, os.O_RDONLY)
            try:
                os.fsync(directory)
            finally:
                os.close(directory)
        except OSError as error:
            self.failed = True
            raise OSError(f"journal: {error}") from None
        if self._file is not None:
            self._file.close()
        self._file = new_file

    def last_index_and_term(self) -> tuple[int, int]:
        """Return index and term of the last entry."""
        return self.snapshot_index + len(self.entries), self.entries[-1][0] if self.entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it does not exist or is only contained in the snapshot."""
        if index == self.snapshot_index:
            return self.snapshot_term
        return (
            self.entries[index - self.snapshot_index - 1][0]
            if self.snapshot_index < index <= self.snapshot_index + len(self.entries)
            else None
        )

    def entries_after(self, index: int) -> list[Entry]:
        """Return all entries after this index, which must not be below ``snapshot_index``."""
        return self.entries[index - self.snapshot_index :]

    def close(self) -> None:
        """Close the file and release its lock."""
        if self._file is not None:
            self._file.close()


def _to_line(record: dict[str, Any]) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode() + b"\n"
