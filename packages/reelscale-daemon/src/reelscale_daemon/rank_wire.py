"""Converts the reports and orders of ranks to and from Thrift."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import typing
from typing import NamedTuple

from reelscale_core import demand, rank
from reelscale_wire.gen import ttypes

from . import packed

# Fields of a rank that a message may omit.
OPTIONAL = ("prepared", "armed", "held", "born_ms")
REQUIRED = tuple(n for n in rank.Rank._fields if n not in OPTIONAL)


def kind_of(order: type[rank.Order]) -> str:
    """Return the name of a kind of order in messages."""
    return order.__name__.lower()


ORDERS_BY_KIND: dict[str, type[rank.Order]] = {
    kind_of(order): order for order in typing.get_args(rank.Order)
}


class RankReport(NamedTuple):
    """An agent's report of its rank.

    Attributes:
      rank: The state of the rank.
      counted: Its counters, if requested.
      experts: The experts it holds, by set of layers, if requested.
    """

    rank: rank.Rank
    counted: demand.Counters | None = None
    experts: tuple[tuple[int, ...], ...] | None = None


def report_to_thrift(report: RankReport) -> ttypes.RankTold:
    """Convert a report to a message."""
    armed = report.rank.armed
    fields = report.rank._asdict()
    del fields["armed"]
    return ttypes.RankTold(
        armed_version=armed.version if armed else None,
        armed_step=armed.step if armed else None,
        counts=packed.counts(report.counted.counts)
        if report.counted
        else None,
        experts=report.experts,
        **fields,
    )


def report_from_thrift(message: ttypes.RankTold) -> RankReport:
    """Parse a report; ValueError if a field is missing or invalid."""
    fields = {name: getattr(message, name) for name in REQUIRED}
    if None in fields.values():
        raise ValueError("a field of the rank is missing")
    armed = None
    if message.armed_version is not None and message.armed_step is not None:
        armed = rank.Armed(message.armed_version, message.armed_step)
    state = rank.Rank(
        **fields,
        prepared=message.prepared,
        armed=armed,
        held=message.held,
        born_ms=message.born_ms,
    )
    if not 0 <= state.number < state.size or min(state.epoch, state.step) < 0:
        raise ValueError("a number of the rank is out of range")
    counted = None
    if message.counts is not None:
        counts = packed.read_counts(message.counts)
        counted = demand.Counters(state.epoch, counts, state.born_ms)
    experts = None
    if message.experts is not None:
        experts = tuple(tuple(row) for row in message.experts)
    return RankReport(state, counted, experts)


def to_order(order: rank.Order, *, fence: int, epoch: int) -> ttypes.RankOrder:
    """Convert an order to a message."""
    fields = order._asdict()
    table = fields.get("table")
    return ttypes.RankOrder(
        kind=kind_of(type(order)),
        fence=fence,
        epoch=epoch,
        version=fields.get("version", 0),
        step=fields.get("step", 0),
        table=None if table is None else packed.table(table),
    )


def from_order(message: ttypes.RankOrder) -> rank.Order:
    """Parse an order; ValueError if it is invalid."""
    kind = ORDERS_BY_KIND.get(message.kind)
    if kind is None:
        raise ValueError(f"unknown order {message.kind!r}")
    values = [getattr(message, name) for name in kind._fields]
    if None in values:
        raise ValueError("a field of the order is missing")
    if kind is rank.Prepare:
        version, table = values
        return rank.Prepare(version, packed.read_table(table))
    return kind(*values)


def outcome_of(answer: ttypes.RankAnswer) -> rank.Outcome:
    """Return the outcome of an answer; UNKNOWN if it is not valid."""
    try:
        return rank.Outcome(answer.outcome)
    except ValueError:
        return rank.Outcome.UNKNOWN
