"""Requests that were refused of late, so that they are known when they come back.

Each try of a caller has an identity of its own, but the part of its prompt that no
other request shares stays the same. A node remembers it for the requests that it
refused, and tells the nodes of its data centre, where the caller goes next.
"""

from . import defaults


class RefusedTable:
    """First arrivals of refused requests, by the prompt's own part."""

    def __init__(self) -> None:
        # In the order of refusal: when it was refused, and when it first arrived.
        self._rows: dict[int, tuple[float, float]] = {}

    def note(self, part: int, arrived_at: float, now: float) -> None:
        """Remember a refusal; an earlier arrival of the same request stays.

        :param part: names the prompt's own part; 0 names nothing.
        """
        if not part:
            return
        known = self._rows.pop(part, None)
        first = min(arrived_at, known[1]) if known else arrived_at
        self._rows[part] = (now, first)
        self._trim(now)

    def first_arrival(self, part: int, now: float) -> float | None:
        """Tell when a request that was refused of late first arrived; None for others."""
        row = self._rows.get(part)
        if row is None or now - row[0] > defaults.REFUSED_KEPT_S:
            return None
        return row[1]

    def _trim(self, now: float) -> None:
        while self._rows:
            oldest = next(iter(self._rows))
            young = now - self._rows[oldest][0] <= defaults.REFUSED_KEPT_S
            if young and len(self._rows) <= defaults.REFUSED_MAX:
                return
            del self._rows[oldest]
