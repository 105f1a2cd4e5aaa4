"""Orders to endpoints, their reports, and what nodes tell the lease holder."""

import asyncio

from rookspring_core import notice_handlers
from rookspring_core.defaults import LOAD_UNREPORTED
from rookspring_core.effects import AdapterLeft
from rookspring_core.effects import AskAllotment
from rookspring_core.effects import AskSlot
from rookspring_core.effects import FreeSlot
from rookspring_core.effects import LoadRequestDeclined
from rookspring_core.effects import LoadRequestEnded
from rookspring_core.effects import ReadReport
from rookspring_core.effects import RequestLoad
from rookspring_core.effects import ReturnAllotment
from rookspring_core.effects import SendOrder
from rookspring_core.effects import ShareDown
from rookspring_core.effects import ShareLoading
from rookspring_core.effects import SharePrompts
from rookspring_core.effects import ShareReport
from rookspring_core.effects import StartOrderTimer
from rookspring_core.events import LoadRequested
from rookspring_core.events import OrderAnswered
from rookspring_core.events import OrderDue

from . import clock
from . import defaults
from . import http_client
from .dialect import OrderAsked
from .dialect import OrderReply
from .exceptions import EndpointError
from .logs import log
from .relay_context import RelayContext
from .relay_context import relay_performs
from .relay_notices import Asked
from .relay_notices import hear_at


@relay_performs(SendOrder)
def send_order(context: RelayContext, effect: SendOrder) -> None:
    """Give an endpoint an order, once."""
    context.spawn(_order(context, effect))


async def _order(context: RelayContext, effect: SendOrder) -> None:
    fence, count = effect.token
    adapter = effect.model_version.rpartition("/")[2]
    asked = OrderAsked(
        effect.action,
        effect.model,
        adapter,
        context.settings.name,
        fence,
        count,
        effect.endpoint,
    )
    reply = OrderReply(taken=None)
    reason = "no answer"
    data = context.dialect.order_request(effect.address, asked)
    try:
        why = notice_handlers.find_withheld(context.state, effect.endpoint)
        if why:
            raise EndpointError(why, sent=False, withheld=True)
        head, _ = await http_client.call(
            context.pool,
            effect.address,
            data,
            hear_at(context, effect.endpoint, Asked("order")),
            defaults.RELAY_ORDER_CALL_S,
        )
        reply = context.dialect.read_order_reply(head)
        reason = "fenced" if reply.fenced else "done" if reply.done else str(head.status)
    except EndpointError as error:
        # An order of which nothing was sent cannot be carried out.
        reply = OrderReply(taken=None if error.sent else False)
        reason = error.reason
    context.metrics.orders.inc({"action": effect.action, "end": reason})
    log(
        "order_answered",
        endpoint=effect.endpoint,
        action=effect.action,
        model=effect.model,
        adapter=adapter,
        fence=fence,
        count=count,
        taken=reply.taken,
        reason=reason,
    )
    context.submit(OrderAnswered(clock.now(), effect.endpoint, effect.token, reply.taken, reason))


@relay_performs(ReadReport)
def read_report(context: RelayContext, effect: ReadReport) -> None:
    """Read an endpoint's own report and pass it on."""
    context.spawn(_read(context, effect))


async def _read(context: RelayContext, effect: ReadReport) -> None:
    await asyncio.sleep(effect.after_s)
    view = context.state.endpoints.get(effect.endpoint)
    if view is None or view.report is None or view.in_backoff(clock.now()):
        # At rest it wants nothing from this node, also no question; it is read later.
        return
    data = context.dialect.report_request(view.address)
    try:
        hear = hear_at(context, effect.endpoint, Asked("report"))
        _, raw = await http_client.call(
            context.pool, view.address, data, hear, defaults.REPORT_CALL_S
        )
    except EndpointError as error:
        log("report_failed", "WARNING", endpoint=effect.endpoint, reason=error.reason)
        return
    if view.report is None:
        return
    report = context.dialect.read_report(raw, view.report, clock.now())
    if report is None:
        log("report_failed", "WARNING", endpoint=effect.endpoint, reason="malformed")
        return
    # Its load is as old as the next one would be, so it is left to what nodes tell.
    context.submit(report._replace(polled=True, running=LOAD_UNREPORTED, queued=0))


@relay_performs(ShareReport)
def share_report(context: RelayContext, effect: ShareReport) -> None:
    """Tell every other node what is now true of an endpoint."""
    context.share(effect.report)


@relay_performs(ShareLoading)
def share_coming(context: RelayContext, effect: ShareLoading) -> None:
    """Tell every other node when a model that is being loaded can be there."""
    context.share_coming(effect.endpoint, effect.model, effect.in_s)


@relay_performs(ShareDown)
def share_down(context: RelayContext, effect: ShareDown) -> None:
    """Tell every other node that nothing listens at an endpoint."""
    context.share_down(effect.endpoint)


@relay_performs(SharePrompts)
def share_prompts(context: RelayContext, effect: SharePrompts) -> None:
    """Tell every other node what an endpoint is to read of this node's prompts."""
    context.share_prompts(effect.endpoint, False)


@relay_performs(StartOrderTimer)
def remind(context: RelayContext, effect: StartOrderTimer) -> None:
    """Tell when an order's pause is over."""

    def tell() -> None:
        context.submit(OrderDue(clock.now(), effect.endpoint, effect.taken_before))

    context.loop.call_later(effect.after_s, tell)


@relay_performs(RequestLoad)
def want(context: RelayContext, effect: RequestLoad) -> None:
    """Tell the lease holder at once."""
    if context.state.control.holding(clock.now()):
        event = LoadRequested(clock.now(), *effect)
        context.loop.call_soon(context.submit, event)
        return
    context.tell_holder(effect)


@relay_performs(LoadRequestDeclined)
def tell_declined(context: RelayContext, effect: LoadRequestDeclined) -> None:
    """Log why nothing is ordered for an adapter now."""
    log("want_declined", adapter=effect.adapter, why=effect.why)


@relay_performs(LoadRequestEnded)
def tell_ended(context: RelayContext, effect: LoadRequestEnded) -> None:
    """Log and count what became of an adapter that requests waited for."""
    context.metrics.wants.observe({"end": effect.outcome}, effect.age_s)
    log(
        "want_ended",
        adapter=effect.adapter,
        outcome=effect.outcome,
        age_s=effect.age_s,
        times=effect.times,
    )


@relay_performs(AdapterLeft)
def tell_left(context: RelayContext, effect: AdapterLeft) -> None:
    """Log and count how long an adapter stayed."""
    used = "yes" if effect.used else "no"
    context.metrics.adapter_stays.observe({"used": used}, effect.stay_s)
    log(
        "adapter_left",
        endpoint=effect.endpoint,
        adapter=effect.adapter,
        stay_s=effect.stay_s,
        used=effect.used,
    )


@relay_performs(AskAllotment)
def ask_allotment(context: RelayContext, effect: AskAllotment) -> None:
    """Ask an organisation's owner."""
    context.ask_owner(effect)


@relay_performs(ReturnAllotment)
def return_allotment(context: RelayContext, effect: ReturnAllotment) -> None:
    """Tell an organisation's owner what did not run."""
    context.return_units(effect)


@relay_performs(AskSlot)
def ask_slot(context: RelayContext, effect: AskSlot) -> None:
    """Ask a plain service's owner for a slot."""
    context.ask_slot(effect)


@relay_performs(FreeSlot)
def free_slot(context: RelayContext, effect: FreeSlot) -> None:
    """Tell a plain service's owner that a run is over."""
    context.free_slot(effect)
