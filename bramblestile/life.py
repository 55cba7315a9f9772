"""The life of one request, from its first line to its one answer or to the end of its connection."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from bramblestile.clock import NOTHING, now
from bramblestile.dialect import Answer, Asked, Downstream, NotUp
from bramblestile.memory.cluster import Cluster
from bramblestile.memory.connections import Connections, Observer, Standing
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import Decisions, micros, span
from vanegw import interface as api
from vanegw.interface import Status


class House:
    """What every request's life needs, made once at the start."""

    def __init__(self, decisions: Decisions, cluster: Cluster, connections: Connections, counters: Counters,
                 observer: Observer, connect_within: timedelta, drains: Callable[[str], None]) -> None:
        self.decisions = decisions
        self.cluster = cluster
        self.connections = connections
        self.counters = counters
        self.observer = observer
        self.connect_within = connect_within
        self.drains = drains  # an upstream host has said itself that it drains


def live(house: House, downstream: Downstream, asked: Asked) -> None:
    """Top to bottom: admitted, sent as the module chooses, answered once; then carried until it ends."""
    count = house.counters.add
    count("requests")
    arrived = now()
    request = api.Request(asked.id, asked.cls, micros(max(asked.wait, NOTHING)), asked.tenant, asked.key,
                          asked.group, asked.load_hint, asked.is_retry, asked.is_return)
    visit = house.decisions.enter(asked.id, arrived + asked.wait)
    if visit is None:
        count("ids_in_use")
        downstream.fail()
        return
    try:
        if asked.bound_to is not None:
            _resume(house, downstream, asked, request)
            return
        house.decisions.tell(request)
        number = 0
        while True:
            choice = visit.next()
            if downstream.has_left():
                count("downstream_left")
                house.decisions.tell(api.ClientGone(asked.id))
                return
            if isinstance(choice, api.Refuse):
                count("answered_refused")
                downstream.refuse(span(choice.retry_after_us))
                return
            if isinstance(choice, api.Fail):
                count("answered_failed")
                downstream.fail()
                return
            sent = now()
            answer = _send(house, downstream, choice)
            took = micros(now() - sent)
            if isinstance(answer, NotUp):
                count(f"upstream_{answer.status.name.lower()}")
                if answer.host_drains:
                    house.drains(choice.backend)
                if answer.downstream_left:
                    count("downstream_left")
                    house.decisions.tell(api.ClientGone(asked.id))
                house.decisions.tell(api.Outcome(asked.id, number, choice.backend, answer.status, took,
                                                 finished=answer.downstream_left))
                if answer.downstream_left:
                    return
                number += 1
                continue
            answer.standing.host = choice.backend
            house.connections.add(answer.standing)
            house.decisions.tell(api.Opened(asked.id, number, choice.backend, took))
            status = _carry(house, answer.standing)
            house.decisions.tell(api.Outcome(asked.id, number, choice.backend, status, micros(now() - sent),
                                             finished=True))
            return
    finally:
        house.decisions.release(visit)


def _send(house: House, downstream: Downstream, choice: api.Attempt) -> Answer:
    host = house.cluster.find(choice.backend)
    # The list may have changed since the module chose; nothing reaches a host that is not in it.
    if host is None or not house.cluster.takes_work(host):
        return NotUp(Status.NO_ROUTE)
    house.counters.add("upstream_requests")
    return downstream.upstream_request(host.address, span(choice.until_us), house.connect_within,
                                       lambda: house.cluster.takes_work(host))


def _carry(house: House, standing: Standing) -> Status:
    house.counters.add("answered_served")
    try:
        status = standing.carry(house.observer)
    finally:
        house.connections.remove(standing)
    house.counters.add("moved" if standing.moved else f"ended_{status.name.lower()}")
    return status


def _resume(house: House, downstream: Downstream, asked: Asked, request: api.Request) -> None:
    """A connection that its upstream host already holds: it goes there as it is, with no choice to make."""
    until = now() + asked.wait
    host = house.cluster.find(asked.bound_to or "")
    answer: Answer = NotUp(Status.NO_ROUTE) if host is None else downstream.upstream_request(
        host.address, until, asked.wait, lambda: True)
    house.counters.add("resumed")
    if isinstance(answer, NotUp):
        house.counters.add(f"resume_{answer.status.name.lower()}")
        if not answer.downstream_left:
            house.counters.add("answered_failed")
            downstream.fail()
        return
    answer.standing.host = asked.bound_to or ""
    house.connections.add(answer.standing)
    house.decisions.tell(api.Inherited(request, asked.bound_to or ""))
    status = _carry(house, answer.standing)
    house.decisions.tell(api.Outcome(asked.id, 0, asked.bound_to or "", status, 0, finished=True))
