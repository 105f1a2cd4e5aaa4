"""The memory of this process: what it takes, how freed blocks go back, and what others may fill."""

import ctypes
import pathlib
import resource

from . import defaults
from .byte_budget import ByteBudget

_STATM = pathlib.Path("/proc/self/statm")
# Parameter of ``mallopt`` of the GNU C library (*malloc.h*).
_M_MMAP_THRESHOLD = -3


def map_large_blocks() -> bool:
    """Make the allocator return each block of ``MAPPED_BLOCK_BYTES`` or more as it is freed.

    Without, it raises that size up to 32 MB as such blocks are freed, and keeps what lies below
    a smaller block that is still in use.

    :return: whether the C library can.
    """
    try:
        tune = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(tune(_M_MMAP_THRESHOLD, defaults.MAPPED_BLOCK_BYTES))


def read_resident_bytes() -> int | None:
    """Return the resident size of this process; None if the system doesn't tell."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize()


def bound_held_bytes(memory: int, resident: int | None, held: int) -> int:
    """Return the largest sum of others' bytes that a process may hold.

    :param memory: what the process may take, in bytes.
    :param resident: what it takes now, in bytes; None if unknown.
    :param held: others' bytes that are part of that.
    """
    own = defaults.OWN_BYTES_ASSUMED if resident is None else max(0, resident - held)
    return int(max(memory * defaults.HELD_SHARE_MIN, (memory - own) * defaults.HELD_SHARE))


def adapt_budget(budget: ByteBudget, memory: int) -> None:
    """Set a budget's bound to what the process's memory bears now.

    :param memory: what the process may take, in bytes.
    """
    budget.most = bound_held_bytes(memory, read_resident_bytes(), budget.held_bytes)
