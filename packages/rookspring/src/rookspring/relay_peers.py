"""What relay nodes tell each other: heartbeats, nodes, route tables, wants."""

import asyncio
import time
import typing as t

from rookspring_core import attaching
from rookspring_core import cluster
from rookspring_core.demand import DemandMeter
from rookspring_core.effects import Want
from rookspring_core.events import BoxListed
from rookspring_core.events import ComingHeard
from rookspring_core.events import DownHeard
from rookspring_core.events import EndpointReported
from rookspring_core.events import ModelWanted
from rookspring_core.events import PeerHeard
from rookspring_core.events import PeerLost
from rookspring_core.events import PromptsHeard
from rookspring_core.events import RouteTableSeen

from . import defaults
from .dialling import Dialler
from .logs import log
from .peers import Coming
from .peers import Down
from .peers import Heartbeat
from .peers import Link
from .peers import Nodes
from .peers import PeerServer
from .peers import Prompts
from .peers import Reports
from .peers import TableGiven
from .peers import WantModel
from .peers import WantTable
from .platform import Stored
from .relay_context import RelayContext
from .reports import decode_report
from .reports import encode_report

Receiver = t.Callable[["RelayPeers", Link, t.Any], None]
RECEIVERS: dict[type[t.Any], Receiver] = {}
R = t.TypeVar("R", bound=t.Callable[..., None])


def receives(message_type: type[t.Any]) -> t.Callable[[R], R]:
    """Register the receiver of a message type."""

    def register(function: R) -> R:
        RECEIVERS[message_type] = function
        return function

    return register


class RelayPeers:
    """Links to the other nodes, and the configuration as it is passed on to them."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        identity = context.state.identity
        # The platform gives no secret to share, so the key only keeps out nodes of
        # another deployment; its store's address is the same on all nodes of one.
        key = f"rookspring-relay/{context.settings.store}"
        self.server = PeerServer(identity.name, identity.incarnation, key, self._serve, None)
        self.dialler = Dialler(
            context.state.membership, self.server, context.settings.seeds, context.spawn
        )
        self.known: dict[str, BoxListed] = {}
        self.table_value: t.Any = None
        self._wanted_at = -1e9

    async def start(self) -> None:
        """Listen for other nodes."""
        host, _, port = self.context.settings.peer_address.rpartition(":")
        await self.server.listen(host, int(port))

    async def _serve(self, link: Link) -> None:
        link.send(make_beat(self.context))
        link.send(Nodes([list(row) for row in self._rows()]))
        try:
            while True:
                item = await link.receive()
                receiver = RECEIVERS.get(type(item))
                if receiver is not None:
                    receiver(self, link, item)
        finally:
            if self.server.links.get(link.name) is link:
                self.context.submit(PeerLost(time.monotonic(), link.name))

    def _rows(self) -> t.Iterator[tuple[str, str, str]]:
        identity = self.context.state.identity
        yield identity.name, identity.address, identity.data_centre
        for name, peer in self.context.state.membership.peers.items():
            yield name, peer.heard.address, peer.heard.data_centre

    def learn(self, rows: t.Iterable[tuple[str, str, str]]) -> None:
        """Add nodes to those that ought to be linked."""
        for name, address, data_centre in rows:
            if name != self.context.state.identity.name:
                self.known[name] = BoxListed(name, address, data_centre, "node", "live")
        self.context.state.membership.take_list(self.known.values())

    def beat(self) -> None:
        """Send a heartbeat to all linked nodes."""
        beat = make_beat(self.context)
        for link in list(self.server.links.values()):
            link.send(beat)

    async def beat_loop(self) -> None:
        """Send heartbeats, and dial nodes without a link."""
        while True:
            self.beat()
            self.dialler.dial_missing()
            await asyncio.sleep(defaults.RELAY_HEARTBEAT_S)

    def share(self, report: EndpointReported) -> None:
        """Send what is true of an endpoint to all linked nodes."""
        item = Reports([encode_report(report._replace(own=False), time.monotonic())])
        for link in list(self.server.links.values()):
            link.send(item)

    def share_coming(self, endpoint: str, model: str, in_s: float) -> None:
        """Tell all linked nodes when a model that is being loaded can be there."""
        for link in list(self.server.links.values()):
            link.send(Coming(endpoint, model, in_s))

    def share_down(self, endpoint: str) -> None:
        """Tell all linked nodes that nothing listens at an endpoint."""
        for link in list(self.server.links.values()):
            link.send(Down(endpoint))

    def share_prompts(self, endpoint: str, tokens: int) -> None:
        """Tell all linked nodes what an endpoint is to read of this node's prompts."""
        item = Prompts(endpoint, tokens)
        for link in list(self.server.links.values()):
            link.send(item)

    def tell_holder(self, want: Want) -> None:
        """Send a want to the lease holder, as far as it is known."""
        peers = self.context.state.membership.peers
        epoch, name = max(
            ((peer.heard.lease_epoch, name) for name, peer in peers.items()), default=(0, "")
        )
        link = self.server.links.get(name)
        if epoch and link is not None:
            link.send(WantModel(want.service, want.model, want.adapter))

    def take_table(self, stored: Stored, source: str) -> None:
        """Read a configuration and put it in force if it is newer."""
        try:
            table = self.context.dialect.read_table(stored)
        except (KeyError, TypeError, ValueError) as error:
            log("table_malformed", "ERROR", error=type(error).__name__, detail=error)
            return
        state = self.context.state
        if table is None or table.version <= state.revision:
            return
        self.table_value = stored.value
        log(
            "table_applied",
            version=table.version,
            before=state.revision,
            source=source,
            routes=sum(len(routes) for routes in table.hosts.values()),
        )
        self.context.submit(RouteTableSeen(time.monotonic(), table))

    def want_table(self, link: Link, version: int) -> None:
        """Ask a node for its newer route table, once at a time."""
        now = time.monotonic()
        if version <= self.context.state.revision or now - self._wanted_at < defaults.CONNECT_S:
            return
        self._wanted_at = now
        link.send(WantTable())


