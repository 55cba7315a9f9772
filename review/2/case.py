"""The connection for a repeat comes up late: is a keyed request sent again after the window for repeats?"""

from __future__ import annotations

import random
import sys
import threading
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from rig import (  # noqa: E402
    SLACK,
    TROUBLE,
    Balancer,
    CannotRunError,
    Client,
    Discovery,
    ImageServer,
    Record,
    free_port,
    play,
    request_class,
    settings,
)

WINDOW = 1.0  # memory_span_us: image servers know a keyed request again for so long
MOST_LATE = 1.5  # how late a connection may come up
SET_UP = 0.4  # what an edit takes at an image server, well within its aim of 1 s


class Effects:
    """What the image servers remember together (dedup_scope ``all``): a request id runs again once it is forgotten."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._lock = threading.Lock()
        self._first_at: dict[str, float] = {}
        self.ran_twice: list[str] = []

    def arrive(self, server: str, request: str, at: float) -> None:
        with self._lock:
            first_at = self._first_at.setdefault(request, at)
            if first_at == at:
                self._record.add(f"{server}: {request} runs")
            elif at - first_at <= WINDOW + SLACK:
                self._record.add(f"{server}: {request} is known, {at - first_at:.3f} s after the first; not run again")
            else:
                self._record.add(f"{server}: {request} runs AGAIN, {at - first_at:.3f} s after the first")
                self.ran_twice.append(f"{request[-3:]} {at - first_at:.3f} s after the first")


class Editor(ImageServer):
    """An image server that sets a preview up at once and an edit in SET_UP."""

    def __init__(self, name: str, record: Record, effects: Effects, share: float) -> None:
        self.effects, self.share = effects, share
        super().__init__(name, record)

    def entry(self) -> dict[str, Any]:
        return {**super().entry(), "share": self.share}

    def on_open(self, sock: Any, lines: Any, first_byte: float, line: str) -> None:
        if "c=catalogue-edit" in line:
            self.effects.arrive(self.name, line.split(" ")[1], first_byte)
            time.sleep(SET_UP)
        super().on_open(sock, lines, first_byte, line)


def case(record: Record, folder: Path, balancers: list[Balancer]) -> str:
    effects = Effects(record)
    big, small = Editor("s-big", record, effects, 1.0), Editor("s-small", record, effects, 0.1)
    servers: list[ImageServer] = [big, small]
    discovery = Discovery(servers, record)
    edge_settings = settings(
        [
            request_class("preview-stream", 300, 1800),
            request_class("catalogue-edit", 1000, 4000, effect="keyed", memory_span_us=int(WINDOW * 1e6)),
        ],
        balancers=6,
        limits={"connect_timeout_us": 1500000, "probes": False},
        report={"how": "none", "names": []},
    )
    for index in range(6):
        config = {
            "name": f"n{index}",
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": discovery.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": {"seq": 1, "whole": True, "hosts": [server.entry() for server in servers]},
            "settings": edge_settings,
        }
        balancers.append(Balancer(f"n{index}", config, record, folder))
        balancers[-1].start()
    for balancer in balancers:
        balancer.wait_until_ready()
    time.sleep(1.5)
    clients: list[Client] = []

    def send_round(cls: str, d_ms: int) -> None:
        for balancer in balancers:
            clients.append(Client(balancer.listen, record, f"{len(clients):016x}", d_ms, cls).start())

    for _ in range(8):  # ordinary traffic, 48 connections
        send_round("preview-stream", 1800)
        time.sleep(0.1)
    for client in clients:
        client.done.wait(5)
    if TROUBLE:
        small.block(0.6)  # connections dialled to it now come up late: about 1 s, by the system's own second try
    send_round("catalogue-edit", 4000)
    for client in clients:
        client.done.wait(8)
    time.sleep(0.5)
    if TROUBLE and not WINDOW / 2 < small.late_by <= MOST_LATE:
        raise CannotRunError(f"the connections came up after {small.late_by:.3f} s")
    return "" if not effects.ran_twice else "requests that ran twice: " + "; ".join(effects.ran_twice)


play(str(HERE), case)
