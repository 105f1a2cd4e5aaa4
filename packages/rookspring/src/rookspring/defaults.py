"""Constants of the daemon, with the unit as a suffix of the name."""

BODY_BYTES_MAX = 1 << 20
# Characters of an error about what others wrote that are logged.
DETAIL_MAX = 200
FRAME_BYTES_MAX = 8 << 20
# The largest message of a handshake, whose sender has proved nothing yet. Values of a byte take
# some sixty times as much once they are read.
HELLO_BYTES_MAX = 4 << 10
# Largest entry of an endpoint; one that holds all of 990 models takes some 40 KB.
ENTRY_BYTES_MAX = 128 << 10
HEADER_READ_S = 10.0
CONNECT_S = 1.0
# A finding that this node reaches endpoints, or none, is used for this long.
REACH_CONFIRMED_S = 0.3
# A box that is up accepts a connection within some milliseconds (1 ms by the users' figures
# and 3 ms of network latency); after this time another endpoint is tried.
RELAY_CONNECT_S = 0.4
# An endpoint that takes no more connections resets one this soon after it was made, seconds.
NEW_RESET_S = 0.1
# Within this time an endpoint has heeded a close, or reset a new connection that is one too many,
# in seconds.
CONNECTION_SETTLES_S = 0.02
# How long an endpoint counts as one that resets new connections after it has reset one, seconds.
NEW_RESETS_KNOWN_S = 10.0
PLATFORM_CALL_S = 3.0
ORDER_CALL_S = 2.0
REPORT_CALL_S = 1.0
# Delay before a caller's stream is cancelled at its endpoint, so that it can be resumed at
# another node.
CANCEL_GRACE_S = 2.0
# Longest time without data within an endpoint's answer.
STREAM_SILENCE_S = 15.0
PROGRESS_TOKENS = 32
WATCH_S = 10.0
BOX_LIST_S = 1.0
BOX_LIST_BACKSTOP_S = 15.0
HEAD_BACKSTOP_S = 15.0
LEASE_READ_S = 2.0
BACKOFF_START_S = 0.2
BACKOFF_MAX_S = 8.0
# Rate limit and burst of one node's calls to the platform.
PLATFORM_CALLS_PER_S = 20.0
PLATFORM_CALLS_BURST = 60.0
FORWARD_S = 60.0
# A longer part of a forwarded answer is sent in messages of this size, so that each fits into a
# frame, and heartbeats wait for one at most.
FORWARD_PART_BYTES = 256 << 10
PEER_VERSION = 9
# A row of a message is at most this large where the message as a whole is larger than a frame: a
# link whose other end can't hold one of its values ends.
ROW_BYTES_MAX = 1 << 20
# A node may send the same odd value with each heartbeat; it is logged this often, by kind.
DROPPED_LOG_INTERVAL_S = 60.0
DROPPED_KINDS_MAX = 10_000
# Characters of the reason.
DROPPED_REASON_MAX = 200
REVISIONS_KEPT = 64
REQUEST_ID_BYTES = 12
HEARTBEAT_S = 1.0
# In `bench freshness`, attainment is the same from 0.1 to 10 s, since nodes send each other
# their work in flight; but crashes and drains must be seen within seconds.
REPORT_INTERVAL_S = 1.0
# An endpoint without a report from any node for this long is polled by this node as well.
REPORT_MISSING_S = 2.0
CACHE_EVENTS_S = 2.0
OUTCOMES_PAGE_BYTES = 700 * 1024
OUTCOMES_PAGES_MAX = 64
# An unchanged report is sent in full this often, and in between its load alone.
FULL_REPORT_INTERVAL_S = 10.0
# Published heads whose shards are kept for readers that are behind.
HEADS_KEPT = 4
# Limits of the relay's callers, unless a configuration sets others.
HEADER_BYTES_MAX = 16 << 10
# Headers of a request or an answer. Short ones take some twenty times their bytes.
HEADER_ROWS_MAX = 256
CALLER_IDLE_S = 15.0
# How long what a caller still sends is read after its connection's last answer, in seconds: longer
# than the answer needs to arrive.
LINGER_S = 1.0
# Bytes that a caller may pipeline while a request is served.
PIPELINED_BYTES_MAX = 256 << 10
# Bytes of an endpoint's answer that are held for a caller who reads slowly. Beyond them nothing
# more is read from the endpoint, whose own flow control then applies.
UNREAD_ANSWER_BYTES_MAX = 64 << 10
LISTEN_BACKLOG = 1024
# Idle time in which a connection is reused if the endpoint states no keep-alive timeout: such
# endpoints close idle connections within a second.
ENDPOINT_IDLE_DEFAULT_S = 0.3
# Shares of a stated keep-alive timeout in which a connection is reused; the smaller one is
# for requests that must not be sent twice.
ENDPOINT_IDLE_SHARE = 0.8
ENDPOINT_IDLE_SAFE_SHARE = 0.6
# How long an endpoint is known to keep connections open after an answer, from when one was reused:
# a server seldom changes that in its life, and another may have its address afterwards.
KEEPS_KNOWN_S = 30.0
# For how long the times of connections that endpoints have closed are kept, and of how many.
CLOSED_KEPT_S = 10.0
CLOSED_KEPT_MAX = 64
# Callers' requests that a connection to an endpoint carries before it is closed, as it keeps what
# tells their ids apart: some 64 bytes each.
CARRIED_REQUESTS_MAX = 256
# Answers to other requests that are skipped before the connection is closed.
MISMATCHED_ANSWERS_MAX = 2
# A connection whose other side acknowledges nothing for this long is closed: a box that lost
# power sends no reset, and callers wait about this long between events of a stream.
TCP_USER_TIMEOUT_S = 2.5
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES_MAX = 2
# Largest complete answer that is relayed, and the weight of an answer's token relative to
# one of the prompt in a request's size.
ANSWER_BYTES_MAX = 16 << 20
ANSWER_TOKEN_WEIGHT = 10
# Bytes of an answer that may arrive without any of a body: its heads, the framing of a chunk, and
# trailers. Answers are parsed in parts of ``PARSED_BYTES_MAX``, each of which is counted by itself.
FRAMING_BYTES_MAX = 64 << 10
PARSED_BYTES_MAX = 16 << 10
# Bytes of a chunk that are held until it has ended where its size says. What is made token by token
# comes in small chunks; the bytes of a larger one are handed on as they come.
CHUNK_HELD_BYTES_MAX = 64 << 10
# Body bytes of answers to other requests that are skipped before the connection is closed.
SKIPPED_BYTES_MAX = ANSWER_BYTES_MAX
# Largest event of a stream, which is held back until it is complete.
EVENT_BYTES_MAX = 256 << 10
# Largest report of an endpoint, and largest answer to an order.
REPORT_BYTES_MAX = 1 << 20
# Largest sum of others' bytes that wait at a node whose memory isn't stated.
HELD_BYTES_DEFAULT = 64 << 20
# Share of the memory that a node has beyond what it takes by itself that others' bytes may fill. As
# much again goes to copies, to reads that are under way and to what the allocator keeps, and as
# much stays free.
HELD_SHARE = 1.0 / 3.0
# The least share of the whole memory that others' bytes may fill, however little is left.
HELD_SHARE_MIN = 1.0 / 16.0
# Share of the bound that large answers may be read into, what waits for callers included. The rest
# is for all that isn't held back: small answers, and what comes before an answer is held back.
ANSWER_ROOM_SHARE = 3.0 / 4.0
# The least of it, whatever waits for callers.
ANSWER_ROOM_SHARE_MIN = 1.0 / 4.0
# Answers up to a read's size aren't held back, in bytes.
SMALL_ANSWER_BYTES = 256 << 10
# Interval of looking for room for answers that wait, in seconds: a caller doesn't notice it.
ROOM_LOOK_S = 0.01
# Share of a sender's bytes that were given up that is remembered after ``MEMORY_CHECK_S``.
WASTE_KEPT = 0.9
# Memory that a node takes by itself if that can't be read.
OWN_BYTES_ASSUMED = 64 << 20
# Interval of comparing the bound with the memory that the node takes by itself.
MEMORY_CHECK_S = 1.0
# Work on one endpoint's bytes, beyond its share of a turn, for which a line is logged: about a
# second of the event loop's time.
LOGGED_WORK_BYTES = 256 << 20
# Blocks of this size and above go back to the system as they are freed.
MAPPED_BLOCK_BYTES = 64 << 10
# Cost of a part of an answer beside its bytes.
PART_COST_BYTES = 128
# Longest watch of a relay node, whatever the platform's bounds allow.
RELAY_WATCH_S = 4.0
# A repeated watch waits only this long for a change, so that its answer shows that the new
# connection works.
REPEATED_WATCH_S = 0.1
# Time for the answer of a slow store after the end of a watch; then the watch has failed.
WATCH_OVERDUE_S = 2.0
# Where a few nodes watch the store for all: the longest wait of a watch of endpoints, and the
# time for which changes are batched before the next. That makes about a call a second for
# each watcher, and no node relies on a watcher that has been cut off for longer than
# ``STORE_STALE_S``. A new configuration ends the table's watch at once; its longest wait only
# bounds how long a watcher may be cut off unnoticed, and leaves time for two links to other nodes.
SHARED_WATCH_S = 0.5
SHARED_WATCH_BATCH_S = 0.6
SHARED_WATCH_TABLE_S = 1.5
# The longest wait of a watch of evacuations. A watch on a connection that has gone silent ends two
# seconds after it, which leaves a second of the shortest bound in use, five seconds.
EVACUATION_WATCH_S = 2.0
# Added to the back-off of a failed call to the store while other nodes send this one fresh
# data: refused calls are charged too.
FRESH_SOURCE_PAUSE_S = 2.0
# A node counts as a watcher of the store if the store has answered it within this time.
STORE_READ_RECENT_S = 2.0
# A link that neither end needs is kept this long, since the roles may change back.
IDLE_LINK_S = 5.0
# Changes of prompts that endpoints have yet to process are batched for this long before they
# are sent: all nodes have 320 changes a second, and a prompt takes 20 to 100 ms.
PROMPTS_BATCH_S = 0.03
# Network bandwidth used by the work that one core can do, in Mbit/s.
LINK_MBPS_PER_CORE = 50.0
# Endpoints whose entries expired during an outage of the store write them again within two
# seconds of its end, if they are up; the remaining 0.2 s are for network latency.
LAPSE_GRACE_S = 2.2
LAPSE_CHECK_S = 0.25
# Interval of reading the store's list of nodes, a fallback for the lists that nodes exchange.
NODE_LIST_S = 10.0
# After a restore of the store, each node checks its own row there; the checks are spread out
# so that, on average, one node does so in this many seconds.
ROW_CHECK_PER_NODE_S = 0.03
# A planned stop ends this long before the platform would kill the process.
STOP_MARGIN_S = 0.7
# A leaving node starts no request after this share of its grace time: the users' longest
# streams take some five of its eight seconds.
STOP_SERVE_SHARE = 0.35
# Interval of checking the settings file, which may change without a signal.
SETTINGS_CHECK_S = 1.0
POOL_SWEEP_S = 1.0
# Interval at which a node that is stopping checks whether a caller still waits.
STOP_CHECK_S = 0.02
# Time to transmit complete answers at the end of the grace time.
STOP_FLUSH_S = 0.05
# Callers may use a lookup answer for up to three times its TTL.
LOOKUP_TTL_FACTOR = 3.2
# The allowance for resends is divided evenly between the nodes, and between at least this
# many: a deployment has 8 to 71 boxes, and a node that starts knows none of the others.
RELAY_NODES_MIN = 16
# Pause before a background loop restarts after an unexpected error.
LOOP_RESTART_S = 0.2
# Relay nodes must be up to date within two seconds of the end of a store outage, so they
# retry more often than others: some ten calls a second for nine nodes.
RELAY_BACKOFF_MAX_S = 0.5
# Interval at which candidates for the relay nodes' lease read it.
RELAY_LEASE_READ_S = 1.0
# A leaving holder releases the lease at once, but the notice of that may arrive before the
# write does, so candidates then read again after this time.
RELAY_LEASE_RELEASED_READ_S = 0.1
# Interval at which the other nodes check whether they have become candidates.
RELAY_LEASE_CHECK_S = 0.5
# Changes of endpoints are batched for this long before the next watch, since each watch of
# each node is a charged call; a leaving endpoint must be known within two seconds.
ENDPOINT_BATCH_S = 0.4
# Interval at which relay nodes send each other their work and demand; routing and placement
# use figures as old as the last heartbeat.
RELAY_HEARTBEAT_S = 0.4
# A link without data for three heartbeats and half of one may be silent for good, and its node is
# dialled again. Relay nodes have to hear each other again well within the contact bound.
LINK_SILENT_S = 3.5
RELAY_LINK_SILENT_S = 1.4
# Interval at which a stream's rest that waits for its endpoint's version looks for it, in seconds.
VERSION_CHECK_S = 0.05
# Longest delay after which a row of an endpoint's earlier process may still appear in the
# list: as long as an unanswered call may take to have effect.
LATE_ROW_S = 12.5
# An order is answered within milliseconds or not at all; a lost packet costs 0.2 s. The order
# is resent after this time, since the endpoint can't get another one meanwhile.
RELAY_ORDER_CALL_S = 0.3
# How long an endpoint may take to copy a run to another one: it makes one copy after the other, of
# up to some hundred MB. A call that frees one is answered at once.
RUN_COPY_CALL_S = 5.0
RUN_COPY_FREE_S = 1.0
# How many copies are asked of an endpoint at a time; it would only queue more.
RUN_COPIES_AT_ONCE = 4
# Where requests need keys, nodes ask each other at this interval how recent their
# configuration is, and no more often than at the minimum; the two nodes that read it for all
# do so once a second. So a node's proof is some 0.8 s old, and 2 s if two answers in a row
# were lost, of the 4.5 s that a bound of 5 s allows. These reads are about 100 calls to the
# store a minute.
PROOF_REQUEST_INTERVAL_S = 0.5
PROOF_REQUEST_MIN_S = 0.1
PROOF_READ_INTERVAL_S = 1.0
# Timeout of such a read, since another one may succeed.
PROOF_CALL_S = 1.0
PROOF_BACKOFF_MAX_S = 2.0
# Answers that took longer were delayed and are dropped; their bound is valid but too old to
# be useful.
PROOF_AGE_MAX_S = 5.0
# How long a request with an unknown key waits for a newer configuration, and how many may wait
# at once: a new key is in force on all nodes within a second, and callers don't retry after
# a 401.
KEY_WAIT_S = 2.0
KEY_WAIT_STEP_S = 0.05
KEY_WAITS_MAX = 256
# Interval at which the owner of a plain service checks its queue, also for requests that can
# no longer be served.
SLOT_QUEUES_INTERVAL_S = 0.05
# A linked node whose merged sets differ from this node's for this long, three heartbeats, is
# sent all of them, and again after the second time at the earliest.
MERGED_MISMATCH_S = 1.2
MERGED_RESEND_S = 5.0
# A node that has not ticked for this long, ten ticks, has stalled, and logs that.
STALLED_S = 1.0

