"""Which groups refuse work as a whole, as this entry has found out."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable

from reelscale_core import clock, outage, routing

from .. import logs
from ..filters import call

LOG = logs.Logger("entry")


class Outages:
    """Keeps the outage of each group.

    Only groups of ranks go out as a whole; a service's upstreams refuse each
    for itself.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        group_of: Callable[[str], str],
        groups: Callable[[str], set[str]],
    ) -> None:
        """Make it.

        Args:
          clock: The time.
          group_of: Gives the group of an upstream, "" while not known.
          groups: Gives the groups that serve a target.
        """
        self._clock = clock
        self._group_of = group_of
        self._groups = groups
        self._outage_by_group: dict[tuple[str, str], outage.Outage] = {}

    def lets_through(self, asked: call.Call) -> bool:
        """Tell whether a request may go to a group, or all are out.

        Who is let through to see whether a group is back is noted once it
        has been chosen for one.
        """
        if not asked.is_model or not self._outage_by_group:
            return True
        now = self._clock.monotonic()
        return any(
            outage.allows(self._outage(asked.target, group), now)
            for group in self._groups(asked.target) or {""}
        )

    def filter_open(
        self, asked: call.Call, candidates: list[routing.Candidate]
    ) -> list[routing.Candidate]:
        """Leave out the upstreams whose group takes no work now."""
        if not asked.is_model or not self._outage_by_group:
            return candidates
        now = self._clock.monotonic()
        return [
            item
            for item in candidates
            if outage.allows(self._outage(asked.target, item.group), now)
        ]

    def record_chosen(self, asked: call.Call, upstream: str) -> None:
        """Note that a request goes to an upstream, maybe to try its group."""
        if not self._outage_by_group or not asked.is_model:
            return
        group = self._group_of(upstream)
        found = self._outage(asked.target, group)
        if found.out:
            tried = found._replace(probed_at=self._clock.monotonic())
            self._outage_by_group[asked.target, group] = tried

    def out(self, asked: call.Call) -> bool:
        """Tell whether all groups of a request refuse work as a whole."""
        if not asked.is_model or not self._outage_by_group:
            return False
        groups = self._groups(asked.target) or {""}
        return all(self._outage(asked.target, group).out for group in groups)

    def record_refused(self, asked: call.Call, upstream: str) -> None:
        """Note that an upstream refused a request without running it."""
        group = self._group_of(upstream)
        old = self._outage(asked.target, group)
        new = outage.record_refusal(old, upstream, self._clock.monotonic())
        self._outage_by_group[asked.target, group] = new
        if asked.is_model and new.out and not old.out:
            LOG.warning(
                "A group refuses work.", target=asked.target, group=group
            )

    def record_progress(self, asked: call.Call, upstream: str) -> None:
        """Note that an upstream took a request, or goes on with one.

        All ranks of a group step together, so events of any stream show that
        the group works: ranks that refuse then do so for themselves.
        """
        group = self._group_of(upstream)
        old = self._outage_by_group.pop((asked.target, group), None)
        if asked.is_model and old is not None and old.out:
            LOG.info(
                "A group takes work again.", target=asked.target, group=group
            )

    def _outage(self, target: str, group: str) -> outage.Outage:
        return self._outage_by_group.get((target, group), outage.Outage())
