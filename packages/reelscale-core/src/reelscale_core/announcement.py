"""Announcements of upstreams and the list built from them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple


class Start(NamedTuple):
    """One start of an upstream's process.

    An upstream may restart under the same id without any state, so what was
    recorded about one start does not apply to the next.

    Attributes:
      name: Id of the upstream.
      born_ms: Unix time of the start in milliseconds; None if not stated,
        in which case every start has its own id.
    """

    name: str
    born_ms: int | None

    @property
    def key(self) -> str:
        """Return a unique key of the start."""
        if self.born_ms is None:
            return self.name
        return f"{self.name}@{self.born_ms}"

    def was_running_at(self, unix_s: float) -> bool:
        """Return whether the start may have answered at a time.

        A start is announced some time after it began; until then its answers
        are attributed to the start before it.
        """
        return self.born_ms is None or self.born_ms <= unix_s * 1000


class Announcement(NamedTuple):
    """One start of an upstream's process, as announced.

    Attributes:
      name: Id of the upstream; earlier starts may have had the same.
      target: The group or service that it serves.
      address: Its "ip:port".
      hall: Its data hall.
      slots: Requests that it runs concurrently.
      leaving: Whether it is stopping and accepts no new requests.
      cold_s: Remaining seconds of its warm-up.
      born_ms: Unix time of its start in milliseconds, if stated.
      sequence: Number of the announcement, which rises within a start; None
        if not stated.
    """

    name: str
    target: str
    address: str
    hall: str
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    born_ms: int | None = None
    sequence: int | None = None

    @property
    def start(self) -> Start:
        """Return the start that is announced."""
        return Start(self.name, self.born_ms)


def has_changes(known: Announcement, item: Announcement) -> bool:
    """Return whether an announcement is more than a heartbeat."""
    return _lasting(known) != _lasting(item)


def _lasting(item: Announcement) -> Announcement:
    """Return an announcement without what changes with every heartbeat."""
    return item._replace(cold_s=0.0, sequence=None)


class Withdrawn(NamedTuple):
    """An upstream's announcement has been removed.

    Attributes:
      name: Id of the upstream.
    """

    name: str


class Unusable(NamedTuple):
    """An invalid announcement; its upstream is not used.

    Attributes:
      name: Id of the upstream.
      reason: What is wrong, as one word of a fixed set.
      detail: What is wrong, in words.
    """

    name: str
    reason: str
    detail: str


# A record in the list of upstreams.
Item = Announcement | Withdrawn | Unusable


class Load(NamedTuple):
    """The load that an upstream reports in its answers.

    Attributes:
      running: Requests that it runs.
      waiting: Requests queued there.
      slots: Requests that it runs concurrently.
    """

    running: int
    waiting: int
    slots: int
