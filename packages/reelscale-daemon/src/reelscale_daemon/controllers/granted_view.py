"""What an entry knows of one upstream by the heartbeats of its agent."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from collections.abc import Sequence

from reelscale_core import circuit, model, routing
from reelscale_wire.gen import ttypes
from twisted.internet import defer

# An upstream that this entry has used this recently keeps its grant fresh;
# others are asked for one when a request comes, and now and then besides.
WARM_S = 5.0
IDLE_EVERY_S = 20.0
# Monotonic seconds of what has not happened.
NEVER = float("-inf")


@dataclasses.dataclass(kw_only=True)
class View:
    """An upstream as this entry sees it.

    Attributes:
      upstream: Its configuration.
      pulse: The newest answer of its agent.
      heard_at: Monotonic seconds just before that answer was asked for, or
        NEVER if its grant no longer counts.
      local_in_flight: Requests of this entry in progress there.
      local_reported: Those in progress when the pulse was asked for.
      breaker: Its circuit breaker.
      used_at: Monotonic seconds at which a request last wanted it.
      asked_at: Monotonic seconds of the last heartbeat sent.
      beating: The heartbeat in progress, if any.
      tie_breaker: Settles ties between upstreams, for this entry alone.
      expert_load: Recent tokens of each expert, as last asked for.
    """

    upstream: model.Upstream
    pulse: ttypes.Pulse | None = None
    heard_at: float = NEVER
    local_in_flight: int = 0
    local_reported: int = 0
    breaker: circuit.Circuit = circuit.CLOSED
    used_at: float = NEVER
    asked_at: float = NEVER
    beating: defer.Deferred | None = None
    tie_breaker: int = 0
    expert_load: Sequence[int] = ()

    def due(self, now: float) -> bool:
        """Tell whether it is time for a heartbeat."""
        warm = self.local_in_flight > 0 or now - self.used_at < WARM_S
        return warm or now - self.asked_at >= IDLE_EVERY_S

    def candidate(self, now: float) -> routing.Candidate:
        """Return what routing looks at."""
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
        lapse_s = pulse.grant.lapse_ms / 1000
        return routing.Candidate(
            name=name,
            hall=hall,
            slots=pulse.grant.slots,
            until=self.heard_at + lapse_s,
            local_in_flight=self.local_in_flight,
            local_reported=self.local_reported,
            running=pulse.running,
            queued=pulse.queued,
            capacity=pulse.capacity,
            step_ms=pulse.step_ms,
            reported_at=self.heard_at,
            allowed=circuit.allows(self.breaker, now)
            and pulse.healthy
            and not pulse.leaving,
            tie_breaker=self.tie_breaker,
        )
