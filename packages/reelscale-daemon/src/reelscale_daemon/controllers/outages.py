"""Tracks which groups refuse all work, as observed by this entry."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable

from reelscale_core import clock, outage, routing

from .. import logs
from ..filters import call

LOG = logs.Logger("entry")


class Outages:
    """The outage of each group.

    Only groups of ranks have outages; upstreams of a service refuse
    independently of each other.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        group_of: Callable[[str], str],
        groups: Callable[[str], set[str]],
    ) -> None:
        """Initialize without outages.

        Args:
          clock: The clock.
          group_of: Returns the group of an upstream, "" while unknown.
          groups: Returns the groups that serve a target.
        """
        self._clock = clock
        self._group_of = group_of
        self._groups = groups
        self._outage_by_group: dict[tuple[str, str], outage.Outage] = {}

    def allows(self, request: call.Call) -> bool:
        """Return whether a request may be sent to any group of its target.

        A request that probes a group in outage is recorded as its probe once
        an upstream is chosen; see record_chosen.
        """
        if not request.is_model or not self._outage_by_group:
            return True
        now = self._clock.monotonic()
        return any(
            outage.allows(self._outage(request.target, group), now)
            for group in self._groups(request.target) or {""}
        )

    def filter_open(
        self, request: call.Call, candidates: list[routing.Candidate]
    ) -> list[routing.Candidate]:
        """Remove the candidates whose group accepts no work now."""
        if not request.is_model or not self._outage_by_group:
            return candidates
        now = self._clock.monotonic()
        return [
            candidate
            for candidate in candidates
            if outage.allows(
                self._outage(request.target, candidate.group), now
            )
        ]

    def record_chosen(self, request: call.Call, upstream: str) -> None:
        """Record a request to an upstream, possibly a probe of its group."""
        if not self._outage_by_group or not request.is_model:
            return
        group = self._group_of(upstream)
        current = self._outage(request.target, group)
        if current.out:
            probed = current._replace(probed_at=self._clock.monotonic())
            self._outage_by_group[request.target, group] = probed

    def out(self, request: call.Call) -> bool:
        """Return whether all groups of a request are in outage."""
        if not request.is_model or not self._outage_by_group:
            return False
        groups = self._groups(request.target) or {""}
        return all(self._outage(request.target, group).out for group in groups)

    def record_refused(self, request: call.Call, upstream: str) -> None:
        """Record that an upstream refused a request without running it."""
        group = self._group_of(upstream)
        old = self._outage(request.target, group)
        new = outage.record_refusal(old, upstream, self._clock.monotonic())
        self._outage_by_group[request.target, group] = new
        if request.is_model and new.out and not old.out:
            LOG.warning(
                "A group started to refuse work.",
                target=request.target,
                group=group,
            )

    def record_progress(self, request: call.Call, upstream: str) -> None:
        """Record that an upstream accepted or continued a request.

        All ranks of a group run in lockstep, so progress of any stream shows
        that the group works; ranks that still refuse do so individually.
        """
        group = self._group_of(upstream)
        old = self._outage_by_group.pop((request.target, group), None)
        if request.is_model and old is not None and old.out:
            LOG.info(
                "A group accepts work again.",
                target=request.target,
                group=group,
            )

    def _outage(self, target: str, group: str) -> outage.Outage:
        return self._outage_by_group.get((target, group), outage.Outage())
