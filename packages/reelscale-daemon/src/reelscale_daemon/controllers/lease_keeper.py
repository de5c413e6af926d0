"""Holds the lease of a group, or completes the change of a departed holder.

The lease decides which agent manages the group; ranks check only the fence,
which is drawn from the log each time.  A holder that stops in the middle of a
change may leave the group held long before its lease expires: an agent whose
rank is stalled then draws a fence and completes the change.
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
# Agents of a group that request its lease: enough to survive the loss of a
# hall and some boxes, few enough to put little load on the log.
CANDIDATES = 4
# Interval between renewals of the lease, in seconds: a third of its duration.
RENEW_S = 0.5
# Interval between polls of the local rank, in seconds.
POLL_S = 0.15
# The same for an agent that is no candidate; its rank's number changes only
# when the group forms anew.
NON_CANDIDATE_POLL_S = 2.0
# A rank that stays in one step of a change for this long, in seconds, waits
# for a holder that has departed; a step takes about 0.1 s, a whole change some
# 0.05 s more.
STALL_TIMEOUT_S = 0.5
# Added for each further candidate, in seconds, so that the previous one can
# complete the change first, in some 0.5 s where a box is unresponsive.
STALL_TIMEOUT_STEP_S = 0.7


class LeaseKeeper:
    """Requests the lease of the agent's group and watches the local rank."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        lease_for: Callable[[str], base.Lease],
        local_rank: local_rank.LocalRank,
        group: group.Group,
        members: members.Members,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._lease_for = lease_for
        self._lease: base.Lease | None = None
        self._lease_group: str | None = None
        self._local_rank = local_rank
        self._group = group
        self._members = members
        self._held = False
        self._candidate_index: int | None = None
        self._last_state: rank.Rank | None = None
        self._unchanged_since = 0.0
        self._stopped = False
        # Serialises calls to the lease.
        self._calling = defer.DeferredLock()
        self._loops = [
            self._loop("lease", RENEW_S, self._renew),
            self._loop("own rank", POLL_S, self._poll),
        ]

    def start(self) -> None:
        """Start to request the lease and to poll the local rank."""
        for loop in self._loops:
            defer.ensureDeferred(loop.run())

    @property
    def progress(self) -> list[follower.Progress]:
        """Return the progress of the loops."""
        return [loop.progress for loop in self._loops]

    async def stop(self) -> None:
        """Release the lease, so that another agent can take it.

        Waits for a renewal in progress: if it were carried out after the
        release, it would take the lease again.
        """
        self._stopped = True
        try:
            async with self._calling:
                # Even without an answer to the first renewal it may be held.
                await (await self._group_lease()).leave()
        except error.CodedError as down:
            LOG.warning(
                "Could not release the lease; it will expire.",
                reason=down.detail,
            )

    def _loop(
        self, name: str, pause_s: float, work: Callable[[], Awaitable[None]]
    ) -> follower.Follower:
        """Return a loop that repeats some work until stopped."""
        failing = ""

        def pause(*, often: bool) -> float:
            # An agent that is no candidate only checks whether it becomes one.
            return pause_s if often else NON_CANDIDATE_POLL_S

        async def once() -> float:
            nonlocal failing
            await work()
            failing = ""
            return pause(often=self._candidate_index is not None)

        async def on_down(lost: error.CodedError) -> float:
            nonlocal failing
            if lost.code != failing:
                LOG.warning(
                    "A round of the lease keeper failed.", reason=lost.detail
                )
            failing = lost.code
            return pause(often=True)

        return follower.Follower(
            reactor=self._reactor,
            clock=self._clock,
            name=name,
            work=once,
            on_down=on_down,
            is_running=lambda: not self._stopped,
        )

    async def _renew(self) -> None:
        """Request or renew the lease.

        A holder that cannot reach the log continues: the fence, not the
        lease's expiry, excludes a second holder.
        """
        if self._candidate_index is None:
            return
        lease = await self._group_lease()
        await self._group.learn_limits()
        async with self._calling:
            # stop() may have been called while the limits were read.
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

    async def _group_lease(self) -> base.Lease:
        """Return the lease of the local group; release that of another."""
        group = self._members.group
        if self._lease is None or group != self._lease_group:
            old, self._lease = self._lease, self._lease_for(group)
            self._lease_group = group
            if old is not None:
                LOG.info("The rank moved to another group.", group=group)
                await old.leave()
        return self._lease

    async def _poll(self) -> None:
        """Poll the local rank; complete a change that is stalled."""
        state = (
            await self._local_rank.report(counts=False, experts=False)
        ).rank
        self._members.record_local_rank(state)
        spacing = max(1, state.size // CANDIDATES)
        candidate = state.number % spacing == 0
        self._candidate_index = state.number // spacing if candidate else None
        # A candidate needs the members before it gets the lease, as the list
        # may be unavailable then.
        self._members.following = candidate
        now = self._clock.monotonic()
        if self._last_state is None or not _is_stalled(
            self._last_state, state
        ):
            self._last_state, self._unchanged_since = state, now
            return
        stuck_s = STALL_TIMEOUT_S + STALL_TIMEOUT_STEP_S * (
            self._candidate_index or 0
        )
        if candidate and now - self._unchanged_since >= stuck_s:
            self._last_state = None
            await self._finish_change(state)

    async def _finish_change(self, state: rank.Rank) -> None:
        """Complete the change of a holder that has departed."""
        if self._group.holds:
            return
        fence = await (await self._group_lease()).draw_fence()
        LOG.info(
            "Completing a stalled change.",
            fence=fence,
            epoch=state.epoch,
            step=state.step,
            prepared=state.prepared,
        )
        self._group.acquire(fence, finish_only=True)


def _is_stalled(before: rank.Rank, now: rank.Rank) -> bool:
    """Return whether a rank is in the same step of the same change."""
    changing = now.prepared is not None or now.held is not None
    return (
        changing
        and now.open
        and now.born_ms == before.born_ms
        and ((now.epoch, now.step) == (before.epoch, before.step))
    )
