"""Constants of limits of teams and organisations, and of the owners that decide on them."""

LIMIT_SHARE_INTERVAL_S = 1.0
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
# For this long after a node has become the owner of a subject it grants no permits, since the
# previous owner may still do so. Nodes drop a peer that has been silent for ``HOLDER_QUIET_S``, and
# learn of each other's views with a heartbeat of 0.4 s.
OWNER_TAKEOVER_S = 1.5
