"""Straight lines through measured points, with what they leave unexplained."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

T_95 = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31}  # by degrees of freedom
T_MANY = 2.0


@dataclass(frozen=True, slots=True)
class Fit:
    """``value = intercept + slope * quantity``. ``slope_error``: half the 95% interval of the slope, infinite
    for two points; ``residual``: measured less fitted at the largest quantity."""

    intercept: float
    slope: float
    slope_error: float
    residual: float
    largest: float

    def at(self, quantity: float) -> float:
        return self.intercept + self.slope * quantity


def fit(quantities: Sequence[float], values: Sequence[float]) -> Fit:
    """The least squares line; raises ValueError for fewer than two different quantities."""
    count = len(quantities)
    mean_x, mean_y = sum(quantities) / count, sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in quantities)
    if not spread:
        raise ValueError("a line takes two different quantities")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(quantities, values, strict=True)) / spread
    intercept = mean_y - slope * mean_x
    rest = [y - intercept - slope * x for x, y in zip(quantities, values, strict=True)]
    error = math.inf
    if count > 2:
        deviation = math.sqrt(sum(one * one for one in rest) / (count - 2) / spread)
        error = T_95.get(count - 2, T_MANY) * deviation
    last = max(range(count), key=lambda at: quantities[at])
    return Fit(intercept, slope, error, rest[last], quantities[last])
