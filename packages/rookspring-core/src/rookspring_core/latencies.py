"""Measured prefill and answer times by model.

The configuration has a model's size but not its speed: a sparse model reads prompts nine
times as fast as a dense one of the same size. A measurement is the time from sending a
prompt, to a runner that has no other prompt to read and is not busy, to the first event of
its answer. The fixed overhead (network and first decoding steps), estimated by the shortest
recent time of any prompt, is subtracted, and the rest is divided by the prompt's tokens and
multiplied by the runner's speed: a model on slow runners is not a slow model.
"""

from . import defaults


class PrefillSums:
    """Prompt tokens and prefill seconds of one model, as exponentially decaying sums.

    Dividing the sums gives more weight to long prompts, which are measured more precisely:
    with a mean of each prompt's seconds a token, nodes of one deployment differed two
    hundredfold.
    """

    __slots__ = ("seconds", "samples", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.seconds = 0.0
        self.samples = 0

    def add(self, tokens: int, seconds: float) -> None:
        """Add one measurement."""
        self.tokens = self.tokens * defaults.PACE_DECAY + tokens
        self.seconds = self.seconds * defaults.PACE_DECAY + seconds
        self.samples += 1


class LatencyTable:
    """Prefill seconds a token by model, and times of whole answers, as measured by this node."""

    def __init__(self) -> None:
        # Fixed overhead: the shortest time to a first event, in seconds; infinite before any.
        self.overhead_s = float("inf")
        self.seconds_per_token: dict[str, float] = {}
        # A decaying maximum of the time of whole answers, in seconds.
        self.longest_answer_s = 0.0
        # Moving average of a request's work, in tokens of the slowest model; 0 before any.
        self.mean_work = 0.0
        self._sums: dict[str, PrefillSums] = {}

    def note_work(self, work: float) -> None:
        """Update the average work of a request.

        :param work: in tokens of the slowest model.
        """
        gain = defaults.WORK_GAIN if self.mean_work > 0.0 else 1.0
        self.mean_work += (work - self.mean_work) * gain

    def note_answer(self, took_s: float) -> None:
        """Update the decaying maximum with the time of a whole answer, in seconds."""
        self.longest_answer_s = max(took_s, self.longest_answer_s * defaults.LONGEST_DECAY)

    def note_first_event(self, model: str, tokens: int, took_s: float, speed: float = 1.0) -> None:
        """Add a measured time to the first event; short prompts update only the overhead.

        :param tokens: of the prompt.
        :param took_s: from sending the prompt to the first event, in seconds.
        :param speed: of the endpoint, relative to its service's others.
        """
        if took_s <= 0:
            return
        self.overhead_s = min(took_s, self.overhead_s * defaults.PACE_BASE_GROWTH)
        if tokens < defaults.PACE_TOKENS_MIN:
            return
        sums = self._sums.setdefault(model, PrefillSums())
        sums.add(tokens, (took_s - self.overhead_s) * speed)
        if sums.samples >= defaults.PACE_SEEN_MIN:
            self.seconds_per_token[model] = sums.seconds / sums.tokens

    def slowest_s_per_token(self) -> float:
        """Return the seconds a prompt token of the slowest known model; 0 while none is known."""
        return max(self.seconds_per_token.values(), default=0.0)

    def relative_cost(self, model: str) -> float:
        """Return a model's time a token as a part of the slowest known model's; 1 while unknown."""
        own = self.seconds_per_token.get(model)
        slowest = self.slowest_s_per_token()
        if own is None or slowest <= 0.0:
            return 1.0
        return max(defaults.PACE_LEAST, own / slowest)
