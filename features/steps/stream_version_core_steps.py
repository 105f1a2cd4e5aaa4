from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness
from relay_harness import make_route

from rookspring.dialect import RequestFields
from rookspring.http_messages import HttpRequest
from rookspring.relay import RelayExchange
from rookspring_core import defaults
from rookspring_core import stream_origins
from rookspring_core.effects import AskSlot
from rookspring_core.effects import TellOrigin
from rookspring_core.effects import WriteLease
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import FormerVersionsMissed
from rookspring_core.events import FormerVersionsRead
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.events import PlatformAnswered
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.events import StoreRead
from rookspring_core.events import StoreUnread
from rookspring_core.events import Ticked
from rookspring_core.routes import Split
from rookspring_core.stream_versions import StreamOrigin
from rookspring_core.stream_versions import StreamVersions

BORN_MS = 1_700_000_000_000
# Longer than any time of a scenario, in seconds.
LONG_S = 20.0


class VersionHarness(RelayHarness):
    """A relaying node with plain endpoints of several versions."""

    def __init__(self, text, started_ms=0):
        self.given = []
        super().__init__()
        self.started_ms = started_ms
        self.rows = {}
        for part in text.split(", "):
            name, _, version, *how = part.split()
            self.rows[name] = ("" if version == "none" else version, *how)
        self.list_all()
        for name in self.rows:
            self.submit(self.report(name, slots=1, started_ms=started_ms))

    def list_all(self, **changed):
        rows = tuple(
            BoxListed(name, name, "z", "service", "live", "svc", 0.0, self.started_ms, version)
            for name, (version, *_) in self.rows.items()
        )
        rows = tuple(changed.get(row.name, row) for row in rows)
        self.submit(BoxListReceived(self.now, rows))

    def perform(self, effect):
        self.given.append(effect)

    def stream(self, key="s1", version=None):
        """Have a resumable stream arrive."""
        self.submit(
            RequestArrived(
                self.now,
                key,
                "",
                "svc",
                True,
                deadline_at=self.now + 5.0,
                tokens=10,
                stream=True,
                route=RouteTerms("r", "svc", 1, 1, 3, 0.1, 0.4),
                version=version,
                stream_id=f"caller-{key}",
                resumable_until=self.now + 5.0,
            )
        )

    def begin(self, key, endpoint):
        """Have a stream begin at an endpoint: of all it is the only one that takes work."""
        others = [view for view in self.state.endpoints.values() if view.name != endpoint]
        for view in others:
            view.ejected_until = self.now + 1.0
        self.stream(key)
        for view in others:
            view.ejected_until = -1e9
        last = self.sent[-1]
        assert last.endpoint == endpoint, last
        self.submit(AttemptStarted(self.now, key, last.attempt))

    def set_conditions(self):
        """Have endpoints leave, or run other nodes' requests, as the scenario gives it."""
        self.now += 0.01
        for name, (_, *how) in self.rows.items():
            if "leaving" in how:
                self.state.endpoints[name].leaving = True
            if "full" in how:
                report = self.report(name, slots=1, started_ms=self.started_ms)
                self.submit(report._replace(running=1))

    def break_off(self, key, events):
        last = [one for one in self.sent if one.request_id == key][-1]
        if events:
            self.submit(AttemptProgressed(self.now, key, last.attempt, events))
        self.now += 0.01
        failed = AttemptFailed(self.now, key, last.attempt, True, False, "connection closed")
        self.submit(failed._replace(broken=True))

    def sent_to(self, key):
        return [one.endpoint for one in self.sent if one.request_id == key]


@given("a node with the endpoints: {endpoints}, each with its start time")
def node_with_starts(context, endpoints):
    context.node = VersionHarness(endpoints, BORN_MS)


@given("a node with the endpoints: {endpoints}")
def node_with_versions(context, endpoints):
    context.node = VersionHarness(endpoints)


@when("entries were last asked for {asked_s:g} s ago, and the store {state}")
def entries_asked(context, asked_s, state):
    node = context.node
    node.now += LONG_S
    now = node.now
    for at, reachable in _calls(state, now):
        node.submit(StoreRead(at, at - 0.1) if reachable else StoreUnread(at))
    if "away" in state:
        node.state.topology.asked_at = now - asked_s
    else:
        node.submit(StoreRead(now, now - asked_s))


