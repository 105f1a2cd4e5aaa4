"""Command line of the daemon: ``run`` a node, or a ``demo`` of a complete deployment."""

import asyncio
import importlib.metadata
import os
import signal
import sys
import typing as t

import typer
import uvloop

from rookspring_core import InvariantBroken

from .exceptions import SettingsError
from .logs import configure
from .logs import log
from .node import Node
from .settings import Settings
from .settings import check_settings

app = typer.Typer(no_args_is_help=True, add_completion=True, pretty_exceptions_enable=False)
EXIT_SETTINGS = 2
EXIT_BROKEN = 70


def _show_version(value: bool) -> None:
    if value:
        typer.echo(importlib.metadata.version("rookspring"))
        raise typer.Exit


@app.callback()
def root(
    version: t.Annotated[
        bool, typer.Option("--version", callback=_show_version, is_eager=True)
    ] = False,
) -> None:
    """Serve many models on fewer accelerators."""


def _env(name: str) -> str:
    return f"ROOKSPRING_{name}"


@app.command()
def run(
    name: t.Annotated[str, typer.Option(envvar=_env("NAME"), help="Name of this box.")],
    data_centre: t.Annotated[
        str, typer.Option(envvar=_env("DATA_CENTRE"), help="Where this box stands.")
    ],
    host: t.Annotated[str, typer.Option(envvar=_env("HOST"), help="IP number.")] = "127.0.0.1",
    port: t.Annotated[int, typer.Option(envvar=_env("PORT"), help="For callers.")] = 7400,
    peer_port: t.Annotated[
        int, typer.Option(envvar=_env("PEER_PORT"), help="For other nodes.")
    ] = 7500,
    platform: t.Annotated[
        str, typer.Option(envvar=_env("PLATFORM"), help="URL of the object service.")
    ] = "http://127.0.0.1:7300",
    peers: t.Annotated[
        str, typer.Option(envvar=_env("PEERS"), help="ADDRESS:PORT,... to dial in an outage.")
    ] = "",
    shared_key: t.Annotated[
        str, typer.Option(envvar=_env("SHARED_KEY"), help="Proved by nodes; 16 letters or more.")
    ] = "",
    signing_keys: t.Annotated[
        str, typer.Option(envvar=_env("SIGNING_KEYS"), help="First signs, all verify.")
    ] = "",
    operator_key_sha256: t.Annotated[
        str, typer.Option(envvar=_env("OPERATOR_KEY_SHA256"), help="Digests.")
    ] = "",
    trace_file: t.Annotated[
        str, typer.Option(envvar=_env("TRACE_FILE"), help="JSON lines of spans.")
    ] = "",
    trace_otlp: t.Annotated[str, typer.Option(envvar=_env("TRACE_OTLP"), help="URL.")] = "",
    trace_share: t.Annotated[float, typer.Option(envvar=_env("TRACE_SHARE"), help="0 to 1.")] = 1.0,
    tls_cert: t.Annotated[str, typer.Option(envvar=_env("TLS_CERT"), help="PEM file.")] = "",
    tls_key: t.Annotated[str, typer.Option(envvar=_env("TLS_KEY"), help="PEM file.")] = "",
    drain_limit_s: t.Annotated[
        float, typer.Option(envvar=_env("DRAIN_LIMIT_S"), help="Longest planned stop.")
    ] = 300.0,
    full_checks: t.Annotated[
        bool, typer.Option(envvar=_env("FULL_CHECKS"), help="Every invariant, always.")
    ] = False,
    log_level: t.Annotated[
        str, typer.Option(envvar=_env("LOG_LEVEL"), help="DEBUG, INFO, WARNING, ERROR.")
    ] = "INFO",
) -> None:
    """Run one node until a signal stops it."""
    settings = Settings(
        name=name,
        data_centre=data_centre,
        host=host,
        port=port,
        peer_port=peer_port,
        platform=platform,
        peers=_split(peers),
        shared_key=shared_key,
        signing_keys=_split(signing_keys),
        operator_key_sha256=_split(operator_key_sha256),
        trace_file=trace_file,
        trace_otlp=trace_otlp,
        trace_share=trace_share,
        tls_cert=tls_cert,
        tls_key=tls_key,
        drain_limit_s=drain_limit_s,
        full_checks=full_checks,
        log_level=log_level,
    )
    configure()
    try:
        check_settings(settings)
    except SettingsError as error:
        for fault in error.faults:
            log("settings_wrong", "ERROR", fault=fault)
        raise typer.Exit(EXIT_SETTINGS) from None
    configure(log_level)
    uvloop.run(_run(settings))


def _split(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


def _exit_on_violation(error: InvariantBroken) -> None:
    # An invariant is violated: continuing, or cleaning up, could violate it towards callers too.
    sys.stderr.flush()
    os._exit(EXIT_BROKEN)


async def _run(settings: Settings) -> None:
    node = Node(settings, on_broken=_exit_on_violation)
    loop = asyncio.get_running_loop()
    signals = 0

    def stop() -> None:
        nonlocal signals
        signals += 1
        # The first signal drains; the second no longer waits until addresses that callers
        # were given expire; the third stops at once.
        if signals > 2:
            node.end_grace()
            return
        node.drain(hurry=signals > 1)
        if signals == 1:
            loop.call_later(settings.drain_limit_s, node.end_grace)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    await node.start()
    await node.run_until_stopped()


@app.command()
def demo(
    user: t.Annotated[
        str, typer.Option(help="The deployment's name; an unknown one lists all.")
    ] = "demo",
    exit_: t.Annotated[bool, typer.Option("--exit", help="End after the table.")] = False,
    as_json: t.Annotated[bool, typer.Option("--json", help="Print the table as JSON.")] = False,
    base_port: t.Annotated[int, typer.Option(help="Nodes listen on the ports after it.")] = 7400,
    trace_file: t.Annotated[str, typer.Option(help="Write trace spans there.")] = "",
    log_level: t.Annotated[str, typer.Option()] = "WARNING",
) -> None:
    """Run a complete deployment on loopback in one process, with fakes for the rest."""
    from . import demonstration

    if user not in demonstration.SIZES:
        typer.echo(f"--user: one of {', '.join(demonstration.SIZES)} was expected", err=True)
        raise typer.Exit(EXIT_SETTINGS)
    if not 1024 <= base_port <= 60000:
        typer.echo("--base-port: 1024 to 60000 was expected", err=True)
        raise typer.Exit(EXIT_SETTINGS)
    configure(log_level)
    plan = demonstration.DemoPlan(user, exit_, as_json, base_port, trace_file)
    code = uvloop.run(demonstration.run_demo(plan))
    raise typer.Exit(code)


@app.command("settings")
def show_settings() -> None:
    """Print the table of settings, as docs/operators/settings.md has it."""
    typer.echo("# Settings\n")
    typer.echo("Made by `rookspring settings`. Each flag has an environment variable.\n")
    typer.echo("| flag | variable | default | |\n|---|---|---|---|")
    command = typer.main.get_command(app).commands["run"]  # type: ignore[attr-defined]
    for option in command.params:
        if option.envvar is None:
            continue
        default = "required" if option.required else f"`{option.default!r}`"
        text = option.help or ""
        typer.echo(f"| `{option.opts[0]}` | `{option.envvar}` | {default} | {text} |")


def main() -> None:
    """Run the command line."""
    app()
