"""Stages on real sockets for experiments, and a load from processes of its own."""

import contextlib
import time
import typing as t

from rookspring.stage import Stage
from rookspring.stage import StagePlan
from rookspring_fakes.users import UserSize

SMALL = UserSize(
    "small",
    ("ballerup", "taastrup", "koege"),
    "pitwall-llm",
    3,
    "gridmaker",
    3,
    3,
    0,
    20.0,
    10,
    1.0,
    "place",
    "ranked",
)


@contextlib.asynccontextmanager
async def raised(plan: StagePlan) -> t.AsyncIterator[Stage]:
    """Raise a stage with its resources in force, and end it afterwards."""
    stage = Stage(plan)
    await stage.rise()
    try:
        await stage.apply()
        yield stage
    finally:
        await stage.close()


class Watch:
    """Measures wall and processor time of a block."""

    def __enter__(self) -> "Watch":
        self.wall = time.perf_counter()
        self.cpu = time.process_time()
        return self

    def __exit__(self, *ignored: t.Any) -> None:
        self.wall = time.perf_counter() - self.wall
        self.cpu = time.process_time() - self.cpu
