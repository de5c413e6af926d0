"""Identifies parts of prompts that crash upstreams, with other entries.

Which parts are suspected or convicted is decided in core/part_suspicion.py.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable, Iterable

from reelscale_core import clock, part_suspicion, short_hash

from .. import logs
from ..filters import call
from . import suspect_rows

LOG = logs.Logger("suspects")


class SuspectParts:
    """The parts of requests that were unanswered at crashes."""

    def __init__(
        self, *, clock: clock.Clock, on_update: Callable[[], None]
    ) -> None:
        """Initialize without suspects.

        Args:
          clock: The clock.
          on_update: Called when a change is to be sent to other entries.
        """
        self._clock = clock
        self._on_update = on_update
        self._parts = part_suspicion.Parts()

    @property
    def by_digest(self) -> dict[int, part_suspicion.Record]:
        """Return the records of suspected parts."""
        return self._parts.by_digest

    def convicted_s(self, request: call.Call) -> float:
        """Return seconds for which a request is rejected, 0 if it is not."""
        now = self._clock.monotonic()
        return max(
            (self._parts.rejected_s(d, now) for d in digests_of(request)),
            default=0.0,
        )

    def convicted_part(self, request: call.Call) -> str:
        """Return the part for which a request is rejected, "" for none."""
        now = self._clock.monotonic()
        for part, digest in zip(
            request.parts, digests_of(request), strict=False
        ):
            if self._parts.rejected_s(digest, now):
                return part
        return ""

    def is_doubtful(self, request: call.Call) -> bool:
        """Return whether a retry is likely to crash another upstream."""
        return any(self._parts.is_doubtful(d) for d in digests_of(request))

    def record_answer(self, request: call.Call) -> None:
        """Clear the parts of a request that an upstream begins to answer."""
        digests = digests_of(request)
        if not digests:
            return
        target = short_hash.of(request.target)
        now = self._clock.monotonic()
        cleared = self._parts.record_answer(digests, target=target, now=now)
        if cleared:
            LOG.info(
                "An answer to a request with suspected parts has begun.",
                request=request.id,
                digests=cleared,
            )
            self._on_update()

    def charge(
        self,
        crash: part_suspicion.Crash,
        unanswered: Iterable[call.Call],
        now: float,
    ) -> list[int]:
        """Charge a crash to the parts present; return those it convicts."""
        convicted = []
        by_target: dict[str, dict[int, str]] = {}
        for request in unanswered:
            names = by_target.setdefault(request.target, {})
            digests = digests_of(request)
            names.update(zip(digests, request.parts, strict=False))
        for target, names in by_target.items():
            found = self._parts.record_crash(
                crash, tuple(names), target=short_hash.of(target), now=now
            )
            self._log_convicted(found, names)
            convicted += found
        return convicted

    def merge(self, item: suspect_rows.PartReport, reporter: str) -> bool:
        """Merge a report; return whether it newly convicts a part."""
        now = self._clock.monotonic()
        old = self._parts.by_digest.get(item.digest)
        was_rejected = self._parts.rejected_s(item.digest, now) > 0
        convicted = self._parts.merge(item.digest, item.record, now)
        new = self._parts.by_digest.get(item.digest)
        if new is not None and (old is None or old.crashes != new.crashes):
            LOG.info(
                "Another entry reported a suspected part.",
                digest=item.digest,
                teller=reporter,
                crashes=len(new.crashes),
                convicted=new.convicted_at is not None,
            )
        self._log_convicted(convicted, {})
        if convicted:
            self._on_update()
        is_rejected = self._parts.rejected_s(item.digest, now) > 0
        return bool(convicted) or (is_rejected and not was_rejected)

    def expire(self, now: float) -> None:
        """Remove expired records."""
        self._parts.expire(now)

    def reports(self) -> list[suspect_rows.Report]:
        """Return all records, for the datagrams."""
        return [
            suspect_rows.PartReport(digest, record)
            for digest, record in self._parts.by_digest.items()
        ]

    def _log_convicted(
        self, digests: Iterable[int], names: dict[int, str]
    ) -> None:
        for digest in digests:
            record = self._parts.by_digest[digest]
            LOG.warning(
                "Rejecting requests with a part that crashes upstreams.",
                digest=digest,
                part=names.get(digest, ""),
                crashed=[crash.start for crash in record.crashes],
                answers=self._parts.answers(digest),
                kept_s=part_suspicion.REJECTED_S,
            )


def digests_of(request: call.Call) -> tuple[int, ...]:
    """Return the digests of the parts that a request shares with others."""
    if request.part_digests is None:
        parts = request.parts[: part_suspicion.MAX_PARTS]
        request.part_digests = tuple(
            part_suspicion.digest(target=request.target, part=part)
            for part in parts
        )
    return request.part_digests
