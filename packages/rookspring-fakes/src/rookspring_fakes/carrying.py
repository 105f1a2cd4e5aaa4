"""Registry of how the world carries out effects, and the objects' encoding."""

import typing as t

import orjson

if t.TYPE_CHECKING:
    from .world import VirtualNode
    from .world import World


Performer = t.Callable[["World", "VirtualNode", t.Any], None]
PERFORMERS: dict[type[t.Any], Performer] = {}
F = t.TypeVar("F", bound=t.Callable[..., None])


def performs(effect_type: type[t.Any]) -> t.Callable[[F], F]:
    """Register how the world carries out an effect type."""

    def register(function: F) -> F:
        PERFORMERS[effect_type] = function
        return function

    return register


def perform(world: "World", node: "VirtualNode", effect: t.Any) -> None:
    """Carry out an effect; those without a performer have none to show here."""
    performer = PERFORMERS.get(type(effect))
    if performer is not None:
        performer(world, node, effect)


def pack(value: t.Any) -> bytes:
    """Turn a value into the bytes of an object."""
    return orjson.dumps(value)


def unpack(raw: bytes) -> t.Any:
    """Turn an object's bytes back."""
    return orjson.loads(raw)
