"""Effects on orders, endpoint reports, load requests, allotments and slots."""

import asyncio

from rookspring_core import notice_handlers
from rookspring_core.defaults import LOAD_UNREPORTED
from rookspring_core.effects import AdapterLeft
from rookspring_core.effects import AskAllotment
from rookspring_core.effects import AskSlot
from rookspring_core.effects import ClaimChanged
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
from .dialect import OrderReply
from .dialect import OrderRequest
from .exceptions import EndpointError
from .http_messages import HttpHead
from .logs import log
from .relay_calls import OwnCall
from .relay_calls import call_endpoint
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_notices import EndpointCall
from .relay_notices import make_notice_handler


@handles_relay_effect(SendOrder)
def send_order(context: RelayContext, effect: SendOrder) -> None:
    """Send an order to an endpoint, without a retry."""
    context.spawn(_send_and_submit(context, effect))


async def _send_and_submit(context: RelayContext, effect: SendOrder) -> None:
    fence, count = effect.token
    adapter = effect.model_version.rpartition("/")[2]
    order = OrderRequest(
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
    data = context.dialect.order_request(effect.address, order)
    try:
        why = notice_handlers.find_withheld(context.state, effect.endpoint)
        if why:
            raise EndpointError(why, sent=False, withheld=True)
        call = OwnCall("order", effect.endpoint, effect.address)
        head, _ = await _call(context, call, data, defaults.RELAY_ORDER_CALL_S)
        reply = context.dialect.read_order_reply(head)
        reason = "fenced" if reply.fenced else "done" if reply.done else str(head.status)
    except EndpointError as error:
        # If nothing was sent, the endpoint can't have taken the order.
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


async def _call(
    context: RelayContext, call: OwnCall, data: bytes, timeout_s: float
) -> tuple[HttpHead, bytes]:
    """Make a call, and heed what its answer says of the endpoint."""
    hear = make_notice_handler(context, call.endpoint, EndpointCall(call.what))
    return await call_endpoint(context, call, data, timeout_s, hear)


@handles_relay_effect(ReadReport)
def read_report(context: RelayContext, effect: ReadReport) -> None:
    """Read an endpoint's report from the endpoint itself and submit it."""
    context.spawn(_read_and_submit(context, effect))


async def _read_and_submit(context: RelayContext, effect: ReadReport) -> None:
    await asyncio.sleep(effect.after_s)
    view = context.state.endpoints.get(effect.endpoint)
    if view is None or view.report is None or view.in_backoff(clock.now()):
        # The back-off that an endpoint requests covers all calls; its report is read later.
        return
    data = context.dialect.report_request(view.address)
    try:
        call = OwnCall("report", effect.endpoint, view.address)
        _, raw = await _call(context, call, data, defaults.REPORT_CALL_S)
    except EndpointError as error:
        log("report_failed", "WARNING", endpoint=effect.endpoint, reason=error.reason)
        return
    if view.report is None:
        return
    report = context.dialect.read_report(raw, view.report, clock.now())
    if report is None:
        log("report_failed", "WARNING", endpoint=effect.endpoint, reason="malformed")
        return
    # Its load would be no newer than that of the next report, so it is left out, and what nodes
    # report is used.
    context.submit(report._replace(polled=True, running=LOAD_UNREPORTED, queued=0))


@handles_relay_effect(ShareReport)
def share_report(context: RelayContext, effect: ShareReport) -> None:
    """Send an endpoint's report to every other node."""
    context.share_report(effect.report)


@handles_relay_effect(ShareLoading)
def share_loading(context: RelayContext, effect: ShareLoading) -> None:
    """Send every other node when a model that is being loaded is expected to be resident."""
    context.share_loading(effect.endpoint, effect.model, effect.in_s)


@handles_relay_effect(ShareDown)
def share_down(context: RelayContext, effect: ShareDown) -> None:
    """Send every other node that nothing listens at an endpoint's address."""
    context.share_down(effect.endpoint)


@handles_relay_effect(SharePrompts)
def share_prompts(context: RelayContext, effect: SharePrompts) -> None:
    """Send every other node how much of this node's prompts an endpoint has yet to read."""
    context.share_prompts(effect.endpoint, False)


@handles_relay_effect(StartOrderTimer)
def start_order_timer(context: RelayContext, effect: StartOrderTimer) -> None:
    """Start the timer after which an order is due."""

    def submit_due() -> None:
        context.submit(OrderDue(clock.now(), effect.endpoint, effect.taken_before))

    context.loop.call_later(effect.after_s, submit_due)


@handles_relay_effect(RequestLoad)
def request_load(context: RelayContext, effect: RequestLoad) -> None:
    """Send a load request to the lease holder at once, or submit it if this node is the holder."""
    if context.state.control.holding(clock.now()):
        event = LoadRequested(clock.now(), *effect)
        context.loop.call_soon(context.submit, event)
        return
    context.send_load_request(effect)


@handles_relay_effect(LoadRequestDeclined)
def log_load_declined(context: RelayContext, effect: LoadRequestDeclined) -> None:
    """Log why nothing is ordered at present for an adapter that requests wait for."""
    log("want_declined", adapter=effect.adapter, why=effect.why)


@handles_relay_effect(ClaimChanged)
def log_claim_changed(context: RelayContext, effect: ClaimChanged) -> None:
    """Log that a model without a replica claims a runner, waits longer for it or gives it up."""
    log(
        "claim_changed",
        model=effect.model,
        endpoint=effect.endpoint,
        change=effect.change,
        demand=effect.demand,
        in_s=effect.in_s,
    )


@handles_relay_effect(LoadRequestEnded)
def log_load_request_ended(context: RelayContext, effect: LoadRequestEnded) -> None:
    """Log and count the outcome for an adapter that requests waited for."""
    context.metrics.load_requests.observe({"end": effect.outcome}, effect.age_s)
    log(
        "want_ended",
        adapter=effect.adapter,
        outcome=effect.outcome,
        age_s=effect.age_s,
        times=effect.times,
    )


@handles_relay_effect(AdapterLeft)
def log_adapter_left(context: RelayContext, effect: AdapterLeft) -> None:
    """Log and count how long a detached adapter was attached."""
    used = "yes" if effect.used else "no"
    context.metrics.attachments.observe({"used": used}, effect.stay_s)
    log(
        "adapter_left",
        endpoint=effect.endpoint,
        adapter=effect.adapter,
        stay_s=effect.stay_s,
        used=effect.used,
    )


@handles_relay_effect(AskAllotment)
def ask_allotment(context: RelayContext, effect: AskAllotment) -> None:
    """Ask the owner of an organisation's allotment whether a request may run."""
    context.ask_allotment(effect)


@handles_relay_effect(ReturnAllotment)
def return_allotment(context: RelayContext, effect: ReturnAllotment) -> None:
    """Return the units of a request that did not run to the owner of the allotment."""
    context.return_units(effect)


@handles_relay_effect(AskSlot)
def ask_slot(context: RelayContext, effect: AskSlot) -> None:
    """Ask the owner of a slot queue for a slot."""
    context.ask_slot(effect)


@handles_relay_effect(FreeSlot)
def free_slot(context: RelayContext, effect: FreeSlot) -> None:
    """Return a slot to its owner after a request's run."""
    context.free_slot(effect)
