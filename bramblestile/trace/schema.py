"""Which columns a kind of record has, read off the typed records themselves; no I/O."""

from __future__ import annotations

import types
import typing
from dataclasses import dataclass

import msgspec

from bramblestile.trace import records
from bramblestile.trace.columns import SAME, TIME, ZERO
from bramblestile.trace.records import KINDS, Record, name_of

INT, FLOAT, TEXT, FLAG, LIST = b"iftbl"  # a column's type, as it stands in the file
_TYPES = {int: INT, float: FLOAT, str: TEXT, bool: FLAG}
COMMON = ("at", "src", "adj")  # stored once for all kinds of a block


@dataclass(slots=True, frozen=True)
class Column:
    """One field. ``of``: a list's struct, whose fields are columns of their own."""

    name: str
    type: int
    nullable: bool
    of: Shape | None = None


@dataclass(slots=True, frozen=True)
class Shape:
    """A struct and its columns, in the order of its positional fields."""

    cls: type[msgspec.Struct]
    columns: tuple[Column, ...]


def _column(name: str, hint: object) -> Column:
    if isinstance(hint, types.UnionType):
        plain, nothing = (a for a in typing.get_args(hint))
        assert nothing is types.NoneType, hint
        return Column(name, _TYPES[plain], True)
    if typing.get_origin(hint) is list:
        (item,) = typing.get_args(hint)
        return Column(name, LIST, False, shape(item))
    assert isinstance(hint, type)
    return Column(name, _TYPES[hint], False)


def shape(cls: type[msgspec.Struct]) -> Shape:
    hints = typing.get_type_hints(cls, vars(records))
    return Shape(cls, tuple(_column(f, hints[f]) for f in cls.__struct_fields__ if f not in COMMON))


# Columns that another kind's record of the same request mostly tells already: from which, and whether it is the span
# since that record that is told. The file says for itself what was linked; this is the writer's choice.
LINKS: dict[tuple[type[Record], str], tuple[type[Record], bool]] = {
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
# Columns of a decision's candidates that a host's own answer sets until the next one: from which kind, and to what.
TOLD: dict[str, tuple[type[Record], int]] = {
    "load_at": (records.Probed, TIME),
    "load": (records.Probed, SAME),
    "placed": (records.Probed, ZERO),
}
SHAPES: dict[type[Record], Shape] = {cls: shape(cls) for cls in KINDS}
BY_NAME: dict[str, type[Record]] = {name_of(cls): cls for cls in KINDS}
