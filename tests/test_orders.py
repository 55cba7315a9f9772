"""Operators' orders: what outlasts list, restart and a broken file, and what a host that is out may still get."""

from __future__ import annotations

import contextlib
import os
import socket
import threading
from dataclasses import replace
from datetime import timedelta
from functools import partial
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bramblestile.clock import now
from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.operations import orders
from bramblestile.operations.orders import OrderNotSavedError, Orders, OrderStore
from bramblestile.process.config import parse_config
from bramblestile.process.daemon import Daemon
from tests.scenario import Scenario
from tests.upgrade import SETTINGS, Client, serving
from vanegw.interface import ListMode, State

S = timedelta(seconds=1)
A, B = UpstreamHost("a", ("127.0.0.1", 1)), UpstreamHost("b", ("127.0.0.1", 2))
ORDERS = Orders({"a": 2 * S, "b": 3 * S}, {"c": timedelta(microseconds=7)}, True)


def test_an_order_outlasts_whole_lists_a_rebirth_and_a_host_that_vanishes() -> None:
    cluster = Cluster()
    cluster.update(ListMode.COMPLETE, [A, B])
    assert cluster.apply_orders({"a"}, {}) == ["a"]
    for mode, listed in (
        (ListMode.COMPLETE, A),
        (ListMode.CHANGES, replace(A, state=State.DRAINING)),
        (ListMode.CHANGES, A),
        (ListMode.CHANGES, replace(A, started_at=5 * S)),
        (ListMode.CHANGES, replace(A, state=State.GONE)),
        (ListMode.COMPLETE, replace(A, started_at=9 * S)),
    ):
        cluster.update(mode, [listed, B])
        cluster.apply_check("a", takes_work=True)
        found = cluster.find("a")
        assert found is None or found.state in (State.CLOSED, State.DRAINING)
        with cluster.guard_send(replace(A, started_at=listed.started_at)) as allowed:
            assert not allowed
    assert cluster.is_known("a") and not cluster.is_known("c")


def test_called_back_a_host_counts_as_just_born_until_it_is_listed_as_younger() -> None:
    cluster = Cluster()
    cluster.update(ListMode.COMPLETE, [replace(A, started_at=3 * S)])
    cluster.apply_orders({"a"}, {})
    assert cluster.apply_orders((), {"a": 50 * S}) == ["a"]
    for listed, seen in ((None, 50), (3 * S, 50), (45 * S, 50), (60 * S, 60)):
        cluster.update(ListMode.CHANGES, [replace(A, started_at=listed)])
        found = cluster.find("a")
        assert found is not None and (found.started_at, found.state) == (seen * S, State.RUNNING)


def test_a_host_is_quiet_once_what_began_before_the_order_is_written() -> None:
    cluster = Cluster()
    cluster.update(ListMode.COMPLETE, [A])
    with cluster.guard_send(A) as allowed:
        assert allowed and not cluster.has_no_sends_in_progress("a")
        cluster.apply_orders({"a"}, {})
        with cluster.guard_send(A) as late:
            assert not late
    assert cluster.has_no_sends_in_progress("a")


def test_every_cut_of_the_file_is_served_on_without_and_mended_by_the_next_order(memory_path: Path) -> None:
    raw = orders.encode_orders(ORDERS)
    assert orders.decode_orders(raw) == ORDERS
    path = memory_path / "bramblestile-n1.orders"
    for cut in range(len(raw)):
        path.write_bytes(raw[:cut])
        assert OrderStore(memory_path, "n1").orders == Orders(), cut
    assert OrderStore(memory_path, "n1").change(lambda o: o.suspend("c", S)).suspended == {"c": S}
    assert OrderStore(memory_path, "n1").orders.suspended == {"c": S}


