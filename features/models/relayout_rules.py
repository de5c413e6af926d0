"""The rules by which a holder gives orders, and ones that lack a part.

Each of the others leaves out one thing that the rules as built do, to show
that the model finds a fault without it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping

from reelscale_core import rank as ranks
from reelscale_core import relayout


class Rules:
    """The rules under test."""

    fences = True

    def plan(
        self,
        view: Mapping[str, ranks.Rank],
        desired: relayout.DesiredLayout | None,
        holder: str,
    ) -> dict[str, ranks.Order]:
        """Return a holder's next orders."""
        return relayout.plan(view, desired=desired, holder=holder)

    def plan_without(
        self, view: Mapping[str, ranks.Rank], missing: int
    ) -> dict[str, ranks.Order]:
        """Return a holder's next orders while a rank cannot be asked."""
        return relayout.plan_without(view, missing)


class Ahead(Rules):
    """The rules as built, with changes held further ahead, by the step."""

    def plan(
        self,
        view: Mapping[str, ranks.Rank],
        desired: relayout.DesiredLayout | None,
        holder: str,
    ) -> dict[str, ranks.Order]:
        """Return a holder's next orders."""
        margin = 2 + max(item.step for item in view.values()) % 7
        return relayout.plan(
            view, desired=desired, holder=holder, margin=margin
        )


class Guess(Rules):
    """The change is given up whichever rank is missing."""

    def plan_without(
        self, view: Mapping[str, ranks.Rank], missing: int
    ) -> dict[str, ranks.Order]:
        """Return orders as if no silent rank could be armed."""
        armed = {
            name: ranks.Disarm(item.armed.version)
            for name, item in view.items()
            if item.armed
        }
        held = {n: r.held for n, r in view.items() if r.held is not None}
        return armed or {name: ranks.Go(step) for name, step in held.items()}


class NoHold(Rules):
    """Ranks are armed for a step that nobody holds."""

    def plan(
        self,
        view: Mapping[str, ranks.Rank],
        desired: relayout.DesiredLayout | None,
        holder: str,
    ) -> dict[str, ranks.Order]:
        """Return orders as if the hold had been taken."""
        orders = super().plan(view, desired, holder)
        for name, order in orders.items():
            if isinstance(order, ranks.Hold):
                held = view[name]._replace(held=order.step)
                return super().plan({**view, name: held}, desired, holder)
        return orders


class NoFence(Rules):
    """A new holder goes on at once with what it finds."""

    fences = False


class GoEarly(Rules):
    """The group goes on once some rank is armed."""

    def plan(
        self,
        view: Mapping[str, ranks.Rank],
        desired: relayout.DesiredLayout | None,
        holder: str,
    ) -> dict[str, ranks.Order]:
        """Return a go in place of further arming."""
        orders = super().plan(view, desired, holder)
        some = any(item.armed for item in view.values())
        arms = any(isinstance(o, ranks.Arm) for o in orders.values())
        if not (some and arms):
            return orders
        held = {n: r.held for n, r in view.items() if r.held is not None}
        return {name: ranks.Go(step) for name, step in held.items()}


RULES = {
    "as built": Rules,
    "held further ahead": Ahead,
    "without holding": NoHold,
    "without refusing earlier holders": NoFence,
    "without arming every rank": GoEarly,
    "without knowing the silent rank": Guess,
}
