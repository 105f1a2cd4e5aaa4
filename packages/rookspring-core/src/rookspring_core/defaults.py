"""Constants of the decisions, with the unit as a suffix of the name.

A comment gives the reason for a value that is not obvious.
"""

# Callers may cache answers of ``/v1/addresses`` for this long.
ADDRESS_TTL_S = 5.0
# A leaving node continues to serve for this long after the last answer with its address has
# expired.
DRAIN_MARGIN_S = 1.0

# The renewal interval leaves four attempts within one lease period.
LEASE_TTL_S = 8.0
LEASE_RENEW_S = 2.0
# A holder stops acting this long before another node may see its lease expire.
LEASE_MARGIN_S = 2.0

HEARTBEAT_S = 1.0
PEER_DEAD_S = 4.0
# Interval of the search for nodes whose heartbeats have stopped.
EXPIRE_EVERY_S = 0.5
# A node that reaches neither the platform nor a peer refuses new work after this.
ISOLATION_GRACE_S = 10.0
# In a data centre with more nodes than this, heartbeats go through relays.
MESH_LIMIT = 24
RELAYS_PER_DATA_CENTRE = 2

# Reports older than this are no longer used to estimate the load from other nodes.
REPORT_STALE_S = 20.0
# The largest body whose syntax is checked for its end, in bytes: this takes some ms of a node.
CHECKED_JSON_BYTES_MAX = 1 << 20
# Value of a report's ``running`` when the endpoint does not report its load.
LOAD_UNREPORTED = -1
# Slots assumed for an endpoint that has not reported yet.
SLOTS_UNKNOWN = 8
ENDED_MAX = 4096

# Changes within this time are combined into one publication.
PUBLISH_BATCH_S = 0.25
SHARD_COUNT = 16

# An order may still arrive this long after it was sent.
LATE_ORDER_BOUND_S = 30.0
ORDER_RESEND_S = 2.0
# Share of each endpoint's memory that is never allocated to weights.
MEMORY_RESERVE_SHARE = 0.1

PLAN_INTERVAL_S = 1.0
# The plan interval grows with the number of runners so that at most this many are planned for in a
# second, which takes a few hundredths of a core.
PLANNED_PER_S = 100.0
DEMAND_RISE_TAU_S = 2.0
# With a much longer time constant, the demand of a burst that has ended holds the runners that the
# next burst needs; see docs/design/placement.md.
DEMAND_FALL_TAU_S = 10.0
DEMAND_METER_S = 2.0
PAY_BACK_S = 60.0

CANDIDATES = 3
AFFINITY_BONUS_S = 0.25
ADAPTER_MISS_S = 0.15
REMOTE_COST_S = 0.002
# An endpoint with a cached hot prefix is preferred only while its load is at most this many times
# the average.
AFFINITY_LOAD_BOUND = 1.25
CACHE_HINT_LIFE_S = 60.0
CACHE_HINTS_MAX = 4096
EJECT_AFTER_FAILURES = 3
EJECT_S = 5.0
# A runner with a request in flight that has sent nothing for this long gets no more requests:
# engines make a step in some 10 ms, and callers tolerate pauses of 300 ms in a stream.
SILENT_S = 0.8
# An endpoint that accepts no connection is ejected at once, for this long.
UNREACHED_EJECT_S = 1.0

# Bytes that come from an endpoint this long after another node told that it has ended contradict
# that; then such messages about it are passed over for a while.
TOLD_DOWN_MARGIN_S = 0.1
DOWN_DOUBT_S = 5.0
# A node tells whether it reaches endpoints at all by connecting to this many, on different boxes.
# It asks again after this time, while it reaches none or while none has answered for so long.
REACH_PROBES = 3
# Where all of them refuse at once, others are asked, so many times in all: several endpoints may
# have ended together. Refusals come within ``REACH_REFUSED_S`` seconds.
REACH_ROUNDS = 4
REACH_REFUSED_S = 0.2
REACH_RECHECK_S = 0.5
REACH_SILENCE_S = 0.5
# A holder of the lease that reaches no endpoint for this long releases it.
LEASE_ISOLATED_S = 1.0
# Requests that a node has handed over to others at once, and the nodes that one is offered to.
HANDOVERS_MAX = 512
HANDOVER_TRIES_MAX = 3
# A node hands over to this many others. They are of its own data centre where at least this share
# of its nodes reach endpoints.
HANDOVER_PEERS = 8
NEAR_REACHING_SHARE = 0.5
# Callers get the addresses of nodes that reach endpoints alone if they are this share of all.
REACHING_SHARE_MIN = 0.25

