"""One simulated relay node: the real reducer and messages, with fake links, store and clock."""

import asyncio
import ipaddress
import typing as t

from rookspring import defaults
from rookspring import relay_allotments
from rookspring import relay_evacuations
from rookspring import relay_heartbeats
from rookspring import relay_merged
from rookspring import relay_notices
from rookspring import relay_slots
from rookspring import relay_suspects
from rookspring import relay_updates
from rookspring.byte_budget import ByteBudget
from rookspring.messages import encode
from rookspring.platform import StoredObject
from rookspring.relay_endpoint_list import EndpointList
from rookspring.relay_peers import RelayPeers
from rookspring.relay_proofs import ProofRefresher
from rookspring.relay_proofs import needs_proofs
from rookspring.relay_settings import RelaySettings
from rookspring.relay_store_loops import row_check_delay_s
from rookspring.store_eras import StoreEras
from rookspring.store_reachability import StoreReachability
from rookspring_core import Identity
from rookspring_core import NodeState
from rookspring_core import reduce
from rookspring_core.allotments import Allotments
from rookspring_core.effects import Announce
from rookspring_core.effects import AskAllotment
from rookspring_core.effects import AskSlot
from rookspring_core.effects import Dispatch
from rookspring_core.effects import FreeSlot
from rookspring_core.effects import Refuse
from rookspring_core.effects import ReturnAllotment
from rookspring_core.effects import ShareEvacuations
from rookspring_core.effects import ShareEvidence
from rookspring_core.effects import ShareLeaving
from rookspring_core.effects import ShareRates
from rookspring_core.effects import ShareShed
from rookspring_core.effects import WriteLease
from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported
from rookspring_core.events import EvacuationsListed
from rookspring_core.events import Event
from rookspring_core.events import EvidenceReceived
from rookspring_core.events import StoreRead
from rookspring_core.events import UsageRestored
from rookspring_core.freshness import ProofTerms
from rookspring_core.leases import RELAY_TERMS
from rookspring_core.organisations import Allotment
from rookspring_core.organisations import Directory
from rookspring_core.organisations import Organisation
from rookspring_core.organisations import make_directory
from rookspring_core.retries import WindowTerms
from rookspring_core.routes import CallerLimits
from rookspring_core.routes import RouteTable

from .fleet_lease import FleetLease
from .fleet_store import NODES

if t.TYPE_CHECKING:
    from .fleet import Fleet


def address_of(name: str) -> str:
    """Return the address of a node; names of up to 14 letters have different ones."""
    return f"[{ipaddress.IPv6Address(int.from_bytes(name.encode()[-14:]))}]:1"


