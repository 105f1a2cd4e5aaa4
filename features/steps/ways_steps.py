import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when
from record_changes import CHANGES

from rookspring_fakes import ways_node
from rookspring_fakes.ways import play
from rookspring_fakes.ways_callers import WaysCallers
from rookspring_fakes.ways_checks import FAULTS
from rookspring_fakes.ways_checks import TOLD
from rookspring_fakes.ways_proxy import WaysProxy
from rookspring_fakes.ways_records import KINDS
from rookspring_fakes.ways_records import Call
from rookspring_fakes.ways_records import Event
from rookspring_fakes.ways_records import Part
from rookspring_fakes.ways_records import Run
from rookspring_fakes.ways_records import read_events
from rookspring_fakes.ways_records import read_runs
from rookspring_fakes.ways_runner import write_event
from rookspring_fakes.ways_stage import SERVICES
from rookspring_fakes.ways_stage import WaysStage
from rookspring_fakes.ways_stage import draw_settings

PLAY_SLACK_S = 90.0
# Within which a run's memory has been sent to its backup, in seconds.
BACKED_UP_S = 0.12
# Within a stream of 0.24 s, and the time until nodes have read a moved route, in seconds.
BEGUN_S = 0.15
MOVED_S = 1.5
# Lines of a runner's record, and whether a run that ended at 6 ended beside what they tell.
BESIDE = {"cuts 6.01": True, "cuts 6.1": False, "gone 6.05": True, "gone 6.2": False}


@given("a {kind} call that is whole, and its run")
def whole_call(context, kind):
    count = KINDS[kind].events
    events = tuple(Event(number, "i1", "q1", 1) for number in range(1, count + 1))
    context.kind = kind
    context.parts = [Part("q1", "n0", 200, True, events)]
    context.runs = [Run("q1", "i1", 1, count)]
    context.again = False


@when("in the record {what}")
def change_record(context, what):
    CHANGES[what](context)


@then('the checks that find something are "{names}"')
def checks_found(context, names):
    calls = [Call(context.kind, tuple(context.parts), context.again)]
    found = [name for name, check in (FAULTS | TOLD).items() if check(calls, context.runs)]
    assert found == names.split(", "), found


@then('the checks that find something are ""')
def no_checks_found(context):
    calls = [Call(context.kind, tuple(context.parts), context.again)]
    found = [name for name, check in (FAULTS | TOLD).items() if check(calls, context.runs)]
    assert found == [], found


@given("the stream of a runner that sends {forms}")
def runner_stream(context, forms):
    context.forms = [] if forms == "plain events" else forms.split(", ")
    context.blocks = [write_event("i1", "q1", number, 1, context.forms) for number in (1, 2, 3)]
    context.whole = True


@when("it tells the truth")
def truth(context):
    pass


@when("it sends an id that is not the event's")
def wrong_id(context):
    context.blocks[1] = context.blocks[1].replace(b"id: 2", b"id: 3")


@when("it sends a payload cut short")
def short_payload(context):
    context.blocks[1] = context.blocks[1].replace(b"pp\n", b"p\n")


@when("it sends half an event into another")
def half_event(context):
    context.blocks[1] = context.blocks[1][:9] + context.blocks[1]


@when("it breaks off within the last")
def break_off(context):
    context.blocks[2] = context.blocks[2][:-4]
    context.whole = False


@then("the events that are read are {numbers}, and {bent} bytes are bent")
def events_read(context, numbers, bent):
    events, found = read_events(b"".join(context.blocks), context.whole, context.forms)
    assert [one.number for one in events] == [int(one) for one in numbers.split(",")], events
    assert bool(found) == (bent == "some"), found
    lines = "run q1 1 2.5 save\n" + "".join(f"made q1 {one.number}\n" for one in events)
    lines += f"end q1 {len(events)} chunks 6.0 1.5\nended q1 {len(events)} untold-stop\n"
    run = Run("q1", "i1", 1, len(events), 2.5, "save", ended="chunks", cause="untold-stop")
    run = run._replace(ended_at=6.0, left_s=1.5)
    assert read_runs("i1", lines) == [run]
    for line, beside in BESIDE.items():
        assert read_runs("i1", f"{lines}{line}\n") == [run._replace(beside=beside)], line
    late = [run._replace(cause="untold-late-exit")]
    for cause, seconds, wanted in (("exits-1.0", 0.2, late), ("exits-1.0", 0.01, None)):
        told = lines.replace("untold-stop", cause) + f"stops 7.0\ngone {7.0 + seconds}\n"
        assert read_runs("i1", told) == (wanted or [run._replace(cause=cause)])
    assert read_runs("i1", "goes on" + lines.removeprefix("run")) == [run._replace(copied=True)]


