"""Ledger of one endpoint's memory, kept by the lease holder.

``held + ordered + late orders + reserve <= capacity`` holds after every event. The memory
of a load counts from before the order is sent until a report made after it shows the
outcome; the memory of an unload counts until a report shows it gone.
"""

import typing as t

from . import defaults
from .events import EndpointReported

Weights = tuple[str, str]


class PendingOrder:
    """An order that was sent to an endpoint and that no report reflects yet."""

    __slots__ = ("accepted", "action", "answered_at", "gb", "key", "sent_at", "sequence", "token")

    def __init__(
        self, token: tuple[int, int], action: str, key: Weights, gb: float, sent_at: float
    ) -> None:
        self.token = token
        self.sequence = token[1]
        self.action = action
        self.key = key
        self.gb = gb
        self.sent_at = sent_at
        self.accepted: bool | None = None
        self.answered_at: float | None = None


class LateOrder(t.NamedTuple):
    """An order that may still arrive at an endpoint that does not check orders.

    A late load may take memory; a late unload may remove a replica.
    """

    action: str
    key: Weights
    gb: float
    until: float


class Ledger:
    """Memory of one endpoint as the lease holder accounts for it."""

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self.incarnation = ""
        self.capacity_gb = 0.0
        self.held: dict[Weights, float] = {}
        self.resident: set[Weights] = set()
        self.pending: PendingOrder | None = None
        self.accepted: list[PendingOrder] = []
        self.late_orders: list[LateOrder] = []
        self.sealed = False
        self.seal_token = (0, 0)
        self.claimed = False
        self.claimed_at = -1e9
        self.checks_orders = False
        self.recorded = False
        self.seen_token = (0, 0)
        self.report_made_at = -1e9
        self.usable = False

    @property
    def reserve_gb(self) -> float:
        """Return the working memory that is never promised to weights, in gigabytes."""
        return self.capacity_gb * defaults.MEMORY_RESERVE_SHARE

    def committed(self) -> float:
        """Return the memory that is held, or that sent or late orders may take, in gigabytes."""
        amounts = dict(self.held)
        for late_order in self.late_orders:
            if late_order.action != "unload":
                amounts[late_order.key] = max(amounts.get(late_order.key, 0.0), late_order.gb)
        for order in self.orders():
            if order.action in ("load", "attach"):
                amounts[order.key] = max(amounts.get(order.key, 0.0), order.gb)
        return sum(amounts.values())

    def orders(self) -> list[PendingOrder]:
        """List the orders that no report reflects yet: accepted ones, then the pending one."""
        return [*self.accepted, self.pending] if self.pending else list(self.accepted)

    def keys_of(self, action: str) -> set[Weights]:
        """Return the weights of the orders of one action that no report reflects yet."""
        return {order.key for order in self.orders() if order.action == action}

    def late_unloads(self) -> set[Weights]:
        """Return the weights that a late unload may still remove."""
        return {late_order.key for late_order in self.late_orders if late_order.action == "unload"}

    def staying(self) -> set[Weights]:
        """Return the resident weights that no order, sent or late, removes."""
        return self.resident - self.keys_of("unload") - self.late_unloads()

    def free(self) -> float:
        """Return the memory that may still be promised, in gigabytes."""
        return self.capacity_gb - self.reserve_gb - self.committed()

    def ready(self) -> bool:
        """Return whether an order may be given: fenced, reported since, and none pending."""
        return self._fenced() and self.usable and self.pending is None

    def _fenced(self) -> bool:
        """Return whether this holder's fence is set and a report made after it has arrived.

        A report from before the fence may lack the last order of the previous holder.
        """
        if self.checks_orders:
            return self.sealed and self.seen_token >= self.seal_token
        return self.claimed and self.report_made_at > self.claimed_at

    def seal(self, token: tuple[int, int]) -> None:
        """Record that the endpoint accepted the seal; reports made after it can be relied on."""
        self.sealed = True
        self.seal_token = token
        self.pending = None

    def claim(self, now: float) -> None:
        """Record that the endpoint's intent record now belongs to this holder."""
        self.claimed = True
        self.claimed_at = now
        self.pending = None

    def take_report(self, report: EndpointReported, sizes: t.Mapping[Weights, float]) -> None:
        """Reconcile the ledger with a report of the endpoint."""
        made_at = report.at - report.age_s
        if made_at <= self.report_made_at:
            return
        if report.incarnation != self.incarnation:
            self._restart(report)
        self.report_made_at = made_at
        self.capacity_gb = report.memory_gb
        self.checks_orders = report.checks_orders
        self.seen_token = max(self.seen_token, report.order_token)
        self.resident = set(report.resident)
        keys = [*report.resident, *report.loading]
        keys += [(f"adapter/{name}", "") for name in report.adapters]
        self.held = {key: self._size_of(key, sizes) for key in keys}
        known = sum(self.held.values())
        if report.held_gb > known + 1e-6:
            # The endpoint holds more than its listed weights; the rest counts in full.
            self.held[("unknown", "")] = report.held_gb - known
        self.usable = True
        self._drop_settled(made_at, report)

    def _size_of(self, key: Weights, sizes: t.Mapping[Weights, float]) -> float:
        """Return the size of held weights, whether they are still declared or not.

        A late order may load a version that is no longer declared. Its size is known from the
        order; as unknown memory it would be counted twice.
        """
        if key in sizes:
            return sizes[key]
        ordered_sizes = [order.gb for order in self.orders() if order.key == key and order.gb]
        late_sizes = [late_order.gb for late_order in self.late_orders if late_order.key == key]
        return max([*ordered_sizes, *late_sizes, self.held.get(key, 0.0)])

    def _restart(self, report: EndpointReported) -> None:
        self.incarnation = report.incarnation
        self.sealed = False
        self.seen_token = (0, 0)
        if self.pending is not None and not report.checks_orders:
            self._add_late_order(self.pending)
        self.pending = None
        self.accepted = []

    def _drop_settled(self, made_at: float, report: EndpointReported) -> None:
        order = self.pending
        if order is not None and self._settled(order, made_at, report):
            self.pending = None
        self.accepted = [one for one in self.accepted if not self._settled(one, made_at, report)]
        self.late_orders = [
            late_order for late_order in self.late_orders if made_at <= late_order.until
        ]

    def _settled(self, order: PendingOrder, made_at: float, report: EndpointReported) -> bool:
        if report.checks_orders:
            # A token as high shows that the order was taken, or that a later one was, after
            # which it can't be taken any more.
            return report.order_token >= order.token
        if order.accepted is None or order.answered_at is None:
            return False
        return made_at > order.answered_at

    def _add_late_order(self, order: PendingOrder) -> None:
        """Count an order as one that may arrive late, or a second time."""
        if order.action in ("load", "attach", "unload"):
            until = order.sent_at + defaults.LATE_ORDER_BOUND_S
            self.late_orders.append(LateOrder(order.action, order.key, order.gb, until))

    def intent_rows(self) -> tuple[tuple[str, str, str, float], ...]:
        """Return all orders that may still arrive, for the endpoint's record in the platform.

        Orders that were given up are listed beside later ones, since the next holder must
        count each of them.
        """
        rows = {(one.action, *one.key, one.gb) for one in self.late_orders}
        order = self.pending
        if order is not None and order.action in ("load", "attach", "unload"):
            rows.add((order.action, *order.key, order.gb))
        return tuple(sorted(rows))

    def answer(self, token: tuple[int, int], accepted: bool | None, now: float) -> None:
        """Apply the answer to the pending order.

        :param accepted: None if no answer came.
        """
        order = self.pending
        if order is None or order.token != token or accepted is None:
            return
        order.accepted = accepted
        order.answered_at = now
        self.pending = None
        if accepted:
            # It counts until a report that was made after the answer.
            self.accepted.append(order)
            if not self.checks_orders:
                self._add_late_order(order)

    def give_up_order(self, now: float) -> None:
        """Stop waiting for an answer and count the pending order as one that may arrive late."""
        if self.pending is not None:
            self._add_late_order(self.pending)
            self.pending = None
