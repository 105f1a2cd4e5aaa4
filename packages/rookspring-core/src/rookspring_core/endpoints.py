"""What a node knows of each endpoint: lagging reports plus its own in-flight work.

A report is old when it comes. Work that this node started after the report was
made is not in it, so the load estimate adds that back; see ``docs/design/routing.md``.
"""

import typing as t

from . import defaults
from . import notices
from .events import EndpointReported


class PeersWork:
    """What the other nodes say that they have in flight, by endpoint.

    ``at`` is the time of the oldest heartbeat in the sums, worked out at ticks.
    """

    __slots__ = ("_heard", "_prompts", "_rows", "at", "counts")

    def __init__(self) -> None:
        self._prompts: dict[str, dict[str, int]] = {}
        self._rows: dict[str, tuple[tuple[str, int], ...]] = {}
        self._heard: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self.at = -1e9

    def replace(self, peer: str, rows: tuple[tuple[str, int], ...], at: float) -> None:
        """Take a node's rows in place of its last ones, at the cost of these alone."""
        for endpoint, count in self._rows.pop(peer, ()):
            self.counts[endpoint] = self.counts.get(endpoint, 0) - count
        for endpoint, count in rows:
            self.counts[endpoint] = self.counts.get(endpoint, 0) + count
        if rows:
            self._rows[peer] = rows
        self._heard[peer] = at

    def settle(self) -> None:
        """Work out the time of the oldest heartbeat in the sums."""
        self.at = min(self._heard.values(), default=-1e9)

    def forget(self, peer: str) -> None:
        """Forget a node that has gone, or whose work comes in another's sums."""
        self.replace(peer, (), 0.0)
        del self._heard[peer]
        for rows in self._prompts.values():
            rows.pop(peer, None)

    def without(self, peer: str) -> dict[str, int]:
        """Give the sums of requests in flight by endpoint, less those of one node."""
        sums = dict(self.counts)
        for endpoint, count in self._rows.get(peer, ()):
            sums[endpoint] -= count
        return sums

    def of(self, peers: t.Iterable[str]) -> dict[str, int]:
        """Give the sums of requests in flight by endpoint over some nodes."""
        sums: dict[str, int] = {}
        for peer in peers:
            for endpoint, count in self._rows.get(peer, ()):
                sums[endpoint] = sums.get(endpoint, 0) + count
        return sums

    def prompts_of(self, endpoint: str, peers: t.Container[str]) -> int:
        """Give the prompt tokens that an endpoint is to read of some nodes' requests."""
        rows = self._prompts.get(endpoint, {})
        return sum(tokens for peer, tokens in rows.items() if peer in peers)

    def set_prompts(self, peer: str, endpoint: str, tokens: int) -> None:
        """Take how many prompt tokens of a node's requests an endpoint is still to read."""
        self._prompts.setdefault(endpoint, {})[peer] = tokens

    def replace_prompts(self, peer: str, rows: tuple[tuple[str, int], ...]) -> None:
        """Take all that a node says of unread prompts; what it does not name is read."""
        for told in self._prompts.values():
            told.pop(peer, None)
        for endpoint, tokens in rows:
            self.set_prompts(peer, endpoint, tokens)

    def prompts(self, endpoint: str) -> int:
        """Give the prompt tokens of other nodes' requests that an endpoint is to read."""
        return sum(self._prompts.get(endpoint, {}).values())


