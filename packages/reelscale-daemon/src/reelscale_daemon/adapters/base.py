"""What an entry needs of the surroundings it runs in, as interfaces.

An adapter translates between these and the protocols of one platform.
Decisions, state and recovery stay on this side.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
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
    """What a read of the log gave.

    Attributes:
      rows: (offset, data) pairs in offset order.
      oldest: Lowest offset that is needed and that the log still keeps.
      head: Offset that the next record will get.
    """

    rows: list[tuple[int, Any]]
    oldest: int
    head: int


class Source(Protocol):
    """The log that the configuration is folded from."""

    async def read(self, from_offset: int, *, wait_s: float) -> Rows:
        """Read records, waiting for the first; CodedError "log-down"."""
        ...

    async def append(self, records: list[dict[str, Any]]) -> int:
        """Append records; return the offset of the first."""
        ...


class RosterPage(NamedTuple):
    """A part of the list of upstreams.

    Attributes:
      items: What has changed, in order.
      next_offset: Where to read on.
      whole: Whether items are all there is, so that others are gone.
    """

    items: list[announcement.Item]
    next_offset: int
    complete: bool = False


class Roster(Protocol):
    """The platform's list of upstreams."""

    async def read(self, from_offset: int, *, wait_s: float) -> RosterPage:
        """Read changes from an offset on; CodedError "log-down"."""
        ...


class RankPort(Protocol):
    """A rank, near or far; its errors are CodedError "rank-lost"."""

    async def report(self) -> rank.Rank:
        """Return what the rank reports now."""
        ...

    async def counted(self) -> demand.Counters:
        """Return how often its requests have chosen each expert."""
        ...

    async def experts(self) -> tuple[tuple[int, ...], ...]:
        """Return the experts that it holds, by set of layers."""
        ...

    async def order(
        self, order: rank.Order, *, fence: int, epoch: int
    ) -> rank.Outcome:
        """Give it an order, void in another epoch; this does not raise."""
        ...


class EngineLimits(NamedTuple):
    """What the engine of a group allows.

    Attributes:
      experts: Experts in each set of layers.
      places: Experts of a set that a rank holds at most.
      spare: Experts of a set that a rank may load in one change.
      expert_mb: Size of an expert, in megabytes, 0 if that is not known.
      link_mbps: What a rank loads experts with, in megabits a second, 0 if
        that is not known.
    """

    experts: int
    places: int
    spare: int
    expert_mb: float = 0.0
    link_mbps: float = 0.0

    @property
    def load_s(self) -> float:
        """What loading one expert takes a rank, in seconds, 0 if unknown."""
        if self.expert_mb <= 0 or self.link_mbps <= 0:
            return 0.0
        return self.expert_mb * 8 / self.link_mbps


class Engines(Protocol):
    """What the operators say of engines."""

    async def limits(self, target: str) -> EngineLimits | None:
        """Return those of a group, if there are; CodedError "log-down"."""
        ...


class Lease(Protocol):
    """The right to change the layout of one group; CodedError "log-down"."""

    async def renew(self) -> bool:
        """Ask for the lease, or to keep it; tell whether it is held."""
        ...

    async def draw_fence(self) -> int:
        """Return a number above all that were drawn for this target."""
        ...

    async def leave(self) -> None:
        """Give it up."""
        ...


class RequestsPerSecond(NamedTuple):
    """An upstream takes this many requests a second of all entries."""

    per_s: float


class NoRateLimit(NamedTuple):
    """An upstream states no limit: one that it had is over."""


class UnreadableRateLimit(NamedTuple):
    """What an upstream states as its limit is no number."""

    text: str


RateLimit = RequestsPerSecond | NoRateLimit | UnreadableRateLimit


def read_rate_limit(stated: bytes | None) -> RateLimit:
    """Return the limit that an answer states, if it states any."""
    if stated is None:
        return NoRateLimit()
    text = stated.decode("latin-1")
    per_s = number.decimal(text)
    if per_s is None:
        return UnreadableRateLimit(text)
    return RequestsPerSecond(per_s)


def read_retry_after(stated: bytes | None) -> float | None:
    """Return the seconds that a Retry-After states, if it states any."""
    if stated is None:
        return None
    text = stated.decode("latin-1")
    seconds = backoff.parse_retry_after(text)
    if seconds is None:
        LOG.warning("A Retry-After cannot be read.", text=text[:40])
    return seconds


class AnswerHead(NamedTuple):
    """The head of an upstream's answer, in our terms.

    Attributes:
      status: HTTP status.
      headers: Those that go on to the caller.
      request_id: Id of the request that it answers, "" if not told.
      not_run: Whether the upstream states that it did not run it.
      retry_after_s: When the upstream asks to be tried again, if it does.
      load: How busy the upstream is, if it told.
      rate_limit: How many requests a second it takes.
      leaving: Whether it says that it is about to end.
    """

    status: int
    headers: connection.Headers
    request_id: str
    not_run: bool
    retry_after_s: float | None = None
    load: announcement.Load | None = None
    rate_limit: RateLimit = NoRateLimit()
    leaving: bool = False


class Dialect(Protocol):
    """What upstreams speak."""

    def request(
        self,
        request: call.Call,
        to: announcement.Announcement,
        *,
        remaining_s: float,
        resume_after: int | None,
    ) -> connection.Request:
        """Return a caller's request as one upstream takes it."""
        ...

    def answer(self, head: connection.Head) -> AnswerHead:
        """Read the head of an upstream's answer."""
        ...


class Surface(Protocol):
    """What callers speak.

    Attributes:
      ready_path: Path at which the balancer in front asks for readiness.
    """

    ready_path: bytes

    def call(self, request: Any, now: float) -> call.Call:
        """Read a caller's request; CodedError if it is none."""
        ...

    def refuse(
        self, request: Any, problem: error.CodedError, *, request_id: str
    ) -> None:
        """Answer a request with an error, now."""
        ...


class Adapter(NamedTuple):
    """All that an entry needs of one platform."""

    source: Source
    roster: Roster
    dialect: Dialect
    surface: Surface


class AgentAdapter(NamedTuple):
    """All that the agent of a rank needs of one platform.

    Attributes:
      port_to: Gives the rank at an "ip:port", the own one or another's.
      roster: The platform's list.
      engines: What the operators say of engines.
      lease_on: Gives the right to change the layout of a group, by its name.
    """

    port_for: Callable[[str], RankPort]
    roster: Roster
    engines: Engines
    lease_for: Callable[[str], Lease]


class AdapterFactory(Protocol):
    """Makes the adapter of a platform; a function of its package."""

    def __call__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        settings: settings.Settings,
        connections: pool.Pool,
    ) -> Adapter:
        """Make the adapter."""
        ...


class AgentAdapterFactory(Protocol):
    """Makes what an agent needs; a function of the platform's package."""

    def __call__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        settings: settings.Settings,
        connections: pool.Pool,
    ) -> AgentAdapter:
        """Make the adapter."""
        ...
