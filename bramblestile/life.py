"""The life of one request, from its first line to its one answer or to the end of its connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import nullcontext
from datetime import timedelta
from functools import partial
from typing import Protocol

from bramblestile.clock import ZERO_DURATION, now
from bramblestile.dialect import Answer, Asked, Downstream, NotUp, Upstream
from bramblestile.log import Log
from bramblestile.memory.cluster import Cluster
from bramblestile.memory.connections import ConnectionObserver, Connections, PauseSignal, ProxiedConnection
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import ActiveRequest, Decisions, from_microseconds, to_microseconds
from bramblestile.tracing import TracerHandle
from vanegw import interface as api
from vanegw.interface import Status


class Heir(Protocol):
    """Another process of this balancer, which may take over what stands."""

    @property
    def pause_signal(self) -> PauseSignal: ...

    def take(self, standing: ProxiedConnection, request: api.Request) -> bool:
        """Whether it carries the frozen connection on from now on."""


class House:
    """What every request's life needs, made once at the start."""

    def __init__(
        self,
        decisions: Decisions,
        cluster: Cluster,
        connections: Connections,
        counters: Counters,
        observer: ConnectionObserver,
        connect_within: timedelta,
        drains: Callable[[str], None],
        dial: Upstream,
        tracing: TracerHandle | None = None,
        name: str = "",
    ) -> None:
        self.heir: Heir | None = None  # who goes on with what stands when this process ends; None: nobody
        self.decisions = decisions
        self.cluster = cluster
        self.connections = connections
        self.counters = counters
        self.observer = observer
        self.connect_within = connect_within
        self.drains = drains  # an upstream host has said itself that it drains
        self.dial = dial
        self.tracing = tracing or TracerHandle()
        self.name = name
        self.log = Log(front=name)


class _Told:
    """One request's news: each is counted, traced and logged here, so that the three can never differ."""

    def __init__(self, house: House, request: api.Request, asked: Asked, arrived: timedelta) -> None:
        self.house = house
        self.request = request
        self.log = house.log.bind(id=asked.id)
        self.arrived = arrived
        house.tracing.current.request(self.arrived, house.name, request, asked.bound_to)
        self.log.debug("request", cls=asked.cls, tenant=asked.tenant)

    def answer(
        self, at: timedelta, outcome: str, attempts: int, host: str | None = None, wait_us: int | None = None
    ) -> None:
        """The one answer; ``left`` is a downstream that waits for none."""
        self.house.counters.add("downstream_left" if outcome == "left" else f"answered_{outcome}")
        self.house.tracing.current.answer(at, self.request, outcome, attempts, at - self.arrived, host, wait_us)
        self.log.debug("answer", outcome=outcome, attempts=attempts, host=host)

    def attempt(self, at: timedelta, number: int, host: str, status: str, took_us: int, detail: str = "") -> None:
        self.house.tracing.current.attempt(at, self.request.id, number, host, status, took_us, detail)
        self.log.debug("attempt", number=number, host=host, status=status, took_us=took_us, detail=detail)


def live(house: House, downstream: Downstream, asked: Asked) -> None:
    """Top to bottom: admitted, sent as the module chooses, answered once; then carried until it ends."""
    house.counters.add("requests")
    arrived = now()
    request = api.Request(
        asked.id,
        asked.cls,
        to_microseconds(max(asked.wait, ZERO_DURATION)),
        asked.tenant,
        asked.key,
        asked.group,
        asked.load_hint,
        asked.is_retry,
        asked.is_return,
    )
    visit = house.decisions.register(asked.id, arrived + asked.wait)
    if visit is None:
        # Not told as a request: its id is another's, and its story would be mixed up with that one's.
        house.counters.add("ids_in_use")
        house.log.warning_rate_limited("id in use", id=asked.id)
        downstream.fail()
        return
    told = _Told(house, request, asked, arrived)
    try:
        if asked.bound_to is not None:
            _resume(house, downstream, asked, request, visit, told)
            return
        house.decisions.handle_event(request)
        number = 0
        while True:
            choice = visit.next_choice()
            if downstream.has_disconnected():
                told.answer(now(), "left", number)
                house.decisions.handle_event(api.ClientGone(asked.id))
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
            answer = _send(house, downstream, choice)
            at = now()
            took = to_microseconds(at - sent)
            if isinstance(answer, NotUp):
                house.counters.add(f"upstream_{answer.status.name.lower()}")
                told.attempt(at, number, choice.backend, answer.status.name.lower(), took, answer.detail)
                if answer.host_drains:
                    house.drains(choice.backend)
                if answer.downstream_left:
                    told.answer(at, "left", number + 1)
                    house.decisions.handle_event(api.ClientGone(asked.id))
                house.decisions.handle_event(
                    api.Outcome(asked.id, number, choice.backend, answer.status, took, finished=answer.downstream_left)
                )
                if answer.downstream_left:
                    return
                number += 1
                continue
            told.attempt(at, number, choice.backend, "up", took)
            _stand(house, answer.standing, choice.backend, visit, told, at, number + 1)
            house.decisions.handle_event(api.Opened(asked.id, number, choice.backend, took))
            status = _carry(house, answer.standing, at, request)
            house.decisions.handle_event(
                api.Outcome(asked.id, number, choice.backend, status, to_microseconds(now() - sent), finished=True)
            )
            return
    finally:
        house.decisions.unregister(visit)


