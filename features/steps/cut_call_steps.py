"""Answers to calls of the product's own and of its adapter, cut at each of their bytes."""

from answer_shapes import BODY
from answer_shapes import CHUNKS
from answer_shapes import END
from answer_shapes import FAULTY
from answer_shapes import INTERIM
from behave import then
from behave import when
from cut_calls import CALLS
from cut_calls import call_service
from raw_server import RawAnswer
from raw_server import RawServer

HEAD_END = b"\r\n\r\n"


def frame(value, framing, status):
    """Return an answer with a body, framed in one of the ways."""
    head = b"HTTP/1.1 %d X\r\n" % status
    length = head + b"Content-Length: %d\r\n\r\n" % len(value) + value
    return {
        "with a length": length,
        "after an interim head": INTERIM + length,
        "in chunks": head + CHUNKS + END + b"%x\r\n%b\r\n0\r\n\r\n" % (len(value), value),
        "without a length": head + END + value,
    }[framing]


@when("the answer {framing} to {name} is cut after each byte")
def cut_call(context, name, framing):
    context.call = CALLS[name]
    context.data = frame(context.call.value, framing, context.call.status)

    async def work():
        context.raw = await RawServer().start()
        counted = []
        for sent in range(len(context.data) + 1):
            context.raw.answer = RawAnswer(context.data[:sent])
            counted.append(await context.call.make(context))
        await context.raw.close()
        return counted

    context.counted = context.loop.run(work())


@then("it counts as none before {end}, and as one with it")
def counts_with(context, end):
    data = context.data
    value = context.call.value
    first = {
        "its last byte": len(data),
        "the end of its head": data.index(HEAD_END) + len(HEAD_END),
        "the end of its value": data.index(value) + len(value),
    }[end]
    wrong = [sent for sent, whole in enumerate(context.counted) if whole != (sent >= first)]
    assert not wrong, [(sent, data[:sent][-30:]) for sent in wrong[:5]]


# The library of the product's own clients reads these lines; their length shows the end.
FAULTY_LINES = {
    "with a folded line",
    "with bare line feeds",
    "with a bare line feed at the end of its head",
}


@when("the answer to the product's own service call is each of the faulty ones")
def faulty_service_call(context):
    async def work():
        context.raw = await RawServer().start()
        taken = {}
        for name, data in FAULTY.items():
            context.raw.answer = RawAnswer(data)
            if (answer := await call_service(context)) is not None:
                taken[name] = answer
        await context.raw.close()
        return taken

    context.taken = context.loop.run(work())


@then("none is taken but those whose lines alone are faulty, which are whole")
def none_taken(context):
    wrong = context.taken.keys() - FAULTY_LINES
    assert not wrong, {name: context.taken[name] for name in wrong}
    bodies = {answer.body for answer in context.taken.values()}
    assert bodies <= {BODY}, context.taken


# JSON values, each of which is no answer to a call of the product's own.
OTHER_VALUES = (b"null", b"7", b'"x"', b"[]", b"[[7]]", b"true")


@when("the product's own {name} is answered with each JSON value of another shape")
def answer_otherwise(context, name):
    made = CALLS[f"the product's own {name}"]

    async def work():
        context.raw = await RawServer().start()
        counted = []
        for value in OTHER_VALUES:
            context.raw.answer = RawAnswer(frame(value + b"\n", "with a length", made.status))
            counted.append(await made.make(context))
        await context.raw.close()
        return counted

    context.counted = context.loop.run(work())


@then("each counts as none")
def each_none(context):
    assert not any(context.counted), context.counted
