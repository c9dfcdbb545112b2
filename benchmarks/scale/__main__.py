"""``python -m benchmarks.scale SECTION [--sizes N,N] [--short] [--seed N]``; ``page`` writes the tables of
``docs/CAPACITY.md`` from the saved results. ``--short`` measures small sizes, checks only results that don't
depend on the machine, and saves nothing. ``tier`` prints a line ``RESULT {json}`` for each size.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import click

from benchmarks.fleet_rules import run_simulated
from benchmarks.scale import latency, membership, page, processes, state, tier
from benchmarks.scale.fits import fit
from benchmarks.scale.results import Row, draw, save
from martentide_lab.control.layout import Layout

SHORT_SERVICES = 30  # with --short; fewer proxies have fewer services
VOTERS = 5
CALL_RATES_PER_S = (40, 100, 200, 400)


@click.group()
def main() -> None:
    """Measure the growth of costs with the size of the fleet."""


def sizes_option(default: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Return the decorator for the option ``--sizes``."""
    return click.option("--sizes", default=default, show_default=True)


def services_for(proxies: int) -> int:
    """Return how many services give each service as many members as at the planned size.

    Updates per subscriber grow with the members of its services.
    """
    planned = Layout()
    return max(planned.called_services + 1, round(proxies * planned.services / planned.proxies))


def parse_sizes(text: str) -> list[int]:
    """Parse comma-separated integers; raises ValueError for anything else."""
    return [int(part) for part in text.split(",")]


def print_rows(rows: list[Row]) -> None:
    """Print each row as a line of ``name=value``."""
    for row in rows:
        click.echo("  ".join(f"{name}={value}" for name, value in row.items()))


@main.command("membership")
@sizes_option("64,200,1000,2000,4700")
@click.option("--short", is_flag=True)
def membership_command(sizes: str, short: bool) -> None:
    """Measure one member of a flat fleet with N other members."""
    rows = [membership.measure(count) for count in ([64, 200] if short else parse_sizes(sizes))]
    print_rows(rows)
    if short:
        check(
            all(float(row["bytes_per_s"] or 0) < 4_000 for row in rows),
            "a member in steady state sends over 4 kB/s",
        )
        return
    save("membership", rows)
    draw("membership", rows, "members", ["processor_ms_per_s"])


@main.command("state")
@sizes_option("25,50,100,200")
@click.option("--short", is_flag=True)
def state_command(sizes: str, short: bool) -> None:
    """Measure state entries of all members that are gossiped to all members."""
    rows = [state.measure(count) for count in ([12, 25] if short else parse_sizes(sizes))]
    print_rows(rows)
    if short:
        check(float(rows[0]["missing_share"] or 0) < 0.01, "entries are missing at 12 members")
        return
    save("state", rows)
    draw("state", rows, "members", ["missing_share"])


@main.command("config")
@sizes_option("9,64,200")
@click.option("--short", is_flag=True)
def config_command(sizes: str, short: bool) -> None:
    """Measure what the leader of the agreement sends at one rule change per second."""
    rows: list[Row] = [
        run_simulated(count, VOTERS, 1) for count in ([9, 25] if short else parse_sizes(sizes))
    ]
    print_rows(rows)
    if short:
        check(all(not row["broken"] for row in rows), "an invariant of the agreement is broken")
        return
    save("config", rows)
    draw("config", rows, "members", ["leader_bytes_s"])


@main.command("latency")
@click.option("--short", is_flag=True)
def latency_command(short: bool) -> None:
    """Measure the latency that one proxy adds to the set-up of a call."""
    rows = asyncio.run(latency.measure(CALL_RATES_PER_S[:1] if short else CALL_RATES_PER_S))
    print_rows(rows)
    if not short:
        save("latency", rows)
        draw("latency", rows, "calls_per_s", ["added_p50_ms", "added_p99_ms"])


@main.command("tier")
@sizes_option("600,1000,2000,4700")
@click.option("--short", is_flag=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--loss", default=0.0, show_default=True, help="share of datagrams lost on all links")
def tier_command(sizes: str, short: bool, seed: int, loss: float) -> None:
    """Simulate the control tier through the events of an ordinary day."""
    layouts = [Layout(count, services=services_for(count)) for count in parse_sizes(sizes)]
    if short:
        layouts = [Layout(count, 6, services=SHORT_SERVICES) for count in (150, 300)]
    results = []
    for layout in layouts:
        results.append(tier.simulate_day(layout, seed, loss))
        click.echo("RESULT " + json.dumps(results[-1]))
    rows = [tier.flatten(result) for result in results]
    if len(rows) > 1:
        slope = fit(
            [layout.proxies for layout in layouts], [float(row["bytes_per_s_proxy"] or 0) for row in rows]
        )
        click.echo(f"slope_bytes_per_member {slope.slope:.4f} +- {slope.slope_error:.4f}")
    check(not any(row["rules_broken"] for row in rows), "an invariant is broken")
    if not short:
        save("tier_loss" if loss else "tier", rows)
        draw("tier", rows, "proxies", ["bytes_per_s_proxy", "bytes_per_s_proxy_p99"])


@main.command("processes")
@click.option("--proxies", default=24, show_default=True)
@click.option("--nodes", default=3, show_default=True)
def processes_command(proxies: int, nodes: int) -> None:
    """Measure the control tier as real processes, with losses of control nodes."""
    rows = [asyncio.run(processes.measure(proxies, nodes))]
    print_rows(rows)
    click.echo("RESULT " + json.dumps(rows[0]))
    save("processes", rows)


@main.command("page")
def page_command() -> None:
    """Write the tables of the capacity page from the results."""
    page.write()


def check(holds: bool, message: str) -> None:
    """End the command with the message unless the condition holds."""
    if not holds:
        raise click.ClickException(message)


if __name__ == "__main__":
    main()
