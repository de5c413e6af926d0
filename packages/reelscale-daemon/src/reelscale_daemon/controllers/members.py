"""Follows the platform's list for the ranks of a target and their agents."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable
from typing import Any

from reelscale_core import announcement, clock, error, rank, starts

from .. import logs
from ..adapters import base
from . import follower, reach

LOG = logs.Logger("members")
# How long a read waits for changes of the list, in seconds.  A missing rank is
# noticed because it does not answer, so changes may arrive late.
POLL_S = 10.0
# Delay after a failed read, in seconds.
RETRY_S = 0.5


class Members:
    """The agents beside the upstreams of one target.

    Attributes:
      local_name: Name of this agent's rank among them.
      by_name: All ranks; each is named by the address of its agent.
      slots: Total number of requests that they can serve at once.
      following: Whether to follow the list.
      group: Name of the local rank's group, "" while unknown; a target may
        have several.
      group_size: Number of ranks in that group, 0 while unknown.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        roster: base.Roster,
        target: str,
        local: reach.Member,
    ) -> None:
        """Create the list; run() follows it.

        Args:
          reactor: The Twisted reactor.
          clock: The time.
          roster: The platform's list.
          target: The target that the group serves.
          local: This agent and its rank; all agents use the same port.
        """
        self.local_name = local.agent
        self.by_name: dict[str, reach.Member] = {}
        self._local = local
        self.slots = 0
        self.following = False
        self.group = ""
        self.group_size = 0
        self._roster = roster
        self._target = target
        self._port = local.agent.rpartition(":")[2]
        self._listed: dict[str, announcement.Announcement] = {}
        self._next = 0
        self._stopped = False
        self._clock = clock
        self._starts = starts.Starts()
        self._follower = follower.Follower(
            reactor=reactor,
            clock=clock,
            name="members",
            work=self._round,
            on_down=self._on_down,
            is_running=lambda: not self._stopped,
        )

    async def run(self) -> None:
        """Follow the list while `following` is set, until stopped."""
        await self._follower.run()

    async def _round(self) -> float:
        """Read the list if `following` is set; return the next pause."""
        if not self.following:
            return RETRY_S
        await self._read()
        return 0.0

    async def _on_down(self, down: error.CodedError) -> float:
        """Log that the list cannot be read; return the next pause."""
        if not self._stopped:
            LOG.warning("Cannot read the list.", reason=down.detail)
        return RETRY_S

    @property
    def progress(self) -> follower.Progress:
        """Return the progress of the loop that follows the list."""
        return self._follower.progress

    def stop(self) -> None:
        """Stop following the list."""
        self._stopped = True

    def record_local_rank(self, local: rank.Rank) -> None:
        """Record the group of the local rank."""
        self.group, self.group_size = local.group, local.size

    @property
    def one_group(self) -> bool:
        """Whether all ranks of the target are in the local group."""
        return len(self.by_name) <= self.group_size

    async def _read(self) -> None:
        wait_s = POLL_S if self._next else 0.0
        page = await self._roster.read(self._next, wait_s=wait_s)
        self._next = page.next_offset
        self._starts.record_listed(page.items)
        if page.complete:
            self._listed = {}
            self._starts.retain({item.name for item in page.items})
        for item in page.items:
            self._apply(item)
        self._list(self._starts.promote_due(self._clock.monotonic()))
        listed = [self._member(i.address) for i in self._listed.values()]
        self.slots = sum(item.slots for item in self._listed.values())
        self.by_name = {item.agent: item for item in [*listed, self._local]}

    def _apply(self, item: announcement.Item) -> None:
        match item:
            case announcement.Announcement():
                verdict = self._starts.classify(item, self._clock.monotonic())
                if verdict is starts.Verdict.CURRENT:
                    self._list([item])
            case (
                announcement.Withdrawn(name=n) | announcement.Unusable(name=n)
            ):
                self._starts.forget(n)
                self._listed.pop(n, None)

    def _list(self, items: Iterable[announcement.Announcement]) -> None:
        """Add announced upstreams of the target to the list."""
        for item in items:
            if item.target == self._target:
                self._listed[item.name] = item

    def _member(self, upstream: str) -> reach.Member:
        """Return a rank by its address; its agent is on the same box."""
        host = upstream.rpartition(":")[0]
        return reach.Member(f"{host}:{self._port}", upstream)
