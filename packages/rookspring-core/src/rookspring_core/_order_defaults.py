"""Constants of orders to endpoints: fencing, sending, checking, and the memory they may take."""

# An order may still arrive this long after it was sent.
LATE_ORDER_BOUND_S = 30.0
ORDER_RESEND_S = 2.0
# Share of each endpoint's memory that is never allocated to weights.
MEMORY_RESERVE_SHARE = 0.1
# A replica is unloaded only if another one was reported resident within this time.
CONFIRMED_S = 2.5
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
# Interval of polls for an overdue order that the endpoint has taken, until a report shows that it
# is done.
ORDER_POLL_S = 0.2
