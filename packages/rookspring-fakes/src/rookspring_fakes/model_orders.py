"""The fake model server's part in orders: it takes them, refuses them or loses their answers."""

import asyncio
import typing as t

import orjson

from .model_steps import TWICE
from .model_steps import ReceivedRequest
from .model_steps import Recorder
from .model_steps import send
from .resets import close_connection
from .resets import reset_connection

if t.TYPE_CHECKING:
    from .model_server import ModelServer

# How the answer to an order is lost, by the words of the order script: also ``take and`` each.
LOSSES: dict[str, t.Callable[[t.Any], None]] = {"lose": reset_connection, "close": close_connection}


def take_order(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Answer an order as the order script says; return whether the connection stays open."""
    order = orjson.loads(request.body)
    server.orders.append(order)
    script = server.order_script.pop(0) if server.order_script else "take"
    how = script.removesuffix(TWICE)
    if how in LOSSES:
        LOSSES[how](writer.transport)
        return False
    taken, _, loss = how.partition(" and ")
    status = _check(server, order) if taken == "take" else int(how)
    if status == 202:
        _apply(server, order)
    if loss:
        LOSSES[loss](writer.transport)
        return False
    recorder = Recorder(writer)
    send(server, recorder, status, b"", {})
    if script.endswith(TWICE):
        server.late_answers[writer] = bytes(recorder.written)
    return True


def _check(server: "ModelServer", order: dict[str, t.Any]) -> int:
    if order["fencing-token"] < server.fence:
        return 412
    server.fence = order["fencing-token"]
    return (
        202
        if order.get("expected-count", server.accepted_orders) == server.accepted_orders
        else 409
    )


def _apply(server: "ModelServer", order: dict[str, t.Any]) -> None:
    server.accepted_orders += 1
    model = order["model"]
    if "adapter" in order:
        held = server.models.setdefault(model, [])
        if order["operation"] == "load":
            held.append(order["adapter"])
        else:
            held.remove(order["adapter"])
    elif order["operation"] == "load":
        server.models[model] = []
    else:
        server.models.pop(model, None)
