"""Agent-check and HTTP health: what is said of the balancer, and what upstream hosts say of themselves."""

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

SAYS = "a0 accept\na0 send {}\na0 close\n"
HTTP = "a0 accept\na0 expect GET /healthz HTTP/1.1\na0 send HTTP/1.1 {}\na0 close\n"
STANDS = "c1 ask\nb0 taken\nb0 up\nc1 served\n"


@pytest.mark.parametrize(
    ("line", "opinion"),
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
def test_the_words_of_an_agent(line: str, opinion: CheckResult) -> None:
    assert parse_agent_line(line) == opinion


@pytest.mark.parametrize("wire", ["lines", "nats"])
@pytest.mark.parametrize(
    ("check", "script"),
    [
        # A host that says drain loses its clients and gets nothing new; after up it is used again.
        (
            "agent",
            STANDS
            + SAYS.format("drain")
            + "c1 moved\nc2 ask\nc2 refused\nb0 idle\n"
            + SAYS.format("up 50%")
            + "wait checks_changed_a_host 2\nc3 ask\nb0 accept\nb0 taken\nb0 up\nc3 served",
        ),
        # Three failed checks in a row are a host that is down; two sound ones bring it back.
        ("agent", "a0 stop\nwait checks_failed 3\nwait checks_changed_a_host 1\nc1 ask\nc1 refused\nb0 idle"),
        (
            "http",
            HTTP.format("503 Unwell")
            + "wait checks_changed_a_host 1\nc1 ask\nc1 refused\nb0 idle\n"
            + HTTP.format("200 OK")
            + "wait checks_changed_a_host 2\nc2 ask\nb0 taken\nb0 up\nc2 served",
        ),
        ("http", SAYS.format("SSH-2.0-x") * 3 + "wait checks_changed_a_host 1\nc1 ask\nc1 refused"),
    ],
)
def test_what_a_host_says_counts(wire: str, check: str, script: str) -> None:
    Scenario(wire, check=check).run(script)


def test_what_is_said_of_the_balancer() -> None:
    listed = [{"host": n, "dial": "127.0.0.1:1", "health": "in_service"} for n in ("a", "b")]
    daemon = Daemon(
        config.read(
            {
                "listen": "127.0.0.1:0",
                "settings": SETTINGS,
                "known": {"hosts": listed},
                "health": {"agent": "127.0.0.1:0", "http": "127.0.0.1:0", "path": "/live"},
            }
        )
    )
    daemon.start()

    def said(name: str, request: str = "") -> str:
        peer = Peer(socket.create_connection(daemon.told_at[name].address))
        peer.sock.sendall(request.encode())
        line = peer.line()
        while peer.receive():
            pass
        return line

    def http(path: str, verb: str = "GET") -> str:
        return said("health", f"{verb} {path} HTTP/1.1\r\nHost: x\r\n\r\n").partition(" ")[2]

    assert said("agent_check") == "up ready 100%"
    daemon.fronts[0].decisions.apply_check("a", takes_work=False)
    assert (said("agent_check"), http("/live"), http("/live", "HEAD")) == ("up ready 50%", "200 OK", "200 OK")
    assert (http("/other"), http("/live", "POST")) == ("404 Not Found", "405 Method Not Allowed")
    assert said("health", "nonsense\r\n\r\n").endswith("400 Bad Request")
    daemon.fronts[0].decisions.apply_check("b", takes_work=False)
    assert (said("agent_check"), http("/live")) == ("down", "503 Service Unavailable")
    daemon.leaving = True
    assert (said("agent_check"), http("/live")) == ("drain", "503 Service Unavailable")


@pytest.mark.parametrize(
    ("say", "kept"),
    [
        (lambda cluster: cluster.mark_draining("a"), State.RUNNING),
        (lambda cluster: cluster.apply_check("a", False), State.DRAINING),
        (lambda cluster: cluster.set_closed("a", True), State.CLOSED),
    ],
)
def test_a_host_in_service_again_keeps_what_others_said_of_it(say: Callable[[Cluster], object], kept: State) -> None:
    # A check says once that a host is down, and a certificate is refused once: were these dropped with the host's own
    # word when discovery lists it again, the down or the unproven host would get new work.
    host = UpstreamHost("a", ("127.0.0.1", 1))
    cluster = Cluster()
    cluster.update(ListMode.COMPLETE, [host])
    assert say(cluster) is not None
    cluster.update(ListMode.CHANGES, [replace(host, state=State.DRAINING)])
    (seen,) = cluster.update(ListMode.CHANGES, [host])
    assert seen.state is kept
