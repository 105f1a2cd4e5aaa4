"""Proofs that a relay node's configuration is the newest.

Two nodes read the configuration from the store for all. The others request a proof from these or
from a relay that does so; a proof holds however long its messages were under way (see
``freshness.py`` of the core). A node without a proof for some seconds reads the store itself.
Proofs are needed only where requests carry keys.
"""

import asyncio
import contextlib
import typing as t

from returns.result import Failure
from returns.result import Success

from rookspring_core import defaults as core_defaults
from rookspring_core import freshness
from rookspring_core.events import NearLimitReceived
from rookspring_core.events import TableProved
from rookspring_core.hashing import stable_hash

from . import clock
from . import defaults
from .back_off import BackOff
from .exceptions import PlatformUnreachable
from .logs import log
from .messages import AskProof
from .messages import Proof
from .peers import Link
from .platform import StoredObject
from .relay_context import RelayContext
from .relay_peers import RelayPeers
from .relay_peers import receives
from .store_reachability import StoreReachability

if t.TYPE_CHECKING:
    from rookspring_core.state import NodeState


class ProofRefresher:
    """Requests proofs periodically, from other nodes and from the store.

    :param reach: records whether the store answers.
    """

    def __init__(self, context: RelayContext, peers: RelayPeers, reach: StoreReachability) -> None:
        self._context = context
        self._peers = peers
        self._reach = reach
        self._back_off = BackOff(defaults.PROOF_BACKOFF_MAX_S)
        self._requested = asyncio.Event()
        self._reading = False
        self._read_at = -1e9

    def ask_soon(self) -> None:
        """Request a proof before the next interval, since a request waits for it."""
        self._requested.set()

    async def run(self) -> None:
        """Request proofs every ``PROOF_REQUEST_INTERVAL_S``, or sooner if a request waits."""
        while True:
            hurried = self._requested.is_set()
            self._requested.clear()
            now = clock.now()
            if needs_proofs(self._context.state):
                self.ask(now, hurried)
                if self.due(now):
                    self._context.spawn(self._read(now))
            await asyncio.sleep(defaults.PROOF_REQUEST_MIN_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    defaults.PROOF_REQUEST_INTERVAL_S - defaults.PROOF_REQUEST_MIN_S
                ):
                    await self._requested.wait()

    def ask(self, now: float, hurried: bool = False) -> None:
        """Request a proof from other nodes.

        :param hurried: a request waits for it.
        """
        state = self._context.state
        proved_lately = state.freshness.age_s(now) < defaults.PROOF_READ_INTERVAL_S
        if state.topology.reads_configuration() and proved_lately and not hurried:
            return
        for name in state.topology.proof_sources():
            link = self._peers.server.links.get(name)
            if link is not None:
                link.send(AskProof(now))

    def due(self, now: float) -> bool:
        """Return whether to read the configuration from the store now, and mark the read begun."""
        if (
            self._reading
            or now - self._read_at < defaults.PROOF_READ_INTERVAL_S - defaults.PROOF_REQUEST_MIN_S
        ):
            return False
        state = self._context.state
        if not state.topology.reads_configuration() and state.freshness.age_s(now) <= _read_after_s(
            state
        ):
            return False
        self._reading = True
        return True

    def finish_read(self, asked_at: float, stored: StoredObject | None) -> None:
        """Process a read of the store, which proves what was newest when the read began.

        :param asked_at: when the read began.
        :param stored: None if the read failed.
        """
        self._reading = False
        self._read_at = asked_at
        now = clock.now()
        version = self._peers.take_stored(stored) if stored else 0
        if version:
            self._context.submit(TableProved(now, asked_at, version))

    async def _read(self, asked_at: float) -> None:
        """Read the configuration from the store."""
        dialect = self._context.dialect
        stored = None
        try:
            async with asyncio.timeout(defaults.PROOF_CALL_S):
                call = self._context.platform.get(dialect.table_kind(), dialect.table_name())
                answer = await self._context.eras.call_in_era(call)
            match answer:
                case Success(found):
                    stored = found
                    self._reach.note_answer()
                case Failure(error):
                    self._reach.note_failure("read configuration", error)
        except TimeoutError:
            timeout = PlatformUnreachable("read configuration: no answer in time")
            self._reach.note_failure("read configuration", timeout)
        finally:
            self.finish_read(asked_at, stored)
        if stored is None:
            self._reading = True
            await self._back_off.pause()
            self._reading = False
        else:
            self._back_off.reset()


def needs_proofs(state: "NodeState") -> bool:
    """Return whether requests need keys here."""
    return state.table is not None and state.table.directory is not None


def _read_after_s(state: "NodeState") -> float:
    """Return the age of the last proof past which this node reads the store, in seconds."""
    if state.topology.relay:
        return core_defaults.PROOF_READ_RELAY_S
    spread = stable_hash("proof", state.identity.name) % 1000 / 1000.0
    return core_defaults.PROOF_READ_S + core_defaults.PROOF_READ_SPREAD_S * spread


@receives(AskProof)
def handle_proof_request(peers: RelayPeers, link: Link, request: AskProof) -> None:
    """Send a node the age of this node's proof; nothing if it has none or needs none."""
    state = peers.context.state
    now = clock.now()
    if state.freshness.proved_at == freshness.NEVER or not needs_proofs(state):
        return
    collects = state.topology.mesh or state.topology.relay
    near_limit = sorted(state.allotments.near_limit()) if collects else None
    age_s = state.freshness.age_s(now)
    link.send(Proof(request.stamp, age_s, state.revision, near_limit))


@receives(Proof)
def handle_proof(peers: RelayPeers, link: Link, proof: Proof) -> None:
    """Process another node's proof; its stamp is this node's clock when it sent the request."""
    now = clock.now()
    stamp = proof.stamp
    if not 0.0 <= now - stamp < defaults.PROOF_AGE_MAX_S:
        log("proof_late", "WARNING", peer=link.name, age_s=now - stamp)
        return
    peers.context.submit(TableProved(now, stamp - proof.age_s, proof.version))
    peers.request_table(link, proof.version)
    if proof.near_limit is not None:
        peers.context.submit(NearLimitReceived(now, stamp, tuple(proof.near_limit)))
