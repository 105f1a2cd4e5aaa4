"""Requests under which endpoints ended, and which of them are found to be the cause.

A request may crash each process that runs it, and it comes again, to any node. All that ran
on a process when it ended are its suspects. Over several ends the cause stands out: it was
under each, while others end well in between, which clears them.

What is kept only grows and is merged by its keys, so nodes may tell each other in any order
and as often as they like: sightings (a request, by its fingerprint, under the end of one
process), times at which a request was cleared, and verdicts. Times are of this node's clock.
"""

import typing as t

from . import defaults
from .mixing import mix


class Life(t.NamedTuple):
    """One process of an endpoint, told apart by its start.

    :param born: in milliseconds, or a smaller number for its incarnation; 0 where neither is known.
    """

    endpoint: str
    born: int


class Sighting(t.NamedTuple):
    """A request that ran, or may have, on a process when it ended.

    :param organisation: whose it is; empty where that is not known.
    :param young: it had not been answering for long.
    """

    fingerprint: str
    organisation: str
    life: Life
    at: float
    young: bool


class Cleared(t.NamedTuple):
    """A request that ended well at a moment: what was seen of it before says nothing."""

    fingerprint: str
    at: float


class Verdict(t.NamedTuple):
    """A request that is found to end the processes that run it, and until when that holds."""

    fingerprint: str
    organisation: str
    until: float


class Trial(t.NamedTuple):
    """A suspect of more than one end that is being run, until when nobody else is to run it."""

    fingerprint: str
    until: float


