"""Notices that endpoints send in response headers, and their exchange between relay nodes.

All notices are received by the handlers that :func:`make_notice_handler` makes, one for each call
to an endpoint: a request, an order or the read of a report.
"""

import typing as t

from rookspring_core import notice_handlers
from rookspring_core.effects import ShareLeaving
from rookspring_core.effects import ShareRates
from rookspring_core.effects import ShareShed
from rookspring_core.events import LeavingReceived
from rookspring_core.events import NoticeReceived
from rookspring_core.events import RatesReceived
from rookspring_core.events import ShedReceived
from rookspring_core.notices import Leaving
from rookspring_core.request_rates import RateRecord

from . import clock
from .http_client import OnHead
from .http_messages import HttpHead
from .leaving_rows import decode_leaving
from .leaving_rows import encode_leaving
from .logs import log
from .message_rows import RateLimitRow
from .messages import LeavingMessage
from .messages import RatesMessage
from .messages import ShedMessage
from .peers import Link
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_merged import merged_set
from .relay_peers import RelayPeers
from .relay_peers import receives


class EndpointCall(t.NamedTuple):
    """A call to an endpoint.

    :param call_id: the request's id, or another description of the call.
    :param target: the model that the call is for.
    :param adapter: the adapter that it is for.
    :param is_request: it is a caller's request; each response to it carries the request's id.
    """

    call_id: str
    target: str = ""
    adapter: str = ""
    is_request: bool = False


def make_notice_handler(context: RelayContext, endpoint: str, call: EndpointCall) -> OnHead:
    """Return a handler for the heads of an endpoint's responses to one call.

    A notice is attributed to the process that is known now, when the call begins: a response that
    arrives after a restart may be from the earlier process.
    """
    view = context.state.endpoints.get(endpoint)
    started_ms = notice_handlers.known_start(view) if view is not None else 0
    address = view.address if view is not None else ""
    began_at = clock.now()

    def handle(head: HttpHead) -> None:
        notice = context.dialect.read_notice(head)
        if not notice_handlers.has_news(context.state, endpoint, notice):
            return
        is_own = _is_own(context, call, head)
        if not is_own:
            # It says for how long to rest from a moment that isn't known any more.
            notice = notice.without_backoff()
        # Only a response to this very request determines the time of the notice and what is missing
        # there: one to another request may be old, and those to orders and reads of reports do not
        # apply to requests.
        own_response = call.is_request and is_own
        log(
            "endpoint_said",
            endpoint=endpoint,
            asked=call.call_id,
            status=head.status,
            life=notice.process_name,
            leaving=notice.leaving,
            rest_s=-1 if notice.backoff_s is None else notice.backoff_s,
            rate=-1 if notice.rate is None else notice.rate,
            malformed=notice.malformed,
        )
        event = NoticeReceived(
            clock.now(),
            endpoint,
            started_ms,
            notice,
            address,
            call.target if own_response else "",
            call.adapter if own_response else "",
            began_at if own_response else None,
        )
        context.submit(event)

    return handle


def _is_own(context: RelayContext, call: EndpointCall, head: HttpHead) -> bool:
    """Return whether a head is of a response to this call, and not of one to an earlier call."""
    request_id = call.call_id if call.is_request else ""
    return context.dialect.match_answer(head, request_id).matches


def share_leaving(peers: RelayPeers, rows: tuple[Leaving, ...], source: str) -> None:
    """Send leaving endpoints to all nodes except for the source."""
    peers.broadcast(encode_leaving(rows, clock.now()), source)


@merged_set("leaving", lambda state: state.notices.digest(state.now))
def send_all_leaving(peers: RelayPeers, link: Link) -> None:
    """Send a node all leaving endpoints."""
    now = clock.now()
    rows = peers.context.state.notices.list_leaving(now)
    if rows:
        link.send(encode_leaving(rows, now))


@receives(LeavingMessage)
def handle_leaving(peers: RelayPeers, link: Link, message: LeavingMessage) -> None:
    """Process leaving endpoints that another node sent."""
    now = clock.now()
    peers.context.submit(LeavingReceived(now, decode_leaving(message, now), link.name))


def share_rates(peers: RelayPeers, rows: tuple[RateRecord, ...], source: str) -> None:
    """Send endpoints' rate limits to all nodes except for the source."""
    peers.broadcast(RatesMessage([RateLimitRow(*row) for row in rows]), source)


@merged_set("rates", lambda state: state.rates.digest())
def send_all_rates(peers: RelayPeers, link: Link) -> None:
    """Send a node the rate limits of all endpoints."""
    rows = peers.context.state.rates.records()
    if rows:
        link.send(RatesMessage([RateLimitRow(*row) for row in rows]))


@receives(RatesMessage)
def handle_rates(peers: RelayPeers, link: Link, message: RatesMessage) -> None:
    """Process rate limits that another node sent."""
    rows = tuple(
        RateRecord(row.endpoint, row.started_ms, row.version, row.rate) for row in message.rows
    )
    peers.context.submit(RatesReceived(clock.now(), rows, link.name))


@handles_relay_effect(ShareRates)
def handle_share_rates(context: RelayContext, effect: ShareRates) -> None:
    """Send the other nodes endpoints' rate limits."""
    context.share_rates(effect.rows, effect.source)


@handles_relay_effect(ShareLeaving)
def handle_share_leaving(context: RelayContext, effect: ShareLeaving) -> None:
    """Send the other nodes leaving endpoints."""
    context.share_leaving(effect.rows, effect.source)


@handles_relay_effect(ShareShed)
def handle_share_shed(context: RelayContext, effect: ShareShed) -> None:
    """Send the other nodes that an endpoint sheds load."""
    context.share_shed(effect.endpoint, effect.for_s)


def share_shed(peers: RelayPeers, endpoint: str, for_s: float) -> None:
    """Send all nodes that an endpoint sheds load."""
    peers.broadcast(ShedMessage(endpoint, for_s))


@receives(ShedMessage)
def handle_shed(peers: RelayPeers, link: Link, message: ShedMessage) -> None:
    """Process and forward that an endpoint sheds load, as another node found."""
    peers.context.submit(ShedReceived(clock.now(), message.endpoint, message.for_s))
    peers.broadcast(message, link.name)
