"""Tracks whether the platform's list of upstreams can be read."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error

from .. import logs

LOG = logs.Logger("directory")


class ListOutage:
    """Whether the list cannot be read.

    Attributes:
      down: Whether the last read failed.
    """

    def __init__(self) -> None:
        self.down = False

    def record_down(self, down: error.CodedError, *, upstreams: int) -> None:
        """Record a failed read; log the first one.

        Args:
          down: Why it failed.
          upstreams: Number of upstreams on the last list.
        """
        if not self.down:
            LOG.warning(
                "The list of upstreams cannot be read; using the last one.",
                upstreams=upstreams,
                reason=down.detail,
            )
        self.down = True

    def record_up(self) -> bool:
        """Record a read; return whether it is the first after an outage."""
        was_down, self.down = self.down, False
        if was_down:
            LOG.info("The list of upstreams can be read again.")
        return was_down
