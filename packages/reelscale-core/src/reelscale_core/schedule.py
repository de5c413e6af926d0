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

The rank's side (Rank) and the holder's side (plan_round) are pure.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping
from typing import NamedTuple

# The prepared step lies this many steps ahead of the furthest rank; at
# least two, since a rank that was lost may have been one step ahead.
MARGIN_STEPS = 8


class Rank(NamedTuple):
    """What a rank, or a box of ranks, holds.

    Attributes:
      fence: Highest fence accepted.
      seq: Highest number of an order under that fence.
      version: Layout of the steps before next_step; 0 when it has lost
        everything and runs no step.
      step: The last step it began, -1 for none.
      floor: The step that it joined at; the group had begun it by then.
      staged: Layout versions whose weights it holds.
      next_version: Layout from next_step on, 0 for none prepared.
      next_step: First step on it.
      decided: Whether next_step is certain to run on next_version.
      committed: Whether it may begin next_step.
      incarnation: Of the engine; a new one has lost everything.
    """

    fence: int = 0
    seq: int = 0
    version: int = 0
    step: int = -1
    floor: int = -1
    staged: frozenset[int] = frozenset()
    next_version: int = 0
    next_step: int = 0
    decided: bool = False
    committed: bool = False
    incarnation: str = ""


class Stamp(NamedTuple):
    """What puts orders in order: the holder's fence, then its round."""

    fence: int
    seq: int


class Probe(NamedTuple):
    """Raise the fence and tell what you hold."""

    fence: int
    seq: int


class Stage(NamedTuple):
    """Load the weights of a layout."""

    fence: int
    seq: int
    version: int


class Prepare(NamedTuple):
    """Promise not to begin a step until told to commit."""

    fence: int
    seq: int
    version: int
    step: int


class Decide(NamedTuple):
    """Know that all have promised; do not begin the step yet."""

    fence: int
    seq: int
    version: int
    step: int


class Commit(NamedTuple):
    """Go on from a prepared step, on its layout."""

    fence: int
    seq: int
    version: int
    step: int


class Release(NamedTuple):
    """Forget a prepared change and go on as before."""

    fence: int
    seq: int


class Adopt(NamedTuple):
    """Join with nothing at a step, on the schedule of the others."""

    fence: int
    seq: int
    version: int
    step: int
    next_version: int = 0
    next_step: int = 0


Order = Probe | Stage | Prepare | Decide | Commit | Release | Adopt


class Round(NamedTuple):
    """What the holder does next.

    Attributes:
      orders: Orders to send, by member.
      done: Whether all ranks are on the wanted layout.
      waiting: For whom or what the holder waits, for people.
    """

    orders: dict[str, Order]
    done: bool = False
    waiting: str = ""


def obey(rank: Rank, order: Order) -> tuple[Rank, bool]:
    """Apply an order to a rank.

    Returns:
      The rank after it, and whether the order was accepted.  Every order
      may arrive twice or late.
    """
    if (order.fence, order.seq) < (rank.fence, rank.seq):
        return rank, False
    rank = rank._replace(fence=order.fence, seq=order.seq)
    match order:
        case Probe():
            return rank, True
        case Stage(version=version):
            return rank._replace(staged=rank.staged | {version}), True
        case Prepare(version=version, step=step):
            return _prepare(rank, version, step)
        case Decide(version=version, step=step):
            return _settle(rank, version, step, committed=False)
        case Commit(version=version, step=step):
            return _settle(rank, version, step, committed=True)
        case Release():
            if rank.decided:
                return rank, False
            return rank._replace(next_version=0, next_step=0), True
        case Adopt():
            return _adopt(rank, order)


def begins(rank: Rank, step: int) -> int:
    """Return the layout that a rank runs a step on; 0 if it must wait."""
    if rank.version == 0:
        return 0
    if rank.next_version == 0 or step < rank.next_step:
        return rank.version
    return rank.next_version if rank.committed else 0


def reached(rank: Rank) -> int:
    """Return a step that the group is known to have begun.

    No rank, not even one that was lost since, has begun a step more than
    one beyond the least of these.
    """
    return max(rank.step, rank.floor)


