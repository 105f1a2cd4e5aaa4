"""State, event loop and clients that the components of a relay node share.

:mod:`relay_node` creates the context. The components import this module instead of the node, so
that there is no import cycle with the module that connects them.
"""

import asyncio
import typing as t
import weakref

from rookspring_core import NodeState
from rookspring_core import reduce
from rookspring_core.effects import AskAllotment
from rookspring_core.effects import AskSlot
from rookspring_core.effects import Effect
from rookspring_core.effects import FreeSlot
from rookspring_core.effects import RequestLoad
from rookspring_core.effects import ReturnAllotment
from rookspring_core.effects import ShareBreak
from rookspring_core.effects import ShareEvacuations
from rookspring_core.effects import TellOrigin
from rookspring_core.events import EndpointReported
from rookspring_core.events import Event
from rookspring_core.notices import Leaving
from rookspring_core.request_rates import RateRecord
from rookspring_core.suspects import Evidence

from . import clock
from . import defaults
from .byte_budget import ByteBudget
from .dialect import Dialect
from .http_client import ConnectionPool
from .logs import log
from .metrics import Metrics
from .paced_reads import PacedReads
from .peers import Link
from .platform import PlatformClient
from .platform import StoredObject
from .relay import RelayExchange
from .relay_settings import RelaySettings

if t.TYPE_CHECKING:
    from .relay_reach import ReachProbes
    from .relay_streams import OriginQuestions
    from .store_eras import StoreEras

RelayEffectHandler = t.Callable[["RelayContext", t.Any], None]
RELAY_EFFECT_HANDLERS: dict[type[t.Any], RelayEffectHandler] = {}
F = t.TypeVar("F", bound=t.Callable[..., None])


def handles_relay_effect(effect_type: type[t.Any]) -> t.Callable[[F], F]:
    """Register the function that carries out effects of a type at a relay node."""

    def register(function: F) -> F:
        RELAY_EFFECT_HANDLERS[effect_type] = function
        return function

    return register


class RelayContext:
    """State and clients of one relay node, and the callbacks between its components."""

    def __init__(
        self,
        settings: RelaySettings,
        dialect: Dialect,
        state: NodeState,
        platform: PlatformClient,
        metrics: Metrics,
        budget: ByteBudget,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.state = state
        self.platform = platform
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        # Bytes of endpoints, callers and other nodes that wait here.
        self.budget = budget
        paced = PacedReads()
        self.pool = ConnectionPool(budget=budget, paced=paced)
        # Connections to other nodes, which requests are handed over on.
        self.peer_pool = ConnectionPool(budget=budget, paced=paced)
        # Set by :class:`RelayNode`.
        self.reach_probes: ReachProbes
        self.origins: OriginQuestions
        self.exchanges: dict[str, RelayExchange] = {}
        # The turns in which copies of runs are asked of an endpoint, by address.
        self.copy_turns: weakref.WeakValueDictionary[str, asyncio.Semaphore] = (
            weakref.WeakValueDictionary()
        )
        self.endpoints_listed = False
        # Whether the store had this node's row as it started, so one of its name ran; None until
        # the rows are read.
        self.ran_before: bool | None = None
        # Set while this node has to watch the store; see ``topology.py`` of the core.
        self.watching = asyncio.Event()
        # Set by :class:`RelayNode`.
        self.eras: StoreEras
        # Set when the lease should be read at once: its holder may be leaving, or a new era of the
        # store began.
        self.lease_check_due = asyncio.Event()
        # Callbacks, which :class:`RelayNode` sets. The first ones send updates to the other nodes.
        self.announce: t.Callable[[str], None] = lambda topic: None
        self.share_report: t.Callable[[EndpointReported], None] = lambda report: None
        self.share_loading: t.Callable[[str, str, float], None] = lambda endpoint, model, in_s: None
        self.share_down: t.Callable[[str], None] = lambda endpoint: None
        self.share_evidence: t.Callable[[Evidence, str], None] = lambda evidence, source: None
        self.share_leaving: t.Callable[[tuple[Leaving, ...], str], None] = lambda rows, source: None
        self.share_evacuations: t.Callable[[ShareEvacuations], None] = lambda effect: None
        self.share_rates: t.Callable[[tuple[RateRecord, ...], str], None] = lambda rows, source: (
            None
        )
        self.share_shed: t.Callable[[str, float], None] = lambda endpoint, for_s: None
        self.share_break: t.Callable[[ShareBreak], None] = lambda effect: None
        self.share_prompts: t.Callable[[str, bool], None] = lambda endpoint, far: None
        self.send_endpoint_list: t.Callable[[Link], None] = lambda link: None
        self.take_endpoint_rows: t.Callable[[tuple[StoredObject, ...], bool, str], None] = (
            lambda rows, whole, source: None
        )
        self.ask_allotment: t.Callable[[AskAllotment], None] = lambda asked: None
        self.return_units: t.Callable[[ReturnAllotment], None] = lambda returned: None
        self.ask_slot: t.Callable[[AskSlot], None] = lambda asked: None
        self.tell_origin: t.Callable[[TellOrigin], None] = lambda told: None
        self.free_slot: t.Callable[[FreeSlot], None] = lambda freed: None
        self.ask_proof: t.Callable[[], None] = lambda: None
        # How many requests wait for a newer configuration that may have their key.
        self.requests_awaiting_key = 0
        self.send_load_request: t.Callable[[RequestLoad], None] = lambda request: None
        self.stop: t.Callable[[], None] = lambda: None
        self.tasks: set[asyncio.Task[None]] = set()

    def set_malformed_entries(self, number: int) -> None:
        """Set the metric of endpoint entries that can't be read."""
        self.metrics.malformed_entries.set({}, number)

    def submit(self, event: Event) -> None:
        """Reduce an event, log the decisions, and carry out the effects."""
        decided = len(self.state.decisions)
        effects = reduce(self.state, event)
        for decision in self.state.decisions[decided:]:
            if not decision.what.startswith("refused"):
                log("decided", subject=decision.subject, what=decision.what, why=decision.why)
        for effect in effects:
            self.perform(effect)

    def perform(self, effect: Effect) -> None:
        """Carry out one effect; an exception is logged, so that the next ones are carried out."""
        try:
            RELAY_EFFECT_HANDLERS[type(effect)](self, effect)
        except Exception as error:  # noqa: BLE001
            log("effect_failed", "ERROR", effect=type(effect).__name__, detail=repr(error))

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in its own task, which is cancelled when the node stops."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def run_forever(self, make: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]) -> None:
        """Run a loop that is restarted after an exception, which is logged."""

        async def run() -> None:
            while True:
                try:
                    await make()
                except Exception as error:  # noqa: BLE001
                    log("task_failed", "ERROR", error=type(error).__name__, detail=error)
                await asyncio.sleep(defaults.LOOP_RESTART_S)

        self.spawn(run())

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            log("task_failed", "ERROR", error=type(error).__name__, detail=error)

    def ready(self) -> bool:
        """Return whether this node can serve callers."""
        return self.state.table is not None and self.endpoints_listed and not self.state.leaving

    def now(self) -> float:
        """Return the time by the clock of :mod:`clock`, in seconds."""
        return clock.now()
