"""What the parts of a node take: its state, clients and calls, as a protocol.

:mod:`node` has all of it and wires the parts; the parts know this alone, so that no
circle of imports goes through the module that wires them.
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
from .telemetry import Telemetry
from .tokens import Signer


class NodeContext(t.Protocol):
    """A node as its parts see it."""

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
    # Forwarded requests and old revisions are of types that their own modules keep.
    forwards: dict[int, t.Any]
    history: t.Any
    forward_count: int
    refusal_counts: collections.Counter[str]
    intent_versions: dict[str, int]
    report_log: ReportLog
    boxes: tuple[BoxListed, ...]
    wanted: tuple[int, float]
    stopping: asyncio.Event

    def submit(self, event: Event) -> None:
        """Take an event: reduce it and perform the effects."""

    def begin(self, exchange: Exchange, event: RequestArrived | ResumeAsked) -> None:
        """Begin a request: its exchange is known before its event is reduced."""

    def finish(self, exchange: Exchange, outcome: str) -> None:
        """An exchange's last byte has gone."""

    def leave(self, exchange: Exchange) -> None:
        """A caller's connection broke while it was being written to."""

    async def answering(self, exchange: Exchange, sending: t.Awaitable[None]) -> None:
        """Send an answer; a broken connection ends the exchange in silence."""

    def count_tokens(self, count: int) -> None:
        """Count tokens passed on."""

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> asyncio.Task[None]:
        """Run work in a task of its own, which ends with the node."""

    def beat(self) -> None:
        """Send a heartbeat to all linked nodes."""

    def take_boxes(self, rows: tuple[BoxListed, ...], share: bool) -> None:
        """Take a box list, and pass it on if this node read it as a relay."""

    def ready(self) -> bool:
        """Say whether callers may come."""

    def update_gauges(self) -> None:
        """Set gauges from the state, for a scrape."""

    def drain(self, hurry: bool = False) -> None:
        """Begin the planned stop."""
