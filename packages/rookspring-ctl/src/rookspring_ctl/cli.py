"""Commands of the operator tool ``rookctl``."""

import importlib.metadata
import time
import typing as t

import typer

from . import timelines
from .client import ApiServers
from .client import call
from .documents import Document
from .documents import diff_specs
from .documents import parse_kind
from .documents import read_documents
from .exceptions import CtlError
from .exceptions import NotFound
from .tables import OutputFormat
from .tables import TableData
from .tables import make_endpoint_table
from .tables import make_resource_table
from .tables import print_output
from .tables import print_table

app = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False)
EXIT_DIFFERS = 1

OutputOption = t.Annotated[OutputFormat, typer.Option("-o", "--output")]


def _show_version(value: bool) -> None:
    if value:
        typer.echo(importlib.metadata.version("rookspring-ctl"))
        raise typer.Exit


@app.callback()
def root(
    context: typer.Context,
    server: t.Annotated[
        str,
        typer.Option(
            envvar="ROOKCTL_SERVER", help="URL of a node; several are separated by commas."
        ),
    ] = "http://127.0.0.1:7401",
    key: t.Annotated[str, typer.Option(envvar="ROOKCTL_KEY", help="An operator's key.")] = "",
    version: t.Annotated[
        bool, typer.Option("--version", callback=_show_version, is_eager=True)
    ] = False,
) -> None:
    """Operate rookspring through its resource API."""
    context.obj = ApiServers(tuple(part.strip() for part in server.split(",") if part.strip()), key)


def _path(kind: str, name: str = "") -> str:
    return f"resources/{kind}/{name}" if name else f"resources/{kind}"


@app.command()
def apply(
    context: typer.Context,
    file: t.Annotated[str, typer.Option("-f", "--file", help="YAML or JSON; - reads stdin.")],
    wait_s: t.Annotated[
        float, typer.Option(help="Seconds to wait until the changes are accepted.")
    ] = 0.0,
) -> None:
    """Create or change the resources that a file declares."""
    documents = read_documents(file)
    failed: CtlError | None = None
    written: list[tuple[Document, int]] = []
    for document in documents:
        try:
            written.append((document, _apply_one(context.obj, document)))
        except CtlError as error:
            typer.echo(f"{document.kind}/{document.name}: {error}", err=True)
            failed = error
    if failed is not None:
        raise typer.Exit(failed.code)
    if wait_s > 0:
        _wait_accepted(context.obj, written, wait_s)


def _apply_one(server: ApiServers, document: Document) -> int:
    path = _path(document.kind, document.name)
    version = document.version
    verb = "created"
    try:
        found = call(server, "GET", path)
        if not diff_specs(document.spec, found["spec"]):
            typer.echo(f"{document.kind}/{document.name}: unchanged")
            return int(found["version"])
        version = found["version"] if version is None else version
        verb = "changed"
    except NotFound:
        version = 0 if version is None else version
    answer = call(server, "PUT", path, {"spec": document.spec}, version)
    typer.echo(f"{document.kind}/{document.name}: {verb}, version {answer['version']}")
    return int(answer["version"])


def _wait_accepted(server: ApiServers, written: list[tuple[Document, int]], wait_s: float) -> None:
    deadline = time.monotonic() + wait_s
    pending = list(written)
    while pending and time.monotonic() < deadline:
        pending = [one for one in pending if not _is_accepted(server, *one)]
        time.sleep(0.2 if pending else 0.0)
    for document, version in pending:
        status = call(server, "GET", _path(document.kind, document.name))["status"]
        reason = status["reason"] or f"version {version} is not accepted yet"
        typer.echo(f"{document.kind}/{document.name}: {reason}", err=True)
    if pending:
        raise typer.Exit(1)


def _is_accepted(server: ApiServers, document: Document, version: int) -> bool:
    status = call(server, "GET", _path(document.kind, document.name))["status"]
    return int(status["accepted_version"]) >= version


