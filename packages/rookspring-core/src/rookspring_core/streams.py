"""Deduplication of a caller's stream: drops late and duplicate chunks and detects gaps.

The I/O loop calls it for each chunk, so that tokens need not pass through the reducer.
"""

import typing as t


class StreamGuard:
    """Accepts each token of one answer exactly once and in order.

    :param offset: tokens that the caller already has (on a resume).
    """

    __slots__ = ("attempt", "dropped", "offset")

    def __init__(self, attempt: int, offset: int = 0) -> None:
        self.attempt = attempt
        self.offset = offset
        self.dropped = 0

    def accept(self, attempt: int, offset: int, tokens: t.Sequence[str]) -> t.Sequence[str]:
        """Return the tokens of a chunk that the caller does not have yet; empty if there are none.

        :param offset: position of the chunk's first token in the whole answer.
        :raises ValueError: when tokens before the chunk are missing.
        """
        if attempt != self.attempt:
            self.dropped += 1
            return ()
        if offset > self.offset:
            raise ValueError(f"tokens {self.offset} to {offset} are missing")
        known = self.offset - offset
        if known == 0:
            self.offset += len(tokens)
            return tokens
        fresh = tokens[known:]
        if not fresh:
            self.dropped += 1
        self.offset += len(fresh)
        return fresh

    def switch_attempt(self, attempt: int) -> None:
        """Switch to another attempt; chunks of the previous one are dropped from now on."""
        self.attempt = attempt

    def is_complete(self, total: int) -> bool:
        """Return whether all tokens of the answer were passed on.

        :param total: the answer's length in tokens, as its last chunk gives it.
        """
        return self.offset == total
