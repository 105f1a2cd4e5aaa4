"""The interface of a node that its modules depend on, as a protocol.

:mod:`node` implements it and imports those modules. They import this one only, which avoids
import cycles through :mod:`node`.
"""

import asyncio
import collections
import typing as t

from rookspring_core import NodeState
from rookspring_core.events import BoxListed
from rookspring_core.events import Event
from rookspring_core.events import RequestArrived
from rookspring_core.events import ResumeAsked

from .dialling import Dialler
from .endpoints import EndpointClient
from .exchanges import Exchange
from .metrics import Metrics
from .peers import PeerServer
from .platform import PlatformClient
from .published import PublishedStore
from .reports import ReportLog
from .settings import Settings
from .signing import Signer
from .telemetry import Telemetry


class NodeContext(t.Protocol):
    """A node: its state, its clients and the calls that its modules may make."""

    settings: Settings
    state: NodeState
    metrics: Metrics
    telemetry: Telemetry
    signer: Signer
    platform: PlatformClient
    published: PublishedStore
    endpoints: EndpointClient
    peers: PeerServer
    dialler: Dialler
    tls: t.Any
    exchanges: dict[str, Exchange]
    open_calls: int
    # Untyped: their types are defined in modules that import this one.
    forwards: dict[int, t.Any]
    history: t.Any
    forward_count: int
    refusal_counts: collections.Counter[str]
    intent_versions: dict[str, int]
    report_log: ReportLog
    boxes: tuple[BoxListed, ...]
    revision_request: tuple[int, float]
    stopping: asyncio.Event

    def submit(self, event: Event) -> None:
        """Pass an event to the reducer and carry out the effects that it returns."""

    def begin(self, exchange: Exchange, event: RequestArrived | ResumeAsked) -> None:
        """Start a request; its exchange is registered first, as effects look it up."""

    def finish(self, exchange: Exchange, outcome: str) -> None:
        """End an exchange whose answer has been sent or broken off, and record its outcome."""

    def handle_disconnect(self, exchange: Exchange) -> None:
        """End an exchange whose caller's connection broke while it was written to."""

    async def send_answer(self, exchange: Exchange, sending: t.Awaitable[None]) -> None:
        """Send an answer; if the caller's connection breaks, just end the exchange."""

    def count_tokens(self, count: int) -> None:
        """Count tokens that were passed on to callers."""

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in a task of its own, which is cancelled when the node closes."""

    def send_heartbeat(self) -> None:
        """Send a heartbeat to all linked nodes."""

    def update_boxes(self, rows: tuple[BoxListed, ...], share: bool) -> None:
        """Apply a box list, if it changed, and as a relay send it to all linked nodes.

        :param share: this node read the list from the platform itself.
        """

    def ready(self) -> bool:
        """Return whether callers are served."""

    def update_gauges(self) -> None:
        """Set the gauges from the state, before metrics are rendered."""

    def drain(self, hurry: bool = False) -> None:
        """Start draining.

        :param hurry: don't wait until the addresses that callers have cached expire.
        """
