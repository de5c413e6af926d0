"""Holds the lease of a group, or finishes the change of one that has gone.

The lease says who is to look after the group; the fence, drawn from the log
anew each time, is what ranks go by.  A holder that stops working in the
middle of a change may leave the group held, long before its lease lapses: an
agent that sees its rank stand still draws a fence and brings the change to
its end.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Awaitable, Callable
from typing import Any

from reelscale_core import clock, error, rank
from twisted.internet import defer

from .. import logs
from ..adapters import base
from . import follower, group, local_rank, members

LOG = logs.Logger("lease")
# Agents of a group that ask for its lease: enough that one is left when a
# hall and some boxes are gone, few enough that they cost the log little.
CANDIDATES = 4
# Seconds between two renewals of the lease, a third of its time.
RENEW_S = 0.5
# Seconds between two looks at the own rank; it is asked on its own box.
WATCH_S = 0.15
# The same for an agent that does not ask for the lease; its rank's number
# changes only when the group forms anew.
NON_CANDIDATE_POLL_S = 2.0
# A rank that stands still in a change for so long, in seconds, waits for a
# holder that has gone: a step takes 0.1 s, a whole change some 0.05 s more.
STUCK_S = 0.5
# Each further candidate waits so much longer, in seconds: by then the one
# before has finished the change, in some 0.5 s where a machine is silent.
STUCK_EACH_S = 0.7


class LeaseKeeper:
    """Keeps one agent's part in who looks after its group."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        lease_on: Callable[[str], base.Lease],
        local_rank: local_rank.LocalRank,
        group: group.Group,
        members: members.Members,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._lease_on = lease_on
        self._lease: base.Lease | None = None
        self._lease_group: str | None = None
        self._local_rank = local_rank
        self._group = group
        self._members = members
        self._held = False
        self._place: int | None = None
        self._seen: rank.Rank | None = None
        self._seen_at = 0.0
        self._stopped = False
        # A call at the lease; the next waits for its answer.
        self._calling = defer.DeferredLock()
        self._loops = [
            self._loop("lease", RENEW_S, self._renew),
            self._loop("own rank", WATCH_S, self._watch),
        ]

    def start(self) -> None:
        """Ask for the lease and watch the own rank from now on."""
        for loop in self._loops:
            defer.ensureDeferred(loop.run())

    @property
    def progress(self) -> list[follower.Progress]:
        """Return how its loops get on."""
        return [loop.progress for loop in self._loops]

    async def stop(self) -> None:
        """Give the lease up, so that another agent goes on.

        A renewal on its way is waited for, until it is answered or lost:
        one that is carried out after the leave would take the lease again.
        """
        self._stopped = True
        try:
            async with self._calling:
                # One whose first renewal has no answer yet may be held, too.
                await (await self._own_lease()).leave()
        except error.CodedError as down:
            LOG.warning("The lease is left to lapse.", reason=down.detail)

    def _loop(
        self, name: str, pause_s: float, work: Callable[[], Awaitable[None]]
    ) -> follower.Follower:
        """Return a loop that does some work now and then until stopped."""
        failing = ""

        def pause(*, often: bool) -> float:
            # Those that are no candidates only see whether they become one.
            return pause_s if often else NON_CANDIDATE_POLL_S

        async def once() -> float:
            nonlocal failing
            await work()
            failing = ""
            return pause(often=self._place is not None)

        async def on_down(lost: error.CodedError) -> float:
            nonlocal failing
            if lost.code != failing:
                LOG.warning("Cannot go on for now.", reason=lost.detail)
            failing = lost.code
            return pause(often=True)

        return follower.Follower(
            reactor=self._reactor,
            clock=self._clock,
            name=name,
            work=once,
            on_down=on_down,
            going=lambda: not self._stopped,
        )

    async def _renew(self) -> None:
        """Ask for the lease, or keep it.

        One that cannot reach the log goes on as it was: the fence, not the
        time, keeps holders apart.
        """
        if self._place is None:
            return
        lease = await self._own_lease()
        await self._group.learn_limits()
        async with self._calling:
            # The stop may have come while the limits were asked for.
            if self._stopped:
                return
            held = await lease.renew()
        if self._stopped:
            return
        if held != self._held:
            LOG.info("Holds the lease." if held else "Lost the lease.")
            self._held = held
        if not held:
            self._group.release()
        elif not self._group.holds:
            self._group.acquire(await lease.draw_fence())

    async def _own_lease(self) -> base.Lease:
        """Return the lease on the own group; one on another is left."""
        group = self._members.group
        if self._lease is None or group != self._lease_group:
            old, self._lease = self._lease, self._lease_on(group)
            self._lease_group = group
            if old is not None:
                LOG.info("The rank is in another group.", group=group)
                await old.leave()
        return self._lease

    async def _watch(self) -> None:
        """Look at the own rank; finish a change that stands still."""
        found = (
            await self._local_rank.report(counts=False, experts=False)
        ).rank
        self._members.record_local_rank(found)
        each = max(1, found.size // CANDIDATES)
        candidate = found.number % each == 0
        self._place = found.number // each if candidate else None
        # One that may hold the lease is to know the others by then: the list
        # may be out of reach just when the lease falls to it.
        self._members.following = candidate
        now = self._clock.monotonic()
        if self._seen is None or not _stands_still(self._seen, found):
            self._seen, self._seen_at = found, now
            return
        stuck_s = STUCK_S + STUCK_EACH_S * (self._place or 0)
        if candidate and now - self._seen_at >= stuck_s:
            self._seen = None
            await self._finish(found)

    async def _finish(self, found: rank.Rank) -> None:
        """Finish the change of a holder that has gone."""
        if self._group.holds:
            return
        fence = await (await self._own_lease()).draw_fence()
        LOG.info(
            "Finishes a change that stands still.",
            fence=fence,
            epoch=found.epoch,
            step=found.step,
            prepared=found.prepared,
        )
        self._group.acquire(fence, finish_only=True)


def _stands_still(before: rank.Rank, now: rank.Rank) -> bool:
    """Tell whether a rank is in the same step of the same change."""
    changing = now.prepared is not None or now.held is not None
    return (
        changing
        and now.open
        and now.born_ms == before.born_ms
        and ((now.epoch, now.step) == (before.epoch, before.step))
    )
