"""Deployments on real sockets for experiments: fakes in this process, nodes in their own."""

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


class NodeProcesses:
    """Nodes that run as processes of the real daemon and can be killed, paused and drained."""

    def __init__(self, stage: LocalCluster) -> None:
        self.stage = stage
        self.processes: dict[int, subprocess.Popen[bytes]] = {}

    def start(self, number: int) -> None:
        """Start a box and add it to the platform's list."""
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
        arguments = [word for pair in flags.items() for word in pair]
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "rookspring", "run", *arguments]
        )
        self.stage.list_node(settings)

    def address(self, number: int) -> str:
        """Return the address at which a box serves callers."""
        return self.stage.make_settings(number).caller_address

    def signal(self, number: int, which: int) -> None:
        """Send a signal to a box."""
        self.processes[number].send_signal(which)

    async def wait_ended(self, number: int) -> None:
        """Wait until a box's process has ended, and remove it from the platform's list."""
        while self.processes[number].poll() is None:
            await asyncio.sleep(0.1)
        self.stage.platform.store.boxes.pop(f"box-{number}", None)

    async def wait_listening(self, number: int) -> None:
        """Wait until a box's process answers requests, ready or not; give up after 300 tries."""
        async with aiohttp.ClientSession() as session:
            for _ in range(300):
                try:
                    async with session.get(f"http://{self.address(number)}/healthz"):
                        return
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)

    async def wait_ready(self, numbers: t.Iterable[int]) -> None:
        """Wait until boxes are ready; give up on a box after 300 tries."""
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

    def kill_all(self) -> None:
        """Kill all processes that were started here and still run, also paused ones."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


@contextlib.asynccontextmanager
async def run_deployment(
    plan: LocalClusterPlan, numbers: t.Sequence[int]
) -> t.AsyncIterator[NodeProcesses]:
    """Run the fakes in this process and boxes as processes; stop all of them at the end.

    Resources are applied and the boxes are ready when it yields.
    """
    stage = LocalCluster(plan._replace(nodes=0, quiet=True))
    await stage.start()
    boxes = NodeProcesses(stage)
    try:
        for number in numbers:
            boxes.start(number)
        await boxes.wait_listening(numbers[0])
        await stage.apply_at([boxes.address(numbers[0])])
        await boxes.wait_ready(numbers)
        yield boxes
    finally:
        boxes.kill_all()
        await stage.close()


async def disturb(
    boxes: NodeProcesses, actions: t.Sequence[str], stop: asyncio.Event
) -> dict[str, int]:
    """Disturb one box after another until an event is set.

    A paused box is resumed; a killed or drained one is started again.

    :param actions: ``kill``, ``pause`` or ``drain``, done in this order over and over.
    :param stop: ends the loop when set, checked between two actions.
    :return: how often each action was done.
    """
    counts = dict.fromkeys(actions, 0)
    numbers = itertools.cycle(sorted(boxes.processes))
    for action in itertools.cycle(actions):
        try:
            await asyncio.wait_for(stop.wait(), 2.0)
            return counts
        except TimeoutError:
            pass
        number = next(numbers)
        counts[action] += 1
        if action == "pause":
            boxes.signal(number, signal.SIGSTOP)
            await asyncio.sleep(3.0)
            boxes.signal(number, signal.SIGCONT)
            continue
        boxes.signal(number, signal.SIGKILL if action == "kill" else signal.SIGTERM)
        await boxes.wait_ended(number)
        boxes.start(number)
        await boxes.wait_ready([number])
    return counts
