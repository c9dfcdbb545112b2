"""Measured rows: kept as CSV beside the benchmarks, drawn as a chart, and read again by the capacity page."""

from __future__ import annotations

import csv
from collections.abc import Mapping, Sequence
from pathlib import Path

RESULTS = Path(__file__).parent / "results"
Row = Mapping[str, float | int | str | None]


def save(section: str, rows: Sequence[Row], folder: Path = RESULTS) -> Path:
    """Write the rows of a section in place of earlier ones; every row has the keys of the first."""
    folder.mkdir(exist_ok=True)
    path = folder / f"{section}.csv"
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, fieldnames=list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    return path


def load(section: str, folder: Path = RESULTS) -> list[dict[str, str]]:
    """The rows as text; none where the section was not run."""
    path = folder / f"{section}.csv"
    if not path.exists():
        return []
    with path.open(newline="", encoding="utf-8") as file:
        return list(csv.DictReader(file))


def draw(
    section: str, rows: Sequence[Row], across: str, values: Sequence[str], folder: Path = RESULTS
) -> Path:
    """A chart of some columns over another one."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name in values:
        points = [
            (float(row[across] or 0), float(row[name] or 0)) for row in rows if row[name] not in (None, "")
        ]
        axes.plot([x for x, _ in points], [y for _, y in points], marker="o", label=name)
    axes.set_xlabel(across)
    axes.legend()
    axes.grid(alpha=0.3)
    path = folder / f"{section}.svg"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    return path