@app.command()
def get(
    context: typer.Context,
    kind: t.Annotated[str, typer.Argument(help="Model, Adapter, Service, Team, Policy, Endpoint")],
    name: t.Annotated[str, typer.Argument()] = "",
    output: OutputOption = OutputFormat.table,
) -> None:
    """List resources of a kind, or show one."""
    if kind.lower() in ("endpoint", "endpoints"):
        items = call(context.obj, "GET", "endpoints")["items"]
        items = [one for one in items if name in ("", one["name"])]
        if name and not items:
            raise NotFound(f"endpoint {name!r}: no such endpoint")
        print_output(items, output, lambda: make_endpoint_table(items))
        return
    answer = call(context.obj, "GET", _path(parse_kind(kind), name))
    items = [answer] if name else answer["items"]
    print_output(answer if name else items, output, lambda: make_resource_table(items))


@app.command()
def describe(context: typer.Context, kind: str, name: str) -> None:
    """Show a resource with its status and the decisions recorded about it."""
    answer = call(context.obj, "GET", _path(parse_kind(kind), name))
    print_output(answer, OutputFormat.yaml, lambda: make_resource_table([answer]))
    _print_decisions(context.obj, name)


@app.command()
def delete(
    context: typer.Context,
    kind: str,
    name: str,
    version: t.Annotated[
        int | None, typer.Option(help="Delete only if it still has this version.")
    ] = None,
) -> None:
    """Delete a resource."""
    call(context.obj, "DELETE", _path(parse_kind(kind), name), version=version)
    typer.echo(f"{parse_kind(kind)}/{name}: deleted")


@app.command()
def watch(
    context: typer.Context,
    kind: str,
    since: t.Annotated[int, typer.Option("--from", help="Show changes after this version.")] = -1,
    count: t.Annotated[int, typer.Option(help="Exit after this many changes; 0: never.")] = 0,
) -> None:
    """Show the changes to resources of a kind as they are made."""
    path = _path(parse_kind(kind))
    if since < 0:
        since = int(call(context.obj, "GET", path)["version"])
    seen = 0
    while True:
        answer = call(context.obj, "GET", f"{path}?watch=1&from={since}&timeout_s=10")
        since = int(answer["version"])
        if answer["items"]:
            print_table(make_resource_table(answer["items"]))
        seen += len(answer["items"])
        if count and seen >= count:
            return


@app.command()
def diff(context: typer.Context, file: t.Annotated[str, typer.Option("-f", "--file")]) -> None:
    """Show how a file differs from the declared resources; the exit code is 1 if it does."""
    differs = False
    for document in read_documents(file):
        label = f"{document.kind}/{document.name}"
        try:
            found = call(context.obj, "GET", _path(document.kind, document.name))
        except NotFound:
            typer.echo(f"{label}: would be created")
            differs = True
            continue
        lines = diff_specs(document.spec, found["spec"])
        if lines:
            typer.echo("\n".join([f"{label}: would be changed", *lines]))
            differs = True
    if differs:
        raise typer.Exit(EXIT_DIFFERS)


@app.command()
def status(context: typer.Context, output: OutputOption = OutputFormat.table) -> None:
    """Show boxes, the lease, the revision in force, models not resident, and endpoints."""
    answer = call(context.obj, "GET", "status")
    print_output(answer, output, lambda: _status_rows(answer))
    if output is not OutputFormat.table:
        return
    typer.echo("")
    print_table(make_endpoint_table(answer["endpoints"]))


def _status_rows(answer: dict[str, t.Any]) -> TableData:
    typer.echo(
        f"lease: {answer['lease_holder'] or 'nobody'} (epoch {answer['lease_epoch']}); "
        f"revision {answer['revision']}, in force on {answer['in_force_on']} boxes; "
        f"platform {'answers' if answer['platform_reachable'] else 'does not answer'}"
    )
    missing = ", ".join(answer["models_not_resident"]) or "none"
    typer.echo(f"models: {answer['models']}; resident nowhere: {missing}")
    refused = ", ".join(f"{key} {count}" for key, count in answer["refusals"].items())
    typer.echo(f"refusals at {answer['node']}: {refused or 'none'}\n")
    rows = [
        (
            one["name"],
            one["data_centre"],
            one["address"],
            str(one["revision"]),
            "leaving" if one["leaving"] else "live",
        )
        for one in answer["nodes"]
    ]
    return TableData(("BOX", "DATA CENTRE", "ADDRESS", "REVISION", "STATE"), rows)


