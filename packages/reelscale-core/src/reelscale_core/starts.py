"""Decides which start of an upstream is current.

Records may arrive out of order, so starts are ordered by start time.  A clock
may have stepped back between two starts, and then the later start has the
earlier time.  A running start renews its record, so a start with an earlier
time becomes current once the other has stopped writing.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import enum
from collections.abc import Iterable
from typing import NamedTuple

from .announcement import Announcement, Item

# Three heartbeats of 1.2 s, after which the platform also removes a start.  A
# live start that is contradicted announces itself again within one heartbeat.
CONTENTION_S = 4.0
# Bounds memory if a writer invents ids; far above the size of a platform.
MAX_UPSTREAMS = 4096


class _Contender(NamedTuple):
    """A record by a start with an earlier time than the current one.

    Attributes:
      item: The record.
      since: Monotonic seconds at which that start was first received.
    """

    item: Announcement
    since: float


class Verdict(enum.Enum):
    """Whether a record is by the current start of its upstream."""

    CURRENT = enum.auto()
    # The start time is earlier than that of the current start.
    SUPERSEDED = enum.auto()
    # It has no start time, though most other upstreams state theirs.
    UNDATED = enum.auto()


class Starts:
    """The current start of each upstream."""

    def __init__(self) -> None:
        self._started_ms_by_name: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Whether the latest valid record of each upstream has a start time.
        self._is_dated_by_name: dict[str, bool] = {}
        self._dated_count = 0
        self._contenders_by_name: dict[str, _Contender] = {}

    def record_listed(self, items: Iterable[Item]) -> None:
        """Record which upstreams state their start times."""
        for item in items:
            self._forget_dated(item.name)
            if not isinstance(item, Announcement):
                continue
            if len(self._is_dated_by_name) < MAX_UPSTREAMS:
                is_dated = item.born_ms is not None
                self._is_dated_by_name[item.name] = is_dated
                self._dated_count += is_dated

    def _forget_dated(self, name: str) -> None:
        self._dated_count -= self._is_dated_by_name.pop(name, False)

    def _others_are_dated(self, name: str) -> bool:
        """Return whether most other upstreams state their start times.

        A record of another writer may state one where no upstream does, and
        says nothing about the records of others.
        """
        is_dated = self._is_dated_by_name.get(name)
        others = len(self._is_dated_by_name) - (is_dated is not None)
        dated = self._dated_count - bool(is_dated)
        return 2 * dated > others

    def classify(self, item: Announcement, now: float) -> Verdict:
        """Process a record and return whether its start is current.

        Args:
          item: The record.
          now: Monotonic seconds.
        """
        born_ms = item.born_ms
        if born_ms is None:
            if self._others_are_dated(item.name):
                return Verdict.UNDATED
            return Verdict.CURRENT
        current_ms = self._started_ms_by_name.get(item.name)
        if current_ms is not None and born_ms < current_ms:
            self._record_contender(item, now)
            return Verdict.SUPERSEDED
        self._make_current(item.name, born_ms)
        return Verdict.CURRENT

    def promote_due(self, now: float) -> list[Announcement]:
        """Return the records by starts that have become current by now."""
        promoted = [
            contender.item
            for contender in self._contenders_by_name.values()
            if now - contender.since >= CONTENTION_S
        ]
        for item in promoted:
            self._make_current(item.name, item.born_ms)
        return promoted

    def forget(self, name: str) -> None:
        """Drop the contender of an upstream whose record was removed."""
        self._contenders_by_name.pop(name, None)

    def retain(self, names: set[str]) -> None:
        """Drop the contenders and records of all upstreams but these."""
        for name in set(self._contenders_by_name) - names:
            self.forget(name)
        for name in set(self._is_dated_by_name) - names:
            self._forget_dated(name)

    def _record_contender(self, item: Announcement, now: float) -> None:
        old = self._contenders_by_name.get(item.name)
        same = old is not None and old.item.born_ms == item.born_ms
        since = old.since if same else now
        self._contenders_by_name[item.name] = _Contender(item, since)

    def _make_current(self, name: str, born_ms: int) -> None:
        """Make a start current, and its upstream the most recent."""
        self._contenders_by_name.pop(name, None)
        self._started_ms_by_name[name] = born_ms
        self._started_ms_by_name.move_to_end(name)
        while len(self._started_ms_by_name) > MAX_UPSTREAMS:
            self._started_ms_by_name.popitem(last=False)


def are_distinct(first: int | None, second: int | None) -> bool:
    """Return whether two start times are current_ms and differ."""
    return None not in (first, second) and first != second
