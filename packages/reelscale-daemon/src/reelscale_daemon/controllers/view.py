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
      local_in_flight: Requests of this entry in progress there.
      breaker: Its circuit breaker.
      load: What its newest answer told of its load.
      load_at: Monotonic seconds at which that came.
      local_at_report: Requests of this entry in progress there at that time.
      remote_at_report: Those of other entries at that time.
      refused_at: Monotonic seconds at which it last refused a request.
      gone: Whether it is no longer listed.
      tie_breaker: Settles ties between upstreams, for this entry alone.
    """

    upstream: announcement.Announcement
    local_in_flight: int = 0
    breaker: circuit.Circuit = circuit.CLOSED
    load: announcement.Load | None = None
    load_at: float = float("-inf")
    local_at_report: int = 0
    remote_at_report: int = 0
    refused_at: float = float("-inf")
    gone: bool = False
    tie_breaker: int = 0

    def serves(self, target: str) -> bool:
        """Tell whether it may get new work of a target."""
        own = self.upstream
        return own.target == target and not own.leaving and not self.gone

    def candidate(
        self,
        now: float,
        *,
        remote_in_flight: int,
        waiting: int,
        avoided: bool = False,
        group: str = "",
    ) -> routing.Candidate:
        """Return what routing looks at.

        Args:
          now: Monotonic seconds.
          remote_in_flight: Requests that other entries have there.
          waiting: Requests that may wait there.
          avoided: Whether it wants no request now, as it said itself.
          group: The group of ranks that it is in, "" while not known.
        """
        up = self.upstream
        expected = max(
            self.local_in_flight + remote_in_flight,
            self._reported(now, remote_in_flight),
        )
        room = up.slots + waiting - expected
        return routing.Candidate(
            name=up.name,
            hall=up.hall,
            slots=self.local_in_flight + max(0, room),
            until=float("inf"),
            local_in_flight=self.local_in_flight,
            local_reported=self.local_in_flight,
            running=min(expected, up.slots),
            queued=max(0, expected - up.slots),
            capacity=up.slots,
            step_ms=SLOT_MS,
            reported_at=now,
            allowed=not avoided and circuit.allows(self.breaker, now),
            refused=now - self.refused_at < REFUSED_S,
            tie_breaker=self.tie_breaker,
            start=up.start.key,
            group=group,
        )

    def record_load(
        self, load: announcement.Load, now: float, *, remote_in_flight: int
    ) -> None:
        """Take what an answer told of its load.

        Args:
          load: What it told.
          now: Monotonic seconds.
          remote_in_flight: Requests that other entries have there.
        """
        self.load = load
        self.load_at = now
        self.local_at_report = self.local_in_flight
        self.remote_at_report = remote_in_flight

    def _reported(self, now: float, remote_in_flight: int) -> int:
        """Return what its newest answer says it has, and what came since.

        It may have more than the entries know of: requests of one that has
        just died, or that a caller has left.
        """
        if self.load is None or now - self.load_at > LOAD_FRESH_S:
            return 0
        then = self.local_at_report + self.remote_at_report
        since = self.local_in_flight + remote_in_flight - then
        return self.load.running + self.load.waiting + since
