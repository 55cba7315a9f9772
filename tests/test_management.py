"""The management API: parsing of requests, and responses in time beside callers that never complete a request."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramblestile.cli.main import main as run_cli
from bramblestile.memory.counters import Counters
from bramblestile.operations import http, management_api, server
from bramblestile.operations.management_api import ManagementApi
from bramblestile.operations.orders import OrderNotSavedError, Orders
from bramblestile.operations.server import ManagementServer

SUSPEND_REQUEST = (
    b"PUT /v1/image-servers/s-1%2F2/suspend HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"
    b"GET /v1/readyz HTTP/1.1\r\n\r\n"
)


@given(st.lists(st.integers(0, len(SUSPEND_REQUEST)), max_size=12))
def test_a_request_in_pieces_is_one_request_and_later_bytes_are_ignored(cuts: list[int]) -> None:
    parser, request, start = http.RequestParser(), None, 0
    for cut in [*sorted(cuts), len(SUSPEND_REQUEST)]:
        request = request or parser.feed(SUSPEND_REQUEST[start:cut])
        start = cut
    assert request == http.HttpRequest("PUT", ("v1", "image-servers", "s-1/2", "suspend"), b"abc")


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"OPEN 1 2 c=feed\r\n\r\n", 400),
        (b"GET /\r\n\r\n", 400),
        (b"GET / HTTP/2\r\n\r\n", 505),
        (b"G(T / HTTP/1.1\r\n\r\n", 400),
        (b"GET x HTTP/1.1\r\n\r\n", 400),
        (b"GET /%zz HTTP/1.1\r\n\r\n", 400),
        (b"GET /%ff HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno field\r\n\r\n", 400),
        (b"PUT / HTTP/1.1\r\nContent-Length: 2, 3\r\n\r\n", 400),
        (b"PUT / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", 400),
        (b"PUT / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
        (b"GET /" + b"x" * 5000, 431),
        (b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
        (b"PUT / HTTP/1.1\r\nExpect: luck\r\n\r\n", 417),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 100 + b"\r\n", 431),
        (b"\x16\x03\x01\n\n", 400),
    ],
)
def test_a_malformed_request_is_rejected(raw: bytes, status: int) -> None:
    with pytest.raises(http.HttpError) as error:
        http.RequestParser().feed(raw)
    assert error.value.response.status == status and b"\n\n" not in http.encode_response(error.value.response)


class FakeBalancer:
    """Stands in for the daemon."""

    reason: str | None = "starting"
    no_sends_in_progress = True
    disk_full = False

    def __init__(self) -> None:
        self.orders = Orders()

    def unready_reason(self) -> str | None:
        return self.reason

    def is_known(self, host: str) -> bool:
        return host == "s/1"

    def change_orders(self, change: Callable[[Orders], Orders]) -> None:
        if self.disk_full:
            raise OrderNotSavedError("no room")
        self.orders = change(self.orders)

    def started_at(self, host: str) -> timedelta | None:
        return None

    def has_no_sends_in_progress(self, host: str) -> bool:
        return self.no_sends_in_progress

    def fleet_view(self) -> str | None:
        return None

    def call_maintenance(self, verb: str, text: str) -> Callable[[], tuple[int, str] | None] | None:
        return None


@pytest.fixture
def served() -> Iterator[tuple[ManagementServer, FakeBalancer, Counters]]:
    counters, balancer = Counters(), FakeBalancer()
    management_server = ManagementServer(("127.0.0.1", 0), ManagementApi(balancer, counters), counters)
    management_server.start()
    yield management_server, balancer, counters
    management_server.stop()


def call(management_server: ManagementServer, raw: bytes) -> bytes:
    """Send a request and return the whole response."""
    with socket.create_connection(management_server.address, timeout=5) as sock:
        sock.sendall(raw)
        response = b""
        while data := sock.recv(4096):
            response += data
        return response


def status(response: bytes) -> int:
    """Return the status of a response."""
    return int(response.split()[1])


def test_readiness_unknown_paths_wrong_methods_and_head(
    served: tuple[ManagementServer, FakeBalancer, Counters],
) -> None:
    management_server, balancer, counters = served
    request = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
    assert status(call(management_server, request)) == 503
    balancer.reason = None
    assert call(management_server, request).endswith(b"\r\n\r\nyes\n")
    assert call(management_server, request.replace(b"GET", b"HEAD")).endswith(b"\r\n\r\n")
    assert status(call(management_server, b"GET /v2/readyz HTTP/1.1\r\n\r\n")) == 404
    response = call(management_server, b"DELETE /v1/readyz HTTP/1.1\r\n\r\n")
    assert status(response) == 405 and b"Allow: GET, HEAD\r\n" in response
    assert (counters.get("management_yes"), counters.get("management_no")) == (2, 3)


def test_complete_requests_are_answered_beside_the_maximum_of_incomplete_ones(
    served: tuple[ManagementServer, FakeBalancer, Counters],
) -> None:
    """Guards against callers that hold a connection without a complete request: the oldest of them are evicted."""
    management_server, balancer, counters = served
    balancer.reason = None
    slow_callers = [
        socket.create_connection(management_server.address, timeout=5) for _ in range(server.MAX_CALLERS + 10)
    ]
    try:
        for sock in slow_callers:
            sock.sendall(b"GET /v1/rea")
        began = time.monotonic()
        for _ in range(20):
            assert status(call(management_server, b"GET /v1/readyz HTTP/1.1\r\n\r\n")) == 200
        assert time.monotonic() - began < 1.0  # 20 responses within the time allowed for one
        assert counters.get("management_gave_way") >= 10
        assert status(slow_callers[0].recv(4096)) == 503
    finally:
        for sock in slow_callers:
            sock.close()


def test_an_incomplete_request_times_out(
    served: tuple[ManagementServer, FakeBalancer, Counters], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "REQUEST_TIMEOUT", server.POLL_INTERVAL)
    assert status(call(served[0], b"PUT /v1/balancer/drain HTTP/1.1\r\nContent-Length: 5\r\n\r\n12")) == 408


def put(path: str) -> bytes:
    """Return a PUT request for a path below ``/v1/``."""
    return f"PUT /v1/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def test_suspend_and_resume_change_the_orders_and_unknown_hosts_are_rejected(
    served: tuple[ManagementServer, FakeBalancer, Counters],
) -> None:
    management_server, balancer, _ = served
    for _ in range(2):
        assert status(call(management_server, put("image-servers/s%2F1/suspend"))) == 200
    assert list(balancer.orders.suspended) == ["s/1"]
    assert status(call(management_server, put("image-servers/s%2F1/resume"))) == 200
    assert not balancer.orders.suspended and list(balancer.orders.resumed) == ["s/1"]
    for path in ("image-servers/s-2/suspend", "image-servers/s-2/resume", "image-servers//suspend", "balancer/stop"):
        assert status(call(management_server, put(path))) == 404
    assert status(call(management_server, put("image-servers/s%2F1/resume").replace(b"PUT", b"POST"))) == 405


def test_a_suspension_is_answered_after_the_last_send_and_delays_no_other_caller(
    served: tuple[ManagementServer, FakeBalancer, Counters], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that was assigned but not yet sent: it would reach a suspended host."""
    management_server, balancer, _ = served
    balancer.no_sends_in_progress = False
    with socket.create_connection(management_server.address, timeout=5) as caller:
        caller.sendall(put("image-servers/s%2F1/suspend"))
        assert status(call(management_server, put("balancer/drain"))) == 200 and balancer.orders.drained
        assert list(balancer.orders.suspended) == ["s/1"]  # in force before the response
        balancer.no_sends_in_progress = True
        assert status(caller.recv(4096)) == 200
    monkeypatch.setattr(management_api, "SUSPEND_TIMEOUT", server.POLL_INTERVAL)
    balancer.no_sends_in_progress = False
    assert status(call(management_server, put("image-servers/s%2F1/suspend"))) == 503


