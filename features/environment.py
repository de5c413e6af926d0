"""Hooks of behave: a cluster for a feature or for one scenario."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import logging
from typing import Any


def before_all(context: Any) -> None:
    """Keep the HTTP client's log of every request out of the report."""
    logging.getLogger("httpx").setLevel(logging.WARNING)


def before_feature(context: Any, feature: Any) -> None:
    """Make room for the feature's cluster."""
    context.holder = {}


def before_scenario(context: Any, scenario: Any) -> None:
    """Take over the feature's cluster, if there is one."""
    context.cluster = context.holder.get("cluster")


def after_scenario(context: Any, scenario: Any) -> None:
    """Show logs of a failure; end a cluster of this scenario alone."""
    if context.cluster is None:
        return
    # A step that raises anything but a failed check ends as an error.
    if scenario.status.has_failed():
        context.cluster.print_logs()
    if context.cluster is not context.holder.get("cluster"):
        context.cluster.close()


def after_feature(context: Any, feature: Any) -> None:
    """End the feature's cluster."""
    made = context.holder.get("cluster")
    if made is not None:
        made.close()
