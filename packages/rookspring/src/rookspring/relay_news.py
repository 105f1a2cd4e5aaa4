"""What relay nodes tell each other at once: endpoints' states, unread prompts, wants."""

from rookspring_core.effects import RequestLoad
from rookspring_core.events import DownReceived
from rookspring_core.events import EndpointReported
from rookspring_core.events import LoadingReceived
from rookspring_core.events import LoadRequested
from rookspring_core.events import PromptsReceived
from rookspring_core.state import NodeState

from . import clock
from . import defaults
from .messages import Coming
from .messages import Down
from .messages import Prompts
from .messages import Reports
from .messages import WantModel
from .messages import encode
from .peers import Link
from .relay_beats import group_prompts
from .relay_beats import own_prompts
from .relay_beats import rest_prompts
from .relay_peers import RelayPeers
from .relay_peers import receives
from .reports import decode_report
from .reports import encode_report


class PromptSums:
    """Unread prompts that changed, gathered for a moment and then told.

    A node tells its own, a relay to other relays those of its followers as well, and to
    each follower those of all others. What another relay told is for followers alone:
    passed on to relays as well it goes round between them.
    """

    def __init__(self, peers: RelayPeers) -> None:
        self._peers = peers
        # Endpoints with changes among the prompts of this node and its followers; and
        # among those of all nodes.
        self._near: set[str] = set()
        self._all: set[str] = set()
        self._timed = False

    def note(self, endpoint: str, far: bool = False) -> None:
        """Note that an endpoint's unread prompts have changed.

        :param far: another relay told so.
        """
        self._all.add(endpoint)
        if not far:
            self._near.add(endpoint)
        if not self._timed:
            self._timed = True
            loop = self._peers.context.loop
            loop.call_later(defaults.PROMPTS_FOLD_S, self._tell)

    def _tell(self) -> None:
        self._timed = False
        near, changed = self._near, self._all
        self._near, self._all = set(), set()
        peers = self._peers
        topology = peers.context.state.topology
        links = peers.server.links
        if topology.mesh or not topology.relay:
            item = Prompts(own_prompts(peers.context.state, near))
            ways = list(links) if topology.mesh or not topology.followed else [topology.followed]
            for name in ways:
                if name in links and item.rows:
                    links[name].send(item)
            return
        known = peers.context.state.membership.peers
        group = encode(Prompts(group_prompts(peers, near))) if near else b""
        for name, link in list(links.items()):
            if name in known and known[name].heard.relay:
                if group:
                    link.send_encoded(group)
            elif name in peers.followers:
                link.send(Prompts(rest_prompts(peers.context.state, changed, name)))


def share_report(peers: RelayPeers, report: EndpointReported) -> None:
    """Tell all nodes what is true of an endpoint."""
    peers.spread(Reports([encode_report(report._replace(polled=False), clock.now())]))


def share_coming(peers: RelayPeers, endpoint: str, model: str, in_s: float) -> None:
    """Tell all nodes when a model that is being loaded can be there."""
    peers.spread(Coming(endpoint, model, in_s))


def share_down(peers: RelayPeers, endpoint: str) -> None:
    """Tell all nodes that nothing listens at an endpoint."""
    peers.spread(Down(endpoint))


def send_want(peers: RelayPeers, want: RequestLoad) -> None:
    """Send a want to the lease holder, or on the way there: two links at most."""
    item = WantModel(want.service, want.model, want.adapter, want.latest_retry_s)
    holder = peers.find_holder()
    link = peers.server.links.get(holder)
    if link is None:
        link = peers.server.links.get(peers.context.state.topology.followed)
    if link is not None and holder:
        link.send(item)


@receives(Reports)
def take_reports(peers: RelayPeers, link: Link, reports: Reports) -> None:
    """Take what the lease holder, or a watcher, says of endpoints."""
    for row in reports.rows:
        peers.context.submit(decode_report(row, clock.now()))
    peers.spread(reports, link.name)


@receives(Prompts)
def take_prompts(peers: RelayPeers, link: Link, prompts: Prompts) -> None:
    """Take what endpoints are to read of other nodes' prompts."""
    rows = tuple((str(row[0]), int(row[1])) for row in prompts.rows)
    state = peers.context.state
    peers.context.submit(PromptsReceived(clock.now(), link.name, rows))
    if state.topology.relay:
        known = state.membership.peers.get(link.name)
        far = known is None or known.heard.relay
        for endpoint, _ in rows:
            peers.context.share_prompts(endpoint, far)


@receives(Coming)
def take_coming(peers: RelayPeers, link: Link, coming: Coming) -> None:
    """Take what the lease holder has loaded."""
    heard = LoadingReceived(clock.now(), coming.endpoint, coming.model, float(coming.in_s))
    peers.context.submit(heard)
    peers.spread(coming, link.name)


@receives(Down)
def take_down(peers: RelayPeers, link: Link, down: Down) -> None:
    """Take another node's word that nothing listens at an endpoint."""
    peers.context.submit(DownReceived(clock.now(), down.endpoint))
    peers.spread(down, link.name)


@receives(WantModel)
def take_want(peers: RelayPeers, link: Link, want: WantModel) -> None:
    """Take what another node's request waits for, or pass it on to the lease holder."""
    now = clock.now()
    state = peers.context.state
    if state.control.holding(now):
        back_s = float(want.back_s)
        wanted = LoadRequested(now, want.service, want.model, want.adapter, back_s)
        peers.context.submit(wanted)
    elif _passes_wants(state, link.name):
        send_want(peers, RequestLoad(want.service, want.model, want.adapter, float(want.back_s)))


def _passes_wants(state: NodeState, sender: str) -> bool:
    """Say whether a want came up from a follower; relays reach the holder by themselves."""
    known = state.membership.peers.get(sender)
    return state.topology.relay and known is not None and not known.heard.relay
