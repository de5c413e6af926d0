"""What a rank holds of layouts, and how it obeys orders about them.

An engine must keep these rules, by itself or through its agent.  The
holder's side is in schedule.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple


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


def apply_order(rank: Rank, order: Order) -> tuple[Rank, bool]:
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
            return _decide(rank, version, step, committed=False)
        case Commit(version=version, step=step):
            return _decide(rank, version, step, committed=True)
        case Release():
            if rank.decided:
                return rank, False
            return rank._replace(next_version=0, next_step=0), True
        case Adopt():
            return _adopt(rank, order)


def layout_at(rank: Rank, step: int) -> int:
    """Return the layout that a rank runs a step on; 0 if it must wait."""
    if rank.version == 0:
        return 0
    if rank.next_version == 0 or step < rank.next_step:
        return rank.version
    return rank.next_version if rank.committed else 0


def reached_step(rank: Rank) -> int:
    """Return a step that the group is known to have begun.

    No rank, not even one that was lost since, has begun a step more than
    one beyond the least of these.
    """
    return max(rank.step, rank.floor)


def advance(rank: Rank, step: int) -> Rank:
    """Note that a rank layout_at a step, which layout_at() allowed."""
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


def _decide(
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
