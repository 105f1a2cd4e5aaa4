"""Drawn stories of endpoints that leave, change and come beside a store that goes back."""

import random

from rookspring_core import noticing
from rookspring_fakes.fleet import AGAIN_S
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan
from rookspring_fakes.fleet_store import ENDPOINTS

# How long a story lasts, from one trouble to the next, from one look to the next, how old a copy
# is, and how soon a word of an endpoint is known, in seconds.
STORY_S = 40.0
NEXT_S = (0.2, 2.0)
LOOK_S = 0.1
COPY_MAX_S = 20.0
KNOWN_S = 2.0
# An endpoint that leaves ends after so long, in seconds.
DRAIN_S = 4.0
LEFT = 3
# The node that the store turns away now and then.
CUT = "n8"
TROUBLES = {}


def trouble(function):
    TROUBLES[function.__name__] = function
    return function


class EntryStory:
    """One story; the same seed draws the same. ``faults`` says which node used what wrongly."""

    def __init__(self, seed):
        self.drawn = random.Random(seed)
        self.fleet = Fleet(FleetPlan(9, elects=True))
        self.live = {f"e{number}": -1e9 for number in range(self.fleet.plan.endpoints)}
        self.acked = {}
        self.leaving = set()
        self.withheld = set()
        self.copies = []
        self.back_at = -1e9
        self.faults = []
        self.told = []

    def play(self):
        fleet = self.fleet
        fleet.run(9.0)
        end = fleet.now + STORY_S
        while fleet.now < end and not self.faults:
            self.copies.append((fleet.now, fleet.store.copy()))
            self.look(self.drawn.uniform(*NEXT_S))
            if fleet.store.away:
                continue
            name = self.drawn.choice(sorted(TROUBLES))
            with fleet.running():
                self.told.append((round(fleet.now, 2), name, TROUBLES[name](self)))

    def look(self, seconds):
        for _ in range(round(seconds / LOOK_S)):
            self.fleet.run(LOOK_S)
            self.note_acked()
            for node in self.fleet.live():
                self.judge(node)

    def note_acked(self):
        store = self.fleet.store
        for name in self.leaving:
            row = store.get(ENDPOINTS, name)
            if not store.away and (row is None or row.value[0] == "leaving"):
                self.acked.setdefault(name, self.fleet.now)

    def judge(self, node):
        now = self.fleet.now
        known_at = max(self.back_at + AGAIN_S, -1e9) + KNOWN_S
        for name in self.leaving:
            used = not noticing.find_withheld(node.state, name)
            if not used:
                self.withheld.add((node.name, name))
            elif (node.name, name) in self.withheld:
                self.faults.append((now, node.name, name, "used again"))
            elif self.fleet.store.away or node.name == CUT:
                # Words are acknowledged by a stable store, for nodes that reach it.
                continue
            elif name in self.acked and now > max(self.acked[name] + KNOWN_S, known_at):
                self.faults.append((now, node.name, name, "not known to leave"))
        if node.name == CUT or self.fleet.store.away or now < known_at:
            return
        for name, since in self.live.items():
            if now > since + KNOWN_S and noticing.find_withheld(node.state, name):
                self.faults.append((now, node.name, name, "lives and is not used"))


@trouble
def leaves(story):
    staying = sorted(story.live)
    if len(staying) <= LEFT:
        return None
    fleet = story.fleet
    name = story.drawn.choice(staying)
    del story.live[name]
    story.leaving.add(name)
    fleet.write_entry(name, "leaving", "m", fleet.entry(name)[2])

    def end():
        if fleet.store.away:
            fleet.at(fleet.now + 1.0, end)
        else:
            fleet.remove_entry(name)

    fleet.at(fleet.now + DRAIN_S, end)
    return name


@trouble
def changes(story):
    name = story.drawn.choice(sorted(story.live))
    fleet = story.fleet
    fleet.write_entry(name, "live", story.drawn.choice("mno"), fleet.entry(name)[2])
    return name


@trouble
def comes(story):
    name = f"x{len(story.told)}"
    story.live[name] = story.fleet.now
    story.fleet.write_entry(name, "live", "m", 1)
    return name


@trouble
def starts_again(story):
    """Under the name that it had, with a later start."""
    fleet = story.fleet
    name = story.drawn.choice(sorted(story.live))
    born = fleet.entry(name)[2] + 5
    fleet.write_entry(name, "live", "m", born)
    return name, born


@trouble
def come_back(story):
    fleet = story.fleet
    kept = [(at, copy) for at, copy in story.copies if fleet.now - at <= COPY_MAX_S]
    at, copy = story.drawn.choice(kept)
    away = story.drawn.choice((0.0, 0.3, 2.5))

    def back():
        fleet.come_back(copy)
        story.back_at = fleet.now

    fleet.store.away = True
    fleet.at(fleet.now + away, back)
    return round(fleet.now - at, 2), away


@trouble
def cut(story):
    fleet = story.fleet
    fleet.cut_from_store.add(CUT)
    fleet.at(fleet.now + 3.0, lambda: fleet.cut_from_store.discard(CUT))
    return CUT
