"""The life of one request, from its first line to its single answer or to the end of its connection."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext
from datetime import timedelta
from functools import partial
from typing import Protocol

from bramblestile.clock import ZERO_DURATION, now
from bramblestile.log import Log
from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.memory.connections import ConnectionObserver, Connections, PauseSignal, ProxiedConnection
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import ActiveRequest, Decisions, from_microseconds, to_microseconds
from bramblestile.protocol import (
    AttemptLimits,
    ClientRequest,
    DialHost,
    Downstream,
    NotEstablished,
    UpstreamAnswer,
)
from bramblestile.sockets import Signal
from bramblestile.tracing import TracerHandle
from vanegw import interface as api
from vanegw.interface import Status


class ConnectionSuccessor(Protocol):
    """Another process of this balancer, which may take over established connections."""

    @property
    def pause_signal(self) -> PauseSignal:
        """The signal that pauses connections for the handover."""

    def hand_over(self, connection: ProxiedConnection, request: api.Request) -> bool:
        """Send a paused connection to the other process and return whether it goes on with it."""


class ServingContext:
    """What all requests of one front share.

    ``connect_timeout`` limits each TCP connect to an upstream host, ``on_host_draining`` is called when an upstream
    host announces that it drains, ``dial`` connects to a host, and ``name`` is the front's name. ``successor`` is the
    process that takes established connections over when this one stops, if there is one. ``interrupt`` ends what
    requests wait for at their upstream hosts: the process is about to end, and each of them is owed its answer.
    """

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
        self.successor: ConnectionSuccessor | None = None
        self.interrupt = Signal()
        self.decisions = decisions
        self.cluster = cluster
        self.connections = connections
        self.counters = counters
        self.observer = observer
        self.connect_timeout = connect_timeout
        self.on_host_draining = on_host_draining
        self.dial = dial
        self.tracing = tracing or TracerHandle()
        self.name = name
        self.log = Log(front=name)


class _RequestReporter:
    """Counts, traces and logs the events of one request, in one place so that the three always agree."""

    def __init__(
        self,
        context: ServingContext,
        request: api.Request,
        client_request: ClientRequest,
        arrived: timedelta,
    ) -> None:
        self.context = context
        self.request = request
        self.log = context.log.bind(id=client_request.id)
        self.arrived = arrived
        context.tracing.current.request(self.arrived, context.name, request, client_request.bound_to)
        self.log.debug("request", cls=client_request.cls, tenant=client_request.tenant)

    def answer(
        self, at: timedelta, outcome: str, attempts: int, host: str | None = None, wait_us: int | None = None
    ) -> None:
        """Report the single answer; the outcome "left" is a downstream that disconnected before it."""
        self.context.counters.add("downstream_left" if outcome == "left" else f"answered_{outcome}")
        self.context.tracing.current.answer(at, self.request, outcome, attempts, at - self.arrived, host, wait_us)
        self.log.debug("answer", outcome=outcome, attempts=attempts, host=host)

    def attempt(self, at: timedelta, index: int, host: str, status: str, took_us: int, detail: str = "") -> None:
        """Report how a request's attempt with this index, from 0, ended, or that its connection is up."""
        self.context.tracing.current.attempt(at, self.request.id, index, host, status, took_us, detail)
        self.log.debug("attempt", number=index, host=host, status=status, took_us=took_us, detail=detail)


