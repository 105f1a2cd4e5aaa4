"""Drawn stories of a store that comes back from copies while nodes fail."""

import random

from rookspring_core.events import DrainAsked
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

# How long a story lasts, from one trouble to the next, and how old a copy is, in seconds.
STORY_S = 45.0
NEXT_S = (0.3, 3.0)
COPY_MAX_S = 20.0
# Nodes that nothing happens to.
LEFT = 4
TROUBLES = {}


def trouble(function):
    TROUBLES[function.__name__] = function
    return function


class Story:
    """One story; the same seed draws the same."""

    def __init__(self, seed, nodes):
        self.drawn = random.Random(seed)
        self.fleet = Fleet(FleetPlan(nodes, elects=True))
        self.busy = set()
        self.copies = []
        self.told = []

    def play(self):
        fleet = self.fleet
        fleet.run(9.0)
        end = fleet.now + STORY_S
        while fleet.now < end:
            self.copies.append((fleet.now, fleet.store.copy()))
            fleet.run(self.drawn.uniform(*NEXT_S))
            name = self.drawn.choice(sorted(TROUBLES))
            with fleet.running():
                self.told.append((round(fleet.now, 2), name, TROUBLES[name](self)))
        fleet.store.away = False
        fleet.run(12.0)

    def pick(self):
        """Give a node that nothing happens to now; the one that acted last, now and then."""
        free = [name for name in sorted(self.fleet.nodes) if name not in self.busy]
        if len(free) <= LEFT:
            return None
        last = self.fleet.acts[-1].node
        name = last if last in free and self.drawn.random() < 0.5 else self.drawn.choice(free)
        self.busy.add(name)
        return name

    def after(self, seconds, name, then):
        def end():
            then()
            self.busy.discard(name)

        self.fleet.at(self.fleet.now + seconds, end)


@trouble
def come_back(story):
    fleet = story.fleet
    kept = [(at, copy) for at, copy in story.copies if fleet.now - at <= COPY_MAX_S]
    at, copy = story.drawn.choice(kept)
    away = story.drawn.choice((0.0, 0.3, 2.5, 5.0))
    fleet.store.away = True
    fleet.at(fleet.now + away, lambda: fleet.come_back(copy))
    return fleet.now - at, away


@trouble
def come_back_twice(story):
    again = come_back(story)
    fleet = story.fleet
    copy = story.copies[-1][1]
    fleet.at(fleet.now + again[1] + story.drawn.uniform(0.0, 2.0), lambda: fleet.come_back(copy))
    return again


@trouble
def kill(story):
    name = story.pick()
    if name is None:
        return None
    story.fleet.kill(name)
    number = int(name[1:])
    story.after(story.drawn.uniform(0.2, 6.0), name, lambda: story.fleet.start(number))
    return name


@trouble
def stop(story):
    name = story.pick()
    if name is None:
        return None
    fleet = story.fleet
    fleet.nodes[name].submit(DrainAsked(fleet.now))

    def start_again():
        fleet.kill(name)
        fleet.start(int(name[1:]))

    story.after(story.drawn.uniform(0.5, 4.0), name, start_again)
    return name


@trouble
def freeze(story):
    name = story.pick()
    if name is None:
        return None
    fleet = story.fleet
    fleet.nodes[name].frozen = True
    story.after(story.drawn.choice((0.5, 2.0, 4.5, 7.0)), name, lambda: fleet.thaw(name))
    return name


@trouble
def cut_from_store(story):
    name = story.pick()
    if name is None:
        return None
    fleet = story.fleet
    fleet.cut_from_store.add(name)
    heal = fleet.cut_from_store.discard
    story.after(story.drawn.uniform(0.5, 8.0), name, lambda: heal(name))
    return name
