"""What a log stream tells of one request: its own lines, and those that explain them.

Nodes write one ``key=value`` line a decision. Whatever stands before ``event=`` is kept
as it is; where it begins with a number, that is the time, in seconds.
"""

import re
import typing as t

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# Lines of other subjects count as related when they lie this close to the request's own,
# in seconds: an endpoint's entry lapses three seconds after it fell silent.
NEAR_S = 5.0
# Events that change what all requests meet.
_COMMON = frozenset({"platform_down", "platform_up", "lease_acquired", "node_draining"})


class Line(t.NamedTuple):
    """One line of a log.

    :param at: seconds; None where the line does not begin with a number.
    """

    at: float | None
    node: str
    event: str
    fields: t.Mapping[str, str]
    text: str


class Timeline(t.NamedTuple):
    """A request's own lines, those that may explain them, and what they come to."""

    own: tuple[Line, ...]
    related: tuple[Line, ...]
    verdict: str


def read_line(text: str) -> Line | None:
    """Read a line; None where it is no event."""
    head, sign, rest = text.partition("event=")
    if not sign:
        return None
    words = head.split()
    fields = {key: value.strip('"') for key, value in _PAIR.findall("event=" + rest)}
    event = fields.pop("event", "")
    try:
        at = float(words[0]) if words else None
    except ValueError:
        at = None
    node = words[1] if at is not None and len(words) > 1 else ""
    return Line(at, node, event, fields, text.rstrip("\n"))


def explain(lines: t.Iterable[str], request_id: str) -> Timeline | None:
    """Find what a log tells of a request; None where it does not name it."""
    read = [line for text in lines if (line := read_line(text)) is not None]
    own = tuple(line for line in read if line.fields.get("id") == request_id)
    if not own:
        return None
    subjects = _subjects(own)
    related = tuple(
        line
        for line in read
        if "id" not in line.fields and _near(line, own) and _concerns(line, own[-1].node, subjects)
    )
    return Timeline(own, related, _judge(own, read))


def _subjects(own: t.Iterable[Line]) -> frozenset[str]:
    """Name the endpoints and the model that a request met."""
    names = {line.fields.get(key, "") for line in own for key in ("endpoint", "model")}
    for line in own:
        # ``503 absent: MODEL is on none of …``
        missing = re.match(r"503 absent: (\S+) is on none", line.fields.get("why", ""))
        if missing:
            names.add(missing[1].partition("/")[0])
    return frozenset(names - {""})


def _near(line: Line, own: tuple[Line, ...]) -> bool:
    times = [one.at for one in own if one.at is not None]
    if line.at is None or not times:
        return True
    return min(times) - NEAR_S <= line.at <= max(times) + NEAR_S


def _concerns(line: Line, node: str, subjects: frozenset[str]) -> bool:
    if line.event in _COMMON:
        return line.event == "lease_acquired" or line.node == node
    if line.event in ("endpoint_gone", "endpoint_listed") and line.node != node:
        # Every node writes these; the request's own is enough.
        return False
    words = set(re.findall(r"[\w.-]+", " ".join(line.fields.values())))
    return bool(words & subjects)


def _judge(own: tuple[Line, ...], read: list[Line]) -> str:
    end = next((line for line in reversed(own) if line.event == "request_ended"), None)
    if end is None:
        return "no end was logged: its node was stopped, or dropped lines (lines_dropped)"
    outcome = end.fields.get("outcome", "")
    took = end.fields.get("took_s", "?")
    why = end.fields.get("why", "")
    failed = [line for line in own if line.event == "attempt_failed"]
    text = f"{outcome} after {took} s: {why}"
    if not failed:
        return text
    endpoint = failed[-1].fields.get("endpoint", "")
    others = [
        line
        for line in read
        if line.event == "attempt_failed"
        and line.fields.get("endpoint") == endpoint
        and line.fields.get("id") != own[0].fields["id"]
        and _near(line, own)
    ]
    return f"{text}; {len(others)} other attempts failed at {endpoint} within {NEAR_S:g} s of it"
