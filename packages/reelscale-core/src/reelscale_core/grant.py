"""Grants the slots of an upstream to the entries that send it requests.

This is the delayed assignment of Georgiev and Getov ("Assignment schemes for
replicated services in Jini", 2002): the upstream's side announces free
capacity, rather than the entries inferring it from stale reports.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping

# Lifetime of a grant that the agent does not renew.
EXPIRY_S = 2.0


def shares(
    capacity: int, demand_by_entry: Mapping[str, int]
) -> dict[str, int]:
    """Divide slots by max-min fairness; spread the remainder evenly.

    Args:
      capacity: Slots of the upstream.
      demand_by_entry: Running and queued requests of each entry.

    Returns:
      Slots by entry, each at least 1 so that an idle entry can start.  They
      sum to the capacity unless there are more entries than slots.
    """
    if not demand_by_entry:
        return {}
    remaining = max(capacity, len(demand_by_entry))
    result = dict.fromkeys(demand_by_entry, 0)
    names = sorted(
        demand_by_entry, key=lambda name: (demand_by_entry[name], name)
    )
    for index, name in enumerate(names):
        fair_share = remaining // (len(names) - index)
        demand = max(1, demand_by_entry[name])
        result[name] = min(demand, fair_share)
        remaining -= result[name]
    for index, name in enumerate(sorted(names)):
        result[name] += (remaining + index) // len(names)
    return result
