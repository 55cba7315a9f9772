"""Encoder and decoder for the row payload that a running balancer writes; no I/O.

docs/trace-format.md describes the layout: MessagePack with field names, after a table of all kinds and fields that the
writer knows. Rows take a twentieth of the CPU time of columns and three times the space; a daemon is short of time, an
archive of space. Tools convert rows to columns.
"""

from __future__ import annotations

import msgspec

from bramblestile.trace.columns import ColumnError
from bramblestile.trace.payload import MAX_RECORDS, UnknownCounts
from bramblestile.trace.records import KINDS, MAX_INT, MIN_INT, AnyRecord, Record, kind_name

_encoder = msgspec.msgpack.Encoder()
_FIELDS_BY_KIND = {kind_name(cls): list(cls.__struct_fields__) for cls in KINDS}
_HEADER = b"\x92" + _encoder.encode(_FIELDS_BY_KIND)  # an array of two: this table, and the records
_records_decoder: msgspec.msgpack.Decoder[list[AnyRecord]] = msgspec.msgpack.Decoder(list[AnyRecord])
_record_decoder: msgspec.msgpack.Decoder[AnyRecord] = msgspec.msgpack.Decoder(AnyRecord)
_raw_rows_decoder: msgspec.msgpack.Decoder[tuple[dict[str, list[str]], list[msgspec.Raw]]] = msgspec.msgpack.Decoder(
    tuple[dict[str, list[str]], list[msgspec.Raw]]
)


class _KindField(msgspec.Struct):
    kind: str


_kind_decoder: msgspec.msgpack.Decoder[_KindField] = msgspec.msgpack.Decoder(_KindField)


def encode(records: list[Record]) -> bytes:
    """Encode the uncompressed payload of a block.

    Raises:
        ColumnError: a value cannot be encoded.
    """
    try:
        return _HEADER + _encoder.encode(records)
    except (OverflowError, UnicodeEncodeError, msgspec.MsgspecError) as error:
        raise ColumnError(str(error)) from None


def decode(raw: bytes, unknown: UnknownCounts) -> list[Record]:
    """Decode the records of a payload, in the order in which they were written.

    Raises:
        ColumnError: the bytes are not a valid payload.
    """
    try:
        if raw.startswith(_HEADER):
            decoded: list[Record] = list(_records_decoder.decode(raw[len(_HEADER) :]))
        else:
            decoded = _decode_other_version(raw, unknown)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ColumnError(str(error)) from None
    if len(decoded) > MAX_RECORDS or any(not MIN_INT <= r.at + r.adj <= MAX_INT for r in decoded):
        raise ColumnError("too many records for a block, or a time out of range")
    return decoded


def _decode_other_version(raw: bytes, unknown: UnknownCounts) -> list[Record]:
    """Decode rows of an older or newer program, counting the kinds and fields that this one does not know."""
    fields_by_kind, raw_rows = _raw_rows_decoder.decode(raw)
    decoded: list[Record] = []
    for raw_row in raw_rows:
        kind = _kind_decoder.decode(raw_row).kind
        if kind not in _FIELDS_BY_KIND:
            unknown.add(kind, 1)
            continue
        for name in set(fields_by_kind.get(kind, ())) - set(_FIELDS_BY_KIND[kind]):
            unknown.add(f"{kind}.{name}", 1)
        decoded.append(_record_decoder.decode(raw_row))
    return decoded
