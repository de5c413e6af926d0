"""Chooses the layout that a group is to change to."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping

from reelscale_core import rank, relayout

from .. import logs
from ..adapters import base
from . import layout_versions, rank_reports

LOG = logs.Logger("group")


class LayoutChoice:
    """Turns a better layout into one with a version of its own."""

    def __init__(
        self,
        *,
        ranks: rank_reports.RankReports,
        versions: layout_versions.LayoutVersions,
    ) -> None:
        self._ranks = ranks
        self._versions = versions

    def choose(
        self,
        by_name: Mapping[str, rank.Rank],
        limits: base.EngineLimits | None,
        *,
        fence: int,
    ) -> relayout.DesiredLayout | None:
        """Return a layout that is worth the change; None if there is none."""
        better = self._ranks.choose(by_name, limits)
        if better is None:
            return None
        version = self._versions.next(fence, by_name)
        LOG.info(
            "Chose a better layout.",
            version=version,
            skew_before=round(better.skew_before, 3),
            skew_after=round(better.skew_after, 3),
            loaded=better.loaded,
        )
        return relayout.DesiredLayout(version, better.table)
