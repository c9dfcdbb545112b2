"""Writes the tables of ``docs/CAPACITY.md`` between its markers from the saved results.

So page and run can't part; what was not run stands there as such.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from benchmarks.scale.fits import fit
from benchmarks.scale.results import load

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
PLANNED = 4_700  # proxies
NOT_RUN = "not run"


def table(section: str) -> str:
    """All rows of a section as a Markdown table."""
    rows = load(section)
    if not rows:
        return NOT_RUN
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    lines += ["| " + " | ".join(row[name] for name in names) + " |" for row in rows]
    return "\n".join(lines)


def turned(section: str) -> str:
    """The rows of a section as columns: for tables with more figures than sizes."""
    rows = load(section)
    if not rows:
        return NOT_RUN
    names = list(rows[0])
    head = names[0]
    lines = [f"| {head} | " + " | ".join(row[head] for row in rows) + " |"]
    lines.append("| --- |" + " --- |" * len(rows))
    lines += [f"| {name} | " + " | ".join(row[name] for row in rows) + " |" for name in names[1:]]
    return "\n".join(lines)


def slopes(section: str, across: str, values: tuple[str, ...]) -> str:
    """Lines through a section's columns, with the figure at the planned size."""
    rows = load(section)
    if len({row[across] for row in rows}) < 2:
        return NOT_RUN
    lines = [
        f"| figure | intercept | slope by {across} (95%) | runs up to | residual there | at {PLANNED:,} |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name in values:
        one = fit([float(row[across]) for row in rows], [float(row[name]) for row in rows])
        lines.append(
            f"| {name} | {one.intercept:.4g} | {one.slope:.4g} (± {one.slope_error:.2g}) "
            f"| {one.largest:,.0f} | {one.residual:.3g} | {one.at(PLANNED):.4g} |"
        )
    return "\n".join(lines)


BLOCKS: dict[str, Callable[[], str]] = {
    "membership": lambda: table("membership"),
    "membership-slopes": lambda: slopes(
        "membership", "members", ("bytes_per_s", "processor_ms_per_s", "memory_bytes_per_member")
    ),
    "state": lambda: table("state"),
    "config": lambda: table("config"),
    "config-slopes": lambda: slopes("config", "members", ("leader_bytes_s", "leader_words_s")),
    "latency": lambda: turned("latency"),
    "tier": lambda: turned("tier"),
    "tier-loss": lambda: turned("tier_loss"),
    "processes": lambda: turned("processes"),
    "tier-slopes": lambda: slopes(
        "tier", "proxies", ("bytes_per_s_proxy", "bytes_per_s_proxy_p99", "state_age_p99_s")
    ),
}


def filled(text: str) -> str:
    """The page with each block between ``<!-- NAME -->`` and ``<!-- /NAME -->`` written anew."""
    for name, make in BLOCKS.items():
        pattern = re.compile(rf"(<!-- {name} -->\n).*?(<!-- /{name} -->)", re.DOTALL)
        text = pattern.sub(lambda found, make=make: f"{found[1]}{make()}\n{found[2]}", text)  # type: ignore[misc]
    return text


def write() -> None:
    PAGE.write_text(filled(PAGE.read_text(encoding="utf-8")), encoding="utf-8")
