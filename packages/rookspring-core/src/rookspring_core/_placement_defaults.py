"""Constants of placement: the interval of plans, and what a load, an eviction and a claim weigh."""

PLAN_INTERVAL_S = 1.0
# The plan interval grows with the number of runners so that at most this many are planned for in a
# second, which takes a few hundredths of a core.
PLANNED_PER_S = 100.0

PAY_BACK_S = 60.0
# Accelerator-seconds that one load or unload costs at a move weight of 1.
MOVE_COST_S = 1.0
# Time from a request for a model that is not resident until its load starts: the load request
# reaches the holder, a plan is made, replicas are unloaded to make room, and a report confirms it.
SWAP_S = 1.0

RELAY_PLACEMENT = "swap"

RELAY_PLAN_INTERVAL_S = 0.5
# Time for an unload that makes room for a load, in addition to the load's own: its streams end
# first, and a report has to show that it is gone. In seconds.
UNLOAD_S = 1.0
# A runner whose order takes longer than predicted by more than this is no longer waited for.
RUNNER_BUSY_S = 1.0
# How much later a full runner is expected to serve a new model than an idle one, in seconds.
LOADED_RUNNER_S = 2.0
# A model with less demand than this may be evicted even if it is the last replica: the demand of
# one mean request of 3,180 tokens falls below it in some six seconds.
IDLE_TOKENS_PER_S = 150.0
# How long the demand of evicted replicas is assumed to go unserved, in seconds: the time to plan,
# load and unload them again.
EVICTED_REPLICA_S = 10.0
# Replicas are evicted for a model only if the demand that they serve is less than this share of the
# model's own or refused demand: while boxes are lost there is not room for all.
EVICTION_SHARE = 0.25
# Weight of demand that can wait for its model, in the cost of an eviction: nearly all of it is
# served in time after a reload, but the swap occupies the runner's orders.
DEFERRABLE_LOSS_SHARE = 0.2
# Share of a model's urgent demand that justifies a second replica by itself: if the only replica is
# lost, all urgent demand fails until another one is loaded.
SINGLE_REPLICA_LOSS_SHARE = 0.3
# A load that takes at most this long is quick; loads from memory or disk take 0.9 to 1.7 s.
QUICK_LOAD_S = 3.0
# A replica has to repay its load within this time, since demand shifts.
SWAP_HORIZON_S = 30.0
# Share of the weight store's rate that is used. A new holder starts with an empty token bucket, so
# that no window exceeds rate and burst together, whichever nodes held the lease in it.
STORE_RATE_SHARE = 1.0
# Loads that may start at once from the weight store, beyond its rate; the platform allows three.
STORE_BURST = 3.0
# Capacity of a runner in prompt tokens plus ten times answer tokens a second: the users' engines
# read 19.2 prompt tokens a millisecond and decode 64 answers in steps of 11 ms, which is some 9 of
# their mean requests of 3,180 tokens a second. Below a share of that rate no answer is late, so no
# move pays.
RUNNER_TOKENS_PER_S = 4_000.0
# How many times its even share of the demand may be planned for a runner.
EVEN_MARGIN = 1.2
# Rounds in which demand is distributed over the replicas: for a new distribution, and for one that
# differs from an earlier one by a replica.
SPLIT_ROUNDS = 6
SPLIT_ROUNDS_MORE = 2
# A model without a replica takes a runner that another one claims, or room that was freed for
# another one, only if it is missed this many times as much: the other one begins anew.
CLAIM_FACTOR = 2.0
# A claimed runner is left for another busy one only if that has the model sooner by more than this,
# in seconds: about as much as the end of an order is off its prediction.
CLAIM_MARGIN_S = 1.0
# A model's expected time is shared again when it has moved by more than this, in seconds: less than
# the spread of callers' retries.
CLAIM_SHARE_MARGIN_S = 0.5
# Room that a runner is making for a model counts as the model's if it is free within this many
# seconds: a runner that waited for its last streams delayed a second replica by 13 s.
ROOM_PENDING_S = 3.0
