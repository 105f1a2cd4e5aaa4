import asyncio

from behave import given
from behave import then
from behave import when
from caller_connections import ENDPOINT
from caller_connections import MB
from caller_connections import CallerConnections
from caller_connections import write_head


@given("a listener that may hold {most:d} MB")
def listener(context, most):
    async def start():
        return await CallerConnections(most * MB).start()

    context.callers = context.loop.run(start())
    context.add_cleanup(lambda: context.loop.run(context.callers.close()))


@given("{held:d} MB of an answer of the same endpoint wait elsewhere")
def waits_elsewhere(context, held):
    context.elsewhere = context.callers.budget.open(ENDPOINT, lambda reason: None)
    context.elsewhere.resize(held * MB)


@when("a caller sends 3 MB of a body of 4, and another 2 MB of one")
def sends_parts(context):
    async def work():
        context.first = await context.callers.connect()
        context.first[1].write(write_head("plain", 3 * MB + MB // 2) + b"b" * 3 * MB)
        await context.first[1].drain()
        held = context.callers.budget
        assert await context.callers.wait(lambda: held.held_bytes > 2 * MB, 2.0)
        await asyncio.sleep(0.2)
        other = await context.callers.connect()
        other[1].write(write_head("plain", 3 * MB) + b"b" * 2 * MB)
        await other[1].drain()

    context.loop.run(work())


@when("a caller sends the head of a request with a body of 5 MB")
def sends_head(context):
    async def work():
        context.first = await context.callers.connect()
        context.first[1].write(write_head("plain", 5 * MB))

    context.loop.run(work())


@when("a caller sends the head of a request with a body of 5 MB, and the body later")
def sends_body_later(context):
    async def work():
        context.first = await context.callers.connect()
        context.first[1].write(write_head("plain", 5 * MB))
        await asyncio.sleep(0.2)
        context.first[1].write(b"b" * 5 * MB)
        await asyncio.sleep(0.2)

    context.loop.run(work())


@then("the first was refused within {seconds:d} s, as not run")
def refused_at_once(context, seconds):
    async def read():
        async with asyncio.timeout(seconds):
            return await context.first[0].readuntil(b"\r\n\r\n")

    head = context.loop.run(read())
    assert head.startswith(b"HTTP/1.1 503 "), head
    assert b"Retry-After: 1.00" in head, head
    assert b"X-Request: " in head, head
    assert context.callers.running == [], context.callers.running


@when("a caller sends {many:d} bodies of 1 MB at once, and another caller one")
def sends_bodies(context, many):
    async def work():
        for number in range(many + 1):
            last = number == many
            _, writer = await context.callers.connect("127.0.0.2" if last else "127.0.0.1")
            name = "other" if last else "flood"
            writer.write(write_head("wait", MB, name) + b"b" * MB)
        running = context.callers.running
        assert await context.callers.wait(lambda: "other" in running, 2.0), running

    context.loop.run(work())


@then("at most {most:d} of the 8 run, and that of the other")
def some_run(context, most):
    running = context.callers.running
    assert 1 <= running.count("flood") <= most, running


@when("a caller doesn't read an answer of 16 MB, and its connection {ends}")
def reads_nothing(context, ends):
    async def work():
        rows = ["Connection: close"] if ends == "is over" else []
        _, writer = await context.callers.connect()
        writer.transport.pause_reading()
        writer.write(write_head("large", 1, "first", *rows) + b"x")
        assert await context.callers.wait(lambda: _find_unsent(context) > MB, 2.0)

    context.loop.run(work())


@when("a caller doesn't read a stream behind which {held:d} MB wait")
def reads_no_stream(context, held):
    async def work():
        context.callers.behind = held * MB
        _, writer = await context.callers.connect()
        writer.transport.pause_reading()
        writer.write(write_head("stream", 1) + b"x")
        assert await context.callers.wait(lambda: _find_unsent(context) > 0, 2.0)
        await asyncio.sleep(0.2)

    context.loop.run(work())


def _find_unsent(context):
    return sum(one.unsent_bytes for one in context.callers.listener.connections)


@when("then {most:g} MB may be held")
def may_be_held(context, most):
    context.callers.budget.most = int(most * MB)


@then("its connection is gone within {seconds:d} s")
def connection_gone(context, seconds):
    async def work():
        context.callers.budget.open("other").resize(1)
        connections = context.callers.listener.connections
        assert await context.callers.wait(lambda: not connections, seconds), connections

    context.loop.run(work())


@then("the answer that waits elsewhere still does")
def still_waits(context):
    assert context.elsewhere.size > 0
    assert not context.callers.failed


@when("a caller pipelines {kb:d} KB behind a request that runs, and then {most:g} MB may be held")
def pipelines(context, kb, most):
    async def work():
        context.first = await context.callers.connect()
        context.first[1].write(write_head("wait", 1) + b"x")
        assert await context.callers.wait(lambda: context.callers.running, 2.0)
        context.first[1].write(b"p" * kb * 1000)
        budget = context.callers.budget
        assert await context.callers.wait(lambda: budget.held_bytes >= kb * 1000, 2.0)
        budget.most = int(most * MB)
        budget.open("other").resize(1)

    context.loop.run(work())


@then("its request is answered, and its connection is over")
def answered_and_over(context):
    async def work():
        budget = context.callers.budget
        assert budget.held_bytes <= budget.most, budget.held_bytes
        context.callers.go_on.set()
        async with asyncio.timeout(3.0):
            answer = await context.first[0].read()
        assert answer.startswith(b"HTTP/1.1 200 "), answer
        assert b"Connection: close" in answer, answer
        assert answer.count(b"HTTP/1.1 ") == 1, answer

    context.loop.run(work())


@when("a caller sends a body of 1 MB, and then {end}")
def sends_body(context, end):
    kinds = {"it is answered": "plain", "one more is answered": "plain", "it is aborted": "abort"}
    kinds["it has failed"] = "fail"

    async def work():
        reader, writer = await context.callers.connect()
        request = write_head(kinds.get(end, "wait"), MB) + b"b" * MB
        writer.write(request)
        assert await context.callers.wait(lambda: context.callers.running, 2.0)
        if end == "its caller has left":
            writer.transport.abort()
        elif end == "its caller has half-left":
            writer.write_eof()
        elif end == "one more is answered":
            await reader.readuntil(b"\r\n\r\nx")
            writer.write(request)
            await reader.readuntil(b"\r\n\r\nx")
        await asyncio.sleep(0.1)
        context.callers.go_on.set()

    context.loop.run(work())


@then("nothing is counted within {seconds:d} s")
def nothing_counted(context, seconds):
    async def work():
        budget = context.callers.budget
        assert await context.callers.wait(lambda: budget.held_bytes == 0, seconds), (
            budget.held_bytes
        )
        assert budget.may_fix("any", budget.most)

    context.loop.run(work())
