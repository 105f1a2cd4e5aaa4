"""Answers that are cut at each of their bytes, at a connection without a network."""

import asyncio
import typing as t

from answer_shapes import FAULTY
from answer_shapes import INTERIM
from answer_shapes import OTHER_ID
from answer_shapes import SOUND
from answer_shapes import Shape
from answer_shapes import head_of
from behave import given
from behave import then
from behave import when
from still_transport import StillTransport

from rookspring.exceptions import EndpointError
from rookspring.http_client import ClientConnection

REQUEST = b"POST / HTTP/1.1\r\nHost: e\r\n\r\n"
HEAD_END = b"\r\n\r\n"
# What the connection carried before: answers to earlier requests, and what came before the answer.
BEFORE = {
    "that is new": ((), b""),
    "whose request is not sent whole": ((), b""),
    "after a sound answer": (("with a length",), b""),
    "after a sound answer in chunks": (("in chunks with trailers",), b""),
    "after an answer without a body": (("304 with a length", "204"), b""),
    "after an interim head": ((), INTERIM),
    "after an answer of another request": (
        (),
        b"HTTP/1.1 200 OK\r\n" + OTHER_ID + b"Content-Length: 2\r\n\r\nab",
    ),
}


class Ended(t.NamedTuple):
    """How an answer ended that was cut after some bytes, as its reader has it."""

    name: str
    sent: int
    whole: bool
    body: bytes
    by_close: bool


def accept(head):
    return not head.header(b"x-rookspring-request-id").startswith(b"another")


class Trial:
    """One connection after another, each with one answer that is cut."""

    def __init__(self, before):
        self.before = BEFORE[before]
        self.unsent_bytes = int(before == "whose request is not sent whole")
        self.exception = None
        self.no_body = False

    async def cut(self, name, data, reads):
        """Return how an answer ended that was cut after each of its bytes."""
        return [await self._send(name, data[:sent], reads) for sent in range(len(data) + 1)]

    async def _send(self, name, data, reads):
        client = ClientConnection()
        transport = StillTransport(client)
        transport.get_write_buffer_size = lambda: self.unsent_bytes
        earlier, first = self.before
        for one in earlier:
            self._ask(client)
            transport.deliver(SOUND[one].data)
        reply = self._ask(client)
        size = len(data) if reads == "at once" else 1
        for at in range(0, len(first + data), max(1, size)):
            transport.deliver((first + data)[at : at + max(1, size)])
        client.connection_lost(self.exception)
        try:
            body = b""
            await reply.wait_head()
            while part := await reply.next_part():
                body += part
        except EndpointError:
            return Ended(name, len(data), False, b"", False)
        return Ended(name, len(data), True, body, reply.ended_by_close)

    def _ask(self, client):
        return client.send_request(REQUEST, accept, lambda head: None, self.no_body)


def cut_all(context, shapes, reads):
    async def work():
        return [one for name, data in shapes for one in await context.trial.cut(name, data, reads)]

    context.ended = asyncio.run(work())


@given("an own connection to an endpoint, {before}")
def connection(context, before):
    context.trial = Trial(before)


@when("its endpoint closes after each byte of each sound answer, sent {reads}")
def close_sound(context, reads):
    cut_all(context, [(name, shape.data) for name, shape in SOUND.items()], reads)


@when("its endpoint closes after each byte of each faulty answer, sent {reads}")
def close_faulty(context, reads):
    cut_all(context, FAULTY.items(), reads)


@when("its endpoint resets the connection after each byte of each sound answer, sent at once")
def reset_sound(context):
    context.trial.exception = ConnectionResetError()
    cut_all(context, [(name, shape.data) for name, shape in SOUND.items()], "at once")


@when("its endpoint closes after each byte of each sound answer to a HEAD")
def close_head(context):
    context.trial.no_body = True
    cut_all(context, [(name, head_of(shape)) for name, shape in SOUND.items()], "byte by byte")


def is_right(one, shape):
    """Return whether an answer is whole just where its end is shown."""
    if shape.by_close:
        head_end = shape.data.index(HEAD_END) + len(HEAD_END)
        body = shape.data[head_end : one.sent]
        return (one.whole, one.body, one.by_close) == (
            (True, body, True) if one.sent >= head_end else (False, b"", False)
        )
    whole = one.sent == len(shape.data)
    return (one.whole, one.body, one.by_close) == (whole, shape.body if whole else b"", False)


@then("none is whole before its last byte, and each is whole with it")
def sound_right(context):
    wrong = [one for one in context.ended if not is_right(one, SOUND[one.name])]
    assert not wrong, wrong[:5]


@then("none is whole")
def none_whole(context):
    wrong = [one for one in context.ended if one.whole]
    assert not wrong, wrong[:5]


@then("only those are whole that a length or chunks end")
def reset_right(context):
    for one in context.ended:
        shape = SOUND[one.name]
        whole = one.sent == len(shape.data) and not shape.by_close
        assert one.whole == whole and not one.by_close, one


@then("none is whole before the last byte of its head, and each is whole with it")
def head_right(context):
    for one in context.ended:
        head = Shape(head_of(SOUND[one.name]), b"")
        assert is_right(one, head), one
