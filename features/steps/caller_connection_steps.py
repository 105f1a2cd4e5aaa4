import asyncio
import time

from behave import then
from behave import when
from relay_fixture import read_answer
from relay_fixture import request


@when("a caller sends a {kind} request in HTTP/1.0")
def send_older(context, kind):
    async def work():
        reader, writer = await context.relay.connect()
        try:
            writer.write(request(kind).replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1))
            return await read_answer(reader)
        finally:
            writer.close()

    context.answer = context.loop.run(work())


@then("its answer has status {status:d} and an end shown by {end}")
def status_and_end(context, status, end):
    answer = context.answer
    shown = "chunks" if "transfer-encoding" in answer.headers else "none"
    shown = "length" if "content-length" in answer.headers else shown
    assert (answer.status, shown, answer.whole) == (status, end, True), (answer.status, shown)


@then("its answer asks for HTTP/1.1")
def asks_for_version(context):
    headers = context.answer.headers
    assert headers.get("upgrade") == "HTTP/1.1", headers
    assert headers["x-rookspring-request-id"] == "q1", headers


@then("the log says that its version was refused")
def says_refused(context):
    lines = [line for line in context.relay.log_lines if "event=version_refused" in line]
    assert len(lines) == 1 and " id=q1 " in lines[0], lines


@when("a caller sends a {kind} request and closes its sending side {moment}")
def half_closed(context, kind, moment):
    async def work():
        relay = context.relay
        reader, writer = await relay.connect()
        writer.write(request(kind))
        if moment != "with it":
            await relay.until(lambda: relay.runs)
        writer.write_eof()
        closed_at = time.monotonic()
        async with asyncio.timeout(5.0):
            context.got = await reader.read()
        context.ended_s = time.monotonic() - closed_at
        writer.close()

    context.loop.run(work())


@then("it gets no byte, and its connection ends within {seconds:g} s")
def gets_nothing(context, seconds):
    assert context.got == b"", context.got
    assert context.ended_s <= seconds, context.ended_s
