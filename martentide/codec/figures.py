"""Figures written as text, as in ``x0:12;x1:40;queue:3``: load reports and the facts of a set-up."""

from __future__ import annotations

import math

from martentide.codec import CodecError
from martentide.interface import Report

# The field names of the simulator's wire and those that a report on the sockets may carry for them.
FREE_LINES = ("x0", "spare")
HOLD_BACK = ("eps", "cut_by")
WAIT = ("latency_ms", "mean_ms")


def read_figures(text: str) -> dict[str, float]:
    """Names and numbers; an empty text holds none."""
    figures: dict[str, float] = {}
    for part in text.split(";"):
        if not part:
            continue
        name, colon, number = part.partition(":")
        try:
            value = float(number)
        except ValueError:
            raise CodecError(f"{part!r} is no figure") from None
        if not colon or not name or not math.isfinite(value):
            raise CodecError(f"{part!r} is no figure")
        figures[name] = value
    return figures


def read_report(text: str) -> Report | None:
    """A load report; figures that are absent or negative count as not told, a report without any as none."""
    figures = read_figures(text)

    def told(names: tuple[str, ...]) -> float | None:
        return next((figures[name] for name in names if figures.get(name, -1.0) >= 0), None)

    report = Report(told(FREE_LINES), told(HOLD_BACK), told(WAIT))
    return None if report == Report(None, None, None) else report


def read_first_choice(text: str) -> int:
    """The place number of the server that a set-up names first, -1 for none: all the decisions need of it.

    Its other figures must still be possible ones: no server can use a call that has none.
    """
    figures = read_figures(text)
    choice, width = figures.get("dest", -1.0), figures.get("width", 1.0)
    if choice < -1 or width < 1 or not (choice.is_integer() and width.is_integer()):
        raise CodecError(f"{text!r} holds an impossible figure")
    return int(choice)
