"""Stages on real sockets for experiments, and a load from processes of its own."""

import asyncio
import contextlib
import itertools
import signal
import subprocess
import sys
import typing as t

import aiohttp

from rookspring.local_cluster import LocalCluster
from rookspring.local_cluster import LocalClusterPlan


class Boxes:
    """Nodes as processes of the real daemon, which can be killed, paused and drained."""

    def __init__(self, stage: LocalCluster) -> None:
        self.stage = stage
        self.running: dict[int, subprocess.Popen[bytes]] = {}

    def start(self, number: int) -> None:
        """Start a box and list it."""
        settings = self.stage.make_settings(number)
        flags = {
            "--name": settings.name,
            "--data-centre": settings.data_centre,
            "--port": str(settings.port),
            "--peer-port": str(settings.peer_port),
            "--platform": settings.platform,
            "--shared-key": settings.shared_key,
            "--signing-keys": ",".join(settings.signing_keys),
            "--operator-key-sha256": ",".join(settings.operator_key_sha256),
            "--log-level": "ERROR",
        }
        words = [word for pair in flags.items() for word in pair]
        self.running[number] = subprocess.Popen([sys.executable, "-m", "rookspring", "run", *words])
        self.stage.list_node(settings)

    def address(self, number: int) -> str:
        """Give where callers reach a box."""
        return self.stage.make_settings(number).caller_address

    def signal(self, number: int, which: int) -> None:
        """Send a signal to a box."""
        self.running[number].send_signal(which)

    async def gone(self, number: int) -> None:
        """Wait until a box's process has ended, and take it off the list."""
        while self.running[number].poll() is None:
            await asyncio.sleep(0.1)
        self.stage.platform.store.boxes.pop(f"box-{number}", None)

    async def listening(self, number: int) -> None:
        """Wait until a box's process answers at all."""
        async with aiohttp.ClientSession() as session:
            for _ in range(300):
                try:
                    async with session.get(f"http://{self.address(number)}/healthz"):
                        return
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)

    async def up(self, numbers: t.Iterable[int]) -> None:
        """Wait until boxes are ready."""
        async with aiohttp.ClientSession() as session:
            for number in numbers:
                for _ in range(300):
                    try:
                        url = f"http://{self.address(number)}/readyz"
                        async with session.get(url) as response:
                            if response.status == 200:
                                break
                    except aiohttp.ClientError:
                        pass
                    await asyncio.sleep(0.05)

    def end(self) -> None:
        """End all processes that were started here."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


@contextlib.asynccontextmanager
async def raised(plan: LocalClusterPlan, numbers: t.Sequence[int]) -> t.AsyncIterator[Boxes]:
    """Raise stand-ins here and boxes as processes, with resources in force, and end all."""
    stage = LocalCluster(plan._replace(nodes=0, quiet=True))
    await stage.start()
    boxes = Boxes(stage)
    try:
        for number in numbers:
            boxes.start(number)
        await boxes.listening(numbers[0])
        await stage.apply_at([boxes.address(numbers[0])])
        await boxes.up(numbers)
        yield boxes
    finally:
        boxes.end()
        await stage.close()


async def disturb(boxes: Boxes, ways: t.Sequence[str], until: asyncio.Event) -> dict[str, int]:
    """Kill, pause and drain boxes in turn, and start them again, until told to stop."""
    counts = dict.fromkeys(ways, 0)
    numbers = itertools.cycle(sorted(boxes.running))
    for way in itertools.cycle(ways):
        try:
            await asyncio.wait_for(until.wait(), 2.0)
            return counts
        except TimeoutError:
            pass
        number = next(numbers)
        counts[way] += 1
        if way == "pause":
            boxes.signal(number, signal.SIGSTOP)
            await asyncio.sleep(3.0)
            boxes.signal(number, signal.SIGCONT)
            continue
        boxes.signal(number, signal.SIGKILL if way == "kill" else signal.SIGTERM)
        await boxes.gone(number)
        boxes.start(number)
        await boxes.up([number])
    return counts
