"""Registry of experiments, and the reports that they print and write."""

import pathlib
import typing as t

import orjson
from rich.console import Console
from rich.table import Table

REPORTS = pathlib.Path("reports")
Experiment = t.Callable[[list[str]], int]
EXPERIMENTS: dict[str, Experiment] = {}


def experiment(name: str) -> t.Callable[[Experiment], Experiment]:
    """Register an experiment, which returns the exit code: non-zero if a check failed."""

    def register(function: Experiment) -> Experiment:
        EXPERIMENTS[name] = function
        return function

    return register


def report(name: str, title: str, rows: list[dict[str, t.Any]]) -> None:
    """Print a table and write it to ``reports/``; without rows, an empty line is printed."""
    table = Table(title=title, box=None, title_justify="left", header_style="bold")
    columns = list(rows[0]) if rows else []
    for column in columns:
        table.add_column(column, justify="right" if column != columns[0] else "left")
    for row in rows:
        table.add_row(*(_format_cell(row.get(column)) for column in columns))
    Console(width=160).print(table)
    REPORTS.mkdir(exist_ok=True)
    path = REPORTS / f"{name}.json"
    value = {"title": title, "rows": rows}
    path.write_bytes(orjson.dumps(value, option=orjson.OPT_INDENT_2))


def _format_cell(value: t.Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def quantile(values: t.Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies; NaN if there are none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
