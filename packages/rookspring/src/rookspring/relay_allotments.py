"""Messages between nodes for allotments: requests to organisations' owners, and their replies."""

from . import clock
from . import relay_owners
from .logs import log
from .messages import AskUnits
from .messages import UnitsBack
from .messages import UnitsGiven
from .peers import Link
from .relay_owners import comes_home
from .relay_owners import owner_takes
from .relay_peers import RelayPeers
from rookspring_core import allotment_checks
from rookspring_core.effects import AskAllotment
from rookspring_core.effects import ReturnAllotment
from rookspring_core.events import AllotmentAnswered



def ask_units(peers: RelayPeers, effect: AskAllotment) -> None:
    """Ask the owner whether a request may run within its organisation's allotment."""
    origin = peers.context.state.identity.name
    asked = AskUnits(origin, effect.request_id, effect.organisation, effect.units, False)
    relay_owners.ask_owner(peers, asked)


def return_units(peers: RelayPeers, effect: ReturnAllotment) -> None:
    """Return granted units to the owner, since the request did not run."""
    relay_owners.tell_owner(peers, UnitsBack(effect.organisation, effect.units, False))


@owner_takes(AskUnits, lambda asked: asked.organisation)
def take_question(peers: RelayPeers, asked: AskUnits, link: Link | None) -> None:
    """Decide, as the owner, whether a request may run, and send the reply."""
    state = peers.context.state
    grant = allotment_checks.decide(state, asked.organisation, asked.units, clock.now())
    if grant.after_s > 0.0:
        log(
            "allotment_denied",
            organisation=asked.organisation,
            units=asked.units,
            origin=asked.origin,
            key=asked.key,
            used=grant.used,
            most=grant.limit,
            after_s=grant.after_s,
        )
    reply = UnitsGiven(asked.origin, asked.key, asked.organisation, asked.units, grant.after_s)
    relay_owners.answer(peers, reply, link)


@comes_home(UnitsGiven)
def take_given(peers: RelayPeers, reply: UnitsGiven) -> None:
    """Process the owner's decision on a request of this node."""
    now = clock.now()
    peers.context.submit(
        AllotmentAnswered(now, reply.key, reply.organisation, reply.units, reply.after_s)
    )


@owner_takes(UnitsBack, lambda item: item.organisation)
def take_back(peers: RelayPeers, item: UnitsBack, link: Link | None) -> None:
    """Cancel the grant of units that were returned."""
    peers.context.state.allotments.cancel_grant(item.organisation, float(item.units), clock.now())
