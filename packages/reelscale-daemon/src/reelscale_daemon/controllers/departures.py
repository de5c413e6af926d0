"""Keeps which upstreams have said in an answer that they leave.

What one start said does not hold for another, and outlasts its place in the
list, which tells the same later or, while it cannot be read, not at all.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
from collections.abc import Callable

from reelscale_core import announcement, clock

from .. import logs

LOG = logs.Logger("departures")
# So many starts are remembered, the newest; those that have ended are asked
# nothing any more.
MOST_KEPT = 4096


class Departures:
    """The upstreams that leave, by their start."""

    def __init__(
        self, *, clock: clock.Clock, on_change: Callable[[], None]
    ) -> None:
        """Make it.

        Args:
          clock: The time.
          on_change: Called once an upstream has said that it leaves.
        """
        self._clock = clock
        self._on_change = on_change
        # Unix seconds at which it was first heard.
        self._heard_at_by_start: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_leaving(self, start: announcement.Start) -> None:
        """Take that an answer says that its upstream leaves."""
        if start.key in self._heard_at_by_start:
            return
        LOG.info("An upstream says that it leaves.", upstream=start.key)
        self._keep(start, self._clock.wall())
        self._on_change()

    def leaving(self, start: announcement.Start) -> bool:
        """Tell whether a start has said that it leaves."""
        return start.key in self._heard_at_by_start

    def on_restart(
        self, before: announcement.Start, start: announcement.Start
    ) -> None:
        """Forget a start in whose place another is, but for what is its."""
        heard_at = self._heard_at_by_start.pop(before.key, None)
        if heard_at is not None and start.was_running_at(heard_at):
            self._keep(start, heard_at)

    def _keep(self, start: announcement.Start, heard_at: float) -> None:
        self._heard_at_by_start[start.key] = heard_at
        if len(self._heard_at_by_start) > MOST_KEPT:
            self._heard_at_by_start.popitem(last=False)
