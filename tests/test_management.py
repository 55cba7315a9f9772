"""Operators' calls: bytes to calls, and answers in time beside callers that never finish."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramblestile.cli.main import main as cli
from bramblestile.memory.counters import Counters
from bramblestile.operations import http, management_api, server
from bramblestile.operations.management_api import ManagementApi
from bramblestile.operations.orders import OrderNotSavedError, Orders
from bramblestile.operations.server import ManagementServer

PUT = (
    b"PUT /v1/image-servers/s-1%2F2/suspend HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"
    b"GET /v1/readyz HTTP/1.1\r\n\r\n"
)


@given(st.lists(st.integers(0, len(PUT)), max_size=12))
def test_a_call_cut_anywhere_is_one_call_and_what_follows_is_passed_over(cuts: list[int]) -> None:
    parser, got, at = http.RequestParser(), None, 0
    for cut in [*sorted(cuts), len(PUT)]:
        got = got or parser.feed(PUT[at:cut])
        at = cut
    assert got == http.HttpRequest("PUT", ("v1", "image-servers", "s-1/2", "suspend"), b"abc")


@pytest.mark.parametrize(
    ("said", "status"),
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
def test_what_is_no_call_is_told_so(said: bytes, status: int) -> None:
    with pytest.raises(http.HttpError) as caught:
        http.RequestParser().feed(said)
    assert caught.value.response.status == status and b"\n\n" not in http.encode_response(caught.value.response)


class Balancer:
    """Stands in for the daemon."""

    why: str | None = "starting"
    quiet = True
    full = False

    def __init__(self) -> None:
        self.orders = Orders()

    def unready_reason(self) -> str | None:
        return self.why

    def is_known(self, host: str) -> bool:
        return host == "s/1"

    def change_orders(self, change: Callable[[Orders], Orders]) -> None:
        if self.full:
            raise OrderNotSavedError("no room")
        self.orders = change(self.orders)

    def started_at(self, host: str) -> timedelta | None:
        return None

    def has_no_sends_in_progress(self, host: str) -> bool:
        return self.quiet

    def fleet_view(self) -> str | None:
        return None

    def call_maintenance(self, verb: str, text: str) -> Callable[[], tuple[int, str] | None] | None:
        return None


@pytest.fixture
def served() -> Iterator[tuple[ManagementServer, Balancer, Counters]]:
    counters, balancer = Counters(), Balancer()
    made = ManagementServer(("127.0.0.1", 0), ManagementApi(balancer, counters), counters)
    made.start()
    yield made, balancer, counters
    made.stop()


def call(made: ManagementServer, said: bytes) -> bytes:
    """The whole answer, to its end."""
    with socket.create_connection(made.address, timeout=5) as sock:
        sock.sendall(said)
        got = b""
        while more := sock.recv(4096):
            got += more
        return got


def status(got: bytes) -> int:
    return int(got.split()[1])


def test_ready_no_such_path_wrong_method_and_head(served: tuple[ManagementServer, Balancer, Counters]) -> None:
    made, balancer, counters = served
    asked = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
    assert status(call(made, asked)) == 503
    balancer.why = None
    assert call(made, asked).endswith(b"\r\n\r\nyes\n")
    assert call(made, asked.replace(b"GET", b"HEAD")).endswith(b"\r\n\r\n")
    assert status(call(made, b"GET /v2/readyz HTTP/1.1\r\n\r\n")) == 404
    wrong = call(made, b"DELETE /v1/readyz HTTP/1.1\r\n\r\n")
    assert status(wrong) == 405 and b"Allow: GET, HEAD\r\n" in wrong
    assert (counters.get("management_yes"), counters.get("management_no")) == (2, 3)


def test_whole_calls_are_answered_beside_as_many_unfinished_ones_as_there_may_be(
    served: tuple[ManagementServer, Balancer, Counters],
) -> None:
    """Guards against callers that hold a connection without a whole call: the oldest of them give way."""
    made, balancer, counters = served
    balancer.why = None
    slow = [socket.create_connection(made.address, timeout=5) for _ in range(server.MAX_CALLERS + 10)]
    try:
        for sock in slow:
            sock.sendall(b"GET /v1/rea")
        began = time.monotonic()
        for _ in range(20):
            assert status(call(made, b"GET /v1/readyz HTTP/1.1\r\n\r\n")) == 200
        assert time.monotonic() - began < 1.0  # 20 of them within what one is owed
        assert counters.get("management_gave_way") >= 10
        assert status(slow[0].recv(4096)) == 503
    finally:
        for sock in slow:
            sock.close()


def test_a_call_that_does_not_come_to_its_end_is_told_so_in_time(
    served: tuple[ManagementServer, Balancer, Counters], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "REQUEST_TIMEOUT", server.POLL_INTERVAL)
    assert status(call(served[0], b"PUT /v1/balancer/drain HTTP/1.1\r\nContent-Length: 5\r\n\r\n12")) == 408


def put(path: str) -> bytes:
    return f"PUT /v1/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def test_hosts_go_out_once_and_come_back_once_and_strangers_are_refused(
    served: tuple[ManagementServer, Balancer, Counters],
) -> None:
    made, balancer, _ = served
    for _ in range(2):
        assert status(call(made, put("image-servers/s%2F1/suspend"))) == 200
    assert list(balancer.orders.suspended) == ["s/1"]
    assert status(call(made, put("image-servers/s%2F1/resume"))) == 200
    assert not balancer.orders.suspended and list(balancer.orders.resumed) == ["s/1"]
    for path in ("image-servers/s-2/suspend", "image-servers/s-2/resume", "image-servers//suspend", "balancer/stop"):
        assert status(call(made, put(path))) == 404
    assert status(call(made, put("image-servers/s%2F1/resume").replace(b"PUT", b"POST"))) == 405


def test_the_yes_waits_until_nothing_is_being_sent_there_and_holds_nobody_up(
    served: tuple[ManagementServer, Balancer, Counters], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request between its choice and its first byte: it would reach a host that is out."""
    made, balancer, _ = served
    balancer.quiet = False
    with socket.create_connection(made.address, timeout=5) as waits:
        waits.sendall(put("image-servers/s%2F1/suspend"))
        assert status(call(made, put("balancer/drain"))) == 200 and balancer.orders.drained
        assert list(balancer.orders.suspended) == ["s/1"]  # taken, while its yes is still to come
        balancer.quiet = True
        assert status(waits.recv(4096)) == 200
    monkeypatch.setattr(management_api, "SUSPEND_TIMEOUT", server.POLL_INTERVAL)
    balancer.quiet = False
    assert status(call(made, put("image-servers/s%2F1/suspend"))) == 503