QUEUE_MAX = 2048
TICK_S = 0.1
# How far ahead each priority moves a request in the deadline order, in seconds.
PRIORITY_HEADSTART_S = {"ledger": 60.0, "ranked": 30.0, "normal": 10.0, "casual": 0.0}
PRIORITY_RANK = {"casual": 0, "normal": 1, "ranked": 2, "ledger": 3}
DEADLINE_MAX_S = 600.0
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32768

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
RETRY_BACKOFF_S = 0.05
ATTEMPTS_MAX = 4
# Consecutive attempts to continue a cut stream that deliver no token. With the back-off this many
# outlast a restart of a runner.
ATTEMPTS_WITHOUT_TOKEN_MAX = 7

SESSION_IDLE_S = 3600.0
SESSIONS_MAX = 50_000
ONCE_PER_SESSION_MAX = 256
ONCE_ANSWER_BYTES_MAX = 64 * 1024

LIMIT_SHARE_INTERVAL_S = 1.0

DECISIONS_MAX = 2000

# Accelerator-seconds that one load or unload costs at a move weight of 1.
MOVE_COST_S = 1.0
# How long a new holder waits for reports before it decides what fits, in seconds.
REPORTS_WAIT_S = 3.0
# A replica is unloaded only if another one was reported resident within this time.
CONFIRMED_S = 2.5
# An endpoint that has answered no poll for this long counts as gone.
ENDPOINT_GONE_S = 6.0

# Routed requests. A request that has waited for room for this share of its objective is refused,
# with a time to retry: the later a refusal comes, the less it is worth to the caller.
MAX_WAIT_SHARE = 0.25
# Attempts that failed before a byte was sent are repeated at another endpoint, up to this many in
# all.
UNSENT_TRIES_MAX = 4
# Head start in the queue for each rank: a request precedes requests of the next lower rank that
# arrived up to this long before it.
RANK_HEADSTART_S = 2.0
# Retry-After, in seconds, where something is about to be ready (an adapter, another node). Where
# there was no room it is spread over the range ``RETRY_AFTER_NO_ROOM_S``, since a burst lasts two
# to four seconds.
RETRY_AFTER_S = 0.4
# Retry-After for a request whose endpoint failed.
RETRY_AFTER_FAILURE_S = 0.5
RETRY_AFTER_NO_ROOM_S = (1.0, 3.0)
# Retry-After where the model has yet to be loaded: the time until it is expected to be resident,
# capped at ``RETRY_AFTER_ABSENT_MAX_S``, plus a spread of up to ``RETRY_AFTER_SPREAD_S``. A retry
# before the model is resident is refused again, and most callers retry only once.
RETRY_AFTER_ABSENT_MAX_S = 8.0
RETRY_AFTER_SPREAD_S = 1.0
# Where Retry-After has to be cut to the longest that callers honour, retries are spread over this
# share of it.
RETRY_AFTER_SPREAD_SHARE = 0.25
# A model that was loaded for waiting callers is protected from eviction until they have retried,
# for at most this long. Without that it may be evicted before any of them has used it.
MODEL_KEEP_MAX_S = 4.0
# Time from a request for a model that is not resident until its load starts: the load request
# reaches the holder, a plan is made, replicas are unloaded to make room, and a report confirms it.
SWAP_S = 1.0
# A request waits for its model if that is expected to be resident within this share of the
# request's objective; the rest is for reading the prompt. The wait is longer than the prediction by
# ``READY_MARGIN``.
READY_SHARE = 0.8
READY_MARGIN = 1.3
# Callers honour a Retry-After of up to this share of the time left until their deadline.
RETRY_AFTER_MAX_SHARE = 1.0 / 3.0
# How long after the expected end of a load the model is assumed to be usable: the report that shows
# the end has to be read and distributed, and loads take longer while many run. A caller that
# retries too early is refused twice.
LOAD_REPORT_DELAY_S = 1.0
# Requests no longer wait for a load that is overdue by more than this.
LOAD_OVERDUE_S = 2.0
# Time from a node's first request for a missing model until the lease holder's announcement of its
# load is here: the holder plans every 0.5 s, and messages take two links each way.
HOLDER_ANSWER_S = 0.6
# Longest wait for a missing model that nodes tell apart; one that did not come counts as that.
MODEL_WAIT_MOST_S = 8.0
# Spread of the retries of callers that were refused for one missing model, in seconds: they come
# when it is there, and should not all read their prompts at once. Where the time is cut to what
# callers honour, retries are spread over this share of it.
MODEL_RETRY_SPREAD_S = 0.3
MODEL_RETRY_SPREAD_SHARE = 0.05
# The report of a load's end mostly takes this much less than ``LOAD_REPORT_DELAY_S``: a request
# that can't be in time for its objective, nor come back, takes that chance before its deadline.
REPORT_SLACK_S = 0.5
# A request is held for at most this share of its time by what is only likely, or by a load that is
# overdue: the rest is needed for a retry.
MODEL_HOLD_SHARE = 0.5
# A request waits for a model of which no load is announced from this chance on that it comes while
# the request is held. Less than an even one is enough: its caller has a retry left.
MODEL_WAIT_CHANCE = 0.4
# A request that waits for a load at its caller's last try looks at it again after this.
LOAD_LOOK_S = 0.5
# And it waits for a load that nobody has announced for this share of its time, while one that is
# ordered now would be in time.
LAST_TRY_WAIT_SHARE = 0.25
# A stream's caller leaves after a gap of the longest of these: seconds, objectives, and pauses that
# are in time. Source: the users' protocol.
STREAM_LEFT_AFTER_S = 2.0
STREAM_LEFT_OBJECTIVES = 4.0
STREAM_LEFT_PAUSES = 8.0
# Weights in the even-load policy, as shares of the load of a full endpoint.
REMOTE_LOAD = 0.02
PREFIX_LOAD_BONUS = 0.06

