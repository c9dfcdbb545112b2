"""``python -m martentide_lab.fleet``: run a fault scenario on real processes, or in simulated time."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

import click
from rich.console import Console
from rich.live import Live
from rich.table import Table

from martentide.fleet.wire import State
from martentide_lab.fleet.rig import Rig
from martentide_lab.fleet.scenario import Scenario, ScenarioError, Step, load_scenario, parse_scenario
from martentide_lab.fleet.search import play_steps, search, shrink

DEMO = """
fleet proxies=4 servers=4 zones=3 seconds=30 seed=1 rate=60
at 4 "kill" "n3"
at 8 "start" "n3"
at 11 "server" "s1" "hung"
at 14 "split" "n0,n1" "n2,n3"
at 20 "heal"
at 22 "server" "s1" "well"
"""
STYLES = {State.ALIVE: "green", State.SUSPECT: "yellow", State.DEAD: "red", State.LEFT: "dim"}


@click.group(help="Runs fault scenarios against a fleet of proxies.")
def cli() -> None:
    """Group of the commands."""


def load_or_exit(path: str | None) -> Scenario:
    """Load the scenario, or the demo without a path; exits with status 2 where it is invalid."""
    try:
        return load_scenario(path) if path else parse_scenario(DEMO, "the demo scenario")
    except ScenarioError as error:
        click.echo(f"martentide_lab.fleet: {error}", err=True)
        sys.exit(2)


def build_table(rig: Rig) -> Table:
    """The state that each proxy holds of each other one, and the calls answered and refused at it."""
    names = rig.scenario.names()
    last_step = next(
        (step for step in reversed(rig.scenario.steps) if step.at <= rig.now() - rig.scenario_started_at),
        None,
    )
    status_table = Table(title=f"{(rig.now() - rig.scenario_started_at) / 1000:5.1f} s  {last_step or ''}")
    status_table.add_column("proxy")
    status_table.add_column("zone")
    for name in names:
        status_table.add_column(name)
    status_table.add_column("answered", justify="right")
    status_table.add_column("refused", justify="right")
    for name in names:
        cells = []
        for subject in names:
            known_state = rig.views.get(name, {}).get(subject)
            state = None if known_state is None or name not in rig.proxies else State(known_state)
            cells.append("" if state is None else f"[{STYLES[state]}]{state.name.lower()}[/]")
        load = rig.load_generators.get(name)
        counts = (
            ("-", "-")
            if load is None
            else (str(load.answer_counts["answer"]), str(load.answer_counts["release"]))
        )
        label = name if name in rig.proxies else f"[red]{name} down[/]"
        status_table.add_row(label, rig.zone(name), *cells, *counts)
    return status_table


@cli.command("run", help="Run SCRIPT on real processes; without it, a demo scenario of 30 s.")
@click.argument("script", required=False)
@click.option("--alone", is_flag=True, help="run the proxies without a fleet")
def run(script: str | None, alone: bool) -> None:
    """Run a scenario on real processes; exits with status 1 where an invariant is violated."""
    scenario = load_or_exit(script)
    console = Console()

    async def play() -> list[str]:
        with Live(console=console, refresh_per_second=4) as live:
            async with Rig(
                scenario, with_fleet=not alone, on_progress=lambda rig: live.update(build_table(rig))
            ) as rig:
                await rig.play()
                live.update(build_table(rig))
                violations = rig.violations()
                if violations:
                    live.stop()
                    console.print(rig.recent_events(200), markup=False)
                return violations

    violations = asyncio.run(play())
    if not violations:
        console.print("no violations", style="green")
        return
    for line in violations:
        console.print(line, style="red", markup=False)
    console.print(f"seed {scenario.seed}; the scenario:\n{scenario.text()}", markup=False)
    report_minimal_steps(console, scenario, violations)
    sys.exit(1)


def report_minimal_steps(console: Console, scenario: Scenario, violations: list[str]) -> None:
    """Print the shortest steps that violate the same invariants in simulated time, where they do so there."""
    invariants = {line.split(":")[0] for line in violations}
    until = scenario.seconds * 1000.0

    def fails(steps: Sequence[Step]) -> bool:
        return bool(
            invariants
            & {
                violation.invariant
                for violation in play_steps(scenario.proxies, scenario.seed, steps, until)[0]
            }
        )

    if fails(scenario.steps):
        shortest = "\n".join(map(str, shrink(scenario.steps, fails)))
        console.print(f"shortest steps that reproduce it in simulated time:\n{shortest}", markup=False)
    else:
        console.print("not reproduced in simulated time: the cause is outside the membership core, or timing")


@cli.command("simulate", help="Run SCRIPT in simulated time and print the log.")
@click.argument("script")
def simulate(script: str) -> None:
    """Run a scenario in simulated time; exits with status 1 where an invariant is violated."""
    scenario = load_or_exit(script)
    violations, log = play_steps(scenario.proxies, scenario.seed, scenario.steps, scenario.seconds * 1000.0)
    for event in log:
        click.echo(str(event))
    for violation in violations:
        click.echo(str(violation))
    sys.exit(1 if violations else 0)


@cli.command("search", help="Run random scenarios in simulated time; print each that violates an invariant.")
@click.option("--members", default=5, show_default=True)
@click.option("--first", default=1, show_default=True, help="seed")
@click.option("--scripts", default=1_000, show_default=True)
def search_command(members: int, first: int, scripts: int) -> None:
    """Run random scenarios in simulated time; exits with status 1 where an invariant is violated."""
    count = 0
    for seed, steps, violations in search(range(first, first + scripts), members):
        count += 1
        click.echo(f"seed {seed}: {violations[0]}")
        click.echo("\n".join(f"    {step}" for step in steps))
    click.echo(f"{scripts} scenarios of {members} members, {count} with violations")
    sys.exit(1 if count else 0)


if __name__ == "__main__":
    cli()
