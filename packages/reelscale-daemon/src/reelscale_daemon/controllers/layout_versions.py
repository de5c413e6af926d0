"""Draws the versions of layouts."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping

from reelscale_core import rank

# Distance between the first layout versions of consecutive fences.
VERSIONS_PER_FENCE = 1000


class LayoutVersions:
    """The versions that one holder has drawn."""

    def __init__(self) -> None:
        self._newest = 0

    def next(self, fence: int, by_name: Mapping[str, rank.Rank]) -> int:
        """Return a version that no rank has seen.

        Args:
          fence: The fence of the holder.
          by_name: Reports of all ranks.
        """
        seen = [item.version for item in by_name.values()]
        seen += [item.prepared or 0 for item in by_name.values()]
        first = fence * VERSIONS_PER_FENCE
        self._newest = max(*seen, first, self._newest) + 1
        return self._newest
