from behave import given
from behave import then
from behave import when
from part_stage import PartStage

from rookspring_core import defaults
from rookspring_core.sound_runs import RunLength
from rookspring_core.sound_runs import SoundRun
from rookspring_core.suspects import Cleared
from rookspring_core.suspects import CrashRecord
from rookspring_core.suspects import EndpointProcess
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import SuspectTable


@given("{nodes:d} nodes whose callers send prompts in parts, and seed {seed:d}")
def nodes_and_parts(context, nodes, seed):
    context.sizes = (nodes, seed)


@when(
    "sound requests come for {before:g} s, and then for {seconds:g} s others too, "
    "{rate:g} a second, whose fatal part is: {place}"
)
def fatal_part_comes(context, before, seconds, rate, place):
    context.stage = stage = PartStage(*context.sizes, place)
    stage.play(before)
    context.began_at = stage.now
    stage.play(seconds, fatal_rate=rate)
    context.calm = (stage.now - seconds - before + 2.0, context.began_at)


@when("sound requests come for {seconds:g} s, while {crashes:d} endpoints crash")
def ordinary_crashes(context, seconds, crashes):
    context.stage = stage = PartStage(*context.sizes, crashes=crashes)
    context.began_at = stage.now
    stage.play(seconds)
    context.calm = (context.began_at, stage.now)


@then("at most {most:d} requests with it reach endpoints later than 3 s after the fifth crash")
def few_arrivals(context, most):
    late = context.stage.late_arrivals()
    assert late <= most, (late, len(context.stage.fatal_crashes()))


@then("at most {most:d} endpoints crash under it")
def few_crashes(context, most):
    crashes = context.stage.fatal_crashes()
    assert 3 <= len(crashes) <= most, len(crashes)


@then("sound requests begin at least half as often as before")
def sound_begin(context):
    stage = context.stage
    crashes = stage.fatal_crashes() or [context.began_at]
    begin = (crashes[4] if len(crashes) > 4 else crashes[-1]) + 6.0
    share = stage.share_begun(begin, stage.now - 1.0)
    calm = stage.share_begun(*context.calm)
    assert share >= calm / 2, (share, calm)
    assert not stage.convicted_parts(), stage.convicted_parts()


@then("no part and no request is convicted")
def none_convicted(context):
    assert not context.stage.convicted_parts(), context.stage.convicted_parts()


@given("a table of suspects with a part of {crashes:d} crashes of different requests")
def table_with_part(context, crashes):
    context.suspects = SuspectTable()
    context.now = 100.0
    for number in range(crashes):
        add_crash(context, f"p{number}", number)


@given("a table of suspects that has run for {seconds:g} s")
def young_table(context, seconds):
    context.now = 100.0
    context.suspects = SuspectTable(since=context.now - seconds)


def length_of(events):
    """Return the length of a run of so many events, 0.05 s apart."""
    return RunLength(int(events), 0.05 * int(events))


def add_crash(
    context,
    request,
    process,
    subject="part::fa",
    organisation="",
    early=True,
    length=None,
    gap_s=0.1,
):
    context.now += gap_s
    process = EndpointProcess(f"e{process}", 1)
    record = CrashRecord(subject, organisation, process, context.now, early, request, length)
    context.suspects.merge(Evidence(crash_records=(record,)), context.now)


@when("{count:d} other requests are under one crash each, {whose}")
def many_suspects(context, count, whose):
    organisation = "org" if "one" in whose else ""
    # Not of one moment with those of the part.
    context.now += 1.0
    for number in range(count):
        add_crash(context, "", number, f"f{number}", organisation)


@then("the part has {crashes:d} crashes, and the table is within its bounds")
def part_is_kept(context, crashes):
    assert context.suspects.crash_score("part::fa") == crashes
    assert len(context.suspects) <= defaults.SUSPECTS_MAX


def crash_together(context, number, words):
    """Have processes crash at once, or in turn, under some of which the part is."""
    under, _, count, _, *within = words.split()
    gap_s = float(within[0]) / int(count) if len(within) > 1 else 0.001
    for one in range(int(count)):
        subject = "part::fa" if one < int(under) else "part::other"
        add_crash(context, f"m{number}-{one}", f"m{number}-{one}", subject, gap_s=gap_s)
    context.now += 1.0


@when("its evidence is: {evidence}")
def evidence_is(context, evidence):
    table = context.suspects
    request = 0
    for process, word in enumerate(evidence.split(", ")):
        if word.endswith("crash"):
            request += 1
        if word == "whole":
            context.now += 0.1
            table.note_sound("part::fa", context.now)
        elif word == "whole elsewhere before":
            cleared = Cleared("part::fa", context.now - 0.05)
            table.merge(Evidence(cleared=(cleared,)), context.now)
        elif " of " in word and "run" not in word:
            crash_together(context, process, word)
        elif word.endswith(" s"):
            context.now += float(word.split()[0])
        elif word.startswith("a run of"):
            context.now += 0.1
            run = SoundRun("part::fa", context.now, length_of(word.split()[-1]))
            table.merge(Evidence(sound_runs=(run,)), context.now)
        elif "-event" in word:
            length = length_of(word.partition("-")[0])
            add_crash(context, f"q{request}", process, length=length)
        else:
            add_crash(context, f"q{request}", process, early="late" not in word)


@then("it is convicted")
def part_convicted(context):
    assert context.suspects.verdict("part::fa", context.now) is not None


@then("it is not convicted")
def part_not_convicted(context):
    assert context.suspects.verdict("part::fa", context.now) is None


@when("a node that had a whole answer with it before gets all evidence at once")
def other_gets_evidence(context):
    context.other = SuspectTable()
    context.other.note_sound("part::fa", 100.1)
    context.other.merge(context.suspects.snapshot(context.now), context.now)


@then("the part is convicted there")
def convicted_there(context):
    assert context.other.verdict("part::fa", context.now) is not None
