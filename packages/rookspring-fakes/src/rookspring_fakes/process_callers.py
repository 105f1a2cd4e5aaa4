"""Callers of real node processes on persistent connections, and checks of what they observed."""

import asyncio
import itertools
import random
import re
import time
import typing as t

from .model_server import STREAM_EVENTS
from .processes import REVOKE_MS
from .processes import ROUTE_TIMEOUT_S
from .processes import NodeProcess
from .processes import ProcessStage

# How long a caller waits for an answer, in seconds: longer than the routes' timeout of 2 s.
ANSWER_TIMEOUT_S = 3.5
# How long after its route's time limit an answer is cut at the latest, in seconds.
LIMIT_SLACK_S = 0.2
# Statuses by which a node states that a request was not run; those of an endpoint don't count.
NOT_RUN = (408, 421, 429, 503)
STAMP = "x-rookspring-server-stamp"
# How long after a node passed on that an endpoint is leaving it may still send requests there, in
# seconds.
LEAVING_GRACE_S = 2.0
# After a refusal with a back-off: when the check begins, in seconds, and the number of requests
# that may still arrive from the node before the back-off ends.
BACKOFF_BEGINS_S = 0.5
BACKOFF_REQUESTS_MAX = 2
# A connection may end without an answer to a request that was sent this shortly before, in seconds:
# the node may have closed it before it read the request.
CROSSING_S = 0.2
# Within which after an answer's end its process has ended so that the end may be doubted, in
# seconds.
GOES_S = 0.1
# A key that no configuration has, and the share of requests that are sent with it.
UNKNOWN_KEY = "key-unknown"
UNKNOWN_SHARE = 0.1
# How the ids of resumable streams begin, which may run more than once.
RESUMABLE_KEY = "s"
# The check of a rate that an endpoint states, times in seconds. It begins RATE_BEGINS_S after the
# first node passed the rate on, and counts a node's requests from RATE_KNOWN_S after that node did.
# Each window of RATE_WINDOW_S may hold RATE_SHARE times the requests of the rate, and RATE_SLACK
# more.
RATE_WINDOW_S = 4.0
RATE_BEGINS_S = 3.0
RATE_KNOWN_S = 0.5
RATE_SHARE = 1.5
RATE_SLACK = 5


# From this long after a node lost its links to all endpoints, its callers count as served elsewhere
# too, in seconds. They are to be served CUT_SHARE as often as those of other nodes at least, unless
# no more than CUT_FAILURES and CUT_FAILURE_SHARE of their requests fail.
CUT_CONTACT_S = 3.0
CUT_SHARE = 2 / 3
CUT_FAILURES = 10
CUT_FAILURE_SHARE = 1 / 50
_HANDOVER = re.compile(r"event=handover_began .*?\bid=(\S+) .*?\bnode=(\S+)")
_ATTEMPT = re.compile(r"event=attempt_began .*?\bid=(\S+) .*?\bendpoint=(\S+)")


class CallerRecord(t.NamedTuple):
    """One request and its outcome, as its caller saw it.

    :param status: 0 if the connection ended before a status arrived.
    :param whole: whether the answer arrived completely.
    :param api_key: the caller's key; empty if requests need none.
    """

    key: str
    kind: str
    node: NodeProcess
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    api_key: str = ""