def _calls(state, now):
    """Return when calls of the store were made, and whether they were answered."""
    words = state.split()
    if "away since" in state:
        since = float(words[-2])
        return [(now - since - 5.0, True), (now - since, False)]
    if "back since" in state:
        since, lasted = float(words[3]), float(words[-2])
        return [
            (now - since - lasted - 5.0, True),
            (now - since - lasted, False),
            (now - since, True),
        ]
    if "away again" in state:
        return [(now - 8.0, True), (now - 3.0, False), (now - 2.0, True), (now - 1.0, False)]
    return []


@when("a call of the store for nodes fails")
def other_call_fails(context):
    node = context.node
    node.submit(PlatformAnswered(node.now, False))


@when("a resumable stream begins at a1 and breaks off, and each endpoint is doubted as it is tried")
def each_doubted(context):
    node = context.node
    node.begin("s1", "a1")
    node.break_off("s1", 3)
    while "s1" in node.state.requests:
        tried = node.sent[-1]
        node.now += 0.001
        failed = AttemptFailed(node.now, "s1", tried.attempt, False, False, "doubted")
        node.submit(failed._replace(withheld=True, doubted=True))


@then("each of v1 was tried once, and it ends as {status:d} {outcome}: {reason}")
def tried_once(context, status, outcome, reason):
    assert sorted(context.node.sent_to("s1")[1:]) == ["a1", "a2", "a3"], context.node.sent_to("s1")
    found = [(one.status, one.outcome, one.reason) for one in context.node.refused]
    assert found == [(status, outcome, reason)], found


@then("a connection that was opened {opened_s:g} s ago {leads}")
def connection_leads(context, opened_s, leads):
    node = context.node
    if "once a1 has reported" in leads:
        assert _may_be_another(node, opened_s)
        node.submit(node.report("a1", slots=1, started_ms=BORN_MS))
    assert _may_be_another(node, opened_s) == ("another" in leads)


def _may_be_another(node, opened_s):
    view = node.state.endpoints["a1"]
    return stream_origins.may_be_another(node.state, view, node.now - opened_s)


@when("a resumable stream begins at a1 on a new connection and breaks off after {events:d} events")
def begins_anew_and_breaks_off(context, events):
    node = context.node
    node.begin("s1", "a1")
    node.submit(AttemptStarted(node.now, "s1", node.sent[-1].attempt, node.now))
    node.break_off("s1", events)


@when("a stream is chosen to go to a1, which is listed at {version} as it is sent, and breaks off")
def listed_as_sent(context, version):
    node = context.node
    node.submit(StoreRead(node.now, node.now))
    node.begin("s1", "a1")
    node.rows["a1"] = (version,)
    node.list_all()
    node.submit(AttemptStarted(node.now, "s1", node.sent[-1].attempt, node.now))
    node.break_off("s1", 3)


@when("a stream begins at a1 on a connection of {opened_s:g} s, and {asked_s:g} s later {trouble}")
def trouble_found_later(context, opened_s, asked_s, trouble):
    node = context.node
    node.submit(StoreRead(node.now, node.now))
    node.now += 0.2
    node.begin("s1", "a1")
    node.submit(AttemptStarted(node.now, "s1", node.sent[-1].attempt, node.now - opened_s))
    node.submit(AttemptProgressed(node.now, "s1", node.sent[-1].attempt, 3))
    node.now += asked_s
    if "fail" in trouble:
        node.submit(StoreUnread(node.now))
    elif "read" in trouble:
        node.submit(StoreRead(node.now, node.now - 0.1))
    node.break_off("s1", 0)


@when("a resumable stream begins at a1 and breaks off after {events:d} events")
def breaks_off(context, events):
    node = context.node
    node.begin("s1", "a1")
    node.set_conditions()
    node.break_off("s1", events)


