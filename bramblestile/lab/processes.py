"""Processes of the program: started, paused, starved, killed and started again, with what they log in the record."""

from __future__ import annotations

import contextlib
import json
import os
import selectors
import signal
import subprocess
import sys
import threading
import time
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

from bramblestile.lab.record import Record

TURN = 0.1  # seconds: of a starved process's share of its core


class Program:
    """One process of the program at a time, under one name."""

    def __init__(
        self,
        name: str,
        folder: Path,
        config: dict[str, Any],
        record: Record,
        reader: Reader,
        command: list[str] | None = None,
    ) -> None:
        self.name, self.folder, self.config, self.record = name, folder, config, record
        self._reader = reader
        self._command = command or [sys.executable, "-m", "bramblestile"]
        self.process: subprocess.Popen[bytes] | None = None
        self._starving: threading.Event | None = None
        self.paused = False
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "tmp").mkdir(exist_ok=True)

    def start(self) -> None:
        self.paused = False
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith("EDGE_")},
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.folder / "tmp"),
        }
        # The other processes' pipes must not live on in this one.
        self.process = subprocess.Popen(
            self._command, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL, env=environment, close_fds=True
        )
        self._reader.follow(self.name, self.process)
        self.record.add("started", who=self.name, pid=self.process.pid)

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    @property
    def serves(self) -> bool:
        return self.runs and not self.paused

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def pause(self) -> None:
        self.paused = True
        self.signal(signal.SIGSTOP)
        self.record.add("paused", who=self.name)

    def wake(self) -> None:
        self.paused = False
        self.signal(signal.SIGCONT)
        self.record.add("woken", who=self.name)

    def kill(self) -> None:
        self.feed()
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)
        self.record.add("killed", who=self.name)

    def restart(self) -> None:
        self.kill()
        self.start()

    def starve(self, share: float) -> None:
        """Runs for this part of each ``TURN`` only, until it is fed."""
        self.feed()
        ended = self._starving = threading.Event()
        self.record.add("starved", who=self.name, share=share)

        def run() -> None:
            while not ended.wait(TURN * share):
                self.signal(signal.SIGSTOP)
                ended.wait(TURN * (1 - share))
                self.signal(signal.SIGCONT)

        threading.Thread(target=run, name="starve " + self.name, daemon=True).start()

    def feed(self) -> None:
        if self._starving is not None:
            self._starving.set()
            self._starving = None
            self.signal(signal.SIGCONT)
            self.record.add("fed", who=self.name)

    def stop(self, within: timedelta = timedelta(seconds=8)) -> int | None:
        """SIGTERM, and its exit code; killed where it takes longer."""
        self.feed()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.process is None:
            return None
        try:
            return self.process.wait(within.total_seconds())
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def cpu(self) -> float:
        """Seconds of processor time that the process has used."""
        if self.process is None:
            return 0.0
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> int:
        """KB that the process holds."""
        if self.process is None:
            return 0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0


class Reader:
    """Reads what all processes log, in one thread: a process whose pipe nobody reads would stand still."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._selector = selectors.DefaultSelector()
        self._held: dict[int, bytes] = {}
        self._lock = threading.Lock()
        self._new: list[tuple[str, subprocess.Popen[bytes]]] = []
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="reader", daemon=True)
        self._thread.start()

    def follow(self, name: str, process: subprocess.Popen[bytes]) -> None:
        with self._lock:
            self._new.append((name, process))

    def stop(self) -> None:
        self._stopped = True
        self._thread.join(2)

    def _run(self) -> None:
        while not self._stopped:
            with self._lock:
                fresh, self._new = self._new, []
            for name, process in fresh:
                assert process.stderr is not None
                self._selector.register(process.stderr, selectors.EVENT_READ, name)
            if not self._selector.get_map():
                time.sleep(0.02)
                continue
            for key, _ in self._selector.select(0.05):
                self._read(key)

    def _read(self, key: selectors.SelectorKey) -> None:
        got = os.read(key.fd, 65536)
        if not got:
            self._selector.unregister(key.fileobj)
            self._held.pop(key.fd, None)
            return
        *lines, rest = (self._held.get(key.fd, b"") + got).split(b"\n")
        self._held[key.fd] = rest[-65536:]
        for line in lines:
            self._tell(key.data, line)

    def _tell(self, name: str, line: bytes) -> None:
        try:
            said = json.loads(line)
            # Its log tells whole milliseconds, cut off: by their end it has happened, and never before what caused it.
            at = min(time.time(), datetime.fromisoformat(said.pop("time")).timestamp() + 0.001)
            self._record.add("said", at, who=name, **{k: v for k, v in said.items() if k not in ("at", "what", "who")})
        except (ValueError, TypeError, KeyError, AttributeError):
            self._record.add("said", who=name, event="raw", text=line.decode("utf-8", "replace")[:500])
