"""The incarnation of a store, which its answers name.

The store may come back from a copy that lacks its newest records, though they
were acknowledged, and assigns their offsets again.  Its incarnation rises
then.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import number, position

from .. import logs
from ..exchange import connection

LOG = logs.Logger("store")


class OutdatedError(Exception):
    """An answer is of an earlier incarnation than one before it."""


class Incarnation:
    """The highest incarnation named so far.

    Attributes:
      number: That incarnation; 0 while no answer has named one.
    """

    def __init__(self, *, header: bytes) -> None:
        """Initialize without an incarnation.

        Args:
          header: Name of the header that names it.
        """
        self.number = 0
        self._header = header
        self._unreadable_logged = False

    def observe(self, head: connection.Head) -> None:
        """Record the incarnation that an answer names, if any.

        Raises:
          OutdatedError: The answer was delayed; what it says of records may
            not hold any more.
        """
        named = self._read(head)
        if named is None:
            return
        if named < self.number:
            raise OutdatedError(
                f"answer of incarnation {named}, the store is at {self.number}"
            )
        if 0 < self.number < named:
            LOG.warning(
                "The store was restored from a copy.",
                incarnation_before=self.number,
                incarnation=named,
            )
        self.number = named

    def _read(self, head: connection.Head) -> int | None:
        """Return what the header says; None if there is none to use."""
        stated = head.get(self._header)
        if stated is None:
            return None
        named = number.integer(stated.decode("latin-1"))
        if named is not None and named <= position.MAX_INCARNATION:
            return named
        if not self._unreadable_logged:
            self._unreadable_logged = True
            LOG.error(
                "The store's incarnation cannot be read; it is taken to be "
                "unchanged.",
                text=stated[:40].decode("latin-1"),
                incarnation=self.number,
            )
        return None
