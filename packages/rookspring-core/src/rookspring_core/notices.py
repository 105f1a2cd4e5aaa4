"""What endpoints say of themselves on the way of a request.

The head of an answer tells of the request, and of the endpoint as well: that it leaves, that
it wants rest, that another process has its address. An attempt's outcome is made of the first
part alone, so the second goes its own way, ahead of it and whatever becomes of the attempt.
"""

import typing as t


class Notice(t.NamedTuple):
    """What the head of an endpoint's answer says of the endpoint.

    :param life: the process that answers, where it is told.
    :param leaving: it leaves, and is to get nothing new.
    :param turned_away: it had no room for what was asked.
    :param rest_s: it wants nothing from this node for so long, in seconds; None where it tells
        no time that can be read.
    :param misdirected: what was asked is not there, or another process answers.
    :param malformed: a header that can't be read, with its value.
    """

    life: str = ""
    leaving: bool = False
    turned_away: bool = False
    rest_s: float | None = None
    misdirected: bool = False
    malformed: str = ""

    def says_nothing(self) -> bool:
        """Say whether the head told nothing of the endpoint but, maybe, its name."""
        return self._replace(life="") == NOTHING


NOTHING = Notice()
