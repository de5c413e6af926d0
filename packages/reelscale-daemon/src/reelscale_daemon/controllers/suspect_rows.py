"""Rows of the datagrams that tell other entries of suspects.

A datagram holds few rows.  Convictions go first, then suspects in progress,
then what has changed; within these, the row that was sent least recently, so
that every row is sent in the end.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import enum
from collections.abc import Iterable
from typing import NamedTuple

from reelscale_core import part_suspicion, suspicion
from reelscale_wire.gen import ttypes

# Rows in one datagram; each takes some 45 to 90 bytes of 1,400.
MAX_ROWS = 12
# Starts named in a row; fewer crashes suffice for a conviction.
MAX_STARTS = 8
MAX_AGE_MS = int(part_suspicion.RETENTION_S * 1000)
VERDICTS = frozenset(suspicion.Verdict)


class RequestReport(NamedTuple):
    """What an entry reports of a whole request.

    Attributes:
      digest: Digest of the request.
      record: Its record.
      running: Hashes of the starts at which it is in progress.
    """

    digest: int
    record: suspicion.Record
    running: tuple[int, ...] = ()


class PartReport(NamedTuple):
    """What an entry reports of a part of prompts.

    Attributes:
      digest: Digest of the part.
      record: Its record.
    """

    digest: int
    record: part_suspicion.Record


Report = RequestReport | PartReport


class Urgency(enum.IntEnum):
    """Order in which rows are sent."""

    CONVICTED = 0
    RUNNING = 1
    CHANGED = 2
    KNOWN = 3


class Sender:
    """Chooses the rows of each datagram."""

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}
        self._message: ttypes.Usage | None = None
        self._chosen: list[Report] = []
        self._chosen_at = 0.0

    def choose(
        self,
        message: ttypes.Usage,
        reports: Iterable[Report],
        *,
        most: int,
        now: float,
    ) -> list[Report]:
        """Return the reports to put into a datagram.

        It may be called again for the same datagram with a smaller number,
        and what was chosen before is then not sent.
        """
        if message is not self._message:
            self._note_sent()
        rows = [(self._urgency(item), item) for item in reports]
        rows.sort(key=lambda row: (row[0], self._last_sent(row[1])))
        urgent = [r for u, r in rows if u is Urgency.CONVICTED][: most // 2]
        others = [r for u, r in rows if u is not Urgency.CONVICTED]
        self._message = message
        self._chosen = (urgent + others)[:most]
        self._chosen_at = now
        return self._chosen

    def has_more(self, reports: Iterable[Report]) -> bool:
        """Return whether changes remain that are in no datagram yet."""
        chosen = {item.digest for item in self._chosen}
        return any(
            self._is_changed(item)
            for item in reports
            if item.digest not in chosen
        )

    def _note_sent(self) -> None:
        for item in self._chosen:
            self._sent_at.pop(item.digest, None)
            self._sent_at[item.digest] = self._chosen_at
        while len(self._sent_at) > 2 * part_suspicion.MAX_RECORDS:
            del self._sent_at[next(iter(self._sent_at))]

    def _last_sent(self, item: Report) -> float:
        return self._sent_at.get(item.digest, float("-inf"))

    def _is_changed(self, item: Report) -> bool:
        return item.record.updated_at > self._last_sent(item)

    def _urgency(self, item: Report) -> Urgency:
        match item:
            case PartReport(record=record) if record.convicted_at is not None:
                return Urgency.CONVICTED
            case RequestReport(record=record) if (
                record.verdict is suspicion.Verdict.CONVICTED
            ):
                return Urgency.CONVICTED
            case RequestReport(running=running) if running:
                return Urgency.RUNNING
        return Urgency.CHANGED if self._is_changed(item) else Urgency.KNOWN


def encode(item: Report, now: float) -> ttypes.Suspect:
    """Return the row of a report."""
    match item:
        case PartReport():
            return _encode_part(item, now)
        case RequestReport(digest=digest, record=record, running=running):
            return ttypes.Suspect(
                digest=digest,
                crashed=sorted(record.crashed)[:MAX_STARTS],
                alone=record.sole_request_crashes,
                verdict=int(record.verdict),
                age_ms=_age_ms(record.updated_at, now),
                running=list(running)[:MAX_STARTS],
            )


def _encode_part(item: PartReport, now: float) -> ttypes.Suspect:
    record = item.record
    crashes = record.crashes[-MAX_STARTS:]
    verdict = suspicion.Verdict.SUSPECTED
    changed_at = record.updated_at
    if record.convicted_at is not None:
        verdict = suspicion.Verdict.CONVICTED
        changed_at = record.convicted_at
    answer_age_ms = None
    if record.answered_at > float("-inf"):
        answer_age_ms = _age_ms(record.answered_at, now)
    return ttypes.Suspect(
        digest=item.digest,
        crashed=[crash.start for crash in crashes],
        alone=0,
        verdict=int(verdict),
        age_ms=_age_ms(changed_at, now),
        running=[],
        crash_ages_ms=[_age_ms(crash.at, now) for crash in crashes],
        answer_age_ms=answer_age_ms,
        target=record.target,
    )


def decode(row: ttypes.Suspect, now: float) -> Report | None:
    """Return the report of a row, None if the row is invalid."""
    if not _is_valid(row):
        return None
    if row.target is not None:
        return _decode_part(row, now)
    record = suspicion.Record(
        crashed=frozenset(row.crashed),
        sole_request_crashes=row.alone,
        verdict=suspicion.Verdict(row.verdict),
        updated_at=now - row.age_ms / 1000,
    )
    return RequestReport(row.digest, record, tuple(row.running))


def _decode_part(row: ttypes.Suspect, now: float) -> PartReport | None:
    ages_ms = row.crash_ages_ms or []
    ages_valid = all(0 <= age <= MAX_AGE_MS for age in ages_ms)
    if len(ages_ms) != len(row.crashed) or not ages_valid:
        return None
    crashes = sorted(
        part_suspicion.Crash(now - age_ms / 1000, start)
        for start, age_ms in zip(row.crashed, ages_ms, strict=True)
    )
    changed_at = now - row.age_ms / 1000
    convicted = row.verdict == suspicion.Verdict.CONVICTED
    answered_at = float("-inf")
    if row.answer_age_ms is not None:
        answered_at = now - row.answer_age_ms / 1000
    record = part_suspicion.Record(
        target=row.target,
        crashes=tuple(crashes),
        answered_at=answered_at,
        convicted_at=changed_at if convicted else None,
        updated_at=changed_at,
    )
    return PartReport(row.digest, record)


def _age_ms(at: float, now: float) -> int:
    return max(0, min(MAX_AGE_MS, int((now - at) * 1000)))


def _is_valid(row: ttypes.Suspect) -> bool:
    """Return whether the fields that all rows have are valid."""
    numbers = (row.digest, row.alone, row.verdict, row.age_ms)
    if None in (*numbers, row.crashed, row.running):
        return False
    within_limits = max(len(row.crashed), len(row.running)) <= MAX_STARTS
    valid_count = 0 <= row.alone <= len(row.crashed)
    valid_age = 0 <= row.age_ms <= MAX_AGE_MS
    return (
        within_limits and valid_count and valid_age and row.verdict in VERDICTS
    )
