"""Runs behave and prints its own counts as the verdict's line.

Scenarios that ``KNOWN-RED.txt`` lists are passed over while they fail: they are printed and
count as nothing. One that is listed and passes, or is not there, is a failure, so that no line
outlives its fault. A line that begins with ``run:`` names a day that only a hunt can play;
it is printed.
"""

import io
import json
import pathlib
import sys
import tempfile
import typing as t

from behave.__main__ import main as behave

KNOWN = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
DAY = "run:"
# A line's parts, and how many lines there may be.
KNOWN_PARTS = 4
KNOWN_MOST = 3


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


def main() -> int:
    """Run all features, or those that the arguments name."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "report.json"
        arguments = ["--format", "json", "--outfile", str(path), "--format", "progress"]
        arguments += ["--no-skipped", "--logging-level", "ERROR", *sys.argv[1:]]
        whole = len(sys.argv) == 1
        if not any(not one.startswith("-") for one in sys.argv[1:]):
            arguments.append("features")
        code = behave(arguments)
        text = path.read_text() if path.exists() else "[]"
    known = read_known(KNOWN.read_text()) if KNOWN.exists() else {}
    passed, failed, red = count(text or "[]", known, whole)
    if passed == 0 or (code != 0 and failed + red == 0):
        failed += 1
    print(f"{passed} passed, {failed} failed")
    return int(failed > 0)


if __name__ == "__main__":
    sys.stdout = io.TextIOWrapper(sys.stdout.buffer, line_buffering=True)
    sys.exit(main())
