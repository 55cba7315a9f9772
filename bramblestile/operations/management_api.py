"""The management API: what each call does to the balancer. It knows no sockets and never blocks its caller.

A call that cannot be answered at once returns a function that is polled until it returns the response.
"""

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
SUSPEND_TIMEOUT = timedelta(milliseconds=500)  # for requests that are being sent to a host when it is suspended
PendingResponse = Callable[[], HttpResponse | None]  # returns None until the response is available


class ManagedBalancer(Protocol):
    """What the management API needs from the balancer. No method waits for a socket or for the decisions' lock."""

    def unready_reason(self) -> str | None:
        """Return why the process is not ready to serve, or None if it is."""

    def is_known(self, host: str) -> bool:
        """Return whether the host is listed or suspended."""

    def started_at(self, host: str) -> timedelta | None:
        """Return the time of the host's last start according to the list, or None if that is unknown."""

    def change_orders(self, change: Callable[[Orders], Orders]) -> None:
        """Save and apply a change to the orders; after the return no send begins that they forbid.

        Raises OrderNotSavedError if they cannot be saved; they then stay as they were.
        """

    def has_no_sends_in_progress(self, host: str) -> bool:
        """Return whether no request is being sent to the host."""

    def call_maintenance(self, verb: str, text: str) -> Callable[[], tuple[int, str] | None] | None:
        """Submit a call to the maintenance service.

        Returns a function to poll until it returns the status and the text of the response, or None if this balancer
        takes no part in maintenance.
        """

    def fleet_view(self) -> str | None:
        """Return the members of the fleet as JSON, or None if this balancer belongs to no fleet."""


class ManagementApi:
    """Handles management calls. Each call is counted, and logged with its caller and its result."""

    def __init__(self, balancer: ManagedBalancer, counters: Counters) -> None:
        self._balancer = balancer
        self._counters = counters
        self._log = Log()

    def handle(self, request: HttpRequest) -> HttpResponse | PendingResponse:
        """Perform a call and return its response, or a function to poll for the response."""
        if request.path[:1] != ("v1",):
            return NOT_FOUND
        match request.path[1:]:
            case ("readyz",):
                if request.method not in ("GET", "HEAD"):
                    return HttpResponse(405, "GET it", allow="GET, HEAD")
                reason = self._balancer.unready_reason()
                return SUCCESS if reason is None else HttpResponse(503, reason)
            case ("work",) | ("work", "history"):
                if request.method not in ("GET", "HEAD"):
                    return HttpResponse(405, "GET it", allow="GET, HEAD")
                return self._call_maintenance("history" if len(request.path) > 2 else "show", "")
            case ("work", "plan" | "start" | "pause" | "resume" | "abort" as verb):
                return self._require_put(request) or self._call_maintenance(
                    verb, request.body.decode("utf-8", "replace")
                )
            case ("work", "done" | "drop" | "forget" as verb, name):
                return self._require_put(request) or self._call_maintenance(verb, name)
            case ("fleet",):
                if request.method not in ("GET", "HEAD"):
                    return HttpResponse(405, "GET it", allow="GET, HEAD")
                fleet = self._balancer.fleet_view()
                return HttpResponse(404, "this balancer is in no fleet") if fleet is None else HttpResponse(200, fleet)
            case ("balancer", "drain" | "activate" as action):
                return self._require_put(request) or self._set_drained(action == "drain")
            case ("image-servers", host, "suspend" | "resume" as action):
                return self._require_put(request) or self._set_suspended(host, action == "suspend")
        return NOT_FOUND

    def _call_maintenance(self, verb: str, text: str) -> HttpResponse | PendingResponse:
        poll = self._balancer.call_maintenance(verb, text)
        if poll is None:
            return HttpResponse(404, "this balancer has no part in an order of work")

        def pending() -> HttpResponse | None:
            result = poll()
            return None if result is None else HttpResponse(*result)

        return pending

    def _require_put(self, request: HttpRequest) -> HttpResponse | None:
        return None if request.method == "PUT" else HttpResponse(405, "PUT it", allow="PUT")

    def _set_drained(self, drained: bool) -> HttpResponse:
        return self._change_orders(lambda orders: replace(orders, drained=drained)) or SUCCESS

    def _set_suspended(self, host: str, suspended: bool) -> HttpResponse | PendingResponse:
        if not self._balancer.is_known(host):
            return HttpResponse(404, "no image server of this id is listed")

        def suspend_or_resume_host(orders: Orders) -> Orders:
            """Return the operator's orders with this host suspended or resumed.

            Resuming needs the time of the host's last start: the slow start of a host that was restarted while it was
            suspended counts from that time.
            """
            return (
                orders.suspend(host, now())
                if suspended
                else orders.resume(host, now(), self._balancer.started_at(host))
            )

        error_response = self._change_orders(suspend_or_resume_host)
        if error_response or not suspended:
            return error_response or SUCCESS
        deadline = now() + SUSPEND_TIMEOUT

        def pending() -> HttpResponse | None:
            """Succeed once the sends that began before the order have ended; no request reaches the host after that."""
            if self._balancer.has_no_sends_in_progress(host):
                return SUCCESS
            return (
                HttpResponse(503, "taken out, but a request is still being sent there") if now() >= deadline else None
            )

        return pending() or pending

    def _change_orders(self, change: Callable[[Orders], Orders]) -> HttpResponse | None:
        try:
            self._balancer.change_orders(change)
        except OrderNotSavedError as error:
            return HttpResponse(503, f"not taken, as it cannot be kept: {error}")
        return None

    def record_response(self, peer: str, method: str, path: str, response: HttpResponse) -> None:
        """Count a response and log it; responses to GET requests and to malformed requests are only counted."""
        self._counters.add("management_yes" if response.is_success else "management_no")
        if method == "GET" or response.status in (400, 408):
            return  # these repeat too often to be logged
        self._log.info("management", peer=peer, call=f"{method} {path}", status=response.status, text=response.text)
