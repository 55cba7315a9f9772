"""Start and stop: builds the parts, waits for signals, and leaves without losing anyone."""

from __future__ import annotations

import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from datetime import timedelta

from bramblestile.clock import now
from bramblestile.life import House, live
from bramblestile.memory.cluster import Cluster
from bramblestile.memory.connections import Connections, Delays, Standing
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import Decisions
from bramblestile.process.config import Config, ConfigError, load
from bramblestile.process.listeners import Listener
from bramblestile.wire import lines, sockets
from bramblestile.wire.discovery import Watch
from bramblestile.wire.probes import Ask, Probes
from vanegw import interface as api

STACK = 192 * 1024  # bytes; two threads for each standing connection must fit the memory limit
FIRST_LINE = timedelta(seconds=30)  # for a downstream that has connected and says nothing
STILL_COMING = timedelta(milliseconds=600)  # after SIGTERM the front goes on sending for up to 0.4 s
LEAVING = timedelta(seconds=3)  # from SIGTERM to the exit; SIGKILL comes no sooner than 3.7 s
MOVES_OVER = timedelta(milliseconds=1200)  # the moved come back at once: spread, so as not to be a storm


def log(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


class Daemon:
    """The whole program. Nothing in it listens before ``start``."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.counters = Counters()
        self.cluster = Cluster()
        self.decisions = Decisions(config.settings, config.seed, self.cluster, self.counters)
        self.connections = Connections(self.mute)
        aims = [c.message_aim_us for c in config.settings.classes if c.message_aim_us > 0]
        self.delays = Delays(timedelta(microseconds=min(aims, default=300_000.0) / 3), self._note_delay)
        self.house = House(self.decisions, self.cluster, self.connections, self.counters, self,
                           config.connect_within)
        self.probes = Probes(self.cluster, _line_prober, config.probe_within, self.decisions.tell,
                             self.counters)
        self.watch = None if config.discovery is None else Watch(
            config.discovery, config.known_version, self.decisions.list, log)
        self.listeners: list[Listener] = []

    def start(self) -> None:
        self.decisions.on_probe = self.probes.ask
        self.decisions.on_move = self.connections.move
        if self.watch is not None:
            self.decisions.on_subscribe = self.watch.ask
            self.watch.start()
        self.decisions.start()
        self.connections.start()
        self.decisions.list(api.ListMode.RESTORED, self.config.known)
        if self.config.listen is not None:
            self.listen(self.config.listen, self.serve_line, "lines")

    def listen(self, address: sockets.Address, serve: Callable[[socket.socket], None], name: str) -> Listener:
        listener = Listener(address, serve, self.counters, name)
        self.listeners.append(listener)
        listener.start()
        return listener

    # The observer of standing connections.

    def load(self, standing: Standing, value: float) -> None:
        self.decisions.tell(api.Note(standing.id, 0, standing.host, api.NoteKind.LOAD, value))

    def delay(self, standing: Standing, delay: timedelta) -> None:
        self.delays.seen(standing, delay)

    def drains(self, standing: Standing) -> None:
        host = self.cluster.draining(standing.host)
        if host is not None:
            self.decisions.list(api.ListMode.CHANGES, (host,))

    def mute(self, standing: Standing, delay: timedelta) -> None:
        self.delays.seen(standing, delay, answered=False)
        self.decisions.tell(api.Note(standing.id, 0, standing.host, api.NoteKind.SILENCE,
                                     delay / timedelta(milliseconds=1)))

    def _note_delay(self, standing: Standing, delay: timedelta) -> None:
        self.decisions.tell(api.Note(standing.id, 0, standing.host, api.NoteKind.DELAY,
                                     delay / timedelta(milliseconds=1)))

    # The platform's front.

    def serve_line(self, sock: socket.socket) -> None:
        """The first line of a downstream: a health check, or a request whose life begins."""
        reader = sockets.LineReader(sock, lines.LONGEST)
        try:
            while True:
                line = reader.line(FIRST_LINE)
                if line is None:
                    return
                if sockets.text(line) != "PING":
                    break
                sockets.write(sock, [lines.PONG])
            asked, head = lines.parse_open(line)
        except TimeoutError:
            self.counters.add("silent_downstreams")
            return
        except (sockets.OverlongError, lines.MalformedError) as error:
            self.counters.add("bad_first_lines")
            log(f"lines: first line: {error!r}")
            sockets.write(sock, [lines.FAILED])
            sockets.close(sock)
            return
        live(self.house, lines.LineDownstream(sock, reader, asked, head), asked)

    def stop(self) -> None:
        """Takes what the front still sends, answers it, moves all that stands, and returns in time."""
        began = now()
        time.sleep(STILL_COMING.total_seconds())
        for listener in self.listeners:
            listener.stop()
        standing = self.connections.all()
        for number, one in enumerate(standing):
            wanted = began + STILL_COMING + MOVES_OVER * number / len(standing)
            time.sleep(max(0.0, (wanted - now()).total_seconds()))
            one.move()
        while any(listener.busy for listener in self.listeners) and now() < began + LEAVING:
            for one in self.connections.all():  # what was still being answered has come up since
                one.move()
            time.sleep(0.02)


def _line_prober() -> tuple[Ask, Callable[[], None]]:
    prober = lines.Prober()
    return prober.ask, prober.close


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
