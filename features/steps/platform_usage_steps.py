"""Steps on how entries share upstreams and keep streams at their pace."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import socket
import threading
import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from reelscale_core import pace, waiting

from features import platform_clients as clients
from features.models import shifting_group
from standins import fleet, process

GOOD_S = 0.12


@given("a fleet of one worker and {count:d} entries")
def _(context, count):
    made = fleet.Fleet(workers=(("push", "a"),), entries=count)
    context.cluster = made.__enter__()
    for name in made.http:
        process.wait_for(
            lambda name=name: any(
                row["text"] == "Discovered an entry."
                for row in made.log_lines(name)
            ),
            f"{name} to know another",
        )


def _send_in_turn(context, entries, count):
    """Send requests in sequence, each once the last has been reported."""
    made = context.cluster
    context.open = []
    context.statuses = []
    for number in range(count):
        conn = made.connect(entries[number % len(entries)])
        clients.send(conn, made.headers(), "/push/mute")
        thread = threading.Thread(target=_read, args=(context, conn))
        thread.start()
        context.open.append((conn, thread))
        expected = min(number + 1, SLOTS)
        process.wait_for(
            lambda n=expected: len(made.ledger("push")) >= n, f"{expected}"
        )
        # Counts are sent within 0.03 s; a refusal takes 0.22 of the goal.
        time.sleep(0.1)


SLOTS = 6


def _read(context, conn):
    answer = clients.broken_off(conn.getresponse)
    if answer is not None:
        context.statuses.append(answer.status)


@when(
    "{count:d} requests that never end are sent alternately through both "
    "entries"
)
def _(context, count):
    _send_in_turn(context, ["f1", "f2"], count)


@when('{count:d} requests that never end are sent through entry "{name}"')
def _(context, count, name):
    _send_in_turn(context, [name], count)


@then("the worker runs {ran:d} and {refused:d} are refused as not run")
def _(context, ran, refused):
    runs = context.cluster.ledger("push")
    assert len(runs) == ran, (len(runs), context.statuses)
    # Running requests end only at the time-out of their route, 4 s.
    process.wait_for(lambda: len(context.statuses) >= refused, "refusals")
    refusals = list(context.statuses[:refused])
    assert refusals == [503] * refused, context.statuses
    for _, thread in context.open:
        thread.join(10)


@then('entry "{name}" refuses')
def _(context, name):
    answer = context.cluster.ask("/push/x", entry=name)
    assert answer.status_code == 503, answer


@when('entry "{name}" dies')
def _(context, name):
    context.cluster.processes[name].kill()


@then('entry "{name}" serves within {seconds:d} s')
def _(context, name, seconds):
    made = context.cluster
    process.wait_for(
        lambda: made.ask("/push/x", entry=name).is_success, name, seconds
    )
    for _, thread in context.open:
        thread.join(10)


@when('{count:d} generated datagrams are sent to entry "{name}"')
def _(context, count, name):
    made = context.cluster
    data, _ = clients.settings_file(made, name)
    host, port = data["usage"].rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    @hypothesis.settings(clients.GENERATED, max_examples=count)
    @hypothesis.given(strategies.binary(max_size=1500))
    def send(payload):
        sock.sendto(payload, (host, int(port)))

    send()
    sock.close()


@then('entry "{name}" still serves')
def _(context, name):
    made = context.cluster
    assert made.ask("/push/x", entry=name).is_success
    faults = [r for r in made.log_lines(name) if r["level"] == "ERROR"]
    assert faults == [], json.dumps(faults[:2])


@when(
    "a group's pauses are {pause:f} s for {seconds:d} s where {good:f} s is "
    "good"
)
def _(context, pause, seconds, good):
    group_pace = getattr(context, "pace", pace.Pace())
    start = max(0.0, group_pace.sampled_at)
    for number in range(int(seconds / 0.02)):
        group_pace = pace.observed(
            group_pace,
            pause,
            max_pause_s=good,
            used=1.0,
            now=start + number * 0.02,
        )
    context.pace = group_pace


@then(
    "at its limit the pauses would be good, and no more than a tenth shorter"
)
def _(context):
    pause_s = 0.2 * context.pace.limit
    assert GOOD_S * 0.9 <= pause_s <= GOOD_S, context.pace


@then("there is no limit, as it would be ineffective")
def _(context):
    assert context.pace.limit == 1.0, context.pace
    assert context.pace.ineffective, context.pace


@when("they stay so though its limit is observed")
def _(context):
    found = context.pace
    for _ in range(2 * pace.INEFFECTIVE_PASSES):
        found = pace.observed(
            found,
            0.2,
            max_pause_s=GOOD_S,
            used=0.9 * found.limit,
            now=found.sampled_at + 0.2,
        )
    context.pace = found


@when("one of its pauses is {pause:f} s")
def _(context, pause):
    found = context.pace
    context.pace = pace.observed(
        found,
        pause,
        max_pause_s=GOOD_S,
        used=1.0,
        now=found.sampled_at + pause,
    )


@then("its limit is at most half")
def _(context):
    assert context.pace.limit <= 0.5, context.pace


@then("at least half of its slots may be in use")
def _(context):
    assert not context.pace.ineffective, context.pace
    assert context.pace.limit >= pace.RECOVERED_SHARE, context.pace


@then("its limit has risen to the maximum")
def _(context):
    assert context.pace.limit == 1.0, context.pace


@when("{count:d} entries follow a group whose pause grows with its streams")
def _(context, count):
    """Step a group of 96 slots whose pause is good up to 70 streams.

    Streams last 28 passes, and a new one starts whenever it is admitted.
    """
    slots, good_streams, length = 96, 70, 28
    entries = [pace.Pace() for _ in range(count)]
    streams: list[int] = []
    context.pauses, context.used = [], []
    now = 0.0
    while now < 20.0:
        pause = 0.03 + 0.09 * len(streams) / good_streams
        now += pause
        streams = [left - 1 for left in streams if left > 1]
        for number in range(count):
            used = len(streams) / slots
            for _ in range(max(1, len(streams) // count)):
                entries[number] = pace.observed(
                    entries[number],
                    pause,
                    max_pause_s=GOOD_S,
                    used=used,
                    now=now,
                )
            if used < entries[number].limit and len(streams) < slots:
                streams.append(length)
        if now > 3.0:
            context.pauses.append(pause)
            context.used.append(len(streams) / good_streams)


@then(
    "the pause stays within the good one for 9 of 10 steps after {after:d} s"
)
def _(context, after):
    good = sum(pause <= GOOD_S for pause in context.pauses)
    assert good >= 0.9 * len(context.pauses), good / len(context.pauses)


@then("at least 6 of 10 slots that the pause allows are in use")
def _(context):
    mean = sum(context.used) / len(context.used)
    assert mean >= 0.6, mean


@then(
    "{slots:d} slots taken for {takes:f} s let none wait where {goal:f} s is "
    "the goal"
)
def _(context, slots, takes, goal):
    assert waiting.queue_capacity(slots, goal_s=goal, takes_s=takes) == 0


@then(
    "{slots:d} slots taken for {takes:f} s let {count:d} wait where {goal:f} "
    "s is the goal"
)
def _(context, slots, takes, count, goal):
    assert waiting.queue_capacity(slots, goal_s=goal, takes_s=takes) == count


@when(
    "{count:d} entries are asked for a fifth more streams than a group can "
    "run for {seconds:d} s"
)
def _(context, count, seconds):
    context.shifting = shifting_group.Group(entries=count)
    context.seconds = seconds


@when(
    "the cost of a stream more than doubles for {dear:g} s of each {every:g} s"
)
def _(context, dear, every):
    context.shifting.play(context.seconds, skewed_s=dear, every_s=every)


@then("at least {part:d} of 10 streams keep the good pause")
def _(context, part):
    group = context.shifting
    assert group.in_time * 10 >= part * group.ended, vars(group)


@then(
    "at least {part:d} of 10 of those that the group could have kept in time "
    "were"
)
def _(context, part):
    group = context.shifting
    assert group.in_time * 10 >= part * group.capacity, vars(group)
