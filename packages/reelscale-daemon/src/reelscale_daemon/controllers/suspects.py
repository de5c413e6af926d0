"""Learns which requests crash upstreams, together with other entries.

What became of an upstream whose exchange broke is found out elsewhere
(crash_evidence.py); what follows for the requests that were there is decided
in the core (core/suspicion.py).
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
# After a loss it is looked this much later, in seconds, whether the upstream
# has crashed: all its connections break within some milliseconds, and it is
# down for seconds.
CRASH_CHECK_DELAY_S = 0.05
# Records in one datagram, the newest; each takes some 45 bytes of 1,400.
MOST_TOLD = 12
# Starts that a told record may name; conviction comes long before.
MOST_STARTS = 8
OLDEST_MS = int(suspicion.RETENTION_S * 1000)
VERDICTS = frozenset(suspicion.Verdict)


class Loss(NamedTuple):
    """A request whose exchange broke before its answer was whole.

    Attributes:
      asked: The request.
      running: Requests that all entries had there, by what is known.
    """

    asked: call.Call
    running: int


class Suspects:
    """The requests that were there as upstreams crashed."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        evidence: crash_evidence.CrashEvidence,
        on_update: Callable[[], None],
    ) -> None:
        """Make it.

        Args:
          reactor: The loop.
          clock: The time.
          evidence: Finds out whether a start has crashed.
          on_update: Called when there is something to tell others.
        """
        self._reactor = reactor
        self._clock = clock
        self._evidence = evidence
        self._on_news = on_update
        self._found = suspicion.Suspects()
        self._losses: dict[announcement.Start, list[Loss]] = {}
        # The suspects at each start, here and at other entries.
        self._here: dict[int, collections.Counter[int]] = {}
        self._elsewhere: dict[str, dict[int, frozenset[int]]] = {}

    def lookup(self, asked: call.Call) -> suspicion.Record | None:
        """Return what is known of a request, None if nothing is."""
        if not self._found.by_digest:
            return None
        return self._found.record(digest_of(asked), self._clock.monotonic())

    def convicted_s(self, asked: call.Call) -> float:
        """Return for how long a request is sent nowhere, 0 if it may go."""
        found = self.lookup(asked)
        if found is None or found.verdict is not suspicion.Verdict.CONVICTED:
            return 0.0
        age_s = self._clock.monotonic() - found.updated_at
        return max(0.0, suspicion.RETENTION_S - age_s)

    def isolate(
        self, asked: call.Call, candidates: list[routing.Candidate]
    ) -> list[routing.Candidate]:
        """Keep a suspect away from upstreams where another one is.

        One that was there at a single crash may go there if it must: as many
        were beside it as an upstream has in progress.
        """
        found = self.lookup(asked)
        if found is None or found.verdict is not suspicion.Verdict.SUSPECTED:
            return candidates
        own = digest_of(asked)
        taken = {
            item.name
            for item in candidates
            if self._suspects_at(short_hash.of(item.start)) - {own}
        }
        if found.isolated:
            return [item for item in candidates if item.name not in taken]
        return [
            item._replace(refused=True) if item.name in taken else item
            for item in candidates
        ]

    def begin(self, asked: call.Call, start: announcement.Start) -> None:
        """Note that a request is sent to a start."""
        if self.lookup(asked) is None:
            return
        number = short_hash.of(start.key)
        here = self._here.setdefault(number, collections.Counter())
        here[digest_of(asked)] += 1
        self._on_news()

    def end(self, asked: call.Call, start: announcement.Start) -> None:
        """Note that a request is no longer at a start."""
        number = short_hash.of(start.key)
        here = self._here.get(number)
        if here is None:
            return
        here[digest_of(asked)] -= 1
        self._here[number] = +here
        if not self._here[number]:
            del self._here[number]

    def record_success(self, asked: call.Call) -> None:
        """Clear a request that an upstream has answered whole."""
        if not self._found.by_digest:
            return
        now = self._clock.monotonic()
        if self._found.clear(digest_of(asked), now):
            LOG.info("A suspected request has ended well.", request=asked.id)
            self._on_news()

    def record_lost(
        self,
        asked: call.Call,
        upstream: announcement.Announcement,
        *,
        running: int,
    ) -> None:
        """Note a request whose exchange broke; look what became of the start.

        Args:
          asked: The request.
          upstream: Where it was sent, whole.
          running: Requests that all entries had there, by what is known.
        """
        start = upstream.start
        first = start not in self._losses
        self._losses.setdefault(start, []).append(Loss(asked, running))
        if first:
            defer.ensureDeferred(self._look(upstream))

    async def _look(self, upstream: announcement.Announcement) -> None:
        """Find out whether a start has crashed."""
        await task.deferLater(self._reactor, CRASH_CHECK_DELAY_S)
        crashed = await self._evidence.has_crashed(upstream)
        losses = self._losses.pop(upstream.start)
        if crashed:
            self._note_crash(upstream.start, losses)

    def _note_crash(
        self, start: announcement.Start, losses: list[Loss]
    ) -> None:
        number = short_hash.of(start.key)
        by_digest = {digest_of(loss.asked): loss for loss in losses}
        elsewhere = self._told_at(number) - by_digest.keys()
        crash = suspicion.Crash(
            start=number,
            digests=frozenset(by_digest),
            other_suspects=elsewhere,
            sole_request=len(by_digest) == 1 and losses[0].running <= 1,
        )
        convicted = self._found.record_crash(crash, self._clock.monotonic())
        LOG.warning(
            "An upstream has crashed; what ran there is suspected.",
            upstream=start.key,
            requests=[loss.asked.id for loss in losses],
            crashes=max(
                len(self._found.by_digest[item].crashed) for item in by_digest
            ),
            suspects_of_others=len(elsewhere),
            alone=crash.sole_request,
        )
        for item in convicted:
            LOG.warning(
                "A request crashes upstreams; it is sent to none.",
                request=by_digest[item].asked.id,
                crashed=len(self._found.by_digest[item].crashed),
                kept_s=suspicion.RETENTION_S,
            )
        self._on_news()

    def _suspects_at(self, number: int) -> set[int]:
        here = self._here.get(number, ())
        return self._told_at(number).union(here)

    def _told_at(self, number: int) -> frozenset[int]:
        """Return the suspects that other entries have at a start."""
        rows = (by.get(number) for by in self._elsewhere.values())
        return frozenset().union(*(row for row in rows if row))

    def add_to(self, message: ttypes.Usage, fraction: float) -> None:
        """Add a part of what is known to a datagram."""
        now = self._clock.monotonic()
        self._found.expire(now)
        rows = list(self._found.by_digest.items())[::-1]
        running = self._running_by_digest()
        # Those that run now matter most to who chooses an upstream.
        rows.sort(key=lambda row: row[0] not in running)
        message.suspects = [
            ttypes.Suspect(
                digest=item,
                crashed=sorted(record.crashed)[:MOST_STARTS],
                alone=record.sole_request_crashes,
                verdict=int(record.verdict),
                age_ms=min(OLDEST_MS, int((now - record.updated_at) * 1000)),
                running=running.get(item, [])[:MOST_STARTS],
            )
            for item, record in rows[: int(MOST_TOLD * fraction)]
        ]

    def _running_by_digest(self) -> dict[int, list[int]]:
        found: dict[int, list[int]] = {}
        for number, here in self._here.items():
            for item in here:
                found.setdefault(item, []).append(number)
        return found

    def apply(self, message: ttypes.Usage) -> None:
        """Take what another entry tells."""
        rows = [row for row in message.suspects or () if _sound(row)]
        if not rows:
            self._elsewhere.pop(message.name, None)
            return
        now = self._clock.monotonic()
        at: dict[int, set[int]] = {}
        for row in rows:
            record = suspicion.Record(
                crashed=frozenset(row.crashed),
                sole_request_crashes=row.alone,
                verdict=suspicion.Verdict(row.verdict),
                updated_at=now - row.age_ms / 1000,
            )
            self._learn(row.digest, record, message.name)
            for number in row.running:
                at.setdefault(number, set()).add(row.digest)
        self._elsewhere[message.name] = {
            number: frozenset(items) for number, items in at.items()
        }

    def _learn(self, item: int, record: suspicion.Record, teller: str) -> None:
        old = self._found.by_digest.get(item)
        self._found.merge(item, record)
        new = self._found.by_digest[item]
        if old is None or old[:3] != new[:3]:
            LOG.info(
                "Another entry tells of a request that was at crashes.",
                digest=item,
                teller=teller,
                crashes=len(new.crashed),
                verdict=new.verdict.name.lower(),
            )

    def forget(self, name: str) -> None:
        """Note that another entry has gone, and what it ran with it."""
        self._elsewhere.pop(name, None)


def digest_of(asked: call.Call) -> int:
    """Return what names a request at every entry."""
    if asked.digest is None:
        asked.digest = suspicion.digest(
            workspace=asked.workspace.name,
            method=asked.method,
            path=asked.path,
            body=asked.body,
        )
    return asked.digest


def _sound(row: ttypes.Suspect) -> bool:
    """Tell whether a row of a datagram makes sense."""
    numbers = (row.digest, row.alone, row.verdict, row.age_ms)
    if None in (*numbers, row.crashed, row.running):
        return False
    small = max(len(row.crashed), len(row.running)) <= MOST_STARTS
    counts = 0 <= row.alone <= len(row.crashed)
    age = 0 <= row.age_ms <= OLDEST_MS
    return small and counts and age and row.verdict in VERDICTS
