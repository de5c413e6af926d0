"""Waits for something in the state of the configuration."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from twisted.internet import defer


class StateWaits:
    """The callers that wait for a function of the state to return a value."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._waiters: list[tuple[Callable[[], Any], defer.Deferred]] = []

    async def until(self, find: Callable[[], Any], timeout_s: float) -> Any:
        """Wait until a function returns a value; None after the time-out."""
        value = find()
        if value is not None:
            return value
        waiter: defer.Deferred = defer.Deferred()
        pair = (find, waiter)
        self._waiters.append(pair)
        timeout = self._reactor.callLater(timeout_s, waiter.callback, None)
        await waiter
        if timeout.active():
            timeout.cancel()
        if pair in self._waiters:
            self._waiters.remove(pair)
        return find()

    def notify(self) -> None:
        """Wake the callers whose value is there after a change."""
        for find, waiter in list(self._waiters):
            if find() is not None and not waiter.called:
                waiter.callback(None)