# A caller is given only addresses in its own data centre if there are at least this many, so that
# it has a second one if the first fails.
NEAR_ADDRESSES_MIN = 2
# Callers accept at most this many addresses.
ADDRESSES_MAX = 64

# Minimum interval between orders of two different holders, in seconds: the platform's lease-ms is
# 3,000, and the rest allows for clock differences and transit. The holder is a box, so a box whose
# process restarted continues with its lease without a gap.
HANDOVER_GAP_S = 3.3
# Interval of reading a runner's report while its state is unknown or an order is running.
REPORT_READ_INTERVAL_S = 1.0
# An order without an answer may be carried out up to 12 s later (one of the faults that the users
# describe), so the memory that it would take counts as allocated until then.
LATE_ORDER_S = 12.5
# An order without an answer is sent at most this many times before the endpoint's report is read.
ORDER_SENDS_MAX = 3
# When an order for a model is expected to be over, the runner's report is first read after this
# delay, since reports lag behind the runner's state. Each read that was too early adds
# ``ORDER_CHECK_STEP_S`` to the delay, up to ``ORDER_CHECK_MAX_S``.
ORDER_CHECK_S = 0.15
ORDER_CHECK_STEP_S = 0.05
ORDER_CHECK_MAX_S = 0.6
# An endpoint that reports an earlier start than is known is asked again after this.
RESTART_CHECK_S = 0.5
# A request with less than this share of the longest time that its route's callers brought within
# ``CALLER_TIMES_KEPT_S`` seconds comes from a caller that was refused before.
FIRST_TRY_SHARE = 0.9
CALLER_TIMES_KEPT_S = 300.0
# A load request expires after this long; the request behind it has been refused by then.
LOAD_REQUEST_TTL_S = 1.0
# For this many seconds after an adapter was attached, room at its endpoint is reserved for requests
# that use it, since its callers were told to retry within that time. At most this share of the
# slots, and this many of the prompt tokens that may be unread, are reserved for all adapters that
# were attached recently.
NEW_ADAPTER_RESERVE_S = 3.0
NEW_ADAPTER_RESERVE_SHARE = 0.125
NEW_ADAPTER_RESERVE_TOKENS = 1_024
# Retry-After for requests whose adapter is attached nowhere: an estimate of the wait that this
# share of past waits stayed below. Each wait moves the estimate by a step of ``ADAPTER_WAIT_STEP``
# of its value, up to ``ADAPTER_WAIT_MOST_S`` seconds.
ADAPTER_WAIT_SHARE = 0.95
ADAPTER_WAIT_STEP = 0.4
ADAPTER_WAIT_MOST_S = 3.0
# A load request that is no longer repeated keeps its place among the others for this long: longer
# than the interval between retries of callers of one adapter.
LOAD_REQUEST_KEPT_S = 20.0
# An adapter that was attached for waiting requests is kept until the last of their callers has
# retried, plus this: the heartbeat that informs the lease holder of its use comes every 0.4 s.
KEEP_AFTER_RETRY_S = 0.6
# Interval of the scan for adapters that are in use; nodes report them every 0.4 s.
USE_SCAN_INTERVAL_S = 0.2
# Idle adapters that are withdrawn in advance at a runner whose adapter places are all taken, if
# another adapter was requested there within ``ADAPTER_PRESSURE_S`` seconds. This costs nothing,
# since a withdrawal can be undone without an order.
STANDBY_ADAPTERS = 2
ADAPTER_PRESSURE_S = 5.0
RELAY_PLACEMENT = "swap"
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
# Unserved demand for a model without a replica counts as if it were asked for again within this
# many seconds. After three times this long the model can replace one with the same demand, so that
# no model stays unreachable for long.
UNSERVED_DEMAND_S = 2.5
# Weight of demand that can wait for its model, in the cost of an eviction: nearly all of it is
# served in time after a reload, but the swap occupies the runner's orders.
DEFERRABLE_LOSS_SHARE = 0.2
# Share of a model's urgent demand that justifies a second replica by itself: if the only replica is
# lost, all urgent demand fails until another one is loaded.
SINGLE_REPLICA_LOSS_SHARE = 0.3
# Gain of the moving average of the work of a request.
WORK_GAIN = 0.02
# Each shorter answer multiplies the time of the longest answer by this, so that it stays close to
# the longest of about a hundred answers.
LONGEST_DECAY = 0.99
# Time constant for demand that was refused for lack of room, in seconds. It is long enough that the
# replica that ended the refusals is not evicted as soon as they end.
REFUSED_DEMAND_FALL_S = 15.0
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
# A model's pace (seconds per prompt token) is estimated from prompts of at least
# ``PACE_TOKENS_MIN`` tokens, once ``PACE_SEEN_MIN`` of them were measured, at runners with a load
# of at most ``PACE_LOAD_MAX``. Each measurement multiplies the weight of earlier ones by
# ``PACE_DECAY``, and the least time to a first event by ``PACE_BASE_GROWTH``. No model's pace is
# taken as less than ``PACE_LEAST`` of the slowest model's.
PACE_TOKENS_MIN = 1_000
PACE_SEEN_MIN = 3
PACE_DECAY = 0.95
PACE_LOAD_MAX = 0.5
PACE_BASE_GROWTH = 1.001
PACE_LEAST = 0.05
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
# Adapters of one endpoint that may be withdrawn at the same time, waiting for their last requests
# to end; and the time after a withdrawal until all nodes know of it and of each other's requests
# for the adapter: a heartbeat interval of 0.4 s plus transit.
WITHDRAWN_MAX = 3
WITHDRAWN_PROPAGATION_S = 0.6
# Time to attach an adapter; from the runner's own memory it takes somewhat less.
ADAPTER_LOAD_S = 0.025
# The lease of relay nodes: a holder that dies is replaced within some seven seconds, including
# ``HANDOVER_GAP_S``, at the cost of one write a second to the store.
RELAY_LEASE_TTL_S = 4.0
RELAY_LEASE_RENEW_S = 1.0
RELAY_LEASE_MARGIN_S = 1.0
# A write of the lease is answered within some milliseconds; if it is not after this long, a read
# determines whether it took effect.
LEASE_ANSWER_S = 0.4
# A holder whose heartbeat was received within this time is alive: two intervals plus transit.
HOLDER_QUIET_S = 1.0
RELAY_PLAN_INTERVAL_S = 0.5
# Interval of polls for an overdue order that the endpoint has taken, until a report shows that it
# is done.
ORDER_POLL_S = 0.2
# Demand at relay nodes shifts between models within five seconds, and a surplus replica takes the
# room of a missing one.
RELAY_DEMAND_RISE_S = 1.0
RELAY_DEMAND_FALL_S = 3.0
RELAY_DEMAND_METER_S = 1.0
# How often a node without the lease updates its forecast of demand, in seconds: about as often as
# heartbeats bring it new figures, and a fifth as often as the lease holder does.
DEMAND_FOLLOWED_S = 0.5
# Smallest difference between two times that counts as one.
CLOCK_STEP_S = 1e-6
# Prompt tokens that an endpoint may have to read when it is sent another prompt: all of its streams
# pause while it reads. A tighter bound refuses requests at runners with room; a looser one makes
# streams pause.
UNREAD_TOKENS_MAX = 4_096
# Unread prompt tokens that weigh as much as all slots of an endpoint in the choice of one.
UNREAD_TOKENS_FULL = 10_000.0
# Factor on the most nodes seen so far, which allows for nodes that join, where a shared total is
# divided among the nodes.
JOINING_SHARE = 1.3
# Relay nodes that may take the lease; only a few, since each reads it once a second.
LEASE_CANDIDATES = 4
# Resolution of the comparison of nodes' ages: all boxes of a deployment start within a second, and
# a rolling restart takes some seconds a box.
AGE_STEP_S = 5.0
# A node that has run for less than this has not received heartbeats from all others yet.
SETTLED_S = 1.5

