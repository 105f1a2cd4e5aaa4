"""The lease, whose holder is the one node that controls endpoints and publishes.

It is one object in the platform, renewed by conditional update. Each observer judges its
expiry by its own monotonic clock, from the last change that it saw; clocks of two nodes are
never compared. See ``docs/design/fencing.md``.

The platform's store may be restored from a backup, which begins an era. Each era has a
lease object of its own, which no backup contains and no conditional write from an earlier era
can match. The current holder creates it at once and continues; all other nodes first wait a
whole lease term from when they learnt of the era. Epochs increase across eras too.

The turn of a holder begins once the gap since the last possible order of the previous holder
has passed; before that it must not give orders.
"""

import typing as t

from . import defaults
from .effects import WriteLease
from .events import LeaseSeen
from .events import LeaseWritten


class LeaseTerms(t.NamedTuple):
    """Times of a lease, in seconds; all nodes of a deployment have the same.

    :param margin_s: how long before its expiry the holder stops acting.
    :param gap_s: least time from the last act of one holder to the first order of the next.
    :param resumable: a restarted box resumes its own lease at once; only valid where a box
        is the same holder whichever process runs on it.
    """

    ttl_s: float = defaults.LEASE_TTL_S
    renew_s: float = defaults.LEASE_RENEW_S
    margin_s: float = defaults.LEASE_MARGIN_S
    gap_s: float = 0.0
    resumable: bool = False


# Number of epochs reserved for each era of the store, so that those of the next are greater.
EPOCHS_PER_ERA = 1_000_000
# Holder of a lease that can't be read; no node has this name.
UNKNOWN_HOLDER = "?"
# A relay's box is the same holder whichever process runs on it.
RELAY_TERMS = LeaseTerms(
    defaults.RELAY_LEASE_TTL_S,
    defaults.RELAY_LEASE_RENEW_S,
    defaults.RELAY_LEASE_MARGIN_S,
    defaults.HANDOVER_GAP_S,
    resumable=True,
)


def greatest_epoch(era: int, version: int) -> int:
    """Return the greatest epoch that an era can have had by a version of its lease object.

    An epoch of an era is taken by a write, and each write raises the store's revision.
    """
    return era * EPOCHS_PER_ERA + version


