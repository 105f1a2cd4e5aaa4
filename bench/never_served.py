"""Whom nobody served, from the nodes' logs: names, last shared parts, and kinds of requests.

A caller is one request of a client with all its tries, which bring the same fingerprint. What is
asked for by ``CALLERS_MIN`` callers or more, who came over ``SPAN_S`` seconds or more, is never
served if none of them was answered. Sources of the bounds: the users' rules on starved callers.
"""

import collections
import re
import typing as t

from rookspring_ctl.timelines import LogLine

CALLERS_MIN = 4
SPAN_S = 8.0
# Never served, at most: a number and a share of those asked for, by what is asked for.
NAMES_BOUND = (1.0, 0.10)
PARTS_BOUND = (2.0, 0.04)
# And at most this many times what chance would give.
CHANCE_TIMES = 3.0
# A kind served less often than this share of how often all requests are.
KIND_SHARE_MIN = 0.25


class Try(t.NamedTuple):
    """One ended request.

    :param arrived_at: when its node had read it, in seconds.
    :param told_s: after which its caller was told to come back; 0 if it was told no time.
    """

    arrived_at: float
    ended_at: float
    answered: bool
    why: str
    told_s: float


class Caller(t.NamedTuple):
    """One client's request, with all its tries in their order.

    :param part: the last shared part of its prompt; empty if it has none.
    """

    kind: str
    name: str
    part: str
    tries: list[Try]

    @property
    def came_at(self) -> float:
        """When its first try arrived, in seconds."""
        return self.tries[0].arrived_at

    @property
    def served(self) -> bool:
        """Whether one of its tries was answered."""
        return any(one.answered for one in self.tries)

    @property
    def failed_there(self) -> bool:
        """Whether no try was answered, and the last one failed at its endpoint."""
        return not self.served and " endpoint_failed: " in self.tries[-1].why


class Starving(t.NamedTuple):
    """What is asked for throughout, and what of it is never served.

    :param chance: how many would be never served if each caller were as likely to be.
    :param most: how many the rule allows.
    """

    asked: int
    never: int
    chance: float
    most: float

    @property
    def broken(self) -> bool:
        """Whether more are never served than the rule allows."""
        return self.never > self.most


def read_callers(lines: t.Iterable[LogLine]) -> list[Caller]:
    """Read the callers whose requests ended, by the time at which they came."""
    callers: dict[tuple[str, ...], Caller] = {}
    for line in lines:
        if line.event != "request_ended" or line.at is None:
            continue
        fields = line.fields
        name = fields.get("adapter") or fields.get("model", "")
        part = fields.get("part", "")
        # Requests without a prompt may be alike, so each of them is a caller by itself.
        same = fields["fingerprint"] if name else f"{line.node}/{fields['key']}"
        key = (fields["route"], name, part, same)
        caller = callers.setdefault(key, Caller(fields["route"], name, part, []))
        caller.tries.append(_read_try(line, line.at))
    for caller in callers.values():
        caller.tries.sort()
    return sorted(callers.values(), key=lambda caller: caller.came_at)


def _read_try(line: LogLine, at: float) -> Try:
    told = re.search(r"told ([\d.]+) s", line.fields["why"])
    return Try(
        at - float(line.fields["took_s"]),
        at,
        line.fields["outcome"] == "answered",
        line.fields["why"],
        float(told[1]) if told else 0.0,
    )


def group_callers(
    callers: t.Iterable[Caller], key_of: t.Callable[[Caller], str]
) -> dict[str, list[Caller]]:
    """Group callers by what they ask for; those for whom that is empty are left out."""
    groups: dict[str, list[Caller]] = {}
    for caller in callers:
        if key_of(caller):
            groups.setdefault(key_of(caller), []).append(caller)
    return groups


def name_of(caller: Caller) -> str:
    """Return the adapter or model that a caller asks for."""
    return caller.name


def part_of(caller: Caller) -> str:
    """Return the last shared part of a caller's prompt, with its kind of request."""
    return f"{caller.kind}/{caller.part}" if caller.part else ""


def is_asked_throughout(callers: t.Sequence[Caller]) -> bool:
    """Return whether enough callers asked for something, over a time that is long enough."""
    return len(callers) >= CALLERS_MIN and callers[-1].came_at - callers[0].came_at >= SPAN_S


