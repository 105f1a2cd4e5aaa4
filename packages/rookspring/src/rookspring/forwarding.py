"""Forwarding of requests with an idempotency key to the node that issued their session.

Only that incarnation of the node may start them. If it cannot be reached, whether the key was
run before is unknown, and so is the outcome that the caller gets. Exceptions: the node wrote
its outcomes when it was drained, or the caller declares that it sends the key for the first
time.
"""

import asyncio
import time
import typing as t

from returns.result import Success

from . import callers
from . import defaults
from .event_streams import MEDIA_TYPE
from .exceptions import CallerError
from .exchanges import Responder
from .exchanges import error_body
from .logs import log
from .messages import Forward
from .messages import ForwardEnd
from .messages import ForwardPart
from .messages import ForwardStart
from .node_context import NodeContext
from .peers import Link
from .signing import SessionClaims


class LinkResponder(Responder):
    """Sends an answer over the link to the node that forwarded the request.

    :param number: number of the forwarded request, by which that node finds its caller.
    """

    def __init__(self, link: Link, number: int) -> None:
        self._link = link
        self._number = number

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        self._link.send(ForwardStart(self._number, status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body, a long one in several messages.

        Between them it waits until the other node reads: a link is ended whose buffer is full.
        """
        size = defaults.FORWARD_PART_BYTES
        self._link.send(ForwardPart(self._number, data[:size]))
        for start in range(size, len(data), size):
            await self._link.drain()
            self._link.send(ForwardPart(self._number, data[start : start + size]))

    async def end(self) -> None:
        """End the answer."""
        self._link.send(ForwardEnd(self._number))


class PendingForward:
    """A forwarded request whose answer is not complete.

    :ivar items: received parts of the answer; None when the link has broken.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self.items: asyncio.Queue[t.Any] = asyncio.Queue()


async def serve_forward(node: NodeContext, link: Link, forward: Forward) -> None:
    """Serve a request that another node forwarded, and send the answer back over its link."""
    responder = LinkResponder(link, forward.number)
    try:
        exchange = callers.start_request(
            node, forward.kind, forward.team, forward.fields, forward.body, responder
        )
    except CallerError as error:
        await callers.answer_error(responder, error)
        return
    except (KeyError, TypeError, ValueError) as error:
        log("task_failed", "ERROR", peer=link.name, error=type(error).__name__, detail=error)
        await _answer_unknown(responder, False, "the session's node could not read the request")
        return
    await exchange.done


def deliver_part(node: NodeContext, item: t.Any) -> None:
    """Queue a received part of an answer for the forwarded request that it belongs to."""
    pending = node.forwards.get(item.number)
    if pending is not None:
        pending.items.put_nowait(item)


def fail_pending(node: NodeContext, link: Link | None = None) -> None:
    """End the wait for answers that were expected over a link that has ended.

    :param link: None to end the wait for all answers, since this node ends.
    """
    for pending in node.forwards.values():
        if link is None or pending.link is link:
            pending.items.put_nowait(None)


async def forward(
    node: NodeContext,
    claims: SessionClaims,
    kind: str,
    team: str,
    fields: dict[str, t.Any],
    body: bytes,
    responder: "callers.SanicResponder",
) -> None:
    """Forward a keyed request, or answer it here if the session's incarnation is not linked."""
    link = node.peers.links.get(claims.node)
    if link is None or link.incarnation != claims.incarnation:
        await answer_from_outcomes(node, claims, fields, responder)
        return
    node.forward_count += 1
    number = node.forward_count
    pending = node.forwards[number] = PendingForward(link)
    span = node.telemetry.begin("forward", fields.get("traceparent", ""), peer=claims.node)
    fields = {**fields, "traceparent": node.telemetry.header(span, fields.get("traceparent", ""))}
    try:
        link.send(Forward(number, kind, team, fields, body))
        await _copy_answer(node, pending, responder)
    finally:
        node.forwards.pop(number, None)
        span.end()


async def _copy_answer(
    node: NodeContext, pending: PendingForward, responder: "callers.SanicResponder"
) -> None:
    started = False
    in_events = False
    while True:
        try:
            item = await asyncio.wait_for(pending.items.get(), defaults.FORWARD_S)
        except TimeoutError:
            item = None
        if item is None:
            if started and not in_events:
                # An error behind a part of a body would be the rest of the body.
                responder.abort()
                return
            message = "the session's node broke off"
            await _answer_unknown(responder, started, message, "node_broke_off")
            return
        if isinstance(item, ForwardStart):
            started = True
            in_events = item.headers.get("Content-Type") == MEDIA_TYPE.decode()
            await responder.start(item.status, item.headers)
        elif isinstance(item, ForwardPart):
            await responder.send(item.data)
        else:
            await responder.end()
            return


async def _answer_unknown(
    responder: Responder, started: bool, message: str, code: str = "outcome_unknown"
) -> None:
    body = error_body(message, code, "unknown")
    if started:
        await responder.send(b"event: error\ndata: " + body + b"\n\n")
    else:
        await responder.start(409, {"Content-Type": "application/json"})
        await responder.send(body)
    await responder.end()


async def _answer_session_ended(responder: Responder) -> None:
    message = "the session's node is out of reach and this key was not run; open a new session"
    await responder.start(410, {"Content-Type": "application/json"})
    await responder.send(error_body(message, "session_ended", "not_run"))
    await responder.end()


async def answer_from_outcomes(
    node: NodeContext, claims: SessionClaims, fields: dict[str, t.Any], responder: Responder
) -> None:
    """Answer a keyed request from the outcomes that the session's node wrote when it was drained.

    Without these the outcome is unknown, unless the caller declares a first send.
    """
    name = f"{claims.node}.{claims.incarnation}"
    stored_index = await node.platform.get("outcomes", name)
    session, sequence = fields["once_key"]
    page = ""
    if isinstance(stored_index, Success):
        page = str(stored_index.unwrap().value["sessions"].get(session, ""))
    if not page and fields["first_send"]:
        # The caller declares that it sent this key to no other node, and this one did not forward
        # it. The only incarnation that may start it is gone, so it was not run.
        await _answer_session_ended(responder)
        return
    if not page:
        await _answer_unknown(responder, False, "the node that issued the session is gone")
        return
    stored = await node.platform.get("outcomes", page)
    if not isinstance(stored, Success):
        await _answer_unknown(responder, False, "the session's outcomes cannot be read now")
        return
    rows = stored.unwrap().value["sessions"][session]
    row = rows["keys"].get(str(sequence))
    if row is None and sequence > int(rows["low_water"]):
        # No key above the low-water mark was evicted, so this one was never started; no other
        # incarnation may start it.
        await _answer_session_ended(responder)
        return
    if row is None or row[0] != "ran" or row[1] != fields["body_digest"]:
        await _answer_unknown(responder, False, "the outcome is no longer known")
        return
    headers = {"Content-Type": "application/json", "X-Replayed": "true"}
    await responder.start(int(row[2]), headers)
    await responder.send(str(row[3]).encode())
    await responder.end()


async def write_outcomes(node: NodeContext) -> None:
    """Write recent outcomes to the platform, after a drain.

    They are split into pages, to stay below the platform's size limit. The object named after the
    incarnation maps each session to its page.
    """
    exported = node.state.once.export()
    name = f"{node.state.identity.name}.{node.state.identity.incarnation}"
    pages: list[dict[str, t.Any]] = [{}]
    size = 0
    for session, rows in exported.items():
        length = sum(len(row[3]) + 160 for row in rows["keys"].values()) + len(session) + 64
        if size and size + length > defaults.OUTCOMES_PAGE_BYTES:
            pages.append({})
            size = 0
        pages[-1][session] = rows
        size += length
    index: dict[str, str] = {}
    for number, page in enumerate(pages[: defaults.OUTCOMES_PAGES_MAX]):
        page_name = f"{name}.{number}"
        answer = await node.platform.put("outcomes", page_name, {"sessions": page}, None)
        if isinstance(answer, Success):
            index.update(dict.fromkeys(page, page_name))
    if index:
        value = {"sessions": index, "written_at": time.time()}
        await node.platform.put("outcomes", name, value, None)
