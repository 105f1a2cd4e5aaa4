"""Constants of the lease: its periods, who may take it, and when a holder gives it up."""

# The renewal interval leaves four attempts within one lease period.
LEASE_TTL_S = 8.0
LEASE_RENEW_S = 2.0
# A holder stops acting this long before another node may see its lease expire.
LEASE_MARGIN_S = 2.0
# A holder of the lease that reaches no endpoint for this long releases it.
LEASE_ISOLATED_S = 1.0
# How long a new holder waits for reports before it decides what fits, in seconds.
REPORTS_WAIT_S = 3.0
# Minimum interval between orders of two different holders, in seconds: the platform's lease-ms is
# 3,000, and the rest allows for clock differences and transit. The holder is a box, so a box whose
# process restarted continues with its lease without a gap.
HANDOVER_GAP_S = 3.3
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
# Relay nodes that may take the lease; only a few, since each reads it once a second.
LEASE_CANDIDATES = 4