def make_beat(context: RelayContext) -> Heartbeat:
    """Make this node's heartbeat."""
    state = context.state
    identity = state.identity
    return Heartbeat(
        name=identity.name,
        incarnation=identity.incarnation,
        address=identity.address,
        caller_address=identity.caller_address,
        data_centre=identity.data_centre,
        # A node that could not serve yet is given to no caller.
        revision=state.revision if context.listed else 0,
        leaving=state.leaving,
        demand=_write_rates(state.control.meter),
        team_demand=[],
        lease_epoch=state.control.acting_epoch if state.control.holding(time.monotonic()) else 0,
        inflight=[list(row) for row in cluster.inflight_rows(state)],
        up_s=time.monotonic() - state.started_at,
        lease_ended=state.control.lease.ended,
        used=[list(row) for row in attaching.used_rows(state)],
        urgent=_write_rates(state.control.urgent.meter),
        missed=_write_rates(state.control.missed.meter),
    )


def _write_rates(meter: DemandMeter) -> list[t.Any]:
    return [[name, round(rate, 2)] for name, rate in meter.rates.items()]


def _read_rates(rows: list[t.Any] | None) -> tuple[tuple[str, float], ...]:
    return tuple((str(row[0]), float(row[1])) for row in rows or ())


@receives(Heartbeat)
def hear_beat(peers: RelayPeers, link: Link, beat: Heartbeat) -> None:
    """Take a heartbeat, and ask for the route table if it is newer."""
    peers.context.submit(
        PeerHeard(
            at=time.monotonic(),
            name=beat.name,
            incarnation=beat.incarnation,
            address=beat.address,
            caller_address=beat.caller_address,
            data_centre=beat.data_centre,
            revision=beat.revision,
            leaving=beat.leaving,
            demand=_read_rates(beat.demand),
            team_demand=(),
            lease_epoch=beat.lease_epoch,
            inflight=tuple((str(one[0]), int(one[1])) for one in beat.inflight or ()),
            up_s=float(beat.up_s),
            lease_ended=int(beat.lease_ended),
            used=tuple((str(one[0]), str(one[1])) for one in beat.used or ()),
            urgent=_read_rates(beat.urgent),
            missed=_read_rates(beat.missed),
        )
    )
    if beat.leaving or beat.lease_ended == peers.context.state.control.lease.epoch > 0:
        peers.context.lease_news.set()
    peers.learn([(beat.name, beat.address, beat.data_centre)])
    peers.want_table(link, beat.revision)


@receives(Nodes)
def take_nodes(peers: RelayPeers, link: Link, nodes: Nodes) -> None:
    """Take the nodes that another one is linked to."""
    peers.learn([(str(row[0]), str(row[1]), str(row[2])) for row in nodes.rows])


@receives(WantTable)
def give_table(peers: RelayPeers, link: Link, wanted: WantTable) -> None:
    """Send the configuration in force."""
    if peers.table_value is not None:
        link.send(TableGiven(peers.context.state.revision, peers.table_value))


@receives(TableGiven)
def take_given(peers: RelayPeers, link: Link, given: TableGiven) -> None:
    """Take a configuration from another node."""
    stored = Stored(peers.context.dialect.table_name(), given.version, given.value)
    peers.take_table(stored, f"node {link.name}")


@receives(Reports)
def take_reports(peers: RelayPeers, link: Link, reports: Reports) -> None:
    """Take what the lease holder says of endpoints."""
    for row in reports.rows:
        peers.context.submit(decode_report(row, time.monotonic()))


@receives(Prompts)
def take_prompts(peers: RelayPeers, link: Link, prompts: Prompts) -> None:
    """Take what an endpoint is to read of another node's prompts."""
    now = time.monotonic()
    peers.context.submit(PromptsHeard(now, link.name, prompts.endpoint, prompts.tokens))


@receives(Coming)
def take_coming(peers: RelayPeers, link: Link, coming: Coming) -> None:
    """Take what the lease holder has loaded."""
    heard = ComingHeard(time.monotonic(), coming.endpoint, coming.model, float(coming.in_s))
    peers.context.submit(heard)


@receives(Down)
def take_down(peers: RelayPeers, link: Link, down: Down) -> None:
    """Take another node's word that nothing listens at an endpoint."""
    peers.context.submit(DownHeard(time.monotonic(), down.endpoint))


@receives(WantModel)
def take_want(peers: RelayPeers, link: Link, want: WantModel) -> None:
    """Take what another node's request waits for."""
    peers.context.submit(ModelWanted(time.monotonic(), want.service, want.model, want.adapter))