@app.command()
def top(
    context: typer.Context,
    interval_s: t.Annotated[float, typer.Option()] = 2.0,
    count: t.Annotated[int, typer.Option(help="Exit after this many updates; 0: never.")] = 0,
) -> None:
    """Show the busiest endpoints with their load, and update this periodically."""
    rounds = 0
    while True:
        answer = call(context.obj, "GET", "status")
        items = sorted(answer["endpoints"], key=lambda one: -one["load"])
        waiting = sum(answer["waiting"].values())
        typer.echo(f"requests {answer['requests']}, waiting {waiting}, moves {answer['moves']}")
        print_table(make_endpoint_table(items[:20]))
        rounds += 1
        if count and rounds >= count:
            return
        time.sleep(interval_s)


@app.command()
def explain(
    context: typer.Context,
    subject: str,
    log: t.Annotated[
        typer.FileText | None,
        typer.Option(help="Explain a request from a log of the nodes; - reads stdin."),
    ] = None,
) -> None:
    """Explain why a request was refused, or a model or endpoint was changed."""
    if log is not None:
        _print_timeline(log, subject)
        return
    if not _print_decisions(context.obj, subject):
        raise NotFound(f"{subject!r}: no node remembers a decision about it")


def _print_timeline(log: t.Iterable[str], request_id: str) -> None:
    timeline = timelines.build_timeline(log, request_id)
    if timeline is None:
        raise NotFound(f"{request_id!r}: no line of the log has this id")
    for line in timeline.own_lines:
        typer.echo(line.text)
    if timeline.related_lines:
        typer.echo("\nWhat may explain it:")
    for line in timeline.related_lines:
        typer.echo(line.text)
    typer.echo(f"\n{timeline.summary}")


def _print_decisions(server: ApiServers, subject: str) -> int:
    """Print the decisions that any node has recorded about a subject, and return their number."""
    found: list[tuple[float, dict[str, t.Any], str]] = []
    for address in _all_addresses(server):
        try:
            answer = call(server._replace(addresses=(address,)), "GET", f"explain/{subject}")
        except CtlError:
            continue
        # Nodes are asked one after another, and one may take long.
        answered_at = time.monotonic()
        for one in answer["decisions"]:
            found.append((answered_at - one["ago_s"], one, answer["node"]))
    if found:
        found.sort(key=lambda row: row[0])
        now = time.monotonic()
        rows = [
            (node, f"{now - at:.1f}", one["subject"], one["what"], one["why"])
            for at, one, node in found
        ]
        print_table(TableData(("BOX", "SECONDS AGO", "SUBJECT", "DECISION", "WHY"), rows))
    return len(found)


def _all_addresses(server: ApiServers) -> list[str]:
    nodes = call(server, "GET", "status")["nodes"]
    scheme = server.addresses[0].partition("://")[0]
    return [f"{scheme}://{one['address']}" for one in nodes]


@app.command()
def drain(
    context: typer.Context,
    box: t.Annotated[str, typer.Argument(help="Name of the box.")],
) -> None:
    """Shut a box down gracefully: requests in flight are not cut off."""
    nodes = call(context.obj, "GET", "status")["nodes"]
    found = [one for one in nodes if one["name"] == box]
    if not found:
        raise NotFound(f"box {box!r}: not among {', '.join(one['name'] for one in nodes)}")
    scheme = context.obj.addresses[0].partition("://")[0]
    target = context.obj._replace(addresses=(f"{scheme}://{found[0]['address']}",))
    call(target, "POST", "drain", {})
    typer.echo(f"{box}: draining")


def main() -> None:
    """Run the command line; prints an error as one line and exits with its code."""
    try:
        app()
    except CtlError as error:
        typer.echo(f"error: {error}", err=True)
        raise SystemExit(error.code) from None
    except KeyboardInterrupt:
        raise SystemExit(130) from None
