"""Loops that continue after an unexpected error.

A loop that ended on such an error would leave its process serving stale data
without any sign of it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
from collections.abc import Awaitable, Callable
from typing import Any

from reelscale_core import clock, error
from twisted.internet import defer, task
from twisted.python import failure

from .. import logs

LOG = logs.Logger("loop")
# Pause after an unexpected error, in seconds; it doubles with each consecutive
# error up to MAX_FAULT_PAUSE_S.
FAULT_PAUSE_S = 0.25
MAX_FAULT_PAUSE_S = 5.0
# A loop that has had only unexpected errors for this long, in seconds, makes
# its process not ready: the loops of other processes may still succeed.
STUCK_S = 10.0
# Characters of the traceback's end that are logged.
MAX_TRACEBACK_LENGTH = 1500


class Progress:
    """The progress of a loop.

    Attributes:
      name: Name of the loop in logs and metrics.
      faults: Number of rounds that ended in an unexpected error.
    """

    def __init__(self, *, name: str, clock: clock.Clock) -> None:
        self.name = name
        self.faults = 0
        self._clock = clock
        self._consecutive_faults = 0
        self._faulty_since: float | None = None
        self._succeeded_at = clock.monotonic()

    @property
    def success_age_s(self) -> float:
        """Return the seconds since the last success, or since the start."""
        return self._clock.monotonic() - self._succeeded_at

    @property
    def stuck(self) -> bool:
        """Whether there were only unexpected errors for STUCK_S."""
        since = self._faulty_since
        return since is not None and self._clock.monotonic() - since > STUCK_S

    def record_success(self) -> None:
        """Record a successful round."""
        self._succeeded_at = self._clock.monotonic()
        self.record_expected_failure()

    def record_expected_failure(self) -> None:
        """Record a round that failed with an expected error."""
        if self._consecutive_faults:
            LOG.info("A loop recovered.", loop=self.name, faults=self.faults)
        self._consecutive_faults = 0
        self._faulty_since = None

    def record_fault(self, fault: failure.Failure) -> None:
        """Record an unexpected error; log it at each power of two in a row."""
        self.faults += 1
        self._consecutive_faults += 1
        if self._faulty_since is None:
            self._faulty_since = self._clock.monotonic()
        if self._consecutive_faults & (self._consecutive_faults - 1) == 0:
            LOG.error(
                "Unexpected error in a loop; it continues.",
                loop=self.name,
                in_a_row=self._consecutive_faults,
                reason=fault.getTraceback()[-MAX_TRACEBACK_LENGTH:],
            )


class Follower:
    """A loop whose rounds return the pause before the next one.

    Attributes:
      progress: The progress of the loop.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        name: str,
        work: Callable[[], Awaitable[float]],
        on_down: Callable[[error.CodedError], Awaitable[float]],
        is_running: Callable[[], bool],
    ) -> None:
        """Create the loop; run() starts it.

        Args:
          reactor: The Twisted reactor.
          clock: The time.
          name: Name of the loop in logs and metrics.
          work: Runs one round; returns the seconds until the next.
          on_down: Handles an expected error; returns the same.
          is_running: Returns whether to run another round.
        """
        self.progress = Progress(name=name, clock=clock)
        self._reactor = reactor
        self._work = work
        self._on_down = on_down
        self._is_running = is_running
        self._pause_s = FAULT_PAUSE_S
        self._waiting: defer.Deferred | None = None

    async def run(self) -> None:
        """Run rounds while is_running() returns true."""
        while self._is_running():
            await self._pause(await self._round())

    def wake(self) -> None:
        """Begin the next round now instead of at the end of the pause."""
        if self._waiting is not None:
            self._waiting.cancel()

    async def _round(self) -> float:
        """Run one round; return the seconds until the next."""
        try:
            pause_s = await self._work_or_handle_down()
        except Exception:
            # The loop must continue after any error.
            self.progress.record_fault(failure.Failure())
            return self._fault_pause_s()
        self._pause_s = FAULT_PAUSE_S
        return pause_s

    async def _work_or_handle_down(self) -> float:
        """Run one round; handle an expected error."""
        try:
            pause_s = await self._work()
        except error.CodedError as down:
            pause_s = await self._on_down(down)
            self.progress.record_expected_failure()
            return pause_s
        self.progress.record_success()
        return pause_s

    def _fault_pause_s(self) -> float:
        """Return the pause after an unexpected error; it grows."""
        pause_s = self._pause_s * (1 + random.random())
        self._pause_s = min(2 * self._pause_s, MAX_FAULT_PAUSE_S)
        return pause_s

    async def _pause(self, pause_s: float) -> None:
        """Wait for the pause, or until woken."""
        self._waiting = task.deferLater(self._reactor, pause_s)
        try:
            await self._waiting
        except defer.CancelledError:
            # wake() ends the pause early.
            pass
        self._waiting = None


class Timer:
    """Calls a function at a fixed interval, also after errors.

    Attributes:
      progress: The progress of the calls.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        name: str,
        function: Callable[[], Any],
    ) -> None:
        self.progress = Progress(name=name, clock=clock)
        self._function = function
        self._loop = task.LoopingCall(self._call)
        self._loop.clock = reactor

    def start(self, every_s: float) -> None:
        """Call the function now and every `every_s` seconds."""
        self._loop.start(every_s)

    def stop(self) -> None:
        """Stop calling the function."""
        if self._loop.running:
            self._loop.stop()

    def _call(self) -> defer.Deferred:
        """Call the function; await its result if it is asynchronous."""
        done = defer.maybeDeferred(self._function)
        return done.addCallbacks(
            self._record_success, self.progress.record_fault
        )

    def _record_success(self, _: Any) -> None:
        self.progress.record_success()
