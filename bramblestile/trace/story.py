"""One request told for a person: what was asked, what was believed, what was chosen, how it went; no I/O."""

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
    corrected,
)

WHY = {
    "first": "the first choice for it",
    "again": "the client tries again",
    "retry": "the attempt before failed",
    "return": "the client comes back after a move or a cut",
}
MOVES = {
    "drain": "its host drains",
    "mute": "nothing came back on it",
    "hush": "its host went silent on every connection",
    "overload": "its host was too loaded",
    "stop": "this balancer stops",
}


def span(us: float) -> str:
    """A span for a person."""
    if us >= 10_000_000:
        return f"{us / 1e6:.1f} s"
    return f"{us / 1000:.1f} ms" if us >= 1000 else f"{us:.0f} us"


def tell(rows: Iterable[Record], clock: Callable[[int], str]) -> Iterator[str]:
    """A line or more for each record, in the order of their corrected times."""
    start: int | None = None
    for record in sorted(rows, key=corrected):
        at = corrected(record)
        if start is None:
            start = at
            yield f"{clock(at)}  (times below count from here)"
        head = f"+{span(at - start):>9}  "
        lines = list(_lines(record))
        yield head + (f"[{record.src}] " if record.src else "") + lines[0]
        for line in lines[1:]:
            yield " " * len(head) + line


def _lines(record: Record) -> Iterator[str]:
    if isinstance(record, Request):
        marks = [
            name
            for name, on in (
                ("a client's retry", record.is_retry),
                ("come again", record.is_return),
                (f"held by {record.bound_to} before", record.bound_to),
            )
            if on
        ]
        yield (
            f"asked on {record.front}: class {record.cls}, tenant {record.tenant or '-'}, group "
            f"{record.group or '-'}, waits {span(record.wait_us)}" + "".join(f", {m}" for m in marks)
        )
    elif isinstance(record, Decision):
        yield from _decision(record)
    elif isinstance(record, Attempt):
        said = "took it" if record.status == "up" else f"did not take it: {record.status}"
        yield f"{record.host} {said} (attempt {record.number + 1}, {span(record.took_us)})"
    elif isinstance(record, Answer):
        wait = f", to come back in {span(record.wait_us)}" if record.wait_us is not None else ""
        left = "the client left before its answer" if record.outcome == "left" else f"answered: {record.outcome}{wait}"
        yield f"{left}, after {record.attempts} attempts and {span(record.took_us)}"
    elif isinstance(record, Stand):
        yield f"stands on {record.host}" + (" (again, it stood there before)" if record.resumed else "")
    elif isinstance(record, Note):
        yield f"{record.host}: {record.what} of {record.value:.0f} ms"
    elif isinstance(record, Moved):
        yield f"told to move: {MOVES.get(record.reason, record.reason)} ({record.host or 'no host yet'})"
    elif isinstance(record, Ended):
        how = "moved" if record.moved else record.status
        yield f"ended on {record.host} after {span(record.took_us)}: {how}"
    elif isinstance(record, Logged):
        yield f"log: {record.level}: {record.event} {record.text}"
    else:
        yield type(record).__name__


def _decision(record: Decision) -> Iterator[str]:
    if record.what == "attempt":
        left = "" if record.until_us is None else f", to be given up after {span(record.until_us)}"
        yield f"chose {record.host}: {WHY.get(record.why, record.why)}{left}"
    else:
        wait = f", to come back in {span(record.wait_us)}" if record.wait_us is not None else ""
        yield f"gave it up: {record.what}{wait} ({WHY.get(record.why, record.why)})"
    yield f"  the fleet's load {record.average:.2f}, late attempts {record.lateness:.0%}"
    total = sum(c.weight or 0.0 for c in record.candidates)
    for candidate in record.candidates:
        yield "  " + _candidate(candidate, total, record)
    if not record.candidates:
        yield "  no host was looked at"


def _candidate(one: Candidate, total: float, record: Decision) -> str:
    told = (
        ("masked", one.masked),
        ("draining", one.draining),
        ("asked, no answer yet", one.asked),
        ("tried before", one.tried),
        (f"cold, {one.warmth:.0%} warm", one.warmth < 1),
    )
    marks = [name for name, on in told if on]
    known = (
        "load never told"
        if one.load is None
        else (f"load {one.load:.2f} told {span(max(0, record.at - one.load_at))} before")
    )
    believed = "" if one.believed is None else f", believed {one.believed:.2f}"
    placed = f", {one.placed} placed since" if one.placed else ""
    chance = (
        f"{(one.weight or 0) / total:.0%} of the draw (weight {one.weight:g})"
        if one.weight is not None and total
        else "not in the draw"
    )
    arrow = "->" if one.host == record.host else "  "
    return f"{arrow} {one.host}: {chance}, {known}{believed}{placed}" + "".join(f", {m}" for m in marks)
