"""The clock of the product, for all ages, leases, deadlines and windows.

A box may be suspended for seconds. The kernel's monotonic clock does not count that time:
a node that used it would still hold an expired lease and accept expired keys after it
resumes. The boot time clock counts it. Timers of the event loop use the monotonic clock, so
the code that they start compares times by this one. Readings are valid on one node only;
nodes send each other ages.
"""

import time

# The boot time clock, or the monotonic one on systems without it.
CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
CLOCK_NAME = "boot time" if hasattr(time, "CLOCK_BOOTTIME") else "steady"


def now() -> float:
    """Return the time, in seconds since an arbitrary moment before the process started."""
    return time.clock_gettime(CLOCK)


def suspended_s() -> float:
    """Return the total time that the box was suspended since boot, in seconds."""
    return now() - time.monotonic()
