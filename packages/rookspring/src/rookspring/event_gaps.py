"""Measures the times between the events of a stream, where the endpoint's bytes arrive.

Most of the time from one event to the next is a decoding step of the endpoint. It is longer while
the endpoint reads other requests' prompts, so the lower quartile of some steps is taken.
"""

from . import defaults


class GapMeter:
    """Collects the times between events of one stream, and gives a sample for every few."""

    __slots__ = ("_at", "_before", "_events", "_gaps")

    def __init__(self) -> None:
        # When the latest events and those before them arrived, and how many the latest ones are.
        self._before = 0.0
        self._at = 0.0
        self._events = 0
        self._gaps: list[float] = []

    def add(self, events: int, arrived_at: float) -> float | None:
        """Add events that arrived together.

        :param arrived_at: when their bytes came from the endpoint, in seconds.
        :return: a sample in seconds an event, if there are enough times for the next one.
        """
        if self._events and arrived_at - self._at < defaults.ARRIVE_TOGETHER_S:
            # One read of the socket, or several after this process was busy.
            self._events += events
            return None
        self._end_gap()
        self._before, self._at, self._events = self._at, arrived_at, events
        return self._take() if self._complete() else None

    def end(self) -> float | None:
        """Return a last sample at the stream's end, if there are ``GAPS_LEAST`` times for it."""
        self._end_gap()
        return self._take() if len(self._gaps) >= defaults.GAPS_LEAST else None

    def _complete(self) -> bool:
        """Return whether there are enough times for a sample; fewer suffice if all are long."""
        number = len(self._gaps)
        if number >= defaults.GAPS_IN_SAMPLE:
            return True
        return number >= defaults.GAPS_SLOW and min(self._gaps) >= defaults.GAP_SLOW_S

    def _end_gap(self) -> None:
        if self._before:
            self._gaps.append((self._at - self._before) / self._events)

    def _take(self) -> float:
        """Return the lower quartile of the times, and drop them."""
        gaps = sorted(self._gaps)
        self._gaps.clear()
        return gaps[len(gaps) // 4]
