import asyncio

from behave import then
from behave import when

from rookspring_fakes import ModelServer


@when("the endpoint's answers say {line}")
def answers_say(context, line):
    context.relay.servers[0].says.append(line)


@then("the log tells of the endpoint: {told}")
def log_tells(context, told):
    context.loop.run(asyncio.sleep(0.05))
    lines = [line for line in context.relay.log_lines if "event=endpoint_said" in line]
    if told == "nothing":
        assert not lines, lines
        return
    assert lines and all(part in lines[0] for part in told.split(" ", 1)), (told, lines)


@when("another endpoint joins")
def another_joins(context):
    relay = context.relay
    other = ModelServer("i1")
    relay.servers.append(other)

    async def work():
        await other.start()
        await relay.store.write("servers", other.name, other.entry("svc"))
        await relay.until(lambda: other.name in relay.node.context.state.endpoints)

    context.loop.run(work())


@then("the first endpoint got {number:d} in all")
def first_got(context, number):
    asked = context.relay.servers[0].asked
    assert len(asked) == number, [one.request_id for one in asked]


@then("each is refused at once as not run, with a time to come back")
def each_refused(context):
    for answer in context.answers:
        assert answer.status == 503, answer.status
        assert float(answer.headers["retry-after"]) > 0.0, answer.headers
    assert context.took_s < 1.0, context.took_s


@then("the other endpoint answers each")
def other_answers(context):
    assert [answer.status for answer in context.answers] == [200] * 6
    assert len(context.relay.servers[1].asked) == 6
