"""The one place where configuration is read, checked and given defaults. Messages name the faulty key.

The platform gives a JSON file ($EDGE_CONFIG), an operator a TOML file; both hold the same keys. The file
named on the command line is laid over the platform's, so it can add fronts to what the platform says.
"""

from __future__ import annotations

import json
import resource
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

from bramblestile import log
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.sockets import Address
from bramblestile.wire import agent, discovery, nats
from vanegw import interface as api
from vanegw import wire as settings_form

CONNECT_WITHIN = timedelta(milliseconds=250)
PROBE_WITHIN = timedelta(milliseconds=500)
CHECK_EVERY = timedelta(seconds=2)
# Downstreams that are no request yet get an eighth of the descriptors (requests and the hosts' ends of them
# take two thirds) and no more than one for each MB: a thread costs some 30 KB of it.
MOST_SEEDS = 16
LONGEST_MEMBER = 64  # bytes of a member's name and hall, as fleet/messages.py bounds them
KEY_BYTES = 16, 64  # as BLAKE2 takes them, and none that could be guessed
LOBBY_LEAST, LOBBY_MOST, LOBBY_SHARE = 16, 256, 8


class ConfigError(Exception):
    """The text names the faulty key."""


@dataclass(slots=True, frozen=True)
class TlsConfig:
    """TLS to a front's upstream hosts; tls/ carries it out. ``path``: the table's name, for messages."""

    path: str
    ca: Path | None  # None: with ``unverified`` only
    cert: Path | None
    key: Path | None
    crl: Path | None
    name: str  # a template: who a host must prove to be
    min_version: str
    unverified: bool
    handshake_first: bool  # NATS: TLS before INFO
    handshake_timeout: timedelta
    full_handshakes_per_s: float
    handshake_burst: float
    resumed_cost: float
    tickets_per_host: int
    ticket_lifetime: timedelta
    expiry_warning: timedelta


@dataclass(slots=True, frozen=True)
class FrontConfig:
    """One front: where it listens, its cluster, and the module's settings."""

    name: str
    listen: Address
    discovery: Address | None  # None: the list in the file is all there is
    seed: int
    known_hosts_version: int
    known_hosts: tuple[UpstreamHost, ...]
    settings: api.Settings
    connect_timeout: timedelta = CONNECT_WITHIN
    probe_timeout: timedelta = PROBE_WITHIN
    checks: Mapping[str, agent.CheckTarget] = field(default_factory=dict)
    check_interval: timedelta = CHECK_EVERY
    pending_downstreams: int = LOBBY_MOST  # downstreams that are no request yet
    tls: TlsConfig | None = None  # to the upstream hosts; None: off


@dataclass(slots=True, frozen=True)
class NatsConfig(FrontConfig):
    server_info: nats.ServerInfo = field(kw_only=True)


@dataclass(slots=True, frozen=True)
class HealthConfig:
    """Where this balancer answers for its own health; None: off."""

    agent: Address | None = None
    http: Address | None = None
    path: str = "/healthz"


@dataclass(slots=True, frozen=True)
class StoreConfig:
    """This peer of the replicated store, and all its peers, itself among them."""

    name: str
    peers: Mapping[str, Address]
    directory: Path


@dataclass(slots=True, frozen=True)
class TraceConfig:
    """Where and how much is recorded; trace/recorder.py carries it out."""

    directory: Path
    instance: str
    hall: str
    flush_interval: timedelta
    buffer_size: int
    file_bytes: int
    file_age: timedelta
    total_bytes: int
    keep_shares: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class LogConfig:
    level: str = "info"
    format: str = "auto"


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """This member of the fleet; fleet/ carries it out. ``keys``: the first one seals; none on loopback only."""

    name: str
    listen: Address
    advertised: Address
    seeds: tuple[Address, ...]
    keys: tuple[bytes, ...]
    hall: str
    probe_interval: timedelta
    min_suspicion: timedelta
    max_suspicion: timedelta


@dataclass(slots=True, frozen=True)
class WorkConfig:
    """The order of work; work/ carries it out. ``directory``: where a voter keeps its part of the agreement."""

    voters: tuple[str, ...]
    directory: Path | None


