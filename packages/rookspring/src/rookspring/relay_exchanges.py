"""Exchanges of the relay: callers' requests that are under way, and what has come for each.

One begins where :mod:`relay` has admitted a request. :mod:`relay_attempts` runs its attempts under
its deadline.
"""

import asyncio
import math
import typing as t

from rookspring_core import answer_ends
from rookspring_core import close_ends
from rookspring_core.answer_ends import AnswerEnd
from rookspring_core.body_ends import BodyCopy
from rookspring_core.close_ends import CloseSigns
from rookspring_core.endpoints import EndpointView
from rookspring_core.event_order import EventOrder
from rookspring_core.fingerprints import make_fingerprint
from rookspring_core.organisations import Organisation
from rookspring_core.routes import Route
from rookspring_core.routes import pick_service

from . import clock
from . import defaults
from .byte_budget import Holding
from .dialect import RequestFields
from .exceptions import CallerGone
from .exceptions import EndpointError
from .http_client import ClientConnection
from .http_client import Reply
from .http_messages import HttpHead
from .http_messages import HttpRequest
from .http_server import ServerConnection
from .logs import log
from .request_keys import make_key


class HeldAnswer(t.NamedTuple):
    """An answer, sent to the caller if the retries at other endpoints fail too.

    It is a complete error, unless nothing but a close marks its end.

    :param likely: that looked like its own.
    :param doubted: that didn't, so it is never sent: another run's body is compared with it.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    likely: bool = False
    doubted: bool = False


class EndpointAnswer(t.NamedTuple):
    """An endpoint's answer to one attempt, as it arrives, and the connection on which it does.

    :param began_at: when its head was read, by this node's clock.
    """

    reply: Reply
    head: HttpHead
    view: EndpointView
    connection: ClientConnection
    began_at: float


class RelayExchange:
    """One caller's request and the connection that waits for its answer."""

    def __init__(
        self,
        connection: ServerConnection,
        request: HttpRequest,
        fields: RequestFields,
        route: Route,
        arrived_at: float,
        organisation: Organisation | None = None,
    ) -> None:
        self.key = make_key()
        self.connection = connection
        self.request = request
        self.fields = fields
        self.route = route
        self.organisation = organisation.name if organisation else ""
        self.fingerprint = make_fingerprint(
            self.organisation, fields.host, request.target, request.body
        )
        rank = organisation.rank if organisation else None
        self.rank = route.rank if rank is None else rank
        self.arrived_at = arrived_at
        self.deadline_at = self.arrived_at + request_timeout_s(fields, route)
        # Under which its caller takes up its stream again.
        self.stream_id = fields.resumes or fields.request_id
        self.service = pick_service(route, self.stream_id if route.resumable else fields.request_id)
        self.started = False
        self.last_event = fields.last_event
        # Whether the event that was passed on last has an id.
        self.named = True
        self.events = 0
        self.first_event_at = 0.0
        # When the last events arrived, and the longest time between two of them, in seconds.
        self.last_event_at = 0.0
        self.longest_pause_s = 0.0
        # What shows the end of the answer that came last, for the log.
        self.framing = ""
        # The endpoint of the last attempt, and when the time that it was told is over.
        self.endpoint: EndpointView | None = None
        self.told_until = 0.0
        self.held_answer: HeldAnswer | None = None
        # Counts the bytes of that answer.
        self._holding: Holding | None = None
        # Looks again at the end from which its run went on at a copy, should that refuse it.
        self.look_again: t.Callable[[], t.Awaitable[bool]] | None = None
        # Whether what its caller has looks whole, though nothing but a close marked its end; and
        # the endpoint that closed it, if its close looked so.
        self.looks_whole = False
        self.closed_by = ""
        # What was seen of its endpoint after the latest such end.
        self.close_signs: CloseSigns | None = None
        # The bodies that came and of which nothing showed that they were whole.
        self.open_bodies: set[BodyCopy] = set()
        self.task: asyncio.Task[None] | None = None
        self.done: asyncio.Future[None] | None = None
        # Ends the running attempt at the deadline; it counts by the monotonic clock of the loop.
        self.attempt_timeout: asyncio.Timeout | None = None

    def hold_answer(self, answer: HeldAnswer, holding: Holding) -> None:
        """Keep an answer, in place of an earlier one, for as long as there is room for it.

        :param holding: counts its bytes.
        """
        self.drop_answer()
        self.held_answer = answer
        self._holding = holding
        holding.give_up = self.drop_answer
        holding.resize(len(answer.body) + sum(len(name) + len(row) for name, row in answer.headers))

    def drop_answer(self, reason: str = "") -> None:
        """Drop the answer that is kept; its caller is refused without."""
        self.held_answer = None
        holding, self._holding = self._holding, None
        if holding is not None:
            holding.close()

    def count_events(self, number: int, now: float) -> None:
        """Count events that are passed on, and record the longest pause between them."""
        self.first_event_at = self.first_event_at or now
        self.forget_close()
        self.events += number
        if self.last_event_at:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now

    def note_place(self, ids: t.Sequence[str | None], order: EventOrder) -> None:
        """Note after which event another run could go on, once events are passed on."""
        if ids:
            self.last_event = order.last
            self.named = order.named

    def may_follow(self) -> bool:
        """Return whether another run can be asked for exactly what the caller has not got."""
        return not self.events or (self.named and bool(self.last_event))

    def forget_close(self) -> None:
        """Forget what the latest end by a close looked like, since more has come of its stream."""
        self.looks_whole = False
        self.closed_by = ""
        self.close_signs = None

    def looked_whole(self) -> bool:
        """Return whether the latest end by a close looked so, but for its service's record."""
        signs = self.close_signs
        return signs is not None and close_ends.is_likely(signs._replace(caught=False))

    def ended_clear(self) -> bool:
        """Return whether another answer went on behind the latest end by a close."""
        return self.close_signs is not None and self.close_signs.moment.worked

    def check_last_chunk(self, head: HttpHead) -> None:
        """Check that nothing but the whole answer has ended one without a length, as far as known.

        :raises EndpointError: if something else may have; the request may have run.
        """
        end = AnswerEnd(clock.now(), self.deadline_at)
        cause = answer_ends.find_other_cause(end) if head.framing() != "length" else ""
        if cause:
            raise EndpointError(cause, sent=True)

    def describe_time(self) -> dict[str, t.Any]:
        """Return what the log states of the time at an answer's end, and of its endpoint's state.

        Seconds until the request's deadline, and until the end of the time that the endpoint was
        told (none if it was told none); whether the endpoint was leaving or gone from the list,
        seconds until the end of the time that it stated for itself (none if it stated none), and
        how many others of this node's requests are under way there.
        """
        now = clock.now()
        view = self.endpoint
        others = () if view is None else [one for one in view.inflight if one != self.key]
        return {
            "left_s": self.deadline_at - now,
            "told_left_s": self.told_until - now if self.told_until else "",
            "leaving": view is not None and (view.leaving or view.gone),
            "ends_left_s": "" if view is None or view.ends_at == math.inf else view.ends_at - now,
            "others_there": len(others),
        }

    def reschedule_timeout(self) -> None:
        """Reschedule the attempt's timeout after a suspension, which the loop's clock omits."""
        if self.attempt_timeout is not None and not self.attempt_timeout.expired():
            left_s = max(0.0, self.deadline_at - clock.now())
            self.attempt_timeout.reschedule(asyncio.get_running_loop().time() + left_s)


