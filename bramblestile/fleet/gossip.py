"""The membership protocol on the network: one UDP socket, one thread, one lock.

Guaranteed: before each protocol step all datagrams that have arrived are handled, up to ``MAX_DATAGRAMS_PER_STEP``, so
that a process that resumes after a pause does not suspect members whose messages are in its own socket buffer; a flood
of foreign datagrams costs one hash each and no memory; no other thread ever waits for the socket.
"""

from __future__ import annotations

import contextlib
import json
import os
import select
import socket
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta
from random import Random
from typing import Any

from bramblestile.clock import MICROSECOND, ZERO_DURATION, now, to_milliseconds
from bramblestile.fleet.membership import Change, Membership, Outgoing, ProtocolConfig
from bramblestile.fleet.messages import (
    MAX_MESSAGE_BYTES,
    Kind,
    MemberRecord,
    Message,
    MessageError,
    State,
    from_msgpack,
    to_msgpack,
)
from bramblestile.fleet.publish_schedule import PublishSchedule
from bramblestile.fleet.sealing import OVERHEAD_BYTES, Sealer, SealError
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.sockets import Address

MAX_DATAGRAMS_PER_STEP = 512  # handling them takes 5 ms
SOCKET_BUFFER_BYTES = 1 << 20  # requested; holds what arrives during a pause of 2 s at 1,000 members
MAX_RESENDABLE = 64  # addresses whose last message is kept, to be sent again if the process there has a new epoch
MAX_RESEND_AGE = timedelta(seconds=1)
RETRY_INTERVAL = timedelta(milliseconds=500)  # between attempts to bind an address that is in use, and after a fault
METRICS_INTERVAL = timedelta(seconds=1)
MAX_POLL_WAIT = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
MetricSource = Callable[[], dict[str, float]]  # returns this member's load metrics by name


