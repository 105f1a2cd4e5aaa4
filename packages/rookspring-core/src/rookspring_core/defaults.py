"""Constants of the decisions, named once, with units in the name.

A reason stands beside a value where a reader would wonder.
"""

# Answers of ``/v1/addresses`` may be kept this long by a caller.
ADDRESS_TTL_S = 5.0
# A leaving node goes on serving this much longer than its last answer lives.
DRAIN_MARGIN_S = 1.0

# Renewal leaves four tries within one lease life.
LEASE_TTL_S = 8.0
LEASE_RENEW_S = 2.0
# A holder stops acting this long before its lease can lapse at an observer.
LEASE_MARGIN_S = 2.0

HEARTBEAT_S = 1.0
PEER_DEAD_S = 4.0
# Silent nodes are looked for this often.
EXPIRE_EVERY_S = 0.5
# A node that reaches neither platform nor peers takes no new work after this.
ISOLATION_GRACE_S = 10.0
# Past this many nodes in a data centre heartbeats go through relays.
MESH_LIMIT = 24
RELAYS_PER_DATA_CENTRE = 2

# Older reports say nothing of other nodes' work any more.
REPORT_STALE_S = 20.0
# Stands in a report for the requests that run where it does not tell them.
LOAD_UNTOLD = -1
# Slots to assume of an endpoint that has not reported yet.
SLOTS_UNKNOWN = 8
ENDED_MAX = 4096

# Changes are folded into one publication for this long.
PUBLISH_BATCH_S = 0.25
SHARD_COUNT = 16

# An order that was sent may still arrive this much later.
LATE_ORDER_BOUND_S = 30.0
ORDER_RESEND_S = 2.0
# Part of each endpoint's memory that is never promised to weights.
MEMORY_RESERVE_SHARE = 0.1

PLAN_INTERVAL_S = 1.0
# Runners planned for in a second at most: a few hundredths of a core.
PLANNED_PER_S = 100.0
DEMAND_RISE_TAU_S = 2.0
# Much longer, and the demand of a burst that is over holds the runners that the next one
# needs; see docs/design/placement.md.
DEMAND_FALL_TAU_S = 10.0
DEMAND_METER_S = 2.0
PAY_BACK_S = 60.0

CANDIDATES = 3
AFFINITY_BONUS_S = 0.25
ADAPTER_MISS_S = 0.15
REMOTE_COST_S = 0.002
# A hot prefix is followed only while its endpoint is at most this much busier.
AFFINITY_LOAD_BOUND = 1.25
CACHE_HINT_LIFE_S = 60.0
CACHE_HINTS_MAX = 4096
EJECT_AFTER_FAILURES = 3
EJECT_S = 5.0
# A runner that owes an answer and has said nothing for so long gets no more: engines
# make a step in some 10 ms, and callers bear pauses of 300 ms in a stream.
SILENT_S = 0.8
# One that takes no connection is left alone for so long, at once.
UNREACHED_EJECT_S = 1.0

QUEUE_MAX = 2048
TICK_S = 0.1
# How far ahead a weight moves a request in the deadline order, in seconds.
PRIORITY_HEADSTART_S = {"ledger": 60.0, "ranked": 30.0, "normal": 10.0, "casual": 0.0}
PRIORITY_RANK = {"casual": 0, "normal": 1, "ranked": 2, "ledger": 3}
DEADLINE_MAX_S = 600.0
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32768

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
RETRY_BACKOFF_S = 0.05
ATTEMPTS_MAX = 4
# Continuations of a cut stream in a row that bring no token. With the back-off they
# outlast a runner's restart.
BARREN_ATTEMPTS_MAX = 7

SESSION_IDLE_S = 3600.0
SESSIONS_MAX = 50_000
ONCE_PER_SESSION_MAX = 256
ONCE_ANSWER_BYTES_MAX = 64 * 1024

LIMIT_SHARE_INTERVAL_S = 1.0

DECISIONS_MAX = 2000

