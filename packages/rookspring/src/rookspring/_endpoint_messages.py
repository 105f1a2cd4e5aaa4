"""Messages about endpoints: their entries, reports, notices, crashes, speeds and loads."""

import typing as t

from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported

from ._message_coding import message
from .message_rows import Age
from .message_rows import ClearedRow
from .message_rows import CloseCountRow
from .message_rows import CountRow
from .message_rows import CrashRow
from .message_rows import HintRow
from .message_rows import LeavingRow
from .message_rows import ListedRow
from .message_rows import LoadRow
from .message_rows import Number
from .message_rows import RateLimitRow
from .message_rows import RunRow
from .message_rows import SoundRunRow
from .message_rows import SpeedRow
from .message_rows import SpeedSampleRow
from .message_rows import TrialRow
from .message_rows import VerdictRow


@message("speeds")
class EndpointSpeeds(t.NamedTuple):
    """What the sender knows of endpoints' speeds; numbers are in thousandths.

    :param samples: rows of endpoint, model, weight and logarithm of seconds; see ``SampleRow``.
    :param speeds: rows of endpoint and speed.
    """

    samples: list[SpeedSampleRow]
    speeds: list[SpeedRow]


@message("listed")
class Listed(t.NamedTuple):
    """Entries of endpoints as the store has them, for the sender's followers.

    :param rows: name, revision, value and the store's era; a value of None removes the entry.
    :param complete: the rows are all entries.
    """

    rows: list[ListedRow]
    complete: bool


@message("reports")
class Reports(t.NamedTuple):
    """Reports of endpoints; see :mod:`reports` for the rows."""

    rows: list[EndpointReported | LoadRow]


@message("hints")
class Hints(t.NamedTuple):
    """Prefixes that endpoints have cached, as rows of endpoint and prefixes."""

    rows: list[HintRow]


@message("boxes")
class Boxes(t.NamedTuple):
    """The platform's box list as a relay read it."""

    rows: list[BoxListed]


@message("coming")
class ModelLoading(t.NamedTuple):
    """A model is being loaded at an endpoint.

    :param ready_in_s: time until it is expected to be resident, in seconds.
    """

    endpoint: str
    model: str
    ready_in_s: Number


@message("down")
class EndpointDown(t.NamedTuple):
    """Nothing listens at an endpoint, as a node has just found."""

    endpoint: str


@message("shed")
class ShedMessage(t.NamedTuple):
    """An endpoint shed a request.

    :param for_s: for how long other endpoints are to be preferred, in seconds.
    """

    endpoint: str
    for_s: Number


@message("broke")
class BreakMessage(t.NamedTuple):
    """An endpoint broke an answer off.

    :param age_s: how long ago, in seconds.
    """

    endpoint: str
    age_s: Age


@message("closes")
class CloseCountsMessage(t.NamedTuple):
    """Counts of answers that ended with their connection, by service."""

    rows: list[CloseCountRow]


@message("leaving")
class LeavingMessage(t.NamedTuple):
    """Leaving endpoints, as rows of name, start time and age of the notice in seconds."""

    rows: list[LeavingRow]


@message("rates")
class RatesMessage(t.NamedTuple):
    """Endpoints' rate limits, as rows of name, start time, version and requests per second.

    The rate is None if the limit has ended; see ``RateRecord``.
    """

    rows: list[RateLimitRow]


@message("evidence")
class EvidenceMessage(t.NamedTuple):
    """Evidence of requests that crash endpoints; see ``Evidence``. All times are in seconds.

    :param crash_records: rows of fingerprint, organisation, endpoint, start time of its process,
        age, and whether the crash was early in the request; and rows of how far these runs had
        come, which nodes of earlier versions leave out.
    :param cleared: rows of fingerprint and age; and of sound runs, likewise.
    :param verdicts: rows of fingerprint, organisation and remaining time.
    :param trials: rows of fingerprint and remaining time.
    """

    crash_records: list[CrashRow | RunRow]
    cleared: list[ClearedRow | SoundRunRow]
    verdicts: list[VerdictRow]
    trials: list[TrialRow]


@message("prompts")
class Prompts(t.NamedTuple):
    """Unread prompt tokens, as rows of endpoint and tokens.

    They are those of the sender's requests, or the sum over several nodes' requests.
    """

    rows: list[CountRow]


@message("want-model")
class LoadRequestMessage(t.NamedTuple):
    """Request that the lease holder load what is resident on no endpoint; see ``RequestLoad``.

    :param latest_retry_s: when the caller will have retried at the latest if its request is
        refused, in seconds from now.
    """

    service: str
    model: str
    adapter: str
    latest_retry_s: Number
