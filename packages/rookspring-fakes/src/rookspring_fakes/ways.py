"""The load of ways: a seed draws callers, events, limits and troubles of real processes.

Beside the troubles nodes are stopped and reloaded as planned, and the routes are written anew.
At its end the callers' record is compared with the runners' record.
"""

import asyncio
import contextlib
import random
import typing as t

from .ways_callers import WaysCallers
from .ways_checks import FAULTS
from .ways_checks import TOLD
from .ways_checks import is_sound
from .ways_records import Call
from .ways_stage import Settings
from .ways_stage import WaysStage
from .ways_stage import draw_settings
from .ways_troubles import TROUBLES
from .ways_troubles import UNTOLD
from .ways_troubles import Ways
from .ways_troubles import reload_node
from .ways_troubles import rewrite_routes
from .ways_troubles import stop_node

# The shortest and the longest time from the start of one trouble to that of the next, in seconds.
TROUBLE_INTERVAL_S = (0.15, 0.8)
# How long after the last trouble began its end is waited for, in seconds.
TROUBLE_END_S = 12.0
# The same for planned acts, which come beside the troubles.
PLANNED_INTERVAL_S = (0.4, 1.6)
PLANNED = (stop_node, reload_node, rewrite_routes)


class Outcome(t.NamedTuple):
    """The result of a play: what each check found, the nodes' logs and the runners' records.

    :param moves: how many copies of runs were made as nodes had asked for.
    :param sound_closes: how many whole answers runners ended with their connection.
    """

    settings: Settings
    calls: list[Call]
    found: dict[str, list[str]]
    told: dict[str, list[str]]
    troubles: list[str]
    connections: dict[str, int]
    moves: int
    sound_closes: int
    logs: dict[str, str]


async def play(
    seed: int,
    seconds: float,
    callers: int,
    host_block: int,
    program: str = "",
    troubles: t.Collection[str] = tuple(TROUBLES),
    planned: bool = True,
) -> Outcome:
    """Play a seed.

    :param seconds: how long troubles are drawn.
    :param host_block: selects the loopback addresses, so that plays on one box don't share any.
    :param program: the folder of the nodes' libraries; those of this process if empty.
    :param troubles: the names of the troubles that the seed draws from.
    :param planned: whether planned acts are drawn as well, by a generator of their own.
    """
    settings = draw_settings(seed, troubles)
    stage = WaysStage(settings, host_block, seed, program)
    begun: list[str] = []
    try:
        await stage.start()
        load = WaysCallers(stage, callers, seed)
        busy: set[str] = set()
        draws = [_draw(Ways(stage, random.Random(f"troubles {seed}"), busy), seconds, begun)]
        if planned:
            draws.append(
                _draw_planned(Ways(stage, random.Random(f"planned {seed}"), busy), seconds)
            )
        await asyncio.gather(*draws)
        await load.stop()
    finally:
        await stage.stop()
    runs, moves = stage.read_runs(), stage.count_moves()
    calls = stage.mark_calls(load.calls)
    stage.clean()
    connections = {
        "front": sum(one.front.count for one in stage.nodes),
        "link": sum(one.link.count for one in stage.nodes),
        "all": sum(one.count for one in stage.proxies),
    }
    return Outcome(
        settings,
        calls,
        {name: check(calls, runs) for name, check in FAULTS.items()},
        {name: check(calls, runs) for name, check in TOLD.items()},
        begun,
        connections,
        moves,
        sum(map(is_sound, runs)),
        stage.logs,
    )


async def _draw(ways: Ways, seconds: float, begun: list[str]) -> None:
    tasks = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        await asyncio.sleep(ways.random.uniform(*TROUBLE_INTERVAL_S))
        name = ways.random.choice(ways.stage.settings.troubles)
        begun.append(name)
        tasks.append(asyncio.ensure_future((TROUBLES | UNTOLD)[name](ways)))
    await _wait_for(tasks)


async def _draw_planned(ways: Ways, seconds: float) -> None:
    tasks = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        await asyncio.sleep(ways.random.uniform(*PLANNED_INTERVAL_S))
        tasks.append(asyncio.ensure_future(ways.random.choice(PLANNED)(ways)))
    await _wait_for(tasks)


async def _wait_for(tasks: t.Sequence[asyncio.Task[None]]) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(TROUBLE_END_S):
            await asyncio.gather(*tasks)
