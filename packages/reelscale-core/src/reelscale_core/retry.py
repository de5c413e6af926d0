"""When a request may be sent again, and a budget that bounds storms."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

# Retries are at most this fraction of first attempts.
RATIO = 0.1
# Retries that may be made before any first attempt has paid for them.
INITIAL = 10.0
MOST_ATTEMPTS = 4
# An attempt with less time than this left is not worth sending.
LEAST_LEFT_S = 0.005


class Budget(NamedTuple):
    """What is left for retries.

    Attributes:
      left: Retries that may be made now.
    """

    left: float = INITIAL


def deposit(budget: Budget, ratio: float = RATIO) -> Budget:
    """Note a first attempt, which pays for a part of a retry."""
    return Budget(min(budget.left + ratio, INITIAL))


def withdraw(budget: Budget) -> Budget | None:
    """Pay for a retry; None when the budget does not allow it."""
    if budget.left < 1:
        return None
    return Budget(budget.left - 1)


def worth(
    *,
    attempts: int,
    not_run: bool,
    repeatable: bool,
    left_s: float,
    most: int = MOST_ATTEMPTS,
) -> bool:
    """Tell whether a failed attempt may be followed by another.

    Args:
      attempts: Attempts made so far.
      not_run: Whether the failed attempt is proved not to have run.
      repeatable: Whether running the request twice does no harm.
      left_s: Seconds left until the caller's deadline.
      most: Attempts that may be made in all.
    """
    if attempts >= most or left_s < LEAST_LEFT_S:
        return False
    return not_run or repeatable
