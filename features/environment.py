"""Starts a local cluster on loopback for each feature that is tagged ``@sockets``."""

import asyncio
import gc
import threading

import uvloop
from ports import find_base

from rookspring.local_cluster import LocalCluster
from rookspring.local_cluster import LocalClusterPlan
from rookspring.logs import configure
from rookspring_fakes.users import SMALL


class LoopThread:
    """Runs an event loop in a thread; steps run coroutines in it and wait for their results."""

    def __init__(self):
        self.loop = uvloop.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, work, timeout_s=60.0):
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(timeout_s)

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5.0)


def before_all(context):
    configure("ERROR")


def before_feature(context, feature):
    # The stage shares its process with all steps: a collection of their modules stops it for 0.1 s.
    gc.collect()
    gc.freeze()
    context.loop = None
    context.stage = None
    if "relay" in feature.tags:
        context.loop = LoopThread()
    if "sockets" not in feature.tags:
        return
    context.loop = LoopThread()
    plan = LocalClusterPlan(
        SMALL, base_port=find_base(), quiet=True, trace_file=_trace_file(context, feature)
    )

    async def start():
        stage = LocalCluster(plan)
        await stage.start()
        await stage.apply()
        return stage

    context.stage = context.loop.run(start())


def _trace_file(context, feature):
    if "traced" not in feature.tags:
        return ""
    import tempfile

    context.trace_folder = tempfile.TemporaryDirectory()
    return context.trace_folder.name + "/spans.jsonl"


async def end(stage):
    # A node that rookctl drained is stopping already; wait until it has stopped.
    for node in stage.nodes.values():
        if node.state.leaving:
            await node.run_until_stopped()
    await stage.close()


def after_feature(context, feature):
    if context.loop is None:
        return
    if context.stage is None:
        context.loop.stop()
        return
    context.loop.run(end(context.stage))
    context.loop.stop()
    assert not context.stage.violations, context.stage.violations


def after_scenario(context, scenario):
    relay = getattr(context, "relay", None)
    if relay is not None:
        context.relay = None
        context.loop.run(relay.close())
