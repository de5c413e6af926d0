"""The rules by which a holder sends orders, and variants that lack a part.

Each variant leaves out one rule, to show that the model detects the fault.
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
        """Return a holder's next orders while a rank is unreachable."""
        return relayout.plan_without(view, missing)


class LargerMargin(Rules):
    """The rules as built, with a margin that varies with the step."""

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


class NoMissingRank(Rules):
    """The change is cancelled whichever rank is missing."""

    def plan_without(
        self, view: Mapping[str, ranks.Rank], missing: int
    ) -> dict[str, ranks.Order]:
        """Return orders as if the missing rank were never armed."""
        armed = {
            name: ranks.Disarm(item.armed.version)
            for name, item in view.items()
            if item.armed
        }
        held = {n: r.held for n, r in view.items() if r.held is not None}
        return armed or {name: ranks.Go(step) for name, step in held.items()}


class NoHold(Rules):
    """Ranks are armed for a step that no rank holds."""

    def plan(
        self,
        view: Mapping[str, ranks.Rank],
        desired: relayout.DesiredLayout | None,
        holder: str,
    ) -> dict[str, ranks.Order]:
        """Return orders as if the hold had been accepted."""
        orders = super().plan(view, desired, holder)
        for name, order in orders.items():
            if isinstance(order, ranks.Hold):
                held = view[name]._replace(held=order.step)
                return super().plan({**view, name: held}, desired, holder)
        return orders


class NoFence(Rules):
    """A new holder resumes a change without fencing the ranks."""

    fences = False


class EarlyRelease(Rules):
    """The group is released once any rank is armed."""

    def plan(
        self,
        view: Mapping[str, ranks.Rank],
        desired: relayout.DesiredLayout | None,
        holder: str,
    ) -> dict[str, ranks.Order]:
        """Return a release in place of further arming."""
        orders = super().plan(view, desired, holder)
        any_armed = any(item.armed for item in view.values())
        arms = any(isinstance(o, ranks.Arm) for o in orders.values())
        if not (any_armed and arms):
            return orders
        held = {n: r.held for n, r in view.items() if r.held is not None}
        return {name: ranks.Go(step) for name, step in held.items()}


RULES = {
    "as built": Rules,
    "held further ahead": LargerMargin,
    "without holding": NoHold,
    "without refusing earlier holders": NoFence,
    "without arming every rank": EarlyRelease,
    "without knowing the silent rank": NoMissingRank,
}
