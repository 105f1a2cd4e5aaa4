"""Constants of places at model endpoints, which one node orders for all nodes."""

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
