"""Structured logging to standard error: events with fields, a level, and fields that are bound to a request.

Built on the standard library's ``logging``: structlog would add 11.6 MB to a process of 17 MB (docs/design/trace.md),
and the platform allows 80 MB. On a terminal a line is ``event key=value``, otherwise one JSON object. Warnings that a
client can cause are rate-limited, so that no client decides how fast the process writes its log.
"""

from __future__ import annotations

import json
import logging
import sys
import threading
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import IO, TYPE_CHECKING, Any

from bramblestile.clock import now

RATE_LIMIT_INTERVAL = timedelta(seconds=1)  # minimum time between two rate-limited lines of one event
MAX_RATE_LIMITED_EVENTS = 256  # bounds the table below; event names are literals, so it is never reached
LEVELS = ("debug", "info", "warning", "error")
FORMATS = ("auto", "json", "text")
MAX_FIELD_CHARS = 2000  # bounds what a peer can write into the log with one line
_logger = logging.getLogger("bramblestile")
_logger.propagate = False
_logger.setLevel(logging.INFO)
_lock = threading.Lock()
if TYPE_CHECKING:
    _Handler = logging.StreamHandler[IO[str]]
else:
    _Handler = logging.StreamHandler
_rate_limits: dict[str, tuple[timedelta, int]] = {}  # event: time of its last line, number suppressed since
Sink = Callable[[str, str, str, dict[str, Any]], None]  # level, event, text, fields
_sinks: list[Sink] = []


def _plain(value: Any) -> Any:
    if value is None or isinstance(value, (bool, int, float)):
        return value
    text = str(value)
    return text if len(text) <= MAX_FIELD_CHARS else text[:MAX_FIELD_CHARS] + "…"


class _Json(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        timestamp = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
        entry: dict[str, Any] = {
            "time": timestamp,
            "level": record.levelname.lower(),
            "event": record.msg,
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry, ensure_ascii=False, separators=(",", ":"))


class _Text(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", {})
        pairs = [f"{k}={json.dumps(v, ensure_ascii=False) if _needs_quotes(v) else v}" for k, v in fields.items()]
        timestamp = datetime.fromtimestamp(record.created).strftime("%H:%M:%S.%f")[:-3]
        line = " ".join([timestamp, f"{record.levelname.lower():7}", str(record.msg), *pairs])
        return line + ("\n" + self.formatException(record.exc_info) if record.exc_info else "")


def _needs_quotes(value: Any) -> bool:
    return isinstance(value, str) and (not value or any(c.isspace() or c in '"=' for c in value))


class _Stderr(_Handler):
    """Writes to whatever ``sys.stderr`` is at the moment, since it may be replaced after the handler is made."""

    def __init__(self) -> None:
        logging.Handler.__init__(self)

    @property
    def stream(self) -> IO[str]:  # type: ignore[override]
        return sys.stderr


def configure(level: str = "info", form: str = "auto") -> None:
    """Set the level and the output format, one of ``FORMATS``. Called at the start and at each reload."""
    handler = _Stderr()
    as_text = sys.stderr.isatty() if form == "auto" else form == "text"
    handler.setFormatter(_Text() if as_text else _Json())
    _logger.handlers[:] = [handler]
    _logger.setLevel(level.upper())
    logging.raiseExceptions = False  # a closed standard error must not fail a request


class Log:
    """A logger that adds its ``bound`` fields, such as a request's id, to every line."""

    __slots__ = ("bound",)

    def __init__(self, **bound: Any) -> None:
        self.bound = bound

    def bind(self, **more: Any) -> Log:
        """Return a logger with further bound fields."""
        return Log(**{**self.bound, **more})

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event at level debug."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event at level info."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event at level warning."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event at level error."""
        self._write(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Log the exception that is being handled, with its traceback: a fault of this program, not of a peer."""
        self._write(logging.ERROR, event, fields, exception=True)

    def warning_rate_limited(self, event: str, **fields: Any) -> None:
        """Log a warning that a peer can cause at will, at most once per event and ``RATE_LIMIT_INTERVAL``.

        The number of suppressed lines goes into the field ``more_before`` of the next one.
        """
        with _lock:
            last, suppressed = _rate_limits.get(event, (-RATE_LIMIT_INTERVAL, 0))
            due = now() - last >= RATE_LIMIT_INTERVAL
            if event in _rate_limits or len(_rate_limits) < MAX_RATE_LIMITED_EVENTS:
                _rate_limits[event] = (now(), 0) if due else (last, suppressed + 1)
        if due:
            self._write(logging.WARNING, event, {**fields, **({"more_before": suppressed} if suppressed else {})})

    def _write(self, level: int, event: str, fields: dict[str, Any], exception: bool = False) -> None:
        if not _logger.isEnabledFor(level):
            return
        entry = {k: _plain(v) for k, v in {**self.bound, **fields}.items()}
        if not _logger.handlers:
            configure()
        _logger.log(level, event, extra={"fields": entry}, exc_info=exception)
        for sink in _sinks:
            sink(
                logging.getLevelName(level).lower(),
                event,
                " ".join(f"{k}={v}" for k, v in entry.items() if k != "id"),
                entry,
            )


def add_sink(sink: Sink) -> None:
    """Register a function that receives every logged line, in the thread that logs it."""
    _sinks.append(sink)


def remove_sink(sink: Sink) -> None:
    """Remove a function that ``add_sink`` registered."""
    _sinks.remove(sink)
