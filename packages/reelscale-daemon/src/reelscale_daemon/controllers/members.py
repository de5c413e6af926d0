"""The agents of a group, by the platform's list of its upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import announcement, error
from twisted.internet import task

from .. import logs
from ..adapters import base
from . import reach

LOG = logs.Part("members")
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
    """

    def __init__(
        self,
        *,
        reactor: Any,
        roster: base.Roster,
        target: str,
        own: reach.Member,
    ) -> None:
        """Make it.

        Args:
          reactor: The loop.
          roster: The platform's list.
          target: The group.
          own: This agent and its rank; all agents listen at the same port.
        """
        self.own = own.agent
        self.by_name: dict[str, reach.Member] = {}
        self._own = own
        self.slots = 0
        self.following = False
        self._reactor = reactor
        self._roster = roster
        self._target = target
        self._port = own.agent.rpartition(":")[2]
        self._listed: dict[str, announcement.Announcement] = {}
        self._next = 0
        self._stopped = False

    async def run(self) -> None:
        """Follow the list while it is needed, until stopped."""
        while not self._stopped:
            if not self.following:
                await task.deferLater(self._reactor, RETRY_S)
                continue
            try:
                await self._read()
            except error.CodedError as down:
                if self._stopped:
                    return
                LOG.warning("The list cannot be read.", reason=down.detail)
                await task.deferLater(self._reactor, RETRY_S)

    def stop(self) -> None:
        """Follow the list no longer."""
        self._stopped = True

    async def _read(self) -> None:
        wait_s = POLL_S if self._next else 0.0
        page = await self._roster.read(self._next, wait_s=wait_s)
        self._next = page.next_offset
        if page.whole:
            self._listed = {}
        for item in page.items:
            match item:
                case announcement.Announcement(target=self._target):
                    self._listed[item.name] = item
                case announcement.Withdrawn(name=name):
                    self._listed.pop(name, None)
        found = [self._member(i.address) for i in self._listed.values()]
        self.slots = sum(item.slots for item in self._listed.values())
        self.by_name = {item.agent: item for item in [*found, self._own]}

    def _member(self, upstream: str) -> reach.Member:
        """Return a rank by its address; its agent is on the same box."""
        host = upstream.rpartition(":")[0]
        return reach.Member(f"{host}:{self._port}", upstream)
