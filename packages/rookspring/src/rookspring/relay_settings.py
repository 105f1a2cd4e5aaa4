"""Settings of a relay node, as an adapter reads them from its platform."""

import typing as t

from rookspring_core.allotments import WindowTolerance


class RelaySettings(t.NamedTuple):
    """What a relay node is told at start; addresses are IP:PORT.

    :param ready_address: where the platform asks whether the node is ready.
    :param lookup_address: where callers ask which addresses to use; may be empty.
    :param store: where the platform's object store is.
    :param retry_slack: resends beyond the share, for all nodes together.
    :param cores: of a processor that the node may use.
    :param link_mbps: of its box's link to the others.
    :param grace_s: time from the stop signal to the end, in seconds.
    :param proof_s: a key that was taken away runs nothing sent later than this, at any
        node, in seconds; 0 where nothing is promised of nodes that are cut off.
    :param allotments: how organisations' allotments are counted.
    :param lookup_ttl_s: how long callers may keep an answer, in seconds.
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
    proof_s: float = 0.0
    allotments: WindowTolerance = WindowTolerance()
    store_scheme: str = "objects"
