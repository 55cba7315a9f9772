"""The life of one request, from its first line to its one answer or to the end of its connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import nullcontext
from datetime import timedelta
from functools import partial
from typing import Protocol

from bramblestile import sockets, threads
from bramblestile.clock import NOTHING, now
from bramblestile.dialect import Answer, Asked, Downstream, NotUp, Up, Upstream
from bramblestile.log import Log
from bramblestile.memory.cluster import Cluster
from bramblestile.memory.connections import Connection, Connections, Halt, Observer
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import Decisions, Pending, micros, span
from bramblestile.sockets import Side
from bramblestile.tracing import Tracing
from vanegw import interface as api
from vanegw.interface import Status


class Heir(Protocol):
    """Another process of this balancer, which may take over what stands."""

    @property
    def halt(self) -> Halt: ...

    def take(self, connection: Connection, request: api.Request) -> bool:
        """Whether it carries the frozen connection on from now on."""


class Context:
    """What every request's life needs, made once at the start."""

    def __init__(self, decisions: Decisions, cluster: Cluster, connections: Connections, counters: Counters,
                 observer: Observer, connect_within: timedelta, drains: Callable[[str], None],
                 dial: Upstream, tracing: Tracing | None = None, name: str = "") -> None:
        self.heir: Heir | None = None  # who goes on with what stands when this process ends; None: nobody
        self.decisions = decisions
        self.cluster = cluster
        self.connections = connections
        self.counters = counters
        self.observer = observer
        self.connect_within = connect_within
        self.drains = drains  # an upstream host has said itself that it drains
        self.dial = dial
        self.tracing = tracing or Tracing()
        self.name = name
        self.log = Log(front=name)


class _Told:
    """One request's news: each is counted, traced and logged here, so that the three can never differ."""

    def __init__(self, context: Context, request: api.Request, asked: Asked, arrived: timedelta) -> None:
        self.context = context
        self.request = request
        self.log = context.log.bind(id=asked.id)
        self.arrived = arrived
        context.tracing.to.request(self.arrived, context.name, request, asked.bound_to)
        self.log.debug("request", cls=asked.cls, tenant=asked.tenant)

    def answer(self, at: timedelta, outcome: str, attempts: int, host: str | None = None,
               wait_us: int | None = None) -> None:
        """The one answer; ``left`` is a downstream that waits for none."""
        self.context.counters.add("downstream_left" if outcome == "left" else f"answered_{outcome}")
        self.context.tracing.to.answer(at, self.request, outcome, attempts, at - self.arrived, host, wait_us)
        self.log.debug("answer", outcome=outcome, attempts=attempts, host=host)

    def attempt(self, at: timedelta, number: int, host: str, status: str, took_us: int, detail: str = "") -> None:
        self.context.tracing.to.attempt(at, self.request.id, number, host, status, took_us, detail)
        self.log.debug("attempt", number=number, host=host, status=status, took_us=took_us, detail=detail)


def live(context: Context, downstream: Downstream, asked: Asked) -> None:
    """Top to bottom: admitted, sent as the module chooses, answered once; then carried until it ends."""
    context.counters.add("requests")
    arrived = now()
    closes = context.decisions.closes
    wait = max(NOTHING, asked.wait if closes is None else min(asked.wait, closes - arrived))
    request = api.Request(asked.id, asked.cls, micros(wait), asked.tenant, asked.key, asked.group, asked.load_hint,
                          asked.is_retry, asked.is_return)
    pending = context.decisions.enter(asked.id, arrived + wait)
    if pending is None:
        # Not told as a request: its id is another's, and its story would be mixed up with that one's.
        context.counters.add("ids_in_use")
        context.log.seldom("id in use", id=asked.id)
        downstream.fail()
        return
    told = _Told(context, request, asked, arrived)
    try:
        if asked.bound_to is not None:
            _resume(context, downstream, asked, request, pending, told)
            return
        context.decisions.tell(request)
        number = 0
        while True:
            choice = pending.next()
            if downstream.has_left():
                told.answer(now(), "left", number)
                context.decisions.tell(api.ClientGone(asked.id))
                return
            if isinstance(choice, api.Refuse):
                told.answer(now(), "refused", number, wait_us=choice.retry_after_us)
                downstream.refuse(span(choice.retry_after_us))
                return
            if isinstance(choice, api.Fail):
                told.answer(now(), "failed", number)
                downstream.fail()
                return
            sent = now()
            answer = _send(context, downstream, choice, pending)
            at = now()
            took = micros(at - sent)
            if isinstance(answer, Up) and not _hold(context, answer.connection, choice.backend, pending):
                answer = NO_THREAD
            if isinstance(answer, NotUp):
                context.counters.add(f"upstream_{answer.status.name.lower()}")
                told.attempt(at, number, choice.backend, answer.status.name.lower(), took, answer.detail)
                if answer.host_drains:
                    context.drains(choice.backend)
                if answer.downstream_left:
                    told.answer(at, "left", number + 1)
                    context.decisions.tell(api.ClientGone(asked.id))
                context.decisions.tell(api.Outcome(asked.id, number, choice.backend, answer.status, took,
                                                 finished=answer.downstream_left))
                if answer.downstream_left:
                    return
                number += 1
                continue
            told.attempt(at, number, choice.backend, "up", took)
            _stand(context, answer.connection, choice.backend, told, at, number + 1)
            context.decisions.tell(api.Opened(asked.id, number, choice.backend, took))
            status = _carry(context, answer.connection, at, request)
            context.decisions.tell(api.Outcome(asked.id, number, choice.backend, status, micros(now() - sent),
                                             finished=True))
            return
    finally:
        context.decisions.release(pending)


