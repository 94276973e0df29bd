"""Least-squares lines through measurements at several sizes."""

from dataclasses import dataclass

import numpy as np

__all__ = ["Slope", "fit_slope"]


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line fitted to measurements.

    `slope` is in `unit` per `variable` and `intercept` in `unit`. `fit` is the
    coefficient of determination. `spread` is the largest distance of a
    measurement from the line, as a share of the largest measurement.
    """

    name: str
    unit: str
    variable: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    fit: float
    spread: float

    def extrapolate(self, size):
        """Return the line's value at `size`."""
        return self.intercept + self.slope * size


def fit_slope(name, unit, variable, sizes, values):
    """Return the least-squares `Slope` of `values` over `sizes`.

    Examples
    --------
    >>> line = fit_slope("memory", "B", "instances", (1, 2, 3), (12.0, 14.0, 16.0))
    >>> round(line.slope, 6), round(line.intercept, 6), round(line.fit, 6)
    (2.0, 10.0, 1.0)
    """
    x = np.asarray(sizes, dtype=float)
    y = np.asarray(values, dtype=float)
    slope, intercept = np.polyfit(x, y, 1)
    residuals = y - (slope * x + intercept)
    total = float(((y - y.mean()) ** 2).sum())
    fit = 1.0 - float((residuals**2).sum()) / total if total else 1.0
    largest = float(np.abs(y).max())
    spread = float(np.abs(residuals).max()) / largest if largest else 0.0
    return Slope(
        name,
        unit,
        variable,
        tuple(float(item) for item in x),
        tuple(float(item) for item in y),
        float(slope),
        float(intercept),
        fit,
        spread,
    )
