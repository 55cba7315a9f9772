"""The check passes over exactly the tests that KNOWN-RED.txt names, and prints them."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import known_red

TEXT = """review/1/run.sh and review/2/run.sh (seeds drawn anew by each run): closed unanswered; issue 28
tests/test_a.py::test_one (in bash .ci/run, seed 1): 29 of 30; see [1]; issue 28

tests/test_a.py::test_two[x-1] (bash tests/run, no seed): failed once; issue 36
"""


@pytest.mark.parametrize(
    ("test_id", "is_named"),
    [
        ("tests/test_a.py::test_one", True),
        ("tests/test_a.py::test_one[any]", True),
        ("tests/test_a.py::test_two[x-1]", True),
        ("tests/test_a.py::test_two[x-2]", False),
        ("tests/test_a.py::test_two", False),
        ("tests/test_a.py::test_one_more", False),
        ("tests/test_b.py::test_one", False),
    ],
)
def test_only_named_tests_are_found(test_id: str, is_named: bool) -> None:
    assert (known_red.find(known_red.parse(TEXT), test_id) is not None) == is_named


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_a.py::test_one",
        "tests/test_a.py::test_one (seed 1): no issue",
        "tests/test_a.py (seed 1): a whole file; issue 1",
        "tests/test_a.py::test_* (seed 1): a pattern; issue 1",
        "review/*/run.sh (seed 1): a pattern; issue 1",
    ],
)
def test_malformed_entry_is_an_error(line: str) -> None:
    with pytest.raises(known_red.KnownRedError):
        known_red.parse(line)


def test_entry_of_a_missing_test_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_a.py").write_text("def test_one(): pass\n")
    line = "tests/test_a.py::{} (seed 1): failed; issue 1"
    known_red.require_tests(known_red.parse(line.format("test_one[x]")), tmp_path)
    with pytest.raises(known_red.KnownRedError):
        known_red.require_tests(known_red.parse(line.format("test_gone")), tmp_path)


def test_a_run_passes_over_the_named_test_alone_and_prints_it(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a listed failure that hides others, or that nobody sees."""
    listed = pytester.path / "KNOWN-RED.txt"
    listed.write_text("tests/test_a.py::test_red (seed 1): failed; issue 1\n")
    monkeypatch.setattr(known_red, "FILE", listed)
    folder = pytester.mkdir("tests")
    (folder / "test_a.py").write_text("def test_red(): assert 0\ndef test_red_too(): assert 0\ndef test_ok(): pass\n")
    result = pytester.runpytest_inprocess("-p", "tests.pass_over", "-p", "no:cacheprovider", "tests")
    result.assert_outcomes(passed=1, failed=1, skipped=1)
    result.stdout.fnmatch_lines(["passed over: tests/test_a.py::test_red (seed 1): failed; issue 1"])
