import ast
import json
import pathlib
import re
import subprocess
import sys
import tomllib

from behave import given
from behave import then
from behave import when
from field_readers import find_unread
from run import count_scenarios
from run import match_unlisted
from run import read_known

ROOT = pathlib.Path(__file__).parent.parent.parent
PACKAGES = {
    "rookspring_core": ROOT / "packages/rookspring-core/src/rookspring_core",
    "rookspring": ROOT / "packages/rookspring/src/rookspring",
    "rookspring_platform": ROOT / "platform/src/rookspring_platform",
    "rookspring_fakes": ROOT / "packages/rookspring-fakes/src/rookspring_fakes",
    "rookspring_ctl": ROOT / "packages/rookspring-ctl/src/rookspring_ctl",
}
# The modules of the demonstration, which uses the fakes.
DEMO = {"cli", "demonstration", "local_cluster"}
# Terms of the platform for which the project has others.
PLATFORM_TERMS = re.compile(
    r"X-Rookspring-Tenant|api-keys|rate-per-s|plain-tokens|path-prefix|as-of"
)


def modules(package):
    return [path for path in PACKAGES[package].glob("*.py") if not path.name.startswith("__")]


def imported(path):
    """Return the project's packages that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {one.name.split(".")[0] for one in node.names}
        elif isinstance(node, ast.ImportFrom) and not node.level and node.module:
            found.add(node.module.split(".")[0])
    return found & set(PACKAGES)


@then("docs/design/house.md lists each module of the packages")
def lists_each(context):
    text = (ROOT / "docs/design/house.md").read_text()
    sections = {part.split("`")[1]: part for part in text.split("\n## ")[1:] if part[0] == "`"}
    assert set(sections) == set(PACKAGES), set(sections)
    for package, section in sections.items():
        named = set(re.findall(r"^\| `(\w+)` \|", section, flags=re.M))
        existing = {path.stem for path in modules(package)}
        assert named == existing, (package, named ^ existing)


@then("each field of a decoded type is read, except for those in this table")
def each_field_read(context):
    excepted = {row["field"] for row in context.table}
    assert find_unread() == excepted, find_unread() ^ excepted


@then("vulture reports nothing in the packages, except for the fakes")
def nothing_unused(context):
    command = [sys.executable, "-m", "vulture"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode in (0, 3), done.stderr
    named = [line for line in done.stdout.splitlines() if line.startswith(("packages", "platform"))]
    found = [line for line in named if "rookspring_fakes" not in line]
    assert not found, found


@then("{package} imports no more than: {allowed}")
def imports_allowed(context, package, allowed):
    names = set(re.findall(r"rookspring\w*", allowed)) | {package}
    for path in modules(package):
        forbidden = imported(path) - names
        assert not forbidden, (path.name, forbidden)
        if "rookspring_fakes" in imported(path) and package == "rookspring":
            assert path.stem in DEMO, path.name


@then("no module outside rookspring_platform contains a header or field of the platform")
def no_platform_terms(context):
    for package in ("rookspring_core", "rookspring", "rookspring_ctl"):
        for path in modules(package):
            found = PLATFORM_TERMS.findall(path.read_text())
            assert not found, (path.name, found)


def day_files():
    """Return the path, text and content of each day file, of which there are at least ten."""
    paths = sorted((ROOT / "deploy/days").glob("*.toml"))
    assert len(paths) >= 10, paths
    return [(path, path.read_text(), tomllib.loads(path.read_text())) for path in paths]


@then("each day file begins with a sentence on its purpose, and has the name of its day")
def day_files_named(context):
    for path, text, content in day_files():
        assert text.startswith("# ") and text.splitlines()[0].endswith("."), path.name
        (day,) = content["day"]
        assert day["name"] == path.stem, path.name
        assert day["plan"] or day["faults"], path.name


@then("no day file names a service, class of requests or data centre of one deployment")
def day_files_general(context):
    for path, _, content in day_files():
        (day,) = content["day"]
        for entry in (*day["plan"], *day["faults"]):
            names = [entry[key] for key in ("service", "class", "zone", "to_zone") if key in entry]
            assert all(name.startswith("@") for name in names), (path.name, entry)
            assert entry["at"] >= 0.0, (path.name, entry)


@given('a run in which the scenario "a" {ends}, and "b" passes')
def a_run(context, ends):
    status = {"a": {"passes": "passed", "fails": "failed"}[ends], "b": "passed"}
    elements = [
        {
            "type": "scenario",
            "name": name,
            "location": f"features/{name}.feature:1",
            "status": one,
            "steps": [
                {"name": "it starts", "result": {"status": "passed"}},
                {"name": "it works", "result": {"status": one, "error_message": ["3", " for 4"]}},
            ],
        }
        for name, one in status.items()
    ]
    context.report = json.dumps([{"status": "failed", "elements": elements}])


@when("its results are compared with the list of known failures: {lines}")
def compared(context, lines):
    known = read_known("" if lines == "none" else lines.replace(" / ", "\n"))
    context.verdict = count_scenarios(context.report, known, whole=True)


@then("it counts {passed:d} passed and {failed:d} failed")
def counts(context, passed, failed):
    assert (context.verdict.passed, context.verdict.failed) == (passed, failed), context.verdict


@then("of the scenario {title}, it is {found} that the list {lines} names it")
def names_listed(context, title, found, lines):
    known = read_known("" if lines == "none" else lines.replace(" / ", "\n"))
    listed = re.search(match_unlisted(known), title) is None
    assert listed == (found == "found"), match_unlisted(known)


@then("its failures are named as: {line}")
def failures_named(context, line):
    assert context.verdict.failures == ([] if line == "none" else [line]), context.verdict


@then("the list of known failures {lines} is rejected")
def list_rejected(context, lines):
    try:
        known = read_known("\n".join(lines.split(" / ")))
    except ValueError as error:
        assert "KNOWN-RED.txt" in str(error)
    else:
        raise AssertionError(known)
