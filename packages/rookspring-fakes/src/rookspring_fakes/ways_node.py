"""Runs a module as a node of the load of ways, of whatever program is on the path.

It listens for other nodes behind the address that it states to them, which is a proxy's, and its
wall clock is ahead by the seconds that a file has, if there is one.
"""

import os
import pathlib
import runpy
import sys
import time

from rookspring import relay_peers

LISTEN_VARIABLE = "ROOKSPRING_FAKE_PEER_LISTEN"
CLOCK_FILE_VARIABLE = "ROOKSPRING_FAKE_CLOCK_FILE"


async def _listen(peers: relay_peers.RelayPeers) -> None:
    host, _, port = os.environ[LISTEN_VARIABLE].rpartition(":")
    await peers.server.listen(host, int(port))


def _replace_clock(path: pathlib.Path) -> None:
    read = time.time

    def read_stepped() -> float:
        return read() + (float(path.read_text()) if path.exists() else 0.0)

    time.time = read_stepped


if __name__ == "__main__":
    relay_peers.RelayPeers.start = _listen  # type: ignore[assignment, method-assign]
    _replace_clock(pathlib.Path(os.environ[CLOCK_FILE_VARIABLE]))
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__")
