"""Rows of messages between nodes, and the types of their values.

A row that doesn't have its type is dropped where its message is decoded, so code that handles a
message gets rows of these types alone. All times are in seconds.
"""

import typing as t

import msgspec

# Neither infinite nor NaN, which would spread to whatever is computed from it. No time, rate or
# amount is larger.
NUMBER_MAX = 1e15
Number = t.Annotated[float, msgspec.Meta(ge=-NUMBER_MAX, le=NUMBER_MAX)]
Positive = t.Annotated[float, msgspec.Meta(gt=0, le=NUMBER_MAX)]


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
    version: int
    value: t.Any
    era: int = 0


class LoadRow(t.NamedTuple):
    """The load of an endpoint whose report hasn't changed otherwise.

    :param digest: of the report that the row applies to.
    """

    endpoint: str
    digest: int
    age_s: Number
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
    started_ms: int
    age_s: Number


class RateLimitRow(t.NamedTuple):
    """An endpoint's rate limit; see ``RateRecord``."""

    endpoint: str
    started_ms: int
    version: int
    rate: Number | None


class CrashRow(t.NamedTuple):
    """A crash of an endpoint during a request; see ``CrashRecord``."""

    fingerprint: str
    organisation: str
    endpoint: str
    started_ms: int
    age_s: Number
    early: bool
    request: str


class ClearedRow(t.NamedTuple):
    """A request that was found not to crash endpoints, and the age of that finding."""

    fingerprint: str
    age_s: Number


class VerdictRow(t.NamedTuple):
    """A verdict and its remaining time."""

    fingerprint: str
    organisation: str
    left_s: Number


class TrialRow(t.NamedTuple):
    """A trial and its remaining time."""

    fingerprint: str
    left_s: Number
