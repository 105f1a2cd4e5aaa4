"""Output of results as tables, JSON or YAML."""

import enum
import typing as t

import orjson
import typer
import yaml
from rich.console import Console
from rich.table import Table


class OutputFormat(enum.StrEnum):
    """Output formats."""

    table = "table"
    json = "json"
    yaml = "yaml"


def print_output(value: t.Any, output: OutputFormat, rows: t.Callable[[], "TableData"]) -> None:
    """Print a value in an output format.

    :param rows: builds the table; called only for the table format.
    """
    if output is OutputFormat.json:
        typer.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
    elif output is OutputFormat.yaml:
        typer.echo(yaml.safe_dump(value, sort_keys=False).rstrip())
    else:
        print_table(rows())


class TableData(t.NamedTuple):
    """The contents of a table.

    :param columns: column names.
    :param rows: the texts of each row, in the order of the columns.
    """

    columns: tuple[str, ...]
    rows: t.Sequence[tuple[str, ...]]


def print_table(rows: TableData) -> None:
    """Print a table.

    It has no borders, and is 160 columns wide where the output is not a terminal, so that tools
    such as awk can process it.
    """
    table = Table(box=None, pad_edge=False, header_style="bold")
    for name in rows.columns:
        table.add_column(name, overflow="fold")
    for row in rows.rows:
        table.add_row(*row)
    Console(width=None if Console().is_terminal else 160, highlight=False).print(table)


def make_resource_table(items: list[dict[str, t.Any]]) -> TableData:
    """Build a table of resources, or of changes to them; a change may be a deletion."""
    rows: list[tuple[str, ...]] = []
    for one in items:
        status = one.get("status", {})
        if one.get("deleted"):
            rows.append((one["kind"], one["name"], str(one["version"]), "deleted", "", ""))
            continue
        accepted = "yes" if status.get("accepted") else "no"
        if not status.get("accepted") and not status.get("reason"):
            # Neither accepted nor refused yet.
            accepted = "pending"
        resident = ", ".join(status.get("resident_on", []))
        detail = status.get("reason") or resident
        in_force = f"{status.get('in_force_on', 0)}/{status.get('nodes', 0)}"
        rows.append((one["kind"], one["name"], str(one["version"]), accepted, in_force, detail))
    return TableData(
        ("KIND", "NAME", "VERSION", "ACCEPTED", "IN FORCE", "RESIDENT ON / REASON"), rows
    )


def make_endpoint_table(items: list[dict[str, t.Any]]) -> TableData:
    """Build a table of endpoints."""
    rows = [
        (
            one["name"],
            one["role"],
            one["data_centre"],
            one["state"],
            f"{one['load']:.2f}",
            f"{one['held_gb']:.1f}/{one['memory_gb']:.0f}",
            "yes" if one["checks_orders"] else "no",
            ", ".join(one["resident"]),
        )
        for one in items
    ]
    columns = ("NAME", "ROLE", "DATA CENTRE", "STATE", "LOAD", "MEMORY GB", "CHECKS", "RESIDENT")
    return TableData(columns, rows)
