"""KNOWN-RED.txt: the tests that fail for a known fault of the program. The check passes over exactly these.

Each line is one entry: ``TEST [and TEST ...] (COMMAND, SEED): WHAT WAS SEEN; issue N``. A test is a script under
``review/`` or a test's id as pytest prints it; an id without parameters stands for all parameters of that test.

    python -m tests.known_red    prints the entries; exits with 1 if one is malformed or names a missing test
"""

from __future__ import annotations

import ast
import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILE = ROOT / "KNOWN-RED.txt"
ENTRY = re.compile(r"(?P<tests>\S.*?) \((?P<command>[^()]+)\): (?P<seen>.+); issue \d+")
TEST_ID = re.compile(r"(?P<path>tests/\w+\.py)::(?P<function>test_\w+)(\[.*\])?")
SCRIPT = re.compile(r"review/\d+/run\.sh")


class KnownRedError(Exception):
    """An entry that is malformed, or that names a test that does not exist."""


@dataclass(slots=True, frozen=True)
class Entry:
    """One line of the file, and the tests that it names."""

    tests: tuple[str, ...]
    text: str

    def covers(self, test_id: str) -> bool:
        """Return whether the entry names this test, with these parameters or without any."""
        return test_id in self.tests or test_id.partition("[")[0] in self.tests


def parse(text: str) -> list[Entry]:
    """Parse the whole file. Raises KnownRedError."""
    entries = []
    for line in filter(str.strip, text.splitlines()):
        match = ENTRY.fullmatch(line)
        if match is None:
            raise KnownRedError(f"not 'TEST (COMMAND, SEED): WHAT WAS SEEN; issue N': {line}")
        tests = tuple(match["tests"].split(" and "))
        for test in tests:
            if not (TEST_ID.fullmatch(test) or SCRIPT.fullmatch(test)):
                raise KnownRedError(f"{test!r} is neither a test's id nor a script under review/")
        entries.append(Entry(tests, line))
    return entries


def load(file: Path) -> list[Entry]:
    """Parse the file; no file means no entries. Raises KnownRedError."""
    return parse(file.read_text()) if file.exists() else []


def find(entries: Iterable[Entry], test_id: str) -> Entry | None:
    """Return the entry that names this test, or None."""
    return next((entry for entry in entries if entry.covers(test_id)), None)


def require_tests(entries: Iterable[Entry], root: Path = ROOT) -> None:
    """Raise KnownRedError if an entry names a test that does not exist: it would hide that it is out of date."""
    for entry in entries:
        for test in entry.tests:
            if not _exists(test, root):
                raise KnownRedError(f"{test} does not exist")


def _exists(test: str, root: Path) -> bool:
    match = TEST_ID.fullmatch(test)
    if match is None:
        return (root / test).exists()
    path = root / match["path"]
    if not path.exists():
        return False
    functions = (node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.FunctionDef))
    return any(function.name == match["function"] for function in functions)


def main() -> int:
    """Print the entries; return the exit status."""
    try:
        entries = load(FILE)
        require_tests(entries)
    except KnownRedError as error:
        print(f"KNOWN-RED.txt: {error}", file=sys.stderr)
        return 1
    for entry in entries:
        print(f"known red: {entry.text}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
