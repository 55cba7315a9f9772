"""The scenario language of the tests: one step a line, against a whole front on loopback.

    c1 ask          a downstream connects and sends its request; b0 taken  an upstream host receives it
    c1 send TEXT    a line, CRLF added ('raw' adds none, \\r and \\n may be written)
    c1 expect GLOB  the next line matches; expectraw TEXT: exactly these bytes come next
    c1 close        ends the connection; reset breaks it; stop ends a host's listener; drop: without close_notify
    c1 ends         the other side has ended it; broken: by a reset
    b0 idle         no connection waits there
    c1 connect      opens the connection and sends nothing
    list b0 STATE   discovery reports the state; 'cold': running, started just now
    reload NAME     a new configuration, which names another discovery; 'none': names none, and no host
    wait NAME N     until a counter has reached N
    a0 answers TEXT     the agent answers each check with this line from now on
    front answer_all    the process is about to end: all requests are answered

Actors are c1, c2, ... (downstreams), b0, b1, ... (upstream hosts), a0 (the agent of b0) and d, d2, ... (discovery).
Further verbs stand for the steps that each protocol needs for them (``WORDS``):

    c1 ask          sends a request; ask-once: of a class that must not run twice
    b0 taken        receives the request; up, full, error: answers it
    c1 served       gets that answer; refused, failed, moved: gets it, and the end
    c1 says         sends a message; hears: receives it; b0 bye: sends the completion message, where there is one
    c1 greeted      connects and reads what the front sends first; b0 hello: sends what a host sends first
    c1 word         gets an error; unread: gets it, and the end; late: is disconnected because it was too slow
"""

from __future__ import annotations

import contextlib
import fnmatch
import os
import select
import socket
import ssl
import struct
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, ClassVar

from bramblestile.clock import now
from bramblestile.memory.counters import Counters
from bramblestile.process import config
from bramblestile.process.front import Front, LineFront, NatsFront
from tests import authority
from tests.stub_agent import StubAgent
from vanegw import interface as api

TIMEOUT_S = 5.0  # for whatever a scenario waits for
CHECK_INTERVAL_S = 0.2  # between two checks of a host, and the longest time that one may take
CHECK_REQUEST_LINES = {"agent": b"", "http": b"GET /healthz HTTP/1.1\r\n"}
CLASS = {"objective_us": 600_000, "deadline_us": 1_500_000, "worth": 1.0}
LINES = {
    "ask": ["send OPEN {n}00000000000000{n} 7f3a c=feed,t=acme,d=1500,g=5c", "send early"],
    "ask-once": ["send OPEN {n}00000000000000{n} 7f3a c=once,t=acme,d=1500,g=5c"],
    "taken": ["expect OPEN * 7f3a c=*,t=acme,d=*,g=5c"],
    "up": ["send UP r1", "expect early"],
    "full": ["send BUSY"],
    "error": ["send ERR"],
    "served": ["expect UP r1"],
    "hello": [],
    "refused": ["expect BUSY*", "ends"],
    "failed": ["expect ERR", "ends"],
    "moved": ["expect MOVE", "ends"],
    "says": ["send line one"],
    "hears": ["expect line one"],
    "bye": ["send BYE"],
    "greeted": ["connect"],
    "word": ["expect ERR"],
    "unread": ["word", "ends"],
    "late": ["unread"],
}
NATS = {
    "ask": ["expect INFO *", 'raw CONNECT {{"verbose":false,"name":"coll"}}\\r\\nPING\\r\\n'],
    "ask-once": ["expect INFO *", 'send CONNECT {{"verbose":false,"user":"once"}}', "send PING"],
    "hello": ['send INFO {{"server_id":"x","max_payload":1048576}}'],
    "taken": ["hello", "expect CONNECT *", "expect PING"],
    "up": ["send PONG", "expect PING", "send PONG"],
    "full": ["send -ERR 'maximum connections exceeded'"],
    "error": ["send -ERR 'Authorization Violation'"],
    "served": ["expect PONG"],
    "refused": ["expect -ERR 'maximum connections exceeded*", "ends"],
    "failed": ["expect -ERR 'Stale Connection'", "ends"],
    "moved": ['expect INFO *"ldm":true*', "ends"],
    "says": ["raw MSG a.b 1 10\\r\\n12\\r\\n345678\\r\\n"],
    "hears": ["expectraw MSG a.b 1 10\\r\\n12\\r\\n345678\\r\\n"],
    "bye": [],
    "greeted": ["expect INFO *"],
    "word": ["expect -ERR *"],
    "unread": ["word", "ends"],
    "late": ["expect -ERR 'Authentication Timeout'", "ends"],
}
WORDS = {"lines": LINES, "nats": NATS}
WIRES = ["lines", "nats", "lines+tls", "nats+tls"]  # '+tls': with TLS to the upstream hosts