def test_an_order_that_cannot_be_saved_is_answered_with_an_error(
    served: tuple[ManagementServer, FakeBalancer, Counters],
) -> None:
    management_server, balancer, _ = served
    balancer.disk_full = True
    response = call(management_server, put("image-servers/s%2F1/suspend"))
    assert status(response) == 503 and b"no room" in response and not balancer.orders.suspended
    assert status(call(management_server, put("balancer/drain"))) == 503


def test_the_commands_make_the_management_calls(
    served: tuple[ManagementServer, FakeBalancer, Counters], capsys: pytest.CaptureFixture[str]
) -> None:
    management_server, balancer, _ = served
    endpoint = "{}:{}".format(*management_server.address)

    def ops(*words: str) -> tuple[int, str, str]:
        exit_code = run_cli(["ops", "--at", endpoint, *words])
        output = capsys.readouterr()
        # The balancer logs to the same standard error.
        return (
            exit_code,
            output.out,
            "".join(line for line in output.err.splitlines(True) if line.startswith("bramblestile:")),
        )

    assert ops("readyz") == (1, "", f"bramblestile: ops: {endpoint}: 503 starting\n")
    assert ops("suspend", "s/1") == (0, "yes\n", "") and "s/1" in balancer.orders.suspended
    assert ops("resume", "s/1")[0] == 0 and "s/1" not in balancer.orders.suspended
    assert ops("drain")[0] == 0 and balancer.orders.drained
    assert ops("activate")[0] == 0 and not balancer.orders.drained
    assert ops("suspend", "s-2")[0] == 1 and ops("suspend")[0] == 2
    endpoint = "nowhere"
    assert ops("drain") == (2, "", "bramblestile: --at: 'nowhere' is not HOST:PORT\n")
    with socket.create_server(("127.0.0.1", 0)) as silent:
        endpoint = "{}:{}".format(*silent.getsockname())
        silent.close()
        assert ops("readyz")[0] == 1
