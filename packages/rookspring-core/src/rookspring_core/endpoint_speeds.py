"""Endpoints' speeds relative to the median of their service, learnt from streams and shared.

Endpoints of one service may differ in speed by a factor of two and more, and one may turn several
times slower for some seconds; none of them announces it. Each relay, and each node of a mesh, has
the samples of all nodes and computes the speeds from them; the others get theirs from the relay
that they follow. ``docs/design/speeds.md`` has the reasons.
"""

import math
import typing as t

from . import defaults
from .effects import Effect
from .effects import LogSpeed
from .endpoints import EndpointView
from .events import EventGapMeasured
from .events import SpeedsReceived
from .reducer import handles
from .speed_fits import FittedSpeed
from .speed_fits import deviates
from .speed_fits import fit_speeds
from .speed_samples import SampleRow
from .state import NodeState

Effects = list[Effect]


@handles(EventGapMeasured)
def note_gap(state: NodeState, event: EventGapMeasured) -> Effects:
    """Add a sample of this node, if it is of a model that the endpoint has."""
    view = state.endpoints.get(event.endpoint)
    if state.options.endpoint_speeds and view is not None and event.model in view.resident:
        state.speeds.samples.note(event.endpoint, event.model, event.gap_s, event.at)
    return []


@handles(SpeedsReceived)
def take_speeds(state: NodeState, event: SpeedsReceived) -> Effects:
    """Apply another node's samples, and the speeds that it computed if this node follows it."""
    peer = state.membership.peers.get(event.source)
    if not state.options.endpoint_speeds or peer is None:
        return []
    if not _computes(state):
        if event.source == state.topology.followed:
            _take_computed(state, event)
        return []
    if state.speeds.samples.number() >= defaults.SPEED_CELLS_MAX:
        return []
    from_relay = peer.heartbeat.relay
    known = [row for row in event.samples if row.endpoint in state.endpoints]
    nodes = 1 + state.membership.size() if from_relay else 1
    to_send = state.topology.relay and not from_relay
    state.speeds.samples.take_rows(event.source, known, event.at, nodes, to_send)
    return []


def _computes(state: NodeState) -> bool:
    """Return whether this node gets all nodes' samples."""
    return state.topology.mesh or state.topology.relay


def _take_computed(state: NodeState, event: SpeedsReceived) -> None:
    """Apply the speeds that the relay which this node follows has computed."""
    least, most = defaults.SPEED_RANGE
    for endpoint, speed in event.speeds:
        view = state.endpoints.get(endpoint)
        if view is not None and not state.speeds.samples.restarted_lately(endpoint, event.at):
            view.speed = min(max(speed, least), most)
            state.speeds.confirmed_at[endpoint] = event.at


def update(state: NodeState) -> Effects:
    """Compute the speeds if this node does and it is due; drop those that nobody confirms."""
    speeds = state.speeds
    if not state.options.endpoint_speeds:
        _reset_unconfirmed(state, 0.0)
        return []
    if state.now < speeds.next_fit_at:
        return []
    # The cost of a fit grows with the samples, and its share of a core stays the same.
    interval_s = max(defaults.SPEED_FIT_S, speeds.samples.number() / defaults.SPEED_CELLS_PER_S)
    speeds.next_fit_at = state.now + interval_s
    effects: Effects = []
    # A node that doesn't compute drops what has decayed all the same.
    sums = speeds.samples.sums(state.now)
    if _computes(state):
        for rows in _group_by_service(state, sums).values():
            effects += _apply_fit(state, fit_speeds(rows))
    _reset_unconfirmed(state, defaults.SPEED_KEPT_S)
    return effects


def _group_by_service(state: NodeState, rows: t.Iterable[SampleRow]) -> dict[str, list[SampleRow]]:
    services: dict[str, list[SampleRow]] = {}
    for row in rows:
        view = state.endpoints.get(row.endpoint)
        if view is not None and not view.gone:
            services.setdefault(view.service, []).append(row)
    return services


def _apply_fit(state: NodeState, fits: t.Mapping[str, FittedSpeed]) -> Effects:
    """Set the speeds of endpoints: exactly 1.0 unless they differ from the usual beyond noise."""
    speeds = state.speeds
    effects: Effects = []
    for endpoint, fitted in fits.items():
        view = state.endpoints[endpoint]
        differs = deviates(fitted, differing=view.speed != 1.0)
        speed = _choose_speed(view.speed, fitted.log_speed) if differs else 1.0
        speeds.confirmed_at[endpoint] = state.now
        if speed != view.speed:
            effects += _set_speed(state, view, speed, fitted.weight)
    return effects


def _choose_speed(known: float, log_speed: float) -> float:
    """Return the known speed unless the fitted one differs by more than ``SPEED_STEP``."""
    least, most = defaults.SPEED_RANGE
    speed = min(max(math.exp(log_speed), least), most)
    return speed if abs(math.log(speed / known)) > defaults.SPEED_STEP else known


def _set_speed(state: NodeState, view: EndpointView, speed: float, weight: float) -> Effects:
    """Set a speed, and log it if it differs much from the one that was logged last."""
    speeds = state.speeds
    view.speed = speed
    speeds.changed_at[view.name] = state.now
    logged = speeds.logged.get(view.name, 1.0)
    if abs(math.log(speed / logged)) < defaults.SPEED_LOG_STEP:
        return []
    speeds.logged[view.name] = speed
    age_s = state.now - speeds.samples.sampled_at(view.name)
    return [LogSpeed(view.name, speed, weight, age_s)]


def _reset_unconfirmed(state: NodeState, kept_s: float) -> None:
    """Reset speeds that were last confirmed longer ago than ``kept_s`` seconds."""
    speeds = state.speeds
    late = [one for one, at in speeds.confirmed_at.items() if state.now - at >= kept_s]
    for endpoint in late:
        del speeds.confirmed_at[endpoint]
        speeds.changed_at.pop(endpoint, None)
        speeds.logged.pop(endpoint, None)
        if (view := state.endpoints.get(endpoint)) is not None:
            view.speed = 1.0


def forget_endpoint(state: NodeState, view: EndpointView) -> None:
    """Drop what is known of an endpoint's speed, after a restart."""
    view.speed = 1.0
    if state.options.endpoint_speeds:
        state.speeds.forget_endpoint(view.name, state.now)


def shared_speeds(state: NodeState) -> list[tuple[str, float]]:
    """Return the endpoints' speeds that followers need: those other than 1.0, and changes to it.

    They are bounded in number, and taken in turn.
    """
    speeds = state.speeds
    rows = [
        (name, view.speed)
        for name, view in state.endpoints.items()
        if state.now - speeds.confirmed_at.get(name, -math.inf) < defaults.SPEED_SHARED_S
        and (
            view.speed != 1.0
            or state.now - speeds.changed_at.get(name, -math.inf) < defaults.SPEED_SHARED_S
        )
    ]
    start = speeds.shared_from if speeds.shared_from < len(rows) else 0
    speeds.shared_from = start + defaults.SPEED_ROWS_MAX
    return rows[start : speeds.shared_from]
