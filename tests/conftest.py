"""Fixtures of all tests: cleanup after each scenario, the log's configuration, and a folder in memory."""

from __future__ import annotations

import logging
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.scenario import Scenario

pytest_plugins = ["tests.pass_over", "pytester"]


@pytest.fixture(autouse=True)
def stop_scenarios() -> Iterator[None]:
    """Stop each scenario with its test.

    Otherwise a front's health check may reach a host of a later test that got the same port.
    """
    yield
    while Scenario.running:
        Scenario.running.pop().stop()


@pytest.fixture(autouse=True)
def restore_logging() -> Iterator[None]:
    """Restore the log's handlers and level, which a reload changes: later tests read standard error."""
    logger = logging.getLogger("bramblestile")
    handlers, level = logger.handlers[:], logger.level
    yield
    logger.handlers[:] = handlers
    logger.setLevel(level)


@pytest.fixture
def memory_path(tmp_path: Path) -> Iterator[Path]:
    """Return a folder in memory, where there is one, for a file that is truncated and written thousands of times.

    On a disk each truncation waits for the previous write. Beside four other writers that was 18 times as slow, and a
    test of 6 s took over 300 s.
    """
    memory = "/dev/shm"
    if not os.access(memory, os.W_OK | os.X_OK):
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(prefix="bramblestile-", dir=memory) as folder:
        yield Path(folder)
