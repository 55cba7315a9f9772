"""The order of work on the air: one thread that polls the leader, and at a voter keeps the agreement and may lead.

Guaranteed: nothing here is waited for by a request; what comes in waits in a bounded queue; whoever asks an operators'
call gets its answer by polling, never by holding a lock. What is sent goes by the membership's seal, one datagram each.
"""

from __future__ import annotations

import json
import os
import queue
import subprocess
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any, Protocol

import msgspec

from bramblestile.clock import MICROSECOND, NOTHING, now
from bramblestile.fleet.gossip import Gossip
from bramblestile.fleet.messages import State
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.store.journal import Journal
from bramblestile.store.replica import Message, Replica
from bramblestile.work import messages
from bramblestile.work import order as keys
from bramblestile.work.foreman import Foreman
from bramblestile.work.hand import Hand
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.order import LEFT_ALONE, Order, Stage, Status, load
from bramblestile.work.plan import BALANCER, PlanError, parse
from bramblestile.work.planner import Seen, settle

TICK = timedelta(milliseconds=25)  # of a voter
IDLE_TICK = timedelta(milliseconds=100)  # of all others, and between two looks at what our own leases have come to
WAITING = 2048  # letters that nobody has read yet; later ones are lost, as datagrams are
ROOM = 600  # bytes of entries in one letter between voters
ELECTION = timedelta(milliseconds=1200)  # beyond a slow sync and a busy core; nothing waits but the next step of work
AT_ONCE = 16  # proposals that do not hang on one another
KEPT = "version 1"
MANAGED_FOR = timedelta(minutes=1)  # a voter's management address holds so long, told again at a third of it
ANSWERED_WITHIN = timedelta(milliseconds=850)  # an operators' call is answered within 1 s
# By the leader alone, while a plan is on: it plans by loads. Otherwise it asks only where it sends to: with 120
# balancers it saw two machines of 40, and clients were moved 1.19 times.
LOOK_EVERY = timedelta(milliseconds=500)
LOOKS = 64  # machines at a time, in turn
_letter = msgspec.msgpack.Decoder(Message)
_encode = msgspec.msgpack.encode


@dataclass(slots=True, frozen=True)
class Bound:
    """What the order asks of this balancer and its cluster. ``closed``: nothing new there; ``left``: what stands there
    goes, since when; ``back``: counts as born then; ``lean``: the part of its weight by which it draws clients."""

    closed: frozenset[str] = frozenset()
    left: Mapping[str, timedelta] = field(default_factory=dict)
    back: Mapping[str, timedelta] = field(default_factory=dict)
    lean: Mapping[str, float] = field(default_factory=dict)
    drained: bool = False  # its own clients are sent away


class Balancer(Protocol):
    """What the office needs of the rest of the program."""

    def hosts(self) -> list[str]: ...

    def is_quiet(self, host: str) -> bool: ...

    def standing(self, hosts: Iterable[str]) -> dict[str, int]:
        """Connections of this balancer there."""

    def all_standing(self) -> int: ...

    def why_not_ready(self) -> str | None: ...

    def seen(self) -> dict[str, Seen]:
        """All listed machines as this balancer sees them."""

    def look(self, hosts: Iterable[str]) -> None:
        """Asks for their loads, each once at a time. Waits for nothing."""

    def by_hand(self) -> list[str]:
        """Taken out by an operator at this balancer."""

    def bind(self, bound: Bound) -> None: ...


@dataclass(slots=True)
class Asked:
    """An operators' call on its way; ``answer``: status and text, once it is known."""

    verb: str
    text: str = ""
    answer: tuple[int, str] | None = None
    until: timedelta = NOTHING
    holds: Callable[[Order], bool] | None = None