# Accelerator-seconds that one load or unload is taken to cost at weight 1.
MOVE_COST_S = 1.0
# Reports that a new holder waits for before it judges what fits, in seconds.
SURVEY_S = 3.0
# A replica is unloaded only while another was reported resident this recently.
CONFIRMED_S = 2.5
# An endpoint that answers no poll for so long counts as gone.
ENDPOINT_GONE_S = 6.0

# Routed requests. One is refused, with a time to come back, once it has waited this
# part of its objective for room: later refusals are worth less to callers.
PATIENCE_SHARE = 0.25
# Where a try broke before a byte left, another endpoint is asked, this often at most.
UNSENT_TRIES_MAX = 4
# A second of order in the queue for each rank: a request of a lower one waits behind
# those that came within so long after it.
RANK_HEADSTART_S = 2.0
# Callers are told to come back after this long where something is ready in a moment
# (an adapter, another node), and between these where there was no room, as a burst
# takes two to four seconds.
COME_BACK_S = 0.4
# When one whose endpoint failed may come back.
FAILED_BACK_S = 0.5
COME_BACK_ROOM_S = (1.0, 3.0)
# Where the model is yet to be loaded they are told when it can be there, at most the
# one, and spread over the other: whoever comes back before comes in vain, and most come once.
COME_BACK_ABSENT_MAX_S = 8.0
COME_BACK_SPREAD_S = 1.0
# Part of the longest time that callers heed over which they are spread where it is too short.
COME_BACK_APART = 0.25
# A model that was loaded for callers is kept until they have come back, for so long at most; else
# it gives way before, and has come for nobody.
MODEL_KEPT_S = 4.0
# From a request for a model that is on no endpoint to its load: the want reaches the
# holder, a plan is made, what gives way is unloaded, a report tells the end.
SWAP_S = 1.0
# A request waits for its model if it can be there within this part of its objective;
# the rest is for reading the prompt. It waits somewhat longer than predicted.
READY_SHARE = 0.8
READY_MARGIN = 1.3
# Callers heed a time to come back up to this part of the time that they have left.
COME_BACK_SHARE = 1.0 / 3.0
# How long after the expected end of a load callers may count on it: the report that shows
# the end is read and told, and loads take longer while many run. Whoever comes back too early is
# refused twice.
COMING_TOLD_S = 1.0
# A load that is overdue for longer is not waited for.
COMING_LATE_S = 2.0
# Weights of the even-load policy, in parts of a full endpoint.
REMOTE_LOAD = 0.02
PREFIX_LOAD_BONUS = 0.06

# A caller is given the addresses of its own data centre alone where there are this
# many, so that it has another one if one fails.
NEAR_ADDRESSES_MIN = 2
# Callers take no more than this many.
ADDRESSES_MAX = 64

