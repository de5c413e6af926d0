"""Shares an upstream's slots out to the entries that send it work.

This is the delayed assignment of Georgiev and Getov ("Assignment schemes
for replicated services in Jini", 2002): the upstream's side says when it
can take work, instead of the entry guessing from old reports.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping

# An entry keeps its grant this long without hearing from the agent.
EXPIRY_S = 2.0


def shares(
    capacity: int, demand_by_entry: Mapping[str, int]
) -> dict[str, int]:
    """Divide slots by max-min fairness, the rest evenly as headroom.

    Args:
      capacity: Slots of the upstream.
      demand_by_entry: Requests that each entry runs or has waiting.

    Returns:
      Slots by entry, each at least 1 so that a quiet entry can start;
      they sum to the capacity where there are at most that many entries.
    """
    if not demand_by_entry:
        return {}
    remaining = max(capacity, len(demand_by_entry))
    result = dict.fromkeys(demand_by_entry, 0)
    names = sorted(
        demand_by_entry, key=lambda name: (demand_by_entry[name], name)
    )
    for index, name in enumerate(names):
        fair = remaining // (len(names) - index)
        demand = max(1, demand_by_entry[name])
        result[name] = min(demand, fair)
        remaining -= result[name]
    for index, name in enumerate(sorted(names)):
        result[name] += (remaining + index) // len(names)
    return result
