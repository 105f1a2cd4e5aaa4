"""Replies of owners that are held back while the node that asked restarts under its name."""

import asyncio
import functools
import importlib
import subprocess
import sys
from types import SimpleNamespace
from unittest import mock

from behave import then
from behave import when
from cut_stage import CutStage
from relay_fixture import read_answer
from relay_fixture import request
from relay_key_steps import tenants

from rookspring import defaults
from rookspring import relay_exchanges
from rookspring import relay_owners
from rookspring import relay_streams
from rookspring import request_keys
from rookspring.messages import AskSlots
from rookspring.messages import AskUnits
from rookspring.messages import OriginReply
from rookspring.messages import SlotFreed
from rookspring.messages import SlotReply
from rookspring.messages import UnitsReply
from rookspring.relay_node import RelayNode
from rookspring.relay_peers import RECEIVERS
from rookspring_core import defaults as core_defaults
from rookspring_platform import PlatformDialect

KEY = "key-a"
ORGANISATION = "org-a"
RETRY_AFTER_S = 2.0
ASKED = {"slots": AskSlots, "units": AskUnits}
SUBJECTS = {"slots": "svc", "units": ORGANISATION}
# As long as an owner may take to answer here, in seconds.
ANSWER_S = 5.0
# Between two questions, in seconds.
LATER_S = 0.1
UNKNOWN = "unknown"
PRINT_KEY = "from rookspring import request_keys; print(request_keys.make_key())"


class HeldOwner:
    """What the owners are asked, in place of what they do; replies are sent by the test.

    :ivar late: what a node has asked in its earlier life, and the decision on it.
    :ivar decision: the reply to what is asked from now on; none while it is empty.
    """

    def __init__(self, what):
        self.what = what
        self.late = None
        self.decision = ""
        self.asked = []
        self.freed = []

    def take(self, peers, link, item):
        if isinstance(item, SlotFreed):
            self.freed.append(item)
        elif isinstance(item, ASKED[self.what]):
            self.asked.append(item)
            if self.decision:
                reply(link, *self.late)
                reply(link, item, self.decision)
        else:
            # What isn't held back is granted at once.
            reply(link, item, "granted")


def reply(link, asked, decision):
    after_s = RETRY_AFTER_S if decision == "denied" else 0.0
    if isinstance(asked, AskUnits):
        link.send(UnitsReply(asked.origin, asked.key, asked.organisation, asked.units, after_s))
        return
    endpoint = "" if after_s else "i0"
    link.send(SlotReply(asked.origin, asked.key, asked.queue, endpoint, after_s, False, 0.0, False))


def count_anew():
    """Number requests as a new process does."""
    relay_exchanges.make_key = importlib.reload(request_keys).make_key


class SlowOwner(HeldOwner):
    """An owner whose reply to the first question comes just before that to the second.

    :param old: the decision on the first question.
    :param new: that on the second.
    :param servers: endpoints that refuse what is sent until then, without a slot.
    """

    def __init__(self, old, new, servers):
        super().__init__("slots")
        self.old = old
        self.new = new
        self.servers = servers
        for server in servers:
            server.script = ["refuse"]
            server.extra_header_lines.append("Retry-After: 0")

    def take(self, peers, link, item):
        if isinstance(item, AskSlots) and not self.asked:
            self.late = (item, self.old)
            self.decision = self.new
            self.asked.append(item)
        else:
            for server in self.servers:
                server.script = []
            super().take(peers, link, item)


async def restart(stage, number):
    """End a node without a planned stop, and start another process's in its place."""
    node = stage.nodes[number]
    await stage.relay.kill(node)
    count_anew()
    fresh = RelayNode(node.settings, PlatformDialect())
    await fresh.start()
    if number == 0:
        stage.relay.node = fresh
    else:
        stage.relay.others[number - 1] = fresh
    stage.nodes[number] = fresh
    fresh.context.pool = node.context.pool
    await stage.relay.until(fresh.context.ready)
    await stage.relay.until(stage._linked)
    await stage.relay.until(lambda: fresh.context.state.freshness.proved_at > 0)


async def ask(node, number, kind="unsafe"):
    """Send a request; return its connection."""
    connection = await asyncio.open_connection("127.0.0.1", node.listeners["callers"].port)
    connection[1].write(request(kind, number, key=KEY))
    return connection


async def start_stage(context, what):
    """Start two nodes, and return the stage and the number of the node that isn't the owner."""
    rows = [tenants(KEY)[0] | {"rate-per-s": 100, "burst": 50}]
    stage = context.cut_stage = CutStage(2)
    context.relay = stage.relay
    stage.relay.start = functools.partial(stage.relay.start, tenants=rows)
    await stage.start()
    owner = relay_owners.find_owner(stage.nodes[0].peers, SUBJECTS[what])
    (asking,) = (at for at, one in enumerate(stage.nodes) if one.settings.name != owner)
    return stage, asking


