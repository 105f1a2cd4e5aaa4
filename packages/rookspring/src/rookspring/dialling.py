"""Dials the nodes to which this node must have a link and has none."""

import typing as t

from rookspring_core.membership import Membership

from . import clock
from . import defaults
from .peers import PeerServer

Spawn = t.Callable[[t.Coroutine[t.Any, t.Any, None]], t.Any]


class LinkPlan(t.NamedTuple):
    """The links that a node must have.

    :param addresses: of the nodes to link to, by name.
    :param mutual: nodes that dial this one too; in such a pair the lower name dials first.
    :param linked: addresses of nodes that are linked already.
    :param seeds: whether to dial the seeds as well.
    """

    addresses: t.Mapping[str, str]
    mutual: t.Container[str]
    linked: t.Container[str]
    seeds: bool = True


def plan_links(membership: Membership) -> LinkPlan:
    """Plan the links that a membership chooses; the lower name of each pair dials first."""
    rows = {row.name: row.address for row in membership.links()}
    linked = {peer.heartbeat.address for peer in membership.peers.values()}
    return LinkPlan(rows, rows, linked)


class Dialler:
    """Dials planned nodes and seeds that are not linked; the lower name of a pair dials first.

    :param name: this node's own.
    :param get_plan: returns the current plan.
    :param seeds: addresses to dial in any case, since the node list may be unreachable.
    :param on_unreachable: called with the name of a node that could not be dialled.
    """

    def __init__(
        self,
        name: str,
        get_plan: t.Callable[[], LinkPlan],
        server: PeerServer,
        seeds: t.Sequence[str],
        spawn: Spawn,
        on_unreachable: t.Callable[[str], None] | None = None,
    ) -> None:
        self._name = name
        self._get_plan = get_plan
        self._on_unreachable = on_unreachable
        self._server = server
        self.seeds = tuple(seeds)
        self._spawn = spawn
        self._dialling: set[str] = set()
        self._missing_since: dict[str, float] = {}
        # Linked nodes that were not heard at the check before.
        self._unheard: set[str] = set()

    def dial(self, address: str, name: str = "") -> None:
        """Connect to a node and serve the link, in a task."""
        self._dialling.add(address)

        async def connect() -> None:
            try:
                reached = await self._server.dial(address, lambda: self._dialling.discard(address))
                if not reached and name and self._on_unreachable is not None:
                    self._on_unreachable(name)
            finally:
                self._dialling.discard(address)

        self._spawn(connect())

    def dial_missing(self) -> None:
        """Dial planned nodes without a link; of a mutual pair, the higher name waits first.

        A node that isn't heard is dialled beside its link, which a new one replaces. A node that
        stood still first reads what has arrived meanwhile.
        """
        now = clock.now()
        plan = self._get_plan()
        for name, address in plan.addresses.items():
            dials_first = self._name < name or name not in plan.mutual
            if self._server.hears(name) or address in self._dialling:
                self._missing_since.pop(name, None)
                self._unheard.discard(name)
                continue
            if name in self._server.links and name not in self._unheard:
                self._unheard.add(name)
                continue
            since = self._missing_since.setdefault(name, now)
            if dials_first or now - since > 2 * defaults.HEARTBEAT_S:
                self.dial(address, name)
        if not plan.seeds:
            return
        for address in self.seeds:
            if address not in plan.linked and address not in self._dialling:
                self.dial(address)
