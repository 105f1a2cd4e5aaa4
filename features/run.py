"""Runs behave, with several features in parallel, and prints how many scenarios passed and failed.

Scenarios that ``KNOWN-RED.txt`` lists are expected to fail: while they do, they are printed and
counted neither as passed nor as failed. A listed scenario that passes, or does not exist, counts
as failed, so that its line is removed once the fault is mended. A line that begins with ``run:``
names a simulated day, which the features don't run; it is only printed. One that begins with
``sometimes:`` names a scenario and the step at which it fails in some runs: a failure there is
counted neither way, a failure at any other step counts, and so does a scenario that is gone.
The last lines before the verdict name each failure, its step and the end of its error.
"""

import concurrent.futures
import io
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import typing as t

from behave.__main__ import main as behave

KNOWN = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
RUN_PREFIX = "run:"
SOMETIMES_PREFIX = "sometimes:"
# The number of fields of a line.
KNOWN_FIELDS = 4
# Features that run in parallel, each in its own process. Run one after another, all features take
# close to an hour.
FEATURES_MAX = 4
# Approximate durations of the slowest features, in seconds; the slowest are started first.
DURATIONS_S = {
    "organisations": 450,
    "rate_limits": 390,
    "store_copies": 180,
    "memory_sockets": 150,
    "size": 140,
    "cut_off": 120,
    "processes": 110,
    "house": 110,
    "ends_table": 100,
    "faults": 100,
    "notices": 90,
    "stream_versions_sockets": 90,
    "odd_entries": 80,
    "models_never_served": 80,
    "crashes": 80,
    "fatal_parts": 70,
    "lives": 50,
    "inner_bytes": 50,
    "losses": 40,
    "planned_ends_sockets": 40,
    "silent_channels_sockets": 40,
    "stop_rows": 40,
    "operations": 40,
    "relay_sockets": 30,
    "never_served": 30,
}
# Characters of a failed step's error that are printed before the verdict.
ERROR_CHARS_MAX = 400
# Flag of a subprocess: it is followed by the path to write the report to.
REPORT_FLAG = "--report"


class FeatureRun(t.NamedTuple):
    """The result of a run of features: behave's exit code and report."""

    code: int
    report: list[t.Any]


class ScenarioCounts(t.NamedTuple):
    """How many scenarios passed, a line for each failure, and how many listed ones failed."""

    passed: int
    failures: list[str]
    known_failures: int

    @property
    def failed(self) -> int:
        """The number of failures."""
        return len(self.failures)


def read_known(text: str) -> dict[str, str]:
    """Parse the list of scenarios that are known to fail into lines by scenario title.

    Lines that begin with ``#`` are comments.

    :raises ValueError: if a line is not ``SCENARIO; cause; command; issue``.
    """
    known = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = line.split(";")
        if len(parts) != KNOWN_FIELDS or not all(part.strip() for part in parts):
            raise ValueError(f"KNOWN-RED.txt: {line!r}: SCENARIO; cause; command; issue")
        known[parts[0].strip()] = line
    return known


def match_unlisted(known: t.Collection[str]) -> str:
    """Return a regular expression for the titles of scenarios that no line of the list names.

    Rows of an outline have its title, and theirs behind it.
    """
    titles = [_scenario_of(one) for one in known if not one.startswith(RUN_PREFIX)]
    listed = "|".join(re.escape(one) for one in titles)
    return f"^(?!(?:{listed})(?: -- @.*)?$)" if titles else ""


def count_scenarios(report: str, known: dict[str, str], whole: bool) -> ScenarioCounts:
    """Count the scenarios in behave's report; one that did not pass counts as failed.

    :param whole: whether all features were run, so that each listed scenario must be present.
    """
    passed = 0
    failures: list[str] = []
    still_failing: dict[str, bool] = {}
    seen: set[str] = set()
    sometimes = 0
    for feature in json.loads(report):
        if feature["status"] not in ("passed", "failed", "skipped"):
            failures.append(f"{feature.get('name', '')}: an error outside its scenarios")
        for element in feature.get("elements", []):
            if element["type"] != "scenario":
                continue
            name = element["name"].partition(" -- @")[0]
            seen.add(name)
            has_passed = element["status"] == "passed"
            if not has_passed and _sometimes_key(name, element) in known:
                sometimes += 1
            elif name in known:
                # A listed scenario outline counts as failing if at least one of its rows fails.
                still_failing[name] = still_failing.get(name, False) or not has_passed
            elif has_passed:
                passed += 1
            else:
                failures.append(_describe_failure(element))
    for name, line in known.items():
        gone = whole and name.startswith(SOMETIMES_PREFIX) and _scenario_of(name) not in seen
        listed = name.startswith((RUN_PREFIX, SOMETIMES_PREFIX)) and not gone
        if listed or still_failing.get(name, False):
            print(f"known red: {line}")
        elif name in still_failing or whole:
            failures.append(f"listed in KNOWN-RED.txt, but does not fail: {name}")
    return ScenarioCounts(passed, failures, sum(still_failing.values()) + sometimes)


