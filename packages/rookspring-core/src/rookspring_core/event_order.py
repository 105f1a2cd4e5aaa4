"""The order of a stream's events, by their ids, which rise within one answer.

They need not be consecutive, so an event that is left out can't be told from them, nor where a
stream is taken up: an event may carry several tokens, and ids may number these.
"""

import typing as t


class EventOrder:
    """Checks that each event follows the last one that its caller has got.

    :param last: the id of that event; empty if it has none, or if the caller has got no event.
    :param begun: the caller has got events.
    """

    __slots__ = ("_continues", "last")

    def __init__(self, last: str = "", begun: bool = False) -> None:
        self.last = last
        # Whether the next event is the first one of a run that goes on after others.
        self._continues = begun or bool(last)

    def accept(self, ids: t.Sequence[str | None]) -> str:
        """Check the next events.

        :param ids: their ids; None for an event that states none, empty for one that resets it.
        :return: why they don't follow; empty if they do.
        """
        last = self.last
        for one in ids:
            if self._continues and not (one and last):
                return f"an event with the id {one or ''!r} after one with {last!r}"
            if one and last and not follows(one, last):
                return f"event {one} after event {last}"
            last = last if one is None else one
            self._continues = False
        self.last = last
        return ""


def follows(event_id: str, last: str) -> bool:
    """Return whether an event comes after another one in its stream, by their ids."""
    return _rank(event_id) > _rank(last)


def _rank(event_id: str) -> tuple[int, str]:
    """Return a key by which ids rise: whole numbers by value, others of one length by letters."""
    digits = event_id.lstrip("0")
    return len(digits), digits
