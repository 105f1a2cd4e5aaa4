"""At most one run of each unrepeatable request.

A request is keyed by session and sequence. Only the node incarnation that
issued the session may start it, from this table in its memory. What falls out
of the table is remembered as a low-water mark: such a key answers ``unknown``
and never runs again. See ``docs/design/at-most-once.md``.
"""

import typing as t

from . import defaults


class OnceEntry:
    """One key: whether it runs or has ended, its answer, and who waits for it."""

    __slots__ = ("answer", "body_digest", "owner", "settled", "status", "waiters")

    def __init__(self, body_digest: str, owner: str) -> None:
        self.body_digest = body_digest
        self.owner = owner
        self.settled: t.Literal["", "ran", "unknown"] = ""
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


class Verdict(t.NamedTuple):
    """What is to be done with a keyed request."""

    action: t.Literal["start", "wait", "replay", "unknown", "mismatch", "forgotten"]
    entry: OnceEntry | None = None


class OnceTable:
    """Sessions that this incarnation issued, with bounded memory."""

    def __init__(self) -> None:
        self._sessions: dict[str, OnceSession] = {}

    def open(self, session: str, team: str, now: float) -> None:
        """Begin a session that was just issued, and let idle ones go."""
        self._sessions[session] = OnceSession(team, now)
        if len(self._sessions) > defaults.SESSIONS_MAX:
            self._expire(now, force=True)

    def begin(
        self, key: tuple[str, int], digest: str, team: str, owner: str, now: float
    ) -> Verdict:
        """Judge a keyed request; on ``start`` the owner is recorded at once."""
        session = self._sessions.get(key[0])
        if session is None or session.team != team:
            return Verdict("forgotten")
        session.used_at = now
        entry = session.entries.get(key[1])
        if entry is not None:
            return self._judge(entry, digest, owner)
        if key[1] <= session.low_water:
            return Verdict("forgotten")
        if len(session.entries) >= defaults.ONCE_PER_SESSION_MAX and not self._evict(session):
            return Verdict("forgotten")
        # Eviction may have raised the mark to or above this very key.
        if key[1] <= session.low_water:
            return Verdict("forgotten")
        entry = OnceEntry(digest, owner)
        session.entries[key[1]] = entry
        return Verdict("start", entry)

    def _judge(self, entry: OnceEntry, digest: str, owner: str) -> Verdict:
        if entry.body_digest != digest:
            return Verdict("mismatch")
        if entry.settled == "ran":
            return Verdict("replay", entry)
        if entry.settled == "unknown":
            return Verdict("unknown", entry)
        entry.waiters.append(owner)
        return Verdict("wait", entry)

    def settle(
        self, key: tuple[str, int], settled: t.Literal["ran", "unknown"], status: int, answer: bytes
    ) -> list[str]:
        """Keep the end of a key and give back who waited for it.

        An answer above the size limit is not kept; a retry then learns ``unknown``.
        """
        entry = self._find(key)
        if entry is None:
            return []
        entry.settled = settled
        entry.status = status
        if len(answer) > defaults.ONCE_ANSWER_BYTES_MAX:
            entry.settled = "unknown"
        else:
            entry.answer = answer
        waiters = entry.waiters
        entry.waiters = []
        return waiters

    def release(self, key: tuple[str, int]) -> list[str]:
        """Take back a key that truly did not run, so that it may be tried again."""
        session = self._sessions.get(key[0])
        if session is None:
            return []
        entry = session.entries.pop(key[1], None)
        return entry.waiters if entry else []

    def leave(self, key: tuple[str, int], owner: str) -> None:
        """A waiter's caller has left."""
        entry = self._find(key)
        if entry is not None and owner in entry.waiters:
            entry.waiters.remove(owner)

    def _find(self, key: tuple[str, int]) -> OnceEntry | None:
        session = self._sessions.get(key[0])
        return session.entries.get(key[1]) if session else None

    def _evict(self, session: OnceSession) -> bool:
        for sequence in sorted(session.entries):
            if session.entries[sequence].settled:
                del session.entries[sequence]
                session.low_water = max(session.low_water, sequence)
                return True
        return False

    def _expire(self, now: float, force: bool = False) -> None:
        for name, session in list(self._sessions.items()):
            running = any(not entry.settled for entry in session.entries.values())
            idle = now - session.used_at
            if running or (idle < defaults.SESSION_IDLE_S and not force):
                continue
            del self._sessions[name]
            force = False

    def tick(self, now: float) -> None:
        """Let sessions go that were idle for too long."""
        self._expire(now)

    def export(self) -> dict[str, t.Any]:
        """Give all that a later node needs to answer for this incarnation.

        ``low_water`` goes along, so that absence of a key is only read as "not
        run" where nothing above the mark was ever let go.
        """
        sessions: dict[str, t.Any] = {}
        for name, session in self._sessions.items():
            rows = {
                str(sequence): [entry.settled or "unknown", entry.body_digest, entry.status]
                + [entry.answer.decode("utf-8", "replace")]
                for sequence, entry in session.entries.items()
            }
            sessions[name] = {"team": session.team, "low_water": session.low_water, "keys": rows}
        return sessions

    def sizes(self) -> tuple[int, int]:
        """Give how many sessions and keys are held."""
        return len(self._sessions), sum(len(one.entries) for one in self._sessions.values())
