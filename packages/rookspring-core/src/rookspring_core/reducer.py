"""The reducer: one function that handles all events and returns effects as data.

Handlers are registered by event type. All decisions of a node are made here, so a run can be
reproduced from its events alone.
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
    """Register the handler of an event type; each type has exactly one.

    :param event_type: a class of :mod:`rookspring_core.events`.
    """

    def register(function: H) -> H:
        if event_type in HANDLERS:
            raise TypeError(f"{event_type.__name__} already has a handler")
        HANDLERS[event_type] = function
        return function

    return register


def reduce(state: NodeState, event: Event) -> Effects:
    """Handle one event: update the state and return the effects to carry out.

    :raises InvariantBroken: when an invariant does not hold afterwards. The process must end, since
        callers could get wrong answers if it went on.
    """
    # Events may be delivered late; the node's time never decreases.
    state.now = max(state.now, event.at)
    effects = HANDLERS[type(event)](state, event)
    invariants.check(state, event, effects)
    return effects
