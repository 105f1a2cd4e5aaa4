"""Checks of the keys of relayed requests: whose a key is, and whether it is still valid here."""

import typing as t

from .events import TableProved
from .organisations import Organisation
from .reducer import handles
from .routes import Route
from .state import NodeState

if t.TYPE_CHECKING:
    from .effects import Effect
    from .events import RequestArrived


class KeyVerdict(t.NamedTuple):
    """The result of checking a request's key.

    :param status: 0 if the request is accepted; 401 if no organisation has the key; 503 if this
        node can't decide.
    :param may_wait: the key may be newer than the configuration here, so the request may wait
        until a configuration is proved the newest at a time after its arrival.
    """

    status: int
    reason: str = ""
    organisation: Organisation | None = None
    may_wait: bool = False


class KeyFault(t.NamedTuple):
    """Why a request that was accepted may not be sent to an endpoint after all."""

    status: int
    reason: str
    text: str


def check_key(
    state: NodeState, route: Route, key: str, arrived_at: float, now: float
) -> KeyVerdict:
    """Return the organisation of a request, or why it is not accepted.

    :param key: the digest of its key; empty if it has none.
    """
    assert state.table is not None
    directory = state.table.directory
    if directory is None or route.public:
        return KeyVerdict(0)
    if not key:
        return KeyVerdict(401, "no_key")
    found = directory.find(key)
    if found is None:
        # A key may be newer than this node's configuration, and callers don't retry after a 401,
        # so 401 is answered only if this configuration was the newest when the request arrived.
        proved = state.freshness.proved_at >= arrived_at
        return (
            KeyVerdict(401, "unknown_key") if proved else KeyVerdict(503, "unproved", may_wait=True)
        )
    if state.proof_terms.stale(state.freshness.age_s(now)):
        return KeyVerdict(503, "unproved")
    return KeyVerdict(0, organisation=found)


def find_fault(state: NodeState, arrived: "RequestArrived") -> KeyFault | None:
    """Return why a request may not be sent now; None if it may.

    Checked at each send, including retries and streams that are resumed at another endpoint: the
    key may have been revoked, or this node cut off, since the request arrived.
    """
    if not arrived.key or state.table is None or state.table.directory is None:
        return None
    age_s = state.freshness.age_s(state.now)
    if state.proof_terms.stale(age_s):
        text = f"the configuration was last proved the newest {age_s:.2f} s ago"
        return KeyFault(503, "unproved", text)
    holder = state.table.directory.find(arrived.key)
    if holder is None or holder.name != arrived.team:
        return KeyFault(401, "key_taken", f"{arrived.team} has this key no more")
    return None


@handles(TableProved)
def handle_proof(state: NodeState, event: TableProved) -> "list[Effect]":
    """Record that a version of the configuration was the newest at a moment."""
    state.freshness.record_proof(event.as_of, event.version, state.revision)
    return []
