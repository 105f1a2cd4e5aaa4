"""Late, refused and lost requests from the nodes' logs, by reason, route and time window.

    make bench B=losses ARGS="--log FILE [--window-s 2]"

A request is refused if it was not run, and lost if it ended otherwise without an answer. It is
late if its first event took longer than its route's objective, or if its stream paused for longer
than the route allows. Each request counts once, by the first cause that applies. The tables call
requests tries.
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

# A late answer is attributed to the wait at the node if that took more than this share of the
# objective.
LATE_WAIT_SHARE = 0.5
# Up to this load a runner has free slots, so it had no room because of prompts still to be read.
FREE_SLOTS_LOAD_MAX = 0.5


class EndedRequest(t.NamedTuple):
    """One ended request.

    :param reason: a result of :func:`classify_request`.
    """

    at: float
    route: str
    model: str
    reason: str


def read_requests(lines: t.Iterable[str]) -> list[EndedRequest]:
    """Read the ended requests of a log; lines that are not events are skipped."""
    waited: dict[tuple[str, str], float] = {}
    resent: set[tuple[str, str]] = set()
    requests = []
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
            reason = classify_request(line, waited.get(key, 0.0), key in resent)
            fields = line.fields
            requests.append(EndedRequest(line.at, fields["route"], fields["model"], reason))
    return requests


def classify_request(line: LogLine, waited_s: float, resent: bool) -> str:
    """Return ``in time``, ``late: …``, ``refused: …``, ``lost: …`` or ``left by its caller``.

    :param waited_s: wait at the node before the first attempt, in seconds.
    :param resent: whether the request had more than one attempt.
    """
    fields = line.fields
    outcome = fields["outcome"]
    if outcome == "left":
        return "left by its caller"
    if outcome == "answered":
        return _classify_answer(fields, waited_s, resent)
    kind = "refused" if outcome == "refused-not_run" else "lost"
    return f"{kind}: {_generalise_reason(fields['why'])}"


def _classify_answer(fields: t.Mapping[str, str], waited_s: float, resent: bool) -> str:
    objective_s = float(fields["objective_s"])
    first_s = float(fields["first_s"])
    max_pause_s = float(fields["bears_s"])
    if first_s > objective_s:
        if resent:
            return "late: sent again"
        waited = waited_s > objective_s * LATE_WAIT_SHARE
        return "late: waited here" if waited else "late: its endpoint took long"
    if 0.0 < max_pause_s < float(fields["pause_s"]):
        return "late: a pause in the stream"
    return "in time"


def _generalise_reason(why: str) -> str:
    """Return a reason without names and figures, so that equal causes are counted together."""
    why = re.sub(r"; told [\d.]+ s of [\d.]+ s$", "", why)
    no_room = re.search(r"least loaded of (\d+) endpoints is at ([\d.]+)", why)
    if no_room:
        subject = "its one endpoint" if no_room[1] == "1" else "all its endpoints"
        state = "full" if float(no_room[2]) > FREE_SLOTS_LOAD_MAX else "with prompts to read"
        return f"no room, {subject} {state}"
    absent = re.search(r"absent: (\S+) is on none", why)
    if absent:
        return "its adapter is attached nowhere" if "/" in absent[1] else "its model is nowhere"
    return re.sub(r"^\d+ ", "", why)


def summarise(
    requests: list[EndedRequest], key_of: t.Callable[[EndedRequest], str], name: str
) -> list[dict[str, t.Any]]:
    """Count requests by a key and by result; the key with the most not in time comes first."""
    counts: dict[str, collections.Counter[str]] = {}
    for one in requests:
        counts.setdefault(key_of(one), collections.Counter())[one.reason.partition(":")[0]] += 1
    columns = ("in time", "late", "refused", "lost", "left by its caller")
    rows = []
    for key, counter in counts.items():
        rows.append({name: key, "tries": counter.total(), **{one: counter[one] for one in columns}})
    return sorted(rows, key=lambda row: row["in time"] - row["tries"])


def list_reasons(requests: list[EndedRequest]) -> list[dict[str, t.Any]]:
    """Count requests by reason, with the model that had the most of each."""
    rows = []
    for reason, number in collections.Counter(one.reason for one in requests).most_common():
        models = collections.Counter(one.model for one in requests if one.reason == reason)
        model, most = models.most_common(1)[0]
        rows.append({"reason": reason, "tries": number, "most of": model or "-", "its tries": most})
    return rows


@experiment("losses")
def main(arguments: list[str]) -> int:
    """Print the tables; 1 if the log has no ended request."""
    parser = argparse.ArgumentParser(prog="losses", description=__doc__)
    parser.add_argument(
        "--log", type=pathlib.Path, required=True, help="file with the output of the nodes"
    )
    parser.add_argument("--window-s", type=float, default=2.0)
    args = parser.parse_args(arguments)
    with args.log.open() as lines:
        requests = read_requests(lines)
    if not requests:
        print(f"--log: {args.log} has no ended request")
        return 1
    window_s = args.window_s
    report("losses-reasons", f"{len(requests)} tries by reason", list_reasons(requests))
    by_route = summarise(requests, lambda one: one.route, "route")
    report("losses-routes", "tries by route", by_route)
    by_window = summarise(requests, lambda one: f"{one.at // window_s * window_s:g}", "from second")
    report("losses-windows", "tries by window, the worst first", by_window)
    return 0
