"""The operators' orders and the small file that preserves them across restarts.

Two processes of one balancer may share the file during a hot upgrade. It is replaced atomically by a rename, under a
lock, so that neither process loses the other's orders or reads half a file. The file has a version. A file that is
truncated, corrupt or of another version is logged and ignored. An order that cannot be saved is rejected with
``OrderNotSavedError``.
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
MAX_FILE_BYTES = 1 << 20  # a thousand host ids take 30 KB
MAX_SUSPENDED_HOSTS = 4096  # more than any list has hosts, and a host must be listed to be suspended
LOCK_TIMEOUT = timedelta(milliseconds=200)  # a management call must be answered within 1 s
RESUMED_RETENTION = timedelta(minutes=10)  # by then every resumed host is warm


class OrderNotSavedError(Exception):
    """An order cannot be saved; the message says why."""


@dataclass(slots=True, frozen=True)
class Orders:
    """The orders in force.

    ``suspended`` maps the hosts that are suspended to the time of suspension. ``resumed`` maps the hosts that were
    resumed to the time that counts as their start. ``drained`` is set while all clients are sent away.
    """

    suspended: dict[str, timedelta] = field(default_factory=dict)
    resumed: dict[str, timedelta] = field(default_factory=dict)
    drained: bool = False

    def suspend(self, host: str, current_time: timedelta) -> Orders:
        """Return the orders with ``host`` suspended; a host that is suspended already keeps its time of suspension.

        Raises OrderNotSavedError if too many hosts are suspended.
        """
        if host in self.suspended:
            return self
        if len(self.suspended) >= MAX_SUSPENDED_HOSTS:
            raise OrderNotSavedError(f"{MAX_SUSPENDED_HOSTS} image servers are out already")
        return replace(self, suspended=self.suspended | {host: current_time}, resumed=_without(self.resumed, host))

    def resume(self, host: str, current_time: timedelta, started_at: timedelta | None) -> Orders:
        """Return the orders with ``host`` resumed; a host that was not suspended stays as it is.

        A host is restarted while it is suspended. It counts as started at ``started_at``, the time in the host list,
        if that lies within the suspension, and else at ``current_time``.
        """
        suspended_at = self.suspended.get(host)
        if suspended_at is None:
            return self
        resumed = {h: t for h, t in self.resumed.items() if current_time - t < RESUMED_RETENTION}
        return replace(
            self,
            suspended=_without(self.suspended, host),
            resumed=resumed
            | {
                host: started_at
                if started_at is not None and suspended_at < started_at < current_time
                else current_time
            },
        )


def _without(times: dict[str, timedelta], host: str) -> dict[str, timedelta]:
    return {h: t for h, t in times.items() if h != host}


def encode_orders(orders: Orders) -> bytes:
    """Return the content of the orders file; times are in microseconds."""

    def to_microseconds(times: dict[str, timedelta]) -> dict[str, int]:
        return {h: t // MICROSECOND for h, t in sorted(times.items())}

    return json.dumps(
        {
            "version": FILE_VERSION,
            "suspended_us": to_microseconds(orders.suspended),
            "back_us": to_microseconds(orders.resumed),
            "drained": orders.drained,
        }
    ).encode()


def decode_orders(raw: bytes) -> Orders:
    """Parse the content of an orders file.

    Raises ValueError if it is incomplete, malformed or of another version.
    """
    try:
        content: Any = json.loads(raw)
    except RecursionError:
        raise ValueError("nested too deeply") from None
    if not isinstance(content, dict) or content.get("version") != FILE_VERSION:
        raise ValueError("not a file of this version")
    tables: list[dict[str, timedelta]] = []
    for key in ("suspended_us", "back_us"):
        table = content.get(key)
        if not isinstance(table, dict) or not all(type(t) is int and 0 <= t < 1 << 60 for t in table.values()):
            raise ValueError(f"{key} is not a table of times")
        tables.append({h: t * MICROSECOND for h, t in table.items()})
    drained = content.get("drained")
    if not isinstance(drained, bool):
        raise ValueError("drained is neither true nor false")
    return Orders(tables[0], tables[1], drained)


def state_file_name(instance: str, kind: str) -> str:
    """Return the name of an instance's file of one kind, in the folder that its processes share."""
    return f"bramblestile-{re.sub(r'[^A-Za-z0-9_.-]', '_', instance)[:64]}.{kind}"


class OrderStore:
    """The orders in force, saved in a file of the balancer ``name`` in ``folder``.

    Without a folder they end with the process.
    """

    def __init__(self, folder: Path | None, name: str) -> None:
        self._path = None if folder is None else folder / state_file_name(name, "orders")
        self._log = Log(part="orders")
        self._file_stamp: tuple[int, int, int] | None = (
            None  # inode, mtime and size of the file as last read or written
        )
        self.orders = Orders()
        self.reload()

    def reload(self) -> bool:
        """Read what another process has written since; return whether the orders changed.

        A file that cannot be read or is malformed is logged and changes nothing.
        """
        if self._path is None:
            return False
        try:
            status = os.stat(self._path)
            file_stamp = (status.st_ino, status.st_mtime_ns, status.st_size)
            if file_stamp == self._file_stamp:
                return False
            self._file_stamp = file_stamp
            stored_orders = self._read(self._path)
        except FileNotFoundError:
            return False
        except (OSError, ValueError) as error:
            self._log.warning_rate_limited("orders", file=self._path.name, text=f"orders file ignored: {error}")
            return False
        changed, self.orders = stored_orders != self.orders, stored_orders
        return changed

    def _read(self, path: Path) -> Orders:
        with open(path, "rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise ValueError(f"more than {MAX_FILE_BYTES} bytes")
        return decode_orders(raw)

    def change(self, apply_change: Callable[[Orders], Orders]) -> Orders:
        """Apply a change to the orders in force, those of another process included, save and return them.

        Raises OrderNotSavedError if they cannot be saved; the orders then stay as they were.
        """
        if self._path is None:
            self.orders = apply_change(self.orders)
            return self.orders
        try:
            with self._locked(self._path):
                self.reload()
                changed_orders = apply_change(self.orders)
                if changed_orders != self.orders or not self._path.exists():
                    self._write(self._path, encode_orders(changed_orders))
                self.orders = changed_orders
        except OSError as error:
            raise OrderNotSavedError(f"{self._path.name}: {error.strerror or error}") from None
        return self.orders

    @contextlib.contextmanager
    def _locked(self, path: Path) -> Iterator[None]:
        """Hold the lock file of ``path``; raises BlockingIOError after LOCK_TIMEOUT."""
        descriptor = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            deadline = now() + LOCK_TIMEOUT
            while True:
                try:
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if now() >= deadline:
                        raise
                    time.sleep(0.005)
            yield
        finally:
            os.close(descriptor)

    def _write(self, path: Path, raw: bytes) -> None:
        """Replace the file atomically: write a temporary file beside it and rename that."""
        temporary_path = f"{path}.{os.getpid()}"
        descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            try:
                if os.write(descriptor, raw) != len(raw):
                    raise OSError("no room for the whole of it")
                status = os.fstat(descriptor)
            finally:
                os.close(descriptor)
            os.rename(temporary_path, path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(temporary_path)
            raise
        self._file_stamp = (status.st_ino, status.st_mtime_ns, status.st_size)
