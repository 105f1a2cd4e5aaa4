"""What the lease holder keeps of each endpoint that counts the orders it takes."""

import math
import typing as t

from . import defaults
from .events import EndpointReported
from .routes import EngineSize
from .routes import ModelSize


class Order(t.NamedTuple):
    """An order on its way to an endpoint, or under way there.

    :param taken_before: orders that the endpoint had taken before it.
    :param taken: the endpoint said so.
    :param lost: no answer came, so it may have been taken, or may be yet.
    :param length_s: how long it is expected to take, in seconds.
    :param sends: how often it was sent, each time upon the same count.
    :param back_at: when the last caller will have come back for whom it was given.
    :param wanted_at: since when those for whom it was given had waited.
    """

    action: str
    model: str
    adapter: str
    taken_before: int
    sent_at: float
    taken: bool = False
    lost: bool = False
    length_s: float = 0.0
    sends: int = 1
    back_at: float = -1e9
    wanted_at: float = math.inf

    def ends_at(self) -> float:
        """Give the moment at which it is expected to be over."""
        return self.sent_at + self.length_s


# The service, model and adapter that requests wait for; no adapter where it is the model.
WantKey = tuple[str, str, str]


class OpenWant(t.NamedTuple):
    """What requests wait for that no endpoint holds.

    :param first_at: when it was first asked for, and ``asked_at`` when last.
    :param times: requests that asked for it.
    :param declined: why nothing was ordered for it when last looked at.
    :param given_up: nobody has asked for it for a while.
    :param back_at: when the last of its callers will have come back.
    """

    first_at: float
    asked_at: float
    times: int = 1
    declined: str = ""
    given_up: bool = False
    back_at: float = -1e9

    def ask_again(self, now: float, back_s: float) -> "OpenWant":
        """Count another request."""
        back_at = max(self.back_at, now + back_s)
        return self._replace(asked_at=now, times=self.times + 1, given_up=False, back_at=back_at)

    def live(self, now: float) -> bool:
        """Say whether a caller waits for it, or is to come back."""
        return now <= max(self.asked_at + defaults.WANT_LIFE_S, self.back_at)


class Stay(t.NamedTuple):
    """An adapter at an endpoint.

    :param since: when it was attached.
    :param kept_until: when the callers for whom it was attached will have been seen to use it.
    :param used: a request was seen to use it.
    :param wanted_at: since when those for whom it was attached had waited.
    """

    since: float
    kept_until: float
    used: bool = False
    wanted_at: float = math.inf


class Room:
    """One endpoint as the lease holder accounts for it.

    :param trusted: its own report was read under this lease.
    :param room_for: the model that the last unload made room for; it has the first call
        on that room.
    :param withdrawn: adapters and models that no new request may use, and since when;
        each is unloaded once its last request has ended.
    :param stays: adapters that were attached under this lease.
    :param kept: models that were loaded for callers, and until when these may come back.
    """

    __slots__ = (
        "asked_at",
        "doubts",
        "kept",
        "order",
        "room_for",
        "stays",
        "trusted",
        "withdrawn",
    )

    def __init__(self) -> None:
        self.trusted = False
        self.room_for = ""
        self.withdrawn: dict[str, float] = {}
        self.stays: dict[str, Stay] = {}
        self.kept: dict[str, float] = {}
        self.order: Order | None = None
        self.asked_at = -1e9
        # Loads that got no answer and may be carried out yet.
        self.doubts: list[Order] = []

    def withdrawn_adapters(self) -> list[str]:
        """Name the adapters that no new request may use."""
        return [name for name in self.withdrawn if "/" in name]

    def going_adapters(self) -> list[str]:
        """Name the withdrawn adapters that are unloaded by themselves, not with their model."""
        return [
            name for name in self.withdrawn_adapters() if split_name(name)[0] not in self.withdrawn
        ]

    def withdraw(self, name: str, now: float, adapters: t.Iterable[str] = ()) -> None:
        """Let no new request use an adapter, or a model with its adapters.

        A model's adapters take their memory and places until it is unloaded.

        :param adapters: those that are attached there, of any model.
        """
        self.withdrawn[name] = now
        for adapter in adapters:
            if split_name(adapter)[0] == name:
                self.withdrawn[adapter] = now

    def keeps(self, adapter: str, now: float) -> bool:
        """Say whether an adapter is kept for the callers for whom it was attached."""
        stay = self.stays.get(adapter)
        return stay is not None and now < stay.kept_until

    def kept_models(self, now: float) -> frozenset[str]:
        """Name the models that are kept for their callers, and forget those that are not."""
        self.kept = {model: until for model, until in self.kept.items() if now < until}
        return frozenset(self.kept)

    def withdrawn_models(self) -> list[str]:
        """Name the models that no new request may use."""
        return [name for name in self.withdrawn if "/" not in name]


