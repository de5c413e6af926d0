"""Tells operators of announcements that cannot be trusted, once a change."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import announcement

from .. import logs, metrics

LOG = logs.Logger("directory")
# Of so many announcements at most it is remembered what is wrong; another
# writer may make up any number of them.
MOST_NOTED = 1000


class UnusableNotes:
    """What is wrong with announcements, as it was told last."""

    def __init__(self, *, metrics: metrics.Metrics) -> None:
        self._metrics = metrics
        self._reason_by_name: dict[str, str] = {}

    def note(self, item: announcement.Unusable) -> None:
        """Tell what is wrong with an announcement, unless that is known."""
        if self._reason_by_name.get(item.name) == item.reason:
            return
        if len(self._reason_by_name) < MOST_NOTED:
            self._reason_by_name[item.name] = item.reason
        self._metrics.unusable.inc({"reason": item.reason})
        LOG.warning(
            "An announcement cannot be trusted; it names no upstream.",
            name=item.name,
            reason=item.reason,
            detail=item.detail,
        )

    def forget(self, name: str) -> None:
        """Note that an upstream is announced well, or no more."""
        self._reason_by_name.pop(name, None)
