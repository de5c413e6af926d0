"""Which group of ranks each upstream is in, as an entry learns it.

A target may have several groups; each steps by itself, so one may be slow or
out while the others are not.  The agent beside a rank knows its group.  One
entry asks all agents, and the others ask each other, so that what agents on
thin links answer does not grow with the number of entries.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
from collections.abc import Callable, Iterable
from typing import Any

from reelscale_core import announcement, clock, error, short_hash
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import task

from .. import logs
from . import follower, rank_reports

LOG = logs.Logger("groups")
# Seconds between two rounds while a group is not known, and while all are.
UNKNOWN_EVERY_S = 1.0
KNOWN_EVERY_S = 8.0
# Rounds in which other entries could not tell, after which agents are asked.
ROUNDS_WITHOUT = 3
# An agent or a peer that lives answers within some ms.
TIMEOUT_S = 0.5
# Agents asked at a time.
ASKED_AT_ONCE = 12


class Groups:
    """The groups of the upstreams that have agents."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        links: link.Links,
        ranks: Callable[[], Iterable[announcement.Announcement]],
        agent_port: int,
        place: Callable[[], int],
        peers: Callable[[], Iterable[str]],
    ) -> None:
        """Make it; run() learns.

        Args:
          reactor: The loop.
          clock: The time.
          links: Connections to agents and other entries.
          ranks: Gives the upstreams that are ranks of groups.
          agent_port: Port of the agent on the box of an upstream; 0 if there
            are none, and then each target counts as one group.
          place: Gives the place of this entry among all.
          peers: Gives addresses of other entries.
        """
        self._reactor = reactor
        self._links = links
        self._ranks = ranks
        self._agent_port = agent_port
        self._place = place
        self._peers = peers
        self._group_by_start: dict[int, str] = {}
        self._without = 0
        self._stopped = False
        self._follower = follower.Follower(
            reactor=reactor,
            clock=clock,
            name="groups",
            work=self._round,
            on_down=self._on_down,
            going=lambda: not self._stopped,
        )

    async def run(self) -> None:
        """Learn until stopped."""
        if not self._agent_port:
            return
        # By then entries that start together have heard each other, and only
        # the first of them asks the agents.
        await task.deferLater(self._reactor, UNKNOWN_EVERY_S)
        await self._follower.run()

    def stop(self) -> None:
        """Learn no more."""
        self._stopped = True

    @property
    def progress(self) -> follower.Progress:
        """Return how the learning gets on."""
        return self._follower.progress

    def of(self, start: str) -> str:
        """Return the group of a start, "" while it is not known."""
        return self._group_by_start.get(short_hash.of(start), "")

    def answer(self) -> ttypes.GroupReply:
        """Answer another entry."""
        rows = self._group_by_start.items()
        return ttypes.GroupReply(
            groups=[ttypes.GroupOf(start=n, group=g) for n, g in rows]
        )

    async def _round(self) -> float:
        """Ask once; return the seconds until the next round."""
        ranks = {short_hash.of(r.start.key): r for r in self._ranks()}
        for number in self._group_by_start.keys() - ranks.keys():
            del self._group_by_start[number]
        if self._place() == 0:
            await self._ask_agents(ranks)
        else:
            await self._ask_peer(ranks.keys())
            missing = ranks.keys() - self._group_by_start.keys()
            self._without = self._without + 1 if missing else 0
            if self._without >= ROUNDS_WITHOUT:
                await self._ask_agents({n: ranks[n] for n in missing})
        known = ranks.keys() <= self._group_by_start.keys()
        pause_s = KNOWN_EVERY_S if known else UNKNOWN_EVERY_S
        return pause_s * (0.75 + random.random() / 2)

    async def _on_down(self, _down: error.CodedError) -> float:
        """Go on; nothing here asks the log."""
        return UNKNOWN_EVERY_S

    async def _ask_agents(
        self, ranks: dict[int, announcement.Announcement]
    ) -> None:
        """Ask the agents beside some ranks."""
        if not ranks:
            return
        LOG.info("Asks the agents for their groups.", ranks=len(ranks))
        rows = list(ranks.items())
        for first in range(0, len(rows), ASKED_AT_ONCE):
            some = rows[first : first + ASKED_AT_ONCE]
            await rank_reports.gather([self._ask(*row) for row in some])

    async def _ask(self, number: int, rank: announcement.Announcement) -> None:
        host = rank.address.rpartition(":")[0]
        query = ttypes.RankQuery(counts=False, experts=False)
        try:
            told = await self._links.to(f"{host}:{self._agent_port}").call(
                "rank", query, timeout_s=TIMEOUT_S
            )
        except link.LinkError:
            # The next round asks again; until then its group stays as known.
            return
        if told.group:
            self._learn(number, told.group)

    async def _ask_peer(self, wanted: Iterable[int]) -> None:
        """Ask one other entry what it knows."""
        peers = sorted(self._peers())
        if not peers:
            return
        try:
            told = await self._links.to(random.choice(peers)).call(
                "groups", ttypes.GroupQuery(), timeout_s=TIMEOUT_S
            )
        except link.LinkError:
            return
        wanted = set(wanted)
        for row in told.groups or ():
            if row.start in wanted and row.group:
                self._learn(row.start, row.group)

    def _learn(self, number: int, group: str) -> None:
        old = self._group_by_start.get(number)
        self._group_by_start[number] = group
        if old != group:
            LOG.info(
                "The group of an upstream is known.",
                start=number,
                group=group,
                before=old,
            )
