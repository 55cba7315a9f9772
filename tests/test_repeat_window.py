"""A keyed request is repeated only while the hosts still recognise it, however late the connection for it comes up."""

from __future__ import annotations

import contextlib
import ssl
import time
from collections.abc import Iterator

import pytest

from bramblestile.memory.cluster import UpstreamHost
from bramblestile.protocol import AttemptLimits
from bramblestile.sockets import Transport
from tests import authority, scenario
from tests.scenario import TIMEOUT_S, WIRES, Scenario
from tests.test_stop import connections_never_come_up

OBJECTIVE_S = 0.6  # the first attempt is given up after a third of it
WINDOW_S = 0.4
LATE_S = 0.5  # after the first attempt is given up: beyond the window, within the deadline


@pytest.fixture
def keyed_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the scenarios' requests keyed, with a window for repeats that is far shorter than their deadline."""
    keyed = {"effect": "keyed", "dedup_scope": "all", "memory_span_us": int(WINDOW_S * 1e6)}
    for name, value in {**keyed, "objective_us": int(OBJECTIVE_S * 1e6), "deadline_us": 3_000_000}.items():
        monkeypatch.setitem(scenario.CLASS, name, value)
    ask = [step.replace("d=1500", "d=3000") for step in scenario.LINES["ask"]]
    monkeypatch.setitem(scenario.LINES, "ask", ask)


@pytest.fixture
def repeated(keyed_requests: None, request: pytest.FixtureRequest) -> Iterator[Scenario]:
    """Return a scenario whose request waits at b0, and whose repeat goes to b1 next."""
    running = Scenario(request.param, hosts=2, try_limit=2, connect_timeout_us=2_500_000, tls={"handshake_ms": 2500})
    running.run("list b1 draining\nc1 ask\nb0 taken\nlist b1 running")
    yield running


def bytes_received(running: Scenario, host: str) -> bytes:
    """Return what the balancer sends to a host on all connections that wait there; TLS handshakes are carried out."""
    received = b""
    listener = running.listening[host]
    listener.settimeout(0.2)
    with contextlib.suppress(TimeoutError):
        while True:
            sock = listener.accept()[0]
            sock.settimeout(TIMEOUT_S)
            with contextlib.suppress(ssl.SSLError, ConnectionError):
                if running.wire == "nats":
                    sock.sendall(b'INFO {"server_id":"x","max_payload":1048576}\r\n')
                if running.tls:
                    sock = authority.server_context(host).wrap_socket(sock, server_side=True)
                received += sock.recv(65536)
            sock.close()
    return received


@pytest.mark.parametrize("repeated", WIRES, indirect=True)
def test_a_repeat_is_not_sent_after_the_window_if_the_host_is_late(repeated: Scenario) -> None:
    """Guards against an edit that runs twice: the host's connection, handshake or INFO came after the window."""
    late = connections_never_come_up(repeated.listening["b1"]) if repeated.wire == "lines" else contextlib.nullcontext()
    with late:
        repeated.run("b0 ends")
        time.sleep(LATE_S)
    assert bytes_received(repeated, "b1") == b""
    repeated.run("c1 refused\nwait upstream_not_sent 1")


@pytest.mark.parametrize("repeated", WIRES, indirect=True)
def test_a_repeat_is_not_sent_if_the_thread_is_held_up_before_its_first_byte(repeated: Scenario) -> None:
    """Guards against a check of the window that comes before the wait, and not with the first byte."""
    dial = repeated.front.context.dial

    def dial_late(host: UpstreamHost, limits: AttemptLimits) -> Transport:
        transport = dial(host, limits)
        time.sleep(LATE_S)
        return transport

    repeated.front.context.dial = dial_late
    repeated.run("b0 ends\nb1 accept")
    if repeated.wire == "nats":
        repeated.run("b1 hello")
    repeated.run("b1 ends\nc1 refused\nwait upstream_not_sent 1")


@pytest.mark.parametrize("repeated", WIRES, indirect=True)
def test_a_repeat_within_the_window_is_sent(repeated: Scenario) -> None:
    repeated.run("b0 ends\nb1 taken\nb1 up\nc1 served\nwait answered_served 1")


def test_the_window_does_not_limit_the_wait_for_the_answer(keyed_requests: None) -> None:
    """A repeat that was sent in time may be answered after the window."""
    running = Scenario("lines", hosts=2, try_limit=2)
    running.run("list b1 draining\nc1 ask\nb0 taken\nlist b1 running\nb0 ends\nb1 taken")
    time.sleep(2 * WINDOW_S)
    running.run("b1 up\nc1 served")
