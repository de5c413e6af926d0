"""Checks whether upstreams whose exchanges were lost have crashed.

All exchanges that an upstream loses within a short time are checked together.
What counts as evidence of a crash is decided in crash_evidence.py.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from typing import Any, NamedTuple, Protocol

from reelscale_core import announcement, clock
from twisted.internet import defer, task

from .. import logs
from ..filters import call
from . import crash_evidence

LOG = logs.Logger("suspects")
# Delay in seconds from a lost exchange to the crash check, so that the other
# connections of a crashed upstream are closed by then: they break within some
# milliseconds, and the upstream is down for seconds.
CRASH_CHECK_DELAY_S = 0.05
# Delays in seconds of further checks of an upstream that seemed to be alive:
# it may close the connection of a request some time before the others.
LATER_CHECK_DELAYS_S = (0.25, 0.7)
ALIVE = frozenset(
    (crash_evidence.Finding.CONNECTED, crash_evidence.Finding.ACCEPTS)
)
# Maximum wait of a retry for the first check, in seconds.
RETRY_WAIT_S = 0.2


class Loss(NamedTuple):
    """A request whose exchange broke before its answer was complete.

    Attributes:
      request: The request.
      running: Requests in progress there from all entries, as far as known.
      answered: Whether the upstream had begun to answer it.
    """

    request: call.Call
    running: int
    answered: bool = False


@dataclasses.dataclass(kw_only=True)
class Check:
    """A check for a crash that is in progress.

    Attributes:
      lost_at: Monotonic seconds at which the first exchange was lost.
      losses: The exchanges lost so far.
      waiters: Fire after the first look.
    """

    lost_at: float
    losses: list[Loss] = dataclasses.field(default_factory=list)
    waiters: list[defer.Deferred] = dataclasses.field(default_factory=list)


class Listener(Protocol):
    """Is told of crashes."""

    def __call__(
        self,
        start: announcement.Start,
        losses: list[Loss],
        *,
        lost_at: float,
    ) -> None:
        """Process a crash.

        Args:
          start: The start that crashed.
          losses: The exchanges that it lost.
          lost_at: Monotonic seconds at which the first was lost.
        """
        ...


class CrashChecks:
    """The checks in progress, by the start of the upstream."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        evidence: crash_evidence.CrashEvidence,
        on_crash: Listener,
    ) -> None:
        """Initialize without checks.

        Args:
          reactor: The reactor.
          clock: The clock.
          evidence: Determines whether a start has crashed.
          on_crash: Called after a crash was found.
        """
        self._reactor = reactor
        self._clock = clock
        self._evidence = evidence
        self._on_crash = on_crash
        self._by_start: dict[announcement.Start, Check] = {}

    def record_lost(
        self, upstream: announcement.Announcement, loss: Loss
    ) -> None:
        """Record a lost exchange, and start a check if there is none."""
        check = self._by_start.get(upstream.start)
        if check is not None:
            check.losses.append(loss)
            return
        check = Check(lost_at=self._clock.monotonic(), losses=[loss])
        self._by_start[upstream.start] = check
        defer.ensureDeferred(self._run(upstream, check))

    async def wait_for(self, name: str) -> None:
        """Wait until a crash of an upstream is known, for a short time."""
        for start, check in self._by_start.items():
            if start.name == name:
                waiter = defer.Deferred()
                check.waiters.append(waiter)
                waiter.addTimeout(
                    RETRY_WAIT_S,
                    self._reactor,
                    onTimeoutCancel=lambda *_: None,
                )
                await waiter
                return

    async def _run(
        self, upstream: announcement.Announcement, check: Check
    ) -> None:
        """Look for a crash until there is evidence for or against it."""
        for delay_s in (CRASH_CHECK_DELAY_S, *LATER_CHECK_DELAYS_S):
            await task.deferLater(self._reactor, delay_s)
            finding = await self._evidence.find(upstream)
            if finding.crashed:
                self._on_crash(
                    upstream.start, check.losses, lost_at=check.lost_at
                )
            _release(check)
            if finding not in ALIVE:
                break
        del self._by_start[upstream.start]
        if not finding.crashed:
            LOG.info(
                "An exchange was lost, but its upstream has not crashed.",
                upstream=upstream.start.key,
                requests=[loss.request.id for loss in check.losses],
                finding=finding.value,
            )


def _release(check: Check) -> None:
    """Let the retries go on that wait for a check."""
    waiters, check.waiters = check.waiters, []
    for waiter in waiters:
        if not waiter.called:
            waiter.callback(None)
