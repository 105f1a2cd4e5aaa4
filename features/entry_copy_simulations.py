"""Random simulations of endpoints that change, with a store that is restored from copies."""

import random

from rookspring_core import notice_handlers
from rookspring_fakes.fleet import REWRITE_S
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan
from rookspring_fakes.fleet_store import ENDPOINTS

# Length of a run, interval between two disturbances, interval of the checks, greatest age of a
# copy, and time until all nodes know an endpoint's change, in seconds.
LENGTH_S = 40.0
INTERVAL_S = (0.2, 2.0)
CHECK_S = 0.1
COPY_MAX_S = 20.0
KNOWN_S = 2.0
# Time until a leaving endpoint is removed, in seconds.
DRAIN_S = 4.0
STAYING_MIN = 3
# The node that is cut off from the store now and then.
CUT_OFF = "n8"
DISTURBANCES = {}


def disturbance(function):
    DISTURBANCES[function.__name__] = function
    return function


class EntrySimulation:
    """A run whose disturbances are drawn with a seed.

    ``violations`` lists nodes that used a leaving endpoint, or did not use a live one.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = Fleet(FleetPlan(9, elects=True))
        self.live = {f"e{number}": -1e9 for number in range(self.fleet.plan.endpoints)}
        self.acknowledged = {}
        self.leaving = set()
        self.withheld = set()
        self.copies = []
        self.restored_at = -1e9
        self.violations = []
        self.history = []

    def run(self):
        fleet = self.fleet
        fleet.run(9.0)
        end = fleet.now + LENGTH_S
        while fleet.now < end and not self.violations:
            self.copies.append((fleet.now, fleet.store.copy()))
            self.check(self.random.uniform(*INTERVAL_S))
            if fleet.store.unavailable:
                continue
            name = self.random.choice(sorted(DISTURBANCES))
            with fleet.virtual_clock():
                self.history.append((round(fleet.now, 2), name, DISTURBANCES[name](self)))

    def check(self, seconds):
        for _ in range(round(seconds / CHECK_S)):
            self.fleet.run(CHECK_S)
            self.note_acknowledged()
            for node in self.fleet.live():
                self.check_node(node)

    def note_acknowledged(self):
        store = self.fleet.store
        for name in self.leaving:
            row = store.get(ENDPOINTS, name)
            if not store.unavailable and (row is None or row.value[0] == "leaving"):
                self.acknowledged.setdefault(name, self.fleet.now)

    def check_node(self, node):
        now = self.fleet.now
        known_at = max(self.restored_at + REWRITE_S, -1e9) + KNOWN_S
        for name in self.leaving:
            used = not notice_handlers.find_withheld(node.state, name)
            if not used:
                self.withheld.add((node.name, name))
            elif (node.name, name) in self.withheld:
                self.violations.append((now, node.name, name, "used again"))
            elif self.fleet.store.unavailable or node.name == CUT_OFF:
                # The limit holds only for nodes that reach the store while it is up.
                continue
            elif name in self.acknowledged and now > max(
                self.acknowledged[name] + KNOWN_S, known_at
            ):
                self.violations.append((now, node.name, name, "used although it leaves"))
        if node.name == CUT_OFF or self.fleet.store.unavailable or now < known_at:
            return
        for name, since in self.live.items():
            if now > since + KNOWN_S and notice_handlers.find_withheld(node.state, name):
                self.violations.append((now, node.name, name, "not used although it is live"))


@disturbance
def leave(simulation):
    staying = sorted(simulation.live)
    if len(staying) <= STAYING_MIN:
        return None
    fleet = simulation.fleet
    name = simulation.random.choice(staying)
    del simulation.live[name]
    simulation.leaving.add(name)
    fleet.write_entry(name, "leaving", "m", fleet.entry(name)[2])

    def end():
        if fleet.store.unavailable:
            fleet.at(fleet.now + 1.0, end)
        else:
            fleet.remove_entry(name)

    fleet.at(fleet.now + DRAIN_S, end)
    return name


@disturbance
def change_entry(simulation):
    name = simulation.random.choice(sorted(simulation.live))
    fleet = simulation.fleet
    fleet.write_entry(name, "live", simulation.random.choice("mno"), fleet.entry(name)[2])
    return name


@disturbance
def create_endpoint(simulation):
    name = f"x{len(simulation.history)}"
    simulation.live[name] = simulation.fleet.now
    simulation.fleet.write_entry(name, "live", "m", 1)
    return name


@disturbance
def restart(simulation):
    """Restart an endpoint under the same name, with a later start time."""
    fleet = simulation.fleet
    name = simulation.random.choice(sorted(simulation.live))
    started_ms = fleet.entry(name)[2] + 5
    fleet.write_entry(name, "live", "m", started_ms)
    return name, started_ms


@disturbance
def copy_restored(simulation):
    fleet = simulation.fleet
    kept = [(at, copy) for at, copy in simulation.copies if fleet.now - at <= COPY_MAX_S]
    at, copy = simulation.random.choice(kept)
    down = simulation.random.choice((0.0, 0.3, 2.5))

    def restore():
        fleet.restore(copy)
        simulation.restored_at = fleet.now

    fleet.store.unavailable = True
    fleet.at(fleet.now + down, restore)
    return round(fleet.now - at, 2), down


@disturbance
def cut_from_store(simulation):
    fleet = simulation.fleet
    fleet.cut_from_store.add(CUT_OFF)
    fleet.at(fleet.now + 3.0, lambda: fleet.cut_from_store.discard(CUT_OFF))
    return CUT_OFF