def serve_request(context: ServingContext, downstream: Downstream, client_request: ClientRequest) -> None:
    """Serve a request to its end: send it as the decision module chooses, answer once, then forward until it ends."""
    context.counters.add("requests")
    arrived = now()
    request = api.Request(
        client_request.id,
        client_request.cls,
        to_microseconds(max(client_request.timeout, ZERO_DURATION)),
        client_request.tenant,
        client_request.key,
        client_request.group,
        client_request.load_hint,
        is_retry=client_request.is_retry,
        is_return=client_request.is_reconnect,
    )
    active = context.decisions.register(
        client_request.id, arrived + client_request.timeout, is_known_to_host=client_request.bound_to is not None
    )
    if active is None:
        # Not reported as a request: its id belongs to another one, and a trace would mix the two up.
        context.counters.add("ids_in_use")
        context.log.warning_rate_limited("id in use", id=client_request.id)
        _reply(downstream, downstream.fail)
        return
    reporter = _RequestReporter(context, request, client_request, arrived)
    try:
        if client_request.bound_to is not None:
            _resume(context, downstream, client_request, request, active, reporter)
            return
        context.decisions.handle_event(request)
        attempt_index = 0  # equals the number of attempts that have failed so far
        while True:
            choice = active.next_choice()
            if downstream.has_disconnected() or downstream.sends_too_early():
                context.decisions.handle_event(api.ClientGone(client_request.id))
                _end_departed(downstream, active, reporter, attempt_index)
                return
            if isinstance(choice, api.Refuse):
                reporter.answer(now(), "refused", attempt_index, wait_us=choice.retry_after_us)
                active.may_have_run = False  # or a repeat is harmless, and the client is told to come again
                _reply(downstream, partial(downstream.refuse, from_microseconds(choice.retry_after_us)), active)
                return
            if isinstance(choice, api.Fail):
                reporter.answer(now(), "failed", attempt_index)
                _reply(downstream, downstream.fail, active)
                return
            sent = now()
            may_have_run_before, active.may_have_run = active.may_have_run, True
            answer = _send(context, downstream, choice)
            at = now()
            took = to_microseconds(at - sent)
            if isinstance(answer, NotEstablished):
                active.may_have_run = may_have_run_before or answer.status.request_may_have_run
                context.counters.add(f"upstream_{answer.status.name.lower()}")
                reporter.attempt(at, attempt_index, choice.backend, answer.status.name.lower(), took, answer.detail)
                if answer.host_drains:
                    context.on_host_draining(choice.backend)
                if answer.downstream_left:
                    context.decisions.handle_event(api.ClientGone(client_request.id))
                context.decisions.handle_event(
                    api.Outcome(
                        client_request.id,
                        attempt_index,
                        choice.backend,
                        answer.status,
                        took,
                        finished=answer.downstream_left,
                    )
                )
                if answer.downstream_left:
                    _end_departed(downstream, active, reporter, attempt_index + 1)
                    return
                attempt_index += 1
                continue
            reporter.attempt(at, attempt_index, choice.backend, "up", took)
            _establish(context, answer.connection, choice.backend, active, reporter, at, attempt_index + 1)
            context.decisions.handle_event(api.Opened(client_request.id, attempt_index, choice.backend, took))
            status = _forward(context, answer.connection, at, request)
            context.decisions.handle_event(
                api.Outcome(
                    client_request.id,
                    attempt_index,
                    choice.backend,
                    status,
                    to_microseconds(now() - sent),
                    finished=True,
                )
            )
            return
    finally:
        context.decisions.unregister(active)


def _reply(downstream: Downstream, send: Callable[[], None], active: ActiveRequest | None = None) -> None:
    """Send a local reply, note that the request is over, and close the connection."""
    try:
        send()
    finally:
        if active is not None:
            active.is_over = True
        downstream.close()


def _end_departed(downstream: Downstream, active: ActiveRequest, reporter: _RequestReporter, attempts: int) -> None:
    """End a request whose client has left, or sends so much before its answer that this cannot be told.

    A client that may still be there is owed its answer.
    """
    if downstream.has_disconnected():
        reporter.answer(now(), "left", attempts)
    else:
        reporter.answer(now(), "failed", attempts)
        _reply(downstream, downstream.fail, active)


def _send(context: ServingContext, downstream: Downstream, choice: api.Attempt) -> UpstreamAnswer:
    """Make the upstream request that the module chose."""
    host = context.cluster.find(choice.backend)
    # The list may have changed since the module chose; nothing is sent to a host that is not in it.
    if host is None or not context.cluster.accepts_requests(host):
        return NotEstablished(Status.NO_ROUTE)
    context.counters.add("upstream_requests")
    limits = AttemptLimits(
        from_microseconds(choice.until_us),
        context.connect_timeout,
        context.interrupt,
        None if choice.send_by_us is None else from_microseconds(choice.send_by_us),
    )
    return downstream.upstream_request(
        partial(context.dial, host), limits, partial(_guard_send, context.cluster, host, limits)
    )


@contextmanager
def _guard_send(cluster: Cluster, host: UpstreamHost, limits: AttemptLimits) -> Iterator[Status | None]:
    """Hold a send in progress, as ``SendGuard`` says: the host and the time are checked right before the first byte."""
    with cluster.guard_send(host) as is_accepted:
        if not is_accepted:  # the host began to drain during the dial, say
            yield Status.NO_ROUTE
        elif not limits.may_send:
            yield Status.NOT_SENT
        else:
            yield None


