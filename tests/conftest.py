"""Every scenario's program stops with its test."""

from __future__ import annotations

import logging
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.scenario import Scenario


@pytest.fixture(autouse=True)
def stop_the_stages() -> Iterator[None]:
    """Seen: a check of an earlier test asked a later test's host, whose port had been the agent's."""
    yield
    while Scenario.running:
        Scenario.running.pop().front.stop()


@pytest.fixture(autouse=True)
def leave_the_log_as_it_was() -> Iterator[None]:
    """Seen: a reload set the log up, and a later test's command wrote its log lines on the error that was looked at."""
    logger = logging.getLogger("bramblestile")
    handlers, level = logger.handlers[:], logger.level
    yield
    logger.handlers[:] = handlers
    logger.setLevel(level)


@pytest.fixture
def memory_path(tmp_path: Path) -> Iterator[Path]:
    """A folder for a file that is cut and written thousands of times: in memory, where there is one. Seen: on a
    disk each cut waits for the last write to be out, 18 times as long beside four other writers, and a test of 6 s
    took over 300."""
    memory = "/dev/shm"
    if not os.access(memory, os.W_OK | os.X_OK):
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(prefix="bramblestile-", dir=memory) as folder:
        yield Path(folder)
