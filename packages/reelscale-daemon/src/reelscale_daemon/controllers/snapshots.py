"""Decides when a snapshot of the configuration is to be written."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import position


class Snapshots:
    """The last snapshot in the log.

    Attributes:
      last: Its offset, 0 while none was read.
    """

    def __init__(self, *, every: int) -> None:
        """Create without a snapshot; one is due after so many records."""
        self.last = 0
        self._every = every

    def record(self, rows: list[tuple[int, Any]]) -> None:
        """Record the snapshots among records of the log."""
        for offset, data in rows:
            if isinstance(data, dict) and data.get("kind") == "snapshot":
                self.last = offset

    def is_due(self, offset: int, oldest: int) -> bool:
        """Return whether enough records follow the last snapshot.

        Args:
          offset: Offset of the state.
          oldest: Lowest needed offset that the log retains.
        """
        at = position.decode(offset)
        start = position.decode(max(self.last, oldest - 1))
        # After a restore the records of the new incarnation count.
        begin = start.offset if at.incarnation == start.incarnation else 0
        return at.offset - begin >= self._every
