"""A readable account of one request, from its arrival to its end; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from bramblestile.trace.records import (
    Answer,
    Attempt,
    Candidate,
    Decision,
    Ended,
    Logged,
    Moved,
    Note,
    Record,
    Request,
    Stand,
    corrected_time,
)

REASONS = {
    "first": "first decision",
    "again": "the client retries",
    "retry": "the previous attempt failed",
    "return": "the client comes back after a move or a cut",
}
MOVE_REASONS = {
    "drain": "its host is draining",
    "mute": "no data arrived on it",
    "hush": "its host went silent on all connections",
    "overload": "its host was overloaded",
    "stop": "this balancer is stopping",
}


def format_duration(us: float) -> str:
    """Return a duration as text: seconds or milliseconds with one decimal, or whole microseconds, with the unit."""
    if us >= 10_000_000:
        return f"{us / 1e6:.1f} s"
    return f"{us / 1000:.1f} ms" if us >= 1000 else f"{us:.0f} us"


def format_story(records: Iterable[Record], clock: Callable[[int], str]) -> Iterator[str]:
    """Yield one or more lines of text for each record, by corrected time; ``clock`` formats the time of the first."""
    start: int | None = None
    for record in sorted(records, key=corrected_time):
        at = corrected_time(record)
        if start is None:
            start = at
            yield f"{clock(at)}  (times below are relative to this)"
        prefix = f"+{format_duration(at - start):>9}  "
        lines = list(_record_lines(record))
        yield prefix + (f"[{record.src}] " if record.src else "") + lines[0]
        for line in lines[1:]:
            yield " " * len(prefix) + line


def _record_lines(record: Record) -> Iterator[str]:
    if isinstance(record, Request):
        details = [
            name
            for name, on in (
                ("a client retry", record.is_retry),
                ("a return", record.is_return),
                (f"previously on {record.bound_to}", record.bound_to),
            )
            if on
        ]
        yield (
            f"request on {record.front}: class {record.cls}, tenant {record.tenant or '-'}, group "
            f"{record.group or '-'}, waits {format_duration(record.wait_us)}" + "".join(f", {d}" for d in details)
        )
    elif isinstance(record, Decision):
        yield from _decision_lines(record)
    elif isinstance(record, Attempt):
        result = "accepted it" if record.status == "up" else f"did not accept it: {record.status}"
        yield f"{record.host} {result} (attempt {record.number + 1}, {format_duration(record.took_us)})"
    elif isinstance(record, Answer):
        wait = f", retry after {format_duration(record.wait_us)}" if record.wait_us is not None else ""
        text = "the client left before the answer" if record.outcome == "left" else f"answered: {record.outcome}{wait}"
        yield f"{text}, after {record.attempts} attempts and {format_duration(record.took_us)}"
    elif isinstance(record, Stand):
        yield f"connected to {record.host}" + (" (resumed)" if record.resumed else "")
    elif isinstance(record, Note):
        yield f"{record.host}: {record.what} of {record.value:.0f} ms"
    elif isinstance(record, Moved):
        yield f"told to move: {MOVE_REASONS.get(record.reason, record.reason)} ({record.host or 'no host yet'})"
    elif isinstance(record, Ended):
        ending = "moved" if record.moved else record.status
        yield f"connection to {record.host} ended after {format_duration(record.took_us)}: {ending}"
    elif isinstance(record, Logged):
        yield f"log: {record.level}: {record.event} {record.text}"
    else:
        yield type(record).__name__


def _decision_lines(record: Decision) -> Iterator[str]:
    """Yield a line for the decision, one for the figures that it was based on, and one for each candidate."""
    if record.what == "attempt":
        limit = "" if record.until_us is None else f", timeout {format_duration(record.until_us)}"
        yield f"chose {record.host}: {REASONS.get(record.why, record.why)}{limit}"
    else:
        wait = f", retry after {format_duration(record.wait_us)}" if record.wait_us is not None else ""
        yield f"gave up: {record.what}{wait} ({REASONS.get(record.why, record.why)})"
    yield f"  fleet load {record.average:.2f}, late attempts {record.lateness:.0%}"
    total = sum(c.weight or 0.0 for c in record.candidates)
    for candidate in record.candidates:
        yield "  " + _candidate_line(candidate, total, record)
    if not record.candidates:
        yield "  no candidates"


def _candidate_line(candidate: Candidate, total: float, record: Decision) -> str:
    flags = (
        ("masked", candidate.masked),
        ("draining", candidate.draining),
        ("probe pending", candidate.asked),
        ("already tried", candidate.tried),
        (f"in slow start, {candidate.warmth:.0%} warm", candidate.warmth < 1),
    )
    marks = [name for name, on in flags if on]
    load_text = (
        "load never reported"
        if candidate.load is None
        else (f"load {candidate.load:.2f} reported {format_duration(max(0, record.at - candidate.load_at))} before")
    )
    estimate_text = "" if candidate.believed is None else f", estimated {candidate.believed:.2f}"
    placed_text = f", {candidate.placed} placed since" if candidate.placed else ""
    share_text = (
        f"{(candidate.weight or 0) / total:.0%} of the draw (weight {candidate.weight:g})"
        if candidate.weight is not None and total
        else "not in the draw"
    )
    arrow = "->" if candidate.host == record.host else "  "
    return f"{arrow} {candidate.host}: {share_text}, {load_text}{estimate_text}{placed_text}" + "".join(
        f", {m}" for m in marks
    )
