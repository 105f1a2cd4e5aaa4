import orjson
from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import given as drawn
from hypothesis import settings as drawing
from hypothesis import strategies
from key_stories import KEYS
from key_stories import KeyStory
from key_stories import directory_of
from key_stories import troubles
from relay_harness import RelayHarness
from relay_harness import make_route
from relay_harness import make_table

from rookspring import defaults
from rookspring import relay
from rookspring.dialect import ForwardFields
from rookspring.http_messages import HttpRequest
from rookspring.platform import StoredObject
from rookspring_core import keys
from rookspring_core.events import NearLimitReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import RouteTerms
from rookspring_core.events import TableProved
from rookspring_core.freshness import Freshness
from rookspring_core.freshness import ProofTerms
from rookspring_core.organisations import digest_of
from rookspring_platform import PlatformDialect
from rookspring_platform import configuration

TENANTS = [
    {
        "name": "org-a",
        "api-keys": ["key-a1", "key-a2"],
        "priority": 0,
        "unit": "tokens",
        "plain-tokens": 200,
        "rate-per-s": 100,
        "burst": 50,
    },
    {"name": "org-b", "api-keys": ["key-b1"], "unit": "tokens"},
]


def raw_table(tenants=None):
    raw = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "path-prefix": "/a/",
                "type": "safe",
                "timeout-ms": 5000,
                "priority": 1,
                "service": "svc",
                "max-attempts": 2,
            }
        ],
        "services": [{"name": "svc"}],
        "limits": {
            "max-header-bytes": 8192,
            "max-body-bytes": 4096,
            "header-timeout-ms": 500,
            "idle-timeout-ms": 2000,
        },
    }
    if tenants is not None:
        raw["tenants"] = tenants
    return raw


def read_raw(raw):
    return configuration.read_table(StoredObject("main", 3, raw))


def relay_node_with(table):
    node = RelayHarness()
    node.state.table = None
    node.state.proof_terms = ProofTerms(5.0)
    node.submit(RouteTableSeen(node.now, table))
    node.submit(TableProved(node.now, node.now, table.version))
    node.submit(NearLimitReceived(node.now, node.now, ()))
    return node


def make_request(lines):
    rows = [tuple(part.encode() for part in line.split(": ", 1)) for line in lines]
    rows = [row if len(row) == 2 else (row[0], b"") for row in rows]
    rows.append((b"X-Rookspring-Request-Id", b"q1"))
    rows.append((b"Host", b"h"))
    return HttpRequest(b"GET", b"/a/x", tuple(rows), b"", True)


def judge(node, request):
    ask = PlatformDialect().read_request(request)
    route = node.state.table.match(ask.host, ask.path)
    return keys.check_key(node.state, route, ask.key, node.now, node.now)


@given("a configuration {which} organisations")
def with_organisations(context, which):
    table = read_raw(raw_table(TENANTS if which == "with" else None))
    context.node = relay_node_with(table)


@when("a request arrives with the headers: {headers}")
def request_arrives(context, headers):
    request = make_request(headers.replace("\\|", "|").split("|"))
    context.verdict = judge(context.node, request)


@then("it belongs to {name}")
def belongs_to(context, name):
    assert context.verdict.status == 0, context.verdict
    assert context.verdict.organisation.name == name


@then("it is refused {status:d} {reason}")
def is_refused(context, status, reason):
    assert (context.verdict.status, context.verdict.reason) == (status, reason), context.verdict


@when(
    "a request with an unknown key arrives {seconds:g} s "
    "after the configuration was proved the newest"
)
def unknown_key_arrives(context, seconds):
    node = context.node
    node.now += seconds
    context.asked_at = node.now
    context.digest = digest_of(b"key-new")
    context.route = node.state.table.match("h", "/a/x")
    context.verdict = keys.check_key(
        node.state, context.route, context.digest, context.asked_at, node.now
    )


@then("it waits for a newer proof")
def waits_for_newer(context):
    assert context.verdict.may_wait and context.verdict.status == 503, context.verdict


@then("once the configuration was proved the newest after its arrival, it gets 401")
def refused_once_proved(context):
    node = context.node
    node.now += 0.6
    node.submit(TableProved(node.now, context.asked_at + 0.1, 7))
    verdict = keys.check_key(node.state, context.route, context.digest, context.asked_at, node.now)
    assert (verdict.status, verdict.may_wait) == (401, False), verdict