class Gossip:
    """A running member of the fleet.

    With ``patient`` an address that is in use is tried again until it is free, because the previous process of this
    balancer may still hold it.

    Raises:
        OSError: if the address cannot be bound and ``patient`` is false.
    """

    def __init__(
        self,
        listen: Address,
        local: MemberRecord,
        seeds: Sequence[Address],
        keys: Sequence[bytes],
        counters: Counters,
        config: ProtocolConfig | None = None,
        patient: bool = False,
        seed: str = "",
    ) -> None:
        # Later starts have larger epochs; the random bits tell apart processes that start in the same microsecond.
        epoch = now() // MICROSECOND << 11 | int.from_bytes(os.urandom(2), "big") & 2047
        local = MemberRecord(local.name, local.host, local.port, epoch, hall=local.hall, version=local.version)
        self._counters, self._log = counters, Log(part="fleet")
        self._listen = listen
        self._membership = Membership(local, seeds, Random(f"{seed} {epoch}"), now(), config)
        self._random = Random(f"{seed} {epoch} figures")
        self._sealer = Sealer(epoch, keys)
        self._lock = threading.Lock()  # guards the membership; never held during socket calls
        self._send_lock = threading.Lock()  # guards the sealer's counter and the resendable messages
        self._resendable: OrderedDict[Address, tuple[timedelta, bytes]] = OrderedDict()
        self._schedules: dict[str, PublishSchedule] = {}
        self._next_metrics_at = now()
        self.metric_source: MetricSource | None = None
        self.on_payload: Callable[[str, bytes], None] | None = None  # sender's name and payload; must not block
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_write, False)
        self._poll = select.poll()  # select() is limited to 1,024 descriptors
        self._poll.register(self._wake_read, select.POLLIN)
        self._stopped = False
        self._sock: socket.socket | None = None
        self._next_bind_at = now()
        try:
            self._sock = self._bind()
        except OSError:
            if not patient:
                raise
            self._log.warning("fleet", text=f"{listen[0]}:{listen[1]} is in use; trying again")
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)

    def _bind(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            sock.bind(self._listen)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._poll.register(sock, select.POLLIN)
        return sock

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, timeout: timedelta = timedelta(milliseconds=200)) -> None:
        """Announce that this member leaves, and end the thread."""
        self._stopped = True
        self._wake()
        self._thread.join(timeout.total_seconds())

    def rekey(self, keys: Sequence[bytes]) -> None:
        """Replace the keys: the first one seals from now on, all of them open."""
        self._sealer.keys = tuple(keys) or (b"",)

    # For other threads.

    def shared_values(self, key: str) -> dict[str, bytes]:
        """Return the published values of a key by member."""
        with self._lock:
            return self._membership.entry_table.values_by_owner(key, now())

    @property
    def epoch(self) -> int:
        """The epoch of this process."""
        return self._membership.local.epoch

    def states(self) -> dict[str, State]:
        """Return the states of all known members, this one included."""
        with self._lock:
            membership = self._membership
            return {membership.local.name: State(membership.local.state)} | {
                name: peer.state for name, peer in membership.peers.items()
            }

    def halls(self) -> dict[str, str]:
        """Return the halls of all known members, this one included."""
        with self._lock:
            membership = self._membership
            return {membership.local.name: membership.local.hall} | {
                name: peer.record.hall for name, peer in membership.peers.items()
            }

    def send(self, name: str, payload: bytes) -> None:
        """Send a payload to one member in one datagram, which may be lost; unknown names are ignored."""
        with self._lock:
            membership = self._membership
            local = membership.local
            record = (
                local if name == local.name else membership.peers[name].record if name in membership.peers else None
            )
        if record is not None and membership.same_name_process is None:
            self._send([((record.host, record.port), Message(Kind.DIRECT, local, payload=payload))])

    def publish(self, key: str, value: bytes, ttl: timedelta) -> None:
        """Spread a value of this member to all members; it replaces an earlier one with this key."""
        with self._lock:
            self._membership.publish(key, value, ttl, now())
        self._wake()

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # the pipe is full, so the thread will wake up anyway
            os.write(self._wake_write, b"x")

    def operator_view(self) -> dict[str, Any]:
        """Return this member's view of all members and of itself, for operators.

        ``muted_by`` is the address of another process that has this member's name, because of which this one sends
        nothing; ``trip_ms`` is the mean round trip, ``late_ms`` how late this member's steps run, and ``news`` the
        number of updates that are queued for gossip. Each member's ``by`` names those that accuse it.
        """
        at = now()
        with self._lock:
            membership = self._membership
            rows = [_row(membership.local, 0, {})] if membership.same_name_process is None else []
            for peer in membership.peers.values():
                rows.append(
                    _row(
                        peer.record,
                        to_milliseconds(at - peer.since),
                        {"by": sorted(peer.suspicion.accusers)} if peer.suspicion else {},
                    )
                )
            metrics = {key: membership.entry_table.values_by_owner(key, at) for key in ("traffic",)}
            health, same_name_process, counts = (
                membership.health.score,
                membership.same_name_process,
                dict(membership.counts),
            )
            delays = {
                "trip_ms": to_milliseconds(membership.round_trips.mean),
                "trip_bound_ms": to_milliseconds(membership.round_trips.upper_bound),
                "late_ms": to_milliseconds(membership.lateness),
                "news": len(membership.broadcasts),
            }
        for row in rows:
            for key, by_member in metrics.items():
                if row["name"] in by_member:
                    row[key] = _parse_metric(by_member[row["name"]])
        return {
            "me": membership.local.name,
            "muted_by": None if same_name_process is None else f"{same_name_process.host}:{same_name_process.port}",
            "health": health,
            "counts": counts,
            **delays,
            "members": sorted(rows, key=lambda row: str(row["name"])),
        }

    # The thread.

    def _run(self) -> None:
        while not self._stopped:
            try:
                self._run_once()
            except Exception:
                # A bug in the handling of one message must not end this process's membership.
                self._counters.add("faults")
                self._log.exception("fault")
                time.sleep(RETRY_INTERVAL.total_seconds())
        with self._lock:
            out = self._membership.leave(now())
        self._send(out)
        if self._sock is not None:
            self._sock.close()

    def _run_once(self) -> None:
        """Wait for datagrams or the next step of the protocol, handle them, and report changes of the membership."""
        if self._sock is None and now() >= self._next_bind_at:
            self._next_bind_at = now() + RETRY_INTERVAL
            with contextlib.suppress(OSError):
                self._sock = self._bind()
        with self._lock:
            next_step_at = self._membership.next_step_at() if self._sock is not None else self._next_bind_at
        wait = max(ZERO_DURATION, min(next_step_at - now(), MAX_POLL_WAIT))
        for fd, _ in self._poll.poll(wait / MILLISECOND):
            if fd == self._wake_read:
                os.read(self._wake_read, 4096)
            elif self._sock is not None:
                self._receive_all(self._sock)
        if self._sock is None:
            return
        self._publish_metrics()
        at = now()
        with self._lock:
            out = self._membership.step(at) if at >= self._membership.next_step_at() else []
            changes, self._membership.changes = self._membership.changes, []
            self._sealer.epoch = self._membership.local.epoch
        self._send(out)
        if changes:
            self._report_changes(changes)

    def _receive_all(self, sock: socket.socket) -> None:
        for _ in range(MAX_DATAGRAMS_PER_STEP):
            try:
                datagram, source = sock.recvfrom(MAX_MESSAGE_BYTES + OVERHEAD_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error for an earlier datagram: no process listens there
            self._handle_datagram(datagram, source)

    def _handle_datagram(self, datagram: bytes, source: Address) -> None:
        """Open, decode and handle one datagram; one that is not valid is counted and dropped.

        An empty message asks for the last message to be sent again, sealed for the new epoch of its sender.
        """
        try:
            sender_epoch, raw = self._sealer.open(datagram)
            if not raw:
                self._resend(source, sender_epoch)
                return
            message = from_msgpack(raw)
        except SealError as error:
            self._counters.add(f"fleet_{error}")
            if error.reply is not None:
                self._write(error.reply, source)
            return
        except MessageError as error:
            self._counters.add("fleet_malformed")
            self._log.warning_rate_limited("fleet", peer=f"{source[0]}:{source[1]}", text=str(error))
            return
        self._counters.add("fleet_heard")
        if message.kind == Kind.DIRECT and message.sender is not None and self.on_payload is not None:
            self.on_payload(message.sender.name, message.payload)
        with self._lock:
            out = self._membership.receive(message, source, now())
        self._send(out)

    def _resend(self, to: Address, epoch: int) -> None:
        """Send the last message to an address again, sealed for the epoch that the process there has announced."""
        with self._lock:
            self._membership.epochs[to] = epoch
        with self._send_lock:
            sent_at, raw = self._resendable.pop(to, (ZERO_DURATION, b""))
            sealed = self._sealer.seal(raw, epoch)
        if raw and now() - sent_at <= MAX_RESEND_AGE:
            self._write(sealed, to)

    def _send(self, out: Sequence[Outgoing]) -> None:
        """Seal and send messages; the last one to each address is kept, in case it has to be sent again."""
        for to, message in out:
            raw = to_msgpack(message)
            if len(raw) > MAX_MESSAGE_BYTES:
                self._counters.add("fleet_too_large")  # a bug; the receiver would drop it as well
                continue
            with self._send_lock:
                self._resendable.pop(to, None)
                self._resendable[to] = now(), raw
                if len(self._resendable) > MAX_RESENDABLE:
                    self._resendable.popitem(last=False)
                sealed = self._sealer.seal(raw, self._membership.epochs.get(to, 0))
            self._write(sealed, to)

    def _write(self, datagram: bytes, to: Address) -> None:
        if self._sock is None:
            return
        try:
            self._sock.sendto(datagram, to)
            self._counters.add("fleet_sent")
            self._counters.add("fleet_sent_bytes", len(datagram))
        except OSError:
            self._counters.add("fleet_unsent")  # equivalent to a datagram lost on its way

    def _publish_metrics(self) -> None:
        at = now()
        if self.metric_source is None or at < self._next_metrics_at:
            return
        self._next_metrics_at = at + METRICS_INTERVAL
        for key, value in self.metric_source().items():
            with self._lock:
                ttl = self._schedules.setdefault(key, PublishSchedule(self._random)).ttl_if_due(
                    value, self._membership.size, at
                )
                if ttl is not None:
                    self._membership.publish(key, f"{value:.6g}".encode(), ttl, at)

    def _report_changes(self, changes: list[Change]) -> None:
        """Count and log state changes; suspicions are only counted."""
        for change in changes:
            if change.after is State.SUSPECT or (change.before, change.after) == (State.SUSPECT, State.ALIVE):
                self._counters.add("fleet_suspected", change.after is State.SUSPECT)
                continue
            after = "forgotten" if change.after is None else change.after.name.lower()
            self._counters.add(f"fleet_{after}")
            accusers = {"by": " ".join(change.accusers)} if change.accusers else {}
            self._log.info("fleet", member=change.name, state=after, **accusers)


def _row(record: MemberRecord, for_ms: int, extra: dict[str, Any]) -> dict[str, Any]:
    """Return one member's row of the operator view; ``for_ms`` is the time since its state began here.

    The keys ``life`` and ``turn`` hold the epoch and the incarnation of its record.
    """
    return {
        "name": record.name,
        "state": State(record.state).name.lower(),
        "for_ms": for_ms,
        "at": f"{record.host}:{record.port}",
        "life": record.epoch,
        "turn": record.incarnation,
        "hall": record.hall,
        "version": record.version,
        **extra,
    }


def _parse_metric(raw: bytes) -> float | None:
    try:
        value = json.loads(raw)
    except ValueError:
        return None
    return float(value) if isinstance(value, (int, float)) else None
