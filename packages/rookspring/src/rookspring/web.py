"""The HTTP server of a node: routes, limits, and errors in one format."""

import typing as t

from sanic import Request
from sanic import Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse

from . import callers
from . import defaults
from . import operators
from .exceptions import CallerError
from .exceptions import CallerGone
from .logs import log
from .node_context import NodeContext

_patched_apps: list[str] = []


def make_app(node: NodeContext) -> Sanic[t.Any, t.Any]:
    """Build the application of one node."""
    name = f"rookspring-{node.settings.name}-{node.state.identity.incarnation}"
    app: Sanic[t.Any, t.Any] = Sanic(name, configure_logging=False)
    app.config.REQUEST_MAX_SIZE = defaults.BODY_BYTES_MAX
    app.config.REQUEST_TIMEOUT = int(defaults.HEADER_READ_S)
    # Answers may stream for long; a silent endpoint is detected on its own connection.
    app.config.RESPONSE_TIMEOUT = 86_400
    app.config.KEEP_ALIVE_TIMEOUT = 30
    app.config.ACCESS_LOG = False
    app.config.MOTD = False
    # This removes the dispatch of unused signals from the server's source, once per
    # process; a second application must not try again.
    app.config.TOUCHUP = not _patched_apps
    _patched_apps.append(name)
    app.blueprint(callers.make_blueprint(node))
    app.blueprint(operators.make_blueprint(node))
    app.blueprint(operators.make_health_blueprint(node))
    app.exception(CallerError)(_answer_caller_error)
    app.exception(CallerGone)(_answer_disconnected)
    app.exception(SanicException)(_answer_http_error)
    app.exception(Exception)(_answer_fault)
    return app


async def _answer_caller_error(request: Request, error: CallerError) -> HTTPResponse:
    return callers.json_answer(error.body(), status=error.status)


async def _answer_disconnected(request: Request, error: CallerGone) -> HTTPResponse:
    return callers.json_answer({}, status=499)


async def _answer_http_error(request: Request, error: SanicException) -> HTTPResponse:
    converted = CallerError(error.status_code or 500, "request", str(error))
    return callers.json_answer(converted.body(), status=converted.status)


async def _answer_fault(request: Request, error: Exception) -> HTTPResponse:
    log("task_failed", "ERROR", path=request.path, error=type(error).__name__, detail=error)
    converted = CallerError(500, "request", "the node could not serve it", "unknown")
    return callers.json_answer(converted.body(), status=500)


async def serve(node: NodeContext) -> t.Any:
    """Listen for callers and operators, within this process and loop."""
    app = make_app(node)
    server = await app.create_server(
        host=node.settings.host,
        port=node.settings.port,
        ssl=node.tls,
        return_asyncio_server=True,
        backlog=1024,
    )
    # The server's own methods carry no types.
    running: t.Any = server
    await running.startup()
    await running.start_serving()
    return running


async def close(server: t.Any) -> None:
    """Stop listening and end idle connections."""
    if server is None:
        return
    server.close()
    for connection in list(server.connections):
        connection.close_if_idle()
    await server.wait_closed()


async def abort(server: t.Any) -> None:
    """Abort all connections, as a crash of the process would."""
    server.close()
    for connection in list(server.connections):
        if connection.transport is not None:
            connection.transport.abort()
