"""Ledger of one endpoint's memory, kept by the lease holder.

``held + promised + doubtful + reserve <= capacity`` holds after every event.
What was ordered counts from before the order leaves until a report made after
it says otherwise; what is to be freed counts until a report shows it gone.
"""

import typing as t

from . import defaults
from .events import EndpointReported

Weights = tuple[str, str]


class PendingOrder:
    """The one order that is on its way to an endpoint."""

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


class Doubt(t.NamedTuple):
    """An order that may arrive yet, at an endpoint that does not check.

    A late load may take memory; a late unload may take a replica away.
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
        self.doubts: list[Doubt] = []
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
        """Working memory that is never promised to weights."""
        return self.capacity_gb * defaults.MEMORY_RESERVE_SHARE

    def committed(self) -> float:
        """Give all memory that is held, promised or in doubt, in gigabytes."""
        amounts = dict(self.held)
        for doubt in self.doubts:
            if doubt.action != "unload":
                amounts[doubt.key] = max(amounts.get(doubt.key, 0.0), doubt.gb)
        for order in self.orders():
            if order.action in ("load", "attach"):
                amounts[order.key] = max(amounts.get(order.key, 0.0), order.gb)
        return sum(amounts.values())

    def orders(self) -> list[PendingOrder]:
        """List the orders that no report reflects yet: accepted ones, then the one on its way."""
        return [*self.accepted, self.pending] if self.pending else list(self.accepted)

    def keys_of(self, action: str) -> set[Weights]:
        """Give the weights that orders of one action, not yet reflected, are about."""
        return {order.key for order in self.orders() if order.action == action}

    def uncertain(self) -> set[Weights]:
        """Give the weights that a late unload may take away yet."""
        return {doubt.key for doubt in self.doubts if doubt.action == "unload"}

    def staying(self) -> set[Weights]:
        """Give the resident weights that no order, sent or late, takes away."""
        return self.resident - self.keys_of("unload") - self.uncertain()

    def free(self) -> float:
        """Give the memory that may still be promised, in gigabytes."""
        return self.capacity_gb - self.reserve_gb - self.committed()

    def ready(self) -> bool:
        """Say whether an order may be given: fenced, read back, and none on its way."""
        return self._fenced() and self.usable and self.pending is None

    def _fenced(self) -> bool:
        """Say whether this holder's fence stands and a report made behind it has come.

        A report from before the fence may lack the last order of the holder before.
        """
        if self.checks_orders:
            return self.sealed and self.seen_token >= self.seal_token
        return self.claimed and self.report_made_at > self.claimed_at

    def seal(self, token: tuple[int, int]) -> None:
        """The endpoint took the seal; what it reports from then on is the truth."""
        self.sealed = True
        self.seal_token = token
        self.pending = None

    def claim(self, now: float) -> None:
        """The record is this holder's alone."""
        self.claimed = True
        self.claimed_at = now
        self.pending = None

    def take_report(self, report: EndpointReported, sizes: t.Mapping[Weights, float]) -> None:
        """Reconcile with what the endpoint says it holds."""
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
            # Something unknown lies there, so it counts in full.
            self.held[("unknown", "")] = report.held_gb - known
        self.usable = True
        self._resolve(made_at, report)

    def _size_of(self, key: Weights, sizes: t.Mapping[Weights, float]) -> float:
        """Give the size of what an endpoint holds, declared still or not.

        A late order may bring a version that is declared no more; its size is
        known from the order, and taking it for unknown would count it twice.
        """
        if key in sizes:
            return sizes[key]
        ordered = [order.gb for order in self.orders() if order.key == key and order.gb]
        doubted = [doubt.gb for doubt in self.doubts if doubt.key == key]
        return max([*ordered, *doubted, self.held.get(key, 0.0)])

    def _restart(self, report: EndpointReported) -> None:
        self.incarnation = report.incarnation
        self.sealed = False
        self.seen_token = (0, 0)
        if self.pending is not None and not report.checks_orders:
            self._doubt(self.pending)
        self.pending = None
        self.accepted = []

    def _resolve(self, made_at: float, report: EndpointReported) -> None:
        order = self.pending
        if order is not None and self._settled(order, made_at, report):
            self.pending = None
        self.accepted = [one for one in self.accepted if not self._settled(one, made_at, report)]
        self.doubts = [doubt for doubt in self.doubts if made_at <= doubt.until]

    def _settled(self, order: PendingOrder, made_at: float, report: EndpointReported) -> bool:
        if report.checks_orders:
            # Its highest token tells that the order was taken, or was overtaken
            # by a later one and can never be.
            return report.order_token >= order.token
        if order.accepted is None or order.answered_at is None:
            return False
        return made_at > order.answered_at

    def _doubt(self, order: PendingOrder) -> None:
        """Reckon with an order's late or second arrival at an endpoint that does not check."""
        if order.action in ("load", "attach", "unload"):
            until = order.sent_at + defaults.LATE_ORDER_BOUND_S
            self.doubts.append(Doubt(order.action, order.key, order.gb, until))

    def intent_rows(self) -> tuple[tuple[str, str, str, float], ...]:
        """Give all that may arrive yet, for the endpoint's record in the platform.

        An order that was given up stands in it beside later ones, since the next
        holder must reckon with each.
        """
        rows = {(one.action, *one.key, one.gb) for one in self.doubts}
        order = self.pending
        if order is not None and order.action in ("load", "attach", "unload"):
            rows.add((order.action, *order.key, order.gb))
        return tuple(sorted(rows))

    def answer(self, token: tuple[int, int], accepted: bool | None, now: float) -> None:
        """Take the answer to the order on its way; None means that none came."""
        order = self.pending
        if order is None or order.token != token or accepted is None:
            return
        order.accepted = accepted
        order.answered_at = now
        self.pending = None
        if accepted:
            # It counts until a report that was made after it.
            self.accepted.append(order)
            if not self.checks_orders:
                self._doubt(order)

    def give_up_order(self, now: float) -> None:
        """Stop waiting for an endpoint that does not check: its memory stays in doubt."""
        if self.pending is not None:
            self._doubt(self.pending)
            self.pending = None
