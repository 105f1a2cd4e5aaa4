"""Starved models and adapters, and what their endpoints did meanwhile, from the nodes' logs.

    make bench B=starved ARGS="--log FILE"

Names, last shared parts of prompts and kinds of requests that were never served are told by
:mod:`never_served`, each beside what its rule allows; one that is broken is marked. An endpoint
executes its orders one at a time, so a slow order delays those after it.
"""

import argparse
import math
import pathlib
import re
import statistics
import typing as t

from rookspring_ctl.timelines import LogLine
from rookspring_ctl.timelines import parse_line

from .load_uses import CallerTry
from .load_uses import Load
from .load_uses import ModelAsk
from .load_uses import count_last_refusals
from .load_uses import count_uses
from .never_served import NAMES_BOUND
from .never_served import PARTS_BOUND
from .never_served import Caller
from .never_served import compare_kinds
from .never_served import group_callers
from .never_served import judge_starving
from .never_served import list_never_served
from .never_served import list_refused_again
from .never_served import name_of
from .never_served import part_of
from .never_served import read_callers
from .registry import experiment
from .registry import report

# An adapter that was unloaded sooner was gone before a request could be sent to it: nodes exchange
# what their requests use every 0.4 s.
SHORT_ATTACHMENT_S = 0.6
# An order for an adapter takes some 30 ms; orders that delayed the next by this long are listed.
LONG_ORDER_S = 1.0


class ModelRequest(t.NamedTuple):
    """One ended request for a model or adapter."""

    at: float
    answered: bool
    why: str


class AnsweredOrder(t.NamedTuple):
    """One order that its endpoint answered."""

    at: float
    endpoint: str
    action: str
    model: str
    adapter: str
    reason: str
    taken: bool = True

    @property
    def name(self) -> str:
        """The model, or model/adapter, that the order loads or unloads."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class ServingHistory(t.NamedTuple):
    """Requests by model or adapter and by caller, and the answered orders, of a log."""

    requests: dict[str, list[ModelRequest]]
    orders: list[AnsweredOrder]
    tries: dict[tuple[str, str], list[CallerTry]]


def read_lines(lines: t.Iterable[str]) -> list[LogLine]:
    """Read the events of a log; other lines are skipped."""
    parsed = (parse_line(text) for text in lines)
    return [line for line in parsed if line is not None and line.at is not None]


def read_history(lines: t.Iterable[LogLine]) -> ServingHistory:
    """Read the requests for models, and the orders."""
    requests: dict[str, list[ModelRequest]] = {}
    orders = []
    tries: dict[tuple[str, str], list[CallerTry]] = {}
    for line in lines:
        if line.at is None:
            continue
        if line.event == "request_ended" and line.fields.get("model"):
            fields = line.fields
            request = ModelRequest(line.at, fields["outcome"] == "answered", fields["why"])
            requests.setdefault(fields["adapter"] or fields["model"], []).append(request)
            if not fields["adapter"]:
                caller = (fields["model"], fields["fingerprint"])
                tries.setdefault(caller, []).append(_read_try(request))
        elif line.event == "order_answered":
            orders.append(_read_order(line, line.at))
    return ServingHistory(requests, orders, tries)


def _read_try(request: ModelRequest) -> CallerTry:
    announced = re.search(r"announced at \S+ in ([\d.]+) s", request.why)
    left = re.search(r"([\d.]+) s left", request.why)
    return CallerTry(
        request.at,
        request.answered,
        "absent: " in request.why,
        float(announced[1]) if announced else math.inf,
        float(left[1]) if left else 0.0,
    )


def _read_order(line: LogLine, at: float) -> AnsweredOrder:
    fields = line.fields
    return AnsweredOrder(
        at,
        fields["endpoint"],
        fields["action"],
        fields["model"],
        fields["adapter"],
        fields["reason"],
        fields.get("taken") == "True",
    )


def list_attachment_times(orders: t.Iterable[AnsweredOrder]) -> list[float]:
    """Return how long each unloaded adapter had been attached, in seconds."""
    since: dict[tuple[str, str], float] = {}
    attachment_times = []
    for one in orders:
        if not one.adapter:
            continue
        key = (one.endpoint, one.name)
        if one.action == "load":
            since.setdefault(key, one.at)
        elif key in since:
            attachment_times.append(one.at - since.pop(key))
    return attachment_times


def list_loads(orders: t.Sequence[AnsweredOrder]) -> list[Load]:
    """Return the models' loads since the start of traffic, each until its unload."""
    ends_at = max((one.at for one in orders), default=0.0)
    loads = []
    for number, one in enumerate(orders):
        if one.adapter or one.action != "load" or one.at < 0.0 or not one.taken:
            continue
        until = next(
            (
                later.at
                for later in orders[number + 1 :]
                if (later.endpoint, later.name, later.action) == (one.endpoint, one.name, "unload")
            ),
            ends_at,
        )
        loads.append(Load(one.at, one.name, until))
    return loads


