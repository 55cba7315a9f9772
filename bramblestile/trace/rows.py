"""Records as rows, the payload that a running balancer writes; no I/O. Laid out in docs/trace-format.md.

MessagePack with the fields' names, after a table of all kinds and fields that the writer knows. It takes a twentieth of
the time of columns and three times their room: a daemon has no time, an archive has no room. Tools make columns of it.
"""

from __future__ import annotations

import msgspec

from bramblestile.trace.columns import ColumnError
from bramblestile.trace.payload import MOST_RECORDS, Unknown
from bramblestile.trace.records import INT_LEAST, INT_MOST, KINDS, AnyRecord, Record, name_of

_encoder = msgspec.msgpack.Encoder()
_ours = {name_of(cls): list(cls.__struct_fields__) for cls in KINDS}
_HEAD = b"\x92" + _encoder.encode(_ours)  # an array of two: this table, then the records
_rows: msgspec.msgpack.Decoder[list[AnyRecord]] = msgspec.msgpack.Decoder(list[AnyRecord])
_one: msgspec.msgpack.Decoder[AnyRecord] = msgspec.msgpack.Decoder(AnyRecord)
_any: msgspec.msgpack.Decoder[tuple[dict[str, list[str]], list[msgspec.Raw]]] = msgspec.msgpack.Decoder(
    tuple[dict[str, list[str]], list[msgspec.Raw]]
)


class _Tag(msgspec.Struct):
    kind: str


_tag: msgspec.msgpack.Decoder[_Tag] = msgspec.msgpack.Decoder(_Tag)


def put(rows: list[Record]) -> bytes:
    try:
        return _HEAD + _encoder.encode(rows)
    except (OverflowError, UnicodeEncodeError, msgspec.MsgspecError) as error:
        raise ColumnError(str(error)) from None


def get(raw: bytes, unknown: Unknown) -> list[Record]:
    """ColumnError where it is none."""
    try:
        if raw.startswith(_HEAD):
            made: list[Record] = list(_rows.decode(raw[len(_HEAD) :]))
        else:
            made = _foreign(raw, unknown)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ColumnError(str(error)) from None
    if len(made) > MOST_RECORDS or any(not INT_LEAST <= r.at + r.adj <= INT_MOST for r in made):
        raise ColumnError("records that no block holds")
    return made


def _foreign(raw: bytes, unknown: Unknown) -> list[Record]:
    """Written by an older or a newer program: what that one knew and this one does not is counted."""
    table, rows = _any.decode(raw)
    made: list[Record] = []
    for row in rows:
        kind = _tag.decode(row).kind
        if kind not in _ours:
            unknown.add(kind, 1)
            continue
        for name in set(table.get(kind, ())) - set(_ours[kind]):
            unknown.add(f"{kind}.{name}", 1)
        made.append(_one.decode(row))
    return made
