"""Result rows: saved as CSV in ``results/``, drawn as charts, and loaded for the capacity page."""

from __future__ import annotations

import csv
from collections.abc import Mapping, Sequence
from pathlib import Path

RESULTS_FOLDER = Path(__file__).parent / "results"
Row = Mapping[str, float | int | str | None]


def save(section: str, rows: Sequence[Row], folder: Path = RESULTS_FOLDER) -> Path:
    """Replace the saved rows of a section; every row must have the keys of the first."""
    folder.mkdir(exist_ok=True)
    path = folder / f"{section}.csv"
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, fieldnames=list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    return path


def load(section: str, folder: Path = RESULTS_FOLDER) -> list[dict[str, str]]:
    """Return the saved rows as text; empty if the section was not run."""
    path = folder / f"{section}.csv"
    if not path.exists():
        return []
    with path.open(newline="", encoding="utf-8") as file:
        return list(csv.DictReader(file))


def draw(
    section: str, rows: Sequence[Row], x_column: str, y_columns: Sequence[str], folder: Path = RESULTS_FOLDER
) -> Path:
    """Draw columns over another column as an SVG chart."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name in y_columns:
        points = [
            (float(row[x_column] or 0), float(row[name] or 0)) for row in rows if row[name] not in (None, "")
        ]
        axes.plot([x for x, _ in points], [y for _, y in points], marker="o", label=name)
    axes.set_xlabel(x_column)
    axes.legend()
    axes.grid(alpha=0.3)
    path = folder / f"{section}.svg"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    return path
