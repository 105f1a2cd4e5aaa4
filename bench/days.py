"""Compares versions over simulated days: versions x sites x days x seeds, as one table.

    make bench B=days ARGS="--program BENCH --sites A.toml,B.toml --trees before=DIR,after=."

Each tree is a separate checkout that is already built. The users' program simulates the days
with it and writes its journal entries there. Two runs of the same day differ by some 0.02 of
worth, and by far more if the system decides differently, so a change has to be compared over
many days and seeds.
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import tempfile
import typing as t

from .registry import experiment
from .registry import report

# The users allow at most four concurrent days on this machine.
JOBS = 4
DAYS = "quiet-1,trouble-1,trouble-2,trouble-3,scale-1,scale-2"
# A day takes about a minute and a half to simulate, and several minutes for a large site.
DAY_LIMIT_S = 1_500.0


class Run(t.NamedTuple):
    """One day to simulate with one version."""

    version: str
    tree: pathlib.Path
    site: pathlib.Path
    day: str
    seed: str


class DayResult(t.NamedTuple):
    """Results of one day; ``failure`` is the reason why there are none."""

    run: Run
    worth: float = float("nan")
    served: float = float("nan")
    broken_rules: str = ""
    shortfalls: str = ""
    prices: t.Mapping[str, float] = {}
    failure: str = ""


def parse_trees(text: str) -> list[tuple[str, pathlib.Path]]:
    """Parse NAME=DIR pairs that are separated by commas.

    :raises argparse.ArgumentTypeError: if a part is not a pair or its folder does not exist.
    """
    pairs = []
    for part in text.split(","):
        name, sign, folder = part.partition("=")
        if not sign or not pathlib.Path(folder).is_dir():
            raise argparse.ArgumentTypeError(
                f"{part!r}: expected NAME=DIR, where DIR is a checkout"
            )
        pairs.append((name, pathlib.Path(folder).resolve()))
    return pairs


def resolve_day(day: str) -> str:
    """Return the name of a day, or its absolute path if it is an existing file."""
    path = pathlib.Path(day)
    return str(path.resolve()) if path.is_file() else day


def run_day(program: pathlib.Path, why: str, run: Run, options: t.Sequence[str] = ()) -> DayResult:
    """Simulate one day and read its report.

    :param why: the reason for the run, which goes into the journal.
    :param options: further arguments for the users' program.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "report.json"
        command = [str(program), "run", str(run.site), run.day, "--report", str(path)]
        command += ["--why", f"trial of {run.version}: {why}", *options]
        if run.seed:
            command += ["--seed", run.seed]
        try:
            completed = subprocess.run(
                command,
                check=False,
                cwd=run.tree,
                capture_output=True,
                text=True,
                timeout=DAY_LIMIT_S,
            )
        except subprocess.TimeoutExpired:
            return DayResult(run, failure=f"timed out after {DAY_LIMIT_S:.0f} s")
        if not path.exists():
            return DayResult(run, failure=(completed.stderr or completed.stdout).strip()[-200:])
        return read_report(run, json.loads(path.read_text()))


def read_report(run: Run, raw: t.Mapping[str, t.Any]) -> DayResult:
    """Extract the results from a day's report."""
    return DayResult(
        run,
        worth=float(raw["G"]),
        served=float(raw["served"]),
        broken_rules=" ".join(raw["breaks"]) or str(raw["fault"] or ""),
        shortfalls="; ".join(str(one) for one in raw["short"]),
        prices={str(name): float(price) for name, _, price in raw["prices"]},
    )


def summarise(figures: list[DayResult]) -> list[dict[str, t.Any]]:
    """Return the mean worth by day for each site and version, then totals over all days."""
    groups: dict[str, list[DayResult]] = {}
    for one in figures:
        groups.setdefault(f"{one.run.site.stem} {one.run.version}", []).append(one)
    rows: list[dict[str, t.Any]] = []
    for day in dict.fromkeys(one.run.day for one in figures):
        row: dict[str, t.Any] = {"day": pathlib.Path(day).stem}
        for column, results in groups.items():
            row[column] = _mean([one for one in results if one.run.day == day])
        rows.append(row)
    totals: tuple[tuple[str, t.Callable[[list[DayResult]], float]], ...] = (
        ("mean", _mean),
        ("days with a rule broken", lambda results: sum(bool(one.broken_rules) for one in results)),
        ("days short of the gate", lambda results: sum(bool(one.shortfalls) for one in results)),
        ("days not played", lambda results: sum(bool(one.failure) for one in results)),
    )
    for name, total in totals:
        rows.append({"day": name, **{column: total(results) for column, results in groups.items()}})
    return rows


