"""Which starts of a group's ranks refuse the orders of earlier holders."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping
from typing import NamedTuple

from reelscale_core import rank, starts


class Fenced(NamedTuple):
    """The ranks that refuse earlier holders.

    Attributes:
      fence: Orders with a lower fence are refused.
      epoch: The epoch of the group.
      started_ms: Start time of each rank; a restarted rank loses its fence.
    """

    fence: int
    epoch: int
    started_ms: Mapping[str, int | None]


def start_times(by_name: Mapping[str, rank.Rank]) -> dict[str, int | None]:
    """Return the start time of each rank."""
    return {name: item.born_ms for name, item in by_name.items()}


def any_restarted(
    before: Mapping[str, rank.Rank], now: Mapping[str, rank.Rank]
) -> bool:
    """Return whether a rank reports another start than before."""
    return any(
        starts.are_distinct(before[name].born_ms, item.born_ms)
        for name, item in now.items()
    )
