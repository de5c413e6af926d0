"""What the agents of ranks tell each other, to and from thrift."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import typing
from typing import NamedTuple

from reelscale_core import demand, rank
from reelscale_wire.gen import ttypes

from . import packed

# A message leaves these fields of a rank out while there is nothing to tell.
OPTIONAL = ("prepared", "armed", "held", "born_ms")
REQUIRED = tuple(n for n in rank.Rank._fields if n not in OPTIONAL)


def kind_of(order: type[rank.Order]) -> str:
    """Return the word by which messages name a kind of order."""
    return order.__name__.lower()


ORDERS_BY_KIND: dict[str, type[rank.Order]] = {
    kind_of(order): order for order in typing.get_args(rank.Order)
}


class RankReport(NamedTuple):
    """What an agent tells of its rank.

    Attributes:
      rank: What the rank reports.
      counted: Its counters, if they were asked for.
      experts: What it holds, by set of layers, if that was asked for.
    """

    rank: rank.Rank
    counted: demand.Counted | None = None
    experts: tuple[tuple[int, ...], ...] | None = None


def report_to_thrift(told: RankReport) -> ttypes.RankTold:
    """Turn what an agent tells into a message."""
    armed = told.rank.armed
    fields = told.rank._asdict()
    del fields["armed"]
    return ttypes.RankTold(
        armed_version=armed.version if armed else None,
        armed_step=armed.step if armed else None,
        counts=packed.counts(told.counted.counts) if told.counted else None,
        experts=told.experts,
        **fields,
    )


def report_from_thrift(message: ttypes.RankTold) -> RankReport:
    """Read what an agent tells; ValueError if a field is missing."""
    fields = {name: getattr(message, name) for name in REQUIRED}
    if None in fields.values():
        raise ValueError("a field of the rank is missing")
    armed = None
    if message.armed_version is not None and message.armed_step is not None:
        armed = rank.Armed(message.armed_version, message.armed_step)
    found = rank.Rank(
        **fields,
        prepared=message.prepared,
        armed=armed,
        held=message.held,
        born_ms=message.born_ms,
    )
    if not 0 <= found.number < found.size or min(found.epoch, found.step) < 0:
        raise ValueError("a number of the rank makes no sense")
    counted = None
    if message.counts is not None:
        counts = packed.read_counts(message.counts)
        counted = demand.Counted(found.epoch, counts, found.born_ms)
    experts = None
    if message.experts is not None:
        experts = tuple(tuple(row) for row in message.experts)
    return RankReport(found, counted, experts)


def to_order(order: rank.Order, *, fence: int, epoch: int) -> ttypes.RankOrder:
    """Turn an order into a message."""
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
    """Read an order; ValueError if it is none."""
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
    """Read the outcome of an answer; unknown if it makes no sense."""
    try:
        return rank.Outcome(answer.outcome)
    except ValueError:
        return rank.Outcome.UNKNOWN
