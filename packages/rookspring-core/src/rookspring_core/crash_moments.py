"""Crashes of many endpoints at one moment, which are one event and not many pieces of evidence.

A rack or a data centre takes many processes down at once, and parts of prompts that many requests
share are under some of these crashes by chance. A part that crashes what runs it is under each
crash of its own, so what is under some of a moment's crashes only has not brought that moment
about.
"""

import typing as t

from . import defaults

if t.TYPE_CHECKING:
    from .evidence import CrashRecord


def count_moments(
    records: t.Iterable["CrashRecord"], ended_at: t.Collection[float]
) -> list["CrashRecord"]:
    """Return the crash records of one subject that count: one of a moment that it is no cause of.

    :param ended_at: when the known processes crashed.
    """
    counted: list[CrashRecord] = []
    for moment in _group(records):
        first_at = moment[0].at - defaults.CRASH_MOMENT_S
        last_at = moment[-1].at + defaults.CRASH_MOMENT_S
        crashes = sum(first_at <= at <= last_at for at in ended_at)
        if crashes < defaults.MOMENT_CRASHES_MIN or len(moment) >= crashes:
            counted += moment
        else:
            counted.append(max(moment, key=lambda record: record.early))
    return counted


def _group(records: t.Iterable["CrashRecord"]) -> list[list["CrashRecord"]]:
    """Return the records by moments."""
    moments: list[list[CrashRecord]] = []
    for one in sorted(records, key=lambda record: record.at):
        if moments and one.at - moments[-1][-1].at < defaults.CRASH_MOMENT_S:
            moments[-1].append(one)
        else:
            moments.append([one])
    return moments