# Orders of two holders must lie further apart than this, in seconds: the platform's
# lease-ms is 3,000, and a little more covers clocks and the way there. A box is one
# holder, so one that was restarted goes on with its lease without a gap.
TURN_GAP_S = 3.3
# A runner's report is read again this often while it is not known, or an order runs.
SURVEY_READ_S = 1.0
# An order without an answer may be carried out up to 12 s later (the users' kinds of
# trouble), so what it would load counts as held until then.
LATE_ORDER_S = 12.5
# An order without an answer is sent so often in all before its endpoint is looked at.
ORDER_SENDS_MAX = 3
# Once an order for a model is expected to be over, its runner's report is first read so
# much later, since reports lag behind what they tell; by this step more each time that
# one was too early, up to the most.
ORDER_LOOK_S = 0.15
ORDER_LOOK_STEP_S = 0.05
ORDER_LOOK_MAX_S = 0.6
# An endpoint that tells an earlier start than is known is asked again after so long.
LIFE_LOOK_S = 0.5
# A want that was not served is forgotten; its request has long been refused.
WANT_LIFE_S = 1.0
# For so long after an adapter was attached, in seconds, requests for it have the first call on
# room there: its callers are told to come back within that time. So many of the slots at most are
# kept for all that came, and so many of the prompt tokens that may be unread.
FIRST_CALL_S = 3.0
FIRST_CALL_SHARE = 0.125
FIRST_CALL_TOKENS = 1_024
# How long callers of an adapter that is attached nowhere are told to stay away: what this part
# of the waits seen stay below, learnt in steps of this part of itself, up to this many seconds.
ADAPTER_WAIT_SHARE = 0.95
ADAPTER_WAIT_STEP = 0.4
ADAPTER_WAIT_MOST_S = 3.0
# How long a want that nobody asks for now keeps its place among the others: longer than callers
# of one adapter stay away.
WANT_REMEMBERED_S = 20.0
# An adapter that was attached for requests is kept until the last of their callers has come
# back, and for so long beyond: a heartbeat of 0.4 s tells the lease holder that it is used.
PLACE_KEPT_S = 0.6
# What requests use is looked through this often; nodes tell it every 0.4 s.
USED_NOTED_S = 0.2
# Adapters that stand by where all places are taken, while more were asked for within so many
# seconds; a place that stands by costs nothing, since it is taken back without an order.
STANDBY = 2
PRESSED_S = 5.0
RELAY_PLACEMENT = "swap"
# What an unload takes beyond the load that it makes room for: its streams end first,
# and a report shows it gone, in seconds.
UNLOAD_S = 1.0
# How much longer than predicted an order may take before nobody waits for its runner.
RUNNER_BUSY_S = 1.0
# How much later a full runner is taken to serve than an idle one, in seconds.
LOADED_RUNNER_S = 2.0
# A model asked for at less than this rate may give way although it is the last
# replica: one mean request of 3,180 tokens falls below it in some six seconds.
IDLE_TOKENS_PER_S = 150.0
# What is missed without the replicas that give way is missed for so long, in seconds: as
# it takes to plan, load and unload again.
LOST_COPY_S = 10.0
# Replicas give way to a model that is asked for, or refused, more than four times as much
# as what would be missed without them: while boxes are lost there is not room for all.
GIVE_WAY_SHARE = 0.25
# What was asked in vain of a model that stands nowhere counts as if it were asked for again
# within so many seconds: after three times that it takes the place of one that is asked for as
# much, so that none is out of reach for long.
CLAIM_GROWS_S = 2.5
# Part of a request that can wait for its model, as it counts where that gives way: it is
# served in time nearly always, but holds up a runner's orders for a swap.
PATIENT_LOSS = 0.2
# Part of the urgent demand of a model that its second replica is worth by itself: when
# the only one is lost, all of it is missed until another is loaded.
SINGLE_LOSS = 0.3
# What a request asks for on the mean moves by this part of each.
WORK_GAIN = 0.02
# What the longest answer's time is multiplied by at each answer that was shorter: so it
# is about that of the longest in a hundred.
LONGEST_KEPT = 0.99
# What was refused for want of room counts on for this time constant, in seconds, so that
# the replica that ended the refusals does not give way as soon as they end.
MISSED_FALL_S = 15.0
# A load that takes no longer is quick: from memory or disk it takes 0.9 to 1.7 s.
QUICK_LOAD_S = 3.0
# A replica is to pay within this time, since demand moves on.
SWAP_HORIZON_S = 30.0
# Part of the weight store's rate that is used. A new holder begins with no burst, so
# that any window stays below rate and burst together, whoever held the lease in it.
STORE_RATE_SHARE = 1.0
# Loads at once from the weight store, beyond its rate: the platform bears three.
STORE_BURST = 3.0
# Work that a runner does, in prompt tokens plus ten times answer tokens a second: the
# users' engines read 19.2 prompt tokens a millisecond and decode 64 answers in steps
# of 11 ms, which makes some 9 of their mean requests of 3,180 a second.
# Below a part of that their answers are never late, so no move pays.
RUNNER_TOKENS_PER_S = 4_000.0
# Prompts from this many tokens on tell a model's pace, once so many were seen; what was
# seen before keeps this part of its weight at each. The runner is to have no more than
# this load. The least time to a first event is forgotten by this much a measurement; and
# no model counts for less than this part of the slowest.
PACE_TOKENS_MIN = 1_000
PACE_SEEN_MIN = 3
PACE_KEPT = 0.95
PACE_LOAD_MAX = 0.5
PACE_FORGET = 1.001
PACE_LEAST = 0.05
# How far above its even part of the demand a runner may be planned.
EVEN_MARGIN = 1.2
# Room that is being made counts as a model's own if it is there within so long, in
# seconds: a runner that waits for its last streams held up a second replica for 13 s.
ON_WAY_S = 3.0
# Adapters of one endpoint that may wait at once for their last requests to end; and how
# long after a withdrawal all nodes have heard of it and of each other's requests there:
# a heartbeat of 0.4 s and some way.
WITHDRAWN_MAX = 3
WITHDRAWN_TOLD_S = 0.6
# An adapter arrives from a runner's own memory in somewhat less.
ADAPTER_LOAD_S = 0.025
# The lease of relay nodes: an order-giver that dies is replaced within some seven
# seconds, TURN_GAP_S included, for one write a second to the store.
RELAY_LEASE_TTL_S = 4.0
RELAY_LEASE_RENEW_S = 1.0
RELAY_LEASE_MARGIN_S = 1.0
# A write of the lease is answered within some milliseconds; one that was not is settled by
# a read after this long.
LEASE_ANSWER_S = 0.4
# A holder whose heartbeat was heard within this time is alive: two beats and some way.
HOLDER_QUIET_S = 1.0
RELAY_PLAN_INTERVAL_S = 0.5
# A taken order that ought to be over is looked after this often until a report shows it.
ORDER_POLL_S = 0.2
# Demand at relay nodes moves between models within five seconds, and a copy that is
# too many takes the place of one that is missing.
RELAY_DEMAND_RISE_S = 1.0
RELAY_DEMAND_FALL_S = 3.0
RELAY_DEMAND_METER_S = 1.0
# The least difference between two moments that are told apart.
CLOCK_STEP_S = 1e-6
# Prompt tokens that an endpoint may have to read before it gets another prompt: all its
# streams pause while it reads. Tighter bounds refuse at runners with room, looser ones make
# streams pause.
UNREAD_TOKENS_MAX = 4_096
# Unread tokens that weigh as much as all slots of an endpoint when one is chosen.
UNREAD_TOKENS_FULL = 10_000.0
# Nodes that may join, beside those that were seen, for parts of what all have together.
JOINING_SHARE = 1.3
# Relay nodes that may take the lease; a few, since each reads it once a second.
SUCCESSORS = 4
# Ages of nodes are told apart by this much: all boxes of a deployment start within a
# second, and a restart in turn takes some seconds a box.
AGE_STEP_S = 5.0
# A node that has run for less has not heard of all others yet.
SETTLED_S = 1.5

