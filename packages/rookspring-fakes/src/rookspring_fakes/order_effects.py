"""Delivery of orders in the simulation, with loss, delay and duplicates, and checks of them."""

import typing as t

from rookspring_core import defaults
from rookspring_core.effects import SendOrder
from rookspring_core.events import OrderAnswered

from .effect_registry import handles_effect
from .effect_registry import unpack
from .engine import Engine
from .engine import Order
from .request_effects import schedule_check

if t.TYPE_CHECKING:
    from .world import VirtualNode
    from .world import World


@handles_effect(SendOrder)
def _send_order(world: "World", node: "VirtualNode", effect: SendOrder) -> None:
    world.orders_sent += 1
    _check_holder(world, node, effect)
    view = node.state.endpoints.get(effect.endpoint)
    incarnation = view.report.incarnation if view and view.report else ""
    order = Order(
        effect.token,
        effect.action,
        (effect.model, effect.model_version),
        effect.memory_gb,
        incarnation,
    )
    lost = world.order_faults.draw("lose") or not world.reachable(node.name, effect.endpoint)
    late = world.order_faults.delay()
    if lost or late:
        world.clock.call(1.0, node.submit, OrderAnswered(0.0, effect.endpoint, effect.token, None))
    sent_at = world.clock.now
    if not lost:
        reply = None if late else node
        delay = world.latency_s + late
        world.clock.call(delay, _deliver_order, world, reply, effect, order, sent_at)
    if world.order_faults.draw("repeat"):
        again = world.random.random() * max(1.0, world.order_faults.delay_s)
        world.clock.call(again, _deliver_order, world, None, effect, order, sent_at)


def _check_holder(world: "World", node: "VirtualNode", effect: SendOrder) -> None:
    """Record a violation if a node sends an order although a later epoch's lease is written."""
    found = world.store.objects.get(("lease", "control"))
    if found is None:
        return
    lease = unpack(found.value)
    if lease["epoch"] > effect.token[0]:
        world.violations.append(
            f"{node.name} ordered in epoch {effect.token[0]} after {lease['holder']}"
            f" took epoch {lease['epoch']}"
        )


def _deliver_order(
    world: "World",
    node: "VirtualNode | None",
    effect: SendOrder,
    order: Order,
    sent_at: float,
) -> None:
    if effect.endpoint in world.crashed_engines:
        if node is not None:
            answer = OrderAnswered(0.0, effect.endpoint, effect.token, None)
            world.clock.call(1.0, node.submit, answer)
        return
    engine = world.engines[effect.endpoint]
    if order.action == "unload" and order.key in engine.resident:
        _check_last_copy(world, engine, order, sent_at)
    accepted, reason = engine.apply_order(world.clock.now, order)
    schedule_check(world, engine)
    if node is not None:
        event = OrderAnswered(0.0, effect.endpoint, effect.token, accepted, reason)
        world.clock.call(world.latency_s, node.submit, event)


def _is_known_crashed(world: "World", engine: Engine) -> bool:
    """Return whether a runner crashed so long ago that the lease holder must know."""
    known_after = defaults.CONFIRMED_S + 0.5
    crashed_at = world.crashed_at.get(engine.name, world.clock.now)
    return engine.name in world.crashed_engines and world.clock.now - crashed_at > known_after


def _check_last_copy(world: "World", engine: Engine, order: Order, sent_at: float) -> None:
    """Record a violation if a declared model's last copy is unloaded.

    It is none if another copy was lost in a crash after the order was sent: an order can't be
    revoked at an endpoint that does not check orders. Nor is it one if the endpoint will refuse
    the order as outdated.
    """
    model = order.key[0]
    if any(at >= sent_at and model in models for at, models in world.engine_crashes):
        return
    if engine.checks_orders and order.token < engine.order_token:
        return
    if ("resource", f"Model.{order.key[0]}") not in world.store.objects:
        return
    others = [
        other
        for other in world.engines.values()
        if other is not engine and not _is_known_crashed(world, other)
    ]
    if not any(other.hosts(order.key[0]) for other in others):
        versions = [key for key in engine.resident if key[0] == order.key[0]]
        if versions == [order.key]:
            world.violations.append(f"the last copy of {order.key[0]} was unloaded")
