"""Runs behave, features side by side, and prints its own counts as the verdict's line.

Scenarios that ``KNOWN-RED.txt`` lists are passed over while they fail: they are printed and
count as nothing. One that is listed and passes, or is not there, is a failure, so that no line
outlives its fault. A line that begins with ``run:`` names a day that only a hunt can play;
it is printed.
"""

import concurrent.futures
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import typing as t

from behave.__main__ import main as behave

KNOWN = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
DAY = "run:"
# A line's parts, and how many lines there may be.
KNOWN_PARTS = 4
KNOWN_MOST = 8
# Features that run at once, each in a process of its own: one after another they took 8.5
# minutes on 8 cores.
AT_ONCE = 4
# Seconds of those that take longest, which begin first.
SLOW = {
    "organisations": 240,
    "rate_limits": 200,
    "processes": 90,
    "size": 100,
    "crashes": 60,
    "adapters": 50,
    "store_copies": 110,
    "relay_sockets": 40,
}
# Has a process write its report to the file that follows.
REPORT = "--report"


class Ran(t.NamedTuple):
    """What a run of features gave: behave's exit code and report."""

    code: int
    report: list[t.Any]


class Verdict(t.NamedTuple):
    """How many scenarios passed and failed, and how many lines of the known ones did fail."""

    passed: int
    failed: int
    red: int


def read_known(text: str) -> dict[str, str]:
    """Read the scenarios known to fail, each with its line; ``#`` begins a comment.

    :raises ValueError: for a line that is not ``SCENARIO; cause; command; issue``.
    """
    known = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = line.split(";")
        if len(parts) != KNOWN_PARTS or not all(part.strip() for part in parts):
            raise ValueError(f"KNOWN-RED.txt: {line!r}: SCENARIO; cause; command; issue")
        known[parts[0].strip()] = line
    if len(known) > KNOWN_MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(known)} lines; {KNOWN_MOST} at most")
    return known


def count(report: str, known: dict[str, str], whole: bool) -> Verdict:
    """Count scenarios by behave's report; whatever did not pass has failed.

    :param whole: all features were run, so that each listed scenario ought to be there.
    """
    passed = 0
    failed = 0
    red: dict[str, bool] = {}
    for feature in json.loads(report):
        if feature["status"] not in ("passed", "failed", "skipped"):
            # It could not be run whole, whatever its scenarios say.
            failed += 1
        for element in feature.get("elements", []):
            if element["type"] != "scenario":
                continue
            name = element["name"].partition(" -- @")[0]
            good = element["status"] == "passed"
            if name in known:
                # Of an outline one row that fails is enough.
                red[name] = red.get(name, False) or not good
            elif good:
                passed += 1
            else:
                failed += 1
    for name, line in known.items():
        if name.startswith(DAY) or red.get(name, False):
            print(f"known red: {line}")
        elif name in red or whole:
            failed += 1
            print(f"listed in KNOWN-RED.txt, but does not fail: {name}")
    return Verdict(passed, failed, sum(red.values()))


def run_behave(arguments: list[str]) -> Ran:
    """Run features in this process."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "report.json"
        wanted = ["--format", "json", "--outfile", str(path), "--format", "progress"]
        wanted += ["--no-skipped", "--logging-level", "ERROR", *arguments]
        code = behave(wanted)
        text = path.read_text() if path.exists() else ""
    return Ran(code, json.loads(text or "[]"))


def run_apart(feature: pathlib.Path) -> Ran:
    """Run one feature in a process of its own; what it prints is printed once it is over."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "report.json"
        command = [sys.executable, __file__, REPORT, str(path), str(feature)]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        text = path.read_text() if path.exists() else ""
    sys.stdout.write(done.stdout + done.stderr)
    # One that left no report has failed, whatever its code.
    report = json.loads(text) if text else [{"status": "error"}]
    return Ran(done.returncode, report)


def run_all(folder: pathlib.Path) -> Ran:
    """Run all features, some side by side: each has its own process, ports and clock."""
    features = sorted(folder.glob("*.feature"), key=lambda one: (-SLOW.get(one.stem, 0), one.name))
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        runs = list(pool.map(run_apart, features))
    return Ran(max(one.code for one in runs), [row for one in runs for row in one.report])


def main(arguments: list[str]) -> int:
    """Run all features, or those that the arguments name."""
    if arguments and arguments[0] == REPORT:
        ran = run_behave(arguments[2:])
        pathlib.Path(arguments[1]).write_text(json.dumps(ran.report))
        return int(ran.code != 0)
    if not arguments:
        ran = run_all(pathlib.Path(__file__).resolve().parent)
    elif any(not one.startswith("-") for one in arguments):
        ran = run_behave(arguments)
    else:
        ran = run_behave([*arguments, "features"])
    known = read_known(KNOWN.read_text()) if KNOWN.exists() else {}
    passed, failed, red = count(json.dumps(ran.report), known, whole=not arguments)
    if passed == 0 or (ran.code != 0 and failed + red == 0):
        failed += 1
    print(f"{passed} passed, {failed} failed")
    return int(failed > 0)


if __name__ == "__main__":
    sys.stdout = io.TextIOWrapper(sys.stdout.buffer, line_buffering=True)
    sys.exit(main(sys.argv[1:]))
