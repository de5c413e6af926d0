"""Turns a list of numbers into choices, so that hypothesis can shrink it."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Sequence
from typing import TypeVar

Item = TypeVar("Item")


class Chooser:
    """Gives choices from numbers; ends when they are used up."""

    def __init__(self, numbers: Sequence[int]) -> None:
        self._numbers = list(numbers)
        self._at = 0

    @property
    def over(self) -> bool:
        """Whether all numbers are used up."""
        return self._at >= len(self._numbers)

    def pick(self, items: Sequence[Item]) -> Item:
        """Return one of some items; the first once numbers are used up."""
        if self.over:
            return items[0]
        number = self._numbers[self._at]
        self._at += 1
        return items[number % len(items)]
