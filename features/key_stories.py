"""Runs of a fleet in which keys are revoked, restored and moved while nodes fail.

At each step every running node is asked whether it would accept each key, and whether it would
send a waiting request. No node may do so for a key that was revoked from its organisation longer
ago than the bound.
"""

import random

from rookspring_core import keys
from rookspring_core.events import RequestArrived
from rookspring_core.organisations import TOKENS
from rookspring_core.organisations import Allotment
from rookspring_core.organisations import Organisation
from rookspring_core.organisations import digest_of
from rookspring_core.organisations import make_directory
from rookspring_core.routes import Route
from rookspring_core.routes import Split
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

BOUND_S = 5.0
KEYS = {"key-a1": "org-a", "key-a2": "org-a", "key-b1": "org-b"}
STEP_S = 0.1
ROUTE = Route("r", "h", "/", "safe", 5.0, 0.4, 1, 2, (Split("svc", 1.0),))


def directory_of(holders, rate=1_000.0):
    names = sorted({*holders.values()})
    allotment = Allotment(rate, rate, TOKENS, 200)
    return make_directory(
        Organisation(
            name,
            tuple(digest_of(key.encode()) for key, holder in holders.items() if holder == name),
            allotment,
        )
        for name in names
    )


class KeyStory:
    """A fleet, the organisation of each key over time, and the violations by nodes."""

    def __init__(self, nodes):
        self.holders = {"key-a1": "org-a", "key-b1": "org-b"}
        self.fleet = Fleet(FleetPlan(nodes, data_centres=3, directory=self._directory()))
        # By key and organisation, when the key was revoked from it.
        self.ended = {}
        self.wrong = []
        self.checks = 0
        self.drawn = random.Random(nodes)

    def _directory(self):
        return make_directory(
            Organisation(
                name,
                tuple(digest_of(key.encode()) for key, one in self.holders.items() if one == name),
                Allotment(),
            )
            for name in ("org-a", "org-b")
        )

    def write(self, holders):
        for key, name in self.holders.items():
            if holders.get(key) != name:
                self.ended[(key, name)] = self.fleet.now
        for key, name in holders.items():
            self.ended.pop((key, name), None)
        self.holders = holders
        self.fleet.write_table(self._directory())

    def take(self, key):
        self.write({one: name for one, name in self.holders.items() if one != key})

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.fleet.run(STEP_S)
            for node in self.fleet.live():
                self.check(node)

    def check(self, node):
        """Check a node's decisions on revoked keys, for new and for waiting requests."""
        now = self.fleet.now
        if node.state.table is None:
            return
        for (key, name), at in self.ended.items():
            if now - at <= BOUND_S:
                continue
            self.checks += 1
            digest = digest_of(key.encode())
            verdict = keys.check_key(node.state, ROUTE, digest, now, now)
            if verdict.status == 0 and verdict.organisation.name == name:
                self.wrong.append((node.name, key, "accepted", now - at))
            node.state.now = max(node.state.now, now)
            waits = RequestArrived(now, "r", name, "m", key=digest)
            if keys.find_fault(node.state, waits) is None:
                self.wrong.append((node.name, key, "sent", now - at))

    def statuses(self, node, asked_at):
        """Return a node's status codes for requests that arrived at a given time."""
        now = self.fleet.now
        return {
            key: keys.check_key(node.state, ROUTE, digest_of(key.encode()), asked_at, now).status
            for key in ("key-a1", "key-b1")
        }

    def play(self, acts):
        """Apply faults and changes of keys, each followed by a wait in tenths of a second."""
        ends = []
        for act, tenths in acts:
            if act in troubles:
                ends.append(troubles[act](self.fleet))
            elif act == "end" and ends:
                self._end(ends.pop())
            elif act == "take":
                self.take("key-a1")
            elif act == "give":
                self.write({"key-a1": "org-a", "key-b1": "org-b"})
            elif act == "pass on":
                self.write({"key-a1": "org-b", "key-b1": "org-a"})
            self.run(tenths / 10.0)
        self.run(6.0)
        for end in ends:
            self._end(end)
        self.run(2.0)

    def _end(self, end):
        end()
        for node in self.fleet.live():
            self.check(node)


