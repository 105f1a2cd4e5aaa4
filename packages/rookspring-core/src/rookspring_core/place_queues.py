"""Places: the right to send one request to a model endpoint, ordered by one node for all nodes.

An endpoint may have so many prompt tokens unread, and so many requests in its slots. Where each
node queues its own requests for that room, a patient request of one node precedes an urgent one of
another, and an organisation with several times its usual load takes the room of the others. So
one node, the endpoint's *owner*, orders the requests of all nodes that wait for a place there: by
rank, and within a rank by the work of their organisations. Nodes ask only while there is a queue.

This handles overload by callers who compete. A request that can't be answered in time is refused
before it waits. See ``docs/design/places.md``.
"""

import math
import typing as t

from . import defaults
from .fair_queues import FairQueue
from .fair_queues import Waiting
from .slot_queues import PlaceTerms
from .slot_queues import SlotRequest


class Room(t.NamedTuple):
    """An endpoint's room, as the owner sees it.

    :param unread: prompt tokens of all nodes' requests that are yet to be read there.
    :param unread_max: how many it may have to read by the nodes' bound, unless it has none and
        gets a longer prompt.
    :param free_slots: its slots less the requests there, by the nodes' heartbeats.
    :param slots: how many requests it runs at once.
    :param pause_s: the least pause that streams there bear, in seconds; 0 if unknown.
    """

    unread: int
    unread_max: float
    free_slots: float
    slots: int
    pause_s: float = 0.0


class PlaceAnswer(t.NamedTuple):
    """The owner's answer to a request for a place.

    :param outcome: ``granted``, ``refused``, ``waits``, or ``confirmed`` if it waits still.
    :param work_ahead: prompt tokens that are read before it, of all nodes and of this queue.
    :param wait_s: predicted seconds until its prompt begins to be read.
    :param after_s: seconds after which to retry if it is refused; else 0.
    :param blind: it is refused because the owner knows the endpoint as unusable.
    """

    request: SlotRequest
    outcome: str
    work_ahead: float = 0.0
    wait_s: float = 0.0
    after_s: float = 0.0
    blind: bool = False


class _PaceMeter:
    """Measures how fast an endpoint reads prompts, while requests wait for it.

    A node's own estimate rests on the few requests that it sent there, so nodes differ widely.
    """

    def __init__(self) -> None:
        self._waited_s = 0.0
        self._tokens = 0.0
        self._measured_at = -math.inf
        self._s_per_token = 0.0

    def advance(self, now: float, is_waiting: bool) -> None:
        """Count the time since the last call if requests waited in it."""
        passed_s = now - self._measured_at
        self._measured_at = now
        decay = math.exp(-passed_s / defaults.PLACE_PACE_S)
        self._waited_s *= decay
        self._tokens *= decay
        if is_waiting:
            self._waited_s += passed_s

    def add(self, tokens: int) -> None:
        """Count the prompt of a request that has waited."""
        self._tokens += tokens

    def s_per_token(self) -> float:
        """Return the seconds a token as measured last; 0 before any measurement."""
        if self._tokens >= defaults.PLACE_PACE_TOKENS_MIN:
            self._s_per_token = self._waited_s / self._tokens
        return self._s_per_token


class _Prediction(t.NamedTuple):
    """The wait of a request behind others.

    :param work_ahead: prompt tokens that are read before its own.
    :param wait_s: seconds until its own prompt begins to be read.
    """

    work_ahead: float = 0.0
    wait_s: float = 0.0


class _Grant(t.NamedTuple):
    at: float
    prompt_work: int


