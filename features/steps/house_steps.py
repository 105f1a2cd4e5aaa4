import ast
import pathlib
import re

from behave import then

ROOT = pathlib.Path(__file__).parent.parent.parent
PACKAGES = {
    "rookspring_core": ROOT / "packages/rookspring-core/src/rookspring_core",
    "rookspring": ROOT / "packages/rookspring/src/rookspring",
    "rookspring_platform": ROOT / "platform/src/rookspring_platform",
    "rookspring_fakes": ROOT / "packages/rookspring-fakes/src/rookspring_fakes",
    "rookspring_ctl": ROOT / "packages/rookspring-ctl/src/rookspring_ctl",
}
# The command that starts the demonstration raises the stand-ins.
DEMO = {"cli", "demonstration", "stage"}
# Names of the platform's own that its pages give to what the project calls otherwise.
THEIRS = re.compile(r"X-Rookspring-Tenant|api-keys|rate-per-s|plain-tokens|path-prefix|as-of")


def modules(package):
    return [path for path in PACKAGES[package].glob("*.py") if not path.name.startswith("__")]


def imported(path):
    """Give the packages of the project that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {one.name.split(".")[0] for one in node.names}
        elif isinstance(node, ast.ImportFrom) and not node.level and node.module:
            found.add(node.module.split(".")[0])
    return found & set(PACKAGES)


@then("docs/design/house.md names each module of the packages")
def names_each(context):
    text = (ROOT / "docs/design/house.md").read_text()
    sections = {part.split("`")[1]: part for part in text.split("\n## ")[1:] if part[0] == "`"}
    assert set(sections) == set(PACKAGES), set(sections)
    for package, section in sections.items():
        named = set(re.findall(r"^\| `(\w+)` \|", section, flags=re.M))
        there = {path.stem for path in modules(package)}
        assert named == there, (package, named ^ there)


@then("{package} imports no more than: {allowed}")
def imports_allowed(context, package, allowed):
    names = set(re.findall(r"rookspring\w*", allowed)) | {package}
    for path in modules(package):
        beyond = imported(path) - names
        assert not beyond, (path.name, beyond)
        if "rookspring_fakes" in imported(path) and package == "rookspring":
            assert path.stem in DEMO, path.name


@then("no module outside rookspring_platform names a header or field of the platform")
def no_names(context):
    for package in ("rookspring_core", "rookspring", "rookspring_ctl"):
        for path in modules(package):
            found = THEIRS.findall(path.read_text())
            assert not found, (path.name, found)