# Up to so many relay nodes each links to all others and watches the platform's store
# itself, which learns a leaving soonest; past that they do both through relays
# (``topology.py``), since a mesh's heartbeats and calls grow with the square of the nodes.
RELAY_MESH_MAX = 12
# Nodes that watch the store for all others, beside the lease holder. One may be cut off
# and one be restarted at once; past that any relay steps in by itself.
WATCHERS = 2
# What is known of the store is stale past this age. Watchers ask at least each 1.1 s.
STORE_STALE_S = 1.8
# A node watches the store itself once what it hears of it has been stale for so long:
# relays first, each rank so much later, and the others spread over the last, so that an
# outage is not met by calls of all nodes at once.
STEP_IN_RELAY_S = 0.1
STEP_IN_LEAST_S = 0.6
STEP_IN_PER_NODE_S = 0.02
# A node that runs for longer may be a relay before those that have just started.
RELAY_SETTLED_S = 5.0
# Roles are worked out anew after each change of the nodes, and this often.
RELAY_WORK_OUT_S = 2.0
# Whoever carries this much is strong enough for a relay; stronger ones gain nothing.
RELAY_STRENGTH = 1.0
# A node that could not be dialled is left out for so long.
UNREACHED_S = 5.0
# A node past a mesh that finds nobody to follow for so long asks the seeds as well.
SEEDS_AFTER_S = 1.5
# Times of start that differ by less are of one process, told over two ways, in seconds.
SAME_START_S = 1.0
# Changes of nodes that are kept for those who are told of differences.
CHANGES_KEPT = 4096

