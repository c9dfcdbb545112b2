"""The commands about versions of rules: ``martentide fleet propose|versions|status|rules|diff|rollback``."""

from __future__ import annotations

import json
import os
import sys
from typing import Any

import click

BAD_FILE, CANNOT_ASK, REFUSED = 2, 1, 3  # exit codes
OPERATOR = click.option(
    "--operator", metavar="HOST:PORT", envvar="PROXY_OPERATOR", required=True,
    help="where the proxy's operator's calls come in; default: $PROXY_OPERATOR",
)  # fmt: skip
JSON = click.option("--json", "as_json", is_flag=True, help="as JSON")
BY = click.option("--by", default="", help="who proposes it; default: $USER")
PATIENCE = click.option("--patience", default=20.0, show_default=True, help="s to wait for its verdict")


def fail(text: str, code: int) -> None:
    click.echo(f"martentide: {text}", err=True)
    sys.exit(code)


def asked(operator: str) -> str:
    """What the proxy tells of versions; the program ends where it can't be asked."""
    from martentide.lifecycle.calls import VERSIONS
    from martentide.net.fleet.show import QueryError, query

    try:
        return query(operator, VERSIONS)
    except QueryError as error:
        fail(f"{operator}: {error}", CANNOT_ASK)
        raise


def kept(said: dict[str, Any], number: int) -> dict[str, Any]:
    from martentide.net.fleet.show import QueryError, rules_of

    try:
        return rules_of(said, number)
    except QueryError as error:
        fail(str(error), REFUSED)
        raise


def put(operator: str, rules: Any, file: str, base: int, by: str, why: str, patience: float) -> None:
    """Propose it and say what became of it; the program ends with that."""
    from martentide.net.fleet.show import QueryError, propose

    by = by or os.environ.get("USER", "")
    said = {"rules": rules, "file": file, "base": base, "by": by, "why": why}
    try:
        verdict = propose(operator, said, patience)
    except QueryError as error:
        fail(f"{operator}: {error}", REFUSED)
        raise
    click.echo(verdict["text"])
    sys.exit(0 if verdict["done"] else REFUSED)


@click.command("propose", help="Propose the rules in FILE as the next version, wait until it is in force.")
@click.argument("file")
@OPERATOR
@click.option("--base", default=-1, help="the version that it builds on; default: whatever is in force")
@BY
@click.option("--why", default="", help="what for")
@PATIENCE
def propose(file: str, operator: str, base: int, by: str, why: str, patience: float) -> None:
    """0: in force; 2: the file can't be used; 3: turned down, or nothing is known of it."""
    from martentide.agreement.ruleset import RuleError, rules_from

    rules: Any = None
    try:
        with open(file, "rb") as opened:
            rules = json.load(opened)
        rules_from(rules, file)
    except (OSError, ValueError, RuleError) as error:
        fail(str(error) if file in str(error) else f"{file}: {error}", BAD_FILE)
    put(operator, rules, file, base, by, why, patience)


@click.command("versions", help="The version in force, one being brought into force, and the last ones.")
@OPERATOR
@JSON
def versions(operator: str, as_json: bool) -> None:
    from martentide.net.fleet.show import versions as table

    status = asked(operator)
    click.echo(status if as_json else table(status))


@click.command("status", help="By what each member acts, since when, and which list of servers it has.")
@OPERATOR
@JSON
def status(operator: str, as_json: bool) -> None:
    from martentide.net.fleet.show import acting

    said = asked(operator)
    click.echo(json.dumps(json.loads(said)["members"]) if as_json else acting(said))


@click.command("rules", help="The rules of version NUMBER as a file that can be proposed; default: in force.")
@click.argument("number", type=int, required=False)
@OPERATOR
def rules(number: int | None, operator: str) -> None:
    said = json.loads(asked(operator))
    click.echo(json.dumps(kept(said, said["version"] if number is None else number), indent=1))


@click.command("diff", help="What differs between versions ONE and OTHER: 0 nothing, 1 something.")
@click.argument("one", type=int)
@click.argument("other", type=int)
@OPERATOR
def diff(one: int, other: int, operator: str) -> None:
    from martentide.net.fleet.show import differences

    said = json.loads(asked(operator))
    lines = differences(kept(said, one), kept(said, other))
    click.echo("\n".join(lines) or "no difference")
    sys.exit(1 if lines else 0)


@click.command("rollback", help="Propose the rules of version NUMBER again, as a new version.")
@click.argument("number", type=int)
@OPERATOR
@BY
@PATIENCE
def rollback(number: int, operator: str, by: str, patience: float) -> None:
    said = json.loads(asked(operator))
    wanted = kept(said, number)
    put(operator, wanted, f"version {number}", said["version"], by, f"rollback to version {number}", patience)


@click.command("replace-voter", help="Have member NEW vote in the place of voter OLD, which lost its books.")
@click.argument("old")
@click.argument("new")
@OPERATOR
@PATIENCE
def replace_voter(old: str, new: str, operator: str, patience: float) -> None:
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
    for command in (propose, versions, status, rules, diff, rollback, replace_voter):
        group.add_command(command)
