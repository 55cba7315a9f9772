"""The replicated store: lost leaders, partitions and restarts, in simulated time and then over sockets."""

from __future__ import annotations

import json
import socket
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import pytest

from bramblestile import cli
from bramblestile.process import config
from bramblestile.process.daemon import Daemon
from bramblestile.store.journal import Journal, JournalError
from bramblestile.store.replica import ELECTION_TIMEOUT, MAX_BATCH_BYTES, Message, Replica
from bramblestile.wire import peers
from tests.test_process import SETTINGS

STEP = timedelta(milliseconds=10)
NAMES = ("p0", "p1", "p2", "p3", "p4")


class Network:
    """Peers in simulated time. A message arrives if its sender and its receiver are in the same partition."""

    def __init__(self, path: Path, seed: int, size: int = 3, max_batch_bytes: int = MAX_BATCH_BYTES) -> None:
        self.path, self.random, self.now, self.max_batch_bytes = path, Random(seed), timedelta(0), max_batch_bytes
        path.mkdir(exist_ok=True)
        self.names = NAMES[:size]
        self.partition = dict.fromkeys(self.names, 0)
        self.peers = {name: self.make_replica(name) for name in self.names}
        self.messages: list[tuple[str, str, Message]] = []
        self.leader_of_term: dict[int, str] = {}
        self.committed: dict[int, tuple[int, str, str]] = {}

    def make_replica(self, name: str) -> Replica:
        return Replica(
            name, self.names, Journal(self.path / name), Random(self.random.random()), self.now, self.max_batch_bytes
        )

    def restart(self, name: str) -> None:
        self.peers[name].journal.close()
        self.peers[name] = self.make_replica(name)

    def run(self, steps: int = 200, loss: float = 0.0) -> None:
        for _ in range(steps):
            self.now += STEP
            for name, peer in self.peers.items():
                self.messages += [(name, to, m) for to, m in peer.tick(self.now)]
            messages, self.messages = self.messages, []
            self.random.shuffle(messages)
            for sender, to, message in messages:
                if self.partition[sender] == self.partition[to] and self.random.random() >= loss:
                    received = Message.from_json(json.loads(json.dumps(message.to_json())))
                    self.messages += [(to, back, m) for back, m in self.peers[to].receive(received, self.now)]
            self.check()

    def check(self) -> None:
        """Assert one leader per term, one lease holder, and committed entries that stay and are equal at every peer."""
        for name, peer in self.peers.items():
            if peer.role == "leader":
                assert self.leader_of_term.setdefault(peer.term, name) == name
            snapshot_index = peer.journal.snapshot_index
            for index, entry in enumerate(
                peer.journal.entries[: peer.commit_index - snapshot_index], snapshot_index + 1
            ):
                assert self.committed.setdefault(index, entry) == entry
        assert sum(peer.holds_lease(self.now) for peer in self.peers.values()) <= 1

    def leader(self, partition: int = 0) -> Replica:
        leaders = [p for n, p in self.peers.items() if p.role == "leader" and self.partition[n] == partition]
        return max(leaders, key=lambda p: p.term)

    def put(self, value: str, partition: int = 0) -> None:
        index, messages = self.leader(partition).propose("k", value, self.now)
        assert index
        self.messages += [(self.leader(partition).name, to, m) for to, m in messages]

    def committed_values(self, name: str) -> list[str]:
        peer = self.peers[name]
        return [value for _, key, value in peer.journal.entries[: peer.commit_index] if key]


@pytest.fixture(params=range(5))
def net(request: pytest.FixtureRequest, tmp_path: Path) -> Network:
    network = Network(tmp_path, request.param)
    network.run()
    return network


def test_a_lost_leader_is_replaced_and_catches_up(net: Network) -> None:
    net.put("one")
    net.run(20)
    old = net.leader().name
    net.partition[old] = 1
    net.run()
    assert net.leader().name != old
    net.put("two")
    net.run(20)
    net.partition[old] = 0
    net.run()
    assert [net.committed_values(name) for name in net.names] == [["one", "two"]] * 3


def test_the_minority_of_a_partition_commits_nothing(net: Network) -> None:
    old = net.leader().name
    net.partition[old] = 1
    net.put("lost", partition=1)
    net.run()
    assert net.committed_values(old) == []
    net.put("kept")
    net.run(20)
    net.partition[old] = 0
    net.run()
    assert [net.committed_values(name) for name in net.names] == [["kept"]] * 3


def test_a_restart_of_all_peers_keeps_committed_entries_and_votes(net: Network) -> None:
    net.put("one")
    net.run(20)
    before = {n: (p.term, p.journal.voted_for) for n, p in net.peers.items()}
    for name in net.names:
        net.restart(name)
    assert before == {n: (p.term, p.journal.voted_for) for n, p in net.peers.items()}
    net.run()
    net.put("two")
    net.run(20)
    assert [net.committed_values(name) for name in net.names] == [["one", "two"]] * 3


