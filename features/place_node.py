"""A node that asks owners for places at model endpoints, and what it sends."""

from relay_harness import RelayHarness

from rookspring_core import slot_requests
from rookspring_core.effects import AskSlot
from rookspring_core.effects import FreeSlot
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import PromptsReceived
from rookspring_core.events import SlotAnswered
from rookspring_core.events import Ticked
from rookspring_core.options import DecisionOptions

# What a late reply says: the endpoint of a slot, and the seconds to wait where there is none.
LATE_REPLIES = {"granted": ("e1", 0.0), "denied": ("", 0.7), "to wait": ("", 0.0)}


class PlaceNode(RelayHarness):
    """A node with two endpoints of the model m, and the prompts of another node there."""

    def __init__(self, order=True):
        super().__init__()
        self.asked = []
        self.freed = []
        self.state.options = DecisionOptions(place_order=order)
        self.submit(HeartbeatReceived(self.now, "p", "p#1", "a", "c", "z", 1, False))
        self.list_endpoints(["e1", "e2"], "llm", "runner")
        for name in ("e1", "e2"):
            self.submit(self.report(name, ["m"]))
        self.fill(e1=4000, e2=4050)

    def perform(self, effect):
        if isinstance(effect, AskSlot):
            self.asked.append(effect)
        if isinstance(effect, FreeSlot):
            self.freed.append(effect)

    def fill(self, **tokens):
        self.submit(PromptsReceived(self.now, "p", tuple(tokens.items())))

    def come(self, key="r1"):
        self.ask(model="m", key=key, prompt_tokens=500, tokens=600, objective_s=4.0, deadline_s=9.0)

    def answer(self, endpoint="", after_s=0.0, blind=False, avoid_s=0.0, asked=None):
        """Answer a question as its owner does: the last one, unless another is given."""
        asked = asked or self.asked[-1]
        self.submit(
            SlotAnswered(
                self.now,
                asked.request_id,
                asked.queue,
                endpoint,
                after_s,
                avoid_s=avoid_s,
                no_known_endpoint=blind,
                question=asked.question,
            )
        )

    def evict(self):
        self.now += 0.01
        self.submit(self.report("e1", [], token=(0, 1)))

    def owned(self):
        return self.asked[-1].queue.removeprefix(slot_requests.PLACE_PREFIX)

    def pass_time(self, seconds, each=lambda: None):
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            each()
            self.submit(Ticked(self.now))
