"""What other nodes tell of answers that ended with their connection, or broke off."""

from .effects import Effect
from .effects import ShareBreak
from .events import CloseCountsReceived
from .events import EndpointBroke
from .reducer import handles
from .state import NodeState

Effects = list[Effect]


@handles(EndpointBroke)
def note_break(state: NodeState, event: EndpointBroke) -> Effects:
    """Note that an endpoint broke an answer off, and tell the nodes that may not know it."""
    if event.endpoint not in state.endpoints:
        return []
    told_by_other = bool(event.source)
    if not state.break_moments.note(event.endpoint, event.broke_at, told_by_other, event.at):
        return []
    return [ShareBreak(event.endpoint, event.broke_at, event.source)]


@handles(CloseCountsReceived)
def take_counts(state: NodeState, event: CloseCountsReceived) -> Effects:
    """Take another node's counts of answers that ended with their connection."""
    state.close_records.take_counts(event.source, event.rows, event.at)
    return []
