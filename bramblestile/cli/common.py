"""What the commands share: errors in one line, times as people write them, progress, output."""

from __future__ import annotations

import os
import re
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, TypeVar

import click

T = TypeVar("T")
FILE = click.Path(path_type=Path, dir_okay=False)
OUT = click.Path(path_type=Path)
_SPAN = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)")
_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
PROGRESS_EVERY = 0.2  # seconds between two lines of progress


class InputError(click.ClickException):
    """Input that makes no sense: exit code 2, as for wrong usage."""

    exit_code = 2


class OperationError(InputError):
    """What was asked for could not be done: exit code 1."""

    exit_code = 1


class TimeParam(click.ParamType[int]):
    """Microseconds since the epoch. ``+10s`` counts from the trace's first record: it comes as a negative
    number below any time (``resolve`` tells it)."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        if isinstance(value, int):
            return value
        span = _SPAN.fullmatch(value[1:]) if value.startswith("+") else None
        if span:
            return RELATIVE + round(float(span[1]) * _UNITS[span[2]])
        if value.isascii() and value.isdigit() and len(value) <= 18:
            return int(value)
        try:
            when = datetime.fromisoformat(value)
        except ValueError:
            self.fail(
                f"{value!r} is no time: 2026-12-01T10:00:00.5Z, microseconds since 1970, or +10s from the first record",
                param,
                ctx,
            )
        return round((when if when.tzinfo else when.replace(tzinfo=UTC)).timestamp() * 1_000_000)


RELATIVE = -(1 << 60)
TIME = TimeParam()


def resolve_time(value: int | None, first: Callable[[], int]) -> int | None:
    if value is None or value >= 0:
        return value
    return value - RELATIVE + first()


def format_time(at_us: int) -> str:
    """A time for a person."""
    try:
        when = datetime.fromtimestamp(at_us / 1e6, UTC)
    except (ValueError, OverflowError, OSError):
        return f"{at_us} us"
    return f"{when:%Y-%m-%d %H:%M:%S}.{at_us % 1_000_000:06}Z"


@contextmanager
def report_errors() -> Iterator[None]:
    """Errors of the disk and of traces become one line. A closed pipe is no error: nobody reads on."""
    from bramblestile.trace import TraceError

    try:
        yield
    except BrokenPipeError:
        # What is still in the buffer has nowhere to go, at the exit too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(0) from None
    except KeyboardInterrupt:
        click.echo("bramblestile: interrupted", err=True)
        raise SystemExit(130) from None
    except TraceError as error:
        raise InputError(str(error)) from None
    except OSError as error:
        raise OperationError(f"{error.filename}: {error.strerror}" if error.filename else str(error)) from None


def show_progress(rows: Iterable[T], what: str) -> Iterator[T]:
    """Passes the rows on and tells how many, on standard error, where a person watches."""
    if not sys.stderr.isatty():
        yield from rows
        return
    began = told = time.monotonic()
    for count, row in enumerate(rows, 1):
        yield row
        if count % 1000 == 0 and time.monotonic() - told > PROGRESS_EVERY:
            told = time.monotonic()
            print(f"\r{what}: {count} records, {count / (told - began):.0f} a second", end="", file=sys.stderr)
    print("\r\x1b[K", end="", file=sys.stderr)
