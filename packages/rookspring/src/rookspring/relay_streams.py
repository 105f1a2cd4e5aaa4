"""Messages between nodes on which software version began a stream.

Each stream has ``STREAM_OWNERS`` owners, which are told as it is sent. A node to which a caller
comes for the rest asks them; the first that knows counts.
"""

import asyncio
import contextlib
import typing as t

from rookspring_core.effects import TellOrigin
from rookspring_core.events import OriginReceived
from rookspring_core.events import SeveralVersionsTold
from rookspring_core.hashing import stable_hash

from . import clock
from . import defaults
from . import relay_owners
from .messages import AskOrigin
from .messages import OriginMessage
from .messages import OriginReply
from .peers import Link
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_owners import handles_as_owner
from .relay_owners import handles_reply
from .relay_peers import RelayPeers


class FoundOrigin(t.NamedTuple):
    """What is known of a stream's begin.

    :param version: that began it; None if no owner knows.
    :param told_by: the nodes that replied.
    """

    version: str | None
    told_by: frozenset[str] = frozenset()


class OriginQuestions:
    """The questions of this node to owners that wait for replies, by stream.

    A reply names the stream and not the question. An owner replies in turn, so that it does not
    know answers the oldest question that it owes a reply; what it knows answers all.
    """

    def __init__(self, peers: RelayPeers) -> None:
        self._peers = peers
        self._waiting: dict[str, list[_Question]] = {}

    async def find(self, stream: str, service: str) -> FoundOrigin:
        """Return the version that began a stream, as far as is known in ``ORIGIN_ANSWER_S``."""
        state = self._peers.context.state
        known = state.stream_versions.find(stream, clock.now())
        if known is not None:
            return FoundOrigin(known)
        subjects = subjects_of(stream)
        question = _Question(subjects)
        self._waiting.setdefault(stream, []).append(question)
        try:
            for subject in subjects:
                asked = AskOrigin(state.identity.name, subject, stream, service, False)
                if relay_owners.ask_owner(self._peers, asked):
                    question.owed.add(subject)
            version = None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(defaults.ORIGIN_ANSWER_S):
                    version = await question.answer
            return FoundOrigin(version, frozenset(question.told_by))
        finally:
            late_s = defaults.ORIGIN_LATE_S if question.owed else 0.0
            asyncio.get_running_loop().call_later(late_s, self._end, stream, question)

    def _end(self, stream: str, question: "_Question") -> None:
        waiting = self._waiting[stream]
        waiting.remove(question)
        if not waiting:
            del self._waiting[stream]

    def take_reply(self, reply: OriginReply) -> None:
        """Pass a reply to the questions that wait for it; note what it says of the service."""
        context = self._peers.context
        now = clock.now()
        if reply.several and not context.state.stream_versions.has_several(reply.service, now):
            context.submit(SeveralVersionsTold(now, reply.service))
        owner = relay_owners.find_owner(self._peers, reply.subject)
        for question in self._waiting.get(reply.stream, ()):
            if reply.version is None and reply.subject not in question.owed:
                continue
            question.told_by.add(owner)
            question.take(reply.subject, reply.version)
            if reply.version is None:
                break


class _Question:
    """One question to all owners of a stream.

    :ivar owed: the subjects under which it was sent, and no reply to it has come.
    """

    def __init__(self, subjects: t.Iterable[str]) -> None:
        self._open = set(subjects)
        self.owed: set[str] = set()
        self.told_by: set[str] = set()
        self.answer: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()

    def take(self, subject: str, version: str | None) -> None:
        """Note an owner's reply: the first that knows counts, or that none does."""
        self._open.discard(subject)
        self.owed.discard(subject)
        if not self.answer.done() and (version is not None or not self._open):
            self.answer.set_result(version)


def subjects_of(stream: str) -> list[str]:
    """Return the subjects under which a stream's owners are chosen."""
    part = stable_hash("stream", stream) % defaults.STREAM_PARTS
    return [f"stream/{part}/{number}" for number in range(defaults.STREAM_OWNERS)]


@handles_relay_effect(TellOrigin)
def tell_origin(context: RelayContext, effect: TellOrigin) -> None:
    """Tell the owners of a stream which version begins it."""
    context.tell_origin(effect)


def tell_owners(peers: RelayPeers, effect: TellOrigin) -> None:
    """Send the origin of a stream to its owners."""
    for subject in subjects_of(effect.stream):
        relay_owners.notify_owner(peers, OriginMessage(subject, *effect, False))


def _subject_of_told(told: OriginMessage) -> str:
    return told.subject


def _subject_of_asked(asked: AskOrigin) -> str:
    return asked.subject


@handles_as_owner(OriginMessage, _subject_of_told)
def keep_origin(peers: RelayPeers, told: OriginMessage, link: Link | None) -> None:
    """Keep the origin of a stream."""
    peers.context.submit(OriginReceived(clock.now(), told.stream, told.version, told.kept_s))


@handles_as_owner(AskOrigin, _subject_of_asked)
def answer_question(peers: RelayPeers, asked: AskOrigin, link: Link | None) -> None:
    """Reply which version began a stream, if it is known here."""
    versions = peers.context.state.stream_versions
    now = clock.now()
    reply = OriginReply(
        asked.origin,
        asked.subject,
        asked.stream,
        asked.service,
        versions.find(asked.stream, now),
        versions.has_several(asked.service, now),
    )
    relay_owners.send_reply(peers, reply, link)


@handles_reply(OriginReply)
def take_reply(peers: RelayPeers, reply: OriginReply) -> None:
    """Take an owner's reply to a question of this node."""
    peers.context.origins.take_reply(reply)
