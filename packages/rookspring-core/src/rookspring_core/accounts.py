"""The lease holder's accounts of endpoints that count the orders they take."""

import math
import typing as t

from . import defaults
from .events import EndpointReported
from .routes import EngineSize
from .routes import ModelSize


class Order(t.NamedTuple):
    """An order that was sent to an endpoint and has not ended.

    :param taken_before: number of orders that the endpoint had taken before it.
    :param taken: the endpoint answered that it took the order.
    :param unanswered: no answer came; it may have been taken, or may still be.
    :param length_s: expected duration, in seconds.
    :param sends: how often it was sent, always with the same count.
    :param callers_back_by: when the last of the callers that it serves will have retried.
    :param requested_at: when the load request that it serves began.
    """

    action: str
    model: str
    adapter: str
    taken_before: int
    sent_at: float
    taken: bool = False
    unanswered: bool = False
    length_s: float = 0.0
    sends: int = 1
    callers_back_by: float = -1e9
    requested_at: float = math.inf

    def ends_at(self) -> float:
        """Return the time at which the order is expected to end."""
        return self.sent_at + self.length_s


# Service, model and adapter that requests wait for; the adapter is empty if it is the model.
LoadRequestKey = tuple[str, str, str]


class PendingLoadRequest(t.NamedTuple):
    """An unserved load request, for a model or adapter that no endpoint holds.

    :param first_at: time of the first request for it, and ``asked_at`` of the last.
    :param times: number of requests for it.
    :param declined: why nothing was ordered for it at the last attempt.
    :param given_up: no caller waits for it now or is expected to retry.
    :param callers_back_by: when the last of its callers will have retried.
    """

    first_at: float
    asked_at: float
    times: int = 1
    declined: str = ""
    given_up: bool = False
    callers_back_by: float = -1e9

    def record_request(self, now: float, back_s: float) -> "PendingLoadRequest":
        """Count another request."""
        callers_back_by = max(self.callers_back_by, now + back_s)
        return self._replace(
            asked_at=now, times=self.times + 1, given_up=False, callers_back_by=callers_back_by
        )

    def is_active(self, now: float) -> bool:
        """Return whether a caller waits for it or is expected to retry."""
        return now <= max(self.asked_at + defaults.LOAD_REQUEST_TTL_S, self.callers_back_by)


class Attachment(t.NamedTuple):
    """The time that an adapter is attached to an endpoint.

    :param since: when it was attached.
    :param protected_until: when use by the callers for whom it was attached will have been
        reported.
    :param used: a request has used it.
    :param requested_at: when the load request for which it was attached began.
    """

    since: float
    protected_until: float
    used: bool = False
    requested_at: float = math.inf


class EndpointAccount:
    """The lease holder's account of one endpoint.

    :param trusted: the endpoint's own report was applied under this lease.
    :param room_for: the model that the last unload made room for; the room is reserved
        for it.
    :param withdrawn: adapters and models that no new request may use, with the time of
        their withdrawal; each is unloaded once its last request has ended.
    :param attachments: adapters that were attached under this lease.
    :param protected: models that were loaded for callers, with the time by which these will
        have retried; they are not evicted before.
    """

    __slots__ = (
        "report_requested_at",
        "unanswered_loads",
        "protected",
        "order",
        "room_for",
        "attachments",
        "trusted",
        "withdrawn",
    )

    def __init__(self) -> None:
        self.trusted = False
        self.room_for = ""
        self.withdrawn: dict[str, float] = {}
        self.attachments: dict[str, Attachment] = {}
        self.protected: dict[str, float] = {}
        self.order: Order | None = None
        self.report_requested_at = -1e9
        # Loads without an answer, which may still be carried out.
        self.unanswered_loads: list[Order] = []

    def withdrawn_adapters(self) -> list[str]:
        """Return the adapters that no new request may use."""
        return [name for name in self.withdrawn if "/" in name]

    def adapters_withdrawn_alone(self) -> list[str]:
        """Return the withdrawn adapters whose model is not withdrawn."""
        return [
            name for name in self.withdrawn_adapters() if split_name(name)[0] not in self.withdrawn
        ]

    def withdraw(self, name: str, now: float, adapters: t.Iterable[str] = ()) -> None:
        """Close an adapter, or a model with its adapters, to new requests.

        A model's adapters keep their memory and slots until the model is unloaded.

        :param adapters: all adapters that are attached there, of any model.
        """
        self.withdrawn[name] = now
        for adapter in adapters:
            if split_name(adapter)[0] == name:
                self.withdrawn[adapter] = now

    def protects(self, adapter: str, now: float) -> bool:
        """Return whether an adapter is protected for the callers for whom it was attached."""
        attachment = self.attachments.get(adapter)
        return attachment is not None and now < attachment.protected_until

    def protected_models(self, now: float) -> frozenset[str]:
        """Return the models that are protected for their callers, and drop expired ones."""
        self.protected = {model: until for model, until in self.protected.items() if now < until}
        return frozenset(self.protected)

    def withdrawn_models(self) -> list[str]:
        """Return the models that no new request may use."""
        return [name for name in self.withdrawn if "/" not in name]


