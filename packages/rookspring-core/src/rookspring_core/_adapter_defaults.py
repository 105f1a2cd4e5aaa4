"""Constants of adapters: attaching and withdrawing them, and room for those who wait for them."""

# A load request expires after this long; the request behind it has been refused by then.
LOAD_REQUEST_TTL_S = 1.0
# For this many seconds after an adapter was attached, room at its endpoint is reserved for requests
# that use it, since its callers were told to retry within that time. At most this share of the
# slots, and this many of the prompt tokens that may be unread, are reserved for all adapters that
# were attached recently.
NEW_ADAPTER_RESERVE_S = 3.0
NEW_ADAPTER_RESERVE_SHARE = 0.125
NEW_ADAPTER_RESERVE_TOKENS = 1_024
# Retry-After for requests whose adapter is attached nowhere: an estimate of the wait that this
# share of past waits stayed below. Each wait moves the estimate by a step of ``ADAPTER_WAIT_STEP``
# of its value, up to ``ADAPTER_WAIT_MOST_S`` seconds.
ADAPTER_WAIT_SHARE = 0.95
ADAPTER_WAIT_STEP = 0.4
ADAPTER_WAIT_MOST_S = 3.0
# A load request that is no longer repeated keeps its place among the others for this long: longer
# than the interval between retries of callers of one adapter.
LOAD_REQUEST_KEPT_S = 20.0
# An adapter that was attached for waiting requests is kept until the last of their callers has
# retried, plus this: the heartbeat that informs the lease holder of its use comes every 0.4 s.
KEEP_AFTER_RETRY_S = 0.6
# Interval of the scan for adapters that are in use; nodes report them every 0.4 s.
USE_SCAN_INTERVAL_S = 0.2
# Idle adapters that are withdrawn in advance at a runner whose adapter places are all taken, if
# another adapter was requested there within ``ADAPTER_PRESSURE_S`` seconds. This costs nothing,
# since a withdrawal can be undone without an order.
STANDBY_ADAPTERS = 2
ADAPTER_PRESSURE_S = 5.0
# Adapters of one endpoint that may be withdrawn at the same time, waiting for their last requests
# to end; and the time after a withdrawal until all nodes know of it and of each other's requests
# for the adapter: a heartbeat interval of 0.4 s plus transit.
WITHDRAWN_MAX = 3
WITHDRAWN_PROPAGATION_S = 0.6
# Time to attach an adapter; from the runner's own memory it takes somewhat less.
ADAPTER_LOAD_S = 0.025
