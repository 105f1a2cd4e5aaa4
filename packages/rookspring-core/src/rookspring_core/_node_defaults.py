"""Constants of nodes: heartbeats, the relays among them, and the addresses that callers get."""

# Callers may cache answers of ``/v1/addresses`` for this long.
ADDRESS_TTL_S = 5.0
# A leaving node continues to serve for this long after the last answer with its address has
# expired.
DRAIN_MARGIN_S = 1.0

HEARTBEAT_S = 1.0
PEER_DEAD_S = 4.0
# Interval of the search for nodes whose heartbeats have stopped.
EXPIRE_EVERY_S = 0.5
# A node that reaches neither the platform nor a peer refuses new work after this.
ISOLATION_GRACE_S = 10.0
# In a data centre with more nodes than this, heartbeats go through relays.
MESH_LIMIT = 24
RELAYS_PER_DATA_CENTRE = 2

TICK_S = 0.1

DECISIONS_MAX = 2000
# A caller is given only addresses in its own data centre if there are at least this many, so that
# it has a second one if the first fails.
NEAR_ADDRESSES_MIN = 2
# Callers accept at most this many addresses.
ADDRESSES_MAX = 64
# Smallest difference between two times that counts as one.
CLOCK_STEP_S = 1e-6
# Up to this many relay nodes each link to all others and read the platform's store themselves,
# which detects a leaving endpoint soonest. Larger groups do both through relays (``topology.py``),
# since the heartbeats and calls of a mesh grow with the square of the nodes.
RELAY_MESH_MAX = 12
# A node that has run for longer than this is preferred as a relay to those that have just started.
RELAY_SETTLED_S = 5.0
# Roles are computed again after each change of the nodes, and at this interval.
ROLES_RECOMPUTE_S = 2.0
# A node with this capacity is as good a relay as one with more.
RELAY_CAPACITY = 1.0
# A node to which no link could be opened is left out for this long.
UNREACHED_S = 5.0
# Outside a mesh, a node that has found no node to follow for this long asks the seeds as well.
SEEDS_AFTER_S = 1.5
# Start times that differ by less, in seconds, are of the same process; they reached this node in
# two ways.
SAME_START_S = 1.0
# Changes of nodes that are kept, for peers that receive only differences.
CHANGES_KEPT = 4096
# Resolution of the comparison of nodes' ages: all boxes of a deployment start within a second, and
# a rolling restart takes some seconds a box.
AGE_STEP_S = 5.0
# A node that has run for less than this has not received heartbeats from all others yet.
SETTLED_S = 1.5
# Work that a line end costs beside its byte, in bytes of plain data: a line of an event or the
# framing of a chunk is handled by itself, plain data at the speed of a copy.
LINE_WORK_BYTES = 256
# Work in one turn of the event loop on what endpoints have sent, in bytes. Some milliseconds: a
# request takes a dozen turns, and is answered within a quarter of a second beside any flood.
TURN_WORK_BYTES = 1 << 20
# What an answer brings at least in ``ROOM_CHECK_S`` while others wait for its room, in bytes: at
# 256 KiB a second the largest one takes a minute, longer than others' callers wait.
ROOM_PROGRESS_BYTES = 64 << 10
# Interval of that check, in seconds: some of them fit into a request's time.
ROOM_CHECK_S = 0.25
# Share of a source's stalled answers that is remembered after each check, and what is forgotten.
LAPSES_KEPT = 0.9
LAPSES_MIN = 0.1
# Work of one endpoint that is done at once in each turn: a read of plain data, or some hundreds of
# tokens, which is more than the streams of one endpoint make in the time of a turn.
AT_ONCE_WORK_BYTES = 320 << 10