def _establish(
    context: ServingContext,
    connection: ProxiedConnection,
    host: str,
    active: ActiveRequest,
    reporter: _RequestReporter,
    at: timedelta,
    attempts: int,
    resumed: bool = False,
) -> None:
    """Report a connection as established and register it, so that it can be moved."""
    reporter.answer(at, "served", attempts, host)
    active.is_over = True
    _register(context, connection, host, active)
    context.tracing.current.connection_established(at, connection.id, host, resumed)


def _register(context: ServingContext, connection: ProxiedConnection, host: str, active: ActiveRequest) -> None:
    connection.host = active.host = host
    if context.successor is not None and isinstance(connection.upstream, socket.socket):
        connection.pause_signal = context.successor.pause_signal
    context.connections.add(connection)


def _forward(context: ServingContext, connection: ProxiedConnection, began: timedelta, request: api.Request) -> Status:
    """Forward a connection, established at ``began``, until it ends or another process takes it over."""
    try:
        while (status := connection.forward(context.observer)) is None:
            if context.successor is not None and context.successor.hand_over(connection, request):
                connection.release()
                break
            connection.resume()
    finally:
        context.connections.remove(connection)
    ended = "handed_on" if status is None else status.name.lower()
    context.counters.add("moved" if connection.moved else "handed_on" if status is None else f"ended_{ended}")
    at = now()
    context.tracing.current.connection_ended(at, connection.id, connection.host, ended, at - began, connection.moved)
    return status or Status.CANCELLED


def adopt_connection(
    context: ServingContext,
    connection: ProxiedConnection,
    request: api.Request,
    start_thread: Callable[[Callable[[], None]], None],
) -> bool:
    """Take over a connection from another process, in a thread that ``start_thread`` starts.

    Returns False where the request's id is in use here or no thread can be started.
    """
    active = context.decisions.register(request.id, now(), is_known_to_host=True)
    if active is None:
        return False
    active.is_over = True  # the process that placed it has answered it
    at = now()

    def forward() -> None:
        try:
            context.counters.add("adopted")
            context.tracing.current.connection_established(at, connection.id, connection.host, True)
            _forward_inherited(context, connection, request, at)
        finally:
            context.decisions.unregister(active)

    _register(context, connection, connection.host, active)
    try:
        start_thread(forward)
    except RuntimeError:  # no thread can be started
        context.connections.remove(connection)
        context.decisions.unregister(active)
        return False
    return True


def _forward_inherited(
    context: ServingContext, connection: ProxiedConnection, request: api.Request, at: timedelta
) -> None:
    """Forward to its end a connection that the decision module has not placed."""
    context.decisions.handle_event(api.Inherited(request, connection.host))
    status = _forward(context, connection, at, request)
    context.decisions.handle_event(api.Outcome(request.id, 0, connection.host, status, 0, finished=True))


def _resume(
    context: ServingContext,
    downstream: Downstream,
    client_request: ClientRequest,
    request: api.Request,
    active: ActiveRequest,
    reporter: _RequestReporter,
) -> None:
    """Serve a request whose connection an upstream host already holds: it goes to that host, without a decision."""
    name = client_request.bound_to or ""
    sent = now()
    host = context.cluster.find(name)
    answer: UpstreamAnswer = (
        NotEstablished(Status.NO_ROUTE)
        if host is None
        else downstream.upstream_request(
            partial(context.dial, host),
            AttemptLimits(sent + client_request.timeout, client_request.timeout, context.interrupt),
            partial(nullcontext, None),
        )
    )
    at = now()
    took = to_microseconds(at - sent)
    context.counters.add("resumed")
    if isinstance(answer, NotEstablished):
        status = answer.status.name.lower()
        context.counters.add(f"resume_{status}")
        reporter.attempt(at, 0, name, status, took, answer.detail)
        if answer.downstream_left:
            _end_departed(downstream, active, reporter, 1)
        else:
            reporter.answer(at, "failed", 1)
            _reply(downstream, downstream.fail, active)
        return
    reporter.attempt(at, 0, name, "up", took)
    _establish(context, answer.connection, name, active, reporter, at, 1, resumed=True)
    _forward_inherited(context, answer.connection, request, at)
