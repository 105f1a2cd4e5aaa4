"""Records of the load of ways: what callers got, and what runners made, as both are read back.

Checked against each other by :mod:`ways_checks`.
"""

import math
import re
import typing as t

from .ways_runner import BIG_BYTES
from .ways_runner import ID_STEP
from .ways_runner import SMALL_BYTES

_DATA = re.compile(r"data: (\S+) (\S+) (\d+) (\d+) (p+)")
# Within what time after it ended its runs a process is gone by which a node finds out, in seconds:
# a little less than nodes wait.
EXITS_S = 0.08
# Within what time after a run's end its process goes, and around it other answers break off, by
# which a node can take it for cut, in seconds.
GOES_S = 0.1
TOGETHER_S = 0.02


class Kind(t.NamedTuple):
    """A kind of request: its route's type, events, pause between them in seconds, and attempts."""

    route_type: str
    resumable: bool
    events: int
    gap_s: float
    attempts: int

    @property
    def once(self) -> bool:
        """Whether it may run once only."""
        return not self.resumable and self.route_type != "safe"


KINDS = {
    "save": Kind("stream", False, 8, 0.03, 1),
    "stock": Kind("stream", True, 8, 0.03, 2),
    "chat": Kind("stream", False, 40, 0.03, 1),
    "safe": Kind("safe", False, 0, 0.0, 2),
    "unsafe": Kind("unsafe", False, 0, 0.0, 1),
}


class Event(t.NamedTuple):
    """One event, as its bytes tell."""

    number: int
    runner: str
    ident: str
    version: int


class Part(t.NamedTuple):
    """What one request brought its caller.

    :param status: 0 if none came.
    :param whole: whether its answer ended as a whole one.
    :param bent: what came that no runner makes.
    :param stated: the request that its answer states; empty if none came, or it states none.
    :param waited: whether its caller gave up while the connection was open.
    :param began: when it was sent, and ``ended_at`` when nothing more was read of it; by the
        monotonic clock, in seconds.
    :param disturbed: whether more than a planned stop, a reload or a change befell its node or its
        links meanwhile.
    """

    ident: str
    node: str
    status: int
    whole: bool
    events: tuple[Event, ...]
    bent: str = ""
    stated: str = ""
    waited: bool = False
    began: float = 0.0
    ended_at: float = 0.0
    disturbed: bool = False

    @property
    def ended(self) -> bool:
        """Whether it was a successful answer that ended as a whole one."""
        return self.status == 200 and self.whole


class Call(t.NamedTuple):
    """One caller's wish and its requests: the first, and those that took it up or tried again.

    :param again: whether its caller sent the same id twice.
    :param piped: whether it shared a connection with requests sent before their answers came.
    """

    kind: str
    parts: tuple[Part, ...]
    again: bool = False
    piped: bool = False

    @property
    def numbers(self) -> list[int]:
        """The numbers of all its events, in the order that they came."""
        return [event.number for part in self.parts for event in part.events]


class Run(t.NamedTuple):
    """One run at a runner.

    :param first: the first event that it was asked for.
    :param made: the last event that it made.
    :param ended: how its answer was ended after its last event: in ``chunks``, by a ``length`` or
        by a ``close``; empty if it was not.
    :param ended_at: when that was, by the monotonic clock, and ``left_s`` how much of the time that
        it was told was left then, in seconds.
    :param beside: whether its process went then, or broke other answers off.
    :param disturbed: whether its runner or its links stood still or were ended while it ran, or
        right after it.
    :param cause: of a clean end in its midst, as the runner tells; empty if there was none.
    :param copied: whether it goes on from a copy of another runner's, as the same run.
    :param at: when it began, and ``moved_at`` when its route had last been moved to the service of
        its runner before; by the monotonic clock, in seconds; 0 if unknown or never.
    """

    ident: str
    runner: str
    first: int
    made: int
    at: float = 0.0
    kind: str = ""
    service: str = ""
    moved_at: float = 0.0
    copied: bool = False
    ended: str = ""
    cause: str = ""
    ended_at: float = 0.0
    left_s: float = math.inf
    beside: bool = False
    disturbed: bool = False


def read_events(body: bytes, whole: bool, forms: t.Sequence[str]) -> tuple[tuple[Event, ...], str]:
    """Return the events of a body, and the first block that is no event of a runner.

    What follows the last empty line counts only if the body is whole.
    """
    payload = "p" * (BIG_BYTES if "big" in forms else SMALL_BYTES)
    step = ID_STEP if "steps" in forms else 1
    blocks = body.decode("latin-1").replace("\r\n", "\n").split("\n\n")
    events: list[Event] = []
    for block in blocks if whole else blocks[:-1]:
        lines = [one for one in block.split("\n") if one and not one.startswith(":")]
        if not lines:
            continue
        found = _DATA.fullmatch(lines[-1])
        if found is None or found[5] != payload or lines[:-1] != [f"id: {int(found[3]) * step}"]:
            return tuple(events), block[:120]
        events.append(Event(int(found[3]), found[1], found[2], int(found[4])))
    return tuple(events), ""


# What a line of a runner's record tells of a run, by its first word.
_FIELDS: dict[str, t.Callable[[list[str]], dict[str, t.Any]]] = {
    "made": lambda words: {"made": int(words[0])},
    "end": lambda words: {"ended": words[1]} | _read_end(words[2:]),
    "ended": lambda words: {"cause": words[1]},
}


def _read_end(words: list[str]) -> dict[str, float]:
    return dict(zip(("ended_at", "left_s"), map(float, words), strict=False))


def read_runs(runner: str, record: str) -> list[Run]:
    """Return the runs of a runner's record."""
    runs: list[Run] = []
    stopped_at = math.inf
    gone: list[float] = []
    cuts: list[float] = []
    for line in record.splitlines():
        copied = line.startswith("goes on ")
        words = line.replace("goes on", "run", 1).split() if copied else line.split()
        if len(words) == 5 and words[0] == "run":
            first = int(words[2])
            run = Run(words[1], runner, first, first - 1, float(words[3]), words[4])
            runs.append(run._replace(copied=copied))
        elif words and words[0] in _FIELDS:
            at = max(n for n, one in enumerate(runs) if one.ident == words[1])
            runs[at] = runs[at]._replace(**_FIELDS[words[0]](words[2:]))
        elif words and words[0] == "stops":
            stopped_at = float(words[1])
        elif words and words[0] == "cuts":
            cuts.append(float(words[1]))
        elif words and words[0] == "gone":
            gone.append(float(words[1]))
            if gone[-1] > stopped_at + EXITS_S:
                runs = [_mark_late(run) for run in runs]
    return [run._replace(beside=_is_beside(run, gone, cuts)) for run in runs]


def _is_beside(run: Run, gone: list[float], cuts: list[float]) -> bool:
    """Return whether a run's process went, or broke other answers off, as it ended."""
    goes = any(-TOGETHER_S <= at - run.ended_at <= GOES_S for at in gone)
    return goes or any(abs(at - run.ended_at) <= TOGETHER_S for at in cuts)


def _mark_late(run: Run) -> Run:
    """Have a run count as ended by a process that lived on, where its exit alone was to tell."""
    return run._replace(cause="untold-late-exit") if run.cause.startswith("exits") else run
