"""Every decision of the balancer. Its types, events and actions are in vanegw/interface.py.

The ordinary path: the backends that are eligible -> their weights -> one weighted random draw. A weight is the
backend's relative size x (1 / its load) ^ LOAD_EXPONENT, scaled so that the largest is MAX_WEIGHT and none is below 1.
Each exception masks a backend, multiplies a weight, or answers, retries or moves a request. Nothing else ever chooses
a backend.

Four rules hold whatever happens:

1. Each request gets exactly one final answer, before its deadline.
2. A request that may have run is repeated only where a repeat has no second effect.
3. A backend that is not running gets nothing new, from the moment the list says so.
4. All balancers together send a cold backend no more than its warm-up allows.

Loads are shares of a backend's capacity: at 1.0 it is saturated. Times are integer microseconds.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from heapq import nsmallest
from random import Random

from vanegw import interface as api
from vanegw.interface import ListMode, NoteKind, Scope, State, Status
from vanegw.state import BackendState, LastSeenTimes, TrackedRequest, rendezvous_hash

# Weights.

# The largest weight of a draw; the smallest is 1, so that every eligible backend keeps a chance.
MAX_WEIGHT = 256.0
# A load counts as at least the average divided by this: an idle backend must not attract every new connection.
MIN_LOAD_DIVISOR = 4.0
# Exponent of the inverse load: how strongly the draw prefers backends with little load.
LOAD_EXPONENT = 3.0
# The weight of a backend in another zone is 1 / (1 + this x the price of crossing zones).
CROSS_ZONE_PENALTY = 50.0
# A reported figure above this is a faulty reading, as is a negative one.
MAX_PLAUSIBLE_VALUE = 1e6
# Number of reports over which the average load of the fleet is smoothed.
AVERAGE_WINDOW_REPORTS = 16
# Each update of the list multiplies the remembered size of the fleet by this. A release passes before the size has
# shrunk much; a fleet that stays smaller is taken at its new size in the end.
TOTAL_SIZE_DECAY = 0.99
# Without quotas, the fleet is assumed to hold at least so many connections for each backend: a balancer that has just
# started holds few itself, and must not take a few placements for a full fleet.
MIN_CONNECTIONS_PER_BACKEND = 4.0
# A backlog is to be worked off within this time: until then, the messages of new connections miss their aim.
BACKLOG_TARGET_S = 1.0

# Choosing the sample and probing it.

# Backends probed for one request: recent reports of a few are worth more than old reports of all.
SAMPLE_SIZE = 4
# A group's connections go to the first healthy backends among this many of the best ranked for the group.
GROUP_RANKED_BACKENDS = SAMPLE_SIZE * 4
# Part of the set-up objective for which a request waits for its probes.
PROBE_WAIT_SHARE = 1 / 8
# The wait for probes takes at most the remaining time divided by this.
PROBE_WAIT_REMAINING_DIVISOR = 4
# A full backend is probed again when its report is this old: it may count as full only because of the placements that
# this balancer has made since.
FULL_LOAD_LIFETIME_US = 400_000
# A report is about this old on arrival: placements of that time are not in it.
REPORT_AGE_US = 700_000
# Mean interval of the load probes to backends that hold connections of this balancer.
LOAD_POLL_INTERVAL_US = 2_000_000
# A backend at this load gets nothing new: overload would cost it all the connections that it holds.
FULL_LOAD = 0.8

# Attempts and retries.

# Part of the set-up objective that an attempt may take while another may follow.
ATTEMPT_TIMEOUT_SHARE = 1 / 3
# Objectives added to that time-out, times the recent share of attempts that timed out. Where everything is slow, an
# early retry would add load to load.
TIMEOUT_RATE_EXTENSION = 4.0
# No retry when the time left to the deadline is less than the set-up objective divided by this.
MIN_RETRY_OBJECTIVE_DIVISOR = 16
# Number of attempts over which the rate of time-outs is smoothed; few, because a storm of arrivals lasts seconds.
TIMEOUT_RATE_WINDOW_ATTEMPTS = 4
# A connection that is cut within this time of its start was shed by a backend that is too busy.
SHED_CONNECTION_AGE_US = 4_000_000
# Part of the arrivals that is refused when every attempt times out. Each arrival then adds to the congestion, but some
# have to be let through to notice its end.
MAX_CONGESTION_REFUSAL_SHARE = 0.8
# A refused client is told to wait for at least about this part of the longest wait.
MIN_RETRY_AFTER_SHARE = 0.3

# Masks for backends that failed.

# First duration of a mask, in set-up objectives. It doubles with each consecutive failure.
MASK_OBJECTIVES = 10
# Failures beyond this number lengthen a mask no further.
MAX_CONSECUTIVE_FAILURES = 4
# When more than this share of the fleet is masked, the masks are ignored: late reports or a zone that is cut off from
# us make healthy backends look bad.
IGNORE_MASKS_SHARE = 0.9
# Among more balancers than this, each sees few requests. It masks a backend that answers errors for longer, and tries
# no masked backend when all others are full: all balancers together would flood one that is shedding its load.
SMALL_DEPLOYMENT_BALANCERS = 4
# Ends of an attempt that count as a failure of its backend.
FAILURES = (Status.ERROR, Status.NO_ROOM, Status.TIMED_OUT, Status.NO_ROUTE, Status.CUT)

# Moving connections away from a backend.

# A backend that has returned nothing on any connection for this long loses all its connections.
BACKEND_SILENCE_MS = 1000.0
# A connection that has returned nothing for this long is moved.
CONNECTION_SILENCE_MS = 4000.0
# A message delay is believed for this long. Notes of a delay come once a second, so after two that are missing the
# backend counts as fast again.
MESSAGE_DELAY_LIFETIME_US = 2_500_000
# Load that a message delay of one message aim counts for: a move costs less than a backlog.
LOAD_PER_MESSAGE_AIM = 0.12
# A backend that reports more load than this sheds connections too, also where no message shows its delay.
OVERLOAD = 1.1
# A reported overload counts this many times: the report is some time old, and the load is still rising.
REPORTED_OVERLOAD_FACTOR = 1.25
# Minimum interval between sheddings for reported load: a report must be able to show the effect of the last one.
SHED_INTERVAL_US = 2_000_000
# A backend whose messages miss their aim sheds connections down to this load.
SHED_TARGET_LOAD = 0.85
# The part moved at once is the free load of the fleet below FULL_LOAD times this, at most all of it: in a full fleet
# the moved clients return as a storm of set-ups and find no better place.
SHED_SHARE_PER_FREE_LOAD = 4.0
# The part moved is at least this: a saturated backend that nobody leaves stays saturated.
MIN_SHED_SHARE = 0.15
# In microseconds of work a second. A smaller load of a connection is negligible, or it is a delay in milliseconds,
# which some backends send as the same kind of note.
MIN_CONNECTION_LOAD = 5e3

# Quotas of tenants.

# Average load above which tenants are held to their quotas.
QUOTA_ENFORCEMENT_LOAD = 0.6
# Times its quota that a tenant may hold even then.
QUOTA_TOLERANCE = 1.1

# Subscription to the backend list.

# The first subscription is sent at a random time within this, so that balancers that start together spread out.
SUBSCRIBE_JITTER_US = 1_000_000
# Each failure doubles that time, this many times at most, to 4 s: a change that was announced during an outage of the
# list must be respected from 6 s after the end of the outage.
MAX_SUBSCRIBE_DOUBLINGS = 2

# Tokens of timers; the probe wait is followed by the request's id, the drain by the backend's name.
SUBSCRIBE_TIMER = "ask"
PROBE_WAIT_TIMER = "hold "
DRAIN_TIMER = "left "
LOAD_POLL_TIMER = "look"


class Balancer:
    """The decisions of one balancer process."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start with an empty backend list. Equal seeds and events give equal actions."""
        self.reconfigure(settings)
        self.random = Random(seed)
        self.backends: dict[str, BackendState] = {}
        self.requests: dict[str, TrackedRequest] = {}
        self.awaiting_probes: dict[str, None] = {}  # ids of requests held until their probes are answered, in order
        self.average_load = 0.0
        self.report_count = 0  # counted up to AVERAGE_WINDOW_REPORTS
        self.weights: dict[str, float] = {}  # of the running backends, for choosing samples
        self.weights_at_us: int | None = None
        self.ignore_masks = False  # nearly all backends are masked, so the masks are not believed
        self.failed_subscriptions = 0
        self.full_load = FULL_LOAD
        self.open_connections = 0
        self.total_size = 1.0  # of all backends together
        # Within the last load_lifetime_us: clients that came, those of them that had a connection before, and own
        # connections that ended.
        self.recent_arrivals = LastSeenTimes()
        self.recent_returns = LastSeenTimes()
        self.recent_ends = LastSeenTimes()
        self.cold_attempts_us: list[int] = []  # times of own attempts at cold backends within the last fall_us
        self.cold_rounding = 0.0  # the fraction of one attempt that the budget for cold backends is rounded up by
        self.cold_rounding_at_us = -math.inf
        self.load_poll_scheduled = False
        self.tenant_connections: Counter[str | None] = Counter()  # own open connections of each tenant
        self.timeout_rate = 0.0  # share of the latest attempts that timed out or were shed
        self.is_shutting_down = False
        self.now_us = 0
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            api.BackendList: self._on_backend_list,
            api.Request: self._on_request,
            api.Inherited: self._on_inherited,
            api.Opened: self._on_opened,
            api.Note: self._on_note,
            api.Outcome: self._on_outcome,
            api.ClientGone: self._on_client_gone,
            api.ProbeResult: self._on_probe_result,
            api.TimerFired: self._on_timer_fired,
            api.Shutdown: self._on_shutdown,
        }

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings to all later decisions. Open connections and waiting requests keep their class."""
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.min_objective_us = min(c.objective_us for c in settings.classes)
        # A reported load is trusted fully for the longest time that a client may wait, and less and less after that.
        self.load_lifetime_us = max(c.deadline_us for c in settings.classes)
        # Message aim: the latency target of one message. This is the shortest of all classes; 0: a class has none.
        self.min_message_aim_s = min(c.message_aim_us for c in settings.classes) / 1e6
        self.quotas = {t.name: t.quota_connections for t in settings.tenants if t.quota_connections > 0}

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions that it calls for, in order."""
        self.now_us = now_us
        self.actions = []
        self.handlers[type(event)](event)
        return self.actions

    # The backend list.

    def _on_backend_list(self, event: api.BackendList) -> None:
        """Replace or update the backends, and schedule the next subscription where one is needed."""
        if event.mode is ListMode.UNAVAILABLE:
            self.failed_subscriptions += 1
            doublings = min(self.failed_subscriptions, MAX_SUBSCRIBE_DOUBLINGS)
            self._schedule_subscribe(SUBSCRIBE_JITTER_US * 2**doublings)
            return
        self.failed_subscriptions = 0
        self.weights_at_us = None  # the next sample must not name a backend that is no longer listed
        if event.mode is not ListMode.CHANGES:
            listed_names = {info.name for info in event.backends}
            self.backends = {name: backend for name, backend in self.backends.items() if name in listed_names}
        for info in event.backends:
            backend = self.backends.get(info.name)
            if info.state is State.GONE:
                self.backends.pop(info.name, None)
            elif backend is None or backend.info.started_us != info.started_us:
                # A restarted backend is cold, and nothing learned from its previous process still holds.
                self.backends[info.name] = BackendState(info)
            else:
                backend.info = info
                if info.state is State.DRAINING and backend.connections:
                    # Most backends send their clients away themselves; the rest are moved after the grace period.
                    self._set_timer(self.settings.drain_grace_us, DRAIN_TIMER + info.name)
        running_size = sum(self._relative_size(b) for b in self.backends.values() if b.info.state is State.RUNNING)
        warm_size = sum(self._relative_size(b) for b in self.backends.values() if self._warmth(b) >= 1)
        # A draining backend and its cold successor count once, hence the larger of the two sums. Quotas are shares of
        # the whole fleet, so where there are any the size shrinks slowly.
        remembered_size = self.total_size * TOTAL_SIZE_DECAY if self.quotas else 0.0
        self.total_size = max(running_size, warm_size, remembered_size) or 1.0
        if event.mode is ListMode.RESTORED and self.settings.list_on_request:
            self._schedule_subscribe(SUBSCRIBE_JITTER_US)

    def _schedule_subscribe(self, max_delay_us: int) -> None:
        """Subscribe after a random delay: the list serves few calls a second, and many balancers may start at once."""
        self._set_timer(int(max_delay_us * self.random.random()), SUBSCRIBE_TIMER)

    # Requests.

    def _on_request(self, event: api.Request) -> None:
        """Track a new request, and refuse it or choose a sample of backends for it."""
        request_class = self.classes.get(event.cls)
        if request_class is None:
            # Whether it may be repeated is unknown, so it must not be served as another class.
            self.actions.append(api.Fail(event.id))
            return
        tracked = TrackedRequest(event, request_class, self.now_us + event.remaining_us)
        self.requests[event.id] = tracked
        for recent in (self.recent_arrivals, self.recent_returns, self.recent_ends):
            recent.discard_until(self.now_us - self.load_lifetime_us)
        # A client that is refused comes again and again under the same key, and counts once.
        client = event.id if event.key is None else event.key
        self.recent_arrivals.record(client, self.now_us)
        if event.is_return:
            self.recent_returns.record(client, self.now_us)
        tracked.may_use_cold = self._cold_budget_remains()
        refusal_share = MAX_CONGESTION_REFUSAL_SHARE * self.timeout_rate**2
        is_refused = self._exceeds_quota(event.tenant) or self.random.random() < refusal_share
        if is_refused or self.is_shutting_down:
            self._give_up(tracked)
        else:
            self._choose_sample(tracked)

    def _count_connection(self, tracked: TrackedRequest, change: int) -> None:
        self.open_connections += change
        tenant = tracked.request.tenant
        self.tenant_connections[tenant] += change
        if not self.tenant_connections[tenant]:
            del self.tenant_connections[tenant]  # clients may make up names without end
        self._schedule_load_poll()

    def _schedule_load_poll(self) -> None:
        """While connections are open, probe the backends that hold them regularly, to notice overload there."""
        may_probe = self.settings.may_probe and self.settings.reports_load
        if self.open_connections and not self.load_poll_scheduled and may_probe:
            self.load_poll_scheduled = True
            delay_us = int(LOAD_POLL_INTERVAL_US * (0.5 + self.random.random()))
            self._set_timer(delay_us, LOAD_POLL_TIMER)

    def _exceeds_quota(self, tenant: str | None) -> bool:
        """Tell whether a tenant is beyond its quota while the fleet is busy.

        Traffic beyond a quota is worth little. A fraction of a connection in the quota is granted by chance.
        """
        quota = self.quotas.get(tenant or "", math.inf) / self.settings.balancers
        return (
            self.average_load > QUOTA_ENFORCEMENT_LOAD
            and self.tenant_connections[tenant] + self.random.random() > quota * QUOTA_TOLERANCE
        )

    def _choose_sample(self, tracked: TrackedRequest) -> None:
        """Choose the few backends among which to decide, and wait for probes of those whose load is out of date."""
        tracked.sample = self._sample_backends(tracked) or tracked.sample
        # After a full sample, newer reports are wanted: this balancer's placements may have made it look full.
        lifetime_us = FULL_LOAD_LIFETIME_US if tracked.full_samples else self.load_lifetime_us
        probed = [
            name
            for name in tracked.sample
            if name in self.backends and self._request_load(self.backends[name], lifetime_us)
        ]
        if probed:
            self.awaiting_probes[tracked.request.id] = None
            share_us = int(tracked.request_class.objective_us * PROBE_WAIT_SHARE)
            max_wait_us = (tracked.deadline_us - self.now_us) // PROBE_WAIT_REMAINING_DIVISOR
            self._set_timer(min(share_us, max_wait_us), PROBE_WAIT_TIMER + tracked.request.id)
        else:
            self._place_request(tracked)

    def _request_load(self, backend: BackendState, lifetime_us: int) -> bool:
        """Probe a backend unless its load is recent enough; return whether an answer is awaited."""
        is_recent = backend.load is not None and self.now_us - backend.load_at_us < lifetime_us
        if is_recent or not (self.settings.may_probe and self.settings.reports_load):
            return False
        if backend.probe_sent_at_us is None:  # a backend that does not answer has one probe outstanding at most
            backend.probe_sent_at_us = self.now_us
            self.actions.append(api.Probe(backend.info.name))
        return True

    def _place_request(self, tracked: TrackedRequest) -> None:
        """Make one weighted draw among the sampled backends that may take the request.

        Backends that have answered their probe come before those that have not. Where all are full, take another
        sample, and in the end refuse: that sheds load.
        """
        self.awaiting_probes.pop(tracked.request.id, None)
        eligible = [name for name in tracked.sample if self._is_eligible(name, tracked)]
        answered = [name for name in eligible if self.backends[name].probe_sent_at_us is None]
        available = [name for name in answered or eligible if self._has_capacity(self.backends[name])]
        max_full_samples = 1 + (self.settings.balancers <= SMALL_DEPLOYMENT_BALANCERS)
        if self.now_us >= tracked.deadline_us:
            self._give_up(tracked)
        elif available:
            chosen = self.random.choices(available, self._scaled_weights(available))[0]
            self._send_attempt(tracked, chosen)
        elif tracked.full_samples == max_full_samples:
            self._give_up(tracked)
        else:
            tracked.full_samples += 1
            self._choose_sample(tracked)

    def _scaled_weights(self, names: list[str]) -> list[float]:
        weights = [self._weight(self.backends[name]) for name in names]
        largest = max(weights, default=1.0)
        return [max(1.0, weight / largest * MAX_WEIGHT) for weight in weights]

    def _send_attempt(self, tracked: TrackedRequest, name: str) -> None:
        """Send the request to a backend, with a time-out that leaves time for another attempt if one may follow."""
        backend = self.backends[name]
        remaining_us = tracked.deadline_us - self.now_us
        may_retry = len(tracked.attempted) + 1 < self.settings.try_limit
        # A backend in another zone needs longer for its handshakes alone.
        share = ATTEMPT_TIMEOUT_SHARE / self._zone_factor(backend)
        objectives = share + TIMEOUT_RATE_EXTENSION * self.timeout_rate if may_retry else math.inf
        timeout_us = int(min(remaining_us, tracked.request_class.objective_us * objectives))
        tracked.attempted.append(name)
        tracked.attempt_pending = True
        tracked.attempt_started_at_us = self.now_us
        tracked.attempt_backend = backend.info
        if backend.load is None:  # it may never report one; only those of REPORT_AGE_US would count after a report
            backend.discard_placements_until(self.now_us - REPORT_AGE_US)
        backend.unreported_placements_us.append(self.now_us)
        if self._warmth(backend) < 1:
            self.cold_attempts_us.append(self.now_us)
        until_us = self.now_us + max(timeout_us, 1)
        self.actions.append(api.Attempt(tracked.request.id, name, until_us, self._repeat_until_us(tracked)))

    # Weights.

    def _weight(self, backend: BackendState) -> float:
        """Relative size x (average / clamped load) ^ LOAD_EXPONENT, times the factors for zone and warm-up."""
        concurrent_load = self._concurrent_load()
        clamped_load = max(self._estimated_load(backend), self.average_load / MIN_LOAD_DIVISOR) + concurrent_load
        average_load = self.average_load + concurrent_load
        weight = (average_load / clamped_load) ** LOAD_EXPONENT if self.average_load > 0 else 1.0
        return weight * self._zone_factor(backend) * self._relative_size(backend) * self._warmth(backend)

    def _concurrent_load(self) -> float:
        """Estimate the load, as a share of all backends' capacity, that the other balancers have added recently.

        In a rush of arrivals all balancers see the same idle backend in the same load reports and would fill it
        together. So each recent arrival at this balancer is assumed to come with one at each other balancer. The
        exception is a client that reconnects although no connection of this balancer has ended: its connection was at
        another balancer that accepts no requests now, so no arrival is assumed there.
        """
        foreign_returns = max(0, len(self.recent_returns) - len(self.recent_ends))
        arrivals_elsewhere = len(self.recent_arrivals) * (self.settings.balancers - 1) - foreign_returns
        return arrivals_elsewhere / self._connection_capacity(backend=None)  # None: all backends together

    def _relative_size(self, backend: BackendState) -> float:
        """The listed weight; a faulty one (zero, negative, NaN, huge) counts as 1, as it would distort all shares."""
        size = backend.info.weight if self.settings.list_weights else 1.0
        return size if 0 < size <= MAX_PLAUSIBLE_VALUE else 1.0

    def _zone_factor(self, backend: BackendState) -> float:
        """Crossing zones is priced, not forbidden: the weight of another zone falls with the price."""
        is_other_zone = backend.info.zone != self.settings.zone
        return 1 / (1 + is_other_zone * CROSS_ZONE_PENALTY * self.settings.cross_zone_price)

    def _estimated_load(self, backend: BackendState) -> float:
        """The reported load, drawn toward the average as it ages, plus own later placements and the backlog."""
        if backend.load is None:
            return self.average_load
        trust = min(1.0, self.load_lifetime_us / max(1, self.now_us - backend.load_at_us))
        aged_load = self.average_load + (backend.load - self.average_load) * trust
        backlog_s = max(self._recent_message_delay_s(backend), backend.backlog_s * trust)
        placed_load = len(backend.unreported_placements_us) / self._connection_capacity(backend)
        return aged_load + placed_load + backlog_s / BACKLOG_TARGET_S

    def _recent_message_delay_s(self, backend: BackendState) -> float:
        is_recent = self.now_us - backend.message_delay_at_us < MESSAGE_DELAY_LIFETIME_US
        return backend.message_delay_s if is_recent else 0.0

    def _connection_capacity(self, backend: BackendState | None) -> float:
        """Connections that fill a backend, as warm as it is now, or all backends for None.

        The total is the sum of the tenants' quotas; without quotas it follows from own connections and average load.
        """
        part = self._relative_size(backend) * self._warmth(backend) / self.total_size if backend else 1.0
        connections = max(
            self.open_connections * self.settings.balancers, MIN_CONNECTIONS_PER_BACKEND * len(self.backends)
        )
        estimate = connections / (self.average_load or 1)
        return (sum(self.quotas.values()) or estimate or 1.0) * part

    def _cold_budget_remains(self) -> bool:
        """Tell whether this balancer may send another request to a cold backend now (rule 4 of this module).

        The bound holds for all balancers together, so each keeps to its share of the budget. A fraction of an attempt
        is granted by chance, drawn once in fall_us: drawn anew for each request, the grants would add up.
        """
        if self.now_us - self.cold_rounding_at_us >= self.settings.fall_us:
            self.cold_rounding = self.random.random()
            self.cold_rounding_at_us = self.now_us
        self.cold_attempts_us = [
            sent_us for sent_us in self.cold_attempts_us if self.now_us - sent_us < self.settings.fall_us
        ]
        cold_capacity = sum(self._connection_capacity(b) for b in self.backends.values() if self._warmth(b) < 1)
        budget = self.settings.fall_multiple * cold_capacity * self.settings.fall_us / max(1, self.settings.cold_us)
        return len(self.cold_attempts_us) + self.cold_rounding < budget / self.settings.balancers

    def _warmth(self, backend: BackendState) -> float:
        """The part of its full capacity that a backend surely has by now; 1 once its warm-up is over.

        The colder a backend is, the more of its capacity each connection fills.
        """
        started_us = backend.info.started_us
        settings = self.settings
        if started_us is None or self.now_us - started_us >= settings.cold_us:
            return 1.0
        return settings.cold_from + (1 - settings.cold_from) * max(0, self.now_us - started_us) / settings.cold_us

    # Eligible backends.

    def _is_eligible(self, name: str, tracked: TrackedRequest) -> bool:
        """Tell whether the rules allow the request on this backend at all."""
        backend = self.backends.get(name)
        if backend is None or backend.info.state is not State.RUNNING:
            return False
        return (tracked.may_use_cold or self._warmth(backend) >= 1) and self._may_repeat_on(backend, tracked)

    def _is_first_choice(self, name: str, tracked: TrackedRequest) -> bool:
        """Tell whether the backend is eligible, not yet tried for this request, and not masked for its failures."""
        is_trusted = self.ignore_masks or self.now_us >= self.backends[name].masked_until_us
        return is_trusted and name not in tracked.attempted and self._is_eligible(name, tracked)

    def _has_capacity(self, backend: BackendState) -> bool:
        misses_aim = self._recent_message_delay_s(backend) >= (self.min_message_aim_s or math.inf)
        # On average half of the concurrent placements came since the report.
        load = self._estimated_load(backend) + self._concurrent_load() / 2
        return load < self.full_load and not misses_aim

    def _may_repeat_on(self, backend: BackendState, tracked: TrackedRequest) -> bool:
        """Apply rule 2 of this module: a keyed request that may have run goes only where its repeat is recognised."""
        first = tracked.first_run_backend
        if first is None or tracked.request_class.effect is api.Effect.SAFE:
            return True
        repeat_until_us = self._repeat_until_us(tracked)
        if repeat_until_us is None or self.now_us >= repeat_until_us:
            return False
        candidate = backend.info
        in_scope = {
            Scope.ALL: True,
            Scope.ZONE: first.zone == candidate.zone,
            Scope.CELL: first.cell == candidate.cell,
        }
        return in_scope[tracked.request_class.dedup_scope]

    def _repeat_until_us(self, tracked: TrackedRequest) -> int | None:
        """Return when backends forget a keyed request that may have run; None for any other request."""
        if tracked.first_run_backend is None or tracked.request_class.effect is not api.Effect.KEYED:
            return None
        return tracked.started_at_us + tracked.request_class.memory_span_us

    def _sample_backends(self, tracked: TrackedRequest) -> list[str]:
        """Choose a sample: a group's own backends at first, then any, and at last those that fail but still answer."""
        self._refresh_weights()
        if tracked.full_samples == 2:  # also full with new reports
            remaining = [
                name
                for name in self.weights
                if self._is_eligible(name, tracked) and not self._is_first_choice(name, tracked)
            ]
            # One that answered with a failure may serve this request; one that timed out would use up its time.
            answering = [name for name in remaining if not self.backends[name].last_failure_was_timeout]
            return self.random.sample(answering, min(SAMPLE_SIZE, len(answering)))
        if self.settings.groups and tracked.request.group is not None and not tracked.full_samples:
            return self._sample_for_group(tracked)
        return self._weighted_sample(tracked)

    def _weighted_sample(self, tracked: TrackedRequest) -> list[str]:
        """Draw backends one by one by weight, without replacement; those of the previous sample come last."""
        fit = [name for name in self.weights if self._is_first_choice(name, tracked)]
        fit = fit or [name for name in self.weights if self._is_eligible(name, tracked)]
        # The order of exponential variates with the weights as rates is that of such a draw.
        draws = [(name in tracked.sample, self.random.expovariate(self.weights[name]), name) for name in fit]
        return [name for *_, name in nsmallest(SAMPLE_SIZE, draws)]

    def _sample_for_group(self, tracked: TrackedRequest) -> list[str]:
        """Choose the best-ranked backends of the request's group, by weighted rendezvous hashing.

        Connections of one group share work on a backend, so every balancer prefers the same few for a group.
        """
        ranked = []
        for name in self.weights:
            backend = self.backends[name]
            hashed = rendezvous_hash(backend, tracked.request.group or 0)
            ranked.append((-math.log(hashed) / self._zone_factor(backend) / self._relative_size(backend), name))
        best = [name for _, name in nsmallest(GROUP_RANKED_BACKENDS, ranked)]
        fit = [name for name in best if self._is_first_choice(name, tracked)]
        return fit[:SAMPLE_SIZE] or self._weighted_sample(tracked)

    def _refresh_weights(self) -> None:
        """Compute the weights of all running backends anew, once in load_lifetime_us."""
        if self.weights_at_us is not None and self.now_us - self.weights_at_us < self.load_lifetime_us:
            return
        self.weights_at_us = self.now_us
        names = [name for name, backend in self.backends.items() if backend.info.state is State.RUNNING]
        self.weights = dict(zip(names, self._scaled_weights(names), strict=True))
        masked = sum(self.now_us < self.backends[name].masked_until_us for name in self.weights)
        self.ignore_masks = masked > IGNORE_MASKS_SHARE * len(self.weights)

    # Results of attempts and probes.

    def _on_opened(self, event: api.Opened) -> None:
        """Count a connection as open; its backend has no failure to be masked for any more."""
        tracked = self.requests.get(event.id)
        backend = self.backends.get(event.backend)
        if tracked is None:
            return
        tracked.is_open = True
        tracked.started_at_us = self.now_us
        self._count_connection(tracked, 1)
        self._update_timeout_rate(timed_out_or_shed=False)
        if backend is not None:
            backend.connections[event.id] = None
            backend.consecutive_failures = 0
            backend.masked_until_us = -math.inf

    def _on_inherited(self, event: api.Inherited) -> None:
        """Track a connection that was opened before this balancer was created."""
        request_class = self.classes.get(event.request.cls, self.settings.classes[0])
        tracked = TrackedRequest(
            event.request,
            request_class,
            self.now_us,
            attempted=[event.backend],
            attempt_pending=True,
            is_open=True,
        )
        self.requests[event.request.id] = tracked
        self._count_connection(tracked, 1)
        backend = self.backends.get(event.backend)
        if backend is not None:
            backend.connections[event.request.id] = None

    def _on_note(self, event: api.Note) -> None:
        """Handle a measurement: move silent connections, record loads, and shed load where messages are late."""
        backend = self.backends.get(event.backend)
        tracked = self.requests.get(event.id)
        if tracked is not None and event.kind is NoteKind.SILENCE and event.value >= CONNECTION_SILENCE_MS:
            self._move_connection(event.id)
            return
        if backend is not None and event.kind is NoteKind.HUSH and event.value >= BACKEND_SILENCE_MS:
            # The backend died without closing its connections. Without a move, each client notices by a time-out.
            self._mask(backend, Status.TIMED_OUT)
            for request_id in list(backend.connections):
                self._move_connection(request_id)
            return
        is_load = event.kind is NoteKind.LOAD and MIN_CONNECTION_LOAD <= event.value <= MAX_PLAUSIBLE_VALUE
        if tracked is not None and is_load:
            tracked.load = event.value
        is_delay = event.kind is NoteKind.DELAY and _is_plausible(event.value)
        if backend is None or tracked is None or not is_delay:
            return
        load = self._load_from_delay(backend, event.value / 1000, tracked.request_class.message_aim_us / 1e6)
        if load:
            self._shed_connections(backend, load)

    def _load_from_delay(self, backend: BackendState, delay_s: float, aim_s: float) -> float:
        """Record a message delay; return the load that it shows where it misses its aim, else 0.

        A backlog grows by the load above 1, so the rise of the delay shows the load sooner than a report does.
        """
        elapsed_us = self.now_us - backend.message_delay_at_us
        is_recent = 0 < elapsed_us < MESSAGE_DELAY_LIFETIME_US
        rise = (delay_s - backend.message_delay_s) * 1e6 / elapsed_us if is_recent else 0.0
        backend.message_delay_s = delay_s
        backend.message_delay_at_us = self.now_us
        if 0 < aim_s <= delay_s:
            return max(0.0, 1 + rise) + LOAD_PER_MESSAGE_AIM * delay_s / aim_s
        return 0.0

    def _shed_connections(self, backend: BackendState, load: float) -> None:
        """Move the excess load off a backend whose messages miss their aim: a message that is late is worth nothing."""
        backend.last_shed_at_us = self.now_us
        free_load = self.full_load - self.average_load
        move_share = min(1.0, max(MIN_SHED_SHARE, free_load * SHED_SHARE_PER_FREE_LOAD))
        share = move_share * (1 - SHED_TARGET_LOAD / load)
        # The heaviest connections go first, so that the fewest moves take off the most. One that has reported no load
        # counts as the mean of the others, and is chosen by chance.
        reported = {request_id: self.requests[request_id].load for request_id in backend.connections}
        reported_count = sum(connection_load > 0 for connection_load in reported.values())
        mean = sum(reported.values()) / max(1, reported_count) or 1.0
        loads = {request_id: connection_load or mean for request_id, connection_load in reported.items()}
        excess = share * sum(loads.values())
        # A connection that is larger than what is left of the excess is moved with the matching probability.
        threshold = self.random.random()
        heaviest_first = sorted(
            loads, key=lambda request_id: reported[request_id] or mean * self.random.random(), reverse=True
        )
        for request_id in heaviest_first:
            if excess > loads[request_id] * threshold:
                self._move_connection(request_id)
                excess -= loads[request_id]

    def _move_connection(self, request_id: str) -> None:
        """Move an open connection: its client is told, and comes back as a new request."""
        self._forget(request_id)
        self.actions.append(api.Move(request_id))

    def _on_outcome(self, event: api.Outcome) -> None:
        """Handle the end of an attempt or a connection: update the figures, then retry or forget the request."""
        backend = self.backends.get(event.backend)
        tracked = self.requests.get(event.id)
        if backend is not None:
            self._apply_report(backend, event.report)
        if tracked is None or event.attempt != len(tracked.attempted) - 1:
            return
        tracked.attempt_pending = False
        # A backend that is too busy cuts its newest connections, so such a cut shows congestion, as a time-out does. An
        # error does not, nor the cut of an older connection, which may be the failure of a whole zone.
        was_shed = event.status is Status.CUT and self.now_us - tracked.started_at_us < SHED_CONNECTION_AGE_US
        self._update_timeout_rate(was_shed or event.status is Status.TIMED_OUT)
        if not tracked.is_open and backend is not None:
            del backend.unreported_placements_us[-1:]
            if event.status in FAILURES:
                self._mask(backend, event.status)
        if event.finished or tracked.is_open:
            self._forget(event.id)
            return
        # Backends drop repeats of a keyed request for a limited time, which counts from when it may first have run.
        if event.status.request_may_have_run and tracked.first_run_backend is None:
            tracked.first_run_backend = tracked.attempt_backend
            tracked.started_at_us = tracked.attempt_started_at_us
        self._retry(tracked)

    def _update_timeout_rate(self, timed_out_or_shed: bool) -> None:
        self.timeout_rate += (timed_out_or_shed - self.timeout_rate) / TIMEOUT_RATE_WINDOW_ATTEMPTS

    def _mask(self, backend: BackendState, status: Status) -> None:
        """Mask a backend that failed an attempt or a probe, for longer with each consecutive failure.

        One that answers errors holds nothing and so looks the best of all. The more balancers there are, the fewer
        requests each of them sees and the longer it masks such a backend, or all together would keep sending to it.
        """
        is_error = status is Status.ERROR
        deployment_factor = max(1.0, self.settings.balancers / SMALL_DEPLOYMENT_BALANCERS) if is_error else 1.0
        duration_us = MASK_OBJECTIVES * self.min_objective_us * 2**backend.consecutive_failures * deployment_factor
        backend.masked_until_us = self.now_us + duration_us
        backend.consecutive_failures = min(backend.consecutive_failures + 1, MAX_CONSECUTIVE_FAILURES)
        backend.last_failure_was_timeout = status is Status.TIMED_OUT

    def _retry(self, tracked: TrackedRequest) -> None:
        """Try another backend, or give up where no attempt or too little time is left, or the fleet is congested."""
        remaining_us = tracked.deadline_us - self.now_us
        min_remaining_us = tracked.request_class.objective_us // MIN_RETRY_OBJECTIVE_DIVISOR
        # Where everything times out, a retry only adds to the congestion.
        is_congested = self.random.random() < self.timeout_rate**2
        attempts_used_up = len(tracked.attempted) >= self.settings.try_limit
        is_last = attempts_used_up or self.is_shutting_down
        if is_congested or is_last or remaining_us < min_remaining_us:
            self._give_up(tracked)
        else:
            # Healthy backends come first again, also when this attempt went to a masked one.
            tracked.full_samples = min(tracked.full_samples, 1)
            self._choose_sample(tracked)

    def _give_up(self, tracked: TrackedRequest) -> None:
        """Send the one final answer (rule 1 of this module): a refusal where a retry is harmless, else a failure."""
        request_class = tracked.request_class
        is_harmless = (
            tracked.first_run_backend is None
            or request_class.effect is api.Effect.SAFE
            or (request_class.effect is api.Effect.KEYED and request_class.dedup_scope is Scope.ALL)
        )
        self._forget(tracked.request.id)
        # Never at once: the obstacle would still be there, and a client has few tries.
        wait_share = max(self.timeout_rate, MIN_RETRY_AFTER_SHARE * (0.5 + self.random.random()))
        retry_after_us = int(self.settings.max_retry_after_us * min(1.0, wait_share))
        request_id = tracked.request.id
        self.actions.append(api.Refuse(request_id, retry_after_us) if is_harmless else api.Fail(request_id))

    def _forget(self, request_id: str) -> TrackedRequest | None:
        """Remove a request that is over, and return what was known of it."""
        tracked = self.requests.pop(request_id, None)
        self.awaiting_probes.pop(request_id, None)
        if tracked is not None and tracked.is_open:
            self.recent_ends.record(request_id, self.now_us)
            self._count_connection(tracked, -1)
            backend = self.backends.get(tracked.attempted[-1])
            if backend is not None:
                backend.connections.pop(request_id, None)
        return tracked

    def _on_client_gone(self, event: api.ClientGone) -> None:
        tracked = self._forget(event.id)
        if tracked is not None and tracked.attempt_pending and not tracked.is_open and self.settings.may_cancel:
            self.actions.append(api.Cancel(event.id, len(tracked.attempted) - 1))

    def _on_probe_result(self, event: api.ProbeResult) -> None:
        """Apply a probe's report or mask the backend, and place the requests whose last awaited probe this was."""
        backend = self.backends.get(event.backend)
        if backend is not None:
            backend.probe_sent_at_us = None
            if event.status is Status.SERVED:
                self._apply_report(backend, event.report)
            elif event.status not in (Status.NO_ROOM, Status.ERROR):
                # A healthy backend that too many balancers probe answers with an error, so an error masks nothing.
                self._mask(backend, event.status)
        waiting = [self.requests[request_id] for request_id in self.awaiting_probes]
        for tracked in [request for request in waiting if event.backend in request.sample]:
            sampled = [self.backends[name] for name in tracked.sample if name in self.backends]
            if all(backend.probe_sent_at_us is None for backend in sampled):
                self._place_request(tracked)

    def _apply_report(self, backend: BackendState, report: api.Report | None) -> None:
        """Take the first plausible figure of a report as the backend's load, and shed connections if it is overloaded.

        The load and the utilisation are shares of the capacity. Counts (in flight, queued) have no level that is full.
        """
        if report is None:
            return
        for value in (report.load, report.utilisation, report.inflight, report.queue):
            if value is not None and _is_plausible(value):
                self.full_load = FULL_LOAD if value in (report.load, report.utilisation) else math.inf
                backend.load = value
                backend.load_at_us = self.now_us
                backend.discard_placements_until(self.now_us - REPORT_AGE_US)
                backend.backlog_s = report.backlog_s if report.backlog_s and _is_plausible(report.backlog_s) else 0.0
                self.report_count = min(self.report_count + 1, AVERAGE_WINDOW_REPORTS)
                # A slowed backend reports many times its capacity; to the fleet's average it is no more than full.
                is_share = self.full_load == FULL_LOAD
                counted_load = min(value, 1.0) if is_share else value
                self.average_load += (counted_load - self.average_load) / self.report_count
                excessive_load = value * REPORTED_OVERLOAD_FACTOR if is_share and value > OVERLOAD else 0.0
                if report.latency_ms is not None and _is_plausible(report.latency_ms):
                    # A backlog outlives its cause; until it is gone, every message exceeds its latency target (aim).
                    delay_load = self._load_from_delay(backend, report.latency_ms / 1000, self.min_message_aim_s)
                    excessive_load = max(excessive_load, delay_load)
                if excessive_load and self.now_us - backend.last_shed_at_us >= SHED_INTERVAL_US:
                    self._shed_connections(backend, excessive_load)
                return

    def _on_timer_fired(self, event: api.TimerFired) -> None:
        """Handle a timer by its token: subscribe, poll loads, move connections off a backend, or place a request."""
        if event.token == SUBSCRIBE_TIMER:
            self.actions.append(api.Subscribe())
            return
        if event.token == LOAD_POLL_TIMER:
            for backend in self.backends.values():
                if backend.connections and backend.info.state is State.RUNNING:
                    self._request_load(backend, self.load_lifetime_us)
            self.load_poll_scheduled = False
            self._schedule_load_poll()
            return
        if event.token.startswith(DRAIN_TIMER):
            drained = self.backends.get(event.token.removeprefix(DRAIN_TIMER))
        else:
            drained = None
        if drained is not None and drained.info.state is State.DRAINING:
            for request_id in list(drained.connections):
                self._move_connection(request_id)  # a client must be told before its backend goes away
        waiting_id = event.token.removeprefix(PROBE_WAIT_TIMER)
        if waiting_id in self.awaiting_probes:
            self._place_request(self.requests[waiting_id])

    def _on_shutdown(self, event: api.Shutdown) -> None:
        """Answer the requests that wait without an attempt; the others are answered when their attempts end."""
        self.is_shutting_down = True
        for tracked in list(self.requests.values()):
            if not tracked.attempt_pending:
                self._give_up(tracked)

    def _set_timer(self, delay_us: int, token: str) -> None:
        self.actions.append(api.SetTimer(max(1, delay_us), token))


def _is_plausible(value: float) -> bool:
    """Tell whether a reported figure can be true; NaN, infinite and negative ones are faulty readings."""
    return 0 <= value <= MAX_PLAUSIBLE_VALUE
