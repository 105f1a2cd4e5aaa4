import pathlib
import re
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[2]
ABSENT = "503 absent: m is on none of 5 endpoints of s; told 2.00 s of 9.00 s"


def make_line(at, caller, kind="r", model="m", part="7", answered=True):
    """Return the line that a node prints for the end of one request."""
    outcome, why = (
        ("answered", "endpoint i1 ended its stream") if answered else ("refused-not_run", ABSENT)
    )
    return (
        f"{at:.2f} n1 event=request_ended level=info id=q{at}{caller} key=k{at}{caller} "
        f'fingerprint={caller} route={kind} outcome={outcome} why="{why}" took_s=0.1 '
        f'model={model} adapter="" part={part}'
    )


def make_lines(asked, things, callers, span, never, tries=1):
    """Return the lines of what is asked for in turn, of which the first are never answered."""
    lines = []
    for number in range(asked):
        named = {"model": f"m{number}"} if things == "names" else {"part": f"{number:x}"}
        for caller in range(callers):
            at = 1.0 + span * caller / (callers - 1)
            for again in range(tries):
                lines.append(
                    make_line(at + again, f"c{number}.{caller}", answered=number >= never, **named)
                )
    return lines


@given(
    "{asked:d} {things} asked for by {callers:d} callers each over {span:d} s, "
    "{never:d} of them never answered"
)
def asked_for(context, asked, things, callers, span, never):
    context.lines = make_lines(asked, things, callers, span, never)


@given(
    "{asked:d} {things} asked for by {callers:d} callers each over {span:d} s who come twice, "
    "{never:d} of them never answered"
)
def asked_for_twice(context, asked, things, callers, span, never):
    context.lines = make_lines(asked, things, callers, span, never, tries=2)


@given("100 answered requests of one kind, and 100 of another with {answered:d} answered")
def two_kinds(context, answered):
    context.lines = [make_line(1.0, f"a{number}", kind="one") for number in range(100)]
    context.lines += [
        make_line(1.0, f"b{number}", kind="other", answered=number < answered)
        for number in range(100)
    ]


@given("a caller who was refused twice, while one who came later was answered")
def passed_caller(context):
    context.lines = [
        make_line(1.0, "first", answered=False),
        make_line(2.0, "second"),
        make_line(3.0, "first", answered=False),
    ]


@when("the never served in the log are reported")
def report_never_served(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "nodes.log"
        path.write_text("\n".join(["built in 0.1 s", *context.lines]) + "\n")
        command = [sys.executable, "-m", "bench", "starved", "--log", str(path)]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr
    context.printed = done.stdout


@then('the report says "{title}"')
def check_title(context, title):
    assert f"{title}\n" in context.printed, context.printed


@then("the other kind is {verdict}")
def check_kind(context, verdict):
    row = next(line.split() for line in context.printed.splitlines() if line.startswith(" other "))
    assert row[4] == str(verdict == "starved"), row


@then("one caller of its kind was refused again, told 2 s, and passed")
def check_refused_again(context):
    row = next(line.split() for line in context.printed.splitlines() if line.startswith(" r "))
    assert row[-2:] == ["1", "1"], row
    again = context.printed.partition("served by no try")[2]
    assert re.search(r"absent: on none\s+absent: on none\s+1\s+2\s", again), again
