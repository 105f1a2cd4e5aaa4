"""Freshness of a node's configuration: the last time at which it was provably the newest.

A revoked key must not run anything, even at a node that has not learnt of the revocation. So
each node keeps the latest time at which, provably, no configuration newer than its own had been
accepted. There are two kinds of proof:

- A read of the platform's store proves the time at which the read began, since the store answers
  with everything that it had accepted before.
- Another node's answer. This node sends a timestamp of its own clock, and the other answers with
  the age of its own proof when the question arrived. The question arrived after the timestamp, so
  timestamp minus age is never later than the other's proof, however long the messages took or
  either process was frozen.

Clocks of two nodes are never compared. The clock of the events advances while a process is frozen,
so its proof is old when it resumes.
"""

import typing as t

from . import defaults

NEVER = float("-inf")


class Freshness:
    """The last time at which this node's configuration was provably the newest."""

    def __init__(self) -> None:
        self.proved_at = NEVER
        # A newer version that is not in force here yet, and the time that was proved for it.
        self._pending: tuple[int, float] = (0, NEVER)
        # When the store was restored from a backup, and the version in force here at that time.
        self._restored: tuple[float, int] = (NEVER, 0)

    def begin_era(self, at: float, applied: int) -> None:
        """Record that the store was restored from a backup, which may lack accepted versions."""
        self._restored = (at, applied)

    def _lacks(self, as_of: float, version: int) -> bool:
        """Return whether the restored store may lack a newer version that it had accepted."""
        restored_at, applied = self._restored
        if restored_at == NEVER or as_of < restored_at:
            return False
        return as_of < restored_at + defaults.REWRITE_S or version < applied

    def record_proof(self, as_of: float, version: int, applied: int) -> None:
        """Record a proof that a version was the newest at a time.

        :param as_of: the time, by this node's own clock.
        :param applied: the version that is in force here.
        """
        if self._lacks(as_of, version):
            return
        if version <= applied:
            self.proved_at = max(self.proved_at, as_of)
        elif (version, as_of) > self._pending:
            self._pending = (version, as_of)

    def confirm_pending(self, applied: int) -> None:
        """Use the pending proof once its version is in force here."""
        version, as_of = self._pending
        if version <= applied:
            self.proved_at = max(self.proved_at, as_of)
            self._pending = (0, NEVER)

    def age_s(self, now: float) -> float:
        """Return the seconds since the configuration was last proved the newest."""
        return now - self.proved_at


class ProofTerms(t.NamedTuple):
    """The guarantee on revoked keys.

    :param bound_s: a request sent later than this many seconds after its key was revoked does
        not run; 0 if this is guaranteed only for nodes that are connected.
    """

    bound_s: float = 0.0

    def stale(self, age_s: float) -> bool:
        """Return whether requests with keys must be refused at this age of the last proof."""
        return self.bound_s > 0.0 and age_s > self.bound_s * defaults.PROOF_SHARE
