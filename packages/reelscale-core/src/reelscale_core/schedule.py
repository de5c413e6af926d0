"""Coordinates layout changes of a group between two steps.

The ranks run in lock-step, so the quorum of a change is all of them.  The
holder of the group's lease is the coordinator and uses three phases.  Prepare:
every rank promises not to begin a future step before the commit.  Decide:
every rank learns that all have promised.  Commit: the ranks run that step on
the new layout.  The decide phase ensures that the decision survives at all
other ranks if a rank begins the step and then loses its state.  A rank that
receives no order blocks at the step, and with it the group.  A new holder,
with a higher fence, probes all ranks and completes or aborts the change.

This module is the coordinator; lockstep is the participant.  Both are pure.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping
from typing import NamedTuple

from . import lockstep

# Distance of the prepared step from the most advanced rank; at least two,
# since a rank that lost its state may have been one step ahead.
MARGIN_STEPS = 8


class Round(NamedTuple):
    """Next actions of the holder.

    Attributes:
      orders: Orders to send, by member.
      done: Whether all ranks are on the target layout.
      waiting: What the holder waits for, for log lines.
    """

    orders: dict[str, lockstep.Order]
    done: bool = False
    waiting: str = ""


def merge_replies(
    seen: Mapping[str, lockstep.Rank],
    replies: Mapping[str, lockstep.Rank | None],
) -> dict[str, lockstep.Rank]:
    """Merge the replies of one round into the holder's view.

    A newly detected loss of state invalidates the states of running ranks:
    they may predate the loss, and the group may have advanced since.  Those
    ranks are probed again.  Ranks known to be empty stay so, since only an
    order of this holder can change that.

    Args:
      seen: Newest state of each member from earlier rounds.
      replies: Replies to the orders of this round; None if missing.
    """
    fresh = {name: rank for name, rank in replies.items() if rank}
    lost = {
        name: rank
        for name, rank in fresh.items()
        if rank.version == 0 and not _is_same_loss(seen.get(name), rank)
    }
    kept = {name: rank for name, rank in seen.items() if name not in replies}
    if lost:
        blank = {name: r for name, r in kept.items() if r.version == 0}
        return {**blank, **lost}
    return {**kept, **fresh}


def _is_same_loss(before: lockstep.Rank | None, now: lockstep.Rank) -> bool:
    return (
        before is not None
        and before.version == 0
        and before.incarnation == now.incarnation
    )


def plan_round(
    ranks_by_member: Mapping[str, lockstep.Rank],
    members: frozenset[str],
    *,
    target: int,
    fence: int,
    seq: int,
    margin: int = MARGIN_STEPS,
) -> Round:
    """Return the next orders of the holder.

    Args:
      ranks_by_member: Newest state of each member that answered a probe
        under this fence.
      members: All members of the group.
      target: Configured layout version.
      fence: Fence of the holder's lease.
      seq: Sequence number of this round; strictly increasing.
      margin: Distance of the prepared step from the most advanced rank.
    """
    stamp = lockstep.Stamp(fence, seq)
    unresponsive = members - ranks_by_member.keys()
    if unresponsive:
        orders = {
            name: lockstep.Probe(*stamp) for name in sorted(unresponsive)
        }
        return Round(
            orders, waiting=f"answers of {', '.join(sorted(unresponsive))}"
        )
    ranks = dict(ranks_by_member)
    lost = {name for name, rank in ranks.items() if rank.version == 0}
    if lost == set(members):
        return _bootstrap(ranks, target, stamp)
    if lost:
        return _rejoin(ranks, lost, stamp)
    decided = [rank for rank in ranks.values() if rank.decided]
    if decided:
        return _finish(ranks, decided[0], stamp)
    return _change(ranks, target, stamp, margin)


def _bootstrap(
    ranks: Mapping[str, lockstep.Rank], target: int, stamp: lockstep.Stamp
) -> Round:
    """Start a group of which all ranks are empty."""
    return _staged_first(
        ranks,
        dict.fromkeys(ranks, lockstep.Adopt(*stamp, target, 0)),
        (target,),
        stamp,
    )


def _rejoin(
    ranks: Mapping[str, lockstep.Rank], lost: set[str], stamp: lockstep.Stamp
) -> Round:
    """Give the schedule of the group to ranks that lost their state.

    The other ranks cannot complete their current step without them, so their
    state is stable and they all use one version for that step.
    """
    others = [rank for name, rank in ranks.items() if name not in lost]
    furthest_behind = min(others, key=lockstep.reached_step)
    planned = next((rank for rank in others if rank.decided), None)
    ahead = max(others, key=lambda rank: rank.version)
    order = lockstep.Adopt(
        *stamp, furthest_behind.version, lockstep.reached_step(furthest_behind)
    )
    versions: tuple[int, ...] = (furthest_behind.version,)
    if planned is not None and planned.next_version != furthest_behind.version:
        order = order._replace(
            next_version=planned.next_version, next_step=planned.next_step
        )
        versions += (planned.next_version,)
    elif ahead.version != furthest_behind.version:
        order = order._replace(
            next_version=ahead.version, next_step=ahead.step
        )
        versions += (ahead.version,)
    orders = dict.fromkeys(sorted(lost), order)
    return _staged_first(ranks, orders, versions, stamp)


def _staged_first(
    ranks: Mapping[str, lockstep.Rank],
    orders: Mapping[str, lockstep.Adopt],
    versions: tuple[int, ...],
    stamp: lockstep.Stamp,
) -> Round:
    """Stage missing layouts before sending the orders that need them."""
    first: dict[str, lockstep.Order] = {}
    for name in orders:
        for version in versions:
            if version not in ranks[name].staged:
                first[name] = lockstep.Stage(*stamp, version)
    return Round(first or dict(orders), waiting="ranks that lost their layout")


def _finish(
    ranks: Mapping[str, lockstep.Rank],
    done: lockstep.Rank,
    stamp: lockstep.Stamp,
) -> Round:
    """Complete a decided change: decide at all ranks, then commit."""
    version, step = done.next_version, done.next_step
    waiting = {n: r for n, r in ranks.items() if r.next_version}
    orders: dict[str, lockstep.Order] = {
        name: lockstep.Probe(*stamp) for name in ranks
    }
    undecided = [name for name, r in waiting.items() if not r.decided]
    for name in undecided:
        rank = waiting[name]
        promised = rank.next_version == version and rank.next_step == step
        order = lockstep.Decide if promised else lockstep.Prepare
        orders[name] = order(*stamp, version, step)
    if not undecided:
        for name, rank in waiting.items():
            if not rank.committed:
                orders[name] = lockstep.Commit(*stamp, version, step)
    return Round(orders, waiting=f"step {step}")


def _change(
    ranks: Mapping[str, lockstep.Rank],
    target: int,
    stamp: lockstep.Stamp,
    margin: int,
) -> Round:
    versions = {rank.version for rank in ranks.values()}
    prepared = {name for name, r in ranks.items() if r.next_version}
    if len(versions) > 1:
        return _catch_up(ranks, prepared, max(versions), stamp)
    if versions == {target}:
        orders: dict[str, lockstep.Order] = {
            name: lockstep.Release(*stamp) for name in sorted(prepared)
        }
        return Round(orders, done=not orders, waiting="releases")
    missing = {n for n, r in ranks.items() if target not in r.staged}
    if missing:
        orders = {
            name: lockstep.Stage(*stamp, target) for name in sorted(missing)
        }
        return Round(orders, waiting=f"layout {target} to be loaded")
    return _prepare_all(ranks, target, stamp, margin)


def _catch_up(
    ranks: Mapping[str, lockstep.Rank],
    prepared: set[str],
    ahead: int,
    stamp: lockstep.Stamp,
) -> Round:
    """Commit at ranks that have not reached a change others have passed."""
    orders: dict[str, lockstep.Order] = {
        name: lockstep.Probe(*stamp) for name in ranks
    }
    for name in sorted(prepared):
        rank = ranks[name]
        if rank.next_version == ahead:
            orders[name] = lockstep.Commit(*stamp, ahead, rank.next_step)
    return Round(orders, waiting=f"layout {ahead} at all ranks")


def _prepare_all(
    ranks: Mapping[str, lockstep.Rank],
    target: int,
    stamp: lockstep.Stamp,
    margin: int,
) -> Round:
    """Collect promises of all ranks for one step, then decide."""
    promised = {
        rank.next_step
        for rank in ranks.values()
        if rank.next_version == target
    }
    all_prepared = all(rank.next_version == target for rank in ranks.values())
    if all_prepared and len(promised) == 1:
        decide = lockstep.Decide(*stamp, target, promised.pop())
        return Round(dict.fromkeys(ranks, decide), waiting="decisions")
    step = max(lockstep.reached_step(rank) for rank in ranks.values()) + margin
    prepare = lockstep.Prepare(*stamp, target, step)
    return Round(dict.fromkeys(ranks, prepare), waiting="promises")
