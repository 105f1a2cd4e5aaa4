"""Guard of one caller's stream against late, doubled and reordered chunks.

The I/O loop asks it for each chunk, so that tokens need not pass the reducer.
"""

import typing as t


class StreamGuard:
    """Accepts each token of one answer exactly once and in order.

    :param offset: tokens that the caller has already (on a resume).
    """

    __slots__ = ("attempt", "dropped", "offset")

    def __init__(self, attempt: int, offset: int = 0) -> None:
        self.attempt = attempt
        self.offset = offset
        self.dropped = 0

    def accept(self, attempt: int, offset: int, tokens: t.Sequence[str]) -> t.Sequence[str]:
        """Give the part of a chunk that is new, which may be none of it.

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

    def renew(self, attempt: int) -> None:
        """Go on with another attempt; chunks of the old one are dropped from now on."""
        self.attempt = attempt

    def whole(self, total: int) -> bool:
        """Say whether the answer's end agrees with what was passed on."""
        return self.offset == total
