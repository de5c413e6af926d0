"""Reports of and orders to a rank whose engine changes layouts itself.

On orders, such an engine prepares a layout, arms it for a step, and holds the
group before a step until released.  relayout decides which orders bring all
ranks onto one layout.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import enum
from typing import NamedTuple

# Experts by set of layers, then rank.
Table = tuple[tuple[tuple[int, ...], ...], ...]


class Armed(NamedTuple):
    """A layout that a rank will switch to at a step.

    Attributes:
      version: Version of the layout.
      step: The first step that uses it.
    """

    version: int
    step: int


class Rank(NamedTuple):
    """The report of one rank.

    Attributes:
      group: Name of its group.
      epoch: Increases each time the group forms anew, without earlier state.
      number: Its index in the group, from 0.
      size: Number of ranks of the group.
      open: Whether the group accepts requests.
      step: The latest step that it began.
      version: Layout in use; 0 for the initial one.
      requests: Requests that it runs and has queued.
      copying: Whether it is loading the weights of a layout.
      prepared: Layout loaded beside the one in use, if any.
      armed: The layout change that it is armed for, if any.
      held: Step before which it holds the group, if any.
      born_ms: Unix time of its start in milliseconds, if stated; a restarted
        rank has lost all earlier state.
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
    """Refuse further orders of earlier holders.

    Attributes:
      version: A layout that no rank is armed for.
    """

    version: int


class Prepare(NamedTuple):
    """Load the weights of a layout; a rank accepts each version once."""

    version: int
    table: Table


class Arm(NamedTuple):
    """Switch to a prepared layout when a step begins."""

    version: int
    step: int


class Disarm(NamedTuple):
    """Cancel an armed layout."""

    version: int


class Hold(NamedTuple):
    """Hold the group before a step."""

    step: int


class Go(NamedTuple):
    """Release the hold before a step."""

    step: int


Order = Fence | Prepare | Arm | Disarm | Hold | Go


class Outcome(enum.IntEnum):
    """The outcome of an order.

    An unanswered order may still be carried out seconds later.
    """

    TAKEN = 0
    REFUSED = 1
    FENCED = 2
    UNKNOWN = 3