@dataclass(slots=True, frozen=True)
class Config:
    lines: FrontConfig | None  # the platform's front; None: off
    nats: NatsConfig | None
    health: HealthConfig = field(default_factory=HealthConfig)
    store: StoreConfig | None = None
    seed: int = 0
    trace: TraceConfig | None = None  # None: off
    log: LogConfig = field(default_factory=LogConfig)
    management: Address | None = None  # where operators call; None: nowhere
    inherited_descriptor: int | None = None  # the descriptor of the clients' listening socket; None: one of our own
    fleet: FleetConfig | None = None  # None: off
    work: WorkConfig | None = None  # None: off
    state_directory: Path | None = None  # the folder for what outlasts the process; None: nothing does
    file_values: Mapping[str, Any] = field(default_factory=dict, compare=False)  # the file's own words


class Section:
    """A table of the configuration that knows its own name, for the messages."""

    def __init__(self, values: Any, path: str = "") -> None:
        if not isinstance(values, Mapping):
            raise ConfigError(f"{path or 'configuration'}: {values!r} is not a table")
        self.values, self.path = values, path

    def key(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def has(self, name: str) -> bool:
        return self.values.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{self.key(name)}: {value!r} is not text")
        return value

    def number(self, name: str, default: float, low: float = 0) -> float:
        value = self.values.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value < 1e15:
            raise ConfigError(f"{self.key(name)}: {value!r} is not a number of at least {low}")
        return value

    def integer(self, name: str, default: int, low: int = 0) -> int:
        value = self.number(name, default, low)
        if int(value) != value:
            raise ConfigError(f"{self.key(name)}: {value!r} is not a whole number")
        return int(value)

    def flag(self, name: str, default: bool) -> bool:
        value = self.values.get(name, default)
        if not isinstance(value, bool):
            raise ConfigError(f"{self.key(name)}: {value!r} is neither true nor false")
        return value

    def micros(self, name: str, default: timedelta, low: int = 1) -> timedelta:
        return timedelta(microseconds=self.integer(name, default // timedelta(microseconds=1), low))

    def address(self, name: str) -> Address:
        try:
            return discovery.address(self.text(name))
        except ValueError as error:
            raise ConfigError(f"{self.key(name)}: {error}") from None

    def one_of(self, name: str, choices: tuple[str, ...], default: str) -> str:
        value = self.text(name, default)
        if value not in choices:
            raise ConfigError(f"{self.key(name)}: {value!r} is none of {list(choices)}")
        return value

    def section(self, name: str) -> Section:
        return Section(self.values.get(name) or {}, self.key(name))


def _seed(top: Section) -> int:
    value = top.text("seed", "0")
    try:
        return int(value, 16)
    except ValueError:
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number") from None


def _settings(top: Section) -> api.Settings:
    if not top.has("settings"):
        raise ConfigError(f"{top.key('settings')}: missing")
    try:
        made, _ = settings_form.parse_settings(dict(top.section("settings").values))
    except (settings_form.WireError, ValueError) as error:
        raise ConfigError(f"{top.key('settings')}." + str(error).removeprefix("setup: ")) from None
    return made


def _front(top: Section, at: Section) -> FrontConfig:
    """A front's own keys; settings, seed and spans that it leaves out are the program's."""
    known = at.section("known")
    try:
        hosts = tuple(discovery.hosts(known.values.get("hosts", [])))
    except ValueError as error:
        raise ConfigError(f"{known.key('hosts')}: {error}") from None
    owner = at if at.has("settings") else top
    limits, spans = owner.section("settings").section("limits"), top.section("spans")
    return FrontConfig(
        name=top.text("name", "bramblestile"),
        listen=at.address("listen"),
        discovery=at.address("discovery") if at.has("discovery") else None,
        seed=_seed(top),
        known_hosts_version=known.integer("seq", 0),
        known_hosts=hosts,
        settings=_settings(owner),
        connect_timeout=limits.micros("connect_timeout_us", CONNECT_WITHIN),
        probe_timeout=spans.micros("probe_us", PROBE_WITHIN),
        checks=_checks(at.section("checks"), {h.id for h in hosts}),
        check_interval=spans.micros("check_us", CHECK_EVERY, 10_000),
        pending_downstreams=_lobby(top.section("limits")),
        tls=_tls(at.section("tls"), hosts) if at.has("tls") else None,
    )


def _tls(at: Section, hosts: Sequence[UpstreamHost]) -> TlsConfig:
    """The files themselves are read at the start, and again whenever they change."""
    unverified = at.flag("insecure_no_verification", False)
    files = {name: Path(at.text(name)) if at.has(name) else None for name in ("ca", "cert", "key", "crl")}
    if files["ca"] is None and not unverified:
        raise ConfigError(f"{at.key('ca')}: missing: a file with the authorities that sign the hosts' certificates")
    if (files["cert"] is None) != (files["key"] is None):
        raise ConfigError(f"{at.key('cert')}: cert and key, both or none")
    name = at.text("name", "{host}")
    for host in hosts or [UpstreamHost("host", ("127.0.0.1", 1))]:
        try:
            made = host.tls_name or name.format(host=host.id, address=host.address[0])
        except (KeyError, IndexError, ValueError, AttributeError) as error:
            raise ConfigError(f"{at.key('name')}: {name!r}: {error!r}; it may hold {{host}} and {{address}}") from None
        if not made or not made.isascii() or any(c.isspace() for c in made):
            raise ConfigError(f"{at.key('name')}: {made!r} is no name that a certificate can prove")
    resumed = at.number("resumed_cost", 0.2, 0.01)
    if resumed > 1:
        raise ConfigError(f"{at.key('resumed_cost')}: {resumed!r} is not a part, over 0 to 1, of a full handshake's")
    return TlsConfig(
        path=at.path,
        **files,
        name=name,
        min_version=at.one_of("min_version", ("1.2", "1.3"), "1.2"),
        unverified=unverified,
        handshake_first=at.flag("handshake_first", False),
        handshake_timeout=timedelta(milliseconds=at.integer("handshake_ms", 500, 10)),
        full_handshakes_per_s=at.number("full_per_s", 40.0, 0.1),
        handshake_burst=at.number("burst", 8.0, 1),
        resumed_cost=resumed,
        tickets_per_host=at.integer("tickets", 32),
        ticket_lifetime=timedelta(seconds=at.integer("ticket_s", 3600, 1)),
        expiry_warning=timedelta(days=at.integer("warn_days", 14)),
    )


def _lobby(limits: Section) -> int:
    """From the limits that the file tells, or else from the process's own."""
    own = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    descriptors = limits.integer("sockets", own if 0 < own < 1 << 20 else 1 << 20, 64)
    memory = limits.integer("memory_mb", LOBBY_MOST, 16)
    return max(LOBBY_LEAST, min(LOBBY_MOST, memory, descriptors // LOBBY_SHARE))


def _checks(at: Section, known: set[str]) -> dict[str, agent.CheckTarget]:
    """For each upstream host its agent's address, or ``http`` and ``path``."""
    made = {}
    for name in at.values:
        one = at.section(name)
        if name not in known:
            raise ConfigError(f"{one.path}: no upstream host of this name is listed")
        if one.has("agent") == one.has("http"):
            raise ConfigError(f"{one.path}: agent or http, one of the two")
        made[name] = (
            agent.CheckTarget(one.address("agent"))
            if one.has("agent")
            else agent.CheckTarget(one.address("http"), _path(one))
        )
    return made


def _path(at: Section) -> str:
    path = at.text("path", "/healthz")
    if not path.startswith("/") or any(c.isspace() for c in path):
        raise ConfigError(f"{at.key('path')}: {path!r} is not a path")
    return path


def _health(at: Section) -> HealthConfig:
    return HealthConfig(
        at.address("agent") if at.has("agent") else None, at.address("http") if at.has("http") else None, _path(at)
    )


def _store(at: Section) -> StoreConfig:
    table = at.section("peers")
    peers = {name: table.address(name) for name in table.values}
    name, directory = at.text("name"), Path(at.text("directory"))
    if name not in peers:
        raise ConfigError(f"{at.key('name')}: {name!r} is none of {sorted(peers)}")
    for peer, (host, _) in peers.items():
        if not host.startswith("127."):  # nothing proves who a peer is: none from elsewhere may vote
            raise ConfigError(f"{table.key(peer)}: {host!r} is no loopback address")
    if not directory.is_dir():
        raise ConfigError(f"{at.key('directory')}: {str(directory)!r} is no folder")
    return StoreConfig(name, peers, directory)


def _fleet(at: Section, name: str, hall: str) -> FleetConfig:
    listen = at.address("listen")
    advertised = at.address("advertise") if at.has("advertise") else listen
    seeds = at.values.get("seeds", [])
    if not isinstance(seeds, list) or len(seeds) > MOST_SEEDS:
        raise ConfigError(f"{at.key('seeds')}: not a list of {MOST_SEEDS} addresses at most")
    found = []
    for number, seed in enumerate(seeds):
        try:
            found.append(discovery.address(seed))
        except (ValueError, TypeError, AttributeError) as error:
            raise ConfigError(f"{at.key('seeds')}[{number}]: {error}") from None
    keys = _keys(at)
    if not keys:
        for key, (host, _) in [("listen", listen), ("advertise", advertised), *(("seeds", s) for s in found)]:
            if not host.startswith("127."):  # whoever reaches the address could pass for a member
                raise ConfigError(f"{at.key(key)}: {host!r} is no loopback address, and there is no key_file")
    own = at.text("name", name)
    for key, text in (("name", own), ("hall", at.text("hall", hall or "-"))):
        if len(text.encode()) > LONGEST_MEMBER:
            raise ConfigError(f"{at.key(key)}: longer than {LONGEST_MEMBER} bytes")
    probe, least, most = (
        timedelta(milliseconds=at.integer(key, default, low))
        for key, default, low in (("probe_ms", 200, 50), ("suspect_ms", 700, 100), ("suspect_most_ms", 4000, 100))
    )
    if most < least:
        raise ConfigError(f"{at.key('suspect_most_ms')}: less than suspect_ms")
    return FleetConfig(own, listen, advertised, tuple(found), keys, at.text("hall", hall or "-"), probe, least, most)


def _work(top: Section, fleet: FleetConfig | None) -> WorkConfig:
    at = top.section("work")
    if fleet is None:
        raise ConfigError(f"{at.path}: needs a fleet table, by which the balancers know one another")
    if not top.has("management"):
        raise ConfigError(f"{at.path}: needs a management address, where it is asked")
    voters = at.values.get("voters")
    if (
        not isinstance(voters, list)
        or not all(isinstance(v, str) and v for v in voters)
        or len(set(voters)) != len(voters)
        or len(voters) not in (1, 3, 5)
    ):
        raise ConfigError(f"{at.key('voters')}: {voters!r:.80} is not a list of 1, 3 or 5 members' names")
    directory = Path(at.text("directory")) if at.has("directory") else None
    if fleet.name in voters and (directory is None or not directory.is_dir()):
        raise ConfigError(f"{at.key('directory')}: {str(directory)!r} is no folder, and {fleet.name} is a voter")
    return WorkConfig(tuple(voters), directory)


def _keys(at: Section) -> tuple[bytes, ...]:
    """A key to a line, in hexadecimal; the first one seals."""
    if not at.has("key_file"):
        return ()
    path = Path(at.text("key_file"))
    try:
        lines = path.read_text().split()
        keys = tuple(bytes.fromhex(line) for line in lines)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{at.key('key_file')}: {path.name}: {error}") from None
    low, high = KEY_BYTES
    if not 1 <= len(keys) <= 2 or not all(low <= len(key) <= high for key in keys):
        raise ConfigError(f"{at.key('key_file')}: {path.name}: not one or two keys of {low} to {high} bytes")
    return keys


def _trace(at: Section, name: str, hall: str, classes: set[str]) -> TraceConfig:
    """The folder need not be there yet, nor writable: a trace that cannot be written holds up no start."""
    keep = at.section("keep")
    for cls in keep.values:
        if cls not in classes:
            raise ConfigError(f"{keep.key(cls)}: no class of this name")
        if keep.number(cls, 1.0) > 1:
            raise ConfigError(f"{keep.key(cls)}: {keep.values[cls]!r} is not a share from 0 to 1")
    file_mb, total_mb = at.number("file_mb", 64, 0.0625), at.number("total_mb", 1024, 0.125)
    if total_mb < 2 * file_mb:
        raise ConfigError(f"{at.key('total_mb')}: {total_mb!r} has no room for two files of {file_mb!r} MB")
    return TraceConfig(
        directory=Path(at.text("directory")),
        instance=at.text("instance", name),
        hall=at.text("hall", hall or "-"),
        flush_interval=timedelta(milliseconds=at.integer("flush_ms", 1000, 20)),
        buffer_size=at.integer("buffer", 8192, 64),
        file_bytes=int(file_mb * (1 << 20)),
        file_age=timedelta(seconds=at.number("file_s", 3600, 1)),
        total_bytes=int(total_mb * (1 << 20)),
        keep_shares={cls: keep.number(cls, 1.0) for cls in keep.values},
    )


def _nats(top: Section) -> NatsConfig:
    at = top.section("nats")
    front = _front(top, at)
    names = [c.name for c in front.settings.classes]

    def user(section: Section) -> nats.User:
        cls = section.text("class", names[0])
        if cls not in names:
            raise ConfigError(f"{section.key('class')}: {cls!r} is none of {names}")
        return nats.User(cls, section.text("tenant") if section.has("tenant") else None)

    users = at.section("users")
    server_info = nats.ServerInfo(
        name=front.name,
        address=front.listen,
        default=user(at.section("default")),
        users={name: user(users.section(name)) for name in users.values},
        max_payload=at.integer("max_payload", 1 << 20, 1),
    )
    return NatsConfig(**{f: getattr(front, f) for f in FrontConfig.__slots__}, server_info=server_info)


def parse_config(values: Mapping[str, Any], environment: Mapping[str, str] | None = None) -> Config:
    """The checked configuration. The platform's variables fill in what the file leaves out."""
    named = {
        "name": "EDGE_NAME",
        "listen": "EDGE_LISTEN",
        "discovery": "EDGE_DISCOVERY",
        "management": "EDGE_MANAGEMENT",
    }
    given = {key: environment[var] for key, var in named.items() if environment and var in environment}
    top = Section({**given, **values})
    if not top.has("listen") and not top.has("nats"):
        raise ConfigError("listen: missing, and there is no other front")
    lines = _front(top, top) if top.has("listen") else None
    nats_ = _nats(top) if top.has("nats") else None
    settings = [front.settings for front in (lines, nats_) if front is not None]
    trace = (
        None
        if not top.has("trace")
        else _trace(
            top.section("trace"),
            top.text("name", "bramblestile"),
            settings[0].zone,
            {c.name for s in settings for c in s.classes},
        )
    )
    said = top.section("log")
    fleet = (
        None
        if not top.has("fleet")
        else _fleet(top.section("fleet"), top.text("name", "bramblestile"), settings[0].zone)
    )
    return Config(
        lines,
        nats_,
        _health(top.section("health")),
        _store(top.section("store")) if top.has("store") else None,
        _seed(top),
        trace,
        LogConfig(said.one_of("level", log.LEVELS, "info"), said.one_of("form", log.FORMATS, "auto")),
        top.address("management") if top.has("management") else None,
        _inherited(environment or {}) if lines else None,
        fleet,
        _work(top, fleet) if top.has("work") else None,
        _kept_in(environment or {}),
        dict(values),
    )


# What the platform's file always holds. Other keys an operator may leave out of a later file on purpose.
ALWAYS = ("name", "listen", "seed", "limits", "known", "settings")


def first_missing_key(before: Mapping[str, Any], after: Mapping[str, Any]) -> str | None:
    """The first key that a new file lacks though the one in force has it: a file that lost a part must not pass for one
    that asks for defaults. Below ``settings`` that is every key; a class has those that the classes had."""
    for key in ALWAYS:
        if key in before and key not in after:
            return key
    return _missing(before.get("settings"), after.get("settings"), "settings")


def _missing(before: Any, after: Any, path: str) -> str | None:
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key, value in before.items():
            if key not in after:
                return f"{path}.{key}"
            if (found := _missing(value, after[key], f"{path}.{key}")) is not None:
                return found
    elif isinstance(before, list) and isinstance(after, list) and before and isinstance(before[0], Mapping):
        always = set(before[0]).intersection(*before)
        for number, one in enumerate(after):
            for key in sorted(always):
                if isinstance(one, Mapping) and key not in one:
                    return f"{path}[{number}].{key}"
    return None


def _inherited(environment: Mapping[str, str]) -> int | None:
    """Whether it is a listening socket is seen when it is taken into use."""
    value = environment.get("EDGE_SOCKET_FD")
    if not value:
        return None
    if not (value.isascii() and value.isdigit() and 3 <= int(value) < 1 << 20):
        raise ConfigError(f"EDGE_SOCKET_FD: {value[:40]!r} is not the number of an inherited descriptor")
    return int(value)


def _kept_in(environment: Mapping[str, str]) -> Path | None:
    folder = environment.get("TMPDIR")
    return Path(folder) if folder else None


def load_config(arguments: list[str], environment: Mapping[str, str]) -> Config:
    """From $EDGE_CONFIG and the operator's file named on the command line."""
    values: dict[str, Any] = {}
    if environment.get("EDGE_CONFIG"):
        values.update(_parse(Path(environment["EDGE_CONFIG"])))
    if len(arguments) > 1:
        raise ConfigError(f"command line: one file at most, not {arguments!r}")
    if arguments:
        values.update(_parse(Path(arguments[0])))
    if not values:
        raise ConfigError("EDGE_CONFIG: not set, and no file is named on the command line")
    return parse_config(values, environment)


def _parse(path: Path) -> dict[str, Any]:
    try:
        raw = path.read_bytes()
        got = tomllib.loads(raw.decode()) if path.suffix == ".toml" else json.loads(raw)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    if not isinstance(got, dict):
        raise ConfigError(f"{path.name}: not a table")
    return got
