"""One relay node of a fleet: the real reducer and messages, on stand-ins of the rest."""

import asyncio
import typing as t

from rookspring import defaults
from rookspring import relay_allotments
from rookspring import relay_heartbeats
from rookspring import relay_merged
from rookspring import relay_notices
from rookspring import relay_slots
from rookspring import relay_suspects
from rookspring import relay_updates
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
from rookspring_core.effects import ShareEvidence
from rookspring_core.effects import ShareLeaving
from rookspring_core.effects import ShareRates
from rookspring_core.effects import ShareShed
from rookspring_core.effects import WriteLease
from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported
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


class FleetLink:
    """One end of a link; what it sends comes to the other end a moment later."""

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
        """Send a message that is encoded already."""
        if self.closed:
            return
        self._owner.sent_bytes += len(data)
        self._owner.sent += 1
        if self._fleet.nodes[self.name].place != self._owner.place:
            self._owner.far_bytes += len(data)
        self._fleet.deliver(self._owner.name, self.name, data)

    def close(self) -> None:
        """End the link at both ends."""
        self._fleet.unlink(self._owner.name, self.name)


class FleetLoop:
    """What parts of a node use of an event loop: a call after a while."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet

    def call_later(self, delay_s: float, call: t.Callable[[], None]) -> None:
        """Call something after a while of the virtual clock."""
        self._fleet.at(self._fleet.now + delay_s, call)

    def call_soon(self, call: t.Callable[..., None], *arguments: t.Any) -> None:
        """Call something after what happens now."""
        self._fleet.at(self._fleet.now, lambda: call(*arguments))


def write_table(version: int, directory: Directory | None) -> list[t.Any]:
    """Write a configuration as the fleet's store holds it."""
    if directory is None:
        return [version, None]
    rows = directory.by_name.values()
    return [version, [[one.name, list(one.digests), list(one.allotment)] for one in rows]]


class FleetDialect:
    """Reads entries of endpoints and the configuration as the fleet's store writes them."""

    def table_kind(self) -> str:
        """Name the kind in which the configuration lies."""
        return "config"

    def table_name(self) -> str:
        """Name the configuration."""
        return "main"

    def read_table(self, row: StoredObject) -> RouteTable | None:
        """Read a configuration: a version, and organisations where there are any."""
        version, rows = row.value
        directory = None
        if rows is not None:
            directory = make_directory(
                Organisation(name, tuple(digests), Allotment(*terms))
                for name, digests, terms in rows
            )
        return RouteTable(version, {}, {}, CallerLimits(0, 0, 0.0, 0.0), directory)

    def read_endpoint(self, row: StoredObject, now: float) -> tuple[BoxListed, EndpointReported]:
        """Read an endpoint's entry."""
        state, model, born = row.value
        listed = BoxListed(
            row.name, f"at-{row.name}", "z0", "runner", state, "llm", started_ms=born
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
            started_ms=born,
        )
        return listed, report


