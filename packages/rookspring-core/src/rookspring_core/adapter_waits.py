"""How long it takes until an adapter that was asked for in vain is attached, as a node sees it.

Callers that are refused are told to come back when the adapter is likely to be there, and
the lease holder keeps its place until they have. Told a fixed 0.4 s, callers came back a third
of a second too early wherever more adapters were asked for than there are places.
"""

import typing as t

from . import defaults


class AdapterWaits:
    """The waits for adapters of each model: what nearly all stay below, in seconds."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._likely_s: dict[str, float] = {}

    def begin(self, adapter: str, now: float) -> None:
        """An adapter is asked for that is attached nowhere; the first to ask begins its wait."""
        self._since.setdefault(adapter, now)

    def end(self, attached: t.Container[str], now: float) -> None:
        """Take what is attached at some endpoint now."""
        for adapter in [one for one in self._since if one in attached]:
            self._learn(adapter, now - self._since.pop(adapter))

    def forget_old(self, now: float) -> None:
        """Count what has waited for long as a long wait: it may never be attached."""
        for adapter, since in list(self._since.items()):
            if now - since > defaults.ADAPTER_WAIT_MOST_S:
                del self._since[adapter]
                self._learn(adapter, defaults.ADAPTER_WAIT_MOST_S)

    def likely_s(self, model: str) -> float:
        """Give how long a wait for an adapter of a model is likely to last at most."""
        return self._likely_s.get(model, 0.0)

    def _learn(self, adapter: str, wait_s: float) -> None:
        """Move the estimate up where a wait was longer, and a little down if not."""
        model = adapter.partition("/")[0]
        likely_s = self._likely_s.get(model, 0.0)
        step_s = defaults.ADAPTER_WAIT_STEP * max(likely_s, defaults.COME_BACK_S)
        share = defaults.ADAPTER_WAIT_SHARE
        likely_s += step_s * share if wait_s > likely_s else -step_s * (1.0 - share)
        self._likely_s[model] = min(max(0.0, likely_s), defaults.ADAPTER_WAIT_MOST_S)
