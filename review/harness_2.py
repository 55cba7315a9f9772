"""Stand-ins and helpers of the second review: balancer processes, image servers, discovery, clients and the record.

Everything listens on loopback addresses and free ports. The balancer is started with the ``run`` line of the deploy
file, by /bin/sh from the repository's root, and ended by its process id.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from types import FrameType
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
# Exit codes of a case. run.sh makes 1 of BROKEN and 2 of any other but HELD, since Python itself ends with 1 on errors.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
START_TIMEOUT_S = 15.0

Address = tuple[str, int]


class CannotRunError(Exception):
    """The case could not be carried out, so it says nothing about the rule."""


def text_of(address: Address) -> str:
    """Return HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def free_address() -> Address:
    """Return a loopback address with a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return "127.0.0.1", sock.getsockname()[1]


def listening_socket() -> socket.socket:
    """Return the clients' listening socket, which the platform holds and every process inherits."""
    return socket.create_server(("127.0.0.1", 0), backlog=256)


def call_management(address: Address, call: str) -> int:
    """Make a management call such as ``GET /v1/readyz``; return its status, or 0 where nothing answers."""
    try:
        with socket.create_connection(address, timeout=2) as sock:
            sock.sendall(f"{call} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return int(sock.makefile().readline().split()[1])
    except (OSError, IndexError, ValueError):
        return 0


def reset(sock: socket.socket) -> None:
    """Have a connection end with a reset, as that of a process that dies, when its reader closes it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)  # wakes the thread that reads from it, which closes it


def random_seed() -> str:
    """Return a seed for a balancer, which is new with each start."""
    return os.urandom(8).hex()


def wait_until(condition: Callable[[], Any], timeout_s: float, what: str) -> Any:
    """Wait until the condition holds and return its value. Raises CannotRunError after the timeout."""
    until = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > until:
            raise CannotRunError(f"waited {timeout_s} s for: {what}")
        time.sleep(0.01)
    return value


class Record:
    """The record of a case: one line for each event, with its time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def write(self, text: str) -> float:
        """Write one line and return its time."""
        with self._lock:
            at = self.now()
            self._file.write(f"{at:9.3f}  {text}\n")
            self._file.flush()
            return at


class Balancer:
    """One process of the balancer, started as the deploy file says."""

    def __init__(
        self,
        record: Record,
        name: str,
        config: dict[str, Any] | Path,
        folder: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        """Prepare a process with these values, or with an operators' file that is named on its command line."""
        self.record, self.name, self.folder = record, name, folder
        self.config_path = folder / f"{name}.json"
        self._environment = environment or {}
        self._operators_file = config if isinstance(config, Path) else None
        if not isinstance(config, Path):
            self.write_config(config)
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config, indent=1))
        new.rename(self.config_path)

    def start(self, pass_fds: tuple[int, ...] = ()) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment |= {"TMPDIR": str(temporary)} | self._environment
        if self._operators_file is None:
            environment["EDGE_CONFIG"] = str(self.config_path)
        else:
            run += f" '{self._operators_file}'"
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        self.record.write(f"{self.name}: started")

    def wait_until_accepting(self, address: Address) -> None:
        """Wait until the address accepts connections."""

        def accepts() -> bool:
            if not self.is_running():
                raise CannotRunError(f"{self.name} ended at its start: {self.log()[-500:]}")
            with contextlib.suppress(OSError), socket.create_connection(address, timeout=1):
                return True
            return False

        wait_until(accepts, START_TIMEOUT_S, f"{self.name} to accept")

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def log(self) -> str:
        """Return what the process has logged."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class ImageServer:
    """An image server of the line protocol, which takes every connection and echoes its lines.

    ``opens`` holds the time and the id of each OPEN line that came.
    """

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.opens: list[tuple[float, str]] = []
        self.up_delay_s = 0.0
        self.draining = False  # turns new requests away, and keeps its connections until it stops
        self._stopped = False
        self._open: list[socket.socket] = []
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address: Address = self.sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, health: str = "in_service", born_ms: int = 0) -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": text_of(self.address),
            "site": "a",
            "class": "m2",
            "block": 1,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock = self.sock.accept()[0]
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as lines:
            for line in lines:
                word = line.split(b" ")[0].strip()
                if word == b"PING":
                    sock.sendall(b"PONG\r\n")
                elif word == b"STATS":
                    sock.sendall(b"PONG x0=0.2,queue=0,latency_ms=5\r\n")
                elif word == b"OPEN":
                    self._serve_open(sock, line, lines)
                    return

    def _serve_open(self, sock: socket.socket, line: bytes, lines: Any) -> None:
        request_id = line.split(b" ")[1].decode()
        self.opens.append((self.record.write(f"{self.name}: got OPEN {request_id}"), request_id))
        if self.draining:
            sock.sendall(b"BUSY\r\n")
            return
        if self.up_delay_s:
            time.sleep(self.up_delay_s)
        self._open.append(sock)
        sock.sendall(f"UP {self.name}-{request_id}\r\n".encode())
        for message in lines:
            sock.sendall(message)
        if not self._stopped:
            sock.sendall(b"BYE\r\n")

    def stop(self) -> None:
        """End as a process does that has died: new connections are refused, open ones are reset."""
        self.record.write(f"{self.name}: stops")
        self._stopped = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in self._open:
            reset(sock)


class Discovery:
    """Discovery over HTTP/1.1: the whole list, and the watch on its changes.

    ``told_at`` holds, for each version, when an answer with it was first written to a balancer.
    """

    def __init__(self, record: Record, hosts: list[dict[str, Any]], seq: int = 1) -> None:
        self.record, self.seq, self._first_seq = record, seq, seq
        self.hosts = {host["host"]: host for host in hosts}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.told_at: dict[int, float] = {}
        self._answers: list[int] = []  # the versions that were told, one for each answer with news
        self.calls = 0
        self.call_s = 0.0  # calls are handled one after another, each for this long
        self._in_turn = threading.Lock()
        self._changed = threading.Condition()
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address: Address = self.sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def change(self, host: dict[str, Any]) -> int:
        """Change one entry; return the new version."""
        with self._changed:
            self.seq += 1
            if host["health"] == "terminated":
                self.hosts.pop(host["host"], None)
            else:
                self.hosts[host["host"]] = host
            self.changes.append((self.seq, host))
            self._changed.notify_all()
            self.record.write(f"discovery: version {self.seq}: {host['host']} is {host['health']}")
            return self.seq

    def told_to(self, version: int) -> int:
        """Return how many answers with news have been written for this version or a later one."""
        return sum(answer >= version for answer in self._answers)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock = self.sock.accept()[0]
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError), sock, sock.makefile("rb") as lines:
            while line := lines.readline():
                path = line.split(b" ")[1].decode()
                while lines.readline().strip():
                    pass
                self.calls += 1
                self.record.write(f"discovery: asked {path}")
                if self.call_s:
                    with self._in_turn:
                        time.sleep(self.call_s)
                seq, whole, hosts = self._answer(path)
                body = json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                sock.sendall(head.encode() + body)
                told = self.record.write(
                    f"discovery: told version {seq}, {'whole' if whole else 'changes'}: "
                    + ", ".join(f"{host['host']} {host['health']}" for host in hosts)
                )
                if hosts:
                    self._answers.append(seq)
                for version in range(1, seq + 1):
                    self.told_at.setdefault(version, told)

    def _answer(self, path: str) -> tuple[int, bool, list[dict[str, Any]]]:
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        with self._changed:
            if int(query.get("since", -1)) < self._first_seq:
                return self.seq, True, list(self.hosts.values())
            since, until = int(query["since"]), time.monotonic() + int(query.get("timeout_ms", 0)) / 1000
            while self.seq <= since and (remaining := until - time.monotonic()) > 0:
                self._changed.wait(remaining)
            newest = {host["host"]: host for version, host in self.changes if version > since}
            return self.seq, False, list(newest.values())


class Client:
    """A client of the line protocol: it sends its OPEN line, and reads the answer."""

    def __init__(self, record: Record, address: Address, number: int, cls: str = "feed", wait_ms: int = 1500) -> None:
        self.record, self.request_id = record, f"{number:016x}"
        self.answer = ""
        self.received: list[str] = []  # lines after the answer
        self.cut_at: float | None = None  # when the connection ended, unless this client ended it
        self.closed = False
        self.sock = socket.create_connection(address, timeout=10)
        self.lines = self.sock.makefile("rb")
        self.sent_at = record.write(f"client {self.request_id}: OPEN c={cls}")
        line = f"OPEN {self.request_id} {number * 7919:016x} c={cls},t=acme,d={wait_ms},g={number:x}\r\n"
        self.sock.sendall(line.encode())

    def read_answer(self) -> str:
        """Read the balancer's answer; empty if the connection ended without one."""
        try:
            self.answer = self.lines.readline().decode().strip()
        except OSError as error:
            self.record.write(f"client {self.request_id}: {error!r}")
        self.record.write(f"client {self.request_id}: answered {self.answer!r}")
        return self.answer

    def read_to_end(self) -> None:
        """Read the answer, and then all lines until the connection ends."""
        if not self.read_answer().startswith("UP "):
            return
        self.sock.settimeout(None)
        threading.Thread(target=self._send_lines, daemon=True).start()
        with contextlib.suppress(OSError, ValueError):
            for line in self.lines:
                self.received.append(line.decode().strip())
                if self.received[-1] != "line":
                    self.record.write(f"client {self.request_id}: received {self.received[-1]!r}")
        if not self.closed:
            self.cut_at = self.record.write(f"client {self.request_id}: its connection ended")

    def _send_lines(self) -> None:
        """Send a line every 2 s until the connection ends; it comes back at once."""
        with contextlib.suppress(OSError):
            while not self.closed and self.cut_at is None:
                time.sleep(2)
                self.sock.sendall(b"line\r\n")

    def close(self) -> None:
        """End the connection."""
        self.closed = True
        with contextlib.suppress(OSError):
            self.sock.close()


