"""The order of a stream's events, by their ids, which rise within one answer.

They need not be consecutive, so an event that is left out can't be told from them.
"""

import typing as t


class EventOrder:
    """Checks that each event follows the last one that its caller has got.

    :param last: the id of that event; empty if it has got none.
    """

    __slots__ = ("_continues", "last")

    def __init__(self, last: str = "") -> None:
        self.last = last
        # Whether the next event is the first one of a run that goes on after others.
        self._continues = bool(last)

    def accept(self, ids: t.Sequence[str]) -> str:
        """Check the ids of the next events.

        :return: why they don't follow; empty if they do.
        """
        if self._continues and not ids:
            return f"an event without an id after event {self.last}"
        last = self.last
        for one in ids:
            if last and _rank(one) <= _rank(last):
                return f"event {one} after event {last}"
            last = one
        self.last = last
        self._continues = False
        return ""


def _rank(event_id: str) -> tuple[int, str]:
    """Return a key by which ids rise: whole numbers by value, others of one length by letters."""
    digits = event_id.lstrip("0")
    return len(digits), digits
