"""Forwarding of keyed requests to the node that issued their session.

Only that incarnation may start them. Where it cannot be reached, nothing is
known of earlier sends of the same key, so the answer is ``unknown``.
"""

import asyncio
import time
import typing as t

from returns.result import Success

from . import callers
from . import defaults
from .exceptions import CallerError
from .exchanges import Responder
from .exchanges import error_body
from .messages import Forward
from .messages import ForwardEnd
from .messages import ForwardPart
from .messages import ForwardStart
from .node_context import NodeContext
from .peers import Link
from .tokens import SessionClaims


class LinkResponder(Responder):
    """Sends an answer to the node that forwarded the request."""

    def __init__(self, link: Link, number: int) -> None:
        self._link = link
        self._number = number

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Begin the answer."""
        self._link.send(ForwardStart(self._number, status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._link.send(ForwardPart(self._number, data))

    async def end(self) -> None:
        """End the answer."""
        self._link.send(ForwardEnd(self._number))


class PendingForward:
    """A request that was forwarded and whose answer is on its way."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.items: asyncio.Queue[t.Any] = asyncio.Queue()


async def serve_forward(node: NodeContext, link: Link, forward: Forward) -> None:
    """Serve a request that another node's caller sent."""
    responder = LinkResponder(link, forward.number)
    try:
        exchange = callers.start(
            node, forward.kind, forward.team, forward.fields, forward.body, responder
        )
    except CallerError as error:
        await callers.answer_error(responder, error)
        return
    await exchange.done


def take_part(node: NodeContext, item: t.Any) -> None:
    """Hand a part of an answer to whom waits for it."""
    pending = node.forwards.get(item.number)
    if pending is not None:
        pending.items.put_nowait(item)


def break_off(node: NodeContext, link: Link) -> None:
    """A stream ended: what was forwarded over it has no answer any more."""
    for pending in node.forwards.values():
        if pending.link is link:
            pending.items.put_nowait(None)


async def forward(
    node: NodeContext,
    claims: SessionClaims,
    kind: str,
    team: str,
    fields: dict[str, t.Any],
    body: bytes,
    responder: Responder,
) -> None:
    """Forward a keyed request, or answer for an incarnation that has gone."""
    link = node.peers.links.get(claims.node)
    if link is None or link.incarnation != claims.incarnation:
        await answer_for_gone(node, claims, fields, responder)
        return
    node.forward_count += 1
    number = node.forward_count
    pending = node.forwards[number] = PendingForward(link)
    span = node.telemetry.begin("forward", fields.get("traceparent", ""), peer=claims.node)
    fields = {**fields, "traceparent": node.telemetry.header(span, fields.get("traceparent", ""))}
    try:
        link.send(Forward(number, kind, team, fields, body))
        await _pass_on(node, pending, responder)
    finally:
        node.forwards.pop(number, None)
        span.end()


async def _pass_on(node: NodeContext, pending: PendingForward, responder: Responder) -> None:
    started = False
    while True:
        try:
            item = await asyncio.wait_for(pending.items.get(), defaults.FORWARD_S)
        except TimeoutError:
            item = None
        if item is None:
            why = "the session's node broke off"
            await _answer_unknown(responder, started, why, "node_broke_off")
            return
        if isinstance(item, ForwardStart):
            started = True
            await responder.start(item.status, item.headers)
        elif isinstance(item, ForwardPart):
            await responder.send(item.data)
        else:
            await responder.end()
            return


async def _answer_unknown(
    responder: Responder, started: bool, why: str, code: str = "outcome_unknown"
) -> None:
    body = error_body(why, code, "unknown")
    if started:
        await responder.send(b"event: error\ndata: " + body + b"\n\n")
    else:
        await responder.start(409, {"Content-Type": "application/json"})
        await responder.send(body)
    await responder.end()


async def _answer_ended(responder: Responder) -> None:
    text = "the session's node is out of reach and this key was not run; open a new session"
    await responder.start(410, {"Content-Type": "application/json"})
    await responder.send(error_body(text, "session_ended", "not_run"))
    await responder.end()


async def answer_for_gone(
    node: NodeContext, claims: SessionClaims, fields: dict[str, t.Any], responder: Responder
) -> None:
    """Answer from the outcomes that a node wrote at its planned stop, if it did."""
    name = f"{claims.node}.{claims.incarnation}"
    kept = await node.platform.get("outcomes", name)
    session, sequence = fields["once_key"]
    page = ""
    if isinstance(kept, Success):
        page = str(kept.unwrap().value["sessions"].get(session, ""))
    if not page and fields["first_send"]:
        # The caller declares that no node has had this key, and this one passed it
        # on to none; the only one that might start it is gone.
        await _answer_ended(responder)
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
        # That incarnation ended with this key never begun, and no other may begin it.
        await _answer_ended(responder)
        return
    if row is None or row[0] != "ran" or row[1] != fields["body_digest"]:
        await _answer_unknown(responder, False, "the outcome is no longer known")
        return
    headers = {"Content-Type": "application/json", "X-Replayed": "true"}
    await responder.start(int(row[2]), headers)
    await responder.send(str(row[3]).encode())
    await responder.end()


async def write_outcomes(node: NodeContext) -> None:
    """Keep recent outcomes in the platform at a planned stop, in pages below its limit."""
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
