"""Operators' orders: suspended hosts, drains, and the file that preserves them across restarts and upgrades."""

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
from tests.upgrade import SETTINGS, Client, upgradable_balancer
from vanegw.interface import ListMode, State

S = timedelta(seconds=1)
A, B = UpstreamHost("a", ("127.0.0.1", 1)), UpstreamHost("b", ("127.0.0.1", 2))
ORDERS = Orders({"a": 2 * S, "b": 3 * S}, {"c": timedelta(microseconds=7)}, True)


def test_a_suspension_survives_new_lists_restarts_and_a_host_that_disappears() -> None:
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
        host = cluster.find("a")
        assert host is None or host.state in (State.CLOSED, State.DRAINING)
        with cluster.guard_send(replace(A, started_at=listed.started_at)) as allowed:
            assert not allowed
    assert cluster.is_known("a") and not cluster.is_known("c")


def test_a_resumed_host_counts_as_just_started_until_the_list_shows_a_later_start() -> None:
    cluster = Cluster()
    cluster.update(ListMode.COMPLETE, [replace(A, started_at=3 * S)])
    cluster.apply_orders({"a"}, {})
    assert cluster.apply_orders((), {"a": 50 * S}) == ["a"]
    for listed_start, expected_start in ((None, 50), (3 * S, 50), (45 * S, 50), (60 * S, 60)):
        cluster.update(ListMode.CHANGES, [replace(A, started_at=listed_start)])
        host = cluster.find("a")
        assert host is not None and (host.started_at, host.state) == (expected_start * S, State.RUNNING)


def test_sends_that_began_before_the_suspension_count_as_in_progress() -> None:
    cluster = Cluster()
    cluster.update(ListMode.COMPLETE, [A])
    with cluster.guard_send(A) as allowed:
        assert allowed and not cluster.has_no_sends_in_progress("a")
        cluster.apply_orders({"a"}, {})
        with cluster.guard_send(A) as allowed_later:
            assert not allowed_later
    assert cluster.has_no_sends_in_progress("a")


def test_a_truncated_file_is_ignored_and_replaced_by_the_next_order(memory_path: Path) -> None:
    raw = orders.encode_orders(ORDERS)
    assert orders.decode_orders(raw) == ORDERS
    path = memory_path / "bramblestile-n1.orders"
    for length in range(len(raw)):
        path.write_bytes(raw[:length])
        assert OrderStore(memory_path, "n1").orders == Orders(), length
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
def test_a_malformed_file_changes_nothing(tmp_path: Path, raw: bytes) -> None:
    (tmp_path / "bramblestile-n1.orders").write_bytes(raw)
    assert OrderStore(tmp_path, "n1").orders == Orders()


