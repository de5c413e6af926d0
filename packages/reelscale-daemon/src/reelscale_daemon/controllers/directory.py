"""Follows the platform's list of the upstreams that announce themselves.

The list tells which upstreams there are; what is known of each beside that,
and what may be sent to it, stands in upstreams.py.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
from collections.abc import Callable, Iterable
from typing import Any

from reelscale_core import (
    announcement,
    clock,
    error,
    rendezvous,
    starts,
)
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer
from twisted.python import failure

from .. import logs, metrics
from ..adapters import base
from ..exchange import pool
from . import follower, peer_lists, unusable, upstreams, usage
from . import view as views

LOG = logs.Logger("directory")
# Between two reads, in seconds: many upstreams start or leave together, and
# each read costs a call.  Where heartbeats are records, too, every read finds
# something, so only the first entries by name read as often as that.
PAUSE_S = 0.3
# Between two reads of the others, in seconds.  What matters they hear from the
# first ones sooner; when they hear nobody, an upstream that leaves is left
# well before it ends.
OTHERS_PAUSE_S = 0.9
# After a read that failed, in seconds; up to twice as long by chance, so that
# entries do not all come back together.
RETRY_S = 0.25
# A peer that is ahead in the list for this long, in seconds, is asked for it;
# entries that read the same record differ by some 0.05 s.
PEER_LEAD_S = 0.3
# After the store was away, an upstream that is no longer listed is kept
# for this long, in seconds: it may be back with its next heartbeat.
RELIST_S = 2.0


class Directory(upstreams.Upstreams):
    """Keeps the views of all upstreams, by what the platform lists."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        roster: base.Roster,
        connections: pool.Pool,
        usage: usage.Usage,
        lists: peer_lists.PeerLists,
        links: link.Links,
        agent_port: int,
        peers: Callable[[], Iterable[str]],
        poll_s: Callable[[], float],
        watches: Callable[[], bool],
        name: str,
        metrics: metrics.Metrics,
    ) -> None:
        super().__init__(
            reactor=reactor,
            clock=clock,
            usage=usage,
            links=links,
            agent_port=agent_port,
            peers=peers,
            metrics=metrics,
        )
        self.ready = False
        self._reactor = reactor
        self._roster = roster
        self._connections = connections
        self._lists = lists
        self._poll_s = poll_s
        self._watches = watches
        self._name = name
        self._starts = starts.Starts()
        self._unusable = unusable.UnusableNotes(metrics=metrics)
        self._next = 0
        self._news_offset = 0
        self._has_news = False
        self._regained_at = float("-inf")
        self._down = False
        self._stopped = False
        self._follower = follower.Follower(
            reactor=reactor,
            clock=clock,
            name="list",
            work=self._round,
            on_down=self._on_down,
            is_running=lambda: not self._stopped,
        )

    async def run(self) -> None:
        """Follow the list until stopped."""
        await self._follower.run()

    async def _round(self) -> float:
        """Read the list once; return the seconds until the next read."""
        await self._read()
        pause_s = PAUSE_S if self._watches() else OTHERS_PAUSE_S
        return pause_s * (0.75 + random.random() / 2)

    async def _on_down(self, down: error.CodedError) -> float:
        """Ask peers while there is no list; return the same."""
        self._note_down(down)
        if not self.ready:
            self._take_of_peers(await self._lists.ask_some())
        return RETRY_S * (1 + random.random())

    @property
    def progress(self) -> follower.Progress:
        """Return how the following of the list gets on."""
        return self._follower.progress

    def stop(self) -> None:
        """Follow the list no longer."""
        self._stopped = True
        self.groups.stop()

    @property
    def offset(self) -> int:
        """Return where the list is read on; 0 while there is none."""
        return self._next if self.ready else 0

    @property
    def news_offset(self) -> int:
        """Return up to where others must have read to know what matters.

        Most records are heartbeats that say nothing new: with them others
        would ask for the whole list again and again.
        """
        return self._news_offset if self.ready else 0

    def answer(self, have_offset: int) -> ttypes.RosterReply:
        """Answer a peer that cannot read the list."""
        listed = [
            v.upstream for v in self.views_by_name.values() if not v.gone
        ]
        return peer_lists.reply(self.offset, have_offset, listed)

    def on_peer_offset(self, peer: str, offset: int) -> None:
        """Note how far a peer is; take its list if the log does not lead."""
        if offset <= self.offset:
            return
        lead_s = 0.0 if self._down or not self.ready else PEER_LEAD_S
        self._reactor.callLater(lead_s, self._pull_if_behind, peer, offset)

    def _pull_if_behind(self, peer: str, offset: int) -> None:
        if offset > self.offset and not self._lists.asking:
            defer.ensureDeferred(self._pull(peer))

    async def _pull(self, peer: str) -> None:
        self._take_of_peers(await self._lists.ask(peer, self.offset))

    def _take_of_peers(self, page: peer_lists.PeerPage | None) -> None:
        """Take a peer's list, if it is newer than the own."""
        if page is None or page.next_offset <= self.offset:
            return
        LOG.info(
            "Took the list of a peer.",
            peer=page.peer,
            offset=page.next_offset,
            have=self.offset,
            upstreams=len(page.items),
        )
        whole = base.RosterPage(page.items, page.next_offset, complete=True)
        self._take_page(whole)

    async def _read(self) -> None:
        """Read the list once, or what has changed since the last time."""
        waits = self.ready and not self._down
        wait_s = self._poll_s() if waits else 0.0
        from_offset = self._next
        page = await self._roster.read(from_offset, wait_s=wait_s)
        self._note_up()
        if self._next == from_offset or page.next_offset > self._next:
            # Else a peer's newer list has been taken meanwhile.
            self._take_page(page)

    def _take_page(self, page: base.RosterPage) -> None:
        """Take a part of the list, or all of it."""
        self._next = page.next_offset
        self._starts.record_listed(page.items)
        if page.complete:
            self._take_whole(page)
        for item in page.items:
            self._take_safely(item)
        for item in self._starts.promote_due(self._clock.monotonic()):
            self._announced(item)
        if self._has_news:
            self._news_offset, self._has_news = self._next, False
        self.ready = True
        self.notify_change()

    def _take_whole(self, page: base.RosterPage) -> None:
        """Withdraw what a whole list no longer names."""
        listed = {item.name for item in page.items}
        self._starts.retain(listed)
        for name in set(self.views_by_name) - listed:
            self._take(announcement.Withdrawn(name))

    def _take_safely(self, item: announcement.Item) -> None:
        """Take an item; its fault must not cost those behind it."""
        try:
            self._take(item)
        except Exception:
            LOG.error(
                "An item of the list could not be taken.",
                name=item.name,
                reason=failure.Failure().getTraceback(),
            )

    def _take(self, item: announcement.Item) -> None:
        match item:
            case announcement.Announcement():
                self._judge(item)
            case announcement.Withdrawn(name=name):
                self._unusable.forget(name)
                self._starts.forget(name)
                self._withdrawn(name)
            case announcement.Unusable():
                self._distrust(item)

    def _judge(self, item: announcement.Announcement) -> None:
        """Take an announcement for what it is worth."""
        match self._starts.classify(item, self._clock.monotonic()):
            case starts.Verdict.CURRENT:
                self._unusable.forget(item.name)
                self._announced(item)
            case starts.Verdict.UNDATED:
                detail = "it does not tell its start, though others do"
                bad = announcement.Unusable(item.name, "start", detail)
                self._distrust(bad)
            case starts.Verdict.SUPERSEDED:
                LOG.warning(
                    "An upstream's earlier start seems to have announced "
                    "itself.",
                    name=item.name,
                    born_ms=item.born_ms,
                )

    def _distrust(self, item: announcement.Unusable) -> None:
        """Use an upstream no more until it is announced well again."""
        self._starts.forget(item.name)
        self._unusable.note(item)
        view = self.views_by_name.get(item.name)
        if view is not None and not view.gone:
            self._drop(item.name, view.upstream)

    def _announced(self, item: announcement.Announcement) -> None:
        view = self.views_by_name.get(item.name)
        if view is None or view.gone or _says_more(view.upstream, item):
            self._has_news = True
        if view is None:
            view = self._new_view(item)
            LOG.info("An upstream is listed.", **item._asdict())
        elif starts.are_distinct(view.upstream.born_ms, item.born_ms):
            self._connections.close_idle(view.upstream.address)
            self.backoffs.on_restart(view.upstream.start, item.start)
            self.departures.on_restart(view.upstream.start, item.start)
            LOG.info(
                "An upstream has started again; nothing of before holds.",
                born_before_ms=view.upstream.born_ms,
                own_before=view.local_in_flight,
                **item._asdict(),
            )
            view = self._new_view(item)
        elif view.upstream.leaving != item.leaving or view.gone:
            LOG.info(
                "An upstream has changed.",
                name=item.name,
                leaving=item.leaving,
                was_gone=view.gone,
            )
        view.upstream = item
        view.gone = False

    def _new_view(self, item: announcement.Announcement) -> views.View:
        """Begin to see a start of an upstream, of which nothing is known."""
        tie_breaker = rendezvous.score(self._name, item.name)
        view = views.View(upstream=item, tie_breaker=tie_breaker)
        self.views_by_name[item.name] = view
        return view

    def _withdrawn(self, name: str) -> None:
        """Drop an upstream, later if it may be back after an outage."""
        self._has_news = True
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
        self._has_news = True
        LOG.info(
            "An upstream is no longer listed.",
            name=name,
            own=view.local_in_flight,
        )
        self._connections.close_idle(upstream.address)
        if not view.local_in_flight:
            del self.views_by_name[name]

    def _note_down(self, down: error.CodedError) -> None:
        if not self._down:
            LOG.warning(
                "The list of upstreams cannot be read; the last one counts.",
                upstreams=len(self.views_by_name),
                reason=down.detail,
            )
        self._down = True

    def _note_up(self) -> None:
        if self._down:
            self._down = False
            self._regained_at = self._clock.monotonic()
            LOG.info("The list of upstreams can be read again.")


def _says_more(
    known: announcement.Announcement, item: announcement.Announcement
) -> bool:
    """Tell whether an announcement says more than that its upstream lives."""
    return known._replace(cold_s=0.0) != item._replace(cold_s=0.0)