class Residency:
    """What the lease holder knows and wants, apart from what endpoints report."""

    def __init__(self) -> None:
        self.epoch = 0
        self.rooms: dict[str, Room] = {}
        self.wanted: dict[WantKey, OpenWant] = {}
        self.planned_at = -1e9
        self.used_noted_at = -1e9
        # What was asked in vain of each model that stands nowhere, in tokens.
        self.owed: dict[str, float] = {}
        # Why models that are asked for were not brought by the last plan.
        self.declined: dict[str, str] = {}
        self.summed_at = -1e9
        # How long after an order endpoints' reports have shown it so far, in seconds.
        self.look_s = defaults.ORDER_LOOK_S

    def note_lag(self) -> None:
        """A report came too early to show an order that was taken: look later from now on."""
        self.look_s = min(defaults.ORDER_LOOK_MAX_S, self.look_s + defaults.ORDER_LOOK_STEP_S)


def still_there(order: Order, report: EndpointReported) -> bool:
    """Say whether what was to be unloaded is still in use there."""
    if order.action != "unload":
        return False
    if order.adapter:
        return order.adapter in report.adapters
    return any(name == order.model for name, _ in report.resident)


def split_name(name: str) -> tuple[str, str]:
    """Give the model and the adapter that a name stands for; no adapter for a model's."""
    return name.partition("/")[0], name if "/" in name else ""


def without(report: EndpointReported, model: str, adapter: str) -> EndpointReported:
    """Give a report that lacks an adapter, or a model with all its adapters."""
    if adapter:
        return report._replace(adapters=tuple(one for one in report.adapters if one != adapter))
    return report._replace(
        resident=tuple(row for row in report.resident if row[0] != model),
        adapters=tuple(one for one in report.adapters if not one.startswith(f"{model}/")),
    )


def model_mb(engine: EngineSize, model: str) -> float:
    """Give the memory of a model, in megabytes; the largest's if it is declared no more."""
    size = engine.models.get(model)
    if size is not None:
        return size.memory_mb
    return max((one.memory_mb for one in engine.models.values()), default=0.0)


def adapter_mb(engine: EngineSize, adapter: str) -> float:
    """Give the memory of an adapter, in megabytes; none if its model is declared no more."""
    size = engine.models.get(adapter.partition("/")[0])
    return size.adapter_mb if size is not None else 0.0


def used_mb(engine: EngineSize, report: EndpointReported) -> float:
    """Give the memory that weights and adapters take, in megabytes."""
    models = sum(model_mb(engine, name) for name, _ in report.resident)
    return models + sum(adapter_mb(engine, adapter) for adapter in report.adapters)


def withdrawn_mb(engine: EngineSize, room: Room) -> float:
    """Give the memory of what is there yet, though no new request uses it."""
    adapters = sum(adapter_mb(engine, name) for name in room.withdrawn_adapters())
    return adapters + sum(model_mb(engine, name) for name in room.withdrawn_models())


def order_mb(engine: EngineSize, order: Order) -> float:
    """Give the memory that a load takes, in megabytes."""
    if order.adapter:
        return adapter_mb(engine, order.adapter)
    return model_mb(engine, order.model)


def from_store(size: ModelSize, report: EndpointReported) -> bool:
    """Say whether an endpoint would fetch a model from the weight store."""
    return size.name not in report.in_memory and size.name not in report.on_disk


def load_time_s(size: ModelSize, report: EndpointReported) -> float:
    """Give how long an endpoint takes to load a model, in seconds.

    A configuration that tells no time for a nearer copy means the store's time.
    """
    if size.name in report.in_memory:
        return size.warm_s or size.load_s
    if size.name in report.on_disk:
        return size.disk_s or size.load_s
    return size.load_s


def list_doubts(room: Room, now: float, but: str) -> list[Order]:
    """List the loads without an answer that may come yet, but for one of a name."""
    room.doubts = [one for one in room.doubts if now - one.sent_at <= defaults.LATE_ORDER_S]
    return [one for one in room.doubts if (one.adapter or one.model) != but]


def doubted_mb(engine: EngineSize, room: Room, now: float, but: str) -> float:
    """Give the memory that loads without an answer may take yet, in megabytes."""
    return sum(order_mb(engine, order) for order in list_doubts(room, now, but))


def doubted_places(room: Room, now: float, but: str) -> int:
    """Give the places for adapters that loads without an answer may take yet."""
    return sum(1 for order in list_doubts(room, now, but) if order.adapter)
