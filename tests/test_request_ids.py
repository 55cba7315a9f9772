"""An id runs once, also when it comes again after its client has left, or at the other process of an upgrade."""

from __future__ import annotations

import fcntl
import os
import time
from datetime import timedelta
from pathlib import Path
from random import Random

import pytest

from bramblestile.memory import request_ids
from bramblestile.memory.request_ids import RequestIds
from tests.scenario import Scenario
from tests.upgrade import TIMEOUT_S, Client, upgradable_balancer

SEED = 46
OPEN = "send OPEN 7 8 c={cls},d=900\n"
REFUSED = "ERR\r\n"


class FakeClock:
    """A clock that stands still until it is moved."""

    def __init__(self) -> None:
        self.time = timedelta(days=20_000)

    def __call__(self) -> timedelta:
        return self.time


LEFT = "b0 expect OPEN*\nc1 close\nb0 ends\n"
RESET = "b0 expect OPEN*\nc1 reset\nb0 ends\n"
SERVED = "b0 expect OPEN*\nb0 send UP r\nc1 expect UP r\nc1 close\nb0 send BYE\nb0 close\n"
FAILED = "b0 expect OPEN*\nb0 send ERR\nc1 expect ERR\n"


@pytest.mark.parametrize(
    ("cls", "first_run"),
    [
        ("feed", LEFT),
        ("feed", RESET),
        ("feed", SERVED),
        ("once", LEFT),
        ("once", RESET),
        ("once", SERVED),
        ("once", FAILED),
    ],
)
def test_id_that_comes_again_does_not_run_twice(cls: str, first_run: str) -> None:
    """Guards against: a client leaves while its request is out, comes again under its id, and both have an effect."""
    scenario = Scenario()
    scenario.run("c1 " + OPEN.format(cls=cls) + first_run)
    scenario.until(lambda: not scenario.front.decisions._active_requests, lambda: "the request is still open")
    scenario.run("c2 " + OPEN.format(cls=cls) + "c2 expect ERR\nc2 ends\nwait ids_in_use 1\nb0 idle")


@pytest.mark.parametrize("cls", ["feed", "once"])
def test_id_that_was_refused_may_come_again(cls: str) -> None:
    scenario = Scenario()
    scenario.run("c1 " + OPEN.format(cls=cls) + "b0 expect OPEN*\nb0 send BUSY\nc1 expect BUSY*\nc1 ends\nb0 ends\n")
    scenario.until(lambda: not scenario.front.decisions._active_requests, lambda: "the request is still open")
    scenario.run("c2 " + OPEN.format(cls=cls) + "b0 expect OPEN*\nb0 send UP r\nc2 expect UP r")


def test_connection_that_a_host_holds_already_is_resumed_under_its_id() -> None:
    scenario = Scenario()
    scenario.run(
        "c1 " + OPEN.format(cls="feed") + "b0 expect OPEN*\nb0 send UP r\nc1 expect UP r\nc1 reset\nb0 broken\n"
    )
    scenario.until(lambda: not scenario.front.decisions._active_requests, lambda: "the connection is still open")
    scenario.run(
        "c2 send OPEN 7 8 c=feed,d=900,at=b0\nb0 expect OPEN 7 8 c=feed,d=900,at=b0\nb0 send UP r\nc2 expect UP r"
    )


def test_id_does_not_run_at_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    """Guards against: the processes share the listening socket, but not what they know of ids."""
    random = Random(SEED)
    with upgradable_balancer(tmp_path, "a") as (balancer, hosts):
        balancer.start()
        clients = [Client(balancer, number) for number in range(1, 21)]
        for client in clients[:10]:  # these leave; the others stay connected
            client.close()
        balancer.start()
        clients += [Client(balancer, number) for number in range(21, 41)]  # at either process
        assert all(client.is_established for client in clients)
        for number in random.choices(range(1, 41), k=100):
            again = Client(balancer, number)
            assert again.first_response.decode() == REFUSED, number
            again.close()
        balancer.processes[0].terminate()
        assert balancer.processes[0].wait(TIMEOUT_S) == 0
        for number in random.choices(range(1, 41), k=100):
            again = Client(balancer, number)
            assert again.first_response.decode() == REFUSED, number
            again.close()
        ids = [line.split()[1] for line in hosts["a"].first_lines]
        print(f"{len(ids)} runs of {len(set(ids))} ids")
        assert len(ids) == len(set(ids)) == 40
        assert all(client.echoes() for client in clients[10:])
        for client in clients[10:]:
            client.close()


def test_an_id_is_remembered_for_a_while_by_all_that_share_the_table(tmp_path: Path) -> None:
    clock = FakeClock()
    first, second = (RequestIds(tmp_path / "n1.ids", clock) for _ in range(2))
    assert first.claim("a") and not first.claim("a") and not second.claim("a")
    second.release("a")
    assert first.claim("a")
    clock.time += request_ids.RETENTION / 2
    first.keep(["a", "b"])
    clock.time += request_ids.RETENTION * 0.9
    assert not second.claim("a") and not second.claim("b")
    clock.time += request_ids.RETENTION * 0.1
    assert second.claim("a") and second.claim("b")


def test_the_table_keeps_its_size_and_the_newest_ids() -> None:
    clock = FakeClock()
    ids = RequestIds(clock=clock)
    capacity = request_ids.BUCKET_COUNT * request_ids.BUCKET_ENTRIES
    for number in range(3 * capacity):
        clock.time += timedelta(microseconds=1)
        assert ids.claim(f"id-{number}")
    newest = range(3 * capacity - capacity // 8, 3 * capacity)
    assert all(not ids.claim(f"id-{number}") for number in newest) and ids.claim("id-0")


@pytest.mark.parametrize("trouble", ["no folder", "no room", "held"])
def test_a_table_that_cannot_be_shared_holds_up_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, trouble: str, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / ("gone/n1.ids" if trouble == "no folder" else "n1.ids")
    if trouble == "no room":

        def fail(*_: object) -> None:
            raise OSError(28, "No space left on device")

        monkeypatch.setattr(os, "posix_fallocate", fail)
    ids = RequestIds(path)
    if trouble == "held":  # by a process that was stopped in the middle of a change
        with path.open() as other:
            fcntl.flock(other, fcntl.LOCK_EX)
            began = time.monotonic()
            assert ids.claim("a") and time.monotonic() - began < 1
    else:
        assert caplog.messages == ["request ids"] and ids.claim("a")
    assert not ids.claim("a")


def test_nats_clients_send_no_ids() -> None:
    """The same CONNECT again is another connection: nothing in it tells that its client has been here before."""
    scenario = Scenario("nats")
    for number in (1, 2):
        scenario.run(f"c{number} ask\nb0 accept\nb0 taken\nb0 up\nc{number} served\nc{number} close\nb0 ends\n")
    assert scenario.front.decisions.request_ids is None
