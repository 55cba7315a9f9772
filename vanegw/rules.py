"""Every decision of the balancer. Its types, events and actions are in vanegw/interface.py.

The ordinary path: backends that may take work -> weights -> one weighted random draw. A weight is relative
size x (1 / clamped load) ^ AGGRESSIVENESS, scaled to a top of 256 and floored at 1. An exception masks a
backend, multiplies a weight, or answers, retries or moves; nothing else ever picks a backend.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from heapq import nsmallest
from random import Random

from vanegw import interface as api
from vanegw.interface import ListMode, NoteKind, Scope, State, Status
from vanegw.state import Flight, Known, Lately, closeness

TOP_WEIGHT = 256.0  # a weight runs from 1 to this, as in the source
LIMITING_FACTOR = 4.0  # a load counts as at least the average over this, so an idle backend draws no flood
AGGRESSIVENESS = 3.0  # exponent of inverse load: how sharply weights lean away from loaded backends
SAMPLE = 4  # backends probed for a request: fresh figures for a few beat old ones for all
ABSURD = 1e6  # a reported figure beyond this, like one below nothing, is a broken reading
AVERAGE_SPAN = 16  # reports over which the average load of the fleet is remembered
HOLD_SHARE = 1 / 8  # part of the set-up aim for which a request waits for its probes
PATIENCE_SHARE = 1 / 3  # part of the set-up aim for an attempt while another may follow
ZONE_AVERSION = 50.0  # weight of another zone is 1 / (1 + this x the price of crossing)
PATIENCE_LATE = 4.0  # aims added to that, times the share of this relay's attempts that timed out of late
YOUNG_US = 4_000_000  # a connection that is cut within this of its start was shed
REST_SHARE = 0.3  # about this part of the longest wait is what a refused client is told at least
LATE_SPAN = 4  # attempts over which that share is remembered: a storm is over in seconds
JAM_REFUSAL = 0.8  # part of arrivals refused when all is late or cut: each adds to it, a few tell its end
SUSPECT_AIMS = 10  # a backend that failed is masked for so many set-up aims, doubled for each strike
MOST_STRIKES = 4  # strikes beyond this lengthen a mask no further
FULL_LOAD = 0.8  # a backend at this load takes nothing new: one more would cost all that it holds
DOUBT_SHARE = 0.9  # when more of the fleet than this looks bad, the evidence is (late reports, a cut zone)
SLOW_LIFE_US = 2_500_000  # slow notes come once a second: two missed and the backend is believed well again
WORK_OFF_S = 1.0  # a backlog should be worked off within this time: until then nothing is earned there
HUSH_MS = 1000.0  # a backend that has returned nothing on any connection for so long loses them all
MUTE_MS = 4000.0  # a connection that has returned nothing for so long is moved
OVERLOAD = 1.1  # a backend that reports more than this sheds too, where no message tells its delay
REPORT_LEAN = 1.25  # how much more load a report counts for: what it shows is some time old, and rising
RELIEF_EVERY_US = 2_000_000  # but not again before the report can show what the last moves have done
MOVE_TARGET = 0.85  # a backend whose messages miss their aim sheds what it holds down to this load
MOVE_EAGERNESS = 0.12  # load that a delay of one message aim counts for: a move costs less than a backlog
PRESSURE = 0.6  # average load from which a tenant is held to its share
SHARE_SLACK = 1.1  # times its share that a tenant may hold even then
MOVE_ROOM = 4.0  # moves slow down when less than one over this is free below FULL_LOAD
MOVE_LEAST = 0.15  # but never below this part: a saturated backend that nobody leaves stays saturated
ASK_SPREAD_US = 1_000_000  # first subscription within this time, to spread relays that start together
ASK_DOUBLINGS = 2  # of that spread after failures: what is told meanwhile counts as heard after 6 s
LOOK_EVERY_US = 2_000_000  # about so often a backend that holds connections is asked for its load
FEW = 4  # relays: with more, each sees less, masks who errs for longer, and none goes on to hosts that shed
REASK_US = 400_000  # a full backend is asked again so soon: it may have been full of our own guesses
REPORT_AGE_US = 700_000  # a report is about so old when it comes: placements since then are not in it
SIZE_FADES = 0.99  # with each news of the list: a release passes, a fleet that stays smaller counts as that
LEAST_LOAD = 5e3  # microseconds of work a second: less is next to nothing, or a delay by the same word
ASK, HOLD, LEFT, LOOK = "ask", "hold ", "left ", "look"  # what a timer is for
FAILURES = (Status.ERROR, Status.NO_ROOM, Status.TIMED_OUT, Status.NO_ROUTE, Status.CUT)


class Balancer:
    """The decisions of one relay."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.reconfigure(settings)
        self.random = Random(seed)
        self.backends: dict[str, Known] = {}
        self.flights: dict[str, Flight] = {}
        self.waiting: dict[str, None] = {}  # requests held until their probes answer, in order
        self.average = 0.0
        self.reports = 0  # counted up to AVERAGE_SPAN
        self.table: dict[str, float] = {}  # the weights of those that may take work
        self.table_at: int | None = None
        self.doubt = False  # most backends look bad: do not believe it
        self.failed_asks = 0
        self.full, self.standing = FULL_LOAD, 0
        self.size = 1.0  # of all backends together
        # When clients came, those who had stood before, and when own connections ended, in the last fresh_us.
        self.arrivals, self.returned, self.parted = Lately(), Lately(), Lately()
        self.warmed: list[int] = []  # when this relay sent to cold backends, in the last fall_us
        self.chance, self.chance_at = 0.0, -math.inf  # the part of a send that it may round up to
        self.looking = False  # a timer for the next look is set
        self.held: Counter[str | None] = Counter()  # own standing connections of each tenant
        self.lateness = 0.0  # share of the latest attempts that timed out
        self.now = 0
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            api.BackendList: self._on_list,
            api.Request: self._on_request,
            api.Inherited: self._on_inherited,
            api.Opened: self._on_opened,
            api.Note: self._on_note,
            api.Outcome: self._on_outcome,
            api.ClientGone: self._on_gone,
            api.ProbeResult: self._on_probe,
            api.TimerFired: self._on_timer,
        }

    def reconfigure(self, settings: api.Settings) -> None:
        """New settings for what is decided from now on; what is open keeps its class as it was."""
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.aim_us = min(c.objective_us for c in settings.classes)
        self.fresh_us = max(c.deadline_us for c in settings.classes)
        self.message_aim_s = min(c.message_aim_us for c in settings.classes) / 1e6
        self.quotas = {t.name: t.quota_connections for t in settings.tenants if t.quota_connections > 0}

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Takes one event and returns the actions it calls for, in order."""
        self.now = now_us
        self.actions = []
        self.handlers[type(event)](event)
        return self.actions

    # The backend list.

    def _on_list(self, event: api.BackendList) -> None:
        if event.mode is ListMode.UNAVAILABLE:
            self.failed_asks += 1
            self._ask_in(ASK_SPREAD_US * 2 ** min(self.failed_asks, ASK_DOUBLINGS))
            return
        self.failed_asks = 0
        self.table_at = None  # the draw must never name a backend that is no longer listed
        if event.mode is not ListMode.CHANGES:
            named = {b.name for b in event.backends}
            self.backends = {n: k for n, k in self.backends.items() if n in named}
        for info in event.backends:
            known = self.backends.get(info.name)
            if info.state is State.GONE:
                self.backends.pop(info.name, None)
            elif known is None or known.info.started_us != info.started_us:
                # A new start is a new, cold backend: nothing that was known of the old process holds.
                self.backends[info.name] = Known(info)
            else:
                known.info = info
                if info.state is State.DRAINING and known.open:
                    # Most backends send their clients away themselves; who is left then is told by us.
                    self._timer(self.settings.drain_grace_us, LEFT + info.name)
        running = sum(self._size(k) for k in self.backends.values() if k.info.state is State.RUNNING)
        warm = sum(self._size(k) for k in self.backends.values() if self._warmth(k) >= 1)
        # One that drains and its cold successor are one, not two. Shares are of the fleet when it is whole.
        self.size = max(running, warm, self.size * SIZE_FADES if self.quotas else 0.0) or 1.0
        if event.mode is ListMode.RESTORED and self.settings.list_on_request:
            self._ask_in(ASK_SPREAD_US)

    def _ask_in(self, within_us: int) -> None:
        """Relays that start or fail together must not ask together: the list serves few calls a second."""
        self._timer(int(within_us * self.random.random()), ASK)

    # Requests.

    def _on_request(self, event: api.Request) -> None:
        cls = self.classes.get(event.cls)
        if cls is None:  # nobody can tell how it may be served: it is not to pass for another
            self.actions.append(api.Fail(event.id))
            return
        flight = self.flights[event.id] = Flight(event, cls, self.now + event.remaining_us)
        for lately in (self.arrivals, self.returned, self.parted):
            lately.forget(self.now - self.fresh_us)
        who = event.id if event.key is None else event.key  # one comes again and again
        self.arrivals.add(who, self.now)
        if event.is_return:
            self.returned.add(who, self.now)
        flight.warms = self._may_warm()
        if self._beyond_share(event.tenant) or self.random.random() < JAM_REFUSAL * self.lateness**2:
            self._settle(flight)
        else:
            self._sample(flight)

    def _stand(self, flight: Flight, change: int) -> None:
        self.standing += change
        self.held[flight.request.tenant] += change
        self._look_later()

    def _look_later(self) -> None:
        """While connections stand, the load of the backends that hold them is looked at now and then."""
        if self.standing and not self.looking and self.settings.may_probe and self.settings.reports_load:
            self.looking = True
            self._timer(int(LOOK_EVERY_US * (0.5 + self.random.random())), LOOK)

    def _beyond_share(self, tenant: str | None) -> bool:
        """Under pressure a tenant beyond its share, worth little, waits; part of one is kept by chance."""
        quota = self.quotas.get(tenant or "", math.inf) / self.settings.balancers
        return self.average > PRESSURE and self.held[tenant] + self.random.random() > quota * SHARE_SLACK

    def _sample(self, flight: Flight) -> None:
        """Chooses the few backends whose figures decide, probes those whose figure is old, and waits."""
        flight.sample = self._candidates(flight) or flight.sample
        life = REASK_US if flight.looks else self.fresh_us  # full, or by our own guesses since?
        missing = [n for n in flight.sample if n in self.backends and self._probe(self.backends[n], life)]
        if missing:
            self.waiting[flight.request.id] = None
            hold = min(int(flight.cls.objective_us * HOLD_SHARE), (flight.deadline - self.now) // 4)
            self._timer(hold, HOLD + flight.request.id)
        else:
            self._place(flight)

    def _probe(self, known: Known, life_us: int) -> bool:
        """Asks for the load of a backend unless its figure is fresh; True while an answer is to come."""
        fresh = known.load is not None and self.now - known.load_at < life_us
        if fresh or not (self.settings.may_probe and self.settings.reports_load):
            return False
        if known.probed_at is None:  # never two probes at one that does not answer
            known.probed_at = self.now
            self.actions.append(api.Probe(known.info.name))
        return True

    def _place(self, flight: Flight) -> None:
        """The ordinary path's last step: one weighted draw over the sampled backends that may take work."""
        self.waiting.pop(flight.request.id, None)
        names = [n for n in flight.sample if self._may_take(n, flight)]
        answered = [n for n in names if self.backends[n].probed_at is None]
        names = [n for n in answered or names if self._has_room(self.backends[n])]
        if self.now >= flight.deadline:
            self._settle(flight)
        elif names:
            self._attempt(flight, self.random.choices(names, self._floored(names))[0])
        elif flight.looks == 1 + (self.settings.balancers <= FEW):  # all are full: a refusal sheds load
            self._settle(flight)
        else:
            flight.looks += 1
            self._sample(flight)

    def _floored(self, names: list[str]) -> list[float]:
        weights = [self._weight(self.backends[n]) for n in names]
        top = max(weights, default=1.0)
        return [max(1.0, w / top * TOP_WEIGHT) for w in weights]

    def _attempt(self, flight: Flight, name: str) -> None:
        left = flight.deadline - self.now
        # Where many attempts time out all is slow, and to send again early would pile work on work.
        more = len(flight.tried) + 1 < self.settings.try_limit
        share = PATIENCE_SHARE / self._nearness(self.backends[name])
        aims = share + PATIENCE_LATE * self.lateness if more else math.inf
        patience = int(min(left, flight.cls.objective_us * aims))
        flight.tried.append(name)
        flight.out = True
        self.backends[name].placed.append(self.now)
        if self._warmth(self.backends[name]) < 1:
            self.warmed.append(self.now)
        self.actions.append(api.Attempt(flight.request.id, name, self.now + max(patience, 1)))

    # Weights.

    def _weight(self, known: Known) -> float:
        """Relative size x (1 / clamped load) ^ AGGRESSIVENESS, times what the exceptions say."""
        clamped = max(self._load(known), self.average / LIMITING_FACTOR) + self._came()
        weight = ((self.average + self._came()) / clamped) ** AGGRESSIVENESS if self.average > 0 else 1.0
        return weight * self._nearness(known) * self._size(known) * self._warmth(known)

    def _came(self) -> float:
        """What the others place while a figure is in use, as load: in a rush all see the same idle one. Who
        returns though no connection of ours has ended comes from another relay, which takes none now."""
        strays = max(0, len(self.returned) - len(self.parted))
        return (len(self.arrivals) * (self.settings.balancers - 1) - strays) / self._fills(None)

    def _size(self, known: Known) -> float:
        size = known.info.weight if self.settings.list_weights else 1.0
        return size if 0 < size <= ABSURD else 1.0

    def _nearness(self, known: Known) -> float:
        """Crossing zones is priced, not forbidden: another zone's weight falls with the price."""
        far = known.info.zone != self.settings.zone
        return 1 / (1 + far * ZONE_AVERSION * self.settings.cross_zone_price)

    def _load(self, known: Known) -> float:
        """The figure, aged toward the average, plus own placements since and what the backlog asks."""
        if known.load is None:
            return self.average
        trust = min(1.0, self.fresh_us / max(1, self.now - known.load_at))
        load = self.average + (known.load - self.average) * trust
        backlog = max(self._delay(known), known.backlog_s * trust)
        return load + len(known.placed) / self._fills(known) + backlog / WORK_OFF_S

    def _delay(self, known: Known) -> float:
        return known.delay_s if self.now - known.delay_at < SLOW_LIFE_US else 0.0

    def _fills(self, known: Known | None) -> float:
        """Connections that fill a backend, as warm as it is, or all: as the shares or own ones tell."""
        part = self._size(known) * self._warmth(known) / self.size if known else 1.0
        held = max(self.standing * self.settings.balancers, 4.0 * len(self.backends)) / (self.average or 1)
        return (sum(self.quotas.values()) or held or 1.0) * part

    def _may_warm(self) -> bool:
        """Rule 4 bounds what ALL relays send to a cold backend: each keeps to its part of the room there is.
        Part of a send is kept by chance, drawn once in fall_us: drawn at each request it would add up."""
        if self.now - self.chance_at >= self.settings.fall_us:
            self.chance, self.chance_at = self.random.random(), self.now
        self.warmed = [at for at in self.warmed if self.now - at < self.settings.fall_us]
        cold = sum(self._fills(k) for k in self.backends.values() if self._warmth(k) < 1)
        room = self.settings.fall_multiple * cold * self.settings.fall_us / max(1, self.settings.cold_us)
        return len(self.warmed) + self.chance < room / self.settings.balancers

    def _warmth(self, known: Known) -> float:
        """The part of its capacity that a backend surely has by now: each connection fills more of it."""
        started, settings = known.info.started_us, self.settings
        if started is None or self.now - started >= settings.cold_us:
            return 1.0
        return settings.cold_from + (1 - settings.cold_from) * max(0, self.now - started) / settings.cold_us

    # Who may take work.

    def _may_take(self, name: str, flight: Flight) -> bool:
        known = self.backends.get(name)
        if known is None or known.info.state is not State.RUNNING:
            return False
        return (flight.warms or self._warmth(known) >= 1) and self._keyed_allows(known, flight)

    def _is_well(self, name: str, flight: Flight) -> bool:
        """Fit for the first choice: not tried for this request, and not masked for its failures."""
        trusted = self.doubt or self.now >= self.backends[name].suspect_until
        return trusted and name not in flight.tried and self._may_take(name, flight)

    def _has_room(self, known: Known) -> bool:
        misses_aims = self._delay(known) >= (self.message_aim_s or math.inf)
        return self._load(known) + self._came() / 2 < self.full and not misses_aims  # half came since

    def _keyed_allows(self, known: Known, flight: Flight) -> bool:
        """A keyed request that may have run goes only where, and while, its repeat is dropped."""
        if flight.ran_on is None or flight.cls.effect is api.Effect.SAFE:
            return True
        if flight.cls.effect is api.Effect.UNSAFE or self.now - flight.ran_at >= flight.cls.memory_span_us:
            return False
        first, here = flight.ran_on, known.info
        same = {Scope.ALL: True, Scope.ZONE: first.zone == here.zone, Scope.CELL: first.cell == here.cell}
        return same[flight.cls.dedup_scope]

    def _candidates(self, flight: Flight) -> list[str]:  # draws from the table, or a group's homes
        self._rebuild()
        if flight.looks == 2:
            left = [n for n in self.table if self._may_take(n, flight) and not self._is_well(n, flight)]
            left = [n for n in left if not self.backends[n].mute]  # better one that fails but answers
            return self.random.sample(left, min(SAMPLE, len(left)))
        if self.settings.groups and flight.request.group is not None and not flight.looks:
            return self._homes(flight)
        return self._anywhere(flight)

    def _anywhere(self, flight: Flight) -> list[str]:
        fit = [n for n in self.table if self._is_well(n, flight)]
        fit = fit or [n for n in self.table if self._may_take(n, flight)]
        draws = [(n in flight.sample, self.random.expovariate(self.table[n]), n) for n in fit]
        return [n for *_, n in nsmallest(SAMPLE, draws)]  # one by one by weight, who was looked at last

    def _homes(self, flight: Flight) -> list[str]:
        """A group's connections share work on a backend: every relay leans to the same few for a group."""
        ranked = []
        for name in self.table:
            known = self.backends[name]
            part = closeness(known, flight.request.group or 0)
            ranked.append((-math.log(part) / self._nearness(known) / self._size(known), name))
        best = [name for _, name in nsmallest(SAMPLE * 4, ranked)]
        return [n for n in best if self._is_well(n, flight)][:SAMPLE] or self._anywhere(flight)

    def _rebuild(self) -> None:  # once an interval: the weights of all backends
        if self.table_at is not None and self.now - self.table_at < self.fresh_us:
            return
        self.table_at = self.now
        names = [n for n, k in self.backends.items() if k.info.state is State.RUNNING]
        self.table = dict(zip(names, self._floored(names), strict=True))
        suspects = sum(self.now < self.backends[n].suspect_until for n in self.table)
        self.doubt = suspects > DOUBT_SHARE * len(self.table)

    # What comes back.

    def _on_opened(self, event: api.Opened) -> None:
        flight, known = self.flights.get(event.id), self.backends.get(event.backend)
        if flight is None:
            return
        flight.stands, flight.ran_at = True, self.now
        self._stand(flight, 1)
        self._score(False)
        if known is not None:
            known.open[event.id] = None
            known.strikes, known.suspect_until = 0, -math.inf

    def _on_inherited(self, event: api.Inherited) -> None:
        cls = self.classes.get(event.request.cls, self.settings.classes[0])
        flight = Flight(event.request, cls, self.now, tried=[event.backend], out=True, stands=True)
        self.flights[event.request.id] = flight
        self._stand(flight, 1)
        known = self.backends.get(event.backend)
        if known is not None:
            known.open[event.request.id] = None

    def _on_note(self, event: api.Note) -> None:
        known, flight = self.backends.get(event.backend), self.flights.get(event.id)
        if flight is not None and event.kind is NoteKind.SILENCE and event.value >= MUTE_MS:
            self._leave(event.id)  # nothing comes back on it: the client is better off elsewhere
            return
        if known is not None and event.kind is NoteKind.HUSH and event.value >= HUSH_MS:
            self._strike(known, Status.TIMED_OUT)  # it died without a word: its clients would each find out
            for request in list(known.open):
                self._leave(request)
            return
        if flight is not None and event.kind is NoteKind.LOAD and LEAST_LOAD <= event.value <= ABSURD:
            flight.load = event.value
        if known is None or flight is None or event.kind is not NoteKind.DELAY or not _sane(event.value):
            return
        load = self._delayed(known, event.value / 1000, flight.cls.message_aim_us / 1e6)
        if load:
            self._relieve(known, load)

    def _delayed(self, known: Known, delay_s: float, aim_s: float) -> float:
        """Takes what a message takes there; the load that this shows where it misses its aim, or 0."""
        since = self.now - known.delay_at
        rise = (delay_s - known.delay_s) * 1e6 / since if 0 < since < SLOW_LIFE_US else 0.0
        known.delay_s, known.delay_at = delay_s, self.now
        return max(0.0, 1 + rise) + MOVE_EAGERNESS * delay_s / aim_s if 0 < aim_s <= delay_s else 0.0

    def _relieve(self, known: Known, load: float) -> None:
        """Nothing is earned where messages miss their aim: what is too much there moves off. A backlog grows
        by the load over 1, so the delay's rise from note to note tells the load, sooner than a report."""
        # In a full fleet the moved come back as a storm of set-ups and find no better place.
        known.relieved_at = self.now
        part = min(1.0, max(MOVE_LEAST, (self.full - self.average) * MOVE_ROOM)) * (1 - MOVE_TARGET / load)
        # The heaviest first: the fewest moves take most off. Who has told no load counts as the mean.
        told = {r: self.flights[r].load for r in known.open}
        mean = sum(told.values()) / max(1, sum(load > 0 for load in told.values())) or 1.0
        costs = {r: load or mean for r, load in told.items()}
        owed, chance = part * sum(costs.values()), self.random.random()
        for request in sorted(costs, key=lambda r: told[r] or mean * self.random.random(), reverse=True):
            if owed > costs[request] * chance:
                self._leave(request)
                owed -= costs[request]

    def _leave(self, request: str) -> None:
        """Moves a standing connection: its client is told and comes back as a new request."""
        self._drop(request)
        self.actions.append(api.Move(request))

    def _on_outcome(self, event: api.Outcome) -> None:
        known, flight = self.backends.get(event.backend), self.flights.get(event.id)
        if known is not None:
            self._report(known, event.report)
        if flight is None or event.attempt != len(flight.tried) - 1:
            return
        flight.out = False
        # A full backend sheds its newest. One that cuts old connections or errs is no jam of the fleet.
        shed = event.status is Status.CUT and self.now - flight.ran_at < YOUNG_US
        self._score(shed or event.status is Status.TIMED_OUT)
        if not flight.stands and known is not None:
            del known.placed[-1:]
            if event.status in FAILURES:
                self._strike(known, event.status)
        if event.finished or flight.stands:
            self._drop(event.id)
            return
        if event.status.may_have_run and flight.ran_on is None:
            flight.ran_on = known.info if known else api.Backend(event.backend)
            flight.ran_at = self.now - event.took_us
        self._retry(flight)

    def _score(self, late: bool) -> None:
        self.lateness += (late - self.lateness) / LATE_SPAN

    def _strike(self, known: Known, how: Status) -> None:
        """A backend that failed an attempt or a probe is masked, longer each time, then tried again. One that
        errs looks the better for it: the fewer requests a relay sees, the longer it is masked."""
        rest = max(1.0, self.settings.balancers / FEW) if how is Status.ERROR else 1.0
        known.suspect_until = self.now + SUSPECT_AIMS * self.aim_us * 2**known.strikes * rest
        known.strikes, known.mute = min(known.strikes + 1, MOST_STRIKES), how is Status.TIMED_OUT

    def _retry(self, flight: Flight) -> None:
        left = flight.deadline - self.now
        jam = self.random.random() < self.lateness**2  # where all is late a retry only adds to the jam
        if jam or len(flight.tried) >= self.settings.try_limit or left < flight.cls.objective_us // 16:
            self._settle(flight)
        else:
            flight.looks = min(flight.looks, 1)  # those that are well come first again
            self._sample(flight)

    def _settle(self, flight: Flight) -> None:
        """The one final answer: a refusal where trying again is harmless, else a failure."""
        cls = flight.cls
        harmless = (
            flight.ran_on is None
            or cls.effect is api.Effect.SAFE
            or (cls.effect is api.Effect.KEYED and cls.dedup_scope is Scope.ALL)
        )
        self._drop(flight.request.id)
        # Never at once: what was in the way will not have gone, and a client has few tries.
        share = max(self.lateness, REST_SHARE * (0.5 + self.random.random()))
        wait = int(self.settings.max_retry_after_us * min(1.0, share))
        self.actions.append(api.Refuse(flight.request.id, wait) if harmless else api.Fail(flight.request.id))

    def _drop(self, request: str) -> Flight | None:
        """Forgets a request that is over."""
        flight = self.flights.pop(request, None)
        self.waiting.pop(request, None)
        if flight is not None and flight.stands:
            self.parted.add(request, self.now)
            self._stand(flight, -1)
            if (known := self.backends.get(flight.tried[-1])) is not None:
                known.open.pop(request, None)
        return flight

    def _on_gone(self, event: api.ClientGone) -> None:
        flight = self._drop(event.id)
        if flight is not None and flight.out and not flight.stands and self.settings.may_cancel:
            self.actions.append(api.Cancel(event.id, len(flight.tried) - 1))

    def _on_probe(self, event: api.ProbeResult) -> None:
        known = self.backends.get(event.backend)
        if known is not None:
            known.probed_at = None
            if event.status is Status.SERVED:
                self._report(known, event.report)
            elif event.status not in (Status.NO_ROOM, Status.ERROR):  # asked by too many, it answers errors
                self._strike(known, event.status)
        for flight in [self.flights[r] for r in self.waiting if event.backend in self.flights[r].sample]:
            if all(n not in self.backends or self.backends[n].probed_at is None for n in flight.sample):
                self._place(flight)

    def _report(self, known: Known, report: api.Report | None) -> None:
        """Takes the load over capacity, or the best figure there is; only a share of capacity can be full."""
        if report is None:
            return
        for value in (report.load, report.utilisation, report.inflight, report.queue):
            if value is not None and _sane(value):
                self.full = FULL_LOAD if value in (report.load, report.utilisation) else math.inf
                known.load, known.load_at = value, self.now
                known.placed = [at for at in known.placed if self.now - at < REPORT_AGE_US]
                known.backlog_s = report.backlog_s if report.backlog_s and _sane(report.backlog_s) else 0.0
                self.reports = min(self.reports + 1, AVERAGE_SPAN)
                # A slowed backend reports many times what it can do: to the fleet it is no more than full.
                counted = min(value, 1.0) if self.full == FULL_LOAD else value
                self.average += (counted - self.average) / self.reports
                load = value * REPORT_LEAN if self.full == FULL_LOAD and value > OVERLOAD else 0.0
                if report.latency_ms is not None and _sane(report.latency_ms):
                    # A backlog outlives the load that made it: until it is gone nothing is earned there.
                    load = max(load, self._delayed(known, report.latency_ms / 1000, self.message_aim_s))
                if load and self.now - known.relieved_at >= RELIEF_EVERY_US:
                    self._relieve(known, load)
                return

    def _on_timer(self, event: api.TimerFired) -> None:
        if event.token == ASK:
            self.actions.append(api.Subscribe())
            return
        if event.token == LOOK:
            for known in self.backends.values():
                if known.open and known.info.state is State.RUNNING:
                    self._probe(known, self.fresh_us)
            self.looking = False
            self._look_later()
            return
        drained = self.backends.get(event.token.removeprefix(LEFT)) if event.token.startswith(LEFT) else None
        if drained is not None and drained.info.state is State.DRAINING:
            for request in list(drained.open):
                self._leave(request)  # a client is told to move before its backend leaves
        if (held := event.token.removeprefix(HOLD)) in self.waiting:
            self._place(self.flights[held])

    def _timer(self, after_us: int, token: str) -> None:
        self.actions.append(api.SetTimer(max(1, after_us), token))


def _sane(value: float) -> bool:
    return 0 <= value <= ABSURD
