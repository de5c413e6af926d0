"""Recognizes announcements that are older than one already applied.

A list that was restored from a copy may name an upstream as ready that has
announced since that it leaves, or that is gone.  A record that its writer sent
first may also be carried out last.  What an upstream announced last holds
until it announces something newer.

A record of another writer under an upstream's name may have a number that the
upstream never reaches.  Records that are late come once; those of an upstream
that goes on announcing itself with lower numbers become current.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import enum
from typing import Any, NamedTuple

from .announcement import Announcement, Item, Start
from .clock import Clock

# Bounds memory if a writer invents ids; far above the size of a platform.
MAX_UPSTREAMS = 4096
# Some heartbeats; a record is carried out late by less.
CONTENTION_S = 4.0


class _End(enum.Enum):
    """How the end of an announcement was learned."""

    # From its record, which followed the announcement that was applied.
    RECORD = enum.auto()
    # From a list without it; later announcements may have preceded the end.
    LIST = enum.auto()


class _Applied(NamedTuple):
    """The latest announcement of an upstream.

    Attributes:
      start: The start that announced itself.
      sequence: Number of the announcement.
      end: How it was learned that it has ended since, if it has.
      lost: Whether a restored list lacks it, though it may not have ended.
    """

    start: Start
    sequence: int
    end: _End | None = None
    lost: bool = False


class _Contender(NamedTuple):
    """Announcements with rising numbers below the one that was applied.

    Attributes:
      start: The start that announced itself.
      sequence: The highest number.
      since: Monotonic seconds at which the first one was received.
    """

    start: Start
    sequence: int
    since: float


class Latest:
    """The latest announcement of each upstream, also after its removal."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._contenders_by_name: dict[str, _Contender] = {}
        self._applied_by_name: collections.OrderedDict[str, _Applied] = (
            collections.OrderedDict()
        )

    def record(self, item: Announcement) -> None:
        """Record that an announcement was applied."""
        if item.sequence is None:
            return
        self._contenders_by_name.pop(item.name, None)
        self._applied_by_name[item.name] = _Applied(item.start, item.sequence)
        self._applied_by_name.move_to_end(item.name)
        if len(self._applied_by_name) > MAX_UPSTREAMS:
            name, _ = self._applied_by_name.popitem(last=False)
            self._contenders_by_name.pop(name, None)

    def withdraw(self, name: str) -> None:
        """Record that the end of an upstream's announcement was read."""
        self._replace(name, end=_End.RECORD)

    def withdraw_unlisted(self, name: str) -> None:
        """Record that an upstream's announcement ended before a list."""
        applied = self._applied_by_name.get(name)
        if applied is None or applied.lost or applied.end is not None:
            return
        self._replace(name, end=_End.LIST)

    def lose(self, name: str) -> None:
        """Record that a restored list lacks an upstream.

        The copy may be older than its announcement, which is then written
        again; until then a list without it does not show its end.
        """
        self._replace(name, lost=True)

    def _replace(self, name: str, **fields: Any) -> None:
        applied = self._applied_by_name.get(name)
        if applied is not None:
            self._applied_by_name[name] = applied._replace(**fields)

    def is_outdated(self, item: Item) -> bool:
        """Return whether something newer of the start was applied.

        That is a later announcement, or the end of the same one.  An upstream
        that goes on announcing itself with lower numbers is not outdated.
        """
        applied = self._same_start(item)
        if applied is None:
            return False
        lowest = applied.sequence + (applied.end is _End.RECORD)
        return item.sequence < lowest and not self._goes_on(item)

    def _goes_on(self, item: Announcement) -> bool:
        """Return whether announcements with low numbers go on for a while."""
        now = self._clock.monotonic()
        old = self._contenders_by_name.get(item.name)
        rises = (
            old is not None
            and old.start == item.start
            and old.sequence < item.sequence
        )
        since = old.since if rises else now
        new = _Contender(item.start, item.sequence, since)
        self._contenders_by_name[item.name] = new
        return now - since >= CONTENTION_S

    def is_withdrawn(self, item: Item) -> bool:
        """Return whether an announcement of a list may have ended before.

        It does not apply to the log, in which an announcement that follows
        the end is a new one.
        """
        applied = self._same_start(item)
        return applied is not None and applied.end is _End.LIST

    def is_repeated(self, item: Item) -> bool:
        """Return whether an announcement of a list certainly ended before."""
        applied = self._same_start(item)
        if applied is None or applied.end is None:
            return False
        return item.sequence <= applied.sequence

    def _same_start(self, item: Item) -> _Applied | None:
        """Return what was applied of an item's start, if both are numbered."""
        if not isinstance(item, Announcement) or item.sequence is None:
            return None
        applied = self._applied_by_name.get(item.name)
        if applied is None or applied.start != item.start:
            return None
        return applied