def test_two_processes_do_not_lose_each_others_orders(tmp_path: Path) -> None:
    def suspend_hosts(first: int) -> None:
        store = OrderStore(tmp_path, "n1")
        for number in range(first, first + 50):
            while f"h{number}" not in store.orders.suspended:
                with contextlib.suppress(OrderNotSavedError):  # the other thread held the lock for too long
                    store.change(partial(Orders.suspend, host=f"h{number}", current_time=S))

    threads = [threading.Thread(target=suspend_hosts, args=(n,)) for n in (0, 50)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(OrderStore(tmp_path, "n1").orders.suspended) == 100
    assert not [f for f in os.listdir(tmp_path) if f.endswith(str(os.getpid()))]


def test_orders_of_the_other_process_are_read_at_the_next_reload(tmp_path: Path) -> None:
    first, second = OrderStore(tmp_path, "n1"), OrderStore(tmp_path, "n1")
    first.change(lambda orders: orders.suspend("a", S))
    assert second.reload() and second.orders.suspended == {"a": S} and not second.reload() and not first.reload()


def test_an_order_that_cannot_be_saved_is_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    without_folder = OrderStore(tmp_path / "gone", "n1")
    with pytest.raises(OrderNotSavedError, match=r"n1\.orders: No such file"):
        without_folder.change(lambda orders: orders.suspend("a", S))
    on_full_disk = OrderStore(tmp_path, "n1")
    monkeypatch.setattr(os, "write", lambda *_: 3)  # a full disk writes only a part
    with pytest.raises(OrderNotSavedError, match="no room"):
        on_full_disk.change(lambda orders: orders.suspend("a", S))
    assert (
        not without_folder.orders.suspended
        and not on_full_disk.orders.suspended
        and os.listdir(tmp_path) == ["bramblestile-n1.orders.lock"]
    )


def test_suspended_hosts_are_limited_and_old_resumptions_are_removed() -> None:
    with pytest.raises(OrderNotSavedError, match="out already"):
        Orders(dict.fromkeys(map(str, range(orders.MAX_SUSPENDED_HOSTS)), S)).suspend("one more", S)
    changed = Orders({"a": S}, {"b": 1 * S}).resume("a", orders.RESUMED_RETENTION + 2 * S, None)
    assert changed.resumed == {"a": orders.RESUMED_RETENTION + 2 * S}
    assert Orders().resume("a", S, None) == Orders()  # it was not suspended, so it was not restarted


@pytest.mark.parametrize(("listed_s", "expected_s"), [(None, 9), (3, 9), (7, 7), (12, 9)])
def test_a_resumed_host_counts_from_its_listed_restart_or_else_from_the_resumption(
    listed_s: int | None, expected_s: int
) -> None:
    started_at = None if listed_s is None else listed_s * S
    assert Orders({"a": 5 * S}).resume("a", 9 * S, started_at).resumed == {"a": expected_s * S}


@pytest.mark.parametrize("wire", ["lines", "nats"])
def test_a_request_for_a_host_that_is_suspended_meanwhile_is_sent_to_another(wire: str) -> None:
    """On both fronts: the host is suspended while the request waits for an answer elsewhere; nothing reaches it."""
    scenario = Scenario(wire, hosts=2, try_limit=6)
    cluster = scenario.front.cluster
    scenario.front.decisions.refresh_hosts(cluster.apply_orders({"b0"}, {}))
    scenario.run("c1 ask\n b1 taken\n b1 up\n c1 served\n b0 idle\n c2 ask\n b1 accept\n b1 taken\n b1 full\n b0 idle")


def test_a_host_stays_suspended_through_an_upgrade_until_it_is_resumed(tmp_path: Path) -> None:
    with upgradable_balancer(tmp_path, "a", "b") as (balancer, hosts):
        numbers = iter(range(1, 1000))

        def connect_clients(count: int) -> None:
            for _ in range(count):
                client = Client(balancer, next(numbers))
                assert client.is_established
                client.close()

        balancer.start()
        for path in ("image-servers/a/suspend", "image-servers/a/suspend"):
            assert balancer.call(f"PUT /v1/{path}") == 200
        assert balancer.call("PUT /v1/image-servers/z/suspend") == 404
        connect_clients(10)
        balancer.upgrade()
        connect_clients(10)
        assert not hosts["a"].first_lines and len(hosts["b"].first_lines) == 20
        before = now()
        assert balancer.call("PUT /v1/image-servers/a/resume") == 200
        balancer.processes[-1].kill()  # without a chance to report anything
        balancer.processes[-1].wait()
        balancer.start()
        assert OrderStore(tmp_path / "tmp", "n1").orders.resumed["a"] >= before - S
        connect_clients(30)
        assert hosts["a"].first_lines


def test_connections_of_a_suspended_host_are_moved_gradually(tmp_path: Path) -> None:
    """Guards against a third of all connections moving at once, 1 s after the call, and reconnecting to full hosts."""
    with upgradable_balancer(tmp_path, "a") as (balancer, _):
        balancer.start()
        clients = [Client(balancer, n) for n in range(1, 9)]
        called_at = now()
        assert balancer.call("PUT /v1/image-servers/a/suspend") == 200
        move_delays: list[timedelta] = []

        def wait_for_move(client: Client) -> None:
            assert client.reader.readline() == b"MOVE\r\n"
            move_delays.append(now() - called_at)

        threads = [threading.Thread(target=wait_for_move, args=(client,)) for client in clients]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        # The host stops at 2.25 s.
        assert len(move_delays) == 8 and 0.5 * S < sorted(move_delays)[4] < 1.6 * S and max(move_delays) < 2.2 * S
        for client in clients:
            client.close()


def test_a_drained_balancer_moves_its_clients_and_serves_again_after_activation(tmp_path: Path) -> None:
    """PING is refused at once, clients are moved within 4 s, and after the activation clients are served again."""
    with upgradable_balancer(tmp_path, "a") as (balancer, _):

        def ping() -> bytes:
            with socket.create_connection(balancer.client_socket.getsockname(), timeout=5) as sock:
                sock.sendall(b"PING\r\n")
                return sock.makefile("rb").readline()

        balancer.start()
        assert ping() == b"PONG\r\n"
        clients = [Client(balancer, n) for n in range(1, 6)]
        called_at = now()
        assert balancer.call("PUT /v1/balancer/drain") == 200
        assert ping() != b"PONG\r\n"
        late = Client(balancer, 9)  # the front end still sends requests for a moment
        assert late.is_established
        assert {c.reader.readline() for c in [*clients, late]} == {b"MOVE\r\n"}
        assert now() - called_at < 4 * S
        assert balancer.call("PUT /v1/balancer/activate") == 200
        assert ping() == b"PONG\r\n"
        returned = Client(balancer, 10)
        assert returned.is_established and returned.echoes()
        assert balancer.call("GET /v1/readyz") == 200
        for client in [*clients, late, returned]:
            client.close()


def test_suspended_hosts_hold_no_threads() -> None:
    """Guards against one thread for each suspended host: a host may be suspended for days."""
    hosts = [{"host": f"h{n}", "dial": "127.0.0.1:1", "health": "in_service"} for n in range(50)]
    daemon = Daemon(parse_config({"listen": "127.0.0.1:0", "settings": SETTINGS, "known": {"seq": 1, "hosts": hosts}}))
    before = threading.active_count()
    for host in hosts:
        daemon.change_orders(partial(Orders.suspend, host=str(host["host"]), current_time=now()))
    assert threading.active_count() == before and len(daemon._move_schedules) == 50
