"""Constants of slots of plain services, and of permits of endpoints with a rate limit."""

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
# A request is sent within this time of its slot's grant, or asks for another slot: a connection
# takes at most 0.4 s.
SLOT_SEND_S = 0.5
# Token bucket for an endpoint that reports how many requests a second it accepts: it holds this
# many permits plus ``PERMIT_BURST_S`` seconds' worth of the rate, so that requests which arrive
# unevenly get one.
PERMIT_BURST = 2.0
PERMIT_BURST_S = 0.25
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
