"""Follows the log and maintains the configuration in force at this process.

The offset of the state never decreases; it is a position, so that the records
of a restored log are above all that were read before.  While the log is
unavailable, the state is read from peers, again only at a higher offset.  A
process that has reached neither since its start is not ready.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
from collections.abc import Callable
from typing import Any

from reelscale_core import clock, error, fold, position, snapshot
from reelscale_core import state as states
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer, task
from twisted.python import failure

from .. import logs, slices
from ..adapters import base
from . import (
    follower,
    freshness,
    log_checks,
    snapshots,
    state_dumps,
    state_waits,
)

LOG = logs.Logger("config")
RETRY_S = 0.25
# Seconds for which a read waits at the log for new records where processes
# confirm nothing to each other; a lost answer delays updates by that much.
POLL_S = 2.2
PEER_TIMEOUT_S = 2.0
# Peers queried at a time, which limits the load during an outage of the log.
PEERS_QUERIED = 3
# Seconds to wait for the log or a peer to confirm the configuration; without
# an answer it is used unconfirmed, so that a partitioned hall keeps serving.
CONFIRM_TIMEOUT_S = 1.0
# Seconds without an answer after which the log is considered unavailable.
LOG_TIMEOUT_S = 3.0
# Reported age, in seconds, of a log that has never answered.
MAX_AGE_S = 1e6


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
        reads: freshness.Reads | None = None,
        peer_lead_s: float | None = None,
    ) -> None:
        """Initialize with an empty state; run() follows the log.

        Args:
          reactor: The reactor.
          clock: The clock.
          platform: The log.
          links: Connections to peers.
          peers: Addresses of some peers.
          snapshot_every: Records after which a snapshot is written.
          reads: How long reads wait at the log, and when one is given up;
            POLL_S and never if None.
          peer_lead_s: How long a peer may be ahead before its state is
            adopted while the log answers; None for never.
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
        self._outage_logged = False
        self._log_checks = log_checks.LogChecks()
        self._dumps = state_dumps.StateDumps(reactor=reactor)
        self._snapshots = snapshots.Snapshots(every=snapshot_every)
        self._reads = reads or freshness.SteadyReads(wait_s=POLL_S)
        self._log_at = float("-inf")
        self._listeners: list[Callable[[states.State], None]] = []
        self._waits = state_waits.StateWaits(reactor=reactor)
        self._peer_lead_s = peer_lead_s
        self._pulling = False
        self._querying = False
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
        """Return the seconds since the log last answered."""
        return self._clock.monotonic() - self._log_at

    def reported_log_age_s(self) -> float:
        """Return the age as a finite number, for gauges and the wire."""
        return min(self.log_age_s(), MAX_AGE_S)

    def log_age_ms(self) -> int:
        """Return the reported age in whole milliseconds."""
        return int(self.reported_log_age_s() * 1000)

    def stop(self) -> None:
        """Stop following the log."""
        self._stopped = True

    async def run(self) -> None:
        """Follow the log until stopped."""
        await self._follower.run()

    def require_confirmation(self) -> None:
        """Become unready until the configuration in force is confirmed.

        Called after a suspension, during which it may have been replaced.
        """
        if not self.ready:
            return
        self.ready = False
        self._reactor.callLater(CONFIRM_TIMEOUT_S, self._end_confirmation)
        defer.ensureDeferred(self._confirm())

    async def _confirm(self) -> None:
        """Read newer records of the log, or query peers if it is down."""
        asked_at = self._clock.monotonic()
        try:
            got = await self._platform.read(self.state.offset + 1, wait_s=0)
        except error.CodedError as down:
            await self._query_peers(down)
            return
        self._log_at = self._clock.monotonic()
        self._apply(fold.fold(self.state, got.rows))
        self._record_answer(got, asked_at=asked_at, wait_s=0.0)
        self.ready = True

    def _end_confirmation(self) -> None:
        if not self.ready:
            self.ready = True
            LOG.warning(
                "Using an unconfirmed configuration.",
                **position.decode(self.state.offset)._asdict(),
            )

    async def _round(self) -> float:
        """Read the log once; return the pause before the next read.

        Reads wait at the log, so the next one follows at once, unless the log
        answered without waiting and with nothing new: it has not got the
        records asked for, and would be asked again and again.
        """
        # While the log fails, reads do not wait, to detect its recovery soon.
        may_wait = self.ready and not self._failing
        before = self.state.offset
        began_at = self._clock.monotonic()
        await self._read(self._reads.wait_s() if may_wait else 0.0)
        self._failing = False
        waited_s = self._clock.monotonic() - began_at
        is_refused = may_wait and waited_s < RETRY_S
        if is_refused and self.state.offset <= before:
            return RETRY_S * (1 + random.random())
        return 0.0

    async def _on_down(self, down: error.CodedError) -> float:
        """Query peers once the log is unavailable; return the retry delay."""
        self._failing = True
        if self.log_age_s() > LOG_TIMEOUT_S and not self._querying:
            defer.ensureDeferred(self._query_peers(down))
        return RETRY_S * (1 + random.random())

    @property
    def progress(self) -> follower.Progress:
        """Return the progress of following the log."""
        return self._follower.progress

    async def settled(
        self, plan_id: str, timeout_s: float
    ) -> states.Verdict | None:
        """Wait for the verdict on a plan; return None after the time-out."""

        def verdict() -> states.Verdict | None:
            return self.state.verdicts_by_id.get(plan_id)

        return await self._waits.until(verdict, timeout_s)

    async def planned(self, plan_id: str, timeout_s: float) -> Any:
        """Wait until a plan is recorded; return None after the time-out."""

        def row() -> Any:
            return self.state.plans_by_id.get(plan_id)

        return await self._waits.until(row, timeout_s)

    def record_peer_offset(
        self, peer: str, offset: int, version: int = 0
    ) -> None:
        """Record what a peer has; pull its state if the log falls behind.

        Args:
          peer: Address of the peer.
          offset: Offset of its state.
          version: Version of its full configuration, 0 without one.
        """
        if not self._is_behind(offset, version):
            return
        if self.log_age_s() > LOG_TIMEOUT_S:
            self._pull_if_behind(peer, offset, version)
        elif self._peer_lead_s is not None:
            self._reactor.callLater(
                self._peer_lead_s, self._pull_if_behind, peer, offset, version
            )

    def _is_behind(self, offset: int, version: int) -> bool:
        """Return whether a peer has a newer state or configuration."""
        return offset > self.state.offset or version > self.state.version

    def _pull_if_behind(self, peer: str, offset: int, version: int) -> None:
        if self._is_behind(offset, version) and not self._pulling:
            defer.ensureDeferred(self._pull(peer))

    async def answer(
        self, have_offset: int, have_version: int | None
    ) -> ttypes.StateReply:
        """Answer a peer's request for the state.

        Args:
          have_offset: Offset of the peer's state.
          have_version: Version of its full configuration, if it has versions.
        """
        state = self.state
        is_newer = state.version > (have_version or 0)
        if have_offset >= state.offset and not is_newer:
            return ttypes.StateReply(offset=state.offset, digest="", state=b"")
        text = await self._dumps.dump(state)
        return ttypes.StateReply(
            offset=state.offset,
            digest=states.digest(text),
            state=text.encode(),
        )

    async def _read(self, wait_s: float) -> None:
        from_offset = self.state.offset + 1
        asked_at = self._clock.monotonic()
        read = self._platform.read(from_offset, wait_s=wait_s)
        got = await (self._reads.run(read) if wait_s else read)
        self._log_at = self._clock.monotonic()
        self._outage_logged = False
        self._log_checks.check_end(self.state, from_offset, got.head)
        if got.oldest > self.state.offset + 1:
            await self._jump(got)
            return
        self._apply(fold.fold(self.state, got.rows))
        self._snapshots.record(got.rows)
        self._record_answer(got, asked_at=asked_at, wait_s=wait_s)
        if self.state.offset + 1 >= got.head:
            self.ready = True
            self.gap = False
        await self._maybe_snapshot(got.oldest)

    def _record_answer(
        self, got: base.Rows, *, asked_at: float, wait_s: float
    ) -> None:
        """Record an answer of the log after which no record is missing."""
        if self.state.offset + 1 >= got.head:
            self._reads.record_answer(asked_at=asked_at, wait_s=wait_s)

    async def _jump(self, got: base.Rows) -> None:
        """Skip records that the log has dropped, by a snapshot."""
        rows: list[tuple[int, Any]] = []
        at = got.oldest
        while at < got.head:
            more = await self._platform.read(at, wait_s=0)
            if not more.rows:
                break
            rows += more.rows
            at = more.rows[-1][0] + 1
        newest = await slices.run(self._reactor, snapshot.newest_slices(rows))
        usable = newest is not None and newest.offset + 1 >= got.oldest
        if not usable or newest.offset <= self.state.offset:
            self.gap = True
            LOG.error(
                "The log has dropped records that no snapshot covers.",
                have=self.state.offset,
                oldest=got.oldest,
            )
            await self._query_peers(None)
            await task.deferLater(self._reactor, 1.0)
            return
        self.gap = False
        self._apply(fold.fold(newest, rows))
        self._snapshots.record(rows)

    def _apply(self, new: states.State) -> None:
        """Apply a state if it is newer."""
        if not self._is_behind(new.offset, new.version):
            return
        self._log_checks.check_restored(self.state, new)
        self.state = new
        now = self._clock.monotonic()
        for name, lease in new.leases_by_name.items():
            if self.seen_by_lease.get(name, (0, 0.0))[0] != lease.offset:
                self.seen_by_lease[name] = (lease.offset, now)
        for listener in self._listeners:
            self._notify(listener, new)
        self._waits.notify()

    def _notify(
        self, listener: Callable[[states.State], None], new: states.State
    ) -> None:
        """Notify one listener; its failure must not affect the others."""
        try:
            listener(new)
        except Exception:
            LOG.error(
                "A component failed to apply a configuration.",
                offset=new.offset,
                reason=failure.Failure().getTraceback(),
            )

    async def _maybe_snapshot(self, oldest: int) -> None:
        """Write a snapshot once enough records follow the last one.

        Every process may write it; a random delay makes duplicates rare, and
        they are harmless.
        """
        if not self._snapshots.is_due(self.state.offset, oldest):
            return
        seen = self._snapshots.last
        await task.deferLater(self._reactor, random.random() * 2)
        got = await self._platform.read(self.state.offset + 1, wait_s=0)
        self._apply(fold.fold(self.state, got.rows))
        self._snapshots.record(got.rows)
        if self._snapshots.last != seen:
            return
        state = self.state
        text = await self._dumps.dump(state)
        for part in snapshot.split_text(state.offset, text):
            await self._platform.append([part])
        LOG.info("Wrote a snapshot.", offset=state.offset)

    async def _query_peers(self, down: error.CodedError | None) -> None:
        """Query a few peers; become ready once any of them has a state."""
        answered = False
        known = sorted(self.peers)
        self._querying = True
        try:
            for peer in random.sample(known, min(len(known), PEERS_QUERIED)):
                answered = await self._pull(peer) or answered
        finally:
            self._querying = False
        self.ready = self.ready or answered
        if down is not None and self.ready and not self._outage_logged:
            self._outage_logged = True
            LOG.warning(
                "The log is unavailable; serving the known configuration.",
                **position.decode(self.state.offset)._asdict(),
                reason=down.detail,
            )

    async def _pull(self, peer: str) -> bool:
        """Adopt a peer's state if newer; return whether the peer has one."""
        self._pulling = True
        try:
            reply = await self._links.to(peer).call(
                "state",
                ttypes.StateRequest(
                    have_offset=self.state.offset,
                    have_version=self.state.version,
                ),
                timeout_s=PEER_TIMEOUT_S,
            )
        except link.LinkError:
            return False
        finally:
            self._pulling = False
        if reply.state:
            return await self._adopt_state_of(peer, reply)
        return reply.offset >= 0

    async def _adopt_state_of(
        self, peer: str, reply: ttypes.StateReply
    ) -> bool:
        text = reply.state.decode()
        if states.digest(text) != reply.digest:
            LOG.error("Digest mismatch in the state of a peer.", peer=peer)
            return False
        loading = states.load_slices(text)
        loaded = await slices.run(self._reactor, loading)
        self._apply(fold.merge(self.state, loaded))
        LOG.info(
            "Adopted the state of a peer.",
            peer=peer,
            version=self.state.version,
            **position.decode(self.state.offset)._asdict(),
        )
        return True
