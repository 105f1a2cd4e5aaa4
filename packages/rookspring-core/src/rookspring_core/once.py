"""At-most-once execution of unrepeatable requests.

A request's idempotency key is its session and sequence number. Only the node incarnation
that issued the session may start the request, using this in-memory table. Evicted keys are
covered by a low-water mark: a request with such a key gets the outcome ``unknown`` and
never runs again. See ``docs/design/at-most-once.md``.
"""

import typing as t

from . import defaults


class OnceEntry:
    """One key: its outcome (empty while it runs), its answer, and the requests that wait for it."""

    __slots__ = ("answer", "body_digest", "request_id", "outcome", "status", "waiters")

    def __init__(self, body_digest: str, request_id: str) -> None:
        self.body_digest = body_digest
        self.request_id = request_id
        self.outcome: t.Literal["", "ran", "unknown"] = ""
        self.status = 0
        self.answer = b""
        self.waiters: list[str] = []


class OnceSession:
    """The keys of one session."""

    __slots__ = ("entries", "low_water", "team", "used_at")

    def __init__(self, team: str, now: float) -> None:
        self.team = team
        self.used_at = now
        self.low_water = -1
        self.entries: dict[int, OnceEntry] = {}


class OnceDecision(t.NamedTuple):
    """How to handle a request with an idempotency key."""

    action: t.Literal["start", "wait", "replay", "unknown", "mismatch", "forgotten"]
    entry: OnceEntry | None = None


class OnceTable:
    """The sessions that this incarnation issued and their keys, bounded in number."""

    def __init__(self) -> None:
        self._sessions: dict[str, OnceSession] = {}

    def open(self, session: str, team: str, now: float) -> None:
        """Add a new session; above the limit, remove the oldest one that runs nothing."""
        self._sessions[session] = OnceSession(team, now)
        if len(self._sessions) > defaults.SESSIONS_MAX:
            self._expire(now, force=True)

    def begin(
        self, key: tuple[str, int], digest: str, team: str, request_id: str, now: float
    ) -> OnceDecision:
        """Decide on a request with a key; on ``start`` the key is entered as running.

        :param request_id: identifier of the request.
        """
        session = self._sessions.get(key[0])
        if session is None or session.team != team:
            return OnceDecision("forgotten")
        session.used_at = now
        entry = session.entries.get(key[1])
        if entry is not None:
            return self._decide(entry, digest, request_id)
        if key[1] <= session.low_water:
            return OnceDecision("forgotten")
        if len(session.entries) >= defaults.ONCE_PER_SESSION_MAX and not self._evict(session):
            return OnceDecision("forgotten")
        # The eviction may have raised the low-water mark to this key or above it.
        if key[1] <= session.low_water:
            return OnceDecision("forgotten")
        entry = OnceEntry(digest, request_id)
        session.entries[key[1]] = entry
        return OnceDecision("start", entry)

    def _decide(self, entry: OnceEntry, digest: str, request_id: str) -> OnceDecision:
        if entry.body_digest != digest:
            return OnceDecision("mismatch")
        if entry.outcome == "ran":
            return OnceDecision("replay", entry)
        if entry.outcome == "unknown":
            return OnceDecision("unknown", entry)
        entry.waiters.append(request_id)
        return OnceDecision("wait", entry)

    def record_outcome(
        self, key: tuple[str, int], outcome: t.Literal["ran", "unknown"], status: int, answer: bytes
    ) -> list[str]:
        """Record the outcome of a key.

        An answer above the size limit is not kept; a retry then gets ``unknown``.

        :return: identifiers of the requests that waited for it.
        """
        entry = self._find(key)
        if entry is None:
            return []
        entry.outcome = outcome
        entry.status = status
        if len(answer) > defaults.ONCE_ANSWER_BYTES_MAX:
            entry.outcome = "unknown"
        else:
            entry.answer = answer
        waiters = entry.waiters
        entry.waiters = []
        return waiters

    def release(self, key: tuple[str, int]) -> list[str]:
        """Remove a key that certainly did not run, so that it may be tried again.

        :return: identifiers of the requests that waited for it.
        """
        session = self._sessions.get(key[0])
        if session is None:
            return []
        entry = session.entries.pop(key[1], None)
        return entry.waiters if entry else []

    def leave(self, key: tuple[str, int], request_id: str) -> None:
        """Remove a waiting request whose caller has left."""
        entry = self._find(key)
        if entry is not None and request_id in entry.waiters:
            entry.waiters.remove(request_id)

    def _find(self, key: tuple[str, int]) -> OnceEntry | None:
        session = self._sessions.get(key[0])
        return session.entries.get(key[1]) if session else None

    def _evict(self, session: OnceSession) -> bool:
        for sequence in sorted(session.entries):
            if session.entries[sequence].outcome:
                del session.entries[sequence]
                session.low_water = max(session.low_water, sequence)
                return True
        return False

    def _expire(self, now: float, force: bool = False) -> None:
        for name, session in list(self._sessions.items()):
            running = any(not entry.outcome for entry in session.entries.values())
            idle = now - session.used_at
            if running or (idle < defaults.SESSION_IDLE_S and not force):
                continue
            del self._sessions[name]
            force = False

    def expire_idle(self, now: float) -> None:
        """Remove sessions that were idle for longer than ``SESSION_IDLE_S`` and run nothing."""
        self._expire(now)

    def export(self) -> dict[str, t.Any]:
        """Return what another node needs to answer for keys of this incarnation after its end.

        ``low_water`` is included, so that a missing key is read as "not run" only above
        that mark, where no key was ever evicted.
        """
        sessions: dict[str, t.Any] = {}
        for name, session in self._sessions.items():
            rows = {
                str(sequence): [entry.outcome or "unknown", entry.body_digest, entry.status]
                + [entry.answer.decode("utf-8", "replace")]
                for sequence, entry in session.entries.items()
            }
            sessions[name] = {"team": session.team, "low_water": session.low_water, "keys": rows}
        return sessions

    def sizes(self) -> tuple[int, int]:
        """Return the number of sessions and of keys in the table."""
        return len(self._sessions), sum(len(session.entries) for session in self._sessions.values())
