"""What the relay's parts take: the state, the loop and the clients, wired once.

:mod:`relay_node` makes it. The parts import this and never the node, so that no
circle forms round the module that wires them.
"""

import asyncio
import typing as t

from rookspring_core import NodeState
from rookspring_core import reduce
from rookspring_core.effects import AskAllotment
from rookspring_core.effects import AskSlot
from rookspring_core.effects import Effect
from rookspring_core.effects import FreeSlot
from rookspring_core.effects import RequestLoad
from rookspring_core.effects import ReturnAllotment
from rookspring_core.events import EndpointReported
from rookspring_core.events import Event
from rookspring_core.notices import Leaving
from rookspring_core.request_rates import RateRecord
from rookspring_core.suspects import Evidence

from . import clock
from . import defaults
from .dialect import Dialect
from .http_client import ConnectionPool
from .logs import log
from .metrics import Metrics
from .peers import Link
from .platform import PlatformClient
from .platform import StoredObject
from .relay import RelayExchange
from .relay_settings import RelaySettings

if t.TYPE_CHECKING:
    from .store_eras import StoreEras

Performer = t.Callable[["RelayContext", t.Any], None]
RELAY_PERFORMERS: dict[type[t.Any], Performer] = {}
F = t.TypeVar("F", bound=t.Callable[..., None])


def relay_performs(effect_type: type[t.Any]) -> t.Callable[[F], F]:
    """Register the relay's performer of an effect type."""

    def register(function: F) -> F:
        RELAY_PERFORMERS[effect_type] = function
        return function

    return register


class RelayContext:
    """State and clients of one relay node."""

    def __init__(
        self,
        settings: RelaySettings,
        dialect: Dialect,
        state: NodeState,
        platform: PlatformClient,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.state = state
        self.platform = platform
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.pool = ConnectionPool()
        self.exchanges: dict[str, RelayExchange] = {}
        self.listed = False
        # Set while this node is to watch the store; see ``topology.py`` of the core.
        self.watching = asyncio.Event()
        # Set by the node that wires the parts.
        self.eras: StoreEras
        # A node is leaving, and the lease may be free.
        self.lease_news = asyncio.Event()
        # Set by the node that wires the parts: tells the other nodes at once.
        self.announce: t.Callable[[str], None] = lambda topic: None
        self.share: t.Callable[[EndpointReported], None] = lambda report: None
        self.share_coming: t.Callable[[str, str, float], None] = lambda endpoint, model, in_s: None
        self.share_down: t.Callable[[str], None] = lambda endpoint: None
        self.share_evidence: t.Callable[[Evidence, str], None] = lambda evidence, source: None
        self.share_leaving: t.Callable[[tuple[Leaving, ...], str], None] = lambda rows, source: None
        self.share_rates: t.Callable[[tuple[RateRecord, ...], str], None] = lambda rows, source: (
            None
        )
        self.share_shed: t.Callable[[str, float], None] = lambda endpoint, for_s: None
        self.share_prompts: t.Callable[[str, bool], None] = lambda endpoint, far: None
        self.give_lists: t.Callable[[Link], None] = lambda link: None
        self.take_listed: t.Callable[[tuple[StoredObject, ...], bool, str], None] = (
            lambda rows, whole, source: None
        )
        self.ask_owner: t.Callable[[AskAllotment], None] = lambda asked: None
        self.return_units: t.Callable[[ReturnAllotment], None] = lambda returned: None
        self.ask_slot: t.Callable[[AskSlot], None] = lambda asked: None
        self.free_slot: t.Callable[[FreeSlot], None] = lambda freed: None
        self.ask_proof: t.Callable[[], None] = lambda: None
        # Requests that wait for a newer configuration, which may know their key.
        self.key_waits = 0
        self.tell_holder: t.Callable[[RequestLoad], None] = lambda want: None
        self.stop: t.Callable[[], None] = lambda: None
        self.tasks: set[asyncio.Task[None]] = set()

    def count_malformed(self, number: int) -> None:
        """Tell how many entries name no endpoint now."""
        self.metrics.malformed.set({}, number)

    def submit(self, event: Event) -> None:
        """Take an event: reduce it and perform the effects."""
        decided = len(self.state.decisions)
        effects = reduce(self.state, event)
        for decision in self.state.decisions[decided:]:
            if not decision.what.startswith("refused"):
                log("decided", subject=decision.subject, what=decision.what, why=decision.why)
        for effect in effects:
            self.perform(effect)

    def perform(self, effect: Effect) -> None:
        """Perform one effect; a fault of ours in one leaves the others to be performed."""
        try:
            RELAY_PERFORMERS[type(effect)](self, effect)
        except Exception as error:  # noqa: BLE001
            log("effect_failed", "ERROR", effect=type(effect).__name__, detail=repr(error))

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> asyncio.Task[None]:
        """Run work in a task of its own, which ends with the node."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def keep(self, make: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]) -> None:
        """Run a loop that begins anew after a fault of ours, which is logged."""

        async def again() -> None:
            while True:
                try:
                    await make()
                except Exception as error:  # noqa: BLE001
                    log("task_failed", "ERROR", error=type(error).__name__, detail=error)
                await asyncio.sleep(defaults.LOOP_RESTART_S)

        self.spawn(again())

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            log("task_failed", "ERROR", error=type(error).__name__, detail=error)

    def ready(self) -> bool:
        """Say whether callers may come."""
        return self.state.table is not None and self.listed and not self.state.leaving

    def now(self) -> float:
        """Give the time by the product's clock, in seconds."""
        return clock.now()
