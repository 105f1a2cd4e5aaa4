"""The reducer: one function over all events, with effects as data.

Handlers register by event type. Every decision of a node happens in here, so
that a run can be repeated from its events alone.
"""

import typing as t

from . import invariants
from .effects import Effect
from .events import Event
from .state import NodeState

Effects = list[Effect]
Handler = t.Callable[[NodeState, t.Any], Effects]
HANDLERS: dict[type[t.Any], Handler] = {}
H = t.TypeVar("H", bound=t.Callable[..., Effects])


def handles(event_type: type[t.Any]) -> t.Callable[[H], H]:
    """Register the handler of an event type; there is one for each.

    :param event_type: a class of :mod:`rookspring_core.events`.
    """

    def register(function: H) -> H:
        if event_type in HANDLERS:
            raise TypeError(f"{event_type.__name__} has a handler already")
        HANDLERS[event_type] = function
        return function

    return register


def reduce(state: NodeState, event: Event) -> Effects:
    """Take one event, change the state, and give the effects to perform.

    :raises InvariantBroken: when a promise does not hold afterwards; the process
        must end, since going on could break it towards callers.
    """
    # Time never goes back within a node, even where events are delivered late.
    state.now = max(state.now, event.at)
    effects = HANDLERS[type(event)](state, event)
    invariants.check(state, event, effects)
    return effects
