"""Runs that this node ended while they were under way, at processes that lived on.

Such a run, ended by its deadline or as its caller left, shows that its request and the parts of its
prompt crash no process up to where its answer had come; a whole answer shows it to the end. Without
that, requests that all end at their deadline are under every crash of some minutes, and are
convicted by crashes that have other causes.

A request may crash processes late in its answer, and its callers' retries have less time left each.
So a run says nothing of crashes of runs that had come further, in events or in time.
"""

import collections
import math
import typing as t

from . import defaults

if t.TYPE_CHECKING:
    from .evidence import CrashRecord
    from .evidence import EndpointProcess


class RunLength(t.NamedTuple):
    """How far an answer had come: its events, and the seconds since the first of them."""

    events: int
    seconds: float

    def covers(self, other: "RunLength") -> bool:
        """Return whether a run of this length went through all that another had gone through."""
        return self.events >= other.events and self.seconds >= other.seconds


# Of a run that goes on with an answer that was begun elsewhere: nobody knows how far that had come.
UNKNOWN_LENGTH = RunLength(2**31, 1e9)


def join_lengths(one: RunLength | None, other: RunLength | None) -> RunLength | None:
    """Return the length that covers both; None is of a node that states none."""
    if one is None or other is None:
        return one or other
    return RunLength(max(one.events, other.events), max(one.seconds, other.seconds))


class SoundRun(t.NamedTuple):
    """A run after which its process lived on.

    :param subject: its request, or a part of its prompt; see ``evidence.subjects_of``.
    :param at: when it ended.
    """

    subject: str
    at: float
    length: RunLength


class EndedRun(t.NamedTuple):
    """A run that this node ended, and whose process may yet crash of it.

    :param heard_at: when something came from the process that it can't have sent before the run
        was over there; infinite if nothing has.
    """

    process: "EndpointProcess"
    subjects: tuple[str, ...]
    at: float
    length: RunLength
    heard_at: float = math.inf


def is_over(run: EndedRun, now: float) -> bool:
    """Return whether a run is too long ago for what is heard now to speak for it."""
    return now - run.at > defaults.CRASH_DETECTION_S


def note_heard(run: EndedRun, heard_at: float, now: float) -> EndedRun:
    """Note when something last came from the process of a run.

    An endpoint may go on with a run for ``ABANDONED_RUN_S`` after this node has ended it.
    """
    if run.heard_at <= now or heard_at < run.at + defaults.ABANDONED_RUN_S:
        return run
    return run._replace(heard_at=now)


def shows_life(run: EndedRun, now: float) -> bool:
    """Return whether the process of a run has lived on after it.

    What was heard may have been on its way since before a crash, which is seen soon after it.
    """
    return now >= run.heard_at + defaults.ABANDONED_RUN_S


class SoundRuns:
    """The sound runs that a node knows of, by what they speak for.

    Only those are kept that no other one exceeds, so that the order in which they come has no
    effect.
    """

    def __init__(self) -> None:
        self._runs: collections.OrderedDict[str, list[SoundRun]] = collections.OrderedDict()

    def add(self, run: SoundRun) -> bool:
        """Add a run, and return whether it says more than those that are known.

        Its time may have been converted between the clocks of two nodes.
        """
        known = self._runs.setdefault(run.subject, [])
        self._runs.move_to_end(run.subject)
        same = defaults.SAME_MOMENT_S
        if any(one.at >= run.at - same and one.length.covers(run.length) for one in known):
            return False
        kept = [one for one in known if one.at > run.at or not run.length.covers(one.length)]
        self._runs[run.subject] = [*kept, run]
        if len(self._runs) > defaults.SOUND_PARTS_MAX:
            self._runs.popitem(last=False)
        return True

    def of(self, subject: str) -> tuple[SoundRun, ...]:
        """Return the runs that speak for a subject."""
        return tuple(self._runs.get(subject, ()))

    def void(self, record: "CrashRecord") -> bool:
        """Return whether a later run went as far as the one that was under a crash."""
        length = record.length
        if length is None:
            return False
        return any(
            one.at >= record.at and one.length.covers(length) for one in self.of(record.fingerprint)
        )

    def expire(self, oldest: float) -> None:
        """Remove the runs that ended before a time."""
        for subject, runs in list(self._runs.items()):
            kept = [one for one in runs if one.at > oldest]
            if kept:
                self._runs[subject] = kept
            else:
                del self._runs[subject]
