"""Tracks holds of a group that its holder has to release before it stops."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping

from reelscale_core import rank, relayout


class Holds:
    """The holds of a group, as its holder knows them.

    Attributes:
      seen: Whether a rank held the group at its last report.
    """

    def __init__(self) -> None:
        self.seen = False
        self._unanswered: set[tuple[str, int, int]] = set()

    @property
    def may_remain(self) -> bool:
        """Whether a rank holds the group, or may do so later."""
        return self.seen or bool(self._unanswered)

    def record_outcomes(
        self,
        orders: Mapping[str, rank.Order],
        outcomes: Mapping[str, rank.Outcome],
        epoch: int,
    ) -> None:
        """Record the outcomes of orders to hold the group."""
        for name, order in orders.items():
            if not isinstance(order, rank.Hold):
                continue
            if outcomes[name] == rank.Outcome.UNKNOWN:
                self._unanswered.add((name, order.step, epoch))
            elif outcomes[name] == rank.Outcome.TAKEN:
                self.seen = True

    def record_ranks(self, by_name: Mapping[str, rank.Rank]) -> None:
        """Record reports; an unresponsive rank may still hold the group."""
        held = any(item.held is not None for item in by_name.values())
        if held or relayout.is_complete(by_name):
            self.seen = held
        self._unanswered = {
            hold
            for hold in self._unanswered
            if not _is_obsolete(hold, by_name)
        }


def _is_obsolete(
    hold: tuple[str, int, int], by_name: Mapping[str, rank.Rank]
) -> bool:
    """Return whether a rank would refuse a hold that reaches it now."""
    name, step, epoch = hold
    item = by_name.get(name)
    return item is not None and (item.epoch != epoch or item.step >= step)
