"""Assembly of a relay node: its components, listeners, loops and signal handlers."""

import asyncio
import contextlib
import functools
import secrets
import signal
import sys
import typing as t

import uvloop

from rookspring_core import Identity
from rookspring_core import NodeState
from rookspring_core import allotment_checks
from rookspring_core import cluster
from rookspring_core import defaults as core_defaults
from rookspring_core import demand
from rookspring_core import place_requests
from rookspring_core import stream_origins
from rookspring_core.allotments import Allotments
from rookspring_core.effects import ReadDesired
from rookspring_core.effects import ReadHead
from rookspring_core.effects import Stop
from rookspring_core.effects import WriteLease
from rookspring_core.events import DrainAsked
from rookspring_core.events import GraceEnded
from rookspring_core.events import LeaseWritten
from rookspring_core.events import Ticked
from rookspring_core.freshness import ProofTerms
from rookspring_core.leases import RELAY_TERMS
from rookspring_core.retries import WindowTerms

from . import clock
from . import defaults
from . import lease_objects
from . import logs
from . import process_memory
from . import relay
from . import relay_allotments
from . import relay_attempts as relay_attempts
from . import relay_close_records
from . import relay_evacuations
from . import relay_handovers as relay_handovers
from . import relay_heartbeats
from . import relay_merged
from . import relay_notices
from . import relay_orders as relay_orders
from . import relay_run_copies as relay_run_copies
from . import relay_slots
from . import relay_stop
from . import relay_store_loops
from . import relay_streams
from . import relay_suspects
from . import relay_updates
from .byte_budget import ByteBudget
from .dialect import Dialect
from .exceptions import SettingsError
from .http_listener import HttpListener
from .http_messages import Header
from .http_messages import HttpRequest
from .http_server import ReadLimits
from .http_server import ServerConnection
from .http_server import ServerOptions
from .logs import log
from .metrics import Metrics
from .platform import StoredObject
from .platform import open_platform
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_endpoint_list import EndpointList
from .relay_peers import RelayPeers
from .relay_proofs import ProofRefresher
from .relay_reach import ReachProbes
from .relay_settings import RelaySettings
from .store_eras import StoreEras
from .store_reachability import StoreReachability

Reload = t.Callable[[], RelaySettings]


def configure_logs() -> None:
    """Write log lines to standard output through a bounded buffer, without blocking."""
    logs.configure_bounded(sys.stdout.fileno())


def run(settings: RelaySettings, dialect: Dialect, reload: Reload) -> int:
    """Run one node until a planned stop is complete.

    :param reload: reads the settings again; raises :class:`SettingsError`.
    """
    uvloop.run(_run(settings, dialect, reload))
    return 0


async def _run(settings: RelaySettings, dialect: Dialect, reload: Reload) -> None:
    process_memory.map_large_blocks()
    node = RelayNode(settings, dialect)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.drain)
    loop.add_signal_handler(signal.SIGINT, node.drain)
    loop.add_signal_handler(signal.SIGHUP, lambda: node.reload(reload))
    await node.start()
    node.context.spawn(_watch_settings(node, reload))
    await node.run_until_stopped()


async def _watch_settings(node: "RelayNode", reload: Reload) -> None:
    """Apply settings that were changed without a signal."""
    while True:
        await asyncio.sleep(defaults.SETTINGS_CHECK_S)
        node.reload(reload, by_signal=False)


