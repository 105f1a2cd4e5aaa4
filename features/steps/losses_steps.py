import json
import pathlib
import re
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[2]
OUTCOMES = {"refused": "refused-not_run", "lost": "refused-unknown", "left": "left"}


def make_lines(end, waited):
    """Return the lines that a node prints for one request."""
    attempt_line = "{at} n1 event=attempt_began level=info id=q1 key=r1 waited_s={waited}"
    lines = []
    if waited != "none":
        for number, seconds in enumerate(waited.split(", ")):
            lines.append(attempt_line.format(at=1.0 + number, waited=seconds))
    answered = re.search(r"answered after ([\d.]+) s(?:, with a pause of ([\d.]+) s)?", end)
    if answered:
        outcome, why = "answered", "endpoint i1 ended its stream"
        first_s, pause_s = answered[1], answered[2] or "0.0"
    else:
        word, _, why = end.removeprefix("was ").partition(" as ")
        outcome, first_s, pause_s = OUTCOMES[word], "-1", "0.0"
    lines.append(
        f"3.0 n1 event=request_ended level=info id=q1 key=r1 route=r objective_s=0.4 bears_s=0.25 "
        f'outcome={outcome} why="{why}" took_s=1.0 first_s={first_s} events=3 pause_s={pause_s} '
        'model=m adapter=""'
    )
    return lines


@given(
    "a request that {end} and waited {waited} s, on a route with an objective of 0.4 s "
    "and pauses up to 0.25 s"
)
def ended_request(context, end, waited):
    context.lines = ["built in 0.1 s", *make_lines(end, waited)]


@given("an empty log")
def empty_log(context):
    context.lines = []


def run_losses(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "nodes.log"
        path.write_text("\n".join(context.lines) + "\n")
        command = [sys.executable, "-m", "bench", "losses", "--log", str(path)]
        context.done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, check=False
        )


@when("the losses in the log are reported")
def report_losses(context):
    run_losses(context)


@then("it counts as {reason}")
def check_reason(context, reason):
    assert context.done.returncode == 0, context.done.stderr
    first = context.done.stdout.split("tries by route")[0]
    rows = [line for line in first.splitlines() if re.search(r"\s1\s+m\s+1\s*$", line)]
    assert len(rows) == 1 and rows[0].startswith(f" {reason} "), first


@then("the command exits with 1 and names the log")
def check_log_named(context):
    assert context.done.returncode == 1 and "nodes.log has no ended request" in context.done.stdout


def make_day(seed, **fields):
    name = f"mix --seed {seed}"
    return {"name": name, "slot": "mix", "seed": seed, "G": 0.5, "rules": {}, "short": []} | fields


HUNT = {
    "cmd": "hunt",
    "head": "0123456789",
    "argv": ["sites/a.toml", "--days", "4"],
    "days": [
        make_day(1),
        make_day(2),
        make_day(3, rules={"LIMIT": 1}),
        make_day(4, short=["too little was served"]),
    ],
}


@given("a journal with a hunt of 4 days, one with a broken rule and one that missed the gate")
def journal_with_hunt(context):
    context.entries = {"20260101-a.json": HUNT}


@given("a journal with a single run")
def journal_with_run(context):
    context.entries = {"20260101-b.json": {"cmd": "run", "days": [make_day(1)]}}


@when("the hunts of the journal are reported")
def report_hunts(context):
    with tempfile.TemporaryDirectory() as folder:
        for name, entry in context.entries.items():
            (pathlib.Path(folder) / name).write_text(json.dumps(entry))
        command = [sys.executable, "-m", "bench", "hunts", "--journal", folder]
        context.done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, check=False
        )


@then(
    "{days:d} days are counted, {broken:d} with a broken rule and {short:d} short of the gate, "
    "and both are listed"
)
def check_counts(context, days, broken, short):
    assert context.done.returncode == 0, context.done.stderr
    text = context.done.stdout
    assert re.search(rf"0123456\s+a\s+mix\s+{days}\s+{broken}\s+{short}\s+0.5", text), text
    assert "--seed 3  LIMIT" in re.sub(r"\s{2,}", "  ", text), text
    assert "--seed 4  too little was served" in re.sub(r"\s{2,}", "  ", text), text


@then("the command exits with 1 and reports that the journal has no hunt")
def check_no_hunt(context):
    assert context.done.returncode == 1 and "no hunt or score found in" in context.done.stdout
