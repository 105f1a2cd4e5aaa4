"""A table of the ends of answers: all combinations of how an answer ends, why, and for whom.

A row is one request and the run that its last attempt meets. Combinations that can't occur are left
out by ``EXCLUSIONS``; ends that the platform's protocol leaves a node no means to doubt are named
in ``UNTOLD``. The rest has to hold for every row: see :mod:`ends_checks`.
"""

import itertools
import typing as t

FRAMINGS = ("length", "chunks", "neither")
# The last byte of the whole answer; a close or a reset before it; nothing more; a last chunk too
# early.
ENDS = ("last byte", "fin", "rst", "silence", "clean early")
# A process that is leaving exits with the end; one that lingers has told that it leaves, and lives
# on. A crash is an exit that nothing told; a run is dropped by a process that lives on and told
# nothing.
CAUSES = (
    "done",
    "deadline",
    "leaving",
    "lingering",
    "crash",
    "dropped",
    "preempted",
    "moved",
)
# At the first run; at the second one of the same request, after a cut; at the endpoint of another
# node, which serves the request for the first.
PLACES = ("first run", "resumed", "handed over")
CALLERS = ("reads", "reads slowly", "leaves", "takes up")
KINDS = ("stream", "resumable", "safe", "unsafe")
# How much of its answer a run has sent as it ends: the head alone, some events or half of a body,
# half an event more, or all.
POINTS = ("head", "some", "torn", "all")
STREAMS = ("stream", "resumable")
# Whose process exits with the end; that leave, as is told.
EXITS = ("leaving", "crash")
STOPS = ("leaving", "lingering")
REPEATABLE = ("resumable", "safe")
CLEAN_EARLY = "clean early"
# Whose process lives on behind the end of a run that it didn't finish.
ALIVE = ("dropped", "preempted", "moved", "lingering")


class Row(t.NamedTuple):
    """One combination; the fields are of the tuples above."""

    framing: str
    end: str
    cause: str
    place: str
    caller: str
    kind: str
    point: str

    def __str__(self) -> str:
        return ", ".join(self)


class Note(t.NamedTuple):
    """Rows that have something in common, and the reason for which they are noted.

    :param holds: whether a row is one of them.
    """

    name: str
    reason: str
    holds: t.Callable[[Row], bool]


EXCLUSIONS = (
    Note(
        "the last byte ends a run that goes on to its end",
        "a run that is dropped, moved or out of time does not reach its last byte",
        lambda row: row.end == "last byte" and row.cause in ("deadline", "dropped", "moved"),
    ),
    Note(
        "all is sent by the last byte, or by a run that is done",
        "any other end comes before all is made; these are the same row at each point",
        lambda row: (row.point == "all") != (row.end == "last byte" or row.cause == "done"),
    ),
    Note(
        "a run that is done can lack the sign of its end alone",
        "after the last byte of a length nothing is lacking, and a close is the sign of neither",
        lambda row: (
            row.cause == "done"
            and row.end != "last byte"
            and (row.framing == "length" or (row.framing == "neither" and row.end == "fin"))
        ),
    ),
    Note(
        "a clean end too early is a last chunk",
        "a length is stated ahead, and without length and chunks it is the close (fin)",
        lambda row: row.end == "clean early" and (row.framing != "chunks" or row.cause == "done"),
    ),
    Note(
        "a moved run's stream is closed without its end",
        "the platform's page says so of POST /kv-move; by a close or a reset",
        lambda row: row.cause == "moved" and row.end not in ("fin", "rst"),
    ),
    Note(
        "only streams are moved",
        "a move returns the events so far, and a run without events has none",
        lambda row: row.cause == "moved" and row.kind not in STREAMS,
    ),
    Note(
        "only what may be repeated has a second run",
        "any other request is sent once",
        lambda row: row.place == "resumed" and row.kind not in REPEATABLE,
    ),
    Note(
        "only a resumable stream is taken up",
        "Last-Event-Id belongs to these routes",
        lambda row: row.caller == "takes up" and row.kind != "resumable",
    ),
    Note(
        "only events are torn",
        "a body has none, and half of it is sent as some",
        lambda row: row.point == "torn" and row.kind not in STREAMS,
    ),
)

