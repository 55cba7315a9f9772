"""Start and stop: builds the parts, waits for signals, and leaves without losing anyone."""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
from datetime import timedelta

from bramblestile.clock import now
from bramblestile.memory.connections import Standing
from bramblestile.memory.counters import Counters
from bramblestile.process.config import Config, ConfigError, load
from bramblestile.process.front import Front, LineFront, NatsFront, log
from bramblestile.process.listeners import Listener
from bramblestile.wire import agent

STACK = 192 * 1024  # bytes; two threads for each standing connection must fit the memory limit
STILL_COMING = timedelta(milliseconds=600)  # after SIGTERM the front goes on sending for up to 0.4 s
LEAVING = timedelta(seconds=3)  # from SIGTERM to the exit; SIGKILL comes no sooner than 3.7 s
MOVES_OVER = timedelta(milliseconds=1200)  # the moved come back at once: spread, so as not to be a storm


class Daemon:
    """The whole program: its fronts, each with a cluster of its own, and one set of counters."""

    def __init__(self, config: Config) -> None:
        self.counters = Counters()
        self.leaving = False
        self.health = config.health
        self.told_at: dict[str, Listener] = {}  # where the health protocols are answered
        self.fronts: list[Front] = []
        if config.lines is not None:
            self.fronts.append(LineFront(config.lines, self.counters))
        if config.nats is not None:
            self.fronts.append(NatsFront(config.nats, self.counters))

    def start(self) -> None:
        for front in self.fronts:
            front.start()
        asked = ((self.health.agent, "agent_check", lambda sock: agent.answer_agent(sock, self.is_well)),
                 (self.health.http, "health", lambda sock: agent.answer_http(sock, self.is_well,
                                                                           self.health.path)))
        for address, name, answer in asked:
            if address is not None:
                self.told_at[name] = Listener(address, answer, self.counters, name)
                self.told_at[name].start()

    def is_well(self) -> agent.Health:
        """What other balancers are told of this one."""
        share = max((front.share_of_hosts() for front in self.fronts), default=0.0)
        return agent.Health(takes_work=share > 0, leaving=self.leaving, share=share)

    def stop(self) -> None:
        """Takes what the front still sends, answers it, moves all that stands, and returns in time."""
        began = now()
        self.leaving = True  # said at once; what still comes is taken
        time.sleep(STILL_COMING.total_seconds())
        listeners = [front.listener for front in self.fronts if front.listener is not None]
        for listener in listeners:
            listener.stop()
        standing = self._standing()
        for number, one in enumerate(standing):
            wanted = began + STILL_COMING + MOVES_OVER * number / len(standing)
            time.sleep(max(0.0, (wanted - now()).total_seconds()))
            one.move()
        while any(listener.busy for listener in listeners) and now() < began + LEAVING:
            for one in self._standing():  # what was still being answered has come up since
                one.move()
            time.sleep(0.02)

    def _standing(self) -> list[Standing]:
        return [one for front in self.fronts for one in front.connections.all()]


def main(arguments: list[str]) -> int:
    try:
        config = load(arguments, os.environ)
    except ConfigError as error:
        log(f"bramblestile: {error}")
        return 2
    threading.stack_size(STACK)
    # Signals are waited for, not handled: blocked before the first thread starts, so that all inherit it.
    waited = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1}
    signal.pthread_sigmask(signal.SIG_BLOCK, waited)
    daemon = Daemon(config)
    daemon.start()
    while signal.sigwait(waited) is signal.SIGUSR1:
        daemon.counters.print()
    daemon.stop()
    daemon.counters.print()
    sys.stderr.flush()
    os._exit(0)  # threads that still wait on a socket must not hold up the exit
