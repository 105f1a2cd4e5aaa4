"""Calls of a node's own to endpoints: orders, reports, copies of runs, and who listens.

They share kept connections with callers' requests, but their answers carry no request's id, so
nothing tells two of them apart. Each goes on a connection that has carried none yet, and an answer
with a request's id is not one to a call; see :mod:`_client_connection`.
"""

import typing as t

from . import defaults
from . import http_client
from .http_client import OnHead
from .http_messages import HttpHead
from .logs import log
from .relay_context import RelayContext

# All these calls count as one request, by this id.
NO_REQUEST = ""


class OwnCall(t.NamedTuple):
    """A call to an endpoint.

    :param what: it is, for the log.
    :param endpoint: its name, for the log.
    """

    what: str
    endpoint: str
    address: str


async def call_endpoint(
    context: RelayContext, call: OwnCall, data: bytes, timeout_s: float, hear: OnHead
) -> tuple[HttpHead, bytes]:
    """Make a call, and return its complete answer.

    :param data: the bytes of the call.
    :param hear: called with each head that comes, also of answers to others.
    :raises EndpointError: if there is none within ``timeout_s``.
    """

    def accept(head: HttpHead) -> bool:
        matches = context.dialect.match_answer(head, NO_REQUEST).matches
        if not matches:
            log(
                "answer_skipped",
                "WARNING",
                endpoint=call.endpoint,
                asked=call.what,
                status=head.status,
            )
        return matches

    return await http_client.call(
        context.pool,
        call.address,
        data,
        hear,
        timeout_s,
        defaults.REPORT_BYTES_MAX,
        accept=accept,
        request_id=NO_REQUEST,
    )
