"""Identifies requests that crash upstreams, jointly with other entries.

Whether an upstream has crashed is determined in crash_evidence.py; which of
its requests are suspected or convicted is decided in core/suspicion.py.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
from collections.abc import Callable
from typing import Any, NamedTuple

from reelscale_core import (
    announcement,
    clock,
    routing,
    short_hash,
    suspicion,
)
from reelscale_wire.gen import ttypes
from twisted.internet import defer, task

from .. import logs
from ..filters import call
from . import crash_evidence

LOG = logs.Logger("suspects")
# Delay in seconds from a lost exchange to the crash check, so that the other
# connections of a crashed upstream are closed by then.
CRASH_CHECK_DELAY_S = 0.05
# Records in one datagram, newest first; each takes some 45 bytes of 1,400.
MAX_REPORTED = 12
# Starts named in a reported record; fewer crashes suffice for a conviction.
MAX_STARTS = 8
MAX_AGE_MS = int(suspicion.RETENTION_S * 1000)
VERDICTS = frozenset(suspicion.Verdict)


class Loss(NamedTuple):
    """A request whose exchange broke before its answer was complete.

    Attributes:
      request: The request.
      running: Requests in progress there from all entries, as far as known.
    """

    request: call.Call
    running: int


class Suspects:
    """The requests that were in progress at upstreams that crashed."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        evidence: crash_evidence.CrashEvidence,
        on_update: Callable[[], None],
    ) -> None:
        """Initialize without suspects.

        Args:
          reactor: The reactor.
          clock: The clock.
          evidence: Determines whether a start has crashed.
          on_update: Called when a change is to be sent to other entries.
        """
        self._reactor = reactor
        self._clock = clock
        self._evidence = evidence
        self._on_update = on_update
        self._records = suspicion.Suspects()
        self._losses: dict[announcement.Start, list[Loss]] = {}
        # Suspects in progress at each start, from this and other entries.
        self._local: dict[int, collections.Counter[int]] = {}
        self._remote: dict[str, dict[int, frozenset[int]]] = {}

    def lookup(self, request: call.Call) -> suspicion.Record | None:
        """Return the record of a request, None without one."""
        if not self._records.by_digest:
            return None
        return self._records.record(
            digest_of(request), self._clock.monotonic()
        )

    def convicted_s(self, request: call.Call) -> float:
        """Return seconds for which a request is rejected, 0 if it is not."""
        record = self.lookup(request)
        if record is None or record.verdict is not suspicion.Verdict.CONVICTED:
            return 0.0
        age_s = self._clock.monotonic() - record.updated_at
        return max(0.0, suspicion.RETENTION_S - age_s)

    def isolate(
        self, request: call.Call, candidates: list[routing.Candidate]
    ) -> list[routing.Candidate]:
        """Avoid upstreams at which another suspect is in progress.

        A suspect of a single crash may share an upstream as a last resort,
        as every request beside it is suspected as well.
        """
        record = self.lookup(request)
        if record is None or record.verdict is not suspicion.Verdict.SUSPECTED:
            return candidates
        digest = digest_of(request)
        occupied = {
            candidate.name
            for candidate in candidates
            if self._suspects_at(short_hash.of(candidate.start)) - {digest}
        }
        if record.isolated:
            return [
                candidate
                for candidate in candidates
                if candidate.name not in occupied
            ]
        return [
            candidate._replace(refused=True)
            if candidate.name in occupied
            else candidate
            for candidate in candidates
        ]

    def begin(self, request: call.Call, start: announcement.Start) -> None:
        """Record that a request is sent to a start."""
        if self.lookup(request) is None:
            return
        number = short_hash.of(start.key)
        counter = self._local.setdefault(number, collections.Counter())
        counter[digest_of(request)] += 1
        self._on_update()

    def end(self, request: call.Call, start: announcement.Start) -> None:
        """Record that a request is no longer in progress at a start."""
        number = short_hash.of(start.key)
        counter = self._local.get(number)
        if counter is None:
            return
        counter[digest_of(request)] -= 1
        self._local[number] = +counter
        if not self._local[number]:
            del self._local[number]

    def record_success(self, request: call.Call) -> None:
        """Clear a request that an upstream has answered completely."""
        if not self._records.by_digest:
            return
        now = self._clock.monotonic()
        if self._records.clear(digest_of(request), now):
            LOG.info(
                "A suspected request was answered completely.",
                request=request.id,
            )
            self._on_update()

    def record_lost(
        self,
        request: call.Call,
        upstream: announcement.Announcement,
        *,
        running: int,
    ) -> None:
        """Record a request whose exchange broke, and check for a crash.

        Args:
          request: The request.
          upstream: The announcement of the upstream it was sent to.
          running: Requests in progress there from all entries, as far as
            known.
        """
        start = upstream.start
        first = start not in self._losses
        self._losses.setdefault(start, []).append(Loss(request, running))
        if first:
            defer.ensureDeferred(self._check(upstream))

    async def _check(self, upstream: announcement.Announcement) -> None:
        """Check whether a start has crashed, and record it."""
        await task.deferLater(self._reactor, CRASH_CHECK_DELAY_S)
        finding = await self._evidence.find(upstream)
        losses = self._losses.pop(upstream.start)
        if finding.crashed:
            self._record_crash(upstream.start, losses)
            return
        LOG.info(
            "An exchange was lost, but its upstream has not crashed.",
            upstream=upstream.start.key,
            requests=[loss.request.id for loss in losses],
            finding=finding.value,
        )

    def _record_crash(
        self, start: announcement.Start, losses: list[Loss]
    ) -> None:
        number = short_hash.of(start.key)
        by_digest = {digest_of(loss.request): loss for loss in losses}
        remote = self._remote_at(number) - by_digest.keys()
        crash = suspicion.Crash(
            start=number,
            digests=frozenset(by_digest),
            other_suspects=remote,
            sole_request=len(by_digest) == 1 and losses[0].running <= 1,
        )
        convicted = self._records.record_crash(crash, self._clock.monotonic())
        LOG.warning(
            "An upstream has crashed; what ran there is suspected.",
            upstream=start.key,
            requests=[loss.request.id for loss in losses],
            crashes=max(
                len(self._records.by_digest[digest].crashed)
                for digest in by_digest
            ),
            suspects_of_others=len(remote),
            alone=crash.sole_request,
        )
        for digest in convicted:
            LOG.warning(
                "Rejecting a request that crashes upstreams.",
                request=by_digest[digest].request.id,
                crashed=len(self._records.by_digest[digest].crashed),
                kept_s=suspicion.RETENTION_S,
            )
        self._on_update()

    def _suspects_at(self, number: int) -> set[int]:
        local = self._local.get(number, ())
        return self._remote_at(number).union(local)

    def _remote_at(self, number: int) -> frozenset[int]:
        """Return the suspects of other entries in progress at a start."""
        rows = (by_number.get(number) for by_number in self._remote.values())
        return frozenset().union(*(row for row in rows if row))

    def add_to(self, message: ttypes.Usage, fraction: float) -> None:
        """Add a fraction of the records to a datagram."""
        now = self._clock.monotonic()
        self._records.expire(now)
        rows = list(self._records.by_digest.items())[::-1]
        running = self._running_by_digest()
        # Suspects in progress first: other entries avoid their upstreams.
        rows.sort(key=lambda row: row[0] not in running)
        message.suspects = [
            ttypes.Suspect(
                digest=digest,
                crashed=sorted(record.crashed)[:MAX_STARTS],
                alone=record.sole_request_crashes,
                verdict=int(record.verdict),
                age_ms=min(MAX_AGE_MS, int((now - record.updated_at) * 1000)),
                running=running.get(digest, [])[:MAX_STARTS],
            )
            for digest, record in rows[: int(MAX_REPORTED * fraction)]
        ]

    def _running_by_digest(self) -> dict[int, list[int]]:
        by_digest: dict[int, list[int]] = {}
        for number, counter in self._local.items():
            for digest in counter:
                by_digest.setdefault(digest, []).append(number)
        return by_digest

    def apply(self, message: ttypes.Usage) -> None:
        """Apply the records and suspects reported by another entry."""
        rows = [row for row in message.suspects or () if _is_valid(row)]
        if not rows:
            self._remote.pop(message.name, None)
            return
        now = self._clock.monotonic()
        digests_by_number: dict[int, set[int]] = {}
        for row in rows:
            record = suspicion.Record(
                crashed=frozenset(row.crashed),
                sole_request_crashes=row.alone,
                verdict=suspicion.Verdict(row.verdict),
                updated_at=now - row.age_ms / 1000,
            )
            self._merge(row.digest, record, message.name)
            for number in row.running:
                digests_by_number.setdefault(number, set()).add(row.digest)
        self._remote[message.name] = {
            number: frozenset(digests)
            for number, digests in digests_by_number.items()
        }

    def _merge(
        self, digest: int, record: suspicion.Record, reporter: str
    ) -> None:
        old = self._records.by_digest.get(digest)
        self._records.merge(digest, record)
        new = self._records.by_digest[digest]
        if old is None or old[:3] != new[:3]:
            LOG.info(
                "Another entry reported a suspected request.",
                digest=digest,
                teller=reporter,
                crashes=len(new.crashed),
                verdict=new.verdict.name.lower(),
            )

    def forget(self, name: str) -> None:
        """Drop the suspects in progress of an entry that was removed."""
        self._remote.pop(name, None)


def digest_of(request: call.Call) -> int:
    """Return the digest that identifies a request at every entry."""
    if request.digest is None:
        request.digest = suspicion.digest(
            workspace=request.workspace.name,
            method=request.method,
            path=request.path,
            body=request.body,
        )
    return request.digest


def _is_valid(row: ttypes.Suspect) -> bool:
    """Return whether a row of a datagram is valid."""
    numbers = (row.digest, row.alone, row.verdict, row.age_ms)
    if None in (*numbers, row.crashed, row.running):
        return False
    within_limits = max(len(row.crashed), len(row.running)) <= MAX_STARTS
    valid_count = 0 <= row.alone <= len(row.crashed)
    valid_age = 0 <= row.age_ms <= MAX_AGE_MS
    return (
        within_limits and valid_count and valid_age and row.verdict in VERDICTS
    )