# After a restore of the store from a backup, an evacuation that it lacks holds for this long: the
# platform writes again within two seconds of the restore what it wrote since the backup; the
# remaining 0.2 s are for network latency.
EVACUATION_REWRITE_S = 2.2
# Up to this many relay nodes each link to all others and read the platform's store themselves,
# which detects a leaving endpoint soonest. Larger groups do both through relays (``topology.py``),
# since the heartbeats and calls of a mesh grow with the square of the nodes.
RELAY_MESH_MAX = 12
# Nodes that read the store for all others, besides the lease holder. One may be cut off while
# another restarts; if more are lost, any relay takes over.
WATCHERS = 2
# Bounds that apply if the platform's settings have none: from the store's confirmation of a change
# until every node acts on it, and from the failure of a node's connections until it has to.
CHANGE_APPLY_S = 2.0
CONTACT_S = 3.0
# An answer to a watch that is later than the end of its wait by this is missing: a lost packet is
# sent again within 0.2 s.
WATCH_ANSWER_S = 0.3
# Time for a new connection, 0.4 s at most, and for an answer on it.
WATCH_REPEAT_S = 0.7
# Shortest wait of a watch, so that short bounds don't make a call follow on a call.
WATCH_LEAST_S = 0.2
# Data from the store is stale beyond this age. Watchers read at least every 1.1 s.
STORE_STALE_S = 1.8
# A node reads the store itself once the data that it receives has been stale for this long. Relays
# start first, each rank later by ``WATCH_TAKEOVER_RELAY_S``; other nodes start after
# ``WATCH_TAKEOVER_MIN_S``, spread over ``WATCH_TAKEOVER_PER_NODE_S`` a node, so that an outage does
# not cause calls of all nodes at once.
WATCH_TAKEOVER_RELAY_S = 0.1
WATCH_TAKEOVER_MIN_S = 0.6
WATCH_TAKEOVER_PER_NODE_S = 0.02
# A node that has run for longer than this is preferred as a relay to those that have just started.
RELAY_SETTLED_S = 5.0
# Roles are computed again after each change of the nodes, and at this interval.
ROLES_RECOMPUTE_S = 2.0
# A node with this capacity is as good a relay as one with more.
RELAY_CAPACITY = 1.0
# A node to which no link could be opened is left out for this long.
UNREACHED_S = 5.0
# Outside a mesh, a node that has found no node to follow for this long asks the seeds as well.
SEEDS_AFTER_S = 1.5
# Start times that differ by less, in seconds, are of the same process; they reached this node in
# two ways.
SAME_START_S = 1.0
# Changes of nodes that are kept, for peers that receive only differences.
CHANGES_KEPT = 4096

