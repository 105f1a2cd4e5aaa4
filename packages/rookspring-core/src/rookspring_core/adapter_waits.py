"""Estimate of how long requests wait for what no endpoint holds, as seen by one node.

Refused callers are told to retry when their adapter or model is likely to be there, and the lease
holder protects it until they have. With a fixed time of 0.4 s callers retried a third of a second
too early wherever more adapters were requested than there are slots.
"""

import typing as t

from . import defaults


class ArrivalWaits:
    """Running estimate, by group, of a high quantile of the waits for what is missing.

    A name is ``group/rest``: a model's adapter, or a service's model.

    :param most_s: the longest wait that is told apart, in seconds.
    :param starts_at_first: the first wait of a group is its first estimate; else the estimate rises
        from 0 in steps.
    """

    def __init__(self, most_s: float, starts_at_first: bool = False) -> None:
        self._most_s = most_s
        self._starts_at_first = starts_at_first
        self._since: dict[str, float] = {}
        self._likely_s: dict[str, float] = {}

    def begin(self, name: str, now: float) -> None:
        """Begin the wait for what is missing, at its first request."""
        self._since.setdefault(name, now)

    def end(self, present: t.Container[str], now: float) -> None:
        """End the waits for what is at some endpoint now."""
        for name in [one for one in self._since if one in present]:
            self._learn(name, now - self._since.pop(name))

    def forget_old(self, now: float) -> None:
        """End waits over the longest time and count them as that: some never end otherwise."""
        for name, since in list(self._since.items()):
            if now - since > self._most_s:
                del self._since[name]
                self._learn(name, self._most_s)

    def likely_s(self, group: str) -> float:
        """Return the estimated upper bound of a wait in a group, in seconds; 0 before any."""
        return self._likely_s.get(group, 0.0)

    def waited_s(self, name: str, now: float) -> float:
        """Return for how long something has been missing, in seconds; 0 if it isn't."""
        return now - self._since.get(name, now)

    def _learn(self, name: str, wait_s: float) -> None:
        """Raise the estimate if the wait was longer, otherwise lower it by a smaller step."""
        group = name.partition("/")[0]
        if self._starts_at_first and group not in self._likely_s:
            self._likely_s[group] = min(wait_s, self._most_s)
            return
        likely_s = self._likely_s.get(group, 0.0)
        step_s = defaults.ADAPTER_WAIT_STEP * max(likely_s, defaults.RETRY_AFTER_S)
        share = defaults.ADAPTER_WAIT_SHARE
        likely_s += step_s * share if wait_s > likely_s else -step_s * (1.0 - share)
        self._likely_s[group] = min(max(0.0, likely_s), self._most_s)