@then("{number:d} random header lines assign it to the organisation of the whole key, or to none")
def drawn_headers(context, number):
    key = strategies.sampled_from([*KEYS, "key-a", "key-a11", "KEY-A1"])
    scheme = strategies.sampled_from(["Token", "token", "TOKEN", "Bearer", "Token Token", ""])
    gap = strategies.sampled_from([" ", "  ", "\t", "", ","])
    extra = strategies.text(strategies.characters(max_codepoint=255, exclude_characters="\r\n:"))

    @drawing(
        max_examples=number,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(scheme, gap, key, extra)
    def check(scheme, gap, key, extra):
        value = f"{scheme}{gap}{key}{extra}"
        rows = (
            (b"authorization", value.encode("latin-1")),
            (b"X-Rookspring-Tenant", b"org-b"),
            (b"Host", b"h"),
            (b"X-Rookspring-Request-Id", b"q1"),
        )
        verdict = judge(context.node, HttpRequest(b"GET", b"/a/x", rows, b"", True))
        if verdict.status == 0:
            whole = value.encode("latin-1").strip().split(b" ", 1)[1].strip().decode("latin-1")
            assert KEYS[whole] == verdict.organisation.name

    check()


@when(
    "a request of {whose} is sent to an endpoint, "
    "with a key and another organisation's name in its headers"
)
def sent_to_endpoint(context, whose):
    rows = (
        (b"Authorization", b"Token key-a1"),
        (b"x-rookspring-tenant", b"org-b"),
        (b"X-Other", b"1"),
    )
    name = "" if whose == "nobody" else whose
    keyed = context.node.state.table.directory is not None
    fields = ForwardFields(1.0, "i1", 1, "", name, keyed)
    headers = PlatformDialect().forward_headers(rows, fields)
    context.seen = [(key.lower(), value) for key, value in headers]


@then("the endpoint receives {seen}")
def endpoint_receives(context, seen):
    expected = {
        "the name org-a": ([b"org-a"], []),
        "neither": ([], []),
        "the key alone": ([], [b"Token key-a1"]),
    }[seen]
    names = [value for key, value in context.seen if key == b"x-rookspring-tenant"]
    held = [value for key, value in context.seen if key == b"authorization"]
    assert (names, held) == expected, context.seen
    assert (b"x-other", b"1") in context.seen


@when("a configuration arrives in which {field} is {value}")
def configuration_arrives(context, field, value):
    tenants = [dict(TENANTS[0]), TENANTS[1]]
    tenants[0][field] = orjson.loads(value)
    context.error = None
    try:
        read_raw(raw_table(tenants))
    except ValueError as error:
        context.error = str(error)


@then("it is rejected as malformed, and the error names {named} and no key")
def is_malformed(context, named):
    assert context.error and named in context.error, context.error
    assert not any(key in context.error for key in KEYS), context.error


@then("a request of org-a on a route of rank 1 has rank 0, and one of org-b rank 1")
def organisation_ranks(context):
    table = context.node.state.table
    route = table.match("h", "/a/x")
    request = make_request([])
    ask = PlatformDialect().read_request(request)
    found = [
        relay.RelayExchange(None, request, ask, route, 0.0, table.directory.by_name[name]).rank
        for name in ("org-a", "org-b")
    ]
    assert found == [0, 1], found


# Revoked keys.


@given("{nodes:d} relay nodes with organisations that have run for {seconds:g} s")
def nodes_with_organisations(context, nodes, seconds):
    context.story = KeyStory(nodes)
    context.story.fleet.run(seconds)


@when("{trouble} for {seconds:g} s, and a key is revoked 1 s later")
def key_revoked(context, trouble, seconds):
    story = context.story
    end = troubles[trouble](story.fleet)
    story.run(1.0)
    story.take("key-a1")
    story.run(seconds - 1.0)
    end()
    story.run(4.0)


@then("no node accepts that key more than {seconds:g} s after it was revoked")
def no_node_accepts(context, seconds):
    assert context.story.checks > 0
    assert not context.story.wrong, context.story.wrong[:3]


@then(
    "{seconds:g} s after the fault each node accepts the remaining keys, "
    "and refuses that one with 401"
)
def accepts_remaining(context, seconds):
    story = context.story
    # A request with an unknown key waits for this long before it is refused with 401.
    asked_at = story.fleet.now
    story.run(defaults.KEY_WAIT_S)
    found = {node.name: story.statuses(node, asked_at) for node in story.fleet.live()}
    assert len(found) > 1
    wrong = {name: one for name, one in found.items() if one != {"key-a1": 401, "key-b1": 0}}
    assert not wrong, wrong


@then("{number:d} random runs of {nodes:d} nodes never accept a key after its bound")
def random_runs(context, number, nodes):
    act = strategies.sampled_from([*troubles, "take", "give", "pass on", "end", "end"])
    acts = strategies.lists(strategies.tuples(act, strategies.integers(1, 30)), max_size=12)

    @drawing(
        max_examples=number,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(acts)
    def check(acts):
        story = KeyStory(nodes)
        story.run(4.0)
        story.play(acts)
        assert not story.wrong, story.wrong[:3]

    check()


@given("a node whose configuration was proved the newest at {at:g} s")
def proved_at(context, at):
    context.freshness = Freshness()
    context.freshness.record_proof(at, 5, 5)


@when(
    "at {now:g} s an answer arrives to a question of {stamp:g} s, "
    "with a proof that was {age:g} s old"
)
def answer_arrives(context, now, stamp, age):
    node = RelayHarness()
    node.submit(RouteTableSeen(now, make_table(version=5)))
    node.submit(TableProved(now, stamp - age, 5))
    context.node = node
    context.freshness.record_proof(stamp - age, 5, 5)


@then("it is proved at {at:g} s")
def is_proved_at(context, at):
    assert context.freshness.proved_at == at
    assert context.node.state.freshness.proved_at == at


@then("a proof of version 9, asked for at {stamp:g} s, counts only once version 9 is in force")
def proof_of_newer_version(context, stamp):
    node = context.node
    before = node.state.freshness.proved_at
    node.submit(TableProved(stamp + 3, stamp, 9))
    assert node.state.freshness.proved_at == before
    node.submit(RouteTableSeen(stamp + 3, make_table(version=9)))
    assert node.state.freshness.proved_at == stamp


@given("a relaying node with organisations and a request of org-a that waits")
def request_waits(context):
    table = make_table(2, [make_route()])._replace(directory=directory_of(KEYS))
    node = context.node = relay_node_with(table)
    node.list_endpoints(["e"], "svc", "service")
    terms = RouteTerms("r", "svc", 2, 1, 1, 9.0, 9.0)
    node.submit(node.report("e", slots=1))
    first = RequestArrived(node.now, "r0", "", "svc", True, deadline_at=node.now + 20, route=terms)
    node.submit(first)
    digest = digest_of(b"key-a1")
    node.submit(
        first._replace(request_id="r1", team="org-a", key=digest, declared_tokens=700),
    )
    assert [one.request_id for one in node.sent] == ["r0"], node.sent
    assert node.state.allotments.usage(node.now) == {"org-a": 700.0}


@when("its key is revoked, and an endpoint has room")
def revoked_then_room(context):
    node = context.node
    holders = {key: name for key, name in KEYS.items() if key != "key-a1"}
    table = make_table(3, [make_route()])._replace(directory=directory_of(holders))
    node.submit(RouteTableSeen(node.now, table))
    node.submit(TableProved(node.now, node.now, 3))
    node.list_endpoints(["e", "f"], "svc", "service")
    node.submit(node.report("f", slots=1))


@when("the configuration has not been proved for 5 s, and an endpoint has room")
def unproved_then_room(context):
    node = context.node
    node.now += 5.0
    node.list_endpoints(["e", "f"], "svc", "service")
    node.submit(node.report("f", slots=1))


@then("it ended with {status:d} {reason}, and its tokens are refunded")
def ended_with(context, status, reason):
    node = context.node
    (refusal,) = node.refused
    assert (refusal.status, refusal.reason, refusal.outcome) == (status, reason, "not_run")
    assert len(node.sent) == 1
    assert node.state.allotments.usage(node.now) == {}
