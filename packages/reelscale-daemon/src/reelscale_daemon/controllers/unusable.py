"""Logs and counts invalid announcements, once per change of the reason."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import announcement

from .. import logs, metrics

LOG = logs.Logger("directory")
# Bounds the memory for names that a faulty writer may make up.
MAX_RECORDS = 1000


class UnusableAnnouncements:
    """The last logged reasons why announcements are invalid."""

    def __init__(self, *, metrics: metrics.Metrics) -> None:
        self._metrics = metrics
        self._reason_by_name: dict[str, str] = {}

    def record(self, item: announcement.Unusable) -> None:
        """Log and count an announcement, unless its reason is unchanged."""
        if self._reason_by_name.get(item.name) == item.reason:
            return
        if len(self._reason_by_name) < MAX_RECORDS:
            self._reason_by_name[item.name] = item.reason
        self._metrics.unusable.inc({"reason": item.reason})
        LOG.warning(
            "Ignored an invalid announcement of an upstream.",
            name=item.name,
            reason=item.reason,
            detail=item.detail,
        )

    def forget(self, name: str) -> None:
        """Forget an upstream that is valid again or no longer announced."""
        self._reason_by_name.pop(name, None)
