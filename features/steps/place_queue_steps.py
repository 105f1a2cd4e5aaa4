from behave import given
from behave import then
from behave import when

from rookspring_core import defaults
from rookspring_core.place_queues import PlaceQueue
from rookspring_core.place_queues import Room
from rookspring_core.slot_queues import PlaceTerms
from rookspring_core.slot_queues import SlotRequest

FULL = Room(4000, 4096.0, 8.0, 8)
FREE = Room(0, 4096.0, 8.0, 8)
BEARING = FULL._replace(pause_s=0.4)
BEARING_TWICE = BEARING._replace(unread=8000)
# With that much to read the next prompt is begun in time, and a second one is kept back.
NEXT = Room(400, 4096.0, 8.0, 8)


def request_of(key, rank=1, organisation="", wait_s=9.0):
    terms = PlaceTerms(1200, 1400.0)
    return SlotRequest("n", key, rank, organisation, wait_s, place=terms)


@given("an owner's queue at an endpoint that {endpoint}")
def owner_queue(context, endpoint):
    context.queue = queue = PlaceQueue()
    context.now = 10.0
    rooms = {
        "is full": FULL,
        "is full, and whose pace was measured": FULL,
        "is full for nodes, but not in the pause that its streams bear": BEARING,
        "is full twice, and reads it in the pause that its streams bear": BEARING_TWICE,
        "becomes unusable": FULL,
        "has no free slot": FREE._replace(free_slots=0.0),
        "is unusable": None,
    }
    since = context.now if endpoint == "had another owner until now" else -1e9
    queue.set_room(rooms.get(endpoint, FREE), since)
    if "measured" in endpoint or "pause" in endpoint:
        queue._meter.advance(context.now - 1.0, False)
        queue._meter.add(40_000)
        queue._meter.advance(context.now, True)
    if "died" in endpoint:
        context.queue.set_room(FREE._replace(unread_max=2000.0))
        (answer,) = queue.request_place(request_of("lost"), context.now)
        assert answer.outcome == "granted"


@when("requests come: {texts}")
def requests_come(context, texts):
    for text in texts.split(", "):
        if text.startswith("after"):
            context.now += float(text.split()[1])
            context.queue.process_waiting(context.now)
        elif text.endswith("leaves"):
            context.queue.free("n", text.split()[0], 0.0, True, context.now)
        else:
            key, rank, organisation, wait_s = (text.split(":") + ["", ""])[:4]
            asked = request_of(key, int(rank), organisation, float(wait_s or 9.0))
            (answer,) = context.queue.request_place(asked, context.now)
            assert answer.outcome == "waits", answer


@then("they are granted places in the order {keys}")
def order_is(context, keys):
    queue = context.queue
    found = []
    for _ in range(9):
        # One at a time: each is read before the next one is looked for.
        queue.set_room(NEXT._replace(unread_max=1700.0))
        answers = queue.process_waiting(context.now)
        granted = [one.request.key for one in answers if one.outcome == "granted"]
        assert len(granted) <= 1, granted
        found += granted
        for key in granted:
            queue.set_room(FULL)
            queue.free("n", key, 0.0, True, context.now)
    assert ", ".join(found) == keys, found


@then("a request that may wait for {wait_s:g} s {answer}")
def answered(context, wait_s, answer):
    queue, now = context.queue, context.now
    (first,) = queue.request_place(request_of("r", wait_s=wait_s), now)
    outcome = {"is granted a place": "granted", "waits": "waits"}
    if answer == "is granted a place after 0.05 s":
        assert first.outcome == "waits", first
        assert not granted_keys(queue.process_waiting(now + 0.04))
        assert granted_keys(queue.process_waiting(now + 0.06)) == ["r"]
    elif answer == "waits, and is refused as unknown":
        queue.set_room(None)
        (second,) = queue.process_waiting(now + 0.01)
        assert (first.outcome, second.outcome, second.blind) == ("waits", "refused", True)
    elif answer in outcome:
        assert first.outcome == outcome[answer], first
    else:
        blind = "unknown" in answer
        assert first.outcome == "refused" and first.blind == blind, first
        assert 0.5 <= first.after_s <= 3.0, first


def granted_keys(answers):
    return [one.request.key for one in answers if one.outcome == "granted"]


@given("two owners' queues at an endpoint that has room")
def two_queues(context):
    context.queues = [PlaceQueue(), PlaceQueue()]
    for queue in context.queues:
        queue.set_room(FREE)


@when("each gets 40 requests at once")
def forty(context):
    context.granted = [
        one
        for queue in context.queues
        for number in range(40)
        for one in granted_keys(queue.request_place(request_of(str(number)), 10.0))
    ]


@then("they grant at most twice what it may have to read")
def twice_at_most(context):
    assert 0 < len(context.granted) * 1200 <= 2 * defaults.UNREAD_TOKENS_MAX
