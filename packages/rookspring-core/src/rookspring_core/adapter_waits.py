"""Estimate of how long requests wait until their adapter is attached, as seen by one node.

Refused callers are told to retry when the adapter is likely to be attached, and the lease
holder protects the adapter until they have. With a fixed time of 0.4 s callers retried a
third of a second too early wherever more adapters were requested than there are slots.
"""

import typing as t

from . import defaults


class AdapterWaits:
    """Running estimate, by model, of a high quantile of the waits for its adapters."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._likely_s: dict[str, float] = {}

    def begin(self, adapter: str, now: float) -> None:
        """Begin the wait for an adapter that is attached nowhere, at its first request."""
        self._since.setdefault(adapter, now)

    def end(self, attached: t.Container[str], now: float) -> None:
        """End the waits for adapters that are attached at some endpoint now."""
        for adapter in [one for one in self._since if one in attached]:
            self._learn(adapter, now - self._since.pop(adapter))

    def forget_old(self, now: float) -> None:
        """End waits over the longest time and count them as that: some never end otherwise."""
        for adapter, since in list(self._since.items()):
            if now - since > defaults.ADAPTER_WAIT_MOST_S:
                del self._since[adapter]
                self._learn(adapter, defaults.ADAPTER_WAIT_MOST_S)

    def likely_s(self, model: str) -> float:
        """Return the estimated upper bound of a wait for an adapter of a model, in seconds."""
        return self._likely_s.get(model, 0.0)

    def _learn(self, adapter: str, wait_s: float) -> None:
        """Raise the estimate if the wait was longer, otherwise lower it by a smaller step."""
        model = adapter.partition("/")[0]
        likely_s = self._likely_s.get(model, 0.0)
        step_s = defaults.ADAPTER_WAIT_STEP * max(likely_s, defaults.RETRY_AFTER_S)
        share = defaults.ADAPTER_WAIT_SHARE
        likely_s += step_s * share if wait_s > likely_s else -step_s * (1.0 - share)
        self._likely_s[model] = min(max(0.0, likely_s), defaults.ADAPTER_WAIT_MOST_S)
