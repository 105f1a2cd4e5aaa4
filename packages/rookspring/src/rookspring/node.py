"""One node: passes events to the reducer, carries out its effects, runs servers and tasks."""

import asyncio
import collections
import random
import secrets
import ssl
import typing as t

from rookspring_core import Identity
from rookspring_core import InvariantBroken
from rookspring_core import NodeState
from rookspring_core import control_jobs
from rookspring_core import defaults as core_defaults
from rookspring_core import reduce
from rookspring_core.events import BoxListed
from rookspring_core.events import CacheEventsReceived
from rookspring_core.events import CallerLeft
from rookspring_core.events import DrainAsked
from rookspring_core.events import EndpointReported
from rookspring_core.events import Event
from rookspring_core.events import GraceEnded
from rookspring_core.events import ReportMissed
from rookspring_core.events import RequestArrived
from rookspring_core.events import ResumeAsked
from rookspring_core.events import Ticked

from . import clock
from . import defaults
from . import forwarding
from . import gossip
from . import platform_loops
from . import web
from .dialling import Dialler
from .dialling import plan_links
from .effect_handlers import EFFECT_HANDLERS
from .endpoints import ENDPOINT_CLIENTS
from .endpoints import EndpointClient
from .exceptions import CallerGone
from .exchanges import ChatExchange
from .exchanges import Exchange
from .logs import log
from .message_rows import HintRow
from .messages import Boxes
from .messages import Hints
from .messages import Reports
from .metrics import Metrics
from .peers import PeerServer
from .platform import open_platform
from .published import PublishedStore
from .settings import Settings
from .signing import Signer
from .telemetry import Telemetry