class Office:
    """``directory``: where a voter keeps what it promised; None at all others."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        directory: Path | None,
        kept_in: Path | None,
        gossip: Gossip,
        balancer: Balancer,
        counters: Counters,
        management: str = "",
    ) -> None:
        self.name, self.voters = name, voters
        self._gossip, self._balancer, self._counters = gossip, balancer, counters
        self._management = management
        self._log = Log(part="work")
        self._queue: queue.Queue[tuple[str, bytes]] = queue.Queue(WAITING)
        self._asked: queue.Queue[Asked] = queue.Queue(64)
        self._stopped = threading.Event()
        self.first_word = threading.Event()  # a leader has answered
        life = gossip.life
        self._random = Random(f"{name} {life}")
        self._path = None if kept_in is None else kept_in / f"bramblestile-{name}.work"
        self.hand = Hand(name, life)
        self._kept: dict[str, Any] = {}
        self._restore()
        self.replica: Replica | None = None
        self.foreman = Foreman(name)
        if directory is not None and name in voters:
            journal = Journal(directory / f"{name}.work")
            self.replica = Replica(name, voters, journal, Random(f"{name} {life} votes"), now(), ROOM, ELECTION)
        self._order: tuple[int, Order] = (-1, Order())
        self._plan_keys: list[tuple[str, str]] = []
        self._calls: list[Asked] = []
        self._working: dict[str, threading.Thread] = {}
        self._ended: queue.SimpleQueue[tuple[str, str, str]] = queue.SimpleQueue()  # plan, machine, what went wrong
        self._by_hand: dict[str, tuple[str, ...]] = {}
        self._bound = Bound()
        self._left: dict[str, timedelta] = {}
        self._back: dict[str, timedelta] = {}
        self._managed_at = now()
        self._tidied_at = now()
        self._led = False
        self._look_at = self._bind_at = now()
        self._looked = 0
        gossip.on_load = self._letter_came
        self._thread = threading.Thread(target=self._run, name="work", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join(0.5)
        if self.replica is not None:
            self.replica.journal.close()

    def allows(self, host: str) -> bool:
        """Asked at every send. Read without a lock: ``Hand.hear`` lengthens a lease only after it has taken in what is
        to be left alone."""
        return self.hand.allows(host, now())

    # The thread.

    def _letter_came(self, sender: str, payload: bytes) -> None:
        try:
            self._queue.put_nowait((sender, payload))
        except queue.Full:
            self._counters.add("work_letters_dropped")

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._turn()
            except Exception:
                # A fault of ours must not end what other balancers' leases count on.
                self._counters.add("faults")
                self._log.exception("fault")
                time.sleep(TICK.total_seconds())

    def _turn(self) -> None:
        until = now() + TICK if self.replica is not None else min(now() + IDLE_TICK, self.hand.due)
        while (left := until - now()) > NOTHING:
            try:
                sender, payload = self._queue.get(timeout=left.total_seconds())
            except queue.Empty:
                break
            self._hear(sender, payload)
        at = now()
        if self.replica is not None:
            self._mail(self.replica.tick(at))
            self._applied()
            self._lead(self.replica, at)
        if at >= self._bind_at:
            self._bind_at = at + IDLE_TICK
            self._bind(at)
        if at >= self.hand.due:
            self._poll(at)
        self._take_calls(at)
        if self.replica is not None and self._management and at >= self._managed_at:
            self._managed_at = at + MANAGED_FOR / 3
            self._gossip.tell("management", self._management.encode(), MANAGED_FOR)

    def _hear(self, sender: str, payload: bytes) -> None:
        try:
            if payload[:1] == b"r":
                letter: Message | Poll | Reply = _letter.decode(payload[1:])
            else:
                letter = messages.decoded(payload)
        except (ValueError, msgspec.MsgspecError) as error:
            self._counters.add("work_malformed")
            self._log.seldom("work", peer=sender, text=str(error))
            return
        at = now()
        if isinstance(letter, Reply):
            self.first_word.set()
            if self.hand.hear(letter, at):
                self._bind_at = at
            self._keep()
        elif self.replica is None:
            return
        elif isinstance(letter, Message):
            if letter.sender == sender:
                self._mail(self.replica.receive(letter, at))
                self._applied()
        elif self.replica.leads_and_knows(at):
            self._answer(letter, self.replica, at)
        elif self.replica.leader not in ("", self.name) and not letter.hops:
            self._gossip.send(self.replica.leader, messages.encoded(msgspec.structs.replace(letter, hops=1)))

    def _mail(self, mail: Iterable[tuple[str, Message]]) -> None:
        for to, message in mail:
            self._gossip.send(to, b"r" + _encode(message))

    def _poll(self, at: timedelta) -> None:
        alone = list(self.hand.alone)
        quiet = [h for h in alone if (self._bound.drained if h == self.hand.me else self._balancer.is_quiet(h))]
        standing = self._balancer.standing(alone) if alone else {}
        if self.hand.is_out:
            standing[self.hand.me] = self._balancer.all_standing()
        poll = self.hand.poll(at, quiet, standing, self._balancer.why_not_ready() is None)
        poll = msgspec.structs.replace(poll, by_hand=tuple(self._balancer.by_hand()[:8]))
        known = self.hand.leader and self._random.random() < 0.7
        self._gossip.send(self.hand.leader if known else self._random.choice(self.voters), messages.encoded(poll))

    # What this balancer does by it.

    def _bind(self, at: timedelta) -> None:
        hand = self.hand
        alone = set(hand.alone)
        for host in alone - set(self._left):
            self._left[host] = at
            self._back.pop(host, None)
        for host in set(self._left) - alone:
            del self._left[host]
            self._back[host] = at
        if not hand.is_on():
            self._back = {h: t for h, t in self._back.items() if at - t < timedelta(minutes=10)}
        closed = frozenset(h for h in self._balancer.hosts() if not hand.allows(h, at))
        bound = Bound(closed, dict(self._left), dict(self._back), hand.lean(), hand.is_out)
        if bound != self._bound:
            self._balancer.bind(bound)
            self._bound = bound  # from here on we may say so

    def _keep(self) -> None:
        """What the next process of this balancer must know: without it, it would send where nobody else does."""
        hand = self.hand
        kept = {"kept": KEPT, **{part: _plain(getattr(hand, part)) for part in KEPT_PARTS}}
        if self._path is None or {k: v for k, v in kept.items() if k not in LOOSE} == {
            k: v for k, v in self._kept.items() if k not in LOOSE
        }:
            return
        beside = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            beside.write_text(json.dumps(kept))
            os.rename(beside, self._path)
            self._kept = kept
        except OSError as error:
            self._log.seldom("work", text=f"not kept for the next process: {error}")

    def _restore(self) -> None:
        if self._path is None or not self._path.exists():
            return
        try:
            got = json.loads(self._path.read_text())
            if got["kept"] != KEPT:
                raise ValueError("of another version")
            parts = {part: _like(getattr(self.hand, part), got[part]) for part in KEPT_PARTS}
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as error:
            self._log.warning("work", file=self._path.name, text=f"served on without: {error!r}")
            return
        for part, value in parts.items():
            setattr(self.hand, part, value)

    # The agreement, and the leader's part.

    def _agreed(self) -> Order:
        assert self.replica is not None
        if self._order[0] != self.replica.applied:
            self._order = self.replica.applied, load(self.replica.values)
        return self._order[1]

    def _applied(self) -> None:
        assert self.replica is not None
        news, self.replica.news = self.replica.news, []
        for key, value in news:
            if key.startswith((keys.PREFIX + "m/", keys.PREFIX + "status")) and value and self._led:
                self._log.info("work", key=key.removeprefix(keys.PREFIX), value=value)

    def _answer(self, poll: Poll, replica: Replica, at: timedelta) -> None:
        order = self._agreed()
        self.foreman.lead(replica.term, at)
        self.foreman.apply(order, replica.applied, at)
        reply, proposal = self.foreman.hear(poll, order, replica.applied, at)
        self._by_hand[poll.name] = poll.by_hand
        raw = messages.encoded(reply)
        if len(raw) > messages.LARGEST:
            raw = messages.encoded(msgspec.structs.replace(reply, names=(), over=()))
        self._gossip.send(poll.name, raw)
        if proposal is not None and replica.applied == replica.journal.last()[0]:
            self._propose(replica, proposal, at)

    def _propose(self, replica: Replica, proposal: tuple[str, str], at: timedelta) -> None:
        _, mail = replica.propose(*proposal, at)
        self._mail(mail)
        self._applied()

    def _lead(self, replica: Replica, at: timedelta) -> None:
        led, self._led = self._led, replica.leads_and_knows(at)
        if led != self._led:
            self._log.info("work", leads=self._led, term=replica.term)
        if not self._led:
            self._plan_keys.clear()
            return
        order, foreman = self._agreed(), self.foreman
        foreman.lead(replica.term, at)
        foreman.apply(order, replica.applied, at)
        members = self._gossip.states()
        foreman.left = {name for name in order.roster if members.get(name) is State.LEFT}
        foreman.outside = {
            name for name, state in members.items() if state <= State.SUSPECT and name not in order.roster
        }
        while not self._ended.empty():
            plan, machine, wrong = self._ended.get()
            self._working.pop(machine, None)
            if plan == order.id:
                foreman.failed.update({machine: wrong} if wrong else {})
                foreman.finished.update(() if wrong else {machine})
        if order.is_on and at >= self._look_at:
            self._look_at = at + LOOK_EVERY
            self._look()
        if replica.applied != replica.journal.last()[0]:
            return  # one thing at a time
        at_once = [*self.foreman.to_enter(order), *self._plan_keys][:AT_ONCE]
        for proposal in at_once:  # none of them hangs on another but by its place in the log
            if proposal in self._plan_keys:
                self._plan_keys.remove(proposal)
            self._propose(replica, proposal, at)
        if at_once:
            return
        self._command(order)
        step = foreman.step(order, self._machines(order.of_balancers, order, at), at) or self._tidy(order, members, at)
        if foreman.hands_over:
            self._mail(replica.hand_over(at))
        if step is not None:
            if step == keys.status_key(order.id, Status.ENDED):
                self._plan_keys += keys.history_keys(order, replica.values, at // MICROSECOND)
            self._propose(replica, step, at)

    def _look(self) -> None:
        hosts = [host for host in self._balancer.hosts() if host not in self.hand.alone]
        first = self._looked % max(1, len(hosts))
        self._balancer.look((hosts[first:] + hosts[:first])[:LOOKS])
        self._looked = first + LOOKS

    def _fleet(self) -> dict[str, Seen]:
        by_hand = {host for hosts in self._by_hand.values() for host in hosts}
        return {
            name: replace(seen, by_hand=True) if name in by_hand else seen
            for name, seen in self._balancer.seen().items()
        }

    def _machines(self, of_balancers: bool, order: Order, at: timedelta) -> dict[str, Seen]:
        """What a plan may name: image servers, or the balancers that take part."""
        if not of_balancers:
            return self._fleet()
        halls, members = self._gossip.halls(), self._gossip.states()
        return {
            BALANCER + name: Seen(
                halls.get(name, ""),
                votes=name in self.voters,
                leads=name == self.name,
                up=members.get(name) is State.ALIVE and self.foreman.serves(name, at),
            )
            for name in order.roster
        }

    def _tidy(self, order: Order, members: Mapping[str, State], at: timedelta) -> tuple[str, str] | None:
        """Balancers that nobody knows any more leave the roster, while no plan is on."""
        if order.is_on or at < self._tidied_at:
            return None
        self._tidied_at = at + timedelta(seconds=1)
        gone = [name for name in order.roster if name not in members or members[name] is State.LEFT]
        return keys.forgotten_key(gone[0]) if gone else None

    def _command(self, order: Order) -> None:
        """Runs the work on each machine that is out, once for each leader: it must bear a second run."""
        if not order.command:
            return
        for machine in order.machines.values():
            if (
                machine.stage is Stage.OUT
                and machine.name not in self._working
                and machine.name not in self.foreman.finished
                and machine.name not in self.foreman.failed
            ):
                words = [word.replace("{}", machine.name.removeprefix(BALANCER)) for word in order.command]
                self._working[machine.name] = threading.Thread(
                    target=self._do,
                    args=(order.id, machine.name, words, order.limits.span),
                    daemon=True,
                    name="work " + machine.name,
                )
                self._working[machine.name].start()

    def _do(self, plan: str, machine: str, words: list[str], span: timedelta) -> None:
        wrong = ""
        try:
            done = subprocess.run(
                words, timeout=span.total_seconds(), stdin=subprocess.DEVNULL, capture_output=True, check=False
            )
            if done.returncode:
                wrong = f"its command ended with {done.returncode}: {done.stderr[-80:].decode('utf-8', 'replace')}"
        except subprocess.TimeoutExpired:
            wrong = f"its command took over {span}"
        except (OSError, ValueError) as error:
            wrong = f"its command: {error}"
        self._ended.put((plan, machine, wrong))

    # Operators.

    def ask(self, verb: str, text: str = "") -> Asked:
        """Answered in ``answer`` soon, by the office's thread."""
        made = Asked(verb, text, until=now() + ANSWERED_WITHIN)
        try:
            self._asked.put_nowait(made)
        except queue.Full:
            made.answer = 503, "too many calls"
        return made

    def leader_at(self) -> str | None:
        """The leader's management address; None where it is ourselves, or not known."""
        leader = self.hand.leader if self.replica is None else self.replica.leader
        told = self._gossip.told("management").get(leader)
        return None if leader == self.name or told is None else told.decode("utf-8", "replace")

    def _take_calls(self, at: timedelta) -> None:
        while not self._asked.empty():
            call = self._asked.get()
            if self.replica is None or not self.replica.leads_and_knows(at):
                call.answer = 503, "nobody leads now; what is out stays out, nothing new leaves"
                continue
            try:
                self._carry_out(call, self.replica, at)
            except PlanError as error:
                call.answer = 409, str(error)
        for call in list(self._calls):
            if call.holds is not None and self._led and call.holds(self._agreed()):
                call.answer = 200, call.answer[1] if call.answer else "yes"
            elif at >= call.until:
                call.answer = 503, "not agreed on in time; it may still come to hold: ask what is shown"
            else:
                continue
            self._calls.remove(call)

    def _carry_out(self, call: Asked, replica: Replica, at: timedelta) -> None:
        order, foreman = self._agreed(), self.foreman
        match call.verb:
            case "show":
                call.answer = 200, json.dumps(foreman.shown(order, at) | {"leader": self.name, "roster": order.roster})
            case "history":
                call.answer = 200, json.dumps(keys.history(replica.values))
            case "plan" | "start":
                self._begin(call, order, replica, at)
            case "pause" | "resume" | "abort":
                self._change(call, order)
            case "done" | "drop":
                machine = order.machines.get(call.text) or order.machines.get(BALANCER + call.text)
                machine = machine if order.is_on else None
                if machine is None:
                    raise PlanError(f"{call.text}: not a machine of the plan that is on")
                self._end(call, order, machine.stage, machine.name)
            case "forget":
                if call.text not in order.roster:
                    raise PlanError(f"{call.text}: not a balancer of the roster")
                self._plan_keys.append(keys.forgotten_key(call.text))
                self._wait(call, lambda now_, name=call.text: name not in now_.roster)  # type: ignore[misc]
            case _:
                call.answer = 404, "no such call"

    def _wait(self, call: Asked, holds: Callable[[Order], bool]) -> None:
        call.holds = holds
        self._calls.append(call)

    def _begin(self, call: Asked, order: Order, replica: Replica, at: timedelta) -> None:
        asked = parse(call.text)
        fleet = self._machines(asked.of_balancers, order, at)
        if call.verb == "start" and (order.is_on or self._plan_keys):
            told = f"the plan {order.id} is {order.status}" if order.is_on else "a plan is being written"
            raise PlanError(f"{told}: one at a time")
        outside = sorted(self.foreman.outside.difference(asked.bystanders))
        if outside and not asked.of_balancers:
            raise PlanError(
                f"bystanders: {', '.join(outside[:3])}: of the fleet, and no part in the order of work: "
                "nobody could keep it from sending there"
            )
        names, tail = settle(asked, fleet)
        if call.verb == "plan":
            call.answer = (
                200,
                json.dumps(
                    {
                        "order": names,
                        "refuge": names[len(names) - tail :],
                        "hall": {n: fleet[n].hall for n in names},
                        "busy": order.id or None,
                    }
                ),
            )
            return
        own = f"{at // MICROSECOND:x}-{self.name}"
        self._plan_keys += keys.begin(own, asked, names, tail, replica.values)
        self._wait(call, lambda now_: now_.id == own and now_.is_on)

    def _change(self, call: Asked, order: Order) -> None:
        allowed = {"pause": (Status.RUNNING, Status.PAUSED), "resume": (Status.PAUSED, Status.RUNNING)}
        if not order.is_on or (call.verb != "abort" and order.status not in allowed[call.verb]):
            raise PlanError(f"the plan is {order.status}")
        wanted = Status.ABORTED if call.verb == "abort" else allowed[call.verb][1]
        self._plan_keys.append(keys.status_key(order.id, wanted))
        self._wait(call, lambda now_: now_.status in (wanted, Status.ENDED))

    def _end(self, call: Asked, order: Order, stage: Stage, machine: str) -> None:
        """The operator's word that a machine's work is done, or that it is held no longer and stays as it is."""
        if call.verb == "drop":
            if stage is not Stage.HELD:
                raise PlanError(f"{machine} is {stage}, not held")
            self._plan_keys.append(keys.machine_key(order.id, machine, Stage.DROPPED, "by an operator"))
        elif stage not in (Stage.OUT, Stage.HELD):
            raise PlanError(f"{machine} is {stage}, not out")
        else:
            self.foreman.finished.add(machine)
        self._wait(call, lambda now_: now_.machines[machine].stage not in LEFT_ALONE)


KEPT_PARTS = ("term", "seen", "plan", "status", "ahead", "count", "alone", "window", "refuge", "over", "names")
LOOSE = ("term", "seen")  # alone they are not worth a write


def _plain(value: Any) -> Any:
    return sorted(value) if isinstance(value, (set, frozenset)) else value


def _like(held: Any, told: Any) -> Any:
    if isinstance(held, (set, frozenset)):
        told = type(held)(str(one) for one in told)
    if type(told) is not type(held):
        raise ValueError(f"{told!r:.40} makes no sense")
    return told
