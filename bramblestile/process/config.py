"""Reading, checking and default values of the whole configuration.

The platform provides a JSON file ($EDGE_CONFIG) and an operator a TOML file, both with the same keys. The top-level
keys of the file named on the command line replace those of the platform's file, so it can add fronts. Every error names
the faulty key first.
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
from vanegw import wire as settings_parser

DEFAULT_CONNECT_TIMEOUT = timedelta(milliseconds=250)
DEFAULT_PROBE_TIMEOUT = timedelta(milliseconds=500)
DEFAULT_CHECK_INTERVAL = timedelta(seconds=2)
MAX_SEEDS = 16
MAX_MEMBER_NAME_BYTES = 64  # of a member's name and hall; fleet/messages.py has the same limit
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # a shorter key could be guessed; BLAKE2 accepts no longer one
# Limits on downstreams without a request yet. They get an eighth of the descriptors, as requests and their upstream
# connections take two thirds, and at most one for each MB of memory, as a thread costs about 30 KB.
MIN_PENDING_DOWNSTREAMS, MAX_PENDING_DOWNSTREAMS = 16, 256
DESCRIPTORS_PER_PENDING_DOWNSTREAM = 8
MAX_DESCRIPTORS = 1 << 20  # of a process; assumed where it has no limit
BYTES_PER_MB = 1 << 20


class ConfigError(Exception):
    """The configuration is invalid. The text names the faulty key first."""


@dataclass(slots=True, frozen=True)
class TlsConfig:
    """TLS from a front to its upstream hosts; the package tls carries it out.

    Attributes:
        path: Dotted path of this table, for error messages.
        ca: File with the authorities that sign the hosts' certificates; None only with ``skip_verification``.
        cert: File with the client certificate, if one is presented.
        key: File with the private key of ``cert``.
        crl: File with certificate revocation lists.
        name: Name that a host's certificate must prove; a template with ``{host}`` and ``{address}``.
        min_version: Lowest TLS version.
        skip_verification: Accept any certificate.
        handshake_first: NATS only: TLS begins before the host's INFO.
        handshake_timeout: For one handshake.
        full_handshakes_per_s: What a warm host bears from all balancers together.
        handshake_burst: Full handshakes that a host bears at once.
        resumed_cost: Cost of a resumed handshake, as a part of a full one's.
        tickets_per_host: Session tickets that are kept for each host.
        ticket_lifetime: For how long a ticket is used at most.
        expiry_warning: A certificate that expires within this time is logged.
    """

    path: str
    ca: Path | None
    cert: Path | None
    key: Path | None
    crl: Path | None
    name: str
    min_version: str
    skip_verification: bool
    handshake_first: bool
    handshake_timeout: timedelta
    full_handshakes_per_s: float
    handshake_burst: float
    resumed_cost: float
    tickets_per_host: int
    ticket_lifetime: timedelta
    expiry_warning: timedelta


@dataclass(slots=True, frozen=True)
class FrontConfig:
    """One front: where it listens, its cluster, and the settings of its decisions.

    Attributes:
        name: Name of this balancer.
        listen: Address that accepts downstreams.
        discovery: Address that serves the list of upstream hosts; None if the list in the file is all there is.
        seed: Seed of the random choices.
        known_hosts_version: Discovery's version of ``known_hosts``.
        known_hosts: Upstream hosts listed in the file.
        settings: Settings of the decisions.
        connect_timeout: For a connection to an upstream host.
        probe_timeout: For the answer to a probe.
        checks: Health checks by the name of the upstream host.
        check_interval: Time between two checks of a host.
        pending_downstreams: Limit on downstreams without a request yet.
        tls: TLS to the upstream hosts; None if it is off.
    """

    name: str
    listen: Address
    discovery: Address | None
    seed: int
    known_hosts_version: int
    known_hosts: tuple[UpstreamHost, ...]
    settings: api.Settings
    connect_timeout: timedelta = DEFAULT_CONNECT_TIMEOUT
    probe_timeout: timedelta = DEFAULT_PROBE_TIMEOUT
    checks: Mapping[str, agent.CheckTarget] = field(default_factory=dict)
    check_interval: timedelta = DEFAULT_CHECK_INTERVAL
    pending_downstreams: int = MAX_PENDING_DOWNSTREAMS
    tls: TlsConfig | None = None


@dataclass(slots=True, frozen=True)
class NatsConfig(FrontConfig):
    """A front that speaks the NATS client protocol."""

    server_info: nats.ServerInfo = field(kw_only=True)


@dataclass(slots=True, frozen=True)
class HealthConfig:
    """Where this balancer serves its own health, by agent check and over HTTP; None if off."""

    agent: Address | None = None
    http: Address | None = None
    path: str = "/healthz"


@dataclass(slots=True, frozen=True)
class StoreConfig:
    """The replicated store: the name of this peer, and the addresses of all peers with its own among them."""

    name: str
    peers: Mapping[str, Address]
    directory: Path


@dataclass(slots=True, frozen=True)
class TraceConfig:
    """Where and how much is recorded; trace/recorder.py carries it out.

    Attributes:
        directory: Where the files are written.
        instance: Name of the recording balancer, in the files.
        hall: Its hall, in the files.
        flush_interval: Longest time for which records are held back.
        buffer_size: Largest number of records that wait to be written.
        file_bytes: Size at which a new file is begun.
        file_age: Age at which a new file is begun.
        total_bytes: Size of all files above which the oldest are removed.
        keep_shares: Share of requests to record, by request class; 1 where none is given.
    """

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
    """Level and format of the log."""

    level: str = "info"
    format: str = "auto"


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """This balancer's membership of a fleet; the package fleet carries it out.

    Attributes:
        name: Name of this member.
        listen: UDP address that is bound.
        advertised: Address at which the other members reach this one.
        seeds: Addresses of members that are asked to join.
        keys: Keys of the datagrams, of which the first one seals; may be empty on loopback addresses only.
        hall: Hall of this member.
        probe_interval: Time between two probes.
        min_suspicion: Shortest time from a suspicion to the death of a member.
        max_suspicion: Longest such time.
    """

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
    """Rolling maintenance; the package work carries it out.

    Attributes:
        voters: Names of the members that replicate the plan.
        directory: Where a voter keeps its journal.
    """

    voters: tuple[str, ...]
    directory: Path | None


@dataclass(slots=True, frozen=True)
class Config:
    """The whole configuration of a process.

    Attributes:
        lines: Front for the platform's line protocol; None if off.
        nats: Front for NATS clients; None if off.
        health: Where the process serves its own health.
        store: Replicated store; None if off.
        seed: Seed of the random choices.
        trace: Trace of requests and decisions; None if off.
        log: Level and format of the log.
        management: Address of the management API; None if off.
        inherited_descriptor: Descriptor of an inherited listening socket for ``lines``; None to bind one.
        fleet: Membership of a fleet; None if off.
        work: Rolling maintenance; None if off.
        state_directory: Where state that outlives the process is kept; None to keep nothing.
        file_values: The values as the files have them, for a comparison at the next reload.
    """

    lines: FrontConfig | None
    nats: NatsConfig | None
    health: HealthConfig = field(default_factory=HealthConfig)
    store: StoreConfig | None = None
    seed: int = 0
    trace: TraceConfig | None = None
    log: LogConfig = field(default_factory=LogConfig)
    management: Address | None = None
    inherited_descriptor: int | None = None
    fleet: FleetConfig | None = None
    work: WorkConfig | None = None
    state_directory: Path | None = None
    file_values: Mapping[str, Any] = field(default_factory=dict, compare=False)


class Section:
    """A table of the configuration and its dotted path.

    The methods that read a value raise ConfigError with the path of the key if the value is invalid.
    """

    def __init__(self, values: Any, path: str = "") -> None:
        if not isinstance(values, Mapping):
            raise ConfigError(f"{path or 'configuration'}: {values!r} is not a table")
        self.values, self.path = values, path

    def key(self, name: str) -> str:
        """Return the dotted path of a key."""
        return f"{self.path}.{name}" if self.path else name

    def has(self, name: str) -> bool:
        """Return whether the key is present and not null."""
        return self.values.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Return a non-empty string."""
        value = self.values.get(name, default)
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{self.key(name)}: {value!r} is not a non-empty string")
        return value

    def number(self, name: str, default: float, low: float = 0) -> float:
        """Return a number of at least ``low`` and below 1e15."""
        value = self.values.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value < 1e15:
            raise ConfigError(f"{self.key(name)}: {value!r} is not a number of at least {low}")
        return value

    def integer(self, name: str, default: int, low: int = 0) -> int:
        """Return a whole number of at least ``low``."""
        value = self.number(name, default, low)
        if int(value) != value:
            raise ConfigError(f"{self.key(name)}: {value!r} is not a whole number")
        return int(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return a boolean."""
        value = self.values.get(name, default)
        if not isinstance(value, bool):
            raise ConfigError(f"{self.key(name)}: {value!r} is neither true nor false")
        return value

    def duration_us(self, name: str, default: timedelta, low: int = 1) -> timedelta:
        """Return a duration that is given in microseconds, at least ``low`` of them."""
        return timedelta(microseconds=self.integer(name, default // timedelta(microseconds=1), low))

    def address(self, name: str) -> Address:
        """Return an address that is given as ``HOST:PORT``."""
        try:
            return discovery.address(self.text(name))
        except ValueError as error:
            raise ConfigError(f"{self.key(name)}: {error}") from None

    def one_of(self, name: str, choices: tuple[str, ...], default: str) -> str:
        """Return one of the given strings."""
        value = self.text(name, default)
        if value not in choices:
            raise ConfigError(f"{self.key(name)}: {value!r} is none of {list(choices)}")
        return value

    def section(self, name: str) -> Section:
        """Return a nested table; an empty one if the key is missing."""
        return Section(self.values.get(name) or {}, self.key(name))


def _seed(top: Section) -> int:
    value = top.text("seed", "0")
    try:
        return int(value, 16)
    except ValueError:
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number") from None


def _settings(owner: Section) -> api.Settings:
    if not owner.has("settings"):
        raise ConfigError(f"{owner.key('settings')}: missing")
    try:
        settings, _ = settings_parser.parse_settings(dict(owner.section("settings").values))
    except (settings_parser.WireError, ValueError) as error:
        raise ConfigError(f"{owner.key('settings')}." + str(error).removeprefix("setup: ")) from None
    return settings


def _front(top: Section, table: Section) -> FrontConfig:
    """Read a front from its own table. Settings default to those at the top level, where seed and spans always are."""
    known = table.section("known")
    try:
        hosts = tuple(discovery.hosts(known.values.get("hosts", [])))
    except ValueError as error:
        raise ConfigError(f"{known.key('hosts')}: {error}") from None
    settings_owner = table if table.has("settings") else top
    limits, durations = settings_owner.section("settings").section("limits"), top.section("spans")
    return FrontConfig(
        name=top.text("name", "bramblestile"),
        listen=table.address("listen"),
        discovery=table.address("discovery") if table.has("discovery") else None,
        seed=_seed(top),
        known_hosts_version=known.integer("seq", 0),
        known_hosts=hosts,
        settings=_settings(settings_owner),
        connect_timeout=limits.duration_us("connect_timeout_us", DEFAULT_CONNECT_TIMEOUT),
        probe_timeout=durations.duration_us("probe_us", DEFAULT_PROBE_TIMEOUT),
        checks=_checks(table.section("checks"), {h.id for h in hosts}),
        check_interval=durations.duration_us("check_us", DEFAULT_CHECK_INTERVAL, 10_000),
        pending_downstreams=_max_pending_downstreams(top.section("limits")),
        tls=_tls(table.section("tls"), hosts) if table.has("tls") else None,
    )


def _tls(table: Section, hosts: Sequence[UpstreamHost]) -> TlsConfig:
    """Read a table without its certificate files; those are read at the start and whenever they change."""
    skip_verification = table.flag("insecure_no_verification", False)
    files = {name: Path(table.text(name)) if table.has(name) else None for name in ("ca", "cert", "key", "crl")}
    if files["ca"] is None and not skip_verification:
        raise ConfigError(f"{table.key('ca')}: missing: a file with the authorities that sign the hosts' certificates")
    if (files["cert"] is None) != (files["key"] is None):
        raise ConfigError(f"{table.key('cert')}: cert and key, both or none")
    name = table.text("name", "{host}")
    for host in hosts or [UpstreamHost("host", ("127.0.0.1", 1))]:
        try:
            expected = host.tls_name or name.format(host=host.id, address=host.address[0])
        except (KeyError, IndexError, ValueError, AttributeError) as error:
            raise ConfigError(
                f"{table.key('name')}: {name!r}: {error!r}; only {{host}} and {{address}} are allowed"
            ) from None
        if not expected or not expected.isascii() or any(c.isspace() for c in expected):
            raise ConfigError(f"{table.key('name')}: {expected!r} is not a name that a certificate can prove")
    resumed_cost = table.number("resumed_cost", 0.2, 0.01)
    if resumed_cost > 1:
        raise ConfigError(
            f"{table.key('resumed_cost')}: {resumed_cost!r} is not a part (at most 1) of a full handshake's cost"
        )
    return TlsConfig(
        path=table.path,
        **files,
        name=name,
        min_version=table.one_of("min_version", ("1.2", "1.3"), "1.2"),
        skip_verification=skip_verification,
        handshake_first=table.flag("handshake_first", False),
        handshake_timeout=timedelta(milliseconds=table.integer("handshake_ms", 500, 10)),
        full_handshakes_per_s=table.number("full_per_s", 40.0, 0.1),
        handshake_burst=table.number("burst", 8.0, 1),
        resumed_cost=resumed_cost,
        tickets_per_host=table.integer("tickets", 32),
        ticket_lifetime=timedelta(seconds=table.integer("ticket_s", 3600, 1)),
        expiry_warning=timedelta(days=table.integer("warn_days", 14)),
    )


def _max_pending_downstreams(limits: Section) -> int:
    """Derive the limit from the configured resources; those that are missing default to the process's own limits."""
    process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    descriptors = limits.integer(
        "sockets", process_limit if 0 < process_limit < MAX_DESCRIPTORS else MAX_DESCRIPTORS, 64
    )
    memory_mb = limits.integer("memory_mb", MAX_PENDING_DOWNSTREAMS, 16)
    return max(
        MIN_PENDING_DOWNSTREAMS,
        min(MAX_PENDING_DOWNSTREAMS, memory_mb, descriptors // DESCRIPTORS_PER_PENDING_DOWNSTREAM),
    )


def _checks(table: Section, known: set[str]) -> dict[str, agent.CheckTarget]:
    """Read the check of each upstream host: the address of its ``agent``, or ``http`` and ``path``."""
    targets = {}
    for name in table.values:
        host = table.section(name)
        if name not in known:
            raise ConfigError(f"{host.path}: no upstream host of this name is listed")
        if host.has("agent") == host.has("http"):
            raise ConfigError(f"{host.path}: needs either agent or http")
        targets[name] = (
            agent.CheckTarget(host.address("agent"))
            if host.has("agent")
            else agent.CheckTarget(host.address("http"), _path(host))
        )
    return targets


def _path(table: Section) -> str:
    path = table.text("path", "/healthz")
    if not path.startswith("/") or any(c.isspace() for c in path):
        raise ConfigError(f"{table.key('path')}: {path!r} is not a path")
    return path


def _health(table: Section) -> HealthConfig:
    return HealthConfig(
        table.address("agent") if table.has("agent") else None,
        table.address("http") if table.has("http") else None,
        _path(table),
    )


def _store(table: Section) -> StoreConfig:
    peer_table = table.section("peers")
    peers = {name: peer_table.address(name) for name in peer_table.values}
    name, directory = table.text("name"), Path(table.text("directory"))
    if name not in peers:
        raise ConfigError(f"{table.key('name')}: {name!r} is none of {sorted(peers)}")
    for peer, (host, _) in peers.items():
        if not host.startswith("127."):  # peers are not authenticated, so only local processes may vote
            raise ConfigError(f"{peer_table.key(peer)}: {host!r} is not a loopback address")
    if not directory.is_dir():
        raise ConfigError(f"{table.key('directory')}: {str(directory)!r} is not a directory")
    return StoreConfig(name, peers, directory)


def _fleet(table: Section, name: str, hall: str) -> FleetConfig:
    listen = table.address("listen")
    advertised = table.address("advertise") if table.has("advertise") else listen
    seeds = table.values.get("seeds", [])
    if not isinstance(seeds, list) or len(seeds) > MAX_SEEDS:
        raise ConfigError(f"{table.key('seeds')}: not a list of at most {MAX_SEEDS} addresses")
    seed_addresses = []
    for index, seed in enumerate(seeds):
        try:
            seed_addresses.append(discovery.address(seed))
        except (ValueError, TypeError, AttributeError) as error:
            raise ConfigError(f"{table.key('seeds')}[{index}]: {error}") from None
    keys = _keys(table)
    if not keys:
        for key, (host, _) in [
            ("listen", listen),
            ("advertise", advertised),
            *(("seeds", seed_address) for seed_address in seed_addresses),
        ]:
            if not host.startswith("127."):  # without a key, anyone who reaches the address could pose as a member
                raise ConfigError(f"{table.key(key)}: {host!r} is not a loopback address, and there is no key_file")
    member = table.text("name", name)
    for key, text in (("name", member), ("hall", table.text("hall", hall or "-"))):
        if len(text.encode()) > MAX_MEMBER_NAME_BYTES:
            raise ConfigError(f"{table.key(key)}: longer than {MAX_MEMBER_NAME_BYTES} bytes")
    probe_interval, min_suspicion, max_suspicion = (
        timedelta(milliseconds=table.integer(key, default, low))
        for key, default, low in (("probe_ms", 200, 50), ("suspect_ms", 700, 100), ("suspect_most_ms", 4000, 100))
    )
    if max_suspicion < min_suspicion:
        raise ConfigError(f"{table.key('suspect_most_ms')}: less than suspect_ms")
    return FleetConfig(
        member,
        listen,
        advertised,
        tuple(seed_addresses),
        keys,
        table.text("hall", hall or "-"),
        probe_interval,
        min_suspicion,
        max_suspicion,
    )


def _work(top: Section, fleet: FleetConfig | None) -> WorkConfig:
    table = top.section("work")
    if fleet is None:
        raise ConfigError(f"{table.path}: needs a fleet table, by which the balancers find each other")
    if not top.has("management"):
        raise ConfigError(f"{table.path}: needs a management address, which receives the calls")
    voters = table.values.get("voters")
    if (
        not isinstance(voters, list)
        or not all(isinstance(v, str) and v for v in voters)
        or len(set(voters)) != len(voters)
        or len(voters) not in (1, 3, 5)
    ):
        raise ConfigError(f"{table.key('voters')}: {voters!r:.80} is not a list of 1, 3 or 5 members' names")
    directory = Path(table.text("directory")) if table.has("directory") else None
    if fleet.name in voters and (directory is None or not directory.is_dir()):
        raise ConfigError(
            f"{table.key('directory')}: {str(directory)!r} is not a directory, and {fleet.name} is a voter"
        )
    return WorkConfig(tuple(voters), directory)


def _keys(table: Section) -> tuple[bytes, ...]:
    """Read the file with one hexadecimal key on each line; the first one seals."""
    if not table.has("key_file"):
        return ()
    path = Path(table.text("key_file"))
    try:
        lines = path.read_text().split()
        keys = tuple(bytes.fromhex(line) for line in lines)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{table.key('key_file')}: {path.name}: {error}") from None
    if not 1 <= len(keys) <= 2 or not all(MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES for key in keys):
        raise ConfigError(
            f"{table.key('key_file')}: {path.name}: not one or two keys of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
        )
    return keys


def _trace(table: Section, name: str, hall: str, classes: set[str]) -> TraceConfig:
    """Read the trace's table. Its directory may be missing or read-only: a failing trace must not prevent a start."""
    keep = table.section("keep")
    for cls in keep.values:
        if cls not in classes:
            raise ConfigError(f"{keep.key(cls)}: no class of this name")
        if keep.number(cls, 1.0) > 1:
            raise ConfigError(f"{keep.key(cls)}: {keep.values[cls]!r} is not a share from 0 to 1")
    file_mb, total_mb = table.number("file_mb", 64, 0.0625), table.number("total_mb", 1024, 0.125)
    if total_mb < 2 * file_mb:
        raise ConfigError(f"{table.key('total_mb')}: {total_mb!r} is less than two files of {file_mb!r} MB")
    return TraceConfig(
        directory=Path(table.text("directory")),
        instance=table.text("instance", name),
        hall=table.text("hall", hall or "-"),
        flush_interval=timedelta(milliseconds=table.integer("flush_ms", 1000, 20)),
        buffer_size=table.integer("buffer", 8192, 64),
        file_bytes=int(file_mb * BYTES_PER_MB),
        file_age=timedelta(seconds=table.number("file_s", 3600, 1)),
        total_bytes=int(total_mb * BYTES_PER_MB),
        keep_shares={cls: keep.number(cls, 1.0) for cls in keep.values},
    )


def _nats(top: Section) -> NatsConfig:
    table = top.section("nats")
    front = _front(top, table)
    class_names = [c.name for c in front.settings.classes]

    def user(section: Section) -> nats.User:
        cls = section.text("class", class_names[0])
        if cls not in class_names:
            raise ConfigError(f"{section.key('class')}: {cls!r} is none of {class_names}")
        return nats.User(cls, section.text("tenant") if section.has("tenant") else None)

    users = table.section("users")
    server_info = nats.ServerInfo(
        name=front.name,
        address=front.listen,
        default=user(table.section("default")),
        users={name: user(users.section(name)) for name in users.values},
        max_payload=table.integer("max_payload", 1 << 20, 1),
    )
    return NatsConfig(**{f: getattr(front, f) for f in FrontConfig.__slots__}, server_info=server_info)


def parse_config(values: Mapping[str, Any], environment: Mapping[str, str] | None = None) -> Config:
    """Check the values and return the configuration; the platform's variables fill in keys that are missing.

    Raises ConfigError.
    """
    variables = {
        "name": "EDGE_NAME",
        "listen": "EDGE_LISTEN",
        "discovery": "EDGE_DISCOVERY",
        "management": "EDGE_MANAGEMENT",
    }
    defaults = {key: environment[var] for key, var in variables.items() if environment and var in environment}
    top = Section({**defaults, **values})
    if not top.has("listen") and not top.has("nats"):
        raise ConfigError("listen: missing, and there is no other front")
    lines_front = _front(top, top) if top.has("listen") else None
    nats_front = _nats(top) if top.has("nats") else None
    settings = [front.settings for front in (lines_front, nats_front) if front is not None]
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
    log_table = top.section("log")
    fleet = (
        None
        if not top.has("fleet")
        else _fleet(top.section("fleet"), top.text("name", "bramblestile"), settings[0].zone)
    )
    return Config(
        lines_front,
        nats_front,
        _health(top.section("health")),
        _store(top.section("store")) if top.has("store") else None,
        _seed(top),
        trace,
        LogConfig(log_table.one_of("level", log.LEVELS, "info"), log_table.one_of("form", log.FORMATS, "auto")),
        top.address("management") if top.has("management") else None,
        _inherited_descriptor(environment or {}) if lines_front else None,
        fleet,
        _work(top, fleet) if top.has("work") else None,
        _state_directory(environment or {}),
        dict(values),
    )


# Keys that the platform's file always has. An operator may remove other keys from a later file on purpose.
REQUIRED_ON_RELOAD = ("name", "listen", "seed", "limits", "known", "settings")


def first_missing_key(before: Mapping[str, Any], after: Mapping[str, Any]) -> str | None:
    """Return the first key that the values in force have and a new file lacks; None if there is none.

    A truncated file must not pass for one that asks for default values. Below ``settings`` every key counts, and each
    class must have the keys that all classes had.
    """
    for key in REQUIRED_ON_RELOAD:
        if key in before and key not in after:
            return key
    return _first_missing_key(before.get("settings"), after.get("settings"), "settings")


def _first_missing_key(before: Any, after: Any, path: str) -> str | None:
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key, value in before.items():
            if key not in after:
                return f"{path}.{key}"
            if (missing := _first_missing_key(value, after[key], f"{path}.{key}")) is not None:
                return missing
    elif isinstance(before, list) and isinstance(after, list) and before and isinstance(before[0], Mapping):
        common_keys = set(before[0]).intersection(*before)
        for index, item in enumerate(after):
            for key in sorted(common_keys):
                if isinstance(item, Mapping) and key not in item:
                    return f"{path}[{index}].{key}"
    return None


def _inherited_descriptor(environment: Mapping[str, str]) -> int | None:
    """Read the descriptor's number; that it is a listening socket is checked when it is adopted."""
    value = environment.get("EDGE_SOCKET_FD")
    if not value:
        return None
    if not (value.isascii() and value.isdigit() and 3 <= int(value) < MAX_DESCRIPTORS):
        raise ConfigError(f"EDGE_SOCKET_FD: {value[:40]!r} is not the number of an inherited descriptor")
    return int(value)


def _state_directory(environment: Mapping[str, str]) -> Path | None:
    directory = environment.get("TMPDIR")
    return Path(directory) if directory else None


def load_config(arguments: list[str], environment: Mapping[str, str]) -> Config:
    """Read the files named by $EDGE_CONFIG and on the command line. Raises ConfigError."""
    values: dict[str, Any] = {}
    if environment.get("EDGE_CONFIG"):
        values.update(_parse_file(Path(environment["EDGE_CONFIG"])))
    if len(arguments) > 1:
        raise ConfigError(f"command line: one file at most, not {arguments!r}")
    if arguments:
        values.update(_parse_file(Path(arguments[0])))
    if not values:
        raise ConfigError("EDGE_CONFIG: not set, and no file is named on the command line")
    return parse_config(values, environment)


def _parse_file(path: Path) -> dict[str, Any]:
    try:
        raw = path.read_bytes()
        parsed = tomllib.loads(raw.decode()) if path.suffix == ".toml" else json.loads(raw)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    if not isinstance(parsed, dict):
        raise ConfigError(f"{path.name}: not a table")
    return parsed
