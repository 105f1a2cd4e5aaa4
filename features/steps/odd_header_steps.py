from behave import then
from behave import when
from relay_fixture import TIMEOUT_MS
from relay_fixture import read_answer
from relay_fixture import request

from rookspring import defaults
from rookspring._client_connection import ClientConnection
from rookspring.digits import parse_digits
from rookspring.http_messages import HttpHead
from rookspring.http_messages import HttpRequest
from rookspring_platform import PlatformDialect

# Letters of Latin-1 that are no ASCII, and bytes that are no UTF-8.
ODD_ID = b"q\xe9\xff\xb2"


def written(value):
    """Return a value of the tables as it is sent."""
    for number in ("5000", "400", "21", "10"):
        value = value.replace(f"{number} digits", "9" * int(number))
    return value.replace("a digit of no ASCII", "\xb2")


@when("a caller's request has the header {header} with {value}, and another follows")
def odd_header(context, header, value):
    line = f"{header}: {written(value)}".encode("latin-1")

    async def work():
        relay = context.relay
        reader, writer = await relay.connect()
        raw = request("safe", 1, headers=("X-Odd: here",)).replace(b"X-Odd: here", line)
        writer.write(raw)
        first = await read_answer(reader)
        writer.write(request("safe", 2))
        other = await read_answer(reader)
        writer.close()
        return first, other

    context.answer, context.other = context.loop.run(work())


@then("the first gets 400 with the name of {header}, and never reaches the endpoint")
def names_header(context, header):
    answer = context.answer
    assert answer.status == 400 and answer.whole, answer.status
    assert answer.body.startswith(header.encode()), answer.body
    assert answer.headers["x-rookspring-request-id"] == "q1", answer.headers
    assert [one.request_id for one in context.relay.asked] in ([], ["q2"]), context.relay.asked
    lines = [line for line in context.relay.log_lines if "event=request_malformed" in line]
    assert len(lines) == 1 and f"id=q1 field={header} " in lines[0], lines


@then("the other is answered on the same connection")
def other_answered(context):
    assert context.other.status == 200 and context.other.body == b"answer to q2", context.other.body


@then(
    "both are answered, and the endpoint got no deadline more than 100 ms above that of the route"
)
def both_answered(context):
    assert context.answer.status == 200 and context.answer.body == b"answer to q1", (
        context.answer.status,
        context.answer.body,
    )
    other_answered(context)
    for one in context.relay.asked:
        assert int(one.headers["x-rookspring-deadline-ms"]) <= TIMEOUT_MS + 100, one.headers


@then("the part {part} has the id {number:d}")
def part_id(context, part, number):
    headers = (
        (b"X-Rookspring-Request-Id", b"q1"),
        (b"X-Rookspring-Prefix-Hash", f"{part}:1,a:2".encode()),
    )
    fields = PlatformDialect().read_request(HttpRequest(b"GET", b"/a", headers, b"", True))
    assert fields.prefix == number, fields.prefix
    assert fields.parts == ((number,) if number else ()), fields.parts


@when("a caller's request has an id with letters of no ASCII and an unknown route")
def odd_id(context):
    raw = request("none").replace(b"q1", ODD_ID)
    context.answer = context.loop.run(context.relay.ask(raw))


@then("its answer has the same id, byte for byte")
def same_id(context):
    found = context.answer.headers["x-rookspring-request-id"].encode("latin-1")
    assert context.answer.status == 404 and found == ODD_ID, (context.answer.status, found)


@then("the notice {header} of {value} is {read}")
def notice_read(context, header, value, read):
    head = HttpHead(503, ((header.encode(), written(value).encode()),))
    notice = PlatformDialect().read_notice(head)
    found = notice.backoff_s if header == "Retry-After" else notice.rate
    if read == "malformed":
        assert found is None and header.lower() in notice.malformed, notice
    else:
        assert found == float(read), notice


@then("{text} with {most:d} digits at most is {number}")
def digits_are(context, text, most, number):
    expected = None if number == "none" else int(number)
    assert parse_digits(text, most) == expected
    assert parse_digits(text.encode(), most) == expected


@then("a connection whose endpoint states an idle time of {value} is kept for {kept}")
def idle_time(context, value, kept):
    connection = ClientConnection()
    head = HttpHead(200, ((b"Keep-Alive", f"timeout={written(value)}".encode()),))
    connection._note_idle_timeout(head)
    expected = defaults.ENDPOINT_IDLE_DEFAULT_S
    if kept == "a share of 5 s":
        expected = 5 * defaults.ENDPOINT_IDLE_SHARE
    assert connection.idle_timeout_s == expected, connection.idle_timeout_s
