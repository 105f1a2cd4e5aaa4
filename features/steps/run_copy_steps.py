import asyncio

import orjson
from behave import given
from behave import then
from behave import when

from rookspring_fakes import ModelServer
from rookspring_fakes import run_copies


@given("two stand-in endpoints, the first with a run of {events} events")
def two_endpoints(context, events):
    async def work():
        servers = [ModelServer("i-0"), ModelServer("i-1")]
        for server in servers:
            server.copies.known = True
            await server.start()
        return servers

    context.first, context.second = context.loop.run(work())
    if events != "no":
        context.first.copies.made["q1"] = int(events)


@when("the run is copied to the second, {how}")
def is_copied(context, how):
    context.second.copies.has_room = how != "which has no room"
    context.second.copies.known = how != "which doesn't know the calls"
    context.reply = context.loop.run(move(context, last=how == "and stopped"))
    if how == "and its copy is freed":
        line = f"DELETE /kv-handle/{context.reply.body['handle']} HTTP/1.1"
        context.loop.run(context.first.copies.answer(line, b""))


@when("the run, stopped, is copied to the second, which has no room")
def is_stopped(context):
    context.second.copies.has_room = False
    context.reply = context.loop.run(move(context, last=True))


def move(context, last):
    asked = {"id": "q1", "target-version": context.second.address} | ({"last": 1} if last else {})
    return context.first.copies.answer("POST /kv-move HTTP/1.1", orjson.dumps(asked))


@then("the copying call gives {status:d} and {created} events")
def is_answered(context, status, created):
    found = context.reply.status, str(context.reply.body.get("created", "no"))
    assert found == (status, created), context.reply


@then("at the first endpoint the run {state}")
def has_state(context, state):
    assert ("q1" in context.first.copies.made) == (state == "goes on")


@then("the second endpoint takes the copy up {times:d} times")
def takes_up(context, times):
    name = f"{context.first.address}/{context.reply.body.get('handle', 'h1')}"
    assert not context.second.copies.take(name, "q2"), "it is another run's"
    found = [context.second.copies.take(name, "q1") for _ in range(2)]
    assert sum(found) == times, found


@then("the copying call gives 503 and a handle that the first takes up once")
def names_handle(context):
    assert context.reply.status == 503, context.reply
    name = f"{context.first.address}/{context.reply.body['handle']}"
    assert [context.first.copies.take(name, "q1") for _ in range(2)] == [True, False]


@when("the run is backed up at the second, and {ends}")
def is_backed_up(context, ends):
    async def work():
        copies, target = context.first.copies, context.second.address
        keeping = asyncio.ensure_future(copies.back_up("q1", target))
        await asyncio.sleep(2 * run_copies.BACKUP_S)
        del copies.made["q1"]
        await keeping
        if ends == "ends well":
            await copies.end_backup("q1", target)

    context.loop.run(work())


@then("the second endpoint takes the backup up {times:d} times")
def takes_backup_up(context, times):
    name = f"{context.second.address}/q1"
    assert not context.second.copies.take(name, "q2"), "it is another run's"
    found = [context.second.copies.take(name, "q1") for _ in range(2)]
    assert sum(found) == times, found
