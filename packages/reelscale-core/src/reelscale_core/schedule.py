"""Brings a group onto a new layout between two steps, for all ranks.

The ranks run in lock-step, so a step needs all of them anyway: all ranks
are the quorum.  A change is prepared on every rank for a step that none
has begun: from then on a rank does not begin that step until it is told
to commit.  When every rank has promised, the change is decided at every
rank, and only when every rank knows the decision is it committed.  So a
rank that began the step and then lost everything leaves the decision with
all others.  A rank that hears nothing waits at the step, and with it the
group; it never guesses.  The holder of the group's lease does this; its
successor, with a higher fence, asks all ranks and finishes or abandons
what it finds.

The ranks' side is in lockstep; this is the holder's, and both are pure.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping
from typing import NamedTuple

from . import lockstep

# The prepared step lies this many steps ahead of the furthest rank; at
# least two, since a rank that was lost may have been one step ahead.
MARGIN_STEPS = 8


class Round(NamedTuple):
    """What the holder does next.

    Attributes:
      orders: Orders to send, by member.
      done: Whether all ranks are on the target layout.
      waiting: For whom or what the holder waits, for people.
    """

    orders: dict[str, lockstep.Order]
    done: bool = False
    waiting: str = ""


def merge_replies(
    seen: Mapping[str, lockstep.Rank],
    replies: Mapping[str, lockstep.Rank | None],
) -> dict[str, lockstep.Rank]:
    """Take the replies of one round into what a holder knows.

    A rank that is newly seen to have lost everything makes all that was
    heard of the running ones worthless: it may be from before the loss, since
    when the group has gone on.  They are asked again.  Ranks known to hold
    nothing, and not asked in this round, still hold nothing: only an order of
    this holder could have changed that.

    Args:
      seen: Newest state of each member, from earlier rounds.
      replies: Replies to this round's orders; None where none came.
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
    """Decide the holder's next orders from the newest replies.

    Args:
      ranks_by_member: Newest state of each member that has answered a
        probe under this fence.
      members: All members of the group.
      target: Layout version that the configuration asks for.
      fence: Fence of the holder's lease.
      seq: Number of this round, higher than of any before it.
      margin: How far ahead of the furthest rank the prepared step lies.
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
    """Start a group of which no rank holds anything."""
    return _staged_first(
        ranks,
        dict.fromkeys(ranks, lockstep.Adopt(*stamp, target, 0)),
        (target,),
        stamp,
    )


def _rejoin(
    ranks: Mapping[str, lockstep.Rank], lost: set[str], stamp: lockstep.Stamp
) -> Round:
    """Give ranks that lost everything the schedule of the others.

    The others cannot finish the step that they are at, so what they hold
    stands still: they are all on one version for it.
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
    """Stage what is missing before the orders that need it."""
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
    """Carry a decided change through: decide everywhere, then commit."""
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
    """Let the ranks before a decided change follow those past it."""
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
    """Get a promise of every rank for one step, then decide."""
    promised = {
        rank.next_step
        for rank in ranks.values()
        if rank.next_version == target
    }
    every = all(rank.next_version == target for rank in ranks.values())
    if every and len(promised) == 1:
        decide = lockstep.Decide(*stamp, target, promised.pop())
        return Round(dict.fromkeys(ranks, decide), waiting="decisions")
    step = max(lockstep.reached_step(rank) for rank in ranks.values()) + margin
    prepare = lockstep.Prepare(*stamp, target, step)
    return Round(dict.fromkeys(ranks, prepare), waiting="promises")
