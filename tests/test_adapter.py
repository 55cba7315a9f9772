"""The simulator's adapter, with small hand-written batches of messages."""

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


def run_adapter(*messages: object) -> list[list[object]]:
    """Pass messages, or raw lines, to the adapter and return its replies."""
    replies: list[str] = []
    lines = [message if isinstance(message, str) else json.dumps(message) for message in messages]
    adapter.run(lines, replies.append, lambda: None)
    return [json.loads(reply) for reply in replies]


BACKEND_LIST = ["PEERS_KNOWN", 3, "restored", 1, 0]
START = [["TURN", 5], ["BEGIN", 3, 7, SETUP], ["TABLE", 0, [ROW]], BACKEND_LIST, ["GO"]]
REQUEST = ["INBOUND", 3, "r", "c", None, None, 3200000]


def test_empty_batch_gets_an_empty_reply() -> None:
    assert run_adapter(["TURN", 1], ["GO"]) == [["END"]]


def test_request_leads_to_a_probe_and_an_attempt_and_unknown_report_fields_are_skipped() -> None:
    pong = ["PONG", 3, "s1", "pass", 10, [9.9, 0.4]]
    reply = run_adapter(*START, ["TURN", 10], REQUEST, ["GO"], ["TURN", 20], pong, ["GO"])
    assert [r[0] for r in reply] == ["END", "PING", "SET_TIMER", "END", "ATTEMPT", "END"]
    assert reply[4][1:3] == [3, "r"] and reply[4][4] == "s1"


def test_list_event_uses_the_latest_table_of_its_number() -> None:
    other_row = [*ROW]
    other_row[3] = "s2"
    messages = [
        ["TURN", 5],
        ["BEGIN", 1, 7, SETUP],
        ["TABLE", 0, [ROW]],
        ["PEERS_KNOWN", 1, "restored", 1, 0],
        ["BEGIN", 2, 7, SETUP],
        ["TABLE", 0, [other_row]],
        ["PEERS_KNOWN", 2, "restored", 1, 0],
        ["INBOUND", 1, "p", "c", None, None, 3200000],
        ["INBOUND", 2, "q", "c", None, None, 3200000],
        ["GO"],
    ]
    assert [r[1:] for r in run_adapter(*messages) if r[0] == "PING"] == [[1, "s1"], [2, "s2"]]


def test_detach_and_begin_in_one_batch_start_without_state() -> None:
    reply = run_adapter(*START, ["TURN", 9], ["DETACH", 3], ["BEGIN", 3, 8, SETUP], BACKEND_LIST, REQUEST, ["GO"])
    assert [r[0] for r in reply].count("PING") == 1


def test_exception_in_the_decisions_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise IndexError("out of range")

    monkeypatch.setattr("vanegw.rules.Balancer._on_request", fail)
    assert ["DIE", 3, "INBOUND: IndexError: out of range"] in run_adapter(*START, ["TURN", 10], REQUEST, ["GO"])


@pytest.mark.parametrize(
    ("message", "reason"),
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
def test_malformed_message_is_reported_with_its_line_number(message: object, reason: str) -> None:
    with pytest.raises(wire.WireError, match=f"^line 7: .*{reason}"):
        run_adapter(*START, ["TURN", 6], message, ["GO"])


def test_program_reports_faults_on_standard_error_only() -> None:
    malformed = subprocess.run(
        [sys.executable, "-m", "vanegw.adapter"],
        input='["TURN",1]\nnonsense\n',
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert malformed.returncode != 0 and malformed.stdout == "" and "line 2: not JSON" in malformed.stderr
    incomplete = subprocess.run(
        [sys.executable, "-m", "vanegw.adapter"], input='["TURN",1]\n', text=True, capture_output=True, timeout=60
    )
    assert incomplete.returncode != 0 and "GO is missing" in incomplete.stderr


def test_invalid_setting_is_named() -> None:
    with pytest.raises(wire.WireError, match="effect"):
        run_adapter(["TURN", 1], ["BEGIN", 1, 1, SETUP | {"classes": [SETUP["classes"][0] | {"effect": "odd"}]}])  # type: ignore[index]
    with pytest.raises(wire.WireError, match="line 2: classes"):
        run_adapter(["TURN", 1], ["BEGIN", 1, 1, SETUP | {"classes": []}])


def test_output_does_not_depend_on_hash_seeds() -> None:
    messages: list[object] = [*START, ["TURN", 10]]
    messages += [["INBOUND", 3, f"r{n}", "c", None, None, 3200000] for n in range(20)]
    text = "".join(json.dumps(message) + "\n" for message in [*messages, ["GO"]])
    command = [sys.executable, "-m", "vanegw.adapter"]
    replies = [
        subprocess.run(
            command, input=text, text=True, timeout=60, capture_output=True, env=os.environ | {"PYTHONHASHSEED": seed}
        ).stdout
        for seed in ("0", "1", "77")
    ]
    assert replies[0] == replies[1] == replies[2] and "PING" in replies[0]