@when("seed {seed:d} is played with {callers:d} callers for {seconds:d} s")
def seed_played(context, seed, callers, seconds):
    context.outcome = context.loop.run(
        play(seed, float(seconds), callers, os.getpid()), seconds + PLAY_SLACK_S
    )


@then("no check finds anything")
def nothing_found(context):
    found = {name: rows for name, rows in context.outcome.found.items() if rows}
    assert not found, found


@then("some streams were whole")
def some_whole(context):
    calls = [one for one in context.outcome.calls if KINDS[one.kind].events]
    assert sum(one.parts[-1].ended for one in calls) > len(calls) / 10, context.outcome.settings


@then("some pipelined answers were whole")
def some_piped(context):
    assert any(one.piped and one.parts[-1].ended for one in context.outcome.calls)


@given("two nodes, a runner of version 1, and a runner of version 2 in another service")
def two_services(context):
    quiet = {"nodes": 2, "runners": 2, "unframed": 0.0, "forms": (), "route_ms": 12000}
    shares = dict.fromkeys(("late", "short", "again", "piped"), 0.0)
    settings = draw_settings(1, ())._replace(limited=False, **quiet, **shares)
    context.stage = WaysStage(settings, os.getpid(), 1, "")


@when("a stream is cut, its route is moved there, and it is taken up at the other node")
def cut_and_moved(context):
    async def work():
        stage = context.stage
        try:
            await stage.start()
            load = WaysCallers(stage, 0, 1)
            first = asyncio.ensure_future(load.ask(stage.nodes[0], "q1", "stock", []))
            await asyncio.sleep(BEGUN_S)
            for passing in list(stage.nodes[0].front.open):
                passing.reset()
            parts = [await first]
            await stage.move_route("stock", SERVICES[1], 12000)
            await asyncio.sleep(MOVED_S)
            return [*parts, await load.ask(stage.nodes[1], "q1t1", "stock", parts)]
        finally:
            await stage.stop()

    context.kind, context.again = "stock", False
    context.parts = context.loop.run(work(), PLAY_SLACK_S)
    context.runs = context.stage.read_runs()
    context.stage.clean()


@then("the events are 1 to 8, of versions 1 and 2")
def events_of_two(context):
    events = [event for part in context.parts for event in part.events]
    assert [one.number for one in events] == list(range(1, 9)), context.parts
    assert {one.version for one in events} == {1, 2}, events


@given("two runners, and a stream at the first")
def two_runners(context):
    settings = draw_settings(1, ())._replace(unframed=0.0, forms=(), copies=True, copy_s=0.0)
    context.stage = WaysStage(settings, os.getpid(), 1, "")
    context.add_cleanup(context.stage.clean)


