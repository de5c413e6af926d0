"""A partition of the stand-in's log, which remembers how it was earlier."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time


class Partition:
    """The records of one partition.

    Attributes:
      first: Lowest offset that is kept.
      journal: All records since offset 0, each with its time.
      newest: Offset and value by key, for topics with keys.
      producers: Epoch, last sequence number and answers of each.
    """

    def __init__(self) -> None:
        self.first = 0
        self.journal: list[tuple[float, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, tuple[int, int, dict[int, int]]] = {}

    @property
    def end(self) -> int:
        """Return the offset that the next record gets."""
        return len(self.journal)

    def between(self, start: int, end: int) -> list[bytes]:
        """Return the kept records from one offset to before another."""
        rows = self.journal[max(start, self.first) : end]
        return [record for _, record in rows]

    def add(
        self, record: bytes, *, has_key: bool, at: float | None = None
    ) -> None:
        """Add a record, written now or at an earlier time."""
        if has_key and record:
            key, value = _key(record), record[1 + record[0] :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (self.end, value)
        written_at = time.monotonic() if at is None else at
        self.journal.append((written_at, record))

    def drop(self) -> None:
        """Forget all records; the newest of each key stays."""
        self.first = self.end

    def as_of(self, at: float, *, has_key: bool) -> "Partition":
        """Return the partition as it was at a time."""
        made = Partition()
        for written_at, record in self.journal:
            if written_at <= at:
                made.add(record, has_key=has_key, at=written_at)
        made.first = min(self.first, made.end)
        return made

    def newest_after(self, at: float) -> list[bytes]:
        """Return the newest record of each key that was written later."""
        later = [record for when, record in self.journal if when > at]
        return list({_key(r): r for r in later if r}.values())


def _key(record: bytes) -> str:
    """Return the key of a record; the pages say nothing of other bytes."""
    return record[1 : 1 + record[0]].decode(errors="replace")
