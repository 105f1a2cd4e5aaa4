"""Encoding of endpoint reports as rows of messages between nodes.

Nodes of an earlier version know no time at which an endpoint ends (``ends_in_s``): a report that
states none is a row, and has a digest, as they have them.
"""

import typing as t

from rookspring_core.events import EndpointReported
from rookspring_core.hashing import stable_hash

from . import defaults
from .message_rows import LoadRow


def digest_without_load(report: EndpointReported) -> int:
    """Return a hash of a report without its load and its times."""
    without_load = report._replace(at=0.0, age_s=0.0, running=0, queued=0, ends_in_s=None)
    return stable_hash(repr(without_load).replace(", ends_in_s=None)", ")"))


class ReportLog:
    """The reports shared last, so that one with nothing but a new load is sent as a short row.

    A full row is sent every ``FULL_REPORT_INTERVAL_S``, and after a node has linked.
    """

    def __init__(self) -> None:
        self._sent: dict[str, tuple[int, float]] = {}

    def row_for(self, report: EndpointReported, now: float) -> t.Any:
        """Return the row to share: short if nothing but load and age has changed."""
        digest = digest_without_load(report)
        known, at = self._sent.get(report.endpoint, (0, -1e9))
        if known == digest and now - at < defaults.FULL_REPORT_INTERVAL_S:
            return LoadRow(report.endpoint, digest, report.age_s, report.running, report.queued)
        self._sent[report.endpoint] = (digest, now)
        return encode_report(report, now)

    def reset(self) -> None:
        """Send full rows again, since a newly linked node has no reports."""
        self._sent.clear()


def encode_report(report: EndpointReported, now: float) -> t.Any:
    """Encode a report as a row; its time becomes an age."""
    row = report._replace(at=0.0, age_s=report.age_s + max(0.0, now - report.at))
    return tuple(row[:-1]) if row.ends_in_s is None else row


def decode_report(row: EndpointReported, now: float) -> EndpointReported:
    """Decode a full row to a report, dated now with the row's age."""
    return row._replace(at=now)
