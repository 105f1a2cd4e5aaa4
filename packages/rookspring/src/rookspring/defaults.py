"""Constants of the daemon, with units in the name."""

BODY_BYTES_MAX = 1 << 20
FRAME_BYTES_MAX = 8 << 20
HEADER_READ_S = 10.0
CONNECT_S = 1.0
PLATFORM_CALL_S = 3.0
ORDER_CALL_S = 2.0
REPORT_CALL_S = 1.0
# A pause before a caller's stream is cancelled, so that it can be resumed elsewhere.
CANCEL_GRACE_S = 2.0
# How long an endpoint may stay silent within an answer.
STREAM_SILENCE_S = 15.0
PROGRESS_TOKENS = 32
WATCH_S = 10.0
BOX_LIST_S = 1.0
BOX_LIST_BACKSTOP_S = 15.0
HEAD_BACKSTOP_S = 15.0
LEASE_READ_S = 2.0
BACKOFF_START_S = 0.2
BACKOFF_MAX_S = 8.0
# Calls that one node may make to the platform, per second and at once.
PLATFORM_CALLS_PER_S = 20.0
PLATFORM_CALLS_BURST = 60.0
FORWARD_S = 60.0
PEER_VERSION = 1
REVISIONS_KEPT = 64
REQUEST_ID_BYTES = 12
HEARTBEAT_S = 1.0
# Chosen from bench freshness: attainment is the same from 0.1 to 10 s, since nodes tell
# each other their work in flight; deaths and leavings are to be seen within seconds.
REPORT_INTERVAL_S = 1.0
# An endpoint of which no node has told for so long is polled here as well.
REPORT_MISSING_S = 2.0
CACHE_EVENTS_S = 2.0
OUTCOMES_PAGE_BYTES = 700 * 1024
OUTCOMES_PAGES_MAX = 64
# An unchanged report is shared whole this often; in between only its load goes out.
REPORT_WHOLE_S = 10.0
# Published heads whose shards are kept for readers that lag.
HEADS_KEPT = 4
