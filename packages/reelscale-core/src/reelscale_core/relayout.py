"""Brings all ranks of a group onto one layout, in spite of failures.

All ranks must use the same layout in every step.  So one rank holds the group
before a step that none has begun, every rank is armed for that step, and the
group resumes only when all have reported that they are armed.  From the hold
on a change only goes forward: an order whose answer was lost may still be
carried out, and then changes nothing.  A new holder first fences off its
predecessors at every rank, then resumes from the state that it finds.

A holder may fail together with the rank beside it, which then can be neither
queried nor ordered.  So the group is held at the rank after the holder's, and
the rank before the one that holds is armed last: while any other rank is not
armed, neither is that one, and the others can cancel the change without it.

A rank refuses an order that arrives late, as its step has begun, its version
is in use or its fence is outdated.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from . import rank as ranks

# Minimum distance of the step to change at from the latest begun step: the
# next step may begin while the hold is in flight, the one after does not in
# the few milliseconds that it takes.
MARGIN_STEPS = 2


class DesiredLayout(NamedTuple):
    """A layout that a group is to change to.

    Attributes:
      version: Higher than all previous ones.
      table: The experts that each rank holds.
    """

    version: int
    table: ranks.Table


def is_complete(by_name: Mapping[str, ranks.Rank]) -> bool:
    """Return whether these are all ranks of one open group and epoch."""
    rows = list(by_name.values())
    numbers = {item.number for item in rows}
    return _of_one_group(rows) and (len(numbers) == len(rows) == rows[0].size)


def is_settled(by_name: Mapping[str, ranks.Rank]) -> bool:
    """Return whether no change is in progress at any rank."""
    return not any(
        item.armed or item.held is not None or item.copying
        for item in by_name.values()
    )


def missing_number(by_name: Mapping[str, ranks.Rank]) -> int | None:
    """Return the number of the missing rank, if exactly one is missing."""
    rows = list(by_name.values())
    if not _of_one_group(rows) or len(rows) != rows[0].size - 1:
        return None
    absent = set(range(rows[0].size)) - {item.number for item in rows}
    return absent.pop() if len(absent) == 1 else None


def _of_one_group(rows: Sequence[ranks.Rank]) -> bool:
    """Return whether these are ranks of one open group and epoch."""
    return bool(rows) and all(
        item.open
        and (item.group, item.epoch) == (rows[0].group, rows[0].epoch)
        for item in rows
    )


def plan(
    by_name: Mapping[str, ranks.Rank],
    *,
    desired: DesiredLayout | None,
    holder: str,
    margin: int = MARGIN_STEPS,
) -> dict[str, ranks.Order]:
    """Return the next orders, by the name of the rank.

    Args:
      by_name: Reports of all ranks of the group; see is_complete(). Each rank
        has fenced off earlier holders before it reported.
      desired: The layout to change to, if any.
      holder: The rank of the holder.
      margin: Steps ahead at which a change is held, at least MARGIN_STEPS; if
        all ranks are armed by then, the group does not pause.

    Returns:
      Orders that may be sent concurrently; empty if there is nothing to do
      but wait.
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
    """Return orders that release a group whose holder stopped responding.

    Args:
      by_name: Reports of all ranks but one; see plan().
      missing: The number of that one.

    Returns:
      Orders; empty unless the missing rank is certainly not armed.
    """
    held = {n: r for n, r in by_name.items() if r.held is not None}
    if len(held) != 1:
        return {}
    ((name, holding),) = held.items()
    if _last_to_arm(holding) != missing:
        return {}
    if all(item.armed for item in by_name.values()):
        return {}
    return _abandon(by_name, {name: holding.held})


def step_to_change_at(
    by_name: Mapping[str, ranks.Rank], margin: int = MARGIN_STEPS
) -> int:
    """Return a step that can be held before any rank begins it."""
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
    return {_holding_rank(by_name, holder): ranks.Hold(step)}


def _holding_rank(by_name: Mapping[str, ranks.Rank], holder: str) -> str:
    """Return the rank at which a holder holds the group."""
    local = by_name[holder]
    number = (local.number + 1) % local.size
    (name,) = [n for n, r in by_name.items() if r.number == number]
    return name


def _last_to_arm(holding: ranks.Rank) -> int:
    """Return the number of the rank that is armed last."""
    return (holding.number - 1) % holding.size


def _resume(
    by_name: Mapping[str, ranks.Rank], held: dict[str, int], holder: str
) -> dict[str, ranks.Order]:
    """Resume a change while the group is held and no rank is armed."""
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
    """Arm all ranks for a change, then release the group."""
    unarmed = {
        name
        for name, item in by_name.items()
        if item.armed != change and item.version != change.version
    }
    unprepared = [
        name
        for name in unarmed
        if by_name[name].armed or by_name[name].prepared != change.version
    ]
    if unprepared:
        return _abandon(by_name, held)
    if unarmed and change.step not in held.values():
        # A rank was armed without a hold; no rank may begin that step.
        return {_holding_rank(by_name, holder): ranks.Hold(change.step)}
    if unarmed:
        order = ranks.Arm(change.version, change.step)
        return dict.fromkeys(_next_to_arm(by_name, unarmed, held), order)
    return {name: ranks.Go(at) for name, at in held.items()}


def _next_to_arm(
    by_name: Mapping[str, ranks.Rank],
    unarmed: set[str],
    held: Mapping[str, int],
) -> list[str]:
    """Return the ranks to arm now: all but those to arm last."""
    last = {_last_to_arm(by_name[name]) for name in held}
    first = [n for n in unarmed if by_name[n].number not in last]
    return sorted(first or unarmed)


def _abandon(
    by_name: Mapping[str, ranks.Rank], held: dict[str, int]
) -> dict[str, ranks.Order]:
    """Disarm every rank, then release the group unchanged."""
    armed = {
        name: ranks.Disarm(item.armed.version)
        for name, item in by_name.items()
        if item.armed
    }
    return armed or {name: ranks.Go(at) for name, at in held.items()}
