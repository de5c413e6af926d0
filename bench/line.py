"""Fits a line to what was measured at several sizes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable, Sequence
from typing import NamedTuple

import numpy


class Slope(NamedTuple):
    """A fitted line.

    Attributes:
      name: What was measured.
      unit: Unit of the slope.
      base: Value at zero.
      slope: Value for each one more.
      error: Largest distance from the line over the largest value.
      points: (size, value) pairs.
    """

    name: str
    unit: str
    base: float
    slope: float
    error: float
    points: tuple[tuple[float, float], ...]


def fit(
    name: str, unit: str, sizes: Sequence[int], measure: Callable[[int], float]
) -> Slope:
    """Measure at each size and fit a line."""
    points = tuple((float(size), float(measure(size))) for size in sizes)
    xs, ys = zip(*points, strict=True)
    slope, base = numpy.polyfit(xs, ys, 1)
    worst = max(abs(base + slope * x - y) for x, y in points)
    error = worst / max(abs(y) for y in ys)
    row = Slope(name, unit, float(base), float(slope), float(error), points)
    print(
        f"{row.name:<44} {row.slope:.4g} {row.unit} "
        f"(base {row.base:.4g}, fit error {row.error:.1%})"
    )
    return row
