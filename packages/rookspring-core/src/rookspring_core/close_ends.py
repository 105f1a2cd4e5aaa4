"""Ends of answers that nothing but an orderly close of their connection marks.

A server may end each of its answers so, and the standard calls them complete (RFC 9112, section 8).
A process that ends, or that gives its runs up, closes their connections alike. So such an end is
held back for a moment, and what else is seen of its endpoint tells the two apart: what broke off or
closed there at the same moment, what worked on behind it, and whether the process lived on. Where
the rest can be asked for at another endpoint, that answer shows the end, as far as there is budget
for it; :mod:`close_records` remembers what came of that.
"""

import math
import typing as t

from . import planned_ends

# A run that ends by itself is closed right behind its last bytes, or about when the next were due;
# one that is given up at any time between. A close is one of the former if it is nearer to such a
# moment than to the middle between two, as a share of the usual pause.
STEP_SHARE = 0.25
# Times that differ by less, in seconds, can't be told apart: the least that counts as right behind
# or about, and closes within it came at once.
BEHIND_S = 0.002
# After so many pauses a run has stalled; and the least silence that counts as one, in seconds:
# callers bear pauses as long between two events.
STEPS_MAX = 1.5
STALLED_S = 0.3
# Pauses up to this, in seconds, let no silence count that is longer than ``STALLED_S``.
SHORT_PAUSE_S = STALLED_S / STEPS_MAX
# By how much a time that the kernel has noted may be off, in seconds: two of its longest ticks.
NOTED_S = 0.02
# How long after a close that looks like a stop of its endpoint the other nodes are told of it:
# events of what works on have come by then, and theirs are looked at a moment later.
TOLD_AFTER_S = 0.04
# The share of a service's resends that is kept for real failures, as ends that look like the
# answer's own are asked about.
KEPT_BUDGET_SHARE = 0.5


class ConnectionTimes(t.NamedTuple):
    """The times of one connection to an endpoint, in seconds of the node's clock.

    :param number: tells it from others.
    :param asked_at: when its latest request was sent; minus infinity if none was.
    :param begun_at: when the first bytes of its latest answer came; infinite if none did. A request
        that was sent shortly before a moment may have begun to run after it.
    :param read_at: when the latest bytes came.
    :param closed_at: when the endpoint closed it; infinite while it is open.
    :param broke_off: that broke an answer off, which shows that it was no whole one.
    :param in_step: it was closed when an answer on it would end by itself, or while it was idle;
        see :func:`is_in_step`.
    :param reading_since: since when it has been read without a stop; infinite while it isn't read.
        What comes after a stop may have been sent at any time before.
    :param pause_s: the usual pause of its latest answer; 0 if none is known.
    :param ended: that has ended.
    :param whole: the bytes of its latest answer, which its close ended, show that it was whole.
    """

    number: int
    opened_at: float
    asked_at: float = -math.inf
    begun_at: float = math.inf
    read_at: float = -math.inf
    closed_at: float = math.inf
    broke_off: bool = False
    in_step: bool = False
    reading_since: float = -math.inf
    pause_s: float = 0.0
    ended: bool = False
    whole: bool = False


class SegmentTimes(t.NamedTuple):
    """When the latest segments of a connection came, as the kernel has noted.

    In seconds of the node's clock. It notes them whether they are read or not, in ticks.

    :param data_at: the latest with data.
    :param heard_at: the latest at all; that with the close if it was closed in order.
    """

    data_at: float
    heard_at: float


class CloseWait(t.NamedTuple):
    """How long after an answer's last bytes its connection was closed, in seconds.

    :param late_s: how much later than they came the bytes or the close were read, if that is known.
    """

    waited_s: float
    late_s: float = 0.0


def find_wait(
    read_at: float, closed_at: float, noted: SegmentTimes | None, probed_s: float = math.inf
) -> CloseWait:
    """Return how long after its last bytes a connection was closed.

    What was read in time is known more exactly by when it was read, all else as the kernel says: a
    node that stood still reads bytes and close at once. After a silence the kernel probes the other
    side, and notes what it answers, also behind a close. So a long wait may have been a short one;
    it is taken for long, as a part that is told as the whole is worse than a cut. Not so where that
    would befall each large answer, to a caller that reads slowly.

    :param read_at: when the last bytes were read.
    :param closed_at: when the close was.
    :param noted: None if the kernel says nothing of it, as of a reset.
    :param probed_s: waits as long as this may have been short, and are taken so.
    """
    waited_s = closed_at - read_at
    if noted is None or noted.data_at > min(read_at, noted.heard_at) + NOTED_S:
        # Some kernels leave the times out, so that all seems to have come just now.
        return CloseWait(waited_s)
    late_s = max(read_at - noted.data_at, closed_at - noted.heard_at)
    noted_s = max(0.0, noted.heard_at - noted.data_at)
    if late_s <= NOTED_S or noted_s >= probed_s:
        return CloseWait(waited_s)
    return CloseWait(noted_s, late_s)


def is_pause_known(pause_s: float, noted: SegmentTimes | None, read_at: float) -> bool:
    """Return whether a pause is the answer's own, and not one in which the node didn't read.

    :param pause_s: how long after the bytes before others were read.
    :param noted: of the latter; None if the kernel says nothing of them.
    :param read_at: when the latter were read.
    """
    return pause_s <= SHORT_PAUSE_S or noted is None or read_at - noted.data_at <= NOTED_S


