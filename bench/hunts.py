"""Summary of the journal of hunts and scores, including days that missed the gate.

    make bench B=hunts ARGS="[--since ENTRY] [--journal DIR]"

The output of a hunt lists the days on which a rule was broken, but not those that missed the
gate; its journal has both.
"""

import argparse
import json
import pathlib
import statistics
import typing as t

from .registry import experiment
from .registry import report

COMMANDS = ("hunt", "score")


class HuntDay(t.NamedTuple):
    """One day of a hunt or a score.

    :param version: abbreviated commit of the measured sources.
    :param worth: None if the day was aborted.
    :param broken_rules: rules that were broken, and the fault if there was one.
    :param shortfalls: reasons why the day missed the gate.
    """

    version: str
    site: str
    slot: str
    seed: str
    worth: float | None
    broken_rules: tuple[str, ...]
    shortfalls: tuple[str, ...]


def read_entry(raw: t.Mapping[str, t.Any]) -> list[HuntDay]:
    """Return the days of one entry; none if it is neither a hunt nor a score."""
    if raw.get("cmd") not in COMMANDS:
        return []
    sites = [str(one) for one in raw.get("argv", ()) if str(one).endswith(".toml")]
    name = pathlib.PurePosixPath(sites[0]).stem if sites else "?"
    return [_read_day(raw, name, day) for day in raw.get("days", ())]


def _read_day(raw: t.Mapping[str, t.Any], site: str, day: t.Mapping[str, t.Any]) -> HuntDay:
    broken = [str(rule) for rule in day.get("rules") or ()]
    if day.get("fault"):
        broken.append(f"fault: {day['fault']}")
    return HuntDay(
        version=str(raw.get("head", ""))[:7],
        site=site,
        slot=str(day.get("slot", "")),
        seed=str(day.get("name") or day.get("seed")),
        worth=day.get("G"),
        broken_rules=tuple(broken),
        shortfalls=tuple(str(one) for one in day.get("short") or ()),
    )


def read_journal(folder: pathlib.Path, since: str) -> list[HuntDay]:
    """Read the entries of a journal whose file name is not less than ``since``."""
    found: list[HuntDay] = []
    for path in sorted(folder.glob("*.json")):
        if path.name >= since:
            found += read_entry(json.loads(path.read_text()))
    return found


def summarise(found: list[HuntDay]) -> list[dict[str, t.Any]]:
    """Count days by version, site and slot, with their mean worth."""
    groups: dict[tuple[str, str, str], list[HuntDay]] = {}
    for one in found:
        groups.setdefault((one.version, one.site, one.slot), []).append(one)
    rows = []
    for (version, site, slot), days in groups.items():
        worths = [one.worth for one in days if one.worth is not None]
        rows.append(
            {
                "version": version,
                "site": site,
                "slot": slot,
                "days": len(days),
                "broken": sum(1 for one in days if one.broken_rules),
                "short": sum(1 for one in days if one.shortfalls),
                "worth": statistics.mean(worths) if worths else float("nan"),
            }
        )
    return rows


def list_failed_days(found: list[HuntDay]) -> list[dict[str, t.Any]]:
    """List the days with broken rules or shortfalls, each with its reasons."""
    return [
        {"version": one.version, "site": one.site, "day": one.seed, "why": "; ".join(why)}
        for one in found
        if (why := [*one.broken_rules, *one.shortfalls])
    ]


@experiment("hunts")
def main(arguments: list[str]) -> int:
    """Print the tables; 1 if there are no days of a hunt or a score."""
    parser = argparse.ArgumentParser(prog="hunts", description=__doc__)
    parser.add_argument("--journal", type=pathlib.Path, default=pathlib.Path("journal"))
    parser.add_argument(
        "--since", default="", help="file name of the first entry, or a prefix of it"
    )
    args = parser.parse_args(arguments)
    found = read_journal(args.journal, args.since)
    if not found:
        print(
            f"--journal: no hunt or score found in {args.journal} "
            f"since {args.since or 'its beginning'}"
        )
        return 1
    report("hunts", "hunts and scores", summarise(found))
    report(
        "hunts-faults",
        "days with a rule broken, a fault, or short of the gate",
        list_failed_days(found),
    )
    return 0
