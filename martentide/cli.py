"""Command line, built with click. The README lists the exit codes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Any

import click

from martentide import __version__, log
from martentide.net.call_trace import CALL_TRACE
from martentide.net.config import Config, ConfigError, load_config
from martentide.net.service import serve
from martentide.versions import BAD_FILE as BAD_CONFIG
from martentide.versions import CANNOT_ASK as CANNOT_LISTEN
from martentide.versions import OPERATOR_OPTION, REFUSED, add_to


class DefaultGroup(click.Group):
    """Command group that runs ``serve`` if no command is given."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Default to ``serve`` without arguments."""
        return super().parse_args(ctx, args or ["serve"])


def config_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options --config and --extras to a command."""
    command = click.option(
        "--extras",
        metavar="FILE",
        help="file that enables optional subsystems (KDL); default: $MARTENTIDE_EXTRAS",
    )(command)
    return click.option("--config", metavar="FILE", help="configuration file; default: $PROXY_CONFIG")(
        command
    )


@click.group(cls=DefaultGroup, invoke_without_command=False, help="Signalling proxy with shared decisions.")
def top() -> None:
    """Root command group."""
    pass


@top.command("version", help="Print the version and exit.")
def version() -> None:
    """Print the version."""
    click.echo(f"martentide {__version__}")


@top.command("check-config", help="Check the configuration, print a summary and exit.")
@config_options
def check_config(config: str | None, extras: str | None) -> None:
    """Validate the configuration and print a summary."""
    read = load_or_exit(config, extras)
    click.echo(summary(read))
    if read.extras is not None:
        click.echo(read.extras.summary())


@top.command("serve", help="Serve calls until SIGTERM; this is the default command.")
@config_options
@click.option("--log-level", type=click.Choice(list(log.LEVELS)), default="info", show_default=True)
@click.option("--log-format", type=click.Choice(log.FORMATS), default="text", show_default=True)
@click.option("--trace-calls", is_flag=True, help="log every step of every call")
def serve_command(
    config: str | None, extras: str | None, log_level: str, log_format: str, trace_calls: bool
) -> None:
    """Run the proxy until SIGTERM; exits with a non-zero code if it can't listen."""
    # Ignore a reload signal until the event loop runs: the file is read after this line, so it is current.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    read = load_or_exit(config, extras)
    log.configure(log_level, log_format)
    CALL_TRACE.enabled = trace_calls
    try:
        asyncio.run(serve(read, lambda: load_config(os.environ, config, extras), os.environ))
    except OSError as error:
        click.echo(f"martentide: {read.listen}: {error.strerror or error}", err=True)
        sys.exit(CANNOT_LISTEN)


@top.command("control", help="Run a control node of a large fleet, as configured in the extras file.")
@click.option("--extras", metavar="FILE", required=True, help="extras file (KDL) with a control-node node")
@click.option("--log-level", type=click.Choice(list(log.LEVELS)), default="info", show_default=True)
@click.option("--log-format", type=click.Choice(log.FORMATS), default="text", show_default=True)
def control_command(extras: str, log_level: str, log_format: str) -> None:
    """Run a control node until SIGTERM or SIGINT."""
    from martentide.extras import ControlNodePart, ExtrasError, load_extras

    try:
        part = load_extras(extras, None).control_node
    except ExtrasError as error:
        click.echo(f"martentide: {error}", err=True)
        sys.exit(BAD_CONFIG)
    if part is None:
        click.echo(f"martentide: {extras}: expected a node control-node, found none", err=True)
        sys.exit(BAD_CONFIG)
    log.configure(log_level, log_format)

    async def run(part: ControlNodePart) -> None:
        from martentide.net.tier.node import ControlHost

        host = ControlHost(part)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, host.stop)
        await host.run()

    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        asyncio.run(run(part))
    except OSError as error:
        click.echo(f"martentide: {part.name}: {error.strerror or error}", err=True)
        sys.exit(CANNOT_LISTEN)