@when("a resumable stream begins at a1 and breaks off, and a2 {then_}")
def breaks_off_and(context, then_):
    node = context.node
    node.begin("s1", "a1")
    node.set_conditions()
    view = node.state.endpoints["a2"]
    node.now += 0.1
    if "refused" in then_:
        view.mark_down(node.now)
        view.ejected_until = -1e9
        view.down = False
        node.now += 0.1
    if "reports" in then_:
        later = BORN_MS + (5 if "a later" in then_ else 0)
        node.submit(node.report("a2", slots=1, started_ms=later))
    if "is listed" in then_:
        row = BoxListed("a2", "a2", "z", "service", "live", "svc", 0.0, BORN_MS + 5, "v2")
        node.list_all(a2=row)
        node.submit(node.report("a2", slots=1, started_ms=BORN_MS + 5))
    node.break_off("s1", 3)


@when("a resumable stream begins at a1 and breaks off, and owners grant slots")
def breaks_off_with_slots(context):
    node = context.node
    node.begin("s1", "a1")
    node.state.slots_by_owner = True
    node.break_off("s1", 3)


@then("it goes on at {endpoint}")
def goes_on_at(context, endpoint):
    assert context.node.sent_to("s1") == ["a1", endpoint], context.node.sent


@then("it ends as {status:d} {outcome}: {reason}")
def stream_ended(context, status, outcome, reason):
    found = [(one.status, one.outcome, one.reason) for one in context.node.refused]
    assert found == [(status, outcome, reason)], found
    assert context.node.sent_to("s1") == ["a1"]


@then("it waits")
def stream_waits(context):
    node = context.node
    assert node.sent_to("s1") == ["a1"] and not node.refused
    assert not node.state.requests["s1"].running


@when("another request for the same target arrives")
def another_arrives(context):
    context.node.stream("s2")


@then("the other one is sent to {endpoint}, and the stream waits")
def other_sent(context, endpoint):
    assert context.node.sent_to("s2") == [endpoint]
    stream_waits(context)


@then("no owner is asked, and it goes on at {endpoint}")
def no_owner_asked(context, endpoint):
    assert not [one for one in context.node.given if isinstance(one, AskSlot)]
    goes_on_at(context, endpoint)


@when("a1 is gone for {seconds:d} s")
def endpoint_gone(context, seconds):
    node = context.node
    del node.rows["a1"]
    node.list_all()
    for _ in range(seconds):
        node.now += 1.0
        node.submit(Ticked(node.now))
    assert defaults.STREAM_KEPT_S == 120.0


@then("the service has {how_many}")
def service_has(context, how_many):
    found = context.node.state.stream_versions.has_several("svc", context.node.now)
    assert found == (how_many == "several versions")


@when("a resumable stream is sent to a1 and has brought {events:d} events")
def stream_sent(context, events):
    context.node.begin("s1", "a1")
    has_brought(context, events)


@when("it has brought {events:d} events")
def has_brought(context, events):
    node = context.node
    last = [one for one in node.sent if one.request_id == "s1"][-1]
    for _ in range(events):
        node.submit(AttemptProgressed(node.now, "s1", last.attempt, 1))


@when("an endpoint of v2 is listed")
def second_version(context):
    node = context.node
    assert not [one for one in node.given if isinstance(one, TellOrigin)]
    node.rows["b2"] = ("v2",)
    node.list_all()


@then("its owners were told {what}")
def owners_told(context, what):
    node = context.node
    told = [one for one in node.given if isinstance(one, TellOrigin)]
    if what == "nothing":
        assert not told, told
        return
    (one,) = told
    assert one.stream == "caller-s1" and one.version == what.split()[0], one
    assert 4.9 < one.kept_s <= 5.0, one


@then("owners hear of {first}, and then of {second}")
def owners_told_again(context, first, second):
    told = [one.version for one in context.node.given if isinstance(one, TellOrigin)]
    assert told == [first, second], told