class Peer:
    """One socket of a scenario, with the bytes that were received and not consumed yet."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""
        sock.settimeout(TIMEOUT_S)

    def receive(self) -> bool:
        """Read once from the socket. Returns False at its end."""
        received = self.sock.recv(65536)
        self.buffer += received
        return bool(received)

    def read_exactly(self, size: int) -> bytes:
        """Consume this many bytes."""
        while len(self.buffer) < size:
            assert self.receive(), f"ended after {self.buffer!r}"
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def line(self) -> str:
        """Consume a line and return it without its ending."""
        while b"\n" not in self.buffer:
            assert self.receive(), f"ended after {self.buffer!r}"
        return self.read_exactly(self.buffer.index(b"\n") + 1).decode().rstrip("\r\n")

    def expect_end(self) -> None:
        """Assert that nothing more comes before the end."""
        assert not self.buffer and not self.receive(), f"still sends {self.buffer!r}"


class Scenario:
    """A front with stand-in upstream hosts and downstreams, and the steps that drive them."""

    running: ClassVar[list[Scenario]] = []  # stopped after each test (conftest.py)

    def __init__(
        self,
        wire: str = "lines",
        hosts: int = 1,
        discovery: socket.socket | None = None,
        check: str | None = None,
        sockets: int = 1024,
        tls: dict[str, Any] | None = None,
        **limits: Any,
    ) -> None:
        self.wire, _, self.tls = wire.partition("+")
        self.servers: dict[str, ssl.SSLContext] = {}  # a host's own, in place of the common authority's
        self.listening = {f"b{n}": socket.create_server(("127.0.0.1", 0)) for n in range(hosts)}
        self.peers: dict[str, Peer] = {}
        self.replaced_peers: list[Peer] = []  # kept open
        self.numbers: dict[str, int] = {}
        aims = limits.pop("message_aim_us", [60_000.0, 60_000.0])
        values: dict[str, Any] = {
            "name": "n1",
            "seed": "1f",
            "limits": {"sockets": sockets},
            "known": {"seq": 1, "hosts": [self.entry(name) for name in self.listening]},
            "settings": {
                "classes": [{"name": "feed", **CLASS}, {"name": "once", "effect": "unsafe", **CLASS}],
                "membership_mode": "on_request",
                "domain": {"message_aim_us": aims},
                "report": {"how": "probe", "names": ["x0"]},
                "rules": {"cold_from": 0.13, "cold_us": 21_000_000, "fall_multiple": 4.0, "fall_us": 3_000_000},
                "limits": {
                    "probes": False,
                    "may_cancel": True,
                    "try_limit": 1,
                    "retry_after": True,
                    "max_retry_after_us": 1_000_000,
                    "connect_timeout_us": 250_000,
                }
                | limits,
            },
        }
        checks = {}
        if check is not None:  # 'agent' or 'http': b0's, played by the actor a0
            self.listening["a0"] = socket.create_server(("127.0.0.1", 0))
            checks = {"b0": {check: "{}:{}".format(*self.listening["a0"].getsockname())}}
            values["spans"] = {"check_us": int(CHECK_INTERVAL_S * 1e6)}
        if discovery is not None:
            values["discovery"] = "{}:{}".format(*discovery.getsockname())
            self.listening["d"] = discovery
        self.check = check
        self.agent: StubAgent | None = None
        self.values = values | {"listen": "127.0.0.1:0", "checks": checks}
        if self.tls:
            self.values["tls"] = {"ca": str(authority.shared_authority().ca_file)} | (tls or {})
        self.counters = Counters()
        parsed = self.read()
        self.front: Front = (
            NatsFront(parsed, self.counters)
            if isinstance(parsed, config.NatsConfig)
            else LineFront(parsed, self.counters)
        )
        Scenario.running.append(self)
        self.front.start()

    def read(self) -> config.FrontConfig:
        """Parse the configuration values that hold now."""
        if self.wire == "lines":
            parsed = config.parse_config(self.values).lines
        else:  # the keys of the front itself belong to its table
            own = {k: self.values[k] for k in ("listen", "checks", "known", "discovery", "tls") if k in self.values}
            rest = {k: v for k, v in self.values.items() if k not in own}
            parsed = config.parse_config(
                rest | {"nats": own | {"max_payload": 100, "users": {"once": {"class": "once"}}}}
            ).nats
        assert parsed is not None
        return parsed

    def reload(self, **changed: Any) -> None:
        """Apply a changed configuration to the running front; a value of None removes its key."""
        self.values = {k: v for k, v in (self.values | changed).items() if v is not None}
        self.front.reconfigure(self.read())

    def entry(self, name: str) -> dict[str, Any]:
        """Return a host's entry of the list."""
        return {"host": name, "dial": "{}:{}".format(*self.listening[name].getsockname()), "health": "in_service"}

    def run(self, script: str) -> None:
        """Run the steps of a script; a failure names the line and the counters then."""
        for number, line in enumerate(script.strip().splitlines(), 1):
            if line.strip():
                try:
                    self.step(line.strip())
                except Exception as error:
                    where = f"{self.wire}, line {number}, {line.strip()!r}"
                    raise AssertionError(f"{where}: {error!r}; {self.counters.as_lines()}") from error

    def step(self, line: str) -> None:
        """Run one step."""
        actor, verb, rest = (*line.split(" ", 2), "")[:3]
        if actor == "wait":
            self.until(lambda: self.counters.get(verb) >= int(rest), lambda: f"{verb}: {self.counters.as_lines()}")
        elif actor == "reload":  # a new discovery, or none: then the list in the file, which is empty now
            if verb == "none":
                self.reload(discovery=None, known={"seq": 1, "hosts": []})
            else:
                self.listening[verb] = socket.create_server(("127.0.0.1", 0))
                self.reload(discovery="{}:{}".format(*self.listening[verb].getsockname()))
        elif actor == "list":
            self.update_host(verb, rest)
        elif verb in WORDS[self.wire]:
            number = self.numbers.setdefault(actor, len(self.numbers) + 1)
            for step in WORDS[self.wire][verb]:
                self.step(f"{actor} {step.format(n=number)}")
        else:
            getattr(self, "do_" + verb)(actor, rest)

    def until(self, condition: Callable[[], bool], message: Callable[[], str]) -> None:
        """Wait until a condition holds. The message is made when the wait fails, and tells how things are then."""
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, message()
            time.sleep(0.002)

    def update_host(self, name: str, state: str) -> None:
        """Report a host's state to the front as discovery does."""
        host = self.front.cluster.find(name) or self.front.config.known_hosts[int(name[1:])]
        started_at = now() if state == "cold" else host.started_at
        word = "running" if state == "cold" else state
        self.front.decisions.update_list(
            api.ListMode.CHANGES, (replace(host, state=api.State(word), started_at=started_at),)
        )

    def peer(self, actor: str) -> Peer:
        """Return an actor's socket: a host accepts, a downstream connects."""
        if actor not in self.peers:
            if actor in self.listening:
                self.listening[actor].settimeout(TIMEOUT_S)
                sock = self.listening[actor].accept()[0]
                if self.tls and self.wire == "lines" and actor[0] == "b":
                    sock = self.secure(actor, sock)
            else:
                assert self.front.listener is not None
                sock = socket.create_connection(self.front.listener.address)
            self.peers[actor] = Peer(sock)
        return self.peers[actor]

    def secure(self, actor: str, sock: socket.socket) -> socket.socket:
        """Carry out the host's side of a TLS handshake."""
        sock.settimeout(TIMEOUT_S)
        return (self.servers.get(actor) or authority.server_context(actor)).wrap_socket(sock, server_side=True)

    def do_send(self, actor: str, text: str) -> None:
        """Send a line."""
        peer = self.peer(actor)
        peer.sock.sendall(text.encode() + b"\r\n")
        self.secure_after_info(actor, peer, text.endswith("}"))

    def secure_after_info(self, actor: str, peer: Peer, complete: bool) -> None:
        """Begin TLS on a NATS host's connection once its plain-text INFO line is complete."""
        if (
            self.tls
            and self.wire == "nats"
            and actor[0] == "b"
            and not isinstance(peer.sock, ssl.SSLSocket)
            and complete
        ):
            peer.sock = self.secure(actor, peer.sock)

    def do_raw(self, actor: str, text: str) -> None:
        """Send bytes."""
        peer = self.peer(actor)
        raw = text.encode().decode("unicode_escape").encode()
        peer.sock.sendall(raw)
        self.secure_after_info(actor, peer, raw.endswith(b"\n"))

    def do_expect(self, actor: str, glob: str) -> None:
        """Assert that the next line matches."""
        received = self.peer(actor).line()
        assert fnmatch.fnmatchcase(received, glob), f"got {received!r}"

    def do_expectraw(self, actor: str, text: str) -> None:
        """Assert that exactly these bytes come next."""
        expected = text.encode().decode("unicode_escape").encode()
        received = self.peer(actor).read_exactly(len(expected))
        assert received == expected, f"got {received!r}"

    def do_connect(self, actor: str, _: str) -> None:
        """Open the connection and send nothing."""
        self.peer(actor)

    def do_accept(self, actor: str, _: str) -> None:
        """Accept a further connection; the earlier one stays open but is no longer used."""
        if actor in self.peers:
            self.replaced_peers.append(self.peers.pop(actor))
        self.peer(actor)

    def do_close(self, actor: str, _: str) -> None:
        """Close in order, with close_notify on TLS."""
        sock = self.peers.pop(actor).sock
        if isinstance(sock, ssl.SSLSocket):
            sock.settimeout(0)
            with contextlib.suppress(ssl.SSLError, OSError):
                sock.unwrap()  # close_notify
        sock.close()

    def do_drop(self, actor: str, _: str) -> None:
        """Close without close_notify."""
        self.peers.pop(actor).sock.close()

    def do_reset(self, actor: str, _: str) -> None:
        """Close with a reset."""
        sock = self.peers.pop(actor).sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def do_ends(self, actor: str, _: str) -> None:
        """Assert that the other side ends the connection and sends nothing more."""
        self.peers.pop(actor).expect_end()

    def do_broken(self, actor: str, _: str) -> None:
        """Assert that the other side resets the connection."""
        peer = self.peers.pop(actor)
        with contextlib.suppress(ConnectionResetError):
            if isinstance(peer.sock, ssl.SSLSocket):  # which reports a reset as an end
                with socket.socket(fileno=os.dup(peer.sock.fileno())) as below:
                    below.settimeout(TIMEOUT_S)
                    while below.recv(65536):
                        pass
            else:
                peer.expect_end()
            raise AssertionError("ended without a reset")

    def do_answers(self, actor: str, text: str) -> None:
        """Have the agent answer each check with this line."""
        if self.agent is None:
            assert self.check is not None
            self.agent = StubAgent(self.listening[actor], CHECK_REQUEST_LINES[self.check], text)
        self.agent.answer = text

    def stop(self) -> None:
        """Stop the front and the agent."""
        self.front.stop()
        if self.agent is not None:
            self.agent.stop()

    def do_stop(self, actor: str, _: str) -> None:
        """Close a host's listener."""
        self.listening[actor].close()

    def do_answer_all(self, actor: str, _: str) -> None:
        """Have the front answer all requests, as shortly before the end of the process."""
        self.front.answer_all()

    def do_idle(self, actor: str, _: str) -> None:
        """Assert that no connection waits to be accepted."""
        assert not select.select([self.listening[actor]], [], [], 0)[0], "a connection waits there"
