"""Bounds of values that others wrote, checked before a value is kept.

A value beyond them can't be compared, printed or sent to other nodes without an error, and would
stop more than itself. Used where the bytes of the platform, of other nodes and of callers become
values.
"""

import math
import typing as t

# Levels of arrays and objects within each other. What is written here has fewer than ten; the
# interpreter can compare and print some hundreds.
DEPTH_MAX = 32
# Least and greatest whole number that a message between nodes holds: 64 bits.
WHOLE_MIN = -(2**63)
WHOLE_MAX = 2**64 - 1
# Values within one value, at all levels.
VALUES_MAX = 1_000_000
# Characters of one key, and of a whole path, that an error quotes.
KEY_QUOTED_MAX = 40
PATH_QUOTED_MAX = 160

# The last key or index, after the path of the value that contains it.
Path = tuple[t.Any, ...]
Check = t.Callable[[t.Any], str]


def check_value(value: t.Any, name: str = "") -> None:
    """Check that a decoded JSON value is within the bounds.

    Takes time in proportion to the value's size, and doesn't recurse.

    :param name: of the value, with which the path in an error begins.
    :raises ValueError: if it is not; the message names the path, such as ``spec.x.2``.
    """
    what = _check_scalar(value)
    if what:
        raise _make_error(name, (), what)
    level: list[tuple[Path, t.Any]] = [((), value)] if type(value) in _CONTAINERS else []
    depth = 0
    seen = 0
    while level:
        depth += 1
        if depth > DEPTH_MAX:
            raise _make_error(name, level[0][0], f"nested deeper than {DEPTH_MAX} levels")
        inner: list[tuple[Path, t.Any]] = []
        for path, container in level:
            seen += len(container)
            _check_container(name, path, container, inner)
        if seen > VALUES_MAX:
            raise _make_error(name, (), f"more than {VALUES_MAX} values")
        level = inner


def _check_container(
    name: str, path: Path, container: t.Any, inner: list[tuple[Path, t.Any]]
) -> None:
    """Check the scalars of an array or object, and add those that are containers to ``inner``."""
    is_object = type(container) is dict
    for key, value in container.items() if is_object else enumerate(container):
        if is_object and (type(key) is not str or _check_text(key)):
            raise _make_error(name, path, "a key is no text of UTF-8")
        kind = type(value)
        if kind in _CONTAINERS:
            inner.append(((path, key), value))
        elif what := _CHECKS.get(kind, _check_other)(value):
            raise _make_error(name, (path, key), what)


def _check_scalar(value: t.Any) -> str:
    """Return what is wrong with a value itself, regardless of those within it; empty if nothing."""
    if type(value) in _CONTAINERS:
        return ""
    return _CHECKS.get(type(value), _check_other)(value)


def _check_text(value: str) -> str:
    if value.isascii():
        return ""
    try:
        value.encode()
    except UnicodeEncodeError:
        return "text that UTF-8 can't hold"
    return ""


def _check_whole(value: int) -> str:
    return "" if WHOLE_MIN <= value <= WHOLE_MAX else "a number of more than 64 bits"


def _check_float(value: float) -> str:
    return "" if math.isfinite(value) else "a number that is too large or none"


def _check_other(value: t.Any) -> str:
    return f"a {type(value).__name__} is no JSON value"


def _accept(value: t.Any) -> str:
    return ""


_CONTAINERS = (dict, list)
_CHECKS: dict[type[t.Any], Check] = {
    str: _check_text,
    int: _check_whole,
    float: _check_float,
    bool: _accept,
    type(None): _accept,
}


def _make_error(name: str, path: Path, what: str) -> ValueError:
    keys: list[str] = []
    while path:
        path, key = path
        keys.append(quote_text(str(key), KEY_QUOTED_MAX))
    joined = ".".join([name, *reversed(keys)] if name else reversed(keys))
    return ValueError(f"{joined[:PATH_QUOTED_MAX] or 'value'}: {what}")


def quote_text(text: str, most: int) -> str:
    """Return the beginning of a text that others wrote, printable, for an error or a log line.

    :param most: the greatest number of characters of it that are quoted.
    """
    cut = text[:most]
    return cut if cut.isprintable() else ascii(cut)[1:-1]
