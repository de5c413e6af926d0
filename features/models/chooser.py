"""Maps a list of numbers to choices, so that hypothesis can shrink traces."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Sequence
from typing import TypeVar

Item = TypeVar("Item")


class Chooser:
    """Makes choices from a finite list of numbers."""

    def __init__(self, numbers: Sequence[int]) -> None:
        self._numbers = list(numbers)
        self._position = 0

    @property
    def over(self) -> bool:
        """Whether all numbers are used."""
        return self._position >= len(self._numbers)

    def pick(self, items: Sequence[Item]) -> Item:
        """Return one of the items; the first if all numbers are used."""
        if self.over:
            return items[0]
        number = self._numbers[self._position]
        self._position += 1
        return items[number % len(items)]
