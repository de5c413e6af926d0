"""What a store with topics, partitions and keys returns, on any platform."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from reelscale_core import position

from .. import logs

LOG = logs.Logger("store")


class Appended(NamedTuple):
    """Where records were appended.

    Attributes:
      offset: Offset of the first.
      incarnation: Incarnation of the store.
    """

    offset: int
    incarnation: int


class Records(NamedTuple):
    """A page of a partition.

    Attributes:
      end: Offset that the next record will get.
      first: Lowest offset that is kept.
      rows: The records, from the offset that was asked for.
      incarnation: Incarnation of the store that has them.
    """

    end: int
    first: int
    rows: list[bytes]
    incarnation: int = 0

    @property
    def end_position(self) -> int:
        """Position of the end; see reelscale_core.position."""
        return position.encode(self.incarnation, self.end)


class Keyed(NamedTuple):
    """A record of a topic that keeps the newest of each key.

    Attributes:
      key: The key.
      value: The value; None where the record drops the key.
    """

    key: str
    value: bytes | None


class Newest(NamedTuple):
    """The newest record of every key.

    Attributes:
      rows: They, with their offsets, in the order of offsets; None in place
        of one that cannot be read.
      end: Offset that the next record will get; read on from there.
      incarnation: Incarnation of the store that has them.
    """

    rows: list[tuple[int, Keyed | None]]
    end: int
    incarnation: int = 0

    @property
    def end_position(self) -> int:
        """Position of the end; see reelscale_core.position."""
        return position.encode(self.incarnation, self.end)

    def by_position(self) -> list[tuple[int, Keyed | None]]:
        """Return the records with their positions."""
        return [
            (position.encode(self.incarnation, offset), row)
            for offset, row in self.rows
        ]


class GoneError(Exception):
    """Records that were asked for are no longer kept.

    Attributes:
      first: Lowest offset that is kept.
    """

    def __init__(self, first: int) -> None:
        super().__init__(first)
        self.first = first


class GoneLog:
    """Logs reads of records that are not there, once until one succeeds."""

    def __init__(self) -> None:
        self._topics: set[str] = set()

    def record_gone(self, topic: str, asked: int, first: int) -> None:
        """Record that a read of a topic got no records.

        Args:
          topic: The topic.
          asked: Offset that was asked for.
          first: Lowest offset that is kept.
        """
        if topic in self._topics:
            return
        self._topics.add(topic)
        LOG.warning(
            "The store does not have the records asked for.",
            topic=topic,
            asked=asked,
            first=first,
        )

    def record_read(self, topic: str) -> None:
        """Record that a read of a topic succeeded."""
        self._topics.discard(topic)