class NatsServer:
    """An image server that speaks the NATS client protocol and echoes nothing; it answers PING with PONG.

    ``connected`` holds the time and the client's name of each CONNECT that came, ``open`` the open connections.
    """

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.connected: list[tuple[float, str]] = []
        self.open: list[socket.socket] = []
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address: Address = self.sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, health: str = "in_service", born_ms: int = 0) -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": text_of(self.address),
            "site": "bergen-hall",
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock = self.sock.accept()[0]
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def stop(self) -> None:
        """End as a process does that has died: new connections are refused, open ones are reset."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in self.open:
            reset(sock)

    def _serve(self, sock: socket.socket) -> None:
        info = json.dumps({"server_id": self.name, "version": "2.10.0", "max_payload": 1 << 20})
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as lines:
            sock.sendall(f"INFO {info}\r\n".encode())
            for line in lines:
                word, _, rest = line.strip().partition(b" ")
                if word == b"CONNECT":
                    client = str(json.loads(rest).get("name"))
                    self.connected.append((self.record.write(f"{self.name}: got CONNECT of {client}"), client))
                    self.open.append(sock)
                elif word == b"PING":
                    sock.sendall(b"PONG\r\n")


class NatsClient:
    """A NATS client: it connects, and waits for the PONG that tells it that it is connected."""

    def __init__(self, record: Record, address: Address, name: str) -> None:
        self.record, self.name, self.answer = record, name, ""
        self.sock = socket.create_connection(address, timeout=10)
        self.lines = self.sock.makefile("rb")
        self.lines.readline()  # INFO
        record.write(f"client {name}: CONNECT")
        self.sock.sendall(f'CONNECT {{"verbose":false,"name":"{name}"}}\r\nPING\r\n'.encode())

    def read_answer(self) -> str:
        """Read the balancer's answer; empty if the connection ended without one."""
        with contextlib.suppress(OSError):
            self.answer = self.lines.readline().decode().strip()
        self.record.write(f"client {self.name}: answered {self.answer!r}")
        return self.answer

    def has_ended(self) -> bool:
        """Return whether the other side has ended the connection; what came before its end is dropped."""
        self.sock.settimeout(0.001)
        try:
            while self.sock.recv(4096):
                pass
        except TimeoutError:
            return False
        except OSError:
            pass
        return True

    def close(self) -> None:
        """End the connection."""
        with contextlib.suppress(OSError):
            self.lines.close()
            self.sock.close()


