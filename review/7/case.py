"""The store: a drain that a majority has committed is lost when one of three instances is restarted."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    CannotRunError,
    Discovery,
    NatsClient,
    NatsServer,
    Record,
    StorePeer,
    free_address,
    nats_config,
    run_case,
    text_of,
    wait_until,
)

GRACE_S = 1.05  # nothing new later than 1 s after the balancer was told, 50 ms longer on sockets
CALL_S = 0.25  # discovery serves 3 to 6 calls a second, one after the other
CLIENTS, CLIENT_INTERVAL_S = 24, 0.15


def case(record: Record, folder: Path, disrupt: bool) -> bool:
    servers = [NatsServer(record, name) for name in ("catalogue-a", "catalogue-b")]
    drained = servers[0]
    discovery = Discovery(record, [server.entry() for server in servers])
    discovery.call_s = CALL_S
    peers = {name: free_address() for name in ("s1", "s2", "s3")}
    instances = [StorePeer(record, name, peers, folder) for name in peers]
    for instance in instances:
        configure(instance, discovery)
    restarted = instances[2]
    try:
        for instance in instances:
            instance.start()
        for instance in instances:
            instance.balancer.wait_until_accepting(instance.listen)
        wait_until(lambda: instances[0].get("hosts/catalogue-a")["leader"], 10, "a leader of the store")
        time.sleep(3)  # every instance has discovery's list
        edit = threading.Thread(target=lambda: instances[0].set("hosts/catalogue-b", "100%"))
        if not instances[0].set("hosts/catalogue-a", "drain")["ok"]:
            raise CannotRunError("the store did not take the drain")
        wait_until(lambda: restarted.get("hosts/catalogue-a")["value"] == "drain", 5, "s3 to hold the drain")
        time.sleep(GRACE_S)
        place_clients(record, restarted, "before")
        if drained.connected:
            raise CannotRunError("the drain was not followed before the restart either")
        edit.start()
        if disrupt:
            restarted.balancer.kill()
            configure(restarted, discovery)  # with a new seed, as with each start
            restarted.start()
            restarted.balancer.wait_until_accepting(restarted.listen)
        edit.join()
        wait_until(lambda: restarted.get("hosts/catalogue-a")["value"] == "drain", 10, "s3 to hold the drain")
        time.sleep(3)  # the list has come, and the grace of 1 s is over
        place_clients(record, restarted, "after")
        record.write(f"s3's value of hosts/catalogue-a: {restarted.get('hosts/catalogue-a')['value']!r}")
    finally:
        for instance in instances:
            instance.balancer.kill()
    record.write(f"{len(drained.connected)} of {CLIENTS} clients of s3 were placed on {drained.name}, which drains")
    return not drained.connected


def configure(instance: StorePeer, discovery: Discovery) -> None:
    instance.configure(nats_config(instance.name, instance.listen, discovery=text_of(discovery.address)))


def place_clients(record: Record, instance: StorePeer, name: str) -> list[NatsClient]:
    """Connect clients one after another, and return them: they stay connected."""
    clients = []
    for number in range(CLIENTS):
        client = NatsClient(record, instance.listen, f"{name}-{number}")
        client.read_answer()
        clients.append(client)
        time.sleep(CLIENT_INTERVAL_S)
    return clients


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
