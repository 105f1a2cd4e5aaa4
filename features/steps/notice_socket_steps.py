import asyncio

from behave import then
from behave import when


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