@when("it is {copied} after 3 events, and goes on from the copy at the second")
def goes_on_from_copy(context, copied):
    stage = context.stage

    async def work():
        try:
            first, second = [await stage.add_runner(SERVICES[0], 1) for _ in range(2)]
            there, backup = first.proxy.address, second.proxy.address
            reader, writer = await _send(there, "save/x", {"X-Rookspring-Kv-Backup": backup})
            came = b""
            while came.count(b"data: ") < 3:
                came += await reader.read(1 << 16)
            if copied.startswith("stopped"):
                asked = {"id": "q1", "target-version": backup, "last": 1}
                body = json.dumps(asked).encode()
                answer, _ = await _send(there, "kv-move", {}, body)
                reply = json.loads((await answer.read(1 << 16)).partition(b"\r\n\r\n")[2])
                copy = f"{there}/{reply['handle']}"
            else:
                await asyncio.sleep(BACKED_UP_S)
                await first.cut("close")
                copy = f"{backup}/q1"
            came += await reader.read()
            last = came.count(b"data: ")
            headers = {"Kv-From": copy, "Last-Event-Id": last}
            answer, _ = await _send(backup, "save/x", headers)
            rest = await answer.readuntil(b"0\r\n\r\n")
            return [_read_body(came), _read_body(rest)]
        finally:
            await stage.stop()

    bodies = context.loop.run(work(), PLAY_SLACK_S)
    events = [event for body in bodies for event in read_events(body, True, ())[0]]
    context.kind, context.again = "save", False
    context.parts = [Part("q1", "n0", 200, True, tuple(events))]
    context.runs = stage.read_runs()


async def _send(address, path, headers, body=b""):
    rows = headers | {"Content-Length": len(body)}
    if path != "kv-move":
        rows |= {"X-Rookspring-Request-Id": "q1", "X-Rookspring-Deadline-Ms": 5000}
        rows |= {"X-Events": 8, "X-Gap": 0.15}
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"POST /{path} HTTP/1.1", *(f"{key}: {value}" for key, value in rows.items())]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    return reader, writer


def _read_body(answer):
    """Return the events' lines of an answer in chunks."""
    lines = answer.partition(b"\r\n\r\n")[2].decode().splitlines()
    rows = [one for one in lines if one.startswith(("id: ", "data: "))]
    return "".join(f"{one}\n" + "\n" * one.startswith("data") for one in rows).encode()


@then('its events are 1 to 8 of both, and the checks that find something are "{names}"')
def events_of_both(context, names):
    events = context.parts[0].events
    assert [one.number for one in events] == list(range(1, 9)), events
    assert {one.runner for one in events} == {"i00", "i01"}, events
    checks_found(context, names)


@given("a proxy's connection that is narrowed to {rate:d} bytes a second")
def narrowed(context, rate):
    context.rate = rate


@when("{count:d} bytes are sent through it")
def sent_through(context, count):
    context.sent = os.urandom(count)

    async def send():
        came = asyncio.get_running_loop().create_future()

        async def read(reader, writer):
            came.set_result(await reader.readexactly(count))

        server = await asyncio.start_server(read, "127.0.0.1", 0)
        proxy = await WaysProxy("127.0.0.1", server.sockets[0].getsockname()[1], "x").start()
        proxy.rate = context.rate
        host, _, port = proxy.address.rpartition(":")
        began = time.monotonic()
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(context.sent)
        context.came = await came
        context.took_s = time.monotonic() - began
        writer.close()
        proxy.stop()
        server.close()

    asyncio.run(send())


@then("they come whole after {least:g} to {most:g} s")
def came_whole(context, least, most):
    assert context.came == context.sent
    assert least <= context.took_s <= most, context.took_s


@given("a node's clock file that says {ahead:d}")
def clock_file(context, ahead):
    context.folder = tempfile.TemporaryDirectory()
    context.clock = pathlib.Path(context.folder.name, "n0.clock")
    context.clock.write_text(str(ahead))


@when("a module runs as such a node")
def module_runs(context):
    module = pathlib.Path(context.folder.name, "tell_time.py")
    module.write_text("import time\nprint(time.time())\n")
    env = {
        **os.environ,
        "PYTHONPATH": context.folder.name,
        ways_node.CLOCK_FILE_VARIABLE: str(context.clock),
    }
    command = [sys.executable, "-P", ways_node.__file__, "tell_time"]
    told = subprocess.run(command, env=env, capture_output=True, check=True, text=True)
    context.ahead_s = float(told.stdout) - time.time()
    context.folder.cleanup()


@then("its wall clock is {ahead:d} s ahead")
def clock_ahead(context, ahead):
    assert abs(context.ahead_s - ahead) < 60.0, context.ahead_s
