"""What upstreams say of themselves, and the list that comes of it."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple


class Start(NamedTuple):
    """One start of an upstream's process.

    An upstream may start again under the id that it had; it then knows
    nothing of before, so nothing believed of one start holds for another.

    Attributes:
      name: Id of the upstream.
      born_ms: Unix time of the start in milliseconds; None if it is not
        told, and then every start has an id of its own.
    """

    name: str
    born_ms: int | None

    @property
    def key(self) -> str:
        """Return a text that no other start has."""
        if self.born_ms is None:
            return self.name
        return f"{self.name}@{self.born_ms}"

    def was_running_at(self, unix_s: float) -> bool:
        """Tell whether it may have answered at a time.

        A start is heard of some time after its birth; until then its answers
        seem to be those of the start before it.
        """
        return self.born_ms is None or self.born_ms <= unix_s * 1000


class Announcement(NamedTuple):
    """One start of an upstream's process, as it announced itself.

    Attributes:
      name: Its id; it may have been that of an earlier start.
      target: The group or service that it serves.
      address: "ip:port" at which it serves.
      hall: Its data hall.
      slots: Requests that it works on at once.
      leaving: Whether it is about to end and takes no new work.
      cold_s: How much longer it is slow after its start, in seconds.
      born_ms: Unix time of its start in milliseconds, if it told.
    """

    name: str
    target: str
    address: str
    hall: str
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    born_ms: int | None = None

    @property
    def start(self) -> Start:
        """Return which start this is."""
        return Start(self.name, self.born_ms)


class Withdrawn(NamedTuple):
    """An upstream's announcement has been taken away.

    Attributes:
      name: Its id.
    """

    name: str


class Unusable(NamedTuple):
    """An announcement cannot be trusted, so it names no upstream to use.

    Attributes:
      name: The id that it stands under.
      reason: What is wrong, as one word of a small set.
      detail: The same for people.
    """

    name: str
    reason: str
    detail: str


# What a list of upstreams holds.
Item = Announcement | Withdrawn | Unusable


class Load(NamedTuple):
    """How busy an upstream is, as it says in its answers.

    Attributes:
      running: Requests that it works on.
      waiting: Requests that wait there.
      slots: Requests that it works on at once.
    """

    running: int
    waiting: int
    slots: int
