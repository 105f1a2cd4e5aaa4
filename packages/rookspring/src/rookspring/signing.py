"""Signed session identifiers and event ids, with keys that can be rotated."""

import secrets
import typing as t

import orjson
from itsdangerous import BadSignature
from itsdangerous import Signer as PlainSigner
from itsdangerous.encoding import base64_decode
from itsdangerous.encoding import base64_encode

from .digits import parse_digits
from .exceptions import CallerError

# What texts raise that were not signed here; text that isn't UTF-8 is a ValueError.
UNSIGNED_ERRORS = (BadSignature, TypeError, ValueError)


class SessionClaims(t.NamedTuple):
    """Content of a session identifier.

    :param node: node that issued it, with its ``incarnation``.
    """

    node: str
    incarnation: str
    team: str
    nonce: str


class ResumeGrant(t.NamedTuple):
    """Content of a stream's event ids, which allows any node to resume the stream.

    :param endpoint: endpoint that runs the stream.
    :param stream: name of the stream at that endpoint.
    :param base: offset in the whole answer of the engine stream's first token.
    :param total: most tokens of the whole answer.
    """

    team: str
    endpoint: str
    stream: str
    request_id: str
    model: str
    base: int
    total: int


class Signer:
    """Signs with the first key and verifies with any of them, so that keys can be rotated."""

    def __init__(self, keys: t.Sequence[str]) -> None:
        newest_last = list(reversed(keys))
        self._sessions = PlainSigner(newest_last, salt="session")
        self._grants = PlainSigner(newest_last, salt="resume")

    def issue_session(self, node: str, incarnation: str, team: str) -> str:
        """Create a session identifier."""
        claims = SessionClaims(node, incarnation, team, secrets.token_hex(6))
        return _sign(self._sessions, claims)

    def read_session(self, text: str, field: str) -> SessionClaims:
        """Verify a session identifier.

        :raises CallerError: if it was not signed with one of the keys, or was altered.
        """
        try:
            return SessionClaims(*_verify(self._sessions, text))
        except UNSIGNED_ERRORS:
            raise CallerError(400, field, "a session issued by POST /v1/sessions") from None

    def issue_grant(self, grant: ResumeGrant) -> str:
        """Create the signed part of a stream's event ids."""
        return _sign(self._grants, grant)

    def read_event_id(self, text: str) -> tuple[ResumeGrant, int]:
        """Verify an event id, ``GRANT~OFFSET``.

        :raises CallerError: if it was not signed with one of the keys, or was altered.
        """
        signed, _, offset = text.partition("~")
        expected = "an event id that this system sent"
        try:
            grant = ResumeGrant(*_verify(self._grants, signed))
        except UNSIGNED_ERRORS:
            raise CallerError(400, "Last-Event-ID", expected) from None
        found = parse_digits(offset)
        if found is None:
            raise CallerError(400, "Last-Event-ID", expected)
        return grant, found


def _sign(signer: PlainSigner, claims: tuple[t.Any, ...]) -> str:
    # Not compressed: for texts this short the time costs more than the bytes saved.
    return signer.sign(base64_encode(orjson.dumps(list(claims)))).decode()


def _verify(signer: PlainSigner, text: str) -> list[t.Any]:
    raw = orjson.loads(base64_decode(signer.unsign(text)))
    if not isinstance(raw, list):
        raise BadSignature("not a list")
    return raw
