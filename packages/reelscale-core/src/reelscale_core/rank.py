"""A rank of a group that its engine steps, as it reports itself.

Such an engine takes orders about expert layouts by itself: it prepares a
layout, arms it for a step, and holds the group before a step until told to
go on.  relayout decides which orders bring all ranks onto one layout.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import enum
from typing import NamedTuple

# The experts that each rank holds, by set of layers, then rank.
Table = tuple[tuple[tuple[int, ...], ...], ...]


class Armed(NamedTuple):
    """A layout that a rank will take by itself.

    Attributes:
      version: The layout.
      step: It is taken as this step begins.
    """

    version: int
    step: int


class Rank(NamedTuple):
    """What one rank reports.

    Attributes:
      group: Name of its group.
      epoch: Rises each time the group forms anew; all is forgotten then.
      number: Its place in the group, from 0.
      size: Ranks of the group.
      open: Whether the group takes work.
      step: The last step that it began.
      version: Layout in use, 0 for the one that a group forms with.
      requests: Those that it works on, and that wait there.
      copying: Whether it is loading the weights of a layout.
      prepared: Layout whose weights it has beside the one in use, if any.
      armed: What it will take by itself, if anything.
      held: Step before which it holds the group, if any.
      born_ms: Unix time of its start in milliseconds, if it told; nothing
        that it said before another start holds after it.
    """

    group: str
    epoch: int
    number: int
    size: int
    open: bool
    step: int
    version: int
    requests: int = 0
    copying: bool = False
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None
    born_ms: int | None = None


class Fence(NamedTuple):
    """Take no more orders of an earlier holder.

    Attributes:
      version: A layout that nobody has armed.
    """

    version: int


class Prepare(NamedTuple):
    """Load the weights of a layout; a rank takes each version once."""

    version: int
    table: Table


class Arm(NamedTuple):
    """Take a prepared layout as a step begins."""

    version: int
    step: int


class Disarm(NamedTuple):
    """Do not take a layout that was armed."""

    version: int


class Hold(NamedTuple):
    """Keep the group from beginning a step."""

    step: int


class Go(NamedTuple):
    """End the hold of a step."""

    step: int


Order = Fence | Prepare | Arm | Disarm | Hold | Go


class Outcome(enum.IntEnum):
    """What became of an order.

    An order without an answer may be carried out seconds later.
    """

    TAKEN = 0
    REFUSED = 1
    FENCED = 2
    UNKNOWN = 3
