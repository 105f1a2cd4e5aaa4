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
