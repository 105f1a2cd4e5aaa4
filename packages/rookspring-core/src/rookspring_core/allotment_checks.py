"""Checks of requests against the allotments of their organisations.

Decides whether this node or the organisation's owner admits a request, and takes back units that
did not run. :mod:`allotments` keeps the counts.
"""

from . import defaults
from .allotments import Grant
from .effects import AskAllotment
from .effects import Effect
from .effects import Refuse
from .effects import ReturnAllotment
from .events import NearLimitReceived
from .events import RequestArrived
from .events import UsageRestored
from .hashing import stable_hash
from .organisations import Allotment
from .reducer import handles
from .state import Charge
from .state import NodeState
from .state import Parked


def charge_of(state: NodeState, arrived: RequestArrived) -> Charge | None:
    """Return the units that a request counts for; None if its organisation has no limit."""
    if arrived.route is None or not arrived.team:
        return None
    terms = find_allotment(state, arrived.team)
    if terms is None or terms.rate <= 0.0:
        return None
    return Charge(arrived.team, terms.cost(arrived.declared_tokens), granted_by_owner=False)


def find_allotment(state: NodeState, organisation: str) -> Allotment | None:
    """Return an organisation's allotment in the configuration in force."""
    directory = state.table.directory if state.table else None
    found = directory.by_name.get(organisation) if directory else None
    return found.allotment if found else None


def all_allotments(state: NodeState) -> dict[str, Allotment]:
    """Return the allotments of all organisations that have a limit."""
    directory = state.table.directory if state.table else None
    rows = directory.by_name.values() if directory else ()
    return {one.name: one.allotment for one in rows if one.allotment.rate > 0.0}


def needs_owner(state: NodeState, charge: Charge) -> bool:
    """Return whether the organisation's owner has to decide."""
    return not state.allotments.is_far_from_limit(charge.organisation, state.now)


def decide(state: NodeState, organisation: str, units: float, now: float) -> Grant:
    """Decide on a request as the owner of its organisation."""
    terms = find_allotment(state, organisation)
    if terms is None or terms.rate <= 0.0:
        return Grant(0.0)
    since = state.owners.owned_since(organisation, now)
    return state.allotments.grant(
        organisation, units, terms, now, since, state.owners.visible_share
    )


def record_usage(state: NodeState, charge: Charge) -> None:
    """Count the units of an admitted request."""
    state.allotments.record_usage(charge.organisation, charge.units, state.now)


def park(state: NodeState, arrived: RequestArrived, charge: Charge) -> list[Effect]:
    """Hold a request until its organisation's owner has answered, and ask that owner."""
    until = state.now + defaults.OWNER_ANSWER_S
    state.parked[arrived.request_id] = Parked(
        arrived, charge._replace(granted_by_owner=True), until
    )
    return [AskAllotment(arrived.request_id, charge.organisation, charge.units)]


def refuse(state: NodeState, parked: Parked, after_s: float) -> Refuse:
    """Refuse a request that exceeds its organisation's allotment.

    The retry delay is ``after_s`` plus jitter of up to as long again, derived from the request's
    id, so that callers refused together don't retry together.
    """
    identity = parked.arrived.request_id
    spread = stable_hash("allotment", identity) % 1000 / 1000.0
    text = f"organisation {parked.charge.organisation!r} is over its allotment"
    state.record(identity, "refused limited", text)
    return Refuse(identity, 429, "limited", "not_run", text, after_s * (1.0 + spread))


def expire_parked(state: NodeState) -> list[Effect]:
    """Refuse requests whose owner has not answered within ``OWNER_ANSWER_S``."""
    effects: list[Effect] = []
    for identity, parked in list(state.parked.items()):
        if parked.until > state.now:
            continue
        del state.parked[identity]
        text = f"the owner of organisation {parked.charge.organisation!r} does not answer"
        state.record(identity, "refused owner_silent", text)
        effects.append(
            Refuse(identity, 503, "owner_silent", "not_run", text, defaults.RETRY_AFTER_UNPROVED_S)
        )
    return effects


def refund(state: NodeState, charge: Charge | None) -> list[Effect]:
    """Take back the units of a request that did not run, also from the owner that granted them."""
    if charge is None:
        return []
    state.allotments.record_usage(charge.organisation, -charge.units, state.now)
    return [ReturnAllotment(charge.organisation, charge.units)] if charge.granted_by_owner else []


@handles(NearLimitReceived)
def handle_near_limit(state: NodeState, event: NearLimitReceived) -> list[Effect]:
    """Store which organisations are near their limits, as another node reported."""
    state.allotments.set_near_limit(event.names, event.as_of)
    return []


@handles(UsageRestored)
def handle_recalled_usage(state: NodeState, event: UsageRestored) -> list[Effect]:
    """Store the usage from before this node started or became a relay, as the store has it."""
    state.allotments.recall(dict(event.shares))
    return []


def used_shares(state: NodeState, now: float) -> dict[str, float]:
    """Return the used shares of limits that are at least ``RESTORED_SHARE_MIN``."""
    shares = state.allotments.find_used_shares(all_allotments(state), now)
    return {
        name: round(share, 2)
        for name, share in shares.items()
        if share >= defaults.RESTORED_SHARE_MIN
    }


def update_near_limit(state: NodeState, was_relay: bool) -> None:
    """Update which organisations are near their limits, on nodes that receive all usage reports.

    :param was_relay: this node was a relay at the previous tick.
    """
    if state.topology.relay and not was_relay:
        state.allotments.start_observing(state.now)
    if state.topology.mesh or state.topology.relay:
        terms = all_allotments(state)
        if terms:
            names = state.allotments.find_near_limit(terms, state.now)
            state.allotments.set_near_limit(names, state.now)
