"""Constants of a node's view of endpoints: their reports, failures and restarts."""

# Reports older than this are no longer used to estimate the load from other nodes.
REPORT_STALE_S = 20.0
# The largest body whose syntax is checked for its end, in bytes: this takes some ms of a node.
CHECKED_JSON_BYTES_MAX = 1 << 20
# Value of a report's ``running`` when the endpoint does not report its load.
LOAD_UNREPORTED = -1
# Slots assumed for an endpoint that has not reported yet.
SLOTS_UNKNOWN = 8
ENDED_MAX = 4096
# The ends of answers that are kept by endpoint, to see whether several came at one moment.
ANSWER_ENDS_MAX = 64

EJECT_AFTER_FAILURES = 3
EJECT_S = 5.0
# A runner with a request in flight that has sent nothing for this long gets no more requests:
# engines make a step in some 10 ms, and callers tolerate pauses of 300 ms in a stream.
SILENT_S = 0.8
# An endpoint that accepts no connection is ejected at once, for this long.
UNREACHED_EJECT_S = 1.0
# Bytes that come from an endpoint this long after another node told that it has ended contradict
# that; then such messages about it are passed over for a while.
TOLD_DOWN_MARGIN_S = 0.1
DOWN_DOUBT_S = 5.0
# An endpoint that has answered no poll for this long counts as gone.
ENDPOINT_GONE_S = 6.0
# Interval of reading a runner's report while its state is unknown or an order is running.
REPORT_READ_INTERVAL_S = 1.0
# An endpoint that reports an earlier start than is known is asked again after this.
RESTART_CHECK_S = 0.5
