"""Which nodes to dial, so that every node that ought to be linked is."""

import typing as t

from rookspring_core.membership import Membership

from . import clock
from . import defaults
from .peers import PeerServer

Spawn = t.Callable[[t.Coroutine[t.Any, t.Any, None]], t.Any]


class Wanted(t.NamedTuple):
    """Which links a node wants.

    :param addresses: of the nodes to link to, by name.
    :param waits: nodes that are to dial first, if this one's name is the higher.
    :param linked: addresses at which nodes are linked already.
    :param seeds: whether the seeds are wanted as well.
    """

    addresses: t.Mapping[str, str]
    waits: t.Container[str]
    linked: t.Container[str]
    seeds: bool = True


def want_links(membership: Membership) -> Wanted:
    """Want the links that a membership chooses, each to be dialled by its lower name."""
    rows = {row.name: row.address for row in membership.links()}
    linked = {peer.heard.address for peer in membership.peers.values()}
    return Wanted(rows, rows, linked)


class Dialler:
    """Dials the nodes that are wanted and the seeds; the lower name of a pair goes first.

    :param name: this node's own.
    :param wanted: gives what is wanted now.
    :param seeds: addresses to dial whatever the list says, since it may be out of reach.
    :param unreached: is told the name of a node that could not be dialled.
    """

    def __init__(
        self,
        name: str,
        wanted: t.Callable[[], Wanted],
        server: PeerServer,
        seeds: t.Sequence[str],
        spawn: Spawn,
        unreached: t.Callable[[str], None] | None = None,
    ) -> None:
        self._name = name
        self._wanted = wanted
        self._unreached = unreached
        self._server = server
        self.seeds = tuple(seeds)
        self._spawn = spawn
        self._dialling: set[str] = set()
        self._missing_since: dict[str, float] = {}

    def dial(self, address: str, name: str = "") -> None:
        """Connect to a node and stay with it in a task."""
        self._dialling.add(address)

        async def stay() -> None:
            try:
                reached = await self._server.dial(address)
                if not reached and name and self._unreached is not None:
                    self._unreached(name)
            finally:
                self._dialling.discard(address)

        self._spawn(stay())

    def dial_missing(self) -> None:
        """Dial the nodes that ought to be linked and are not."""
        now = clock.now()
        wanted = self._wanted()
        for name, address in wanted.addresses.items():
            first = self._name < name or name not in wanted.waits
            if name in self._server.links or address in self._dialling:
                self._missing_since.pop(name, None)
                continue
            since = self._missing_since.setdefault(name, now)
            if first or now - since > 2 * defaults.HEARTBEAT_S:
                self.dial(address, name)
        if not wanted.seeds:
            return
        for address in self.seeds:
            if address not in wanted.linked and address not in self._dialling:
                self.dial(address)