# Requests with keys are refused once the configuration was last proved the newest longer
# ago than this part of the bound on a key's end; the rest is a margin. A node in touch
# with the store or a relay is 1.5 s old at most, so it never comes near.
PROOF_SHARE = 0.9
# How long the operator and the endpoints take to write again what a copy of the store lacks.
REWRITE_S = 2.0
# Near this part of its limit an organisation's owner is asked for each request. What nodes
# know of each other's use is up to 1.3 s old (a heartbeat to the relay, one between relays,
# half a second to the followers): one that surges to 7.5 times its usual from below a
# quarter of its limit is at 0.55 of it when the last node hears so.
TIGHT_SHARE = 0.25
# What was told of it holds for so long; whoever hears nothing asks for each request.
TIGHT_TOLD_S = 3.0
# How much of what an owner granted may not be in the others' sums yet, in seconds.
SPEND_LAG_S = 0.8
# Steps in which a window of allotments moves, in seconds.
SPEND_STEP_S = 0.1
# Added to the part of a limit that the last lease holder wrote as used, while no node knows
# what ran before all started: what it wrote is up to 1.8 s old (a second from one renewal of
# the lease to the next, the rest from node to node), and a surge to 7.5 times a quarter of
# the limit uses 0.4 of it meanwhile, of which the tolerance bears 0.1.
UNSEEN_MARGIN = 0.3
# An owner is two links away at most, a millisecond each. A request that has not heard
# from it for so long is refused: the owner is frozen or cut off, and another one is
# chosen within a second or two.
OWNER_ANSWER_S = 0.25
# Where this node can't tell whether a key still holds, or an organisation's owner is
# silent, callers come back after this long: another node is chosen within about as long.
UNPROVED_BACK_S = 1.0
# A node that follows no other asks so many linked ones how new the configuration is.
PROOF_SOURCES_MAX = 2
# A node reads the configuration itself once it was last proved so long ago: relays soon,
# since others hang on them, and the others spread over a while, so that an outage is not
# met by calls of all nodes at once.
PROOF_STEP_IN_RELAY_S = 2.0
PROOF_STEP_IN_S = 2.6
PROOF_STEP_IN_SPREAD_S = 0.8
# Part of the tolerance of an allotment that an owner grants as well: what lies within it
# may run, and refusing it helps nobody. The rest covers what the owner has not heard of.
TOLERANCE_SHARE = 0.6
# Smaller parts of a limit are not written with the lease.
RECALLED_SHARE_MIN = 0.05
# Nodes that have run for less own an organisation only where no other does: about a window
# of allotments, after which nothing counts that ran before they started.
OWNER_AGE_S = 10.0
# An owner that has not ticked for so long, five ticks, begins anew: another may have decided
# meanwhile.
OWNER_GAP_S = 0.5
# What an owner has not been asked of for so long is forgotten.
OWNER_IDLE_S = 60.0
# Nodes that were heard of within this time count as those that there are, when a part of
# them is cut off: a window of allotments and some.
VISIBLE_KEPT_S = 12.0
# A linked node that has not been heard for so long, three heartbeats, is out of sight.
VISIBLE_QUIET_S = 1.2

