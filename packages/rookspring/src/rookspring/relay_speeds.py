"""Messages between relay nodes about endpoints' speeds, sent along with heartbeats.

A node sends samples to the relay that it follows, or to all nodes of a mesh. A relay sends the
other relays the sums over itself and its leaf followers, and its followers the speeds that it has
computed. Only what is new is sent, and nothing where the option is not in use.
"""

import typing as t

from rookspring_core import endpoint_speeds
from rookspring_core.effects import LogSpeed
from rookspring_core.events import SpeedsReceived
from rookspring_core.speed_samples import SampleRow

from . import clock
from .logs import log
from .message_rows import SpeedRow
from .message_rows import SpeedSampleRow
from .messages import EndpointSpeeds
from .messages import encode
from .peers import Link
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_peers import RelayPeers
from .relay_peers import receives

# Numbers are sent as integers, in thousandths.
_SCALE = 1000


def send_speeds(peers: RelayPeers, kinds: t.Mapping[str, str], group: t.Iterable[str]) -> None:
    """Send each linked node the samples or speeds that it needs.

    :param kinds: which figures each linked node gets; see :mod:`relay_heartbeats`.
    :param group: the nodes whose samples this node sums, if it is a relay.
    """
    state = peers.context.state
    if not state.options.endpoint_speeds:
        return
    now = clock.now()
    needed = set(kinds.values())
    data: dict[str, bytes] = {}
    for kind, sources in (("own", ()), ("group", group)):
        # What nobody gets yet stays for the next time.
        if kind in needed and (rows := state.speeds.samples.take_unsent(sources, now)):
            data[kind] = encode(EndpointSpeeds([_write_row(row) for row in rows], []))
    if "rest" in needed and (speeds := endpoint_speeds.shared_speeds(state)):
        written = [SpeedRow(endpoint, round(speed * _SCALE)) for endpoint, speed in speeds]
        data["rest"] = encode(EndpointSpeeds([], written))
    for name, kind in kinds.items():
        if kind in data:
            peers.server.links[name].send_encoded(data[kind])


def _write_row(row: SampleRow) -> SpeedSampleRow:
    return SpeedSampleRow(
        row.endpoint, row.model, round(row.weight * _SCALE), round(row.log_s * _SCALE)
    )


def _read_row(row: SpeedSampleRow) -> SampleRow:
    return SampleRow(row.endpoint, row.model, row.weight / _SCALE, row.log_s / _SCALE)


@receives(EndpointSpeeds)
def handle_speeds(peers: RelayPeers, link: Link, item: EndpointSpeeds) -> None:
    """Submit another node's samples and speeds."""
    samples = tuple(_read_row(row) for row in item.samples)
    speeds = tuple((row.endpoint, row.speed / _SCALE) for row in item.speeds)
    peers.context.submit(SpeedsReceived(clock.now(), link.name, samples, speeds))


@handles_relay_effect(LogSpeed)
def log_speed(context: RelayContext, effect: LogSpeed) -> None:
    """Log that an endpoint's speed has changed."""
    log(
        "endpoint_speed",
        endpoint=effect.endpoint,
        speed=effect.speed,
        samples=effect.samples,
        age_s=effect.age_s,
    )