# Requests with keys are refused once the configuration was last proved the newest longer ago than
# this share of the time for which a revoked key may still be used; the rest is a margin. At a node
# that reaches the store or a relay the proof is at most 1.5 s old, so it never comes near.
PROOF_SHARE = 0.9
# An era of the store that only other nodes claim ends by this many answers of the store that name
# an earlier one, the last to a call that began this long after the claim was heard. One would do of
# a store that answers linearizably; this bears one whose processes learn of a restore apart.
ERA_DENIALS_LEAST = 2
ERA_DENIED_AFTER_S = 1.0
# A claim that was denied is not taken again for this long after the store's latest answer: a node
# that the store does not answer goes on claiming it, and each claim taken cuts off all calls.
ERA_DENIAL_KEPT_S = 30.0
# Time that the operator and the endpoints need to write again what a restored backup of the store
# lacks.
REWRITE_S = 2.0
# From this share of its limit on, each request of an organisation is put to its owner. What nodes
# know of each other's use is up to 1.3 s old (a heartbeat to the relay, one between relays, half a
# second to the followers): an organisation that surges to 7.5 times its usual rate from below a
# quarter of its limit has reached 0.55 of it when the last node learns of it.
NEAR_LIMIT_SHARE = 0.25
# A list of organisations near their limits is valid for this long; a node without a valid list asks
# the owner about each request.
NEAR_LIMIT_TTL_S = 3.0
# Time after which units that an owner granted are included in the sums of the other nodes, in
# seconds.
SPEND_LAG_S = 0.8
# Step in which the sliding window of allotments moves, in seconds.
SPEND_STEP_S = 0.1
# Added to the used share of a limit that the last lease holder wrote, while no node knows what ran
# before all of them started. The value is up to 1.8 s old (a second between renewals of the lease,
# the rest from node to node), and a surge to 7.5 times a quarter of the limit uses 0.4 of it in
# that time, of which the tolerance covers 0.1.
RESTORED_USE_MARGIN = 0.3
# An owner is at most two links away, with a millisecond each. A request without an answer after
# this is refused: the owner is frozen or cut off, and another one is chosen within a second or two.
OWNER_ANSWER_S = 0.25
# Retry-After where this node can't verify that a key is still valid, or an organisation's owner
# does not answer; another node is chosen within about that time.
RETRY_AFTER_UNPROVED_S = 1.0
# A node that follows no other asks this many linked nodes for a proof of the configuration.
PROOF_SOURCES_MAX = 2
# A node reads the configuration itself if its last proof is older than this. Relays do so early,
# since other nodes depend on them; the others are spread over ``PROOF_READ_SPREAD_S``, so that an
# outage does not cause calls of all nodes at once.
PROOF_READ_RELAY_S = 2.0
PROOF_READ_S = 2.6
PROOF_READ_SPREAD_S = 0.8
# Share of the tolerance of an allotment that an owner grants as well: requests within it are
# allowed, so a refusal would gain nothing. The rest covers use that the owner has not learnt of.
TOLERANCE_SHARE = 0.6
# Smaller used shares of a limit are not written with the lease.
RESTORED_SHARE_MIN = 0.05
# A node that has run for less than this owns an organisation only if no node is older by more than
# ``OWNER_AGE_SPREAD_S``. It is about the window of allotments, after which use before its start no
# longer counts.
OWNER_AGE_S = 10.0
# Nodes that start within this time of each other have started together: what the first of them saw
# alone is a small part of that window.
OWNER_AGE_SPREAD_S = 2.0
# An owner that has not ticked for this long (five ticks) starts afresh: another node may have
# decided in the meantime.
OWNER_GAP_S = 0.5
# An owner drops a subject for which it has not been asked for this long.
OWNER_IDLE_S = 60.0
# The number of nodes is taken as the most that were visible within this time, so that a part that
# is cut off still counts: a window of allotments and some more.
VISIBLE_KEPT_S = 12.0
# A linked node that has sent nothing for this long (three heartbeats) is not visible.
VISIBLE_QUIET_S = 1.2