class FleetLink:
    """One end of a link between two nodes; messages arrive at the other end after a delay."""

    def __init__(self, fleet: "Fleet", owner: "FleetNode", name: str) -> None:
        self._fleet = fleet
        self._owner = owner
        self.name = name
        self.closed = False
        self.sent_bytes = 0

    def send(self, item: t.Any) -> None:
        """Send a message."""
        self.send_encoded(encode(item))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded message."""
        if self.closed:
            return
        self._owner.sent_bytes += len(data)
        self._owner.sent += 1
        if self._fleet.nodes[self.name].data_centre != self._owner.data_centre:
            self._owner.cross_data_centre_bytes += len(data)
        self._fleet.deliver(self._owner.name, self.name, data)

    def close(self) -> None:
        """Close the link at both ends."""
        self._fleet.unlink(self._owner.name, self.name)


class FleetLoop:
    """The methods of an event loop that the parts of a node use, on the virtual clock."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet

    def call_later(self, delay_s: float, call: t.Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._fleet.at(self._fleet.now + delay_s, call)

    def call_soon(self, call: t.Callable[..., None], *arguments: t.Any) -> None:
        """Schedule a callback after those that are due now."""
        self._fleet.at(self._fleet.now, lambda: call(*arguments))


def write_table(version: int, directory: Directory | None) -> list[t.Any]:
    """Encode a configuration as the fleet's store holds it."""
    if directory is None:
        return [version, None]
    rows = directory.by_name.values()
    return [version, [[one.name, list(one.digests), list(one.allotment)] for one in rows]]


class FleetDialect:
    """Decodes endpoints' entries and the configuration, as the fleet's store holds them."""

    def table_kind(self) -> str:
        """Return the kind of the configuration object."""
        return "config"

    def table_name(self) -> str:
        """Return the name of the configuration object."""
        return "main"

    def read_table(self, row: StoredObject) -> RouteTable | None:
        """Decode a configuration: a version and, unless requests need no keys, organisations."""
        version, rows = row.value
        directory = None
        if rows is not None:
            directory = make_directory(
                Organisation(name, tuple(digests), Allotment(*terms))
                for name, digests, terms in rows
            )
        return RouteTable(version, {}, {}, CallerLimits(0, 0, 0.0, 0.0), directory)

    def read_endpoint(self, row: StoredObject, now: float) -> tuple[BoxListed, EndpointReported]:
        """Decode an endpoint's entry."""
        state, model, started_ms = row.value
        listed = BoxListed(
            row.name, address_of(row.name), "z0", "runner", state, "llm", started_ms=started_ms
        )
        report = EndpointReported(
            now,
            row.name,
            row.name,
            0.0,
            12,
            0,
            0,
            0.0,
            0.0,
            0.0,
            resident=((model, "1"),),
            leaving=state == "leaving",
            order_token=(0, -1),
            started_ms=started_ms,
        )
        return listed, report


class FleetNode:
    """One node: its state, its links, and the parts that send and receive over them."""

    def __init__(self, fleet: "Fleet", number: int, data_centre: str, start: int) -> None:
        self.fleet = fleet
        self.name = f"n{number}"
        self.data_centre = data_centre
        self.alive = True
        self.frozen = False
        self.sent = 0
        self.sent_bytes = 0
        self.cross_data_centre_bytes = 0
        self.store_calls = 0
        self.ticks = 0
        self.missing_since: dict[str, float] = {}
        identity = Identity(
            self.name, f"{self.name}#{start}", data_centre, address_of(self.name), "c"
        )
        self.state = NodeState(identity, fleet.now)
        self.state.relaying = True
        # One node in ten has a high capacity, so that relays are chosen by it.
        self.state.capacity = 2.0 if number % 10 == 0 else 0.5
        self.state.control.lease.terms = RELAY_TERMS
        self.state.proof_terms = ProofTerms(fleet.plan.proof_s)
        self.state.allotments = Allotments(fleet.plan.allotments, fleet.now)
        self.state.retry_window_terms = WindowTerms(
            0.2, fleet.plan.retry_slack, 10.0, defaults.RELAY_NODES_MIN
        )
        self.settings = _settings(self.name, data_centre)
        self.dialect = FleetDialect()
        self.loop = FleetLoop(fleet)
        self.budget = ByteBudget()
        self.endpoints_listed = False
        self.lease_check_due = asyncio.Event()
        self.spawn: t.Any = None
        context = t.cast(t.Any, self)
        self.peers = RelayPeers(context)
        self.reach = StoreReachability(context)
        self.eras = StoreEras(context, self.reach)
        self.list = EndpointList(context, self.peers, self.reach)
        self.proofs = ProofRefresher(context, self.peers, self.reach)
        self.lease = FleetLease(fleet, self)
        # Callbacks that arrived while it was frozen.
        self.inbox: list[t.Callable[[], None]] = []
        self.peers.link_callbacks += (
            relay_heartbeats.send_first_heartbeat,
            relay_merged.send_merged_sets,
        )
        self.share_report = lambda report: relay_updates.share_report(self.peers, report)
        self.share_prompts = relay_updates.PromptUpdates(self.peers).note
        self.send_endpoint_list = self.list.send_all_rows
        # Whether it has written its row to the store's list of nodes.
        self.row_written = False
        self._verdicts_read = False
        self._next_read = -1e9
        self._listed_at = -1e9
        self._version = -1
        self._listed_era = 0
        self._row_era = 0

    def set_malformed_entries(self, number: int) -> None:
        """Do nothing: the fleet writes no malformed entries."""

    def submit(self, event: Event) -> None:
        """Reduce an event and carry out the effects on other nodes, the lease and endpoints."""
        for effect in reduce(self.state, event):
            match effect:
                case Announce(topic):
                    relay_heartbeats.announce(self.peers, topic)
                case AskAllotment():
                    relay_allotments.ask_units(self.peers, effect)
                case ReturnAllotment():
                    relay_allotments.return_units(self.peers, effect)
                case AskSlot():
                    relay_slots.ask_slot(self.peers, effect)
                case FreeSlot():
                    relay_slots.free_slot(self.peers, effect)
                case WriteLease():
                    self.lease.write(effect)
                case ShareRates():
                    relay_notices.share_rates(self.peers, effect.rows, effect.source)
                case ShareLeaving():
                    relay_notices.share_leaving(self.peers, effect.rows, effect.source)
                case ShareEvacuations():
                    relay_evacuations.share_evacuations(self.peers, effect)
                case ShareShed(endpoint, for_s):
                    relay_notices.share_shed(self.peers, endpoint, for_s)
                case ShareEvidence():
                    relay_suspects.share_evidence(self.peers, effect.evidence, effect.source)
                case Refuse():
                    self.fleet.refusals.append((self.fleet.now, effect))
                case Dispatch():
                    self._run(effect)

    def _run(self, effect: Dispatch) -> None:
        """Dispatch a request to an endpoint."""
        fleet = self.fleet
        arrived = self.state.requests[effect.request_id].arrived
        fleet.runs.append((arrived.at, fleet.now, arrived))
        fleet.runners.run(self, effect, arrived.fingerprint)

    def renew_proof(self) -> None:
        """Request a proof that the configuration is the newest, if one is due.

        It is requested from other nodes first; the store is read once :class:`ProofRefresher` finds
        that due.
        """
        fleet = self.fleet
        if not needs_proofs(self.state):
            return
        self.proofs.ask(fleet.now)
        if self.proofs.due(fleet.now):
            self.read_table()

    def note_store_era(self) -> None:
        """Note the era of the store's answer; in a new era, endpoints are listed again."""
        self.eras.note_era(self.fleet.store.era, "store")
        if self._listed_era != self.state.store_era:
            self._listed_era = self.state.store_era
            self._version = -1

    def _schedule_row_check(self) -> None:
        """Schedule a check of this node's row in the store when a new era has begun."""
        if self._row_era == self.state.store_era:
            return
        self._row_era = self.state.store_era
        check_at = self.fleet.now + row_check_delay_s(self.state)
        self.fleet.at(check_at, lambda: self.fleet.run_on_node(self, self._restore_row))

    def _restore_row(self) -> None:
        """Write this node's row if the store lacks it."""
        if self.fleet.store.get(NODES, self.name) is None:
            self.fleet.store.put(NODES, self.name, self.data_centre)

    def read_table(self) -> None:
        """Read the configuration; the answer arrives after the store's latency, or a timeout."""
        fleet = self.fleet
        asked_at = fleet.now
        self.store_calls += 1
        if fleet.reaches_store(self.name):
            # The answer holds the configuration as it was when the read was sent.
            stored, takes_s = fleet.table, fleet.store_latency_s
        else:
            stored, takes_s = None, defaults.PROOF_CALL_S
        answer_era = fleet.store.era

        def arrive() -> None:
            if stored is not None:
                self.eras.note_era(answer_era, "store")
            # An answer to a read that was sent in an earlier era proves nothing.
            same = self.state.store_era == request_era
            self.proofs.finish_read(asked_at, stored if same else None)

        request_era = self.state.store_era
        fleet.at(fleet.now + takes_s, lambda: fleet.run_on_node(self, arrive))

    def take_endpoint_rows(self, rows: tuple[StoredObject, ...], whole: bool, source: str) -> None:
        """Apply a list of endpoints that another node sent."""
        self.list.apply_peer_rows(rows, whole and source == self.state.topology.followed)

    def read_lease(self) -> None:
        """Read the lease's records: verdicts at the start, and organisations' usage if unknown."""
        now = self.fleet.now
        if not self._verdicts_read and self.fleet.reaches_store(self.name):
            self._verdicts_read = True
            restored = relay_suspects.read_verdicts(self.fleet.verdicts, now)
            self.submit(EvidenceReceived(now, restored, "the lease"))
        if self.state.allotments.needs_recall(now) and self.fleet.reaches_store(self.name):
            self.submit(UsageRestored(now, tuple(self.fleet.used.items())))

    def read_store(self) -> None:
        """Read the store if this node watches it and a read is due."""
        self._schedule_row_check()
        self.list.apply_due_rows(self.fleet.now)
        watches = self.state.topology.watching or self._version < 0
        if not watches or self.fleet.now < self._next_read:
            return
        if self.fleet.now - self._listed_at > defaults.NODE_LIST_S:
            self.store_calls += 1
            self._listed_at = self.fleet.now
            self.fleet.list_nodes(self)
        self.store_calls += 1
        if not self.fleet.reaches_store(self.name):
            self._next_read = self.fleet.now + defaults.RELAY_BACKOFF_MAX_S
            return
        self._next_read = self.fleet.now + defaults.SHARED_WATCH_BATCH_S + defaults.SHARED_WATCH_S
        self.note_store_era()
        self.submit(StoreRead(self.fleet.now, self.fleet.now))
        self.fleet.watch_table(self)
        self.submit(EvacuationsListed(self.fleet.now, self.fleet.read_evacuations()))
        rows, self._version, whole = self.fleet.store_rows(self._version)
        if rows or whole:
            self.list.apply_store_rows(rows, whole)


def _settings(name: str, data_centre: str) -> RelaySettings:
    return RelaySettings(
        name,
        data_centre,
        "c",
        "r",
        address_of(name),
        "",
        0,
        (),
        "store",
        0.2,
        430.0,
        10.0,
        8.0,
        1.0,
    )