async def ask_in_two_lives(context, what, old, new):
    stage, asking = await start_stage(context, what)
    held = context.held = HeldOwner(what)
    receivers = dict.fromkeys([*ASKED.values(), SlotFreed], held.take)
    with (
        mock.patch.dict(RECEIVERS, receivers),
        mock.patch.object(core_defaults, "SLOT_ANSWER_S", ANSWER_S),
        mock.patch.object(core_defaults, "OWNER_ANSWER_S", ANSWER_S),
    ):
        count_anew()
        _, writer = await ask(stage.nodes[asking], 1)
        await stage.relay.until(lambda: held.asked)
        held.late = (held.asked[0], old)
        writer.close()
        await restart(stage, asking)
        held.decision = new
        reader, writer = await ask(stage.nodes[asking], 2)
        context.answer = await read_answer(reader)
        writer.close()
        # The slot of a run is freed after its answer.
        await asyncio.sleep(0.05)


async def ask_twice(context, old, new):
    stage, asking = await start_stage(context, "slots")
    held = context.held = SlowOwner(old, new, stage.relay.servers)
    receivers = dict.fromkeys([AskSlots, SlotFreed], held.take)
    with mock.patch.dict(RECEIVERS, receivers):
        reader, writer = await ask(stage.nodes[asking], 1, "safe")
        context.answer = await read_answer(reader)
        writer.close()
        # The slot of a run is freed after its answer.
        await asyncio.sleep(0.05)


@when(
    "a node asks for slots, sends without one, is refused and asks again, and the reply to the "
    "first, {old}, comes before the one to the second, {new}"
)
def two_questions(context, old, new):
    context.loop.run(ask_twice(context, old, new))
    assert len(context.held.asked) == 2, context.held.asked


@then("no slot of a run is returned before the run has ended")
def slot_kept(context):
    held = context.held
    unused = {one.key for one in held.freed if one.unsent}
    used = {one.key for one in held.freed if not one.unsent}
    assert not unused & used, held.freed
    assert len(used) == (context.answer.status == 200), held.freed


@when(
    "a node asks for {what} and restarts, and the reply, {old}, comes as it has asked again, "
    "before the one to that, {new}"
)
def two_lives(context, what, old, new):
    context.loop.run(ask_in_two_lives(context, what, old, new))


@then("the request's answer is {status:d}")
def answer_status(context, status):
    assert context.answer.status == status, (context.answer.status, context.held.asked)


@then("the owner is told of {number:d} slots that were not used")
def slots_freed(context, number):
    unused = [one for one in context.held.freed if one.unsent]
    assert len(unused) == number, context.held.freed


@then("two processes give their first requests keys that differ")
def keys_differ(context):
    first, second = (
        subprocess.run(
            [sys.executable, "-c", PRINT_KEY], capture_output=True, check=True, text=True
        ).stdout
        for _ in range(2)
    )
    assert first != second, first


class OriginStage:
    """A node's questions which version began a stream, to owners that reply when a test says."""

    def __init__(self, later_s):
        self.later_s = later_s
        self.asked = []
        versions = SimpleNamespace(find=lambda *args: None, has_several=lambda *args: True)
        state = SimpleNamespace(identity=SimpleNamespace(name="n1"), stream_versions=versions)
        peers = SimpleNamespace(context=SimpleNamespace(state=state))
        self.questions = relay_streams.OriginQuestions(peers)

    async def ask_twice(self, replies):
        """Ask, get no reply in time, ask again, and return the answer to that.

        :param replies: what the owners reply to the first question, if anything, and the second.
        """
        with (
            mock.patch.object(relay_owners, "ask_owner", self._take),
            mock.patch.object(relay_owners, "find_owner", lambda *args: "n2"),
        ):
            assert (await self.questions.find("s1", "svc")).version is None
            first, self.asked = self.asked, []
            await asyncio.sleep(self.later_s)
            second = asyncio.ensure_future(self.questions.find("s1", "svc"))
            await asyncio.sleep(0)
            assert len(first) == len(self.asked) == defaults.STREAM_OWNERS
            for asked, version in zip((first, self.asked)[-len(replies) :], replies, strict=True):
                for one in asked:
                    self.reply(one, version)
            return (await second).version or UNKNOWN

    def _take(self, peers, item):
        self.asked.append(item)
        return True

    def reply(self, asked, version):
        known = None if version == UNKNOWN else version
        reply = OriginReply(asked.origin, asked.subject, asked.stream, asked.service, known, False)
        self.questions.take_reply(reply)


@when(
    "a node asks its owners which version began a stream, and again {when} it got no reply in time"
)
def ask_origin_twice(context, when):
    context.stage = OriginStage(LATER_S if when == "some time after" else 0.0)


@when("their replies to the first, {old}, come before those to the second, {new}")
def replies_in_turn(context, old, new):
    context.answer = context.loop.run(context.stage.ask_twice([old, new]))


@when("their replies to the second, {new}, are the only ones")
def replies_to_second(context, new):
    context.answer = context.loop.run(context.stage.ask_twice([new]))


@then("the second question's answer is {answer}")
def second_answer(context, answer):
    assert context.answer == answer, context.answer
