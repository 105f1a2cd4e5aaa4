"""How long models take to read a token of a prompt, learnt from first events.

A configuration tells a model's size but not its pace, and a sparse model of the same
size reads nine times as fast as a dense one. What is measured is the time from sending
a prompt to the first event of its answer, a token; the least of late is taken, since
waiting only adds to it.
"""

from . import defaults


class PaceTable:
    """Seconds a prompt token by model, as this node has seen them."""

    def __init__(self) -> None:
        self._least: dict[str, float] = {}

    def note(self, model: str, tokens: int, took_s: float) -> None:
        """Take one measurement; short prompts say too little.

        :param tokens: of the prompt.
        :param took_s: from sending it to the first event.
        """
        if tokens < defaults.PACE_TOKENS_MIN or took_s <= 0:
            return
        sample = took_s / tokens
        known = self._least.get(model, sample)
        self._least[model] = min(sample, known * defaults.PACE_FORGET)

    def relative(self, model: str) -> float:
        """Give a model's time in parts of the slowest known one's; 1 while unknown."""
        mine = self._least.get(model)
        if mine is None:
            return 1.0
        return max(defaults.PACE_LEAST, mine / max(self._least.values()))
