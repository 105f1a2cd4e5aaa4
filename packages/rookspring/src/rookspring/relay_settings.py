"""Settings of a relay node, as the platform's adapter reads them."""

import typing as t

from rookspring_core.allotments import WindowTolerance
from rookspring_core.options import DecisionOptions
from rookspring_core.watches import ChangeBounds


class RelaySettings(t.NamedTuple):
    """Settings of a relay node; addresses are IP:PORT.

    :param ready_address: where this node answers the platform's readiness checks.
    :param lookup_address: where this node answers callers that look up addresses; may be empty.
    :param store: address of the platform's object store.
    :param retry_share: retries allowed for each first send within a window.
    :param retry_slack: retries allowed beyond the share, for all nodes together.
    :param cores: processor cores that the node may use.
    :param memory_bytes: memory that the node's process may take; 0 if no limit is stated.
    :param link_mbps: bandwidth of its box's network link, in Mbit/s.
    :param grace_s: time from the stop signal until the process has to have ended, in seconds.
    :param proof_s: a request sent later than this after its key was revoked runs at no node, in
        seconds; 0 if this is guaranteed only for nodes that are connected.
    :param evacuation_s: no request reaches an endpoint later than this after its data centre's
        evacuation, in seconds; 0 if the platform asks for no evacuations.
    :param allotments: how organisations' allotments are counted.
    :param options: the optional decisions that the settings call for.
    :param changes: how soon the node has to act on what the store has accepted.
    :param endpoint_drain_s: how long endpoints serve on after they have told that they leave, at
        the least, in seconds.
    :param lookup_ttl_s: how long callers may cache the answer to a lookup, in seconds.
    """

    name: str
    data_centre: str
    caller_address: str
    ready_address: str
    peer_address: str
    lookup_address: str
    metrics_port: int
    seeds: tuple[str, ...]
    store: str
    retry_share: float
    retry_slack: float
    retry_window_s: float
    grace_s: float
    lookup_ttl_s: float
    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_bytes: int = 0
    proof_s: float = 0.0
    evacuation_s: float = 0.0
    allotments: WindowTolerance = WindowTolerance()
    options: DecisionOptions = DecisionOptions()
    changes: ChangeBounds = ChangeBounds()
    endpoint_drain_s: float = 2.0
    store_scheme: str = "objects"