def judge_starving(groups: t.Mapping[str, list[Caller]], bound: tuple[float, float]) -> Starving:
    """Count what was never served, beside what the rule allows.

    :param bound: a number and a share of what is asked for.
    """
    asked = [group for group in groups.values() if is_asked_throughout(group)]
    never = sum(1 for group in asked if not any(caller.served for caller in group))
    everybody = [caller for group in groups.values() for caller in group]
    lost = sum(1 for caller in everybody if not caller.served) / max(1, len(everybody))
    chance = sum(lost ** len(group) for group in asked)
    most = max(bound[0] + bound[1] * len(asked), CHANCE_TIMES * chance)
    return Starving(len(asked), never, chance, most)


def list_never_served(groups: t.Mapping[str, list[Caller]]) -> list[dict[str, t.Any]]:
    """List what was never served, with the reason of most of its tries."""
    rows = []
    for name, group in sorted(groups.items()):
        if not is_asked_throughout(group) or any(caller.served for caller in group):
            continue
        tries = [one for caller in group for one in caller.tries]
        reasons = collections.Counter(generalise_reason(one.why) for one in tries)
        rows.append(
            {
                "name": name,
                "callers": len(group),
                "tries": len(tries),
                "from s": group[0].came_at,
                "to s": max(one.ended_at for one in tries),
                "most often": reasons.most_common(1)[0][0],
            }
        )
    return rows


def generalise_reason(why: str) -> str:
    """Return a reason without figures and names, so that equal causes are counted together."""
    text = re.sub(r"^\d+ (\w+): ", r"\1: ", why)
    text = re.sub(r"; told [\d.]+ s of [\d.]+ s$", "", text)
    text = re.sub(r"(?<=: )\S+ is on none of \d+ endpoints( of [^\s;]+)?", "on none", text)
    text = re.sub(r"announced at \S+ in [\d.]+ s", "announced", text)
    text = re.sub(r"; [\d.]+ s left$", "", text)
    text = re.sub(r"(least loaded of \d+ endpoints).*", r"\1", text)
    return re.sub(r"\d[\d.]*", "N", text)[:60]


def compare_kinds(callers: t.Sequence[Caller]) -> list[dict[str, t.Any]]:
    """Compare how often each kind of request is served with how often all are."""
    served = sum(1 for caller in callers if caller.served) / max(1, len(callers))
    rows = []
    for kind, group in sorted(group_callers(callers, lambda caller: caller.kind).items()):
        own = sum(1 for caller in group if caller.served) / len(group)
        share = own / served if served else 0.0
        rows.append(
            {
                "kind": kind,
                "callers": len(group),
                "served": own,
                "share of all": share,
                "starved": share < KIND_SHARE_MIN,
                "failed there": sum(1 for caller in group if caller.failed_there),
                "refused again": sum(1 for caller in group if is_refused_again(caller)),
                "passed": sum(1 for caller in group if _is_passed(caller, group)),
            }
        )
    return rows


def is_refused_again(caller: Caller) -> bool:
    """Return whether a caller came back once or more and was served by no try."""
    return len(caller.tries) > 1 and not caller.served


def _is_passed(caller: Caller, others: t.Iterable[Caller]) -> bool:
    """Return whether who came later for the same name was answered before this one's last try.

    :param others: callers of the same kind.
    """
    if caller.served or not caller.name:
        return False
    last_at = caller.tries[-1].ended_at
    return any(
        other.name == caller.name
        and other.came_at > caller.came_at
        and any(one.answered and one.arrived_at < last_at for one in other.tries)
        for other in others
    )


def list_refused_again(callers: t.Iterable[Caller]) -> list[dict[str, t.Any]]:
    """Count the callers who came back and were served by no try, by kind and by their reasons."""
    groups: dict[tuple[str, str, str], list[Caller]] = {}
    for caller in callers:
        if is_refused_again(caller):
            first, last = caller.tries[0], caller.tries[-1]
            key = (caller.kind, generalise_reason(first.why), generalise_reason(last.why))
            groups.setdefault(key, []).append(caller)
    rows = [
        {
            "kind": kind,
            "first": first,
            "last": last,
            "callers": len(group),
            "told s": sum(caller.tries[0].told_s for caller in group) / len(group),
        }
        for (kind, first, last), group in groups.items()
    ]
    return sorted(rows, key=lambda row: -int(row["callers"]))
