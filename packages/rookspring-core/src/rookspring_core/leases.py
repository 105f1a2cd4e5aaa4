"""The lease that names the one node which controls endpoints and publishes.

It is one object in the platform, renewed by conditional update. Its expiry is
judged on the observer's own monotonic clock, from the last change it saw; no
clock is ever compared with another node's. See ``docs/design/fencing.md``.

The platform's store may come back from an older copy, which begins an era. Each era has a
lease object of its own: no copy holds it, and no write upon a version of an earlier era can
meet it. The holder of before makes it at once and goes on; all others count a whole term from
when they heard of the era. An epoch is a number that rises over eras as well.
"""

import typing as t

from . import defaults
from .events import LeaseSeen
from .events import LeaseWritten


class LeaseWish(t.NamedTuple):
    """A lease write that is due.

    :param settled: its holder may give orders already, by its terms' ``gap_s``.
    :param turn_in_s: where the lease is given up, how soon another may give orders; None
        else.
    """

    version: int
    epoch: int
    nonce: str
    settled: bool = False
    era: int = 0
    turn_in_s: float | None = None


class LeaseTerms(t.NamedTuple):
    """Times of a lease, in seconds; all nodes of a deployment have the same.

    :param margin_s: how long before the end its holder stops to act.
    :param gap_s: between the last act of one holder and the first order of the next.
    :param resumable: a box that was restarted goes on with its own lease at once; only
        where a box is one holder whichever process runs on it.
    """

    ttl_s: float = defaults.LEASE_TTL_S
    renew_s: float = defaults.LEASE_RENEW_S
    margin_s: float = defaults.LEASE_MARGIN_S
    gap_s: float = 0.0
    resumable: bool = False


# Epochs of an era of the store; the first of the next one is greater than them all.
EPOCHS_PER_ERA = 1_000_000
# A relay node is one holder whichever process runs on its box.
RELAY_TERMS = LeaseTerms(
    defaults.RELAY_LEASE_TTL_S,
    defaults.RELAY_LEASE_RENEW_S,
    defaults.RELAY_LEASE_MARGIN_S,
    defaults.TURN_GAP_S,
    resumable=True,
)


class Lease:
    """The lease as one node sees it."""

    def __init__(self, terms: LeaseTerms | None = None) -> None:
        self.terms = terms or LeaseTerms()
        # Of the store: how often it has come back from a copy.
        self.era = 0
        self.version = -1
        self.holder = ""
        self.epoch = 0
        self.changed_at: float | None = None
        self.held_until = -1e9
        self.own_epoch = 0
        # From when on this node may give orders, once it holds the lease.
        self.turn_at = -1e9
        self._settled = False
        # How soon after it was given up another may give orders; None where it was not told.
        self._turn_in_s: float | None = None
        # The epoch that this node has let go for good, having lapsed.
        self.ended = 0
        # The epoch that another holder told to have ended, and when that was heard.
        self._end = (0, 0.0)
        self._count = 0
        self._pending: tuple[str, float, int] | None = None
        self._asked_at = -1e9
        self._asked_version = -1

    def holding(self, now: float) -> bool:
        """Say whether this node may act as the holder, with time to spare."""
        return now < self.held_until

    def unanswered(self, now: float) -> bool:
        """Say whether a write has had no answer for so long that a read is to settle it."""
        return self._pending is not None and now - self._asked_at >= defaults.LEASE_ANSWER_S

    def begin_era(self, era: int, at: float) -> None:
        """Take that the store came back from a copy.

        Its holder goes on in the same epoch: it alone can have held it when the era began.
        """
        if era <= self.era:
            return
        self.era = era
        self.version = -1
        self.holder = ""
        self.changed_at = at
        self._settled = False
        self._turn_in_s = None
        self._pending = None
        self._asked_at = -1e9

    def _absent(self) -> bool:
        """Say whether nobody has written the lease in this era, which is not the first."""
        return self.version == 0 and self.era > 0

    def see(self, event: LeaseSeen, name: str) -> None:
        """Take the lease object as read. It settles a write of unknown fate."""
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
        """Take the answer to a write.

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
        """Another has written since: look at the lease again, then ask at once if it is free."""
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
        # Observers count from when they saw it, which is after it was asked for.
        self.held_until = asked_at + self.terms.ttl_s - self.terms.margin_s
        return new

    def wish(self, now: float, name: str, incarnation: str, candidate: bool) -> LeaseWish | None:
        """Say which write is due now, if any."""
        if self.version < 0 or now - self._asked_at < self.terms.renew_s:
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
        return LeaseWish(self.version, epoch, nonce, now >= self.turn_at, self.era)

    def _next_epoch(self) -> int:
        """Give an epoch that nobody has had, also in the seconds that a copy lacks."""
        return max(self.epoch, self.era * EPOCHS_PER_ERA) + 1

    def _own(self, name: str) -> bool:
        """Say whether the lease is this box's own, from before a restart or a lapse."""
        return self.terms.resumable and self.holder == name

    def _next_turn(self, now: float, name: str) -> float:
        """Give the moment from which orders keep the gap to those of the holder before.

        A holder's last act lies ``margin_s`` before the end of its lease at an observer.
        One that gave the lease up may have acted just before.
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
        """Give the moment from which orders keep the gap to those before a release.

        A holder that gave the lease up before its own turn has ordered nothing, so what it
        had to wait for is waited for once, however many such holders come in a row.
        """
        freed_at = now if self.changed_at is None else self.changed_at
        return max(now, freed_at + turn_in_s)

    def _free(self, now: float) -> bool:
        # Whoever held it when an era began may do so for a term yet.
        if not self._absent() and (self.holder == "" or self._end[0] == self.epoch):
            return True
        return self.changed_at is not None and now - self.changed_at > self.terms.ttl_s

    def forfeit(self) -> None:
        """Let a lapsed lease go for good, so that others may be told that it has ended.

        A renewal that is answered late does not bring its epoch back.
        """
        self.ended = self.own_epoch
        self.own_epoch = 0
        self.held_until = -1e9
        self._pending = None

    def note_end(self, epoch: int, at: float) -> None:
        """Take another holder's word that its epoch has ended; it acts in it no more."""
        if epoch > self._end[0]:
            self._end = (epoch, at)

    def give_up(self, now: float) -> LeaseWish | None:
        """Free the lease at a planned stop, so that no time-out has to pass."""
        if self.held_until < 0:
            return None
        self.held_until = -1e9
        self._pending = None
        turn_in_s = self.turn_at - now if now < self.turn_at else self.terms.gap_s
        return LeaseWish(self.version, self.own_epoch, "", era=self.era, turn_in_s=turn_in_s)
