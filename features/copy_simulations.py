"""Random simulations of a store that is restored from copies while nodes fail."""

import random

from rookspring_core.events import DrainAsked
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

# Length of a run, interval between two disturbances, and greatest age of a copy, in seconds.
LENGTH_S = 45.0
INTERVAL_S = (0.3, 3.0)
COPY_MAX_S = 20.0
# Nodes that are left undisturbed at any time.
UNDISTURBED = 4
DISTURBANCES = {}


def disturbance(function):
    DISTURBANCES[function.__name__] = function
    return function


class CopySimulation:
    """A run whose disturbances are drawn with a seed."""

    def __init__(self, seed, nodes):
        self.random = random.Random(seed)
        self.fleet = Fleet(FleetPlan(nodes, elects=True))
        self.busy = set()
        self.copies = []
        self.history = []

    def run(self):
        fleet = self.fleet
        fleet.run(9.0)
        end = fleet.now + LENGTH_S
        while fleet.now < end:
            self.copies.append((fleet.now, fleet.store.copy()))
            fleet.run(self.random.uniform(*INTERVAL_S))
            name = self.random.choice(sorted(DISTURBANCES))
            with fleet.virtual_clock():
                self.history.append((round(fleet.now, 2), name, DISTURBANCES[name](self)))
        fleet.store.unavailable = False
        fleet.run(12.0)

    def pick(self):
        """Choose an undisturbed node; half of the time the last one to give orders, if possible."""
        free = [name for name in sorted(self.fleet.nodes) if name not in self.busy]
        if len(free) <= UNDISTURBED:
            return None
        last = self.fleet.active_ticks[-1].node
        name = last if last in free and self.random.random() < 0.5 else self.random.choice(free)
        self.busy.add(name)
        return name

    def after(self, seconds, name, then):
        def end():
            then()
            self.busy.discard(name)

        self.fleet.at(self.fleet.now + seconds, end)


@disturbance
def copy_restored(simulation):
    fleet = simulation.fleet
    kept = [(at, copy) for at, copy in simulation.copies if fleet.now - at <= COPY_MAX_S]
    at, copy = simulation.random.choice(kept)
    down = simulation.random.choice((0.0, 0.3, 2.5, 5.0))
    fleet.store.unavailable = True
    fleet.at(fleet.now + down, lambda: fleet.restore(copy))
    return fleet.now - at, down


@disturbance
def copy_restored_twice(simulation):
    first = copy_restored(simulation)
    fleet = simulation.fleet
    copy = simulation.copies[-1][1]
    fleet.at(
        fleet.now + first[1] + simulation.random.uniform(0.0, 2.0), lambda: fleet.restore(copy)
    )
    return first


@disturbance
def kill(simulation):
    name = simulation.pick()
    if name is None:
        return None
    simulation.fleet.kill(name)
    number = int(name[1:])
    simulation.after(
        simulation.random.uniform(0.2, 6.0), name, lambda: simulation.fleet.start(number)
    )
    return name


@disturbance
def stop(simulation):
    name = simulation.pick()
    if name is None:
        return None
    fleet = simulation.fleet
    fleet.nodes[name].submit(DrainAsked(fleet.now))

    def restart():
        fleet.kill(name)
        fleet.start(int(name[1:]))

    simulation.after(simulation.random.uniform(0.5, 4.0), name, restart)
    return name


@disturbance
def freeze(simulation):
    name = simulation.pick()
    if name is None:
        return None
    fleet = simulation.fleet
    fleet.nodes[name].frozen = True
    simulation.after(simulation.random.choice((0.5, 2.0, 4.5, 7.0)), name, lambda: fleet.thaw(name))
    return name


@disturbance
def cut_from_store(simulation):
    name = simulation.pick()
    if name is None:
        return None
    fleet = simulation.fleet
    fleet.cut_from_store.add(name)
    heal = fleet.cut_from_store.discard
    simulation.after(simulation.random.uniform(0.5, 8.0), name, lambda: heal(name))
    return name
