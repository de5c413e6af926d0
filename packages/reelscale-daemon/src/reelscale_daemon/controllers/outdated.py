"""Removes announcements that are older than what is known from pages."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from reelscale_core import announcement, latest

from ..adapters import base

# How long after a restore lost records may be written again, in seconds.
REWRITE_S = 10.0


class OutdatedFilter:
    """Removes outdated items, and withholds those that may be outdated."""

    def __init__(
        self,
        *,
        reactor: Any,
        latest: latest.Latest,
        apply: Callable[[announcement.Announcement], None],
    ) -> None:
        """Create a filter.

        Args:
          reactor: The reactor.
          latest: The latest announcement of each upstream.
          apply: Applies an item that was withheld.
        """
        self._reactor = reactor
        self._latest = latest
        self._apply = apply

    def remove(
        self, page: base.RosterPage, *, restored: bool
    ) -> list[announcement.Item]:
        """Return the items of a page that are to be applied now.

        The log orders records as they were carried out, which may be seconds
        after newer ones of the same upstream.  A complete list may be of a
        restored store, or of a peer that read one.

        Args:
          page: The page.
          restored: Whether it is the first one of a restored store.
        """
        items = [i for i in page.items if not self._latest.is_outdated(i)]
        if not page.complete:
            return items
        items = [i for i in items if not self._latest.is_repeated(i)]
        return self._withhold(items) if restored else items

    def _withhold(
        self, items: list[announcement.Item]
    ) -> list[announcement.Item]:
        """Return the items of a restored list without those that may be old.

        An end that was learned from a list lies after an unknown number of
        announcements, and the copy may have one of them.  If that end is not
        written again in time, the upstream has returned.
        """
        doubtful = [i for i in items if self._latest.is_withdrawn(i)]
        for item in doubtful:
            self._reactor.callLater(REWRITE_S, self._apply_withheld, item)
        return [i for i in items if i not in doubtful]

    def _apply_withheld(self, item: announcement.Announcement) -> None:
        """Apply an item unless its end or a later one was read meanwhile."""
        if self._latest.is_withdrawn(item):
            self._apply(item)
