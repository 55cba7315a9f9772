"""The columns of each kind of record, derived from the record classes; no I/O."""

from __future__ import annotations

import types
import typing
from dataclasses import dataclass

import msgspec

from bramblestile.trace import records
from bramblestile.trace.columns import SOURCE_SAME_FIELD, SOURCE_TIME, SOURCE_ZERO
from bramblestile.trace.records import KINDS, Record, kind_name

INT, FLOAT, TEXT, FLAG, LIST = b"iftbl"  # the type of a column, as stored in the file
_TYPES = {int: INT, float: FLOAT, str: TEXT, bool: FLAG}
COMMON_FIELDS = ("at", "src", "adj")  # stored once per block, for all its kinds


@dataclass(slots=True, frozen=True)
class Column:
    """One field. ``item_schema`` is the schema of a list's items, whose fields are columns of their own."""

    name: str
    type: int
    nullable: bool
    item_schema: StructSchema | None = None


@dataclass(slots=True, frozen=True)
class StructSchema:
    """A struct and its columns, in the order of its positional fields."""

    cls: type[msgspec.Struct]
    columns: tuple[Column, ...]


def _column(name: str, hint: object) -> Column:
    if isinstance(hint, types.UnionType):
        value_type, none_type = (a for a in typing.get_args(hint))
        assert none_type is types.NoneType, hint
        return Column(name, _TYPES[value_type], True)
    if typing.get_origin(hint) is list:
        (item,) = typing.get_args(hint)
        return Column(name, LIST, False, struct_schema(item))
    assert isinstance(hint, type)
    return Column(name, _TYPES[hint], False)


def struct_schema(cls: type[msgspec.Struct]) -> StructSchema:
    """Derive the schema of a struct from its annotations."""
    hints = typing.get_type_hints(cls, vars(records))
    return StructSchema(cls, tuple(_column(f, hints[f]) for f in cls.__struct_fields__ if f not in COMMON_FIELDS))


# Columns whose value usually follows from another kind's record of the same request: that kind, and whether the value
# is the time since that record. This is the writer's choice; the file states for each column what it refers to.
PREDICTED_FROM: dict[tuple[type[Record], str], tuple[type[Record], bool]] = {
    (records.Attempt, "host"): (records.Decision, False),
    (records.Attempt, "number"): (records.Decision, False),
    (records.Attempt, "took_us"): (records.Decision, True),
    (records.Answer, "cls"): (records.Request, False),
    (records.Answer, "tenant"): (records.Request, False),
    (records.Answer, "host"): (records.Attempt, False),
    (records.Answer, "took_us"): (records.Request, True),
    (records.Stand, "host"): (records.Attempt, False),
    (records.Note, "host"): (records.Stand, False),
    (records.Moved, "host"): (records.Stand, False),
    (records.Ended, "host"): (records.Stand, False),
    (records.Ended, "took_us"): (records.Stand, True),
}
# Columns of a decision's candidates that the result of a host's probe sets until the next one: the kind of that record,
# and where the new value comes from.
UPDATED_BY: dict[str, tuple[type[Record], int]] = {
    "load_at": (records.Probed, SOURCE_TIME),
    "load": (records.Probed, SOURCE_SAME_FIELD),
    "placed": (records.Probed, SOURCE_ZERO),
}
SCHEMAS: dict[type[Record], StructSchema] = {cls: struct_schema(cls) for cls in KINDS}
TYPES_BY_KIND: dict[str, type[Record]] = {kind_name(cls): cls for cls in KINDS}
