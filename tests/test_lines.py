"""The platform's line protocol: first lines, bound connections, probes and discovery."""

from __future__ import annotations

import socket

import pytest

from tests.scenario import Scenario

LIST = '{{"seq":{0},"whole":{1},"hosts":[{2}]}}'


@pytest.mark.parametrize(
    "first",
    [
        "OPEN",
        "OPEN a b",
        "OPEN a b c=feed",
        "OPEN a b c=feed,d=soon",
        "OPEN a zz c=feed,d=5",
        "HELLO there",
        "",
        "OPEN a b c=feed,d=1e400",
        "OPEN a b c=feed,d=99999999999999999999",
        "open a b c=feed,d=5",
        "x" * 5000,
        "OPEN a b c=feed,d=5,g=xyz",
        "OPEN a b c=feed,d=5,h=much",
    ],
)
def test_malformed_first_line_fails_and_is_counted(first: str) -> None:
    Scenario().run(f"c1 send {first}\nc1 expect ERR\nwait bad_first_lines 1\nb0 idle")


@pytest.mark.parametrize(
    "script",
    [
        # Only the value of d is replaced, wherever it stands; the rest is forwarded unchanged, known or not.
        "c1 send OPEN 7 8 c=feed,d=1500,zz=d=1,t=acme\nb0 expect OPEN 7 8 c=feed,d=1???,zz=d=1,t=acme\n"
        "b0 send UP r\nc1 expect UP r",
        "c1 raw OPEN 7 8 d=150\nc1 raw 0,c=feed\\r\\n\nb0 expect OPEN 7 8 d=*,c=feed",
        # A health check first, then a request on the same connection.
        "c1 send PING\nc1 expect PONG\nc1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN 7 8 c=feed,d=*",
        # All other lines of the host are forwarded beside LOAD lines, and half a line once it is complete.
        "c1 send OPEN 7 8 c=feed,d=900\nb0 accept\nb0 raw UP r\\r\\nLOAD 5.5\\r\\nM 1\nc1 expect UP r\n"
        "c1 expect LOAD 5.5\nb0 raw  x\\r\\n\nc1 expect M 1 x",
        # A host may send its client away, before or after it has accepted it.
        "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\nb0 send UP r\nc1 expect UP r\nb0 send MOVE\n"
        "b0 close\n"
        "c1 expect MOVE\nc1 ends\nwait ended_cancelled 1",
        # Then it drains, before discovery reports that: it gets no clients until it is listed as in service again.
        "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\nb0 send UP r\nc1 expect UP r\nb0 send MOVE\n"
        "wait told_draining_by_host 1\nc2 ask\nc2 refused\nb0 idle\n"
        "list b0 draining\nlist b0 running\nc3 ask\nb0 accept\nb0 taken",
        "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\nb0 send MOVE\nc1 expect BUSY*\nc2 ask\nc2 refused\n"
        "b0 idle\nlist b0 draining\nlist b0 running\nc3 ask\nb0 accept\nb0 taken",
        "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\nb0 send MOVE\nc1 expect BUSY*\nwait upstream_cancelled 1",
        "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\nb0 send BYE\nb0 close\nc1 expect BUSY*",
        "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\nb0 raw " + "x" * 5000 + "\nc1 expect BUSY*",
        # A bound connection goes to its host unchanged, even while that host drains, and to no other.
        "list b0 draining\nc1 send OPEN 7 8 c=feed,d=1500,at=b0\nb0 expect OPEN 7 8 c=feed,d=1500,at=b0\n"
        "b0 send UP r\nc1 expect UP r\nb0 reset\nc1 broken",
        "c1 send OPEN 7 8 c=feed,d=900,at=b9\nc1 expect ERR\nc1 ends\nb0 idle",
        "b0 stop\nc1 send OPEN 7 8 c=feed,d=900,at=b0\nc1 expect ERR",
        # A client that disconnects before its answer: its upstream request ends.
        "c1 send OPEN 7 8 c=feed,d=900\nb0 expect OPEN*\nc1 reset\nb0 ends\nwait downstream_left 1",
    ],
)
def test_requests_and_established_connections(script: str) -> None:
    Scenario().run(script)


PROBED = "c1 send OPEN 7 8 c=feed,d=1500\nb0 expect STATS\n"


@pytest.mark.parametrize(
    "script",
    [
        # The reported load decides: a host that reports itself full gets no request.
        PROBED + "b0 send PONG lat_ms=5,q=0,x0=2.5\nc1 expect BUSY*\nc1 ends",
        PROBED + "b0 send PONG lat_ms=5,q=0,x0=0.3\nwait probes_served 1\nb0 accept\nb0 expect OPEN*",
        PROBED + "b0 send PONG x0=what,,=\nwait probes_served 1\nb0 accept\nb0 expect OPEN*",
        # Probes that fail or time out do not block a request.
        PROBED + "b0 send NO\nb0 accept\nb0 expect OPEN*\nwait probes_error 1",
        PROBED + "b0 reset\nb0 accept\nb0 expect OPEN*\nwait probes_cut 1",
        PROBED + "b0 accept\nb0 expect OPEN*\nwait probes_timed_out 1",
    ],
)
def test_probes(script: str) -> None:
    Scenario(probes=True).run(script)


def http_response(status: str, body: str = "") -> str:
    return f"d raw HTTP/1.1 {status}\\r\\nContent-Length: {len(body)}\\r\\n\\r\\n{body}\n"


@pytest.mark.parametrize(
    ("responses", "then"),
    [
        # A change of one host; the next request follows on the same connection, from the new version.
        (
            http_response(
                "200 OK", LIST.format(5, "false", '{"host":"b0","dial":"127.0.0.1:1","health":"terminating"}')
            )
            + "d expect GET /v1/servers?since=5&timeout_ms=*\n",
            "c1 ask\nc1 refused\nb0 idle",
        ),
        # The whole list, in chunks: a host that is not in it is removed.
        (
            "d raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
            'a\\r\\n{"seq":7,"\\r\\n1b\\r\\nwhole":true,"hosts":[]    }\\r\\n0\\r\\n\\r\\n\n'
            "d expect GET /v1/servers?since=7&*\n",
            "c1 ask\nc1 refused\nb0 idle",
        ),
        # A failed request keeps the list, and another one follows after a pause, from the version that is held.
        (
            http_response("503 Service Unavailable") + "d expect GET /v1/servers?since=1&*\n",
            "c1 ask\nb0 taken\nwait list_unavailable 1\nwait list_asked 2",
        ),
        ("d reset\nd accept\nd expect GET /v1/servers?since=1&*\n", "c1 ask\nb0 taken"),
        (http_response("200 OK", "{half") + "d expect GET /v1/servers?since=1&*\n", "c1 ask\nb0 taken"),
        (
            http_response("200 OK", LIST.format(2, "true", '{"host":"b0"}')) + "d expect GET /v1/servers?since=1&*\n",
            "c1 ask\nb0 taken",
        ),
        ("d send SSH-2.0-x\nd accept\n", "c1 ask\nb0 taken"),
    ],
)
def test_discovery(responses: str, then: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        head = "d expect Host: *\nd expect \n"
        scenario = Scenario(discovery=discovery)
        scenario.run("d expect GET /v1/servers?since=1&timeout_ms=*\n" + head + responses + then)
