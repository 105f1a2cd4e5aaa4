"""Traces of failed checks of real processes: nodes' logs, endpoints' records, and what happened.

All go into a folder that stays. A few lines about the requests that a failure names go into its
text, so that it can be traced where nothing but the output is kept.
"""

import pathlib
import re
import tempfile
import typing as t

from .model_server import ModelServer
from .processes import ProcessStage

# Failures that are traced in the text, lines of each, and characters of a line.
FAILURES_MAX = 5
LINES_MAX = 60
LINE_CHARACTERS_MAX = 400
# How long before the first and after the last line of a request other lines belong to its trace, in
# seconds.
BEFORE_S = 5.0
AFTER_S = 0.5
# What happened to nodes and the store, beside the lines of a request itself.
LANDMARKS = (
    "event=node_",
    "event=platform_",
    "event=store_era",
    "event=lease_acquired",
    "event=handover_began",
    "trouble=",
    "endpoint_start=",
    "endpoint_end=",
)
_AT = re.compile(r"^at=(\d+\.\d+) ")
_KEY = re.compile(r"\bkey=(\S+)")
# The ids that callers give their requests.
_ID = re.compile(r"\b[qs]\d+\b")


class TraceLine(t.NamedTuple):
    """One line of a trace.

    :param at: its time by the box's monotonic clock, in seconds.
    :param source: the node or endpoint that wrote it, or ``soak``.
    """

    at: float
    source: str
    text: str


def trace_failures(
    stage: ProcessStage,
    failures: t.Sequence[str],
    related: t.Mapping[str, t.Sequence[str]],
    began: t.Iterable[tuple[float, str]],
) -> list[str]:
    """Keep the records of a stage that has stopped, and return the failures with their traces.

    :param related: the ids of all requests of a stream, by that of its first.
    :param began: the troubles, each with the time of its begin.
    """
    if not failures:
        return []
    lines = _collect_lines(stage)
    lines += [TraceLine(at, "soak", f'trouble="{name}"') for at, name in began]
    lines.sort()
    folder = _keep(stage, lines)
    traced = [
        f"{failure}\n" + "\n".join(_trace(lines, _find_ids(failure, related)))
        for failure in failures[:FAILURES_MAX]
    ]
    traced += failures[FAILURES_MAX:]
    traced[-1] += f"\nthe nodes' logs and all lines are in {folder}"
    return traced


def _keep(stage: ProcessStage, lines: t.Iterable[TraceLine]) -> pathlib.Path:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="rookspring-soak-"))
    for node in stage.nodes:
        (folder / f"{node.name}.log").write_text(node.log_text)
    merged = "".join(f"{_write(line)}\n" for line in lines)
    (folder / "merged.log").write_text(merged)
    return folder


def _collect_lines(stage: ProcessStage) -> list[TraceLine]:
    lines = [line for server in stage.servers for line in _endpoint_lines(server)]
    for node in stage.nodes:
        at = 0.0
        for text in node.log_text.splitlines():
            # A line without a time, as of a traceback, follows the one before.
            if stamp := _AT.match(text):
                at = float(stamp[1])
            lines.append(TraceLine(at, node.name, _AT.sub("", text)))
    return lines


def _endpoint_lines(server: ModelServer) -> t.Iterator[TraceLine]:
    about = f"version={server.version} address={server.address}"
    yield TraceLine(server.works_from, server.name, f"endpoint_start={server.name} {about}")
    if server.ended:
        yield TraceLine(server.works_until, server.name, f"endpoint_end={server.name} {about}")
    for one in server.received:
        after = one.headers.get("last-event-id", "")
        resumes = one.headers.get("resumes", "")
        text = f"received={one.request_id} after={after} resumes={resumes} {about}"
        yield TraceLine(one.at, server.name, text)


def _find_ids(failure: str, related: t.Mapping[str, t.Sequence[str]]) -> set[str]:
    """Return the ids of requests that a failure names, and of those of the same streams."""
    named = _ID.findall(failure)
    return {ident for one in named for ident in (one, *related.get(one, ()))}


def _trace(lines: t.Sequence[TraceLine], ids: t.Collection[str]) -> list[str]:
    own = _lines_of(lines, ids)
    if not own:
        return []
    begins_at = min(line.at for line in own) - BEFORE_S
    ends_at = max(line.at for line in own) + AFTER_S
    about = [
        line
        for line in lines
        if begins_at <= line.at <= ends_at and line.text.startswith(LANDMARKS)
    ]
    room = max(0, LINES_MAX - len(own))
    chosen = sorted({*own[:LINES_MAX], *about[len(about) - min(room, len(about)) :]})
    return [_write(line)[:LINE_CHARACTERS_MAX] for line in chosen]


def _lines_of(lines: t.Sequence[TraceLine], ids: t.Collection[str]) -> list[TraceLine]:
    """Return the lines of some requests: those with their ids, or with their keys at nodes."""
    if not ids:
        return []
    named = re.compile(rf"=(?:{'|'.join(map(re.escape, sorted(ids)))})(?=\s|$)")
    own = [line for line in lines if named.search(line.text)]
    keys = {(line.source, key[1]) for line in own if (key := _KEY.search(line.text))}
    by_key = [
        line for line in lines if (key := _KEY.search(line.text)) and (line.source, key[1]) in keys
    ]
    return sorted({*own, *by_key})


def _write(line: TraceLine) -> str:
    return f"{line.at:.4f} {line.source} {line.text}"
