"""Circuit breaker of an upstream, as a pure state machine."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

FAILURES_TO_OPEN = 5
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0


class Circuit(NamedTuple):
    """State of a circuit breaker.

    Attributes:
      failures: Consecutive failures.
      open_until: Monotonic time of the next probe, in seconds; identifies the
        probe in progress.
      open_s: Last open interval in seconds, 0 if closed.
      probing: Whether a half-open probe is in progress.
    """

    failures: int = 0
    open_until: float = 0.0
    open_s: float = 0.0
    probing: bool = False


CLOSED = Circuit()


def allows(circuit: Circuit, now: float) -> bool:
    """Return whether a request may be sent now."""
    if circuit.open_s == 0:
        return True
    return now >= circuit.open_until and not circuit.probing


def sent(circuit: Circuit) -> Circuit:
    """Record a sent request; on an open circuit it is the probe."""
    return circuit._replace(probing=circuit.open_s > 0)


def succeeded(_circuit: Circuit) -> Circuit:
    """Record a success, which closes the circuit."""
    return CLOSED


def failed(circuit: Circuit, now: float) -> Circuit:
    """Record a failure; the open interval doubles with each failed probe.

    On an open circuit only the probe counts: requests sent before it opened
    fail from the same cause and must not extend the interval.
    """
    if circuit.open_s and not circuit.probing:
        return circuit
    failures = circuit.failures + 1
    if not circuit.open_s and failures < FAILURES_TO_OPEN:
        return Circuit(failures=failures)
    open_s = min(max(INITIAL_OPEN_S, 2 * circuit.open_s), MAX_OPEN_S)
    return Circuit(failures, now + open_s, open_s)


def abandoned(circuit: Circuit, probe: float, now: float) -> Circuit:
    """Record that a probe ended without a success or a failure.

    It was refused, its caller left or its deadline passed, which says nothing
    of the upstream.  The next probe follows after the initial interval.

    Args:
      circuit: The circuit.
      probe: Its open_until when the probe was sent; a later probe is not
        ended.
      now: Monotonic time in seconds.
    """
    if not circuit.probing or circuit.open_until != probe:
        return circuit
    return circuit._replace(open_until=now + INITIAL_OPEN_S, probing=False)
