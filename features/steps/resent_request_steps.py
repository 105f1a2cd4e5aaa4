from behave import given
from behave import then
from behave import when
from relay_fixture import configuration
from relay_fixture import request
from still_transport import StillTransport

from rookspring.http_client import ClientConnection

# Greater than the versions that other steps write.
VERSION = 50


@given("its routes allow {attempts:d} attempts, and it asks for no rest")
def routes_allow(context, attempts):
    relay = context.relay
    raw = configuration(VERSION)
    for route in raw["routes"]:
        route["max-attempts"] = attempts

    async def work():
        await relay.store.write("config", "main", raw)
        await relay.until(lambda: relay.node.context.state.revision == VERSION)

    context.loop.run(work())
    for server in relay.servers:
        server.extra_header_lines.append("Retry-After: 0")


@when("a caller sends an unsafe request that is refused, and sends it again")
def send_again(context):
    refused = context.loop.run(context.relay.ask(request("unsafe")))
    assert refused.status == 503, refused.status
    context.answer = context.loop.run(context.relay.ask(request("unsafe")))


@then("the endpoint was connected to {number:d} times")
def connected_times(context, number):
    (server,) = context.relay.servers
    assert server.connections == number, server.connections


@given("a connection to an endpoint")
def connection_to_endpoint(context):
    context.client = ClientConnection()
    context.transport = StillTransport(context.client)


@when("{number:d} requests are sent on it and answered, one after another")
def send_and_answer(context, number):
    for one in range(number):
        reply = context.client.send_request(
            b"GET / HTTP/1.1\r\n\r\n", lambda head: True, lambda head: None, False, f"q{one}"
        )
        context.transport.deliver(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert reply.complete, reply.failure
    context.last = number - 1


@then("it knows the first and the last of them, and no other")
def knows_requests(context):
    client = context.client
    assert client.has_carried("q0") and client.has_carried(f"q{context.last}")
    assert not client.has_carried(f"q{context.last + 1}") and not client.has_carried("")


@then("it is left {state}")
def connection_state(context, state):
    assert context.transport.closed == (state == "closed")
