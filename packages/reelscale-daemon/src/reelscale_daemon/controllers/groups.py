"""Maps upstreams to their groups of ranks, as an entry discovers them.

A target may have several groups, which run independently, so one may be slow
or down while the others are not.  The agent beside a rank knows its group.
One entry queries all agents and the other entries query each other, so that
the load on agents does not grow with the number of entries.
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
# Interval between rounds, in seconds, while a group is unknown and while none
# is.
UNKNOWN_INTERVAL_S = 1.0
KNOWN_INTERVAL_S = 8.0
# Rounds with incomplete answers of other entries before agents are queried.
MAX_INCOMPLETE_ROUNDS = 3
TIMEOUT_S = 0.5
MAX_CONCURRENT_QUERIES = 12


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
        """Create the map; run() fills it.

        Args:
          reactor: The Twisted reactor.
          clock: The time.
          links: Connections to agents and other entries.
          ranks: Returns the upstreams that are ranks of groups.
          agent_port: Port of the agent on an upstream's box; 0 if there are
            no agents, so that each target counts as one group.
          place: Returns the position of this entry among all entries.
          peers: Returns the addresses of other entries.
        """
        self._reactor = reactor
        self._links = links
        self._ranks = ranks
        self._agent_port = agent_port
        self._place = place
        self._peers = peers
        self._group_by_start: dict[int, str] = {}
        self._incomplete_rounds = 0
        self._stopped = False
        self._follower = follower.Follower(
            reactor=reactor,
            clock=clock,
            name="groups",
            work=self._round,
            on_down=self._on_down,
            is_running=lambda: not self._stopped,
        )

    async def run(self) -> None:
        """Discover groups until stopped."""
        if not self._agent_port:
            return
        # Entries that start together discover each other first, so that only
        # one of them queries the agents.
        await task.deferLater(self._reactor, UNKNOWN_INTERVAL_S)
        await self._follower.run()

    def stop(self) -> None:
        """Stop the discovery."""
        self._stopped = True

    @property
    def progress(self) -> follower.Progress:
        """Return the progress of the discovery."""
        return self._follower.progress

    def of(self, start: str) -> str:
        """Return the group of a start, "" while unknown."""
        return self._group_by_start.get(short_hash.of(start), "")

    def answer(self) -> ttypes.GroupReply:
        """Answer another entry."""
        rows = self._group_by_start.items()
        return ttypes.GroupReply(
            groups=[ttypes.GroupOf(start=n, group=g) for n, g in rows]
        )

    async def _round(self) -> float:
        """Run one round; return the seconds until the next."""
        ranks = {short_hash.of(r.start.key): r for r in self._ranks()}
        for number in self._group_by_start.keys() - ranks.keys():
            del self._group_by_start[number]
        if self._place() == 0:
            await self._query_first(ranks)
        else:
            await self._query_peer(ranks.keys())
            missing = ranks.keys() - self._group_by_start.keys()
            self._incomplete_rounds = (
                self._incomplete_rounds + 1 if missing else 0
            )
            if self._incomplete_rounds >= MAX_INCOMPLETE_ROUNDS:
                await self._query_agents({n: ranks[n] for n in missing})
        known = ranks.keys() <= self._group_by_start.keys()
        pause_s = KNOWN_INTERVAL_S if known else UNKNOWN_INTERVAL_S
        return pause_s * (0.75 + random.random() / 2)

    async def _query_first(
        self, ranks: dict[int, announcement.Announcement]
    ) -> None:
        """Query the agents, as the first entry by name does.

        An entry that has just started asks another one before, which may
        have been the first until then.
        """
        if self._group_by_start:
            await self._query_agents(ranks)
            return
        await self._query_peer(ranks.keys())
        missing = ranks.keys() - self._group_by_start.keys()
        await self._query_agents({n: ranks[n] for n in missing})

    async def _on_down(self, _down: error.CodedError) -> float:
        """Return the pause; no call of a round raises this error."""
        return UNKNOWN_INTERVAL_S

    async def _query_agents(
        self, ranks: dict[int, announcement.Announcement]
    ) -> None:
        """Query the agents beside some ranks."""
        if not ranks:
            return
        LOG.info("Querying agents for their groups.", ranks=len(ranks))
        rows = list(ranks.items())
        for first in range(0, len(rows), MAX_CONCURRENT_QUERIES):
            batch = rows[first : first + MAX_CONCURRENT_QUERIES]
            await rank_reports.gather([self._query(*row) for row in batch])

    async def _query(
        self, number: int, rank: announcement.Announcement
    ) -> None:
        host = rank.address.rpartition(":")[0]
        query = ttypes.RankQuery(counts=False, experts=False)
        try:
            report = await self._links.to(f"{host}:{self._agent_port}").call(
                "rank", query, timeout_s=TIMEOUT_S
            )
        except link.LinkError:
            # Its group stays as known until a later round.
            return
        if report.group:
            self._record(number, report.group)

    async def _query_peer(self, requested: Iterable[int]) -> None:
        """Query one other entry for the groups that it knows."""
        peers = sorted(self._peers())
        if not peers:
            return
        try:
            reply = await self._links.to(random.choice(peers)).call(
                "groups", ttypes.GroupQuery(), timeout_s=TIMEOUT_S
            )
        except link.LinkError:
            return
        requested = set(requested)
        for row in reply.groups or ():
            if row.start in requested and row.group:
                self._record(row.start, row.group)

    def _record(self, number: int, group: str) -> None:
        old = self._group_by_start.get(number)
        self._group_by_start[number] = group
        if old != group:
            LOG.info(
                "Learned the group of an upstream.",
                start=number,
                group=group,
                before=old,
            )
