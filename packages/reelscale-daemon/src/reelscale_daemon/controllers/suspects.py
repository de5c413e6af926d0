"""Identifies requests that crash upstreams, jointly with other entries.

Whether an upstream has crashed is determined in crash_checks.py.  Which of its
requests are suspected or convicted is decided in core/suspicion.py; the parts
of their prompts are in suspect_parts.py.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
from collections.abc import Callable
from typing import Any

from reelscale_core import (
    announcement,
    clock,
    part_suspicion,
    routing,
    short_hash,
    suspicion,
)
from reelscale_wire.gen import ttypes

from .. import logs
from ..filters import call
from . import crash_checks, crash_evidence, suspect_parts, suspect_rows

LOG = logs.Logger("suspects")


class Suspects:
    """The requests that were in progress at upstreams that crashed.

    Attributes:
      on_convicted: Called after a request or a part was convicted.
    """

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
        self._clock = clock
        self._on_update = on_update
        self.on_convicted: list[Callable[[], None]] = []
        self._records = suspicion.Suspects()
        self._parts = suspect_parts.SuspectParts(
            clock=clock, on_update=on_update
        )
        self._sender = suspect_rows.Sender()
        self._checks = crash_checks.CrashChecks(
            reactor=reactor,
            clock=clock,
            evidence=evidence,
            on_crash=self._record_crash,
        )
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
        return max(
            self._request_convicted_s(request),
            self._parts.convicted_s(request),
        )

    def convicted_part(self, request: call.Call) -> str:
        """Return the part for which a request is rejected, "" for none."""
        return self._parts.convicted_part(request)

    def is_doubtful(self, request: call.Call) -> bool:
        """Return whether a retry is likely to crash another upstream."""
        return self._parts.is_doubtful(request)

    def _request_convicted_s(self, request: call.Call) -> float:
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

    def record_answer(self, request: call.Call) -> None:
        """Clear the parts of a request that an upstream begins to answer."""
        self._parts.record_answer(request)

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
        answered: bool = False,
    ) -> None:
        """Record a request whose exchange broke, and check for a crash.

        Args:
          request: The request.
          upstream: The announcement of the upstream it was sent to.
          running: Requests in progress there from all entries, as far as
            known.
          answered: Whether the upstream had begun to answer it.
        """
        loss = crash_checks.Loss(request, running, answered)
        self._checks.record_lost(upstream, loss)

    async def wait_for_check(self, name: str) -> None:
        """Wait until a crash of an upstream is known, for a short time."""
        await self._checks.wait_for(name)

    def _record_crash(
        self,
        start: announcement.Start,
        losses: list[crash_checks.Loss],
        *,
        lost_at: float | None = None,
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
        now = self._clock.monotonic()
        convicted = self._records.record_crash(crash, now)
        unanswered = [loss.request for loss in losses if not loss.answered]
        LOG.warning(
            "An upstream has crashed; what ran there is suspected.",
            upstream=start.key,
            requests=[loss.request.id for loss in losses],
            unanswered=[request.id for request in unanswered],
            parts=sorted({p for r in unanswered for p in r.parts}),
            crashes=max(
                len(record.crashed)
                for digest in by_digest
                if (record := self._records.by_digest.get(digest))
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
        at = now if lost_at is None else lost_at
        convicted += self._parts.charge(
            part_suspicion.Crash(at, number), unanswered, now
        )
        self._on_update()
        if convicted:
            self._call_on_convicted()

    def _call_on_convicted(self) -> None:
        for function in self.on_convicted:
            function()

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
        self._parts.expire(now)
        reports = self._reports()
        most = int(suspect_rows.MAX_ROWS * fraction)
        chosen = self._sender.choose(message, reports, most=most, now=now)
        message.suspects = [suspect_rows.encode(item, now) for item in chosen]
        if self._sender.has_more(reports):
            self._on_update()

    def _reports(self) -> list[suspect_rows.Report]:
        running = self._running_by_digest()
        reports: list[suspect_rows.Report] = [
            suspect_rows.RequestReport(
                digest, record, tuple(running.get(digest, ()))
            )
            for digest, record in self._records.by_digest.items()
        ]
        return reports + self._parts.reports()

    def _running_by_digest(self) -> dict[int, list[int]]:
        by_digest: dict[int, list[int]] = {}
        for number, counter in self._local.items():
            for digest in counter:
                by_digest.setdefault(digest, []).append(number)
        return by_digest

    def apply(self, message: ttypes.Usage) -> None:
        """Apply the records and suspects reported by another entry."""
        now = self._clock.monotonic()
        digests_by_number: dict[int, set[int]] = {}
        for row in message.suspects or ():
            match suspect_rows.decode(row, now):
                case suspect_rows.RequestReport() as item:
                    self._merge(item.digest, item.record, message.name)
                    for number in item.running:
                        digests = digests_by_number.setdefault(number, set())
                        digests.add(item.digest)
                case suspect_rows.PartReport() as item:
                    if self._parts.merge(item, message.name):
                        self._call_on_convicted()
        self._remote[message.name] = {
            number: frozenset(digests)
            for number, digests in digests_by_number.items()
        }

    def _merge(
        self, digest: int, record: suspicion.Record, reporter: str
    ) -> None:
        old = self._records.by_digest.get(digest)
        self._records.merge(digest, record)
        new = self._records.by_digest.get(digest)
        if new is not None and (old is None or old[:3] != new[:3]):
            LOG.info(
                "Another entry reported a suspected request.",
                digest=digest,
                teller=reporter,
                crashes=len(new.crashed),
                verdict=new.verdict.name.lower(),
            )
            if new.verdict is suspicion.Verdict.CONVICTED:
                self._call_on_convicted()

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
