"""Constants of the choice of an endpoint: affinity, unread prompts, and measured times."""

CANDIDATES = 3
AFFINITY_BONUS_S = 0.25
ADAPTER_MISS_S = 0.15
REMOTE_COST_S = 0.002
# An endpoint with a cached hot prefix is preferred only while its load is at most this many times
# the average.
AFFINITY_LOAD_BOUND = 1.25
CACHE_HINT_LIFE_S = 60.0
CACHE_HINTS_MAX = 4096
# Weights in the even-load policy, as shares of the load of a full endpoint.
REMOTE_LOAD = 0.02
PREFIX_LOAD_BONUS = 0.06
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
# Gain of the moving average of the work of a request.
WORK_GAIN = 0.02
# Each shorter answer multiplies the time of the longest answer by this, so that it stays close to
# the longest of about a hundred answers.
LONGEST_DECAY = 0.99
# Prompt tokens that an endpoint may have to read when it is sent another prompt: all of its streams
# pause while it reads. A tighter bound refuses requests at runners with room; a looser one makes
# streams pause.
UNREAD_TOKENS_MAX = 4_096
# Unread prompt tokens that weigh as much as all slots of an endpoint in the choice of one.
UNREAD_TOKENS_FULL = 10_000.0
# Factor on the most nodes seen so far, which allows for nodes that join, where a shared total is
# divided among the nodes.
JOINING_SHARE = 1.3
