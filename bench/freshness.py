"""Compares ways to read a log that costs a price a call.

Each way is played by the model of silent reads: calls a second while a change
comes now and then, and how late a change is where connections have gone
silent and the entries that read often end just before it.

    python -m bench.freshness --counts 30,100,350
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Annotated

import typer
from absl import logging
from reelscale_daemon.controllers import freshness

from features.models import silent_reads

QUIET_S = 60.0
CHANGE_EACH_S = 5.0
# From the silence until the first entries end, in seconds; one play each.
DELAYS_S = (0.5, 1.5, 3.0, 4.5, 6.0)
WATCHED_S = 16.0


def _steady(wait_s: float) -> silent_reads.Rules:
    """Return the rules by which all entries wait equally long."""
    return silent_reads.Rules(
        reads=lambda _entry: freshness.SteadyReads(wait_s=wait_s)
    )


WAYS = {
    "two by name, the others 12 s": silent_reads.RULES[
        "without confirmations"
    ](),
    "all 2.2 s": _steady(2.2),
    "all 1.0 s": _steady(1.0),
    "confirmations": silent_reads.RULES["as built"](),
}


def calls_per_s(rules: silent_reads.Rules, count: int) -> float:
    """Return the calls a second of entries that nothing impairs."""
    world = silent_reads.World(rules=rules, count=count)
    world.pass_time(CHANGE_EACH_S)
    before = world.log.calls
    for _ in range(round(QUIET_S / CHANGE_EACH_S)):
        world.write_version()
        world.pass_time(CHANGE_EACH_S)
    return (world.log.calls - before) / QUIET_S


def latest_s(rules: silent_reads.Rules, count: int, delay_s: float) -> float:
    """Return how long the last entry takes to have a change, in seconds."""
    world = silent_reads.World(rules=rules, count=count, checks=False)
    world.pass_time(4.0)
    world.write_version()
    world.pass_time(1.0)
    world.silence()
    world.pass_time(delay_s)
    for name in sorted(world.entries)[: freshness.READERS]:
        world.remove(world.entries[name])
    world.pass_time(max(0.0, silent_reads.CONTACT_S - delay_s))
    world.write_version()
    written_at = world.now
    while world.now < written_at + WATCHED_S:
        world.pass_time(silent_reads.STEP_S)
        versions = {e.config.state.version for e in world.entries.values()}
        if versions == {world.log.version}:
            break
    return world.now - written_at


def main(counts: Annotated[str, typer.Option()] = "30,100,350") -> None:
    """Print a row for each way and number of entries."""
    logging.set_verbosity(logging.FATAL)
    print("| way | entries | calls a second | a change is late by at most |")
    print("|---|---|---|---|")
    for count in map(int, counts.split(",")):
        for way, rules in WAYS.items():
            calls = calls_per_s(rules, count)
            late_s = max(latest_s(rules, count, at) for at in DELAYS_S)
            print(f"| {way} | {count} | {calls:.1f} | {late_s:.2f} s |")


if __name__ == "__main__":
    typer.run(main)
