"""What an entry knows of upstreams that announce themselves.

The platform's list tells which upstreams there are; how busy they are is
told by their own answers and by what this entry has sent them.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from reelscale_core import (
    announcement,
    circuit,
    clock,
    error,
    rendezvous,
    routing,
)
from reelscale_core import pace as paces
from reelscale_core import state as states
from twisted.internet import defer, task

from .. import logs
from ..adapters import base
from ..exchange import pool
from ..filters import call
from . import config, usage

LOG = logs.Part("directory")
# Between two reads, in seconds: many upstreams start or leave together, and
# each read costs a call.
PAUSE_S = 0.3
RETRY_S = 0.25
# What an upstream told of its load counts for this long, in seconds; a
# request of a stream takes about that.
LOAD_FRESH_S = 1.0
# Requests may wait at an upstream for this part of the time in which an
# answer is wanted; the rest is for the work itself.
WAIT_SHARE = 0.3
# Weight of the newest in the smoothed time that a request takes.
SMOOTHING = 0.1
# An upstream that refused a request is asked after others for this long, in
# seconds; a slot of a busy group is free again within about that.
REFUSED_S = 0.5
# What a whole slot's load more weighs, in milliseconds, beside distance.
SLOT_MS = 40.0
# After the store was away, an upstream that is no longer listed is kept
# for this long, in seconds: it may be back with its next heartbeat.
RELIST_S = 2.0


@dataclasses.dataclass(kw_only=True)
class View:
    """An upstream as this entry sees it.

    Attributes:
      upstream: What it announced.
      own: Requests of this entry in progress there.
      breaker: Its circuit breaker.
      load: What its newest answer told of its load.
      load_at: Monotonic seconds at which that came.
      own_then: Requests of this entry in progress there at that time.
      others_then: Those of other entries at that time.
      refused_at: Monotonic seconds at which it last refused a request.
      gone: Whether it is no longer listed.
      tie: Settles ties between upstreams, for this entry alone.
    """

    upstream: announcement.Announcement
    own: int = 0
    breaker: circuit.Circuit = circuit.CLOSED
    load: announcement.Load | None = None
    load_at: float = float("-inf")
    own_then: int = 0
    others_then: int = 0
    refused_at: float = float("-inf")
    gone: bool = False
    tie: int = 0

    def candidate(
        self, now: float, *, others: int, waiting: int
    ) -> routing.Candidate:
        """Return what routing looks at.

        Args:
          now: Monotonic seconds.
          others: Requests that other entries have there.
          waiting: Requests that may wait there.
        """
        up = self.upstream
        expected = max(self.own + others, self._reported(now, others))
        room = up.slots + waiting - expected
        return routing.Candidate(
            name=up.name,
            hall=up.hall,
            slots=self.own + max(0, room),
            until=float("inf"),
            own=self.own,
            own_reported=self.own,
            running=min(expected, up.slots),
            queued=max(0, expected - up.slots),
            capacity=up.slots,
            step_ms=SLOT_MS,
            reported_at=now,
            allowed=circuit.allows(self.breaker, now),
            refused=now - self.refused_at < REFUSED_S,
            tie=self.tie,
        )

    def _reported(self, now: float, others: int) -> int:
        """Return what its newest answer says it has, and what came since.

        It may have more than the entries know of: requests of one that has
        just died, or that a caller has left.
        """
        if self.load is None or now - self.load_at > LOAD_FRESH_S:
            return 0
        then = self.own_then + self.others_then
        since = self.own + others - then
        return self.load.running + self.load.waiting + since


class Directory:
    """Keeps the views of all upstreams, by what the platform lists."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        roster: base.Roster,
        connections: pool.Pool,
        usage: usage.Usage,
        name: str,
    ) -> None:
        self.views_by_name: dict[str, View] = {}
        self.waiting_by_target: dict[str, int] = {}
        self.on_change: list[Callable[[], None]] = []
        self.ready = False
        self._reactor = reactor
        self._clock = clock
        self._roster = roster
        self._connections = connections
        self._usage = usage
        self._goal_s: dict[str, float] = {}
        self._takes_s: dict[str, float] = {}
        self._pace_by_target: dict[str, paces.Pace] = {}
        self._name = name
        self._next = 0
        self._regained_at = float("-inf")
        self._down = False
        self._stopped = False

    async def run(self) -> None:
        """Follow the list until stopped."""
        while not self._stopped:
            try:
                await self._read()
            except error.CodedError as down:
                self._note_down(down)
                await self._pause(RETRY_S * (1 + random.random()))
                continue
            await self._pause(PAUSE_S * (0.75 + random.random() / 2))

    def stop(self) -> None:
        """Follow the list no longer."""
        self._stopped = True

    def candidates(self, target: str) -> list[routing.Candidate]:
        """Return the upstreams that may get new work of a target."""
        now = self._clock.monotonic()
        wait_s = self._goal_s.get(target, 0.0) * WAIT_SHARE
        takes_s = self._takes_s.get(target)
        found = [
            view.candidate(
                now,
                others=self._usage.others(view.upstream.name),
                waiting=may_wait(view.upstream.slots, wait_s, takes_s),
            )
            for view in self.views_by_name.values()
            if view.upstream.target == target
            and not view.upstream.leaving
            and not view.gone
        ]
        if _used(found) < self._pace(target).limit:
            return found
        return [item._replace(slots=item.own) for item in found]

    def note_pause(self, asked: call.Call, pause_s: float) -> None:
        """Take the pause between two events of a stream."""
        longest_s = asked.route.pause_s
        if not longest_s:
            return
        target = asked.target
        now = self._clock.monotonic()
        pace = self._pace(target)
        self._pace_by_target[target] = paces.observed(
            pace,
            pause_s,
            longest_s=longest_s,
            used=_used(self.candidates(target)),
            now=now,
        )

    def _pace(self, target: str) -> paces.Pace:
        return self._pace_by_target.get(target, paces.Pace())

    def reachable(self, target: str) -> bool:
        """Tell whether any upstream of a target is listed."""
        return bool(self.candidates(target))

    def use(self, target: str) -> None:
        """Nothing to do: views need no request to stay fresh."""

    async def wake(self, target: str | None = None) -> None:
        """Nothing to do: the list is followed all the time."""

    def note_load(self, name: str, load: announcement.Load) -> None:
        """Take what an upstream's answer told of its load."""
        view = self.views_by_name.get(name)
        if view is None:
            return
        view.load = load
        view.load_at = self._clock.monotonic()
        view.own_then = view.own
        view.others_then = self._usage.others(name)

    def note_refused(self, name: str) -> None:
        """Note that an upstream refused a request without running it."""
        view = self.views_by_name.get(name)
        if view is not None:
            view.refused_at = self._clock.monotonic()

    def note_taken(self, target: str, seconds: float) -> None:
        """Take how long an upstream took for a whole answer."""
        old = self._takes_s.get(target, seconds)
        self._takes_s[target] = old + SMOOTHING * (seconds - old)

    def follow(self, state: states.State) -> None:
        """Take from the configuration how soon answers are wanted."""
        self._goal_s = {}
        for item in state.routes_by_name.values():
            for share in item.shares:
                goal_s = self._goal_s.get(share.target, item.goal_s)
                self._goal_s[share.target] = min(goal_s, item.goal_s)

    def counts(self) -> dict[str, int]:
        """Return this entry's requests in progress by upstream."""
        views = self.views_by_name.items()
        return {name: view.own for name, view in views if view.own}

    async def _read(self) -> None:
        waits = self.ready and not self._down
        wait_s = config.POLL_S if waits else 0.0
        page = await self._roster.read(self._next, wait_s=wait_s)
        if self._down:
            self._down = False
            self._regained_at = self._clock.monotonic()
            LOG.info("The list of upstreams can be read again.")
        self._next = page.next_offset
        if page.whole:
            self._take_whole(page)
        for item in page.items:
            self._take(item)
        self.ready = True
        for listener in self.on_change:
            listener()

    def _take_whole(self, page: base.RosterPage) -> None:
        """Withdraw what a whole list no longer names."""
        listed = {item.name for item in page.items}
        for name in set(self.views_by_name) - listed:
            self._take(announcement.Withdrawn(name))

    def _take(
        self, item: announcement.Announcement | announcement.Withdrawn
    ) -> None:
        match item:
            case announcement.Announcement():
                self._announced(item)
            case announcement.Withdrawn(name=name):
                self._withdrawn(name)

    def _announced(self, item: announcement.Announcement) -> None:
        view = self.views_by_name.get(item.name)
        if view is None:
            tie = rendezvous.score(self._name, item.name)
            view = View(upstream=item, tie=tie)
            self.views_by_name[item.name] = view
            LOG.info("An upstream is listed.", **item._asdict())
        elif view.upstream.leaving != item.leaving or view.gone:
            LOG.info(
                "An upstream has changed.",
                name=item.name,
                leaving=item.leaving,
                was_gone=view.gone,
            )
        view.upstream = item
        view.gone = False

    def _withdrawn(self, name: str) -> None:
        since_s = self._clock.monotonic() - self._regained_at
        view = self.views_by_name.get(name)
        if view is None or view.gone:
            return
        if since_s < RELIST_S:
            later_s = RELIST_S - since_s
            self._reactor.callLater(later_s, self._drop, name, view.upstream)
            return
        self._drop(name, view.upstream)

    def _drop(self, name: str, upstream: announcement.Announcement) -> None:
        """Give an upstream no more work, unless it announced itself anew."""
        view = self.views_by_name.get(name)
        if view is None or view.upstream is not upstream:
            return
        view.gone = True
        LOG.info("An upstream is no longer listed.", name=name, own=view.own)
        self._connections.close_idle(upstream.address)
        if not view.own:
            del self.views_by_name[name]

    def _note_down(self, down: error.CodedError) -> None:
        if not self._down:
            LOG.warning(
                "The list of upstreams cannot be read; the last one counts.",
                upstreams=len(self.views_by_name),
                reason=down.detail,
            )
        self._down = True

    def _pause(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)


def may_wait(slots: int, wait_s: float, takes_s: float | None) -> int:
    """Return how many requests may wait at an upstream for a slot.

    Args:
      slots: Requests that it works on at once.
      wait_s: How long a request may wait there.
      takes_s: How long one takes, None while that is not known.
    """
    if not takes_s:
        return 0
    return min(slots, int(wait_s * slots / takes_s))


def _used(candidates: list[routing.Candidate]) -> float:
    """Return the part of the slots of all that is in use."""
    slots = sum(item.capacity for item in candidates)
    used = sum(item.running + item.queued for item in candidates)
    return used / slots if slots else 0.0
