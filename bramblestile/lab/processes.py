"""Balancer processes that can be paused, throttled, killed and restarted, and whose log goes into the event log."""

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

from bramblestile.lab.event_log import EventLog

THROTTLE_PERIOD_S = 0.1
KILL_TIMEOUT_S = 10
MAX_RAW_TEXT_LENGTH = 500  # characters of a line that is not a JSON object
READ_SIZE_BYTES = 65536
MAX_PARTIAL_LINE_BYTES = 65536


class BalancerProcess:
    """A balancer, of which at most one process runs at a time.

    ``config`` is written to the process's folder at each start, so that changes take effect at the next one. ``paused``
    is whether the process was stopped by ``pause``. ``command`` replaces ``python -m bramblestile``.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        config: dict[str, Any],
        event_log: EventLog,
        log_reader: LogReader,
        command: list[str] | None = None,
    ) -> None:
        self.name, self.folder, self.config, self.event_log = name, folder, config, event_log
        self._log_reader = log_reader
        self._command = command or [sys.executable, "-m", "bramblestile"]
        self.process: subprocess.Popen[bytes] | None = None
        self._throttle_ended: threading.Event | None = None
        self.paused = False
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "tmp").mkdir(exist_ok=True)

    def start(self) -> None:
        """Start the process. Settings of this environment (``EDGE_``) don't reach it."""
        self.paused = False
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith("EDGE_")},
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.folder / "tmp"),
        }
        # The new process must not inherit the other processes' pipes.
        self.process = subprocess.Popen(
            self._command, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL, env=environment, close_fds=True
        )
        self._log_reader.follow(self.name, self.process)
        self.event_log.add("started", who=self.name, pid=self.process.pid)

    @property
    def is_running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self.process is not None and self.process.poll() is None

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.is_running and not self.paused

    def signal(self, signal_number: int) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    def pause(self) -> None:
        """Stop the process with SIGSTOP until ``resume``."""
        self.paused = True
        self.signal(signal.SIGSTOP)
        self.event_log.add("paused", who=self.name)

    def resume(self) -> None:
        """Continue a paused process."""
        self.paused = False
        self.signal(signal.SIGCONT)
        self.event_log.add("woken", who=self.name)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.unthrottle()
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(KILL_TIMEOUT_S)
        self.event_log.add("killed", who=self.name)

    def restart(self) -> None:
        """Kill the process and start a new one."""
        self.kill()
        self.start()

    def throttle(self, share: float) -> None:
        """Let the process run for this share of each ``THROTTLE_PERIOD_S`` only, until ``unthrottle``."""
        self.unthrottle()
        ended = self._throttle_ended = threading.Event()
        self.event_log.add("starved", who=self.name, share=share)

        def run() -> None:
            while not ended.wait(THROTTLE_PERIOD_S * share):
                self.signal(signal.SIGSTOP)
                ended.wait(THROTTLE_PERIOD_S * (1 - share))
                self.signal(signal.SIGCONT)

        threading.Thread(target=run, name="starve " + self.name, daemon=True).start()

    def unthrottle(self) -> None:
        """End the throttling, if any."""
        if self._throttle_ended is not None:
            self._throttle_ended.set()
            self._throttle_ended = None
            self.signal(signal.SIGCONT)
            self.event_log.add("fed", who=self.name)

    def stop(self, timeout: timedelta = timedelta(seconds=8)) -> int | None:
        """Stop the process with SIGTERM and return its exit code; None if it had to be killed or never ran."""
        self.unthrottle()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.process is None:
            return None
        try:
            return self.process.wait(timeout.total_seconds())
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def cpu_time_s(self) -> float:
        """Return the CPU time that the process has used, in seconds; 0 if unknown."""
        if self.process is None:
            return 0.0
        try:
            stat_fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(stat_fields[11]) + int(stat_fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_memory_kb(self) -> int:
        """Return the resident memory of the process, in KB; 0 if unknown."""
        if self.process is None:
            return 0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0


class LogReader:
    """Reads the logs of all processes into the event log, in one thread.

    Every pipe must be read, as a process blocks when its pipe is full.
    """

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log
        self._selector = selectors.DefaultSelector()
        self._partial_lines: dict[int, bytes] = {}
        self._lock = threading.Lock()
        self._unregistered: list[tuple[str, subprocess.Popen[bytes]]] = []
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="reader", daemon=True)
        self._thread.start()

    def follow(self, name: str, process: subprocess.Popen[bytes]) -> None:
        """Read the stderr of a process until its end."""
        with self._lock:
            self._unregistered.append((name, process))

    def stop(self) -> None:
        """Stop reading."""
        self._stopped = True
        self._thread.join(2)

    def _run(self) -> None:
        while not self._stopped:
            with self._lock:
                unregistered, self._unregistered = self._unregistered, []
            for name, process in unregistered:
                assert process.stderr is not None
                self._selector.register(process.stderr, selectors.EVENT_READ, name)
            if not self._selector.get_map():
                time.sleep(0.02)
                continue
            for key, _ in self._selector.select(0.05):
                self._read(key)

    def _read(self, key: selectors.SelectorKey) -> None:
        data = os.read(key.fd, READ_SIZE_BYTES)
        if not data:
            self._selector.unregister(key.fileobj)
            self._partial_lines.pop(key.fd, None)
            return
        *lines, rest = (self._partial_lines.get(key.fd, b"") + data).split(b"\n")
        self._partial_lines[key.fd] = rest[-MAX_PARTIAL_LINE_BYTES:]
        for line in lines:
            self._add_line(key.data, line)

    def _add_line(self, name: str, line: bytes) -> None:
        try:
            log_entry = json.loads(line)
            # Log times are truncated to milliseconds. The end of the millisecond is used, so that an event never seems
            # to precede its cause.
            timestamp = min(time.time(), datetime.fromisoformat(log_entry.pop("time")).timestamp() + 0.001)
            self._event_log.add(
                "said",
                timestamp,
                who=name,
                **{key: value for key, value in log_entry.items() if key not in ("at", "what", "who")},
            )
        except (ValueError, TypeError, KeyError, AttributeError):
            self._event_log.add(
                "said", who=name, event="raw", text=line.decode("utf-8", "replace")[:MAX_RAW_TEXT_LENGTH]
            )