def _sometimes_key(name: str, element: dict[str, t.Any]) -> str:
    """Return how a line of the list begins that names a scenario and the step that failed."""
    step = _find_failed_step(element)
    return f"{SOMETIMES_PREFIX} {name}, at: {step['name']}" if step else ""


def _describe_failure(element: dict[str, t.Any]) -> str:
    """Return a line with a scenario that failed, its step, and the end of its error."""
    step = _find_failed_step(element)
    if step is None:
        return f"{element['location']}: {element['name']}, at: no step"
    error = step.get("result", {}).get("error_message", [])
    lines = error.splitlines() if isinstance(error, str) else error
    text = " | ".join(line.strip() for line in lines if line.strip())
    where = f"{element['location']}: {element['name']}, at: {step['name']}"
    return f"{where}; {text[-ERROR_CHARS_MAX:]}"


def _find_failed_step(element: dict[str, t.Any]) -> dict[str, t.Any] | None:
    for step in element.get("steps", []):
        if step.get("result", {}).get("status") != "passed":
            return t.cast(dict[str, t.Any], step)
    return None


def _scenario_of(line: str) -> str:
    return line.removeprefix(SOMETIMES_PREFIX).partition(", at:")[0].strip()


def run_behave(arguments: list[str]) -> FeatureRun:
    """Run features in this process."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "report.json"
        options = ["--format", "json", "--outfile", str(path), "--format", "progress"]
        options += ["--no-skipped", "--logging-level", "ERROR", *arguments]
        code = behave(options)
        text = path.read_text() if path.exists() else ""
    return FeatureRun(code, json.loads(text or "[]"))


def run_in_subprocess(feature: pathlib.Path) -> FeatureRun:
    """Run one feature in a subprocess, and print its output once it has ended."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "report.json"
        command = [sys.executable, __file__, REPORT_FLAG, str(path), str(feature)]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        text = path.read_text() if path.exists() else ""
    sys.stdout.write(done.stdout + done.stderr)
    # Without a report the feature counts as failed, whatever the exit code.
    report = json.loads(text) if text else [{"status": "error", "name": feature.name}]
    return FeatureRun(done.returncode, report)


def run_all(folder: pathlib.Path) -> FeatureRun:
    """Run all features, ``FEATURES_MAX`` in parallel, each in its own process."""
    features = sorted(
        folder.glob("*.feature"), key=lambda one: (-DURATIONS_S.get(one.stem, 0), one.name)
    )
    with concurrent.futures.ThreadPoolExecutor(FEATURES_MAX) as pool:
        runs = list(pool.map(run_in_subprocess, features))
    return FeatureRun(max(one.code for one in runs), [row for one in runs for row in one.report])


def main(arguments: list[str]) -> int:
    """Run all features, or behave with the given arguments, and return the exit code."""
    if arguments and arguments[0] == REPORT_FLAG:
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
    counts = count_scenarios(json.dumps(ran.report), known, whole=not arguments)
    failures = counts.failures
    if counts.passed == 0:
        failures.append("no scenario passed")
    elif ran.code != 0 and not failures and counts.known_failures == 0:
        failures.append(f"behave ended with code {ran.code}, though no scenario failed")
    for line in failures:
        print(f"failed: {line}")
    print(f"{counts.passed} passed, {len(failures)} failed")
    return int(bool(failures))


if __name__ == "__main__":
    sys.stdout = io.TextIOWrapper(sys.stdout.buffer, line_buffering=True)
    sys.exit(main(sys.argv[1:]))
