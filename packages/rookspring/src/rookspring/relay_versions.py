"""Whether a connection leads to the process that its endpoint's entry describes.

The decision is :mod:`stream_origins` of the core; see ``docs/design/stream-versions.md``.
"""

import asyncio
import contextlib
import typing as t

from rookspring_core import stream_origins
from rookspring_core.endpoints import EndpointView

from . import clock
from . import defaults
from .exceptions import EndpointError
from .http_client import ClientConnection
from .logs import log
from .relay import RelayExchange
from .relay_context import RelayContext


async def confirm(
    context: RelayContext,
    exchange: RelayExchange,
    view: EndpointView,
    connection: ClientConnection,
) -> None:
    """Wait until a connection is known to lead to the version that began a stream, if one did.

    :raises EndpointError: if it leads to another, or that is not known while the store fails;
        nothing was sent, and the connection is pooled.
    """
    # Its entry may have changed while the connection was opened, which takes up to a second.
    if not _find_reason(context, exchange, view, connection):
        return
    began_at = clock.now()
    with _release_if_failed(context, view, connection):
        while _is_doubted(context, exchange, view, connection):
            if not stream_origins.are_entries_read(context.state) or _is_due(exchange):
                break
            await asyncio.sleep(defaults.VERSION_CHECK_S)
        why = _find_reason(context, exchange, view, connection)
        log(
            "version_checked",
            id=exchange.fields.request_id,
            endpoint=view.name,
            version=view.software_version(),
            connection_age_s=clock.now() - connection.opened_at,
            store_age_s=context.state.topology.age_s(clock.now()),
            waited_s=clock.now() - began_at,
            doubt=why,
        )
        if why:
            raise EndpointError(why, sent=False, withheld=True, doubted=True)


def _is_due(exchange: RelayExchange) -> bool:
    """Return whether the deadline would end the wait, which counts as that of a sent request."""
    return exchange.deadline_at - clock.now() < 2.0 * defaults.VERSION_CHECK_S


@contextlib.contextmanager
def _release_if_failed(
    context: RelayContext, view: EndpointView, connection: ClientConnection
) -> t.Iterator[None]:
    try:
        yield
    except BaseException:
        context.pool.release(view.address, connection)
        raise


def _is_doubted(
    context: RelayContext,
    exchange: RelayExchange,
    view: EndpointView,
    connection: ClientConnection,
) -> bool:
    request = context.state.requests.get(exchange.key)
    if request is None or request.arrived.version is None:
        return False
    return stream_origins.may_be_another(context.state, view, connection.opened_at)


def _find_reason(
    context: RelayContext,
    exchange: RelayExchange,
    view: EndpointView,
    connection: ClientConnection,
) -> str:
    """Return why a stream's rest can't be sent now; empty if it can, or if it is no such rest."""
    request = context.state.requests.get(exchange.key)
    if request is None:
        return ""
    if request.arrived.version is None:
        return _find_reason_unbound(context, exchange, view)
    if _is_doubted(context, exchange, view, connection):
        return "its process may be another than its entry describes"
    if not connection.open:
        return "its connection closed"
    if stream_origins.may_go_on_at(context.state, request.arrived, view):
        return ""
    return "its version is another"


def _find_reason_unbound(context: RelayContext, exchange: RelayExchange, view: EndpointView) -> str:
    """Return why a take-up that may go on anywhere can't be sent now; empty if it can.

    It is bound to no version where one alone serves; a second may have come while it waited.
    """
    several = context.state.stream_versions.has_several(view.service, clock.now())
    if exchange.fields.resumes and several:
        return "a second version serves, and which one began its stream is not known"
    return ""
