"""Plays all rows of the table of ends of answers between sockets; prints those that break a rule.

The rows are shared out among processes, each with two nodes of its own. CI plays those that cover
the table, and some drawn ones (``features/ends_table.feature``).
"""

import argparse
import asyncio
import concurrent.futures
import pathlib
import random
import sys
import typing as t

from rookspring.logs import configure
from rookspring_fakes import ends_checks
from rookspring_fakes import ends_table
from rookspring_fakes.ends_table import Row

from .registry import experiment
from .registry import report

FEATURES = pathlib.Path(__file__).resolve().parent.parent / "features"
PROCESSES = 4


class Played(t.NamedTuple):
    """A row, the names of the rules that it breaks, and what the log has of it."""

    row: Row
    broken: list[str]
    told: str


def _play_rows(rows: list[Row]) -> list[Played]:
    """Play rows one after another, in this process."""
    # The stage belongs to the features, which are no package.
    sys.path.insert(0, str(FEATURES))
    from ends_stage import EndsStage

    configure("ERROR")

    async def play() -> list[Played]:
        stage = EndsStage()
        await stage.start()
        played = []
        for row in rows:
            outcome = await stage.play(row)
            broken = ends_checks.find_broken(outcome)
            played.append(Played(row, broken, stage.describe(outcome) if broken else ""))
        await stage.close()
        return played

    return asyncio.run(play())


@experiment("ends")
def main(arguments: list[str]) -> int:
    """Play rows; the exit code is 1 if one of them breaks a rule."""
    parser = argparse.ArgumentParser(prog="ends", description=__doc__)
    parser.add_argument("--processes", type=int, default=PROCESSES)
    parser.add_argument("--rows", type=int, default=0, help="so many, drawn; all by default")
    parser.add_argument("--seed", type=int, default=1, help="draws the rows")
    parser.add_argument("--only", default="", help="parts of rows, separated by commas")
    args = parser.parse_args(arguments)
    parts = {part.strip() for part in args.only.split(",") if part.strip()}
    rows = [row for row in ends_table.list_rows() if parts.issubset(row)]
    random.Random(args.seed).shuffle(rows)
    rows = rows[: args.rows or None]
    with concurrent.futures.ProcessPoolExecutor(args.processes) as pool:
        shares = [rows[number :: args.processes] for number in range(args.processes)]
        played = [one for share in pool.map(_play_rows, shares) for one in share]
    broken = sorted(one for one in played if one.broken)
    for one in broken:
        print(f"{one.row}: {'; '.join(one.broken)}\n{one.told}")
    print(f"{len(played)} rows played, {len(broken)} break a rule")
    table = [one.row._asdict() | {"broken": "; ".join(one.broken)} for one in broken]
    report("ends", "rows that break a rule", table)
    return int(bool(broken))
