"""A planned restart as the platform carries it out: SIGTERM, and SIGKILL when the process has had all its time.

Both signals come from a process of their own. The process of the tests is held up by its own threads and its garbage
collection, so a time that it takes itself says little about the balancer.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

SIGKILL_AFTER_DEADLINE_S = 0.7  # after the longest deadline of the classes, of which at most 3 s count
# Through a pidfd, which never means another process that got the same id.
SENDER = """
import contextlib, signal, sys, time
descriptor, delay_s = int(sys.argv[1]), float(sys.argv[2])
signal.pidfd_send_signal(descriptor, signal.SIGTERM)
print("sent", flush=True)
time.sleep(delay_s)
with contextlib.suppress(ProcessLookupError):
    signal.pidfd_send_signal(descriptor, signal.SIGKILL)
"""


@contextmanager
def planned_restart(process: subprocess.Popen[str], longest_deadline_s: float) -> Iterator[None]:
    """Send SIGTERM on entry, and SIGKILL when it is due; a process that ended in time has the exit status 0."""
    descriptor = os.pidfd_open(process.pid)
    delay_s = longest_deadline_s + SIGKILL_AFTER_DEADLINE_S
    command = [sys.executable, "-S", "-c", SENDER, str(descriptor), str(delay_s)]
    try:
        with subprocess.Popen(command, stdout=subprocess.PIPE, pass_fds=[descriptor]) as sender:
            try:
                assert sender.stdout is not None and sender.stdout.readline() == b"sent\n"
                yield
            finally:
                sender.kill()
    finally:
        os.close(descriptor)