class Lease:
    """The lease as one node sees it."""

    def __init__(self, terms: LeaseTerms | None = None) -> None:
        self.terms = terms or LeaseTerms()
        # How often the store was restored from a backup.
        self.era = 0
        self.version = -1
        self.holder = ""
        self.epoch = 0
        self.changed_at: float | None = None
        self.held_until = -1e9
        self.own_epoch = 0
        # When this node may start to give orders, if it holds the lease.
        self.turn_at = -1e9
        self._settled = False
        # How soon after its release another may give orders; None if the release has no time.
        self._turn_in_s: float | None = None
        # The epoch that this node has forfeited after its lease lapsed.
        self.ended = 0
        # The last epoch that another holder declared ended, and when this node learnt of it.
        self._end = (0, 0.0)
        self._count = 0
        self._pending: tuple[str, float, int] | None = None
        self._asked_at = -1e9
        self._asked_version = -1
        # Whether the holder's next renewal is due at once.
        self._hastened = False

    def holding(self, now: float) -> bool:
        """Return whether this node may act as the holder; ends ``margin_s`` before expiry."""
        return now < self.held_until

    def unanswered(self, now: float) -> bool:
        """Return whether a write has had no answer for so long that a read is to settle it."""
        return self._pending is not None and now - self._asked_at >= defaults.LEASE_ANSWER_S

    def begin_era(self, era: int, at: float) -> None:
        """Start an era, as the store was restored from a backup.

        The holder continues in the same epoch: no other node can have held it when the era
        began.
        """
        if era > self.era:
            self._enter_era(era, at)

    def return_to_era(self, era: int, at: float) -> None:
        """Return to an earlier era, as the later one was claimed wrongly.

        Nothing was written in the later one, since the store answered none of its calls in it.
        """
        self._enter_era(era, at)

    def _enter_era(self, era: int, at: float) -> None:
        self.era = era
        self.version = -1
        self.holder = ""
        self.changed_at = at
        self._settled = False
        self._turn_in_s = None
        self._pending = None
        self._asked_at = -1e9

    def _absent(self) -> bool:
        """Return whether this is a later era than the first and its lease is not written yet."""
        return self.version == 0 and self.era > 0

    def take_read(self, event: LeaseSeen, name: str) -> None:
        """Apply the lease object as read; this also settles a write of unknown outcome."""
        if event.era != self.era:
            return
        if self._pending is not None and event.nonce == self._pending[0]:
            nonce, asked_at, epoch = self._pending
            self._win(asked_at, event.version, epoch, name)
            return
        if event.version <= self.version:
            return
        self.version = event.version
        if self._absent():
            return
        self.holder = event.holder
        self.epoch = max(self.epoch, event.epoch)
        self.changed_at = event.at
        self._settled = event.settled
        self._turn_in_s = event.turn_in_s
        if event.holder != name or event.epoch != self.own_epoch:
            self.held_until = -1e9

    def answer(self, event: LeaseWritten, name: str) -> bool:
        """Apply the answer to a write.

        :return: whether this node has just become the holder.
        """
        if self._pending is None or event.nonce != self._pending[0]:
            return False
        nonce, asked_at, epoch = self._pending
        if event.won is None:
            # The write may have taken effect; the next read settles it.
            return False
        self._pending = None
        if not event.won:
            self._note_outdated()
            return False
        return self._win(asked_at, event.version, epoch, name)

    def _note_outdated(self) -> None:
        """Have the lease read again, and written at once if free, as another node has written."""
        self.held_until = -1e9
        self._asked_at = -1e9
        if self.version == self._asked_version:
            self.version = -1

    def _win(self, asked_at: float, version: int, epoch: int, name: str) -> bool:
        new = epoch != self.own_epoch
        self._pending = None
        self.version = max(self.version, version)
        self.holder = name
        self.epoch = max(self.epoch, epoch)
        self.own_epoch = epoch
        self.changed_at = asked_at
        # Observers count from when they see the write, which is later than when it was sent.
        self.held_until = asked_at + self.terms.ttl_s - self.terms.margin_s
        return new

    def due_write(
        self, now: float, name: str, incarnation: str, candidate: bool
    ) -> WriteLease | None:
        """Return the lease write that is due now, if any.

        :param candidate: whether this node may take a free lease.
        """
        hastened = self._hastened and self._pending is None
        if self.version < 0 or (now - self._asked_at < self.terms.renew_s and not hastened):
            return None
        holding = self.holding(now)
        if not holding and not self._own(name) and not (candidate and self._free(now)):
            return None
        epoch = self.own_epoch if holding else self._next_epoch()
        if not holding:
            self.turn_at = self._next_turn(now, name)
        self._count += 1
        nonce = f"{incarnation}/{self._count}"
        self._pending = (nonce, now, epoch)
        self._asked_at = now
        self._asked_version = self.version
        self._hastened = False
        return WriteLease(self.version, epoch, nonce, now >= self.turn_at, self.era)

    def hasten(self) -> None:
        """Have the next renewal written at once, as what it stores for others has changed."""
        self._hastened = True

    def _next_epoch(self) -> int:
        """Return an epoch that was never used, even in the seconds that a restored backup lacks."""
        return max(self.epoch, self.era * EPOCHS_PER_ERA) + 1

    def _own(self, name: str) -> bool:
        """Return whether the lease belongs to this box, from before a restart or a lapse."""
        return self.terms.resumable and self.holder == name

    def _next_turn(self, now: float, name: str) -> float:
        """Return the time from which orders keep the gap to those of the previous holder.

        A holder's last act is at least ``margin_s`` before its lease expires at an observer.
        If it released the lease, it may have acted just before the release.
        """
        if not self._absent():
            if self.epoch == 0:
                return now
            if self._own(name):
                return now if self._settled else now + self.terms.gap_s
            if self.holder == "" and self._turn_in_s is not None:
                return self._turn_after_release(now, self._turn_in_s)
            if self._end[0] == self.epoch:
                return max(now, self._end[1] + self.terms.gap_s)
            if self.holder == "":
                return now + self.terms.gap_s
        if self.changed_at is None:
            return now + self.terms.gap_s
        last_act = self.changed_at + self.terms.ttl_s - self.terms.margin_s
        return max(now, last_act + self.terms.gap_s)

    def _turn_after_release(self, now: float, turn_in_s: float) -> float:
        """Return the time from which orders keep the gap to those before a release.

        A holder that released the lease before its own turn has ordered nothing. Its successor
        only waits for the rest of that time, so the gap passes once, however many such holders
        follow each other.
        """
        freed_at = now if self.changed_at is None else self.changed_at
        return max(now, freed_at + turn_in_s)

    def _free(self, now: float) -> bool:
        # The holder at the start of an era may still hold the lease for a term.
        if not self._absent() and (self.holder == "" or self._end[0] == self.epoch):
            return True
        return self.changed_at is not None and now - self.changed_at > self.terms.ttl_s

    def forfeit(self) -> None:
        """Give up a lapsed lease for good, so that it can be announced that its epoch has ended.

        A renewal that is answered late does not revive that epoch.
        """
        self.ended = self.own_epoch
        self.own_epoch = 0
        self.held_until = -1e9
        self._pending = None

    def note_end(self, epoch: int, at: float) -> None:
        """Record that another holder has declared its epoch ended, and no longer acts in it."""
        if epoch > self._end[0]:
            self._end = (epoch, at)

    def release(self, now: float) -> WriteLease | None:
        """Release the lease at a planned stop, so that its successor need not await expiry."""
        if self.held_until < 0:
            return None
        self.held_until = -1e9
        self._pending = None
        turn_in_s = self.turn_at - now if now < self.turn_at else self.terms.gap_s
        return WriteLease(self.version, self.own_epoch, "", era=self.era, turn_in_s=turn_in_s)