def note(
    seen: Mapping[str, Rank], replies: Mapping[str, Rank | None]
) -> dict[str, Rank]:
    """Take the replies of one round into what a holder knows.

    A rank that is newly seen to have lost everything makes all that was
    heard of the others worthless: it may be from before the loss, since
    when the group has gone on.  They are asked again.

    Args:
      seen: Newest state of each member, from earlier rounds.
      replies: Replies to this round's orders; None where none came.
    """
    fresh = {name: rank for name, rank in replies.items() if rank}
    lost = {
        name: rank
        for name, rank in fresh.items()
        if rank.version == 0 and not _same_loss(seen.get(name), rank)
    }
    if lost:
        return lost
    kept = {name: rank for name, rank in seen.items() if name not in replies}
    return {**kept, **fresh}


def _same_loss(before: Rank | None, now: Rank) -> bool:
    return (
        before is not None
        and before.version == 0
        and before.incarnation == now.incarnation
    )


def advance(rank: Rank, step: int) -> Rank:
    """Note that a rank begins a step, which begins() allowed."""
    rank = rank._replace(step=step)
    if rank.next_version and step >= rank.next_step:
        return rank._replace(
            version=rank.next_version,
            staged=frozenset({rank.next_version}),
            next_version=0,
            next_step=0,
            decided=False,
            committed=False,
        )
    return rank


def plan_round(
    ranks_by_member: Mapping[str, Rank],
    members: frozenset[str],
    *,
    wanted: int,
    fence: int,
    seq: int,
    margin: int = MARGIN_STEPS,
) -> Round:
    """Decide the holder's next orders from the newest replies.

    Args:
      ranks_by_member: Newest state of each member that has answered a
        probe under this fence.
      members: All members of the group.
      wanted: Layout version that the configuration asks for.
      fence: Fence of the holder's lease.
      seq: Number of this round, higher than of any before it.
      margin: How far ahead of the furthest rank the prepared step lies.
    """
    stamp = Stamp(fence, seq)
    silent = members - ranks_by_member.keys()
    if silent:
        orders = {name: Probe(*stamp) for name in sorted(silent)}
        return Round(orders, waiting=f"answers of {', '.join(sorted(silent))}")
    ranks = dict(ranks_by_member)
    lost = {name for name, rank in ranks.items() if rank.version == 0}
    if lost == set(members):
        return _found(ranks, wanted, stamp)
    if lost:
        return _rejoin(ranks, lost, stamp)
    decided = [rank for rank in ranks.values() if rank.decided]
    if decided:
        return _finish(ranks, decided[0], stamp)
    return _change(ranks, wanted, stamp, margin)


def _found(ranks: Mapping[str, Rank], wanted: int, stamp: Stamp) -> Round:
    """Start a group of which no rank holds anything."""
    return _staged_first(
        ranks, dict.fromkeys(ranks, Adopt(*stamp, wanted, 0)), (wanted,), stamp
    )


def _rejoin(ranks: Mapping[str, Rank], lost: set[str], stamp: Stamp) -> Round:
    """Give ranks that lost everything the schedule of the others.

    The others cannot finish the step that they are at, so what they hold
    stands still: they are all on one version for it.
    """
    others = [rank for name, rank in ranks.items() if name not in lost]
    least = min(others, key=reached)
    planned = next((rank for rank in others if rank.decided), None)
    ahead = max(others, key=lambda rank: rank.version)
    order = Adopt(*stamp, least.version, reached(least))
    versions: tuple[int, ...] = (least.version,)
    if planned is not None and planned.next_version != least.version:
        order = order._replace(
            next_version=planned.next_version, next_step=planned.next_step
        )
        versions += (planned.next_version,)
    elif ahead.version != least.version:
        order = order._replace(
            next_version=ahead.version, next_step=ahead.step
        )
        versions += (ahead.version,)
    orders = dict.fromkeys(sorted(lost), order)
    return _staged_first(ranks, orders, versions, stamp)


def _staged_first(
    ranks: Mapping[str, Rank],
    orders: Mapping[str, Adopt],
    versions: tuple[int, ...],
    stamp: Stamp,
) -> Round:
    """Stage what is missing before the orders that need it."""
    first: dict[str, Order] = {}
    for name in orders:
        for version in versions:
            if version not in ranks[name].staged:
                first[name] = Stage(*stamp, version)
    return Round(first or dict(orders), waiting="ranks that lost their layout")


