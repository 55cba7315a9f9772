"""Pseudonyms for museums, clients, keys and groups; no I/O.

A keyed hash (BLAKE2b, RFC 7693), so that trying all museum names without the key finds nothing; the field's name is
its personalisation, so that a key and a group of one value do not betray each other. Equal stays equal, in every file
that is made with the same key. Free text may hold anything and is dropped whole.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

import msgspec

from bramblestile.trace.frames import TraceError
from bramblestile.trace.records import Decision, Listed, Logged, Record, Reloaded, Request, hosts_of

SHORTEST_KEY, LONGEST_KEY = 16, 64  # bytes; the longest that BLAKE2b takes as it is
REMOVED = "(removed)"
WHOLE_VALUE = 4  # letters below which an original is looked for as a whole value only: 'a' is in every text
IDENTITIES = ("id", "key", "group", "tenant")


class Pseudonyms:
    def __init__(self, key: bytes, hide_hosts: bool = False) -> None:
        if not SHORTEST_KEY <= len(key) <= LONGEST_KEY:
            raise TraceError(f"the key has {len(key)} bytes; from {SHORTEST_KEY} to {LONGEST_KEY} are needed")
        self._key = key
        self._hide_hosts = hide_hosts
        self.kept: set[str] = set()  # the texts that went on as they were

    @property
    def key_name(self) -> str:
        """Tells files of one key from others, and nothing of the key."""
        return blake2b(b"name of the key", key=self._key, digest_size=4).hexdigest()

    def of(self, field: str, value: str) -> str:
        made = blake2b(value.encode("utf-8", "replace"), key=self._key, digest_size=8, person=field.encode())
        return {"tenant": "t-", "host": "h-"}.get(field, "") + made.hexdigest()

    def _host(self, value: str | None) -> str | None:
        if value is None:
            return None
        return self.of("host", value) if self._hide_hosts else value

    def record(self, record: Record) -> Record:
        """The same record under pseudonyms."""
        changed: dict[str, object] = {}
        for name in IDENTITIES:
            value = getattr(record, name, None)
            if isinstance(value, str):
                changed[name] = self.of(name, value)
        if isinstance(record, (Logged, Reloaded)):
            changed["text"] = REMOVED if record.text else ""
        if self._hide_hosts:
            if hasattr(record, "host"):
                changed["host"] = self._host(record.host)
            if isinstance(record, Request):
                changed["bound_to"] = self._host(record.bound_to)
            elif isinstance(record, Decision):
                changed["candidates"] = [
                    msgspec.structs.replace(c, host=self.of("host", c.host)) for c in record.candidates
                ]
            elif isinstance(record, Listed):
                changed["hosts"] = [msgspec.structs.replace(h, host=self.of("host", h.host)) for h in record.hosts]
        made = msgspec.structs.replace(record, **changed) if changed else record
        self._keep(made, changed)
        return made

    def _keep(self, made: Record, changed: dict[str, object]) -> None:
        for name in made.__struct_fields__:
            value = getattr(made, name)
            if isinstance(value, str) and (name not in changed or name == "text"):
                self.kept.add(value)
        if not self._hide_hosts:
            self.kept.update(hosts_of(made))

    def leak_check(self) -> Callable[[Record], None]:
        """Made once all is written; TraceError for a record whose identity still stands in a text that went on.
        It tells the field, not the value."""
        blob = "\0".join(sorted(self.kept))
        seen: set[str] = set()

        def check(original: Record) -> None:
            for name in IDENTITIES:
                value = getattr(original, name, None)
                if not isinstance(value, str) or not value or value in seen:
                    continue
                if value in self.kept or (len(value) >= WHOLE_VALUE and value in blob):
                    raise TraceError(
                        f"a {name} also stands in a field that is kept (a class, host or event of the "
                        "same name?): nothing was written"
                    )
                if len(seen) < 4096:  # tenants repeat, ids do not: a bounded memory of the first is enough
                    seen.add(value)

        return check
