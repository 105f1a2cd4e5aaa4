"""Simulation of runners that load one model after another while more are requested.

As :mod:`model_stage`, but a load comes from the weight store and takes longer than the objective of
most callers, and callers leave once they were held for longer than they bear.
"""

import typing as t

from adapter_stage import NETWORK_S
from model_stage import RETRY_SHARE
from model_stage import ModelStage

from rookspring_core.events import CallerLeft
from rookspring_core.events import RouteTerms

OBJECTIVE_S = 1.0
DEADLINE_S = 15.0
# Callers leave when they were held for so many of their objective without an event.
BEARS_OBJECTIVES = 4.0
# Time to read a load's report and a prompt: who has less than this after a load is not served.
READING_S = 1.0


class Unserved(t.NamedTuple):
    """A caller that left unserved after it met an absent model.

    :param coming: at its last refusal its model was being loaded, to end in the time it would bear.
    """

    name: str
    coming: bool


class FullPipesStage(ModelStage):
    """Runners without local copies, and room for fewer models than are requested."""

    terms = RouteTerms(
        "r", "llm", 1, 1, 1, OBJECTIVE_S / 4.0, OBJECTIVE_S, OBJECTIVE_S * BEARS_OBJECTIVES
    )
    deadline_s = DEADLINE_S

    def __init__(self, seed, lost_share=0.0):
        self.unserved = []
        self.left_held = 0
        # Whether each caller was served, with the model that it asked for.
        self._ends: dict[str, tuple[str, bool]] = {}
        super().__init__(seed, lost_share)
        for runner in self.runners.values():
            runner.disk = set(runner.models)

    def ask(self, name, tokens=0, key="", retried=False, deadline_at=0.0):
        super().ask(name, tokens, key, retried, deadline_at)
        key = key or next(reversed(self.asked_at))
        self.after(OBJECTIVE_S * BEARS_OBJECTIVES, lambda: self.tire(key))

    def note(self, caller, served):
        super().note(caller, served)
        self._ends[caller.key.removesuffix("b")] = (caller.name, served)

    def list_callers(self):
        """Return the model that each caller asked for, and whether it was served."""
        return list(self._ends.values())

    def tire(self, key):
        """Have a caller leave that is held still."""
        caller = self._callers.get(key)
        if caller is None or any(key in runner.runs for runner in self.runners.values()):
            return
        del self._callers[key]
        self.note(caller, served=False)
        self.left_held += 1
        node = self.asked_of[key]
        node.submit(CallerLeft(self.now, key))

    def refuse(self, refusal):
        caller = self._callers[refusal.request_id]
        left_s = caller.deadline_at - self.now
        last = caller.retried or refusal.retry_after_s > left_s * RETRY_SHARE + 1e-6
        if last and refusal.reason == "absent":
            held_s = self.now - self.asked_at[caller.key]
            bears_s = min(left_s, OBJECTIVE_S * BEARS_OBJECTIVES - held_s) - READING_S
            self.unserved.append(Unserved(caller.name, self.is_coming(caller.name, bears_s)))
        super().refuse(refusal)

    def is_coming(self, model, within_s):
        """Return whether a runner loads a model, and ends that within a time."""
        return any(
            runner.alive
            and runner.order is not None
            and (runner.order.action, runner.order.model) == ("load", model)
            and runner.loaded_at + 2 * NETWORK_S <= self.now + within_s
            for runner in self.runners.values()
        )
