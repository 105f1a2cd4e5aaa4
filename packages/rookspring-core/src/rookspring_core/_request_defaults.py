"""Constants of requests: queues, priorities, attempts, sessions and retry-after times."""

QUEUE_MAX = 2048
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
# Callers honour a Retry-After of up to this share of the time left until their deadline.
RETRY_AFTER_MAX_SHARE = 1.0 / 3.0
# A request with less than this share of the longest time that its route's callers brought within
# ``CALLER_TIMES_KEPT_S`` seconds comes from a caller that was refused before.
FIRST_TRY_SHARE = 0.9
CALLER_TIMES_KEPT_S = 300.0
