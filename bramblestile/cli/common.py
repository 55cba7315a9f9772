"""Shared by the commands: errors, file and time parameters, and progress on standard error."""

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
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)")
_UNIT_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
PROGRESS_INTERVAL_S = 0.2


class InputError(click.ClickException):
    """The input is invalid; exit code 2, as for wrong usage."""

    exit_code = 2


class OperationError(InputError):
    """The operation failed; exit code 1."""

    exit_code = 1


class TimeParam(click.ParamType[int]):
    """A point in time, converted to microseconds since the epoch.

    A time relative to the first record of a trace, as ``+10s``, is converted to RELATIVE plus that duration, which is a
    negative number; ``resolve_time`` converts it to a point in time.
    """

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Convert an ISO time, a number of microseconds, or ``+`` and a duration with a unit."""
        if isinstance(value, int):
            return value
        duration = _DURATION.fullmatch(value[1:]) if value.startswith("+") else None
        if duration:
            return RELATIVE + round(float(duration[1]) * _UNIT_US[duration[2]])
        if value.isascii() and value.isdigit() and len(value) <= 18:
            return int(value)
        try:
            moment = datetime.fromisoformat(value)
        except ValueError:
            self.fail(
                f"{value!r} is not a time: use 2026-12-01T10:00:00.5Z, microseconds since 1970, or +10s from the start",
                param,
                ctx,
            )
        return round((moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp() * 1_000_000)


RELATIVE = -(1 << 60)  # below any point in time
TIME = TimeParam()


def resolve_time(value: int | None, first_record_us: Callable[[], int]) -> int | None:
    """Return the point in time of a TIME parameter; ``first_record_us`` returns the time of the first record."""
    if value is None or value >= 0:
        return value
    return value - RELATIVE + first_record_us()


def format_time(time_us: int) -> str:
    """Format microseconds since the epoch as a readable UTC time."""
    try:
        moment = datetime.fromtimestamp(time_us / 1e6, UTC)
    except (ValueError, OverflowError, OSError):
        return f"{time_us} us"
    return f"{moment:%Y-%m-%d %H:%M:%S}.{time_us % 1_000_000:06}Z"


@contextmanager
def report_errors() -> Iterator[None]:
    """Turn I/O and trace errors into one-line messages; a closed output pipe ends the command without an error."""
    from bramblestile.trace import TraceError

    try:
        yield
    except BrokenPipeError:
        # Python flushes standard output at exit, which would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(0) from None
    except KeyboardInterrupt:
        click.echo("bramblestile: interrupted", err=True)
        raise SystemExit(130) from None
    except TraceError as error:
        raise InputError(str(error)) from None
    except OSError as error:
        raise OperationError(f"{error.filename}: {error.strerror}" if error.filename else str(error)) from None


def show_progress(rows: Iterable[T], label: str) -> Iterator[T]:
    """Yield the rows; if standard error is a terminal, show there how many have passed and how fast."""
    if not sys.stderr.isatty():
        yield from rows
        return
    started = reported = time.monotonic()
    for count, row in enumerate(rows, 1):
        yield row
        if count % 1000 == 0 and time.monotonic() - reported > PROGRESS_INTERVAL_S:
            reported = time.monotonic()
            print(f"\r{label}: {count} records, {count / (reported - started):.0f} a second", end="", file=sys.stderr)
    print("\r\x1b[K", end="", file=sys.stderr)
