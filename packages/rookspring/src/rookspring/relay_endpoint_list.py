"""The platform's list of endpoints, read from the store or received from another node."""

import asyncio
import typing as t

import orjson

from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import EndpointReported

from . import clock
from . import defaults
from .logs import log
from .message_rows import ListedRow
from .messages import Listed
from .peers import Link
from .platform import StoredObject
from .relay_context import RelayContext
from .relay_peers import RelayPeers
from .relay_peers import receives
from .store_reachability import StoreReachability


class MissingEntry(t.NamedTuple):
    """An entry that is missing from the store: until when it is kept.

    :param lost_in_restore: it was known before the store was restored from a backup, and is only
        missing since; the endpoint need not have deleted it.
    """

    kept_until: float
    lost_in_restore: bool = False


class DroppedEntry(t.NamedTuple):
    """An entry that was dropped.

    :param position: position of its last row in the store's history.
    :param started_ms: start time of the endpoint's process in that row, in milliseconds.
    :param lost_in_restore: as in :class:`MissingEntry`.
    """

    position: tuple[int, int]
    started_ms: int
    lost_in_restore: bool


class DeferredRow(t.NamedTuple):
    """A row that may be outdated: it is applied once it has remained for ``wait_s`` seconds."""

    row: StoredObject
    deferred_at: float
    wait_s: float

    def is_due(self, now: float) -> bool:
        """Return whether it has remained for long enough."""
        return now - self.deferred_at >= self.wait_s


