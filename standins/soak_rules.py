"""Judges a soak of the platform by what callers and workers have seen."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import time
from typing import NamedTuple

from . import fleet, kept_callers

# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)
# From an acknowledged leaving until a worker gets nothing more, in seconds.
DRAIN_S = 2.0
# How long a fault may excuse what follows it, in seconds.
CONTACT_S = 3.0
# Requests whose connection a stopping entry may close unanswered.
MAX_LOST = 3
# After all faults, within which requests are served again, in seconds.
RECOVERY_S = 12.0
MIN_RECOVERED = 0.25
# Faults after which an entry stays bound by what it was told.
NO_EXCUSES = ("leaving", "answers twice", "configuration", "reload")


class Fault(NamedTuple):
    """One fault that was brought about.

    Attributes:
      kind: Its name.
      subject: The entry or worker, "" for the store.
      from_s: Monotonic seconds of its begin.
      to_s: Monotonic seconds of its end.
    """

    kind: str
    subject: str
    from_s: float
    to_s: float

    def affects(self, first: float, last: float) -> bool:
        """Return whether it may excuse what happened in a time."""
        return self.from_s <= last and first <= self.to_s + CONTACT_S


def broken_rules(
    made: fleet.Fleet, faults: list[Fault], sent: list[kept_callers.Sent]
) -> list[str]:
    """Return what was broken, in words."""
    runs = collections.Counter(run["id"] for run in made.ledger())
    broken = []
    for row in sent:
        ran = runs[row.id]
        if row.kind == "push" and row.status in PROMISES and ran:
            broken.append(f"REFUSED: {row.id} got {row.status} and has run")
        if row.kind == "push" and ran > 1:
            broken.append(f"TWICE: {row.id} ran {ran} times")
        if row.status == 200 and row.body is not None and not _is_right(row):
            broken.append(f"MIXED: {row.id} got {row.body[:60]!r}")
    lost = [row for row in sent if _is_lost(row, runs, faults)]
    if len(lost) > MAX_LOST:
        ids = [row.id for row in lost]
        broken.append(f"LOST: {len(lost)} without an answer: {ids[:5]}")
    return broken + late_arrivals(made, faults)


def _is_right(row: kept_callers.Sent) -> bool:
    """Return whether a complete answer is the request's own."""
    if row.kind == "chat":
        wanted = "".join(
            f"id: {number}\ndata: {text}\n\n"
            for number, text in enumerate(fleet.STREAM, 1)
        )
        return row.body == wanted.encode()
    return row.body == f"whole answer of {row.id}".encode()


def _is_lost(
    row: kept_callers.Sent,
    runs: collections.Counter[str],
    faults: list[Fault],
) -> bool:
    """Return whether an answer was lost although only a stop was planned."""
    if row.status or not runs[row.id] or row.kind == "chat":
        return False
    excuses = ("kill", "freeze")
    return not any(
        fault.kind in excuses
        and fault.subject == row.entry
        and fault.affects(row.at, row.ended_at)
        for fault in faults
    )


def late_arrivals(made: fleet.Fleet, faults: list[Fault]) -> list[str]:
    """Return arrivals at workers that had left, where nothing excuses them.

    While the store is impaired its acknowledgement counts for nothing, and an
    entry that was impaired is not in touch.
    """
    broken = []
    impaired = [f for f in faults if f.kind not in NO_EXCUSES]
    for fault in faults:
        if fault.kind != "leaving":
            continue
        late_s = fault.from_s + DRAIN_S
        arrivals = [
            row["at"]
            for row in made.worker(fault.subject)["reached"]
            if row["id"] and late_s < row["at"] < fault.to_s
        ]
        unexcused = [
            at
            for at in arrivals
            if not any(f.affects(fault.from_s, at) for f in impaired)
        ]
        if unexcused:
            broken.append(f"DRAIN: {len(unexcused)} at {fault.subject}")
    return broken


def recovered(made: fleet.Fleet) -> list[str]:
    """Return the kinds of request that entries do not serve again in time."""
    time.sleep(RECOVERY_S)
    broken = []
    for entry in made.http:
        for kind in kept_callers.WORDS_BY_KIND:
            answers = [made.ask(f"/{kind}/x", entry=entry) for _ in range(8)]
            served = sum(row.is_success for row in answers)
            if served < MIN_RECOVERED * len(answers):
                broken.append(f"RECOVER: {entry} served {served} of {kind}")
    return broken
