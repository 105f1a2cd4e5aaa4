"""Bound on the bytes of whole answers that a node holds until they are complete.

Each answer has a bound of its own. Many that are just below it would fill a small node's memory
together, so from a sum on the largest is given up: short answers, which most are, stay.
"""

import typing as t

from . import defaults


class HeldAnswer(t.Protocol):
    """An answer whose bytes are held."""

    def fail(self, reason: str) -> None:
        """Give the answer up."""


class AnswerMemory:
    """The bytes of the answers that a node holds, by answer.

    :param most: largest sum, in bytes.
    """

    def __init__(self, most: int = defaults.HELD_ANSWERS_BYTES_MAX) -> None:
        self._most = most
        self._sizes: dict[HeldAnswer, int] = {}
        self.held_bytes = 0

    def hold(self, answer: HeldAnswer, added: int) -> None:
        """Count bytes of an answer; the largest ones are given up if there are too many in all."""
        self._sizes[answer] = self._sizes.get(answer, 0) + added
        self.held_bytes += added
        while self.held_bytes > self._most:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            largest.fail("too large answers together")

    def release(self, answer: HeldAnswer) -> None:
        """Forget an answer, which is passed on or given up; again, nothing happens."""
        self.held_bytes -= self._sizes.pop(answer, 0)