# Slots of plain services, given out by one node. Beyond its slots an endpoint gets this part
# more, one at least, so that none is idle while an answer and the next request are on their
# way: 2 to 5 ms beside runs of 60 ms.
SLOT_AHEAD_SHARE = 0.17
# A run is taken to last so long before any was seen, and what is learnt moves by this part
# of each; a request is let wait if this many runs fit into the rest of its objective, since
# runs differ: a tenth takes over 1.5 times the mean.
SLOT_RUN_S = 0.1
SLOT_RUN_GAIN = 0.1
SLOT_RUN_MARGIN = 1.5
# A failed run counts for no less, so that an endpoint that fails at once draws no requests.
SLOT_FAILED_S = 0.5
# Slots of which nothing was heard for so long are free again.
SLOT_LEASE_S = 1.0
# An owner answers within a few milliseconds; a request that hears nothing for so long is
# placed by the node that it came to.
SLOT_ANSWER_S = 0.06
# Refused for want of slots, callers come back no sooner than the one, and no later than the
# other where it is not known when there will be a slot.
SLOT_BACK_S = (0.5, 3.0)
# Endpoints of which one node gives out the slots: at 16 of 6 slots and runs of 60 ms these are
# 1,600 requests a second, as many as a core takes with three messages of 50 us each.
SLOT_ENDPOINTS_MAX = 16

# A request under which so many processes ended is run no more: the users' platform allows that
# three end, and some tries that were on their way. What is known of it ends after this long,
# in seconds; callers' deadlines are 30 s at most, and an engine may be mended in some minutes.
ENDS_MAX = 3.0
EVIDENCE_S = 600.0
# From so many on it is run once at a time and by itself, and no sooner than so long after the
# last end, in seconds: a runner is back after some four.
SUSPECT_ENDS = 2.0
SUSPECT_BACK_S = 2.0
# A suspect that is run ends its endpoint within this time, in seconds, or is likely to end well.
TRIAL_S = 2.0
# How the ends that a request was under are weighed, a name in ``suspects.WEIGHTS``: this way
# finds no innocents where many endpoints end for no request's sake.
SUSPECT_WEIGHT = "young"
# One that has been answering for longer, in seconds, counts as this much of an end: so a
# request that ends its endpoint late in its answer is found after six.
LONG_RUN_S = 1.0
LONG_RUN_WEIGHT = 0.5
# A process whose connections broke off is found to have ended within this time, in seconds: its
# entry lapses after three heartbeats of 1.2 s. One that its caller left may run on for as
# long as the last.
END_KNOWN_S = 5.0
LEFT_RUNS_S = 0.3
# Moments that two nodes tell of are the same if they differ by less, in seconds.
SAME_MOMENT_S = 1.0
# Suspects that are remembered, and of one organisation; and verdicts, which the lease keeps.
SUSPECTS_MAX = 4096
SUSPECTS_EACH_MAX = 512
VERDICTS_MAX = 256

# Turns at an endpoint that names how many requests a second it takes: it may have so many in hand,
# and what it takes in so many seconds beside, so that what comes unevenly finds one.
TURNS_IN_HAND = 2.0
TURNS_IN_HAND_S = 0.25
# For so long after it has become the owner of a subject a node gives nothing of a rate: the owner
# before may do so yet. Nodes drop one that has been quiet for ``HOLDER_QUIET_S``, and learn of
# each other's views with a heartbeat of 0.4 s.
OWNER_SETTLES_S = 1.5
# A request leaves within this time of the slot that it was given, or asks anew: a connection takes
# 0.4 s at most.
SLOT_SEND_S = 0.5
# Nodes that have asked for a turn within this time share the next ones. Each is told to ask
# elsewhere for a part of what all of them together wait for theirs, so that more ask than there are
# turns: the first at most; it falls by a factor where turns lie in hand and rises by one with each
# that asks in vain, down to the least. And for no longer than the most, in seconds.
TURN_ASKERS_S = 5.0
TURN_STAY_SHARE = 0.5
TURN_STAY_LEAST = 0.05
TURN_STAY_FALL = 0.7
TURN_STAY_RISE = 1.05
TURN_STAY_MOST_S = 30.0
# Whoever was refused a turn asks again no sooner, in seconds.
TURN_AGAIN_S = 0.05
