"""Steps on what the holder of a group makes of its ranks' replies."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import itertools

import hypothesis
from behave import then, when
from hypothesis import strategies
from reelscale_core import lockstep, schedule

from features import platform_clients as clients

WANTED = 1
FENCE = 7
# Rounds within which ranks that all answer must all be known; a holder takes
# one each 0.2 s.
MOST_ROUNDS = 10


def _blank(name):
    return lockstep.Rank(incarnation=name)


def _rounds(starts):
    """Return the rounds until no rank is asked for its state any more.

    Args:
      starts: Round from which on each rank answers, by its name; all of
        them hold nothing.
    """
    members = frozenset(starts)
    seen = {}
    for number in range(max(starts.values()) + MOST_ROUNDS):
        plan = schedule.plan_round(
            seen, members, target=WANTED, fence=FENCE, seq=number
        )
        probes = lockstep.Probe
        if not all(type(item) is probes for item in plan.orders.values()):
            return number
        replies = {
            name: _blank(name) if number >= starts[name] else None
            for name in plan.orders
        }
        seen = schedule.merge_replies(seen, replies)
    return None


@when("ranks that hold nothing first answer in different rounds")
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


@then("the holder knows all of them in a few rounds")
def _(context):
    assert context.stuck == [], context.stuck[:3]