def list_asks(history: ServingHistory) -> dict[str, list[ModelAsk]]:
    """Return the requests by model, without those for adapters."""
    return {
        name: [ModelAsk(one.at, one.answered, "absent: " in one.why) for one in requests]
        for name, requests in history.requests.items()
        if "/" not in name
    }


def list_blocking_orders(orders: t.Iterable[AnsweredOrder]) -> list[dict[str, t.Any]]:
    """List orders that delayed the next order at their endpoint by ``LONG_ORDER_S`` or more.

    Those are loads and unloads of models ahead of an order for an adapter, and unloads of
    adapters that were in use, which are answered with another reason than ``done``.
    """
    last: dict[str, AnsweredOrder] = {}
    rows: list[dict[str, t.Any]] = []
    for one in orders:
        previous = last.get(one.endpoint)
        last[one.endpoint] = one
        if previous is None or not _blocks_next(previous, one):
            continue
        held_s = round(one.at - previous.at, 2)
        if held_s >= LONG_ORDER_S:
            order = f"{previous.action} {previous.name}"
            row = {"endpoint": one.endpoint, "order": order, "at s": previous.at, "for s": held_s}
            rows.append(row)
    return sorted(rows, key=lambda row: -row["for s"])


def _blocks_next(order: AnsweredOrder, following: AnsweredOrder) -> bool:
    if order.adapter:
        return order.action == "unload" and order.reason != "done"
    return bool(following.adapter)


def report_never_served(callers: list[Caller]) -> None:
    """Print whom nobody served, by each of the three rules, and who came back in vain."""
    for what, key_of, bound in (
        ("names", name_of, NAMES_BOUND),
        ("last shared parts", part_of, PARTS_BOUND),
    ):
        groups = group_callers(callers, key_of)
        found = judge_starving(groups, bound)
        title = f"{what}: {found.never} of {found.asked} asked for throughout never served"
        title += f" (at most {found.most:.1f})" + (", BROKEN" if found.broken else "")
        print(title)
        report(f"starved-{what.replace(' ', '-')}", title, list_never_served(groups))
    report("starved-kinds", "kinds of requests, each beside all", compare_kinds(callers))
    rows = list_refused_again(callers)
    report("starved-again", "callers who came back and were served by no try", rows)


@experiment("starved")
def main(arguments: list[str]) -> int:
    """Print the tables; 1 if the log has no request for a model."""
    parser = argparse.ArgumentParser(prog="starved", description=__doc__)
    parser.add_argument(
        "--log", type=pathlib.Path, required=True, help="file with the output of the nodes"
    )
    args = parser.parse_args(arguments)
    with args.log.open() as texts:
        lines = read_lines(texts)
    history = read_history(lines)
    if not history.requests:
        print(f"--log: {args.log} has no ended request for a model")
        return 1
    report_never_served(read_callers(lines))
    attachment_times = list_attachment_times(history.orders)
    median = statistics.median(attachment_times) if attachment_times else 0.0
    short = sum(1 for one in attachment_times if one < SHORT_ATTACHMENT_S)
    print(
        f"adapters unloaded: {len(attachment_times)}, "
        f"after less than {SHORT_ATTACHMENT_S} s: {short}"
    )
    print(f"median stay: {median:.3f} s")
    uses = count_uses(list_asks(history), list_loads(history.orders))
    report("loads", "models' loads, and spells of refusals", [uses._asdict()])
    refusals = count_last_refusals(history.tries)
    report("refusals", "callers of absent models, by their last refusal", [refusals._asdict()])
    blocking = list_blocking_orders(history.orders)
    report("held-up", "orders that held up others, the longest first", blocking)
    return 0
