"""Plugin of pytest: passes over the tests that KNOWN-RED.txt names, and prints their entries at the end of the run."""

from __future__ import annotations

import pytest

from tests import known_red

REASON = "KNOWN-RED.txt: "


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the named tests, so that they do not run."""
    entries = known_red.load(known_red.FILE)
    for item in items:
        entry = known_red.find(entries, item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.skip(reason=REASON + entry.text))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the entries whose tests were passed over in this run."""
    skipped = terminalreporter.stats.get("skipped", [])
    reasons = {report.longrepr[2].removeprefix("Skipped: ") for report in skipped if isinstance(report.longrepr, tuple)}
    for reason in sorted(reasons):
        if reason.startswith(REASON):
            terminalreporter.write_line("passed over: " + reason.removeprefix(REASON))