# Times between events of a stream that make one sample of the endpoint's speed, and the least
# number at its end. ``GAPS_SLOW`` make one if each is ``GAP_SLOW_S`` seconds long at least, which
# reading prompts seldom explains, so that an endpoint that turned slow shows soon.
GAPS_IN_SAMPLE = 7
GAPS_LEAST = 3
GAPS_SLOW = 4
GAP_SLOW_S = 0.25
# Bytes that arrive within this time, in seconds, count as having arrived together: no endpoint
# decodes a step in less.
ARRIVE_TOGETHER_S = 0.0005

# Nodes that keep which version began a stream, besides the one that sends it; and the parts into
# which streams fall, each with owners of its own.
STREAM_OWNERS = 2
STREAM_PARTS = 64
# Longest id of a request under which its stream's origin is kept, in characters.
STREAM_ID_MAX = 128
# Time for the replies of a stream's owners, in seconds: two links each way, as to other owners.
ORIGIN_ANSWER_S = 0.25
# How long after that a reply is still taken for one to the question that it came too late for, in
# seconds.
ORIGIN_LATE_S = 1.0
# Interval of checking whether a node that has just started has read the lease or the rows of nodes,
# and how long the first holder waits for these rows, in seconds.
FORMER_CHECK_S = 0.02
ROWS_WAIT_S = 1.0

# How long beyond a request's own deadline its endpoint is told to work, in seconds: this node then
# ends it first, also where the endpoint's clock runs ahead. The users' rules allow 0.5 s.
TOLD_BEYOND_S = 0.1
# Step to which the loop rounds its timers, in seconds.
TIMER_STEP_S = 0.001