class StorePeer:
    """An instance with a NATS front that is a peer of the store; its journal is kept in a folder of its own."""

    def __init__(self, record: Record, name: str, peers: dict[str, Address], folder: Path) -> None:
        self.name, self.listen, self._peers, self._folder = name, free_address(), peers, folder
        self._record = record
        self.balancer = Balancer(record, name, {}, folder)

    def configure(self, values: dict[str, Any]) -> None:
        """Write the configuration: these values, and the table of the store."""
        directory = self._folder / f"{self.name}.state"
        directory.mkdir(exist_ok=True)
        peers = {name: text_of(address) for name, address in self._peers.items()}
        store = {"name": self.name, "directory": str(directory), "peers": peers}
        self.balancer.write_config(values | {"store": store})

    def start(self) -> None:
        """Start the process."""
        self.balancer.start()

    def get(self, key: str) -> dict[str, Any]:
        """Read a key, as ``bramblestile store get`` does."""
        return self._call({"do": "get", "key": key})

    def set(self, key: str, value: str) -> dict[str, Any]:
        """Set a key, as ``bramblestile store set`` does."""
        answer = self._call({"do": "set", "key": key, "value": value})
        self._record.write(f"store: set {key} {value!r} at {self.name}: {answer}")
        return answer

    def _call(self, request: dict[str, Any]) -> dict[str, Any]:
        try:
            with socket.create_connection(self._peers[self.name], timeout=5) as sock:
                sock.sendall(json.dumps(request).encode() + b"\n")
                answer = json.loads(sock.makefile("rb").readline() or b"{}")
        except OSError as error:
            answer = {"why": repr(error)}
        return {"ok": False, "value": None, "leader": ""} | answer


