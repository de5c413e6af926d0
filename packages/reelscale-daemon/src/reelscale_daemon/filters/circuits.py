"""Applies what happens to requests to the circuits of their upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any, Protocol

from reelscale_core import circuit, clock

from .. import logs
from . import call

LOG = logs.Logger("circuits")
# The reactor's timers follow another clock than the circuits.
TIMER_MARGIN_S = 0.01


class View(Protocol):
    """State of an upstream at this entry.

    Attributes:
      breaker: Its circuit breaker.
    """

    breaker: circuit.Circuit


class Circuits:
    """The transitions of the circuits, each with a line in the log."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        on_probe_due: Callable[[], None],
    ) -> None:
        """Initialize without open circuits.

        Args:
          reactor: The reactor.
          clock: The clock.
          on_probe_due: Called once a circuit may be probed, so that queued
            requests are retried.
        """
        self._reactor = reactor
        self._clock = clock
        self._on_probe_due = on_probe_due

    def record_sent(self, request: call.Call, view: View) -> None:
        """Record a request to an upstream, possibly the probe of a circuit."""
        view.breaker = circuit.sent(view.breaker)
        request.probe = None
        if view.breaker.probing:
            request.probe = view.breaker.open_until
            LOG.info(
                "A request probes an upstream.",
                upstream=request.choice.name,
                request=request.id,
            )

    def record_end(self, request: call.Call, view: View) -> None:
        """End the probe that a request was, unless its outcome has done so."""
        probe, request.probe = request.probe, None
        if probe is None:
            return
        before, now = view.breaker, self._clock.monotonic()
        view.breaker = circuit.abandoned(before, probe, now)
        if view.breaker is not before:
            self._schedule_probe(view, now)
            LOG.info(
                "A probe ended without a verdict.",
                request=request.id,
                next_s=circuit.INITIAL_OPEN_S,
            )

    def record_success(self, name: str, view: View) -> None:
        """Close the circuit of an upstream."""
        if view.breaker.open_s:
            LOG.info("A circuit closed.", upstream=name)
        view.breaker = circuit.succeeded(view.breaker)

    def record_failure(self, name: str, view: View) -> None:
        """Count a failure against the circuit of an upstream."""
        before, now = view.breaker, self._clock.monotonic()
        view.breaker = circuit.failed(before, now)
        if view.breaker.open_until != before.open_until:
            self._schedule_probe(view, now)
            LOG.warning(
                "A circuit opened.",
                upstream=name,
                failures=view.breaker.failures,
                open_s=view.breaker.open_s,
                probe_failed=before.probing,
            )

    def _schedule_probe(self, view: View, now: float) -> None:
        """Have queued requests retried when the circuit may be probed."""
        pause_s = view.breaker.open_until - now + TIMER_MARGIN_S
        self._reactor.callLater(pause_s, self._on_probe_due)