@top.group("state", help="Inspect files of learned state.")
def state() -> None:
    """Group of commands on learned-state files."""
    pass


def read_state_file(path: str) -> Any:
    """Read learned state from a file; exits with 2 if it can't be read, with 3 if it is invalid."""
    from martentide.learned.codec import MAX_FILE_BYTES, StateError, read_state

    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        click.echo(f"martentide: {path}: {error.strerror}", err=True)
        sys.exit(BAD_CONFIG)
    try:
        return read_state(raw, None)
    except StateError as error:
        click.echo(f"martentide: {path}: {error}", err=True)
        sys.exit(REFUSED)


@state.command("check", help="Check whether a file is valid; exit code 0 if it is, 3 if it is refused.")
@click.argument("file")
def state_check(file: str) -> None:
    """Validate a learned-state file."""
    learned = read_state_file(file)
    click.echo(f"{file}: whole, save {learned.sequence}, {len(learned.servers)} servers")


@state.command("show", help="Print the contents of a file.")
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def state_show(file: str, as_json: bool) -> None:
    """Print a learned-state file."""
    import msgspec

    learned = read_state_file(file)
    if as_json:
        click.echo(msgspec.json.encode(learned).decode())
        return
    click.echo(f"save {learned.sequence} at {learned.saved_at:.0f}, {len(learned.redials)} redials")
    click.echo(f"{'server':<20} {'wait':>8} {'lag':>8} {'faults':>7} {'held back':>10}  state")
    for server in learned.servers:
        held = f"{server.image.hold_back:.2f}" if server.image is not None else "-"
        flags = [
            flag
            for flag, applies in (("suspect", server.suspect), ("cold", server.cold_from is not None))
            if applies
        ]
        line = f"{server.name:<20} {server.wait:>8.1f} {server.lag:>8.1f} {server.faults:>7.2f} {held:>10}"
        click.echo(f"{line}  {' '.join(flags) or 'open'}")


@state.command(
    "diff", help="Print the differences between two files; exit code 0 if there are none, 1 if any."
)
@click.argument("old")
@click.argument("new")
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def state_diff(old: str, new: str, as_json: bool) -> None:
    """Compare two learned-state files; exits with 1 if they differ."""
    import msgspec

    from martentide.learned.recovery import diff

    lines = diff(read_state_file(old), read_state_file(new))
    click.echo(msgspec.json.encode(lines).decode() if as_json else "\n".join(lines) or "no difference")
    sys.exit(1 if lines else 0)


@top.group("fleet", help="Inspect the fleet that a running proxy is a member of, and change its rules.")
def fleet() -> None:
    """Group of commands on the fleet."""
    pass


@fleet.command("show", help="Print the members, their states, ages and facets, as the proxy knows them.")
@OPERATOR_OPTION
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def fleet_show(operator: str, as_json: bool) -> None:
    """Print the fleet's members as a running proxy knows them."""
    from martentide.net.fleet.show import QueryError, query, table

    try:
        status = query(operator)
    except QueryError as error:
        click.echo(f"martentide: {operator}: {error}", err=True)
        sys.exit(CANNOT_LISTEN)
    click.echo(status if as_json else table(status))


add_to(fleet)


def load_or_exit(config: str | None, extras: str | None) -> Config:
    """Load the configuration; exits with 2 if it is invalid."""
    try:
        return load_config(os.environ, config, extras)
    except ConfigError as error:
        click.echo(f"martentide: {error}", err=True)
        sys.exit(BAD_CONFIG)


def summary(config: Config) -> str:
    """Return one line that describes the configuration."""
    servers = sum(len(notice.servers) for notice in config.known)
    return (
        f"{config.name}: listens on {config.listen}, board {config.board}, "
        f"{servers} server records up to notice {config.known_number}, "
        f"classes {', '.join(kind.name for kind in config.settings.classes)}"
    )


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line.

    Exits with 0 at a planned end, and with 2 and one line on standard error for an invalid configuration.
    """
    top.main(args=None if arguments is None else list(arguments), prog_name="martentide")
