import asyncio
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
from place_node import PlaceNode

from rookspring import relay_places
from rookspring import relay_updates
from rookspring.messages import AskPlaces
from rookspring.messages import Prompts
from rookspring.metrics import Metrics
from rookspring_core.events import Ticked


class RecordingLink:
    def __init__(self, name):
        self.name = name
        self.items = []

    def send(self, item):
        self.items.append(item)


@given("an owner of an endpoint's places with a link to another node")
def owner_with_link(context):
    context.node = node = PlaceNode()
    node.state.membership.linked.add("p")
    node.submit(Ticked(node.now))
    context.link = RecordingLink("p")
    context.metrics = Metrics("n")
    loop = mock.Mock(spec=asyncio.AbstractEventLoop)
    context.peers = types.SimpleNamespace(
        context=types.SimpleNamespace(
            state=node.state, submit=node.submit, metrics=context.metrics, loop=loop
        ),
        server=types.SimpleNamespace(links={"p": context.link}),
    )


@when("that node asks for a place, and then sends that its prompts there were read")
def asks_and_reads(context):
    context.logged = []

    def note(event, **fields):
        context.logged.append((event, fields))

    asked = AskPlaces("p", "r9", "#e1", 2, "org", 3.0, 500, 600.0, True)
    with (
        mock.patch.object(relay_places, "log", note),
        mock.patch.object(relay_places.clock, "now", lambda: context.node.now),
        mock.patch.object(relay_updates.clock, "now", lambda: context.node.now),
    ):
        relay_places.handle_request(context.peers, asked, context.link)
        context.node.now += 0.06
        relay_updates.handle_prompts(context.peers, context.link, Prompts([["e1", 0]]))


@then("it is sent that the request waits, and then its place")
def place_sent(context):
    found = [(one.key, one.queue, one.endpoint) for one in context.link.items]
    assert found == [("r9", "#e1", ""), ("r9", "#e1", "e1")], found


@then("the owner's log and counters name the request, its rank and its organisation")
def logged(context):
    ((event, fields),) = context.logged
    assert event == "place_waits" and fields["work_ahead"] == 4000.0, fields
    assert (fields["key"], fields["rank"], fields["organisation"]) == ("r9", 2, "org")
    for name in ("asked", "waits", "granted"):
        assert context.metrics.places.get({"event": name, "rank": "2"}) == 1
