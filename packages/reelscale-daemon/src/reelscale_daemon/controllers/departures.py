"""Tracks the upstreams that announced in an answer that they leave.

An announcement applies to one start and does not depend on the list of
upstreams, which reports it later or, while unreadable, not at all.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
from collections.abc import Callable

from reelscale_core import announcement, clock

from .. import logs

LOG = logs.Logger("departures")
# Starts remembered; the oldest are dropped first.
MAX_RECORDS = 4096


class Departures:
    """The upstreams that are leaving, by start."""

    def __init__(
        self, *, clock: clock.Clock, on_change: Callable[[], None]
    ) -> None:
        """Initialize without departures.

        Args:
          clock: The clock.
          on_change: Called once an upstream announces that it leaves.
        """
        self._clock = clock
        self._on_change = on_change
        # Unix seconds at which the announcement was first received.
        self._received_at_by_start: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_leaving(self, start: announcement.Start) -> None:
        """Record that an answer announced that its upstream leaves."""
        if start.key in self._received_at_by_start:
            return
        LOG.info(
            "An upstream announced that it is leaving.", upstream=start.key
        )
        self._store(start, self._clock.wall())
        self._on_change()

    def leaving(self, start: announcement.Start) -> bool:
        """Return whether a start announced that it leaves."""
        return start.key in self._received_at_by_start

    def on_restart(
        self, before: announcement.Start, start: announcement.Start
    ) -> None:
        """Drop the record of a replaced start, unless the new one sent it."""
        received_at = self._received_at_by_start.pop(before.key, None)
        if received_at is not None and start.was_running_at(received_at):
            self._store(start, received_at)

    def _store(self, start: announcement.Start, received_at: float) -> None:
        self._received_at_by_start[start.key] = received_at
        if len(self._received_at_by_start) > MAX_RECORDS:
            self._received_at_by_start.popitem(last=False)
