"""How new a node's configuration is known to be, and what that allows.

A key that was taken away must not run anything at a node that has not heard of it. So a
node keeps a moment of which it is sure: at that moment no configuration newer than its
own had been accepted. Two things show such a moment:

- a read of the platform's store that began then, since the store answers with all that
  it had accepted before it was asked;
- another node's word. This node asks with a stamp of its own clock, and is told how much
  older than the question's coming the other's own moment is. The question came after the
  stamp, so stamp less age is never later than the truth, however long the question or the
  answer was on its way, or either process stood still.

Clocks of two nodes are never compared, and a process that was frozen finds its moment
old when it goes on, since the clock of the events does not stand still.
"""

import typing as t

from . import defaults

NEVER = float("-inf")


class Freshness:
    """The moment at which this node's configuration was the newest, for sure."""

    def __init__(self) -> None:
        self.at = NEVER
        # A later moment, shown for a version that this node is yet to get.
        self._ahead: tuple[int, float] = (0, NEVER)
        # When the store came back from a copy, and the version that was in force here then.
        self._copied: tuple[float, int] = (NEVER, 0)

    def begin_era(self, at: float, applied: int) -> None:
        """Take that the store came back from a copy, which may lack what was accepted."""
        self._copied = (at, applied)

    def _lacks(self, as_of: float, version: int) -> bool:
        """Say whether the store may lack a newer version that it had accepted before."""
        copied_at, applied = self._copied
        if copied_at == NEVER or as_of < copied_at:
            return False
        return as_of < copied_at + defaults.REWRITE_S or version < applied

    def note(self, as_of: float, version: int, applied: int) -> None:
        """Take that a version was the newest at a moment.

        :param as_of: of this node's own clock.
        :param applied: the version that is in force here.
        """
        if self._lacks(as_of, version):
            return
        if version <= applied:
            self.at = max(self.at, as_of)
        elif (version, as_of) > self._ahead:
            self._ahead = (version, as_of)

    def settle(self, applied: int) -> None:
        """Take that a version is in force here now."""
        version, as_of = self._ahead
        if version <= applied:
            self.at = max(self.at, as_of)
            self._ahead = (0, NEVER)

    def age_s(self, now: float) -> float:
        """Give how long ago the configuration was the newest, at most, in seconds."""
        return now - self.at


class ProofTerms(t.NamedTuple):
    """What is promised of a key's end.

    :param bound_s: a request that its caller sends later than this after the key was
        taken away does not run; 0 where that is promised of nodes in touch alone.
    """

    bound_s: float = 0.0

    def stale(self, age_s: float) -> bool:
        """Say whether requests with keys must be refused at such an age."""
        return self.bound_s > 0.0 and age_s > self.bound_s * defaults.PROOF_SHARE
