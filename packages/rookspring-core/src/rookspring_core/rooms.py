"""What the lease holder keeps of each endpoint that counts the orders it takes."""

import typing as t


class Order(t.NamedTuple):
    """An order on its way to an endpoint, or under way there.

    :param taken_before: orders that the endpoint had taken before it.
    :param taken: the endpoint said so.
    :param lost: no answer came, so it may have been taken, or may be yet.
    """

    action: str
    model: str
    adapter: str
    taken_before: int
    sent_at: float
    taken: bool = False
    lost: bool = False


class Room:
    """One endpoint as the lease holder accounts for it.

    :param trusted: its own report was read under this lease.
    """

    __slots__ = ("asked_at", "doubts", "order", "trusted")

    def __init__(self) -> None:
        self.trusted = False
        self.order: Order | None = None
        self.asked_at = -1e9
        # Loads that got no answer and may be carried out yet.
        self.doubts: list[Order] = []


class Residency:
    """What the lease holder knows and wants, apart from what endpoints report."""

    def __init__(self) -> None:
        self.epoch = 0
        self.rooms: dict[str, Room] = {}
        self.wanted: dict[tuple[str, str, str], float] = {}
        self.planned_at = -1e9
