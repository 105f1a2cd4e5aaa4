"""Constants of the platform's store: publication, watches, proofs of its newest state, restores."""

# Changes within this time are combined into one publication.
PUBLISH_BATCH_S = 0.25
SHARD_COUNT = 16
# After a restore of the store from a backup, an evacuation that it lacks holds for this long: the
# platform writes again within two seconds of the restore what it wrote since the backup; the
# remaining 0.2 s are for network latency.
EVACUATION_REWRITE_S = 2.2
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
