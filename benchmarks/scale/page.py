"""Writes the tables of ``docs/CAPACITY.md`` between its markers from the saved results.

The tables always match the saved results; a section without results contains ``NOT_RUN``.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from benchmarks.scale.fits import fit
from benchmarks.scale.results import load

PAGE_PATH = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
PLANNED_PROXIES = 4_700
NOT_RUN = "not run"


def table(section: str) -> str:
    """Return the rows of a section as a Markdown table."""
    rows = load(section)
    if not rows:
        return NOT_RUN
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    lines += ["| " + " | ".join(row[name] for name in names) + " |" for row in rows]
    return "\n".join(lines)


def transposed_table(section: str) -> str:
    """Return the rows of a section as columns, for sections with more figures than sizes."""
    rows = load(section)
    if not rows:
        return NOT_RUN
    names = list(rows[0])
    head = names[0]
    lines = [f"| {head} | " + " | ".join(row[head] for row in rows) + " |"]
    lines.append("| --- |" + " --- |" * len(rows))
    lines += [f"| {name} | " + " | ".join(row[name] for row in rows) + " |" for name in names[1:]]
    return "\n".join(lines)


def slope_table(section: str, x_column: str, y_columns: tuple[str, ...]) -> str:
    """Return a table of fitted lines through columns of a section, with the value at the planned size."""
    rows = load(section)
    if len({row[x_column] for row in rows}) < 2:
        return NOT_RUN
    lines = [
        f"| figure | intercept | slope by {x_column} (95%) "
        f"| runs up to | residual there | at {PLANNED_PROXIES:,} |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name in y_columns:
        line = fit([float(row[x_column]) for row in rows], [float(row[name]) for row in rows])
        lines.append(
            f"| {name} | {line.intercept:.4g} | {line.slope:.4g} (± {line.slope_error:.2g}) "
            f"| {line.largest:,.0f} | {line.residual:.3g} | {line.predict(PLANNED_PROXIES):.4g} |"
        )
    return "\n".join(lines)


BLOCKS: dict[str, Callable[[], str]] = {
    "membership": lambda: table("membership"),
    "membership-slopes": lambda: slope_table(
        "membership", "members", ("bytes_per_s", "processor_ms_per_s", "memory_bytes_per_member")
    ),
    "state": lambda: table("state"),
    "config": lambda: table("config"),
    "config-slopes": lambda: slope_table("config", "members", ("leader_bytes_s", "leader_words_s")),
    "latency": lambda: transposed_table("latency"),
    "tier": lambda: transposed_table("tier"),
    "tier-loss": lambda: transposed_table("tier_loss"),
    "processes": lambda: transposed_table("processes"),
    "tier-slopes": lambda: slope_table(
        "tier", "proxies", ("bytes_per_s_proxy", "bytes_per_s_proxy_p99", "state_age_p99_s")
    ),
}


def fill_blocks(text: str) -> str:
    """Return the page with each block from ``<!-- NAME -->`` to ``<!-- /NAME -->`` replaced by its table."""
    for name, make_table in BLOCKS.items():
        pattern = re.compile(rf"(<!-- {name} -->\n).*?(<!-- /{name} -->)", re.DOTALL)
        text = pattern.sub(lambda match, make_table=make_table: f"{match[1]}{make_table()}\n{match[2]}", text)  # type: ignore[misc]
    return text


def write() -> None:
    """Write the tables into the capacity page."""
    PAGE_PATH.write_text(fill_blocks(PAGE_PATH.read_text(encoding="utf-8")), encoding="utf-8")
