"""What hunts and scores found, from their journal: also days that fell short of the gate.

    make bench B=hunts ARGS="[--since ENTRY] [--journal DIR]"

A hunt's print tells the days on which a rule broke, and not those that fell short of the
gate; its journal tells both.
"""

import argparse
import json
import pathlib
import statistics
import typing as t

from .registry import experiment
from .registry import report

VERBS = ("hunt", "score")


class Found(t.NamedTuple):
    """One day of a hunt or a score.

    :param version: the sources that were measured.
    :param worth: None where the day was given up.
    """

    version: str
    site: str
    slot: str
    seed: str
    worth: float | None
    broken: tuple[str, ...]
    short: tuple[str, ...]


def read_entry(raw: t.Mapping[str, t.Any]) -> list[Found]:
    """Read the days of one entry; none where it is no hunt and no score."""
    if raw.get("cmd") not in VERBS:
        return []
    sites = [str(one) for one in raw.get("argv", ()) if str(one).endswith(".toml")]
    name = pathlib.PurePosixPath(sites[0]).stem if sites else "?"
    return [_read_day(raw, name, day) for day in raw.get("days", ())]


def _read_day(raw: t.Mapping[str, t.Any], site: str, day: t.Mapping[str, t.Any]) -> Found:
    broken = [str(rule) for rule in day.get("rules") or ()]
    if day.get("fault"):
        broken.append(f"fault: {day['fault']}")
    return Found(
        version=str(raw.get("head", ""))[:7],
        site=site,
        slot=str(day.get("slot", "")),
        seed=str(day.get("name") or day.get("seed")),
        worth=day.get("G"),
        broken=tuple(broken),
        short=tuple(str(one) for one in day.get("short") or ()),
    )


def read_journal(folder: pathlib.Path, since: str) -> list[Found]:
    """Read all entries of a journal from one on, by their names."""
    found: list[Found] = []
    for path in sorted(folder.glob("*.json")):
        if path.name >= since:
            found += read_entry(json.loads(path.read_text()))
    return found


def summarise(found: list[Found]) -> list[dict[str, t.Any]]:
    """Sum up by version, site and slot."""
    groups: dict[tuple[str, str, str], list[Found]] = {}
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
                "broken": sum(1 for one in days if one.broken),
                "short": sum(1 for one in days if one.short),
                "worth": statistics.mean(worths) if worths else float("nan"),
            }
        )
    return rows


def list_faults(found: list[Found]) -> list[dict[str, t.Any]]:
    """List the days to play again, each with its reasons."""
    return [
        {"version": one.version, "site": one.site, "day": one.seed, "why": "; ".join(why)}
        for one in found
        if (why := [*one.broken, *one.short])
    ]


@experiment("hunts")
def main(arguments: list[str]) -> int:
    """Print the tables; 1 where no entry tells of a hunt."""
    parser = argparse.ArgumentParser(prog="hunts", description=__doc__)
    parser.add_argument("--journal", type=pathlib.Path, default=pathlib.Path("journal"))
    parser.add_argument("--since", default="", help="the first entry's file name, or its beginning")
    given = parser.parse_args(arguments)
    found = read_journal(given.journal, given.since)
    if not found:
        print(f"--journal: {given.journal} tells of no hunt since {given.since or 'its beginning'}")
        return 1
    report("hunts", "hunts and scores", summarise(found))
    report(
        "hunts-faults", "days with a rule broken, a fault, or short of the gate", list_faults(found)
    )
    return 0
