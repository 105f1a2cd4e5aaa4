"""Timelines of single requests from the nodes' logs: their lines, and related events.

A node logs each event as a line of ``key=value`` pairs that begins with ``event=``. Log
collectors may add a prefix. If the prefix begins with a number, that is the time in seconds, and
its second word is the node.
"""

import re
import typing as t

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# Other lines count as related up to this many seconds before and after those of the request. It
# exceeds the 3 s after which the entry of an endpoint that stopped responding lapses.
RELATED_WITHIN_S = 5.0
# Events that affect all requests at a node.
_NODE_WIDE_EVENTS = frozenset({"platform_down", "platform_up", "lease_acquired", "node_draining"})


class LogLine(t.NamedTuple):
    """A logged event.

    :param at: time in seconds; None if the line does not begin with a number.
    :param node: name of the node; empty if the line does not name it.
    :param fields: the other pairs, without quotes.
    :param text: the whole line, with its prefix.
    """

    at: float | None
    node: str
    event: str
    fields: t.Mapping[str, str]
    text: str


class Timeline(t.NamedTuple):
    """What a log contains about a request.

    :param own_lines: the lines that carry the request's ID.
    :param related_lines: events close in time that may have affected the request.
    :param summary: how the request ended, in one sentence.
    """

    own_lines: tuple[LogLine, ...]
    related_lines: tuple[LogLine, ...]
    summary: str


def parse_line(text: str) -> LogLine | None:
    """Parse a line; returns None if it is not an event."""
    prefix, separator, rest = text.partition("event=")
    if not separator:
        return None
    words = prefix.split()
    fields = {key: value.strip('"') for key, value in _PAIR.findall("event=" + rest)}
    event = fields.pop("event", "")
    try:
        at = float(words[0]) if words else None
    except ValueError:
        at = None
    node = words[1] if at is not None and len(words) > 1 else ""
    return LogLine(at, node, event, fields, text.rstrip("\n"))


def build_timeline(lines: t.Iterable[str], request_id: str) -> Timeline | None:
    """Collect the lines of a request and the related ones; None if no line carries its ID.

    They are in the order of their times, since logs of several nodes may stand one after another;
    in the order given if a line has no time.
    """
    events = [line for text in lines if (line := parse_line(text)) is not None]
    if all(line.at is not None for line in events):
        events.sort(key=lambda line: line.at or 0.0)
    own = tuple(line for line in events if line.fields.get("id") == request_id)
    if not own:
        return None
    subjects = _find_subjects(own)
    related = tuple(
        line
        for line in events
        if "id" not in line.fields
        and _is_close(line, own)
        and _is_related(line, own[-1].node, subjects)
    )
    return Timeline(own, related, _summarise(own, events))


def _find_subjects(own: t.Iterable[LogLine]) -> frozenset[str]:
    """Return the names of the models and endpoints that a request used or was refused for."""
    names = {line.fields.get(key, "") for line in own for key in ("endpoint", "model")}
    for line in own:
        # A request for a model without replicas: ``503 absent: MODEL is on none of …``.
        absent = re.match(r"503 absent: (\S+) is on none", line.fields.get("why", ""))
        if absent:
            names.add(absent[1].partition("/")[0])
    return frozenset(names - {""})


def _is_close(line: LogLine, own: tuple[LogLine, ...]) -> bool:
    times = [one.at for one in own if one.at is not None]
    if line.at is None or not times:
        return True
    return min(times) - RELATED_WITHIN_S <= line.at <= max(times) + RELATED_WITHIN_S


def _is_related(line: LogLine, node: str, subjects: frozenset[str]) -> bool:
    if line.event in _NODE_WIDE_EVENTS:
        return line.event == "lease_acquired" or line.node == node
    if line.event in ("endpoint_gone", "endpoint_listed") and line.node != node:
        # All nodes log these, so only the lines of the request's node are used.
        return False
    words = set(re.findall(r"[\w.-]+", " ".join(line.fields.values())))
    return bool(words & subjects)


def _summarise(own: tuple[LogLine, ...], events: list[LogLine]) -> str:
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
        for line in events
        if line.event == "attempt_failed"
        and line.fields.get("endpoint") == endpoint
        and line.fields.get("id") != own[0].fields["id"]
        and _is_close(line, own)
    ]
    return (
        f"{text}; {len(others)} other attempts failed at {endpoint} "
        f"within {RELATED_WITHIN_S:g} s of it"
    )
