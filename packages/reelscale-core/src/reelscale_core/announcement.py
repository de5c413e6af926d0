"""What upstreams say of themselves, and the list that comes of it."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple


class Announcement(NamedTuple):
    """One start of an upstream's process, as it announced itself.

    Attributes:
      name: Unique id of this start; a restart has another.
      target: The group or service that it serves.
      address: "ip:port" at which it serves.
      hall: Its data hall.
      slots: Requests that it works on at once.
      leaving: Whether it is about to end and takes no new work.
      cold_s: How much longer it is slow after its start, in seconds.
    """

    name: str
    target: str
    address: str
    hall: str
    slots: int
    leaving: bool = False
    cold_s: float = 0.0


class Withdrawn(NamedTuple):
    """An upstream's announcement has been taken away.

    Attributes:
      name: Its id.
    """

    name: str


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
