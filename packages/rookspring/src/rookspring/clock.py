"""The clock of the product, by which all ages, leases, deadlines and windows are judged.

A box may be suspended for seconds. The kernel's steady clock does not count that time, so a
node that went by it would hold a lapsed lease and let in ended keys when it goes on; the boot
time clock counts it. Timers of the loop go on by the steady clock: what they wake is judged
by this one. Readings are a node's own; what goes to other nodes are ages.
"""

import time

# The kernel's clock; the steady one where there is no other.
CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
CLOCK_NAME = "boot time" if hasattr(time, "CLOCK_BOOTTIME") else "steady"


def now() -> float:
    """Give the time, in seconds from some moment before the process began."""
    return time.clock_gettime(CLOCK)


def suspended_s() -> float:
    """Give for how long the box was suspended since it was booted, in seconds."""
    return now() - time.monotonic()
