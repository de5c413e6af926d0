"""The view that an entry has of one upstream, by its agent's heartbeats."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from collections.abc import Sequence

from reelscale_core import circuit, model, routing
from reelscale_wire.gen import ttypes
from twisted.internet import defer

# Upstreams used within this many seconds get heartbeats continuously; others
# on demand and at IDLE_INTERVAL_S.
ACTIVE_S = 5.0
IDLE_INTERVAL_S = 20.0
# Monotonic time of an event that has not occurred.
NEVER = float("-inf")


@dataclasses.dataclass(kw_only=True)
class View:
    """An upstream as this entry sees it.

    Attributes:
      upstream: Its configuration.
      pulse: The newest heartbeat reply of its agent.
      granted_at: Monotonic seconds just before that heartbeat was sent, or
        NEVER if its grant is void.
      local_in_flight: Requests of this entry in progress there.
      local_reported: Those in progress when that heartbeat was sent.
      breaker: Its circuit breaker.
      used_at: Monotonic seconds at which a request last needed its target.
      heartbeat_at: Monotonic seconds at which a heartbeat was last sent.
      pending_heartbeat: The heartbeat in progress, if any.
      tie_breaker: Breaks ties between upstreams, differently at each entry.
      expert_load: Recent tokens of each expert, as last requested.
    """

    upstream: model.Upstream
    pulse: ttypes.Pulse | None = None
    granted_at: float = NEVER
    local_in_flight: int = 0
    local_reported: int = 0
    breaker: circuit.Circuit = circuit.CLOSED
    used_at: float = NEVER
    heartbeat_at: float = NEVER
    pending_heartbeat: defer.Deferred | None = None
    tie_breaker: int = 0
    expert_load: Sequence[int] = ()

    def due(self, now: float) -> bool:
        """Return whether a heartbeat is due."""
        active = self.local_in_flight > 0 or now - self.used_at < ACTIVE_S
        return active or now - self.heartbeat_at >= IDLE_INTERVAL_S

    def candidate(self, now: float) -> routing.Candidate:
        """Return the upstream as a candidate for routing."""
        pulse = self.pulse
        name, hall = self.upstream.name, self.upstream.hall
        if pulse is None:
            return routing.Candidate(
                name,
                hall,
                0,
                0.0,
                self.local_in_flight,
                0,
                0,
                0,
                0,
                0.0,
                0.0,
                False,
            )
        expiry_s = pulse.grant.lapse_ms / 1000
        return routing.Candidate(
            name=name,
            hall=hall,
            slots=pulse.grant.slots,
            until=self.granted_at + expiry_s,
            local_in_flight=self.local_in_flight,
            local_reported=self.local_reported,
            running=pulse.running,
            queued=pulse.queued,
            capacity=pulse.capacity,
            step_ms=pulse.step_ms,
            reported_at=self.granted_at,
            allowed=circuit.allows(self.breaker, now)
            and pulse.healthy
            and not pulse.leaving,
            tie_breaker=self.tie_breaker,
        )