class EndpointList:
    """The endpoints that the store lists, and those whose entries are missing for a short time.

    Two kinds of rows are not applied at once:

    - A row of an earlier process of an endpoint, which usually is a late one. If it stays listed
      for longer than a row can be late, the endpoint's clock was stepped back, and it is applied.
    - A row from a list, if the known row is of an earlier era: it may stem from the backup from
      which the store was restored. A live endpoint writes its entry again, which arrives as a
      change. The row is applied if it is still listed after the time that this takes, or after
      the time for which the entry of an endpoint that is gone can remain.

    An entry that is missing after an outage is kept for ``LAPSE_GRACE_S``, since live endpoints
    write theirs again; then the endpoint is dropped. Changes are sent to the nodes that follow
    this one, which apply them as they are.
    """

    def __init__(self, context: RelayContext, peers: RelayPeers, reach: StoreReachability) -> None:
        self._context = context
        self._peers = peers
        self._reach = reach
        self._rows: dict[str, BoxListed] = {}
        self._stored: dict[str, StoredObject] = {}
        # Dropped entries; rows that are no newer than these are ignored.
        self._dropped: dict[str, DroppedEntry] = {}
        self._missing: dict[str, MissingEntry] = {}
        # When each endpoint's process started; see ``restarts.py`` of the core.
        self._started_ms: dict[str, int] = {}
        self._deferred: dict[str, DeferredRow] = {}
        # Malformed rows, each with the error that was logged.
        self._malformed: dict[str, str] = {}
        self._changed: dict[str, StoredObject] = {}

    def apply_store_rows(self, rows: tuple[StoredObject, ...], whole: bool) -> None:
        """Apply rows from the store: changed ones, or all that there are if ``whole``."""
        now = clock.now()
        if whole:
            names = {row.name for row in rows}
            for name in {*self._rows, *self._deferred} - names:
                self._mark_missing(name, now, self._known_from_earlier_era(name))
            self._malformed = {name: why for name, why in self._malformed.items() if name in names}
        taken = (self._take_row(row, now, whole) for row in rows)
        reports = [report for report in taken if report is not None]
        self.drop_expired(now)
        self._submit(reports)

    def apply_peer_rows(self, rows: tuple[StoredObject, ...], whole: bool) -> None:
        """Apply rows from another node, which are all that it has if ``whole``."""
        now = clock.now()
        if whole:
            for name in set(self._rows) - {row.name for row in rows}:
                self._drop(name)
        reports = []
        for row in rows:
            if row.value is None:
                self._drop(row.name)
            elif (report := self._try_row(row, now, checked=True)) is not None:
                reports.append(report)
        self.drop_expired(now)
        self._submit(reports)

    def _submit(self, reports: list[EndpointReported]) -> None:
        for report in reports:
            self._context.submit(report)
        self._context.endpoints_listed = True
        self._context.set_malformed_entries(len(self._malformed))
        self._send_changes()

    def _take_row(self, row: StoredObject, now: float, listed: bool) -> EndpointReported | None:
        if row.value is None:
            self._mark_missing(row.name, now)
            return None
        return self._try_row(row, now, listed)

    def _try_row(
        self, row: StoredObject, now: float, listed: bool = False, checked: bool = False
    ) -> EndpointReported | None:
        """Apply a row as :meth:`_apply_row`; one that fails counts as malformed."""
        try:
            return self._apply_row(row, now, listed, checked)
        except Exception as error:  # noqa: BLE001
            # Whatever one row does, the others apply.
            self._record_malformed(row, repr(error), now)
            return None

    def _known_from_earlier_era(self, name: str) -> bool:
        """Return whether the latest row that is known of an entry is of an earlier era."""
        known = self._stored.get(name)
        return known is not None and known.era < self._context.state.store_era

    def _may_be_from_backup(self, row: StoredObject, started_ms: int, now: float) -> bool:
        """Return whether a listed row may be older than the known one of an earlier era."""
        known = self._stored.get(row.name)
        gone = self._dropped.get(row.name)
        if known is not None:
            if (
                known.era == row.era
                or known.value == row.value
                or started_ms > self._started_ms[row.name]
            ):
                return False
            return self._defer(row, now, defaults.LAPSE_GRACE_S)
        if (
            gone is None
            or gone.lost_in_restore
            or gone.position[0] == row.era
            or started_ms > gone.started_ms
        ):
            return False
        return self._defer(row, now, defaults.LATE_ROW_S)

    def _defer(self, row: StoredObject, now: float, wait_s: float) -> bool:
        """Defer a row; return whether it has to wait for longer."""
        known = self._deferred.get(row.name)
        if known is None or known.row.position[0] != row.era:
            known = DeferredRow(row, now, wait_s)
        self._deferred[row.name] = known._replace(row=row, wait_s=wait_s)
        return now - known.deferred_at < wait_s

    def _apply_row(
        self, row: StoredObject, now: float, listed: bool = False, checked: bool = False
    ) -> EndpointReported | None:
        """Apply a row; return its report, or None if the row changes nothing or is not applied.

        :param listed: it comes from a list of all rows, so it need not have changed.
        :param checked: the node that read it from the store has checked its start time.
        """
        known = self._stored.get(row.name)
        if known is not None and known.position == row.position:
            self._missing.pop(row.name, None)
            return None
        if self._is_outdated(row):
            return None
        try:
            found, report = self._context.dialect.read_endpoint(row, now)
            _check_size(row)
        except ValueError as error:
            self._record_malformed(row, str(error), now)
            return None
        self._malformed.pop(row.name, None)
        self._missing.pop(row.name, None)
        # A process that is leaving never stops leaving, so this holds whatever the row's age.
        if listed and not report.leaving and self._may_be_from_backup(row, report.started_ms, now):
            return None
        if report.started_ms and report.started_ms < self._started_ms.get(row.name, 0):
            if not checked and self._defer(row, now, defaults.LATE_ROW_S):
                return None
            report = report._replace(start_confirmed=True)
        self._deferred.pop(row.name, None)
        before = self._rows.get(row.name)
        if (
            before is not None
            and before.state == "leaving"
            and before.started_ms == report.started_ms
        ):
            # A process that is leaving never stops leaving, whatever its entry contains later.
            found = found._replace(state="leaving")
            report = report._replace(leaving=True)
        self._started_ms[row.name] = report.started_ms
        if before != found:
            log(
                "endpoint_listed",
                endpoint=row.name,
                address=found.address,
                service=found.service,
                state=found.state,
                revision=row.version,
                era=row.era,
            )
            if found.state == "leaving":
                # Nodes whose calls the store refuses learn of it from this node.
                self._context.share_report(report)
        self._rows[row.name] = found
        self._stored[row.name] = row
        self._changed[row.name] = row
        return report

    def _is_outdated(self, row: StoredObject) -> bool:
        """Return whether a row is older than the known row, or no newer than a dropped one."""
        known = self._stored.get(row.name)
        gone = self._dropped.get(row.name)
        if known is not None:
            older = row.position < known.position
        else:
            older = gone is not None and row.position <= gone.position
        if older:
            log(
                "entry_passed_over",
                endpoint=row.name,
                revision=row.version,
                era=row.era,
                gone=known is None,
            )
        return older

    def _record_malformed(self, row: StoredObject, detail: str, now: float) -> None:
        """Record a malformed row; if the entry has an earlier valid row, it counts as missing.

        A live endpoint writes its entry again at its next heartbeat. Until then, or until
        ``LAPSE_GRACE_S`` has passed, the last valid row is used.
        """
        detail = detail[: defaults.DETAIL_MAX]
        if self._malformed.get(row.name) != detail:
            log("endpoint_malformed", "ERROR", endpoint=row.name, detail=detail)
        self._malformed[row.name] = detail
        if row.name in self._rows:
            self._missing.setdefault(row.name, MissingEntry(now + defaults.LAPSE_GRACE_S))

    def _mark_missing(self, name: str, now: float, lost_in_restore: bool = False) -> None:
        self._malformed.pop(name, None)
        self._deferred.pop(name, None)
        if name in self._rows:
            self._missing.setdefault(name, MissingEntry(now, lost_in_restore))

    def _drop(self, name: str) -> None:
        missing = self._missing.pop(name, MissingEntry(0.0))
        stored = self._stored.pop(name, None)
        if stored is None:
            return
        del self._rows[name]
        self._deferred.pop(name, None)
        self._dropped[name] = DroppedEntry(
            stored.position, self._started_ms.pop(name, 0), missing.lost_in_restore
        )
        self._changed[name] = stored._replace(value=None)

    def drop_expired(self, now: float) -> None:
        """Drop entries that have been missing for too long, and submit the list to the reducer.

        None is dropped during an outage of the store.
        """
        grace_end = self._reach.recovered_at + defaults.LAPSE_GRACE_S
        for name, missing in list(self._missing.items()):
            until = max(missing.kept_until, grace_end)
            if now >= until and self._reach.unreachable_since is None:
                self._drop(name)
                log("endpoint_gone", endpoint=name, late_s=now - until)
        self._context.submit(BoxListReceived(now, tuple(self._rows.values())))

    async def expiry_loop(self) -> None:
        """Apply deferred rows and drop missing entries when their time is over."""
        while True:
            await asyncio.sleep(defaults.LAPSE_CHECK_S)
            self.apply_due_rows(clock.now())
            if self._missing:
                self.drop_expired(clock.now())
                self._send_changes()

    def apply_due_rows(self, now: float) -> None:
        """Apply the deferred rows whose wait is over."""
        due = [one.row for one in self._deferred.values() if one.is_due(now)]
        if due:
            self.apply_store_rows(tuple(due), False)

    def _send_changes(self) -> None:
        """Send the changed rows to the nodes that follow this one."""
        if not self._changed:
            return
        item = Listed([ListedRow(*row) for row in self._changed.values()], False)
        self._changed = {}
        for name in self._peers.followers:
            link = self._peers.server.links.get(name)
            if link is not None:
                link.send(item)

    def send_all_rows(self, link: Link) -> None:
        """Send all rows to a node that begins to follow this one."""
        if self._context.endpoints_listed:
            link.send(Listed([ListedRow(*row) for row in self._stored.values()], True))


def _check_size(row: StoredObject) -> None:
    """Check the size of an entry, all of which is sent to the nodes that follow this one.

    :raises ValueError: if it is too large.
    """
    if len(orjson.dumps(row.value)) > defaults.ENTRY_BYTES_MAX:
        raise ValueError(f"spec: more than {defaults.ENTRY_BYTES_MAX} bytes")


@receives(Listed)
def take_endpoint_rows(peers: RelayPeers, link: Link, listed: Listed) -> None:
    """Apply endpoint rows that another node sent."""
    rows = tuple(StoredObject(row.name, row.version, row.value, row.era) for row in listed.rows)
    peers.context.take_endpoint_rows(rows, listed.complete, link.name)