def _send(house: House, downstream: Downstream, choice: api.Attempt) -> Answer:
    host = house.cluster.find(choice.backend)
    # The list may have changed since the module chose; nothing reaches a host that is not in it.
    if host is None or not house.cluster.accepts_requests(host):
        return NotUp(Status.NO_ROUTE)
    house.counters.add("upstream_requests")
    return downstream.upstream_request(
        partial(house.dial, host),
        from_microseconds(choice.until_us),
        house.connect_within,
        partial(house.cluster.guard_send, host),
    )


def _stand(
    house: House,
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
    _hold(house, standing, host, visit)
    house.tracing.current.established(at, standing.id, host, resumed)


def _hold(house: House, standing: ProxiedConnection, host: str, visit: ActiveRequest) -> None:
    standing.host = visit.host = host
    if house.heir is not None and isinstance(standing.upstream, socket.socket):
        standing.pause_signal = house.heir.pause_signal
    house.connections.add(standing)


def _carry(house: House, standing: ProxiedConnection, began: timedelta, request: api.Request) -> Status:
    """From its stand, at ``began``, to its end here: that of the connection, or another process goes on with it."""
    try:
        while (status := standing.forward(house.observer)) is None:
            if house.heir is not None and house.heir.take(standing, request):
                standing.release()
                break
            standing.resume()
    finally:
        house.connections.remove(standing)
    ended = "handed_on" if status is None else status.name.lower()
    house.counters.add("moved" if standing.moved else "handed_on" if status is None else f"ended_{ended}")
    at = now()
    house.tracing.current.ended(at, standing.id, standing.host, ended, at - began, standing.moved)
    return status or Status.CANCELLED


def adopt(
    house: House, standing: ProxiedConnection, request: api.Request, run: Callable[[Callable[[], None]], None]
) -> bool:
    """Goes on with a connection that another process has carried, in a thread that ``run`` starts. False: not here."""
    visit = house.decisions.register(request.id, now())
    if visit is None:
        return False
    at = now()

    def carry() -> None:
        try:
            house.counters.add("adopted")
            house.tracing.current.established(at, standing.id, standing.host, True)
            _inherit(house, standing, request, at)
        finally:
            house.decisions.unregister(visit)

    _hold(house, standing, standing.host, visit)
    try:
        run(carry)
    except RuntimeError:  # no thread to be had
        house.connections.remove(standing)
        house.decisions.unregister(visit)
        return False
    return True


def _inherit(house: House, standing: ProxiedConnection, request: api.Request, at: timedelta) -> None:
    """From its stand to its end: a connection that the module has not placed."""
    house.decisions.handle_event(api.Inherited(request, standing.host))
    status = _carry(house, standing, at, request)
    house.decisions.handle_event(api.Outcome(request.id, 0, standing.host, status, 0, finished=True))


def _resume(
    house: House, downstream: Downstream, asked: Asked, request: api.Request, visit: ActiveRequest, told: _Told
) -> None:
    """A connection that its upstream host already holds: it goes there as it is, with no choice to make."""
    name = asked.bound_to or ""
    sent = now()
    host = house.cluster.find(name)
    answer: Answer = (
        NotUp(Status.NO_ROUTE)
        if host is None
        else downstream.upstream_request(
            partial(house.dial, host), sent + asked.wait, asked.wait, partial(nullcontext, True)
        )
    )
    at = now()
    took = to_microseconds(at - sent)
    house.counters.add("resumed")
    if isinstance(answer, NotUp):
        status = answer.status.name.lower()
        house.counters.add(f"resume_{status}")
        told.attempt(at, 0, name, status, took, answer.detail)
        if answer.downstream_left:
            told.answer(at, "left", 1)
        else:
            told.answer(at, "failed", 1)
            downstream.fail()
        return
    told.attempt(at, 0, name, "up", took)
    _stand(house, answer.standing, name, visit, told, at, 1, resumed=True)
    _inherit(house, answer.standing, request, at)