class FleetNode:
    """One node: its reducer, its links and the parts that speak over them."""

    def __init__(self, fleet: "Fleet", number: int, place: str, start: int) -> None:
        self.fleet = fleet
        self.name = f"n{number}"
        self.place = place
        self.alive = True
        self.frozen = False
        self.sent = 0
        self.sent_bytes = 0
        self.far_bytes = 0
        self.store_calls = 0
        self.ticks = 0
        self.missing_since: dict[str, float] = {}
        identity = Identity(self.name, f"{self.name}#{start}", place, f"at-{self.name}", "c")
        self.state = NodeState(identity, fleet.now)
        self.state.relaying = True
        # One in ten is strong, so that relays are chosen by strength.
        self.state.capacity = 2.0 if number % 10 == 0 else 0.5
        self.state.control.lease.terms = RELAY_TERMS
        self.state.proof_terms = ProofTerms(fleet.plan.proof_s)
        self.state.allotments = Allotments(fleet.plan.allotments, fleet.now)
        self.state.retry_window_terms = WindowTerms(
            0.2, fleet.plan.retry_slack, 10.0, defaults.RELAY_NODES_MIN
        )
        self.settings = _settings(self.name, place)
        self.dialect = FleetDialect()
        self.loop = FleetLoop(fleet)
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
        # What came while it was frozen.
        self.inbox: list[t.Callable[[], None]] = []
        self.peers.link_callbacks += (
            relay_heartbeats.send_first_heartbeat,
            relay_merged.send_merged_sets,
        )
        self.share_report = lambda report: relay_updates.share_report(self.peers, report)
        self.share_prompts = relay_updates.PromptUpdates(self.peers).note
        self.send_endpoint_list = self.list.send_all_rows
        # Whether its row stands in the store's list of nodes.
        self.written = False
        self._looked = False
        self._next_read = -1e9
        self._listed_at = -1e9
        self._version = -1
        self._listed_era = 0
        self._row_era = 0

    def set_malformed_entries(self, number: int) -> None:
        """The fleet writes no malformed entries."""

    def submit(self, event: Event) -> None:
        """Take an event, and perform what concerns other nodes and the fleet's endpoints."""
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
                case ShareShed(endpoint, for_s):
                    relay_notices.share_shed(self.peers, endpoint, for_s)
                case ShareEvidence():
                    relay_suspects.share_evidence(self.peers, effect.evidence, effect.source)
                case Refuse():
                    self.fleet.refusals.append((self.fleet.now, effect))
                case Dispatch():
                    self._run(effect)

    def _run(self, effect: Dispatch) -> None:
        """Have an endpoint run a request."""
        fleet = self.fleet
        arrived = self.state.requests[effect.request_id].arrived
        fleet.runs.append((arrived.at, fleet.now, arrived))
        fleet.runners.run(self, effect, arrived.fingerprint)

    def keep_proved(self) -> None:
        """Do what is due to keep the configuration proved."""
        fleet = self.fleet
        if not needs_proofs(self.state):
            return
        self.proofs.ask(fleet.now)
        if self.proofs.due(fleet.now):
            self.read_table()

    def hear_store(self) -> None:
        """Take that the store answered; what was watched in an earlier era is listed anew."""
        self.eras.note_era(self.fleet.store.era, "store")
        if self._listed_era != self.state.store_era:
            self._listed_era = self.state.store_era
            self._version = -1

    def _look_after_row(self) -> None:
        """Have this node's row written again once an era began, whoever told of it."""
        if self._row_era == self.state.store_era:
            return
        self._row_era = self.state.store_era
        again_at = self.fleet.now + row_check_delay_s(self.state)
        self.fleet.at(again_at, lambda: self.fleet.hand(self, self._restore_row))

    def _restore_row(self) -> None:
        """Write this node's row where the store lacks it."""
        if self.fleet.store.get(NODES, self.name) is None:
            self.fleet.store.put(NODES, self.name, self.place)

    def read_table(self) -> None:
        """Read the configuration; the answer takes a while."""
        fleet = self.fleet
        asked_at = fleet.now
        self.store_calls += 1
        if fleet.reaches_store(self.name):
            # What it gives is as it was when the question came there.
            stored, takes_s = fleet.table, fleet.store_s
        else:
            stored, takes_s = None, defaults.PROOF_CALL_S
        heard = fleet.store.era

        def come() -> None:
            if stored is not None:
                self.eras.note_era(heard, "store")
            # What was asked in one era and answered in another tells nothing.
            same = self.state.store_era == asked_in
            self.proofs.finish_read(asked_at, stored if same else None)

        asked_in = self.state.store_era
        fleet.at(fleet.now + takes_s, lambda: fleet.hand(self, come))

    def take_endpoint_rows(self, rows: tuple[StoredObject, ...], whole: bool, source: str) -> None:
        """Take a list from another node."""
        self.list.apply_peer_rows(rows, whole and source == self.state.topology.followed)

    def read_lease(self) -> None:
        """Read what the lease tells: verdicts at the start, organisations' use where unknown."""
        now = self.fleet.now
        if not self._looked and self.fleet.reaches_store(self.name):
            self._looked = True
            kept = relay_suspects.read_verdicts(self.fleet.verdicts, now)
            self.submit(EvidenceReceived(now, kept, "the lease"))
        if self.state.allotments.needs_recall(now) and self.fleet.reaches_store(self.name):
            self.submit(UsageRestored(now, tuple(self.fleet.used.items())))

    def read_store(self) -> None:
        """Read the store where this node watches it and is due."""
        self._look_after_row()
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
        self.hear_store()
        self.submit(StoreRead(self.fleet.now))
        self.fleet.watch_table(self)
        rows, self._version, whole = self.fleet.store_rows(self._version)
        if rows or whole:
            self.list.apply_store_rows(rows, whole)


def _settings(name: str, place: str) -> RelaySettings:
    return RelaySettings(
        name, place, "c", "r", f"at-{name}", "", 0, (), "store", 0.2, 430.0, 10.0, 8.0, 1.0
    )
