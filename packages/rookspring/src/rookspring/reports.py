"""Endpoint reports as rows that nodes send each other."""

import typing as t

from rookspring_core.events import EndpointReported
from rookspring_core.hashing import stable_hash

from . import defaults


def digest_of(report: EndpointReported) -> int:
    """Name all of a report but its load and its age."""
    steady = report._replace(at=0.0, age_s=0.0, running=0, queued=0)
    return stable_hash(repr(steady))


class ReportLog:
    """What reports were shared last, so that an unchanged one goes out short.

    The whole is sent again every ``REPORT_WHOLE_S`` and to whoever has just come.
    """

    def __init__(self) -> None:
        self._sent: dict[str, tuple[int, float]] = {}

    def row_for(self, report: EndpointReported, now: float) -> list[t.Any]:
        """Give the row to share: short where nothing but the load has changed."""
        digest = digest_of(report)
        known, at = self._sent.get(report.endpoint, (0, -1e9))
        if known == digest and now - at < defaults.REPORT_WHOLE_S:
            return [report.endpoint, digest, report.age_s, report.running, report.queued]
        self._sent[report.endpoint] = (digest, now)
        return encode_report(report, now)

    def forget(self) -> None:
        """Send everything whole again, since a node has come that has nothing."""
        self._sent.clear()


def encode_report(report: EndpointReported, now: float) -> list[t.Any]:
    """Turn a report into plain data; its time becomes an age."""
    row = list(report)
    row[0] = 0.0
    row[3] = report.age_s + max(0.0, now - report.at)
    return row


def decode_report(row: list[t.Any], now: float) -> EndpointReported:
    """Turn plain data into a report."""
    raw = EndpointReported(*row)
    return raw._replace(
        at=now,
        resident=tuple((one[0], one[1]) for one in raw.resident),
        loading=tuple((one[0], one[1]) for one in raw.loading),
        adapters=tuple(raw.adapters),
        in_memory=tuple(raw.in_memory),
        on_disk=tuple(raw.on_disk),
        order_token=(raw.order_token[0], raw.order_token[1]),
    )
