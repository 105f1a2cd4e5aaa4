"""How a relay node keeps sure that its configuration is the newest.

Two nodes read the configuration from the store for all; the others ask these, or a relay
that does, and are told a bound that holds however long the words were on their way (see
``freshness.py`` of the core). A node that hears nothing for some seconds reads for itself.
Nothing is asked where requests need no keys.
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
from .reach import Reach
from .relay_context import RelayContext
from .relay_peers import RelayPeers
from .relay_peers import receives

if t.TYPE_CHECKING:
    from rookspring_core.state import NodeState


class ProofKeeper:
    """Asks for proofs in time, of other nodes and of the store.

    :param reach: is told whether the store answers.
    """

    def __init__(self, context: RelayContext, peers: RelayPeers, reach: Reach) -> None:
        self._context = context
        self._peers = peers
        self._reach = reach
        self._back_off = BackOff(defaults.PROOF_BACKOFF_MAX_S)
        self._soon = asyncio.Event()
        self._reading = False
        self._read_at = -1e9

    def ask_soon(self) -> None:
        """Ask without waiting for the beat, since a request waits for the answer."""
        self._soon.set()

    async def run(self) -> None:
        """Keep this node's configuration proved."""
        while True:
            hurried = self._soon.is_set()
            self._soon.clear()
            now = clock.now()
            if needs_proofs(self._context.state):
                self.ask(now, hurried)
                if self.due(now):
                    self._context.spawn(self._read(now))
            await asyncio.sleep(defaults.PROOF_LEAST_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(defaults.PROOF_ASK_S - defaults.PROOF_LEAST_S):
                    await self._soon.wait()

    def ask(self, now: float, hurried: bool = False) -> None:
        """Ask other nodes how new this node's configuration is.

        :param hurried: a request waits for the answer.
        """
        state = self._context.state
        proved_lately = state.freshness.age_s(now) < defaults.PROOF_READ_S
        if state.topology.reads_configuration() and proved_lately and not hurried:
            return
        for name in state.topology.proof_sources():
            link = self._peers.server.links.get(name)
            if link is not None:
                link.send(AskProof(now))

    def due(self, now: float) -> bool:
        """Say whether this node is to read the configuration itself now; it has begun then."""
        if self._reading or now - self._read_at < defaults.PROOF_READ_S - defaults.PROOF_LEAST_S:
            return False
        state = self._context.state
        if not state.topology.reads_configuration() and state.freshness.age_s(now) <= _step_in_s(
            state
        ):
            return False
        self._reading = True
        return True

    def take_read(self, asked_at: float, stored: StoredObject | None) -> None:
        """Take what the store gave; it shows what held before the store was asked.

        :param stored: None where it gave nothing.
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
                answer = await self._context.eras.within(call)
            match answer:
                case Success(found):
                    stored = found
                    self._reach.answered()
                case Failure(error):
                    self._reach.failed("read configuration", error)
        except TimeoutError:
            late = PlatformUnreachable("read configuration: no answer in time")
            self._reach.failed("read configuration", late)
        finally:
            self.take_read(asked_at, stored)
        if stored is None:
            self._reading = True
            await self._back_off.pause()
            self._reading = False
        else:
            self._back_off.reset()


def needs_proofs(state: "NodeState") -> bool:
    """Say whether requests need keys here."""
    return state.table is not None and state.table.directory is not None


def _step_in_s(state: "NodeState") -> float:
    """Give the age at which this node reads for itself, in seconds."""
    if state.topology.relay:
        return core_defaults.PROOF_READ_RELAY_S
    spread = stable_hash("proof", state.identity.name) % 1000 / 1000.0
    return core_defaults.PROOF_READ_S + core_defaults.PROOF_READ_SPREAD_S * spread


@receives(AskProof)
def give_proof(peers: RelayPeers, link: Link, asked: AskProof) -> None:
    """Tell a node how new the configuration is known to be here."""
    state = peers.context.state
    now = clock.now()
    if state.freshness.proved_at == freshness.NEVER or not needs_proofs(state):
        return
    gathers = state.topology.mesh or state.topology.relay
    tight = sorted(state.allotments.near_limit()) if gathers else None
    age_s = state.freshness.age_s(now)
    link.send(Proof(asked.stamp, age_s, state.revision, tight))


@receives(Proof)
def take_proof(peers: RelayPeers, link: Link, proof: Proof) -> None:
    """Take another node's word; the stamp is this node's own, from before it asked."""
    now = clock.now()
    stamp = float(proof.stamp)
    if not 0.0 <= now - stamp < defaults.PROOF_ANSWER_S:
        log("proof_late", "WARNING", peer=link.name, age_s=now - stamp)
        return
    version = int(proof.version)
    peers.context.submit(TableProved(now, stamp - float(proof.age_s), version))
    peers.want_table(link, version)
    if proof.tight is not None:
        names = tuple(str(name) for name in proof.tight)
        peers.context.submit(NearLimitReceived(now, stamp, names))
