"""Constants of the daemon, with units in the name."""

BODY_BYTES_MAX = 1 << 20
FRAME_BYTES_MAX = 8 << 20
HEADER_READ_S = 10.0
CONNECT_S = 1.0
# A box that is up takes a connection within some milliseconds (1 ms on the users'
# sheets and 3 ms of way), so one that does not is left for another.
RELAY_CONNECT_S = 0.4
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
PEER_VERSION = 6
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
# The relay's front, until a configuration says otherwise.
HEADER_BYTES_MAX = 16 << 10
CALLER_IDLE_S = 15.0
# Bytes that a caller may send ahead while its last request is served.
PIPELINED_BYTES_MAX = 256 << 10
LISTEN_BACKLOG = 1024
# An endpoint that tells no keep-alive time closes idle connections within a second.
ENDPOINT_IDLE_UNTOLD_S = 0.3
# Parts of a told keep-alive time in which a connection is used again; the smaller one
# for requests that must not be sent twice.
ENDPOINT_IDLE_SHARE = 0.8
ENDPOINT_IDLE_SURE_SHARE = 0.6
# Answers to other requests that are read over before the connection is given up.
FOREIGN_ANSWERS_MAX = 2
# A connection whose other side has been silent for so long is ended: boxes without
# power say nothing, and callers wait about this long between events of a stream.
SILENCE_S = 2.5
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES_MAX = 2
# Largest whole answer that is relayed, and how an answer's token weighs against one
# of the prompt in a request's size.
ANSWER_BYTES_MAX = 16 << 20
ANSWER_TOKEN_WEIGHT = 10
# Watches of a relay node end after this long, so that one that has gone deaf is noticed.
RELAY_WATCH_S = 4.0
# Where few nodes watch the store for all, a watch of endpoints waits this long, and changes
# gather for so long before the next: a call a second or so for each watcher, and nobody
# is fed by one that has been deaf for longer than ``STORE_STALE_S``. A new configuration
# ends the table's watch at once; its wait only bounds how long a deaf one goes unseen.
FEW_WATCH_S = 0.5
FEW_FOLD_S = 0.6
FEW_WATCH_TABLE_S = 2.0
# A watcher that the store turns away asks this much later while others keep it fresh: each
# refused call is priced.
FED_PAUSE_S = 2.0
# A node that the store has answered within this time counts as one that watches it.
READ_LATELY_S = 2.0
# A link that is of use to neither end is kept for so long, since roles may come back.
IDLE_LINK_S = 5.0
# Unread prompts that change gather for so long before they are told: there are 320 changes
# a second over all nodes, and a prompt is read in 20 to 100 ms.
PROMPTS_FOLD_S = 0.03
# The link that a whole core's worth of work takes, in Mbit/s.
LINK_MBPS_A_CORE = 50.0
# Endpoints whose entries lapsed while the store was away write them again within two
# seconds of its return, if they live; a little more for the way.
LAPSE_GRACE_S = 2.2
LAPSE_CHECK_S = 0.25
# The list of nodes in the store is a backstop to what nodes tell each other.
NODE_LIST_S = 10.0
# Nodes look after their rows in the store by turns, one in so many seconds on the average.
ROW_AGAIN_PER_NODE_S = 0.03
# A planned stop ends this long before the platform would kill the process.
STOP_MARGIN_S = 0.7
# A leaving node begins no request after this part of its grace time: a stream of the
# users' longest kinds takes some five seconds of the eight.
STOP_SERVE_SHARE = 0.35
# How often the settings file is looked at, since it may change without a signal.
SETTINGS_CHECK_S = 1.0
POOL_SWEEP_S = 1.0
# Answers of a stop that are whole get so long to leave.
LAST_BYTES_S = 0.05
# Callers may hold an answer for up to three times its life.
LOOKUP_LIVES = 3.2
# Each node has an even part of the slack for resends, for at least so many nodes: a
# deployment has 8 to 71 boxes now, and one that starts has seen none of the others.
RELAY_NODES_MIN = 16
# A loop that failed for a fault of ours begins anew after this pause.
LOOP_RESTART_S = 0.2
# Relay nodes must follow the store within two seconds of its return, so they ask more
# often than others while it is away; some ten calls a second for nine nodes.
RELAY_BACKOFF_MAX_S = 0.5
# Candidates for the relay nodes' lease read it this often.
RELAY_LEASE_READ_S = 1.0
# A holder that leaves frees it at once, but those who hear so may look before that has come.
RELAY_LEASE_FREED_S = 0.1
# Nodes that need not read it look this often whether they ought to.
RELAY_LEASE_LOOK_S = 0.5
# Changes of endpoints gather this long before the next watch, since each watch is a
# priced call on every node; a leaving one is to be known within two seconds.
ENDPOINT_FOLD_S = 0.4
# Relay nodes tell each other their work and demand this often: routing and placement
# are as old as the last heartbeat.
RELAY_HEARTBEAT_S = 0.4
# A row of the list that tells of an endpoint's earlier life is late by no more than this, in
# seconds: as long as calls without an answer may take until they are done.
LATE_ROW_S = 12.5
# An order is answered within milliseconds or not at all; a packet that is lost on the way costs
# 0.2 s. It is sent again after that, since nothing else can be ordered there meanwhile.
RELAY_ORDER_CALL_S = 0.3
# Where requests need keys, nodes ask each other this often how new the configuration is,
# and no more often than the least; the two that read it for all do so once a second. So
# what a node knows is some 0.8 s old, and 2 s where two words were just missed, of the 4.5
# that a bound of 5 s allows. Read once a second, it is 100 calls to the store a minute.
PROOF_ASK_S = 0.5
PROOF_LEAST_S = 0.1
PROOF_READ_S = 1.0
# A read that has not been answered for so long is given up, since another one may be.
PROOF_CALL_S = 1.0
PROOF_BACKOFF_MAX_S = 2.0
# An answer that took longer was held up on its way; its bound holds, but tells little.
PROOF_ANSWER_S = 5.0
# A request whose key is not known waits so long for a newer configuration, and so many do
# at once: a new key is in force everywhere within a second, and callers don't come back
# after a 401.
KEY_WAIT_S = 2.0
KEY_WAIT_STEP_S = 0.05
KEY_WAITS_MAX = 256
# How often an owner of a plain service looks for requests that wait in vain.
SLOT_SETTLE_S = 0.05
# A linked node whose evidence against requests differs for so long, three heartbeats, is told
# all of it, and again no sooner than so much later, in seconds.
MERGED_DIFFERS_S = 1.2
MERGED_AGAIN_S = 5.0
# A node that has not ticked for so long, ten ticks, stood still, and says so.
STOOD_STILL_S = 1.0
