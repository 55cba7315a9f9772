"""The NATS front: INFO and CONNECT, its limits, and hosts that announce that they drain."""

from __future__ import annotations

from datetime import timedelta

import pytest

from bramblestile.process import front
from tests.scenario import Scenario

ESTABLISHED = "c1 ask\nb0 taken\nb0 up\nc1 served\n"


@pytest.mark.parametrize(
    "script",
    [
        # Split and joined reads, and a verbose client, whose CONNECT is answered +OK once.
        r"""c1 expect INFO *
        c1 raw CONN
        c1 raw ECT {"verbose":true}\r\nPING\r\nSUB a.b 1\r\nPUB a.b 4\r\n\r\nPI\r\n
        b0 raw INFO {}\r
        b0 raw \n
        b0 expect CONNECT {"verbose":true}
        b0 expect PING
        b0 raw +OK\r\nPONG\r\n
        b0 expectraw PING\r\nSUB a.b 1\r\nPUB a.b 4\r\n\r\nPI\r\n
        c1 expect +OK
        b0 raw PONG\r\n+OK\r\n+OK\r\n
        c1 expectraw PONG\r\n+OK\r\n+OK\r\n""",
        # A health check before CONNECT is answered by the front itself.
        "c1 expect INFO *\nc1 send PING\nc1 expect PONG\nb0 idle",
        # The host may measure its round trip while it handles the CONNECT.
        "c1 ask\nb0 taken\nb0 send PING\nb0 expect PONG\nb0 up\nc1 served",
        # Invalid input: a standard error, a counter, no upstream request.
        "c1 expect INFO *\nc1 send GET / HTTP/1.1\nc1 expect -ERR 'Unknown Protocol Operation'\nc1 ends\nb0 idle",
        "c1 expect INFO *\nc1 send CONNECT {half\nc1 expect -ERR 'Parser Error'\nwait bad_first_lines 1",
        "c1 expect INFO *\nc1 send CONNECT []\nc1 expect -ERR 'Parser Error'",
        "c1 expect INFO *\nc1 send CONNECT " + "x" * 5000 + "\nc1 expect -ERR 'Maximum Control Line Exceeded'",
        ESTABLISHED + "c1 send PUB a 101\nc1 expect -ERR 'Maximum Payload Violation'\nc1 ends\nb0 ends",
        ESTABLISHED + "c1 send PUB a many\nc1 expect -ERR 'Parser Error'\nc1 ends",
        ESTABLISHED + "c1 raw " + "x" * 5000 + "\nc1 expect -ERR 'Maximum Control Line Exceeded'\nc1 ends",
        # A host that announces its drain: before CONNECT nothing has run; later all of its clients move.
        'c1 ask\nb0 send INFO {"ldm":true}\nc1 refused\nwait upstream_no_room 1\nc2 ask\nc2 refused\nb0 idle',
        ESTABLISHED + "c1 send SUB a 1\nb0 expect SUB a 1\n"
        'b0 send INFO {"ldm":true}\nc1 expect INFO {"ldm":true}\nc1 moved\nb0 ends\nc2 ask\nc2 refused\nb0 idle',
        # No INFO, or an end before CONNECT was sent: it has not run. Other errors by their meaning.
        "c1 ask-once\nb0 accept\nb0 close\nc1 refused\nwait upstream_no_route 1",
        "c1 ask-once\nb0 send -ERR 'maximum connections exceeded'\nc1 refused\nwait upstream_no_room 1",
        "c1 ask-once\nb0 taken\nb0 send -ERR 'Authorization Violation'\nc1 failed\nwait upstream_error 1",
    ],
)
def test_requests_and_established_connections(script: str) -> None:
    Scenario("nats").run(script)


def test_client_that_keeps_subscribing_while_its_host_drains_is_moved() -> None:
    scenario = Scenario("nats")
    scenario.run(ESTABLISHED + "".join(f"c1 send SUB a.{n} {n}\n" for n in range(50)))
    scenario.run("list b0 draining\n")
    scenario.run("c1 moved\nwait moved 1")


def test_silence_before_connect_gets_an_error() -> None:
    Scenario("nats").run("c1 expect INFO *\nc1 raw CONN\nc1 expect -ERR 'Authentication Timeout'\nc1 ends")


def test_host_that_stops_draining_is_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """No discovery reports the restart of a host from the configuration file; its INFO does."""
    monkeypatch.setattr(front, "DRAIN_RECHECK_INTERVAL", timedelta(milliseconds=20))
    Scenario("nats").run("""c1 ask
        b0 send INFO {"ldm":true}
        c1 refused
        b0 accept
        b0 send INFO {"ldm":true}
        b0 accept
        b0 send INFO {}
        b0 ends
        c2 ask
        b0 taken
        b0 up
        c2 served""")
