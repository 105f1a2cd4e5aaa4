"""Random fault sequences with endpoints that are leaving or request back-offs.

Nodes and the store fail as in :mod:`key_stories`, entries lapse and are written again, and
processes end and restart. The program's own invariant checks are on throughout; the requests that
arrive at endpoints are checked here as well, against the notices that each node had got.
"""

import functools
import random

from key_stories import troubles as node_troubles

from rookspring_fakes.fleet_callers import FATAL
from rookspring_fakes.fleet_callers import FleetCallers

# For how long after a node got the notice its requests may arrive at a leaving endpoint.
LEFT_S = 2.0
# How many requests may arrive during a back-off, from half a second after its notice.
RESTING_MOST = 2
REST_BEGINS_S = 0.5
STEP_S = 0.05

TROUBLES = {}


def trouble(name):
    def register(begin):
        TROUBLES[name] = begin
        return begin

    return register


class NoticeStory:
    """A fleet under load, its endpoints' notices, and the requests that violated them."""

    troubles = TROUBLES

    def __init__(self, nodes, seed):
        self.callers = FleetCallers(nodes, 6)
        self.fleet = self.callers.fleet
        self.runners = self.callers.runners
        self.drawn = random.Random(seed)
        # Nodes that froze, and when they resumed.
        self.stood_still = {}

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            for name in self.drawn.choices(self.callers.names(), k=3):
                self.callers.send(name, "asked", repeatable=True, attempts=2)
            self.fleet.run(STEP_S)
            for node in self.fleet.nodes.values():
                if node.frozen:
                    self.stood_still[node.name] = self.fleet.now

    def play(self, acts):
        """Apply faults in turn, each followed by a wait in tenths of a second."""
        ends = []
        for act, tenths in acts:
            if act == "end" and ends:
                ends.pop()()
            elif act in self.troubles:
                self.troubles[act](self)
            elif act in node_troubles:
                ends.append(node_troubles[act](self.fleet))
            self.run(tenths / 10.0)
        for end in ends:
            end()
        self.run(2.0)

    def arrivals(self, word):
        """List when requests of the node that got a notice reached the process that gave it."""
        return [
            one.at
            for one in self.runners.arrivals
            if (one.endpoint, one.start, one.node) == (word.endpoint, word.start, word.node.name)
            and one.at > word.at
            # A restarted node has not got the notice, and a node that froze may send late.
            and self.fleet.nodes[one.node] is word.node
            and self.stood_still.get(one.node, -1.0) < word.at
        ]

    def faults(self):
        found = []
        for word in self.runners.received_notices:
            rest_s = word.notice.backoff_s or 0.0
            if not word.notice.leaving and not rest_s:
                continue
            at = self.arrivals(word)
            if word.notice.leaving and any(one > word.at + LEFT_S for one in at):
                found.append(("sent to a leaving endpoint", word, at))
            begins, ends = word.at + REST_BEGINS_S, word.at + rest_s
            if sum(begins <= one < ends for one in at) > RESTING_MOST:
                found.append(("sent during a back-off", word, at))
        return found


def some(story):
    return f"e{story.drawn.randrange(story.fleet.plan.endpoints)}"


@trouble("an endpoint is leaving, and its entry stays live")
def leaves(story):
    name = some(story)
    story.runners.leaving.add(name)
    start = story.runners.restart_count(name)

    def end():
        if story.runners.restart_count(name) == start:
            story.runners.end(name)

    story.fleet.at(story.fleet.now + story.drawn.uniform(4.0, 9.0), end)


@trouble("an endpoint sheds load and requests a back-off")
def sheds(story):
    until = story.fleet.now + story.drawn.uniform(0.5, 5.0)
    story.runners.shed(some(story), until, story.drawn.choice((0.4, 1.0, 3.0)))


@trouble("an endpoint sheds load and gives no time")
def sheds_untold(story):
    story.runners.shed(some(story), story.fleet.now + story.drawn.uniform(0.5, 3.0), None)


@trouble("all endpoints shed load")
def all_shed(story):
    for number in range(story.fleet.plan.endpoints):
        story.runners.shed(f"e{number}", story.fleet.now + 1.0, 1.0)


@trouble("a request that crashes what runs it is sent again and again")
def fatal_comes(story):
    story.runners.fatal.add(FATAL)
    for turn in range(4):
        name = story.drawn.choice(story.callers.names())
        at = story.fleet.now + 0.7 * turn
        story.fleet.at(at, functools.partial(story.callers.send, name, FATAL))


@trouble("an endpoint ends")
def ends(story):
    story.runners.end(some(story))


@trouble("an entry lapses and is written again, as live")
def lapses(story):
    name = some(story)
    born = 1 + story.runners.restart_count(name)
    story.fleet.remove_entry(name)

    def back():
        if 1 + story.runners.restart_count(name) == born:
            story.fleet.write_entry(name, "live", "m", born)

    story.fleet.at(story.fleet.now + story.drawn.uniform(0.5, 3.0), back)