# These are told to callers as complete, though they are not. Each names what a node would need.
UNTOLD = (
    Note(
        "a run that is dropped or preempted, ended cleanly",
        "no answer or entry tells that a run was given up, and reports are some hundred ms old",
        lambda row: row.end == CLEAN_EARLY and row.cause in ("dropped", "preempted"),
    ),
    Note(
        "a stream without length and chunks that is closed alone, by an endpoint that lives on",
        "a whole one is closed alike, nothing else ends with it, and no further run is left to ask",
        lambda row: (
            row.end == "fin"
            and row.cause in ALIVE
            and not _may_be_resumed(row)
            and not _is_asked_elsewhere(row)
        ),
    ),
    Note(
        "a body that comes at once and is ended cleanly just before a crash",
        "a crash announces nothing, and no stop ends in its midst what is written at once",
        lambda row: (
            row.end == CLEAN_EARLY
            and row.cause == "crash"
            and row.kind not in STREAMS
            and row.point == "head"
        ),
    ),
    Note(
        "a body that a leaving endpoint ends cleanly, and lives on",
        "what leaves serves on for as long as it likes, and most bodies there are whole",
        lambda row: row.end == CLEAN_EARLY and row.cause == "lingering" and row.kind not in STREAMS,
    ),
    Note(
        "the only stream of one attempt at a leaving endpoint that ends it cleanly and lives on",
        "one that finishes its runs does the same, and of this one there is no copy",
        lambda row: row.end == CLEAN_EARLY and row.cause == "lingering" and row.kind == "stream",
    ),
)

# These are whole, and are not told as complete: no sign tells their end from one that a stop of
# their endpoint brought about, and no attempt is left by which the rest could be asked for.
DOUBTED = (
    Note(
        "a stream that ends just before its process",
        "a server that stops ends its runs cleanly before it exits",
        lambda row: row.framing == "chunks" and row.cause in EXITS,
    ),
    Note(
        "a stream that ends as its leaving endpoint runs nothing else",
        "a server that stops may end all its runs and live on, and its caller may take it up",
        lambda row: row.cause == "lingering" and row.kind in REPEATABLE,
    ),
)


def list_rows() -> list[Row]:
    """Return all rows that no exclusion leaves out, in the order of the tuples."""
    axes = (FRAMINGS, ENDS, CAUSES, PLACES, CALLERS, KINDS, POINTS)
    rows = (Row(*values) for values in itertools.product(*axes))
    return [row for row in rows if not any(note.holds(row) for note in EXCLUSIONS)]


def find_untold(row: Row) -> str:
    """Return the name under which ``UNTOLD`` has a row; empty if a node can tell its end."""
    if not _is_orderly_early(row) or row.point == "torn" or row.caller == "leaves":
        return ""
    is_bare = row.point == "head" and row.kind in STREAMS
    if is_bare and (row.framing == "neither" or not _has_events_before(row)):
        # A whole stream has an event, and a close right after its head is a likely cut.
        return ""
    return next((note.name for note in UNTOLD if note.holds(row)), "")


def find_doubted(row: Row) -> str:
    """Return the name under which ``DOUBTED`` has a row; empty if its end has to be believed."""
    if row.end != "last byte" or row.framing == "length" or row.kind not in STREAMS:
        return ""
    if row.caller in ("leaves", "takes up"):
        return ""
    if row.kind in REPEATABLE and row.place != "resumed":
        return ""
    return next((note.name for note in DOUBTED if note.holds(row)), "")


def _is_orderly_early(row: Row) -> bool:
    """Return whether a run that isn't done ends as a whole one does."""
    if row.end == CLEAN_EARLY:
        return True
    is_open = row.framing == "neither" and row.end == "fin"
    return is_open and row.cause != "done" and row.kind in STREAMS


def _may_be_resumed(row: Row) -> bool:
    return row.kind in REPEATABLE and row.place != "resumed"


def _is_asked_elsewhere(row: Row) -> bool:
    """Return whether an end at a leaving endpoint is doubted, as others could be asked."""
    return row.cause == "lingering" and row.kind in REPEATABLE


def _has_events_before(row: Row) -> bool:
    """Return whether the caller of a stream has events from before the run that ends."""
    return row.place == "resumed" or row.caller == "takes up"


def cover(rows: t.Sequence[Row]) -> list[Row]:
    """Choose rows that have each framing, end and cause together, and each pair of any fields.

    The three come with a stream and with a body, of which a caller sees the end; each note of
    ``UNTOLD`` and ``DOUBTED`` comes with each kind of request that it has.
    The row that adds most to what was chosen before comes next.
    """
    left = {row: _list_combinations(row) for row in rows}
    missing = set().union(*left.values())
    chosen = []
    while missing:
        best = max(left, key=lambda row: len(left[row] & missing))
        chosen.append(best)
        missing -= left.pop(best)
    return chosen


def _list_combinations(row: Row) -> set[tuple[tuple[str, str], ...]]:
    fields = list(zip(Row._fields, row, strict=True))
    untold = (("untold", find_untold(row)), ("kind", row.kind))
    doubted = (("doubted", find_doubted(row)), ("kind", row.kind))
    found: set[tuple[tuple[str, str], ...]] = {*itertools.combinations(fields, 2), untold, doubted}
    if row.caller != "leaves":
        stream = ("stream", str(row.kind in STREAMS))
        found.add((*fields[:3], stream))
        found.add((*fields[:2], fields[-1], stream))
    return found
