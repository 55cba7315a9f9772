"""Six balancers are restarted (SIGTERM) while half of the image servers hang: is every request answered?"""

from __future__ import annotations

import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from rig import (  # noqa: E402
    TROUBLE,
    Balancer,
    Client,
    Discovery,
    ImageServer,
    Record,
    clock,
    free_port,
    play,
    request_class,
    settings,
)

CLASS, DEADLINE_MS = "order-status", 4800  # set up within 800 ms, given up after 4.8 s
SIGKILL_AFTER = 3.0 + 0.7  # after SIGTERM: the longest deadline, taken as 3 s where it is longer, plus 0.7 s


def case(record: Record, folder: Path, balancers: list[Balancer]) -> str:
    servers = [ImageServer(f"s-{index}", record, cell=1 + index // 2) for index in range(4)]
    discovery = Discovery(servers, record)
    edge_settings = settings([request_class(CLASS, 800, DEADLINE_MS, effect="keyed", dedup_scope="cell")], balancers=6)
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

    def send_round() -> None:
        for balancer in balancers:
            clients.append(Client(balancer.listen, record, f"{len(clients):016x}", DEADLINE_MS, CLASS).start())

    for _ in range(10):  # ordinary traffic
        send_round()
        time.sleep(0.15)
    if TROUBLE:
        for server in servers[:2]:
            server.mode = "hang"
        record.add("s-0 and s-1 (one cell, half of the image servers) take requests and answer none from here on")
    for balancer in balancers:
        balancer.signal(signal.SIGTERM)
    terminated = clock()
    for _ in range(3):  # new connections keep coming for 0.2 to 0.4 s
        send_round()
        time.sleep(0.1)
    # SIGKILL is due after SIGKILL_AFTER; the program is given the whole time that its clients wait, and is not killed.
    for balancer in balancers:
        assert balancer.process is not None
        code = balancer.process.wait(15)
        record.add(f"balancer {balancer.name}: ended with {code}, {clock() - terminated:.3f} s after SIGTERM")
    for client in clients:
        client.done.wait(8)
    # A request that was not sent in whole before the listening socket closed was not taken.
    lost = [client for client in clients if client.sent_at and client.answer is None]
    return (
        ""
        if not lost
        else f"{len(lost)} of {len(clients)} requests got no final answer: "
        + "; ".join(f"{client.id[-3:]} {client.ended}" for client in lost)
    )


play(str(HERE), case)
