"""Updates that relay nodes send at once: endpoints' states, unread prompts, load requests."""

from rookspring_core.effects import RequestLoad
from rookspring_core.events import DownReceived
from rookspring_core.events import EndpointReported
from rookspring_core.events import LoadingReceived
from rookspring_core.events import LoadRequested
from rookspring_core.events import PromptsReceived
from rookspring_core.state import NodeState

from . import clock
from . import defaults
from . import relay_places
from .messages import EndpointDown
from .messages import LoadRequestMessage
from .messages import ModelLoading
from .messages import Prompts
from .messages import Reports
from .messages import encode
from .peers import Link
from .relay_heartbeats import group_prompts
from .relay_heartbeats import others_prompts
from .relay_heartbeats import own_prompts
from .relay_peers import RelayPeers
from .relay_peers import receives
from .reports import decode_report
from .reports import encode_report


class PromptUpdates:
    """Sends changes of the unread prompt tokens, batched over ``PROMPTS_BATCH_S``.

    A node sends its own tokens. A relay sends other relays the sum over itself and its
    followers, and each follower the sum over all other nodes. A change that came from another
    relay is sent to followers only: between relays it would circulate endlessly.
    """

    def __init__(self, peers: RelayPeers) -> None:
        self._peers = peers
        # Endpoints whose tokens changed at this node or its followers, and at any node.
        self._group_changed: set[str] = set()
        self._all_changed: set[str] = set()
        self._scheduled = False

    def note(self, endpoint: str, from_relay: bool = False) -> None:
        """Record that an endpoint's unread prompt tokens have changed.

        :param from_relay: whether another relay sent the change.
        """
        self._all_changed.add(endpoint)
        if not from_relay:
            self._group_changed.add(endpoint)
        loop = self._peers.context.loop
        if self._peers.context.state.owned_queues.places:
            # Handled later, so that it comes after the current event.
            loop.call_soon(relay_places.process_endpoint, self._peers, endpoint)
        if not self._scheduled:
            self._scheduled = True
            loop.call_later(defaults.PROMPTS_BATCH_S, self._send)

    def _send(self) -> None:
        self._scheduled = False
        group_changed, all_changed = self._group_changed, self._all_changed
        self._group_changed, self._all_changed = set(), set()
        peers = self._peers
        topology = peers.context.state.topology
        links = peers.server.links
        if topology.mesh or not topology.relay:
            item = Prompts(own_prompts(peers.context.state, group_changed))
            names = list(links) if topology.mesh or not topology.followed else [topology.followed]
            for name in names:
                if name in links and item.rows:
                    links[name].send(item)
            return
        known = peers.context.state.membership.peers
        group = encode(Prompts(group_prompts(peers, group_changed))) if group_changed else b""
        for name, link in list(links.items()):
            if name in known and known[name].heartbeat.relay:
                if group:
                    link.send_encoded(group)
            elif name in peers.followers:
                link.send(Prompts(others_prompts(peers.context.state, all_changed, name)))


def share_report(peers: RelayPeers, report: EndpointReported) -> None:
    """Send all nodes an endpoint's report."""
    peers.broadcast(Reports([encode_report(report._replace(polled=False), clock.now())]))


def share_loading(peers: RelayPeers, endpoint: str, model: str, in_s: float) -> None:
    """Send all nodes that a model is being loaded, and in how many seconds it is expected."""
    peers.broadcast(ModelLoading(endpoint, model, in_s))


def share_down(peers: RelayPeers, endpoint: str) -> None:
    """Send all nodes that nothing listens at an endpoint."""
    peers.broadcast(EndpointDown(endpoint))


def send_load_request(peers: RelayPeers, request: RequestLoad) -> None:
    """Send a load request to the lease holder, by way of the followed node if not linked to it.

    It reaches the holder over two links at most.
    """
    item = LoadRequestMessage(
        request.service, request.model, request.adapter, request.latest_retry_s
    )
    holder = peers.find_holder()
    link = peers.server.links.get(holder)
    if link is None:
        link = peers.server.links.get(peers.context.state.topology.followed)
    if link is not None and holder:
        link.send(item)


@receives(Reports)
def handle_reports(peers: RelayPeers, link: Link, reports: Reports) -> None:
    """Process and forward endpoint reports of the lease holder or of a watcher."""
    for row in reports.rows:
        # Nodes that relay send full rows alone.
        if isinstance(row, EndpointReported):
            peers.context.submit(decode_report(row, clock.now()))
    peers.broadcast(reports, link.name)


@receives(Prompts)
def handle_prompts(peers: RelayPeers, link: Link, prompts: Prompts) -> None:
    """Process other nodes' unread prompt tokens, and at a relay schedule them to be sent on."""
    rows = tuple(prompts.rows)
    state = peers.context.state
    peers.context.submit(PromptsReceived(clock.now(), link.name, rows))
    for endpoint, _ in rows:
        relay_places.process_endpoint(peers, endpoint)
    if state.topology.relay:
        known = state.membership.peers.get(link.name)
        from_relay = known is None or known.heartbeat.relay
        for endpoint, _ in rows:
            peers.context.share_prompts(endpoint, from_relay)


@receives(ModelLoading)
def handle_loading(peers: RelayPeers, link: Link, coming: ModelLoading) -> None:
    """Process and forward that the lease holder has ordered the load of a model."""
    event = LoadingReceived(clock.now(), coming.endpoint, coming.model, coming.ready_in_s)
    peers.context.submit(event)
    peers.broadcast(coming, link.name)


@receives(EndpointDown)
def handle_down(peers: RelayPeers, link: Link, down: EndpointDown) -> None:
    """Process and forward that nothing listens at an endpoint, as another node found."""
    peers.context.submit(DownReceived(clock.now(), down.endpoint))
    peers.broadcast(down, link.name)


@receives(LoadRequestMessage)
def handle_load_request(peers: RelayPeers, link: Link, message: LoadRequestMessage) -> None:
    """Process another node's load request as the lease holder, or forward one of a leaf to it."""
    now = clock.now()
    state = peers.context.state
    if state.control.holding(now):
        event = LoadRequested(
            now, message.service, message.model, message.adapter, message.latest_retry_s
        )
        peers.context.submit(event)
    elif _forwards_from(state, link.name):
        request = RequestLoad(
            message.service, message.model, message.adapter, message.latest_retry_s
        )
        send_load_request(peers, request)


def _forwards_from(state: NodeState, sender: str) -> bool:
    """Return whether to forward a load request: from a leaf, since relays reach the holder."""
    known = state.membership.peers.get(sender)
    return state.topology.relay and known is not None and not known.heartbeat.relay
