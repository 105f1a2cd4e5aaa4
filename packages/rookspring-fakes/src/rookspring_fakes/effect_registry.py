"""Registry of the functions that carry out effects in the simulation, and encoding of objects."""

import typing as t

import orjson

if t.TYPE_CHECKING:
    from .world import VirtualNode
    from .world import World


EffectHandler = t.Callable[["World", "VirtualNode", t.Any], None]
EFFECT_HANDLERS: dict[type[t.Any], EffectHandler] = {}
F = t.TypeVar("F", bound=t.Callable[..., None])


def handles_effect(effect_type: type[t.Any]) -> t.Callable[[F], F]:
    """Register the function that carries out effects of a type."""

    def register(function: F) -> F:
        EFFECT_HANDLERS[effect_type] = function
        return function

    return register


def perform(world: "World", node: "VirtualNode", effect: t.Any) -> None:
    """Carry out an effect; one without a registered function has no effect in the simulation."""
    handler = EFFECT_HANDLERS.get(type(effect))
    if handler is not None:
        handler(world, node, effect)


def pack(value: t.Any) -> bytes:
    """Encode a value as the bytes of an object."""
    return orjson.dumps(value)


def unpack(raw: bytes) -> t.Any:
    """Decode the bytes of an object."""
    return orjson.loads(raw)
