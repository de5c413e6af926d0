"""What an entry knows of one upstream that announces itself.

How busy it is follows from three sources: what this entry has sent there,
what other entries tell that they have sent, and what it says in its answers.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses

from reelscale_core import announcement, circuit, routing

# What an upstream told of its load counts for this long, in seconds; a
# request of a stream takes about that.
LOAD_FRESH_S = 1.0
# An upstream that refused a request is asked after others for this long, in
# seconds; a slot of a busy group is free again within about that.
REFUSED_S = 0.5
# What a whole slot's load more weighs, in milliseconds, beside distance.
SLOT_MS = 40.0


@dataclasses.dataclass(kw_only=True)
class View:
    """An upstream as this entry sees it.

    Attributes:
      upstream: What it announced.
      own: Requests of this entry in progress there.
      breaker: Its circuit breaker.
      load: What its newest answer told of its load.
      load_at: Monotonic seconds at which that came.
      own_then: Requests of this entry in progress there at that time.
      others_then: Those of other entries at that time.
      refused_at: Monotonic seconds at which it last refused a request.
      gone: Whether it is no longer listed.
      tie: Settles ties between upstreams, for this entry alone.
    """

    upstream: announcement.Announcement
    own: int = 0
    breaker: circuit.Circuit = circuit.CLOSED
    load: announcement.Load | None = None
    load_at: float = float("-inf")
    own_then: int = 0
    others_then: int = 0
    refused_at: float = float("-inf")
    gone: bool = False
    tie: int = 0

    def serves(self, target: str) -> bool:
        """Tell whether it may get new work of a target."""
        own = self.upstream
        return own.target == target and not own.leaving and not self.gone

    def candidate(
        self,
        now: float,
        *,
        others: int,
        waiting: int,
        unwanted: bool = False,
        group: str = "",
    ) -> routing.Candidate:
        """Return what routing looks at.

        Args:
          now: Monotonic seconds.
          others: Requests that other entries have there.
          waiting: Requests that may wait there.
          unwanted: Whether it wants no request now, as it said itself.
          group: The group of ranks that it is in, "" while not known.
        """
        up = self.upstream
        expected = max(self.own + others, self._reported(now, others))
        room = up.slots + waiting - expected
        return routing.Candidate(
            name=up.name,
            hall=up.hall,
            slots=self.own + max(0, room),
            until=float("inf"),
            own=self.own,
            own_reported=self.own,
            running=min(expected, up.slots),
            queued=max(0, expected - up.slots),
            capacity=up.slots,
            step_ms=SLOT_MS,
            reported_at=now,
            allowed=not unwanted and circuit.allows(self.breaker, now),
            refused=now - self.refused_at < REFUSED_S,
            tie=self.tie,
            start=up.start.key,
            group=group,
        )

    def note_load(
        self, load: announcement.Load, now: float, *, others: int
    ) -> None:
        """Take what an answer told of its load.

        Args:
          load: What it told.
          now: Monotonic seconds.
          others: Requests that other entries have there.
        """
        self.load = load
        self.load_at = now
        self.own_then = self.own
        self.others_then = others

    def _reported(self, now: float, others: int) -> int:
        """Return what its newest answer says it has, and what came since.

        It may have more than the entries know of: requests of one that has
        just died, or that a caller has left.
        """
        if self.load is None or now - self.load_at > LOAD_FRESH_S:
            return 0
        then = self.own_then + self.others_then
        since = self.own + others - then
        return self.load.running + self.load.waiting + since
