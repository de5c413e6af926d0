"""Routes: which target a request goes to, by host and path.

The route of a request is the one of its host whose prefix begins the path
and is longest.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable
from typing import Any, NamedTuple

from . import rendezvous

# Kinds of request.
SAFE = "safe"  # May run more than once.
UNSAFE = "unsafe"  # Runs at most once.
STREAM = "stream"  # Answered by a stream of events.


class Share(NamedTuple):
    """A part of a route's requests.

    Attributes:
      target: Name of the group or service that gets it.
      weight: Its size relative to the other shares.
    """

    target: str
    weight: float = 1.0


class Limits(NamedTuple):
    """What callers may send and how long they may take.

    Attributes:
      header_bytes: Largest head of a request.
      body_bytes: Largest body.
      header_timeout_s: Seconds in which a head must be whole.
      idle_timeout_s: Seconds for which a connection may rest.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 300.0


class Route(NamedTuple):
    """A route that an operator has configured.

    Attributes:
      name: Unique name.
      host: The host that callers name.
      prefix: What a path must begin with; begins and ends with "/".
      kind: SAFE, UNSAFE or STREAM.
      shares: Where its requests go.
      timeout_s: Longest time that a request is held, in seconds.
      goal_s: Time in which an answer, or its first event, should come.
      pause_s: Longest good pause between events of a stream, 0 for any.
      attempts: Most upstreams that one request is sent to.
      priority: Class of its requests, 0 the most urgent; None if the
        workspace's counts.
      public: Whether it is served without a key.
      resumable: Whether a broken stream may go on at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: str
    shares: tuple[Share, ...]
    timeout_s: float
    goal_s: float = 0.0
    pause_s: float = 0.0
    attempts: int = 1
    priority: int | None = None
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)


class Table:
    """Finds routes; made anew for every configuration."""

    def __init__(self, *, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for item in routes:
            self._by_host.setdefault(item.host.lower(), []).append(item)
        for rows in self._by_host.values():
            rows.sort(key=lambda item: len(item.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none.

        Args:
          host: The Host header, with or without a port.
          path: The path, without its query.
        """
        name = host.partition(":")[0].lower()
        for item in self._by_host.get(name, ()):
            if path.startswith(item.prefix):
                return item
        return None


def target(route: Route, request_id: str) -> str:
    """Choose among the shares of a route, by weight and request id.

    The same request comes to the same target at every entry.
    """
    if len(route.shares) == 1:
        return route.shares[0].target
    whole = sum(share.weight for share in route.shares)
    point = rendezvous.score(request_id, route.name) / 2**64 * whole
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.target
    return route.shares[-1].target


def to_json(item: Route) -> dict[str, Any]:
    """Return a route as plain JSON data."""
    return item._asdict()


def from_json(data: dict[str, Any]) -> Route:
    """Build a route from JSON data."""
    shares = tuple(Share(*row) for row in data["shares"])
    return Route(**{**data, "shares": shares})
