"""Messages between nodes: heartbeats, reports, box lists, revisions, forwarded requests."""

import asyncio
import typing as t

from rookspring_core import Entry
from rookspring_core import cluster
from rookspring_core.events import CacheEventsReceived
from rookspring_core.events import DownReceived
from rookspring_core.events import EndpointReported
from rookspring_core.events import EvidenceReceived
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LeavingReceived
from rookspring_core.events import PeerLost
from rookspring_core.events import RevisionSeen
from rookspring_core.state import NodeState

from . import clock
from . import defaults
from . import forwarding
from .evidence import decode_evidence
from .evidence import encode_evidence
from .leaving_rows import decode_leaving
from .leaving_rows import encode_leaving
from .message_rows import LoadRow
from .messages import Boxes
from .messages import EndpointDown
from .messages import EvidenceMessage
from .messages import Forward
from .messages import ForwardEnd
from .messages import ForwardPart
from .messages import ForwardStart
from .messages import Heartbeat
from .messages import Hints
from .messages import LeavingMessage
from .messages import Reports
from .messages import RevisionDelta
from .messages import RevisionRequest
from .node_context import NodeContext
from .peers import Link
from .peers import handle_messages
from .published import decode_entry
from .published import encode_entry
from .reports import ReportLog as ReportLog
from .reports import decode_report as decode_report
from .reports import digest_without_load as digest_without_load
from .reports import encode_report as encode_report

Receiver = t.Callable[[NodeContext, Link, t.Any], None]
RECEIVERS: dict[type[t.Any], Receiver] = {}
R = t.TypeVar("R", bound=t.Callable[..., None])


def receives(message_type: type[t.Any]) -> t.Callable[[R], R]:
    """Register the handler of a message type."""

    def register(function: R) -> R:
        RECEIVERS[message_type] = function
        return function

    return register


async def serve_link(node: NodeContext, link: Link) -> None:
    """Send a linked node this one's state, then handle its messages until the link closes."""
    link.send(make_heartbeat(node))
    send_merged(node, link)
    node.report_log.reset()
    if node.boxes:
        link.send(Boxes(list(node.boxes)))
    try:
        await handle_messages(link, RECEIVERS, node)
    finally:
        forwarding.fail_pending(node, link)
        if node.peers.links.get(link.name) is link:
            node.submit(PeerLost(clock.now(), link.name))


def make_heartbeat(node: NodeContext) -> Heartbeat:
    """Return this node's heartbeat."""
    state = node.state
    identity = state.identity
    return Heartbeat(
        name=identity.name,
        incarnation=identity.incarnation,
        address=identity.address,
        caller_address=identity.caller_address,
        data_centre=identity.data_centre,
        revision=state.catalogue.revision,
        leaving=state.leaving,
        demand=[(name, round(rate, 2)) for name, rate in state.control.meter.rates.items()],
        team_demand=list(state.limits.demand()),
        lease_epoch=state.control.acting_epoch,
        inflight=list(cluster.inflight_rows(state)),
        merged=_digest(state),
    )


def shorten_heartbeat(beat: Heartbeat) -> Heartbeat:
    """Remove the rows that only relays need in a large deployment."""
    return beat._replace(demand=[], team_demand=[], inflight=None)


@receives(Heartbeat)
def handle_heartbeat(node: NodeContext, link: Link, beat: Heartbeat) -> None:
    """Process a heartbeat, and request the changes if the sender has a newer revision."""
    node.submit(
        HeartbeatReceived(
            at=clock.now(),
            name=beat.name,
            incarnation=beat.incarnation,
            address=beat.address,
            caller_address=beat.caller_address,
            data_centre=beat.data_centre,
            revision=beat.revision,
            leaving=beat.leaving,
            demand=tuple(beat.demand),
            team_demand=tuple(beat.team_demand),
            lease_epoch=beat.lease_epoch,
            inflight=None if beat.inflight is None else tuple(beat.inflight),
        )
    )
    if beat.merged != _digest(node.state):
        send_merged(node, link)
    revision = node.state.catalogue.revision
    now = clock.now()
    if beat.revision > max(revision, node.revision_request[0]) or (
        beat.revision > revision and now - node.revision_request[1] > defaults.CONNECT_S
    ):
        node.revision_request = (beat.revision, now)
        link.send(RevisionRequest(revision))


def _digest(state: NodeState) -> int:
    """Return a hash that is equal on nodes with the same evidence and leaving endpoints."""
    return state.suspects.digest() ^ state.notices.digest(state.now)


def send_merged(node: NodeContext, link: Link) -> None:
    """Send a node all evidence and all leaving endpoints."""
    now = clock.now()
    evidence = node.state.suspects.snapshot(now)
    if not evidence.empty():
        link.send(encode_evidence(evidence, now))
    leaving = node.state.notices.list_leaving(now)
    if leaving:
        link.send(encode_leaving(leaving, now))


@receives(LeavingMessage)
def handle_leaving(node: NodeContext, link: Link, message: LeavingMessage) -> None:
    """Process leaving endpoints that another node sent."""
    now = clock.now()
    node.submit(LeavingReceived(now, decode_leaving(message, now), link.name))


