"""Checks of the load of ways: the callers' record against the runners' record.

``FAULTS`` are counted against the nodes; ``TOLD`` are counted beside them, since callers may count
them too: what a check returns is one line for each case.
"""

import itertools
import typing as t

from .ways_records import KINDS
from .ways_records import Call
from .ways_records import Event
from .ways_records import Run
from .ways_runner import JSON

# What the causes of ends begin with that nothing tells a node.
UNTOLD = "untold-"
# The time that runners are told beyond their node's own, and the time before its own end within
# which a node can't look at their process any more, in seconds.
TOLD_BEYOND_S = 0.1
LOOKS_S = 0.1

Check = t.Callable[[list[Call], list[Run]], list[str]]
FAULTS: dict[str, Check] = {}
TOLD: dict[str, Check] = {}


def counts(name: str, where: dict[str, Check]) -> t.Callable[[Check], Check]:
    """Register a check under the name that tables have it by."""

    def register(check: Check) -> Check:
        where[name] = check
        return check

    return register


def _tell(call: Call) -> str:
    parts = [
        f"{one.ident}@{one.node} {one.status}{' whole' if one.whole else ''} "
        f"{[(event.number, event.runner, event.version) for event in one.events]}"
        for one in call.parts
    ]
    return f"{call.kind}{' piped' if call.piped else ''}: " + "; ".join(parts)


def _find_changes(events: t.Sequence[Event], runs: list[Run]) -> list[bool]:
    """Return for each change of version whether the route had moved to the second's service.

    It counts as moved only if it was between the only two runs that can have made these events.
    """
    changes = []
    for one, other in itertools.pairwise(events):
        if one.version != other.version:
            first = [run for run in runs if (run.ident, run.runner) == (one.ident, one.runner)]
            then = [run for run in runs if (run.ident, run.runner) == (other.ident, other.runner)]
            known = len(first) == len(then) == 1 and first[0].service != then[0].service
            changes.append(known and first[0].at < then[0].moved_at < then[0].at)
    return changes


def _streams(calls: list[Call]) -> list[Call]:
    return [one for one in calls if KINDS[one.kind].events and not one.again]


