"""Records of services whose answers end with their connection, and of what came of such ends.

Where the rest of such an answer was asked for at another endpoint, it showed whether the first was
whole. A service that was never caught is believed; one that was caught is doubted while the share
of its ends that were cut is not small. A node sees few of them, and one that has just started none,
so nodes tell each other what they counted, and the sums decide. Counts fade with time.
"""

import math
import typing as t

# For how long it is remembered that a service ends answers so, and that one was cut.
RECORD_KEPT_S = 600.0
# The time in which counts fade to half, and the least that counts: one cut end counts for
# ``RECORD_KEPT_S``.
HALF_S = RECORD_KEPT_S / 2.0
COUNT_LEAST = 0.25
# Above this share of cut ends all are doubted: a part that is told as the whole is far worse for a
# caller than a whole that is cut, which it may repeat.
DOUBTED_SHARE = 0.05
# Services of which one node keeps a record, for each node that tells its own.
SERVICES_MAX = 64
# Key of this node's own counts among the sources.
_OWN = ""


class CloseCount(t.NamedTuple):
    """What is known of a service's answers that ended with their connection.

    :param age_s: time since the latest one, in seconds.
    :param whole: how many that had looked whole were, faded to the present.
    :param cut: how many of these were cut.
    """

    service: str
    age_s: float
    whole: float
    cut: float


class _Record:
    """Counts of one source and service, as of the time ``at``."""

    __slots__ = ("at", "closed_at", "cut", "whole")

    def __init__(self, now: float) -> None:
        self.closed_at = self.at = now
        self.whole = self.cut = 0.0

    def fade(self, now: float) -> None:
        factor = math.exp2((self.at - now) / HALF_S)
        self.whole *= factor
        self.cut *= factor
        self.at = now

    def is_old(self, now: float) -> bool:
        return now - self.closed_at >= RECORD_KEPT_S and self.cut <= COUNT_LEAST


def name_bodies(service: str) -> str:
    """Return the name under which a service's bodies are counted, apart from its streams.

    Most bodies show their end themselves, so they would outweigh streams that were cut.
    """
    return f"{service} (bodies)"


class CloseRecords:
    """What a node knows of its services' answers that ended with their connection."""

    def __init__(self) -> None:
        # By source, which is a node that tells its counts, and by service.
        self._records: dict[str, dict[str, _Record]] = {_OWN: {}}

    def note_close(self, service: str, now: float) -> None:
        """Note that an answer of a service ended with its connection."""
        self._find_own(service, now).closed_at = now

    def note_outcome(self, service: str, whole: bool, now: float) -> None:
        """Note what came of an end that had looked like the answer's own."""
        record = self._find_own(service, now)
        record.fade(now)
        record.closed_at = now
        if whole:
            record.whole += 1.0
        else:
            record.cut += 1.0

    def ends_by_close(self, service: str, now: float) -> bool:
        """Return whether answers of a service lately ended with their connection."""
        found = self._find(service)
        return any(now - record.closed_at < RECORD_KEPT_S for record in found)

    def is_caught(self, service: str, now: float) -> bool:
        """Return whether such ends of a service are doubted, as some turned out to be cut."""
        whole = cut = 0.0
        for record in self._find(service):
            record.fade(now)
            whole += record.whole
            cut += record.cut
        return cut > COUNT_LEAST and cut > DOUBTED_SHARE * (whole + cut)

    def take_counts(self, source: str, rows: t.Iterable[CloseCount], now: float) -> None:
        """Replace the counts of another node.

        Those of services that it doesn't name, as one that has just started, fade.
        """
        records = self._records.setdefault(source, {})
        for row in rows:
            record = records[row.service] = _Record(now)
            record.closed_at = now - row.age_s
            record.whole, record.cut = row.whole, row.cut
        _drop_oldest(records)

    def keep_sources(self, names: t.Container[str]) -> None:
        """Forget the counts of all other nodes than some, as others tell theirs."""
        for source in [one for one in self._records if one != _OWN and one not in names]:
            del self._records[source]

    def forget_old(self, now: float) -> None:
        """Forget what is too old to count."""
        for source, records in list(self._records.items()):
            for service, record in list(records.items()):
                record.fade(now)
                if record.is_old(now):
                    del records[service]
            if not records and source != _OWN:
                del self._records[source]

    def sum_counts(self, sources: t.Iterable[str], now: float) -> list[CloseCount]:
        """Return the sums over this node and some others."""
        return self._sum((_OWN, *sources), now)

    def sum_others(self, names: t.Iterable[str], now: float) -> dict[str, list[CloseCount]]:
        """Return for each of some nodes the sums over this node and all others but that one.

        The ages are those over all.
        """
        sums = self._sum(list(self._records), now)
        return {name: [self._subtract(row, name) for row in sums] for name in names}

    def _subtract(self, row: CloseCount, source: str) -> CloseCount:
        record = self._records.get(source, {}).get(row.service)
        if record is None:
            return row
        whole, cut = row.whole - record.whole, row.cut - record.cut
        return row._replace(whole=max(0.0, whole), cut=max(0.0, cut))

    def _sum(self, sources: t.Iterable[str], now: float) -> list[CloseCount]:
        sums: dict[str, CloseCount] = {}
        for source in sources:
            for service, record in self._records.get(source, {}).items():
                record.fade(now)
                known = sums.get(service, CloseCount(service, math.inf, 0.0, 0.0))
                sums[service] = CloseCount(
                    service,
                    min(known.age_s, now - record.closed_at),
                    known.whole + record.whole,
                    known.cut + record.cut,
                )
        return sorted(sums.values(), key=lambda row: row.age_s)[:SERVICES_MAX]

    def _find(self, service: str) -> t.Iterator[_Record]:
        for records in self._records.values():
            if (record := records.get(service)) is not None:
                yield record

    def _find_own(self, service: str, now: float) -> _Record:
        records = self._records[_OWN]
        if service not in records:
            records[service] = _Record(now)
            _drop_oldest(records)
        return records[service]


def _drop_oldest(records: dict[str, _Record]) -> None:
    while len(records) > SERVICES_MAX:
        del records[min(records, key=lambda one: records[one].closed_at)]
