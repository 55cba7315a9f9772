"""A balancer that records its decisions: the same draws and answers, and the figures that they were based on.

Nothing is computed a second time: the recorded figures are those that the decisions themselves used. While nothing is
recorded, the cost is one test of a flag.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from vanegw import interface as api
from vanegw.interface import State
from vanegw.rules import MAX_WEIGHT, Balancer
from vanegw.state import BackendState, TrackedRequest

# What was decided, and what led to the decision. Traces contain these words.
ATTEMPT, REFUSE, FAIL = "attempt", "refuse", "fail"
FIRST, AGAIN, RETURN, RETRY = "first", "again", "return", "retry"

LOAD_STEPS = 100  # loads and warm-ups are recorded to 0.01


class CandidateSnapshot(NamedTuple):
    """What was known of one sampled backend.

    A tuple, because a frozen dataclass takes five times as long to create, and one is created for each candidate.

    ``weight``: as a whole number from 1 to 256, as the draw had it; None for a backend that was not in the draw.
    ``estimated_load``: the load that the decision used, to 0.01; None where the decision did not need it.
    ``load_at_us``: when the load was reported.
    """

    backend: str
    weight: float | None
    load: float | None
    load_at_us: int
    estimated_load: float | None
    unreported_placements: int
    warmth: float
    is_masked: bool
    is_draining: bool
    probe_pending: bool
    was_tried: bool


class DecisionSnapshot(NamedTuple):
    """One decision on one request.

    ``backend`` and ``until_us`` (an absolute time) belong to an attempt, ``retry_after_us`` to a refusal.
    """

    id: str
    decision: str
    cause: str
    attempt: int
    backend: str | None
    until_us: int | None
    retry_after_us: int | None
    average_load: float
    timeout_rate: float
    candidates: list[Any]  # made by ``RecordingBalancer.make_candidate``


def round_to_fraction(value: float, parts: int) -> float:
    """Round to a multiple of 1 / ``parts``; negative and very large values are returned as they are.

    ``round`` with digits goes through a decimal string and takes five times as long.
    """
    return int(value * parts + 0.5) / parts if 0 <= value < 1e12 else value


class RecordingBalancer(Balancer):
    """A balancer whose decisions can be recorded.

    ``decisions``: those of the last event handled, while ``recording`` is set. ``counter_names``: the counters to add
    one to for the last event, always: requests sent to cold backends, and requests given up, by reason.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.recording = False
        # Called with the fields of a CandidateSnapshot in their order, so that a recorder gets its own type directly.
        self.make_candidate: Callable[..., Any] = CandidateSnapshot
        self.decisions: list[DecisionSnapshot] = []
        self.counter_names: list[str] = []
        self._used_weights: dict[str, float] = {}
        self._used_loads: dict[str, float] = {}

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Process one event as ``Balancer.handle`` does, and record its decisions."""
        self.decisions = []
        self.counter_names = []
        return super().handle(now_us, event)

    def _place_request(self, tracked: TrackedRequest) -> None:
        if self.recording:
            self._used_weights.clear()
            self._used_loads.clear()
        super()._place_request(tracked)

    def _weight(self, backend: BackendState) -> float:
        weight = super()._weight(backend)
        if self.recording:
            self._used_weights[backend.info.name] = weight
        return weight

    def _estimated_load(self, backend: BackendState) -> float:
        load = super()._estimated_load(backend)
        if self.recording:
            self._used_loads[backend.info.name] = load
        return load

    def _send_attempt(self, tracked: TrackedRequest, name: str) -> None:
        candidates = self._candidates(tracked) if self.recording else []
        if self._warmth(self.backends[name]) < 1:
            self.counter_names.append("upstream_cold")
        super()._send_attempt(tracked, name)
        if self.recording:
            action = self.actions[-1]
            assert isinstance(action, api.Attempt)
            self._record(tracked, ATTEMPT, candidates, name, action.until_us, None)

    def _give_up(self, tracked: TrackedRequest) -> None:
        """Extend the final answer by a counter for its reason and, if recording is on, a record of the decision."""
        candidates = self._candidates(tracked) if self.recording else []
        self.counter_names.append(f"given_up_{self._give_up_reason(tracked)}")
        super()._give_up(tracked)
        if self.recording:
            action = self.actions[-1]
            is_refusal = isinstance(action, api.Refuse)
            self._record(
                tracked,
                REFUSE if is_refusal else FAIL,
                candidates,
                backend=None,
                until_us=None,
                retry_after_us=action.retry_after_us if isinstance(action, api.Refuse) else None,
            )

    def _give_up_reason(self, tracked: TrackedRequest) -> str:
        """Why a request gets no (further) attempt, as a part of a counter's name."""
        if self.is_shutting_down:
            return "shutdown"
        if self.now_us >= tracked.deadline_us:
            return "late"
        if tracked.attempted:
            return "attempts" if len(tracked.attempted) >= self.settings.try_limit else "after_attempts"
        if not tracked.full_samples:
            return "held_back"  # its tenant is beyond its quota, or the fleet is congested
        running = [backend for backend in self.backends.values() if backend.info.state is State.RUNNING]
        if not running:
            return "no_host"
        return "cold" if not tracked.may_use_cold and any(self._warmth(backend) < 1 for backend in running) else "full"

    def _record(
        self,
        tracked: TrackedRequest,
        decision: str,
        candidates: list[Any],
        backend: str | None,
        until_us: int | None,
        retry_after_us: int | None,
    ) -> None:
        """Record a decision with its cause: a first attempt, a retry, a client's retry or a client that reconnects."""
        earlier_attempts = len(tracked.attempted) - (decision == ATTEMPT)
        request = tracked.request
        cause = RETRY if earlier_attempts else RETURN if request.is_return else AGAIN if request.is_retry else FIRST
        self.decisions.append(
            DecisionSnapshot(
                request.id,
                decision,
                cause,
                earlier_attempts,
                backend,
                until_us,
                retry_after_us,
                self.average_load,
                self.timeout_rate,
                candidates,
            )
        )

    def _candidates(self, tracked: TrackedRequest) -> list[Any]:
        """Describe the sampled backends as they are before the decision takes effect."""
        weights = self._used_weights
        loads = self._used_loads
        now_us = self.now_us
        make_candidate = self.make_candidate
        scale = MAX_WEIGHT / (max(weights.values(), default=0.0) or 1.0)
        candidates = []
        for name in tracked.sample:
            backend = self.backends.get(name)
            if backend is None:  # removed from the list between the sample and the decision
                continue
            weight = weights.get(name)
            estimated_load = loads.get(name)
            info = backend.info
            candidates.append(
                make_candidate(
                    name,
                    # The division makes the integer a float, which is the type of the field.
                    None if weight is None else (int(weight * scale + 0.5) or 1) / 1,
                    backend.load,
                    backend.load_at_us,
                    None if estimated_load is None else round_to_fraction(estimated_load, LOAD_STEPS),
                    len(backend.unreported_placements_us),
                    1.0 if info.started_us is None else round_to_fraction(self._warmth(backend), LOAD_STEPS),
                    now_us < backend.masked_until_us,
                    info.state is not State.RUNNING,
                    backend.probe_sent_at_us is not None,
                    name in tracked.attempted,
                )
            )
        return candidates
