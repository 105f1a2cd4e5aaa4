"""Simulation of nodes' real reducers before runners of different speeds, on a virtual clock.

A runner works in steps: each reads all prompts that have come, during which its streams pause,
and decodes one token of each stream.
"""

import heapq
import itertools
import random

from relay_harness import RelayHarness

from rookspring_core.effects import Dispatch
from rookspring_core.effects import Refuse
from rookspring_core.effects import SharePrompts
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import PromptsReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import Ticked

READ_PER_S = 19_200.0
STEP_S = 0.011
SLOTS = 128
# Latest first event and longest pause of a stream in time, in seconds.
OBJECTIVE_S = 0.4
PAUSE_S = 0.18
PROMPTS = (50, 1_000)
ANSWERS = (10, 40)
HOP_S = 0.001
TICK_S = 0.05
REPORT_S = 0.25


class Stream:
    """A request, where it was sent, and whether it was in time so far."""

    def __init__(self, key, node, at, draw):
        self.key = key
        self.node = node
        self.at = at
        self.prompt = draw.randint(*PROMPTS)
        self.left = draw.randint(*ANSWERS)
        self.runner = None
        self.last_at = None
        self.ended_at = None
        self.in_time = True


class Runner:
    """A runner, whose speed may change between steps."""

    def __init__(self, world, name, speed):
        self.world = world
        self.name = name
        self.speed = speed
        self.prompts = []
        self.streams = []
        self.step_ends = None

    def unread(self):
        return sum(one.prompt for one in self.prompts)

    def take(self, stream):
        stream.runner = self.name
        self.prompts.append(stream)
        if self.step_ends is None:
            self.begin_step()

    def begin_step(self):
        work_s = STEP_S + self.unread() / READ_PER_S
        self.step_ends = self.world.now + work_s / self.speed
        self.streams += self.prompts
        self.prompts = []
        self.world.at(self.step_ends, self.end_step)

    def end_step(self):
        now = self.world.now
        for stream in self.streams:
            if stream.last_at is None:
                stream.in_time = now + HOP_S - stream.at <= OBJECTIVE_S
                self.world.at(now + HOP_S, self.world.on_first, stream)
            else:
                stream.in_time &= now - stream.last_at <= PAUSE_S
            stream.last_at = now
            stream.left -= 1
            if stream.left == 0:
                stream.ended_at = now + HOP_S
                self.world.at(now + HOP_S, self.world.on_end, stream)
        self.streams = [one for one in self.streams if one.left > 0]
        self.step_ends = None
        if self.streams or self.prompts:
            self.begin_step()


class SpeedWorld:
    """Runners, a seeded load on them, and the events to come in order of time.

    The load is a part of the runners' joint capacity.
    """

    def __init__(self, speeds, load, seconds, seed):
        self.now = 100.0
        self.random = random.Random(seed)
        self.numbers = itertools.count()
        self.coming = []
        self.runners = {
            f"e{number}": Runner(self, f"e{number}", speed) for number, speed in enumerate(speeds)
        }
        self.streams = {}
        self.ends_at = self.now + seconds
        mean_s = sum(PROMPTS) / 2 / READ_PER_S
        # A runner can do no more than steps that are as long as streams may pause.
        self.rate = load * sum(speed - STEP_S / PAUSE_S for speed in speeds) / mean_s
        self.at(self.now, self.arrive)

    def at(self, time, function, *args):
        heapq.heappush(self.coming, (time, next(self.numbers), function, args))

    def run(self):
        while self.coming:
            self.now, _, function, args = heapq.heappop(self.coming)
            function(*args)

    def arrive(self):
        if self.now >= self.ends_at:
            return
        key = f"r{next(self.numbers)}"
        node = self.random.randrange(1_000)
        self.streams[key] = Stream(key, node, self.now, self.random)
        self.accept(self.streams[key])
        self.at(self.now + self.random.expovariate(self.rate), self.arrive)

    def share_in_time(self):
        in_time = sum(one.in_time and one.ended_at is not None for one in self.streams.values())
        return in_time / len(self.streams)


