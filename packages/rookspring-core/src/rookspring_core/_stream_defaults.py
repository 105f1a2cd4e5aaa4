"""Constants of streams: when a caller leaves one, and how long it may be taken up again."""

# A stream's caller leaves after a gap of the longest of these: seconds, objectives, and pauses that
# are in time. Source: the users' protocol.
STREAM_LEFT_AFTER_S = 2.0
STREAM_LEFT_OBJECTIVES = 4.0
STREAM_LEFT_PAUSES = 8.0
# Time after its begin in which a stream may be taken up again, in seconds: callers wait for up to
# 30 s for an answer.
STREAM_KEPT_S = 120.0
# Time from when a process accepts connections until its entry is in the store, in seconds: it
# writes the entry as it starts.
ENTRY_WRITTEN_S = 0.5
# Age from which on entries may be those of earlier processes, in seconds: a watch takes up to 2 s,
# and 0.4 s pass before the next.
ENTRIES_STALE_S = 3.0
# Origins of streams that a node keeps, some 250 bytes each.
STREAM_ORIGINS_MAX = 131_072
