import os
import pathlib
import re
import subprocess
import sys

import yaml
from behave import then
from behave import when

from rookspring.logs import EVENTS
from rookspring.metrics import Metrics
from rookspring_fakes.users import USERS
from rookspring_fakes.users import list_resources

ROOT = pathlib.Path(__file__).parent.parent.parent


def environment(context):
    env = {key: value for key, value in os.environ.items() if not key.startswith("ROOK")}
    bin_folder = str(pathlib.Path(sys.executable).parent)
    address = context.stage.nodes["box-1"].settings.caller_address
    return {
        **env,
        "PATH": f"{bin_folder}:{env['PATH']}",
        "ROOKCTL_SERVER": f"http://{address}",
        "ROOKCTL_KEY": "demo",
    }


def console_lines():
    text = (ROOT / "README.md").read_text()
    blocks = re.findall(r"```console\n(.*?)```", text, re.DOTALL)
    return [line[2:] for block in blocks for line in block.splitlines() if line.startswith("$ ")]


@when("the console lines of README.md are typed in one shell")
def type_readme(context):
    context.lines = console_lines()
    # The page uses the demo's ports; the nodes of this feature listen on others.
    base = context.stage.plan.base_port
    lines = [re.sub(r":740(\d)", lambda m: f":{base + int(m[1])}", one) for one in context.lines]
    script = "".join(f"{line}\ncode=$?; echo; echo '::'$code\n" for line in lines)
    env = environment(context)
    del env["ROOKCTL_SERVER"], env["ROOKCTL_KEY"]
    done = subprocess.run(
        ["bash"],
        input=script,
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=100,
        check=False,
    )
    context.codes = [int(code) for code in re.findall(r"^::(\d+)$", done.stdout, re.MULTILINE)]
    context.printed = done.stdout + done.stderr


@then("each exits with the documented code")
def exits_as_documented(context):
    assert len(context.lines) > 8
    expected = []
    for line in context.lines:
        comment = re.search(r"# exits (\d+)$", line)
        expected.append(int(comment[1]) if comment else 0)
    assert context.codes == expected, (context.codes, expected, context.printed[-800:])


@when("{command} is typed")
def type_command(context, command):
    context.done = subprocess.run(
        command.split(),
        cwd=ROOT,
        env=environment(context),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then("it exits {code:d} and prints {text}")
def exits_and_prints(context, code, text):
    printed = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, (context.done.returncode, printed[-500:])
    assert text in printed, printed[-500:]
    assert "Traceback" not in printed, printed[-500:]


@then("it also prints {text}")
def also_prints(context, text):
    assert text in context.done.stderr, context.done.stderr


@then("it prints {path}")
def prints_page(context, path):
    assert context.done.stdout == (ROOT / path).read_text()


@then("examples/{name}.yaml declares the resources of {user}")
def example_declares(context, name, user):
    found = list(yaml.safe_load_all((ROOT / f"examples/{name}.yaml").read_text()))
    assert found == list_resources(USERS[user])


@then("each log event of the packages is declared")
def events_declared(context):
    sources = [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("platform/src/**/*.py")]
    named = {
        found
        for path in sources
        for found in re.findall(r'\blog\(\s*"([a-z_]+)"', path.read_text())
    }
    assert len(named) > 20, named
    assert named <= set(EVENTS), named - set(EVENTS)


@then("{page} names every log event and metric")
def page_names(context, page):
    text = (ROOT / page).read_text()
    metrics = {
        one.name
        for one in vars(Metrics("x")).values()
        if hasattr(one, "name") and hasattr(one, "doc")
    }
    assert len(metrics) > 8
    missing = [name for name in {*EVENTS, *metrics} if f"`{name}" not in text]
    assert not missing, missing


@when("the commands of docs/OPERATIONS.md are typed")
def operations_typed(context):
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    context.typed = []
    for block in text.split("```console\n")[1:]:
        command, _, shown = block.partition("```")[0].partition("\n")
        ended = subprocess.run(
            ["bash", "-c", command.removeprefix("$ ")],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        context.typed.append((ended.stdout.strip(), shown.strip()))


@then("each prints the documented output")
def prints_documented(context):
    assert len(context.typed) == 7, len(context.typed)
    for printed, shown in context.typed:
        assert printed == shown, (printed, shown)


@when("rookctl explains {request_id} from the log excerpt of a day with failures")
def explains(context, request_id):
    command = [
        str(pathlib.Path(sys.executable).parent / "rookctl"),
        "explain",
        request_id,
        "--log",
        "docs/excerpts/trouble.log",
    ]
    context.explained = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )


@then("it exits {code:d} and reports {text}")
def exits_and_reports(context, code, text):
    done = context.explained
    assert done.returncode == code, (done.returncode, done.stderr)
    assert text in done.stdout + done.stderr, done.stdout + done.stderr
