"""Routes: select the target of a request by host and path.

The route with the longest matching path prefix of the host applies.
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
    """A weighted share of a route's requests.

    Attributes:
      target: Name of the group or service that receives it.
      weight: Weight relative to the other shares.
    """

    target: str
    weight: float = 1.0


class Limits(NamedTuple):
    """Limits of the size and duration of requests.

    Attributes:
      header_bytes: Maximum size of the head.
      body_bytes: Maximum size of the body.
      header_timeout_s: Seconds within which the head must be complete.
      idle_timeout_s: Seconds for which a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 300.0


class Route(NamedTuple):
    """A configured route.

    Attributes:
      name: Unique name.
      host: Host name of requests.
      prefix: Path prefix of requests; begins and ends with "/".
      kind: SAFE, UNSAFE or STREAM.
      shares: Targets of its requests.
      timeout_s: Maximum seconds for which a request is held.
      goal_s: Target seconds until an answer, or its first event.
      pause_s: Target maximum seconds between events of a stream; 0 for none.
      attempts: Maximum attempts of one request.
      priority: Class of its requests, 0 the most urgent; None for the
        workspace's.
      public: Whether requests need no key.
      resumable: Whether a broken stream may resume at another upstream.
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
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)


class Table:
    """Finds routes; rebuilt for every configuration."""

    def __init__(self, *, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for item in routes:
            self._by_host.setdefault(item.host.lower(), []).append(item)
        for rows in self._by_host.values():
            rows.sort(key=lambda item: len(item.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, if any.

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
    """Return the target of a request, by weight and request id.

    All entries choose the same target for the same request.
    """
    if len(route.shares) == 1:
        return route.shares[0].target
    total = sum(share.weight for share in route.shares)
    point = rendezvous.score(request_id, route.name) / 2**64 * total
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
