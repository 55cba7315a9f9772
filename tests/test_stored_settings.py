"""Settings of upstream hosts that the replicated store holds stay in force, in whichever order their news arrives."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from random import Random

import pytest

from bramblestile.memory.cluster import UpstreamHost
from bramblestile.process import config
from bramblestile.process.daemon import Daemon
from bramblestile.process.front import Front
from bramblestile.wire.agent import CheckResult
from tests.test_process import SETTINGS
from vanegw.interface import ListMode, State

A, B = UpstreamHost("a", ("127.0.0.1", 1)), UpstreamHost("b", ("127.0.0.1", 2))
SECOND = timedelta(seconds=1)
WAIT_S = 0.3


@pytest.fixture
def daemon(tmp_path: Path) -> Iterator[Daemon]:
    """A daemon with both fronts and a store, not started: the tests bring it the news themselves."""
    table = {"name": "s1", "directory": str(tmp_path), "peers": {"s1": "127.0.0.1:1"}}
    values = {"listen": "127.0.0.1:0", "nats": {"listen": "127.0.0.1:0"}, "settings": SETTINGS, "store": table}
    created = Daemon(config.parse_config(values))
    assert [front.name for front in created.fronts] == ["lines", "nats"] and created.store_peer is not None
    yield created
    created.store_peer.stop()


def store(daemon: Daemon, key: str, value: str) -> None:
    """Report an entry as the store does once the peers have committed it."""
    assert daemon.store_peer is not None
    daemon.store_peer.apply_entry(key, value)


def state_of(front: Front, name: str = "a") -> State:
    """Return a listed host's effective state, on which the cluster and the decision module have to agree."""
    host = front.cluster.find(name)
    assert host is not None and front.decisions._balancer.backends[name].info.state is host.state
    return host.state


def test_stored_drain_of_a_host_that_is_listed_later_is_applied(daemon: Daemon) -> None:
    """Guards against: a restarted instance hears the store before the list, and sends clients to the drained host."""
    store(daemon, "hosts/a", "drain")
    for front in daemon.fronts:
        front.decisions.update_list(ListMode.COMPLETE, [A, B])
        assert (state_of(front), state_of(front, "b")) == (State.DRAINING, State.RUNNING)


@pytest.mark.parametrize(
    "news",
    [
        [(ListMode.COMPLETE, [B]), (ListMode.COMPLETE, [A, B])],
        [(ListMode.CHANGES, [replace(A, state=State.GONE)]), (ListMode.CHANGES, [A])],
        [(ListMode.CHANGES, [replace(A, started_at=5 * SECOND)])],
        [(ListMode.CHANGES, [replace(A, state=State.DRAINING)]), (ListMode.CHANGES, [A])],
    ],
    ids=["not listed for a while", "gone for a while", "restarted", "listed as draining for a while"],
)
def test_stored_drain_survives_what_discovery_reports(
    daemon: Daemon, news: list[tuple[ListMode, list[UpstreamHost]]]
) -> None:
    """Guards against: a drained host that restarts or is not listed for a while gets clients at every instance."""
    for front in daemon.fronts:
        front.decisions.update_list(ListMode.COMPLETE, [A, B])
    store(daemon, "hosts/a", "drain")
    for front in daemon.fronts:
        for mode, hosts in news:
            front.decisions.update_list(mode, hosts)
        assert state_of(front) is State.DRAINING


def test_stored_drain_survives_a_health_check_and_the_other_way_round(daemon: Daemon) -> None:
    """Guards against: the next good check of a host ends a drain that operators have committed."""
    for front in daemon.fronts:
        front.decisions.update_list(ListMode.COMPLETE, [A, B])
    store(daemon, "hosts/a", "drain")
    store(daemon, "hosts/b", "up 50%")
    for front in daemon.fronts:
        front.on_check_result("a", CheckResult(takes_work=True, weight_share=1.0))
        front.on_check_result("b", CheckResult(takes_work=False))
        assert (state_of(front), state_of(front, "b")) == (State.DRAINING, State.DRAINING)
    store(daemon, "hosts/b", "up")
    assert [state_of(front, "b") for front in daemon.fronts] == [State.DRAINING] * 2


@pytest.mark.parametrize("last_value", ["up", "100%", "ready 50%", ""])
def test_only_the_last_value_of_the_store_counts(daemon: Daemon, last_value: str) -> None:
    """Guards against: instances differ by how much of the log they have seen. A removed key (empty) sets nothing."""
    for front in daemon.fronts:
        front.decisions.update_list(ListMode.COMPLETE, [A, B])
    store(daemon, "hosts/a", "drain")
    assert [state_of(front) for front in daemon.fronts] == [State.DRAINING] * 2
    store(daemon, "hosts/a", last_value)
    assert [state_of(front) for front in daemon.fronts] == [State.RUNNING] * 2


@pytest.mark.parametrize("seed", range(20))
def test_stored_drain_holds_in_any_order_of_news(daemon: Daemon, seed: int) -> None:
    """Guards against: some order of the store's entries, lists, restarts and checks loses or revives a setting."""
    random = Random(seed)
    stored = ""
    for step in range(200):
        event = random.choice(["store", "complete", "unlisted", "gone", "restart", "check"])
        if event == "store":
            stored = random.choice(["drain", "up", ""])
            store(daemon, "hosts/a", stored)
        for front in daemon.fronts:
            if event == "complete":
                front.decisions.update_list(ListMode.COMPLETE, [A, B])
            elif event == "unlisted":
                front.decisions.update_list(ListMode.COMPLETE, [B])
            elif event == "gone":
                front.decisions.update_list(ListMode.CHANGES, [replace(A, state=State.GONE)])
            elif event == "restart":
                front.decisions.update_list(ListMode.CHANGES, [replace(A, started_at=step * SECOND)])
            elif event == "check":
                front.on_check_result("a", CheckResult(takes_work=True))
            if front.cluster.find("a") is not None:
                expected = State.DRAINING if stored == "drain" else State.RUNNING
                assert state_of(front) is expected, (step, event, front.name)


def test_drain_that_is_stored_while_a_list_is_applied_is_not_overtaken_by_it(daemon: Daemon) -> None:
    """Guards against: the module learns of the older state last, places clients on the host and moves none away."""
    for front in daemon.fronts:
        front.decisions.update_list(ListMode.COMPLETE, [B])
        update = front.cluster.update
        stored = threading.Thread(target=store, args=(daemon, "hosts/a", "drain"))

        def update_and_wait(
            mode: ListMode,
            hosts: Sequence[UpstreamHost],
            update: Callable[..., list[UpstreamHost]] = update,
            stored: threading.Thread = stored,
        ) -> list[UpstreamHost]:
            effective = update(mode, hosts)
            stored.start()
            stored.join(WAIT_S)  # as when this thread is interrupted here
            return effective

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(front.cluster, "update", update_and_wait)
            front.decisions.update_list(ListMode.COMPLETE, [A, B])
        stored.join()
        assert state_of(front) is State.DRAINING
        store(daemon, "hosts/a", "up")
