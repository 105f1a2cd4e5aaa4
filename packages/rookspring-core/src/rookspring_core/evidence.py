"""Evidence on requests, and on parts of prompts, that crash endpoints, as nodes exchange it.

Of what it speaks (a request, or a part of its prompt), and the records of which it consists. What
follows from it is decided in :mod:`suspects`. Times are of this node's clock.
"""

import typing as t

from .sound_runs import RunLength
from .sound_runs import SoundRun

if t.TYPE_CHECKING:
    from .events import RequestArrived

# How the name of a part begins where fingerprints of requests stand, which are hexadecimal.
_PART_PREFIX = "part:"


def subjects_of(arrived: "RequestArrived") -> tuple[str, ...]:
    """Return what may crash the endpoints that run a request: itself, and parts of its prompt.

    Parts are told apart by the organisation that sends them, so that none can have another's
    requests refused.
    """
    own = (arrived.fingerprint,) if arrived.fingerprint else ()
    parts = dict.fromkeys(arrived.parts)
    return (*own, *(f"{_PART_PREFIX}{arrived.team}:{part:x}" for part in parts))


def is_part(subject: str) -> bool:
    """Return whether a suspect is a part of prompts, and not one request."""
    return subject.startswith(_PART_PREFIX)


class EndpointProcess(t.NamedTuple):
    """One process of an endpoint, identified by its start time.

    :param started_ms: in milliseconds, or a smaller number hashed from its incarnation; 0 if
        neither is known.
    """

    endpoint: str
    started_ms: int


class CrashRecord(t.NamedTuple):
    """A request that was in flight, or may have been, on a process when it crashed.

    :param fingerprint: of the request, or the name of a part of its prompt; see
        :func:`subjects_of`. So in the other records.
    :param organisation: the organisation that sent it; empty if unknown.
    :param early: whether its response had begun only a short time before, or not at all.
    :param request: fingerprint of the request, where the record is of a part of its prompt.
    :param length: how far the longest of its runs there had come; None if its node states none.
    """

    fingerprint: str
    organisation: str
    process: EndpointProcess
    at: float
    early: bool
    request: str = ""
    length: RunLength | None = None


class Cleared(t.NamedTuple):
    """A request that succeeded at a moment, which voids the crash records up to then."""

    fingerprint: str
    at: float


class Verdict(t.NamedTuple):
    """A request that is found to crash the processes that run it, quarantined until a time."""

    fingerprint: str
    organisation: str
    until: float


class Trial(t.NamedTuple):
    """A suspect of several crashes that is being run; until a time no other run may begin."""

    fingerprint: str
    until: float


class Evidence(t.NamedTuple):
    """A batch of evidence, as nodes exchange it."""

    crash_records: tuple[CrashRecord, ...] = ()
    cleared: tuple[Cleared, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    trials: tuple[Trial, ...] = ()
    sound_runs: tuple[SoundRun, ...] = ()

    def empty(self) -> bool:
        """Return whether the batch is empty."""
        return not any(self)
