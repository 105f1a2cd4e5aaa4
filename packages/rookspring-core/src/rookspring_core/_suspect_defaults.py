"""Constants of requests that crash endpoints: their evidence, trials and verdicts."""

# A request during which this many processes crashed is not run again: the users' platform allows
# three crashes, plus attempts that were already on their way. The evidence expires after
# ``EVIDENCE_S`` seconds; callers' deadlines are at most 30 s, and an engine may be repaired within
# minutes.
CRASHES_MAX = 3.0
EVIDENCE_S = 600.0
# A part of prompts that was in a whole answer within ``PART_SOUND_S`` seconds before the latest
# crash is convicted only by this many: popular parts are under each crash.
PART_SOUND_S = 10.0
PART_CRASHES_SOUND = 5.0
# A part is convicted for this many seconds first, and ``PART_VERDICT_GROWTH`` times as long for
# each further crash; then one request tries it. Most requests may have a popular part, if that is
# convicted wrongly.
PART_VERDICT_S = 60.0
PART_VERDICT_GROWTH = 4.0
# Parts of which a node keeps when they were last in a whole answer.
SOUND_PARTS_MAX = 16_384
# A request with this many crashes is run alone and one at a time, no sooner than
# ``SUSPECT_RETRY_S`` seconds after the last crash; a runner is back after some four.
SUSPECT_CRASHES = 2.0
SUSPECT_RETRY_S = 2.0
# A suspect that crashes its endpoint does so within this many seconds of its run; after that it is
# likely to succeed.
TRIAL_S = 2.0
# How crashes are weighed, a name in ``suspects.WEIGHTS``. This one convicts no innocent requests
# where many endpoints crash for other reasons.
SUSPECT_WEIGHT = "young"
# A crash after more than this many seconds of an answer counts as ``LONG_RUN_WEIGHT`` of a crash,
# so a request that crashes its endpoint late in its answer is found after six.
LONG_RUN_S = 1.0
LONG_RUN_WEIGHT = 0.5
# A crash is detected within this many seconds of the connections' end: the endpoint's entry expires
# after three heartbeats of 1.2 s. A request that its caller left may still run for
# ``ABANDONED_RUN_S``.
CRASH_DETECTION_S = 5.0
ABANDONED_RUN_S = 0.3
# At least so many processes that crash within this many seconds of each other are one event, such
# as the loss of a rack: the connections of all break off at once. Fewer are taken one by one.
MOMENT_CRASHES_MIN = 4
CRASH_MOMENT_S = 0.2
# Runs that a node has ended and whose processes it still watches, for some seconds each.
ENDED_RUNS_MAX = 4096
# Times from two nodes that differ by less than this many seconds denote the same moment.
SAME_MOMENT_S = 1.0
# Limits on the suspects that are kept, in all and for each organisation, and on the verdicts, which
# are written with the lease.
SUSPECTS_MAX = 4096
SUSPECTS_EACH_MAX = 512
VERDICTS_MAX = 256
