"""Least squares lines through measured points, with the interval of the slope and the residual."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

# two-sided 95% quantiles of Student's t distribution, by degrees of freedom
T_QUANTILE_95 = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31}
T_QUANTILE_95_LARGE = 2.0  # for more degrees of freedom than in the table


@dataclass(frozen=True, slots=True)
class Fit:
    """``value = intercept + slope * quantity``.

    ``slope_error`` is half the 95% interval of the slope, infinite for two points. ``residual`` is the
    measured minus the fitted value at ``largest``, the largest quantity.
    """

    intercept: float
    slope: float
    slope_error: float
    residual: float
    largest: float

    def predict(self, quantity: float) -> float:
        """Return the fitted value at the quantity."""
        return self.intercept + self.slope * quantity


def fit(quantities: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a least squares line; raises ValueError for fewer than two different quantities."""
    count = len(quantities)
    mean_x, mean_y = sum(quantities) / count, sum(values) / count
    sum_squares_x = sum((x - mean_x) ** 2 for x in quantities)
    if not sum_squares_x:
        raise ValueError("a line needs at least two different quantities")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(quantities, values, strict=True)) / sum_squares_x
    intercept = mean_y - slope * mean_x
    residuals = [y - intercept - slope * x for x, y in zip(quantities, values, strict=True)]
    slope_error = math.inf
    if count > 2:
        deviation = math.sqrt(
            sum(residual * residual for residual in residuals) / (count - 2) / sum_squares_x
        )
        slope_error = T_QUANTILE_95.get(count - 2, T_QUANTILE_95_LARGE) * deviation
    largest_index = max(range(count), key=lambda index: quantities[index])
    return Fit(intercept, slope, slope_error, residuals[largest_index], quantities[largest_index])
