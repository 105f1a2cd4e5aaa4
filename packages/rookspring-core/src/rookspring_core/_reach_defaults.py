"""Constants of a node that reaches no endpoint: its probes, and the handing over of requests."""

# A node tells whether it reaches endpoints at all by connecting to this many, on different boxes.
# It asks again after this time, while it reaches none or while none has answered for so long.
REACH_PROBES = 3
# Where all of them refuse at once, others are asked, so many times in all: several endpoints may
# have ended together. Refusals come within ``REACH_REFUSED_S`` seconds.
REACH_ROUNDS = 4
REACH_REFUSED_S = 0.2
REACH_RECHECK_S = 0.5
REACH_SILENCE_S = 0.5
# Requests that a node has handed over to others at once, and the nodes that one is offered to.
HANDOVERS_MAX = 512
HANDOVER_TRIES_MAX = 3
# A node hands over to this many others. They are of its own data centre where at least this share
# of its nodes reach endpoints.
HANDOVER_PEERS = 8
NEAR_REACHING_SHARE = 0.5
# Callers get the addresses of nodes that reach endpoints alone if they are this share of all.
REACHING_SHARE_MIN = 0.25
