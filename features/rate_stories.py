"""Random runs of a fleet whose endpoints announce rate limits, mixed with other notices and faults.

Limits fall, rise, end and return, while nodes and the store fail, entries expire and processes
end. Arrivals are counted as users count them: over any four seconds in which a process announced
a limit throughout, from nodes that had received it at least half a second before.
"""

from notice_stories import TROUBLES
from notice_stories import NoticeStory
from notice_stories import some
from rate_counts import BEGINS_S
from rate_counts import TOLD_S
from rate_counts import borne
from rate_counts import most_in_window

RATE_TROUBLES = {}


def trouble(name):
    def register(begin):
        RATE_TROUBLES[name] = begin
        return begin

    return register


@trouble("an endpoint announces a limit")
def announces(story):
    story.set_rate(some(story), story.drawn.choice((0.2, 1.4, 3.0)))


@trouble("an endpoint announces a limit, and it falls and rises")
def falls_and_rises(story):
    name = some(story)
    start = story.runners.restart_count(name)

    def change(rate):
        if story.runners.restart_count(name) == start:
            story.set_rate(name, rate)

    story.set_rate(name, 4.0)
    story.fleet.at(story.fleet.now + 2.0, lambda: change(0.5))
    story.fleet.at(story.fleet.now + 6.0, lambda: change(4.0))


@trouble("an endpoint announces and ends a limit in turn")
def alternates(story):
    name = some(story)
    start = story.runners.restart_count(name)

    def change(rate):
        if story.runners.restart_count(name) == start:
            story.set_rate(name, rate)

    for step in range(4):
        rate = 1.0 if step % 2 == 0 else None
        story.fleet.at(story.fleet.now + 1.5 * step, lambda rate=rate: change(rate))


@trouble("all endpoints announce a limit")
def all_announce(story):
    for number in range(story.fleet.plan.endpoints):
        story.set_rate(f"e{number}", 2.0)


@trouble("all limits end")
def all_end(story):
    for number in range(story.fleet.plan.endpoints):
        if f"e{number}" in story.runners.rates:
            story.set_rate(f"e{number}", None)


class RateStory(NoticeStory):
    """A run with the limits that each process announced, and when they changed."""

    troubles = {**TROUBLES, **RATE_TROUBLES}

    def __init__(self, nodes, seed):
        super().__init__(nodes, seed)
        # By process: when its limit changed, and to what; None if it ended.
        self.named = {}

    def set_rate(self, name, rate):
        if rate is None:
            self.runners.rates.pop(name, None)
        else:
            self.runners.rates[name] = rate
        rows = self.named.setdefault((name, self.runners.restart_count(name)), [])
        rows.append((self.fleet.now, rate))

    def periods(self):
        """List the periods in which a process announced limits throughout, with the highest."""
        for process, rows in self.named.items():
            began, highest = None, 0.0
            for at, rate in [*rows, (self.fleet.now, None)]:
                if rate is None and began is not None:
                    yield process, began, at, highest
                    began, highest = None, 0.0
                elif rate is not None:
                    began = at if began is None else began
                    highest = max(highest, rate)

    def rate_faults(self):
        """List the periods in which a process got more than users tolerate."""
        found = []
        for (name, start), began, ended, highest in self.periods():
            told = {}
            for word in self.runners.received_notices:
                if (word.endpoint, word.start) != (name, start) or word.notice.rate is None:
                    continue
                if began <= word.at:
                    told.setdefault(word.node, word.at)
            first = min(told.values(), default=ended)
            moments = [
                one.at
                for one in self.runners.arrivals
                if (one.endpoint, one.start) == (name, start)
                and first + BEGINS_S <= one.at <= ended
                and self._counts(one, told)
            ]
            if most_in_window(moments) > borne(highest):
                found.append((name, start, began, highest, most_in_window(moments)))
        return found

    def _counts(self, one, told):
        """Return whether an arrival is from a node that knew the limit and has not frozen since."""
        node = self.fleet.nodes[one.node]
        heard_at = told.get(node)
        if heard_at is None or one.at < heard_at + TOLD_S:
            return False
        return self.stood_still.get(one.node, -1.0) < heard_at