def is_in_step(waited_s: float, pause_s: float, late_s: float = 0.0) -> bool:
    """Return whether an answer's connection was closed when the answer would end by itself.

    Closes that are read after a standstill can't be told apart, and count as none.

    :param waited_s: how long after its last bytes.
    :param pause_s: its usual pause; 0 if none is known.
    :param late_s: how late that was read; see :class:`CloseWait`.
    """
    if late_s > STALLED_S:
        return False
    about_s = max(BEHIND_S, STEP_SHARE * pause_s)
    if not pause_s or waited_s <= about_s:
        return waited_s <= about_s
    return pause_s - about_s <= waited_s <= max(STEPS_MAX * pause_s, pause_s + about_s)


def is_stalled(waited_s: float, pause_s: float) -> bool:
    """Return whether an answer had stalled before its connection was closed, as a run that hangs.

    :param waited_s: how long after its last bytes that was.
    :param pause_s: its usual pause; 0 if none is known.
    """
    return waited_s > max(STALLED_S, STEPS_MAX * pause_s)


class MomentSigns(t.NamedTuple):
    """What an endpoint's other connections show of the moment at which one was closed.

    :param broke: another answer was broken off at that moment.
    :param closed: another connection was closed at that moment, and neither were both in step, one
        after the other, nor was the answer of the one asked for behind the close of the other, nor
        is the other shown to have ended by itself.
    :param worked: an answer that had begun before went on behind it.
    :param broke_elsewhere: another node saw an answer break off there; see :mod:`break_moments`.
    """

    broke: bool
    closed: bool
    worked: bool
    broke_elsewhere: bool = False


def read_moment(
    own: ConnectionTimes, others: t.Collection[ConnectionTimes], broke_elsewhere: bool = False
) -> MomentSigns:
    """Return what an endpoint's other connections show of the moment at which one was closed.

    :param own: the one that was closed.
    :param broke_elsewhere: what other nodes have told; see :class:`MomentSigns`.
    """
    together = [
        one for one in others if abs(one.closed_at - own.closed_at) <= planned_ends.STOP_SPREAD_S
    ]
    worked = has_worked_on(own.closed_at, others)
    # One that had not begun may have been turned away, or was sent as an idle connection closed.
    broke = any(one.broke_off and (one.begun_at < math.inf or not worked) for one in together)
    closed = any(not _is_by_itself(own, one) for one in together)
    return MomentSigns(broke, closed, worked, broke_elsewhere)


def _is_by_itself(own: ConnectionTimes, other: ConnectionTimes) -> bool:
    """Return whether two answers that were closed together ended one apart from the other."""
    if other.closed_at < own.asked_at or own.closed_at < other.asked_at < other.begun_at < math.inf:
        # What ends all that runs has not run the one that was asked for behind it.
        return True
    if other.whole and other.in_step:
        # One that was held open may have been closed with what was given up.
        return True
    # What gives its runs up between two steps closes them at once.
    apart_s = abs(other.closed_at - own.closed_at)
    return own.in_step and other.in_step and apart_s > BEHIND_S


def has_worked_on(ended_at: float, others: t.Iterable[ConnectionTimes]) -> bool:
    """Return whether an answer that had begun before a moment went on behind it."""
    return any(
        one.begun_at <= ended_at and one.reading_since <= ended_at and _goes_on(one, ended_at)
        for one in others
    )


def _goes_on(one: ConnectionTimes, ended_at: float) -> bool:
    """Return whether bytes came so late behind a moment that their run was not given up then.

    What gives its runs up may end each at its next step, and that step may still give an event. One
    that was broken off had gone on until then.
    """
    has_ended = one.ended or (one.closed_at < math.inf and not one.broke_off)
    step_s = STEPS_MAX * one.pause_s if has_ended else 0.0
    return one.read_at > ended_at + max(planned_ends.STOP_SPREAD_S, step_s)


def is_stop(moment: MomentSigns) -> bool:
    """Return whether an end looks like a stop of its endpoint, so that other nodes are told.

    They are told of answers that broke off in any case.
    """
    return moment.closed and not (moment.broke or moment.worked)


class CloseSigns(t.NamedTuple):
    """What was seen of an endpoint after an answer of it ended with its connection.

    :param lives: its process lives on.
    :param replaced: another process has its name.
    :param doubted: it is leaving or gone, and what is seen speaks for an end by its stop.
    :param caught: such ends of its service have turned out to be cut though all spoke for them.
    :param stopping: this node is stopping, which cuts nothing on suspicion alone.
    :param stalled: nothing had come of it for long; see :func:`is_stalled`.
    """

    moment: MomentSigns
    lives: bool
    replaced: bool = False
    doubted: bool = False
    caught: bool = False
    stopping: bool = False
    stalled: bool = False


def is_likely(signs: CloseSigns) -> bool:
    """Return whether an end by a close looks like the answer's own."""
    moment = signs.moment
    # What others tell may be a suspicion of theirs.
    told = moment.broke_elsewhere and not (moment.worked or signs.stopping)
    broke = moment.broke or told
    if broke or signs.replaced:
        return False
    if not signs.lives and (moment.closed or not moment.worked):
        # One that ends its answers one after the other as it exits may have ended this one, too.
        return False
    if signs.stopping:
        return True
    if signs.caught or signs.doubted or signs.stalled:
        return False
    return moment.worked or not moment.closed
