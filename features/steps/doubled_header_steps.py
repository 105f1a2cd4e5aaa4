from behave import when
from relay_fixture import read_answer
from relay_fixture import request


def stated(header, values):
    """Return a request in which a header has these values, in other letters each time."""
    head, _, rest = request("safe", 1).partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    kept = [line for line in lines if not line.lower().startswith(header.lower().encode() + b":")]
    names = (header, header.upper())
    added = [f"{name}: {value}".encode() for name, value in zip(names, values, strict=True)]
    return b"\r\n".join([first, added[0], *kept, added[1]]) + b"\r\n\r\n" + rest


@when("a caller's request states {header} as {value}, then as {second}, and another follows")
def states_twice(context, header, value, second):
    async def work():
        reader, writer = await context.relay.connect()
        writer.write(stated(header, (value, second)))
        first = await read_answer(reader)
        writer.write(request("safe", 2))
        other = await read_answer(reader)
        writer.close()
        return first, other

    context.answer, context.other = context.loop.run(work())
