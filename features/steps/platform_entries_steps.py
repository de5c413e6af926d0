"""Steps on invalid records in the list of upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import ipaddress
import itertools
import json
import re

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from features import log_lines
from features import platform_directory as fakes

NOTHING = "nothing"
STATES = ("ready", "draining")
INVALID_TEXT = "Ignored an invalid announcement of an upstream."


@given('the list of upstreams with a valid "{one}" and "{two}"')
def _(context, one, two):
    log_lines.keep(context)
    context.listing = fakes.Listing()
    for name in (one, two):
        context.listing.write(name, fakes.entry())
    context.listing.pass_time(1)
    assert context.listing.listed() == {"other", one, two}


# The first records of the list have 1.
SEQUENCE = itertools.count(2)


def _write(context, name, value):
    context.listing.write(name, value)
    context.listing.pass_time(1)


def _entry(field, value):
    # Numbers rise with each record of an upstream.
    data = json.loads(fakes.entry(seq=next(SEQUENCE)))
    if value == NOTHING:
        del data[field]
    else:
        data[field] = json.loads(value)
    return json.dumps(data).encode()


@when('"{name}" is written with {field} set to {value} {count:d} times')
def _(context, name, field, value, count):
    for _ in range(count):
        _write(context, name, _entry(field, value))


@when('"{name}" is written with {field} set to {value}')
def _(context, name, field, value):
    _write(context, name, _entry(field, value))


@when('"{name}" is written with valid fields')
def _(context, name):
    _write(context, name, fakes.entry())


ELSEWHERE = "10.0.0.77:80"
HEARTBEAT_S = 1.2


def _announce(context, **fields):
    number = next(SEQUENCE)
    data = fakes.entry(addr=ELSEWHERE, seq=number, **fields)
    context.listing.write("w1", data)


@when('"w1" goes on announcing itself for {seconds:d} s, at another address')
def _(context, seconds):
    for _ in range(round(seconds / HEARTBEAT_S)):
        _announce(context)
        context.listing.pass_time(HEARTBEAT_S)


@when('"w1" announces that it leaves')
def _(context):
    _announce(context, state="draining")
    context.listing.pass_time(1)


@then('"w1" gets work at that address')
def _(context):
    assert "w1" in context.listing.listed(), context.listing.listed()
    view = context.listing.directory.views_by_name["w1"]
    assert view.upstream.address == ELSEWHERE, view.upstream


@then('"{one}" and "{two}" get work')
def _(context, one, two):
    assert {one, two} <= context.listing.listed(), context.listing.listed()


@then('only "{one}" and "{two}" get work')
def _(context, one, two):
    assert context.listing.listed() == {one, two}, context.listing.listed()


@then('only "{name}" gets work')
def _(context, name):
    assert context.listing.listed() & {"w1", "w2"} == {name}


@then('"{name}" gets work again')
def _(context, name):
    assert name in context.listing.listed()


@then('"{name}" is listed for "{target}"')
def _(context, name, target):
    assert name not in context.listing.listed()
    view = context.listing.directory.views_by_name[name]
    assert view.serves(target)


@then('one line and one count name "{name}" and the reason "{reason}"')
def _(context, name, reason):
    rows = [r for r in context.lines.rows if r.sentence == INVALID_TEXT]
    (row,) = rows
    assert (row.fields["name"], row.fields["reason"]) == (name, reason), row
    text = context.listing.metrics.text()[0].decode()
    (count,) = re.findall(r"unusable_total\{(.*)\} (\S+)", text)
    assert count == (f'reason="{reason}"', "1"), count


# Generated records, checked against an independent validation.


def _is_text(value):
    return isinstance(value, str) and 0 < len(value) <= 255


def _is_integer(value, max_value=2**63 - 1):
    return type(value) is int and 0 <= value <= max_value


def _is_address(value):
    found = re.fullmatch(r"([0-9.]+):([0-9]{1,5})", str(value), re.ASCII)
    if not isinstance(value, str) or not found:
        return False
    try:
        ipaddress.IPv4Address(found[1])
    except ValueError:
        return False
    if re.match(r"(0\.0\.0\.0|2(2[4-9]|[345][0-9])\.)", value):
        # No address of one box.
        return False
    return 0 < int(found[2]) < 65536


def _is_valid(value):
    """Return whether bytes are a valid record."""
    try:
        data = json.loads(value.decode())
    except (ValueError, RecursionError):
        return False
    return (
        isinstance(data, dict)
        and _is_text(data.get("service"))
        and _is_text(data.get("zone"))
        and isinstance(data.get("version"), str)
        and data.get("state") in STATES
        and _is_address(data.get("addr"))
        and _is_integer(data.get("slots"), 1_000_000)
        and _is_integer(data.get("cold_left_ms"))
        and _is_integer(data.get("seq"))
    )


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.sampled_from(("ready", "draining", "10.0.0.1:80", "x:1")),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=4,
)


@strategies.composite
def _changed(draw):
    """Return a record with a field that is missing or arbitrary."""
    data = json.loads(fakes.entry())
    field = draw(strategies.sampled_from(sorted(data)))
    if draw(strategies.booleans()):
        del data[field]
    else:
        data[field] = draw(JSON)
    return json.dumps(data).encode()


VALUES = (
    strategies.just(fakes.entry())
    | _changed()
    | strategies.binary(max_size=20)
    | JSON.map(lambda value: json.dumps(value).encode())
)
RECORDS = strategies.tuples(strategies.sampled_from("abc"), VALUES).map(
    lambda row: fakes.record(*row)
) | strategies.binary(max_size=12)


def _expected(records):
    """Return the names whose newest record is valid and ready."""
    newest = {}
    for data in records:
        size = data[0] if data else 0
        key = data[1 : 1 + size]
        if not size or len(key) < size or not key.isascii():
            continue
        newest[key.decode()] = data[1 + size :]
    return {
        name
        for name, value in newest.items()
        if _is_valid(value)
        and json.loads(value)["state"] == "ready"
        and json.loads(value)["service"] == "push"
    }


@when("{count:d} generated lists of records are read")
def _(context, count):
    log_lines.keep(context)
    context.ran = 0

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.lists(RECORDS, max_size=8))
    def read(records):
        context.ran += 1
        listing = fakes.Listing()
        listing.store.records += records
        listing.pass_time(1)
        expected = {"other", *_expected(records)}
        assert listing.listed() == expected, (listing.listed(), expected)
        assert not listing.directory.progress.faults

    read()


@then("no error occurred, and each time only the valid records got work")
def _(context):
    assert context.ran >= 400, context.ran
    errors = [r for r in context.lines.rows if "Could not apply" in r.sentence]
    assert not errors, errors[:1]


@when('the heartbeat of "{name}" is written {count:d} times')
def _(context, name, count):
    context.advertised = context.listing.directory.update_offset
    for _ in range(count):
        _write(context, name, _entry("seq", str(next(SEQUENCE))))


@when('"{name}" is withdrawn from the list')
def _(context, name):
    context.advertised = context.listing.directory.update_offset
    _write(context, name, None)


@then("no update is advertised to other entries")
def _(context):
    made = context.listing.directory
    assert made.update_offset == context.advertised, (
        made.update_offset,
        context.advertised,
    )
    assert made.offset > context.advertised, made.offset


@then("an update is advertised to other entries")
def _(context):
    made = context.listing.directory
    assert made.update_offset > context.advertised, (
        made.update_offset,
        context.advertised,
    )
    assert made.update_offset == made.offset, made.offset
