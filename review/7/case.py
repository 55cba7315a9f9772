"""Lists are pushed: the balancer never asks its agent, so it goes on sending to an image server that drains."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    Balancer,
    Client,
    Discovery,
    ImageServer,
    Record,
    free_address,
    random_seed,
    run_case,
    settings,
    text_of,
)

DRAIN_GRACE_S = 2.5  # quito-centro: nothing new later than 2.5 s after the balancer was told
ALLOWANCE_S = 0.05  # every time limit is 50 ms longer on sockets
DRAIN_S = 6.0  # the longest drain that the pages name
CLIENTS_PER_S = 4
FLEET, DRAINED = 8, 4  # the fleet shrinks to half: the pages name 40 to 71% of its size
CLASSES = [  # of quito-centro: name, aim and give-up time in milliseconds
    ("catalogue-feed", 800, 4800),
    ("order-status", 800, 4800),
    ("stock-levels", 300, 1200),
    ("delivery-slots", 300, 1800),
]


def case(record: Record, folder: Path, disrupt: bool) -> bool:
    servers = [ImageServer(record, f"s-{number}") for number in range(FLEET)]
    drained = servers[:DRAINED]
    agent = Discovery(record, [server.entry() for server in servers])
    listen = free_address()
    rules = settings()["rules"] | {
        "drain_grace_us": int(DRAIN_GRACE_S * 1e6),
        "cold_from": 0.3,
        "cold_us": 8_100_000,
        "fall_multiple": 3.0,
    }
    balancer = Balancer(
        record,
        "n1",
        {
            "name": "n1",
            "listen": text_of(listen),
            "discovery": text_of(agent.address),
            "seed": random_seed(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 1, "whole": True, "hosts": [server.entry() for server in servers]},
            "settings": settings(
                membership_mode="pushed",
                rules=rules,
                classes=[
                    {"name": name, "objective_us": aim * 1000, "deadline_us": wait * 1000, "effect": "safe"}
                    for name, aim, wait in CLASSES
                ],
                domain={"groups": False, "mode": "proxy", "message_aim_us": [60_000.0, 150_000.0, 150_000.0, 50_000.0]},
            ),
        },
        folder,
    )
    clients: list[Client] = []

    def open_client(number: int) -> None:
        name, _, wait_ms = CLASSES[number % len(CLASSES)]
        client = Client(record, listen, number, name, wait_ms)
        clients.append(client)
        threading.Thread(target=client.read_to_end, daemon=True).start()

    def load(seconds: float) -> None:
        until = record.now() + seconds
        while record.now() < until:
            open_client(len(clients) + 1)
            time.sleep(1 / CLIENTS_PER_S)

    try:
        balancer.start()
        balancer.wait_until_accepting(listen)
        load(4)
        for server in drained if disrupt else ():
            server.draining = True
            agent.change(server.entry("terminating"))
        told_by = record.now()
        load(DRAIN_S)
        for server in drained if disrupt else ():
            server.stop()
            agent.change(server.entry("terminated"))
        load(1)
        cut = [client.request_id for client in clients if client.cut_at and "MOVE" not in client.received]
    finally:
        balancer.kill()
    late = [
        f"{server.name} {at - told_by:.2f} s"
        for server in drained
        for at, _ in server.opens
        if disrupt and at > told_by + DRAIN_GRACE_S + ALLOWANCE_S
    ]
    record.write(f"the balancer asked its agent {agent.calls} times")
    record.write(f"{len(late)} requests came to a draining server later than {DRAIN_GRACE_S} s after the news: {late}")
    record.write(f"for information: {len(cut)} connections of clients ended without MOVE")
    return not late


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
