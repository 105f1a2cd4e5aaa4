"""Where tries were lost, from the nodes' printed logs: by reason, route and moment.

    make bench B=losses ARGS="--log FILE [--window-s 2]"

A try is lost when it ended without an answer, and late when its first event or a pause
of its stream took longer than its route's objective. Each one counts once, by the first
thing that made it so.
"""

import argparse
import collections
import pathlib
import re
import typing as t

from rookspring_ctl.timelines import LogLine
from rookspring_ctl.timelines import parse_line

from .registry import experiment
from .registry import report

# A wait at the node from this part of the objective on is what made an answer late.
WAITED_SHARE = 0.5
# Below this load a runner has places, so that what it refused for lies in its prompts.
ROOMY_LOAD = 0.5


class Try(t.NamedTuple):
    """One try of a caller, as the nodes' logs tell it."""

    at: float
    route: str
    model: str
    reason: str


def read_tries(lines: t.Iterable[str]) -> list[Try]:
    """Read the tries of a log; lines that are no events are passed over."""
    waited: dict[tuple[str, str], float] = {}
    resent: set[tuple[str, str]] = set()
    tries = []
    for text in lines:
        line = parse_line(text)
        if line is None or line.at is None:
            continue
        key = (line.node, line.fields.get("key", ""))
        if line.event == "attempt_began":
            if key in waited:
                resent.add(key)
            waited.setdefault(key, float(line.fields["waited_s"]))
        elif line.event == "request_ended":
            reason = judge(line, waited.get(key, 0.0), key in resent)
            fields = line.fields
            tries.append(Try(line.at, fields["route"], fields["model"], reason))
    return tries


def judge(line: LogLine, waited_s: float, resent: bool) -> str:
    """Say what became of a try: ``in time``, ``late: …``, ``refused: …`` or ``lost: …``.

    :param waited_s: at the node, before its first attempt.
    :param resent: it was sent to more than one endpoint.
    """
    fields = line.fields
    outcome = fields["outcome"]
    if outcome == "left":
        return "left by its caller"
    if outcome == "answered":
        return _judge_answer(fields, waited_s, resent)
    kind = "refused" if outcome == "refused-not_run" else "lost"
    return f"{kind}: {_name(fields['why'])}"


def _judge_answer(fields: t.Mapping[str, str], waited_s: float, resent: bool) -> str:
    objective_s = float(fields["objective_s"])
    first_s = float(fields["first_s"])
    bears_s = float(fields["bears_s"])
    if first_s > objective_s:
        if resent:
            return "late: sent again"
        waited = waited_s > objective_s * WAITED_SHARE
        return "late: waited here" if waited else "late: its endpoint took long"
    if 0.0 < bears_s < float(fields["pause_s"]):
        return "late: a pause in the stream"
    return "in time"


def _name(why: str) -> str:
    """Name a reason without its models, endpoints and figures."""
    no_room = re.search(r"least loaded of (\d+) endpoints is at ([\d.]+)", why)
    if no_room:
        single = "its one endpoint" if no_room[1] == "1" else "all its endpoints"
        full = "full" if float(no_room[2]) > ROOMY_LOAD else "with prompts to read"
        return f"no room, {single} {full}"
    absent = re.search(r"absent: (\S+) is on none", why)
    if absent:
        return "its adapter is attached nowhere" if "/" in absent[1] else "its model is nowhere"
    return re.sub(r"^\d+ ", "", why)


def summarise(tries: list[Try], part: t.Callable[[Try], str], name: str) -> list[dict[str, t.Any]]:
    """Count tries by a part of them and by reason, the parts with the most lost first."""
    counts: dict[str, collections.Counter[str]] = {}
    for one in tries:
        counts.setdefault(part(one), collections.Counter())[one.reason.partition(":")[0]] += 1
    columns = ("in time", "late", "refused", "lost", "left by its caller")
    rows = []
    for key, found in counts.items():
        rows.append({name: key, "tries": found.total(), **{one: found[one] for one in columns}})
    return sorted(rows, key=lambda row: row["in time"] - row["tries"])


def list_reasons(tries: list[Try]) -> list[dict[str, t.Any]]:
    """Count tries by reason, with the model that each befell most."""
    rows = []
    for reason, number in collections.Counter(one.reason for one in tries).most_common():
        models = collections.Counter(one.model for one in tries if one.reason == reason)
        model, most = models.most_common(1)[0]
        rows.append({"reason": reason, "tries": number, "most of": model or "-", "its tries": most})
    return rows


@experiment("losses")
def main(arguments: list[str]) -> int:
    """Print the tables; 1 where the log tells of no try."""
    parser = argparse.ArgumentParser(prog="losses", description=__doc__)
    parser.add_argument("--log", type=pathlib.Path, required=True, help="what the nodes printed")
    parser.add_argument("--window-s", type=float, default=2.0)
    given = parser.parse_args(arguments)
    with given.log.open() as lines:
        tries = read_tries(lines)
    if not tries:
        print(f"--log: {given.log} tells of no try")
        return 1
    window_s = given.window_s
    report("losses-reasons", f"{len(tries)} tries by reason", list_reasons(tries))
    by_route = summarise(tries, lambda one: one.route, "route")
    report("losses-routes", "tries by route", by_route)
    by_window = summarise(tries, lambda one: f"{one.at // window_s * window_s:g}", "from second")
    report("losses-windows", "tries by window, the worst first", by_window)
    return 0
