"""The end of the process: every request that was taken gets its final answer before it."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import subprocess
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from tests import scenario
from tests.planned_restart import SIGKILL_AFTER_DEADLINE_S, planned_restart
from tests.scenario import LINES, WIRES, Peer, Scenario
from tests.test_process import connect, daemon_process
from vanegw import rules

MAX_DEADLINE_S = 0.5
SIGKILL_AFTER_S = MAX_DEADLINE_S + SIGKILL_AFTER_DEADLINE_S
SETTINGS: dict[str, Any] = {
    # The set-up aim is far beyond the end of the process, so that no attempt is given up for its own time.
    "classes": [
        {"name": name, "effect": effect, "objective_us": 30_000_000, "deadline_us": int(MAX_DEADLINE_S * 1e6)}
        for name, effect in (("feed", "safe"), ("once", "unsafe"))
    ],
    "limits": {"probes": False, "try_limit": 2, "connect_timeout_us": 20_000_000},
}


@dataclass(slots=True)
class StoppableBalancer:
    """A balancer process with one listed host, which the test plays."""

    process: subprocess.Popen[str]
    address: tuple[str, int]
    host: socket.socket

    def ask(self, line: str) -> Peer:
        """Connect a client that sends this text."""
        client = connect(self.address, self.process)
        client.sock.sendall(line.encode())
        return client

    def wait_for_counter(self, name: str) -> None:
        """Wait until a counter is above 0."""
        assert self.process.stderr is not None
        while True:
            self.process.send_signal(signal.SIGUSR1)
            if json.loads(self.process.stderr.readline()).get(name):
                return
            time.sleep(0.02)


@pytest.fixture
def balancer(tmp_path: Path) -> Iterator[StoppableBalancer]:
    with socket.create_server(("127.0.0.1", 0)) as host, socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
        free.close()
        dial = "{}:{}".format(*host.getsockname())
        values = {
            "listen": "{}:{}".format(*address),
            "settings": SETTINGS,
            "known": {"seq": 1, "hosts": [{"host": "a", "dial": dial, "health": "in_service"}]},
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps(values))
        with daemon_process(path) as process:
            yield StoppableBalancer(process, address, host)


@contextlib.contextmanager
def connections_never_come_up(host: socket.socket) -> Iterator[None]:
    """Fill the host's queue of connections: the system then drops the first packet of each further one."""
    host.listen(0)
    with contextlib.ExitStack() as stack:
        for _ in range(2):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(host.getsockname())
        yield


@pytest.mark.parametrize(
    ("request_line", "stage", "answer"),
    [
        ("OPEN 1 2 c=feed,d=9000\r\n", "sent", "BUSY"),
        ("OPEN 1 2 c=once,d=9000\r\n", "sent", "ERR"),
        ("OPEN 1 2 c=once,d=9000\r\n", "dialled", "BUSY"),
        ("OPEN 1 2 c=feed,d=9000,at=a\r\n", "sent", "ERR"),
        ("OPEN 1 2 c=feed,d=9000,at=a\r\n", "dialled", "ERR"),
        ("OPEN 1 2 c=fe", "incomplete", "BUSY"),
    ],
)
def test_a_stop_answers_requests_that_wait_longer_than_the_process_may_run(
    balancer: StoppableBalancer, request_line: str, stage: str, answer: str
) -> None:
    """Guards against a planned restart that closes waiting requests without an answer."""
    with connections_never_come_up(balancer.host) if stage == "dialled" else contextlib.nullcontext():
        client = balancer.ask(request_line)
        if stage == "sent":
            upstream = Peer(balancer.host.accept()[0])
            assert upstream.line().startswith("OPEN 1 2 ")
        elif stage == "dialled":
            balancer.wait_for_counter("requests")
        with planned_restart(balancer.process, MAX_DEADLINE_S):
            assert client.line().startswith(answer)
            client.expect_end()
            client.sock.close()
            exit_status = balancer.process.wait(5)
    assert balancer.process.stderr is not None
    log = [json.loads(line) for line in balancer.process.stderr]
    assert exit_status == 0, log
    assert "unanswered_at_exit" not in log[-1]


def test_a_process_that_is_held_up_until_after_its_exit_still_answers_and_moves(balancer: StoppableBalancer) -> None:
    """Guards against an exit that overtakes the answers: both were due when the process got to run again."""
    established = balancer.ask("OPEN 1 2 c=feed,d=9000\r\n")
    upstream = Peer(balancer.host.accept()[0])
    upstream.sock.sendall(b"UP r\r\n")
    assert established.line() == "UP r"
    waiting = balancer.ask("OPEN 2 2 c=feed,d=9000\r\n")
    assert Peer(balancer.host.accept()[0]).line().startswith("OPEN 2 2 ")
    balancer.process.send_signal(signal.SIGTERM)
    time.sleep(MAX_DEADLINE_S)
    balancer.process.send_signal(signal.SIGSTOP)
    time.sleep(SIGKILL_AFTER_S - MAX_DEADLINE_S)
    balancer.process.send_signal(signal.SIGCONT)
    assert established.line() == "MOVE"
    assert waiting.line().startswith("BUSY")
    assert balancer.process.wait(5) == 0


def test_a_request_that_the_decisions_have_lost_fails_before_the_end(
    patient_clients: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait for a choice that never comes and that lasts longer than the process."""
    monkeypatch.setattr(rules.Balancer, "_on_request", lambda balancer, event: 1 / 0)
    running = Scenario("lines")
    running.run("c1 ask\nwait decision_faults 1")
    assert len(running.front.decisions.waiting_ids()) == 1
    running.run("front answer_all\nc1 failed\nwait answered_failed 1")
    assert running.front.decisions.waiting_ids() == []


@pytest.fixture
def patient_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the scenarios' clients wait for half a minute, far longer than a scenario waits for a step."""
    monkeypatch.setitem(scenario.CLASS, "objective_us", 90_000_000)
    monkeypatch.setitem(scenario.CLASS, "deadline_us", 30_000_000)
    for word in ("ask", "ask-once"):
        monkeypatch.setitem(LINES, word, [step.replace("d=1500", "d=30000") for step in LINES[word]])


@pytest.mark.usefixtures("patient_clients")
@pytest.mark.parametrize("wire", WIRES)
@pytest.mark.parametrize(
    "script",
    [
        "c1 ask\nb0 taken\nfront answer_all\nc1 refused\nb0 ends\nwait given_up_shutdown 1",
        "c1 ask-once\nb0 taken\nfront answer_all\nc1 failed\nb0 ends\nwait given_up_shutdown 1",
        # The host's system accepts the connection, the host itself sends nothing: neither INFO nor a TLS handshake.
        "c1 ask-once\nwait upstream_requests 1\nfront answer_all\nwait given_up_shutdown 1",
        # A connection without a whole request is sent away.
        "c1 greeted\nfront answer_all\nc1 refused",
        "c1 ask\nb0 taken\nb0 up\nc1 served\nfront answer_all\nc1 says\nb0 hears\nb0 says\nc1 hears",
    ],
)
def test_all_requests_are_answered_on_request(wire: str, script: str) -> None:
    """Guards against waits that the end of the process does not interrupt, on any wire."""
    Scenario(wire, message_aim_us=[60e6, 60e6], tls={"handshake_ms": 60_000}).run(script)
