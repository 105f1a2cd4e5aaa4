"""Questions to organisations' owners, and their answers, on their way between nodes.

A node that is no relay asks by the node that it follows, which passes the question on to
the owner; so an owner is two links away at most.
"""

from rookspring_core import allotting
from rookspring_core.effects import AskAllotment
from rookspring_core.effects import ReturnAllotment
from rookspring_core.events import AllotmentAnswered

from . import clock
from .logs import log
from .messages import AskUnits
from .messages import UnitsBack
from .messages import UnitsGiven
from .peers import Link
from .relay_owners import owns
from .relay_owners import pass_on
from .relay_owners import way_to_owner
from .relay_peers import RelayPeers
from .relay_peers import receives


def ask_owner(peers: RelayPeers, effect: AskAllotment) -> None:
    """Ask whether a request may run within its organisation's allotment."""
    origin = peers.context.state.identity.name
    asked = AskUnits(origin, effect.request_id, effect.organisation, effect.units, False)
    link = way_to_owner(peers, effect.organisation)
    if link is not None:
        link.send(asked)
    elif owns(peers, effect.organisation):
        # The answer comes as any other does: after what is being performed now.
        peers.context.loop.call_soon(_answer, peers, asked, None)


def return_units(peers: RelayPeers, effect: ReturnAllotment) -> None:
    """Tell the owner that what it granted did not run."""
    link = way_to_owner(peers, effect.organisation)
    if link is not None:
        link.send(UnitsBack(effect.organisation, effect.units, False))
    else:
        _take_back(peers, effect.organisation, effect.units)


def _answer(peers: RelayPeers, asked: AskUnits, link: Link | None) -> None:
    state = peers.context.state
    grant = allotting.decide(state, asked.organisation, asked.units, clock.now())
    if grant.after_s > 0.0:
        log(
            "allotment_denied",
            organisation=asked.organisation,
            units=asked.units,
            origin=asked.origin,
            key=asked.key,
            used=grant.used,
            most=grant.most,
            after_s=grant.after_s,
        )
    given = UnitsGiven(asked.origin, asked.key, asked.organisation, asked.units, grant.after_s)
    if link is None:
        _take_given(peers, given)
    else:
        link.send(given)


def _take_given(peers: RelayPeers, given: UnitsGiven) -> None:
    now = clock.now()
    peers.context.submit(
        AllotmentAnswered(now, given.key, given.organisation, given.units, given.after_s)
    )


def _take_back(peers: RelayPeers, organisation: str, units: float) -> None:
    peers.context.state.allotments.take_back(organisation, units, clock.now())


@receives(AskUnits)
def take_question(peers: RelayPeers, link: Link, asked: AskUnits) -> None:
    """Decide on a question, or pass it on; one that was passed on is decided here."""
    if not pass_on(peers, link, asked, asked.organisation):
        _answer(peers, asked, link)


@receives(UnitsGiven)
def take_given(peers: RelayPeers, link: Link, given: UnitsGiven) -> None:
    """Take an answer, or pass it on to the node that asked."""
    if given.origin == peers.context.state.identity.name:
        _take_given(peers, given)
        return
    way = peers.server.links.get(given.origin)
    if way is not None:
        way.send(given)


@receives(UnitsBack)
def take_back(peers: RelayPeers, link: Link, back: UnitsBack) -> None:
    """Take back what did not run, or pass it on."""
    if not pass_on(peers, link, back, back.organisation):
        _take_back(peers, back.organisation, float(back.units))
