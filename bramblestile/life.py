"""The life of one request, from its first line to its one answer or to the end of its connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import nullcontext
from datetime import timedelta
from functools import partial
from typing import Protocol

from bramblestile.clock import ZERO_DURATION, now
from bramblestile.log import Log
from bramblestile.memory.cluster import Cluster
from bramblestile.memory.connections import ConnectionObserver, Connections, PauseSignal, ProxiedConnection
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import ActiveRequest, Decisions, from_microseconds, to_microseconds
from bramblestile.protocol import ClientRequest, DialHost, Downstream, NotEstablished, UpstreamAnswer
from bramblestile.tracing import TracerHandle
from vanegw import interface as api
from vanegw.interface import Status


class ConnectionSuccessor(Protocol):
    """Another process of this balancer, which may take over what stands."""

    @property
    def pause_signal(self) -> PauseSignal: ...

    def hand_over(self, standing: ProxiedConnection, request: api.Request) -> bool:
        """Whether it carries the frozen connection on from now on."""


class ServingContext:
    """What every request's life needs, made once at the start."""

    def __init__(
        self,
        decisions: Decisions,
        cluster: Cluster,
        connections: Connections,
        counters: Counters,
        observer: ConnectionObserver,
        connect_timeout: timedelta,
        on_host_draining: Callable[[str], None],
        dial: DialHost,
        tracing: TracerHandle | None = None,
        name: str = "",
    ) -> None:
        self.successor: ConnectionSuccessor | None = (
            None  # who goes on with what stands when this process ends; None: nobody
        )
        self.decisions = decisions
        self.cluster = cluster
        self.connections = connections
        self.counters = counters
        self.observer = observer
        self.connect_timeout = connect_timeout
        self.on_host_draining = on_host_draining  # an upstream host has said itself that it drains
        self.dial = dial
        self.tracing = tracing or TracerHandle()
        self.name = name
        self.log = Log(front=name)


class _Told:
    """One request's news: each is counted, traced and logged here, so that the three can never differ."""

    def __init__(self, context: ServingContext, request: api.Request, asked: ClientRequest, arrived: timedelta) -> None:
        self.context = context
        self.request = request
        self.log = context.log.bind(id=asked.id)
        self.arrived = arrived
        context.tracing.current.request(self.arrived, context.name, request, asked.bound_to)
        self.log.debug("request", cls=asked.cls, tenant=asked.tenant)

    def answer(
        self, at: timedelta, outcome: str, attempts: int, host: str | None = None, wait_us: int | None = None
    ) -> None:
        """The one answer; ``left`` is a downstream that waits for none."""
        self.context.counters.add("downstream_left" if outcome == "left" else f"answered_{outcome}")
        self.context.tracing.current.answer(at, self.request, outcome, attempts, at - self.arrived, host, wait_us)
        self.log.debug("answer", outcome=outcome, attempts=attempts, host=host)

    def attempt(self, at: timedelta, number: int, host: str, status: str, took_us: int, detail: str = "") -> None:
        self.context.tracing.current.attempt(at, self.request.id, number, host, status, took_us, detail)
        self.log.debug("attempt", number=number, host=host, status=status, took_us=took_us, detail=detail)


def serve_request(context: ServingContext, downstream: Downstream, asked: ClientRequest) -> None:
    """Top to bottom: admitted, sent as the module chooses, answered once; then carried until it ends."""
    context.counters.add("requests")
    arrived = now()
    request = api.Request(
        asked.id,
        asked.cls,
        to_microseconds(max(asked.timeout, ZERO_DURATION)),
        asked.tenant,
        asked.key,
        asked.group,
        asked.load_hint,
        asked.is_retry,
        asked.is_return,
    )
    visit = context.decisions.register(asked.id, arrived + asked.timeout)
    if visit is None:
        # Not told as a request: its id is another's, and its story would be mixed up with that one's.
        context.counters.add("ids_in_use")
        context.log.warning_rate_limited("id in use", id=asked.id)
        downstream.fail()
        return
    told = _Told(context, request, asked, arrived)
    try:
        if asked.bound_to is not None:
            _resume(context, downstream, asked, request, visit, told)
            return
        context.decisions.handle_event(request)
        number = 0
        while True:
            choice = visit.next_choice()
            if downstream.has_disconnected():
                told.answer(now(), "left", number)
                context.decisions.handle_event(api.ClientGone(asked.id))
                return
            if isinstance(choice, api.Refuse):
                told.answer(now(), "refused", number, wait_us=choice.retry_after_us)
                downstream.refuse(from_microseconds(choice.retry_after_us))
                return
            if isinstance(choice, api.Fail):
                told.answer(now(), "failed", number)
                downstream.fail()
                return
            sent = now()
            answer = _send(context, downstream, choice)
            at = now()
            took = to_microseconds(at - sent)
            if isinstance(answer, NotEstablished):
                context.counters.add(f"upstream_{answer.status.name.lower()}")
                told.attempt(at, number, choice.backend, answer.status.name.lower(), took, answer.detail)
                if answer.host_drains:
                    context.on_host_draining(choice.backend)
                if answer.downstream_left:
                    told.answer(at, "left", number + 1)
                    context.decisions.handle_event(api.ClientGone(asked.id))
                context.decisions.handle_event(
                    api.Outcome(asked.id, number, choice.backend, answer.status, took, finished=answer.downstream_left)
                )
                if answer.downstream_left:
                    return
                number += 1
                continue
            told.attempt(at, number, choice.backend, "up", took)
            _stand(context, answer.connection, choice.backend, visit, told, at, number + 1)
            context.decisions.handle_event(api.Opened(asked.id, number, choice.backend, took))
            status = _carry(context, answer.connection, at, request)
            context.decisions.handle_event(
                api.Outcome(asked.id, number, choice.backend, status, to_microseconds(now() - sent), finished=True)
            )
            return
    finally:
        context.decisions.unregister(visit)


