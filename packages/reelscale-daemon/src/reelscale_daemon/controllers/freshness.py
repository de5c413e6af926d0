"""Decides how long reads wait at the store, and when one is given up.

A read that waits long costs few calls, but is deaf once its connection has
gone silent.  So a few entries read often, and send the age of the store's
last answer to the others, which wait long while such answers confirm that
they miss nothing.  Without a confirmation an entry gives up its read and asks
the store itself, whatever its peers still send.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

from reelscale_core import clock, confirmation
from reelscale_wire.gen import ttypes
from twisted.internet import defer

from .. import logs

LOG = logs.Logger("freshness")
T = TypeVar("T")
# Entries that read often; one of them may be cut off.
READERS = 2
# Longest wait of their reads, in seconds.
READER_WAIT_S = 1.0
# Wait of the reads of all others, in seconds; each call has a price.
LONG_WAIT_S = 12.0
# Age in seconds of the last confirmation at which a read is given up.  A
# change has to be in force 2 s after the store has acknowledged it.
MAX_AGE_S = 1.7
# Up to this many seconds earlier, so that the first ones to ask the store
# confirm the others.
JITTER_S = 0.2
# An answer is sent to the others at once if the one before is older, in
# seconds; others go with the datagrams that are sent anyway.
TELL_AFTER_S = 0.5
# Reported age, in seconds, of a source that was never confirmed.
NEVER_S = 1e6


class Reads(Protocol):
    """How one source is read."""

    def wait_s(self) -> float:
        """Return how long the next read waits at the store."""
        ...

    async def run(self, read: Coroutine[Any, Any, T]) -> T:
        """Await a read that waits at the store."""
        ...

    def record_answer(self, *, asked_at: float, wait_s: float) -> None:
        """Record that the store has answered with everything that it has.

        Args:
          asked_at: Monotonic seconds at which it was asked.
          wait_s: How long the read waited there at most.
        """
        ...


class SteadyReads:
    """Reads that always wait equally long."""

    def __init__(self, *, wait_s: float) -> None:
        self._wait_s = wait_s

    def wait_s(self) -> float:
        """Return how long the next read waits at the store."""
        return self._wait_s

    async def run(self, read: Coroutine[Any, Any, T]) -> T:
        """Await a read."""
        return await read

    def record_answer(self, *, asked_at: float, wait_s: float) -> None:
        """Record nothing; peers confirm nothing to each other."""


class Freshness:
    """The reads of one source that entries confirm to each other.

    Attributes:
      source: Name of the source in logs and metrics.
      renewed: Number of reads that were given up so far.
      on_answer: Called after an answer on which others rely.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        name: str,
        source: str,
        reached: Callable[[], confirmation.Reached],
    ) -> None:
        """Initialize without a confirmation.

        Args:
          reactor: The Twisted reactor.
          clock: The clock.
          name: Name of this entry.
          source: Name of the source.
          reached: Returns what this entry has read of the source.
        """
        self.source = source
        self.renewed = 0
        self.on_answer: Callable[[], None] = _ignore
        self._reactor = reactor
        self._clock = clock
        self._name = name
        self._reached = reached
        self._confirmations = confirmation.Confirmations()
        self._was_reader = False

    @property
    def age_s(self) -> float:
        """Return the seconds since nothing was missing, at most NEVER_S."""
        at = self._confirmations.confirmed_at(self._reached())
        return min(self._clock.monotonic() - at, NEVER_S)

    @property
    def own_age_ms(self) -> int:
        """Return the age of the last answer to this entry itself."""
        age_s = self._clock.monotonic() - self._confirmations.own_at
        return int(min(age_s, NEVER_S) * 1000)

    def is_reader(self) -> bool:
        """Return whether this entry reads often, for itself and others."""
        since = self._clock.monotonic() - MAX_AGE_S
        before = self._confirmations.answered_before(self._name, since)
        is_reader = before < READERS
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            LOG.info(
                "Changed how long reads wait.",
                source=self.source,
                reader=is_reader,
                readers_before=before,
            )
        return is_reader

    def wait_s(self) -> float:
        """Return how long the next read waits at the store.

        Readers differ, so that their answers are not of the same time.
        """
        if self.is_reader():
            return READER_WAIT_S * (0.75 + random.random() / 4)
        return LONG_WAIT_S

    async def run(self, read: Coroutine[Any, Any, T]) -> T:
        """Await a read that waits; cancel it once nothing confirms it.

        The adapter then asks without waiting, on a new connection.
        """
        pending = defer.ensureDeferred(read)
        wait = _Wait(
            reactor=self._reactor,
            left_s=self._left_s,
            on_end=lambda: self._give_up(pending),
        )
        try:
            return await pending
        finally:
            wait.stop()

    def record_answer(self, *, asked_at: float, wait_s: float) -> None:
        """Record that the store has answered with everything that it has.

        An answer may have been under way for a while; it is no older than
        the end of the wait.
        """
        now = self._clock.monotonic()
        is_awaited = now - self._confirmations.own_at > TELL_AFTER_S
        self._confirmations.record_own(min(now, asked_at + wait_s))
        if self._was_reader and is_awaited:
            self.on_answer()

    def record_peer(
        self, name: str, reached: confirmation.Reached, age_ms: int
    ) -> None:
        """Record what a peer has read, and the store's last answer to it."""
        at = self._clock.monotonic() - age_ms / 1000
        self._confirmations.record_peer(
            name, confirmation.Confirmation(reached, at)
        )

    def forget(self, name: str) -> None:
        """Drop a peer that is no longer heard."""
        self._confirmations.forget(name)

    def _left_s(self) -> float:
        """Return the seconds until the last confirmation is too old."""
        return MAX_AGE_S - self.age_s

    def _give_up(self, pending: defer.Deferred) -> None:
        self.renewed += 1
        LOG.warning(
            "Nothing confirms what is known; a read that waits is given up.",
            source=self.source,
            age_s=round(self.age_s, 3),
            own_age_s=self.own_age_ms / 1000,
        )
        pending.cancel()


