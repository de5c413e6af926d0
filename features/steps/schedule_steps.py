"""Steps on how the holder of a group processes replies of ranks."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import itertools

import hypothesis
from behave import then, when
from hypothesis import strategies
from reelscale_core import lockstep, schedule

from features import platform_clients as clients

TARGET = 1
FENCE = 7
# Rounds within which the holder must have the state of every rank.
MAX_ROUNDS = 10


def _empty(name):
    return lockstep.Rank(incarnation=name)


def _rounds(starts):
    """Return the number of rounds until no rank is probed any more.

    Args:
      starts: First round in which each rank answers, by name; all ranks are
        empty.
    """
    members = frozenset(starts)
    seen = {}
    for number in range(max(starts.values()) + MAX_ROUNDS):
        plan = schedule.plan_round(
            seen, members, target=TARGET, fence=FENCE, seq=number
        )
        probes = lockstep.Probe
        if not all(type(item) is probes for item in plan.orders.values()):
            return number
        replies = {
            name: _empty(name) if number >= starts[name] else None
            for name in plan.orders
        }
        seen = schedule.merge_replies(seen, replies)
    return None


@when("empty ranks first answer in different rounds")
def _(context):
    context.stuck = []
    rows = strategies.lists(strategies.integers(0, 4), min_size=1, max_size=5)

    @clients.GENERATED
    @hypothesis.given(rows)
    def play(firsts):
        names = (f"r{number}" for number in itertools.count())
        starts = dict(zip(names, firsts, strict=False))
        if _rounds(starts) is None:
            context.stuck.append(firsts)

    play()


@then("the holder has the state of all of them within a few rounds")
def _(context):
    assert context.stuck == [], context.stuck[:3]
