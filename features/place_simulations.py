"""Simulation of one model endpoint under the load of many nodes, on a simulated clock.

The owner's queue is the real one; nodes and the endpoint are modelled: it reads prompts one after
another, and nodes know what it has yet to read with the delay of their messages.
"""

import collections
import heapq
import itertools
import random
import typing as t

from rookspring_core import defaults
from rookspring_core.place_queues import PlaceQueue
from rookspring_core.place_queues import Room
from rookspring_core.slot_queues import PlaceTerms
from rookspring_core.slot_queues import SlotRequest

NODES = 91
HOP_S = 0.0015
# From a change at a node until all others have it: the batch, and a link.
SHARED_S = 0.03 + HOP_S
S_PER_TOKEN = 0.00006
ANSWER_TOKENS = 200
SLOTS = 64


class Load(t.NamedTuple):
    """Requests of one organisation.

    :param per_s: requests a second.
    :param share_on: the share of each period of 10 s in which they come.
    """

    organisation: str
    rank: int
    objective_s: float
    per_s: float
    share_on: float = 1.0


class Call(t.NamedTuple):
    key: str
    load: Load
    at: float
    prompt: int
    node: int


class Endpoint:
    """Reads prompts one after another; counts what each load gets."""

    def __init__(self, seconds, seed):
        self.drawn = random.Random(seed)
        self.seconds = seconds
        self.events = []
        self.numbers = itertools.count()
        # Seconds a token, as the nodes take it.
        self.believed_s = S_PER_TOKEN
        self.busy_until = 0.0
        self.busy_s = 0.0
        # Unread tokens that all nodes know of.
        self.seen = 0
        # Unread tokens of each node, and how many of these the others know of.
        self.own = collections.Counter()
        self.own_seen = collections.Counter()
        self.most_unread = 0
        self.came = collections.Counter()
        self.in_time = collections.Counter()
        self.waits = collections.defaultdict(list)
        self.refused_after = []
        self.asked = 0
        self.on_change = lambda now: None

    def at(self, moment, call, *arguments):
        heapq.heappush(self.events, (moment, next(self.numbers), call, arguments))

    def unread(self, node=None):
        """Return the unread tokens as a node knows them."""
        return self.seen if node is None else self.seen + self.own[node] - self.own_seen[node]

    def send(self, now, call):
        start = max(now, self.busy_until)
        self.busy_until = start + call.prompt * S_PER_TOKEN
        self.busy_s += call.prompt * S_PER_TOKEN
        self.own[call.node] += call.prompt
        self.most_unread = max(self.most_unread, sum(self.own.values()))
        self.at(now + SHARED_S, self._see, call.node, call.prompt)
        self.at(self.busy_until, self._read, call)
        took_s = self.busy_until - call.at
        self.waits[call.load].append(took_s)
        self.in_time[call.load] += took_s <= call.load.objective_s

    def _see(self, now, node, tokens):
        self.seen += tokens
        self.own_seen[node] += tokens
        self.on_change(now)

    def _read(self, now, call):
        self.own[call.node] -= call.prompt
        self.at(now + SHARED_S, self._see, call.node, -call.prompt)

    def play(self, loads, arrive):
        calls = sorted(itertools.chain(*map(self._calls, loads)), key=lambda one: one.at)
        for call in calls:
            self.came[call.load] += 1
            self.at(call.at, arrive, call)
        while self.events:
            moment, _, call, arguments = heapq.heappop(self.events)
            call(moment, *arguments)

    def _calls(self, load):
        now = 0.0
        while True:
            now += self.drawn.expovariate(load.per_s)
            if now >= self.seconds:
                return
            prompt, node = self.drawn.randrange(200, 1800), self.drawn.randrange(NODES)
            if now % 10.0 < load.share_on * 10.0:
                yield Call(f"r{next(self.numbers)}", load, now, prompt, node)

    def share(self, load):
        return self.in_time[load] / self.came[load]


def play_owner(endpoint, loads):
    """Let an owner order the waiting requests; nodes ask it where they see no room or a queue."""
    queue = PlaceQueue()
    calls = {}
    known_until = collections.Counter()

    def arrive(now, call):
        calls[call.key] = call
        unread = endpoint.unread(call.node)
        has_room = unread <= defaults.UNREAD_TOKENS_MAX * defaults.PLACE_UNASKED_SHARE
        has_room = has_room and (unread == 0 or unread + call.prompt <= defaults.UNREAD_TOKENS_MAX)
        if has_room and known_until[call.node] <= now:
            endpoint.send(now, call)
        else:
            endpoint.asked += 1
            endpoint.at(now + HOP_S, ask, call)

    def set_room():
        queue.set_room(Room(endpoint.seen, defaults.UNREAD_TOKENS_MAX, SLOTS, SLOTS))

    def ask(now, call):
        load = call.load
        wait_s = load.objective_s - (now - call.at) - call.prompt * endpoint.believed_s
        terms = PlaceTerms(call.prompt, call.prompt + ANSWER_TOKENS)
        request = SlotRequest(
            str(call.node), call.key, load.rank, load.organisation, wait_s, place=terms
        )
        set_room()
        tell(now, queue.request_place(request, now))

    def tell(now, answers):
        for one in answers:
            call = calls[one.request.key]
            if one.outcome == "granted":
                endpoint.at(now + HOP_S, endpoint.send, call)
                continue
            known_until[call.node] = now + defaults.PLACE_QUEUE_KNOWN_S
            if one.outcome == "refused":
                endpoint.refused_after.append((now + HOP_S - call.at) / call.load.objective_s)

    def process(now):
        if not queue.idle():
            set_room()
            tell(now, queue.process_waiting(now))

    def settle(now):
        process(now)
        if now < endpoint.seconds + 10.0:
            endpoint.at(now + 0.05, settle)

    endpoint.on_change = process
    endpoint.at(0.0, settle)
    endpoint.play(loads, arrive)


def play_own_views(endpoint, loads):
    """Let each node queue its requests for a quarter of their objective, by its own view."""
    waiting = [[] for _ in range(NODES)]

    def arrive(now, call):
        key = call.at + call.load.rank * defaults.RANK_HEADSTART_S
        heapq.heappush(waiting[call.node], (key, call.key, call))
        look(now, call.node)
        endpoint.at(now + call.load.objective_s / 4.0, give_up, call)

    def look(now, node):
        queue = waiting[node]
        while queue:
            call = queue[0][2]
            unread = endpoint.unread(node)
            if unread > 0 and unread + call.prompt > defaults.UNREAD_TOKENS_MAX:
                return
            heapq.heappop(queue)
            endpoint.send(now, call)

    def give_up(now, call):
        queue = waiting[call.node]
        left = [one for one in queue if one[2] is not call]
        if len(left) < len(queue):
            heapq.heapify(left)
            waiting[call.node] = left
            endpoint.refused_after.append((now - call.at) / call.load.objective_s)

    def look_all(now):
        for node, queue in enumerate(waiting):
            if queue:
                look(now, node)

    endpoint.on_change = look_all
    endpoint.play(loads, arrive)