class Evidence(t.NamedTuple):
    """What one node tells others, or was told."""

    sightings: tuple[Sighting, ...] = ()
    cleared: tuple[Cleared, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    trials: tuple[Trial, ...] = ()

    def empty(self) -> bool:
        """Say whether it tells nothing."""
        return not any(self)


# How much evidence sightings are; a verdict falls at ``ENDS_MAX``.
Weigh = t.Callable[[t.Iterable[Sighting]], float]
WEIGHTS: dict[str, Weigh] = {}
W = t.TypeVar("W", bound=Weigh)


def weight(name: str) -> t.Callable[[W], W]:
    """Register a way to weigh sightings."""

    def register(function: W) -> W:
        WEIGHTS[name] = function
        return function

    return register


@weight("count")
def count_ends(sightings: t.Iterable[Sighting]) -> float:
    """Count each process once that ended under the request."""
    return float(sum(1 for _ in sightings))


@weight("young")
def weigh_young(sightings: t.Iterable[Sighting]) -> float:
    """Count less where the request had been answering for long, and so had survived its begin."""
    return sum(1.0 if one.young else defaults.LONG_RUN_WEIGHT for one in sightings)


class SuspectTable:
    """All that a node knows of suspects.

    :param weigh: the way to weigh sightings, a name in :data:`WEIGHTS`.
    """

    def __init__(self, weigh: str = defaults.SUSPECT_WEIGHT) -> None:
        self._weigh = WEIGHTS[weigh]
        self._sightings: dict[str, dict[Life, Sighting]] = {}
        self._cleared: dict[str, float] = {}
        self._verdicts: dict[str, Verdict] = {}
        self._trials: dict[str, float] = {}
        # Processes known to have ended, and requests whose connections broke off at others,
        # which may be found to have ended yet.
        self._ended: dict[Life, float] = {}
        self._pending: dict[Life, dict[str, Sighting]] = {}
        self._expired_at = -1e9
        self._digest: int | None = 0

    def use(self, weigh: str) -> None:
        """Weigh sightings in another way from now on."""
        self._weigh = WEIGHTS[weigh]

    def __len__(self) -> int:
        return len(self._sightings) + len(self._verdicts)

    # What this node sees.

    def note_broken(self, sighting: Sighting) -> list[Sighting]:
        """Take that a request broke off at a process; gives it if that is known to have ended."""
        if sighting.life in self._ended:
            return [sighting]
        self._pending.setdefault(sighting.life, {})[sighting.fingerprint] = sighting
        return []

    def note_left(self, sighting: Sighting) -> None:
        """Take that a caller left a request, which its endpoint may be running for a moment yet."""
        early = sighting._replace(at=sighting.at - defaults.END_KNOWN_S + defaults.LEFT_RUNS_S)
        self._pending.setdefault(sighting.life, {}).setdefault(sighting.fingerprint, early)

    def note_ended(self, life: Life, now: float) -> list[Sighting]:
        """Take that a process has ended; gives what broke off there just before."""
        self._ended.setdefault(life, now)
        pending = self._pending.pop(life, {}).values()
        return [one for one in pending if now - one.at <= defaults.END_KNOWN_S]

    # What is merged.

    def take(self, evidence: Evidence, now: float) -> Evidence:
        """Merge what was told, or seen here; gives the part that is news."""
        cleared = tuple(one for one in evidence.cleared if self._take_cleared(one))
        verdicts = tuple(one for one in evidence.verdicts if self._take_verdict(one, now))
        sightings = tuple(one for one in evidence.sightings if self._take_sighting(one, now))
        trials = tuple(one for one in evidence.trials if self._take_trial(one, now))
        self._digest = None
        return Evidence(sightings, cleared, verdicts, trials)

    def _take_cleared(self, cleared: Cleared) -> bool:
        if self._cleared.get(cleared.fingerprint, -1e9) >= cleared.at - defaults.SAME_MOMENT_S:
            return False
        self._cleared[cleared.fingerprint] = cleared.at
        rows = self._sightings.get(cleared.fingerprint, {})
        for life in [life for life, one in rows.items() if one.at <= cleared.at]:
            del rows[life]
        if not rows:
            self._sightings.pop(cleared.fingerprint, None)
        self._trials.pop(cleared.fingerprint, None)
        return True

    def _take_sighting(self, sighting: Sighting, now: float) -> bool:
        fingerprint = sighting.fingerprint
        self._ended.setdefault(sighting.life, sighting.at)
        old = now - sighting.at > defaults.EVIDENCE_S
        if old or sighting.at <= self._cleared.get(fingerprint, -1e9):
            return False
        rows = self._sightings.setdefault(fingerprint, {})
        if sighting.life in rows:
            return False
        rows[sighting.life] = sighting
        self._trials.pop(fingerprint, None)
        if self._weigh(rows.values()) >= defaults.ENDS_MAX:
            until = sighting.at + defaults.EVIDENCE_S
            self._take_verdict(Verdict(fingerprint, sighting.organisation, until), now)
        self._bound(sighting.organisation)
        return True

    def _take_verdict(self, verdict: Verdict, now: float) -> bool:
        known = self._verdicts.get(verdict.fingerprint)
        if verdict.until <= now:
            return False
        if known is not None and known.until >= verdict.until - defaults.SAME_MOMENT_S:
            return False
        self._verdicts[verdict.fingerprint] = verdict
        while len(self._verdicts) > defaults.VERDICTS_MAX:
            del self._verdicts[next(iter(self._verdicts))]
        return True

    def _take_trial(self, trial: Trial, now: float) -> bool:
        if trial.until <= now or trial.fingerprint in self._trials:
            return False
        self._trials[trial.fingerprint] = trial.until
        return True

    def end_trial(self, fingerprint: str) -> None:
        """Take that a suspect was not run after all."""
        self._trials.pop(fingerprint, None)

    def _bound(self, organisation: str) -> None:
        """Keep no more suspects than the bounds, so that no caller can fill the table."""
        if len(self._sightings) <= defaults.SUSPECTS_EACH_MAX:
            return
        own = [name for name, rows in self._sightings.items() if _of(rows) == organisation]
        if organisation and len(own) > defaults.SUSPECTS_EACH_MAX:
            del self._sightings[own[0]]
        if len(self._sightings) > defaults.SUSPECTS_MAX:
            del self._sightings[next(iter(self._sightings))]

    def tick(self, now: float) -> None:
        """Forget what is over, now and then."""
        if now - self._expired_at >= defaults.EXPIRE_EVERY_S:
            self._expired_at = now
            self._expire(now)

    def _expire(self, now: float) -> None:
        oldest = now - defaults.EVIDENCE_S
        self._digest = None
        for fingerprint, rows in list(self._sightings.items()):
            kept = {life: one for life, one in rows.items() if one.at > oldest}
            if kept:
                self._sightings[fingerprint] = kept
            else:
                del self._sightings[fingerprint]
        self._verdicts = {name: one for name, one in self._verdicts.items() if one.until > now}
        self._cleared = {name: at for name, at in self._cleared.items() if at > oldest}
        self._trials = {name: until for name, until in self._trials.items() if until > now}
        self._ended = {life: at for life, at in self._ended.items() if at > oldest}
        soonest = now - defaults.END_KNOWN_S
        for life, pending in list(self._pending.items()):
            if all(one.at < soonest for one in pending.values()):
                del self._pending[life]

    # What is asked of it.

    def known(self, fingerprint: str) -> bool:
        """Say whether a request is a suspect."""
        return fingerprint in self._sightings

    def ends(self, fingerprint: str) -> float:
        """Give how much evidence there is against a request, in ends of processes."""
        return self._weigh(self._sightings.get(fingerprint, {}).values())

    def last_at(self, fingerprint: str) -> float:
        """Give when a process ended under a request last."""
        rows = self._sightings.get(fingerprint, {})
        return max((one.at for one in rows.values()), default=-1e9)

    def lives(self, fingerprint: str) -> list[Life]:
        """Name the processes that ended under a request."""
        return list(self._sightings.get(fingerprint, {}))

    def verdict(self, fingerprint: str, now: float) -> Verdict | None:
        """Give the verdict on a request, where there is one."""
        found = self._verdicts.get(fingerprint)
        return found if found is not None and found.until > now else None

    def tried_until(self, fingerprint: str) -> float:
        """Give until when nobody else is to run a suspect."""
        return self._trials.get(fingerprint, -1e9)

    def verdicts(self, now: float) -> list[Verdict]:
        """List the verdicts that hold."""
        return [one for one in self._verdicts.values() if one.until > now]

    def whole(self, now: float) -> Evidence:
        """Give all that another node is to know."""
        sightings = [
            one
            for fingerprint, rows in self._sightings.items()
            if fingerprint not in self._verdicts
            for one in rows.values()
        ]
        cleared = [Cleared(name, at) for name, at in self._cleared.items()]
        trials = [Trial(name, until) for name, until in self._trials.items() if until > now]
        return Evidence(tuple(sightings), tuple(cleared), tuple(self.verdicts(now)), tuple(trials))

    def digest(self) -> int:
        """Give a number that is the same on nodes that know the same suspects and verdicts."""
        if self._digest is None:
            found = 0
            for fingerprint, rows in self._sightings.items():
                if fingerprint not in self._verdicts:
                    for life in rows:
                        found ^= mix(fingerprint, f"{life.endpoint}/{life.born}")
            for fingerprint in self._verdicts:
                found ^= mix(fingerprint, "verdict")
            self._digest = found
        return self._digest


def _of(rows: t.Mapping[Life, Sighting]) -> str:
    return next((one.organisation for one in rows.values()), "")
