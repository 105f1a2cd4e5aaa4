import asyncio

from behave import given
from behave import then
from behave import when
from returns.result import Success

from rookspring import clock
from rookspring import defaults
from rookspring.endpoints import GenerationRequest
from rookspring.endpoints import HttpEndpoint
from rookspring.exceptions import EndpointError
from rookspring.exceptions import PlatformConflict
from rookspring.exceptions import PlatformMissing
from rookspring.exceptions import PlatformRefused
from rookspring.exceptions import PlatformTooOld
from rookspring.exceptions import PlatformUnreachable
from rookspring.platform import PlatformClient
from rookspring.platform import open_platform
from rookspring.published import HEAD
from rookspring.published import KIND
from rookspring.published import PublishedStore
from rookspring_core import Entry
from rookspring_core import Resource
from rookspring_core.effects import SendOrder
from rookspring_fakes import Engine
from rookspring_fakes import ObjectPlatform
from rookspring_fakes import Platform
from rookspring_fakes import Runner
from rookspring_fakes import WeightStore
from rookspring_fakes import platform as platform_module
from rookspring_fakes import serve
from rookspring_platform import ObjectStore

ENDS = {
    PlatformConflict: "conflict",
    PlatformMissing: "missing",
    PlatformRefused: "refused",
    PlatformTooOld: "too-old",
    PlatformUnreachable: "unreachable",
}


class PlatformUnderTest:
    """A platform adapter with a fake platform; subclassed for each further adapter."""

    scheme = "http"
    fake_class = Platform

    async def open(self):
        self.fake = self.fake_class()
        self.served = await serve(self.fake.app())
        address = f"{self.scheme}://{self.served.address}"
        self.client = open_platform(address, lambda method, end: None)
        self.versions = [0]

    async def close(self):
        await self.client.close()
        await self.served.close()

    async def call(self, name):
        """Make one call of the table and return how it ended."""
        faults = self.fake.faults
        match name:
            case "create a":
                return await self.write({"x": 1}, 0)
            case "create a of two megabytes":
                return await self.write({"x": "y" * 2_000_000}, 0)
            case "change a":
                return await self.write({"x": 2}, self.versions[-1])
            case "change a at an old version":
                return await self.write({"x": 3}, self.versions[1])
            case "delete a":
                return end(await self.client.delete("k", "a", None))
            case "read a":
                return end(await self.client.get("k", "a"))
            case "list":
                return count(await self.client.list_kind("k"), "items")
            case "watch from the start":
                return count(await self.client.watch("k", 0, 0.2), "changes")
            case "watch from the end":
                since = self.fake.store.version
                return count(await self.client.watch("k", since, 0.2), "changes")
            case "read boxes":
                found = await self.client.boxes()
                return f"{len(found.unwrap())}-items"
            case "too many calls":
                return await self.exhaust()
            case "discard history":
                self.fake.store._compacted = 10
            case "outage begins":
                faults.outage = True
            case "outage ends":
                faults.outage = False
            case "answers are lost":
                faults.applied_unanswered = 1.0
            case "answers arrive":
                faults.applied_unanswered = 0.0
        return "done"

    async def write(self, value, expected):
        answer = await self.client.put("k", "a", value, expected)
        if isinstance(answer, Success):
            self.versions.append(answer.unwrap())
        return end(answer)

    async def exhaust(self):
        limit = platform_module.READS_PER_S
        platform_module.READS_PER_S = 0
        try:
            return end(await self.client.get("k", "a"))
        finally:
            platform_module.READS_PER_S = limit


class ObjectStoreUnderTest(PlatformUnderTest):
    """The adapter in ``rookspring_platform``, with a fake of that platform."""

    scheme = "objects"
    fake_class = ObjectPlatform


assert issubclass(ObjectStore, PlatformClient)


def end(answer):
    if isinstance(answer, Success):
        return "done"
    return ENDS[type(answer.failure())]


def count(answer, what):
    if not isinstance(answer, Success):
        return end(answer)
    number = len(answer.unwrap().items)
    return f"{number}-{what[:-1] if number == 1 and what == 'changes' else what}"


