from behave import then
from behave import when
from relay_fixture import request


@when("the endpoint of a {kind} request is {state} as its answer ends")
def send_as_it_ends(context, kind, state):
    relay = context.relay

    def note(server):
        def set_state():
            setattr(relay.node.context.state.endpoints[server.name], state, True)

        return set_state

    for server in relay.servers:
        server.before_close = note(server)
    context.answer = context.loop.run(relay.ask(request(kind)))


@when("a stream is taken up after its event {number:d}")
def take_up(context, number):
    headers = (f"Last-Event-Id: {number}", "Resumes: q0")
    context.answer = context.loop.run(context.relay.ask(request("resumable", headers=headers)))


@then("no crash is recorded")
def no_crash(context):
    lines = [line for line in context.relay.log_lines if "event=verdict" in line]
    assert lines == [], lines
    suspects = context.relay.node.context.state.suspects
    assert not any(suspects.known(one) for one in _subjects(context)), "a request is suspected"


def _subjects(context):
    lines = [line for line in context.relay.log_lines if "event=attempt_began" in line]
    found = [line.partition(" fingerprint=")[2].split()[0] for line in lines]
    assert found
    return found
