"""Stand-ins for clients, image servers and discovery, and a runner for the project's own program.

Everything listens on 127.0.0.1 and runs on the real clock. The stand-ins follow PROTOCOL-bramblestile.md.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
SLACK = 0.050  # PROTOCOL: every time limit is 50 ms longer on sockets


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the program."""


def clock() -> float:
    return time.monotonic() - START


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()

    def add(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{clock():9.3f} {text}\n")
            self._file.flush()


def listen(backlog: int = 256) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock


def address_of(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def spawn(work: Callable[..., None], *arguments: Any) -> None:
    def run() -> None:
        with contextlib.suppress(OSError):
            work(*arguments)

    threading.Thread(target=run, daemon=True).start()


def reset(sock: socket.socket) -> None:
    """Close with RST."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class ImageServer:
    """An image server of the platform. ``mode``: ``ok``, ``hang`` (takes work, answers nothing), ``drain`` (BUSY)."""

    def __init__(self, name: str, record: Record, zone: str = "hall", cell: int = 1) -> None:
        self.name, self.record, self.zone, self.cell = name, record, zone, cell
        self.mode = "ok"
        self.health = "in_service"
        self.born_ms = 0
        self.listening = listen()
        self.dial = address_of(self.listening)
        self.late_by = 0.0  # how late a connection came up after ``block``, as the test saw it
        self._may_accept = threading.Event()
        self._may_accept.set()
        self.opens: list[tuple[float, str, str]] = []  # time of the first byte, request id, what it answered
        spawn(self._accept)

    def entry(self) -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": self.dial,
            "site": self.zone,
            "class": "node",
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def block(self, seconds: float) -> None:
        """Let new connections come up late: accept none for a while, with a queue for one, which this call fills.

        The system drops the first packet of further connections, and the dialling side sends it again after 1 s.
        """
        self._may_accept.clear()
        socket.create_connection(self.listening.getsockname()).close()  # the accepting thread takes this one
        time.sleep(0.05)
        self.listening.listen(0)
        filler = socket.create_connection(self.listening.getsockname())
        self.record.add(f"server {self.name}: connections come up late")

        def unblock() -> None:
            time.sleep(seconds)
            self.listening.listen(256)
            self._may_accept.set()
            filler.close()

        def dial() -> None:
            dialled_at = clock()
            socket.create_connection(self.listening.getsockname()).close()
            self.late_by = clock() - dialled_at
            self.record.add(f"server {self.name}: a connection of the test came up after {self.late_by:.3f} s")

        spawn(unblock)
        spawn(dial)

    def _accept(self) -> None:
        while True:
            sock = self.listening.accept()[0]
            spawn(self._serve, sock)
            self._may_accept.wait()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with sock, sock.makefile("rb") as lines:
            while True:
                if not sock.recv(1, socket.MSG_PEEK):
                    return
                first_byte = clock()
                line = lines.readline().decode("ascii", "replace").strip()
                if not line:
                    return
                if self.mode == "hang":
                    if line.startswith("OPEN"):
                        self._note(first_byte, line, "nothing")
                    while lines.read(1):  # takes what comes and answers nothing, until the balancer gives up
                        pass
                    return
                if line == "PING":
                    sock.sendall(b"PONG\r\n")
                elif line == "STATS":
                    sock.sendall(b"PONG lat_ms=5,q=0,x0=0.2\r\n")
                elif line.startswith("OPEN "):
                    self.on_open(sock, lines, first_byte, line)
                    return
                else:
                    sock.sendall(b"SYNTAX\r\n")
                    return

    def _note(self, first_byte: float, line: str, answer: str) -> None:
        request = line.split(" ")[1]
        self.opens.append((first_byte, request, answer))
        self.record.add(f"server {self.name}: OPEN {request} (first byte at {first_byte:.3f}), answers {answer}")

    def on_open(self, sock: socket.socket, lines: Any, first_byte: float, line: str) -> None:
        if self.mode == "drain":
            self._note(first_byte, line, "BUSY")
            sock.sendall(b"BUSY\r\n")
        else:
            self.serve(sock, lines, first_byte, line)

    def serve(self, sock: socket.socket, lines: Any, first_byte: float, line: str) -> None:
        """Accept the connection and answer each line at once until the balancer ends it."""
        self._note(first_byte, line, "UP")
        sock.sendall(f"UP {self.name}-{line.split(' ')[1]}\r\n".encode())
        while data := lines.readline():
            sock.sendall(b"A " + data)
        with contextlib.suppress(OSError):
            sock.sendall(b"BYE\r\n")


class Discovery:
    """The list of image servers over HTTP, with a long-poll watch."""

    def __init__(self, servers: list[ImageServer], record: Record) -> None:
        self.servers, self.record = servers, record
        self.seq = 1
        self.changed_at: dict[str, int] = {server.name: 1 for server in servers}
        self.gone: dict[str, dict[str, Any]] = {}
        self.condition = threading.Condition()
        self.silent_before = -1.0  # watches that were opened before this time stay unanswered for good
        self.calls: list[tuple[float, str, float]] = []  # time, path, wait in seconds
        self.answers: list[tuple[float, str]] = []
        self.listening = listen()
        self.address = address_of(self.listening)
        spawn(self._accept)

    def change(self, *servers: ImageServer) -> None:
        """Publish the present state of these servers as one new version."""
        with self.condition:
            self.seq += 1
            for server in servers:
                self.changed_at[server.name] = self.seq
            self.record.add(f"discovery: version {self.seq}: " + ", ".join(f"{s.name} {s.health}" for s in servers))
            self.condition.notify_all()

    def _accept(self) -> None:
        while True:
            spawn(self._serve, self.listening.accept()[0])

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peer = sock.getpeername()[1]
        with sock, sock.makefile("rb") as lines:
            while request := lines.readline():
                while lines.readline().strip():
                    pass
                path = request.split(b" ")[1].decode()
                query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if "=" in pair)
                since = int(query["since"]) if "since" in query else None
                wait = int(query.get("timeout_ms", 0)) / 1000
                called = clock()
                self.calls.append((called, path, wait))
                self.record.add(f"discovery: call {path} from port {peer}")
                with self.condition:
                    until = called + wait
                    while since is not None and self.seq <= since and called >= self.silent_before and clock() < until:
                        self.condition.wait(until - clock())
                    silent = called < self.silent_before
                    body = self._body(since)
                if silent:
                    self.record.add(f"discovery: the watch from port {peer} stays silent")
                    while lines.read(1):
                        pass
                    return
                raw = json.dumps(body).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(raw) + raw)
                self.answers.append((clock(), f"{peer} {body['seq']}"))
                self.record.add(f"discovery: answers version {body['seq']} to port {peer}")

    def _body(self, since: int | None) -> dict[str, Any]:
        if since is None:
            hosts = [server.entry() for server in self.servers if server.health != "terminated"]
            return {"seq": self.seq, "whole": True, "hosts": hosts}
        hosts = [server.entry() for server in self.servers if self.changed_at[server.name] > since]
        return {"seq": self.seq, "whole": False, "hosts": hosts}


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Settings in the form of WIRE-bramblestile.md; ``changes`` replace or extend the tables."""
    base: dict[str, Any] = {
        "balancers": 1,
        "charges": {"cross_zone": 0.0, "moves": 0.01, "probe": 0.002, "waste": 0.25},
        "classes": classes,
        "counted_by": "request",
        "dcs": ["hall"],
        "domain": {
            "groups": False,
            "message_aim_us": [60000.0] * len(classes),
            "mode": "proxy",
            "tells_delay": True,
            "tells_load": True,
        },
        "family": "conn",
        "limits": {
            "connect_timeout_us": 250000,
            "max_retry_after_us": 1000000,
            "may_cancel": True,
            "may_duplicate": False,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "try_limit": 6,
        },
        "membership_mode": "on_request",
        "parties": [],
        "report": {"how": "probe", "names": ["lat_ms", "q", "x0"]},
        "rules": {
            "cold_from": 0.3,
            "cold_us": 8000000,
            "drain_grace_us": 1000000,
            "fall_multiple": 4.0,
            "fall_us": 3000000,
            "grace_to_answer_us": 8000,
            "must_ask_in_us": 10000000,
        },
        "weights": "nominal",
        "zone": "hall",
    }
    for key, value in changes.items():
        base[key] = {**base[key], **value} if isinstance(base.get(key), dict) else value
    return base


def request_class(name: str, objective_ms: int, deadline_ms: int, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "objective_us": objective_ms * 1000,
        "deadline_us": deadline_ms * 1000,
        "dedup_scope": "all",
        "effect": "safe",
        "late_worth": 0.0,
        "memory_span_us": 5000000,
        "streamed": True,
        "worth": 1.0,
        **more,
    }


class Balancer:
    """One process of the program, started by ``run`` of the deploy file."""

    def __init__(self, name: str, config: dict[str, Any], record: Record, folder: Path) -> None:
        self.name, self.config, self.record = name, config, record
        self.listen = config["listen"]
        self._folder = folder / name
        self._folder.mkdir(exist_ok=True)
        self.config_path = self._folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    def write_config(self) -> None:
        self.config_path.write_text(json.dumps(self.config))

    def start(self) -> None:
        self.write_config()
        self._starts += 1
        temporary = self._folder / f"tmp{self._starts}"
        temporary.mkdir()
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environment |= {
            "EDGE_NAME": self.name,
            "EDGE_CONFIG": str(self.config_path),
            "TMPDIR": str(temporary),
        }
        for key in ("listen", "discovery"):
            if key in self.config:
                environment["EDGE_" + key.upper()] = self.config[key]
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self._folder / f"log{self._starts}.txt").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.record.add(f"balancer {self.name}: started")

    def wait_until_ready(self, timeout: float = 30) -> None:
        """Wait until it answers PING with PONG, as the platform's front does."""
        until = clock() + timeout
        host, port = self.listen.rsplit(":", 1)
        while clock() < until:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {self.process.returncode}: {self.log()[-500:]}")
            try:
                with socket.create_connection((host, int(port)), timeout=1) as sock:
                    sock.sendall(b"PING\r\n")
                    if sock.recv(64) == b"PONG\r\n":
                        self.record.add(f"balancer {self.name}: ready")
                        return
            except OSError:
                time.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready in {timeout} s")

    def log(self) -> str:
        return (self._folder / f"log{self._starts}.txt").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.add(f"balancer {self.name}: {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(5)


class Client:
    """One connection of a client: sends an OPEN line, waits for its answer, and then rests."""

    def __init__(self, balancer: str, record: Record, request: str, d_ms: int, cls: str, more: str = "") -> None:
        self.balancer, self.record, self.id, self.d_ms = balancer, record, request, d_ms
        self.line = f"OPEN {request} {abs(hash(request)) % (1 << 52):016x} c={cls},d={d_ms}{more}\r\n".encode()
        self.sent_at = 0.0
        self.answer: str | None = None  # None: none has come
        self.answered_at: float | None = None
        self.ended = ""  # how the connection ended before an answer
        self.sock: socket.socket | None = None
        self.done = threading.Event()

    def start(self) -> Client:
        threading.Thread(target=self._run, daemon=True).start()
        return self

    def _run(self) -> None:
        try:
            host, port = self.balancer.rsplit(":", 1)
            self.sock = socket.create_connection((host, int(port)), timeout=2)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.sendall(self.line)
            self.sent_at = clock()
            self.record.add(f"client {self.id}: sent OPEN, waits {self.d_ms} ms")
            # A request answered within half a second after its time only earns nothing; the client reads that long.
            until = self.sent_at + self.d_ms / 1000 + 0.5 + SLACK
            received = b""
            while b"\n" not in received:
                self.sock.settimeout(max(0.001, until - clock()))
                data = self.sock.recv(4096)
                if not data:
                    self.ended = "closed"
                    break
                received += data
            if b"\n" in received:
                self.answered_at = clock()
                self.answer = received.split(b"\r\n")[0].decode("ascii", "replace")
        except TimeoutError:
            self.ended = "no answer in its time" if self.sent_at else "not connected"
        except OSError as error:
            self.ended = f"broke: {error}" if self.sent_at else f"not connected: {error}"
        finally:
            took = clock() - self.sent_at if self.sent_at else 0
            self.record.add(f"client {self.id}: {self.answer or self.ended} after {took:.3f} s")
            self.done.set()

    def close(self) -> None:
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.close()


def play(folder: str, case: Callable[[Record, Path, list[Balancer]], str]) -> None:
    """Run a case. It returns what broke the rule, or an empty text if the rule held. Exits with 0, 1 or 2."""
    case_folder = Path(folder)
    record = Record(case_folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    balancers: list[Balancer] = []
    record.add(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = case(record, temporary, balancers)
        verdict, code = (f"BROKEN: {broken}", 1) if broken else ("HELD", 0)
    except CannotRunError as error:
        verdict, code = f"CANNOT RUN: {error}", 2
    except Exception:
        verdict, code = "CANNOT RUN: " + traceback.format_exc(), 2
    finally:
        for balancer in balancers:
            balancer.kill()
        if os.environ.get("KEEP"):
            shutil.copytree(temporary, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record.add(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)
