"""The stage: many processes of the program, what they live among, and faults between them.

Each part has an address of its own below one second octet that this stage has to itself, so that 200 processes and
several stages never meet. What fails leaves the record, the configurations and the logs in its folder.
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

from bramblestile.lab.faults import Fault, Links
from bramblestile.lab.processes import Program, Reader
from bramblestile.lab.record import Event, Record
from bramblestile.lab.switch import Switch
from bramblestile.lab.town import Host, Town
from bramblestile.sockets import Address

PORT, MANAGED, GOSSIPED = 7000, 7001, 7002
FIRST, OCTETS = 64, 160  # second octets that stages use: 127.64 to 127.223
STARTS_AT_ONCE = 12
SETTINGS: dict[str, Any] = {
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


class FailedError(Exception):
    """What did not come to hold; the run's folder has the record."""


def _own_octet() -> tuple[int, socket.socket]:
    """A second octet that no other stage on this machine has: held by a socket for as long as the stage lives."""
    start = os.getpid() % OCTETS
    for n in range(OCTETS):
        octet = FIRST + (start + n) % OCTETS
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.bind((f"127.{octet}.255.1", PORT))
        except OSError:
            sock.close()
            continue
        return octet, sock
    raise FailedError("every second octet of 127.0.0.0/8 is taken by another stage")