class KeptClaim(t.NamedTuple):
    """A claim that the lease holder keeps from plan to plan.

    :param expected_at: when the model should be resident, by the last plan.
    :param promised_at: the same, by the plan that made the claim.
    :param shared_at: the same, as it was last shared with the other nodes; None if it was not.
    :param late: the log has it that the promised time has passed.
    """

    runner: str
    expected_at: float
    promised_at: float
    shared_at: float | None = None
    late: bool = False


class Residency:
    """The lease holder's state beyond endpoints' reports: accounts, load requests and planning."""

    def __init__(self) -> None:
        self.epoch = 0
        self.accounts: dict[str, EndpointAccount] = {}
        self.load_requests: dict[LoadRequestKey, PendingLoadRequest] = {}
        self.planned_at = -1e9
        self.used_noted_at = -1e9
        # Tokens requested of each model while it is resident nowhere.
        self.deficits: dict[str, float] = {}
        # Why the last plan did not load requested models.
        self.declined: dict[str, str] = {}
        self.deficits_updated_at = -1e9
        # Runners that models without a replica claim, by service and model.
        self.claims: dict[str, dict[str, KeptClaim]] = {}
        # Delay until endpoints' reports show the end of an order, learnt so far, in seconds.
        self.report_lag_s = defaults.ORDER_CHECK_S

    def raise_report_lag(self) -> None:
        """Read reports later from now on, as one was too early to show an order's end."""
        self.report_lag_s = min(
            defaults.ORDER_CHECK_MAX_S, self.report_lag_s + defaults.ORDER_CHECK_STEP_S
        )


def still_held(order: Order, report: EndpointReported) -> bool:
    """Return whether a report still shows what an order was to unload."""
    if order.action != "unload":
        return False
    if order.adapter:
        return order.adapter in report.adapters
    return any(name == order.model for name, _ in report.resident)


def split_name(name: str) -> tuple[str, str]:
    """Split a name into its model and adapter; the adapter is empty for a model's name."""
    return name.partition("/")[0], name if "/" in name else ""


def report_without(report: EndpointReported, model: str, adapter: str) -> EndpointReported:
    """Return a report without an adapter, or without a model and all its adapters."""
    if adapter:
        return report._replace(adapters=tuple(one for one in report.adapters if one != adapter))
    return report._replace(
        resident=tuple(row for row in report.resident if row[0] != model),
        adapters=tuple(one for one in report.adapters if not one.startswith(f"{model}/")),
    )


def model_mb(engine: EngineSize, model: str) -> float:
    """Return a model's memory, in megabytes; the largest model's if it is no longer declared."""
    size = engine.models.get(model)
    if size is not None:
        return size.memory_mb
    return max((one.memory_mb for one in engine.models.values()), default=0.0)


def adapter_mb(engine: EngineSize, adapter: str) -> float:
    """Return an adapter's memory, in megabytes; 0 if its model is no longer declared."""
    size = engine.models.get(adapter.partition("/")[0])
    return size.adapter_mb if size is not None else 0.0


def used_mb(engine: EngineSize, report: EndpointReported) -> float:
    """Return the memory that models and adapters take, in megabytes."""
    models = sum(model_mb(engine, name) for name, _ in report.resident)
    return models + sum(adapter_mb(engine, adapter) for adapter in report.adapters)


def withdrawn_mb(engine: EngineSize, account: EndpointAccount) -> float:
    """Return the memory of withdrawn models and adapters, in megabytes."""
    adapters = sum(adapter_mb(engine, name) for name in account.withdrawn_adapters())
    return adapters + sum(model_mb(engine, name) for name in account.withdrawn_models())


def order_mb(engine: EngineSize, order: Order) -> float:
    """Return the memory that a load takes, in megabytes."""
    if order.adapter:
        return adapter_mb(engine, order.adapter)
    return model_mb(engine, order.model)


def loads_from_store(size: ModelSize, report: EndpointReported) -> bool:
    """Return whether an endpoint would load a model from the weight store."""
    return size.name not in report.in_memory and size.name not in report.on_disk


def load_time_s(size: ModelSize, report: EndpointReported) -> float:
    """Return the time that an endpoint takes to load a model, in seconds.

    Without a configured time for a copy in memory or on disk, it is the weight store's.
    """
    if size.name in report.in_memory:
        return size.warm_s or size.load_s
    if size.name in report.on_disk:
        return size.disk_s or size.load_s
    return size.load_s


def list_unanswered_loads(account: EndpointAccount, now: float, except_name: str) -> list[Order]:
    """Return the unanswered loads that may still be carried out, and drop expired ones.

    :param except_name: name of a model or adapter whose loads are left out.
    """
    account.unanswered_loads = [
        one for one in account.unanswered_loads if now - one.sent_at <= defaults.LATE_ORDER_S
    ]
    return [one for one in account.unanswered_loads if (one.adapter or one.model) != except_name]


def unanswered_mb(
    engine: EngineSize, account: EndpointAccount, now: float, except_name: str
) -> float:
    """Return the memory that unanswered loads may still take, in megabytes."""
    return sum(
        order_mb(engine, order) for order in list_unanswered_loads(account, now, except_name)
    )


def unanswered_slots(account: EndpointAccount, now: float, except_name: str) -> int:
    """Return the number of adapter slots that unanswered loads may still take."""
    return sum(1 for order in list_unanswered_loads(account, now, except_name) if order.adapter)
