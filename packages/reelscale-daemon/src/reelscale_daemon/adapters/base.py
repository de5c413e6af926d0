"""Interfaces between entries or agents and the platform they run on.

An adapter translates between these and the protocols of one platform; it
makes no decisions, keeps no state and does no recovery.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

from reelscale_core import (
    announcement,
    backoff,
    clock,
    demand,
    error,
    number,
    rank,
    settings,
)

from .. import logs
from ..exchange import connection, pool
from ..filters import call

LOG = logs.Logger("answers")


class Rows(NamedTuple):
    """Records read from the log.

    All offsets are positions; see reelscale_core.position.

    Attributes:
      rows: (offset, data) pairs in offset order.
      oldest: Lowest needed offset that the log still retains.
      head: Offset of the next record to be appended.
    """

    rows: list[tuple[int, Any]]
    oldest: int
    head: int


class Source(Protocol):
    """The log from which the configuration is folded."""

    async def read(self, from_offset: int, *, wait_s: float) -> Rows:
        """Read records, waiting for the first.

        If it is cancelled while it waits, it asks again without waiting, on a
        new connection.

        Raises:
          CodedError: "log-down".
        """
        ...

    async def append(self, records: list[dict[str, Any]]) -> int:
        """Append records; return the offset of the first."""
        ...


class RosterPage(NamedTuple):
    """A page of the list of upstreams.

    Attributes:
      items: Changes, in order.
      next_offset: Position of the next page; see reelscale_core.position.
      complete: Whether items are the complete list, so that upstreams not in
        it were removed.
      more: Whether further changes follow that the page had no room for.
    """

    items: list[announcement.Item]
    next_offset: int
    complete: bool = False
    more: bool = False


class Roster(Protocol):
    """The platform's list of upstreams."""

    async def read(self, from_offset: int, *, wait_s: float) -> RosterPage:
        """Read changes from an offset on; cancelled as Source.read() is.

        Raises:
          CodedError: "log-down".
        """
        ...


class RankPort(Protocol):
    """A local or remote rank; its errors are CodedError "rank-lost"."""

    async def report(self) -> rank.Rank:
        """Return the current report of the rank."""
        ...

    async def counted(self) -> demand.Counters:
        """Return how often its requests were routed to each expert."""
        ...

    async def experts(self) -> tuple[tuple[int, ...], ...]:
        """Return the experts that it has loaded, by set of layers."""
        ...

    async def order(
        self, order: rank.Order, *, fence: int, epoch: int
    ) -> rank.Outcome:
        """Send an order, valid in one epoch only; does not raise."""
        ...


class EngineLimits(NamedTuple):
    """Limits of the engine of a group.

    Attributes:
      experts: Number of experts in each set of layers.
      places: Maximum number of experts of a set on a rank.
      spare: Maximum number of experts of a set that a rank loads per change.
      expert_mb: Size of an expert in megabytes, 0 if unknown.
      link_mbps: Bandwidth for loading experts in megabits per second, 0 if
        unknown.
    """

    experts: int
    places: int
    spare: int
    expert_mb: float = 0.0
    link_mbps: float = 0.0

    @property
    def load_s(self) -> float:
        """Time to load one expert, in seconds, 0 if unknown."""
        if self.expert_mb <= 0 or self.link_mbps <= 0:
            return 0.0
        return self.expert_mb * 8 / self.link_mbps


class Engines(Protocol):
    """Engine limits set by the operators."""

    async def limits(self, target: str) -> EngineLimits | None:
        """Return the limits of a group, if set; CodedError "log-down"."""
        ...


class Lease(Protocol):
    """The right to change the layout of one group; CodedError "log-down"."""

    async def renew(self) -> bool:
        """Acquire or renew the lease; return whether it is held."""
        ...

    async def draw_fence(self) -> int:
        """Return a number above all drawn before for this target."""
        ...

    async def leave(self) -> None:
        """Release the lease."""
        ...


class RequestsPerSecond(NamedTuple):
    """Limit of an upstream on the requests per second of all entries."""

    per_s: float


