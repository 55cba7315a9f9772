"""What operators' calls mean. Knows no wire; whatever waits is asked again, so nothing here blocks its caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Protocol

from bramblestile.clock import now
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.operations.http import HttpRequest, HttpResponse
from bramblestile.operations.orders import OrderNotSavedError, Orders

SUCCESS = HttpResponse(200, "yes")
NOT_FOUND = HttpResponse(404, "no such path")
SUSPEND_TIMEOUT = timedelta(milliseconds=500)  # for what is being written to a host to be whole, before the yes
PendingResponse = Callable[[], HttpResponse | None]  # None: not yet


class ManagedBalancer(Protocol):
    """What can be done to a balancer. None of it waits for a socket or for the decisions."""

    def unready_reason(self) -> str | None: ...

    def is_known(self, host: str) -> bool:
        """The host is listed, or is out by an order."""

    def started_at(self, host: str) -> timedelta | None:
        """Its last start, as listed."""

    def change_orders(self, change: Callable[[Orders], Orders]) -> None:
        """Save and apply it; no send that it forbids begins after the return. Raises OrderNotSavedError."""

    def has_no_sends_in_progress(self, host: str) -> bool:
        """No request is being sent there."""

    def call_maintenance(self, verb: str, text: str) -> Callable[[], tuple[int, str] | None] | None:
        """A call about the order of work: what is to be asked until it gives status and text. None: there is none."""

    def fleet_view(self) -> str | None:
        """The members of the fleet, as JSON; None where this balancer is in none."""


class ManagementApi:
    """Each call is logged with who called and what came of it, and counted."""

    def __init__(self, operated: ManagedBalancer, counters: Counters) -> None:
        self._operated = operated
        self._counters = counters
        self._log = Log()

    def handle(self, call: HttpRequest) -> HttpResponse | PendingResponse:
        if call.path[:1] != ("v1",):
            return NOT_FOUND
        match call.path[1:]:
            case ("readyz",):
                if call.method not in ("GET", "HEAD"):
                    return HttpResponse(405, "GET it", allow="GET, HEAD")
                why = self._operated.unready_reason()
                return SUCCESS if why is None else HttpResponse(503, why)
            case ("work",) | ("work", "history"):
                if call.method not in ("GET", "HEAD"):
                    return HttpResponse(405, "GET it", allow="GET, HEAD")
                return self._work("history" if len(call.path) > 2 else "show", "")
            case ("work", "plan" | "start" | "pause" | "resume" | "abort" as verb):
                return self._put(call) or self._work(verb, call.body.decode("utf-8", "replace"))
            case ("work", "done" | "drop" | "forget" as verb, name):
                return self._put(call) or self._work(verb, name)
            case ("fleet",):
                if call.method not in ("GET", "HEAD"):
                    return HttpResponse(405, "GET it", allow="GET, HEAD")
                told = self._operated.fleet_view()
                return HttpResponse(404, "this balancer is in no fleet") if told is None else HttpResponse(200, told)
            case ("balancer", "drain" | "activate" as what):
                return self._put(call) or self._drain(what == "drain")
            case ("image-servers", host, "suspend" | "resume" as what):
                return self._put(call) or self._host(host, what == "suspend")
        return NOT_FOUND

    def _work(self, verb: str, text: str) -> HttpResponse | PendingResponse:
        pending = self._operated.call_maintenance(verb, text)
        if pending is None:
            return HttpResponse(404, "this balancer has no part in an order of work")

        def answer() -> HttpResponse | None:
            got = pending()
            return None if got is None else HttpResponse(*got)

        return answer

    def _put(self, call: HttpRequest) -> HttpResponse | None:
        return None if call.method == "PUT" else HttpResponse(405, "PUT it", allow="PUT")

    def _drain(self, drained: bool) -> HttpResponse:
        return self._order(lambda orders: replace(orders, drained=drained)) or SUCCESS

    def _host(self, host: str, out: bool) -> HttpResponse | PendingResponse:
        if not self._operated.is_known(host):
            return HttpResponse(404, "no image server of this id is listed")

        def change(orders: Orders) -> Orders:
            return orders.suspend(host, now()) if out else orders.resume(host, now(), self._operated.started_at(host))

        refused = self._order(change)
        if refused or not out:
            return refused or SUCCESS
        until = now() + SUSPEND_TIMEOUT

        def pending() -> HttpResponse | None:
            """What began to be sent there before the order ends first: from the yes on nothing reaches it."""
            if self._operated.has_no_sends_in_progress(host):
                return SUCCESS
            return HttpResponse(503, "taken out, but a request is still being sent there") if now() >= until else None

        return pending() or pending

    def _order(self, change: Callable[[Orders], Orders]) -> HttpResponse | None:
        try:
            self._operated.change_orders(change)
        except OrderNotSavedError as error:
            return HttpResponse(503, f"not taken, as it cannot be kept: {error}")
        return None

    def record_response(self, peer: str, method: str, path: str, answer: HttpResponse) -> None:
        self._counters.add("management_yes" if answer.is_success else "management_no")
        if method == "GET" or answer.status in (400, 408):
            return  # asked over and over: counted, not logged
        self._log.info("management", peer=peer, call=f"{method} {path}", status=answer.status, text=answer.text)