def apply_random_faults(net: Network) -> None:
    for round_number in range(25):
        net.partition = {name: net.random.randrange(2) for name in net.names}
        if round_number % 3 == 0:
            net.restart(net.random.choice(net.names))
        net.run(60, loss=0.2)
        for peer in [p for p in net.peers.values() if p.role == "leader"]:
            messages = (
                peer.propose("k", f"{round_number} {peer.name}", net.now)[1]
                if round_number % 2
                else peer.transfer_leadership(net.now)
            )
            net.messages += [(peer.name, to, m) for to, m in messages]


def test_leadership_is_transferred_and_the_old_leader_has_no_lease(net: Network) -> None:
    net.put("one")
    net.run(20)
    old = net.leader()
    net.messages += [(old.name, to, m) for to, m in old.transfer_leadership(net.now)]
    assert net.messages and not old.holds_lease(net.now)
    net.run(ELECTION_TIMEOUT // STEP // 2)  # shorter than any peer's own election timeout
    assert (
        net.leader() is not old
        and net.leader().is_active_leader(net.now)
        and net.committed_values(net.leader().name) == ["one"]
    )


def test_a_leader_keeps_leading_if_no_peer_can_take_over(net: Network) -> None:
    leader = net.leader()
    net.partition[leader.name] = 1
    net.run(ELECTION_TIMEOUT // STEP + 1)
    assert leader.role == "leader" and leader.transfer_leadership(net.now) == [] and leader.role == "leader"


def transfer_and_cut_off(net: Network) -> None:
    old = net.leader()
    messages = [(old.name, to, m) for to, m in old.transfer_leadership(net.now)]
    net.partition[old.name] = 1
    net.messages = [(to, back, m) for _, to, message in messages for back, m in net.peers[to].receive(message, net.now)]
    net.run(ELECTION_TIMEOUT // STEP // 2)
    assert net.leader().holds_lease(net.now)


def test_a_leader_that_is_cut_off_after_a_transfer_has_no_lease(net: Network) -> None:
    transfer_and_cut_off(net)


def test_an_injected_bug_in_the_leadership_transfer_is_detected(net: Network, monkeypatch: pytest.MonkeyPatch) -> None:
    """The bug: a leader keeps its lease after it has transferred leadership."""
    monkeypatch.setattr(
        Replica,
        "transfer_leadership",
        lambda self, at: [(peer, Message("now", self.term, self.name)) for peer in self.other_peers[:1]],
    )
    with pytest.raises(AssertionError):
        transfer_and_cut_off(net)


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_lose_no_committed_entry(tmp_path: Path, seed: int) -> None:
    net = Network(tmp_path, seed, size=5)
    apply_random_faults(net)
    net.partition = dict.fromkeys(net.names, 0)
    net.run(400)
    net.put("last")
    net.run(100)
    assert (
        len({tuple(net.committed_values(name)) for name in net.names}) == 1 and net.committed_values("p0")[-1] == "last"
    )


@pytest.mark.parametrize("seed", range(6))
def test_log_compaction_and_snapshot_chunks_bring_all_peers_up_to_date(
    tmp_path: Path, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("bramblestile.store.replica.COMPACTION_THRESHOLD", 6)
    net = Network(tmp_path, seed, size=5, max_batch_bytes=40)
    for round_number in range(30):
        # Each peer is cut off for six rounds, one after the other.
        net.partition = {name: int(name == NAMES[round_number // 6 % 5]) for name in net.names}
        if round_number % 4 == 0:
            net.restart(net.random.choice(net.names))
        net.run(60, loss=0.1)
        for peer in [p for p in net.peers.values() if p.role == "leader"]:
            peer.propose(f"k{round_number % 7}", f"{round_number} {peer.name}" if round_number % 5 else "", net.now)
    net.partition = dict.fromkeys(net.names, 0)
    net.run(600)
    assert len({tuple(sorted(peer.values.items())) for peer in net.peers.values()}) == 1
    assert all(peer.journal.snapshot_index > 0 for peer in net.peers.values())
    changes: dict[str, str] = {}
    for key, value in net.peers["p2"].changes:
        changes[key] = value
    assert {k: v for k, v in changes.items() if v} == net.peers["p2"].values


def test_a_peer_that_was_cut_off_does_not_depose_a_working_leader(net: Network) -> None:
    """Without pre-vote the peer starts elections while it is cut off, and returns with a higher term."""
    leader = net.leader()
    away = next(name for name in net.names if name != leader.name)
    net.partition[away] = 1
    net.run(400)
    net.partition[away] = 0
    net.run(100)
    assert net.leader() is leader and leader.holds_lease(net.now) and net.peers[away].term == leader.term


def test_a_leader_without_contact_to_a_majority_steps_down(net: Network) -> None:
    leader = net.leader()
    net.run(5)
    assert leader.is_active_leader(net.now)
    net.partition[leader.name] = 1
    net.run(ELECTION_TIMEOUT // STEP)
    assert not leader.holds_lease(net.now)
    net.run(3 * ELECTION_TIMEOUT // STEP)
    assert leader.role != "leader"


def test_after_a_failed_write_a_peer_neither_votes_nor_acknowledges(
    net: Network, monkeypatch: pytest.MonkeyPatch
) -> None:
    leader = net.leader()

    def fail(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", fail)
    assert leader.propose("k", "lost", net.now) == (0, [])
    monkeypatch.undo()
    assert leader.journal.failed and leader.role == "follower"
    net.run(300)
    assert net.leader() is not leader and leader.tick(net.now) == []


def test_a_journal_is_locked_and_an_unreadable_line_is_an_error(tmp_path: Path) -> None:
    journal = Journal(tmp_path / "j")
    with pytest.raises(JournalError, match="another process"):
        Journal(tmp_path / "j")
    journal.save_vote(1, "p1")
    journal.save_vote(2, "p1")
    journal.close()
    raw = (tmp_path / "j").read_bytes()
    (tmp_path / "j").write_bytes(b"what is this\n" + raw)
    with pytest.raises(JournalError, match="line 1"):
        Journal(tmp_path / "j")


def test_an_incomplete_last_line_is_dropped(tmp_path: Path) -> None:
    journal = Journal(tmp_path / "j")
    journal.save_vote(3, "p1")
    journal.write_entries(0, [(3, "k", "v")])
    journal.close()
    complete = (tmp_path / "j").read_bytes()
    (tmp_path / "j").write_bytes(complete + b'{"at":1,"entries":[[3,"k"')
    reloaded = Journal(tmp_path / "j")
    assert (reloaded.term, reloaded.voted_for, reloaded.entries) == (3, "p1", [(3, "k", "v")])
    reloaded.close()
    assert (tmp_path / "j").read_bytes() == complete


def test_over_sockets_a_host_command_survives_the_leader_and_a_restart(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    reserved = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    addresses = {f"p{n}": s.getsockname()[:2] for n, s in enumerate(reserved)}
    for s in reserved:
        s.close()
    host = {"host": "a", "dial": "127.0.0.1:1", "health": "in_service"}

    def start_daemon(name: str) -> Daemon:
        table = {n: f"{a[0]}:{a[1]}" for n, a in addresses.items()}
        daemon = Daemon(
            config.parse_config(
                {
                    "listen": "127.0.0.1:0",
                    "settings": SETTINGS,
                    "known": {"hosts": [host]},
                    "store": {"name": name, "directory": str(tmp_path), "peers": table},
                }
            )
        )
        daemon.start()
        return daemon

    def call_until(request: dict[str, Any], peer: str, accept: Any) -> dict[str, Any]:
        for _ in range(100):  # each call is bounded, and a leader is found within seconds
            answer = peers.send_command(addresses[peer], request, timedelta(seconds=4))
            if accept(answer):
                return answer
            daemons[peer].stopping.wait(0.05)
        raise AssertionError(answer)

    daemons = {name: start_daemon(name) for name in addresses}
    set_request = {"do": "set", "key": "hosts/a", "value": "drain"}
    first_leader = call_until(set_request, "p0", lambda reply: reply["ok"])["leader"]
    stopped = daemons[first_leader]
    stopped.stop_store()
    others = [name for name in addresses if name != first_leader]
    for name in others:
        call_until({"do": "get", "key": "hosts/a"}, name, lambda reply: reply["value"] == "drain")
        assert daemons[name].health_report().takes_work is False
    call_until({**set_request, "value": "up 50%"}, others[0], lambda reply: reply["ok"])
    daemons[first_leader] = start_daemon(first_leader)
    call_until({"do": "get", "key": "hosts/a"}, first_leader, lambda reply: reply["value"] == "up 50%")
    assert daemons[first_leader].health_report().takes_work is True
    peer = "{}:{}".format(*addresses[first_leader])
    assert cli.main(["store", "get", peer, "hosts/a"]) == 0 and cli.main(["store", "set", peer]) == 2
    assert capsys.readouterr().out == "up 50%\n"
    assert not peers.send_command(addresses[first_leader], {"do": "sing"}, timedelta(seconds=1))["ok"]
    for daemon in daemons.values():
        daemon.stop_store()