class NoRateLimit(NamedTuple):
    """The upstream states no limit; an earlier one no longer applies."""


class UnreadableRateLimit(NamedTuple):
    """The limit that the upstream states is not a number."""

    text: str


RateLimit = RequestsPerSecond | NoRateLimit | UnreadableRateLimit


def read_rate_limit(stated: bytes | None) -> RateLimit:
    """Parse the rate limit of an answer."""
    if stated is None:
        return NoRateLimit()
    text = stated.decode("latin-1")
    per_s = number.decimal(text)
    if per_s is None:
        return UnreadableRateLimit(text)
    return RequestsPerSecond(per_s)


def read_retry_after(stated: bytes | None) -> float | None:
    """Return the seconds of a Retry-After header, None if not readable."""
    if stated is None:
        return None
    text = stated.decode("latin-1")
    seconds = backoff.parse_retry_after(text)
    if seconds is None:
        LOG.warning("Cannot parse a Retry-After header.", text=text[:40])
    return seconds


class AnswerHead(NamedTuple):
    """The head of an upstream's answer, independent of the platform.

    Attributes:
      status: HTTP status.
      headers: Headers to forward to the caller.
      request_id: Id of the request that it answers, "" if not stated.
      not_run: Whether the upstream states that it did not run the request.
      proved: Whether it has what shows that the upstream made this answer.
      retry_after_s: Retry-After in seconds, if stated.
      load: Load of the upstream, if stated.
      rate_limit: Rate limit of the upstream.
      leaving: Whether the upstream states that it is about to stop.
    """

    status: int
    headers: connection.Headers
    request_id: str
    not_run: bool
    proved: bool = False
    retry_after_s: float | None = None
    load: announcement.Load | None = None
    rate_limit: RateLimit = NoRateLimit()
    leaving: bool = False


class Dialect(Protocol):
    """The protocol of the platform's upstreams.

    Attributes:
      event_fields: Names of numeric fields that may begin an event of a
        stream.
    """

    event_fields: Sequence[bytes]

    def request(
        self,
        request: call.Call,
        to: announcement.Announcement,
        *,
        remaining_s: float,
        resume_after: int | None,
    ) -> connection.Request:
        """Translate a caller's request for an upstream."""
        ...

    def answer(self, head: connection.Head) -> AnswerHead:
        """Translate the head of an upstream's answer."""
        ...


class Surface(Protocol):
    """The protocol of the platform's callers.

    Attributes:
      ready_path: Path of the readiness checks of the balancer in front.
    """

    ready_path: bytes

    def call(self, request: Any, now: float) -> call.Call:
        """Parse a caller's request; CodedError if it is malformed."""
        ...

    def refuse(
        self, request: Any, problem: error.CodedError, *, request_id: str
    ) -> None:
        """Answer a request with an error."""
        ...


class Adapter(NamedTuple):
    """The interfaces of one platform that an entry uses."""

    source: Source
    roster: Roster
    dialect: Dialect
    surface: Surface


class AgentAdapter(NamedTuple):
    """The interfaces of one platform that the agent of a rank uses.

    Attributes:
      port_for: Returns the port to the rank at an "ip:port".
      roster: The platform's list of upstreams.
      engines: Engine limits set by the operators.
      lease_for: Returns the lease on the layout of a group, by its name.
    """

    port_for: Callable[[str], RankPort]
    roster: Roster
    engines: Engines
    lease_for: Callable[[str], Lease]


class AdapterFactory(Protocol):
    """Creates the adapter for entries; a function of a platform's package."""

    def __call__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        settings: settings.Settings,
        connections: pool.Pool,
    ) -> Adapter:
        """Create the adapter."""
        ...


class AgentAdapterFactory(Protocol):
    """Creates the adapter for agents; a function of a platform's package."""

    def __call__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        settings: settings.Settings,
        connections: pool.Pool,
    ) -> AgentAdapter:
        """Create the adapter."""
        ...