def _mean(figures: list[DayResult]) -> float:
    worth = [one.worth for one in figures if not one.failure]
    return statistics.fmean(worth) if worth else float("nan")


def compare_versions(figures: list[DayResult]) -> list[dict[str, t.Any]]:
    """Return each version's difference in worth to the first, over the same days and seeds.

    ``spread`` is the standard deviation of the differences; ``better`` counts the days on which
    the version was better.
    """
    versions = list(dict.fromkeys(one.run.version for one in figures))
    played = {
        (one.run.version, *_day_key(one.run)): one.worth for one in figures if not one.failure
    }
    days = list(dict.fromkeys(_day_key(one.run) for one in figures))
    rows: list[dict[str, t.Any]] = []
    for site in dict.fromkeys(site for site, _, _ in days):
        for version in versions[1:]:
            pairs = [
                played[(version, *day)] - played[(versions[0], *day)]
                for day in days
                if day[0] == site and {(version, *day), (versions[0], *day)} <= set(played)
            ]
            rows.append(
                {
                    "site": site,
                    "version": version,
                    "difference": statistics.fmean(pairs) if pairs else float("nan"),
                    "spread": statistics.stdev(pairs) if len(pairs) > 1 else float("nan"),
                    "better": sum(pair > 0 for pair in pairs),
                    "days": len(pairs),
                }
            )
    return rows


def _day_key(run: Run) -> tuple[str, str, str]:
    return run.site.stem, run.day, run.seed


def list_prices(figures: list[DayResult], min_price: float = 0.004) -> list[dict[str, t.Any]]:
    """Return the highest prices by version, as means over all days.

    :param min_price: rows below this price in all versions are left out.
    """
    versions = sorted({one.run.version for one in figures})
    names = sorted({name for one in figures for name in one.prices})
    rows = []
    for name in names:
        row: dict[str, t.Any] = {"price": name}
        for version in versions:
            results = [one for one in figures if one.run.version == version and not one.failure]
            row[version] = statistics.fmean(one.prices.get(name, 0.0) for one in results or figures)
        rows.append(row)
    expensive = [row for row in rows if max(row[one] for one in versions) >= min_price]
    return sorted(expensive, key=lambda row: -row[versions[0]])


@experiment("days")
def main(arguments: list[str]) -> int:
    """Simulate all days and print the tables; 1 if a rule was broken or a day failed."""
    parser = argparse.ArgumentParser(prog="days", description=__doc__)
    parser.add_argument("--program", required=True, type=pathlib.Path, help="the users' simulator")
    parser.add_argument("--sites", required=True, help="site files, separated by commas")
    parser.add_argument(
        "--trees", type=parse_trees, required=True, help="NAME=DIR, separated by commas"
    )
    parser.add_argument("--days", default=DAYS, help="names or files, separated by commas")
    parser.add_argument(
        "--seeds", default="", help="numbers, separated by commas; default: the days' own seeds"
    )
    parser.add_argument(
        "--why", required=True, help="reason for the runs, written to the journal of each tree"
    )
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument(
        "--no-cpu",
        action="store_true",
        help="charge no processor time; runs are then mostly repeatable, which shows small effects",
    )
    args = parser.parse_args(arguments)
    runs = [
        Run(name, tree, pathlib.Path(site).resolve(), resolve_day(day), seed)
        for seed in args.seeds.split(",")
        for site in args.sites.split(",")
        for day in args.days.split(",")
        for name, tree in args.trees
    ]
    program = args.program.resolve()
    options = ["--no-cpu"] if args.no_cpu else []
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as workers:
        figures = list(workers.map(lambda run: run_day(program, args.why, run, options), runs))
    for one in figures:
        if one.failure or one.broken_rules or one.shortfalls:
            what = (
                one.failure
                or f"broken: {one.broken_rules or 'none'}; short: {one.shortfalls or 'none'}"
            )
            print(f"{one.run.version} {one.run.site.stem} {one.run.day} {one.run.seed}: {what}")
    report("days", f"worth by version and day: {args.why}", summarise(figures))
    if len(args.trees) > 1:
        report("days-pairs", "difference to the first version", compare_versions(figures))
    report("days-prices", "prices, as means over all days", list_prices(figures))
    return int(any(one.failure or one.broken_rules for one in figures))
