"""Signed identifiers: sessions and resume grants, with keys that can be rotated."""

import secrets
import typing as t

from itsdangerous import BadSignature
from itsdangerous import URLSafeSerializer

from .exceptions import CallerError


class SessionClaims(t.NamedTuple):
    """What a session identifier says: who issued it, and for which team."""

    node: str
    incarnation: str
    team: str
    nonce: str


class ResumeGrant(t.NamedTuple):
    """What a resume token says: whose stream lies where, and its first offset.

    :param base: offset in the whole answer of the engine stream's first token.
    """

    team: str
    endpoint: str
    stream: str
    request_id: str
    model: str
    base: int
    total: int


class Signer:
    """Signs with the first key; verifies with any, so that keys can be rotated."""

    def __init__(self, keys: t.Sequence[str]) -> None:
        newest_last = list(reversed(keys))
        self._sessions = URLSafeSerializer(newest_last, salt="session")
        self._grants = URLSafeSerializer(newest_last, salt="resume")

    def issue_session(self, node: str, incarnation: str, team: str) -> str:
        """Make a session identifier."""
        claims = SessionClaims(node, incarnation, team, secrets.token_hex(6))
        return str(self._sessions.dumps(list(claims)))

    def read_session(self, text: str, field: str) -> SessionClaims:
        """Verify a session identifier.

        :raises CallerError: when it was not issued here or was altered.
        """
        try:
            return SessionClaims(*self._sessions.loads(text))
        except (BadSignature, TypeError):
            raise CallerError(400, field, "a session issued by POST /v1/sessions") from None

    def issue_grant(self, grant: ResumeGrant) -> str:
        """Make the signed part of a stream's event ids."""
        return str(self._grants.dumps(list(grant)))

    def read_event_id(self, text: str) -> tuple[ResumeGrant, int]:
        """Verify an event id, ``GRANT~OFFSET``.

        :raises CallerError: when it was not issued here or was altered.
        """
        signed, _, offset = text.partition("~")
        expected = "an event id that this system sent"
        try:
            grant = ResumeGrant(*self._grants.loads(signed))
        except (BadSignature, TypeError):
            raise CallerError(400, "Last-Event-ID", expected) from None
        if not offset.isdigit():
            raise CallerError(400, "Last-Event-ID", expected)
        return grant, int(offset)
