"""Steps on upstreams that have left, and older records of them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import given, then, when
from reelscale_core import error, position
from reelscale_daemon.controllers import peer_lists
from reelscale_platform import roster

from features import platform_directory as fakes

NAME = "w1"
# An upstream that stays, since a list is never empty here.
OTHER = "other"


def _entry(sequence, **fields):
    return fakes.entry(seq=sequence, **fields)


def _pass_time(context):
    """Let the entry read the list, after the time for late rewrites."""
    context.listing.pass_time(1.0)


@given("an entry that lists an upstream with sequence {sequence:d}")
def _(context, sequence):
    listing = context.listing = fakes.Listing()
    # Longer than lost announcements may be written again after a restore,
    # for which an entry that starts is prepared as well.
    listing.pass_time(11.0)
    listing.write(NAME, _entry(sequence))
    _pass_time(context)
    assert NAME in listing.listed()


@when("the log shows that it has left")
def _(context):
    context.listing.write(NAME, None)
    _pass_time(context)


@when("a peer's list shows that it has left")
@when("a peer's list shows the same")
def _(context):
    _apply_peers_list(context, [])


@when("a peer's list shows it with sequence {sequence:d}")
def _(context, sequence):
    _apply_peers_list(context, [roster.decode(NAME, _entry(sequence))])


def _apply_peers_list(context, items):
    """Have a peer send a list that is past the records that are read here."""
    listing = context.listing
    # The peer has read a record that this entry has not.
    listing.store.failing = [error.CodedError("log-down", step="read")]
    listing.write(OTHER, fakes.entry(addr="10.0.0.9:80", seq=9))
    end = position.encode(
        listing.store.incarnation, len(listing.store.records)
    )
    other = roster.decode(OTHER, fakes.entry(addr="10.0.0.9:80", seq=9))
    listing.directory._apply_peer_page(
        peer_lists.PeerPage("127.0.0.1:1", [other, *items], end)
    )
    _pass_time(context)


@when("the list comes back from a copy that names it with sequence {number:d}")
def _(context, number):
    other = fakes.record(OTHER, fakes.entry(addr="10.0.0.9:80", seq=9))
    copied = fakes.record(NAME, _entry(number))
    context.listing.store.restore([other, copied])
    _pass_time(context)


@when("the list comes back from a copy without it")
def _(context):
    other = fakes.record(OTHER, fakes.entry(addr="10.0.0.9:80", seq=9))
    context.listing.store.restore([other])
    _pass_time(context)


@when("it announces itself with sequence {sequence:d}")
def _(context, sequence):
    context.listing.write(NAME, _entry(sequence))
    _pass_time(context)


@then("it gets no requests")
def _(context):
    assert NAME not in context.listing.listed(), context.listing.listed()


@then("it gets requests")
def _(context):
    assert NAME in context.listing.listed(), context.listing.listed()


@when("that it leaves, with sequence 6 is in the log")
@when("that it leaves, with sequence 6, is in the log")
def _(context):
    context.listing.write(NAME, _entry(6, state="draining"))
    _pass_time(context)
    assert NAME not in context.listing.listed()


@when("its end is in the log")
def _(context):
    context.listing.write(NAME, None)
    _pass_time(context)


@then("it gets requests 10 s later")
def _(context):
    context.listing.pass_time(10.0)
    assert NAME in context.listing.listed(), context.listing.listed()


@then("it gets no requests 10 s later")
def _(context):
    context.listing.pass_time(10.0)
    assert NAME not in context.listing.listed(), context.listing.listed()
