"""A node's view of each endpoint: its lagging load reports, plus this node's in-flight requests.

A report is old when it arrives and lacks the requests that this node has sent since it was made,
so the load estimate adds them; see ``docs/design/routing.md``.
"""

import math
import typing as t

from . import defaults
from . import notices
from .events import EndpointReported
from .open_ends import OpenEnds
from .peer_loads import PeerLoad

# The version of a process that may have restarted since its version was listed.
UNKNOWN_VERSION = "?"


class EndpointView:
    """This node's view of one endpoint. Times are of the node's monotonic clock."""

    __slots__ = (
        "address",
        "restarted_at",
        "started_ms",
        "attached_at",
        "expected_model",
        "data_centre",
        "unverified_start",
        "listed_version",
        "version_doubted_at",
        "down",
        "told_down_at",
        "down_doubted_until",
        "ejected_until",
        "evacuated",
        "ended",
        "answer_ends",
        "ends_at",
        "failures",
        "gone",
        "responded_at",
        "progressed_at",
        "inflight",
        "copies",
        "copies_known",
        "copies_asked_at",
        "leaving",
        "left_at",
        "load_reported",
        "name",
        "open_ends",
        "others_inflight",
        "prefixes",
        "peers",
        "probing",
        "prompts",
        "rate",
        "report",
        "reported_at",
        "resident",
        "backoff_until",
        "role",
        "service",
        "shed_until",
        "speed",
        "next_permit_at",
        "owner_silent_until",
        "queue_known_until",
        "queue_wait_s",
    )

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        role: str = "runner",
        service: str = "",
        peers: PeerLoad | None = None,
        started_ms: int = 0,
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.role = role
        self.service = service
        # Start time of its process by the list, used until a report gives one.
        self.started_ms = started_ms
        # The version of its software by the list, empty if it states none, with the start time of
        # the process in that row; and since when that process may have ended.
        self.listed_version = ("", started_ms)
        self.version_doubted_at: float | None = None
        self.report: EndpointReported | None = None
        self.reported_at = -1e9
        # When this node learnt of each adapter that is newly attached there.
        self.attached_at: dict[str, float] = {}
        self.leaving = False
        # When this node learnt that it leaves; infinite if it doesn't.
        self.left_at = math.inf
        # When it ends at the latest, by the first to come of the times that it stated.
        self.ends_at = math.inf
        self.gone = False
        # Whether its data centre is evacuated; see :mod:`evacuations`. A restart doesn't end that.
        self.evacuated = False
        # When the back-off that it requested of this node ends; see :mod:`notices`.
        self.backoff_until = -1e9
        # Until when its load estimate is raised, since it refused another node's request.
        self.shed_until = -1e9
        # How fast it is relative to the other endpoints of its service; 1.0 while unknown.
        self.speed = 1.0
        # The requests per second that it accepts from all nodes; None if it states no rate.
        self.rate: float | None = None
        # Until when this node requests no permit there, if other endpoints have the same target.
        self.next_permit_at = -1e9
        # Until when this node knows of a queue for places there, and the wait that its owner
        # predicted last; and until when the owner is not asked, since it gave no answer.
        self.queue_known_until = -1e9
        self.queue_wait_s = 0.0
        self.owner_silent_until = -1e9
        # Whether its connection was refused when last tried, by this node or another; when another
        # told so last; and until when such messages are doubted, as it answers this node.
        self.down = False
        self.told_down_at = math.inf
        self.down_doubted_until = -1e9
        # The model that is being loaded there, and when its load is expected to end.
        self.expected_model = ("", -1e9)
        # When this node learnt that it had restarted under its name.
        self.restarted_at = -1e9
        # A start time earlier than the known one, which the endpoint reported when last read.
        self.unverified_start = 0
        self.failures = 0
        self.ejected_until = -1e9
        # The answers to this node's requests of which nothing showed the end.
        self.open_ends = OpenEnds()
        self.probing = False
        # When a request of this node last got anything from it.
        self.responded_at = -1e9
        # When the last event of a stream of this node came from it.
        self.progressed_at = -1e9
        self.inflight: dict[str, float] = {}
        # This node's requests whose runs it holds a copy of, or is to; each takes a slot there.
        self.copies: set[str] = set()
        # Whether its process has made or held a copy of a run, and when a first one was asked for.
        self.copies_known = False
        self.copies_asked_at = -1e9
        self.ended: list[tuple[float, float]] = []
        # When answers of this node's ended there lately, by request.
        self.answer_ends: dict[str, float] = {}
        self.others_inflight = 0
        # Whether the latest report gives the numbers of running and queued requests.
        self.load_reported = True
        self.peers = peers or PeerLoad()
        self.resident: frozenset[str] = frozenset()
        self.prefixes: dict[int, float] = {}
        # Prompt tokens of this node's requests that have not begun to produce a response.
        self.prompts: dict[str, int] = {}

    def reset_for_restart(self, now: float) -> None:
        """Drop the state of the process that ended; its requests in flight fail by themselves."""
        self.restarted_at = now
        self.copies_known = False
        self.copies_asked_at = -1e9
        self.report = None
        self.reported_at = -1e9
        self.attached_at.clear()
        self.resident = frozenset()
        self.leaving = False
        self.left_at = math.inf
        self.ends_at = math.inf
        self.backoff_until = -1e9
        self.shed_until = -1e9
        self.speed = 1.0
        self.rate = None
        self.next_permit_at = -1e9
        self.down = False
        self.told_down_at = math.inf
        self.down_doubted_until = -1e9
        self.expected_model = ("", -1e9)
        self.unverified_start = 0
        self.failures = 0
        self.ejected_until = -1e9
        self.open_ends.end_row()
        self.open_ends.note_stream(False, now)
        self.probing = False
        self.prefixes.clear()

    def take_report(self, report: EndpointReported) -> bool:
        """Apply a report if it was made later than the latest one.

        :return: whether it was applied.
        """
        made_at = report.at - report.age_s
        if report.ends_in_s is not None:
            self.ends_at = min(self.ends_at, made_at + report.ends_in_s)
        if made_at <= self.reported_at:
            return False
        if self.report is not None:
            self._update_attached_at(self.report.adapters, report)
        self.report = report
        self.reported_at = made_at
        if self.version_doubted_at is not None and made_at > self.version_doubted_at:
            self.version_doubted_at = None
        self.load_reported = report.running != defaults.LOAD_UNREPORTED
        self.resident = frozenset(model for model, _ in report.resident)
        # Leaving is sticky for one incarnation; only a restart clears it.
        self.leaving = self.leaving or report.leaving
        own = sum(1 for start in self.inflight.values() if start <= made_at)
        own += sum(1 for start, end in self.ended if start <= made_at < end)
        self.ended = [(start, end) for start, end in self.ended if end > made_at]
        self.others_inflight = max(0, report.running + report.queued - own)
        return True

    def _update_attached_at(self, before: t.Collection[str], report: EndpointReported) -> None:
        """Record when adapters appear in a report, and drop those that no longer do."""
        for adapter in report.adapters:
            if adapter not in before:
                self.attached_at[adapter] = report.at
        for adapter in [one for one in self.attached_at if one not in report.adapters]:
            del self.attached_at[adapter]

    def recently_attached(self, now: float) -> list[str]:
        """Return the adapters attached so recently that their callers may not have come yet."""
        return [
            one for one, at in self.attached_at.items() if now - at < defaults.NEW_ADAPTER_RESERVE_S
        ]

    def load(self, now: float) -> float:
        """Estimate the requests running or queued there, per slot (1.0 is full).

        This node's own requests are counted exactly, whatever the age of the report. Those of the
        other nodes come from the fresher of two sources: the endpoint's report, or the nodes'
        heartbeats.
        """
        shed = notices.SHED_LOAD if now < self.shed_until else 0.0
        return (len(self.inflight) + len(self.copies) + self._others(now)) / self.slots() + shed

    def _others(self, now: float) -> int:
        # A report without load doesn't count the others' requests. Taken as zero, each such
        # report hid them until all nodes had sent heartbeats again, for a part of every second.
        if self.peers.at > self.reported_at or not self.load_reported:
            return self.peers.counts.get(self.name, 0)
        if now - self.reported_at > defaults.REPORT_STALE_S:
            return 0
        return self.others_inflight

    def slots(self) -> int:
        """Return how many requests the endpoint runs at once."""
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
        if start is None:
            # It was counted as ended before.
            return
        self.ended.append((start, now))
        # Without reports nothing else bounds this list.
        del self.ended[: -defaults.ENDED_MAX]
        self.probing = False

    def note_answer_end(self, request_id: str, at: float) -> None:
        """Note when an answer of this node's ended, by its last chunk or its connection's end."""
        self.answer_ends.setdefault(request_id, at)
        while len(self.answer_ends) > defaults.ANSWER_ENDS_MAX:
            del self.answer_ends[next(iter(self.answer_ends))]

    def own_prompts(self) -> int:
        """Return the prompt tokens of this node's requests that are yet to be read."""
        return sum(self.prompts.values())

    def unread(self) -> int:
        """Return the prompt tokens of all nodes' requests that are yet to be read there."""
        return self.own_prompts() + self.peers.prompts(self.name)

    def expected_in_s(self, model: str, now: float) -> float | None:
        """Return in how many seconds a model's load should end there; None if none is expected."""
        coming, at = self.expected_model
        if coming != model or now - at > defaults.LOAD_OVERDUE_S:
            return None
        return max(0.0, at - now)

    def serves(self, target: str, service: bool) -> bool:
        """Return whether the endpoint has the model resident, or belongs to the service."""
        if service:
            return self.role == "service" and self.service == target
        return target in self.resident

    def targets(self) -> frozenset[str]:
        """Return the targets whose requests may be sent here: resident models, or the service."""
        return self.resident if self.role == "runner" else frozenset((self.service,))

    def set_version(self, version: str, started_ms: int) -> None:
        """Set the version that the list states for the process with a start time."""
        if (version, started_ms) != self.listed_version:
            self.version_doubted_at = None
        self.listed_version = (version, started_ms)

    def software_version(self) -> str:
        """Return the version of its software; empty if none is stated.

        A process under the same name may have another one than its row states, until the row is
        written anew. Only endpoints that state start times restart under their names.
        """
        version, listed_ms = self.listed_version
        if not listed_ms:
            return version
        started_ms = self.report.started_ms if self.report is not None else 0
        if self.version_doubted_at is not None or started_ms not in (0, listed_ms):
            return UNKNOWN_VERSION
        return version

    def states_its_process(self) -> bool:
        """Return whether its report states the process that its entry describes."""
        started_ms = self.listed_version[1]
        return bool(started_ms) and self.report is not None and self.report.started_ms == started_ms

    def remove_target(self, target: str, adapter: str) -> None:
        """Remove an adapter or model that the report names, but that the endpoint denies."""
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
        """Return whether an adapter is attached there."""
        return self.report is not None and adapter in self.report.adapters

    @property
    def closed(self) -> bool:
        """Whether it gets nothing new, however long that lasts: leaving, gone or evacuated."""
        return self.leaving or self.gone or self.evacuated

    def accepts_work(self, now: float) -> bool:
        """Return whether new requests may be sent there.

        Not while it is closed, ejected, silent or in back-off, nor while a probe after an ejection
        or a back-off is unanswered.
        """
        if self.closed or self.in_backoff(now) or self.probing_after_backoff(now):
            return False
        if now < self.ejected_until or self.silent(now):
            return False
        # After an ejection a single request is sent as a probe; the others wait for its outcome.
        return not (self.failures >= defaults.EJECT_AFTER_FAILURES and self.probing)

    def in_backoff(self, now: float) -> bool:
        """Return whether a back-off that it requested of this node is in force."""
        return now < self.backoff_until

    def probing_after_backoff(self, now: float) -> bool:
        """Return whether its back-off has ended and the first request since is unanswered.

        A single request probes whether it accepts work again. Sent all at once, the requests
        that wait would cause the overload that the back-off was to prevent.
        """
        if self.backoff_until < 0.0 or self.in_backoff(now):
            return False
        return any(start >= self.backoff_until for start in self.inflight.values())

    def answered(self, sent_at: float) -> None:
        """End the back-off once a request that was sent after its end is responded to."""
        if sent_at >= self.backoff_until:
            self.backoff_until = -1e9

    def silent(self, now: float) -> bool:
        """Return whether a model runner has sent nothing on its requests for too long.

        A box without power, or behind a network cut, sends nothing at all, and requests sent
        there are lost for seconds. A service may work on one request for long, so its silence
        is no sign of a failure.
        """
        if self.role != "runner" or now - self.responded_at < defaults.SILENT_S:
            return False
        return any(now - start >= defaults.SILENT_S for start in self.inflight.values())

    def unreached(self, now: float) -> None:
        """Eject the endpoint for ``UNREACHED_EJECT_S``, since no connection could be made."""
        self.ejected_until = max(self.ejected_until, now + defaults.UNREACHED_EJECT_S)

    def mark_down(self, now: float) -> bool:
        """Mark the endpoint as down and eject it briefly, after a refused connection.

        The refusal shows that its process has ended.

        :return: whether it was not yet known to be down.
        """
        was_up = self.may_listen(now)
        self.down = True
        self.version_doubted_at = now
        self.told_down_at = math.inf
        self.unreached(now)
        return was_up

    def take_told_down(self, now: float) -> bool:
        """Mark the endpoint as down, as another node told, unless it has answered in spite of that.

        :return: whether it was not yet known to be down.
        """
        if now < self.down_doubted_until:
            return False
        was_up = self.mark_down(now)
        self.told_down_at = now
        return was_up

    def hear(self, now: float) -> None:
        """Record that a request of this node got something from the endpoint."""
        self.responded_at = now
        told_s = now - self.told_down_at
        if not defaults.TOLD_DOWN_MARGIN_S <= told_s < defaults.UNREACHED_EJECT_S:
            return
        # The other node's way is broken, not the endpoint.
        self.down_doubted_until = now + defaults.DOWN_DOUBT_S
        self.down = False
        if self.ejected_until <= self.told_down_at + defaults.UNREACHED_EJECT_S:
            self.ejected_until = -1e9
        self.told_down_at = math.inf

    def may_listen(self, now: float) -> bool:
        """Return whether a connection may succeed: not found down, or the ejection is over."""
        return not self.down or now >= self.ejected_until

    def fail(self, now: float) -> None:
        """Count a failure, and eject the endpoint after ``EJECT_AFTER_FAILURES`` in a row."""
        self.failures += 1
        if self.failures >= defaults.EJECT_AFTER_FAILURES:
            self.ejected_until = now + defaults.EJECT_S

    def forget_failures(self) -> None:
        """Forget that attempts and connections failed here, as this node's way was broken."""
        self.failures = 0
        self.ejected_until = -1e9
        self.probing = False
        self.down = False

    def succeed(self, now: float) -> None:
        """Record a response, and reset the failures."""
        self.hear(now)
        self.failures = 0
        self.open_ends.end_row()
        self.down = False

    def end_open(self, now: float) -> None:
        """Record a response of which nothing showed the end, and reset the failures.

        It may be whole, so it does not eject the endpoint; see :mod:`open_ends`.
        """
        self.hear(now)
        self.failures = 0
        self.down = False
        self.open_ends.note(now)

    def hint(self, prefixes: t.Iterable[int], now: float) -> None:
        """Remember prefixes that the endpoint may have cached; the oldest are dropped first."""
        for prefix in prefixes:
            self.prefixes.pop(prefix, None)
            self.prefixes[prefix] = now
        while len(self.prefixes) > defaults.CACHE_HINTS_MAX:
            del self.prefixes[next(iter(self.prefixes))]

    def may_hold(self, prefix: int, now: float) -> bool:
        """Return whether there is a recent hint that the endpoint has cached the prefix."""
        hinted_at = self.prefixes.get(prefix)
        return hinted_at is not None and now - hinted_at < defaults.CACHE_HINT_LIFE_S
