"""Which models and adapters are resident where, for endpoints of a route table.

The lease holder alone gives orders. An endpoint checks the fence of each and how
many orders it has taken, so an order that comes late, or from a holder that has
been replaced, changes nothing. See ``docs/design/platform.md``.
"""

from . import governing
from .effects import Effect
from .state import NodeState

Effects = list[Effect]


def steer(state: NodeState, passed: float) -> Effects:
    """Do whatever is due at a tick: the lease, then orders."""
    control = state.control
    control.meter.roll(passed)
    effects: Effects = [] if state.leaving else governing.lease_due(state)
    return effects
