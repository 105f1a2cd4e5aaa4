"""The registry of messages between nodes, and their encoding.

A value that can't be read, or can't be encoded, stops no more than itself: the row that it stands
in is dropped, or its message if it stands in no row or if the rows make sense only together.
"""

import types
import typing as t

import msgpack
import msgspec

from . import defaults
from .dropped_values import note_unsendable
from .exceptions import PeerError

# Called with a message's tag and the reason for each value that is dropped.
NoteDropped = t.Callable[[str, str], None]
M = t.TypeVar("M", bound=type[t.Any])
# What msgpack raises for a value that no message can carry, such as a number of 400 digits.
ENCODING_ERRORS = (OverflowError, TypeError, ValueError, RecursionError)


class FieldPlan(t.NamedTuple):
    """How a field of a message is read.

    :param rows: types of its rows, told apart by their lengths; empty if it has no rows that can be
        dropped one by one.
    """

    name: str
    type: t.Any
    rows: tuple[type[t.Any], ...]


class MessagePlan(t.NamedTuple):
    """How a message is read.

    :param at_once: all fields can be converted by one call, which is faster.
    """

    tag: str
    fields: tuple[FieldPlan, ...]
    at_once: bool


MESSAGES: dict[str, type[t.Any]] = {}
PLANS: dict[type[t.Any], MessagePlan] = {}


def message(tag: str, whole: bool = False) -> t.Callable[[M], M]:
    """Register a message class under its tag on the wire.

    :param whole: its rows make sense only together, so that an odd one drops the message.
    """

    def register(cls: M) -> M:
        hints = t.get_type_hints(cls, include_extras=True)
        fields = tuple(_plan_field(name, hint, whole) for name, hint in hints.items())
        MESSAGES[tag] = cls
        PLANS[cls] = MessagePlan(tag, fields, all(len(field.rows) < 2 for field in fields))
        return cls

    return register


def _plan_field(name: str, hint: t.Any, whole: bool) -> FieldPlan:
    rows = () if whole else _row_types(hint)
    # Rows of several types are converted one by one.
    return FieldPlan(name, hint if len(rows) < 2 else list[t.Any], rows)


def _row_types(hint: t.Any) -> tuple[type[t.Any], ...]:
    """Return the types of a list's rows; none if it is no list of rows."""
    if t.get_origin(hint) in (t.Union, types.UnionType):
        found = [_row_types(one) for one in t.get_args(hint)]
        return next((one for one in found if one), ())
    if t.get_origin(hint) is not list:
        return ()
    (row,) = t.get_args(hint)
    return t.get_args(row) if t.get_origin(row) in (t.Union, types.UnionType) else (row,)


def _ignore(tag: str, reason: str) -> None:
    return None


def tag_of(item: t.Any) -> str:
    """Return a message's tag."""
    return PLANS[type(item)].tag


def decode(raw: t.Any, note: NoteDropped = _ignore) -> t.Any:
    """Decode unpacked data to a message, without the rows that are malformed.

    :raises PeerError: if it is not a message of this version.
    """
    if not isinstance(raw, list) or not raw or not isinstance(raw[0], str):
        raise PeerError("unknown message")
    cls = MESSAGES.get(raw[0])
    if cls is None:
        raise PeerError("unknown message")
    plan = PLANS[cls]
    if len(raw) - 1 != len(plan.fields):
        raise PeerError(f"{plan.tag}: {len(plan.fields)} fields were expected")
    if plan.at_once:
        try:
            return msgspec.convert(raw[1:], cls)
        except msgspec.ValidationError:
            # Which of its values is malformed shows below.
            pass
    values = zip(plan.fields, raw[1:], strict=True)
    return cls(*(_read_field(plan.tag, field, value, note) for field, value in values))


def _read_field(tag: str, field: FieldPlan, value: t.Any, note: NoteDropped) -> t.Any:
    if field.rows and isinstance(value, list):
        return _read_rows(tag, field, value, note)
    try:
        return msgspec.convert(value, field.type)
    except msgspec.ValidationError as error:
        raise PeerError(f"{tag}: {field.name}: {error}") from None


def _read_rows(tag: str, field: FieldPlan, rows: list[t.Any], note: NoteDropped) -> list[t.Any]:
    """Return the rows that have their type; each other one is noted."""
    found = []
    for row in rows:
        try:
            found.append(msgspec.convert(row, _choose_type(field.rows, row)))
        except msgspec.ValidationError as error:
            note(tag, f"{field.name}: {error}")
    return found


def _choose_type(types_: tuple[type[t.Any], ...], row: t.Any) -> t.Any:
    if len(types_) == 1 or not isinstance(row, list):
        return types_[0]
    return next((one for one in types_ if len(one._fields) == len(row)), types_[0])


def encode(item: t.Any) -> bytes:
    """Encode a message as bytes, without the rows that can't be encoded.

    :return: empty if the message can't be encoded without them either.
    """
    try:
        data = _pack([tag_of(item), *item])
    except ENCODING_ERRORS as error:
        return _encode_rest(item, f"{type(error).__name__}: {error}")
    if len(data) > defaults.FRAME_BYTES_MAX:
        return _encode_rest(item, f"{len(data)} bytes")
    return data


def _encode_rest(item: t.Any, reason: str) -> bytes:
    plan = PLANS[type(item)]
    values = zip(plan.fields, item, strict=True)
    rest = [_without_odd(plan.tag, field, value) for field, value in values]
    try:
        return _pack([plan.tag, *rest])
    except ENCODING_ERRORS:
        note_unsendable(plan.tag, f"the message: {reason}")
        return b""


def _without_odd(tag: str, field: FieldPlan, value: t.Any) -> t.Any:
    """Return a field's value without the rows that can't be encoded; each of these is noted."""
    if not field.rows or not isinstance(value, list):
        return value
    found = []
    for row in value:
        try:
            size = len(_pack(row))
        except ENCODING_ERRORS as error:
            note_unsendable(tag, f"{field.name}: {type(error).__name__}: {error}")
            continue
        if size <= defaults.ROW_BYTES_MAX:
            found.append(row)
        else:
            note_unsendable(tag, f"{field.name}: a row of {size} bytes")
    return found


def _pack(value: t.Any) -> bytes:
    return t.cast(bytes, msgpack.packb(value, use_bin_type=True))
