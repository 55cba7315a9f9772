"""The membership on the air: one UDP socket, one thread, one lock.

Guaranteed: before each step all that has arrived is heard, as far as ``AT_ONCE`` goes, so that a process that wakes
does not accuse others of what lies in its own buffer; a flood of foreign datagrams costs a hash each and nothing that
grows; no other thread ever waits for the socket.
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
from bramblestile.fleet.members import Change, Members, Out, Pace
from bramblestile.fleet.messages import LARGEST, Fact, Kind, Message, MessageError, State, decoded, encoded
from bramblestile.fleet.sealing import OVERHEAD, Seal, SealError
from bramblestile.fleet.telling import Telling
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.sockets import Address

AT_ONCE = 512  # datagrams heard between two steps; 5 ms of them
BUFFER = 1 << 20  # bytes asked for the socket's buffer: a pause of 2 s at 1,000 members
UNHEARD = 64  # last words to addresses that may have started anew, said again when they tell their life
UNHEARD_FOR = timedelta(seconds=1)
AGAIN = timedelta(milliseconds=500)  # between two tries for an address that another process still has
FIGURES_EVERY = timedelta(seconds=1)
LONGEST_WAIT = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
Figures = Callable[[], dict[str, float]]  # names and values of what this member has to tell


class Gossip:
    """``patient``: another process of this balancer may hold the address a while longer; OSError otherwise."""

    def __init__(
        self,
        listen: Address,
        me: Fact,
        seeds: Sequence[Address],
        keys: Sequence[bytes],
        counters: Counters,
        pace: Pace | None = None,
        patient: bool = False,
        seed: str = "",
    ) -> None:
        life = now() // MICROSECOND << 11 | int.from_bytes(os.urandom(2), "big") & 2047
        me = Fact(me.name, me.host, me.port, life, hall=me.hall, version=me.version)
        self._counters, self._log = counters, Log(part="fleet")
        self._listen = listen
        self._members = Members(me, seeds, Random(f"{seed} {life}"), now(), pace)
        self._random = Random(f"{seed} {life} figures")
        self._seal = Seal(life, keys)
        self._lock = threading.Lock()  # the members; held over no socket
        self._sending = threading.Lock()  # counts of the seal, and what is kept to be said again
        self._unheard: OrderedDict[Address, tuple[timedelta, bytes]] = OrderedDict()
        self._told: dict[str, Telling] = {}
        self._figures_at = now()
        self.figures: Figures | None = None
        self.on_load: Callable[[str, bytes], None] | None = None  # the sender's name, and what it sent; must not wait
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_write, False)
        self._poll = select.poll()  # not select, which ends at 1,024 descriptors
        self._poll.register(self._wake_read, select.POLLIN)
        self._stopped = False
        self._sock: socket.socket | None = None
        self._try_at = now()
        try:
            self._sock = self._open()
        except OSError:
            if not patient:
                raise
            self._log.warning("fleet", text=f"{listen[0]}:{listen[1]} is still taken; trying on")
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)

    def _open(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind(self._listen)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._poll.register(sock, select.POLLIN)
        return sock

    def start(self) -> None:
        self._thread.start()

    def stop(self, within: timedelta = timedelta(milliseconds=200)) -> None:
        """Says that it leaves, and ends."""
        self._stopped = True
        self._wake()
        self._thread.join(within.total_seconds())

    def rekey(self, keys: Sequence[bytes]) -> None:
        """The first seals from now on, all of them open."""
        self._seal.keys = tuple(keys) or (b"",)

    # What others ask.

    def told(self, key: str) -> dict[str, bytes]:
        """The entry of this name of each member that has one."""
        with self._lock:
            return self._members.board.all(key, now())

    @property
    def life(self) -> int:
        return self._members.me.life

    def states(self) -> dict[str, State]:
        """All that are known, ourselves among them."""
        with self._lock:
            m = self._members
            return {m.me.name: State(m.me.state)} | {name: known.state for name, known in m.known.items()}

    def halls(self) -> dict[str, str]:
        """Of all that are known, ourselves among them."""
        with self._lock:
            m = self._members
            return {m.me.name: m.me.hall} | {name: known.fact.hall for name, known in m.known.items()}

    def send(self, name: str, load: bytes) -> None:
        """To one member, once: lost as any datagram may be, or where nobody of this name is known."""
        with self._lock:
            m = self._members
            me = m.me
            fact = me if name == me.name else m.known[name].fact if name in m.known else None
        if fact is not None and m.holder is None:
            self._send([((fact.host, fact.port), Message(Kind.LOAD, me, load=load))])

    def tell(self, key: str, value: bytes, for_: timedelta) -> None:
        with self._lock:
            self._members.tell(key, value, for_, now())
        self._wake()

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # full: it wakes by what is in there already
            os.write(self._wake_write, b"x")

    def shown(self) -> dict[str, Any]:
        """For operators: all members, as this one sees them."""
        at = now()
        with self._lock:
            m = self._members
            rows = [_row(m.me, 0, {})] if m.holder is None else []
            for known in m.known.values():
                rows.append(
                    _row(
                        known.fact,
                        to_milliseconds(at - known.since),
                        {"by": sorted(known.suspicion.accusers)} if known.suspicion else {},
                    )
                )
            figures = {key: m.board.all(key, at) for key in ("traffic",)}
            health, holder, counts = m.health.score, m.holder, dict(m.counts)
            slow = {
                "trip_ms": to_milliseconds(m.trips.usual),
                "trip_bound_ms": to_milliseconds(m.trips.bound),
                "late_ms": to_milliseconds(m.late),
                "news": len(m.rumours),
            }
        for row in rows:
            for key, told in figures.items():
                if row["name"] in told:
                    row[key] = _figure(told[row["name"]])
        return {
            "me": m.me.name,
            "muted_by": None if holder is None else f"{holder.host}:{holder.port}",
            "health": health,
            "counts": counts,
            **slow,
            "members": sorted(rows, key=lambda row: str(row["name"])),
        }

    # The thread.

    def _run(self) -> None:
        while not self._stopped:
            try:
                self._turn()
            except Exception:
                # A fault of ours in one message must not end the membership of this process.
                self._counters.add("faults")
                self._log.exception("fault")
                time.sleep(AGAIN.total_seconds())
        with self._lock:
            out = self._members.leave(now())
        self._send(out)
        if self._sock is not None:
            self._sock.close()

    def _turn(self) -> None:
        if self._sock is None and now() >= self._try_at:
            self._try_at = now() + AGAIN
            with contextlib.suppress(OSError):
                self._sock = self._open()
        with self._lock:
            due = self._members.due() if self._sock is not None else self._try_at
        wait = max(ZERO_DURATION, min(due - now(), LONGEST_WAIT))
        for fd, _ in self._poll.poll(wait / MILLISECOND):
            if fd == self._wake_read:
                os.read(self._wake_read, 4096)
            elif self._sock is not None:
                self._hear(self._sock)
        if self._sock is None:
            return
        self._tell_figures()
        at = now()
        with self._lock:
            out = self._members.step(at) if at >= self._members.due() else []
            changes, self._members.changes = self._members.changes, []
            self._seal.life = self._members.me.life
        self._send(out)
        if changes:
            self._note(changes)

    def _hear(self, sock: socket.socket) -> None:
        for _ in range(AT_ONCE):
            try:
                datagram, source = sock.recvfrom(LARGEST + OVERHEAD + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an answer of the system's to something sent: nobody is there
            self._hear_one(datagram, source)

    def _hear_one(self, datagram: bytes, source: Address) -> None:
        try:
            sender, raw = self._seal.open(datagram)
            if not raw:
                self._say_again(source, sender)
                return
            message = decoded(raw)
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
        if message.kind == Kind.LOAD and message.me is not None and self.on_load is not None:
            self.on_load(message.me.name, message.load)
        with self._lock:
            out = self._members.hear(message, source, now())
        self._send(out)

    def _say_again(self, to: Address, life: int) -> None:
        """It has told its life: what it could not open comes again, sealed for that."""
        with self._lock:
            self._members.lives[to] = life
        with self._sending:
            at, raw = self._unheard.pop(to, (ZERO_DURATION, b""))
            sealed = self._seal.close(raw, life)
        if raw and now() - at <= UNHEARD_FOR:
            self._write(sealed, to)

    def _send(self, out: Sequence[Out]) -> None:
        for to, message in out:
            raw = encoded(message)
            if len(raw) > LARGEST:
                self._counters.add("fleet_too_large")  # a fault of ours, and the receiver would drop it too
                continue
            with self._sending:
                self._unheard.pop(to, None)
                self._unheard[to] = now(), raw
                if len(self._unheard) > UNHEARD:
                    self._unheard.popitem(last=False)
                sealed = self._seal.close(raw, self._members.lives.get(to, 0))
            self._write(sealed, to)

    def _write(self, datagram: bytes, to: Address) -> None:
        if self._sock is None:
            return
        try:
            self._sock.sendto(datagram, to)
            self._counters.add("fleet_sent")
            self._counters.add("fleet_sent_bytes", len(datagram))
        except OSError:
            self._counters.add("fleet_unsent")  # as good as lost on its way

    def _tell_figures(self) -> None:
        at = now()
        if self.figures is None or at < self._figures_at:
            return
        self._figures_at = at + FIGURES_EVERY
        for key, value in self.figures().items():
            with self._lock:
                holds = self._told.setdefault(key, Telling(self._random)).wants(value, self._members.size, at)
                if holds is not None:
                    self._members.tell(key, f"{value:.6g}".encode(), holds, at)

    def _note(self, changes: list[Change]) -> None:
        for change in changes:
            if change.after is State.SUSPECT or (change.before, change.after) == (State.SUSPECT, State.ALIVE):
                self._counters.add("fleet_suspected", change.after is State.SUSPECT)
                continue
            after = "forgotten" if change.after is None else change.after.name.lower()
            self._counters.add(f"fleet_{after}")
            by = {"by": " ".join(change.by)} if change.by else {}
            self._log.info("fleet", member=change.name, state=after, **by)


def _row(fact: Fact, for_ms: int, more: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": fact.name,
        "state": State(fact.state).name.lower(),
        "for_ms": for_ms,
        "at": f"{fact.host}:{fact.port}",
        "life": fact.life,
        "turn": fact.turn,
        "hall": fact.hall,
        "version": fact.version,
        **more,
    }


def _figure(raw: bytes) -> float | None:
    try:
        got = json.loads(raw)
    except ValueError:
        return None
    return float(got) if isinstance(got, (int, float)) else None
