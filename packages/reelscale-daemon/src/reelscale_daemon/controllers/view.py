"""The view that an entry has of one upstream that announces itself.

Its load is estimated from three sources: the requests of this entry, those
reported by other entries, and the load reported in its answers.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses

from reelscale_core import announcement, circuit, routing

# Seconds after which a reported load is ignored; a request of a stream takes
# about that long.
LOAD_EXPIRY_S = 1.0
# Seconds for which an upstream ranks behind others after it refused a request;
# a slot of a busy group is free again within about that time.
REFUSAL_PENALTY_S = 0.5
# Cost of one more request in progress, in milliseconds of network distance.
SLOT_COST_MS = 40.0


@dataclasses.dataclass(kw_only=True)
class View:
    """An upstream as this entry sees it.

    Attributes:
      upstream: Its announcement.
      local_in_flight: Requests of this entry in progress there.
      breaker: Its circuit breaker.
      load: Load reported in its newest answer.
      load_at: Monotonic seconds at which that was received.
      local_at_report: Requests of this entry in progress there at that time.
      remote_at_report: Those of other entries at that time.
      refused_at: Monotonic seconds at which it last refused a request.
      gone: Whether it is no longer listed.
      tie_breaker: Breaks ties between upstreams, differently at each entry.
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
        """Return whether it accepts new requests for a target."""
        up = self.upstream
        return up.target == target and not up.leaving and not self.gone

    def candidate(
        self,
        now: float,
        *,
        remote_in_flight: int,
        waiting: int,
        avoided: bool = False,
        group: str = "",
    ) -> routing.Candidate:
        """Return the upstream as a candidate for routing.

        Args:
          now: Monotonic seconds.
          remote_in_flight: Requests of other entries in progress there.
          waiting: Requests that may queue there.
          avoided: Whether it requested a backoff or is at its rate limit.
          group: Its group of ranks, "" while unknown.
        """
        up = self.upstream
        expected = max(
            self.local_in_flight + remote_in_flight,
            self._reported(now, remote_in_flight),
        )
        free = up.slots + waiting - expected
        return routing.Candidate(
            name=up.name,
            hall=up.hall,
            slots=self.local_in_flight + max(0, free),
            until=float("inf"),
            local_in_flight=self.local_in_flight,
            local_reported=self.local_in_flight,
            running=min(expected, up.slots),
            queued=max(0, expected - up.slots),
            capacity=up.slots,
            step_ms=SLOT_COST_MS,
            reported_at=now,
            allowed=not avoided and circuit.allows(self.breaker, now),
            refused=now - self.refused_at < REFUSAL_PENALTY_S,
            tie_breaker=self.tie_breaker,
            start=up.start.key,
            group=group,
        )

    def record_load(
        self, load: announcement.Load, now: float, *, remote_in_flight: int
    ) -> None:
        """Record the load reported in an answer.

        Args:
          load: The reported load.
          now: Monotonic seconds.
          remote_in_flight: Requests of other entries in progress there.
        """
        self.load = load
        self.load_at = now
        self.local_at_report = self.local_in_flight
        self.remote_at_report = remote_in_flight

    def _reported(self, now: float, remote_in_flight: int) -> int:
        """Return the load of its newest answer plus requests sent since.

        It may exceed the counts of all entries: an entry may have just died,
        or a caller disconnected.
        """
        if self.load is None or now - self.load_at > LOAD_EXPIRY_S:
            return 0
        then = self.local_at_report + self.remote_at_report
        since = self.local_in_flight + remote_in_flight - then
        return self.load.running + self.load.waiting + since