class KnowingWorld(SpeedWorld):
    """A single scheduler that knows each runner's speed, streams and steps exactly.

    A request waits until a runner can read it, with what it has yet to read, within the pause.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.waiting = []

    def accept(self, stream):
        self.waiting.append(stream)
        self.place()

    def place(self):
        while self.waiting:
            stream = self.waiting[0]
            if self.now - stream.at > OBJECTIVE_S:
                self.waiting.pop(0)
                continue
            options = [(self.read_at(one, stream), one.name) for one in self.runners.values()]
            at, name = min(options)
            if at - stream.at > OBJECTIVE_S or not self.fits(self.runners[name], stream):
                return
            self.waiting.pop(0)
            self.runners[name].take(stream)

    def read_at(self, runner, stream):
        tokens = runner.unread() + stream.prompt
        return (runner.step_ends or self.now) + (STEP_S + tokens / READ_PER_S) / runner.speed

    def fits(self, runner, stream):
        tokens = runner.unread() + stream.prompt
        return (STEP_S + tokens / READ_PER_S) / runner.speed <= PAUSE_S

    def on_first(self, stream):
        self.place()

    def on_end(self, stream):
        self.place()


class SimulatedNode(RelayHarness):
    """A node whose effects are carried out in the simulated world."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        super().__init__()
        self.state.full_checks = False
        self.list_endpoints(list(world.runners), "llm", "runner")

    def submit(self, event):
        if isinstance(event, RequestArrived) and self.world.prefixes:
            event = event._replace(prefix=1 + event.prompt_tokens % self.world.prefixes)
        effects = super().submit(event)
        self.world.recorded.append((self.name, tuple(effects)))
        return effects

    def perform(self, effect):
        world = self.world
        if isinstance(effect, Dispatch):
            stream = world.streams[effect.request_id]
            self.submit(AttemptStarted(self.now, effect.request_id, effect.attempt))
            world.at(world.now + HOP_S, world.runners[effect.endpoint].take, stream)
        elif isinstance(effect, Refuse):
            world.streams[effect.request_id].in_time = False
        elif isinstance(effect, SharePrompts):
            row = ((effect.endpoint, effect.tokens),)
            world.at(world.now + HOP_S, world.share, self.name, row)


class NodeWorld(SpeedWorld):
    """Nodes, each with a part of the requests; ``tell`` sets the speeds that they know.

    ``recorded`` are the effects of each event, with the node that had it.
    """

    def __init__(self, speeds, load, seconds, seed, nodes=3, prefixes=0):
        super().__init__(speeds, load, seconds, seed)
        self.prefixes = prefixes
        self.recorded = []
        self.nodes = [SimulatedNode(self, f"n{number}") for number in range(nodes)]
        self.at(self.now, self.report)
        self.at(self.now, self.tick)
        # Reports come before the first request.
        self.report()

    def tell(self, name, speed):
        for node in self.nodes:
            node.state.endpoints[name].speed = speed

    def accept(self, stream):
        node = self.nodes[stream.node % len(self.nodes)]
        node.now = self.now
        terms = {"tokens": stream.prompt, "prompt_tokens": stream.prompt}
        node.ask(model="m", key=stream.key, deadline_s=30.0, objective_s=OBJECTIVE_S, **terms)

    def node_of(self, stream):
        node = self.nodes[stream.node % len(self.nodes)]
        node.now = self.now
        return node

    def on_first(self, stream):
        self.node_of(stream).submit(AttemptProgressed(self.now, stream.key, 1, 1))

    def on_end(self, stream):
        self.node_of(stream).submit(AttemptSucceeded(self.now, stream.key, 1))

    def share(self, name, row):
        for node in self.nodes:
            if node.name != name:
                node.now = self.now
                node.submit(PromptsReceived(self.now, name, row))

    def report(self):
        for node in self.nodes:
            node.now = self.now
            for runner in self.runners.values():
                report = node.report(runner.name, ["m"], slots=SLOTS)
                running = len(runner.streams) + len(runner.prompts)
                node.submit(report._replace(running=running))
            self.beat(node)
        if self.now < self.ends_at:
            self.at(self.now + REPORT_S, self.report)

    def beat(self, node):
        views = node.state.endpoints.values()
        heard = HeartbeatReceived(
            self.now,
            node.name,
            "i",
            "a",
            "c",
            "z",
            1,
            False,
            inflight=tuple((view.name, len(view.inflight)) for view in views),
            prompts=tuple((view.name, view.own_prompts()) for view in views),
        )
        for other in self.nodes:
            if other is not node:
                other.now = self.now
                other.submit(heard)

    def tick(self):
        for node in self.nodes:
            node.now = self.now
            node.submit(Ticked(self.now))
        if self.now < self.ends_at + 1.0:
            self.at(self.now + TICK_S, self.tick)
