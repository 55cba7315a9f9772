"""The program's log on standard error: events with fields, a level, and what is bound to a request.

On the standard library's logging: structlog would add 11.6 MB to a program of 17 (docs/design/trace.md), and the
platform gives 80. For a person at a terminal a line is ``event key=value``, otherwise one JSON object. What a client
can cause comes seldom: whoever can make us log must not make us log at his speed.
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

RATE_LIMIT_INTERVAL = timedelta(seconds=1)  # between two lines of one kind
MAX_RATE_LIMITED_EVENTS = (
    256  # of lines whose last time is remembered; kinds are named in the code, so this is never reached
)
LEVELS = ("debug", "info", "warning", "error")
FORMATS = ("auto", "json", "text")
MAX_FIELD_CHARS = 2000  # letters of one field: what a peer has sent must not fill the log
_logger = logging.getLogger("bramblestile")
_logger.propagate = False
_logger.setLevel(logging.INFO)
_lock = threading.Lock()
if TYPE_CHECKING:
    _Handler = logging.StreamHandler[IO[str]]
else:
    _Handler = logging.StreamHandler
_said: dict[str, tuple[timedelta, int]] = {}  # kind: when it was last logged, how many were passed over since
Sink = Callable[[str, str, str, dict[str, Any]], None]  # level, event, text, fields
_sinks: list[Sink] = []


def _plain(value: Any) -> Any:
    if value is None or isinstance(value, (bool, int, float)):
        return value
    text = str(value)
    return text if len(text) <= MAX_FIELD_CHARS else text[:MAX_FIELD_CHARS] + "…"


class _Json(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        at = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
        said: dict[str, Any] = {
            "time": at,
            "level": record.levelname.lower(),
            "event": record.msg,
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            said["exception"] = self.formatException(record.exc_info)
        return json.dumps(said, ensure_ascii=False, separators=(",", ":"))


class _Text(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", {})
        pairs = [f"{k}={json.dumps(v, ensure_ascii=False) if _needs_quotes(v) else v}" for k, v in fields.items()]
        at = datetime.fromtimestamp(record.created).strftime("%H:%M:%S.%f")[:-3]
        line = " ".join([at, f"{record.levelname.lower():7}", str(record.msg), *pairs])
        return line + ("\n" + self.formatException(record.exc_info) if record.exc_info else "")


def _needs_quotes(value: Any) -> bool:
    return isinstance(value, str) and (not value or any(c.isspace() or c in '"=' for c in value))


class _Stderr(_Handler):
    """Whatever standard error is at the moment: it may have been put elsewhere since."""

    def __init__(self) -> None:
        logging.Handler.__init__(self)

    @property
    def stream(self) -> IO[str]:  # type: ignore[override]
        return sys.stderr


def configure(level: str = "info", form: str = "auto") -> None:
    """Once at the start, and again at a reload."""
    handler = _Stderr()
    as_text = sys.stderr.isatty() if form == "auto" else form == "text"
    handler.setFormatter(_Text() if as_text else _Json())
    _logger.handlers[:] = [handler]
    _logger.setLevel(level.upper())
    logging.raiseExceptions = False  # a log that nobody reads any more must not end a request


class Log:
    """``bound`` stands on every line, a request's id for example."""

    __slots__ = ("bound",)

    def __init__(self, **bound: Any) -> None:
        self.bound = bound

    def bind(self, **more: Any) -> Log:
        return Log(**{**self.bound, **more})

    def debug(self, event: str, **fields: Any) -> None:
        self._say(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        self._say(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._say(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._say(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """With the traceback of the exception in hand: a fault of ours, never of a peer's."""
        self._say(logging.ERROR, event, fields, exception=True)

    def warning_rate_limited(self, event: str, **fields: Any) -> None:
        """A warning that a peer can cause at will: one of a kind each second, the rest are only counted."""
        with _lock:
            last, passed_over = _said.get(event, (-RATE_LIMIT_INTERVAL, 0))
            due = now() - last >= RATE_LIMIT_INTERVAL
            if event in _said or len(_said) < MAX_RATE_LIMITED_EVENTS:
                _said[event] = (now(), 0) if due else (last, passed_over + 1)
        if due:
            self._say(logging.WARNING, event, {**fields, **({"more_before": passed_over} if passed_over else {})})

    def _say(self, level: int, event: str, fields: dict[str, Any], exception: bool = False) -> None:
        if not _logger.isEnabledFor(level):
            return
        said = {k: _plain(v) for k, v in {**self.bound, **fields}.items()}
        if not _logger.handlers:
            configure()
        _logger.log(level, event, extra={"fields": said}, exc_info=exception)
        for sink in _sinks:
            sink(
                logging.getLevelName(level).lower(),
                event,
                " ".join(f"{k}={v}" for k, v in said.items() if k != "id"),
                said,
            )


def add_sink(sink: Sink) -> None:
    _sinks.append(sink)


def remove_sink(sink: Sink) -> None:
    _sinks.remove(sink)
