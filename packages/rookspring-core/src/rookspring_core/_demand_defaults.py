"""Constants of the forecast of demand, served, refused and not served."""

DEMAND_RISE_TAU_S = 2.0
# With a much longer time constant, the demand of a burst that has ended holds the runners that the
# next burst needs; see docs/design/placement.md.
DEMAND_FALL_TAU_S = 10.0
DEMAND_METER_S = 2.0
# Unserved demand for a model without a replica counts as if it were asked for again within this
# many seconds. After three times this long the model can replace one with the same demand, so that
# no model stays unreachable for long.
UNSERVED_DEMAND_S = 2.5
# Time constant for demand that was refused for lack of room, in seconds. It is long enough that the
# replica that ended the refusals is not evicted as soon as they end.
REFUSED_DEMAND_FALL_S = 15.0
# Demand at relay nodes shifts between models within five seconds, and a surplus replica takes the
# room of a missing one.
RELAY_DEMAND_RISE_S = 1.0
RELAY_DEMAND_FALL_S = 3.0
RELAY_DEMAND_METER_S = 1.0
# How often a node without the lease updates its forecast of demand, in seconds: about as often as
# heartbeats bring it new figures, and a fifth as often as the lease holder does.
DEMAND_FOLLOWED_S = 0.5
