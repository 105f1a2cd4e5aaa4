"""Constants of endpoints' speeds: samples, their fit, and what nodes share of them."""

# Time constant in which samples of endpoints' speeds decay, in seconds: a change of speed shows
# within about as much, and an endpoint with four samples a second has ten.
SPEED_DECAY_S = 2.5
# Decayed samples of one node that count at one endpoint, and the least number that is kept. The
# first one bounds how far a node that measures wrongly moves a speed.
SPEED_NODE_WEIGHT = 1.0
SPEED_WEIGHT_LEAST = 0.05
# Bounds of a time between two events, in seconds, and of a speed.
SPEED_GAP_LEAST_S = 1e-4
SPEED_GAP_MOST_S = 10.0
SPEED_RANGE = (0.1, 4.0)
# Samples of speed 1 that are taken to be among an endpoint's, the least number of its own that give
# a speed, and the rounds of the fit.
SPEED_SHRINK = 0.3
SPEED_SAMPLES_MIN = 1.0
SPEED_SWEEPS = 8
# Largest difference between equal endpoints, as a logarithm: a runner with a full batch takes some
# 20 % longer for a step. ``SPEED_NOISE`` divided by the root of the samples is added, some twice
# their standard error. Endpoints that count as different do so until the difference is below
# ``SPEED_BAND_LEAVE`` of that.
SPEED_BAND = 0.22
SPEED_NOISE = 0.25
SPEED_BAND_LEAVE = 0.75
# Changes of a speed's logarithm that are ignored, and that are logged.
SPEED_STEP = 0.07
SPEED_LOG_STEP = 0.2
# Time after which a speed that nobody confirmed is 1.0 again, in seconds.
SPEED_KEPT_S = 10.0
# Interval of the computation of speeds, in seconds. It grows so that no more than
# ``SPEED_CELLS_PER_S`` sums are read a second, which takes some 5 % of a core.
SPEED_FIT_S = 0.5
SPEED_CELLS_PER_S = 10_000.0
# Sums that a node keeps; it ignores samples beyond them. Reading them all holds a node up, and more
# of them would delay its heartbeats, which are due every 0.4 s.
SPEED_CELLS_MAX = 12_000
# Rows in one message of samples or speeds, some 30 bytes each.
SPEED_ROWS_MAX = 128
# Followers are sent speeds that were confirmed within this time, in seconds, and for as long a
# change to 1.0. With 1,000 endpoints in turn each is sent every 3.2 s.
SPEED_SHARED_S = 4.0
# Time after an endpoint's restart in which samples are ignored, in seconds: the nodes learn of it
# within a second, and messages take three heartbeats of 0.4 s.
SPEED_RESTART_S = 2.0
