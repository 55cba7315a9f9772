"""The same scenarios on both wires: one final answer, truthful outcomes, moves, drains, endings."""

from __future__ import annotations

import socket

import pytest

from tests.scenario import WIRES, Scenario
from vanegw import rules

BOTH = pytest.mark.parametrize("wire", WIRES)
STANDS = "c1 ask\nb0 taken\nb0 up\nc1 served\n"


@BOTH
@pytest.mark.parametrize(
    "script",
    [
        # Served: bytes pass unchanged both ways, and the end passes on as it came.
        STANDS + "b0 says\nc1 hears\nc1 says\nb0 hears\nb0 bye\nb0 close\nwait answered_served 1",
        STANDS + "c1 close\nb0 ends",
        STANDS + "c1 reset\nb0 broken",
        STANDS + "b0 close\nc1 ends\nwait ended_cut 1",
        STANDS + "b0 reset\nc1 broken\nwait ended_cut 1",
        # A message that the host left unfinished still goes on before its end.
        STANDS + "b0 raw MSG half\nb0 close\nc1 expectraw MSG half\nc1 ends",
        # Each way in which an upstream request can end has its outcome, and the request one answer.
        "c1 ask\nb0 taken\nb0 full\nc1 refused\nwait upstream_no_room 1\nwait answered_refused 1",
        "c1 ask\nb0 taken\nb0 error\nc1 refused\nwait upstream_error 1",
        "c1 ask\nb0 taken\nb0 close\nc1 refused\nwait upstream_cut 1",
        "c1 ask\nb0 taken\nb0 reset\nc1 refused\nwait upstream_cut 1",
        "c1 ask\nb0 taken\nc1 refused\nwait upstream_timed_out 1",
        "b0 stop\nc1 ask\nc1 refused\nwait upstream_no_route 1",
        # What must not run twice is failed once it may have run, and refused while it cannot have.
        "c1 ask-once\nb0 taken\nb0 error\nc1 failed\nwait answered_failed 1",
        "c1 ask-once\nb0 taken\nc1 failed\nwait upstream_timed_out 1",
        "c1 ask-once\nb0 taken\nb0 full\nc1 refused",
        # A client that leaves before it is up ends its upstream request too.
        "c1 ask\nb0 taken\nc1 close\nb0 ends\nwait downstream_left 1",
        "c1 ask\nb0 taken\nc1 reset\nb0 ends\nwait downstream_left 1",
        # Drains: the standing are told to move, and nothing new goes there.
        STANDS + "list b0 draining\nc1 moved\nb0 ends\nwait moved 1\nc2 ask\nc2 refused\nb0 idle",
        STANDS + "list b0 gone\nc2 ask\nc2 refused\nb0 idle",
    ],
)
def test_outcomes_are_the_same_on_both_wires(wire: str, script: str) -> None:
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
def test_a_clients_own_end_is_no_failure_of_a_host_that_has_no_last_word_to_say(wire: str, counted: str) -> None:
    """On the platform's lines a host that is well says BYE even then; NATS has none, TLS may leave no way for it."""
    Scenario(wire).run(STANDS + f"c1 close\nb0 ends\nwait {counted} 1")


@BOTH
def test_a_full_host_is_passed_over_for_another(wire: str) -> None:
    stage = Scenario(wire, hosts=2, try_limit=2)
    stage.run("list b1 draining\nc1 ask\nb0 taken\nlist b1 running\nb0 full\nb1 taken\nb1 up\nc1 served")


@BOTH
def test_a_host_that_takes_the_request_and_answers_nothing_is_left_for_another(wire: str) -> None:
    stage = Scenario(wire, hosts=2, try_limit=2)
    stage.run("""list b1 draining
        c1 ask
        b0 taken
        list b1 running
        b0 ends
        b1 taken
        b1 up
        c1 served
        wait upstream_timed_out 1""")


@BOTH
def test_a_mute_connection_is_moved(wire: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A host that runs but returns nothing must not keep its clients."""
    monkeypatch.setattr(rules, "CONNECTION_SILENCE_MS", 300.0)
    ping = "c1 send PING\nb0 expect PING\n"
    Scenario(wire).run(STANDS + ping + "c1 moved\nb0 ends\nwait moved 1")


@BOTH
def test_a_mute_host_loses_also_the_clients_that_have_not_asked_yet(wire: str) -> None:
    two = STANDS + "c2 ask\nb0 accept\nb0 taken\nb0 up\nc2 served\n"
    # With an aim out of reach no delay moves the first client alone, by chance, before the host counts as mute.
    Scenario(wire, message_aim_us=[60e6, 60e6]).run(two + "c1 send PING\nc1 moved\nc2 moved\nwait moved 2")


@BOTH
def test_a_move_waits_for_the_end_of_a_message(wire: str) -> None:
    stage = Scenario(wire)
    head, tail = {"lines": ("half a ", "line\\r\\n"), "nats": ("MSG a 1 4\\r\\n12", "34\\r\\n")}[stage.wire]
    stage.run(STANDS + f"b0 raw {head}")
    if stage.wire == "nats":  # part of a payload has gone on already; half a line has not
        stage.run(f"c1 expectraw {head}\nlist b0 draining\nb0 raw {tail}\nc1 expectraw {tail}\nc1 moved")
    else:
        stage.run("list b0 draining\nc1 moved")


@BOTH
def test_a_cold_host_takes_few_of_the_first_requests(wire: str) -> None:
    """All balancers see it start together: alone in its cluster it is still not sent everything."""
    stage = Scenario(wire)
    stage.run("list b0 cold")
    stage.run("".join(f"c{n} ask\n" for n in range(20)))
    stage.run("wait answered_refused 12")
    assert stage.counters.get("upstream_requests") <= 8


EMPTY = '{"seq":1,"whole":true,"hosts":[]}'
TELLS = f"raw HTTP/1.1 200 OK\\r\\nContent-Length: {len(EMPTY)}\\r\\n\\r\\n{EMPTY}\n"


@BOTH
@pytest.mark.parametrize(
    "script",
    [
        # The old discovery is left at once, the new one's list holds, and what stands stays.
        "d expect GET /v1/servers?since=1&*\nreload d2\nd2 expect GET /v1/servers HTTP/1.1\nd2 expect Host:*\n"
        "d2 expect \nd expect Host:*\nd expect \nd ends\n"
        f"d2 {TELLS}d2 expect GET /v1/servers?since=1&*\nc2 ask\nc2 refused\nc1 says\nb0 hears",
        # A file that names no discovery is itself the list.
        "d expect GET *\nreload none\nc2 ask\nc2 refused\nb0 idle\nc1 says\nb0 hears",
        # And one that names it again is followed again.
        "d expect GET *\nreload none\nreload d2\nd2 expect GET /v1/servers HTTP/1.1",
    ],
)
def test_a_new_configuration_is_followed_and_drops_nobody(wire: str, script: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        Scenario(wire, discovery=discovery).run(STANDS + script)
