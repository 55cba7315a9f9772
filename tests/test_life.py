"""The same scenarios on all wires: one final answer, correct outcomes, moves, drains and endings."""

from __future__ import annotations

import socket

import pytest

from tests.scenario import WIRES, Scenario
from vanegw import rules

ALL_WIRES = pytest.mark.parametrize("wire", WIRES)
ESTABLISHED = "c1 ask\nb0 taken\nb0 up\nc1 served\n"


@ALL_WIRES
@pytest.mark.parametrize(
    "script",
    [
        # Served: bytes pass unchanged in both directions, and each side ends as the other one did.
        ESTABLISHED + "b0 says\nc1 hears\nc1 says\nb0 hears\nb0 bye\nb0 close\nwait answered_served 1",
        ESTABLISHED + "c1 close\nb0 ends",
        ESTABLISHED + "c1 reset\nb0 broken",
        ESTABLISHED + "b0 close\nc1 ends\nwait ended_cut 1",
        ESTABLISHED + "b0 reset\nc1 broken\nwait ended_cut 1",
        # A message that the host left incomplete is still forwarded before the end.
        ESTABLISHED + "b0 raw MSG half\nb0 close\nc1 expectraw MSG half\nc1 ends",
        # Each end of an upstream request has its own outcome, and the request gets one answer.
        "c1 ask\nb0 taken\nb0 full\nc1 refused\nwait upstream_no_room 1\nwait answered_refused 1",
        "c1 ask\nb0 taken\nb0 error\nc1 refused\nwait upstream_error 1",
        "c1 ask\nb0 taken\nb0 close\nc1 refused\nwait upstream_cut 1",
        "c1 ask\nb0 taken\nb0 reset\nc1 refused\nwait upstream_cut 1",
        "c1 ask\nb0 taken\nc1 refused\nwait upstream_timed_out 1",
        "b0 stop\nc1 ask\nc1 refused\nwait upstream_no_route 1",
        # A request that must not run twice fails once it may have run, and is refused while it cannot have run.
        "c1 ask-once\nb0 taken\nb0 error\nc1 failed\nwait answered_failed 1",
        "c1 ask-once\nb0 taken\nc1 failed\nwait upstream_timed_out 1",
        "c1 ask-once\nb0 taken\nb0 full\nc1 refused",
        # A client that disconnects before its connection is up ends its upstream request too.
        "c1 ask\nb0 taken\nc1 close\nb0 ends\nwait downstream_left 1",
        "c1 ask\nb0 taken\nc1 reset\nb0 ends\nwait downstream_left 1",
        # Drains: established connections are told to move, and the host gets no new ones.
        ESTABLISHED + "list b0 draining\nc1 moved\nb0 ends\nwait moved 1\nc2 ask\nc2 refused\nb0 idle",
        ESTABLISHED + "list b0 gone\nc2 ask\nc2 refused\nb0 idle",
    ],
)
def test_outcomes_are_the_same_on_all_wires(wire: str, script: str) -> None:
    Scenario(wire).run(script)


@pytest.mark.parametrize(
    ("wire", "counted"),
    [
        ("lines", "ended_cut"),
        ("nats", "ended_cancelled"),
        ("lines+tls", "ended_cancelled"),
        ("nats+tls", "ended_cancelled"),
    ],
)
def test_client_end_is_not_a_failure_of_a_host_that_sends_no_completion(wire: str, counted: str) -> None:
    """On the line protocol a healthy host sends BYE even then; NATS has no such message, and TLS may not deliver it."""
    Scenario(wire).run(ESTABLISHED + f"c1 close\nb0 ends\nwait {counted} 1")


@ALL_WIRES
def test_full_host_is_skipped_for_another(wire: str) -> None:
    scenario = Scenario(wire, hosts=2, try_limit=2)
    scenario.run("list b1 draining\nc1 ask\nb0 taken\nlist b1 running\nb0 full\nb1 taken\nb1 up\nc1 served")


@ALL_WIRES
def test_host_that_never_answers_times_out_and_another_is_tried(wire: str) -> None:
    scenario = Scenario(wire, hosts=2, try_limit=2)
    scenario.run("""list b1 draining
        c1 ask
        b0 taken
        list b1 running
        b0 ends
        b1 taken
        b1 up
        c1 served
        wait upstream_timed_out 1""")


@ALL_WIRES
def test_silent_connection_is_moved(wire: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A host that is up but returns nothing must not keep its clients."""
    monkeypatch.setattr(rules, "CONNECTION_SILENCE_MS", 300.0)
    ping = "c1 send PING\nb0 expect PING\n"
    Scenario(wire).run(ESTABLISHED + ping + "c1 moved\nb0 ends\nwait moved 1")


@ALL_WIRES
def test_silent_host_also_loses_clients_without_a_pending_query(wire: str) -> None:
    two = ESTABLISHED + "c2 ask\nb0 accept\nb0 taken\nb0 up\nc2 served\n"
    # The delay objective cannot be exceeded, so that no delay moves the first client alone before the host is silent.
    Scenario(wire, message_aim_us=[60e6, 60e6]).run(two + "c1 send PING\nc1 moved\nc2 moved\nwait moved 2")


@ALL_WIRES
def test_move_waits_for_the_end_of_a_message(wire: str) -> None:
    scenario = Scenario(wire)
    head, tail = {"lines": ("half a ", "line\\r\\n"), "nats": ("MSG a 1 4\\r\\n12", "34\\r\\n")}[scenario.wire]
    scenario.run(ESTABLISHED + f"b0 raw {head}")
    if scenario.wire == "nats":  # part of a payload has been forwarded already; half a line has not
        scenario.run(f"c1 expectraw {head}\nlist b0 draining\nb0 raw {tail}\nc1 expectraw {tail}\nc1 moved")
    else:
        scenario.run("list b0 draining\nc1 moved")


@ALL_WIRES
def test_cold_host_gets_few_of_the_first_requests(wire: str) -> None:
    """All balancers see a host start at the same time, so even the only host of a cluster is not sent everything."""
    scenario = Scenario(wire)
    scenario.run("list b0 cold")
    scenario.run("".join(f"c{n} ask\n" for n in range(20)))
    scenario.run("wait answered_refused 12")
    assert scenario.counters.get("upstream_requests") <= 8


EMPTY_LIST = '{"seq":1,"whole":true,"hosts":[]}'
SEND_EMPTY_LIST = f"raw HTTP/1.1 200 OK\\r\\nContent-Length: {len(EMPTY_LIST)}\\r\\n\\r\\n{EMPTY_LIST}\n"


@ALL_WIRES
@pytest.mark.parametrize(
    "script",
    [
        # The old discovery is dropped at once, the new one's list applies, and established connections stay.
        "d expect GET /v1/servers?since=1&*\nreload d2\nd2 expect GET /v1/servers HTTP/1.1\nd2 expect Host:*\n"
        "d2 expect \nd expect Host:*\nd expect \nd ends\n"
        f"d2 {SEND_EMPTY_LIST}d2 expect GET /v1/servers?since=1&*\nc2 ask\nc2 refused\nc1 says\nb0 hears",
        # Without a discovery the list in the file applies.
        "d expect GET *\nreload none\nc2 ask\nc2 refused\nb0 idle\nc1 says\nb0 hears",
        # A discovery that is configured again is watched again.
        "d expect GET *\nreload none\nreload d2\nd2 expect GET /v1/servers HTTP/1.1",
    ],
)
def test_new_configuration_applies_and_drops_no_connection(wire: str, script: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        Scenario(wire, discovery=discovery).run(ESTABLISHED + script)
