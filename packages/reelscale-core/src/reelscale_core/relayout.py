"""Brings the ranks of a group onto one layout, whoever fails midway.

All ranks must use the same layout in every step.  So one rank holds the
group before a step that none has begun, every rank is armed for that step,
and only when each has said that it is armed does the group go on.  From the
hold on a change only goes forward: an order whose answer was lost may still
be carried out, which then changes nothing.  A new holder first has every
rank refuse its predecessors, then goes on with what it finds.

A holder may fall silent together with its own rank, which then can neither
be asked nor told.  So that the others know what that rank holds, the group is
held at the rank after the holder's, and the rank before the one that holds
is armed last: while any other is not armed, it is not either, and the others
can give the change up without it.

An order that is carried out late finds its step begun, its version used or
its fence outdated, and the rank refuses it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from . import rank as ranks

# The step to change at lies at least so many beyond the furthest that was
# begun: the next may begin while the hold is on its way, the one after does
# not within the few milliseconds that it takes.
MARGIN_STEPS = 2


class DesiredLayout(NamedTuple):
    """A layout that a group is to be brought onto.

    Attributes:
      version: Higher than any before it.
      table: The experts that each rank holds.
    """

    version: int
    table: ranks.Table


def is_complete(by_name: Mapping[str, ranks.Rank]) -> bool:
    """Tell whether these are all ranks of one open group, in one epoch."""
    found = list(by_name.values())
    numbers = {item.number for item in found}
    return _of_one_group(found) and (
        len(numbers) == len(found) == found[0].size
    )


def missing_number(by_name: Mapping[str, ranks.Rank]) -> int | None:
    """Return the number of the one rank that is not among these, if one is."""
    found = list(by_name.values())
    if not _of_one_group(found) or len(found) != found[0].size - 1:
        return None
    left = set(range(found[0].size)) - {item.number for item in found}
    return left.pop() if len(left) == 1 else None


def _of_one_group(found: Sequence[ranks.Rank]) -> bool:
    """Tell whether these are ranks of one open group, in one epoch."""
    return bool(found) and all(
        item.open
        and (item.group, item.epoch) == (found[0].group, found[0].epoch)
        for item in found
    )


def plan(
    by_name: Mapping[str, ranks.Rank],
    *,
    desired: DesiredLayout | None,
    holder: str,
    margin: int = MARGIN_STEPS,
) -> dict[str, ranks.Order]:
    """Return the next orders, by the name of the rank they go to.

    Args:
      by_name: What all ranks of the group report; see whole(). Each has
        refused earlier holders before it reported.
      desired: The layout to bring into use, if any.
      holder: The rank that is to hold the group.
      margin: How many steps ahead a change is held, MARGIN_STEPS at least; if
        all ranks are armed by then, the group does not stand still.

    Returns:
      Orders that may be sent together; none if there is nothing to do, or
      nothing but to wait.
    """
    armed = {item.armed for item in by_name.values() if item.armed}
    held = {n: r.held for n, r in by_name.items() if r.held is not None}
    if armed:
        return _finish(by_name, min(armed), held, holder)
    if held:
        return _resume(by_name, held, holder)
    if desired is None:
        return {}
    return _begin(by_name, desired, holder, margin)


def plan_without(
    by_name: Mapping[str, ranks.Rank], missing: int
) -> dict[str, ranks.Order]:
    """Return orders that let a group go on whose holder has fallen silent.

    Args:
      by_name: What all ranks but one report; see plan().
      missing: The number of that one.

    Returns:
      Orders; none unless it is certain that the missing rank is not armed.
    """
    held = {n: r for n, r in by_name.items() if r.held is not None}
    if len(held) != 1:
        return {}
    ((name, holding),) = held.items()
    if _armed_last(holding) != missing:
        return {}
    if all(item.armed for item in by_name.values()):
        return {}
    return _abandon(by_name, {name: holding.held})


def step_to_change_at(
    by_name: Mapping[str, ranks.Rank], margin: int = MARGIN_STEPS
) -> int:
    """Return a step that no rank will begin before it can be held."""
    furthest = max(item.step for item in by_name.values())
    return furthest + max(margin, MARGIN_STEPS)


def _begin(
    by_name: Mapping[str, ranks.Rank],
    desired: DesiredLayout,
    holder: str,
    margin: int,
) -> dict[str, ranks.Order]:
    """Have all ranks prepare a layout, then hold the group."""
    if all(item.version == desired.version for item in by_name.values()):
        return {}
    missing = {
        name: item
        for name, item in by_name.items()
        if item.prepared != desired.version
    }
    if missing:
        order = ranks.Prepare(desired.version, desired.table)
        return {n: order for n, item in missing.items() if not item.copying}
    step = step_to_change_at(by_name, margin)
    return {_that_holds(by_name, holder): ranks.Hold(step)}


def _that_holds(by_name: Mapping[str, ranks.Rank], holder: str) -> str:
    """Return the rank that holds the group for a holder."""
    own = by_name[holder]
    number = (own.number + 1) % own.size
    (name,) = [n for n, r in by_name.items() if r.number == number]
    return name


def _armed_last(holding: ranks.Rank) -> int:
    """Return the number of the rank that is armed after all others."""
    return (holding.number - 1) % holding.size


def _resume(
    by_name: Mapping[str, ranks.Rank], held: dict[str, int], holder: str
) -> dict[str, ranks.Order]:
    """Go on with a group that is held while no rank is armed."""
    prepared = {item.prepared for item in by_name.values()}
    version = prepared.pop()
    step = min(held.values())
    same = not prepared and version is not None
    if not same or step <= max(item.step for item in by_name.values()):
        return {name: ranks.Go(at) for name, at in held.items()}
    return _finish(by_name, ranks.Armed(version, step), held, holder)


def _finish(
    by_name: Mapping[str, ranks.Rank],
    change: ranks.Armed,
    held: dict[str, int],
    holder: str,
) -> dict[str, ranks.Order]:
    """Arm all ranks for a change, then let the group go on."""
    open_to_it = {
        name
        for name, item in by_name.items()
        if item.armed != change and item.version != change.version
    }
    unfit = [
        name
        for name in open_to_it
        if by_name[name].armed or by_name[name].prepared != change.version
    ]
    if unfit:
        return _abandon(by_name, held)
    if open_to_it and change.step not in held.values():
        # Somebody armed a rank without a hold; nothing may begin that step.
        return {_that_holds(by_name, holder): ranks.Hold(change.step)}
    if open_to_it:
        order = ranks.Arm(change.version, change.step)
        return dict.fromkeys(_those_first(by_name, open_to_it, held), order)
    return {name: ranks.Go(at) for name, at in held.items()}


def _those_first(
    by_name: Mapping[str, ranks.Rank],
    unarmed: set[str],
    held: Mapping[str, int],
) -> list[str]:
    """Return the ranks to arm now: all but those that are armed last."""
    last = {_armed_last(by_name[name]) for name in held}
    first = [n for n in unarmed if by_name[n].number not in last]
    return sorted(first or unarmed)


def _abandon(
    by_name: Mapping[str, ranks.Rank], held: dict[str, int]
) -> dict[str, ranks.Order]:
    """Disarm every rank before the group goes on as it was."""
    armed = {
        name: ranks.Disarm(item.armed.version)
        for name, item in by_name.items()
        if item.armed
    }
    return armed or {name: ranks.Go(at) for name, at in held.items()}