@receives(EvidenceMessage)
def handle_evidence(node: NodeContext, link: Link, message: EvidenceMessage) -> None:
    """Process crash evidence that another node sent."""
    now = clock.now()
    node.submit(EvidenceReceived(now, decode_evidence(message, now), link.name))


@receives(EndpointDown)
def handle_down(node: NodeContext, link: Link, down: EndpointDown) -> None:
    """Process that nothing listens at an endpoint, as another node found."""
    node.submit(DownReceived(clock.now(), down.endpoint))


@receives(RevisionRequest)
def handle_revision_request(node: NodeContext, link: Link, wanted: RevisionRequest) -> None:
    """Send the changes since the other node's revision."""
    link.send(node.history.delta(wanted.since))


@receives(RevisionDelta)
def handle_revision(node: NodeContext, link: Link, delta: RevisionDelta) -> None:
    """Apply a newer revision; a delta from another base revision is requested again."""
    state = node.state
    if delta.revision <= state.catalogue.revision:
        return
    if delta.since not in (0, state.catalogue.revision):
        link.send(RevisionRequest(state.catalogue.revision))
        return
    entries: dict[str, Entry] = {} if delta.since == 0 else dict(state.control.entries)
    for key, raw in delta.changed.items():
        entries[key] = decode_entry(raw)
    for key in delta.removed:
        entries.pop(key, None)
    node.submit(RevisionSeen(clock.now(), delta.revision, delta.epoch, entries))


class RevisionHistory:
    """The changes of recent revisions, from which deltas are computed."""

    def __init__(self) -> None:
        self._steps: list[tuple[int, dict[str, Entry | None]]] = []
        self._entries: t.Mapping[str, Entry] = {}
        self._revision = 0
        self._epoch = 0

    def add(self, revision: int, epoch: int, entries: t.Mapping[str, Entry]) -> None:
        """Add a revision's changes from the previous one."""
        step: dict[str, Entry | None] = {
            key: entry for key, entry in entries.items() if self._entries.get(key) != entry
        }
        step.update({key: None for key in self._entries if key not in entries})
        self._steps.append((self._revision, step))
        del self._steps[: -defaults.REVISIONS_KEPT]
        self._entries = entries
        self._revision = revision
        self._epoch = epoch

    def delta(self, since: int) -> RevisionDelta:
        """Return the delta since a revision, or all entries if its changes are no longer kept."""
        bases = [base for base, _ in self._steps]
        if since == 0 or since not in bases:
            changed = {key: encode_entry(entry) for key, entry in self._entries.items()}
            return RevisionDelta(0, self._revision, self._epoch, changed, [])
        merged: dict[str, Entry | None] = {}
        for _, step in self._steps[bases.index(since) :]:
            merged.update(step)
        return RevisionDelta(
            since,
            self._revision,
            self._epoch,
            {key: encode_entry(entry) for key, entry in merged.items() if entry is not None},
            [key for key, entry in merged.items() if entry is None],
        )


@receives(Reports)
def handle_reports(node: NodeContext, link: Link, reports: Reports) -> None:
    """Process the reports of endpoints that another node polls."""
    now = clock.now()
    for row in reports.rows:
        report = read_report_row(node, row, now)
        if report is not None:
            node.submit(report)


def read_report_row(
    node: NodeContext, row: EndpointReported | LoadRow, now: float
) -> EndpointReported | None:
    """Decode a full row, or apply a short one to the endpoint's last report.

    A short row contains the digest of the report that it applies to. If the last report is
    another one the row is dropped, since a full row follows within ``FULL_REPORT_INTERVAL_S``.
    """
    if isinstance(row, EndpointReported):
        return decode_report(row, now)
    view = node.state.endpoints.get(row.endpoint)
    if view is None or view.report is None or digest_without_load(view.report) != row.digest:
        return None
    return view.report._replace(at=now, age_s=row.age_s, running=row.running, queued=row.queued)


@receives(Hints)
def handle_hints(node: NodeContext, link: Link, hints: Hints) -> None:
    """Process cache events that another node read."""
    now = clock.now()
    for row in hints.rows:
        node.submit(CacheEventsReceived(now, row.endpoint, row.prefixes))


@receives(Boxes)
def handle_boxes(node: NodeContext, link: Link, boxes: Boxes) -> None:
    """Apply the box list that a relay read."""
    node.update_boxes(tuple(boxes.rows), share=False)


@receives(Forward)
def handle_forward(node: NodeContext, link: Link, forward: Forward) -> None:
    """Serve a keyed request that another node forwarded for its caller."""
    node.spawn(forwarding.serve_forward(node, link, forward))


@receives(ForwardStart)
@receives(ForwardPart)
@receives(ForwardEnd)
def handle_answer(node: NodeContext, link: Link, item: t.Any) -> None:
    """Process a part of the answer to a request that this node forwarded."""
    forwarding.deliver_part(node, item)


async def heartbeat_loop(node: NodeContext) -> None:
    """At each interval, send heartbeats and dial nodes without a link."""
    while True:
        node.send_heartbeat()
        node.dialler.dial_missing()
        await asyncio.sleep(defaults.HEARTBEAT_S)
