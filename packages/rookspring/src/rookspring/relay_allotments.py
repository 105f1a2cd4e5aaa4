"""Messages between nodes for allotments: requests to organisations' owners, and their replies."""

from rookspring_core import allotment_checks
from rookspring_core.effects import AskAllotment
from rookspring_core.effects import ReturnAllotment
from rookspring_core.events import AllotmentAnswered

from . import clock
from . import relay_owners
from .logs import log
from .messages import AskUnits
from .messages import UnitsReply
from .messages import UnitsReturned
from .peers import Link
from .relay_owners import handles_as_owner
from .relay_owners import handles_reply
from .relay_peers import RelayPeers


def ask_units(peers: RelayPeers, effect: AskAllotment) -> None:
    """Ask the owner whether a request may run within its organisation's allotment."""
    origin = peers.context.state.identity.name
    request = AskUnits(origin, effect.request_id, effect.organisation, effect.units, False)
    relay_owners.ask_owner(peers, request)


def return_units(peers: RelayPeers, effect: ReturnAllotment) -> None:
    """Return granted units to the owner, since the request did not run."""
    relay_owners.notify_owner(peers, UnitsReturned(effect.organisation, effect.units, False))


@handles_as_owner(AskUnits, lambda asked: asked.organisation)
def handle_request(peers: RelayPeers, request: AskUnits, link: Link | None) -> None:
    """Decide, as the owner, whether a request may run, and send the reply."""
    state = peers.context.state
    grant = allotment_checks.decide(state, request.organisation, request.units, clock.now())
    if grant.after_s > 0.0:
        log(
            "allotment_denied",
            organisation=request.organisation,
            units=request.units,
            origin=request.origin,
            key=request.key,
            used=grant.used,
            most=grant.limit,
            after_s=grant.after_s,
        )
    reply = UnitsReply(
        request.origin, request.key, request.organisation, request.units, grant.after_s
    )
    relay_owners.send_reply(peers, reply, link)


@handles_reply(UnitsReply)
def handle_reply(peers: RelayPeers, reply: UnitsReply) -> None:
    """Process the owner's decision on a request of this node."""
    now = clock.now()
    peers.context.submit(
        AllotmentAnswered(now, reply.key, reply.organisation, reply.units, reply.after_s)
    )


@handles_as_owner(UnitsReturned, lambda item: item.organisation)
def handle_returned(peers: RelayPeers, item: UnitsReturned, link: Link | None) -> None:
    """Cancel the grant of units that were returned."""
    peers.context.state.allotments.cancel_grant(item.organisation, item.units, clock.now())