# Slots of plain services, granted by one node. It grants this share more than an endpoint's slots,
# one at least, so that no slot is idle while an answer and the next request are in transit: 2 to 5
# ms, beside runs of 60 ms.
SLOT_AHEAD_SHARE = 0.17
# Expected length of a run before any was measured; each run moves the estimate by
# ``SLOT_RUN_GAIN``. A request may wait if the rest of its objective holds ``SLOT_RUN_MARGIN`` runs,
# since their lengths vary: a tenth takes over 1.5 times the mean.
SLOT_RUN_S = 0.1
SLOT_RUN_GAIN = 0.1
SLOT_RUN_MARGIN = 1.5
# A failed run counts as at least this long, so that an endpoint that fails fast does not attract
# requests.
SLOT_FAILED_S = 0.5
# A slot that its holder has not reported for this long is free again.
SLOT_LEASE_S = 1.0
# An owner answers within a few milliseconds; a request without an answer after this is placed by
# its entry node.
SLOT_ANSWER_S = 0.06
# Bounds of Retry-After for a request that was refused for lack of slots; the upper one is used
# where the time of the next free slot is not known.
RETRY_AFTER_NO_SLOT_S = (0.5, 3.0)
# Endpoints whose slots one node grants: 16 of 6 slots with runs of 60 ms make 1,600 requests a
# second, which is the limit of a core with three messages of 50 us each.
SLOT_ENDPOINTS_MAX = 16

