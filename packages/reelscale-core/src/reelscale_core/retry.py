"""Retry policy and a retry budget that prevents retry storms."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

# Maximum ratio of retries to first attempts.
RATIO = 0.1
# Initial and maximum size of the budget, in retries.
INITIAL = 10.0
MAX_ATTEMPTS = 4
# Attempts are not sent with less time than this before the deadline.
MIN_REMAINING_S = 0.005


class Budget(NamedTuple):
    """Retry budget.

    Attributes:
      tokens: Available retries.
    """

    tokens: float = INITIAL


def deposit(budget: Budget, ratio: float = RATIO) -> Budget:
    """Add the credit of a first attempt."""
    return Budget(min(budget.tokens + ratio, INITIAL))


def withdraw(budget: Budget) -> Budget | None:
    """Take a retry from the budget; None if it is exhausted."""
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
    """Return whether a failed attempt may be retried.

    Args:
      attempts: Attempts made so far.
      not_run: Whether the failed attempt is known not to have run.
      idempotent: Whether the request may run more than once.
      remaining_s: Seconds until the deadline.
      max_attempts: Maximum number of attempts, including the first.
    """
    if attempts >= max_attempts or remaining_s < MIN_REMAINING_S:
        return False
    return not_run or idempotent