def _ignore() -> None:
    """Tell nobody until a listener is set."""


class _Wait:
    """Calls a function when a time that may move has come."""

    def __init__(
        self,
        *,
        reactor: Any,
        left_s: Callable[[], float],
        on_end: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._left_s = left_s
        self._on_end = on_end
        self._early_s = random.random() * JITTER_S
        self._call: Any = None
        self._check()

    def stop(self) -> None:
        """Do not call the function any more."""
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _check(self) -> None:
        left_s = self._left_s() - self._early_s
        if self._call is not None and left_s <= 0:
            self._on_end()
            return
        self._call = self._reactor.callLater(max(left_s, 0.0), self._check)


class AgeUpdates:
    """Sends the ages of the store's answers to peers in the datagrams."""

    def __init__(self, *, configuration: Freshness, roster: Freshness) -> None:
        self._configuration = configuration
        self._roster = roster

    def add_to(self, message: ttypes.Usage, fraction: float) -> None:
        """Add the ages to a datagram; they are small and always fit."""
        message.log_age_ms = self._configuration.own_age_ms
        message.roster_age_ms = self._roster.own_age_ms

    def apply(self, message: ttypes.Usage) -> None:
        """Apply a datagram; entries of an earlier release send no ages."""
        if message.log_age_ms is not None:
            self._configuration.record_peer(
                message.name,
                confirmation.Reached(message.offset, message.version or 0),
                message.log_age_ms,
            )
        if message.roster_age_ms is not None:
            self._roster.record_peer(
                message.name,
                confirmation.Reached(message.roster_offset),
                message.roster_age_ms,
            )

    def forget(self, name: str) -> None:
        """Drop a peer that is no longer heard."""
        self._configuration.forget(name)
        self._roster.forget(name)
