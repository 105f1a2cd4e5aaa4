"""Turns at an endpoint that names how many requests a second it takes from all nodes.

The endpoint's owner gives them out (:mod:`slot_queues`). In any w seconds it gives no more than w
times the rate, with what may be in hand at the begin of them: :func:`in_hand`. So much may come at
once; of what users bear beyond a rate, the rest is left for what is on its way.
"""

from . import defaults


def in_hand(rate: float) -> float:
    """Give the most turns that an endpoint may have in hand."""
    return defaults.TURNS_IN_HAND + rate * defaults.TURNS_IN_HAND_S


class RateBucket:
    """The turns that are in hand now, and when the next one is due.

    :param opens_at: from when on it fills; until then another owner may have given turns.
    """

    def __init__(self, rate: float, opens_at: float) -> None:
        self.rate = rate
        self._opens_at = opens_at
        self._turns = 0.0
        self._at = opens_at

    def use(self, rate: float, now: float) -> None:
        """Take the rate that holds from now on; less of it leaves less in hand."""
        self._fill(now)
        self.rate = rate
        self._turns = min(self._turns, in_hand(rate))

    def turns(self, now: float) -> float:
        """Give how many turns are in hand."""
        self._fill(now)
        return self._turns

    def take(self, now: float) -> float:
        """Give a turn out.

        :return: how many were in hand before.
        """
        self._fill(now)
        before = self._turns
        self._turns -= 1.0
        return before

    def put_back(self, before: float, taken_at: float, now: float) -> bool:
        """Take back a turn of which nothing came.

        It counts only where the bucket would not have been full without it meanwhile; else what
        was given since may have been given in its place.

        :param before: how many were in hand before it was taken.
        :return: whether it counts.
        """
        self._fill(now)
        full = before + self.rate * (now - taken_at) > in_hand(self.rate)
        if full or taken_at < self._opens_at:
            return False
        self._turns += 1.0
        return True

    def due_in_s(self, now: float) -> float:
        """Give how long until there is a turn in hand, in seconds."""
        self._fill(now)
        # It may not fill yet.
        starts_s = max(0.0, self._at - now)
        return starts_s + max(0.0, 1.0 - self._turns) / self.rate

    def _fill(self, now: float) -> None:
        if now <= self._at:
            return
        self._turns = min(in_hand(self.rate), self._turns + self.rate * (now - self._at))
        self._at = now
