"""Constants of requests that wait for models that are on no endpoint, and of their retries."""

# A model that was loaded for waiting callers is protected from eviction until they have retried,
# for at most this long. Without that it may be evicted before any of them has used it.
MODEL_KEEP_MAX_S = 4.0
# A request waits for its model if that is expected to be resident within this share of the
# request's objective; the rest is for reading the prompt. The wait is longer than the prediction by
# ``READY_MARGIN``.
READY_SHARE = 0.8
READY_MARGIN = 1.3
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
