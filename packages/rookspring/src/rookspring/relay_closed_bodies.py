"""Bodies that ended with their connection: which are passed on, and which are asked for again.

A sign of the whole or of a cut decides (:mod:`rookspring_core.body_ends`). Where there is none, a
request that may be repeated is run again while there is time and budget for it; where there isn't,
what is seen of the endpoint a moment later decides (:mod:`rookspring_core.close_ends`).
"""

from rookspring_core import body_ends
from rookspring_core import close_ends
from rookspring_core import planned_ends
from rookspring_core import recovering
from rookspring_core import routed
from rookspring_core.body_ends import Sign
from rookspring_core.close_records import name_bodies
from rookspring_core.events import CloseShown

from . import clock
from . import relay_close_ends
from .exceptions import EndpointError
from .http_messages import end_to_end_headers
from .relay import EndpointAnswer
from .relay import HeldAnswer
from .relay import RelayExchange
from .relay_context import RelayContext
from .relay_whole_ends import tell_within

NO_END = "nothing shows the answer's end"
DIFFERS = "the answer's body is of other bytes"
CUT = "the answer's body is cut"
# The least status that tells a failure of the endpoint.
SERVER_ERROR = 500
# Signs in a body itself; two runs that are equal may be cut at the same byte.
SHOWN_ALONE = frozenset({Sign.JSON, Sign.DIGEST})


async def check(
    context: RelayContext,
    exchange: RelayExchange,
    answer: EndpointAnswer,
    body: bytes,
    sign: Sign,
) -> None:
    """Check that a body that ended with its connection is to be passed on.

    :param sign: what the body itself and earlier runs show.
    :raises EndpointError: if it may be cut, or if another run is to show whether it is.
    """
    status = answer.head.status
    if sign in SHOWN_ALONE:
        context.pool.note_whole(answer.view.address, answer.connection)
    if sign in body_ends.WHOLE:
        _submit_shown(context, answer, True)
        judge_earlier(context, exchange, answer, body, shown=True)
        return
    if status >= SERVER_ERROR:
        if sign is Sign.NONE:
            _keep_copy(exchange, answer, body, False)
        raise EndpointError(DIFFERS if sign is Sign.DIFFERS else NO_END, sent=True)
    if sign is Sign.NONE:
        # The look heeds what this shows of the service.
        judge_earlier(context, exchange, answer, body, shown=False)
    likely = await relay_close_ends.look(context, exchange, answer)
    if sign is not Sign.NONE:
        if likely:
            _catch(context, exchange, answer)
        reason = DIFFERS if sign is Sign.DIFFERS else CUT
        raise EndpointError(reason, sent=True, open_ended=True)
    likely = likely and (bool(body) or _may_be_empty(context, exchange, answer))
    if likely and not _may_ask(context, exchange, answer):
        return
    _keep_copy(exchange, answer, body, likely)
    if exchange.route.repeatable and (likely or exchange.held_answer is None):
        _hold(context, exchange, answer, body, likely)
    raise EndpointError(NO_END, sent=True, open_ended=True)


def judge_earlier(
    context: RelayContext,
    exchange: RelayExchange,
    answer: EndpointAnswer,
    body: bytes,
    shown: bool,
) -> None:
    """Note what a body shows of earlier ones whose close had looked like their own end.

    :param shown: it is shown to be whole itself; otherwise it may be cut at the same byte.
    """
    for copy in exchange.open_bodies:
        if not copy.likely:
            continue
        whole = body_ends.judge_earlier(copy, answer.head.status, body)
        if whole is False:
            _catch(context, exchange, answer)
        elif whole and shown:
            _submit_shown(context, answer, True)


def _catch(context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer) -> None:
    """Note that a service has closed a body in its midst though all spoke for a whole one.

    An earlier one that looked whole is not passed on either.
    """
    _submit_shown(context, answer, False)
    if exchange.held_answer is not None and exchange.held_answer.likely:
        exchange.drop_answer()


def _submit_shown(context: RelayContext, answer: EndpointAnswer, whole: bool) -> None:
    context.submit(CloseShown(clock.now(), name_bodies(answer.view.service), whole))


def _may_be_empty(context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer) -> bool:
    """Return whether an answer without a byte may be whole, as its endpoint worked on behind it.

    Many are given up right after their head, so one needs more than that nothing speaks against it.
    """
    return exchange.held_answer is None and _worked(context, answer)


def _worked(context: RelayContext, answer: EndpointAnswer) -> bool:
    times = context.pool.list_times(answer.view.address, answer.connection)
    return close_ends.has_worked_on(answer.connection.closed_at, times)


def _may_ask(context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer) -> bool:
    """Return whether another run may show whether a body is whole that looks so.

    A node that stops has no time for one that may take as long as the first.
    """
    state = context.state
    request = state.requests.get(exchange.key)
    if request is None or state.leaving:
        return False
    now = clock.now()
    if not body_ends.may_run_again(now - request.dispatched_at, exchange.deadline_at - now):
        return False
    if not recovering.may_ask_rest(state, request, True):
        return False
    window = routed.resend_window(state, answer.view.service)
    return not _worked(context, answer) or window.has_left(now, body_ends.WORKED_KEPT_SHARE)


def _keep_copy(exchange: RelayExchange, answer: EndpointAnswer, body: bytes, likely: bool) -> None:
    """Keep what another run's body is compared with."""
    if exchange.route.repeatable:
        status = answer.head.status
        exchange.open_bodies.add(body_ends.copy_body(answer.view.name, status, body, likely))


def _hold(
    context: RelayContext,
    exchange: RelayExchange,
    answer: EndpointAnswer,
    body: bytes,
    likely: bool,
) -> None:
    """Keep a body to compare another run's with, and for its caller if it looks whole."""
    head = answer.head
    answer.reply.drop()
    headers = end_to_end_headers(head.headers)
    kept = HeldAnswer(head.status, headers, body, likely, doubted=not likely)
    exchange.hold_answer(kept, context.budget.open(answer.view.address))
    request = context.state.requests.get(exchange.key)
    if likely and request is not None:
        # A further run may take as long as the first.
        took_s = answer.connection.closed_at - request.dispatched_at
        tell_within(context, exchange, max(took_s, planned_ends.PROMISE_HELD_S))
