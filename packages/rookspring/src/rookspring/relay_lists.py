"""The platform's list of endpoints: read from the store, or told by a node that did."""

import asyncio
import typing as t

from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import EndpointReported

from . import clock
from . import defaults
from .logs import log
from .messages import Listed
from .peers import Link
from .platform import StoredObject
from .reach import Reach
from .relay_context import RelayContext
from .relay_peers import RelayPeers
from .relay_peers import receives


class Missing(t.NamedTuple):
    """An entry that is missing: until when it may come back.

    :param lacked: no more is known than that the store lacked it when it came back from a copy.
    """

    until: float
    lacked: bool = False


class Gone(t.NamedTuple):
    """An entry that went: where the store stood at its last row, and which life it was of.

    :param lacked: as of one that is missing.
    """

    position: tuple[int, int]
    born: int
    lacked: bool


class Doubted(t.NamedTuple):
    """A row that changes nothing until it has stood for a while, in seconds."""

    row: StoredObject
    since: float
    wait_s: float

    def stood(self, now: float) -> bool:
        """Say whether it has stood for long enough."""
        return now - self.since >= self.wait_s


class EndpointList:
    """Endpoints as the store lists them, with what lapsed while it was away.

    A row of an endpoint's earlier life that comes late changes nothing, unless it stands for
    longer than a late word can: then the endpoint's clock has stepped back. Nor does a row
    of a list, where one of the store's era before is known: it may be of the copy from which
    the store came back. A live endpoint writes its entry again, which comes as a change; what
    stands for longer than that takes, or than the entry of one that is gone can, is taken.

    An entry that is missing after an outage is given ``LAPSE_GRACE_S`` to come back,
    since live endpoints write theirs anew; after that the endpoint counts as gone. What
    changes is passed on to the nodes that follow this one, which take it as it is.
    """

    def __init__(self, context: RelayContext, peers: RelayPeers, reach: Reach) -> None:
        self._context = context
        self._peers = peers
        self._reach = reach
        self._rows: dict[str, BoxListed] = {}
        self._stored: dict[str, StoredObject] = {}
        # Entries that went: an older row does not bring one back.
        self._gone: dict[str, Gone] = {}
        self._missing: dict[str, Missing] = {}
        # When each endpoint was started; see ``lives`` of the core.
        self._born: dict[str, int] = {}
        self._doubted: dict[str, Doubted] = {}
        # Rows that cannot be read, each with the reason that was told.
        self._malformed: dict[str, str] = {}
        self._changed: dict[str, StoredObject] = {}

    def take(self, rows: tuple[StoredObject, ...], whole: bool) -> None:
        """Take changed entries from the store, or all that there are."""
        now = clock.now()
        if whole:
            names = {row.name for row in rows}
            for name in {*self._rows, *self._doubted} - names:
                self._lose(name, now, self._known_before(name))
            self._malformed = {name: why for name, why in self._malformed.items() if name in names}
        taken = (self._take_row(row, now, whole) for row in rows)
        reports = [report for report in taken if report is not None]
        self.settle(now)
        self._submit(reports)

    def take_told(self, rows: tuple[StoredObject, ...], whole: bool) -> None:
        """Take entries from the node that this one follows."""
        now = clock.now()
        if whole:
            for name in set(self._rows) - {row.name for row in rows}:
                self._drop(name)
        reports = []
        for row in rows:
            if row.value is None:
                self._drop(row.name)
            elif (report := self._keep(row, now, judged=True)) is not None:
                reports.append(report)
        self.settle(now)
        self._submit(reports)

    def _submit(self, reports: list[EndpointReported]) -> None:
        for report in reports:
            self._context.submit(report)
        self._context.listed = True
        self._context.count_malformed(len(self._malformed))
        self._pass_on()

    def _take_row(self, row: StoredObject, now: float, listed: bool) -> EndpointReported | None:
        if row.value is None:
            self._lose(row.name, now)
            return None
        return self._keep(row, now, listed)

    def _known_before(self, name: str) -> bool:
        """Say whether an entry is known from an earlier era of the store alone."""
        known = self._stored.get(name)
        return known is not None and known.era < self._context.state.store_era

    def _may_be_copied(self, row: StoredObject, born: int, now: float) -> bool:
        """Say whether a row of a list may be older than what is known from an earlier era."""
        known = self._stored.get(row.name)
        gone = self._gone.get(row.name)
        if known is not None:
            if known.era == row.era or known.value == row.value or born > self._born[row.name]:
                return False
            return self._doubt(row, now, defaults.LAPSE_GRACE_S)
        if gone is None or gone.lacked or gone.position[0] == row.era or born > gone.born:
            return False
        return self._doubt(row, now, defaults.LATE_ROW_S)

    def _doubt(self, row: StoredObject, now: float, wait_s: float) -> bool:
        """Doubt a row; says whether it has not stood for long enough yet."""
        known = self._doubted.get(row.name)
        if known is None or known.row.position[0] != row.era:
            known = Doubted(row, now, wait_s)
        self._doubted[row.name] = known._replace(row=row, wait_s=wait_s)
        return now - known.since < wait_s

    def _keep(
        self, row: StoredObject, now: float, listed: bool = False, judged: bool = False
    ) -> EndpointReported | None:
        """Keep a row; gives what it tells, unless it is nothing new or of an earlier life.

        :param listed: it stands in a list of all, so it need not have changed.
        :param judged: whoever watches the store has judged of which life it is.
        """
        known = self._stored.get(row.name)
        if known is not None and known.position == row.position:
            self._missing.pop(row.name, None)
            return None
        if self._passes_over(row):
            return None
        try:
            found, report = self._context.dialect.read_endpoint(row, now)
        except ValueError as error:
            self._refuse(row, str(error), now)
            return None
        self._malformed.pop(row.name, None)
        self._missing.pop(row.name, None)
        # That a life leaves is true whenever it was written.
        if listed and not report.leaving and self._may_be_copied(row, report.started_ms, now):
            return None
        if report.started_ms and report.started_ms < self._born.get(row.name, 0):
            if not judged and self._doubt(row, now, defaults.LATE_ROW_S):
                return None
            report = report._replace(start_confirmed=True)
        self._doubted.pop(row.name, None)
        before = self._rows.get(row.name)
        if (
            before is not None
            and before.state == "leaving"
            and before.started_ms == report.started_ms
        ):
            # A life that leaves does not stay after all, whatever its entry says later.
            found = found._replace(state="leaving")
            report = report._replace(leaving=True)
        self._born[row.name] = report.started_ms
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
                # Nodes that the store turns away learn of it from this one.
                self._context.share(report)
        self._rows[row.name] = found
        self._stored[row.name] = row
        self._changed[row.name] = row
        return report

    def _passes_over(self, row: StoredObject) -> bool:
        """Say whether a row is older than what is known of its entry."""
        known = self._stored.get(row.name)
        gone = self._gone.get(row.name)
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

    def _refuse(self, row: StoredObject, detail: str, now: float) -> None:
        """Leave a row out that cannot be read; one that could is taken for missing.

        A live endpoint writes its entry anew at its next heartbeat. Until then, or until
        ``LAPSE_GRACE_S`` is over, it is used as its last good row said.
        """
        if self._malformed.get(row.name) != detail:
            log("endpoint_malformed", "ERROR", endpoint=row.name, detail=detail)
        self._malformed[row.name] = detail
        if row.name in self._rows:
            self._missing.setdefault(row.name, Missing(now + defaults.LAPSE_GRACE_S))

    def _lose(self, name: str, now: float, lacked: bool = False) -> None:
        self._malformed.pop(name, None)
        self._doubted.pop(name, None)
        if name in self._rows:
            self._missing.setdefault(name, Missing(now, lacked))

    def _drop(self, name: str) -> None:
        missing = self._missing.pop(name, Missing(0.0))
        stored = self._stored.pop(name, None)
        if stored is None:
            return
        del self._rows[name]
        self._doubted.pop(name, None)
        self._gone[name] = Gone(stored.position, self._born.pop(name, 0), missing.lacked)
        self._changed[name] = stored._replace(value=None)

    def settle(self, now: float) -> None:
        """Drop what is missing for good, and tell the reducer the list."""
        back_until = self._reach.back_at + defaults.LAPSE_GRACE_S
        for name, missing in list(self._missing.items()):
            until = max(missing.until, back_until)
            if now >= until and self._reach.lost_at is None:
                self._drop(name)
                log("endpoint_gone", endpoint=name, late_s=now - until)
        self._context.submit(BoxListReceived(now, tuple(self._rows.values())))

    async def settle_loop(self) -> None:
        """Look after entries that are missing."""
        while True:
            await asyncio.sleep(defaults.LAPSE_CHECK_S)
            self.take_stood(clock.now())
            if self._missing:
                self.settle(clock.now())
                self._pass_on()

    def take_stood(self, now: float) -> None:
        """Take rows that were doubted and have stood for long."""
        stood = [one.row for one in self._doubted.values() if one.stood(now)]
        if stood:
            self.take(tuple(stood), False)

    def _pass_on(self) -> None:
        """Tell the nodes that follow this one what has changed."""
        if not self._changed:
            return
        item = Listed([list(row) for row in self._changed.values()], False)
        self._changed = {}
        for name in self._peers.followers:
            link = self._peers.server.links.get(name)
            if link is not None:
                link.send(item)

    def give(self, link: Link) -> None:
        """Tell a node that begins to follow this one all entries."""
        if self._context.listed:
            link.send(Listed([list(row) for row in self._stored.values()], True))


@receives(Listed)
def take_listed(peers: RelayPeers, link: Link, listed: Listed) -> None:
    """Take entries from the node that this one follows; others' are not for it any more."""
    rows = tuple(StoredObject(str(row[0]), int(row[1]), row[2], *row[3:]) for row in listed.rows)
    peers.context.take_listed(rows, bool(listed.whole), link.name)