@when("origins are kept: {kept}")
def origins_kept(context, kept):
    context.versions = versions = StreamVersions()
    context.now = 0.0
    for part in kept.split(", "):
        words = part.split()
        if words[0] == "then":
            context.now += float(words[1])
            versions.tick(context.now)
        elif words[1] == "others":
            for number in range(int(words[0])):
                versions.keep(StreamOrigin(f"o{number}", "v9", float(words[3])), context.now)
        else:
            versions.keep(StreamOrigin(words[0], words[2], float(words[4])), context.now)


@then("{stream} began at {version}")
def began_at(context, stream, version):
    found = context.versions.find(stream, context.now)
    assert found == (None if version == "unknown" else version), found


@given("a resumable route whose requests go to two services alike")
def split_route(context):
    splits = (Split("one", 1.0), Split("two", 1.0))
    context.route = make_route(kind="stream", splits=splits)._replace(resumable=True)


@then("{count:d} tries that take up streams go to the services that began them")
def same_service(context, count):
    request = HttpRequest(b"POST", b"/a/x", (), b"", True)
    blank = RequestFields("", "h", "/a/x", None, "", "", 0, 0, 0, "")

    def service_of(**changed):
        fields = blank._replace(**changed)
        return RelayExchange(None, request, fields, context.route, 0.0).service

    began = [service_of(request_id=f"q{number}") for number in range(count)]
    assert set(began) == {"one", "two"}
    taken_up = [
        service_of(request_id=f"r{number}", resumes=f"q{number}") for number in range(count)
    ]
    assert taken_up == began


@when(
    "it has run for {ran:d} s, the store tells {told}, and an owner replies that has run for "
    "{old:d} s"
)
def told_of_former(context, ran, told, old):
    node = context.node
    node.state.started_at = node.now - ran
    node.submit(
        HeartbeatReceived(
            node.now, "owner", "owner#1", "peer", "at", "z", 1, False, uptime_s=float(old)
        )
    )
    rows = told.split(", then ")
    if rows[0] != "nothing":
        node.submit(FormerVersionsRead(node.now, read_told(rows[0])))
    if not stream_origins.knows_former(node.state, ["owner"]):
        node.submit(FormerVersionsMissed(node.now, "svc"))
    if len(rows) > 1:
        node.submit(FormerVersionsRead(node.now, read_told(rows[1])))


def read_told(text):
    """Return the services of several versions in a text such as ``of svc for 60 s``."""
    words = text.split()
    return ((words[1], float(words[3])),) if "for" in words else ()


@then("a stream that nobody knows finds {how_many}")
def finds(context, how_many):
    service_has(context, how_many)


@when("{change} at the lease's holder, and {seconds:d} s pass")
def changes_at_holder(context, change, seconds):
    node = context.node
    if change == "a1 goes":
        del node.rows["a1"]
        node.list_all()
    elif "svc for" in change:
        node.submit(FormerVersionsRead(node.now, read_told(change[change.index("stored") :])))
    for _ in range(seconds):
        node.now += 1.0
        node.submit(Ticked(node.now))


@then("it stores {several}")
def holder_stores(context, several):
    left = context.node.state.stream_versions.several_left(context.node.now)
    expected = {} if several == "nothing" else dict(read_told(f"of {several}"))
    assert {name: round(left_s, 1) for name, left_s in left.items()} == expected, left


@when("it holds the lease, and an endpoint of v2 is listed right after a renewal")
def second_listed(context):
    node = context.node
    node.submit(LeaseSeen(node.now, 0, "", 0, ""))
    node.submit(Ticked(node.now))
    written = next(one for one in node.given if isinstance(one, WriteLease))
    node.submit(LeaseWritten(node.now, node.now, written.nonce, True, 1))
    node.submit(Ticked(node.now + 0.1))
    node.given.clear()
    node.rows["b2"] = ("v2",)
    node.list_all()


@then("the next tick writes the lease again")
def written_again(context):
    node = context.node
    node.submit(Ticked(node.now + 0.2))
    assert [one for one in node.given if isinstance(one, WriteLease)], node.given


@when("another node tells of several versions, and no entry of the service is known")
def told_of_several(context):
    context.versions = StreamVersions()
    context.versions.note_several("svc", 1.0)


@then("what is known is that several versions serve")
def several_known(context):
    assert context.versions.has_several("svc", 1.1)
