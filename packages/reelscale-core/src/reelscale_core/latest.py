"""Recognizes announcements that are older than one already applied.

A list that was restored from a copy may name an upstream as ready that has
announced since that it leaves, or that is gone.  What an upstream announced
last holds until it announces something newer.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
from typing import NamedTuple

from .announcement import Announcement, Item, Start

# Bounds memory if a writer invents ids; far above the size of a platform.
MAX_UPSTREAMS = 4096


class _Applied(NamedTuple):
    """The latest announcement of an upstream.

    Attributes:
      start: The start that announced itself.
      sequence: Number of the announcement.
      withdrawn: Whether it was withdrawn since.
    """

    start: Start
    sequence: int
    withdrawn: bool = False


class Latest:
    """The latest announcement of each upstream, also after its removal."""

    def __init__(self) -> None:
        self._applied_by_name: collections.OrderedDict[str, _Applied] = (
            collections.OrderedDict()
        )

    def record(self, item: Announcement) -> None:
        """Record that an announcement was applied."""
        if item.sequence is None:
            return
        self._applied_by_name[item.name] = _Applied(item.start, item.sequence)
        self._applied_by_name.move_to_end(item.name)
        if len(self._applied_by_name) > MAX_UPSTREAMS:
            self._applied_by_name.popitem(last=False)

    def withdraw(self, name: str) -> None:
        """Record that an upstream's announcement was withdrawn."""
        applied = self._applied_by_name.get(name)
        if applied is not None:
            withdrawn = applied._replace(withdrawn=True)
            self._applied_by_name[name] = withdrawn

    def is_outdated(self, item: Item) -> bool:
        """Return whether a newer announcement of the start was applied."""
        applied = self._same_start(item)
        return applied is not None and item.sequence < applied.sequence

    def is_withdrawn(self, item: Item) -> bool:
        """Return whether an announcement was applied and then withdrawn."""
        applied = self._same_start(item)
        if applied is None or not applied.withdrawn:
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
