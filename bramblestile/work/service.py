"""The maintenance service of a balancer: one thread that polls the leader.

At a voter it also keeps the replicated state and may lead.

No request waits for this thread. Incoming messages wait in a bounded queue. An operator's call gets its answer by
polling and never holds a lock. Each message is one datagram that the membership protocol seals and carries.
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

from bramblestile.clock import MICROSECOND, ZERO_DURATION, now
from bramblestile.fleet.gossip import Gossip
from bramblestile.fleet.messages import State
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.store.journal import Journal
from bramblestile.store.replica import Message, Replica
from bramblestile.work import messages, plan_state
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.participant import Participant
from bramblestile.work.plan import BALANCER_PREFIX, PlanError, parse
from bramblestile.work.plan_state import EXCLUDED_STAGES, PlanState, Stage, Status, load_state
from bramblestile.work.planner import MachineView, order_machines
from bramblestile.work.scheduler import Scheduler

TICK = timedelta(milliseconds=25)  # at a voter
IDLE_TICK = timedelta(milliseconds=100)  # at other balancers, and between two checks of this balancer's own lease
MAX_QUEUED_MESSAGES = 2048  # further messages are dropped, as datagrams may be
MAX_ENTRIES_BYTES = 600  # of log entries in one message between voters
# Longer than a slow sync and a busy core; only the next step of a plan waits for an election.
ELECTION_TIMEOUT = timedelta(milliseconds=1200)
MAX_PROPOSALS_AT_ONCE = 16  # of proposals that do not depend on one another
FILE_VERSION = "version 1"
# How long a voter's published management address is valid; it is published again after a third of this.
ADDRESS_LIFETIME = timedelta(minutes=1)
CALL_TIMEOUT = timedelta(milliseconds=850)  # an operator's call is answered within 1 s
# The leader plans by loads while a plan is active, so it then asks all machines for theirs. Otherwise a balancer asks
# only where it sends to: a leader among 120 balancers then knew the loads of two machines of 40, and each client was
# moved 1.19 times.
PROBE_INTERVAL = timedelta(milliseconds=500)
PROBE_BATCH = 64  # machines probed at a time, in rotation
_message_decoder = msgspec.msgpack.Decoder(Message)
_encode = msgspec.msgpack.encode


@dataclass(slots=True, frozen=True)
class RoutingConstraints:
    """What the plan requires of this balancer's routing.

    Attributes:
        closed_hosts: Hosts that get no new requests.
        draining_since: Hosts whose open connections are moved away, and since when.
        returned_at: Hosts that have returned, and when; they count as started then.
        weight_factors: Factors on the weights of hosts whose turn is still to come.
        drain_self: Whether this balancer sends its own clients away.
    """

    closed_hosts: frozenset[str] = frozenset()
    draining_since: Mapping[str, timedelta] = field(default_factory=dict)
    returned_at: Mapping[str, timedelta] = field(default_factory=dict)
    weight_factors: Mapping[str, float] = field(default_factory=dict)
    drain_self: bool = False


class Balancer(Protocol):
    """What the service needs from the rest of the process."""

    def hosts(self) -> list[str]:
        """Return the names of the hosts that this balancer may send to."""

    def has_no_sends_in_progress(self, host: str) -> bool:
        """Return whether no request to this host is being written."""

    def connections(self, hosts: Iterable[str]) -> dict[str, int]:
        """Return the number of open connections to each of these hosts, without those that have none."""

    def connection_count(self) -> int:
        """Return the number of all open connections."""

    def unready_reason(self) -> str | None:
        """Return why this process cannot serve; None if it can."""

    def machine_views(self) -> dict[str, MachineView]:
        """Return all listed machines as this balancer sees them."""

    def probe_loads(self, hosts: Iterable[str]) -> None:
        """Ask these hosts for their loads, each at most once at a time, without waiting for the answers."""

    def suspended_hosts(self) -> list[str]:
        """Return the hosts that an operator has suspended at this balancer."""

    def apply_constraints(self, constraints: RoutingConstraints) -> None:
        """Route by these constraints from now on."""


@dataclass(slots=True)
class OperatorCall:
    """An operator's call in progress.

    Attributes:
        verb: The operation, as in the path of the management API.
        text: The plan file, or the name of a machine or balancer.
        answer: HTTP status and body; None until it is known.
        deadline: When the call fails if the change has not been committed.
        condition: Holds once the change has been committed.
    """

    verb: str
    text: str = ""
    answer: tuple[int, str] | None = None
    deadline: timedelta = ZERO_DURATION
    condition: Callable[[PlanState], bool] | None = None


class MaintenanceService:
    """Runs the maintenance protocol of one balancer in a thread of its own.

    ``directory`` holds a voter's journal; None at other balancers. ``state_directory`` holds what the next process of
    this balancer needs to know; None: nothing is saved. ``management_address`` is published for calls to the leader.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        directory: Path | None,
        state_directory: Path | None,
        gossip: Gossip,
        balancer: Balancer,
        counters: Counters,
        management_address: str = "",
    ) -> None:
        self.name, self.voters = name, voters
        self._gossip, self._balancer, self._counters = gossip, balancer, counters
        self._management_address = management_address
        self._log = Log(part="work")
        self._inbox: queue.Queue[tuple[str, bytes]] = queue.Queue(MAX_QUEUED_MESSAGES)
        self._submitted: queue.Queue[OperatorCall] = queue.Queue(64)
        self._stopped = threading.Event()
        self.first_reply = threading.Event()  # set once a leader has answered
        epoch = gossip.epoch
        self._random = Random(f"{name} {epoch}")
        self._state_path = None if state_directory is None else state_directory / f"bramblestile-{name}.work"
        self.participant = Participant(name, epoch)
        self._saved: dict[str, Any] = {}
        self._restore()
        self.replica: Replica | None = None
        self.scheduler = Scheduler(name)
        if directory is not None and name in voters:
            journal = Journal(directory / f"{name}.work")
            self.replica = Replica(
                name, voters, journal, Random(f"{name} {epoch} votes"), now(), MAX_ENTRIES_BYTES, ELECTION_TIMEOUT
            )
        self._plan_cache: tuple[int, PlanState] = (-1, PlanState())  # the applied log index, and the plan as of it
        self._queued_entries: list[tuple[str, str]] = []
        self._pending_calls: list[OperatorCall] = []
        self._command_threads: dict[str, threading.Thread] = {}
        self._command_results: queue.SimpleQueue[tuple[str, str, str]] = queue.SimpleQueue()  # plan, machine, failure
        self._suspended_by_balancer: dict[str, tuple[str, ...]] = {}
        self._constraints = RoutingConstraints()
        self._draining_since: dict[str, timedelta] = {}
        self._returned_at: dict[str, timedelta] = {}
        self._publish_at = now()
        self._cleanup_at = now()
        self._is_leader = False
        self._probe_at = self._apply_at = now()
        self._probe_offset = 0
        gossip.on_payload = self._enqueue
        self._thread = threading.Thread(target=self._run, name="work", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the journal."""
        self._stopped.set()
        self._thread.join(0.5)
        if self.replica is not None:
            self.replica.journal.close()

    def allows(self, host: str) -> bool:
        """Return whether a request may be sent to this host now; called before every send.

        It reads without a lock: ``Participant.handle_reply`` extends a lease only after it has stored which machines
        are excluded.
        """
        return self.participant.allows(host, now())

    # The thread.

    def _enqueue(self, sender: str, payload: bytes) -> None:
        try:
            self._inbox.put_nowait((sender, payload))
        except queue.Full:
            self._counters.add("work_letters_dropped")

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._run_once()
            except Exception:
                # An internal error must not end the thread: the leases of other balancers depend on it.
                self._counters.add("faults")
                self._log.exception("fault")
                time.sleep(TICK.total_seconds())

    def _run_once(self) -> None:
        """Handle messages until the next tick, then do what is due as a voter, as the leader and as a participant."""
        until = now() + TICK if self.replica is not None else min(now() + IDLE_TICK, self.participant.next_poll_at)
        while (remaining := until - now()) > ZERO_DURATION:
            try:
                sender, payload = self._inbox.get(timeout=remaining.total_seconds())
            except queue.Empty:
                break
            self._handle(sender, payload)
        current_time = now()
        if self.replica is not None:
            self._send_to_voters(self.replica.tick(current_time))
            self._log_changes()
            self._lead(self.replica, current_time)
        if current_time >= self._apply_at:
            self._apply_at = current_time + IDLE_TICK
            self._apply_constraints(current_time)
        if current_time >= self.participant.next_poll_at:
            self._poll(current_time)
        self._process_calls(current_time)
        if self.replica is not None and self._management_address and current_time >= self._publish_at:
            self._publish_at = current_time + ADDRESS_LIFETIME / 3
            self._gossip.publish("management", self._management_address.encode(), ADDRESS_LIFETIME)

    def _handle(self, sender: str, payload: bytes) -> None:
        """Handle one datagram: a reply to a poll, a message between voters, or a poll.

        A poll that reaches a voter that does not lead is passed on to the leader, once.
        """
        try:
            if payload[:1] == b"r":
                message: Message | Poll | Reply = _message_decoder.decode(payload[1:])
            else:
                message = messages.decode_message(payload)
        except (ValueError, msgspec.MsgspecError) as error:
            self._counters.add("work_malformed")
            self._log.warning_rate_limited("work", peer=sender, text=str(error))
            return
        current_time = now()
        if isinstance(message, Reply):
            self.first_reply.set()
            if self.participant.handle_reply(message, current_time):
                self._apply_at = current_time
            self._save()
        elif self.replica is None:
            return
        elif isinstance(message, Message):
            if message.sender == sender:
                self._send_to_voters(self.replica.receive(message, current_time))
                self._log_changes()
        elif self.replica.is_active_leader(current_time):
            self._answer_poll(message, self.replica, current_time)
        elif self.replica.leader not in ("", self.name) and not message.hops:
            self._gossip.send(self.replica.leader, messages.encode_message(msgspec.structs.replace(message, hops=1)))

    def _send_to_voters(self, outgoing: Iterable[tuple[str, Message]]) -> None:
        for recipient, message in outgoing:
            self._gossip.send(recipient, b"r" + _encode(message))

    def _poll(self, current_time: timedelta) -> None:
        """Send a poll with this balancer's state: mostly to the known leader, sometimes to a voter drawn at random.

        Only the leader replies; the random voter may be a new one that this balancer does not know yet.
        """
        excluded = list(self.participant.excluded)
        quiesced = [
            h
            for h in excluded
            if (
                self._constraints.drain_self
                if h == self.participant.machine_name
                else self._balancer.has_no_sends_in_progress(h)
            )
        ]
        connections = self._balancer.connections(excluded) if excluded else {}
        if self.participant.is_excluded:
            connections[self.participant.machine_name] = self._balancer.connection_count()
        poll = self.participant.poll(current_time, quiesced, connections, self._balancer.unready_reason() is None)
        poll = msgspec.structs.replace(poll, suspended_hosts=tuple(self._balancer.suspended_hosts()[:8]))
        to_leader = self.participant.leader and self._random.random() < 0.7
        self._gossip.send(
            self.participant.leader if to_leader else self._random.choice(self.voters), messages.encode_message(poll)
        )

    # This balancer's own part.

    def _apply_constraints(self, current_time: timedelta) -> None:
        """Update when each machine was excluded and returned, and give the balancer the constraints that follow."""
        participant = self.participant
        excluded = set(participant.excluded)
        for host in excluded - set(self._draining_since):
            self._draining_since[host] = current_time
            self._returned_at.pop(host, None)
        for host in set(self._draining_since) - excluded:
            del self._draining_since[host]
            self._returned_at[host] = current_time
        if not participant.is_active():
            self._returned_at = {h: t for h, t in self._returned_at.items() if current_time - t < timedelta(minutes=10)}
        closed_hosts = frozenset(h for h in self._balancer.hosts() if not participant.allows(h, current_time))
        constraints = RoutingConstraints(
            closed_hosts=closed_hosts,
            draining_since=dict(self._draining_since),
            returned_at=dict(self._returned_at),
            weight_factors=participant.weight_factors(),
            drain_self=participant.is_excluded,
        )
        if constraints != self._constraints:
            self._balancer.apply_constraints(constraints)
            self._constraints = constraints  # polls may confirm them from here on

    def _save(self) -> None:
        """Save what the next process of this balancer must know, so that it does not send to excluded machines."""
        participant = self.participant
        saved = {
            "kept": FILE_VERSION,
            **{key: _to_plain(getattr(participant, attribute)) for attribute, key in SAVED_ATTRIBUTES.items()},
        }
        if self._state_path is None or {k: v for k, v in saved.items() if k not in UNSAVED_ALONE} == {
            k: v for k, v in self._saved.items() if k not in UNSAVED_ALONE
        }:
            return
        temporary = self._state_path.with_name(f"{self._state_path.name}.{os.getpid()}")
        try:
            temporary.write_text(json.dumps(saved))
            os.rename(temporary, self._state_path)
            self._saved = saved
        except OSError as error:
            self._log.warning_rate_limited("work", text=f"cannot save the state for the next process: {error}")

    def _restore(self) -> None:
        if self._state_path is None or not self._state_path.exists():
            return
        try:
            loaded = json.loads(self._state_path.read_text())
            if loaded["kept"] != FILE_VERSION:  # the key that holds the version of the file's format
                raise ValueError("of another version")
            values = {
                attribute: _from_plain(getattr(self.participant, attribute), loaded[key])
                for attribute, key in SAVED_ATTRIBUTES.items()
            }
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as error:
            self._log.warning("work", file=self._state_path.name, text=f"saved state ignored: {error!r}")
            return
        for attribute, value in values.items():
            setattr(self.participant, attribute, value)

    # The replicated state, and the leader's part.

    def _plan(self) -> PlanState:
        assert self.replica is not None
        if self._plan_cache[0] != self.replica.last_applied:
            self._plan_cache = self.replica.last_applied, load_state(self.replica.values)
        return self._plan_cache[1]

    def _log_changes(self) -> None:
        assert self.replica is not None
        changes, self.replica.changes = self.replica.changes, []
        for key, value in changes:
            if (
                key.startswith((plan_state.KEY_PREFIX + "m/", plan_state.KEY_PREFIX + "status"))
                and value
                and self._is_leader
            ):
                self._log.info("work", key=key.removeprefix(plan_state.KEY_PREFIX), value=value)

    def _answer_poll(self, poll: Poll, replica: Replica, current_time: timedelta) -> None:
        plan = self._plan()
        self.scheduler.begin_term(replica.term, current_time)
        self.scheduler.apply(plan, replica.last_applied, current_time)
        reply, proposal = self.scheduler.handle_poll(poll, plan, replica.last_applied, current_time)
        self._suspended_by_balancer[poll.name] = poll.suspended_hosts
        encoded = messages.encode_message(reply)
        if len(encoded) > messages.MAX_MESSAGE_BYTES:
            encoded = messages.encode_message(msgspec.structs.replace(reply, names=(), completed=()))
        self._gossip.send(poll.name, encoded)
        if proposal is not None and replica.last_applied == replica.journal.last_index_and_term()[0]:
            self._propose(replica, proposal, current_time)

    def _propose(self, replica: Replica, proposal: tuple[str, str], current_time: timedelta) -> None:
        _, outgoing = replica.propose(*proposal, current_time)
        self._send_to_voters(outgoing)
        self._log_changes()

    def _lead(self, replica: Replica, current_time: timedelta) -> None:
        """Do the leader's work of one tick, if this balancer leads."""
        was_leader, self._is_leader = self._is_leader, replica.is_active_leader(current_time)
        if was_leader != self._is_leader:
            self._log.info("work", leads=self._is_leader, term=replica.term)
        if not self._is_leader:
            self._queued_entries.clear()
            return
        plan, scheduler = self._plan(), self.scheduler
        scheduler.begin_term(replica.term, current_time)
        scheduler.apply(plan, replica.last_applied, current_time)
        members = self._gossip.states()
        scheduler.departed = {name for name in plan.roster if members.get(name) is State.LEFT}
        scheduler.nonparticipants = {
            name for name, state in members.items() if state <= State.SUSPECT and name not in plan.roster
        }
        while not self._command_results.empty():
            plan_id, machine, failure = self._command_results.get()
            self._command_threads.pop(machine, None)
            if plan_id == plan.id:
                scheduler.failures.update({machine: failure} if failure else {})
                scheduler.finished.update(() if failure else {machine})
        if plan.is_active and current_time >= self._probe_at:
            self._probe_at = current_time + PROBE_INTERVAL
            self._probe_loads()
        if replica.last_applied != replica.journal.last_index_and_term()[0]:
            return  # an earlier proposal is not committed yet
        batch = [*self.scheduler.roster_updates(plan), *self._queued_entries][:MAX_PROPOSALS_AT_ONCE]
        for proposal in batch:  # they depend on one another only by their order in the log
            if proposal in self._queued_entries:
                self._queued_entries.remove(proposal)
            self._propose(replica, proposal, current_time)
        if batch:
            return
        self._start_commands(plan)
        next_step = scheduler.next_step(
            plan, self._candidates(plan.targets_balancers, plan, current_time), current_time
        ) or self._roster_cleanup(plan, members, current_time)
        if scheduler.should_step_down:
            self._send_to_voters(replica.transfer_leadership(current_time))
        if next_step is not None:
            if next_step == plan_state.status_entry(plan.id, Status.ENDED):
                self._queued_entries += plan_state.history_entries(plan, replica.values, current_time // MICROSECOND)
            self._propose(replica, next_step, current_time)

    def _probe_loads(self) -> None:
        hosts = [host for host in self._balancer.hosts() if host not in self.participant.excluded]
        first = self._probe_offset % max(1, len(hosts))
        self._balancer.probe_loads((hosts[first:] + hosts[:first])[:PROBE_BATCH])
        self._probe_offset = first + PROBE_BATCH

    def _fleet(self) -> dict[str, MachineView]:
        suspended = {host for hosts in self._suspended_by_balancer.values() for host in hosts}
        return {
            name: replace(view, suspended=True) if name in suspended else view
            for name, view in self._balancer.machine_views().items()
        }

    def _candidates(self, targets_balancers: bool, plan: PlanState, current_time: timedelta) -> dict[str, MachineView]:
        """Return the machines that a plan may name: image servers, or the balancers that take part."""
        if not targets_balancers:
            return self._fleet()
        halls, members = self._gossip.halls(), self._gossip.states()
        return {
            BALANCER_PREFIX + name: MachineView(
                halls.get(name, ""),
                is_voter=name in self.voters,
                is_leader=name == self.name,
                up=members.get(name) is State.ALIVE and self.scheduler.is_serving(name, current_time),
            )
            for name in plan.roster
        }

    def _roster_cleanup(
        self, plan: PlanState, members: Mapping[str, State], current_time: timedelta
    ) -> tuple[str, str] | None:
        """Return the removal of a balancer that is no longer a member; only while no plan is active."""
        if plan.is_active or current_time < self._cleanup_at:
            return None
        self._cleanup_at = current_time + timedelta(seconds=1)
        departed = [name for name in plan.roster if name not in members or members[name] is State.LEFT]
        return plan_state.roster_removal(departed[0]) if departed else None

    def _start_commands(self, plan: PlanState) -> None:
        """Run the command for each machine that is out.

        Each leader runs it once, so it must tolerate a second run.
        """
        if not plan.command:
            return
        for machine in plan.machines.values():
            if (
                machine.stage is Stage.OUT
                and machine.name not in self._command_threads
                and machine.name not in self.scheduler.finished
                and machine.name not in self.scheduler.failures
            ):
                words = [word.replace("{}", machine.name.removeprefix(BALANCER_PREFIX)) for word in plan.command]
                self._command_threads[machine.name] = threading.Thread(
                    target=self._run_command,
                    args=(plan.id, machine.name, words, plan.limits.time_limit),
                    daemon=True,
                    name="work " + machine.name,
                )
                self._command_threads[machine.name].start()

    def _run_command(self, plan_id: str, machine: str, words: list[str], time_limit: timedelta) -> None:
        failure = ""
        try:
            completed = subprocess.run(
                words, timeout=time_limit.total_seconds(), stdin=subprocess.DEVNULL, capture_output=True, check=False
            )
            if completed.returncode:
                failure = (
                    f"its command ended with {completed.returncode}: "
                    f"{completed.stderr[-80:].decode('utf-8', 'replace')}"
                )
        except subprocess.TimeoutExpired:
            failure = f"its command took over {time_limit}"
        except (OSError, ValueError) as error:
            failure = f"its command: {error}"
        self._command_results.put((plan_id, machine, failure))

    # Operators.

    def submit(self, verb: str, text: str = "") -> OperatorCall:
        """Queue an operator's call; the service's thread sets its ``answer`` soon."""
        call = OperatorCall(verb, text, deadline=now() + CALL_TIMEOUT)
        try:
            self._submitted.put_nowait(call)
        except queue.Full:
            call.answer = 503, "too many calls"
        return call

    def leader_address(self) -> str | None:
        """Return the leader's management address; None if this balancer leads or the address is not known."""
        leader = self.participant.leader if self.replica is None else self.replica.leader
        address = self._gossip.shared_values("management").get(leader)
        return None if leader == self.name or address is None else address.decode("utf-8", "replace")

    def _process_calls(self, current_time: timedelta) -> None:
        while not self._submitted.empty():
            call = self._submitted.get()
            if self.replica is None or not self.replica.is_active_leader(current_time):
                call.answer = 503, "there is no leader now; what is out stays out, nothing new leaves"
                continue
            try:
                self._execute(call, self.replica, current_time)
            except PlanError as error:
                call.answer = 409, str(error)
        for call in list(self._pending_calls):
            if call.condition is not None and self._is_leader and call.condition(self._plan()):
                call.answer = 200, call.answer[1] if call.answer else "yes"
            elif current_time >= call.deadline:
                call.answer = 503, "not committed in time; it may still take effect: check what is shown"
            else:
                continue
            self._pending_calls.remove(call)

    def _execute(self, call: OperatorCall, replica: Replica, current_time: timedelta) -> None:
        """Execute an operator's call on the leader. Raises PlanError for one that is not valid."""
        plan, scheduler = self._plan(), self.scheduler
        match call.verb:
            case "show":
                call.answer = (
                    200,
                    json.dumps(scheduler.progress(plan, current_time) | {"leader": self.name, "roster": plan.roster}),
                )
            case "history":
                call.answer = 200, json.dumps(plan_state.read_history(replica.values))
            case "plan" | "start":
                self._start_plan(call, plan, replica, current_time)
            case "pause" | "resume" | "abort":
                self._change_status(call, plan)
            case "done" | "drop":
                machine = plan.machines.get(call.text) or plan.machines.get(BALANCER_PREFIX + call.text)
                machine = machine if plan.is_active else None
                if machine is None:
                    raise PlanError(f"{call.text}: not a machine of the active plan")
                self._finish_machine(call, plan, machine.stage, machine.name)
            case "forget":
                if call.text not in plan.roster:
                    raise PlanError(f"{call.text}: not a balancer of the roster")
                self._queued_entries.append(plan_state.roster_removal(call.text))
                self._await_condition(call, lambda latest, name=call.text: name not in latest.roster)  # type: ignore[misc]
            case _:
                call.answer = 404, "no such call"

    def _await_condition(self, call: OperatorCall, condition: Callable[[PlanState], bool]) -> None:
        call.condition = condition
        self._pending_calls.append(call)

    def _start_plan(self, call: OperatorCall, plan: PlanState, replica: Replica, current_time: timedelta) -> None:
        """Start the plan of the call, or answer with the order of its machines if the verb is ``plan``."""
        request = parse(call.text)
        fleet = self._candidates(request.targets_balancers, plan, current_time)
        if call.verb == "start" and (plan.is_active or self._queued_entries):
            reason = f"the plan {plan.id} is {plan.status}" if plan.is_active else "a plan is being written"
            raise PlanError(f"{reason}: one at a time")
        # Members that take no part, except the bystanders: those for which the operator vouches.
        nonparticipants = sorted(self.scheduler.nonparticipants.difference(request.bystanders))
        if nonparticipants and not request.targets_balancers:
            raise PlanError(
                f"bystanders: {', '.join(nonparticipants[:3])}: in the fleet, but takes no part in maintenance: "
                "nothing would keep it from sending to these machines"
            )
        names, fallback_count = order_machines(request, fleet)
        if call.verb == "plan":
            call.answer = (
                200,
                json.dumps(
                    {
                        "order": names,
                        # The fallback: machines that leave only while the leader hears from every balancer.
                        "refuge": names[len(names) - fallback_count :],
                        "hall": {n: fleet[n].hall for n in names},
                        "busy": plan.id or None,
                    }
                ),
            )
            return
        plan_id = f"{current_time // MICROSECOND:x}-{self.name}"
        self._queued_entries += plan_state.plan_entries(plan_id, request, names, fallback_count, replica.values)
        self._await_condition(call, lambda latest: latest.id == plan_id and latest.is_active)

    def _change_status(self, call: OperatorCall, plan: PlanState) -> None:
        transitions = {"pause": (Status.RUNNING, Status.PAUSED), "resume": (Status.PAUSED, Status.RUNNING)}
        if not plan.is_active or (call.verb != "abort" and plan.status not in transitions[call.verb]):
            raise PlanError(f"the plan is {plan.status}")
        wanted = Status.ABORTED if call.verb == "abort" else transitions[call.verb][1]
        self._queued_entries.append(plan_state.status_entry(plan.id, wanted))
        self._await_condition(call, lambda latest: latest.status in (wanted, Status.ENDED))

    def _finish_machine(self, call: OperatorCall, plan: PlanState, stage: Stage, machine: str) -> None:
        """Record that the work on a machine is done, or drop a held machine from the plan."""
        if call.verb == "drop":
            if stage is not Stage.HELD:
                raise PlanError(f"{machine} is {stage}, not held")
            self._queued_entries.append(plan_state.machine_entry(plan.id, machine, Stage.DROPPED, "by an operator"))
        elif stage not in (Stage.OUT, Stage.HELD):
            raise PlanError(f"{machine} is {stage}, not out")
        else:
            self.scheduler.finished.add(machine)
        self._await_condition(call, lambda latest: latest.machines[machine].stage not in EXCLUDED_STAGES)


# Attributes of Participant that are saved for the next process, each with its key in the file.
SAVED_ATTRIBUTES = {
    "term": "term",
    "applied_version": "seen",
    "plan_id": "plan",
    "status": "status",
    "announced_count": "ahead",
    "machine_count": "count",
    "excluded": "alone",
    "announced": "window",
    "fallback": "refuge",
    "completed": "over",
    "names": "names",
}
UNSAVED_ALONE = ("term", "seen")  # keys whose change alone is not worth a write


def _to_plain(value: Any) -> Any:
    return sorted(value) if isinstance(value, (set, frozenset)) else value


def _from_plain(current: Any, loaded: Any) -> Any:
    if isinstance(current, (set, frozenset)):
        loaded = type(current)(str(item) for item in loaded)
    if type(loaded) is not type(current):
        raise ValueError(f"unexpected value {loaded!r:.40}")
    return loaded
