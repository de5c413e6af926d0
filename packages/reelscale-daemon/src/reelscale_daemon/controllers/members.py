"""The agents of a group, by the platform's list of its upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable
from typing import Any

from reelscale_core import announcement, clock, error, rank, starts

from .. import logs
from ..adapters import base
from . import follower, reach

LOG = logs.Logger("members")
# How long a read waits at the list, in seconds; a rank that is missing shows
# by its silence, so a change of the list may be heard late.
POLL_S = 10.0
# After a read that failed, in seconds.
RETRY_S = 0.5


class Members:
    """The agents beside the upstreams of one target.

    Attributes:
      own: Name of this agent's rank among them.
      by_name: All ranks; each is named by the address of its agent.
      slots: Requests that they work on at once, together.
      following: Whether the list is followed.
      group: Name of the group that the own rank is in, "" while unknown;
        a target may have several.
      group_size: Ranks of that group, 0 while unknown.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        roster: base.Roster,
        target: str,
        own: reach.Member,
    ) -> None:
        """Make it.

        Args:
          reactor: The loop.
          clock: The time.
          roster: The platform's list.
          target: The group.
          own: This agent and its rank; all agents listen at the same port.
        """
        self.own = own.agent
        self.by_name: dict[str, reach.Member] = {}
        self._own = own
        self.slots = 0
        self.following = False
        self.group = ""
        self.group_size = 0
        self._roster = roster
        self._target = target
        self._port = own.agent.rpartition(":")[2]
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
            going=lambda: not self._stopped,
        )

    async def run(self) -> None:
        """Follow the list while it is needed, until stopped."""
        await self._follower.run()

    async def _round(self) -> float:
        """Read the list if it is needed; return the pause after it."""
        if not self.following:
            return RETRY_S
        await self._read()
        return 0.0

    async def _on_down(self, down: error.CodedError) -> float:
        """Tell that the list cannot be read; return the pause after it."""
        if not self._stopped:
            LOG.warning("The list cannot be read.", reason=down.detail)
        return RETRY_S

    @property
    def progress(self) -> follower.Progress:
        """Return how the following of the list gets on."""
        return self._follower.progress

    def stop(self) -> None:
        """Follow the list no longer."""
        self._stopped = True

    def record_local_rank(self, found: rank.Rank) -> None:
        """Take from the own rank which group it is in."""
        self.group, self.group_size = found.group, found.size

    @property
    def one_group(self) -> bool:
        """Whether all ranks of the target are those of the own group."""
        return len(self.by_name) <= self.group_size

    async def _read(self) -> None:
        wait_s = POLL_S if self._next else 0.0
        page = await self._roster.read(self._next, wait_s=wait_s)
        self._next = page.next_offset
        self._starts.record_listed(page.items)
        if page.whole:
            self._listed = {}
            self._starts.retain({item.name for item in page.items})
        for item in page.items:
            self._take(item)
        self._list(self._starts.promote_due(self._clock.monotonic()))
        found = [self._member(i.address) for i in self._listed.values()]
        self.slots = sum(item.slots for item in self._listed.values())
        self.by_name = {item.agent: item for item in [*found, self._own]}

    def _take(self, item: announcement.Item) -> None:
        match item:
            case announcement.Announcement():
                worth = self._starts.classify(item, self._clock.monotonic())
                if worth is starts.Verdict.CURRENT:
                    self._list([item])
            case (
                announcement.Withdrawn(name=n) | announcement.Unusable(name=n)
            ):
                self._starts.forget(n)
                self._listed.pop(n, None)

    def _list(self, items: Iterable[announcement.Announcement]) -> None:
        """List those of the group that announced themselves."""
        for item in items:
            if item.target == self._target:
                self._listed[item.name] = item

    def _member(self, upstream: str) -> reach.Member:
        """Return a rank by its address; its agent is on the same box."""
        host = upstream.rpartition(":")[0]
        return reach.Member(f"{host}:{self._port}", upstream)
