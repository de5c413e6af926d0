"""Steps on entries that discover the groups of ranks."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types

from behave import given, then, when
from reelscale_core import route, short_hash
from reelscale_daemon.controllers import outages

from features import platform_directory
from standins import ranked
from standins.process import wait_for

TARGET = "push"
SLOTS = 6
MAX_PAUSE_S = 0.12
GROUPS = {"first": "g0", "second": "g1"}


@given("an entry that knows {count:d} groups of {size:d} ranks")
def _(context, count, size):
    listing = context.listing = platform_directory.Listing()
    context.size = size
    known = listing.directory.groups._group_by_start
    for group in range(count):
        for number in range(size):
            name = f"g{group}-r{number}"
            address = f"10.0.{group}.{number + 1}:80"
            entry = platform_directory.entry(addr=address, slots=SLOTS)
            listing.write(name, entry)
            known[short_hash.of(name)] = f"g{group}"
    listing.pass_time(1.0)
    listing.write("other", None)
    listing.pass_time(1.0)
    context.outages = outages.Outages(
        clock=listing.clock,
        group_of=listing.directory.group_of,
        groups=listing.directory.group_names,
    )
    context.asked = types.SimpleNamespace(
        target=TARGET,
        is_model=True,
        route=route.Route(
            name="r",
            host="h",
            prefix="/",
            kind=route.STREAM,
            shares=(),
            timeout_s=8.0,
            pause_s=MAX_PAUSE_S,
        ),
        choice=None,
    )


def _open_groups(context):
    """Return the groups that may receive requests."""
    rows = context.listing.directory.candidates(TARGET)
    rows = context.outages.filter_open(context.asked, rows)
    return {row.group for row in rows if row.local_in_flight < row.slots}


@when("{count:d} ranks of the {which} group refuse requests")
def _(context, count, which):
    for number in range(count):
        name = f"{GROUPS[which]}-r{number}"
        context.outages.record_refused(context.asked, name)


@then("requests go only to the second group")
@then("the next ones go only to the second group")
def _(context):
    assert _open_groups(context) == {"g1"}, _open_groups(context)


@then("no request is refused at the entry")
def _(context):
    assert context.outages.allows(context.asked)
    assert not context.outages.out(context.asked)


@then("requests are refused at the entry")
def _(context):
    assert not context.outages.allows(context.asked)
    assert context.outages.out(context.asked)


@when("a quarter of a second has passed")
def _(context):
    context.listing.clock.advance(0.26)


@then("one request may try the first group")
def _(context):
    assert _open_groups(context) == {"g0", "g1"}, _open_groups(context)
    context.outages.record_chosen(context.asked, "g0-r3")


@when("the first group answers")
def _(context):
    context.outages.record_progress(context.asked, "g0-r3")


@then("requests may go to both groups")
def _(context):
    assert _open_groups(context) == {"g0", "g1"}, _open_groups(context)


@when("the first group's pauses are {pause:g} s where 0.12 s is good")
def _(context, pause):
    _use_slots(context, 3)
    for _ in range(40):
        context.listing.clock.advance(pause)
        for group in ("g0", "g1"):
            name = f"{group}-r0"
            context.asked.choice = types.SimpleNamespace(name=name)
            seen_s = pause if group == "g0" else 0.05
            context.listing.directory.record_pause(context.asked, seen_s)


def _use_slots(context, each):
    views = context.listing.directory.views_by_name.values()
    for view in views:
        view.local_in_flight = each


@when("{used:d} of {slots:d} slots of each group are in use")
def _(context, used, slots):
    assert slots == SLOTS * context.size
    _use_slots(context, used // context.size)


@given("{groups:d} groups of ranks with agents and {count:d} entries")
def _(context, groups, count):
    made = ranked.Ranked(groups=groups, entries=count)
    context.cluster = made.__enter__()


def _known(made, name):
    """Return the groups that an entry has logged, by upstream start."""
    text = "Learned the group of an upstream."
    rows = [row for row in made.log_lines(name) if row["text"] == text]
    return {row["start"]: row["group"] for row in rows}


@then("both entries know the group of every rank within {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    expected = {
        short_hash.of(f"{name}@{ranked.ranks.BORN_MS}"): name
        for name in made.workers
    }
    expected |= {short_hash.of(name): name for name in made.workers}

    def all_known():
        for entry in made.http:
            found = {
                expected.get(n): g for n, g in _known(made, entry).items()
            }
            if len(found) < len(made.workers):
                return False
            assert set(found.values()) == {"g0", "g1"}, found
            assert found["w0"] != found[f"w{ranked.SIZE}"], found
        return True

    wait_for(all_known, "the groups", seconds)


@then("only one entry has queried the agents")
def _(context):
    made = context.cluster
    querying = [
        name
        for name in made.http
        if any(
            row["text"] == "Querying agents for their groups."
            for row in made.log_lines(name)
        )
    ]
    assert len(querying) == 1, querying


def _queries(made, name, since=0):
    rows = made.log_lines(name)[since:]
    text = "Querying agents for their groups."
    return [number for number, row in enumerate(rows) if row["text"] == text]


@when("the first entry by name is killed and the other queries the agents")
def _(context):
    made = context.cluster
    first, other = sorted(made.http)
    made.processes[first].kill()
    before = len(_queries(made, other))
    wait_for(
        lambda: len(_queries(made, other)) > before,
        "the other entry to query the agents",
        30.0,
    )


@when("the first entry by name starts again")
def _(context):
    made = context.cluster
    first = min(made.http)
    context.first = first
    context.lines_before = len(made.log_lines(first))
    made.processes[first].start()
    made.wait_ready(first)


@then("it learns every group before it queries the agents")
def _(context):
    made = context.cluster
    text = "Learned the group of an upstream."

    def learned():
        rows = made.log_lines(context.first)[context.lines_before :]
        places = [n for n, row in enumerate(rows) if row["text"] == text]
        return places if len(places) >= len(made.workers) else None

    places = wait_for(learned, "the groups", 20.0)
    queries = _queries(made, context.first, context.lines_before)
    assert not queries or queries[0] > places[-1], (queries, places)
