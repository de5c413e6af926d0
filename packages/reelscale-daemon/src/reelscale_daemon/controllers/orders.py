"""Checks and forwards orders to one engine; rejects outdated fences.

Not every engine checks fences, so the agent on its box, the only path to it,
always does.  Orders are forwarded one at a time.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

import orjson
from reelscale_core import clock, lease, lockstep, model
from reelscale_wire.gen import ttypes
from twisted.internet import defer

from .. import logs
from ..adapters import engine as engines
from . import config

LOG = logs.Logger("orders")


class Orders:
    """Checks the fence of each order and forwards it to the engine."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        config: config.Config,
        engine: engines.Engine,
        lease_s: float,
    ) -> None:
        self.fence = 0
        self.seq = 0
        self._clock = clock
        self._config = config
        self._engine = engine
        self._started_at = clock.monotonic()
        self._lease_s = lease_s
        self._lock = defer.DeferredLock()

    async def order(self, message: ttypes.Order) -> ttypes.OrderReply:
        """Execute an order, or refuse it."""
        await self._lock.acquire()
        try:
            return await self._order(message)
        finally:
            self._lock.release()

    async def _order(self, message: ttypes.Order) -> ttypes.OrderReply:
        code = self._refusal(message)
        if code:
            LOG.warning(
                "Refused an order.",
                code=code,
                kind=message.kind,
                fence=message.fence,
                highest=self.fence,
            )
            return ttypes.OrderReply(accepted=False, code=code)
        self.fence, self.seq = message.fence, message.seq
        order, layout = from_wire(message)
        try:
            rank, accepted = await self._engine.order(order, layout)
        except Exception as lost:
            LOG.warning("The engine did not answer an order.", reason=lost)
            return ttypes.OrderReply(accepted=False, code="engine-lost")
        return ttypes.OrderReply(
            accepted=accepted, code="", rank=rank_to_wire(rank)
        )

    def _refusal(self, message: ttypes.Order) -> str:
        """Return the code with which an order is refused, "" if it is not."""
        held = self._config.state.leases_by_name.get(f"group/{message.group}")
        highest = max(self.fence, held.offset if held else 0)
        if message.fence < highest:
            return "old-fence"
        if message.fence == self.fence and message.seq < self.seq:
            return "old-order"
        if not self._config.ready:
            return "not-ready"
        if self._is_fence_unknown():
            return "fence-unknown"
        return ""

    def _is_fence_unknown(self) -> bool:
        """Return whether an order with an outdated fence might be accepted.

        A new agent that has not read the log waits until every lease granted
        before its start has expired.
        """
        if self._config.log_age_s() < float("inf"):
            return False
        wait_s = self._lease_s * (1 + lease.MAX_DRIFT)
        return self._clock.monotonic() < self._started_at + wait_s


def to_wire(
    group: str, order: lockstep.Order, layout_json: str
) -> ttypes.Order:
    """Convert an order to a message."""
    data: dict[str, Any] = order._asdict()
    return ttypes.Order(
        group=group,
        fence=data["fence"],
        seq=data["seq"],
        kind=type(order).__name__.lower(),
        version=data.get("version", 0),
        layout=layout_json,
        step=data.get("step", 0),
        next_version=data.get("next_version", 0),
        next_step=data.get("next_step", 0),
    )


def from_wire(
    message: ttypes.Order,
) -> tuple[lockstep.Order, model.Layout | None]:
    """Convert a message to an order and, for Stage, its layout."""
    stamp = (message.fence, message.seq)
    version, step = message.version, message.step
    match message.kind:
        case "probe":
            return lockstep.Probe(*stamp), None
        case "stage":
            return lockstep.Stage(*stamp, version), parse_layout(
                message.layout
            )
        case "prepare":
            return lockstep.Prepare(*stamp, version, step), None
        case "decide":
            return lockstep.Decide(*stamp, version, step), None
        case "commit":
            return lockstep.Commit(*stamp, version, step), None
        case "release":
            return lockstep.Release(*stamp), None
        case "adopt":
            order = lockstep.Adopt(
                *stamp, version, step, message.next_version, message.next_step
            )
            return order, None
        case other:
            raise ValueError(f"unknown order {other!r}")


def parse_layout(text: str) -> model.Layout:
    """Parse the layout of a Stage order."""
    return model.layout(orjson.loads(text))


def rank_to_wire(rank: lockstep.Rank) -> ttypes.RankState:
    """Convert the state of a rank to a message."""
    data = rank._asdict()
    data["staged"] = sorted(rank.staged)
    return ttypes.RankState(**data)


def rank_from_wire(message: ttypes.RankState) -> lockstep.Rank:
    """Convert a message to the state of a rank."""
    return lockstep.Rank(
        fence=message.fence,
        seq=message.seq,
        floor=message.floor,
        version=message.version,
        step=message.step,
        staged=frozenset(message.staged),
        next_version=message.next_version,
        next_step=message.next_step,
        decided=message.decided,
        committed=message.committed,
        incarnation=message.incarnation,
    )
