"""Rotation and removal of trace files; no I/O.

The limit on the total size covers only files whose names belong to this instance, and only such files are ever removed:
the folder may be shared with other instances and programs.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

SUFFIX = ".trace"
_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]")


@dataclass(slots=True, frozen=True)
class RetentionLimits:
    """``file_bytes`` and ``file_age`` apply to one file, ``total_bytes`` to all files of this instance."""

    file_bytes: int = 64 << 20
    file_age: timedelta = timedelta(hours=1)
    total_bytes: int = 1 << 30


@dataclass(slots=True, frozen=True)
class StoredFile:
    """A file in the folder."""

    name: str
    size: int


def file_prefix(instance: str) -> str:
    """Return what the names of an instance's files begin with.

    Characters that are unsafe in file names are replaced, so instances whose names differ only in those share a prefix.
    The final ``-`` ensures that n1 is no prefix of n10.
    """
    return _UNSAFE_CHARACTERS.sub("_", instance)[:100] + "-"


def file_name(instance: str, at: timedelta) -> str:
    """Return the name of a file opened at this time.

    Names sort by time; microseconds distinguish the two files of a quick restart.
    """
    opened = datetime.fromtimestamp(at.total_seconds(), UTC)
    return f"{file_prefix(instance)}{opened:%Y%m%dT%H%M%S}.{opened.microsecond:06}Z{SUFFIX}"


def rotation_due(limits: RetentionLimits, size: int, opened: timedelta, now: timedelta) -> bool:
    """Return whether the open file has reached its size or age limit."""
    return size >= limits.file_bytes or now - opened >= limits.file_age


def files_to_remove(
    limits: RetentionLimits, instance: str, files: Iterable[StoredFile], open_name: str | None
) -> list[str]:
    """Return the oldest closed files of this instance whose removal brings the total within its limit.

    The total includes the open file at its maximum size; the open file itself is never removed.
    """
    own_name = re.compile(re.escape(file_prefix(instance)) + r"\d{8}T\d{6}\.\d{6}Z" + re.escape(SUFFIX))
    own_files = sorted((f for f in files if own_name.fullmatch(f.name)), key=lambda f: f.name)
    total = sum(f.size for f in own_files if f.name != open_name) + limits.file_bytes
    removed = []
    for file in own_files:
        if total <= limits.total_bytes:
            break
        if file.name != open_name:
            removed.append(file.name)
            total -= file.size
    return removed
