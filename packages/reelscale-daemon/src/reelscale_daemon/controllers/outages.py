"""Which groups refuse work as a whole, as this entry has found out."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import clock, outage

from .. import logs
from ..filters import call

LOG = logs.Part("entry")


class Outages:
    """Keeps the outage of each target.

    Only groups of ranks go out as a whole; a service's upstreams refuse each
    for itself.
    """

    def __init__(self, *, clock: clock.Clock) -> None:
        self._clock = clock
        self._outage_by_target: dict[str, outage.Outage] = {}

    def lets_through(self, asked: call.Call) -> bool:
        """Tell whether a request may go to its group, or that is out.

        Who is let through to see whether a group is back is noted.
        """
        if not asked.is_model:
            return True
        found = self._outage(asked.target)
        now = self._clock.monotonic()
        if not outage.lets_through(found, now):
            return False
        if found.out:
            self._outage_by_target[asked.target] = found._replace(tried_at=now)
        return True

    def out(self, asked: call.Call) -> bool:
        """Tell whether the group of a request refuses work as a whole."""
        return asked.is_model and self._outage(asked.target).out

    def note_refused(self, asked: call.Call, upstream: str) -> None:
        """Note that an upstream refused a request without running it."""
        old = self._outage(asked.target)
        new = outage.refused(old, upstream, self._clock.monotonic())
        self._outage_by_target[asked.target] = new
        if asked.is_model and new.out and not old.out:
            LOG.warning("A group refuses work.", target=asked.target)

    def note_answered(self, asked: call.Call) -> None:
        """Note that an upstream took a request."""
        old = self._outage_by_target.pop(asked.target, None)
        if asked.is_model and old is not None and old.out:
            LOG.info("A group takes work again.", target=asked.target)

    def _outage(self, target: str) -> outage.Outage:
        return self._outage_by_target.get(target, outage.Outage())
