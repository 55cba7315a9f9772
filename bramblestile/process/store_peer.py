"""The daemon's peer of the replicated store: its parts, and what the store's keys mean to the balancer.

Loaded only with a ``store`` table, as the platform uses none of its modules.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random

from bramblestile.clock import now
from bramblestile.memory.cluster import HostSetting
from bramblestile.memory.counters import Counters
from bramblestile.process.config import ConfigError, StoreConfig
from bramblestile.process.front import naming_key
from bramblestile.process.listeners import Listener, Serve
from bramblestile.sockets import Address
from bramblestile.store.journal import Journal, JournalError
from bramblestile.store.replica import Replica
from bramblestile.store.service import Store
from bramblestile.wire import peers
from bramblestile.wire.agent import parse_host_setting

HOST_KEY_PREFIX = "hosts/"  # followed by an upstream host's name: operators' setting of that host
MakeListener = Callable[[Address, Serve, str], Listener]


class StorePeer:
    """One peer of the store. Raises ConfigError if its journal cannot be used.

    ``on_host_setting`` is called with each setting of an upstream host that the peers have committed.
    """

    def __init__(
        self,
        config: StoreConfig,
        seed: int,
        counters: Counters,
        on_host_setting: Callable[[str, HostSetting], None],
    ) -> None:
        self._config = config
        self._counters = counters
        self._on_host_setting = on_host_setting
        self._listener: Listener | None = None
        self._sender = peers.PeerSender(config.peers, config.name, counters)
        try:
            journal = Journal(config.directory / f"{config.name}.journal")
        except (JournalError, OSError) as error:
            raise ConfigError(f"store.directory: {error}") from None
        replica = Replica(config.name, list(config.peers), journal, Random(f"{seed} {config.name}"), now())
        self.store = Store(replica, self._sender.send, self.apply_entry)

    def start(self, make_listener: MakeListener) -> Listener:
        """Start the peer and return its listener. Raises ConfigError if its address cannot be bound."""
        address = self._config.peers[self._config.name]
        with naming_key(f"store.peers.{self._config.name}", address):
            self._listener = make_listener(address, self._serve, "store")
        self._listener.start()
        self._sender.start()
        self.store.start()
        return self._listener

    def _serve(self, sock: socket.socket) -> None:
        peers.serve(sock, self.store, self._config.peers, self._counters)

    def apply_entry(self, key: str, value: str) -> None:
        """Apply an entry that the peers have committed.

        Only the key's last value counts, so that all instances agree, whether they have seen the earlier ones or not.
        """
        if key.startswith(HOST_KEY_PREFIX):
            self._on_host_setting(key.removeprefix(HOST_KEY_PREFIX), parse_host_setting(value))

    def stop(self) -> None:
        """Stop the listener, the sender and the store."""
        if self._listener is not None:
            self._listener.stop()
        self._sender.stop()
        self.store.stop()
