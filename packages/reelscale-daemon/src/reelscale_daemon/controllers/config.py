"""Follows the log and keeps the configuration that is in force here.

The state's offset only ever rises.  While the log cannot be asked, the
state comes from peers, and again only a higher offset is taken.  A process
that could ask neither since its start is not ready.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
from collections.abc import Callable
from typing import Any

from reelscale_core import clock, error, fold, snapshot
from reelscale_core import state as states
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer, task
from twisted.python import failure

from .. import logs, slices
from ..adapters import base
from . import follower

LOG = logs.Logger("config")
RETRY_S = 0.25
# Seconds for which a read waits at the log for something new.  An answer
# that is lost makes a process deaf for this long and the client's margin of
# 0.3 s; together they are to be less than the 3 s for which the log must
# have been sound before a configuration has to be in force.
POLL_S = 2.2
PEER_TIMEOUT_S = 2.0
# Peers asked for their state at a time, so that an outage is no storm.
PEERS_ASKED = 3
# A configuration that is in doubt is confirmed by the log or by peers; when
# neither has answered after this long, in seconds, it counts all the same, as
# a hall that is cut off serves what it can.
DOUBT_MOST_S = 1.0
# The log counts as out of reach after this long without an answer.
LOG_FRESH_S = 3.0
# A log that never answered is shown with this age, in seconds, some eleven
# days: longer than any process waits for its first configuration.
LONGEST_AGE_S = 1e6


class Config:
    """The configuration in force at this process."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        platform: base.Source,
        links: link.Links,
        peers: tuple[str, ...],
        snapshot_every: int,
        poll_s: Callable[[], float] = lambda: POLL_S,
        peer_lead_s: float | None = None,
    ) -> None:
        """Make it; run() follows the log.

        Args:
          reactor: The loop.
          clock: The time.
          platform: The log.
          links: Connections to peers.
          peers: Addresses of some peers.
          snapshot_every: Records after which a snapshot is written.
          poll_s: Gives how long the next read waits at the log.
          peer_lead_s: How long a peer may be ahead before its state is
            taken while the log answers; None for as long as it answers.
        """
        self.state = states.State()
        self.ready = False
        self.gap = False
        self.seen_by_lease: dict[str, tuple[int, float]] = {}
        self._reactor = reactor
        self._clock = clock
        self._platform = platform
        self._links = links
        self.peers = set(peers)
        self._down_said = False
        self._dumped = (-1, "")
        self._snapshot_every = snapshot_every
        self._poll_s = poll_s
        self._log_at = float("-inf")
        self._last_snapshot = 0
        self._listeners: list[Callable[[states.State], None]] = []
        self._waiters: list[tuple[Callable[[], Any], defer.Deferred]] = []
        self._peer_lead_s = peer_lead_s
        self._pulling = False
        self._asking = False
        self._failing = False
        self._stopped = False
        self._follower = follower.Follower(
            reactor=reactor,
            clock=clock,
            name="configuration",
            work=self._round,
            on_down=self._on_down,
            is_running=lambda: not self._stopped,
        )

    def listen(self, listener: Callable[[states.State], None]) -> None:
        """Call a function after every change of the state."""
        self._listeners.append(listener)

    def log_age_s(self) -> float:
        """Return seconds since the log last answered."""
        return self._clock.monotonic() - self._log_at

    def shown_log_age_s(self) -> float:
        """Return the age for gauges and the wire, which take no infinity."""
        return min(self.log_age_s(), LONGEST_AGE_S)

    def log_age_ms(self) -> int:
        """Return the age as it is shown, in whole milliseconds."""
        return int(self.shown_log_age_s() * 1000)

    def stop(self) -> None:
        """Follow the log no longer."""
        self._stopped = True

    async def run(self) -> None:
        """Follow the log until stopped."""
        await self._follower.run()

    def doubt(self) -> None:
        """Take no request until the configuration in force is confirmed.

        The machine stood still, and there may be a newer one since long.
        """
        if not self.ready:
            return
        self.ready = False
        self._reactor.callLater(DOUBT_MOST_S, self._end_doubt)
        defer.ensureDeferred(self._confirm())

    async def _confirm(self) -> None:
        """Ask the log for newer records, and peers if it cannot tell."""
        try:
            got = await self._platform.read(self.state.offset + 1, wait_s=0)
        except error.CodedError as down:
            await self._ask_peers(down)
            return
        self._log_at = self._clock.monotonic()
        self._take(fold.fold(self.state, got.rows))
        self.ready = True

    def _end_doubt(self) -> None:
        if not self.ready:
            self.ready = True
            LOG.warning(
                "Nobody confirms the configuration; it counts all the same.",
                offset=self.state.offset,
            )

    async def _round(self) -> float:
        """Read the log once; the next read follows at once."""
        await self._read()
        self._failing = False
        return 0.0

    async def _on_down(self, down: error.CodedError) -> float:
        """Ask peers once the log was away for long; return the pause."""
        self._failing = True
        if self.log_age_s() > LOG_FRESH_S and not self._asking:
            defer.ensureDeferred(self._ask_peers(down))
        return RETRY_S * (1 + random.random())

    @property
    def progress(self) -> follower.Progress:
        """Return how the following of the log gets on."""
        return self._follower.progress

    async def settled(
        self, plan_id: str, timeout_s: float
    ) -> states.Verdict | None:
        """Wait until the fold has judged a plan; None if it takes long."""

        def verdict() -> states.Verdict | None:
            return self.state.verdicts_by_id.get(plan_id)

        return await self._until(verdict, timeout_s)

    async def planned(self, plan_id: str, timeout_s: float) -> Any:
        """Wait until the fold has taken a plan in; None if it takes long."""

        def row() -> Any:
            return self.state.plans_by_id.get(plan_id)

        return await self._until(row, timeout_s)

    async def _until(self, find: Callable[[], Any], timeout_s: float) -> Any:
        """Wait until a function of the state finds something."""
        found = find()
        if found is not None:
            return found
        waiter: defer.Deferred = defer.Deferred()
        row = (find, waiter)
        self._waiters.append(row)
        later = self._reactor.callLater(timeout_s, waiter.callback, None)
        await waiter
        if later.active():
            later.cancel()
        if row in self._waiters:
            self._waiters.remove(row)
        return find()

    def record_peer_offset(self, peer: str, offset: int) -> None:
        """Note a peer's offset; pull its state if the log does not lead."""
        if offset <= self.state.offset:
            return
        if self.log_age_s() > LOG_FRESH_S:
            self._pull_if_behind(peer, offset)
        elif self._peer_lead_s is not None:
            self._reactor.callLater(
                self._peer_lead_s, self._pull_if_behind, peer, offset
            )

    def _pull_if_behind(self, peer: str, offset: int) -> None:
        if offset > self.state.offset and not self._pulling:
            defer.ensureDeferred(self._pull(peer))

    async def answer(self, have_offset: int) -> ttypes.StateReply:
        """Answer a peer that asks for the state."""
        state = self.state
        if have_offset >= state.offset:
            return ttypes.StateReply(offset=state.offset, digest="", state=b"")
        text = await self._dump(state)
        return ttypes.StateReply(
            offset=state.offset,
            digest=states.digest(text),
            state=text.encode(),
        )

    async def _dump(self, state: states.State) -> str:
        """Dump a state; the newest dump is kept, as many may ask."""
        if self._dumped[0] != state.offset:
            text = await slices.run(self._reactor, states.dump_slices(state))
            self._dumped = (state.offset, text)
        return self._dumped[1]

    async def _read(self) -> None:
        # While the log fails, reads that wait would only notice late that it
        # is back.
        waits = self.ready and not self._failing
        wait_s = self._poll_s() if waits else 0.0
        got = await self._platform.read(self.state.offset + 1, wait_s=wait_s)
        self._log_at = self._clock.monotonic()
        self._down_said = False
        if got.oldest > self.state.offset + 1:
            await self._jump(got)
            return
        self._take(fold.fold(self.state, got.rows))
        self._note_snapshots(got.rows)
        if self.state.offset + 1 >= got.head:
            self.ready = True
            self.gap = False
        await self._maybe_snapshot(got.oldest)

    async def _jump(self, got: base.Rows) -> None:
        """Get over records that the log no longer keeps."""
        rows: list[tuple[int, Any]] = []
        at = got.oldest
        while at < got.head:
            more = await self._platform.read(at, wait_s=0)
            if not more.rows:
                break
            rows += more.rows
            at = more.rows[-1][0] + 1
        whole = await slices.run(self._reactor, snapshot.newest_slices(rows))
        usable = whole is not None and whole.offset + 1 >= got.oldest
        if not usable or whole.offset <= self.state.offset:
            self.gap = True
            LOG.error(
                "The log has dropped records that no snapshot covers.",
                have=self.state.offset,
                oldest=got.oldest,
            )
            await self._ask_peers(None)
            await self._pause(1.0)
            return
        self.gap = False
        self._take(fold.fold(whole, rows))
        self._note_snapshots(rows)

    def _take(self, new: states.State) -> None:
        """Bring a state into force, if it is newer."""
        if new.offset <= self.state.offset:
            return
        self.state = new
        now = self._clock.monotonic()
        for name, lease in new.leases_by_name.items():
            if self.seen_by_lease.get(name, (0, 0.0))[0] != lease.offset:
                self.seen_by_lease[name] = (lease.offset, now)
        for listener in self._listeners:
            self._tell(listener, new)
        for find, waiter in list(self._waiters):
            if find() is not None and not waiter.called:
                waiter.callback(None)

    def _tell(
        self, listener: Callable[[states.State], None], new: states.State
    ) -> None:
        """Tell one part of a state; its fault must not cost the others it."""
        try:
            listener(new)
        except Exception:
            LOG.error(
                "A part did not take a configuration.",
                offset=new.offset,
                reason=failure.Failure().getTraceback(),
            )

    def _note_snapshots(self, rows: list[tuple[int, Any]]) -> None:
        for offset, data in rows:
            if isinstance(data, dict) and data.get("kind") == "snapshot":
                self._last_snapshot = offset

    async def _maybe_snapshot(self, oldest: int) -> None:
        """Write a snapshot when the last one has grown old.

        Any process may; a random wait lets one go first, and two equal
        snapshots do no harm.
        """
        since = self.state.offset - max(self._last_snapshot, oldest - 1)
        if since < self._snapshot_every:
            return
        seen = self._last_snapshot
        await self._pause(random.random() * 2)
        got = await self._platform.read(self.state.offset + 1, wait_s=0)
        self._take(fold.fold(self.state, got.rows))
        self._note_snapshots(got.rows)
        if self._last_snapshot != seen:
            return
        state = self.state
        text = await self._dump(state)
        for part in snapshot.split_text(state.offset, text):
            await self._platform.append([part])
        LOG.info("Wrote a snapshot.", offset=state.offset)

    async def _ask_peers(self, down: error.CodedError | None) -> None:
        """Ask a few peers; ready once any has answered with a state."""
        heard = False
        known = sorted(self.peers)
        self._asking = True
        try:
            for peer in random.sample(known, min(len(known), PEERS_ASKED)):
                heard = await self._pull(peer) or heard
        finally:
            self._asking = False
        self.ready = self.ready or heard
        if down is not None and self.ready and not self._down_said:
            self._down_said = True
            LOG.warning(
                "The log cannot be asked; serving on what is in force.",
                offset=self.state.offset,
                reason=down.detail,
            )

    async def _pull(self, peer: str) -> bool:
        """Take a peer's state if it is newer; tell whether it has one."""
        self._pulling = True
        try:
            reply = await self._links.to(peer).call(
                "state",
                ttypes.StateRequest(have_offset=self.state.offset),
                timeout_s=PEER_TIMEOUT_S,
            )
        except link.LinkError:
            return False
        finally:
            self._pulling = False
        if reply.state:
            return await self._take_peers(peer, reply)
        return reply.offset >= 0

    async def _take_peers(self, peer: str, reply: ttypes.StateReply) -> bool:
        text = reply.state.decode()
        if states.digest(text) != reply.digest:
            LOG.error("A peer sent a damaged state.", peer=peer)
            return False
        loading = states.load_slices(text)
        self._take(await slices.run(self._reactor, loading))
        LOG.info(
            "Took the state of a peer.", peer=peer, offset=self.state.offset
        )
        return True

    async def _pause(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds)
