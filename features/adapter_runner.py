"""A simulated runner: its models and adapters, its requests, and its one order under way."""

import typing as t

from rookspring_core.effects import SendOrder

ADAPTER_SLOTS = 8
UNLOAD_S = 0.2
STORE_LOAD_S = 8.0
DISK_LOAD_S = 2.0
# How often an unload checks whether the requests that it waits for have ended.
UNLOAD_POLL_S = 0.05

After = t.Callable[[float, t.Callable[[], None]], None]


class Runner:
    """One runner, which carries out one order at a time.

    :param after: schedules a call after a number of seconds.
    :param now: returns the time.
    """

    def __init__(
        self, name: str, models: t.Iterable[str], after: After, now: t.Callable[[], float]
    ) -> None:
        self.name = name
        self.models = list(models)
        self.disk = set(self.models)
        self.adapters: list[str] = []
        # Running requests, with the model or adapter that they use, and a callback that ends them.
        self.runs: dict[str, str] = {}
        self.ends: dict[str, t.Callable[[bool], None]] = {}
        self.taken = 0
        # How many orders told it to do what was done already.
        self.needless = 0
        self.order: SendOrder | None = None
        # When the load under way ends.
        self.loaded_at = 0.0
        self.alive = True
        self._after = after
        self._now = now

    def uses(self, name: str) -> bool:
        """Tell whether a running request uses an adapter, or a model or one of its adapters."""
        return any(one == name or one.startswith(f"{name}/") for one in self.runs.values())

    def take(self, order: SendOrder) -> str:
        """Begin to carry out an order, and return the answer to it."""
        if self.order is not None or order.token[1] != self.taken or not self.alive:
            return "409"
        name = order.model_version or order.model
        held = name in (self.adapters if order.model_version else self.models)
        if held == (order.action == "load"):
            # Nothing has to be done; such an order is not counted.
            self.needless += 1
            return "done"
        self.taken += 1
        if order.action == "load" and order.model_version:
            self.adapters.append(name)
            assert len(self.adapters) <= ADAPTER_SLOTS, "more adapters than slots at the runner"
            return "202"
        if order.action == "unload" and order.model_version and not self.uses(name):
            self.adapters.remove(name)
            return "done"
        self.order = order
        self._carry_out(order)
        return "202"

    def _carry_out(self, order: SendOrder) -> None:
        """Continue an order: a load takes its time, an unload waits for running requests."""
        name = order.model_version or order.model
        if order.action == "unload" and self.uses(name):
            self._after(UNLOAD_POLL_S, lambda: self._carry_out(order))
            return
        length_s = UNLOAD_S
        if order.action == "load":
            length_s = DISK_LOAD_S if order.model in self.disk else STORE_LOAD_S
            self.loaded_at = self._now() + length_s
        self._after(length_s, lambda: self._finish(order))

    def _finish(self, order: SendOrder) -> None:
        self.order = None
        if order.action == "load":
            self.models.append(order.model)
            self.disk.add(order.model)
        elif order.model_version:
            self.adapters.remove(order.model_version)
        else:
            self.models.remove(order.model)
            prefix = f"{order.model}/"
            self.adapters = [one for one in self.adapters if not one.startswith(prefix)]
