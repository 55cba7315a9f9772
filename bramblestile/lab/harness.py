"""A harness that runs a fleet of balancer processes with their stand-in services, and injects faults between them.

Each process and stand-in has an address of its own. All addresses of a harness share a second octet that no other
harness on the machine uses, so that 200 processes and several harnesses never collide. The event log, the
configurations and the processes' files stay in the run's folder.
"""

from __future__ import annotations

import json
import os
import socket
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path
from random import Random
from types import TracebackType
from typing import Any

from bramblestile.lab.datagram_proxy import DatagramProxy
from bramblestile.lab.event_log import Event, EventLog
from bramblestile.lab.faults import Fault, LinkFaults
from bramblestile.lab.processes import BalancerProcess, LogReader
from bramblestile.lab.stand_ins import ImageServer, StandIns
from bramblestile.sockets import Address

SERVICE_PORT, MANAGEMENT_PORT, GOSSIP_PORT = 7000, 7001, 7002
SERVER_PORT, LIST_PORT = 8000, 8500
FIRST_OCTET, OCTET_COUNT = 64, 160  # second octets of harnesses: 127.64 to 127.223
REAL_GROUP, PROXY_GROUP, LINK_GROUP = 0, 64, 128  # lowest third octet of the balancers' addresses, by use
ADDRESSES_PER_OCTET = 250
SEED_MEMBERS = 3  # of the gossip, the first ones
MAX_CONCURRENT_STARTS = 12
MAX_CONCURRENT_CALLS = 16
DEFAULT_SETTINGS: dict[str, Any] = {
    "classes": [{"name": "preview", "objective_us": 300_000, "deadline_us": 1_800_000}],
    "parties": [{"name": "vestland", "portion": 1.0}],
    "membership_mode": "on_request",
    "weights": "listed",
    "report": {"how": "probe", "names": ["x0", "latency_ms", "queue"]},
    "limits": {"probes": True, "may_cancel": True, "try_limit": 6, "retry_after": True, "max_retry_after_us": 400_000},
    "rules": {
        "cold_from": 0.2,
        "cold_us": 10_000_000,
        "fall_multiple": 4,
        "fall_us": 3_000_000,
        "drain_grace_us": 1_000_000,
    },
}


class HarnessError(Exception):
    """A run failed: a condition was not met in time, or a call was refused. The folder has the event log."""


def _reserve_octet() -> tuple[int, socket.socket]:
    """Reserve a second octet for this harness: the bound socket holds it until it is closed."""
    first_tried = os.getpid() % OCTET_COUNT
    for n in range(OCTET_COUNT):
        octet = FIRST_OCTET + (first_tried + n) % OCTET_COUNT
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.bind((f"127.{octet}.255.1", SERVICE_PORT))
        except OSError:
            sock.close()
            continue
        return octet, sock
    raise HarnessError("every second octet of 127.0.0.0/8 is in use by another harness")


