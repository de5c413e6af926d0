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

# The prepared step lies this many steps ahead of the furthest rank.
MARGIN_STEPS = 8


class Rank(NamedTuple):
    """What a rank, or a box of ranks, holds.

    Attributes:
      fence: Highest fence accepted.
      version: Layout of the steps before next_step; 0 when it has lost
        everything and runs no step.
      step: The last step it began, -1 for none.
      staged: Layout versions whose weights it holds.
      next_version: Layout from next_step on, 0 for none prepared.
      next_step: First step on it.
      decided: Whether next_step is certain to run on next_version.
      committed: Whether it may begin next_step.
      incarnation: Of the engine; a new one has lost everything.
    """

    fence: int = 0
    version: int = 0
    step: int = -1
    staged: frozenset[int] = frozenset()
    next_version: int = 0
    next_step: int = 0
    decided: bool = False
    committed: bool = False
    incarnation: str = ""


class Probe(NamedTuple):
    """Raise the fence and tell what you hold."""

    fence: int


class Stage(NamedTuple):
    """Load the weights of a layout."""

    fence: int
    version: int


class Prepare(NamedTuple):
    """Promise not to begin a step until told to commit."""

    fence: int
    version: int
    step: int


class Decide(NamedTuple):
    """Know that all have promised; do not begin the step yet."""

    fence: int
    version: int
    step: int


class Commit(NamedTuple):
    """Go on from a prepared step, on its layout."""

    fence: int
    version: int
    step: int


class Release(NamedTuple):
    """Forget a prepared change and go on as before."""

    fence: int


class Adopt(NamedTuple):
    """Join with nothing at a step, on the schedule of the others."""

    fence: int
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
    if order.fence < rank.fence:
        return rank, False
    rank = rank._replace(fence=order.fence)
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
) -> Round:
    """Decide the holder's next orders from the newest replies.

    Args:
      ranks_by_member: Newest state of each member that has answered a
        probe under this fence.
      members: All members of the group.
      wanted: Layout version that the configuration asks for.
      fence: Fence of the holder's lease.
    """
    silent = members - ranks_by_member.keys()
    if silent:
        orders = {name: Probe(fence) for name in silent}
        return Round(orders, waiting=f"answers of {', '.join(sorted(silent))}")
    ranks = dict(ranks_by_member)
    lost = {name for name, rank in ranks.items() if rank.version == 0}
    if lost == set(members):
        return _found(ranks, wanted, fence)
    if lost:
        return _rejoin(ranks, lost, fence)
    decided = [rank for rank in ranks.values() if rank.decided]
    if decided:
        return _finish(ranks, decided[0], fence)
    return _change(ranks, wanted, fence)


def _found(ranks: Mapping[str, Rank], wanted: int, fence: int) -> Round:
    """Start a group of which no rank holds anything."""
    return _staged_first(
        ranks, dict.fromkeys(ranks, Adopt(fence, wanted, 0)), (wanted,), fence
    )


def _rejoin(ranks: Mapping[str, Rank], lost: set[str], fence: int) -> Round:
    """Give ranks that lost everything the schedule of the others.

    The others cannot finish the step that they are at, so what they hold
    stands still: they are all on one version for it.
    """
    others = [rank for name, rank in ranks.items() if name not in lost]
    least = min(others, key=lambda rank: rank.step)
    planned = next((rank for rank in others if rank.decided), None)
    ahead = max(others, key=lambda rank: rank.version)
    order = Adopt(fence, least.version, least.step)
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
    orders = dict.fromkeys(lost, order)
    return _staged_first(ranks, orders, versions, fence)


def _staged_first(
    ranks: Mapping[str, Rank],
    orders: Mapping[str, Adopt],
    versions: tuple[int, ...],
    fence: int,
) -> Round:
    """Stage what is missing before the orders that need it."""
    first: dict[str, Order] = {}
    for name in orders:
        for version in versions:
            if version not in ranks[name].staged:
                first[name] = Stage(fence, version)
    return Round(first or dict(orders), waiting="ranks that lost their layout")


def _finish(ranks: Mapping[str, Rank], done: Rank, fence: int) -> Round:
    """Carry a decided change through: decide everywhere, then commit."""
    version, step = done.next_version, done.next_step
    waiting = {n: r for n, r in ranks.items() if r.next_version}
    orders: dict[str, Order] = {name: Probe(fence) for name in ranks}
    undecided = [name for name, r in waiting.items() if not r.decided]
    for name in undecided:
        orders[name] = Decide(fence, version, step)
    if not undecided:
        for name, rank in waiting.items():
            if not rank.committed:
                orders[name] = Commit(fence, version, step)
    return Round(orders, waiting=f"step {step}")


def _change(ranks: Mapping[str, Rank], wanted: int, fence: int) -> Round:
    versions = {rank.version for rank in ranks.values()}
    prepared = {name for name, r in ranks.items() if r.next_version}
    if len(versions) > 1:
        return _catch_up(ranks, prepared, max(versions), fence)
    if versions == {wanted}:
        orders: dict[str, Order] = {name: Release(fence) for name in prepared}
        return Round(orders, done=not orders, waiting="releases")
    missing = {n for n, r in ranks.items() if wanted not in r.staged}
    if missing:
        orders = {name: Stage(fence, wanted) for name in missing}
        return Round(orders, waiting=f"layout {wanted} to be loaded")
    return _prepare_all(ranks, wanted, fence)


def _catch_up(
    ranks: Mapping[str, Rank], prepared: set[str], ahead: int, fence: int
) -> Round:
    """Let the ranks before a decided change follow those past it."""
    orders: dict[str, Order] = {name: Probe(fence) for name in ranks}
    for name in prepared:
        rank = ranks[name]
        if rank.next_version == ahead:
            orders[name] = Commit(fence, ahead, rank.next_step)
    return Round(orders, waiting=f"layout {ahead} at all ranks")


def _prepare_all(ranks: Mapping[str, Rank], wanted: int, fence: int) -> Round:
    """Get a promise of every rank for one step, then decide."""
    promised = {
        rank.next_step
        for rank in ranks.values()
        if rank.next_version == wanted
    }
    every = all(rank.next_version == wanted for rank in ranks.values())
    if every and len(promised) == 1:
        decide = Decide(fence, wanted, promised.pop())
        return Round(dict.fromkeys(ranks, decide), waiting="decisions")
    step = max(rank.step for rank in ranks.values()) + MARGIN_STEPS
    prepare = Prepare(fence, wanted, step)
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
            next_version=order.next_version,
            next_step=order.next_step,
            decided=order.next_version != 0,
            committed=order.next_version != 0,
        ),
        True,
    )
