"""How long ago a process is known to have had all of a log.

A process that waits for the next record can't tell a quiet log from a dead
connection, and a neighbour that sends nothing new may itself know nothing.
What counts is an answer of the log: whoever had everything up to an offset
when the log answered confirms it for all that have no less.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from typing import NamedTuple


class Reached(NamedTuple):
    """What a process has read of a log.

    Attributes:
      offset: Position of the newest record; see position.py.
      version: Newest version, 0 in a log without versions.
    """

    offset: int
    version: int = 0

    def covers(self, other: "Reached") -> bool:
        """Return whether nothing that the other has read is missing."""
        return self.offset >= other.offset and self.version >= other.version


class Confirmation(NamedTuple):
    """The newest answer of the log to one process.

    Attributes:
      reached: What that process had read with it.
      at: Time of the answer in monotonic seconds of this process.
    """

    reached: Reached
    at: float


class Confirmations:
    """The newest answers of one log to this process and to its peers."""

    def __init__(self) -> None:
        self.own_at = -math.inf
        self._by_name: dict[str, Confirmation] = {}

    def record_own(self, at: float) -> None:
        """Record that this process had everything at a time."""
        self.own_at = max(self.own_at, at)

    def record_peer(self, name: str, confirmation: Confirmation) -> None:
        """Record the newest answer to a peer."""
        self._by_name[name] = confirmation

    def forget(self, name: str) -> None:
        """Drop a peer that is no longer heard."""
        self._by_name.pop(name, None)

    def confirmed_at(self, reached: Reached) -> float:
        """Return the latest time at which nothing was missing.

        Args:
          reached: What this process has read; an answer to a peer that has
            more confirms nothing.
        """
        covered = [
            item.at
            for item in self._by_name.values()
            if reached.covers(item.reached)
        ]
        return max(self.own_at, *covered) if covered else self.own_at

    def answered_before(self, name: str, since: float) -> int:
        """Return the number of peers with lower names and recent answers.

        Args:
          name: A name.
          since: Monotonic seconds from which on an answer is recent.
        """
        return sum(
            peer < name and item.at >= since
            for peer, item in self._by_name.items()
        )
