"""Fit a line through measured points and evaluate it at the target size."""

from typing import NamedTuple

import numpy


class Line(NamedTuple):
    """Measured points, the line through them and its value at the target."""

    quantity: str
    unit: str
    over: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    r_squared: float
    target: float
    at_target: float


def fit(
    quantity: str,
    unit: str,
    over: str,
    points: list[tuple[float, float]],
    target: float,
) -> Line:
    """Return the least-squares line; the points must span a factor of ten."""
    sizes, values = (numpy.array(column, float) for column in zip(*points, strict=True))
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residuals = values - (slope * sizes + intercept)
    spread = float(((values - values.mean()) ** 2).sum())
    r_squared = 1 - float((residuals**2).sum()) / spread if spread else 1.0
    return Line(
        quantity,
        unit,
        over,
        points,
        float(slope),
        float(intercept),
        r_squared,
        target,
        float(slope * target + intercept),
    )