class RelayNode:
    """One node that relays requests for a platform's callers."""

    def __init__(self, settings: RelaySettings, dialect: Dialect) -> None:
        self.settings = settings
        incarnation = secrets.token_hex(6)
        identity = Identity(
            settings.name,
            incarnation,
            settings.data_centre,
            settings.peer_address,
            settings.caller_address,
        )
        state = NodeState(identity, clock.now())
        state.relaying = True
        state.slots_by_owner = True
        state.capacity = min(settings.cores, settings.link_mbps / defaults.LINK_MBPS_PER_CORE)
        state.control.lease.terms = RELAY_TERMS
        pace = demand.SmoothingTimes(
            core_defaults.RELAY_DEMAND_RISE_S,
            core_defaults.RELAY_DEMAND_FALL_S,
            core_defaults.RELAY_DEMAND_METER_S,
        )
        state.control.meter.smoothing = pace
        state.control.forecast.smoothing = pace
        state.control.urgent_demand.use_smoothing(pace)
        state.control.refused_demand.use_smoothing(
            pace._replace(fall_s=core_defaults.REFUSED_DEMAND_FALL_S)
        )
        metrics = Metrics(settings.name)
        address = f"{settings.store_scheme}://{settings.store}"
        platform = open_platform(address, _counter(metrics))
        budget = ByteBudget()
        platform.count_bytes(budget)
        self.context = RelayContext(settings, dialect, state, platform, metrics, budget)
        self.peers = RelayPeers(self.context)
        self.reach = StoreReachability(self.context)
        self.context.eras = StoreEras(self.context, self.reach)
        self.context.eras.attach_client(platform)
        self.context.reach_probes = ReachProbes(self.context)
        self.endpoints = EndpointList(self.context, self.peers, self.reach)
        self.proofs = ProofRefresher(self.context, self.peers, self.reach)
        self._connect_components()
        self.stopping = asyncio.Event()
        self._grace_over = asyncio.Event()
        # The callers that still waited for an answer when the grace time was over.
        self._owed_at_end = 0
        self.listeners: dict[str, HttpListener] = {}
        self._apply_settings(settings)

    def _connect_components(self) -> None:
        """Set the callbacks by which components call each other without imports."""
        context = self.context
        peers = self.peers
        peers.link_callbacks += (
            relay_heartbeats.send_first_heartbeat,
            relay_merged.send_merged_sets,
        )
        context.announce = functools.partial(relay_heartbeats.announce, peers)
        context.share_report = functools.partial(relay_updates.share_report, peers)
        context.share_loading = functools.partial(relay_updates.share_loading, peers)
        context.share_down = functools.partial(relay_updates.share_down, peers)
        context.share_evidence = functools.partial(relay_suspects.share_evidence, peers)
        context.share_leaving = functools.partial(relay_notices.share_leaving, peers)
        context.share_evacuations = functools.partial(relay_evacuations.share_evacuations, peers)
        context.share_rates = functools.partial(relay_notices.share_rates, peers)
        context.share_shed = functools.partial(relay_notices.share_shed, peers)
        context.share_break = functools.partial(relay_close_records.share_break, peers)
        relay_close_records.watch_breaks(context)
        context.share_prompts = relay_updates.PromptUpdates(peers).note
        context.send_load_request = functools.partial(relay_updates.send_load_request, peers)
        context.ask_allotment = functools.partial(relay_allotments.ask_units, peers)
        context.return_units = functools.partial(relay_allotments.return_units, peers)
        context.ask_slot = functools.partial(relay_slots.ask_slot, peers)
        context.free_slot = functools.partial(relay_slots.free_slot, peers)
        context.tell_origin = functools.partial(relay_streams.tell_owners, peers)
        context.origins = relay_streams.OriginQuestions(peers)
        context.ask_proof = self.proofs.ask_soon
        context.send_endpoint_list = self.endpoints.send_all_rows
        context.take_endpoint_rows = self._take_endpoint_rows
        context.stop = self._stop

    def _take_endpoint_rows(self, rows: tuple[StoredObject, ...], whole: bool, source: str) -> None:
        """Apply endpoint rows from another node.

        Entries missing in a complete list are removed only if the followed node sent it.
        """
        followed = self.context.state.topology.followed
        self.endpoints.apply_peer_rows(rows, whole and source == followed)

    def _apply_settings(self, settings: RelaySettings) -> None:
        state = self.context.state
        state.retry_window_terms = WindowTerms(
            settings.retry_share,
            settings.retry_slack,
            settings.retry_window_s,
            defaults.RELAY_NODES_MIN,
        )
        state.proof_terms = ProofTerms(settings.proof_s)
        state.options = settings.options
        state.endpoint_stops.serves_s = settings.endpoint_drain_s
        if state.allotments.tolerance != settings.allotments:
            state.allotments = Allotments(settings.allotments, state.started_at)
        state.drain_serve_s = min(
            defaults.LOOKUP_TTL_FACTOR * settings.lookup_ttl_s,
            settings.grace_s * defaults.STOP_SERVE_SHARE,
        )

    async def start(self) -> None:
        """Open the listeners and start all loops."""
        settings = self.settings
        log(
            "node_started",
            node=settings.name,
            address=settings.caller_address,
            clock=clock.CLOCK_NAME,
            link_mbps=settings.link_mbps,
        )
        reach = self.reach
        endpoints = self.endpoints
        await self.peers.start()
        await self._listen()
        loops = relay_store_loops
        context = self.context
        kind = context.dialect.endpoint_kind()
        for make in (
            self._tick_loop,
            self._sweep_loop,
            self._memory_loop,
            lambda: relay_heartbeats.heartbeat_loop(self.peers),
            endpoints.expiry_loop,
            self.proofs.run,
            lambda: relay_slots.process_queues_loop(self.peers),
            lambda: loops.watch_kind(context, reach, kind, endpoints.apply_store_rows, True),
            lambda: loops.watch_table(context, self.peers, reach),
            relay_evacuations.EvacuationWatch(context, reach).run,
            lambda: loops.poll_lease(context, reach),
            lambda: loops.poll_nodes(context, self.peers, reach),
            lambda: loops.rewrite_row(context),
        ):
            context.run_forever(make)

    async def _listen(self) -> None:
        settings = self.settings

        async def serve(connection: ServerConnection, request: HttpRequest) -> None:
            await relay.serve_caller(self.context, connection, request)

        def refuse(request: HttpRequest) -> list[Header]:
            return relay.refuse_unread(self.context, request)

        callers = ServerOptions(
            serve, self._read_limits, lambda: self.context.state.leaving, refuse
        )
        checks = ServerOptions(self._serve_checks)
        host = settings.caller_address.rpartition(":")[0]
        rows = {
            "callers": (settings.caller_address, callers),
            "ready": (settings.ready_address, checks),
            "metrics": (f"{host}:{settings.metrics_port}", ServerOptions(self._serve_metrics)),
        }
        if settings.lookup_address and settings.lookup_address != settings.ready_address:
            rows["lookup"] = (settings.lookup_address, checks)
        for name, (address, options) in rows.items():
            listener = HttpListener(options, self.context.budget)
            host, _, port = address.rpartition(":")
            await listener.start(host, int(port))
            self.listeners[name] = listener

    def _read_limits(self) -> ReadLimits:
        table = self.context.state.table
        return ReadLimits(*table.limits) if table else ReadLimits()

    async def _serve_checks(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Answer readiness checks and address lookups."""
        dialect = self.context.dialect
        zone = dialect.read_lookup(request)
        if zone is not None:
            addresses = cluster.near_addresses(self.context.state, zone)
            headers, body = dialect.write_lookup(addresses, self.settings.lookup_ttl_s)
            connection.answer(200 if addresses else 503, headers, body)
            return
        if dialect.is_readiness_check(request):
            connection.answer(200 if self.context.ready() else 503, [], b"")
            return
        connection.answer(404, [], b"")

    async def _serve_metrics(self, connection: ServerConnection, request: HttpRequest) -> None:
        state = self.context.state
        metrics = self.context.metrics
        metrics.inflight.set({}, len(state.requests))
        metrics.answers_owed.set({}, len(self.listeners["callers"].owing()))
        metrics.isolated.set({}, int(state.reach.isolated))
        metrics.evacuated.set({}, len(state.evacuations.in_force))
        metrics.waiting.set({}, sum(len(queue) for queue in state.queues.values()))
        for end, count in state.model_waits.ends.items():
            metrics.model_waits.set({"end": end}, count)
        metrics.set_places_waiting(place_requests.waiting_by_rank(state))
        metrics.revision.set({}, state.revision)
        if state.options.endpoint_speeds:
            views = state.endpoints.values()
            metrics.set_endpoint_speeds({view.name: view.speed for view in views})
        metrics.leader.set({}, int(state.control.holding(clock.now())))
        metrics.held_bytes.set({}, self.context.budget.held_bytes)
        metrics.held_bytes_max.set({}, self.context.budget.most)
        metrics.given_up.set({}, self.context.budget.given_up)
        metrics.peer_bytes.set({}, self.peers.server.sent_bytes())
        body, headers = metrics.render()
        rows = [(key.encode(), value.encode()) for key, value in headers.items()]
        connection.answer(200, rows, body)

    async def _tick_loop(self) -> None:
        ticked_at = clock.now()
        while True:
            now = clock.now()
            if now - ticked_at > defaults.STALLED_S:
                self._resume(now - ticked_at)
            ticked_at = now
            self.context.submit(Ticked(now))
            if self.context.state.topology.watching:
                self.context.watching.set()
            else:
                self.context.watching.clear()
            await asyncio.sleep(core_defaults.TICK_S)

    def _resume(self, frozen_s: float) -> None:
        """Reschedule timeouts after this process was frozen; the loop's timers omit a suspension.

        :param frozen_s: time since the tick before, in seconds.
        """
        log("stood_still", "WARNING", for_s=frozen_s, suspended_s=clock.suspended_s())
        for exchange in self.context.exchanges.values():
            exchange.reschedule_timeout()

    async def _sweep_loop(self) -> None:
        while True:
            await asyncio.sleep(defaults.POOL_SWEEP_S)
            self.context.pool.sweep(clock.now())
            self.context.peer_pool.sweep(clock.now())

    async def _memory_loop(self) -> None:
        """Compare what may be held with the memory that the process takes by itself."""
        while True:
            for listener in self.listeners.values():
                listener.count_held()
            self.context.budget.forget_some()
            if self.settings.memory_bytes:
                process_memory.adapt_budget(self.context.budget, self.settings.memory_bytes)
            await asyncio.sleep(defaults.MEMORY_CHECK_S)

    def reload(self, reload: Reload, by_signal: bool = True) -> None:
        """Read the settings again and apply them; invalid ones change nothing.

        :param by_signal: a signal requested it, so it is logged even if nothing has changed.
        """
        try:
            settings = reload()
        except SettingsError as error:
            for fault in error.faults:
                log("settings_wrong", "ERROR", fault=fault, kept="the settings in force")
            return
        if settings == self.settings and not by_signal:
            return
        changed = [
            name
            for name, old, new in zip(settings._fields, self.settings, settings, strict=True)
            if old != new
        ]
        log("settings_reloaded", changed=",".join(changed), told=by_signal)
        self.settings = settings
        self.context.settings = settings
        self.peers.dialler.seeds = settings.seeds
        self._apply_settings(settings)

    def drain(self) -> None:
        """Begin a planned stop, which ends at the latest ``STOP_MARGIN_S`` before ``grace_s``."""
        if self.context.state.leaving:
            return
        log("node_draining", node=self.settings.name, requests=len(self.context.exchanges))
        self.context.submit(DrainAsked(clock.now()))
        end_s = max(0.1, self.settings.grace_s - defaults.STOP_MARGIN_S)
        self.context.loop.call_later(end_s, self.end_grace)
        self.context.spawn(relay_store_loops.delete_row(self.context))

    def _stop(self) -> None:
        self.stopping.set()

    def end_grace(self) -> None:
        """End the node, since its grace time is over; refuse the requests that are left."""
        self._owed_at_end = relay_stop.log_owed(self.context, list(self.listeners.values()))
        try:
            self.context.submit(GraceEnded(clock.now()))
        finally:
            self._grace_over.set()
            self.stopping.set()

    async def run_until_stopped(self) -> None:
        """Wait until a planned stop is complete, then close all connections."""
        await self.stopping.wait()
        listeners = list(self.listeners.values())
        for listener in listeners:
            listener.stop_accepting()
        await relay_stop.finish_answers(listeners, self._grace_over)
        log("node_stopped", node=self.settings.name, cut=self._owed_at_end)
        for task in list(self.context.tasks):
            task.cancel()
        await asyncio.gather(*self.context.tasks, return_exceptions=True)
        await self.peers.server.close()
        with contextlib.suppress(OSError):
            await self.context.platform.close()


def _counter(metrics: Metrics) -> t.Callable[[str, str], None]:
    def count(method: str, end: str) -> None:
        metrics.platform_calls.inc({"method": method, "end": end})

    return count


@handles_relay_effect(Stop)
def stop(context: RelayContext, effect: Stop) -> None:
    """End the process: the planned stop is complete."""
    context.stop()


@handles_relay_effect(WriteLease)
def write_lease(context: RelayContext, effect: WriteLease) -> None:
    """Write the lease object, provided that its version is unchanged."""
    asked_at = clock.now()
    value = {
        "holder": context.settings.name if effect.nonce else "",
        "epoch": effect.epoch,
        "nonce": effect.nonce,
        "settled": effect.settled,
        "turn_in_s": effect.turn_in_s,
        # Distinguishes this node from a box that replaces it under the same name.
        "address": context.settings.peer_address,
        # Read by nodes that start while no other node that knows these values is running.
        "used": allotment_checks.used_shares(context.state, asked_at),
        "verdicts": relay_suspects.write_verdicts(context.state, asked_at),
        "several": _write_several(context, asked_at),
    }

    async def write() -> None:
        name = relay_store_loops.lease_name(effect.era)
        kind = relay_store_loops.LEASE_KIND
        answer = await context.eras.call_in_era(
            context.platform.put(kind, name, value, effect.version)
        )
        won, version = lease_objects.read_outcome(answer)
        if won is None:
            log("store_call_failed", "WARNING", call="write lease", detail=answer.failure())
        context.submit(LeaseWritten(clock.now(), asked_at, effect.nonce, won, version))

    context.spawn(write())


def _write_several(context: RelayContext, now: float) -> dict[str, float] | None:
    """Return the services of several versions, and how long that counts, for nodes that start.

    None until this node knows it.
    """
    if not stream_origins.knows_former(context.state):
        return None
    left = context.state.stream_versions.several_left(now)
    return {service: round(left_s, 1) for service, left_s in left.items()}


@handles_relay_effect(ReadDesired)
def log_lease_acquired(context: RelayContext, effect: ReadDesired) -> None:
    """Log that this node holds the lease; it has no resources to read.

    The platform keeps the configuration, which every node reads.
    """
    log("lease_acquired", node=context.settings.name, epoch=effect.epoch)


@handles_relay_effect(ReadHead)
def ignore_read_head(context: RelayContext, effect: ReadHead) -> None:
    """Do nothing: the platform accepts the configuration, so relay nodes publish no revisions."""
