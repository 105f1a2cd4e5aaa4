"""Metrics of a node, all declared here and served at ``/metrics``."""

import typing as t

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0]


class Metrics:
    """The collectors of one node; several nodes may run in one process."""

    def __init__(self, node: str) -> None:
        self.registry = Registry()
        labels = {"node": node}
        make = self._make
        self.requests = make(
            Counter, "rookspring_requests_total", "Requests by target and end", labels
        )
        self.refusals = make(
            Counter, "rookspring_refusals_total", "Refusals by reason and outcome", labels
        )
        self.tokens = make(Counter, "rookspring_tokens_total", "Tokens passed on", labels)
        self.attempts = make(
            Counter, "rookspring_attempts_total", "Attempts at endpoints by end", labels
        )
        self.platform_calls = make(
            Counter, "rookspring_platform_calls_total", "Calls to the platform by end", labels
        )
        self.orders = make(Counter, "rookspring_orders_total", "Orders by action and end", labels)
        self.peer_bytes = make(
            Gauge, "rookspring_peer_bytes_total", "Bytes sent to other nodes", labels
        )
        self.revision = make(Gauge, "rookspring_revision", "Revision in force", labels)
        self.inflight = make(Gauge, "rookspring_inflight", "Requests in flight", labels)
        self.answers_owed = make(
            Gauge, "rookspring_answers_owed", "Callers that wait for an answer's last byte", labels
        )
        self.held_bytes = make(
            Gauge, "rookspring_held_bytes", "Bytes of others that wait at this node", labels
        )
        self.held_bytes_max = make(
            Gauge, "rookspring_held_bytes_max", "Bytes of others that may wait here", labels
        )
        self.given_up = make(
            Gauge,
            "rookspring_held_given_up_total",
            "Answers, requests and links given up since too many bytes waited",
            labels,
        )
        self.isolated = make(
            Gauge, "rookspring_isolated", "1 while the node reaches no endpoint", labels
        )
        self.handovers = make(
            Counter, "rookspring_handovers_total", "Requests handed to other nodes by end", labels
        )
        self.waiting = make(Gauge, "rookspring_waiting", "Requests waiting", labels)
        self.model_waits = make(
            Gauge, "rookspring_model_waits_total", "Waits for missing models by end", labels
        )
        self.leader = make(Gauge, "rookspring_lease_held", "1 while the lease is held", labels)
        self.unplaced = make(
            Gauge, "rookspring_models_not_resident", "Declared models resident nowhere", labels
        )
        self.first_token = make(
            Histogram,
            "rookspring_first_token_seconds",
            "Time from arrival to the first token",
            labels,
            buckets=_BUCKETS,
        )

        self.verdicts = make(
            Counter,
            "rookspring_verdicts_total",
            "Requests found to end the endpoints that run them",
            labels,
        )
        self.malformed_entries = make(
            Gauge, "rookspring_entries_malformed", "Entries that name no endpoint", labels
        )
        self.evacuated = make(
            Gauge,
            "rookspring_data_centres_evacuated",
            "Data centres to whose endpoints nothing new is sent, as the store asks",
            labels,
        )
        self.endpoint_speeds = make(
            Gauge,
            "rookspring_endpoint_speed",
            "Speed of each known endpoint relative to its service's others",
            labels,
        )
        self.load_requests = make(
            Histogram,
            "rookspring_want_seconds",
            "Time from the first request for an adapter to its attachment, or to the last try",
            labels,
            buckets=_BUCKETS,
        )
        self.attachments = make(
            Histogram,
            "rookspring_adapter_stay_seconds",
            "How long adapters stayed attached, by whether a request used them",
            labels,
            buckets=_BUCKETS,
        )
        self.places = make(
            Counter,
            "rookspring_places_total",
            "Places at model endpoints by event (asked, granted, waits, refused) and rank",
            labels,
        )
        self.places_waiting = make(
            Gauge,
            "rookspring_places_waiting",
            "Requests of all nodes that wait for places in this node's queues, by rank",
            labels,
        )
        self.whole_answer = make(
            Histogram,
            "rookspring_request_seconds",
            "Time from arrival to the end of a relayed request",
            labels,
            buckets=_BUCKETS,
        )

    def _make(
        self, cls: t.Any, name: str, doc: str, labels: dict[str, str], **options: t.Any
    ) -> t.Any:
        return cls(name, doc, const_labels=labels, registry=self.registry, **options)

    def set_endpoint_speeds(self, speeds: t.Mapping[str, float]) -> None:
        """Replace the speeds by endpoint; those of other endpoints are dropped."""
        self.endpoint_speeds.values.clear()
        for endpoint, speed in speeds.items():
            self.endpoint_speeds.set({"endpoint": endpoint}, speed)

    def set_places_waiting(self, counts: t.Mapping[int, int]) -> None:
        """Replace the requests that wait, by rank; those of other ranks are dropped."""
        self.places_waiting.values.clear()
        for rank, count in counts.items():
            self.places_waiting.set({"rank": str(rank)}, count)

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Render all metrics in the Prometheus text format."""
        content, headers = render(self.registry, [accept] if accept else [])
        return content, dict(headers)
