"""Named numbers encoded as text, as in ``x0:12;x1:40;queue:3``: load reports and set-up parameters."""

from __future__ import annotations

import math

from martentide.codec import CodecError
from martentide.interface import Report

# Field names of the simulator's wire, and their equivalents in reports on the sockets.
FREE_LINES = ("x0", "spare")
HOLD_BACK = ("eps", "cut_by")
WAIT = ("latency_ms", "mean_ms")


def read_figures(text: str) -> dict[str, float]:
    """Parse names and numbers; an empty text yields none. Raises CodecError."""
    figures: dict[str, float] = {}
    for part in text.split(";"):
        if not part:
            continue
        name, colon, number = part.partition(":")
        try:
            value = float(number)
        except ValueError:
            raise CodecError(f"{part!r} is not a name and a number") from None
        if not colon or not name or not math.isfinite(value):
            raise CodecError(f"{part!r} is not a name and a number")
        figures[name] = value
    return figures


def read_report(text: str) -> Report | None:
    """Parse a load report. Absent or negative values become None; return None if all are."""
    figures = read_figures(text)

    def first_value(names: tuple[str, ...]) -> float | None:
        return next((figures[name] for name in names if figures.get(name, -1.0) >= 0), None)

    report = Report(first_value(FREE_LINES), first_value(HOLD_BACK), first_value(WAIT))
    return None if report == Report(None, None, None) else report


def read_first_choice(text: str) -> int:
    """Return the place number of a set-up's first-choice server, -1 for none.

    The decisions need only this number, but the other values are validated too: no server can use a call
    with impossible ones. Raises CodecError.
    """
    figures = read_figures(text)
    choice, width = figures.get("dest", -1.0), figures.get("width", 1.0)
    if choice < -1 or width < 1 or not (choice.is_integer() and width.is_integer()):
        raise CodecError(f"{text!r} contains an invalid value")
    return int(choice)