# A request during which this many processes crashed is not run again: the users' platform allows
# three crashes, plus attempts that were already on their way. The evidence expires after
# ``EVIDENCE_S`` seconds; callers' deadlines are at most 30 s, and an engine may be repaired within
# minutes.
CRASHES_MAX = 3.0
EVIDENCE_S = 600.0
# A part of prompts that was in a whole answer within ``PART_SOUND_S`` seconds before the latest
# crash is convicted only by this many: popular parts are under each crash.
PART_SOUND_S = 10.0
PART_CRASHES_SOUND = 5.0
# A part is convicted for this many seconds first, and ``PART_VERDICT_GROWTH`` times as long for
# each further crash; then one request tries it. Most requests may have a popular part, if that is
# convicted wrongly.
PART_VERDICT_S = 60.0
PART_VERDICT_GROWTH = 4.0
# Parts of which a node keeps when they were last in a whole answer.
SOUND_PARTS_MAX = 16_384
# A request with this many crashes is run alone and one at a time, no sooner than
# ``SUSPECT_RETRY_S`` seconds after the last crash; a runner is back after some four.
SUSPECT_CRASHES = 2.0
SUSPECT_RETRY_S = 2.0
# A suspect that crashes its endpoint does so within this many seconds of its run; after that it is
# likely to succeed.
TRIAL_S = 2.0
# How crashes are weighed, a name in ``suspects.WEIGHTS``. This one convicts no innocent requests
# where many endpoints crash for other reasons.
SUSPECT_WEIGHT = "young"
# A crash after more than this many seconds of an answer counts as ``LONG_RUN_WEIGHT`` of a crash,
# so a request that crashes its endpoint late in its answer is found after six.
LONG_RUN_S = 1.0
LONG_RUN_WEIGHT = 0.5
# A crash is detected within this many seconds of the connections' end: the endpoint's entry expires
# after three heartbeats of 1.2 s. A request that its caller left may still run for
# ``ABANDONED_RUN_S``.
CRASH_DETECTION_S = 5.0
ABANDONED_RUN_S = 0.3
# Times from two nodes that differ by less than this many seconds denote the same moment.
SAME_MOMENT_S = 1.0
# Limits on the suspects that are kept, in all and for each organisation, and on the verdicts, which
# are written with the lease.
SUSPECTS_MAX = 4096
SUSPECTS_EACH_MAX = 512
VERDICTS_MAX = 256

# Token bucket for an endpoint that reports how many requests a second it accepts: it holds this
# many permits plus ``PERMIT_BURST_S`` seconds' worth of the rate, so that requests which arrive
# unevenly get one.
PERMIT_BURST = 2.0
PERMIT_BURST_S = 0.25
# For this long after a node has become the owner of a subject it grants no permits, since the
# previous owner may still do so. Nodes drop a peer that has been silent for ``HOLDER_QUIET_S``, and
# learn of each other's views with a heartbeat of 0.4 s.
OWNER_TAKEOVER_S = 1.5
# A request is sent within this time of its slot's grant, or asks for another slot: a connection
# takes at most 0.4 s.
SLOT_SEND_S = 0.5
# Nodes that have asked for a permit within ``PERMIT_REQUESTERS_S`` share the next ones. Each is
# to use other endpoints for a share of the time that all of them together need for their
# permits, so that more nodes ask than there are permits. The share starts at
# ``PERMIT_AVOID_SHARE``, its maximum, is multiplied by ``PERMIT_AVOID_FALL`` where permits are left
# over and by ``PERMIT_AVOID_RISE`` with each request that finds none, and stays above
# ``PERMIT_AVOID_LEAST``. The time is at most ``PERMIT_AVOID_MAX_S`` seconds.
PERMIT_REQUESTERS_S = 5.0
PERMIT_AVOID_SHARE = 0.5
PERMIT_AVOID_LEAST = 0.05
PERMIT_AVOID_FALL = 0.7
PERMIT_AVOID_RISE = 1.05
PERMIT_AVOID_MAX_S = 30.0
# A request that was refused a permit asks again no sooner than after this many seconds.
PERMIT_RETRY_S = 0.05