def _send(context: ServingContext, downstream: Downstream, choice: api.Attempt) -> UpstreamAnswer:
    host = context.cluster.find(choice.backend)
    # The list may have changed since the module chose; nothing reaches a host that is not in it.
    if host is None or not context.cluster.accepts_requests(host):
        return NotEstablished(Status.NO_ROUTE)
    context.counters.add("upstream_requests")
    return downstream.upstream_request(
        partial(context.dial, host),
        from_microseconds(choice.until_us),
        context.connect_timeout,
        partial(context.cluster.guard_send, host),
    )


def _stand(
    context: ServingContext,
    standing: ProxiedConnection,
    host: str,
    visit: ActiveRequest,
    told: _Told,
    at: timedelta,
    attempts: int,
    resumed: bool = False,
) -> None:
    """From here on it can be moved: whoever moves it finds its host."""
    told.answer(at, "served", attempts, host)
    _hold(context, standing, host, visit)
    context.tracing.current.established(at, standing.id, host, resumed)


def _hold(context: ServingContext, standing: ProxiedConnection, host: str, visit: ActiveRequest) -> None:
    standing.host = visit.host = host
    if context.successor is not None and isinstance(standing.upstream, socket.socket):
        standing.pause_signal = context.successor.pause_signal
    context.connections.add(standing)


def _carry(context: ServingContext, standing: ProxiedConnection, began: timedelta, request: api.Request) -> Status:
    """From its stand, at ``began``, to its end here: that of the connection, or another process goes on with it."""
    try:
        while (status := standing.forward(context.observer)) is None:
            if context.successor is not None and context.successor.hand_over(standing, request):
                standing.release()
                break
            standing.resume()
    finally:
        context.connections.remove(standing)
    ended = "handed_on" if status is None else status.name.lower()
    context.counters.add("moved" if standing.moved else "handed_on" if status is None else f"ended_{ended}")
    at = now()
    context.tracing.current.ended(at, standing.id, standing.host, ended, at - began, standing.moved)
    return status or Status.CANCELLED


def adopt_connection(
    context: ServingContext,
    standing: ProxiedConnection,
    request: api.Request,
    run: Callable[[Callable[[], None]], None],
) -> bool:
    """Goes on with a connection that another process has carried, in a thread that ``run`` starts. False: not here."""
    visit = context.decisions.register(request.id, now())
    if visit is None:
        return False
    at = now()

    def carry() -> None:
        try:
            context.counters.add("adopted")
            context.tracing.current.established(at, standing.id, standing.host, True)
            _inherit(context, standing, request, at)
        finally:
            context.decisions.unregister(visit)

    _hold(context, standing, standing.host, visit)
    try:
        run(carry)
    except RuntimeError:  # no thread to be had
        context.connections.remove(standing)
        context.decisions.unregister(visit)
        return False
    return True


def _inherit(context: ServingContext, standing: ProxiedConnection, request: api.Request, at: timedelta) -> None:
    """From its stand to its end: a connection that the module has not placed."""
    context.decisions.handle_event(api.Inherited(request, standing.host))
    status = _carry(context, standing, at, request)
    context.decisions.handle_event(api.Outcome(request.id, 0, standing.host, status, 0, finished=True))


def _resume(
    context: ServingContext,
    downstream: Downstream,
    asked: ClientRequest,
    request: api.Request,
    visit: ActiveRequest,
    told: _Told,
) -> None:
    """A connection that its upstream host already holds: it goes there as it is, with no choice to make."""
    name = asked.bound_to or ""
    sent = now()
    host = context.cluster.find(name)
    answer: UpstreamAnswer = (
        NotEstablished(Status.NO_ROUTE)
        if host is None
        else downstream.upstream_request(
            partial(context.dial, host), sent + asked.timeout, asked.timeout, partial(nullcontext, True)
        )
    )
    at = now()
    took = to_microseconds(at - sent)
    context.counters.add("resumed")
    if isinstance(answer, NotEstablished):
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
    _stand(context, answer.connection, name, visit, told, at, 1, resumed=True)
    _inherit(context, answer.connection, request, at)
