"""Pseudonyms for tenants, requests, keys and groups; no I/O.

They are keyed hashes (BLAKE2b, RFC 7693), so that hashing all museum names without the key reveals nothing. The name of
the field personalises the hash, so that a key and a group of the same value cannot be linked. Equal values get equal
pseudonyms in all files made with the same key. Free text may contain anything and is removed.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

import msgspec

from bramblestile.trace.frames import TraceError
from bramblestile.trace.records import Decision, Listed, Logged, Record, Reloaded, Request, hosts_in

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # 64 is the longest key of BLAKE2b
PSEUDONYM_BYTES, FINGERPRINT_BYTES = 8, 4
MAX_CHECKED = 4096  # values remembered as checked; tenants repeat and ids do not, so the first ones suffice
REMOVED = "(removed)"
MIN_SUBSTRING_LENGTH = 4  # shorter values are only compared as a whole: 'a' is part of every text
IDENTITIES = ("id", "key", "group", "tenant")


class Pseudonymiser:
    """Replaces identities in records, and remembers the texts that it keeps.

    Raises:
        TraceError: the key is too short or too long.
    """

    def __init__(self, key: bytes, hide_hosts: bool = False) -> None:
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise TraceError(f"the key has {len(key)} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} are required")
        self._key = key
        self._hide_hosts = hide_hosts
        self.kept_texts: set[str] = set()  # texts that were copied unchanged

    @property
    def key_fingerprint(self) -> str:
        """An id of the key that reveals nothing about it."""
        return blake2b(b"name of the key", key=self._key, digest_size=FINGERPRINT_BYTES).hexdigest()

    def pseudonym(self, field: str, value: str) -> str:
        """Return the pseudonym of a field's value."""
        digest = blake2b(
            value.encode("utf-8", "replace"), key=self._key, digest_size=PSEUDONYM_BYTES, person=field.encode()
        )
        return {"tenant": "t-", "host": "h-"}.get(field, "") + digest.hexdigest()

    def _host_pseudonym(self, value: str | None) -> str | None:
        if value is None:
            return None
        return self.pseudonym("host", value) if self._hide_hosts else value

    def apply(self, record: Record) -> Record:
        """Return the record with pseudonyms."""
        changed: dict[str, object] = {}
        for name in IDENTITIES:
            value = getattr(record, name, None)
            if isinstance(value, str):
                changed[name] = self.pseudonym(name, value)
        if isinstance(record, (Logged, Reloaded)):
            changed["text"] = REMOVED if record.text else ""
        if self._hide_hosts:
            if hasattr(record, "host"):
                changed["host"] = self._host_pseudonym(record.host)
            if isinstance(record, Request):
                changed["bound_to"] = self._host_pseudonym(record.bound_to)
            elif isinstance(record, Decision):
                changed["candidates"] = [
                    msgspec.structs.replace(c, host=self.pseudonym("host", c.host)) for c in record.candidates
                ]
            elif isinstance(record, Listed):
                changed["hosts"] = [
                    msgspec.structs.replace(h, host=self.pseudonym("host", h.host)) for h in record.hosts
                ]
        result = msgspec.structs.replace(record, **changed) if changed else record
        self._remember_kept(result, changed)
        return result

    def _remember_kept(self, record: Record, changed: dict[str, object]) -> None:
        for name in record.__struct_fields__:
            value = getattr(record, name)
            if isinstance(value, str) and (name not in changed or name == "text"):
                self.kept_texts.add(value)
        if not self._hide_hosts:
            self.kept_texts.update(hosts_in(record))

    def leak_check(self) -> Callable[[Record], None]:
        """Return a check for original records, to be used after all were written.

        It raises TraceError if an identity of the record appears in a text that was kept, and names the field, not the
        value.
        """
        joined = "\0".join(sorted(self.kept_texts))
        checked: set[str] = set()

        def check(original: Record) -> None:
            for name in IDENTITIES:
                value = getattr(original, name, None)
                if not isinstance(value, str) or not value or value in checked:
                    continue
                if value in self.kept_texts or (len(value) >= MIN_SUBSTRING_LENGTH and value in joined):
                    raise TraceError(
                        f"a {name} also appears in a field that is kept (a class, host or event of the "
                        "same name?): nothing was written"
                    )
                if len(checked) < MAX_CHECKED:
                    checked.add(value)

        return check
