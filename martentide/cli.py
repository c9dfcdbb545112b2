"""The command line: serve, check-config, version."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import sys
from collections.abc import Sequence

from martentide import __version__
from martentide.net.config import Config, ConfigError, load_config
from martentide.net.service import serve


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="martentide", description="Signalling proxy with shared decisions.")
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    for name, text in (
        ("serve", "serve calls until SIGTERM (the default)"),
        ("check-config", "read the configuration, say what it holds and exit"),
    ):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--config", metavar="FILE", help="configuration; default: $PROXY_CONFIG")
        command.add_argument(
            "--log-level", default="info", choices=("debug", "info", "warning", "error"), help="default: info"
        )
    commands.add_parser("version", help="print the version and exit")
    return top


def summary(config: Config) -> str:
    servers = sum(len(notice.servers) for notice in config.known)
    return (
        f"{config.name}: listens on {config.listen}, board {config.board}, "
        f"{servers} server records up to notice {config.known_number}, "
        f"classes {', '.join(kind.name for kind in config.settings.classes)}"
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """0 at a planned end, 2 for a configuration that can't be used (one line on standard error)."""
    wanted = sys.argv[1:] if arguments is None else list(arguments)
    options = parser().parse_args(wanted or ["serve"])
    if options.command == "version":
        print(f"martentide {__version__}")
        return 0

    def read() -> Config:
        return load_config(os.environ, options.config)

    if options.command == "serve":
        # Guards against a reload that comes before the loop is up: the file is read after this, so it is new.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = read()
    except ConfigError as error:
        print(f"martentide: {error}", file=sys.stderr)
        return 2
    if options.command == "check-config":
        print(summary(config))
        return 0
    logging.basicConfig(
        level=options.log_level.upper(),
        stream=sys.stderr,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )
    try:
        asyncio.run(serve(config, read))
    except OSError as error:
        print(f"martentide: {config.listen}: {error.strerror or error}", file=sys.stderr)
        return 1
    return 0
