"""Commands for versions of rules:
``martentide fleet propose|versions|status|rules|diff|rollback|replace-voter``."""

from __future__ import annotations

import json
import os
import sys
from typing import Any

import click

# Exit codes: the file cannot be used; the proxy cannot be queried; the request was rejected.
BAD_FILE, CANNOT_ASK, REFUSED = 2, 1, 3
OPERATOR_OPTION = click.option(
    "--operator", metavar="HOST:PORT", envvar="PROXY_OPERATOR", required=True,
    help="address at which the proxy accepts operator calls; default: $PROXY_OPERATOR",
)  # fmt: skip
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="print JSON")
BY_OPTION = click.option("--by", default="", help="name of the proposer; default: $USER")
PATIENCE_OPTION = click.option(
    "--patience", default=20.0, show_default=True, help="seconds to wait for the verdict"
)


def fail(text: str, code: int) -> None:
    """Print an error and exit with ``code``."""
    click.echo(f"martentide: {text}", err=True)
    sys.exit(code)


def query_status(operator: str) -> str:
    """The proxy's status of versions as JSON; exits with CANNOT_ASK if the proxy cannot be queried."""
    from martentide.lifecycle.calls import VERSIONS
    from martentide.net.fleet.show import QueryError, query

    try:
        return query(operator, VERSIONS)
    except QueryError as error:
        fail(f"{operator}: {error}", CANNOT_ASK)
        raise


def rules_of_version(status: dict[str, Any], number: int) -> dict[str, Any]:
    """The rules of a version from the status; exits with REFUSED if they are not kept."""
    from martentide.net.fleet.show import QueryError, rules_of

    try:
        return rules_of(status, number)
    except QueryError as error:
        fail(str(error), REFUSED)
        raise


def propose_and_exit(
    operator: str, rules: Any, file: str, base: int, by: str, why: str, patience: float
) -> None:
    """Propose the rules, wait up to ``patience`` s for the verdict, print it and exit."""
    from martentide.net.fleet.show import QueryError, propose

    by = by or os.environ.get("USER", "")
    proposal = {"rules": rules, "file": file, "base": base, "by": by, "why": why}
    try:
        verdict = propose(operator, proposal, patience)
    except QueryError as error:
        fail(f"{operator}: {error}", REFUSED)
        raise
    click.echo(verdict["text"])
    sys.exit(0 if verdict["done"] else REFUSED)


@click.command("propose", help="Propose the rules in FILE as the next version and wait until it is in force.")
@click.argument("file")
@OPERATOR_OPTION
@click.option("--base", default=-1, help="version that the proposal builds on; default: the one in force")
@BY_OPTION
@click.option("--why", default="", help="reason for the proposal")
@PATIENCE_OPTION
def propose(file: str, operator: str, base: int, by: str, why: str, patience: float) -> None:
    """Propose the rules in a file and wait for the verdict.

    Exit codes: 0: in force; 2: the file cannot be used; 3: rejected, or the outcome is unknown.
    """
    from martentide.agreement.ruleset import RuleError, rules_from

    rules: Any = None
    try:
        with open(file, "rb") as stream:
            rules = json.load(stream)
        rules_from(rules, file)
    except (OSError, ValueError, RuleError) as error:
        fail(str(error) if file in str(error) else f"{file}: {error}", BAD_FILE)
    propose_and_exit(operator, rules, file, base, by, why, patience)


@click.command(
    "versions", help="Print the version in force, one being brought into force, and the latest earlier ones."
)
@OPERATOR_OPTION
@JSON_OPTION
def versions(operator: str, as_json: bool) -> None:
    """Print the versions."""
    from martentide.net.fleet.show import versions_table as table

    status = query_status(operator)
    click.echo(status if as_json else table(status))


@click.command(
    "status",
    help="Print the version each member acts on, since when, and the digest of its server list.",
)
@OPERATOR_OPTION
@JSON_OPTION
def status(operator: str, as_json: bool) -> None:
    """Print what each member acts on."""
    from martentide.net.fleet.show import members_table

    text = query_status(operator)
    click.echo(json.dumps(json.loads(text)["members"]) if as_json else members_table(text))


@click.command(
    "rules",
    help="Print the rules of version NUMBER as a file that can be proposed; default: the one in force.",
)
@click.argument("number", type=int, required=False)
@OPERATOR_OPTION
def rules(number: int | None, operator: str) -> None:
    """Print the rules of a version as JSON."""
    current = json.loads(query_status(operator))
    click.echo(
        json.dumps(rules_of_version(current, current["version"] if number is None else number), indent=1)
    )


@click.command(
    "diff",
    help="Print the differences between versions ONE and OTHER; exit code 0 if there are none, 1 if any.",
)
@click.argument("one", type=int)
@click.argument("other", type=int)
@OPERATOR_OPTION
def diff(one: int, other: int, operator: str) -> None:
    """Print the differences between two versions and why they contradict each other."""
    from martentide.net.fleet.show import differences

    current = json.loads(query_status(operator))
    lines = differences(rules_of_version(current, one), rules_of_version(current, other))
    click.echo("\n".join(lines) or "no difference")
    sys.exit(1 if lines else 0)


@click.command("rollback", help="Propose the rules of version NUMBER again, as a new version.")
@click.argument("number", type=int)
@OPERATOR_OPTION
@BY_OPTION
@PATIENCE_OPTION
def rollback(number: int, operator: str, by: str, patience: float) -> None:
    """Propose the rules of an earlier version again."""
    current = json.loads(query_status(operator))
    earlier = rules_of_version(current, number)
    propose_and_exit(
        operator,
        earlier,
        f"version {number}",
        current["version"],
        by,
        f"rollback to version {number}",
        patience,
    )


@click.command("replace-voter", help="Replace voter OLD, which lost its state, by member NEW.")
@click.argument("old")
@click.argument("new")
@OPERATOR_OPTION
@PATIENCE_OPTION
def replace_voter(old: str, new: str, operator: str, patience: float) -> None:
    """Replace a voter that lost its state by another member."""
    from martentide.lifecycle.calls import VOTERS
    from martentide.net.fleet.show import QueryError, propose

    try:
        verdict = propose(operator, {"old": old, "new": new}, patience, VOTERS)
    except QueryError as error:
        fail(f"{operator}: {error}", REFUSED)
        raise
    click.echo(verdict["text"])
    sys.exit(0 if verdict["done"] else REFUSED)


def add_to(group: click.Group) -> None:
    """Add these commands to a command group."""
    for command in (propose, versions, status, rules, diff, rollback, replace_voter):
        group.add_command(command)