troubles = {}


def trouble(name):
    def register(begin):
        troubles[name] = begin
        return begin

    return register


def leaf_of(fleet):
    """Return the name of a node that is not a relay; in a mesh, of any node."""
    rows = [node for node in fleet.live() if not node.state.topology.relay]
    return (rows or fleet.live())[-1].name


def relays_of(fleet):
    return [node.name for node in fleet.live() if node.state.topology.relay]


def readers_of(fleet):
    return [node.name for node in fleet.live() if node.state.topology.reads_configuration()]


def freeze(fleet, names):
    for name in names:
        fleet.nodes[name].frozen = True

    def end():
        for name in names:
            fleet.thaw(name)

    return end


def cut(fleet, pairs):
    added = set(pairs) - fleet.cut
    fleet.cut |= added

    def end():
        fleet.cut -= added

    return end


def cut_store(fleet, names):
    added = set(names) - fleet.cut_from_store
    fleet.cut_from_store |= added

    def end():
        fleet.cut_from_store -= added

    return end


@trouble("nothing happens")
def nothing(fleet):
    return lambda: None


@trouble("a node freezes")
def node_freezes(fleet):
    return freeze(fleet, [leaf_of(fleet)])


@trouble("a relay freezes")
def relay_freezes(fleet):
    return freeze(fleet, (relays_of(fleet) or [leaf_of(fleet)])[:1])


@trouble("the relays of a data centre freeze")
def relays_freeze(fleet):
    place = fleet.nodes[leaf_of(fleet)].data_centre
    return freeze(fleet, [one for one in relays_of(fleet) if fleet.nodes[one].data_centre == place])


@trouble("a node is cut from the store")
def leaf_cut_from_store(fleet):
    return cut_store(fleet, [leaf_of(fleet)])


@trouble("a node is cut from the others")
def leaf_cut(fleet):
    name = leaf_of(fleet)
    others = [one for one in fleet.nodes if one != name]
    return cut(fleet, [(one, name) for one in others] + [(name, one) for one in others])


@trouble("a node is cut from the others and the store")
def leaf_cut_off(fleet):
    ends = [leaf_cut(fleet), leaf_cut_from_store(fleet)]

    def end():
        for one in ends:
            one()

    return end


@trouble("a node receives no messages")
def leaf_receives_nothing(fleet):
    name = leaf_of(fleet)
    return cut(fleet, [(one, name) for one in fleet.nodes if one != name])


@trouble("a relay's messages are lost")
def relay_messages_lost(fleet):
    name = (relays_of(fleet) or [leaf_of(fleet)])[0]
    return cut(fleet, [(name, one) for one in fleet.nodes if one != name])


@trouble("the readers are cut from the store")
def readers_cut(fleet):
    return cut_store(fleet, readers_of(fleet))


@trouble("a third of the nodes is cut from the store")
def third_cut(fleet):
    return cut_store(fleet, list(fleet.nodes)[::3])


@trouble("the store can't be reached")
def store_unreachable(fleet):
    return cut_store(fleet, list(fleet.nodes))


@trouble("the store is slow")
def store_slow(fleet):
    before, fleet.store_latency_s = fleet.store_latency_s, 0.6

    def end():
        fleet.store_latency_s = before

    return end


@trouble("watches deliver nothing")
def watches_silent(fleet):
    fleet.watches_silent = True

    def end():
        fleet.watches_silent = False

    return end


@trouble("messages of the relays take 4 s")
def relay_messages_late(fleet):
    delays = {(name, one): 4.0 for name in relays_of(fleet) for one in fleet.nodes}
    fleet.link_delays.update(delays)
    return fleet.link_delays.clear


@trouble("all nodes are killed and started")
def all_killed(fleet):
    names = [node.name for node in fleet.live()]
    for name in names:
        fleet.kill(name)
    fleet.run(0.3)
    with fleet.virtual_clock():
        for name in names:
            fleet.start(int(name[1:]))
    return lambda: None