@counts("early", FAULTS)
def find_early(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams that ended as whole ones before their last event, as some sign told a node."""
    return [
        f"{_tell(call)} {_find_causes(call, runs)}"
        for call in _streams(calls)
        if _is_early(call) and not _is_untold(call, runs)
    ]


def _is_early(call: Call) -> bool:
    return call.parts[-1].ended and max(call.numbers, default=0) != KINDS[call.kind].events


def _find_causes(call: Call, runs: list[Run]) -> list[str]:
    """Return why runs of its last request were ended in their midst."""
    return [run.cause for run in runs if run.ident == call.parts[-1].ident and run.cause]


def _is_untold(call: Call, runs: list[Run]) -> bool:
    return any(cause.startswith(UNTOLD) for cause in _find_causes(call, runs))


@counts("out of order", FAULTS)
def find_disorder(calls: list[Call], runs: list[Run]) -> list[str]:
    """Answers within which a number went back, or one was passed over."""
    found = []
    for call in _streams(calls):
        for at, part in enumerate(call.parts):
            numbers = [event.number for event in part.events]
            begun = numbers[0] if at and numbers else 1
            if numbers != list(range(begun, begun + len(numbers))):
                found.append(_tell(call))
    return found


@counts("twice", FAULTS)
def find_twice(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams of which a caller got an event twice, take-ups included."""
    return [_tell(one) for one in _streams(calls) if len(set(one.numbers)) < len(one.numbers)]


@counts("foreign", FAULTS)
def find_foreign(calls: list[Call], runs: list[Run]) -> list[str]:
    """Answers or events of another request, of two versions in one answer, or that no run made."""
    made: dict[tuple[str, str], int] = {}
    for run in runs:
        key = run.ident, run.runner
        made[key] = max(run.made, made.get(key, 0))
    return [
        _tell(call)
        for call in calls
        for part in call.parts
        if part.stated not in ("", part.ident)
        or any(one.ident != part.ident for one in part.events)
        or not all(_find_changes(part.events, runs))
        or any(one.number > made.get((one.ident, one.runner), 0) for one in part.events)
    ]


@counts("unrepeatable twice", FAULTS)
def find_repeated(calls: list[Call], runs: list[Run]) -> list[str]:
    """Requests that may run once only, and ran more often."""
    times: dict[str, list[str]] = {}
    for run in runs:
        if not run.copied:
            times.setdefault(run.ident, []).append(run.runner)
    return [
        f"{_tell(call)} ran at {times[part.ident]}"
        for call in calls
        for part in call.parts
        if KINDS[call.kind].once and not call.again and len(times.get(part.ident, ())) > 1
    ]


@counts("left out", FAULTS)
def find_left_out(calls: list[Call], runs: list[Run]) -> list[str]:
    """Take-ups that went on behind the event after the last one."""
    found = []
    for call in _streams(calls):
        last = 0
        for at, part in enumerate(call.parts):
            if at and part.events and part.events[0].number > last + 1:
                found.append(_tell(call))
            last = part.events[-1].number if part.events else last
    return found


@counts("bent", FAULTS)
def find_bent(calls: list[Call], runs: list[Run]) -> list[str]:
    """Bytes that no runner makes, in events or in whole answers."""
    return [f"{_tell(one)} {part.bent!r}" for one in calls for part in one.parts if part.bent]


@counts("two versions", FAULTS)
def find_versions(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams whose caller got events of two versions, by a take-up."""
    return [
        _tell(call)
        for call in _streams(calls)
        if not all(_find_changes([event for part in call.parts for event in part.events], runs))
        and all(all(_find_changes(part.events, runs)) for part in call.parts)
    ]


@counts("malformed", FAULTS)
def find_malformed(calls: list[Call], runs: list[Run]) -> list[str]:
    """Requests refused as malformed, which none is."""
    return [_tell(one) for one in calls if any(part.status == 400 for part in one.parts)]


@counts("new run", FAULTS)
def find_new_runs(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams that may not be resumed, with events of two runs, or asked for from the middle.

    A run that went on from a copy of another runner's is the same run.
    """
    late = {run.ident for run in runs if run.first > 1 and not run.copied}
    return [
        _tell(call)
        for call in _streams(calls)
        if not KINDS[call.kind].resumable
        and (call.parts[0].ident in late or _has_other_run(call, runs))
    ]


def _has_other_run(call: Call, runs: list[Run]) -> bool:
    """Return whether events follow those of another runner without a copy that went on."""
    events = [event for part in call.parts for event in part.events]
    copies = [run for run in runs if run.copied]
    return any(
        one.runner != other.runner and not any(_made(run, other) for run in copies)
        for one, other in itertools.pairwise(events)
    )


def _made(run: Run, event: Event) -> bool:
    """Return whether a run has made an event."""
    same = (run.ident, run.runner) == (event.ident, event.runner)
    return same and run.first <= event.number <= run.made


@counts("sound cut", FAULTS)
def find_sound_cut(calls: list[Call], runs: list[Run]) -> list[str]:
    """Answers that a runner ended well, with their connection, and whose callers got no end.

    Left out are those whose node, links or endpoint something else befell meanwhile, whatever
    planned stops, reloads and new configurations came as well, and those right before the end of
    their time, as there is none for a look.
    """
    return [text for text, calm in _list_sound_cut(calls, runs) if calm]


@counts("sound cut in trouble", TOLD)
def find_sound_cut_in_trouble(calls: list[Call], runs: list[Run]) -> list[str]:
    """Answers as of the check before, of those that it leaves out."""
    return [text for text, calm in _list_sound_cut(calls, runs) if not calm]


def _list_sound_cut(calls: list[Call], runs: list[Run]) -> list[tuple[str, bool]]:
    """Return each sound answer that was cut, with whether all was calm."""
    sound: dict[str, list[Run]] = {}
    for run in runs:
        if is_sound(run):
            sound.setdefault(run.ident, []).append(run)
    found = []
    for call in calls:
        for part in call.parts:
            if part.ident in sound and not call.again and not part.waited and not part.ended:
                # An end that comes when its node has given the run up is too late.
                own = [run for run in sound[part.ident] if run.ended_at <= part.ended_at]
                if not own:
                    continue
                calm = not part.disturbed and not any(_is_troubled(run) for run in own)
                ends = [(run.runner, run.ended_at, round(run.left_s, 3)) for run in own]
                text = f"{_tell(call)}, ended well by {ends}"
                found.append((text, calm))
    return found


def is_sound(run: Run) -> bool:
    """Return whether a run's whole answer ended with its connection, as far as a node can tell."""
    return run.ended == JSON or (run.ended == "close" and _made_all(run) and run.made > 0)


def _is_troubled(run: Run) -> bool:
    return run.disturbed or run.beside or run.left_s < TOLD_BEYOND_S + LOOKS_S


@counts("ended in midst", TOLD)
def find_ended(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams of which a runner ended a run cleanly in its midst."""
    return [_tell(call) for call in _streams(calls) if _find_causes(call, runs)]


@counts("early untold", TOLD)
def find_early_untold(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams that ended as whole ones too early, by an end that nothing tells a node."""
    return [
        f"{_tell(call)} {_find_causes(call, runs)}"
        for call in _streams(calls)
        if _is_early(call) and _is_untold(call, runs)
    ]


def _made_all(run: Run) -> bool:
    return run.kind in KINDS and run.made == KINDS[run.kind].events


@counts("cut sound", TOLD)
def find_cut_sound(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams of one attempt that their runner ended well, in chunks, and whose caller was cut."""
    whole = {run.ident for run in runs if run.ended == "chunks" and _made_all(run)}
    return [
        _tell(call)
        for call in _streams(calls)
        if KINDS[call.kind].once and call.parts[-1].ident in whole and not call.parts[-1].ended
    ]


@counts("moved", TOLD)
def find_moved(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams of two versions, whose route moved to another service between the two runs."""
    return [
        _tell(call)
        for call in _streams(calls)
        if any(_find_changes([event for part in call.parts for event in part.events], runs))
    ]


@counts("finished", TOLD)
def find_finished(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams that a run finished which went on from a copy."""
    copies = [run for run in runs if run.copied]
    return [
        _tell(call)
        for call in _streams(calls)
        if call.parts[-1].ended and any(_made(run, one) for run in copies for one in _last(call))
    ]


def _last(call: Call) -> list[Event]:
    """Return the last event of all its requests, if there is any."""
    return [event for part in call.parts for event in part.events][-1:]


@counts("unanswered", TOLD)
def find_unanswered(calls: list[Call], runs: list[Run]) -> list[str]:
    """Requests of which nothing came for longer than any limit, on open connections."""
    return [_tell(one) for one in calls if any(p.waited and not p.status for p in one.parts)]


@counts("two answers", TOLD)
def find_second_answers(calls: list[Call], runs: list[Run]) -> list[str]:
    """Ids that their callers sent twice, and that were answered in part or whole both times."""
    return [
        _tell(call)
        for call in calls
        if call.again and sum(part.status == 200 for part in call.parts) > 1
    ]


@counts("cut after last", TOLD)
def find_cut_ends(calls: list[Call], runs: list[Run]) -> list[str]:
    """Streams whose callers saw the last event, and then no end."""
    return [
        _tell(call)
        for call in _streams(calls)
        if not call.parts[-1].whole and max(call.numbers, default=0) == KINDS[call.kind].events
    ]
