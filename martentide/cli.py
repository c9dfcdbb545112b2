"""The command line: serve, check-config, version. The options are click's; exit codes are in the README."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Any

import click

from martentide import __version__, log
from martentide.net.config import Config, ConfigError, load_config
from martentide.net.service import serve

BAD_CONFIG, CANNOT_LISTEN = 2, 1


class Default(click.Group):
    """A group whose ``serve`` is run where no command is named."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        return super().parse_args(ctx, args or ["serve"])


def config_options(command: Callable[..., Any]) -> Callable[..., Any]:
    command = click.option(
        "--operator", metavar="FILE", help="operator's settings (KDL); default: $MARTENTIDE_OPERATOR"
    )(command)
    return click.option("--config", metavar="FILE", help="configuration; default: $PROXY_CONFIG")(command)


@click.group(cls=Default, invoke_without_command=False, help="Signalling proxy with shared decisions.")
def top() -> None:
    pass


@top.command("version", help="Print the version and exit.")
def version() -> None:
    click.echo(f"martentide {__version__}")


@top.command("check-config", help="Read the configuration, say what it holds and exit.")
@config_options
def check_config(config: str | None, operator: str | None) -> None:
    read = load_or_exit(config, operator)
    click.echo(summary(read))
    if read.operator is not None:
        click.echo(read.operator.summary())


@top.command("serve", help="Serve calls until SIGTERM (the default).")
@config_options
@click.option("--log-level", type=click.Choice(list(log.LEVELS)), default="info", show_default=True)
@click.option("--log-format", type=click.Choice(log.FORMATS), default="text", show_default=True)
def serve_command(config: str | None, operator: str | None, log_level: str, log_format: str) -> None:
    # Guards against a reload that comes before the loop is up: the file is read after this, so it is new.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    read = load_or_exit(config, operator)
    log.configure(log_level, log_format)
    try:
        asyncio.run(serve(read, lambda: load_config(os.environ, config, operator)))
    except OSError as error:
        click.echo(f"martentide: {read.listen}: {error.strerror or error}", err=True)
        sys.exit(CANNOT_LISTEN)


def load_or_exit(config: str | None, operator: str | None) -> Config:
    try:
        return load_config(os.environ, config, operator)
    except ConfigError as error:
        click.echo(f"martentide: {error}", err=True)
        sys.exit(BAD_CONFIG)


def summary(config: Config) -> str:
    servers = sum(len(notice.servers) for notice in config.known)
    return (
        f"{config.name}: listens on {config.listen}, board {config.board}, "
        f"{servers} server records up to notice {config.known_number}, "
        f"classes {', '.join(kind.name for kind in config.settings.classes)}"
    )


def main(arguments: Sequence[str] | None = None) -> None:
    """0 at a planned end, 2 for a configuration that can't be used (one line on standard error)."""
    top.main(args=None if arguments is None else list(arguments), prog_name="martentide")
