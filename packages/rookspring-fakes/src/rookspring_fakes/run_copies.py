"""Copies of runs between stand-in endpoints: made as a run goes on, moved, or kept as a backup.

An endpoint's part in ``POST /kv-move``, ``DELETE /kv-handle/ID``, ``Kv-From`` and
``X-Rookspring-Kv-Backup``, as the users' pages tell them. Between endpoints the memory goes by a
call of the stand-ins' own.
"""

import asyncio
import itertools
import time
import typing as t

import orjson

# How long a copy is kept that nobody uses, in seconds.
HANDLE_S = 10.0
# How often a run's new memory is sent to its backup, in seconds.
BACKUP_S = 0.1
# How long a call between endpoints may take, in seconds.
LINK_CALL_S = 2.0

MOVE_CALL = "POST /kv-move"
HANDLE_CALL = "DELETE /kv-handle/"
# The calls of the stand-ins' own: an endpoint's memory of a run, and that it isn't needed.
KEEP_CALL = "PUT /run-copy/"
DROP_CALL = "DELETE /run-copy/"


class CopyReply(t.NamedTuple):
    """The answer to a call about copies."""

    status: int
    body: dict[str, t.Any] = {}


class HeldCopy(t.NamedTuple):
    """A copy that an endpoint holds of another one's run.

    :param run: the run that it is a copy of.
    :param created: the events that the run had made by then.
    :param until: when it is dropped, by the monotonic clock.
    """

    run: str
    created: int
    until: float


class CopiedRuns(t.Protocol):
    """What the copies need of the endpoint whose runs they are."""

    def stop_run(self, run: str) -> None:
        """Close the stream of a run that is stopped, without its end."""


class RunCopies:
    """The copies that one endpoint holds, and those that it has made of its own runs."""

    def __init__(self, runs: CopiedRuns) -> None:
        self._runs = runs
        self._numbers = itertools.count(1)
        self.address = ""
        # The events that each of its runs has made that goes on now; and the runs of others that
        # went on here, from a copy.
        self.made: dict[str, int] = {}
        self.continued: list[str] = []
        # Whether it knows these calls, and whether it has room for the copies of others.
        self.known = False
        self.has_room = True
        # How long a copy takes, in seconds.
        self.copy_s = 0.0
        # The copies that it holds, by ADDRESS/HANDLE of their source.
        self.held: dict[str, HeldCopy] = {}
        # The runs that are being copied now; its own runs that it has stopped, by handle; and the
        # endpoint that has the copy, by handle.
        self._under_way: set[str] = set()
        self._stopped: dict[str, str] = {}
        self._targets: dict[str, str] = {}
        # The handle of each run that was copied, and the moves and parts of backups that it made.
        self._handles: dict[str, str] = {}
        self.moves: list[tuple[str, str]] = []
        self.backups: list[tuple[str, str]] = []

    @property
    def handles(self) -> int:
        """How many copies it holds, its own stopped runs included."""
        self._drop_old()
        return len(self.held) + len(self._stopped)

    @staticmethod
    def is_call(line: str) -> bool:
        """Return whether a request is a call about copies, by its first line."""
        return line.startswith((MOVE_CALL, HANDLE_CALL, KEEP_CALL, DROP_CALL))

    async def answer(self, line: str, body: bytes) -> CopyReply:
        """Answer a call about copies."""
        if not self.known:
            return CopyReply(404)
        if line.startswith(MOVE_CALL):
            return await self._move(orjson.loads(body))
        name = line.split(" ")[1].split("/", 2)[2]
        if line.startswith(KEEP_CALL):
            kept = orjson.loads(body)
            return self._keep(name, kept["run"], kept["created"])
        if line.startswith(DROP_CALL):
            self.held.pop(name, None)
            return CopyReply(200)
        return await self._free(name)

    def take(self, kv_from: str, run: str) -> bool:
        """Use a copy of a run, once: return whether there is one, as ``Kv-From`` names it."""
        self._drop_old()
        source, _, handle = kv_from.partition("/")
        if source == self.address and self._stopped.get(handle) == run:
            del self._stopped[handle]
            return True
        held = self.held.get(kv_from)
        if held is None or held.run != run:
            return False
        del self.held[kv_from]
        return True

    async def back_up(self, run: str, target: str) -> None:
        """Send a run's memory to its backup as it grows; end as the run has ended."""
        sent = -1
        while (made := self.made.get(run)) is not None:
            if made != sent:
                self.backups.append((run, target))
                kept = {"run": run, "created": made}
                status = await _call(target, f"{KEEP_CALL}{target}/{run}", kept)
                sent = made if status == 200 else sent
            await asyncio.sleep(BACKUP_S)

    async def end_backup(self, run: str, target: str) -> None:
        """Tell the backup that a run has ended well."""
        await _call(target, f"{DROP_CALL}{target}/{run}", None)

    def _drop_old(self) -> None:
        now = time.monotonic()
        self.held = {key: one for key, one in self.held.items() if one.until > now}

    def _keep(self, name: str, run: str, created: int) -> CopyReply:
        if not self.has_room:
            return CopyReply(503)
        self.held[name] = HeldCopy(run, created, time.monotonic() + HANDLE_S)
        return CopyReply(200)

    async def _move(self, asked: dict[str, t.Any]) -> CopyReply:
        run, target = str(asked["id"]), str(asked["target-version"])
        created = self.made.get(run)
        if created is None:
            return CopyReply(404)
        if run in self._under_way:
            return CopyReply(409)
        self._under_way.add(run)
        try:
            return await self._copy(run, target, bool(asked.get("last")), created)
        finally:
            self._under_way.discard(run)

    async def _copy(self, run: str, target: str, last: bool, created: int) -> CopyReply:
        handle = self._handles.setdefault(run, f"h{next(self._numbers)}")
        if last:
            self.made.pop(run, None)
            self._runs.stop_run(run)
            self._stopped[handle] = run
        await asyncio.sleep(self.copy_s)
        self.moves.append((run, target))
        name = f"{self.address}/{handle}"
        status = await _call(target, KEEP_CALL + name, {"run": run, "created": created})
        if status != 200:
            return CopyReply(503, {"handle": handle} if last else {})
        self._targets[handle] = target
        return CopyReply(200, {"handle": handle, "created": created})

    async def _free(self, handle: str) -> CopyReply:
        self._stopped.pop(handle, None)
        for name in [one for one in self.held if one.endswith(f"/{handle}")]:
            del self.held[name]
        target = self._targets.pop(handle, "")
        if target:
            await _call(target, f"{DROP_CALL}{self.address}/{handle}", None)
        return CopyReply(200)


async def _call(address: str, line: str, body: dict[str, t.Any] | None) -> int:
    """Call another stand-in; return the status, 0 if there is none."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else orjson.dumps(body)
    try:
        async with asyncio.timeout(LINK_CALL_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"%b HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (line.encode(), len(data)))
            writer.write(data)
            status = int((await reader.readline()).split(b" ")[1])
            writer.close()
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0
    return status