class EndpointView:
    """One endpoint as this node sees it. Times are of the node's monotonic clock."""

    __slots__ = (
        "address",
        "began_at",
        "born",
        "came",
        "coming",
        "data_centre",
        "doubted_born",
        "down",
        "ejected_until",
        "ended",
        "failures",
        "gone",
        "heard_at",
        "inflight",
        "leaving",
        "load_told",
        "name",
        "others",
        "prefixes",
        "peers",
        "probing",
        "prompts",
        "rate",
        "report",
        "reported_at",
        "resident",
        "rest_until",
        "role",
        "service",
        "shed_until",
        "turn_at",
    )

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        role: str = "runner",
        service: str = "",
        peers: PeersWork | None = None,
        born: int = 0,
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.role = role
        self.service = service
        # Its start as the list tells it, until a report does.
        self.born = born
        self.report: EndpointReported | None = None
        self.reported_at = -1e9
        # Adapters that were attached there of late, and when this node learnt so.
        self.came: dict[str, float] = {}
        self.leaving = False
        self.gone = False
        # Until when it wants nothing from this node; see :mod:`notices`.
        self.rest_until = -1e9
        # Until when it counts as fuller than it looks, since it turned another node's request away.
        self.shed_until = -1e9
        # The requests a second that it takes from all nodes; None where it names none. And from
        # when on this node asks for a turn there, where others hold the same.
        self.rate: float | None = None
        self.turn_at = -1e9
        # Whether nothing listened there when it was last tried.
        self.down = False
        # The model that is being loaded there, and when it is expected to be there.
        self.coming = ("", -1e9)
        # When this node learnt that it had started again under its name.
        self.began_at = -1e9
        # An earlier start than the one known, which the endpoint told when it was asked last.
        self.doubted_born = 0
        self.failures = 0
        self.ejected_until = -1e9
        self.probing = False
        # When it last said anything to a request of this node.
        self.heard_at = -1e9
        self.inflight: dict[str, float] = {}
        self.ended: list[tuple[float, float]] = []
        self.others = 0
        # Whether the report at hand tells how many requests run and wait there.
        self.load_told = True
        self.peers = peers or PeersWork()
        self.resident: frozenset[str] = frozenset()
        self.prefixes: dict[int, float] = {}
        # Prompt tokens of this node's requests that have not begun to answer.
        self.prompts: dict[str, int] = {}

    def begin_life(self, now: float) -> None:
        """Forget what was known of the process that ended; its requests end by themselves."""
        self.began_at = now
        self.report = None
        self.reported_at = -1e9
        self.came.clear()
        self.resident = frozenset()
        self.leaving = False
        self.rest_until = -1e9
        self.shed_until = -1e9
        self.rate = None
        self.turn_at = -1e9
        self.down = False
        self.coming = ("", -1e9)
        self.doubted_born = 0
        self.failures = 0
        self.ejected_until = -1e9
        self.probing = False
        self.prefixes.clear()

    def take_report(self, report: EndpointReported) -> bool:
        """Keep a report if it is fresher than the one at hand.

        :return: whether it was kept.
        """
        made_at = report.at - report.age_s
        if made_at <= self.reported_at:
            return False
        if self.report is not None:
            self._note_came(self.report.adapters, report)
        self.report = report
        self.reported_at = made_at
        self.load_told = report.running != defaults.LOAD_UNTOLD
        self.resident = frozenset(model for model, _ in report.resident)
        # Leaving is sticky for one incarnation; only a restart takes it back.
        self.leaving = self.leaving or report.leaving
        own = sum(1 for start in self.inflight.values() if start <= made_at)
        own += sum(1 for start, end in self.ended if start <= made_at < end)
        self.ended = [(start, end) for start, end in self.ended if end > made_at]
        self.others = max(0, report.running + report.queued - own)
        return True

    def _note_came(self, before: t.Collection[str], report: EndpointReported) -> None:
        """Note which adapters a report names that were not there before."""
        for adapter in report.adapters:
            if adapter not in before:
                self.came[adapter] = report.at
        for adapter in [one for one in self.came if one not in report.adapters]:
            del self.came[adapter]

    def first_calls(self, now: float) -> list[str]:
        """Name the adapters that were attached for callers who may not have used them yet."""
        return [one for one, at in self.came.items() if now - at < defaults.FIRST_CALL_S]

    def load(self, now: float) -> float:
        """Estimate requests running or queued there, per slot (1.0 is full).

        This node's own part is exact at any report age. The other nodes' part is
        taken from the fresher of two sources: the endpoint's report, or what the
        nodes say in their heartbeats that they have in flight there.
        """
        shed = notices.SHED_LOAD if now < self.shed_until else 0.0
        return (len(self.inflight) + self._others(now)) / self.slots() + shed

    def _others(self, now: float) -> int:
        # A report without load says nothing of the others' work. Taken as "none", each one
        # hid it until all nodes had told it again, a part of every second.
        if self.peers.at > self.reported_at or not self.load_told:
            return self.peers.counts.get(self.name, 0)
        if now - self.reported_at > defaults.REPORT_STALE_S:
            return 0
        return self.others

    def slots(self) -> int:
        """Give how many requests run there at once."""
        return max(1, self.report.slots) if self.report else defaults.SLOTS_UNKNOWN

    def begin(self, request_id: str, now: float) -> None:
        """Count a request as in flight there."""
        self.inflight[request_id] = now
        if self.failures >= defaults.EJECT_AFTER_FAILURES:
            self.probing = True

    def end(self, request_id: str, now: float) -> None:
        """Count a request as no longer in flight there."""
        start = self.inflight.pop(request_id, None)
        self.prompts.pop(request_id, None)
        if start is not None:
            self.ended.append((start, now))
            # Without reports nothing else bounds this list.
            del self.ended[: -defaults.ENDED_MAX]
        self.probing = False

    def own_prompts(self) -> int:
        """Give the prompt tokens of this node's requests that are still to be read."""
        return sum(self.prompts.values())

    def unread(self) -> int:
        """Give all prompt tokens that are still to be read there, of any node's requests."""
        return self.own_prompts() + self.peers.prompts(self.name)

    def brings(self, model: str, now: float) -> float | None:
        """Give how soon a model under way is expected there, in seconds; None where it is not."""
        coming, at = self.coming
        if coming != model or now - at > defaults.COMING_LATE_S:
            return None
        return max(0.0, at - now)

    def serves(self, target: str, service: bool) -> bool:
        """Say whether the endpoint has the model resident, or is of the service."""
        if service:
            return self.role == "service" and self.service == target
        return target in self.resident

    def targets(self) -> frozenset[str]:
        """Name what requests may be sent here: resident models, or the service."""
        return self.resident if self.role == "runner" else frozenset((self.service,))

    def lacks(self, target: str, adapter: str) -> None:
        """Take back what a report said is here, since the endpoint itself denied it."""
        if self.report is None:
            return
        if adapter and adapter in self.report.adapters:
            adapters = tuple(one for one in self.report.adapters if one != adapter)
            self.report = self.report._replace(adapters=adapters)
            return
        kept = tuple(row for row in self.report.resident if row[0] != target)
        self.report = self.report._replace(resident=kept)
        self.resident = frozenset(model for model, _ in kept)

    def has_adapter(self, adapter: str) -> bool:
        """Say whether an adapter is attached there."""
        return self.report is not None and adapter in self.report.adapters

    def open_for_work(self, now: float) -> bool:
        """Say whether new work may go there: neither leaving, gone, at rest nor ejected."""
        if self.leaving or self.gone or self.rests(now) or self.returns(now):
            return False
        if now < self.ejected_until or self.silent(now):
            return False
        # After an ejection a single probe decides; others wait for it.
        return not (self.failures >= defaults.EJECT_AFTER_FAILURES and self.probing)

    def rests(self, now: float) -> bool:
        """Say whether it has asked this node for rest, which lasts."""
        return now < self.rest_until

    def returns(self, now: float) -> bool:
        """Say whether its rest is over and the first request since has no answer yet.

        One request tells whether it takes work again; were all sent that waited, it would
        have what it asked to be spared.
        """
        if self.rest_until < 0.0 or self.rests(now):
            return False
        return any(start >= self.rest_until for start in self.inflight.values())

    def answered(self, sent_at: float) -> None:
        """Take that it works on a request that was sent at a moment: a rest before is over."""
        if sent_at >= self.rest_until:
            self.rest_until = -1e9

    def silent(self, now: float) -> bool:
        """Say whether a model runner owes an answer and has said nothing for too long.

        A box without power, or behind a cut, says nothing at all, and what is sent
        there is lost for seconds. A service may work for long on one request, so its
        silence says nothing.
        """
        if self.role != "runner" or now - self.heard_at < defaults.SILENT_S:
            return False
        return any(now - start >= defaults.SILENT_S for start in self.inflight.values())

    def unreached(self, now: float) -> None:
        """No connection could be made: leave it alone for a moment, at once."""
        self.ejected_until = max(self.ejected_until, now + defaults.UNREACHED_EJECT_S)

    def found_down(self, now: float) -> bool:
        """Nothing listened there, so its process has ended: send nothing for a moment.

        :return: whether that is news.
        """
        news = self.listens(now)
        self.down = True
        self.unreached(now)
        return news

    def listens(self, now: float) -> bool:
        """Say whether something may listen there, as far as was found a moment ago."""
        return not self.down or now >= self.ejected_until

    def fail(self, now: float) -> None:
        """Count a failure, and eject the endpoint after several in a row."""
        self.failures += 1
        if self.failures >= defaults.EJECT_AFTER_FAILURES:
            self.ejected_until = now + defaults.EJECT_S

    def succeed(self, now: float) -> None:
        """Forget failures."""
        self.heard_at = now
        self.failures = 0
        self.down = False

    def hint(self, prefixes: t.Iterable[int], now: float) -> None:
        """Remember prefixes that the endpoint may hold, the oldest given up first."""
        for prefix in prefixes:
            self.prefixes.pop(prefix, None)
            self.prefixes[prefix] = now
        while len(self.prefixes) > defaults.CACHE_HINTS_MAX:
            del self.prefixes[next(iter(self.prefixes))]

    def may_hold(self, prefix: int, now: float) -> bool:
        """Say whether a hint for the prefix is at hand and young."""
        seen = self.prefixes.get(prefix)
        return seen is not None and now - seen < defaults.CACHE_HINT_LIFE_S