def _finish(ranks: Mapping[str, Rank], done: Rank, stamp: Stamp) -> Round:
    """Carry a decided change through: decide everywhere, then commit."""
    version, step = done.next_version, done.next_step
    waiting = {n: r for n, r in ranks.items() if r.next_version}
    orders: dict[str, Order] = {name: Probe(*stamp) for name in ranks}
    undecided = [name for name, r in waiting.items() if not r.decided]
    for name in undecided:
        rank = waiting[name]
        promised = rank.next_version == version and rank.next_step == step
        order = Decide if promised else Prepare
        orders[name] = order(*stamp, version, step)
    if not undecided:
        for name, rank in waiting.items():
            if not rank.committed:
                orders[name] = Commit(*stamp, version, step)
    return Round(orders, waiting=f"step {step}")


def _change(
    ranks: Mapping[str, Rank], wanted: int, stamp: Stamp, margin: int
) -> Round:
    versions = {rank.version for rank in ranks.values()}
    prepared = {name for name, r in ranks.items() if r.next_version}
    if len(versions) > 1:
        return _catch_up(ranks, prepared, max(versions), stamp)
    if versions == {wanted}:
        orders: dict[str, Order] = {
            name: Release(*stamp) for name in sorted(prepared)
        }
        return Round(orders, done=not orders, waiting="releases")
    missing = {n for n, r in ranks.items() if wanted not in r.staged}
    if missing:
        orders = {name: Stage(*stamp, wanted) for name in sorted(missing)}
        return Round(orders, waiting=f"layout {wanted} to be loaded")
    return _prepare_all(ranks, wanted, stamp, margin)


def _catch_up(
    ranks: Mapping[str, Rank], prepared: set[str], ahead: int, stamp: Stamp
) -> Round:
    """Let the ranks before a decided change follow those past it."""
    orders: dict[str, Order] = {name: Probe(*stamp) for name in ranks}
    for name in sorted(prepared):
        rank = ranks[name]
        if rank.next_version == ahead:
            orders[name] = Commit(*stamp, ahead, rank.next_step)
    return Round(orders, waiting=f"layout {ahead} at all ranks")


def _prepare_all(
    ranks: Mapping[str, Rank], wanted: int, stamp: Stamp, margin: int
) -> Round:
    """Get a promise of every rank for one step, then decide."""
    promised = {
        rank.next_step
        for rank in ranks.values()
        if rank.next_version == wanted
    }
    every = all(rank.next_version == wanted for rank in ranks.values())
    if every and len(promised) == 1:
        decide = Decide(*stamp, wanted, promised.pop())
        return Round(dict.fromkeys(ranks, decide), waiting="decisions")
    step = max(reached(rank) for rank in ranks.values()) + margin
    prepare = Prepare(*stamp, wanted, step)
    return Round(dict.fromkeys(ranks, prepare), waiting="promises")


def _prepare(rank: Rank, version: int, step: int) -> tuple[Rank, bool]:
    same = rank.next_version == version and rank.next_step == step
    if same:
        return rank, True
    usable = (
        rank.version != 0
        and not rank.decided
        and version in rank.staged
        and rank.step < step
    )
    if not usable:
        return rank, False
    return rank._replace(next_version=version, next_step=step), True


def _settle(
    rank: Rank, version: int, step: int, *, committed: bool
) -> tuple[Rank, bool]:
    if rank.version == version and not rank.next_version:
        return rank, True
    if rank.next_version != version or rank.next_step != step:
        return rank, False
    committed = committed or rank.committed
    return rank._replace(decided=True, committed=committed), True


def _adopt(rank: Rank, order: Adopt) -> tuple[Rank, bool]:
    if rank.version != 0:
        return rank, rank.version == order.version
    needed = {order.version} | ({order.next_version} - {0})
    if not needed <= rank.staged:
        return rank, False
    return (
        rank._replace(
            version=order.version,
            step=order.step - 1,
            floor=order.step,
            next_version=order.next_version,
            next_step=order.next_step,
            decided=order.next_version != 0,
            committed=order.next_version != 0,
        ),
        True,
    )
