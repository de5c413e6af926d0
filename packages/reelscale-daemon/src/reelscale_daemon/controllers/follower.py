"""Loops that go on whatever becomes of one round.

What follows something (the list, the configuration, a group) must go on when
a round ends in an error that nobody foresaw: a loop that ends serves on what
it knew last for ever, and nothing tells.
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
# The pause after an unforeseen error, in seconds; it doubles with each in a
# row up to the most, so that one that has gone is over soon.
FAULT_PAUSE_S = 0.25
FAULT_PAUSE_MOST_S = 5.0
# A loop in which nothing but unforeseen errors came for so long, in seconds,
# makes its process not ready: those of others may still succeed, and some
# rounds in a row are no chance.
STUCK_S = 10.0
# A line tells the end of the traceback, in characters; it fits a log line.
CAUSE_LENGTH = 1500


class Progress:
    """How a loop gets on.

    Attributes:
      name: What it follows, for logs and metrics.
      faults: Rounds that ended in an unforeseen error, since the start.
    """

    def __init__(self, *, name: str, clock: clock.Clock) -> None:
        self.name = name
        self.faults = 0
        self._clock = clock
        self._in_a_row = 0
        self._faulty_since: float | None = None
        self._succeeded_at = clock.monotonic()

    @property
    def success_age_s(self) -> float:
        """Return the seconds since a round succeeded, or since the start."""
        return self._clock.monotonic() - self._succeeded_at

    @property
    def stuck(self) -> bool:
        """Whether nothing but unforeseen errors came for too long."""
        since = self._faulty_since
        return since is not None and self._clock.monotonic() - since > STUCK_S

    def note_success(self) -> None:
        """Note a round that did its work."""
        self._succeeded_at = self._clock.monotonic()
        self.note_foreseen()

    def note_foreseen(self) -> None:
        """Note a round that came to nothing for a reason that is foreseen."""
        if self._in_a_row:
            LOG.info("A loop works again.", loop=self.name, faults=self.faults)
        self._in_a_row = 0
        self._faulty_since = None

    def note_fault(self, fault: failure.Failure) -> None:
        """Note an unforeseen error, in a line for each power of two."""
        self.faults += 1
        self._in_a_row += 1
        if self._faulty_since is None:
            self._faulty_since = self._clock.monotonic()
        if self._in_a_row & (self._in_a_row - 1) == 0:
            LOG.error(
                "A loop had an error that nobody foresaw; it goes on.",
                loop=self.name,
                in_a_row=self._in_a_row,
                reason=fault.getTraceback()[-CAUSE_LENGTH:],
            )


class Follower:
    """A loop whose rounds say themselves how long to wait.

    Attributes:
      progress: How it gets on.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        name: str,
        work: Callable[[], Awaitable[float]],
        on_down: Callable[[error.CodedError], Awaitable[float]],
        going: Callable[[], bool],
    ) -> None:
        """Make it; run() does the work.

        Args:
          reactor: The loop of the process.
          clock: The time.
          name: What it follows.
          work: Does one round; returns the seconds until the next.
          on_down: Told of an error that is foreseen; returns the same.
          going: Whether there is to be another round.
        """
        self.progress = Progress(name=name, clock=clock)
        self._reactor = reactor
        self._work = work
        self._on_down = on_down
        self._going = going
        self._pause_s = FAULT_PAUSE_S
        self._waiting: defer.Deferred | None = None

    async def run(self) -> None:
        """Do rounds while there are to be any."""
        while self._going():
            await self._pause(await self._round())

    def wake(self) -> None:
        """Begin the next round now, if it is being waited for."""
        if self._waiting is not None:
            self._waiting.cancel()

    async def _round(self) -> float:
        """Do one round; return the seconds until the next."""
        try:
            pause_s = await self._foreseen()
        except Exception:
            # Whatever it is, the loop must go on.
            self.progress.note_fault(failure.Failure())
            return self._fault_pause_s()
        self._pause_s = FAULT_PAUSE_S
        return pause_s

    async def _foreseen(self) -> float:
        """Do one round, which may fail in a way that is foreseen."""
        try:
            pause_s = await self._work()
        except error.CodedError as down:
            pause_s = await self._on_down(down)
            self.progress.note_foreseen()
            return pause_s
        self.progress.note_success()
        return pause_s

    def _fault_pause_s(self) -> float:
        """Return the pause after an unforeseen error; it grows."""
        pause_s = self._pause_s * (1 + random.random())
        self._pause_s = min(2 * self._pause_s, FAULT_PAUSE_MOST_S)
        return pause_s

    async def _pause(self, pause_s: float) -> None:
        """Wait for a while, or until woken."""
        self._waiting = task.deferLater(self._reactor, pause_s)
        try:
            await self._waiting
        except defer.CancelledError:
            # It was woken: there is something to do now.
            pass
        self._waiting = None


class Timer:
    """A function that is called at a steady pace; its errors end no calls.

    Attributes:
      progress: How it gets on.
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
        """Call it now and every so many seconds."""
        self._loop.start(every_s)

    def stop(self) -> None:
        """Call it no longer."""
        if self._loop.running:
            self._loop.stop()

    def _call(self) -> defer.Deferred:
        """Call the function; wait for its work if it gives any to wait for."""
        done = defer.maybeDeferred(self._function)
        return done.addCallbacks(self._note_success, self.progress.note_fault)

    def _note_success(self, _: Any) -> None:
        self.progress.note_success()