class RunnerUnderTest:
    """The endpoint client with a fake runner; another client needs the same methods here."""

    async def open(self):
        self.engine = Engine("r", WeightStore(gb_per_s=1000.0), stream_rate=1000.0)
        self.served = await serve(Runner(self.engine, 0.002).app())
        self.client = HttpEndpoint()
        self.sequence = 0

    async def close(self):
        await self.client.close()
        await self.served.close()

    async def call(self, name):
        """Make one call of the table and return how it ended."""
        match name:
            case "load m":
                self.sequence += 1
                return await self.order("m", 10.0)
            case "load m with an older token":
                return await self.order("m", 10.0, sequence=0)
            case "load m with the same token":
                return await self.order("m", 10.0)
            case "load too much":
                self.sequence += 1
                return await self.order("big", 75.0)
            case "load m for another incarnation":
                self.sequence += 1
                return await self.order("m", 10.0, incarnation="0")
            case "generate" | "generate of an absent model":
                return await self.read(self.generate(0))
            case "generate from 3":
                return await self.read(self.generate(3))
            case "resume from 2":
                return await self.read(self.client.resume(self.served.address, "s", 2))
            case "report":
                found = await self.client.report("r", self.served.address, clock.now())
                return "loading" if found.loading or found.resident else "empty"
            case "leave":
                self.engine.leaving = True
            case "lose orders":
                self.engine.faults.lose = 1.0
            case "stop":
                await self.served.close()
        return "done"

    async def order(self, model, gb, sequence=None, incarnation="1"):
        token = (1, self.sequence if sequence is None else sequence)
        order = SendOrder("r", self.served.address, token, "load", model, "v1", gb)
        accepted, _ = await self.client.order(order, incarnation)
        return {True: "accepted", False: "refused", None: "unanswered"}[accepted]

    def generate(self, offset):
        generation = GenerationRequest("s", "m", "", "prompt", 5, 1, offset)
        return self.client.generate(self.served.address, generation, "")

    async def read(self, chunks):
        tokens = 0
        try:
            for _ in range(200):
                if not self.engine.loading:
                    break
                self.engine.advance(self.engine.now + 0.1)
                await asyncio.sleep(0)
            async for chunk in chunks:
                tokens += len(chunk.tokens)
        except EndpointError as error:
            if error.reported_not_run:
                return "not-run"
            return "broken" if error.sent else "unsent"
        return f"{tokens}-tokens"


@given("a platform behind its client")
def a_platform(context):
    context.under_test = PlatformUnderTest()
    context.second_under_test = ObjectStoreUnderTest()


@given("a runner behind the endpoint client")
def a_runner(context):
    context.under_test = RunnerUnderTest()
    context.second_under_test = None


@when("it gets: {calls}")
def calls_made(context, calls):
    async def work(under_test):
        await under_test.open()
        try:
            return [await under_test.call(name) for name in calls.split(", ")]
        finally:
            await under_test.close()

    both = [context.under_test, context.second_under_test]
    context.answers = [asyncio.run(work(one)) for one in both if one is not None]


@then("it answers {answers}")
def answers_were(context, answers):
    for found in context.answers:
        assert found == answers.split(), context.answers


@when("{count:d} revisions are published to it")
def revisions_published(context, count):
    async def work():
        under_test = context.under_test
        await under_test.open()
        store = PublishedStore(under_test.client)
        version = 0
        for revision in range(1, count + 1):
            spec = {"concurrency": revision}
            context.entries = {"Service.s": Entry(Resource("Service", "s", spec, revision))}
            answer = await store.publish(revision, 1, version, context.entries)
            version = answer.unwrap()
            await store.sweep(defaults.HEADS_KEPT)
        kept = await under_test.client.list_kind(KIND)
        context.shards = [one.name for one in kept.unwrap().items if one.name != HEAD]
        reader = PublishedStore(under_test.client)
        head = (await reader.read_head()).unwrap()
        context.read = (await reader.read_revision(head, 0.0)).unwrap()
        await under_test.close()

    context.revisions = count
    asyncio.run(work())


@then("at most {most:d} shards of a changed resource are kept")
def shards_kept(context, most):
    assert 1 <= len(context.shards) <= most, context.shards


@then("another reader gets the whole last revision")
def reads_whole(context):
    assert context.read.revision == context.revisions
    assert context.read.entries == context.entries