class Node:
    """A running node. One process runs one; the demo runs several.

    :param on_broken: called with the error when an invariant does not hold; without it, the error
        is raised.
    """

    def __init__(
        self,
        settings: Settings,
        on_broken: t.Callable[[InvariantBroken], None] | None = None,
    ) -> None:
        self.settings = settings
        identity = Identity(
            settings.name,
            secrets.token_hex(6),
            settings.data_centre,
            settings.address,
            settings.caller_address,
        )
        self.state = NodeState(identity, clock.now())
        self.state.full_checks = settings.full_checks
        self.metrics = Metrics(settings.name)
        self.telemetry = Telemetry(
            settings.name, settings.trace_file, settings.trace_otlp, settings.trace_share
        )
        self.signer = Signer(settings.signing_keys)
        self.platform = open_platform(settings.platform, self._count_platform, self.telemetry)
        self.published = PublishedStore(self.platform)
        self.endpoints: EndpointClient = t.cast(t.Any, ENDPOINT_CLIENTS["http"])()
        self.tls = _make_tls(settings)
        self.peers = PeerServer(
            settings.name, identity.incarnation, settings.shared_key, self._serve_link, self.tls
        )
        self.exchanges: dict[str, Exchange] = {}
        self.forwards: dict[int, forwarding.PendingForward] = {}
        self.forward_count = 0
        self.refusal_counts: collections.Counter[str] = collections.Counter()
        self.intent_versions: dict[str, int] = {}
        self.history = gossip.RevisionHistory()
        self.report_log = gossip.ReportLog()
        self.boxes: tuple[BoxListed, ...] = ()
        self.revision_request = (0, 0.0)
        membership = self.state.membership
        self.dialler = Dialler(
            membership.name,
            lambda: plan_links(membership),
            self.peers,
            settings.peers,
            self.spawn,
        )
        self.stopping = asyncio.Event()
        self._grace_over = asyncio.Event()
        # Requests that callers and operators have sent and that are not answered yet. A request
        # that another node runs is among them and not among the exchanges.
        self.open_calls = 0
        self.closed = False
        self._cache_positions: dict[str, int] = {}
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self.http_server: t.Any = None
        self._on_broken = on_broken
        self._ready_logged = False

    # Events and effects.

    def submit(self, event: Event) -> None:
        """Pass an event to the reducer and carry out the effects that it returns.

        Ignored once the node is closed.
        """
        if self.closed:
            return
        revision = self.state.catalogue.revision
        try:
            effects = reduce(self.state, event)
        except InvariantBroken as error:
            log("invariant_broken", "ERROR", name=error.name, detail=error.detail)
            if self._on_broken is None:
                raise
            self._on_broken(error)
            return
        if self.state.catalogue.revision != revision:
            self._revision_applied()
        for effect in effects:
            EFFECT_HANDLERS[type(effect)](self, effect)

    def _revision_applied(self) -> None:
        revision = self.state.catalogue.revision
        epoch = self.state.control.lease.epoch
        self.history.add(revision, epoch, self.state.control.entries)
        self.metrics.revision.set({}, revision)
        log("revision_applied", node=self.settings.name, revision=revision)
        if not self._ready_logged:
            self._ready_logged = True
            log("node_ready", node=self.settings.name, revision=revision)
        self.send_heartbeat()

    def begin(self, exchange: Exchange, event: RequestArrived | ResumeAsked) -> None:
        """Start a request; its exchange is registered first, as effects look it up."""
        self.exchanges[exchange.request_id] = exchange
        self.metrics.requests.inc({"target": exchange.target})
        self.submit(event)

    def finish(self, exchange: Exchange, outcome: str) -> None:
        """End an exchange whose answer has been sent or broken off, and record its outcome."""
        self.exchanges.pop(exchange.request_id, None)
        exchange.span.set_attribute("outcome", outcome)
        exchange.span.end()
        if isinstance(exchange, ChatExchange) and exchange.first_token_s is not None:
            self.metrics.first_token.observe({}, exchange.first_token_s)
        exchange.finish()

    def handle_disconnect(self, exchange: Exchange) -> None:
        """End an exchange whose caller's connection broke while it was written to."""
        self.submit(CallerLeft(clock.now(), exchange.request_id))
        self.finish(exchange, "left")

    async def send_answer(self, exchange: Exchange, sending: t.Awaitable[None]) -> None:
        """Send an answer; if the caller's connection breaks, just end the exchange."""
        try:
            await sending
        except CallerGone:
            self.finish(exchange, "left")

    def count_tokens(self, count: int) -> None:
        """Count tokens that were passed on to callers."""
        self.metrics.tokens.add({}, count)

    def _count_platform(self, method: str, end: str) -> None:
        self.metrics.platform_calls.inc({"method": method, "end": end})

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in a task of its own, which is cancelled when the node closes."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task[t.Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            log("task_failed", "ERROR", error=type(error).__name__, detail=error)

    # Other nodes.

    async def _serve_link(self, link: t.Any) -> None:
        await gossip.serve_link(self, link)

    def send_heartbeat(self) -> None:
        """Send a heartbeat to all linked nodes."""
        full = gossip.make_heartbeat(self)
        short = gossip.shorten_heartbeat(full)
        membership = self.state.membership
        relays = membership.relays(self.state.identity.data_centre)
        for name, link in list(self.peers.links.items()):
            # Without a full mesh, only the data centre's relays get the full heartbeat.
            link.send(full if membership.is_full_mesh() or name in relays else short)

    def update_boxes(self, rows: tuple[BoxListed, ...], share: bool) -> None:
        """Apply a box list, if it changed, and as a relay send it to all linked nodes.

        :param share: this node read the list from the platform itself.
        """
        if rows == self.boxes:
            return
        self.boxes = rows
        self.submit(platform_loops.make_box_list_event(self, rows))
        if share and self.state.membership.is_relay():
            item = Boxes(list(rows))
            for link in list(self.peers.links.values()):
                link.send(item)

    # Endpoints.

    async def _poll_loop(self) -> None:
        while True:
            due = [view for view in self.state.endpoints.values() if self._should_poll(view)]
            if due:
                await asyncio.gather(*(self._poll(view.name, view.address) for view in due))
            await asyncio.sleep(defaults.REPORT_INTERVAL_S * (0.9 + 0.2 * random.random()))

    def _should_poll(self, view: t.Any) -> bool:
        """Return whether this node is the poller of an endpoint, or its reports are overdue."""
        poller = self.state.membership.poller_of(view.name, view.data_centre)
        if poller == self.settings.name:
            return True
        return bool(clock.now() - view.reported_at > defaults.REPORT_MISSING_S)

    async def _poll(self, name: str, address: str) -> None:
        report = await self.endpoints.report(name, address, clock.now())
        if report is None:
            self.submit(ReportMissed(clock.now(), name))
            return
        self.submit(report)
        self._share_report(report)

    def _share_report(self, report: EndpointReported) -> None:
        item = Reports([self.report_log.row_for(report, clock.now())])
        for link in list(self.peers.links.values()):
            link.send(item)

    async def _cache_event_loop(self) -> None:
        while True:
            await asyncio.sleep(defaults.CACHE_EVENTS_S)
            for view in list(self.state.endpoints.values()):
                poller = self.state.membership.poller_of(view.name, view.data_centre)
                if view.role == "runner" and poller == self.settings.name:
                    await self._read_cache_events(view.name, view.address)

    async def _read_cache_events(self, name: str, address: str) -> None:
        since = self._cache_positions.get(name, 0)
        after, prefixes = await self.endpoints.cache_events(address, since)
        self._cache_positions[name] = after
        if prefixes:
            self.submit(CacheEventsReceived(clock.now(), name, prefixes))
            item = Hints([HintRow(name, prefixes)])
            for link in list(self.peers.links.values()):
                link.send(item)

    # Start and stop.

    async def _tick_loop(self) -> None:
        while True:
            self.submit(Ticked(clock.now()))
            await asyncio.sleep(core_defaults.TICK_S)

    def ready(self) -> bool:
        """Return whether callers are served: a revision is in force and no drain has begun."""
        return self.state.catalogue.revision > 0 and not self.state.leaving

    def update_gauges(self) -> None:
        """Set the gauges from the state, before metrics are rendered."""
        state = self.state
        self.metrics.inflight.set({}, len(state.requests))
        self.metrics.waiting.set({}, sum(len(queue) for queue in state.queues.values()))
        self.metrics.leader.set({}, int(control_jobs.holding(state)))
        self.metrics.peer_bytes.set({}, self.peers.sent_bytes())
        hosts = control_jobs.resident_models(state)
        self.metrics.unplaced.set({}, sum(1 for at in hosts.values() if not at))

    async def start(self) -> None:
        """Open the peer and caller sockets and start all loops."""
        settings = self.settings
        await self.peers.listen(settings.host, settings.peer_port)
        self.http_server = await web.serve(self)
        for loop in (
            self._tick_loop(),
            self._poll_loop(),
            self._cache_event_loop(),
            gossip.heartbeat_loop(self),
            platform_loops.follow_boxes(self),
            platform_loops.follow_lease(self),
            platform_loops.follow_head(self),
        ):
            self.spawn(loop)
        log("node_started", node=settings.name, address=settings.caller_address)

    def drain(self, hurry: bool = False) -> None:
        """Start draining.

        :param hurry: don't wait until the addresses that callers have cached expire.
        """
        log("node_draining", node=self.settings.name, hurry=hurry)
        self.submit(DrainAsked(clock.now(), hurry))

    def end_grace(self) -> None:
        """End the node without waiting for requests; those that are left are refused."""
        log("grace_ended", "WARNING", requests=len(self.exchanges), calls=self.open_calls)
        try:
            self.submit(GraceEnded(clock.now()))
            forwarding.fail_pending(self)
        finally:
            self._grace_over.set()
            self.stopping.set()

    async def run_until_stopped(self) -> None:
        """Wait until the node is drained, then write outcomes and close."""
        await self.stopping.wait()
        # Requests have ended in the reducer, but their answers may still be being sent, or come
        # from another node.
        while (self.exchanges or self.open_calls) and not self._grace_over.is_set():
            await asyncio.sleep(defaults.STOP_CHECK_S)
        if self._grace_over.is_set():
            await asyncio.sleep(defaults.STOP_FLUSH_S)
        await forwarding.write_outcomes(self)
        await self.close()
        log("node_stopped", node=self.settings.name)

    async def close(self) -> None:
        """Close at once: cancel all tasks, with whatever is in flight, and close connections."""
        self.closed = True
        await web.close(self.http_server)
        await self.peers.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.endpoints.close()
        await self.platform.close()
        self.telemetry.stop()


def _make_tls(settings: Settings) -> ssl.SSLContext | None:
    if not settings.tls_cert:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_cert, settings.tls_key)
    return context
