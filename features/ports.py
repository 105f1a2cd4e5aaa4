"""Finds free ports for a local cluster, so that several test runs can share a machine."""

import os
import socket

# Nodes listen for callers on the ports after the base, and for each other 100 above.
OFFSETS = [*range(1, 9), *range(101, 109)]
# Below the ephemeral port range.
FIRST = 10_000
LAST = 30_000
STEP = 250


def find_base():
    """Find a base whose ports are free; the search starts at a different one in each process."""
    steps = (LAST - FIRST) // STEP
    for number in range(steps):
        base = FIRST + (os.getpid() * 7 + number) % steps * STEP
        if all(_free(base + offset) for offset in OFFSETS):
            return base
    raise RuntimeError("no free ports")


def _free(port):
    with socket.socket() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
