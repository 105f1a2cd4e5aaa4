"""How fast engines read prompts, and how long answers take, learnt from what is seen.

A configuration tells a model's size but neither its pace nor its engine's: a sparse
model of the same size reads nine times as fast as a dense one. What is measured is the
time from sending a prompt, to a runner that has no other to read and is not busy, to
the first event of its answer. What any prompt takes however short it is (the way there
and the first steps of the answer) is taken off, and the rest is put down to the
prompt's tokens.
"""

from . import defaults


class PromptSums:
    """What prompts of one model took: sums of tokens and seconds, the old ones fading.

    Sums weigh long prompts more, which tell more: means of each one's time a token
    differed two hundredfold between nodes of one deployment.
    """

    __slots__ = ("seconds", "seen", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.seconds = 0.0
        self.seen = 0

    def add(self, tokens: int, seconds: float) -> None:
        """Take one measurement."""
        self.tokens = self.tokens * defaults.PACE_KEPT + tokens
        self.seconds = self.seconds * defaults.PACE_KEPT + seconds
        self.seen += 1


class PaceTable:
    """Seconds a prompt token by model, as this node has seen them."""

    def __init__(self) -> None:
        # The least time to any first event, in seconds; none was seen at infinity.
        self.base_s = float("inf")
        self.token_s: dict[str, float] = {}
        # How long about the longest of late requests took as a whole, in seconds.
        self.longest_s = 0.0
        # What a request asks for on the mean, in tokens of the slowest model; 0 while none came.
        self.mean_work = 0.0
        self._sums: dict[str, PromptSums] = {}

    def note_work(self, work: float) -> None:
        """Take what a request asks for, in tokens of the slowest model."""
        gain = defaults.WORK_GAIN if self.mean_work > 0.0 else 1.0
        self.mean_work += (work - self.mean_work) * gain

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
        self.base_s = min(took_s, self.base_s * defaults.PACE_FORGET)
        if tokens < defaults.PACE_TOKENS_MIN:
            return
        sums = self._sums.setdefault(model, PromptSums())
        sums.add(tokens, took_s - self.base_s)
        if sums.seen >= defaults.PACE_SEEN_MIN:
            self.token_s[model] = sums.seconds / sums.tokens

    def relative(self, model: str) -> float:
        """Give a model's time in parts of the slowest known one's; 1 while unknown."""
        mine = self.token_s.get(model)
        slowest = max(self.token_s.values(), default=0.0)
        if mine is None or slowest <= 0.0:
            return 1.0
        return max(defaults.PACE_LEAST, mine / slowest)