def _send(context: Context, downstream: Downstream, choice: api.Attempt, pending: Pending) -> Answer:
    host = context.cluster.find(choice.backend)
    # The list may have changed since the module chose; nothing reaches a host that is not in it.
    if host is None or not context.cluster.takes_work(host):
        return NotUp(Status.NO_ROUTE)
    context.counters.add("upstream_requests")

    def dial(connect_within: timedelta, until: timedelta, beside: socket.socket | None = None) -> Side:
        pending.upstream = context.dial(host, connect_within, until, beside)
        return pending.upstream

    return _ask(context, partial(downstream.upstream_request, dial, span(choice.until_us), context.connect_within,
                                 partial(context.cluster.sending, host)))


def _ask(context: Context, request: Callable[[], Answer]) -> Answer:
    """A fault of ours costs the attempt, which may have run, and never the answer that the downstream is owed."""
    try:
        return request()
    except Exception as fault:
        threads.note_fault(context.counters, context.log)
        return NotUp(Status.CUT, detail=repr(fault))


def _stand(context: Context, connection: Connection, host: str, told: _Told, at: timedelta, attempts: int,
           resumed: bool = False) -> None:
    told.answer(at, "served", attempts, host)
    context.tracing.to.stand(at, connection.id, host, resumed)


NO_THREAD = NotUp(Status.CUT, detail="no thread to carry it")  # it has run: the module decides what may follow


def _hold(context: Context, connection: Connection, host: str, pending: Pending) -> bool:
    """From here on it can be moved: whoever moves it finds its host. False: it cannot be carried and its upstream side
    is closed, while the downstream still waits for its answer."""
    _settle(context, connection, host, pending)
    if not connection.begin():
        context.counters.add("no_thread")
        sockets.close(connection.upstream)
        pending.host = ""
        return False
    context.connections.add(connection)
    return True


def _settle(context: Context, connection: Connection, host: str, pending: Pending) -> None:
    connection.host = pending.host = host
    if context.heir is not None and isinstance(connection.upstream, socket.socket):
        connection.halt = context.heir.halt


def _carry(context: Context, connection: Connection, began: timedelta, request: api.Request) -> Status:
    """From its stand, at ``began``, to its end here: that of the connection, or another process goes on with it."""
    try:
        while (status := connection.carry(context.observer)) is None:
            if context.heir is not None and context.heir.take(connection, request):
                connection.let_go()
                break
            connection.thaw()
    finally:
        context.connections.remove(connection)
    if connection.fault is not None:
        threads.note_fault(context.counters, context.log, connection.fault, id=connection.id)
    ended = "handed_on" if status is None else status.name.lower()
    context.counters.add("moved" if connection.moved else "handed_on" if status is None else f"ended_{ended}")
    at = now()
    context.tracing.to.ended(at, connection.id, connection.host, ended, at - began, connection.moved)
    return status or Status.CANCELLED


def adopt(context: Context, connection: Connection, request: api.Request,
          run: Callable[[Callable[[], None]], None]) -> bool:
    """Goes on with a connection that another process has carried, in a thread that ``run`` starts. False: not here."""
    pending = context.decisions.enter(request.id, now())
    if pending is None:
        return False
    at = now()

    def carry() -> None:
        try:
            context.counters.add("adopted")
            context.tracing.to.stand(at, connection.id, connection.host, True)
            _inherit(context, connection, request, at)
        finally:
            context.decisions.release(pending)

    # Its second thread begins only in ``carry``: until this returns True the other process still has the connection.
    _settle(context, connection, connection.host, pending)
    context.connections.add(connection)
    try:
        run(carry)
    except RuntimeError:  # no thread to be had
        context.connections.remove(connection)
        context.decisions.release(pending)
        return False
    return True


def _inherit(context: Context, connection: Connection, request: api.Request, at: timedelta) -> None:
    """From its stand to its end: a connection that the module has not placed."""
    context.decisions.tell(api.Inherited(request, connection.host))
    status = _carry(context, connection, at, request)
    context.decisions.tell(api.Outcome(request.id, 0, connection.host, status, 0, finished=True))


def _resume(context: Context, downstream: Downstream, asked: Asked, request: api.Request, pending: Pending,
            told: _Told) -> None:
    """A connection that its upstream host already holds: it goes there as it is, with no choice to make."""
    name = asked.bound_to or ""
    sent = now()
    host = context.cluster.find(name)
    answer: Answer = NotUp(Status.NO_ROUTE) if host is None else _ask(context, partial(
        downstream.upstream_request, partial(context.dial, host), sent + asked.wait, asked.wait,
        partial(nullcontext, True)))
    at = now()
    took = micros(at - sent)
    if isinstance(answer, Up) and not _hold(context, answer.connection, name, pending):
        answer = NO_THREAD
    context.counters.add("resumed")
    if isinstance(answer, NotUp):
        status = answer.status.name.lower()
        context.counters.add(f"resume_{status}")
        told.attempt(at, 0, name, status, took, answer.detail)
        if answer.downstream_left:
            told.answer(at, "left", 1)
        else:
            told.answer(at, "failed", 1)
            downstream.fail()
        return
    told.attempt(at, 0, name, "up", took)
    _stand(context, answer.connection, name, told, at, 1, resumed=True)
    _inherit(context, answer.connection, request, at)
