"""Records what an upstream states about itself in the head of an answer."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import announcement, backoff

from ..adapters import base
from . import context as contexts


def record(
    membership: contexts.Upstreams,
    start: announcement.Start,
    head: base.AnswerHead,
) -> None:
    """Record all statements of an answer to the request that was sent."""
    if head.load is not None:
        membership.record_load(start, head.load)
    membership.record_rate_limit(start, head.rate_limit)
    _record_backoff(membership, start, head)
    if head.leaving:
        membership.record_leaving(start)


def record_restrictions(
    membership: contexts.Upstreams,
    start: announcement.Start,
    head: base.AnswerHead,
) -> None:
    """Record the statements of a refusal that may be of an earlier request.

    Those that restrict an upstream hold for a while in either case; a load,
    or the absence of a rate limit, may be outdated.
    """
    if not isinstance(head.rate_limit, base.NoRateLimit):
        membership.record_rate_limit(start, head.rate_limit)
    _record_backoff(membership, start, head)
    if head.leaving:
        membership.record_leaving(start)


def _record_backoff(
    membership: contexts.Upstreams,
    start: announcement.Start,
    head: base.AnswerHead,
) -> None:
    """Record the back-off that a refusal asks for, if any."""
    if head.status in backoff.STATUSES and head.retry_after_s is not None:
        membership.record_backoff(start, head.retry_after_s)