class Stage:
    """``fleet``: keys for each balancer's fleet table, None: no fleet. ``more``: keys for its whole configuration.
    ``voters``: so many of the first balancers keep an order of work. ``servers``: so many image servers, with a list
    and ``server``'s figures. ``streams``: the links between balancers, servers, list and clients have faults too, not
    those among the balancers only: an address for each pair."""

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
        more: dict[str, Any] | None = None,
        voters: int = 0,
        servers: int = 0,
        streams: bool = False,
        **server: Any,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.record = Record(folder / "record.jsonl")
        self._octet, self._held = _own_octet()
        self.links = Links(Random(f"links {seed}"))
        self.switch = Switch(self.links)
        self._reader = Reader(self.record)
        self.names = [f"b{n:03}" for n in range(balancers)]
        self._number = {name: n for n, name in enumerate(self.names)}
        self.voters = [f"b{n:03}" for n in range(voters)]
        self.town: Town | None = None
        self._doors: dict[str, str] = {}
        if servers:
            made = [
                Host(f"s-{n:02}", (f"127.{self._octet}.200.{n + 1}", 8000), f"hall-{n % halls}", **server)
                for n in range(servers)
            ]
            doors = {name: f"127.{self._octet}.{128 + n // 250}.{n % 250 + 1}" for name, n in self._number.items()}
            self._doors = doors if streams else {}
            self.town = Town(
                self.record, made, (f"127.{self._octet}.254.2", 8500), seed, links=self.links, doors=self._doors
            )
            self.town.names = {self.address(name, 0, PORT): name for name in self.names}
            self.town.fronts = self._fronts
            hosts = self.town.rows()
        self.hosts = list(hosts) or [{"host": "s-0", "dial": f"127.{self._octet}.254.1:9", "health": "in_service"}]
        self._settings = SETTINGS | {"balancers": max(1, balancers)} | (settings or {})
        self._halls, self._fleet, self._more = halls, fleet, more or {}
        self.programs = {
            name: Program(name, folder / name, self._config(name), self.record, self._reader) for name in self.names
        }
        self._stopped = False

    def address(self, name: str, group: int, port: int) -> Address:
        """``group``: 0 the process's own, 64 what the switch shows of it."""
        number = self._number[name]
        return f"127.{self._octet}.{group + number // 250}.{number % 250 + 1}", port

    def _config(self, name: str) -> dict[str, Any]:
        listen, shown = self.address(name, 0, GOSSIPED), self.address(name, 64, GOSSIPED)
        hall = f"hall-{self._number[name] % self._halls}"
        config: dict[str, Any] = {
            "name": name,
            "listen": "{}:{}".format(*self.address(name, 0, PORT)),
            "management": "{}:{}".format(*self.address(name, 0, MANAGED)),
            "settings": self._settings | {"zone": hall},
            "known": {"seq": 1, "hosts": self.town.rows(name) if self._doors and self.town else self.hosts},
            "seed": f"{self._number[name] + 1:x}",
        }
        if self._fleet is not None:
            seeds = ["{}:{}".format(*self.address(n, 64, GOSSIPED)) for n in self.names[:3]]
            config["fleet"] = {
                "listen": "{}:{}".format(*listen),
                "advertise": "{}:{}".format(*shown),
                "seeds": seeds,
                "hall": hall,
                **self._fleet,
            }
            self.switch.plug(name, listen, shown)
        if self.town is not None:
            config["discovery"] = f"{self._doors.get(name, f'127.{self._octet}.254.2')}:8500"
        if self.voters:
            kept = self.folder / name / "kept"
            kept.mkdir(parents=True, exist_ok=True)
            config["work"] = {"voters": self.voters, "directory": str(kept)}
        return config | self._more

    def _fronts(self) -> list[Address]:
        """Whom a front would send to: those that run and are not paused, as it would soon see."""
        return [self.address(name, 0, PORT) for name, program in self.programs.items() if program.serves]

    def __enter__(self) -> Stage:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if error is not None:
            self.record.add("failed", text=str(error))
        self.stop()

    def start(self, names: Iterable[str] | None = None, spread: timedelta = timedelta(0)) -> None:
        """``spread``: over how long they are started."""
        chosen = list(self.names if names is None else names)

        def one(at: int) -> None:
            time.sleep(spread.total_seconds() * at / len(chosen))
            self.programs[chosen[at]].start()

        with ThreadPoolExecutor(STARTS_AT_ONCE) as pool:
            list(pool.map(one, range(len(chosen))))

    def stop(self) -> None:
        if self._stopped:
            return
        self._stopped = True
        for program in self.programs.values():
            if program.process is not None:
                program.feed()
                program.signal(9)
        for program in self.programs.values():
            if program.process is not None:
                program.process.wait(10)
        if self.town is not None:
            self.town.stop()
        self._reader.stop()
        self.switch.stop()
        self.record.close()
        self._held.close()

    # Faults.

    def put(self, name: str, fault: Fault, **told: Any) -> None:
        self.links.put(name, fault)
        self.record.add("fault", name=name, **told)

    def lift(self, name: str) -> None:
        self.links.lift(name)
        self.record.add("lifted", name=name)

    # What is seen.

    def running(self) -> list[str]:
        return [name for name, program in self.programs.items() if program.runs]

    def call(self, name: str, method: str, path: str, body: bytes = b"", within: float = 2.0) -> tuple[int, str]:
        """One operators' call; 0 where nobody answers."""
        try:
            with socket.create_connection(self.address(name, 0, MANAGED), within) as sock:
                sock.settimeout(within)
                sock.sendall(
                    f"{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                )
                got = b""
                while piece := sock.recv(65536):
                    got += piece
        except OSError as error:
            return 0, str(error)
        head, _, said = got.partition(b"\r\n\r\n")
        words = head.split(b" ", 2)
        return (int(words[1]) if len(words) > 1 and words[1].isdigit() else 0), said.decode("utf-8", "replace")

    def fleet(self, name: str) -> dict[str, Any]:
        status, said = self.call(name, "GET", "/v1/fleet")
        got = json.loads(said) if status == 200 else {}
        return got if isinstance(got, dict) else {}

    def views(self, names: Iterable[str] | None = None) -> dict[str, set[str]]:
        """Whom each of these takes to live, suspects among them."""

        def one(name: str) -> tuple[str, set[str]]:
            rows = self.fleet(name).get("members", [])
            return name, {row["name"] for row in rows if row["state"] in ("alive", "suspect")}

        with ThreadPoolExecutor(16) as pool:
            return dict(pool.map(one, self.running() if names is None else names))

    def agree(self, names: Iterable[str] | None = None, within: timedelta = timedelta(seconds=20)) -> float:
        """Seconds until each of these takes exactly these to live; FailedError where it does not come."""
        wanted = set(self.running() if names is None else names)
        views: dict[str, set[str]] = {}

        def holds() -> bool:
            nonlocal views
            views = self.views(wanted)
            return all(view == wanted for view in views.values())

        began = self.record.now()
        self.wait(
            holds,
            within,
            lambda: (
                "not of one mind: "
                + "; ".join(
                    f"{name} lacks {sorted(wanted - view)[:5]} and has {sorted(view - wanted)[:5]}"
                    for name, view in views.items()
                    if view != wanted
                )[:600]
            ),
        )
        return self.record.now() - began

    def wait(self, holds: Callable[[], bool], within: timedelta, why: Callable[[], str] = lambda: "") -> None:
        if not self.record.wait(holds, within):
            raise FailedError(f"not within {within}: {why()} (record in {self.folder})")

    def told(self, state: str, since: float = 0.0, member: str | None = None) -> list[Event]:
        """What the processes said of members."""
        found = self.record.of("said", since, event="fleet", state=state)
        return [e for e in found if member is None or e.get("member") == member]
