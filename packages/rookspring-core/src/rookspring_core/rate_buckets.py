"""Token buckets for endpoints that limit the requests a second from all nodes together.

A token is a *permit* for one request; the endpoint's owner grants it (:mod:`slot_queues`). In any
w seconds it grants at most w times the rate plus the burst, :func:`burst_size`, which may be sent
at once. The burst takes up only a part of the excess over the rate that users tolerate; the rest
is left for requests that are delayed on their way.
"""

from . import defaults


def burst_size(rate: float) -> float:
    """Return the most permits that an endpoint's bucket may hold."""
    return defaults.PERMIT_BURST + rate * defaults.PERMIT_BURST_S


class RateBucket:
    """The permits available now, and the time of the next one.

    :param opens_at: when it starts to fill; until then another owner may have granted permits.
    """

    def __init__(self, rate: float, opens_at: float) -> None:
        self.rate = rate
        self._opens_at = opens_at
        self._permits = 0.0
        self._at = opens_at

    def set_rate(self, rate: float, now: float) -> None:
        """Set the rate from now on; a lower rate also lowers the permits that are kept."""
        self._fill(now)
        self.rate = rate
        self._permits = min(self._permits, burst_size(rate))

    def permits(self, now: float) -> float:
        """Return how many permits are available."""
        self._fill(now)
        return self._permits

    def take(self, now: float) -> float:
        """Take a permit.

        :return: how many were available before.
        """
        self._fill(now)
        before = self._permits
        self._permits -= 1.0
        return before

    def return_permit(self, before: float, taken_at: float, now: float) -> bool:
        """Return a permit with which nothing was sent.

        The permit is added only if the bucket would not have become full meanwhile had it not
        been taken; otherwise a later permit may already have been granted in its place.

        :param before: how many permits were available before it was taken.
        :return: whether the permit was added.
        """
        self._fill(now)
        full = before + self.rate * (now - taken_at) > burst_size(self.rate)
        if full or taken_at < self._opens_at:
            return False
        self._permits += 1.0
        return True

    def due_in_s(self, now: float) -> float:
        """Return the seconds until a permit is available."""
        self._fill(now)
        # The bucket may not have started to fill yet.
        starts_s = max(0.0, self._at - now)
        return starts_s + max(0.0, 1.0 - self._permits) / self.rate

    def _fill(self, now: float) -> None:
        if now <= self._at:
            return
        self._permits = min(burst_size(self.rate), self._permits + self.rate * (now - self._at))
        self._at = now
