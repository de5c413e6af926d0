"""Tells which start of an upstream counts where records come out of order.

A record of an earlier start may arrive after one of a later start: a write
may be done seconds after it was sent.  By its time of birth it is told from
a later one.  But a clock may have stepped back between two starts, and then
the later start has the earlier time.  Who lives goes on writing, so a start
with an earlier time of birth counts once the other has written no more.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import enum
from collections.abc import Iterable
from typing import NamedTuple

from .announcement import Announcement, Item

# A start that lives and is contradicted writes again within a heartbeat, 1.2
# s; three of them without a word end a start, here as for the platform.
CONTENTION_S = 4.0
# So many upstreams are remembered, far above those of one platform, however
# many ids another writer makes up.
MAX_UPSTREAMS = 4096


class _Contender(NamedTuple):
    """A record by a start that seems to be earlier than the one that counts.

    Attributes:
      item: The record.
      since: Monotonic seconds at which the first of that start came.
    """

    item: Announcement
    since: float


class Verdict(enum.Enum):
    """What a record by an upstream is worth."""

    CURRENT = enum.auto()
    # An earlier start seems to have written it.
    SUPERSEDED = enum.auto()
    # It does not tell its start, though upstreams here do.
    UNDATED = enum.auto()


class Starts:
    """The start of each upstream that counts."""

    def __init__(self) -> None:
        self._born_by_name: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._any_dated = False
        self._contenders_by_name: dict[str, _Contender] = {}

    def record_listed(self, items: Iterable[Item]) -> None:
        """Note, before any of them is taken, whether upstreams tell starts."""
        entries = [i for i in items if isinstance(i, Announcement)]
        told = any(item.born_ms is not None for item in entries)
        self._any_dated = self._any_dated or told

    def classify(self, item: Announcement, now: float) -> Verdict:
        """Take a record; tell what it is worth.

        Args:
          item: The record.
          now: Monotonic seconds.
        """
        born_ms = item.born_ms
        if born_ms is None:
            return Verdict.UNDATED if self._any_dated else Verdict.CURRENT
        known = self._born_by_name.get(item.name)
        if known is not None and born_ms < known:
            self._contend(item, now)
            return Verdict.SUPERSEDED
        self._count(item.name, born_ms)
        return Verdict.CURRENT

    def promote_due(self, now: float) -> list[Announcement]:
        """Return the records by starts that count from now on after all."""
        won = [
            row.item
            for row in self._contenders_by_name.values()
            if now - row.since >= CONTENTION_S
        ]
        for item in won:
            self._count(item.name, item.born_ms)
        return won

    def forget(self, name: str) -> None:
        """Note that an upstream has no record any more."""
        self._contenders_by_name.pop(name, None)

    def retain(self, names: set[str]) -> None:
        """Note that only these upstreams have records."""
        for name in set(self._contenders_by_name) - names:
            self.forget(name)

    def _contend(self, item: Announcement, now: float) -> None:
        old = self._contenders_by_name.get(item.name)
        same = old is not None and old.item.born_ms == item.born_ms
        since = old.since if same else now
        self._contenders_by_name[item.name] = _Contender(item, since)

    def _count(self, name: str, born_ms: int) -> None:
        """Have a start count; the upstream is the newest that was heard."""
        self._contenders_by_name.pop(name, None)
        self._born_by_name[name] = born_ms
        self._born_by_name.move_to_end(name)
        while len(self._born_by_name) > MAX_UPSTREAMS:
            self._born_by_name.popitem(last=False)


def are_distinct(one: int | None, another: int | None) -> bool:
    """Tell whether two times of birth are known to be of two starts."""
    return None not in (one, another) and one != another