class PlaceQueue:
    """Requests that wait for a place at one endpoint, and the places granted lately."""

    def __init__(self) -> None:
        self._waiting: FairQueue[SlotRequest] = FairQueue()
        self._grants: dict[tuple[str, str], _Grant] = {}
        self._room: Room | None = None
        self._owned_since = -1e9
        self._confirmed_at = -1e9
        self._meter = _PaceMeter()
        # Mean seconds from a grant to the end of its request; 0 while unknown.
        self._run_s = 0.0

    def idle(self) -> bool:
        """Return whether no request waits."""
        return not self._waiting

    def ranks(self) -> list[int]:
        """Return the ranks of the requests that wait, as they were asked for."""
        return [one.request.rank for one in self._waiting]

    def set_room(self, room: Room | None, since: float = -1e9) -> None:
        """Set the endpoint's room; None if it is unusable.

        :param since: since when this node owns the queue. What an earlier owner granted last is
            in no node's rows yet, so nothing is granted within ``PLACE_UNSEEN_S`` of it.
        """
        self._room = room
        self._owned_since = since

    def request_place(self, request: SlotRequest, now: float) -> list[PlaceAnswer]:
        """Grant a request a place, queue it, or refuse it at once."""
        self._remove(request.origin, request.key)
        place = _terms(request)
        answers = self.process_waiting(now)
        if self._room is None:
            return [*answers, self._refuse(request, _Prediction())]
        if not self._waiting and self._has_room(self._room, place, now):
            return [*answers, self._grant(request, now)]
        start_tag = self._waiting.start_tag(request.organisation, request.rank)
        ahead = self._waiting.ahead(request.rank, start_tag)
        predicted = self._predict(self._room, ahead, now)
        if predicted.wait_s > request.wait_s:
            return [*answers, self._refuse(request, predicted)]
        raise_at = now + request.wait_s * defaults.PLACE_RAISE_SHARE if request.rank else math.inf
        self._push(request, request.rank, now + request.wait_s, raise_at)
        answers += self._grant_places(self._room, now)
        if not any(one.request is request for one in answers):
            answers.append(PlaceAnswer(request, "waits", *predicted))
        return answers

    def free(
        self, origin: str, key: str, took_s: float, unsent: bool, now: float
    ) -> list[PlaceAnswer]:
        """Return the place of a request that is over, or drop a request that waits no longer.

        :param took_s: seconds from the grant to the end; 0 if nothing ran.
        """
        self._remove(origin, key)
        self._grants.pop((origin, key), None)
        if took_s > 0.0 and not unsent:
            gain = defaults.SLOT_RUN_GAIN if self._run_s > 0.0 else 1.0
            self._run_s += (took_s - self._run_s) * gain
        return self.process_waiting(now)

    def process_waiting(self, now: float) -> list[PlaceAnswer]:
        """Refuse the requests that can't be in time, grant places, and confirm the others."""
        self._meter.advance(now, is_waiting=bool(self._waiting))
        self._expire(now)
        room = self._room
        if room is None:
            unusable = self._waiting.remove(lambda one: True)
            return [self._refuse(one.request, _Prediction()) for one in unusable]
        self._raise_ranks(now)
        answers = self._refuse_late(room, now)
        answers += self._grant_places(room, now)
        if now - self._confirmed_at >= defaults.PLACE_CONFIRM_S:
            self._confirmed_at = now
            answers += [PlaceAnswer(one.request, "confirmed") for one in self._waiting]
        return answers

    def _remove(self, origin: str, key: str) -> None:
        self._waiting.remove(lambda one: one.request[:2] == (origin, key))

    def _push(self, request: SlotRequest, rank: int, until: float, raise_at: float) -> None:
        cost = _terms(request).work
        self._waiting.push(request, request.organisation, rank, until, cost, rank, raise_at)

    def _raise_ranks(self, now: float) -> None:
        """Raise the rank of requests that have waited for most of their time.

        Only the next one of each rank is raised, so that an organisation's old requests don't
        overtake those of others with fewer. It counts towards its organisation's share of the
        higher rank.
        """
        for head in self._waiting.overdue_heads(now):
            self._waiting.discard(head)
            self._push(head.request, max(0, head.rank - 1), head.until, math.inf)

    def _expire(self, now: float) -> None:
        """Drop grants that all counts of the nodes include by now, or whose node is gone."""
        old = [key for key, one in self._grants.items() if now - one.at > defaults.PLACE_LEASE_S]
        for key in old:
            del self._grants[key]

    def _unread(self, room: Room, now: float) -> int:
        """Return the unread tokens, with those of grants that no node's rows show yet."""
        unseen = [
            one.prompt_work
            for one in self._grants.values()
            if now - one.at < defaults.PLACE_UNSEEN_S
        ]
        return room.unread + sum(unseen)

    def _has_room(self, room: Room, place: PlaceTerms, now: float) -> bool:
        """Return whether a request may be sent there now."""
        if now - self._owned_since < defaults.PLACE_UNSEEN_S:
            return False
        if room.free_slots - len(self._grants) <= 0.0:
            return False
        unread = self._unread(room, now)
        return unread == 0 or unread + place.prompt_work <= self._unread_max(room)

    def _unread_max(self, room: Room) -> float:
        """Return how many prompt tokens may be unread.

        The nodes' bound is one number for all paces, and each node learns of the others' prompts
        late. The owner counts all, so it allows as many as the endpoint reads, by the measured
        pace, in the pause that its streams bear: at least that bound, and at most
        ``PLACE_UNREAD_TIMES_MAX`` times it.
        """
        pace_s = self._meter.s_per_token()
        in_pause = room.pause_s / pace_s if pace_s > 0.0 else 0.0
        most = room.unread_max * defaults.PLACE_UNREAD_TIMES_MAX
        return min(max(room.unread_max, in_pause), most)

    def _grant(self, request: SlotRequest, now: float) -> PlaceAnswer:
        self._grants[request.origin, request.key] = _Grant(now, _terms(request).prompt_work)
        return PlaceAnswer(request, "granted")

    def _grant_places(self, room: Room, now: float) -> list[PlaceAnswer]:
        answers = []
        while (head := self._waiting.peek()) is not None:
            if not self._has_room(room, _terms(head.request), now):
                break
            request = self._waiting.pop().request
            self._meter.add(_terms(request).prompt_work)
            answers.append(self._grant(request, now))
        return answers

    def _refuse_late(self, room: Room, now: float) -> list[PlaceAnswer]:
        """Refuse the requests that would be late even if they were granted a place now."""
        unread = self._unread(room, now)

        def is_late(one: Waiting[SlotRequest]) -> bool:
            return now + unread * self._meter.s_per_token() > one.until

        return [
            self._refuse(one.request, self._predict_behind_all(room, one, now))
            for one in self._waiting.remove(is_late)
        ]

    def _predict_behind_all(
        self, room: Room, late: Waiting[SlotRequest], now: float
    ) -> _Prediction:
        ahead = self._waiting.ahead(late.rank, late.start_tag)
        return self._predict(room, ahead, now)

    def _refuse(self, request: SlotRequest, predicted: _Prediction) -> PlaceAnswer:
        least_s, most_s = defaults.RETRY_AFTER_NO_SLOT_S
        after_s = min(most_s, max(least_s, predicted.wait_s))
        blind = self._room is None
        return PlaceAnswer(request, "refused", *predicted, after_s, blind)

    def _predict(self, room: Room, ahead: list[Waiting[SlotRequest]], now: float) -> _Prediction:
        """Predict the wait of a request with these ahead of it in the queue."""
        work_ahead = float(self._unread(room, now))
        work_ahead += sum(_terms(one.request).prompt_work for one in ahead)
        wait_s = work_ahead * self._meter.s_per_token()
        if room.free_slots - len(self._grants) <= 0.0:
            wait_s = max(wait_s, (len(ahead) + 1) * self._run_s / room.slots)
        return _Prediction(work_ahead, wait_s)


def _terms(request: SlotRequest) -> PlaceTerms:
    assert request.place is not None
    return request.place
