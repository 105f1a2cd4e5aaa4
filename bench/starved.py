"""Who was asked for and never served, and what its endpoints did meanwhile, from printed logs.

    make bench B=starved ARGS="--log FILE"

A model or adapter counts once it was asked for ``ASKED_MIN`` times over ``SPAN_S`` seconds.
Orders at an endpoint go one after another, so whatever one of them takes the others wait.
"""

import argparse
import collections
import pathlib
import re
import statistics
import typing as t

from rookspring_ctl.timelines import LogLine
from rookspring_ctl.timelines import parse_line

from .registry import experiment
from .registry import report

ASKED_MIN = 4
SPAN_S = 8.0
# A stay shorter than this ended before a request could be sent there: nodes tell each other
# what their requests use every 0.4 s.
SHORT_STAY_S = 0.6
# An adapter's order takes some 30 ms; one that held up the next for longer is listed.
LONG_ORDER_S = 1.0


class Asked(t.NamedTuple):
    """One try for a model or adapter."""

    at: float
    answered: bool
    why: str


class Given(t.NamedTuple):
    """One answered order."""

    at: float
    endpoint: str
    action: str
    model: str
    adapter: str
    reason: str

    @property
    def name(self) -> str:
        """What it loads or unloads."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class Story(t.NamedTuple):
    """What a log tells of tries and orders."""

    tries: dict[str, list[Asked]]
    orders: list[Given]


def read_story(lines: t.Iterable[str]) -> Story:
    """Read tries and orders; lines that are no events are passed over."""
    tries: dict[str, list[Asked]] = {}
    orders = []
    for text in lines:
        line = parse_line(text)
        if line is None or line.at is None:
            continue
        if line.event == "request_ended" and line.fields.get("model"):
            fields = line.fields
            asked = Asked(line.at, fields["outcome"] == "answered", fields["why"])
            tries.setdefault(fields["adapter"] or fields["model"], []).append(asked)
        elif line.event == "order_answered":
            orders.append(_read_order(line, line.at))
    return Story(tries, orders)


def _read_order(line: LogLine, at: float) -> Given:
    fields = line.fields
    return Given(
        at,
        fields["endpoint"],
        fields["action"],
        fields["model"],
        fields["adapter"],
        fields["reason"],
    )


def list_starved(story: Story) -> list[dict[str, t.Any]]:
    """List what was asked for and never served, with the reasons its tries were given."""
    rows = []
    for name, tries in sorted(story.tries.items()):
        long = len(tries) >= ASKED_MIN and tries[-1].at - tries[0].at >= SPAN_S
        if not long or any(one.answered for one in tries):
            continue
        whys = collections.Counter(_name(one.why) for one in tries)
        loads = [one.at for one in story.orders if one.name == name and one.action == "load"]
        rows.append(
            {
                "name": name,
                "tries": len(tries),
                "from s": tries[0].at,
                "to s": tries[-1].at,
                "its loads": len(loads),
                "most often": whys.most_common(1)[0][0],
            }
        )
    return rows


def _name(why: str) -> str:
    """Name a reason without its figures and names."""
    text = re.sub(r"^\d+ (\w+): ", r"\1: ", why)
    return re.sub(r"(?<=: )\S+ is on none of \d+", "on none", text)[:60]


def list_stays(orders: t.Iterable[Given]) -> list[float]:
    """Give how long each adapter stayed that was unloaded, in seconds."""
    since: dict[tuple[str, str], float] = {}
    stays = []
    for one in orders:
        if not one.adapter:
            continue
        key = (one.endpoint, one.name)
        if one.action == "load":
            since.setdefault(key, one.at)
        elif key in since:
            stays.append(one.at - since.pop(key))
    return stays


def list_held_up(orders: t.Iterable[Given]) -> list[dict[str, t.Any]]:
    """List orders that others waited for: of models, or unloads of adapters that were in use."""
    last: dict[str, Given] = {}
    rows: list[dict[str, t.Any]] = []
    for one in orders:
        before = last.get(one.endpoint)
        last[one.endpoint] = one
        if before is None or not _holds_up(before, one):
            continue
        held_s = round(one.at - before.at, 2)
        if held_s >= LONG_ORDER_S:
            order = f"{before.action} {before.name}"
            row = {"endpoint": one.endpoint, "order": order, "at s": before.at, "for s": held_s}
            rows.append(row)
    return sorted(rows, key=lambda row: -row["for s"])


def _holds_up(order: Given, following: Given) -> bool:
    if order.adapter:
        return order.action == "unload" and order.reason != "done"
    return bool(following.adapter)


@experiment("starved")
def main(arguments: list[str]) -> int:
    """Print the tables; 1 where the log tells of no try."""
    parser = argparse.ArgumentParser(prog="starved", description=__doc__)
    parser.add_argument("--log", type=pathlib.Path, required=True, help="what the nodes printed")
    given = parser.parse_args(arguments)
    with given.log.open() as lines:
        story = read_story(lines)
    if not story.tries:
        print(f"--log: {given.log} tells of no try")
        return 1
    starved = list_starved(story)
    report("starved", f"{len(starved)} asked for and never served", starved)
    stays = list_stays(story.orders)
    median = statistics.median(stays) if stays else 0.0
    short = sum(1 for one in stays if one < SHORT_STAY_S)
    print(f"adapters unloaded: {len(stays)}, after less than {SHORT_STAY_S} s: {short}")
    print(f"median stay: {median:.3f} s")
    held_up = list_held_up(story.orders)
    report("held-up", "orders that held up others, the longest first", held_up)
    return 0
