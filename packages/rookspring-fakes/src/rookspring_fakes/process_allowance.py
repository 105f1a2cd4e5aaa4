"""How many requests of a soak are owed an answer, where endpoints state rates.

While all endpoints that take work state rates, no more requests can be answered than these allow,
whatever callers send. Times are those of the monotonic clock, in seconds.
"""

import typing as t


class RatePeriod(t.NamedTuple):
    """A time in which an endpoint states a rate, in requests per second."""

    began: float
    ended: float
    rate: float


class WorkPeriod(t.NamedTuple):
    """The time in which an endpoint takes work, and the rates that it states."""

    began: float
    ended: float
    rates: tuple[RatePeriod, ...]


def find_limited(endpoints: t.Iterable[WorkPeriod]) -> list[RatePeriod]:
    """Return the times in which all endpoints that take work state rates, with their sums."""
    works = list(endpoints)
    moments = sorted({moment for work in works for moment in _moments_of(work)})
    found = []
    for began, ended in zip(moments, moments[1:], strict=False):
        rates = [_rate_at(work, began) for work in works if work.began <= began < work.ended]
        if rates and None not in rates:
            found.append(RatePeriod(began, ended, sum(rate for rate in rates if rate)))
    return found


def _moments_of(work: WorkPeriod) -> t.Iterator[float]:
    yield work.began
    yield work.ended
    for one in work.rates:
        yield one.began
        yield one.ended


def _rate_at(work: WorkPeriod, moment: float) -> float | None:
    for one in work.rates:
        if one.began <= moment < one.ended:
            return one.rate
    return None


def count_owed(ended_at: t.Sequence[float], limited: t.Iterable[RatePeriod]) -> float:
    """Return how many requests are owed an answer.

    These are all that ended outside the limited times, and as many of the others as the rates of
    the time in which they ended allow.

    :param ended_at: when each request ended.
    """
    owed = float(len(ended_at))
    for one in limited:
        inside = sum(one.began <= moment < one.ended for moment in ended_at)
        owed -= inside - min(inside, one.rate * (one.ended - one.began))
    return owed