async def run_until_deadline(
    exchange: RelayExchange, work: t.Coroutine[t.Any, t.Any, None]
) -> EndpointError | None:
    """Run an attempt until its request's deadline.

    :return: how it failed; None if it succeeded or the caller left, which has been submitted.
    """
    try:
        async with asyncio.timeout(exchange.deadline_at - clock.now()) as exchange.attempt_timeout:
            await work
    except TimeoutError:
        await _wait_until(exchange.deadline_at)
        return EndpointError("deadline", sent=True)
    except EndpointError as error:
        return error
    except CallerGone:
        return None
    except Exception as error:  # noqa: BLE001
        # A bug here must not leave the caller without an answer; the request may have run.
        log("task_failed", "ERROR", error=type(error).__name__, detail=error)
        return EndpointError("fault of this node", sent=True)
    finally:
        exchange.attempt_timeout = None
    return None


async def _wait_until(moment: float) -> None:
    """Wait for the rest of the time until a moment, since timers may fire a little early."""
    while (left_s := moment - clock.now()) > 0.0:
        await asyncio.sleep(max(left_s, defaults.TIMER_STEP_S))


def request_timeout_s(fields: RequestFields, route: Route) -> float:
    """Return the lesser of the caller's and the route's time limit, in seconds."""
    if fields.deadline_s is None:
        return route.timeout_s
    return min(fields.deadline_s, route.timeout_s)