def nats_config(name: str, listen: Address, **table: Any) -> dict[str, Any]:
    """Return an operator's file with a NATS front, with the values of deploy/nats.toml."""
    return {
        "name": name,
        "seed": random_seed(),
        "nats": {"listen": text_of(listen), "max_payload": 1 << 20, "default": {"class": "catalogue-edit"}} | table,
        "settings": settings(
            balancers=3,
            zone="bergen-hall",
            classes=[{"name": "catalogue-edit", "objective_us": 500_000, "deadline_us": 2_000_000, "effect": "safe"}],
            domain={"groups": True, "message_aim_us": [150_000.0]},
        ),
    }


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; a time is in microseconds."""
    values: dict[str, Any] = {
        "balancers": 2,
        "zone": "a",
        "dcs": ["a"],
        "membership_mode": "on_request",
        "weights": "nominal",
        "classes": [{"name": "feed", "objective_us": 500_000, "deadline_us": 2_000_000, "effect": "safe"}],
        "parties": [{"name": "acme", "portion": 1.0}],
        "report": {"how": "none", "names": []},
        "limits": {
            "probes": False,
            "may_cancel": True,
            "may_duplicate": False,
            "try_limit": 6,
            "retry_after": True,
            "max_retry_after_us": 1_000_000,
            "connect_timeout_us": 250_000,
        },
        "rules": {
            "cold_from": 0.13,
            "cold_us": 21_000_000,
            "drain_grace_us": 1_000_000,
            "fall_multiple": 4.0,
            "fall_us": 3_000_000,
            "grace_to_answer_us": 8_000,
            "must_ask_in_us": 10_000_000,
        },
        "domain": {"groups": False, "mode": "proxy", "message_aim_us": [60_000.0]},
    }
    return values | changes


@contextlib.contextmanager
def working_folder() -> Iterator[Path]:
    """Yield a temporary folder that is removed afterwards."""
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        yield Path(name)


def run_case(case: Callable[[Record, Path, bool], bool], folder: Path) -> int:
    """Run a case: it gets the record, a temporary folder and whether to disrupt, and returns whether the rule held."""
    disrupt = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"TROUBLE={int(disrupt)}")

    def give_up(*_: object) -> None:
        raise CannotRunError("the case took too long")

    def alarm(number: int, frame: FrameType | None) -> None:
        give_up()

    signal.signal(signal.SIGALRM, alarm)
    signal.signal(signal.SIGTERM, alarm)
    signal.alarm(115)
    with working_folder() as temporary:
        try:
            held = case(record, temporary, disrupt)
        except Exception as error:  # whatever it is, it says nothing about the rule
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            for log in sorted(temporary.glob("*.log")):
                record.write(f"{log.name}: {log.read_text(errors='replace')[-2000:]}")
            return COULD_NOT_RUN
        for log in sorted(temporary.glob("*.log")):
            record.write(f"{log.name}:\n{log.read_text(errors='replace')[-6000:]}")
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
