"""Runs a node of the users' platform whose links to endpoints are cut as a file tells.

The file has a name of :data:`CUTS`, or is empty or missing while the links work. Once the node has
done what it tells, it writes the same to a second file. Each line of its log begins with the time
by the box's monotonic clock, and none is left out.
"""

import asyncio
import os
import pathlib
import runpy
import time
import typing as t

from rookspring import logs
from rookspring import relay_node

from .cut_links import CUTS
from .cut_links import CutPool

CUT_FILE_VARIABLE = "ROOKSPRING_FAKE_CUT_FILE"
# The ending of the second file's name.
DONE_SUFFIX = ".done"
CHECK_S = 0.02


class CutNode(relay_node.RelayNode):
    """A relay node with a pool of connections that can be cut."""

    def __init__(self, *args: t.Any) -> None:
        super().__init__(*args)
        self._pool = CutPool(self.context.budget)
        self.context.pool = self._pool
        self.context.spawn(self._follow(pathlib.Path(os.environ[CUT_FILE_VARIABLE])))

    async def _follow(self, path: pathlib.Path) -> None:
        name = ""
        while True:
            wanted = path.read_text() if path.exists() else ""
            if wanted != name and wanted in CUTS:
                self._pool.cut(CUTS[wanted])
            elif wanted != name:
                self._pool.heal()
            if wanted != name:
                path.with_suffix(DONE_SUFFIX).write_text(wanted)
            name = wanted
            await asyncio.sleep(CHECK_S)


class TimedOutput(logs.BoundedOutput):
    """Writes each line with its time, which sets it apart from the lines that are limited."""

    def write(self, line: str) -> None:
        """Write one line after its time, in seconds."""
        super().write(f"at={time.monotonic():.4f} {line}")


if __name__ == "__main__":
    logs.BoundedOutput = TimedOutput  # type: ignore[misc]
    relay_node.RelayNode = CutNode  # type: ignore[misc, assignment]
    runpy.run_module("rookspring_platform", run_name="__main__")
