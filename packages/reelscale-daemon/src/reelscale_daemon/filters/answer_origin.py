"""Tells whether an answer is that of the request that was sent.

An upstream may send an answer a second time, in the place where the next one
on that connection is due.  So what is read after a request was written is not
always about that request: its id has to say so.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import enum

from ..adapters import base
from ..exchange import connection


class Origin(enum.Enum):
    """To which request an answer belongs."""

    # It has the id of the request, or can't be about another one.
    OWN = "own"
    # A refusal without an id, which may be that of an earlier request.
    UNNAMED_REFUSAL = "unnamed-refusal"
    # A second answer to an earlier request; the own one follows.
    SURPLUS = "surplus-answer"
    # It has another id, or none although it is no refusal.
    FOREIGN = "foreign-answer"


def of(
    head: base.AnswerHead, *, request_id: str, conn: connection.Connection
) -> Origin:
    """Return the origin of an answer.

    Args:
      head: The head of the answer.
      request_id: Id of the request, which its connection has not carried
        before.
      conn: The connection.
    """
    if head.request_id:
        if head.request_id == request_id:
            return Origin.OWN
        earlier = conn.has_carried(head.request_id)
        return Origin.SURPLUS if earlier else Origin.FOREIGN
    if not head.not_run:
        return Origin.FOREIGN
    # A refusal may lack the id; only one request was there to refuse.
    return Origin.OWN if conn.used == 1 else Origin.UNNAMED_REFUSAL