@given(
    st.binary(max_size=200)
    | st.sampled_from(
        [
            b"[]",
            b"{}",
            b'{"version":2}',
            b'{"version":1,"suspended_us":[1],"back_us":{},"drained":false}',
            b"[" * 100_000,
            b'{"version":1,"suspended_us":{},"back_us":{"a":-1},"drained":false}',
            b"\xff",
            b'{"version":1,"suspended_us":{},"back_us":{"a":1e999},"drained":false}',
            b'{"version":1,"suspended_us":{},"back_us":{},"drained":0}',
        ]
    )
)
@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
def test_a_file_of_something_else_changes_nothing(tmp_path: Path, raw: bytes) -> None:
    (tmp_path / "bramblestile-n1.orders").write_bytes(raw)
    assert OrderStore(tmp_path, "n1").orders == Orders()


def test_two_processes_lose_no_order_of_each_other(tmp_path: Path) -> None:
    def order(first: int) -> None:
        mine = OrderStore(tmp_path, "n1")
        for number in range(first, first + 50):
            while f"h{number}" not in mine.orders.suspended:
                with contextlib.suppress(OrderNotSavedError):  # the other has had the lock all the while
                    mine.change(partial(Orders.suspend, host=f"h{number}", current_time=S))

    threads = [threading.Thread(target=order, args=(n,)) for n in (0, 50)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(OrderStore(tmp_path, "n1").orders.suspended) == 100
    assert not [f for f in os.listdir(tmp_path) if f.endswith(str(os.getpid()))]


def test_what_the_other_process_was_ordered_is_seen_at_the_next_look(tmp_path: Path) -> None:
    one, other = OrderStore(tmp_path, "n1"), OrderStore(tmp_path, "n1")
    one.change(lambda orders: orders.suspend("a", S))
    assert other.reload() and other.orders.suspended == {"a": S} and not other.reload() and not one.reload()


def test_an_order_that_cannot_be_written_is_not_taken(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    mine = OrderStore(tmp_path / "gone", "n1")
    with pytest.raises(OrderNotSavedError, match=r"n1\.orders: No such file"):
        mine.change(lambda orders: orders.suspend("a", S))
    there = OrderStore(tmp_path, "n1")
    monkeypatch.setattr(os, "write", lambda *_: 3)  # a full disk takes a part
    with pytest.raises(OrderNotSavedError, match="no room"):
        there.change(lambda orders: orders.suspend("a", S))
    assert (
        not mine.orders.suspended
        and not there.orders.suspended
        and os.listdir(tmp_path) == ["bramblestile-n1.orders.lock"]
    )


def test_only_so_many_hosts_can_be_out_and_calls_back_are_forgotten() -> None:
    with pytest.raises(OrderNotSavedError, match="out already"):
        Orders(dict.fromkeys(map(str, range(orders.MAX_SUSPENDED_HOSTS)), S)).suspend("one more", S)
    again = Orders({"a": S}, {"b": 1 * S}).resume("a", orders.RESUMED_RETENTION + 2 * S, None)
    assert again.resumed == {"a": orders.RESUMED_RETENTION + 2 * S}
    assert Orders().resume("a", S, None) == Orders()  # it was not out, so nothing restarted it


@pytest.mark.parametrize(("listed", "counts"), [(None, 9), (3, 9), (7, 7), (12, 9)])
def test_called_back_a_host_counts_from_its_restart_if_the_list_tells_that_and_else_from_now(
    listed: int | None, counts: int
) -> None:
    started_at = None if listed is None else listed * S
    assert Orders({"a": 5 * S}).resume("a", 9 * S, started_at).resumed == {"a": counts * S}


@pytest.mark.parametrize("wire", ["lines", "nats"])
def test_a_request_on_its_way_to_a_host_that_goes_out_is_decided_anew(wire: str) -> None:
    """Both fronts: the host goes out while the request waits for its answer elsewhere; nothing more reaches it."""
    stage = Scenario(wire, hosts=2, try_limit=6)
    cluster = stage.front.cluster
    stage.front.decisions.refresh_hosts(cluster.apply_orders({"b0"}, {}))
    stage.run("c1 ask\n b1 taken\n b1 up\n c1 served\n b0 idle\n c2 ask\n b1 accept\n b1 taken\n b1 full\n b0 idle")


def test_a_host_is_out_through_an_upgrade_and_comes_back_by_one_call(tmp_path: Path) -> None:
    with serving(tmp_path, "a", "b") as (balancer, hosts):
        numbers = iter(range(1, 1000))

        def served(count: int) -> None:
            for _ in range(count):
                client = Client(balancer, next(numbers))
                assert client.up
                client.close()

        balancer.start()
        for path in ("image-servers/a/suspend", "image-servers/a/suspend"):
            assert balancer.call(f"PUT /v1/{path}") == 200
        assert balancer.call("PUT /v1/image-servers/z/suspend") == 404
        served(10)
        balancer.replace()
        served(10)
        assert not hosts["a"].asked and len(hosts["b"].asked) == 20
        before = now()
        assert balancer.call("PUT /v1/image-servers/a/resume") == 200
        balancer.processes[-1].kill()  # no word to anyone
        balancer.processes[-1].wait()
        balancer.start()
        assert OrderStore(tmp_path / "tmp", "n1").orders.resumed["a"] >= before - S
        served(30)
        assert hosts["a"].asked


def test_what_stands_on_a_host_that_goes_out_leaves_bit_by_bit(tmp_path: Path) -> None:
    """Seen: a third of all connections moved in one moment, 1 s after the call, and came back to full hosts."""
    with serving(tmp_path, "a") as (balancer, _):
        balancer.start()
        standing = [Client(balancer, n) for n in range(1, 9)]
        told = now()
        assert balancer.call("PUT /v1/image-servers/a/suspend") == 200
        gone: list[timedelta] = []

        def leave(client: Client) -> None:
            assert client.read.readline() == b"MOVE\r\n"
            gone.append(now() - told)

        readers = [threading.Thread(target=leave, args=(client,)) for client in standing]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        assert len(gone) == 8 and 0.5 * S < sorted(gone)[4] < 1.6 * S and max(gone) < 2.2 * S  # it is stopped at 2.25 s
        for client in standing:
            client.close()


def test_clients_are_sent_away_and_taken_again(tmp_path: Path) -> None:
    """PING hears no at once, what stands is moved within 4 s, and nothing stays moved after the call back."""
    with serving(tmp_path, "a") as (balancer, _):

        def ping() -> bytes:
            with socket.create_connection(balancer.clients.getsockname(), timeout=5) as sock:
                sock.sendall(b"PING\r\n")
                return sock.makefile("rb").readline()

        balancer.start()
        assert ping() == b"PONG\r\n"
        standing = [Client(balancer, n) for n in range(1, 6)]
        told = now()
        assert balancer.call("PUT /v1/balancer/drain") == 200
        assert ping() != b"PONG\r\n"
        late = Client(balancer, 9)  # the front still sends for a moment
        assert late.up
        assert {c.read.readline() for c in [*standing, late]} == {b"MOVE\r\n"}
        assert now() - told < 4 * S
        assert balancer.call("PUT /v1/balancer/activate") == 200
        assert ping() == b"PONG\r\n"
        back = Client(balancer, 10)
        assert back.up and back.echoes()
        assert balancer.call("GET /v1/readyz") == 200
        for client in [*standing, late, back]:
            client.close()


def test_hosts_that_are_out_hold_no_thread_each() -> None:
    """Guards against a thread for each host for as long as it is out, which may be days."""
    hosts = [{"host": f"h{n}", "dial": "127.0.0.1:1", "health": "in_service"} for n in range(50)]
    daemon = Daemon(parse_config({"listen": "127.0.0.1:0", "settings": SETTINGS, "known": {"seq": 1, "hosts": hosts}}))
    before = threading.active_count()
    for host in hosts:
        daemon.change_orders(partial(Orders.suspend, host=str(host["host"]), current_time=now()))
    assert threading.active_count() == before and len(daemon._move_schedules) == 50
