"""Follows the platform's list of announced upstreams.

The list determines which upstreams exist; upstreams.py keeps their state and
decides which requests may be sent to them.
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
    latest,
    position,
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
from . import (
    follower,
    freshness,
    list_outage,
    outdated,
    peer_lists,
    unusable,
    upstreams,
    usage,
)
from . import view as views

LOG = logs.Logger("directory")
# Interval between reads of the list, in seconds, at those who read often.
# Many upstreams start or leave together, and each read costs a call.
# Where heartbeats are records, every read returns some, so not all entries
# read this often.
POLL_INTERVAL_S = 0.3
# The same at the other entries, which get changes from those sooner.
# Short enough to notice a leaving upstream well before it ends.
SECONDARY_POLL_INTERVAL_S = 0.9
# Minimum delay after a failed read, in seconds; jittered up to twice as long.
RETRY_S = 0.25
# How long a peer has to be ahead in the list before it is queried, in seconds;
# entries read the same record within some 0.05 s.
PEER_LEAD_TIMEOUT_S = 0.3
# How long an unlisted upstream is kept after an outage or a restore of the
# store, in seconds: it may be listed again with its next heartbeat.
RELIST_GRACE_S = 2.0


class Directory(upstreams.Upstreams):
    """Keeps the views of all upstreams on the platform's list."""

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
        freshness: freshness.Freshness,
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
        self._freshness = freshness
        self._name = name
        self._starts = starts.Starts()
        self._latest = latest.Latest(clock=clock)
        self._outdated = outdated.OutdatedFilter(
            reactor=reactor, latest=self._latest, apply=self._apply_withheld
        )
        self._unusable = unusable.UnusableAnnouncements(metrics=metrics)
        self._next = 0
        self._update_offset = 0
        self._has_updates = False
        self._recovered_at = float("-inf")
        self._outage = list_outage.ListOutage()
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
        pause_s = (
            POLL_INTERVAL_S
            if self._freshness.is_reader()
            else SECONDARY_POLL_INTERVAL_S
        )
        return pause_s * (0.75 + random.random() / 2)

    async def _on_down(self, down: error.CodedError) -> float:
        """Query peers while there is no list; return the next pause."""
        self._outage.record_down(down, upstreams=len(self.views_by_name))
        if not self.ready:
            self._apply_peer_page(await self._lists.ask_some())
        return RETRY_S * (1 + random.random())

    @property
    def progress(self) -> follower.Progress:
        """Return the progress of the loop that follows the list."""
        return self._follower.progress

    def stop(self) -> None:
        """Stop following the list."""
        self._stopped = True
        self.groups.stop()

    @property
    def offset(self) -> int:
        """Return the offset of the next read; 0 while there is no list."""
        return self._next if self.ready else 0

    @property
    def update_offset(self) -> int:
        """Return the offset up to which peers must read to get all changes.

        Excludes trailing heartbeats without changes, for which peers would
        request the complete list again and again.
        """
        return self._update_offset if self.ready else 0

    def answer(self, have_offset: int) -> ttypes.RosterReply:
        """Answer a peer that cannot read the list."""
        listed = [
            v.upstream for v in self.views_by_name.values() if not v.gone
        ]
        return peer_lists.reply(self.offset, have_offset, listed)

    def on_peer_offset(self, peer: str, offset: int) -> None:
        """Handle a peer's offset; fetch its list if this entry is behind."""
        if offset <= self.offset:
            return
        lead_s = (
            0.0 if self._outage.down or not self.ready else PEER_LEAD_TIMEOUT_S
        )
        self._reactor.callLater(lead_s, self._pull_if_behind, peer, offset)

    def _pull_if_behind(self, peer: str, offset: int) -> None:
        if offset > self.offset and not self._lists.asking:
            defer.ensureDeferred(self._pull(peer))

    async def _pull(self, peer: str) -> None:
        self._apply_peer_page(await self._lists.ask(peer, self.offset))

    def _apply_peer_page(self, page: peer_lists.PeerPage | None) -> None:
        """Apply a peer's list if it is newer than the local one."""
        if page is None or page.next_offset <= self.offset:
            return
        LOG.info(
            "Applied the list of a peer.",
            peer=page.peer,
            **position.decode(page.next_offset)._asdict(),
            have=position.decode(self.offset).offset,
            upstreams=len(page.items),
        )
        complete = base.RosterPage(page.items, page.next_offset, complete=True)
        self._apply_page(complete)

    async def _read(self) -> None:
        """Read the list, or its changes since the last read."""
        long_poll = self.ready and not self._outage.down
        wait_s = self._freshness.wait_s() if long_poll else 0.0
        from_offset = self._next
        asked_at = self._clock.monotonic()
        read = self._roster.read(from_offset, wait_s=wait_s)
        page = await (self._freshness.run(read) if wait_s else read)
        if self._outage.record_up():
            self._recovered_at = self._clock.monotonic()
        if self._next == from_offset or page.next_offset > self._next:
            # Otherwise a peer's newer list has been applied meanwhile.
            self._apply_page(page)
        if not page.more:
            self._freshness.record_answer(asked_at=asked_at, wait_s=wait_s)

    def _apply_page(self, page: base.RosterPage) -> None:
        """Apply changes of the list, or a complete list."""
        restored = self._is_restored(page.next_offset)
        if restored:
            self._record_restored(page.next_offset)
        self._next = page.next_offset
        self._starts.record_listed(page.items)
        if page.complete:
            self._withdraw_unlisted(page, restored=restored)
        for item in self._outdated.remove(page, restored=restored):
            self._apply_safely(item)
        for item in self._starts.promote_due(self._clock.monotonic()):
            self._update_view(item)
        if self._has_updates:
            self._update_offset, self._has_updates = self._next, False
        self.ready = True
        self.notify_change()

    def _apply_withheld(self, item: announcement.Announcement) -> None:
        self._apply_safely(item)
        self.notify_change()

    def _is_restored(self, next_offset: int) -> bool:
        """Return whether a page is of another incarnation of the list."""
        old, new = position.decode(self._next), position.decode(next_offset)
        return self.ready and new.incarnation != old.incarnation

    def _record_restored(self, next_offset: int) -> None:
        """Grant upstreams time to be listed again after a restore.

        The copy lacks those that were announced after it was made.
        """
        old, new = position.decode(self._next), position.decode(next_offset)
        self._recovered_at = self._clock.monotonic()
        LOG.warning(
            "The list was restored from a copy; it was read anew.",
            incarnation_before=old.incarnation,
            incarnation=new.incarnation,
            offset_before=old.offset,
            offset=new.offset,
            upstreams=len(self.views_by_name),
        )

    def _withdraw_unlisted(
        self, page: base.RosterPage, *, restored: bool
    ) -> None:
        """Withdraw upstreams that are missing from a complete list.

        Args:
          page: The list.
          restored: Whether it is the first of a restored store, which may
            lack what was announced after its copy was made.
        """
        listed = {item.name for item in page.items}
        self._starts.retain(listed)
        for name in set(self.views_by_name) - listed:
            if restored:
                self._latest.lose(name)
            else:
                self._latest.withdraw_unlisted(name)
            self._remove(name)

    def _apply_safely(self, item: announcement.Item) -> None:
        """Apply an item; an error must not affect the items after it."""
        try:
            self._apply(item)
        except Exception:
            LOG.error(
                "Could not apply an item of the list.",
                name=item.name,
                reason=failure.Failure().getTraceback(),
            )

    def _apply(self, item: announcement.Item) -> None:
        match item:
            case announcement.Announcement():
                self._apply_announcement(item)
            case announcement.Withdrawn(name=name):
                self._latest.withdraw(name)
                self._remove(name)
            case announcement.Unusable():
                self._mark_unusable(item)

    def _remove(self, name: str) -> None:
        """Remove an upstream that is no longer announced."""
        self._unusable.forget(name)
        self._starts.forget(name)
        self._withdraw(name)

    def _apply_announcement(self, item: announcement.Announcement) -> None:
        """Apply an announcement if it is of the upstream's current start."""
        match self._starts.classify(item, self._clock.monotonic()):
            case starts.Verdict.CURRENT:
                self._latest.record(item)
                self._unusable.forget(item.name)
                self._update_view(item)
            case starts.Verdict.UNDATED:
                detail = (
                    "its start is missing, though most others report theirs"
                )
                bad = announcement.Unusable(item.name, "start", detail)
                self._mark_unusable(bad)
            case starts.Verdict.SUPERSEDED:
                LOG.warning(
                    "An upstream's earlier start seems to have announced "
                    "itself.",
                    name=item.name,
                    born_ms=item.born_ms,
                )

    def _mark_unusable(self, item: announcement.Unusable) -> None:
        """Drop an upstream until it sends a valid announcement again."""
        self._starts.forget(item.name)
        self._unusable.record(item)
        view = self.views_by_name.get(item.name)
        if view is not None and not view.gone:
            self._drop(item.name, view.upstream)

    def _update_view(self, item: announcement.Announcement) -> None:
        view = self.views_by_name.get(item.name)
        if (
            view is None
            or view.gone
            or announcement.has_changes(view.upstream, item)
        ):
            self._has_updates = True
        if view is None:
            view = self._new_view(item)
            LOG.info("An upstream is listed.", **item._asdict())
        elif starts.are_distinct(view.upstream.born_ms, item.born_ms):
            self._connections.close_idle(view.upstream.address)
            self.backoffs.on_restart(view.upstream.start, item.start)
            self.departures.on_restart(view.upstream.start, item.start)
            LOG.info(
                "An upstream restarted; its earlier state is discarded.",
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
                sequence=item.sequence,
                sequence_before=view.upstream.sequence,
            )
        view.upstream = item
        view.gone = False

    def _new_view(self, item: announcement.Announcement) -> views.View:
        """Add an empty view of a new start of an upstream."""
        tie_breaker = rendezvous.score(self._name, item.name)
        view = views.View(upstream=item, tie_breaker=tie_breaker)
        self.views_by_name[item.name] = view
        return view

    def _withdraw(self, name: str) -> None:
        """Drop an upstream, with a grace period after an outage."""
        self._has_updates = True
        since_s = self._clock.monotonic() - self._recovered_at
        view = self.views_by_name.get(name)
        if view is None or view.gone:
            return
        if since_s < RELIST_GRACE_S:
            later_s = RELIST_GRACE_S - since_s
            self._reactor.callLater(later_s, self._drop, name, view.upstream)
            return
        self._drop(name, view.upstream)

    def _drop(self, name: str, upstream: announcement.Announcement) -> None:
        """Stop sending to an upstream, unless it was announced again."""
        view = self.views_by_name.get(name)
        if view is None or view.upstream is not upstream:
            return
        view.gone = True
        self._has_updates = True
        LOG.info(
            "An upstream is no longer listed.",
            name=name,
            own=view.local_in_flight,
            sequence=upstream.sequence,
        )
        self._connections.close_idle(upstream.address)
        if not view.local_in_flight:
            del self.views_by_name[name]
