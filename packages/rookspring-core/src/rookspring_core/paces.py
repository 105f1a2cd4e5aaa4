"""How fast engines read prompts, and how long answers take, learnt from what is seen.

A configuration tells a model's size but neither its pace nor its engine's: a sparse
model of the same size reads nine times as fast as a dense one. What is measured is the
time from sending a prompt, to a runner that has no other to read, to the first event
of its answer. What any prompt takes however short it is (the way there and the first
steps of the answer) is taken off, and the rest is put down to the prompt's tokens.
"""

from . import defaults


class PaceTable:
    """Seconds a prompt token by model, as this node has seen them."""

    def __init__(self) -> None:
        # The least time to any first event, in seconds; none was seen at infinity.
        self._base_s = float("inf")
        self._token_s: dict[str, float] = {}
        # How long about the longest of late requests took as a whole, in seconds.
        self.longest_s = 0.0

    def note_whole(self, took_s: float) -> None:
        """Take the time of a whole answer; the longest is forgotten slowly."""
        self.longest_s = max(took_s, self.longest_s * defaults.LONGEST_KEPT)

    def note(self, model: str, tokens: int, took_s: float) -> None:
        """Take one measurement; short prompts say nothing of the time a token takes.

        :param tokens: of the prompt.
        :param took_s: from sending it to the first event.
        """
        if took_s <= 0:
            return
        self._base_s = min(took_s, self._base_s * defaults.PACE_FORGET)
        if tokens < defaults.PACE_TOKENS_MIN:
            return
        sample = (took_s - self._base_s) / tokens
        known = self._token_s.get(model)
        if known is None:
            self._token_s[model] = sample
            return
        # Whatever else a runner does only adds to a time, so what is low is believed more.
        gain = defaults.PACE_FALL if sample < known else defaults.PACE_RISE
        self._token_s[model] += (sample - known) * gain

    def relative(self, model: str) -> float:
        """Give a model's time in parts of the slowest known one's; 1 while unknown."""
        mine = self._token_s.get(model)
        slowest = max(self._token_s.values(), default=0.0)
        if mine is None or slowest <= 0.0:
            return 1.0
        return max(defaults.PACE_LEAST, mine / slowest)

    def readable(self, seconds: float) -> float:
        """Give the tokens of the slowest known model that a runner reads in a time.

        Infinite while nothing is known.
        """
        slowest = max(self._token_s.values(), default=0.0)
        return seconds / slowest if slowest > 0.0 else float("inf")
