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
    """Write the lines that a node prints for one try."""
    began = "{at} n1 event=attempt_began level=info id=q1 key=r1 waited_s={waited}"
    lines = []
    if waited != "none":
        for number, seconds in enumerate(waited.split(", ")):
            lines.append(began.format(at=1.0 + number, waited=seconds))
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


@given("a try that {end} and waited {waited} s, on a route of 0.4 s that bears a pause of 0.25 s")
def a_try(context, end, waited):
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


@when("the losses of its log are told")
@when("its losses are asked for")
def losses_told(context):
    run_losses(context)


@then("it counts as {reason}")
def counts_as(context, reason):
    assert context.done.returncode == 0, context.done.stderr
    first = context.done.stdout.split("tries by route")[0]
    rows = [line for line in first.splitlines() if re.search(r"\s1\s+m\s+1\s*$", line)]
    assert len(rows) == 1 and rows[0].startswith(f" {reason} "), first


@then("the command ends with 1 and names the log")
def names_log(context):
    assert context.done.returncode == 1 and "nodes.log tells of no try" in context.done.stdout


def day(seed, **fields):
    name = f"mix --seed {seed}"
    return {"name": name, "slot": "mix", "seed": seed, "G": 0.5, "rules": {}, "short": []} | fields


HUNT = {
    "cmd": "hunt",
    "head": "0123456789",
    "argv": ["sites/a.toml", "--days", "4"],
    "days": [day(1), day(2), day(3, rules={"LIMIT": 1}), day(4, short=["too little was served"])],
}


@given("a journal with a hunt of 4 days, one with a broken rule and one short of the gate")
def journal_with_hunt(context):
    context.entries = {"20260101-a.json": HUNT}


@given("a journal with a single run")
def journal_with_run(context):
    context.entries = {"20260101-b.json": {"cmd": "run", "days": [day(1)]}}


@when("what its hunts found is told")
def hunts_told(context):
    with tempfile.TemporaryDirectory() as folder:
        for name, entry in context.entries.items():
            (pathlib.Path(folder) / name).write_text(json.dumps(entry))
        command = [sys.executable, "-m", "bench", "hunts", "--journal", folder]
        context.done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, check=False
        )


@then("{days:d} days are counted, {broken:d} broken and {short:d} short, and both are listed")
def counted(context, days, broken, short):
    assert context.done.returncode == 0, context.done.stderr
    text = context.done.stdout
    assert re.search(rf"0123456\s+a\s+mix\s+{days}\s+{broken}\s+{short}\s+0.5", text), text
    assert "--seed 3  LIMIT" in re.sub(r"\s{2,}", "  ", text), text
    assert "--seed 4  too little was served" in re.sub(r"\s{2,}", "  ", text), text


@then("the command ends with 1 and says that there is none")
def no_hunt(context):
    assert context.done.returncode == 1 and "tells of no hunt" in context.done.stdout
