"""Counts the requests of callers and operators that a node still has to answer."""

import functools
import typing as t

from sanic import HTTPResponse
from sanic import Request

from .node_context import NodeContext

Handler = t.Callable[..., t.Coroutine[t.Any, t.Any, HTTPResponse | None]]


def counted(node: NodeContext) -> t.Callable[[Handler], Handler]:
    """Make a handler count in ``open_calls`` of its node, so that a planned stop waits for it."""

    def decorate(handler: Handler) -> Handler:
        @functools.wraps(handler)
        async def run(request: Request, *args: t.Any, **fields: t.Any) -> HTTPResponse | None:
            node.open_calls += 1
            try:
                return await handler(request, *args, **fields)
            finally:
                node.open_calls -= 1

        return run

    return decorate