class ProcessCallers:
    """Concurrent callers, each of which sends one request after another to random nodes."""

    def __init__(self, stage: ProcessStage, callers: int, seed: int) -> None:
        self._stage = stage
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self.records: list[CallerRecord] = []
        self._running = True
        self._tasks = [asyncio.ensure_future(self._call(one)) for one in range(callers)]

    async def stop(self) -> None:
        """Stop all callers once their current requests have ended."""
        self._running = False
        await asyncio.gather(*self._tasks)

    async def _call(self, number: int) -> None:
        while self._running:
            node = self._random.choice(self._stage.nodes)
            try:
                reader, writer = await asyncio.open_connection(*node.address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while self._running and await self._send(node, reader, writer):
                    await asyncio.sleep(self._random.uniform(0.0, 0.04))
            finally:
                writer.close()

    async def _send(
        self, node: NodeProcess, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request; return whether the connection can be reused."""
        key = f"q{next(self._numbers)}"
        kind = self._random.choice(("safe", "unsafe", "stream"))
        method = "GET" if kind == "safe" else "POST"
        length = "" if kind == "safe" else "Content-Length: 4\r\n"
        head = f"{method} /{kind}/x HTTP/1.1\r\nHost: h.example\r\n"
        api_key = self._choose_key()
        if api_key:
            head += f"Authorization: Token {api_key}\r\n"
        head += f"X-Rookspring-Request-Id: {key}\r\n{length}\r\n"
        sent_at = time.monotonic()
        status, body, whole = 0, b"", False
        headers: dict[str, str] = {}
        try:
            writer.write(head.encode() + (b"" if kind == "safe" else b"body"))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, headers = await _read_head(reader)
                body, whole = await _read_body(reader, headers)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            whole = False
        ended_at = time.monotonic()
        self.records.append(
            CallerRecord(key, kind, node, sent_at, ended_at, status, headers, body, whole, api_key)
        )
        return whole and headers.get("connection", "").lower() != "close"

    def _choose_key(self) -> str:
        keys = self._stage.keys
        if not keys:
            return ""
        return UNKNOWN_KEY if self._random.random() < UNKNOWN_SHARE else keys[-1]


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    rows = (line.partition(":") for line in lines[1:] if line)
    return int(lines[0].split()[1]), {key.lower(): value.strip() for key, _, value in rows}


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> tuple[bytes, bool]:
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"])), True
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body, True
        body += data[:-2]


Check = t.Callable[[ProcessStage, list[CallerRecord]], list[str]]
CHECKS: dict[str, Check] = {}


def checks(guarantee: str) -> t.Callable[[Check], Check]:
    """Register the check of a guarantee, which returns the violations."""

    def register(check: Check) -> Check:
        CHECKS[guarantee] = check
        return check

    return register


def find_violations(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """Run all checks and return the violations, each with its guarantee."""
    return [
        f"{guarantee}: {fault}"
        for guarantee, check in CHECKS.items()
        for fault in check(stage, seen)
    ]


@checks("whole answers, each its own")
def check_answers(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """A successful answer is the endpoint's complete answer to this request."""
    found = []
    for one in seen:
        if one.status != 200 or not one.whole:
            continue
        ids = b"".join(b"id: %d\n" % (number + 1) for number in range(STREAM_EVENTS))
        lines = b"".join(line + b"\n" for line in one.body.split(b"\n") if line[:3] == b"id:")
        text = b"answer to " + one.key.encode()
        good = lines == ids if one.kind == "stream" else one.body in (text, b'"%b"' % text)
        if not good:
            found.append(f"{one.key} ({one.kind}) got {one.body[:60]!r}")
    return found


def _runs(stage: ProcessStage) -> list[str]:
    return [key for server in stage.servers for key in server.runs]


@checks("at most once")
def check_once(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """A request that may not be repeated runs at most once."""
    kinds = {one.key: one.kind for one in seen}
    runs = [key for key in _runs(stage) if not key.startswith(RESUMABLE_KEY)]
    return [key for key in set(runs) if runs.count(key) > 1 and kinds.get(key) != "safe"]


@checks("not run means not run")
def check_not_run(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """A request that a node refused has not run at any endpoint."""
    ran = set(_runs(stage))
    return [
        f"{one.key}, a {one.kind} request, got {one.status}"
        for one in seen
        if one.status in NOT_RUN and STAMP not in one.headers and one.key in ran
    ]


def _holders(stage: ProcessStage) -> dict[str, list[NodeProcess]]:
    """Return the nodes that each request was handed over to, by the logs."""
    nodes = {node.name: node for node in stage.nodes}
    found: dict[str, list[NodeProcess]] = {}
    for node in stage.nodes:
        for key, name in _HANDOVER.findall(node.log_text):
            found.setdefault(key, []).append(nodes[name])
    return found


def _senders(stage: ProcessStage, seen: list[CallerRecord]) -> dict[tuple[str, str], NodeProcess]:
    """Return the node that sent each request to an endpoint: by its log, else its callers' node."""
    found = {(one.key, server.name): one.node for one in seen for server in stage.servers}
    for node in stage.nodes:
        for key, endpoint in _ATTEMPT.findall(node.log_text):
            found[(key, endpoint)] = node
    return found


@checks("a planned stop cuts nothing")
def check_answered(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """A request is answered if it reached an endpoint, or its connection did not end soon after it.

    Excepted are answers that had begun and were cut at their route's time limit, requests whose
    endpoint ended, answers that nothing shows to be whole, those around a start or a signal of
    their node or of one that it was handed over to, and those that were in flight when such a
    node's links to all endpoints were cut; the SIGTERM of a planned stop is not recorded as a
    signal.
    """
    holders = _holders(stage)
    ended = {server.name for server in stage.servers if server.ended}
    unshown = set[str]().union(*(server.unshown for server in stage.servers))
    # Counted by ``find_cut_sound``.
    unshown = unshown.union(*(server.closed_well for server in stage.servers if server.sound))
    whose = {one.request_id: server.name for server in stage.servers for one in server.received}
    return [
        f"{one.key} at {one.node.name}, after {one.ended_at - one.sent_at:.2f} s"
        for one in seen
        if not one.whole
        and not _reached_limit(one)
        and (one.key in whose or one.ended_at - one.sent_at > CROSSING_S)
        and whose.get(one.key) not in ended
        and one.key not in unshown
        and not any(_is_excused(node, one) for node in (one.node, *holders.get(one.key, ())))
    ]


def find_cut_sound(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """Return the answers that endpoints ended whole, with their connection, and that weren't whole.

    Excepted are those of endpoints that ended with it, those at their route's time limit, and those
    around a start or a signal of their node, or a cut of its links, as of the check before.
    Endpoints that break answers off make sound ones doubtful, so soaks with such aren't checked.
    """
    holders = _holders(stage)
    closed = {
        key: server.ended_at - at
        for server in stage.servers
        if server.sound
        for key, at in server.closed_well.items()
    }
    return [
        f"a whole answer is delivered: {one.key} ({one.kind}) at {one.node.name} got {one.status}, "
        f"after {one.ended_at - one.sent_at:.2f} s"
        for one in seen
        if closed.get(one.key, 0.0) > GOES_S
        and not (one.status == 200 and one.whole)
        and not _reached_limit(one)
        and not any(_is_excused(node, one) for node in (one.node, *holders.get(one.key, ())))
    ]


def _reached_limit(one: CallerRecord) -> bool:
    """Return whether an answer that had begun was cut at its route's time limit."""
    late_s = one.ended_at - one.sent_at - ROUTE_TIMEOUT_S
    return one.status == 200 and 0.0 <= late_s < LIMIT_SLACK_S


def _is_excused(node: NodeProcess, one: CallerRecord) -> bool:
    """Return whether a node was disturbed around a request, or cut while it was in flight."""
    if any(one.sent_at - 3.0 < at < one.ended_at for at in node.disturbed_at):
        return True
    return any(one.sent_at < cut.done and cut.began <= one.ended_at for cut in node.cuts)


@checks("callers of nodes without a way to any endpoint are served")
def check_cut_nodes(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """Nodes whose links to all endpoints are cut serve two thirds as often as the others.

    Counted is the time from ``CUT_CONTACT_S`` after the last cut of a node on. Nodes that were
    disturbed since then, or a little before, are left out.
    """
    found = []
    for cut in (cut for node in stage.nodes for cut in node.cuts):
        begin, end = cut.began + CUT_CONTACT_S, cut.ended
        calm = [
            node
            for node in stage.nodes
            if not any(cut.began - 1.0 < at < end for at in node.disturbed_at)
        ]
        without = [
            node
            for node in calm
            if any(one.began <= cut.began and one.ended >= end for one in node.cuts)
        ]
        linked = [
            node
            for node in calm
            if all(one.ended <= cut.began or one.began >= end for one in node.cuts)
        ]
        tries = [one for one in seen if begin <= one.sent_at < end]
        served, count = _count_served(tries, without)
        others_served, others_count = _count_served(tries, linked)
        failed = count - served
        few = failed <= CUT_FAILURES + count * CUT_FAILURE_SHARE
        if few or served * others_count >= CUT_SHARE * others_served * count:
            continue
        found.append(f"{served} of {count} served, by the others {others_served} of {others_count}")
    return found


def _count_served(tries: list[CallerRecord], nodes: list[NodeProcess]) -> tuple[int, int]:
    """Return how many of the tries at some nodes were served, and how many there were."""
    chosen = [one for one in tries if one.node in nodes]
    return sum(one.whole and one.status == 200 for one in chosen), len(chosen)


@checks("only valid keys are accepted")
def check_keys(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """A request runs only if its key is valid, or was revoked less than the bound before it."""
    ran = set(_runs(stage))
    late = {key: at + REVOKE_MS / 1000.0 for key, at in stage.revoked_at.items()}
    return [
        f"{one.key} with {one.api_key}"
        for one in seen
        if one.key in ran
        and (one.api_key == UNKNOWN_KEY or one.sent_at > late.get(one.api_key, one.sent_at))
    ]


@checks("a leaving endpoint gets no requests")
def check_leaving(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """No node sends to an endpoint long after it passed on that the endpoint is leaving."""
    known_at: dict[tuple[str, str], float] = {}
    for one in sorted(seen, key=lambda row: row.ended_at):
        name = one.headers.get(STAMP, "").partition(".")[0]
        if "server-leaving" in one.headers and name:
            known_at.setdefault((one.node.name, name), one.ended_at)
    found = []
    for one in seen:
        for server in stage.servers:
            at = known_at.get((one.node.name, server.name))
            if (
                at is None
                or one.sent_at < at + LEAVING_GRACE_S
                or one.key not in server.received_ids()
            ):
                continue
            if not any(at <= excuse <= one.ended_at for excuse in one.node.disturbed_at):
                found.append(f"{one.key} from {one.node.name} to {server.name}")
    return found


@checks("a back-off that an endpoint requests is observed")
def check_backoff(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """During a back-off, a node sends at most two requests to the endpoint that requested it."""
    senders = _senders(stage, seen)
    found = []
    for server in stage.servers:
        for refused_at, key, backoff_s in server.backoffs:
            node = senders.get((key, server.name))
            begins, ends = refused_at + BACKOFF_BEGINS_S, refused_at + backoff_s
            if node is None or any(refused_at <= at <= ends for at in node.disturbed_at):
                continue
            late = [
                one.request_id
                for one in server.received
                if begins <= one.at < ends and senders.get((one.request_id, server.name)) is node
            ]
            if len(late) > BACKOFF_REQUESTS_MAX:
                found.append(f"{len(late)} from {node.name} to {server.name} in {backoff_s} s")
    return found


@checks("a rate that an endpoint states is observed")
def check_rates(stage: ProcessStage, seen: list[CallerRecord]) -> list[str]:
    """All nodes together keep to the rate that an endpoint states, within a tolerance."""
    nodes = {one.key: one.node for one in seen}
    found = []
    for server in stage.servers:
        for began, ended, rate in server.rate_periods:
            known_at = _rates_known_at(seen, server.name, began, ended)
            begins = min(known_at.values(), default=ended) + RATE_BEGINS_S
            moments = [
                one.at
                for one in server.received
                if begins <= one.at <= ended
                and _counts(nodes.get(one.request_id), one.at, known_at)
            ]
            most = max(
                (sum(at <= one <= at + RATE_WINDOW_S for one in moments) for at in moments),
                default=0,
            )
            if most > RATE_SHARE * rate * RATE_WINDOW_S + RATE_SLACK:
                found.append(f"{most} to {server.name}, which states a rate of {rate:g}")
    return found


def _rates_known_at(
    seen: list[CallerRecord], name: str, began: float, ended: float
) -> dict[NodeProcess, float]:
    """Return when each node first passed on an answer that states the endpoint's rate."""
    known_at: dict[NodeProcess, float] = {}
    for one in seen:
        stamp = one.headers.get(STAMP, "").partition(".")[0]
        if stamp == name and "server-limit" in one.headers and began <= one.ended_at <= ended:
            known_at[one.node] = min(known_at.get(one.node, ended), one.ended_at)
    return known_at


def _counts(node: NodeProcess | None, at: float, known_at: dict[NodeProcess, float]) -> bool:
    """Return whether a request counts: its node knew the rate, and had no signal or start since."""
    node_known_at = known_at.get(node) if node is not None else None
    if node is None or node_known_at is None or at < node_known_at + RATE_KNOWN_S:
        return False
    return not any(node_known_at <= excuse <= at for excuse in node.disturbed_at)
