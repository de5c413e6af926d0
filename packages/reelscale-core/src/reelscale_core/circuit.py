"""A circuit breaker for each upstream, as a pure state machine."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

FAILURES_TO_OPEN = 5
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0


class Circuit(NamedTuple):
    """State of one circuit.

    Attributes:
      failures: Failures in a row.
      open_until: Monotonic seconds until which nothing is sent.
      open_s: How long it was opened last, 0 when closed.
      probing: Whether the one trial after opening is in progress.
    """

    failures: int = 0
    open_until: float = 0.0
    open_s: float = 0.0
    probing: bool = False


CLOSED = Circuit()


def allows(circuit: Circuit, now: float) -> bool:
    """Tell whether a request may be sent now."""
    if circuit.open_s == 0:
        return True
    return now >= circuit.open_until and not circuit.probing


def sent(circuit: Circuit) -> Circuit:
    """Note that a request was sent; on an open circuit, the trial."""
    return circuit._replace(probing=circuit.open_s > 0)


def succeeded(_circuit: Circuit) -> Circuit:
    """Note a success: the circuit closes."""
    return CLOSED


def failed(circuit: Circuit, now: float) -> Circuit:
    """Note a failure; opens after several, longer after each trial.

    On an open circuit only the trial counts.  What was sent before it opened
    is lost together with that, and says nothing of the time since: ten
    requests lost at once would keep an upstream out for 30 s in place of 1.
    """
    if circuit.open_s and not circuit.probing:
        return circuit
    failures = circuit.failures + 1
    if not circuit.open_s and failures < FAILURES_TO_OPEN:
        return Circuit(failures=failures)
    open_s = min(max(INITIAL_OPEN_S, 2 * circuit.open_s), MAX_OPEN_S)
    return Circuit(failures, now + open_s, open_s)