def test_what_cannot_be_kept_is_not_answered_with_yes(served: tuple[ManagementServer, Balancer, Counters]) -> None:
    made, balancer, _ = served
    balancer.full = True
    got = call(made, put("image-servers/s%2F1/suspend"))
    assert status(got) == 503 and b"no room" in got and not balancer.orders.suspended
    assert status(call(made, put("balancer/drain"))) == 503


def test_the_command_line_makes_the_same_calls(
    served: tuple[ManagementServer, Balancer, Counters], capsys: pytest.CaptureFixture[str]
) -> None:
    made, balancer, _ = served
    at = "{}:{}".format(*made.address)

    def ops(*words: str) -> tuple[int, str, str]:
        code = cli(["ops", "--at", at, *words])
        said = capsys.readouterr()
        # The balancer's own log may stand on the same standard error.
        return code, said.out, "".join(line for line in said.err.splitlines(True) if line.startswith("bramblestile:"))

    assert ops("readyz") == (1, "", f"bramblestile: ops: {at}: 503 starting\n")
    assert ops("suspend", "s/1") == (0, "yes\n", "") and "s/1" in balancer.orders.suspended
    assert ops("resume", "s/1")[0] == 0 and "s/1" not in balancer.orders.suspended
    assert ops("drain")[0] == 0 and balancer.orders.drained
    assert ops("activate")[0] == 0 and not balancer.orders.drained
    assert ops("suspend", "s-2")[0] == 1 and ops("suspend")[0] == 2
    at = "nowhere"
    assert ops("drain") == (2, "", "bramblestile: --at: 'nowhere' is not HOST:PORT\n")
    with socket.create_server(("127.0.0.1", 0)) as silent:
        at = "{}:{}".format(*silent.getsockname())
        silent.close()
        assert ops("readyz")[0] == 1
