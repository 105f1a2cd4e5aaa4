"""Rows of messages between nodes, and the types of their values.

A row that doesn't have its type is dropped where its message is decoded, so code that handles a
message gets rows of these types alone. All times are in seconds.
"""

import typing as t

import msgspec

from rookspring_core.request_rates import RATE_MIN_PER_S

# Neither infinite nor NaN, which would spread to whatever is computed from it. No time, rate or
# amount is larger.
NUMBER_MAX = 1e15
Number = t.Annotated[float, msgspec.Meta(ge=-NUMBER_MAX, le=NUMBER_MAX)]
Positive = t.Annotated[float, msgspec.Meta(gt=0, le=NUMBER_MAX)]
# The bounds below are of values that are kept, and compared with later ones. One beyond them would
# hold for as long as the node runs, since no sound one is greater or later.
# Time since something was seen: one below 0 would be of the future.
Age = t.Annotated[float, msgspec.Meta(ge=0.0, le=NUMBER_MAX)]
# Longest remaining time, in seconds.
LEFT_MAX_S = 86_400.0
Left = t.Annotated[float, msgspec.Meta(le=LEFT_MAX_S, ge=-NUMBER_MAX)]
# Era and revision of the platform's store, which has as many digits at most.
ERA_MAX = 10**9 - 1
Era = t.Annotated[int, msgspec.Meta(ge=0, le=ERA_MAX)]
REVISION_MAX = 10**18 - 1
Revision = t.Annotated[int, msgspec.Meta(ge=0, le=REVISION_MAX)]
# Version of a figure, which rises by one with each change, and a start in Unix milliseconds.
VERSION_MAX = 2**53 - 1
Version = t.Annotated[int, msgspec.Meta(ge=0, le=VERSION_MAX)]
StartMs = Version
# A count that fades, in hundredths; more ends than a fleet's answers in some minutes are none.
HUNDREDTHS_MAX = 10**11
Hundredths = t.Annotated[int, msgspec.Meta(ge=0, le=HUNDREDTHS_MAX)]
# A rate limit as nodes keep it, in requests a second.
Limit = t.Annotated[float, msgspec.Meta(ge=RATE_MIN_PER_S, le=NUMBER_MAX)]


# Heartbeats have hundreds of these rows; a plain tuple takes a third of a ``NamedTuple``'s time.
# A rate by the name of what it is of, such as a model; units for an organisation.
RateRow = tuple[str, Number]
# An endpoint, and a count there: of requests in flight, or of unread prompt tokens.
CountRow = tuple[str, int]
# An endpoint, and a model or adapter that is in use there.
UseRow = tuple[str, str]


class SpeedSampleRow(t.NamedTuple):
    """See ``SampleRow``; the numbers are in thousandths."""

    endpoint: str
    model: str
    weight: int
    log_s: int


class SpeedRow(t.NamedTuple):
    """An endpoint's speed, in thousandths."""

    endpoint: str
    speed: int


class MemberRow(t.NamedTuple):
    """A node that a relay reports; the fields are those of ``HeartbeatReceived``."""

    name: str
    incarnation: str
    address: str
    caller_address: str
    data_centre: str
    revision: int
    leaving: bool
    uptime_s: Number
    lease_epoch: int
    lease_ended: int
    relay: bool
    capacity: Number
    isolated: bool


class ListedRow(t.NamedTuple):
    """An entry as the store has it; see ``StoredObject``. A value of None removes it."""

    name: str
    version: Revision
    value: t.Any
    era: Era = 0


class LoadRow(t.NamedTuple):
    """The load of an endpoint whose report hasn't changed otherwise.

    :param digest: of the report that the row applies to.
    """

    endpoint: str
    digest: int
    age_s: Age
    running: int
    queued: int


class HintRow(t.NamedTuple):
    """Prefixes that an endpoint has cached."""

    endpoint: str
    prefixes: tuple[int, ...]


class NodeRow(t.NamedTuple):
    """A node and its capacity, as in ``HeartbeatReceived``."""

    name: str
    address: str
    data_centre: str
    capacity: Number


class LeavingRow(t.NamedTuple):
    """A leaving endpoint.

    :param started_ms: start of its process, in Unix milliseconds.
    :param age_s: age of the notice.
    """

    endpoint: str
    started_ms: StartMs
    age_s: Age


class RateLimitRow(t.NamedTuple):
    """An endpoint's rate limit; see ``RateRecord``."""

    endpoint: str
    started_ms: StartMs
    version: Version
    rate: Limit | None


class CloseCountRow(t.NamedTuple):
    """See ``CloseCount``; the counts are in hundredths."""

    service: str
    age_s: Age
    whole: Hundredths
    cut: Hundredths


class CrashRow(t.NamedTuple):
    """A crash of an endpoint during a request; see ``CrashRecord``."""

    fingerprint: str
    organisation: str
    endpoint: str
    started_ms: StartMs
    age_s: Age
    early: bool
    request: str


class RunRow(t.NamedTuple):
    """How far the run of a request had come as its endpoint crashed; see ``RunLength``."""

    fingerprint: str
    endpoint: str
    started_ms: StartMs
    events: Version
    seconds: Age


class SoundRunRow(t.NamedTuple):
    """A run after which its endpoint lived on, and its age; see ``SoundRun``."""

    fingerprint: str
    age_s: Age
    events: Version
    seconds: Age


class ClearedRow(t.NamedTuple):
    """A request that was found not to crash endpoints, and the age of that finding."""

    fingerprint: str
    age_s: Age


class VerdictRow(t.NamedTuple):
    """A verdict and its remaining time."""

    fingerprint: str
    organisation: str
    left_s: Left


class TrialRow(t.NamedTuple):
    """A trial and its remaining time."""

    fingerprint: str
    left_s: Left
