"""Layout state of a rank and its transitions.

An engine must follow these rules, by itself or through its agent.  The
coordinator is in schedule.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple


class Rank(NamedTuple):
    """Layout state of a rank, or of a box of ranks.

    Attributes:
      fence: Highest fence accepted.
      seq: Highest sequence number of an order under that fence.
      version: Layout of the steps before next_step; 0 if it lost its state
        and runs no steps.
      step: Last step begun; -1 for none.
      floor: Step at which it joined; the group had begun that step.
      staged: Layout versions whose weights are loaded.
      next_version: Layout from next_step on; 0 if none is prepared.
      next_step: First step on next_version.
      decided: Whether the change at next_step is final.
      committed: Whether next_step may begin.
      incarnation: Incarnation of the engine; a new one is empty.
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
    """Total order of orders: fence of the holder, then its round."""

    fence: int
    seq: int


class Probe(NamedTuple):
    """Raise the fence and report the state."""

    fence: int
    seq: int


class Stage(NamedTuple):
    """Load the weights of a layout."""

    fence: int
    seq: int
    version: int


class Prepare(NamedTuple):
    """Promise not to begin a step before the commit."""

    fence: int
    seq: int
    version: int
    step: int


class Decide(NamedTuple):
    """Record that all ranks have promised; do not begin the step yet."""

    fence: int
    seq: int
    version: int
    step: int


class Commit(NamedTuple):
    """Begin the prepared step on its layout."""

    fence: int
    seq: int
    version: int
    step: int


class Release(NamedTuple):
    """Abort a prepared change."""

    fence: int
    seq: int


class Adopt(NamedTuple):
    """Join empty at a step, with the schedule of the group."""

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
      The new state, and whether the order was accepted.  Orders may be
      duplicated or delayed.
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
    """Return the layout on which a rank runs a step; 0 if it must wait."""
    if rank.version == 0:
        return 0
    if rank.next_version == 0 or step < rank.next_step:
        return rank.version
    return rank.next_version if rank.committed else 0


def reached_step(rank: Rank) -> int:
    """Return a step that the group is known to have begun.

    No rank, including one that lost its state since, has begun a step more
    than one beyond the minimum of these.
    """
    return max(rank.step, rank.floor)


def advance(rank: Rank, step: int) -> Rank:
    """Begin a step that layout_at() allowed."""
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