# Time constant in which samples of endpoints' speeds decay, in seconds: a change of speed shows
# within about as much, and an endpoint with four samples a second has ten.
SPEED_DECAY_S = 2.5
# Decayed samples of one node that count at one endpoint, and the least number that is kept. The
# first one bounds how far a node that measures wrongly moves a speed.
SPEED_NODE_WEIGHT = 1.0
SPEED_WEIGHT_LEAST = 0.05
# Bounds of a time between two events, in seconds, and of a speed.
SPEED_GAP_LEAST_S = 1e-4
SPEED_GAP_MOST_S = 10.0
SPEED_RANGE = (0.1, 4.0)
# Samples of speed 1 that are taken to be among an endpoint's, the least number of its own that give
# a speed, and the rounds of the fit.
SPEED_SHRINK = 0.3
SPEED_SAMPLES_MIN = 1.0
SPEED_SWEEPS = 8
# Largest difference between equal endpoints, as a logarithm: a runner with a full batch takes some
# 20 % longer for a step. ``SPEED_NOISE`` divided by the root of the samples is added, some twice
# their standard error. Endpoints that count as different do so until the difference is below
# ``SPEED_BAND_LEAVE`` of that.
SPEED_BAND = 0.22
SPEED_NOISE = 0.25
SPEED_BAND_LEAVE = 0.75
# Changes of a speed's logarithm that are ignored, and that are logged.
SPEED_STEP = 0.07
SPEED_LOG_STEP = 0.2
# Time after which a speed that nobody confirmed is 1.0 again, in seconds.
SPEED_KEPT_S = 10.0
# Interval of the computation of speeds, in seconds. It grows so that no more than
# ``SPEED_CELLS_PER_S`` sums are read a second, which takes some 5 % of a core.
SPEED_FIT_S = 0.5
SPEED_CELLS_PER_S = 10_000.0
# Sums that a node keeps; it ignores samples beyond them. Reading them all holds a node up, and more
# of them would delay its heartbeats, which are due every 0.4 s.
SPEED_CELLS_MAX = 12_000
# Rows in one message of samples or speeds, some 30 bytes each.
SPEED_ROWS_MAX = 128
# Followers are sent speeds that were confirmed within this time, in seconds, and for as long a
# change to 1.0. With 1,000 endpoints in turn each is sent every 3.2 s.
SPEED_SHARED_S = 4.0
# Time after an endpoint's restart in which samples are ignored, in seconds: the nodes learn of it
# within a second, and messages take three heartbeats of 0.4 s.
SPEED_RESTART_S = 2.0

# Time after its begin in which a stream may be taken up again, in seconds: callers wait for up to
# 30 s for an answer.
STREAM_KEPT_S = 120.0
# Origins of streams that a node keeps, some 250 bytes each.
STREAM_ORIGINS_MAX = 131_072

# Places at model endpoints, ordered by one node for all. A grant counts by itself until its node's
# rows of unread prompts include it: a batch of 0.03 s, or two by way of a relay, and the links.
PLACE_UNSEEN_S = 0.05
# A grant counts towards the endpoint's slots for half the interval of heartbeats, which carry the
# requests there from then on, on average.
PLACE_LEASE_S = 0.2
# An endpoint's own pace is the time for which requests waited there by the prompt tokens that were
# granted meanwhile, with this time constant. It counts from so many tokens on.
PLACE_PACE_S = 2.0
PLACE_PACE_TOKENS_MIN = 8_192.0
# A node sends a request without asking while its endpoint has no more than this share of the most
# prompt tokens to read: near the whole, requests of other nodes may wait for the same room.
PLACE_UNASKED_SHARE = 0.3
# An owner allows no more unread prompt tokens than this many times the nodes' bound, however fast
# its endpoint reads: their first events still have to be in time.
PLACE_UNREAD_TIMES_MAX = 2.0
# An owner confirms each waiting request this often, in seconds; see ``OWNER_ANSWER_S``.
PLACE_CONFIRM_S = 0.1
# A request that has waited for this share of its time counts as one rank more urgent: what is left
# then still holds the wait behind a full queue of prompts.
PLACE_RAISE_SHARE = 0.7
# Time for which a node takes an endpoint to have a queue after its owner let a request wait or
# refused one, in seconds: two to three confirmations.
PLACE_QUEUE_KNOWN_S = 0.3
# Number of owners that a request asks for a place: the soonest endpoint's, and one other.
PLACE_OWNERS_MAX = 2
