"""What endpoints say of themselves: where it comes in, and how relay nodes tell each other.

It comes in by :func:`hear_at` alone, which each connection to an endpoint is given with what
is asked on it: requests, orders and reports alike.
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
from .http_client import Hear
from .http_messages import HttpHead
from .leavings import decode_leaving
from .leavings import encode_leaving
from .logs import log
from .messages import LeavingTold
from .messages import RatesTold
from .messages import ShedTold
from .peers import Link
from .relay_context import RelayContext
from .relay_context import relay_performs
from .relay_merged import merged_set
from .relay_peers import RelayPeers
from .relay_peers import receives


class Asked(t.NamedTuple):
    """What an endpoint was asked.

    :param what: the request's id, or what else it was.
    :param target: the model that was asked for, and the adapter.
    :param request: it was a request of a caller, whose id each answer to it bears.
    """

    what: str
    target: str = ""
    adapter: str = ""
    request: bool = False


def hear_at(context: RelayContext, endpoint: str, asked: Asked) -> Hear:
    """Make what takes the heads of an endpoint's answers to one thing that it is asked.

    Whose word it is is told by the life that is known now: an answer that comes once another
    life has begun may be of the process before.
    """
    view = context.state.endpoints.get(endpoint)
    born = notice_handlers.known_start(view) if view is not None else 0
    address = view.address if view is not None else ""
    began_at = clock.now()

    def hear(head: HttpHead) -> None:
        notice = context.dialect.read_notice(head)
        if not notice_handlers.has_news(context.state, endpoint, notice):
            return
        # An answer to another request may be of long before; orders and reports say nothing of
        # what holds for requests.
        mine = asked.request and context.dialect.judge(head, asked.what).mine
        log(
            "endpoint_said",
            endpoint=endpoint,
            asked=asked.what,
            status=head.status,
            life=notice.process_name,
            leaving=notice.leaving,
            rest_s=-1 if notice.backoff_s is None else notice.backoff_s,
            rate=-1 if notice.rate is None else notice.rate,
            malformed=notice.malformed,
        )
        said = NoticeReceived(
            clock.now(),
            endpoint,
            born,
            notice,
            address,
            asked.target,
            asked.adapter,
            began_at if mine else None,
        )
        context.submit(said)

    return hear


def share_leaving(peers: RelayPeers, rows: tuple[Leaving, ...], source: str) -> None:
    """Tell all nodes of endpoints that leave, but the one that told it."""
    peers.spread(encode_leaving(rows, clock.now()), source)


@merged_set("leaving", lambda state: state.notices.digest(state.now))
def tell_all(peers: RelayPeers, link: Link) -> None:
    """Tell a node of all endpoints that leave."""
    now = clock.now()
    rows = peers.context.state.notices.list_leaving(now)
    if rows:
        link.send(encode_leaving(rows, now))


@receives(LeavingTold)
def take_leaving(peers: RelayPeers, link: Link, told: LeavingTold) -> None:
    """Take what another node knows of endpoints that leave."""
    now = clock.now()
    peers.context.submit(LeavingReceived(now, decode_leaving(told, now), link.name))


def share_rates(peers: RelayPeers, rows: tuple[RateRecord, ...], source: str) -> None:
    """Tell all nodes how many requests a second endpoints take, but the one that told it."""
    peers.spread(RatesTold([list(row) for row in rows]), source)


@merged_set("rates", lambda state: state.rates.digest())
def tell_all_rates(peers: RelayPeers, link: Link) -> None:
    """Tell a node of all endpoints' rates."""
    rows = peers.context.state.rates.records()
    if rows:
        link.send(RatesTold([list(row) for row in rows]))


@receives(RatesTold)
def take_rates(peers: RelayPeers, link: Link, told: RatesTold) -> None:
    """Take what another node knows of endpoints' rates."""
    rows = tuple(
        RateRecord(str(row[0]), int(row[1]), int(row[2]), None if row[3] is None else float(row[3]))
        for row in told.rows
    )
    peers.context.submit(RatesReceived(clock.now(), rows, link.name))


@relay_performs(ShareRates)
def perform_rates(context: RelayContext, effect: ShareRates) -> None:
    """Tell the other nodes how many requests a second endpoints take."""
    context.share_rates(effect.rows, effect.source)


@relay_performs(ShareLeaving)
def perform_share(context: RelayContext, effect: ShareLeaving) -> None:
    """Tell the other nodes of endpoints that leave."""
    context.share_leaving(effect.rows, effect.source)


@relay_performs(ShareShed)
def perform_shed(context: RelayContext, effect: ShareShed) -> None:
    """Tell the other nodes of an endpoint that turns requests away."""
    context.share_shed(effect.endpoint, effect.for_s)


def share_shed(peers: RelayPeers, endpoint: str, for_s: float) -> None:
    """Tell all nodes of an endpoint that turns requests away."""
    peers.spread(ShedTold(endpoint, for_s))


@receives(ShedTold)
def take_shed(peers: RelayPeers, link: Link, told: ShedTold) -> None:
    """Take another node's word that an endpoint turns requests away."""
    peers.context.submit(ShedReceived(clock.now(), told.endpoint, float(told.for_s)))
    peers.spread(told, link.name)
