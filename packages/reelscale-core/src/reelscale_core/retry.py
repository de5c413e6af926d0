"""When a request may be sent again, and a budget that bounds storms."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

# Retries are at max_attempts this fraction of first attempts.
RATIO = 0.1
# Retries that may be made before any first attempt has paid for them.
INITIAL = 10.0
MAX_ATTEMPTS = 4
# An attempt with less time than this left is not may_retry sending.
MIN_REMAINING_S = 0.005


class Budget(NamedTuple):
    """What is left for retries.

    Attributes:
      tokens: Retries that may be made now.
    """

    tokens: float = INITIAL


def deposit(budget: Budget, ratio: float = RATIO) -> Budget:
    """Note a first attempt, which pays for a part of a retry."""
    return Budget(min(budget.tokens + ratio, INITIAL))


def withdraw(budget: Budget) -> Budget | None:
    """Pay for a retry; None when the budget does not allow it."""
    if budget.tokens < 1:
        return None
    return Budget(budget.tokens - 1)


def may_retry(
    *,
    attempts: int,
    not_run: bool,
    idempotent: bool,
    remaining_s: float,
    max_attempts: int = MAX_ATTEMPTS,
) -> bool:
    """Tell whether a failed attempt may be followed by another.

    Args:
      attempts: Attempts made so far.
      not_run: Whether the failed attempt is proved not to have run.
      idempotent: Whether running the request twice does no harm.
      remaining_s: Seconds left until the caller's deadline.
      max_attempts: Attempts that may be made in all.
    """
    if attempts >= max_attempts or remaining_s < MIN_REMAINING_S:
        return False
    return not_run or idempotent
