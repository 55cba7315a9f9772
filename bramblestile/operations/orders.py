"""What operators have ordered, and the one small file in which it outlasts the process.

The file is written whole, beside and renamed, under a lock, so that two processes of one balancer neither lose an order
of the other's nor read half of one. It has a version; whatever else lies there (cut, corrupt, of another version) is
logged and served on without. An order that could not be written is not taken: ``NotKeptError``.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import re
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from bramblestile.clock import MICROSECOND, now
from bramblestile.log import Log

FILE_VERSION = 1
MAX_FILE_BYTES = 1 << 20  # bytes; a thousand ids take 30 KB
MAX_SUSPENDED_HOSTS = 4096  # ids out at once: more than any list has hosts, and each was listed when it was taken out
LOCK_TIMEOUT = timedelta(milliseconds=200)  # for the other process to have written: an answer is owed within 1 s
RESUMED_RETENTION = timedelta(minutes=10)  # for how long a call back is remembered: by then every host is warm


class OrderNotSavedError(Exception):
    """An order cannot be kept; the text says why."""


@dataclass(slots=True, frozen=True)
class Orders:
    """``suspended``: hosts that are out, and since when. ``back``: hosts that were called back, and from when on they
    count as born. ``drained``: clients are sent away."""

    suspended: dict[str, timedelta] = field(default_factory=dict)
    resumed: dict[str, timedelta] = field(default_factory=dict)
    drained: bool = False

    def suspend(self, host: str, at: timedelta) -> Orders:
        """One that is out stays out from when it went."""
        if host in self.suspended:
            return self
        if len(self.suspended) >= MAX_SUSPENDED_HOSTS:
            raise OrderNotSavedError(f"{MAX_SUSPENDED_HOSTS} image servers are out already")
        return replace(self, suspended=self.suspended | {host: at}, resumed=_without(self.resumed, host))

    def resume(self, host: str, at: timedelta, born: timedelta | None) -> Orders:
        """``born``: as listed. It is restarted while it is out, and counts from then where the list tells it, else from
        now. One that was not out stays as it is."""
        since = self.suspended.get(host)
        if since is None:
            return self
        resumed = {h: t for h, t in self.resumed.items() if at - t < RESUMED_RETENTION}
        return replace(
            self,
            suspended=_without(self.suspended, host),
            resumed=resumed | {host: born if born is not None and since < born < at else at},
        )


def _without(table: dict[str, timedelta], host: str) -> dict[str, timedelta]:
    return {h: t for h, t in table.items() if h != host}


def encode_orders(orders: Orders) -> bytes:
    def table(times: dict[str, timedelta]) -> dict[str, int]:
        return {h: t // MICROSECOND for h, t in sorted(times.items())}

    return json.dumps(
        {
            "version": FILE_VERSION,
            "suspended_us": table(orders.suspended),
            "back_us": table(orders.resumed),
            "drained": orders.drained,
        }
    ).encode()


def decode_orders(raw: bytes) -> Orders:
    """ValueError says what is wrong with it; half a file is never taken for a whole one."""
    try:
        got: Any = json.loads(raw)
    except RecursionError:
        raise ValueError("nested too deeply") from None
    if not isinstance(got, dict) or got.get("version") != FILE_VERSION:
        raise ValueError("not a file of this version")
    tables: list[dict[str, timedelta]] = []
    for key in ("suspended_us", "back_us"):
        table = got.get(key)
        if not isinstance(table, dict) or not all(type(t) is int and 0 <= t < 1 << 60 for t in table.values()):
            raise ValueError(f"{key} is not a table of times")
        tables.append({h: t * MICROSECOND for h, t in table.items()})
    drained = got.get("drained")
    if not isinstance(drained, bool):
        raise ValueError("drained is neither true nor false")
    return Orders(tables[0], tables[1], drained)


class OrderStore:
    """The orders in force. ``folder`` None: they end with the process."""

    def __init__(self, folder: Path | None, name: str) -> None:
        safe = re.sub(r"[^A-Za-z0-9_.-]", "_", name)[:64]
        self._path = None if folder is None else folder / f"bramblestile-{safe}.orders"
        self._log = Log(part="orders")
        self._seen: tuple[int, int, int] | None = None
        self.orders = Orders()
        self.reload()

    def reload(self) -> bool:
        """Takes what another process has written since; True where that is news. A file that cannot be read, or is none
        of ours, changes nothing."""
        if self._path is None:
            return False
        try:
            told = os.stat(self._path)
            mark = (told.st_ino, told.st_mtime_ns, told.st_size)
            if mark == self._seen:
                return False
            self._seen = mark
            got = self._read(self._path)
        except FileNotFoundError:
            return False
        except (OSError, ValueError) as error:
            self._log.warning_rate_limited("orders", file=self._path.name, text=f"served on without: {error}")
            return False
        changed, self.orders = got != self.orders, got
        return changed

    def _read(self, path: Path) -> Orders:
        with open(path, "rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise ValueError(f"more than {MAX_FILE_BYTES} bytes")
        return decode_orders(raw)

    def change(self, changed: Callable[[Orders], Orders]) -> Orders:
        """Takes an order on what is in force, the other process's orders among it, and keeps it. NotKeptError: it is
        not taken."""
        if self._path is None:
            self.orders = changed(self.orders)
            return self.orders
        try:
            with self._locked(self._path):
                self.reload()
                new = changed(self.orders)
                if new != self.orders or not self._path.exists():
                    self._write(self._path, encode_orders(new))
                self.orders = new
        except OSError as error:
            raise OrderNotSavedError(f"{self._path.name}: {error.strerror or error}") from None
        return self.orders

    @contextlib.contextmanager
    def _locked(self, path: Path) -> Iterator[None]:
        lock = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            until = now() + LOCK_TIMEOUT
            while True:
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if now() >= until:
                        raise
                    time.sleep(0.005)
            yield
        finally:
            os.close(lock)

    def _write(self, path: Path, raw: bytes) -> None:
        beside = f"{path}.{os.getpid()}"
        made = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            try:
                if os.write(made, raw) != len(raw):
                    raise OSError("no room for the whole of it")
                told = os.fstat(made)
            finally:
                os.close(made)
            os.rename(beside, path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(beside)
            raise
        self._seen = (told.st_ino, told.st_mtime_ns, told.st_size)
