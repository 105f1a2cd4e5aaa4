"""Messages between nodes with sound and odd values, made from the types of their fields.

All registered messages are covered, also those that are added later.
"""

import types
import typing as t

import msgpack

from rookspring.messages import MESSAGES
from rookspring.messages import Heartbeat

# Values that are no row of any message.
ODD_ROWS = (None, 5, "x", [], [[]], {}, ["x"], [None] * 40, [float("nan")] * 2, ["e", float("inf")])
# Values that have their type, by type.
EXTREMES = {
    bool: (True,),
    int: (-1, 0, 2**31, 2**63, 2**64 - 1, -(2**63)),
    float: (-1e15, -1.0, 0.0, 5e-324, 1e15, 2**63),
    str: ("", "x" * 5000, "\x00", "\u00e9\n", "i0", "place/i0", "endpoint/i0"),
    bytes: (b"", b"x" * 5000),
}
# Values that no message can carry.
UNSENDABLE = (10**400, "\ud800", object())


def sample(hint):
    """Return a sound value of a type, as msgpack unpacks it."""
    origin = t.get_origin(hint)
    if origin is t.Annotated:
        return sample(t.get_args(hint)[0])
    if origin in (t.Union, types.UnionType):
        return sample(t.get_args(hint)[0])
    if origin is list:
        return [sample(t.get_args(hint)[0])]
    if origin is tuple:
        return [sample(one) for one in t.get_args(hint) if one is not Ellipsis]
    if hasattr(hint, "_fields"):
        return [sample(one) for one in t.get_type_hints(hint, include_extras=True).values()]
    if hint in (t.Any, dict) or origin is dict:
        return {}
    return {int: 1, float: 1.5, str: "x", bool: False, bytes: b"x"}[hint]


def hints_of(cls):
    return t.get_type_hints(cls, include_extras=True)


def sample_message(tag):
    """Return a sound message of a kind, as msgpack unpacks it."""
    return [tag, *(sample(hint) for hint in hints_of(MESSAGES[tag]).values())]


def odd_messages(tag):
    """Yield messages of a kind of which one value or row is odd."""
    sound = sample_message(tag)
    for place, value in enumerate(sound[1:], 1):
        for odd in (object, *ODD_ROWS):
            if isinstance(value, list):
                rows = [*value, odd, *value] if odd is not object else 5
                yield [*sound[:place], rows, *sound[place + 1 :]]
            else:
                yield [*sound[:place], {} if odd is object else odd, *sound[place + 1 :]]


def extreme_messages(tag):
    """Yield messages of a kind of which one value has its type, and is extreme."""
    sound = sample_message(tag)
    for place, value in enumerate(sound[1:], 1):
        for other in _extremes(value):
            yield [*sound[:place], other, *sound[place + 1 :]]


def _extremes(value):
    """Return values like one, of which one part is extreme."""
    if isinstance(value, list):
        found = [
            [*value[:at], one, *value[at + 1 :]]
            for at, part in enumerate(value)
            for one in _extremes(part)
        ]
        return [[], *found]
    return EXTREMES.get(type(value), ())


def row_fields(tag):
    """Return the places in a message of the fields that have rows."""
    return [place for place, value in enumerate(sample_message(tag)) if isinstance(value, list)]


def pack(raw):
    return msgpack.packb(raw, use_bin_type=True)


def unpack(data):
    return msgpack.unpackb(data, raw=False)


def heartbeat(name, revision=0):
    """Return a sound heartbeat of a node."""
    return Heartbeat(
        name, f"{name}#1", "127.0.0.1:1", "127.0.0.1:1", "z1", revision, False, [], [], 0, []
    )
