"""The adapter by small hand-written batches."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest

from vanegw import adapter, wire

SETUP = {
    "balancers": 1,
    "zone": "a",
    "membership_mode": "pushed",
    "weights": "none",
    "unheard_of": {"x": 1},
    "classes": [
        {
            "name": "c",
            "objective_us": 800000,
            "deadline_us": 3200000,
            "effect": "safe",
            "dedup_scope": "all",
            "memory_span_us": 0,
            "worth": 1.0,
        }
    ],
    "limits": {"probes": True, "may_cancel": True, "try_limit": 3, "max_retry_after_us": 1000},
    "report": {"how": "probe", "names": ["novel", "x0"]},
    "rules": {"cold_from": 0.3, "cold_us": 8000000, "fall_multiple": 2.5, "fall_us": 3000000},
}
ROW = ["a", 0, 1, "s1", None, "k", "Running"]


def play(*lines: object) -> list[list[object]]:
    out: list[str] = []
    texts = [line if isinstance(line, str) else json.dumps(line) for line in lines]
    adapter.run(texts, out.append, lambda: None)
    return [json.loads(line) for line in out]


KNOWN = ["PEERS_KNOWN", 3, "restored", 1, 0]
START = [["TURN", 5], ["BEGIN", 3, 7, SETUP], ["TABLE", 0, [ROW]], KNOWN, ["GO"]]
ASK = ["INBOUND", 3, "r", "c", None, None, 3200000]


def test_empty_batch_has_an_empty_reply() -> None:
    assert play(["TURN", 1], ["GO"]) == [["END"]]


def test_a_request_is_probed_for_then_sent_and_unknown_report_fields_are_skipped() -> None:
    pong = ["PONG", 3, "s1", "pass", 10, [9.9, 0.4]]
    reply = play(*START, ["TURN", 10], ASK, ["GO"], ["TURN", 20], pong, ["GO"])
    assert [r[0] for r in reply] == ["END", "PING", "SET_TIMER", "END", "ATTEMPT", "END"]
    assert reply[4][1:3] == [3, "r"] and reply[4][4] == "s1"


def test_tables_are_found_by_the_order_of_events() -> None:
    other = [*ROW]
    other[3] = "s2"
    lines = [
        ["TURN", 5],
        ["BEGIN", 1, 7, SETUP],
        ["TABLE", 0, [ROW]],
        ["PEERS_KNOWN", 1, "restored", 1, 0],
        ["BEGIN", 2, 7, SETUP],
        ["TABLE", 0, [other]],
        ["PEERS_KNOWN", 2, "restored", 1, 0],
        ["INBOUND", 1, "p", "c", None, None, 3200000],
        ["INBOUND", 2, "q", "c", None, None, 3200000],
        ["GO"],
    ]
    assert [r[1:] for r in play(*lines) if r[0] == "PING"] == [[1, "s1"], [2, "s2"]]


def test_detach_and_begin_in_one_batch_start_from_nothing() -> None:
    reply = play(*START, ["TURN", 9], ["DETACH", 3], ["BEGIN", 3, 8, SETUP], KNOWN, ASK, ["GO"])
    assert [r[0] for r in reply].count("PING") == 1


def test_an_exception_in_the_decisions_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise IndexError("out of range")

    monkeypatch.setattr("vanegw.rules.Balancer._on_request", broken)
    assert ["DIE", 3, "INBOUND: IndexError: out of range"] in play(*START, ["TURN", 10], ASK, ["GO"])


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("{", "not JSON"),
        (["NEWS", 3], "unknown message 'NEWS'"),
        (["INBOUND", 3, "r"], "profile is absent"),
        (["INBOUND", 3, "r", "c", None, None, "soon"], "remaining_us: 'soon' is not an integer"),
        (["WAKEUP", 3, "t", 1], "3 values, at most 2"),
        (["WAKEUP", 9, "t"], "unknown instance 9"),
        (["PEERS_KNOWN", 3, "update", 2, 5], "no TABLE 5"),
        (["TURN", 7], "GO is missing"),
    ],
)
def test_bad_lines_are_named(line: object, reason: str) -> None:
    with pytest.raises(wire.WireError, match=f"^line 7: .*{reason}"):
        play(*START, ["TURN", 6], line, ["GO"])


def test_the_program_says_what_is_wrong_and_keeps_standard_output_clean() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "vanegw.adapter"],
        input='["TURN",1]\nnonsense\n',
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert run.returncode != 0 and run.stdout == "" and "line 2: not JSON" in run.stderr
    cut = subprocess.run(
        [sys.executable, "-m", "vanegw.adapter"], input='["TURN",1]\n', text=True, capture_output=True, timeout=60
    )
    assert cut.returncode != 0 and "GO is missing" in cut.stderr


def test_settings_that_make_no_sense_are_named() -> None:
    with pytest.raises(wire.WireError, match="effect"):
        play(["TURN", 1], ["BEGIN", 1, 1, SETUP | {"classes": [SETUP["classes"][0] | {"effect": "odd"}]}])  # type: ignore[index]
    with pytest.raises(wire.WireError, match="line 2: classes"):
        play(["TURN", 1], ["BEGIN", 1, 1, SETUP | {"classes": []}])


def test_output_does_not_depend_on_hash_seeds() -> None:
    lines: list[object] = [*START, ["TURN", 10]]
    lines += [["INBOUND", 3, f"r{n}", "c", None, None, 3200000] for n in range(20)]
    text = "".join(json.dumps(line) + "\n" for line in [*lines, ["GO"]])
    command = [sys.executable, "-m", "vanegw.adapter"]
    replies = [
        subprocess.run(
            command, input=text, text=True, timeout=60, capture_output=True, env=os.environ | {"PYTHONHASHSEED": seed}
        ).stdout
        for seed in ("0", "1", "77")
    ]
    assert replies[0] == replies[1] == replies[2] and "PING" in replies[0]