class FleetHarness:
    """A fleet of balancer processes; a context manager that stops all of them.

    Args:
        folder: Where the run's files go; created if missing.
        balancers: Number of balancers, named ``b000`` and up.
        seed: Seed of everything random.
        halls: Number of halls, over which balancers and servers are distributed evenly.
        hosts: The balancers' initial host list, where there are no stand-in servers.
        fleet: Keys of each balancer's fleet table; None: the balancers form no fleet.
        settings: Keys that replace those of ``DEFAULT_SETTINGS``.
        config_overrides: Keys that replace those of each balancer's configuration.
        voters: How many of the first balancers replicate the maintenance plan.
        servers: Number of stand-in image servers, with a discovery service.
        stream_faults: Whether faults affect TCP connections between balancers, servers, discovery service and clients
            too, and not only the gossip; each balancer then has an address of its own for its links to the stand-ins.
        server_options: Options of each ``ImageServer``.

    ``names`` are the balancers' names, ``voters`` those of them that vote, and ``processes`` maps each name to its
    process. ``stand_ins`` is None without servers.
    """

    def __init__(
        self,
        folder: Path,
        balancers: int,
        *,
        seed: int = 1,
        halls: int = 2,
        hosts: Iterable[dict[str, Any]] = (),
        fleet: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
        config_overrides: dict[str, Any] | None = None,
        voters: int = 0,
        servers: int = 0,
        stream_faults: bool = False,
        **server_options: Any,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.event_log = EventLog(folder / "record.jsonl")
        self._octet, self._octet_reservation = _reserve_octet()
        self.links = LinkFaults(Random(f"links {seed}"))
        self.datagram_proxy = DatagramProxy(self.links)
        self._log_reader = LogReader(self.event_log)
        self.names = [f"b{n:03}" for n in range(balancers)]
        self._process_index = {name: n for n, name in enumerate(self.names)}
        self.voters = [f"b{n:03}" for n in range(voters)]
        self.stand_ins: StandIns | None = None
        self._link_addresses: dict[str, str] = {}
        if servers:
            image_servers = [
                ImageServer(
                    f"s-{n:02}",
                    (f"127.{self._octet}.200.{n + 1}", SERVER_PORT),
                    f"hall-{n % halls}",
                    **server_options,
                )
                for n in range(servers)
            ]
            link_addresses = {
                name: f"127.{self._octet}.{LINK_GROUP + n // ADDRESSES_PER_OCTET}.{n % ADDRESSES_PER_OCTET + 1}"
                for name, n in self._process_index.items()
            }
            self._link_addresses = link_addresses if stream_faults else {}
            self.stand_ins = StandIns(
                self.event_log,
                image_servers,
                (f"127.{self._octet}.254.2", LIST_PORT),
                seed,
                links=self.links,
                link_addresses=self._link_addresses,
            )
            self.stand_ins.balancer_names = {self.address(name, REAL_GROUP, SERVICE_PORT): name for name in self.names}
            self.stand_ins.active_balancers = self._active_balancers
            hosts = self.stand_ins.list_entries()
        self.hosts = list(hosts) or [{"host": "s-0", "dial": f"127.{self._octet}.254.1:9", "health": "in_service"}]
        self._settings = DEFAULT_SETTINGS | {"balancers": max(1, balancers)} | (settings or {})
        self._halls, self._fleet, self._config_overrides = halls, fleet, config_overrides or {}
        self.processes = {
            name: BalancerProcess(name, folder / name, self._config(name), self.event_log, self._log_reader)
            for name in self.names
        }
        self._stopped = False

    def address(self, name: str, group: int, port: int) -> Address:
        """Return an address of a balancer.

        ``group`` is 0 for the process's real addresses, and 64 for those of the datagram proxy by which the other
        processes know it.
        """
        index = self._process_index[name]
        return f"127.{self._octet}.{group + index // ADDRESSES_PER_OCTET}.{index % ADDRESSES_PER_OCTET + 1}", port

    def _config(self, name: str) -> dict[str, Any]:
        listen = self.address(name, REAL_GROUP, GOSSIP_PORT)
        advertised = self.address(name, PROXY_GROUP, GOSSIP_PORT)
        hall = f"hall-{self._process_index[name] % self._halls}"
        config: dict[str, Any] = {
            "name": name,
            "listen": "{}:{}".format(*self.address(name, REAL_GROUP, SERVICE_PORT)),
            "management": "{}:{}".format(*self.address(name, REAL_GROUP, MANAGEMENT_PORT)),
            "settings": self._settings | {"zone": hall},
            "known": {
                "seq": 1,
                "hosts": self.stand_ins.list_entries(name) if self._link_addresses and self.stand_ins else self.hosts,
            },
            "seed": f"{self._process_index[name] + 1:x}",
        }
        if self._fleet is not None:
            seeds = ["{}:{}".format(*self.address(n, PROXY_GROUP, GOSSIP_PORT)) for n in self.names[:SEED_MEMBERS]]
            config["fleet"] = {
                "listen": "{}:{}".format(*listen),
                "advertise": "{}:{}".format(*advertised),
                "seeds": seeds,
                "hall": hall,
                **self._fleet,
            }
            self.datagram_proxy.add_endpoint(name, listen, advertised)
        if self.stand_ins is not None:
            config["discovery"] = f"{self._link_addresses.get(name, f'127.{self._octet}.254.2')}:{LIST_PORT}"
        if self.voters:
            directory = self.folder / name / "kept"
            directory.mkdir(parents=True, exist_ok=True)
            config["work"] = {"voters": self.voters, "directory": str(directory)}
        return config | self._config_overrides

    def _active_balancers(self) -> list[Address]:
        """Return the balancers that run and are not paused; a front-end load balancer would soon avoid the others."""
        return [
            self.address(name, REAL_GROUP, SERVICE_PORT)
            for name, process in self.processes.items()
            if process.is_serving
        ]

    def __enter__(self) -> FleetHarness:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if error is not None:
            self.event_log.add("failed", text=str(error))
        self.stop()

    def start(self, names: Iterable[str] | None = None, spread: timedelta = timedelta(0)) -> None:
        """Start these processes, all by default, evenly over the duration ``spread``."""
        chosen = list(self.names if names is None else names)

        def start_process(index: int) -> None:
            time.sleep(spread.total_seconds() * index / len(chosen))
            self.processes[chosen[index]].start()

        with ThreadPoolExecutor(MAX_CONCURRENT_STARTS) as pool:
            list(pool.map(start_process, range(len(chosen))))

    def stop(self) -> None:
        """Kill all processes and stop the stand-ins; does nothing the second time."""
        if self._stopped:
            return
        self._stopped = True
        for process in self.processes.values():
            if process.process is not None:
                process.unthrottle()
                process.signal(9)
        for process in self.processes.values():
            if process.process is not None:
                process.process.wait(10)
        if self.stand_ins is not None:
            self.stand_ins.stop()
        self._log_reader.stop()
        self.datagram_proxy.stop()
        self.event_log.close()
        self._octet_reservation.close()

    # Faults.

    def inject_fault(self, name: str, fault: Fault, **event_fields: Any) -> None:
        """Put a fault into effect and log it, with further fields for the event."""
        self.links.add(name, fault)
        self.event_log.add("fault", name=name, **event_fields)

    def remove_fault(self, name: str) -> None:
        """End a fault and log it."""
        self.links.remove(name)
        self.event_log.add("lifted", name=name)

    # Observations.

    def running(self) -> list[str]:
        """Return the names of the processes that run, paused ones among them."""
        return [name for name, process in self.processes.items() if process.is_running]

    def call(self, name: str, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0) -> tuple[int, str]:
        """Call a balancer's management API; return the HTTP status and the body, or 0 and the error without answer."""
        try:
            with socket.create_connection(self.address(name, REAL_GROUP, MANAGEMENT_PORT), timeout_s) as sock:
                sock.settimeout(timeout_s)
                sock.sendall(
                    f"{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                )
                response = b""
                while data := sock.recv(65536):
                    response += data
        except OSError as error:
            return 0, str(error)
        head, _, content = response.partition(b"\r\n\r\n")
        words = head.split(b" ", 2)
        return (int(words[1]) if len(words) > 1 and words[1].isdigit() else 0), content.decode("utf-8", "replace")

    def fleet_view(self, name: str) -> dict[str, Any]:
        """Return the fleet as a balancer shows it; empty where it does not answer."""
        status, body = self.call(name, "GET", "/v1/fleet")
        view = json.loads(body) if status == 200 else {}
        return view if isinstance(view, dict) else {}

    def live_members(self, names: Iterable[str] | None = None) -> dict[str, set[str]]:
        """Return whom each of these balancers, by default all that run, considers alive or suspect."""

        def members_seen_by(name: str) -> tuple[str, set[str]]:
            members = self.fleet_view(name).get("members", [])
            return name, {member["name"] for member in members if member["state"] in ("alive", "suspect")}

        with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
            return dict(pool.map(members_seen_by, self.running() if names is None else names))

    def wait_for_agreement(
        self, names: Iterable[str] | None = None, timeout: timedelta = timedelta(seconds=20)
    ) -> float:
        """Wait until each of these balancers considers exactly these alive; return the seconds that it took.

        By default these are all that run. Raises HarnessError on timeout.
        """
        expected = set(self.running() if names is None else names)
        views: dict[str, set[str]] = {}

        def all_agree() -> bool:
            nonlocal views
            views = self.live_members(expected)
            return all(view == expected for view in views.values())

        began = self.event_log.now()
        self.wait(
            all_agree,
            timeout,
            lambda: (
                "the members' views differ: "
                + "; ".join(
                    f"{name} lacks {sorted(expected - view)[:5]} and has {sorted(view - expected)[:5]}"
                    for name, view in views.items()
                    if view != expected
                )[:600]
            ),
        )
        return self.event_log.now() - began

    def wait(self, condition: Callable[[], bool], timeout: timedelta, describe: Callable[[], str] = lambda: "") -> None:
        """Wait for a condition; on timeout, raise HarnessError with what ``describe`` returns."""
        if not self.event_log.wait_until(condition, timeout):
            raise HarnessError(f"condition not met within {timeout}: {describe()} (event log in {self.folder})")

    def membership_events(self, state: str, since_s: float = 0.0, member: str | None = None) -> list[Event]:
        """Return the changes of members to a state that the processes logged."""
        events = self.event_log.select("said", since_s, event="fleet", state=state)
        return [event for event in events if member is None or event.get("member") == member]
