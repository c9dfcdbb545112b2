"""``python -m martentide_lab.fleet``: play a script of faults on real processes, or in simulated time."""

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


@click.group(help="Several proxies, with faults between them.")
def top() -> None:
    pass


def script_of(path: str | None) -> Scenario:
    try:
        return load_scenario(path) if path else parse_scenario(DEMO, "the small script")
    except ScenarioError as error:
        click.echo(f"martentide_lab.fleet: {error}", err=True)
        sys.exit(2)


def table(rig: Rig) -> Table:
    """Who holds whom for what, and what callers were told."""
    names = rig.scenario.names()
    last = next(
        (step for step in reversed(rig.scenario.steps) if step.at <= rig.now() - rig.scenario_started_at),
        None,
    )
    shown = Table(title=f"{(rig.now() - rig.scenario_started_at) / 1000:5.1f} s  {last or ''}")
    shown.add_column("proxy")
    shown.add_column("zone")
    for name in names:
        shown.add_column(name)
    shown.add_column("answered", justify="right")
    shown.add_column("refused", justify="right")
    for name in names:
        cells = []
        for about in names:
            held = rig.views.get(name, {}).get(about)
            state = None if held is None or name not in rig.proxies else State(held)
            cells.append("" if state is None else f"[{STYLES[state]}]{state.name.lower()}[/]")
        load = rig.load_generators.get(name)
        told = (
            ("-", "-")
            if load is None
            else (str(load.answer_counts["answer"]), str(load.answer_counts["release"]))
        )
        up = name if name in rig.proxies else f"[red]{name} down[/]"
        shown.add_row(up, rig.zone(name), *cells, *told)
    return shown


@top.command("run", help="Play SCRIPT on real processes; without one, a small one of 30 s.")
@click.argument("script", required=False)
@click.option("--alone", is_flag=True, help="the proxies do not know each other")
def run(script: str | None, alone: bool) -> None:
    chosen = script_of(script)
    console = Console()

    async def go() -> list[str]:
        with Live(console=console, refresh_per_second=4) as live:
            async with Rig(
                chosen, with_fleet=not alone, on_progress=lambda rig: live.update(table(rig))
            ) as rig:
                await rig.play()
                live.update(table(rig))
                broken = rig.violations()
                if broken:
                    live.stop()
                    console.print(rig.recent_events(200), markup=False)
                return broken

    broken = asyncio.run(go())
    if not broken:
        console.print("nothing was broken", style="green")
        return
    for line in broken:
        console.print(line, style="red", markup=False)
    console.print(f"seed {chosen.seed}; the script:\n{chosen.text()}", markup=False)
    report_shortest(console, chosen, broken)
    sys.exit(1)


def report_shortest(console: Console, script: Scenario, broken: list[str]) -> None:
    """The shortest script that breaks the same in simulated time, where the fault is the fleet's."""
    rules = {line.split(":")[0] for line in broken}
    until = script.seconds * 1000.0

    def fails(steps: Sequence[Step]) -> bool:
        return bool(rules & {one.rule for one in play_steps(script.proxies, script.seed, steps, until)[0]})

    if fails(script.steps):
        shortest = "\n".join(map(str, shrink(script.steps, fails)))
        console.print(f"in simulated time this is enough:\n{shortest}", markup=False)
    else:
        console.print(
            "simulated time does not show it: it is not the membership's own, or a matter of timing"
        )


@top.command("simulate", help="Play SCRIPT in simulated time and print the log.")
@click.argument("script")
def simulate(script: str) -> None:
    chosen = script_of(script)
    broken, log = play_steps(chosen.proxies, chosen.seed, chosen.steps, chosen.seconds * 1000.0)
    for event in log:
        click.echo(str(event))
    for one in broken:
        click.echo(str(one))
    sys.exit(1 if broken else 0)


@top.command("search", help="Play random scripts in simulated time; print each that breaks something.")
@click.option("--members", default=5, show_default=True)
@click.option("--first", default=1, show_default=True, help="seed")
@click.option("--scripts", default=1_000, show_default=True)
def search_command(members: int, first: int, scripts: int) -> None:
    count = 0
    for seed, steps, broken in search(range(first, first + scripts), members):
        count += 1
        click.echo(f"seed {seed}: {broken[0]}")
        click.echo("\n".join(f"    {step}" for step in steps))
    click.echo(f"{scripts} scripts of {members} members, {count} broke something")
    sys.exit(1 if count else 0)


if __name__ == "__main__":
    top()
