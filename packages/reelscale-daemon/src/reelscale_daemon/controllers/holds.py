"""Holds of a group that its holder must not leave behind."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping

from reelscale_core import rank, relayout


class Holds:
    """What a holder knows of holds of its group.

    Attributes:
      seen: Whether a rank holds the group, by the last that was heard.
    """

    def __init__(self) -> None:
        self.seen = False
        self._unanswered: set[tuple[str, int, int]] = set()

    @property
    def left(self) -> bool:
        """Whether a rank holds the group, or may do so later."""
        return self.seen or bool(self._unanswered)

    def note_outcomes(
        self,
        orders: Mapping[str, rank.Order],
        outcomes: Mapping[str, rank.Outcome],
        epoch: int,
    ) -> None:
        """Note what became of orders to hold the group."""
        for name, order in orders.items():
            if not isinstance(order, rank.Hold):
                continue
            if outcomes[name] == rank.Outcome.UNKNOWN:
                self._unanswered.add((name, order.step, epoch))
            elif outcomes[name] == rank.Outcome.TAKEN:
                self.seen = True

    def note_ranks(self, by_name: Mapping[str, rank.Rank]) -> None:
        """Note what ranks report; a silent one may hold what it held."""
        held = any(item.held is not None for item in by_name.values())
        if held or relayout.whole(by_name):
            self.seen = held
        self._unanswered = {
            hold
            for hold in self._unanswered
            if not _comes_too_late(hold, by_name)
        }


def _comes_too_late(
    hold: tuple[str, int, int], by_name: Mapping[str, rank.Rank]
) -> bool:
    """Tell whether a rank refuses a hold that is carried out from now on."""
    name, step, epoch = hold
    item = by_name.get(name)
    return item is not None and (item.epoch != epoch or item.step >= step)
