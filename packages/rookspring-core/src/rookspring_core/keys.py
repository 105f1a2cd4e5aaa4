"""Whose a relayed request is, and whether its key may still run anything here."""

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
    """What is to become of a request by its key.

    :param status: 0 where it may go on; 401 where no organisation has the key; 503 where
        this node can't tell.
    :param waits: an answer that is newer than the request may tell of a key that is new.
    """

    status: int
    reason: str = ""
    organisation: Organisation | None = None
    waits: bool = False


class KeyFault(t.NamedTuple):
    """Why a request that was let in may not be sent to an endpoint after all."""

    status: int
    reason: str
    text: str


def judge(state: NodeState, route: Route, key: str, arrived_at: float, now: float) -> KeyVerdict:
    """Say whose a request is, or why it can't be let in.

    :param key: the digest of its key; empty where it has none.
    :param arrived_at: when it came.
    """
    assert state.table is not None
    directory = state.table.directory
    if directory is None or route.public:
        return KeyVerdict(0)
    if not key:
        return KeyVerdict(401, "no_key")
    found = directory.find(key)
    if found is None:
        # A key may be newer than this node's configuration, and callers don't come back
        # after a 401, so it is said only where nothing newer was there when they asked.
        proved = state.freshness.at >= arrived_at
        return KeyVerdict(401, "unknown_key") if proved else KeyVerdict(503, "unproved", waits=True)
    if state.proof_terms.stale(state.freshness.age_s(now)):
        return KeyVerdict(503, "unproved")
    return KeyVerdict(0, organisation=found)


def find_fault(state: NodeState, arrived: "RequestArrived") -> KeyFault | None:
    """Say why a request that waited may not be sent now; None where it may.

    It is asked at each send, also of resends and of streams that go on elsewhere: the key
    may have been taken away, or this node cut off, since the request came.
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
def take_proof(state: NodeState, event: TableProved) -> "list[Effect]":
    """Take that a version of the configuration was the newest at a moment."""
    state.freshness.note(event.as_of, event.version, state.revision)
    return []
