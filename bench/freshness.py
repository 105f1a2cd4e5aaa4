"""Measures attainment and the bytes sent for load reports, by the interval between reports."""

import typing as t

from rookspring_core.events import EndpointReported
from rookspring_fakes.users import USERS

from .overload import POLICIES
from .overload import run_once
from .registry import experiment
from .registry import report


def _report_bytes() -> int:
    """Return the encoded size of a load report between nodes."""
    from rookspring.gossip import encode_report
    from rookspring.messages import Reports
    from rookspring.messages import encode

    resident = tuple((f"pitwall-llm-{number:02d}", "v1") for number in range(4))
    adapters = tuple(f"adapter-{number:03d}" for number in range(20))
    row = EndpointReported(
        0.0,
        "pitwall-llm-r0",
        "1",
        0.2,
        16,
        9,
        1,
        800.0,
        100.0,
        80.0,
        resident,
        (),
        adapters,
        52.0,
    )
    return len(encode(Reports([encode_report(row, 0.0)])))


@experiment("freshness")
def run(arguments: list[str]) -> int:
    """Measure report intervals from 0.1 to 10 s."""
    rows: list[dict[str, t.Any]] = []
    size = _report_bytes()
    violations: list[str] = []
    for user in USERS:
        endpoints = USERS[user].runners
        for period_s in (0.1, 0.5, 1.0, 2.0, 5.0, 10.0):
            row: dict[str, t.Any] = {
                "user": user,
                "report every s": period_s,
                "bytes/s a node": round(size * endpoints / period_s),
            }
            for load in (0.9, 1.5):
                stats, world, bound = run_once(
                    user, POLICIES[0], load, 3, period_s / 2, 30.0, period_s
                )
                violations += world.check()
                row[f"attainment {load}"] = round(stats.attainment(), 4)
                row[f"goodput/bound {load}"] = round(stats.good_tokens / 30.0 / bound, 4)
            rows.append(row)
    report("freshness", f"attainment and bytes by report interval ({size} bytes per report)", rows)
    for violation in violations:
        print(f"BROKEN {violation}")
    return int(bool(violations))
