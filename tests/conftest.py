"""Every scenario's program stops with its test."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.scenario import Stage


@pytest.fixture(autouse=True)
def stop_the_stages() -> Iterator[None]:
    """Seen: a check of an earlier test asked a later test's host, whose port had been the agent's."""
    yield
    while Stage.made:
        Stage.made.pop().front.stop()
