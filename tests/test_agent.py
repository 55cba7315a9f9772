"""Agent checks and HTTP health checks, of the balancer and of upstream hosts, and how their results persist."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace

import pytest

from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.process import config
from bramblestile.process.daemon import Daemon
from bramblestile.wire.agent import CheckResult, parse_agent_line
from tests.scenario import Peer, Scenario
from tests.test_process import SETTINGS
from vanegw.interface import ListMode, State

ESTABLISHED = "c1 ask\nb0 taken\nb0 up\nc1 served\n"


@pytest.mark.parametrize(
    ("line", "result"),
    [
        ("up ready 75%", CheckResult(True, 0.75)),
        ("drain", CheckResult(False)),
        ("0%", CheckResult(False)),
        ("ready,down", CheckResult(False)),
        ("down ready", CheckResult(False)),
        ("maxconn:30 150%", CheckResult(None, 1.0)),
        ("up # drain", CheckResult(True)),
        ("", CheckResult()),
        ("\u00b2% what", CheckResult()),
    ],
)
def test_agent_line_is_parsed(line: str, result: CheckResult) -> None:
    assert parse_agent_line(line) == result


@pytest.mark.parametrize("wire", ["lines", "nats"])
@pytest.mark.parametrize(
    ("check", "script"),
    [
        # A host whose agent answers drain loses its clients and gets no new ones; after up it is used again.
        (
            "agent",
            "a0 answers up\nwait checks_sound 1\n"
            + ESTABLISHED
            + "a0 answers drain\nc1 moved\nc2 ask\nc2 refused\nb0 idle\n"
            + "a0 answers up 50%\nwait checks_changed_a_host 2\nc3 ask\nb0 accept\nb0 taken\nb0 up\nc3 served",
        ),
        # After three consecutive failed checks a host is down; after two successful ones it is up again.
        ("agent", "a0 stop\nwait checks_failed 3\nwait checks_changed_a_host 1\nc1 ask\nc1 refused\nb0 idle"),
        (
            "http",
            "a0 answers HTTP/1.1 503 Unwell\nwait checks_changed_a_host 1\nc1 ask\nc1 refused\nb0 idle\n"
            + "a0 answers HTTP/1.1 200 OK\nwait checks_changed_a_host 2\nc2 ask\nb0 taken\nb0 up\nc2 served",
        ),
        (
            "http",
            "a0 answers HTTP/1.1 200 OK\nwait checks_sound 1\n"
            + "a0 answers SSH-2.0-x\nwait checks_failed 3\nwait checks_changed_a_host 1\nc1 ask\nc1 refused",
        ),
    ],
)
def test_check_results_take_effect(wire: str, check: str, script: str) -> None:
    Scenario(wire, check=check).run(script)


def test_health_of_the_balancer() -> None:
    listed = [{"host": n, "dial": "127.0.0.1:1", "health": "in_service"} for n in ("a", "b")]
    daemon = Daemon(
        config.parse_config(
            {
                "listen": "127.0.0.1:0",
                "settings": SETTINGS,
                "known": {"hosts": listed},
                "health": {"agent": "127.0.0.1:0", "http": "127.0.0.1:0", "path": "/live"},
            }
        )
    )
    daemon.start()

    def answer(name: str, request: str = "") -> str:
        peer = Peer(socket.create_connection(daemon.auxiliary_listeners[name].address))
        peer.sock.sendall(request.encode())
        line = peer.line()
        while peer.receive():
            pass
        return line

    def http(path: str, verb: str = "GET") -> str:
        return answer("health", f"{verb} {path} HTTP/1.1\r\nHost: x\r\n\r\n").partition(" ")[2]

    assert answer("agent_check") == "up ready 100%"
    daemon.fronts[0].decisions.apply_check("a", takes_work=False)
    assert (answer("agent_check"), http("/live"), http("/live", "HEAD")) == ("up ready 50%", "200 OK", "200 OK")
    assert (http("/other"), http("/live", "POST")) == ("404 Not Found", "405 Method Not Allowed")
    assert answer("health", "nonsense\r\n\r\n").endswith("400 Bad Request")
    daemon.fronts[0].decisions.apply_check("b", takes_work=False)
    assert (answer("agent_check"), http("/live")) == ("down", "503 Service Unavailable")
    daemon.is_shutting_down = True
    assert (answer("agent_check"), http("/live")) == ("drain", "503 Service Unavailable")


@pytest.mark.parametrize(
    ("apply", "expected"),
    [
        (lambda cluster: cluster.mark_draining("a"), State.RUNNING),
        (lambda cluster: cluster.apply_check("a", False), State.DRAINING),
        (lambda cluster: cluster.set_closed("a", True), State.CLOSED),
    ],
)
def test_host_listed_as_in_service_again_keeps_the_state_of_other_sources(
    apply: Callable[[Cluster], object], expected: State
) -> None:
    """Only the host's own announcement that it drains may end when discovery lists it as in service again.

    A failed check and a refused certificate are reported once. If they ended too, a host that is down or unverified
    would get new connections.
    """
    host = UpstreamHost("a", ("127.0.0.1", 1))
    cluster = Cluster()
    cluster.update(ListMode.COMPLETE, [host])
    assert apply(cluster) is not None
    cluster.update(ListMode.CHANGES, [replace(host, state=State.DRAINING)])
    (effective,) = cluster.update(ListMode.CHANGES, [host])
    assert effective.state is expected


def test_check_result_that_comes_before_the_list_is_applied() -> None:
    """Guards against: a host that its check has found to be down is listed later, and gets clients."""
    cluster = Cluster()
    assert cluster.apply_check("a", takes_work=False) is None
    (effective,) = cluster.update(ListMode.COMPLETE, [UpstreamHost("a", ("127.0.0.1", 1))])
    assert effective.state is State.DRAINING
    cluster.update(ListMode.COMPLETE, [])
    (effective,) = cluster.update(ListMode.COMPLETE, [UpstreamHost("a", ("127.0.0.1", 1))])
    assert effective.state is State.DRAINING


@pytest.mark.parametrize("wire", ["lines", "nats"])
def test_a_host_that_is_down_stays_so_when_discovery_lists_a_restart(wire: str) -> None:
    """Guards against: the end of a result at a host's restart, though its check goes on failing, lasts for ever."""
    scenario = Scenario(wire, check="agent")
    scenario.run("a0 stop\nwait checks_failed 3\nwait checks_changed_a_host 1\nlist b0 cold")
    scenario.run("wait checks_changed_a_host 2\nc1 ask\nc1 refused\nb0 idle")
